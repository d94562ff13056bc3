"""The TCP and UDP endpoints on loopback sockets: calls, own and adopted connections, aborted connections."""

import asyncio
import contextlib
import socket

import addresses
import pytest
import uvloop
from addresses import free_port

from shedgrade.peer_transport import connection, tcp
from shedgrade.peer_transport.address import format_address
from shedgrade.peer_transport.frames import encode
from shedgrade.peer_transport.tcp import PeerCallError, PeerConnectionPool, PeerServer
from shedgrade.peer_transport.udp import MAX_BODY_BYTES, DatagramEndpoint
from shedgrade.runtime import log

HOST, OTHER = addresses.HOST, f"{addresses.NETWORK}.251"


class End:
    """The transport of one process: it echoes calls, and stores one-way frames."""

    def __init__(self, loop, host, port=None):
        self.where = (host, port or free_port())
        self.address = format_address(self.where)
        self.got = asyncio.Queue()
        self.links = PeerConnectionPool(loop, self.address, self.come_back, host)
        self.server = PeerServer(loop, self.where, self.address, self.taken, self.links.adopt)

    def come_back(self, sender, frame):
        self.got.put_nowait((sender, frame.body))

    def taken(self, peer, frame):
        if frame.number:
            if frame.body != b"mute":
                peer.send(b"echo " + frame.body, frame.number, is_response=True)
        else:
            self.got.put_nowait((frame.sender, frame.body))

    def close(self):
        self.links.close()
        self.server.close()


class Lines:
    """A log sink that stores events."""

    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append((event, fields))

    debug = warning = error = exception = info


@pytest.fixture
def lines():
    sink = Lines()
    log.set_sink(sink)
    yield sink.lines
    log.set_sink(None)


@pytest.fixture(params=["asyncio", "uvloop"])
def play(request):
    """Runs a scenario with two ends on each kind of event loop, for at most 10 s."""

    def run(scene):
        async def limited():
            loop = asyncio.get_running_loop()
            one, two = End(loop, HOST), End(loop, OTHER)
            try:
                async with asyncio.timeout(10):
                    await scene(loop, one, two)
            finally:
                for end in (one, two):
                    end.links.check_invariants()
                    end.close()
                    end.links.check_invariants()

        new_loop = uvloop.new_event_loop if request.param == "uvloop" else asyncio.new_event_loop
        with asyncio.Runner(loop_factory=new_loop) as runner:
            runner.run(limited())

    return run


def test_calls_are_answered_each_by_its_own_over_one_connection(play):
    async def scene(loop, one, two):
        await two.server.start()
        answers = await asyncio.gather(*(one.links.call(two.address, str(i).encode(), 5) for i in range(50)))
        assert answers == [b"echo %d" % i for i in range(50)] and len(two.server.connections) == 1
        [incoming] = two.server.connections
        assert incoming.sender == one.address
        assert incoming.transport.get_extra_info("peername")[0] == HOST
        assert not one.links.routes[two.address].own_connection.pending_calls

    play(scene)


def test_what_is_sent_while_dialling_goes_in_order(play):
    async def scene(loop, one, two):
        await two.server.start()
        for i in range(20):
            one.links.send(two.address, bytes((i,)))
        assert [await two.got.get() for _ in range(20)] == [(one.address, bytes((i,))) for i in range(20)]

    play(scene)


def test_a_connection_that_came_in_is_used_for_replies(play):
    async def scene(loop, one, two):
        await one.server.start()
        await two.server.start()
        one.links.send(two.address, b"hello")
        assert await two.got.get() == (one.address, b"hello")
        two.links.send(one.address, b"back")
        assert await one.got.get() == (two.address, b"back")
        assert not one.server.connections and two.links.routes[one.address].own_connection is None

    play(scene)


def test_a_silent_one_that_was_adopted_is_dialled_anew(play, monkeypatch):
    async def scene(loop, one, two):
        await one.server.start()
        await two.server.start()
        one.links.send(two.address, b"hello")
        await two.got.get()
        monkeypatch.setattr(tcp, "ADOPTED_FRESH_S", 0.0)
        two.links.send(one.address, b"back")
        assert await one.got.get() == (two.address, b"back")
        assert len(one.server.connections) == 1

    play(scene)


