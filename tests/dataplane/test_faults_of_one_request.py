"""A fault of the program that one request meets: the request gets one answer, and the others are served.

Guards against an exception of one request that leaves it unanswered: the connection closed, or stayed silent.
"""

import asyncio
from contextlib import suppress

import pytest
from ingress_rig import (
    LAST,
    Client,
    Upstream,
    chunk,
    configuration,
    events,
    request,
    route,
    sidecar,
    streaming,
    whole,
)

from shedgrade.dataplane.ingress import IngressConnection
from shedgrade.dataplane.service_times import ServiceTimes
from shedgrade.dataplane.streams import ResumableStream
from shedgrade.http.connection_pool import ConnectionPool
from shedgrade.http.response_writer import ResponseWriter
from shedgrade.load_balancing.rpc import Rpc
from shedgrade.request_dispatch import Dispatcher
from shedgrade.runtime.log import set_sink
from shedgrade.served_routes import Routes, ServedRoute


class InternalError(Exception):
    """A fault of the program."""


class Log:
    """Collects error events."""

    def __init__(self):
        self.errors = []

    def error(self, event, *values, **fields):
        self.errors.append(event)

    exception = error

    def debug(self, event, *values, **fields):
        """Ignored."""

    info = warning = debug


@pytest.fixture
def log():
    collected = Log()
    set_sink(collected)
    yield collected
    set_sink(None)


def fail_once(monkeypatch, owner, name, after=False):
    """The method raises an InternalError at its next call: before it does anything, or after it is done."""
    original, failures = getattr(owner, name), []

    def failing(self, *arguments):
        if failures:
            return original(self, *arguments)
        failures.append(name)
        if after:
            original(self, *arguments)
        raise InternalError(name)

    monkeypatch.setattr(owner, name, failing)
    return failures


async def answer_or_hang(request_headers, writer):
    """An upstream: hangs on /a/hang, streams on /a/stream, and answers everything else."""
    if request_headers["first"].startswith("POST /a/hang "):
        return
    if "/stream " in request_headers["first"]:
        writer.write(streaming(request_headers) + chunk(events(1)))
        await asyncio.sleep(0)
        writer.write(chunk(events(2)) + LAST)
        return
    writer.write(whole(request_headers, b"free: 4"))


async def answers_of(client):
    """The status and body of each answer on the connection until it ends; the body is None if it is cut."""
    answers = []
    while True:
        try:
            status = await client.head()
        except (asyncio.IncompleteReadError, ConnectionError):
            return answers
        try:
            answers.append((status, await client.body()))
        except (asyncio.IncompleteReadError, ConnectionError):
            answers.append((status, None))
        if client.headers.get("connection") != "close" and answers[-1][1] is not None:
            return answers  # it stays open


async def send(plane, sent):
    """Sends a request on a new connection; returns all answers that come on it."""
    client = await Client().open(plane)
    client.send(sent)
    answers = await asyncio.wait_for(answers_of(client), 5)
    with suppress(TimeoutError, ConnectionError):
        assert not await asyncio.wait_for(client.reader.read(1), 0.02)
    client.writer.close()
    return answers


async def ask(plane, name):
    return await send(plane, request(path="/plain/1", name=name))


