"""Stand-in clients and operators against scripted servers: they retry as PROTOCOL says, and no more."""

import asyncio
import json
from contextlib import asynccontextmanager
from dataclasses import replace
from random import Random

import pytest

from shedgrade.engines import content
from shedgrade.http.server import HttpServer, Reply
from shedgrade.lab.system import history
from shedgrade.lab.system.clients import Clients
from shedgrade.lab.system.demo import KINDS, configuration
from shedgrade.lab.system.history import History
from shedgrade.lab.system.operators import Operator
from shedgrade.runtime.log import logger

KIND = {kind.name: replace(kind, retries=2) for kind in KINDS}


class Sidecar:
    """Answers each request with the next step of `script`, and all further ones with the last step."""

    def __init__(self, *script):
        self.script, self.requests, self.connections, self.writers = list(script), [], 0, []

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                text = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = text.strip().split("\r\n")
                request = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
                body = await reader.readexactly(int(request.get("content-length", 0)))
                request["asked"] = content.digest(b"POST", first.split()[1].encode(), body)
                self.requests.append(request)
                step = self.script.pop(0) if len(self.script) > 1 else self.script[0]
                if step(request, writer) is False:
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def answer(status=200, body=b"x", **headers):
    def step(request, writer):
        lines = [
            f"HTTP/1.1 {status} Word",
            f"Attempt-Id: {request['attempt-id']}",
            f"Content-Length: {len(body)}",
        ]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return headers.get("Connection") != "close"

    return step


def stream(*events, complete=True):
    def step(request, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nTransfer-Encoding: chunked\r\n\r\n"
            % request["attempt-id"].encode()
        )
        for number in events:
            event = content.event(request["asked"], number, 5)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        if complete:
            writer.write(b"0\r\n\r\n")
        return complete

    return step


def closes(request, writer):
    return False


def silent(request, writer):
    return True


@asynccontextmanager
async def clients(*sidecars, registries=None):
    """Clients for which a directory resolves to these sidecars."""
    loop = asyncio.get_running_loop()
    servers = [await asyncio.start_server(sidecar.serve, "127.0.0.1", 0) for sidecar in sidecars]
    for sidecar, server in zip(sidecars, servers, strict=True):
        sidecar.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    observed, queries = History(), []

    def resolve(request, respond):
        queries.append(request.query)
        addresses = [sidecar.address for sidecar in sidecars]
        respond(Reply(200, json.dumps({"addressList": addresses, "ttlS": 60}).encode()))

    registry = HttpServer(loop, ("127.0.0.1", 0), resolve, logger)
    await registry.start()
    group = Clients(
        "quay",
        "north",
        [*(registries or ()), f"127.0.0.1:{registry.port}"],
        observed,
        Random(1),
        loop.time,
        60,
    )
    group.queries = queries
    try:
        async with asyncio.timeout(15):
            yield group
    finally:
        group.close()
        registry.close()
        for server in servers:
            server.close()
        for sidecar in sidecars:
            for writer in sidecar.writers:
                writer.transport.abort()
        await asyncio.sleep(0)


def play(kind, *script, **options):
    """Plays one request against a scripted sidecar; returns the request, the sidecar and the clients."""

    async def scenario():
        sidecar = Sidecar(*script)
        async with clients(sidecar, **options) as group:
            return await group.send_with_retries(1, KIND[kind]), sidecar, group

    return asyncio.run(scenario())


def test_a_request_is_served_and_has_the_headers_of_the_protocol():
    client_request, sidecar, group = play("reply", stream(*range(1, 25)))
    request = sidecar.requests[0]
    assert (
        client_request.outcome == "served"
        and len(client_request.tries) == 1
        and client_request.tries[0].events[-1][0] == 24
    )
    assert request["token-usage"] == "600,120" and request["prompt-prefix"] == "91bd3f06:200,00000001:400"
    assert 9_000 < int(request["time-remaining"]) <= 10_000 and request["host"] == KIND["reply"].host
    assert group.queries == [{"name": KIND["reply"].host, "region": "north", "zone": "quay"}]


@pytest.mark.parametrize(
    "kind, status, tries",
    [
        ("find", 502, 2),
        ("find", 503, 2),
        ("book", 503, 2),
        ("book", 429, 2),
        ("book", 421, 2),
        ("book", 408, 2),
        ("book", 502, 1),
        ("book", 504, 1),
        ("find", 404, 1),
        ("find", 400, 1),
        ("find", 413, 1),
        ("digest", 502, 1),
    ],
)
def test_which_statuses_are_retried(kind, status, tries):
    events = stream(*range(1, KIND[kind].events + 1)) if KIND[kind].streams else answer()
    client_request, sidecar, _ = play(kind, answer(status), events)
    assert len(sidecar.requests) == tries
    assert client_request.outcome == ("served" if tries == 2 else "failed")
    assert len({request["attempt-id"] for request in sidecar.requests}) == tries
    assert sidecar.connections == tries  # each retry uses a new connection


@pytest.mark.parametrize("kind, tries", [("find", 2), ("book", 1)])
def test_only_an_idempotent_request_is_retried_after_a_closed_connection(kind, tries):
    client_request, sidecar, _ = play(kind, closes, answer())
    assert len(sidecar.requests) == tries and client_request.tries[0].failure == history.CLOSED


def test_a_last_refusal_is_not_counted_as_a_failure():
    client_request, sidecar, _ = play("book", answer(503))
    assert client_request.outcome == "refused" and len(sidecar.requests) == 3


def test_retry_after_is_honoured():
    client_request, sidecar, _ = play("find", answer(503, Retry_After="0.3"), answer())
    assert client_request.tries[1].sent_at - client_request.tries[0].ended_at >= 0.29