def test_a_refused_dial_ends_its_calls_and_the_next_one_waits(play):
    async def scene(loop, one, two):
        with pytest.raises(PeerCallError):
            await one.links.call(two.address, b"x", 5)
        route = one.links.routes[two.address]
        assert route.backoff_s == tcp.MIN_BACKOFF_S and route.retry_at > loop.time() and not route.queue
        with pytest.raises(TimeoutError):  # during the backoff a call fails at once
            await one.links.call(two.address, b"x", 5)
        assert route.connect_task is None
        for _ in range(5):
            one.links.back_off(route)
        assert route.backoff_s == tcp.MAX_BACKOFF_S
        route.retry_at = 0.0
        await two.server.start()
        assert await one.links.call(two.address, b"x", 5) == b"echo x"

    play(scene)


def test_a_call_without_an_answer_ends_in_time_and_leaves_nothing(play):
    async def scene(loop, one, two):
        await two.server.start()
        with pytest.raises(PeerCallError):
            await one.links.call(two.address, b"mute", 0.05)
        assert await one.links.call(two.address, b"x", 5) == b"echo x"
        assert not one.links.routes[two.address].own_connection.pending_calls

    play(scene)


def test_calls_end_when_their_connection_is_lost(play):
    async def scene(loop, one, two):
        await two.server.start()
        assert await one.links.call(two.address, b"x", 5) == b"echo x"
        call = loop.create_task(one.links.call(two.address, b"mute", 9))
        assert await one.links.call(two.address, b"y", 5) == b"echo y"
        for peer in tuple(two.server.connections):
            peer.abort()
        with pytest.raises(PeerCallError):
            await call
        assert await one.links.call(two.address, b"z", 5) == b"echo z"

    play(scene)


def test_a_dial_that_hangs_is_given_up_and_what_waits_is_bounded(play, monkeypatch):
    async def scene(loop, one, two):
        monkeypatch.setattr(tcp, "CONNECT_TIMEOUT_S", 0.05)
        with socket.socket() as full, socket.socket() as first, socket.socket() as second:
            full.bind(two.where)
            full.listen(0)  # the backlog is full after one connection: a further attempt gets no answer
            for handle in (first, second):
                handle.setblocking(False)
                handle.connect_ex(two.where)
            for _ in range(tcp.MAX_QUEUED_FRAMES):
                one.links.send(two.address, b"x")
            route = one.links.routes[two.address]
            with pytest.raises(PeerCallError):
                await one.links.call(two.address, b"too many", 5)
            await route.connect_task
            assert not route.queue and route.own_connection is None and route.backoff_s == tcp.MIN_BACKOFF_S

    play(scene)


def test_nonsense_closes_its_connection_with_one_line_and_harms_no_other(play, lines):
    async def scene(loop, one, two):
        await two.server.start()
        assert await one.links.call(two.address, b"x", 5) == b"echo x"
        reader, writer = await asyncio.open_connection(*two.where)
        writer.write(b"GET / HTTP/1.1\r\n\r\n" * 4)
        with contextlib.suppress(ConnectionResetError):
            assert await reader.read() == b""
        writer.close()
        [(event, fields)] = lines
        assert event == "peer connection closed: invalid frame"
        assert fields["peer"].startswith("127.") and "too long" in fields["error"]
        assert await one.links.call(two.address, b"x", 5) == b"echo x"

    play(scene)


def test_a_sender_that_is_no_address_closes_its_connection(play, lines):
    async def scene(loop, one, two):
        await two.server.start()
        reader, writer = await asyncio.open_connection(*two.where)
        writer.write(encode("10.0.0.1:1", 0, False, b"taken") + encode("nobody", 0, False, b"not taken"))
        with contextlib.suppress(ConnectionResetError):
            assert await reader.read() == b""
        writer.close()
        [(event, fields)] = lines
        assert event == "peer connection closed: invalid sender address" and "nobody" in fields["error"]
        assert await two.got.get() == ("10.0.0.1:1", b"taken") and two.got.empty()
        two.links.send("nobody", b"x")
        with pytest.raises(PeerCallError):
            await two.links.call("nobody", b"x", 5)

    play(scene)


