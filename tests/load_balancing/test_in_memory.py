"""The dispatcher and a client's connection, in memory, on generated sequences of events."""

import socket
from collections import Counter
from types import SimpleNamespace

from helpers import method, no_faults, read_all, request, row, settings
from hypothesis import given, seed
from hypothesis import settings as run
from hypothesis import strategies as st

from shedgrade import load_balancing
from shedgrade.buffers.budget import Budget
from shedgrade.http.rpc_connection import RpcConnection
from shedgrade.in_flight import ActiveRequest, Answer, Request
from shedgrade.request_dispatch import Dispatcher

GENERATED = run(max_examples=200, derandomize=True, deadline=None, database=None)


class Loop:
    """A loop with a manual clock; scheduled calls run on `run`, timers on `wait`."""

    def __init__(self):
        self.time, self.soon, self.timers = 0, [], []

    def now(self):
        return self.time

    def to_monotonic(self, at):
        return at

    def call_soon(self, call):
        self.soon.append(call)

    def call_at(self, at, call):
        timer = SimpleNamespace(at=at, call=call)
        timer.cancel = lambda: timer in self.timers and self.timers.remove(timer)
        self.timers.append(timer)
        return timer

    def run(self):
        while self.soon:
            calls, self.soon = self.soon, []
            for call in calls:
                call()

    def wait(self, until):
        while self.timers and min(timer.at for timer in self.timers) <= until:
            timer = min(self.timers, key=lambda timer: timer.at)
            self.timers.remove(timer)
            self.time = max(self.time, timer.at)
            timer.call()
            self.run()
        self.time = until


class Client:
    def __init__(self, scenario):
        self.scenario, self.finals, self.left = scenario, [], False

    def completed(self, answer):
        self.finals.append(answer.body)

    def exhausted(self, wait):
        self.finals.append("exhausted")

    def errored(self):
        self.finals.append("errored")

    def has_disconnected(self):  # never noticed by the dispatcher itself; a reported end is in `left`
        return False


class DispatcherScenario:
    """A dispatcher with stand-ins for its surroundings; counts its violations."""

    def __init__(self, conf):
        self.loop, self.requests, self.sent, self.reported, self.violations = Loop(), [], [], Counter(), 0
        self.balancer = load_balancing.Balancer(conf, 1, 0)
        self.dispatcher = Dispatcher(
            self.loop, self.loop, self.balancer, self, list("0123"), Budget(100, 1), lambda upstream: None
        )
        self.dispatcher.list_changed([row(up, up % 2) for up in range(4)], True, False)
        self.loop.run()

    def transmit(self, transmission, now):
        client = transmission.active_request.client
        self.violations += bool(client.finals or client.left)
        self.sent.append(transmission)

    def stop(self, transmission):
        return True

    give_up = stop

    def long_response_has_begun(self, transmission):
        return False

    def abandon(self, transmission):
        pass

    def no_response_received(self, transmission):
        pass

    def submit_request(self, number, wait):
        client = Client(self)
        active_request = ActiveRequest(client, Request(b"%d" % len(self.requests), b"POST", b"/m", [], b"x"))
        self.requests.append((active_request, self.loop.time + wait * 10))
        self.dispatcher.submit(active_request, number, wait, False)

    def finish_attempt(self, which, outcome):
        if self.sent:
            transmission = self.sent[which % len(self.sent)]
            self.dispatcher.attempt_finished(transmission, outcome, Answer([], transmission))


STEP = st.one_of(
    st.tuples(st.just("submit"), st.integers(0, 1), st.integers(1, 1500)),
    st.tuples(st.just("finish"), st.integers(0, 30), st.integers(1, 6)),
    st.tuples(st.just("leave"), st.integers(0, 30), st.just(0)),
    st.tuples(st.just("list"), st.integers(0, 3), st.integers(0, 2)),
    st.tuples(st.just("run"), st.just(0), st.just(0)),
    st.tuples(st.just("wait"), st.integers(1, 3000), st.just(0)),
)


@seed(2)
@GENERATED
@given(st.lists(STEP, max_size=60), st.booleans())
def test_every_request_gets_one_answer_in_time_and_every_outcome_is_reported_once(steps, parallel):
    conf = settings([method("repeatable"), method("once")], zones=2, limits={"parallel_tries": parallel})
    with no_faults():
        run_scenario(conf, steps)


def run_scenario(conf, steps):
    scenario, ended = DispatcherScenario(conf), load_balancing.Rpc.attempt_finished

    def counted(rpc, now, tx, *more):
        scenario.reported[rpc, tx] += 1
        return ended(rpc, now, tx, *more)

    load_balancing.Rpc.attempt_finished = counted
    try:
        for what, a, b in steps:
            if what == "submit":
                scenario.submit_request(a, b)
            elif what == "finish":
                # The attempt may have finished before, which must not be reported again.
                scenario.finish_attempt(a, b)
            elif what == "list":
                scenario.dispatcher.list_changed([row(a, a % 2, b)], False, True)
            elif what == "leave" and scenario.requests:
                active_request = scenario.requests[a % len(scenario.requests)][0]
                if not active_request.client.finals:
                    active_request.client.left = True
                    scenario.dispatcher.client_disconnected(active_request)
            elif what == "wait":
                scenario.loop.run()
                scenario.loop.wait(scenario.loop.time + a)
            else:
                scenario.loop.run()
            for active_request, until in scenario.requests:
                assert len(active_request.client.finals) <= 1
                assert (
                    active_request.client.finals or active_request.client.left or scenario.loop.time <= until
                )
        scenario.loop.run()
        scenario.loop.wait(scenario.loop.time + 40_000)
    finally:
        load_balancing.Rpc.attempt_finished = ended
    assert all(
        active_request.client.finals or active_request.client.left for active_request, _ in scenario.requests
    )
    assert len(scenario.dispatcher.active_requests) == scenario.dispatcher.active_requests.budget.bytes == 0
    assert all(
        scenario.reported[active_request.rpc, tx] == 1
        for active_request, _ in scenario.requests
        if active_request.rpc
        for tx in range(len(active_request.rpc.attempts))
    )
    assert scenario.balancer.in_flight == scenario.violations == 0 and set(scenario.reported.values()) <= {1}