def test_a_broken_stream_is_resumed_after_its_last_event():
    client_request, sidecar, _ = play("reply", stream(1, 2, 3, complete=False), stream(*range(4, 25)))
    assert client_request.outcome == "served" and sidecar.requests[1]["last-event-id"] == "3"
    assert "last-event-id" not in sidecar.requests[0] and client_request.tries[1].last_event_before == 3
    assert [number for client_try in client_request.tries for number, _, _ in client_try.events] == list(
        range(1, 25)
    )


def test_a_broken_stream_that_is_not_resumable_is_not_retried():
    client_request, sidecar, _ = play("digest", stream(1, 2, complete=False), stream(1))
    assert client_request.outcome == "failed" and len(sidecar.requests) == 1


def test_connections_are_kept_unless_the_answer_forbids_it():
    async def count_connections(step):
        sidecar = Sidecar(step)
        async with clients(sidecar) as group:
            for number in range(12):
                await group.send_with_retries(number, KIND["find"])
        return sidecar.connections

    assert asyncio.run(count_connections(answer())) < 12
    assert asyncio.run(count_connections(answer(Connection="close"))) == 12
    assert asyncio.run(count_connections(answer(Keep_Alive="timeout=0"))) == 12


def test_a_second_answer_is_recorded():
    def twice(request, writer):
        answer()(request, writer)
        return answer()(request, writer)

    client_request, _, group = play("find", twice)
    assert client_request.tries[0].unexpected_bytes and group.history.stray


def test_an_address_that_failed_is_skipped():
    async def scenario():
        sidecars = Sidecar(closes), Sidecar(answer())
        async with clients(*sidecars) as group:
            ended = [await group.send_with_retries(number, KIND["find"]) for number in range(8)]
        assert (
            all(client_request.outcome == "served" for client_request in ended)
            and len(sidecars[0].requests) <= 1
        )

    asyncio.run(scenario())


def test_the_next_registry_is_asked_when_one_fails():
    client_request, _, _ = play("find", answer(), registries=["127.0.0.1:1"])
    assert client_request.outcome == "served"


def test_a_client_gives_up_at_its_deadline():
    async def scenario():
        async with clients(Sidecar(silent)) as group:
            client_request = await group.send_with_retries(1, replace(KIND["book"], deadline_ms=200))
        assert client_request.outcome == "failed" and client_request.tries[0].failure == history.GIVEN_UP

    asyncio.run(scenario())


# --- operators


def operate(script, scenario, count=2):
    """Runs `scenario(operator)` against `count` servers.

    Returns its result, the requests that the servers saw and the operator.

    `script(server number, request)` returns each reply, or None for no answer.
    """

    async def run():
        loop, servers, seen = asyncio.get_running_loop(), [], []

        def handler(number):
            def handle(request, respond):
                seen.append((number, request))
                reply = script(number, request)
                if reply is not None:
                    respond(reply)

            return handle

        for number in range(count):
            servers.append(HttpServer(loop, ("127.0.0.1", 0), handler(number), logger))
            await servers[-1].start()
        addresses = [f"127.0.0.1:{server.port}" for server in servers]
        operator = Operator(addresses, History(), Random(1), loop.time, 1.5)
        operator.ports = [server.port for server in servers]
        try:
            async with asyncio.timeout(15):
                return await scenario(operator), seen, operator
        finally:
            for server in servers:
                server.close()

    return asyncio.run(run())


FIRST = configuration(1, KINDS, ["chat-lm", "lookup"])


def test_a_put_is_sent_unchanged_until_it_gets_a_clear_answer():
    replies = [Reply(503), Reply(429), Reply(200)]
    order, seen, operator = operate(lambda number, request: replies.pop(0), lambda one: one.put(FIRST, 0))
    assert order.accepted and len(seen) == 3 and len({request.body for _, request in seen}) == 1
    assert all(request.headers[b"if-match"] == b"0" for _, request in seen)
    assert {number for number, _ in seen} == {0, 1} and operator.history.orders == [order]


@pytest.mark.parametrize("status, calls", [(400, 1), (409, 1), (412, 1), (413, 1), (422, 1), (403, 3)])
def test_a_clear_refusal_ends_a_call_at_once_and_another_4xx_at_the_third_try(status, calls):
    order, seen, _ = operate(lambda number, request: Reply(status), lambda one: one.put(FIRST, 0))
    assert order.status == status and len(seen) == calls


def test_redirects_are_followed():
    def script(number, request):
        if request.path == b"/configuration":
            location = b"http://%s/elsewhere" % request.headers[b"host"]
            return Reply(307, headers=((b"Location", location),))
        return Reply(200)

    order, seen, _ = operate(script, lambda one: one.put(FIRST, 0))
    assert order.accepted and seen[1][1].path == b"/elsewhere" and seen[1][1].body == seen[0][1].body


def test_evacuations_are_retried_for_a_limited_time():
    order, seen, _ = operate(lambda number, request: Reply(503), lambda one: one.evacuate("quay"))
    assert order.status == 0 and not order.accepted and len(seen) > 2
    assert seen[0][1].method == b"POST" and seen[0][1].path == b"/evacuation/quay"
    order, seen, _ = operate(lambda number, request: Reply(200), lambda one: one.return_zone("quay"))
    assert order.accepted and seen[0][1].method == b"DELETE"


def test_read_back_returns_the_configuration_or_none():
    body, _, _ = operate(lambda number, request: Reply(200, b"{}"), lambda one: one.read_back(1.0))
    assert body == b"{}"
    body, _, _ = operate(lambda number, request: Reply(503), lambda one: one.read_back(0.3))
    assert body is None