def test_what_waits_for_a_hanging_dial_goes_over_a_connection_that_comes_in(play):
    async def scene(loop, one, two):
        await one.server.start()
        with socket.socket() as full, socket.socket() as first, socket.socket() as second:
            full.bind(two.where)
            full.listen(0)
            for handle in (first, second):
                handle.setblocking(False)
                handle.connect_ex(two.where)
            one.links.send(two.address, b"held")
            assert one.links.routes[two.address].connect_task is not None
            two.links.send(one.address, b"back again")
            assert await one.got.get() == (two.address, b"back again")
            assert await two.got.get() == (one.address, b"held")

    play(scene)


def test_a_peer_that_does_not_read_is_cut(play, lines, monkeypatch):
    async def scene(loop, one, two):
        monkeypatch.setattr(connection, "MAX_UNSENT_BYTES", 200_000)
        await two.server.start()
        reader, writer = await asyncio.open_connection(*two.where, limit=1)
        writer.write(encode("10.0.0.1:1", 0, False, b"hello"))
        assert await two.got.get() == ("10.0.0.1:1", b"hello")
        [peer] = two.server.connections
        gone = loop.create_future()
        peer.on_close.append(lambda: gone.set_result(None))
        for _ in range(10_000):
            if peer.is_closed:
                break
            peer.send(bytes(50_000))
        await gone
        assert peer.is_closed and lines[0][0] == "peer connection closed: send buffer full"
        writer.close()

    play(scene)


def test_own_sockets_have_the_options_that_end_a_hanging_connection(play):
    async def scene(loop, one, two):
        await two.server.start()
        await one.links.call(two.address, b"x", 5)
        for peer in (one.links.routes[two.address].own_connection, *two.server.connections):
            handle = peer.transport.get_extra_info("socket")
            for level, option, value in connection.SOCKET_OPTIONS:
                assert handle.getsockopt(level, option) == value

    play(scene)


def test_datagrams_pass_and_others_are_ignored(play):
    async def scene(loop, one, two):
        got = asyncio.Queue()
        ends = [
            DatagramEndpoint(loop, (host, free_port()), lambda *it: got.put_nowait(it))
            for host in (HOST, OTHER)
        ]
        ends[0].send(format_address(ends[1].address), b"before the start")
        for end in ends:
            await end.start()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.sendto(b"", ends[1].address)
            stranger.sendto(b"\x07strange", ends[1].address)
            stranger.sendto(b"\x01" + bytes(MAX_BODY_BYTES + 1), ends[1].address)
        ends[0].send(format_address(ends[1].address), bytes(MAX_BODY_BYTES))
        assert await got.get() == (format_address(ends[0].address), bytes(MAX_BODY_BYTES))
        ends[1].send(format_address(ends[0].address), b"")
        assert await got.get() == (format_address(ends[1].address), b"")
        with pytest.raises(ValueError):
            ends[0].send(format_address(ends[1].address), bytes(MAX_BODY_BYTES + 1))
        for end in ends:
            end.close()
        assert got.empty()

    play(scene)


def break_queue(pool, route):
    route.queued_bytes = 1


def break_backoff(pool, route):
    route.backoff_s = 60.0


def break_calls(pool, route):
    route.own_connection.pending_calls[99] = None


def break_closed(pool, route):
    pool.is_closed = True
    route.connect_task = True
    route.queue.append(tcp.QueuedFrame(b"", None))


@pytest.mark.parametrize("fault", [break_queue, break_backoff, break_calls, break_closed])
def test_a_broken_invariant_is_found(fault):
    pool = PeerConnectionPool(None, f"{HOST}:7300", print, HOST)
    route = pool.route_to(f"{OTHER}:7300")
    route.own_connection = connection.PeerConnection(None, f"{HOST}:7300", print)
    pool.check_invariants()
    fault(pool, route)
    with pytest.raises(AssertionError):
        pool.check_invariants()
