"""The HTTP server of control, directory and readiness, on real sockets of the loopback."""

import asyncio
import os
import socket
import struct

import orjson
import pytest
import uvloop

from shedgrade.findings import Finding
from shedgrade.http import server, server_connection
from shedgrade.http.server import HttpServer, Reply, Request, failure


class Lines:
    """A logger that keeps what it is told."""

    def __init__(self):
        self.lines = []

    def exception(self, event, **fields):
        self.lines.append((event, fields))


class Place:
    """A server, what reached it, and what is still to be told."""

    def __init__(self, loop, handle=None, max_connections=server.MAX_CONNECTIONS, earliest=None):
        self.loop, self.requests, self.tells, self.logger = loop, [], [], Lines()
        self.came = asyncio.Event()
        self.server = HttpServer(
            loop, ("127.0.0.1", 0), handle or self.keep, self.logger, max_connections, earliest
        )

    def keep(self, request, tell):
        self.requests.append(request)
        self.tells.append(tell)
        self.came.set()

    async def asked(self, count=1):
        while len(self.requests) < count:
            self.came.clear()
            await self.came.wait()
        return self.requests[-1]

    async def open(self):
        return await asyncio.open_connection("127.0.0.1", self.server.port)


@pytest.fixture(params=["asyncio", "uvloop"])
def play(request):
    """Runs a play with a started server; both loops must do."""

    def run(story, handle=None, **given):
        async def whole():
            place = Place(asyncio.get_running_loop(), handle, **given)
            await place.server.start()
            try:
                return await asyncio.wait_for(story(place), 20)
            finally:
                place.server.check_invariants()
                place.server.close()

        new = uvloop.new_event_loop if request.param == "uvloop" else asyncio.new_event_loop
        with asyncio.Runner(loop_factory=new) as runner:
            return runner.run(whole())

    return run