PAIR = socket.socketpair()


class Transport:
    """Records what is written, at once or, while `slow`, on `flush`."""

    def __init__(self, connection):
        self.connection, self.written, self.views, self.slow, self.reading = connection, b"", [], False, True
        self.closed = False

    def set_write_buffer_limits(self, high):
        assert high == 0

    def write(self, view):
        if self.slow or self.views:
            if not self.views:
                self.connection.pause_writing()
            self.views.append(view)
        else:
            self.written += view

    def flush(self):
        views, self.views = self.views, []
        if views:
            self.written += b"".join(views)
            self.connection.resume_writing()

    def is_closing(self):
        return self.closed

    def close(self):
        self.closed = True

    def get_extra_info(self, name):
        return PAIR[0]  # with nothing to read and nothing left to send

    def get_write_buffer_size(self):
        return sum(map(len, self.views))

    def write_eof(self):
        pass

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True


def sidecar_stub(taken):
    """Stands in for a sidecar, as far as a client's connection uses it; `taken` collects its requests."""
    dispatcher = SimpleNamespace(
        submit=lambda active_request, *_: taken.append(active_request),
        client_disconnected=lambda active_request: None,
        active_requests=SimpleNamespace(request_ids=()),
    )
    return SimpleNamespace(
        methods={b"m": 0},
        tenants=0,
        dispatcher=dispatcher,
        budget=Budget(100, 1),
        opened=lambda _: None,
        response_sent_on=lambda _: None,
        can_buffer=lambda _: True,
        draining=lambda: False,
        closes_after_response=lambda: False,
        recently_stalled=lambda: False,
        ready=lambda: True,
        closed=lambda _: None,
        loop=SimpleNamespace(time=lambda: 0.0),
    )


BODY = st.one_of(st.binary(max_size=30), st.integers(20, 240).map(lambda times: bytes(range(250)) * times))


@seed(3)
@GENERATED
@given(
    st.lists(BODY, min_size=1, max_size=6),
    st.lists(st.integers(1, 40_000), min_size=1, max_size=8),
    st.lists(st.booleans(), min_size=1, max_size=5),
    st.lists(st.integers(0, 5), min_size=1, max_size=9),
)
def test_requests_split_at_any_byte_are_answered_once_each_and_in_order(bodies, cuts, slow, order):
    taken = []
    connection = RpcConnection(sidecar_stub(taken))
    transport = Transport(connection)
    connection.connection_made(transport)
    stream, step, answered = b"".join(request(body) for body in bodies), 0, 0
    least = len(stream) // 1000 + 1
    while answered < len(bodies) or transport.views:
        step += 1
        assert step < 20_000
        transport.slow = slow[step % len(slow)]
        ready = (
            ["feed"] * bool(stream and transport.reading)
            + ["flush"] * bool(transport.views)
            + ["answer"] * (answered < len(taken))
        )
        what = ready[order[step % len(order)] % len(ready)]
        if what == "feed":
            space = connection.get_buffer(-1)
            count = min(max(least, cuts[step % len(cuts)]), len(stream), len(space))
            assert count > 0
            space[:count] = stream[:count]
            stream = stream[count:]
            connection.buffer_updated(count)
        elif what == "flush":
            transport.flush()
        else:
            answered += 1
            taken[answered - 1].client.completed(Answer([], taken[answered - 1].request.body))
    assert [body for _, body in read_all(transport.written)] == bodies
    assert connection.incoming.size == connection.outgoing.size == 0 and transport.reading


@seed(4)
@GENERATED
@given(
    st.lists(
        st.one_of(
            st.binary(max_size=60),
            st.sampled_from(
                [
                    request(b"x"),
                    request()[:40],
                    b"\r\n\r\n",
                    b"POST /m HTTP/1.1\r\n",
                    b"Content-Length: 9\r\n",
                    b"Transfer-Encoding: chunked\r\n",
                    b"0\r\n\r\n",
                ]
            ),
        ),
        max_size=8,
    )
)
def test_no_input_raises_an_exception_out_of_the_connection(pieces):
    taken = []
    connection = RpcConnection(sidecar_stub(taken))
    transport = Transport(connection)
    connection.connection_made(transport)
    for piece in pieces:
        if piece and not transport.closed:
            connection.get_buffer(-1)[: len(piece)] = piece
            connection.buffer_updated(len(piece))
            while connection.active_request:
                connection.active_request.client.errored()
    answers = [int(head[0].split()[1]) for head, _ in read_all(transport.written)]
    assert set(answers) <= {200, 400, 404, 413, 502} and answers.count(502) == len(taken)
    assert all(status not in (400, 413) for status in answers[:-1]) or not transport.closed
    connection.connection_lost(None)
