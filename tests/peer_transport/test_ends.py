"""The TCP and UDP ends, on loopback sockets: calls, kept and adopted connections, what is cut and why."""

import asyncio
import contextlib
import socket

import addresses
import pytest
import uvloop
from addresses import free_port

from shedgrade.peer_transport import peer as peers
from shedgrade.peer_transport import tcp
from shedgrade.peer_transport.address import join
from shedgrade.peer_transport.frames import encode
from shedgrade.peer_transport.tcp import LinkError, Links, LinkServer
from shedgrade.peer_transport.udp import LONGEST, Datagrams
from shedgrade.runtime import log

HOST, OTHER = addresses.HOST, f"{addresses.NETWORK}.251"


class End:
    """One process's link ends: it echoes calls, and keeps what was sent one way."""

    def __init__(self, loop, host, port=None):
        self.where = (host, port or free_port())
        self.address = join(self.where)
        self.got = asyncio.Queue()
        self.links = Links(loop, self.address, self.come_back, host)
        self.server = LinkServer(loop, self.where, self.address, self.taken, self.links.adopt)

    def come_back(self, sender, frame):
        self.got.put_nowait((sender, frame.body))

    def taken(self, peer, frame):
        if frame.number:
            if frame.body != b"mute":
                peer.send(b"echo " + frame.body, frame.number, answers=True)
        else:
            self.got.put_nowait((frame.sender, frame.body))

    def close(self):
        self.links.close()
        self.server.close()


class Lines:
    """A sink that keeps what is logged."""

    def __init__(self):
        self.lines = []

    def info(self, text, *values):
        self.lines.append(text.format(*values))

    debug = warning = error = exception = info


@pytest.fixture
def lines():
    sink = Lines()
    log.hand(sink)
    yield sink.lines
    log.hand(None)


@pytest.fixture(params=["asyncio", "uvloop"])
def play(request):
    """Runs a scene with two ends on either loop, within 10 s."""

    def run(scene):
        async def limited():
            loop = asyncio.get_running_loop()
            one, two = End(loop, HOST), End(loop, OTHER)
            try:
                async with asyncio.timeout(10):
                    await scene(loop, one, two)
            finally:
                one.close()
                two.close()

        new_loop = uvloop.new_event_loop if request.param == "uvloop" else asyncio.new_event_loop
        with asyncio.Runner(loop_factory=new_loop) as runner:
            runner.run(limited())

    return run


def test_calls_are_answered_each_by_its_own_over_one_connection(play):
    async def scene(loop, one, two):
        await two.server.start()
        answers = await asyncio.gather(*(one.links.call(two.address, str(i).encode(), 5) for i in range(50)))
        assert answers == [b"echo %d" % i for i in range(50)] and len(two.server.peers) == 1
        [incoming] = two.server.peers
        assert incoming.sender == one.address
        assert incoming.transport.get_extra_info("peername")[0] == HOST
        assert not one.links.routes[two.address].peer.calls

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
        assert not one.server.peers and two.links.routes[one.address].peer is None

    play(scene)


def test_a_silent_one_that_was_adopted_is_dialled_anew(play, monkeypatch):
    async def scene(loop, one, two):
        await one.server.start()
        await two.server.start()
        one.links.send(two.address, b"hello")
        await two.got.get()
        monkeypatch.setattr(tcp, "LATELY", 0.0)
        two.links.send(one.address, b"back")
        assert await one.got.get() == (two.address, b"back")
        assert len(one.server.peers) == 1

    play(scene)


def test_a_refused_dial_ends_its_calls_and_the_next_one_waits(play):
    async def scene(loop, one, two):
        with pytest.raises(LinkError):
            await one.links.call(two.address, b"x", 5)
        route = one.links.routes[two.address]
        assert route.pause == tcp.FIRST_PAUSE and route.not_before > loop.time() and not route.waiting
        with pytest.raises(TimeoutError):  # within the pause: told at once
            await one.links.call(two.address, b"x", 5)
        assert route.dial is None
        for _ in range(5):
            one.links.failed(route)
        assert route.pause == tcp.LONGEST_PAUSE
        route.not_before = 0.0
        await two.server.start()
        assert await one.links.call(two.address, b"x", 5) == b"echo x"

    play(scene)