PLAIN = request(path="/plain/1")
LONG = request(path="/plain/1", body=b"x" * 400_000)
STREAM = request(path="/a/stream")
RESUMABLE = request(path="/resumable/stream")
HANG = request(path="/a/hang", wait=200)
NOT_RUN, FAILED, CUT, SERVED = (503, True), (502, True), (200, False), (200, True)  # status, complete or not
CASES = [
    # owner and name of the method that fails, the request that meets it, and its answers if nothing was done
    # before the failure, or if all was
    (ServedRoute, "choose_service", PLAIN, {NOT_RUN}, {NOT_RUN}),
    (ServedRoute, "choose_service", LONG, {NOT_RUN}, {NOT_RUN}),
    (Routes, "find", PLAIN, {NOT_RUN}, {NOT_RUN}),
    (IngressConnection, "submit_request", PLAIN, {NOT_RUN}, {NOT_RUN}),
    (IngressConnection, "on_headers_complete", PLAIN, {FAILED}, {FAILED}),
    (IngressConnection, "on_message_complete", PLAIN, {FAILED}, {FAILED}),
    (IngressConnection, "on_message_complete", LONG, {FAILED}, {SERVED}),
    (Dispatcher, "submit", PLAIN, {NOT_RUN}, {NOT_RUN}),
    (Dispatcher, "on_submitted", PLAIN, {FAILED}, {FAILED}),
    (Dispatcher, "on_attempt_finished", PLAIN, {FAILED}, {SERVED}),
    (Dispatcher, "on_response_started", STREAM, {FAILED}, {CUT}),
    (Dispatcher, "finish", PLAIN, {FAILED}, {FAILED}),
    (Dispatcher, "decide", PLAIN, {FAILED}, {FAILED}),
    (Dispatcher, "transmit", PLAIN, {FAILED}, {FAILED}),
    (Dispatcher, "response_expires_at", HANG, {FAILED}, {FAILED}),
    (ConnectionPool, "give_up", HANG, {FAILED}, {FAILED}),
    (Rpc, "attempt_finished", PLAIN, {SERVED}, {SERVED}),
    (Rpc, "attempt_finished", STREAM, {SERVED}, {SERVED}),
    (ServiceTimes, "record_answer", PLAIN, {FAILED}, {FAILED}),
    (ServiceTimes, "record_stream", STREAM, {CUT}, {CUT}),
    (ResponseWriter, "completed", PLAIN, {FAILED}, {SERVED}),
    (ResponseWriter, "completed", STREAM, {CUT}, {SERVED, CUT}),
    (ResponseWriter, "response_head", PLAIN, {FAILED}, {FAILED}),
    (ResponseWriter, "response_head", STREAM, {FAILED}, {FAILED}),
    (ResponseWriter, "response_flow_started", STREAM, {FAILED}, {CUT}),
    (ResponseWriter, "response_flow_started", RESUMABLE, {FAILED}, {CUT}),
    (ResponseWriter, "write_flow", STREAM, {CUT}, {CUT, SERVED}),
    (ResumableStream, "response_flow_started", RESUMABLE, {FAILED}, {CUT}),
    (ResumableStream, "forward_events", RESUMABLE, {CUT}, {CUT}),
    (ResumableStream, "completed", RESUMABLE, {CUT}, {CUT, SERVED}),
]


@pytest.mark.parametrize("after", [False, True], ids=["before", "after"])
@pytest.mark.parametrize(
    ("owner", "name", "sent", "undone", "done"),
    CASES,
    ids=[f"{at} {case[1]}" for at, case in enumerate(CASES)],
)
def test_a_request_that_meets_a_fault_gets_one_answer(
    monkeypatch, log, owner, name, sent, undone, done, after
):
    """In the step that fails, either nothing or all of its work was done."""

    async def scenario():
        routes = configuration(
            route(),
            route(path_prefix="/plain/", route_class="unsafe"),
            route(path_prefix="/resumable/", resumable=True),
        )
        async with sidecar(routes, Upstream("i-1", answer_or_hang)) as plane:
            assert await ask(plane, "before") == [(200, b"free: 4")]
            failures = fail_once(monkeypatch, owner, name, after)
            answers = await send(plane, sent)
            assert failures, "the method was not called"
            assert await ask(plane, "behind") == [(200, b"free: 4")]
            pool = plane.services["lm"]
            while pool.dispatcher.events or pool.dispatcher.scheduled:
                await asyncio.sleep(0)
            assert not pool.dispatcher.active_requests and not pool.balancer.in_flight
            return answers

    answers = asyncio.run(scenario())
    assert len(answers) == 1 and log.errors, (answers, log.errors)
    status, body = answers[0]
    assert (status, body is not None) in (done if after else undone)