async def answered(reader):
    """One answer: its status, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].split(b"\r\n")
    headers = {name.lower(): value for name, _, value in (line.partition(b": ") for line in lines)}
    body = await reader.readexactly(int(headers.get(b"content-length", b"0")))
    return int(first.split()[1]), headers, body


def echo(request: Request, tell):
    tell(
        Reply(
            200,
            orjson.dumps(
                [request.method.decode(), request.path.decode(), request.query, request.body.decode()]
            ),
            ((b"X-Host", request.headers[b"host"]),),
        )
    )


def test_requests_follow_each_other_on_one_connection(play):
    async def story(place):
        reader, writer = await place.open()
        writer.write(b"GET /resolution?name=a.example&region=n%20w&zone= HTTP/1.1\r\nHost: h\r\n\r\n")
        status, headers, body = await answered(reader)
        assert (status, headers[b"content-type"], headers[b"x-host"]) == (200, b"application/json", b"h")
        assert orjson.loads(body) == [
            "GET",
            "/resolution",
            {"name": "a.example", "region": "n w", "zone": ""},
            "",
        ]
        writer.write(b"PUT /configuration HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
        assert orjson.loads((await answered(reader))[2]) == ["PUT", "/configuration", {}, "abc"]
        writer.write(
            b"PUT /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nab\r\n1\r\nc\r\n0\r\nHost: other\r\n\r\n"
        )
        status, headers, body = await answered(reader)
        assert orjson.loads(body)[3] == "abc" and headers[b"x-host"] == b"h"
        assert b"connection" not in headers

    play(story, echo)


def test_early_requests_are_answered_in_turn_one_at_a_time(play):
    async def story(place):
        reader, writer = await place.open()
        writer.write(b"".join(b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" % at for at in range(5)))
        for at in range(5):
            request = await place.asked(at + 1)
            assert request.path == b"/%d" % at and len(place.requests) == at + 1
            place.tells[at](Reply(200, b"%d" % at))
            assert (await answered(reader))[2] == b"%d" % at

    play(story)


def test_what_is_told_twice_or_too_late_goes_nowhere(play):
    async def story(place):
        reader, writer = await place.open()
        writer.write(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
        await place.asked()
        place.tells[0](Reply(200, b"one"))
        place.tells[0](Reply(500, b"again"))
        assert (await answered(reader))[2] == b"one"
        writer.write(b"GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
        await place.asked(2)
        place.tells[0](Reply(500, b"of another"))
        place.tells[1](Reply(200, b"two"))
        assert (await answered(reader))[2] == b"two"

    play(story)


@pytest.mark.parametrize("reset", [False, True])
def test_a_client_that_left_is_told_nothing(play, reset):
    async def story(place):
        _, writer = await place.open()
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await place.asked()
        connection = only(place)
        if reset:
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        writer.transport.abort()
        await reached(place, lambda: connection.client_finished or connection.parser is None)
        for _ in range(2):
            place.tells[0](Reply(200, b"to nobody"))
        await reached(place, lambda: not place.server.connections)
        place.tells[0](Reply(200, b"to nobody"))

    play(story)


async def next_pass(place):
    done = place.loop.create_future()
    place.loop.call_soon(done.set_result, None)
    await done


def test_a_fault_of_ours_shows_no_trace(play):
    def fails(request, tell):
        raise RuntimeError("a secret")

    async def story(place):
        reader, writer = await place.open()
        for _ in range(2):
            writer.write(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
            status, _, body = await answered(reader)
            assert status == 500 and b"secret" not in body and orjson.loads(body)["findings"]
        line = ("call handler failed", {"method": "GET", "path": "/x"})
        assert place.logger.lines == [line, line]

    play(story, fails)


def test_a_body_is_asked_for(play):
    async def story(place):
        reader, writer = await place.open()
        writer.write(b"PUT /c HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(b"ab")
        assert orjson.loads((await answered(reader))[2])[3] == "ab"

    play(story, echo)


def test_a_body_is_asked_for_after_the_answer_before(play):
    async def story(place):
        reader, writer = await place.open()
        writer.write(
            b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
            b"PUT /c HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
        )
        await place.asked()
        place.tells[0](Reply(200, b"first"))
        assert (await answered(reader))[2] == b"first"
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(b"ab")
        assert (await place.asked(2)).body == b"ab"

    play(story)


@pytest.mark.parametrize(
    ("length", "body"),
    [(b"", b""), (b"Content-Length: 0\r\n", b""), (b"Transfer-Encoding: chunked\r\n", b"0\r\n\r\n")],
)
def test_no_body_is_asked_for_where_none_comes(play, length, body):
    """A `100 Continue` behind the final answer would be read as the head of the next one."""

    async def story(place):
        reader, writer = await place.open()
        writer.write(
            b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
            b"GET /2 HTTP/1.1\r\nHost: h\r\n" + length + b"Expect: 100-continue\r\n\r\n" + body
        )
        assert [orjson.loads((await answered(reader))[2])[1] for _ in range(2)] == ["/1", "/2"]
        writer.write(b"GET /3 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\n")
        assert await reader.readuntil(b"\r\n") == b"HTTP/1.1 200 OK\r\n"

    play(story, echo)


BAD = [
    (b"hello\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n", 400),
    (b"PUT / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
    (b"PUT / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (server_connection.MAX_BODY_BYTES + 1), 413),
    (b"GET / HTTP/1.1\r\nA: " + b"a" * (70 * 1024) + b"\r\n\r\n", 431),
    (b"GET /" + b"a" * (300 * 1024), 431),
    (b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 20_000, 431),
    (b"PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
]


@pytest.mark.parametrize("raw, wanted", BAD)
def test_what_is_no_request_is_refused_and_its_connection_ends(play, raw, wanted):
    async def story(place):
        reader, writer = await place.open()
        writer.write(raw)
        status, headers, body = await answered(reader)
        assert (status, headers[b"connection"]) == (wanted, b"close")
        assert orjson.loads(body)["findings"][0]["place"] == "request"
        assert await reader.read() == b""
        assert not place.requests

    play(story)


def test_a_refusal_waits_for_the_answers_before_it(play):
    async def story(place):
        reader, writer = await place.open()
        writer.write(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nnonsense\r\n\r\nGET /2 HTTP/1.1\r\n\r\n")
        await place.asked()
        place.tells[0](Reply(200, b"first"))
        assert (await answered(reader))[0] == 200
        assert (await answered(reader))[0] == 400
        assert await reader.read() == b"" and len(place.requests) == 1

    play(story)


def test_a_chunked_body_is_bounded_too(play):
    async def story(place):
        reader, writer = await place.open()
        writer.write(b"PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
        chunk = b"10000\r\n" + b"a" * 0x10000 + b"\r\n"
        for _ in range(server_connection.MAX_BODY_BYTES // 0x10000 + 1):
            writer.write(chunk)
            await writer.drain()
        assert (await answered(reader))[0] == 413

    play(story)


def test_a_long_body_and_a_long_answer_pass(play):
    body = b"b" * (server_connection.MAX_BODY_BYTES - 1)

    async def story(place):
        reader, writer = await place.open()
        writer.write(b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        assert (await place.asked()).body == body
        place.tells[0](Reply(200, body))
        assert (await answered(reader))[2] == body
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        await place.asked(2)
        place.tells[1](Reply(200, body))
        assert (await answered(reader))[2] == body and await reader.read() == b""

    play(story)


def test_connections_end_as_their_requests_say(play):
    async def story(place):
        for raw in (
            b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
            b"GET / HTTP/1.0\r\nHost: h\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\nPRI",
        ):
            reader, writer = await place.open()
            writer.write(raw)
            status, headers, _ = await answered(reader)
            assert (status, headers[b"connection"]) == (200, b"close") and await reader.read() == b""
        reader, writer = await place.open()
        for _ in range(2):
            writer.write(b"GET / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n")
            assert (await answered(reader))[1][b"connection"] == b"keep-alive"

    play(story, echo)


def test_whoever_closes_its_own_direction_is_answered(play):
    async def story(place):
        reader, writer = await place.open()
        writer.write(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /3")
        writer.write_eof()
        for at in range(2):
            await place.asked(at + 1)
            place.tells[at](Reply(200, b"%d" % at))
            assert (await answered(reader))[2] == b"%d" % at
        assert await reader.read() == b"" and len(place.requests) == 2

    play(story)


def test_a_request_tells_when_it_can_have_come_at_the_earliest(play):
    """As of its first byte; on a connection that serves one after another, each as of its own."""
    times = iter(range(1, 100))

    async def story(place):
        reader, writer = await place.open()
        for at in range(3):
            writer.write(b"GET /%d HTTP/1.1\r\n" % at)
            await reached(place, lambda: next(iter(place.server.connections)).has_begun)
            begun = next(iter(place.server.connections)).arrived_after
            writer.write(b"Host: h\r\n\r\n")
            assert (await place.asked(at + 1)).arrived_after == begun
            place.tells[at](Reply(200))
            await answered(reader)
        assert [request.arrived_after for request in place.requests] == [1, 2, 3]

    play(story, earliest=lambda: next(times))


@pytest.mark.parametrize("way", ["end", "close", "reset"])
@pytest.mark.parametrize("more", [b"", b"GET / HTTP/1.1\r\n"])
def test_it_is_known_that_a_client_has_closed_also_before_that_is_read(play, way, more):
    """The kernel is asked: other bytes may wait before the end, and a stopped process has read neither."""

    async def story(place):
        reader, writer = await place.open()
        writer.write(b"POST /evacuation/z HTTP/1.1\r\nHost: h\r\n\r\n")
        request = await place.asked()
        assert not request.caller_gone()
        handle = socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno()))
        handle.setblocking(False)
        if more:
            handle.send(more)
        if way == "end":
            handle.shutdown(socket.SHUT_WR)
        elif way == "reset":
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        handle.close()
        if way != "end":
            writer.transport.abort()
            await next_pass(place)  # that closes the other descriptor; loopback delivers at once
        assert request.caller_gone()
        await reached(place, request.caller_gone)
        place.tells[0](Reply(200))

    play(story)


def test_head_has_the_length_and_no_body(play):
    async def story(place):
        reader, writer = await place.open()
        writer.write(b"HEAD / HTTP/1.1\r\nHost: h\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        status, headers, body = await answered(reader)
        assert status == 200 and b"Content-Length: %d" % (len(body) + 1) in head

    play(story, echo)


def test_headers_of_one_name_are_joined(play):
    async def story(place):
        _, writer = await place.open()
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nIf-Match: 5\r\nif-match: 6\r\n\r\n")
        assert (await place.asked()).headers[b"if-match"] == b"5, 6"

    play(story)


def test_an_absolute_target_is_taken_too(play):
    async def story(place):
        _, writer = await place.open()
        writer.write(b"GET http://h.example/a?b=c HTTP/1.1\r\nHost: h\r\n\r\n")
        request = await place.asked()
        assert (request.path, request.query) == (b"/a", {"b": "c"})

    play(story)


async def reached(place, *conditions):
    """Passes of the loop until all hold; `play` bounds the time."""
    while not all(condition() for condition in conditions):
        await next_pass(place)
        place.server.check_invariants()


def only(place):
    return next(iter(place.server.connections))


def test_slow_heads_and_bodies_are_given_up_in_time(play):
    async def story(place):
        for begun in (b"GET / HT", b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc"):
            reader, writer = await place.open()
            writer.write(begun)
            await reached(place, lambda: place.server.connections, lambda: only(place).has_begun)
            since = only(place).state_since
            place.server.check_timeouts(since + server_connection.REQUEST_TIMEOUT_S - 0.1)
            assert not only(place).is_lingering
            place.server.check_timeouts(since + server_connection.REQUEST_TIMEOUT_S + 0.1)
            status, headers, _ = await answered(reader)
            assert (status, headers[b"connection"]) == (408, b"close") and await reader.read() == b""
            writer.close()
            await reached(place, lambda: not place.server.connections)

    play(story)


def test_a_body_that_moves_may_take_long(play):
    async def story(place):
        _, writer = await place.open()
        writer.write(
            b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
            % (3 * server_connection.BODY_STEP_BYTES)
        )
        now = place.loop.time()
        for at in range(1, 3):
            writer.write(b"a" * server_connection.BODY_STEP_BYTES)
            await reached(
                place,
                lambda: place.server.connections,
                lambda at=at: only(place).body_bytes == at * server_connection.BODY_STEP_BYTES,
            )
            now += server_connection.REQUEST_TIMEOUT_S - 0.1
            place.server.check_timeouts(now)
        writer.write(b"a" * server_connection.BODY_STEP_BYTES)
        assert len((await place.asked()).body) == 3 * server_connection.BODY_STEP_BYTES

    play(story)


def test_idle_connections_and_refused_ones_end(play):
    async def story(place):
        reader, writer = await place.open()
        await reached(place, lambda: place.server.connections)
        place.server.check_timeouts(only(place).state_since + server_connection.IDLE_TIMEOUT_S - 0.1)
        assert not only(place).transport.is_closing()
        place.server.check_timeouts(only(place).state_since + server_connection.IDLE_TIMEOUT_S + 0.1)
        assert await reader.read() == b""
        writer.close()
        await reached(place, lambda: not place.server.connections)
        reader, writer = await place.open()
        writer.write(b"nonsense\r\n\r\n")
        assert (await answered(reader))[0] == 400
        place.server.check_timeouts(only(place).state_since + server_connection.LINGER_TIMEOUT_S + 0.1)
        await reached(place, lambda: not place.server.connections)

    play(story)


@pytest.mark.parametrize("more", [b"", b"Connection: close\r\n"])
def test_an_answer_that_is_not_taken_is_cut(play, more):
    async def story(place):
        reader, writer = await place.open()
        writer.transport.pause_reading()
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n" + more + b"\r\n")
        await place.asked()
        connection = only(place)
        place.tells[0](Reply(200, b"a" * (64 * 1024 * 1024)))
        await reached(place, lambda: connection.transport.get_write_buffer_size() > 0)
        unsent, now = -1, place.loop.time()
        while connection in place.server.connections:
            if unsent == (unsent := connection.transport.get_write_buffer_size()):
                now += server_connection.WRITE_TIMEOUT_S + 0.1
            place.server.check_timeouts(now)
            await next_pass(place)

    play(story)


def test_places_are_bounded_and_idle_ones_make_room(play):
    async def story(place):
        ends = [await place.open() for _ in range(2)]
        ends[0][1].write(b"GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
        await place.asked()
        await reached(place, lambda: len(place.server.connections) == 2)
        reader, writer = await place.open()
        writer.write(b"GET /new HTTP/1.1\r\nHost: h\r\n\r\n")
        assert (await place.asked(2)).path == b"/new"
        assert await ends[1][0].read() == b""
        third = await place.open()  # both are busy: it waits in the kernel
        third[1].write(b"GET /third HTTP/1.1\r\nHost: h\r\n\r\n")
        place.tells[0](Reply(200, b"done"))
        assert (await answered(ends[0][0]))[2] == b"done"
        assert (await place.asked(3)).path == b"/third"

    play(story, max_connections=2)


def test_whoever_stops_answers_what_was_asked(play):
    async def story(place):
        reader, writer = await place.open()
        idle = await place.open()
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await place.asked()
        await reached(place, lambda: len(place.server.connections) == 2)
        port = place.server.port
        place.server.stop_accepting()
        assert await idle[0].read() == b""
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", port)
        place.tells[0](Reply(200, b"last"))
        status, headers, body = await answered(reader)
        assert (body, headers[b"connection"]) == (b"last", b"close") and await reader.read() == b""

    play(story)


def test_an_address_that_is_taken_is_told_at_the_start(play):
    async def story(place):
        other = HttpServer(place.loop, ("127.0.0.1", place.server.port), echo, place.logger)
        with pytest.raises(OSError):
            await other.start()
        other.close()

    play(story)


def test_failures_are_json():
    reply = failure(400, Finding("limits", "is no object"), headers=((b"Retry-After", b"1"),))
    assert orjson.loads(reply.body) == {"findings": [{"place": "limits", "text": "is no object"}]}
    assert (reply.status, reply.headers) == (400, ((b"Retry-After", b"1"),))


@pytest.mark.parametrize(
    ("attribute", "value"),
    [("is_lingering", True), ("body_bytes", 1), ("current", Request(b"GET", b"/"))],
)
def test_a_broken_invariant_is_found(play, attribute, value):
    async def story(place):
        _, writer = await place.open()
        await reached(place, lambda: place.server.connections)
        before = getattr(only(place), attribute)
        setattr(only(place), attribute, value)
        with pytest.raises(AssertionError):
            place.server.check_invariants()
        setattr(only(place), attribute, before)
        writer.close()

    play(story)