def test_a_call_without_an_answer_ends_in_time_and_leaves_nothing(play):
    async def scene(loop, one, two):
        await two.server.start()
        with pytest.raises(LinkError):
            await one.links.call(two.address, b"mute", 0.05)
        assert await one.links.call(two.address, b"x", 5) == b"echo x"
        assert not one.links.routes[two.address].peer.calls

    play(scene)


def test_calls_end_when_their_connection_is_lost(play):
    async def scene(loop, one, two):
        await two.server.start()
        assert await one.links.call(two.address, b"x", 5) == b"echo x"
        call = loop.create_task(one.links.call(two.address, b"mute", 9))
        assert await one.links.call(two.address, b"y", 5) == b"echo y"
        for peer in tuple(two.server.peers):
            peer.cut()
        with pytest.raises(LinkError):
            await call
        assert await one.links.call(two.address, b"z", 5) == b"echo z"

    play(scene)


def test_a_dial_that_hangs_is_given_up_and_what_waits_is_bounded(play, monkeypatch):
    async def scene(loop, one, two):
        monkeypatch.setattr(tcp, "DIAL", 0.05)
        with socket.socket() as full, socket.socket() as first, socket.socket() as second:
            full.bind(two.where)
            full.listen(0)  # full from the second connection on: a dial hears nothing
            for handle in (first, second):
                handle.setblocking(False)
                handle.connect_ex(two.where)
            for _ in range(tcp.MOST_WAITING):
                one.links.send(two.address, b"x")
            route = one.links.routes[two.address]
            with pytest.raises(LinkError):
                await one.links.call(two.address, b"too many", 5)
            await route.dial
            assert not route.waiting and route.peer is None and route.pause == tcp.FIRST_PAUSE

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
        assert len(lines) == 1 and "is closed" in lines[0]
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
        assert len(lines) == 1 and "nobody" in lines[0]
        assert await two.got.get() == ("10.0.0.1:1", b"taken") and two.got.empty()
        two.links.send("nobody", b"x")
        with pytest.raises(LinkError):
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
            assert one.links.routes[two.address].dial is not None
            two.links.send(one.address, b"back again")
            assert await one.got.get() == (two.address, b"back again")
            assert await two.got.get() == (one.address, b"held")

    play(scene)


def test_a_peer_that_does_not_read_is_cut(play, lines, monkeypatch):
    async def scene(loop, one, two):
        monkeypatch.setattr(peers, "MOST_UNSENT", 200_000)
        await two.server.start()
        reader, writer = await asyncio.open_connection(*two.where, limit=1)
        writer.write(encode("10.0.0.1:1", 0, False, b"hello"))
        assert await two.got.get() == ("10.0.0.1:1", b"hello")
        [peer] = two.server.peers
        gone = loop.create_future()
        peer.on_close.append(lambda: gone.set_result(None))
        for _ in range(10_000):
            if peer.closed:
                break
            peer.send(bytes(50_000))
        await gone
        assert peer.closed and "doesn't read" in lines[0]
        writer.close()

    play(scene)


def test_own_sockets_have_the_options_that_end_a_hanging_connection(play):
    async def scene(loop, one, two):
        await two.server.start()
        await one.links.call(two.address, b"x", 5)
        for peer in (one.links.routes[two.address].peer, *two.server.peers):
            handle = peer.transport.get_extra_info("socket")
            for level, option, value in peers.OPTIONS:
                assert handle.getsockopt(level, option) == value

    play(scene)


def test_datagrams_pass_and_others_are_ignored(play):
    async def scene(loop, one, two):
        got = asyncio.Queue()
        ends = [
            Datagrams(loop, (host, free_port()), lambda *it: got.put_nowait(it)) for host in (HOST, OTHER)
        ]
        ends[0].send(join(ends[1].address), b"before the start")
        for end in ends:
            await end.start()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.sendto(b"", ends[1].address)
            stranger.sendto(b"\x07strange", ends[1].address)
            stranger.sendto(b"\x01" + bytes(LONGEST + 1), ends[1].address)
        ends[0].send(join(ends[1].address), bytes(LONGEST))
        assert await got.get() == (join(ends[0].address), bytes(LONGEST))
        ends[1].send(join(ends[0].address), b"")
        assert await got.get() == (join(ends[1].address), b"")
        with pytest.raises(ValueError):
            ends[0].send(join(ends[1].address), bytes(LONGEST + 1))
        for end in ends:
            end.close()
        assert got.empty()

    play(scene)
