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


class PeerEndpoints:
    """The transport of one process: it echoes calls, and stores one-way frames."""

    def __init__(self, loop, host, port=None):
        self.host_port = (host, port or free_port())
        self.address = format_address(self.host_port)
        self.received = asyncio.Queue()
        self.pool = PeerConnectionPool(loop, self.address, self.on_pool_message, host)
        self.server = PeerServer(loop, self.host_port, self.address, self.on_server_frame, self.pool.adopt)

    def on_pool_message(self, sender, frame):
        self.received.put_nowait((sender, frame.body))

    def on_server_frame(self, peer, frame):
        if frame.call_number:
            if frame.body != b"mute":
                peer.send(b"echo " + frame.body, frame.call_number, is_response=True)
        else:
            self.received.put_nowait((frame.sender, frame.body))

    def close(self):
        self.pool.close()
        self.server.close()


class RecordingSink:
    """A log sink that stores events."""

    def __init__(self):
        self.logged_events = []

    def info(self, event, **fields):
        self.logged_events.append((event, fields))

    debug = warning = error = exception = info


@pytest.fixture
def logged_events():
    sink = RecordingSink()
    log.set_sink(sink)
    yield sink.logged_events
    log.set_sink(None)


@pytest.fixture(params=["asyncio", "uvloop"])
def run_scenario(request):
    """Runs a scenario with two nodes on each kind of event loop, for at most 10 s."""

    def run(scenario):
        async def run_with_timeout():
            loop = asyncio.get_running_loop()
            node_a, node_b = PeerEndpoints(loop, HOST), PeerEndpoints(loop, OTHER)
            try:
                async with asyncio.timeout(10):
                    await scenario(loop, node_a, node_b)
            finally:
                for node in (node_a, node_b):
                    node.pool.check_invariants()
                    node.close()
                    node.pool.check_invariants()

        new_loop = uvloop.new_event_loop if request.param == "uvloop" else asyncio.new_event_loop
        with asyncio.Runner(loop_factory=new_loop) as runner:
            runner.run(run_with_timeout())

    return run


def test_concurrent_calls_get_their_own_answers_over_one_connection(run_scenario):
    async def scenario(loop, node_a, node_b):
        await node_b.server.start()
        answers = await asyncio.gather(
            *(node_a.pool.call(node_b.address, str(i).encode(), 5) for i in range(50))
        )
        assert answers == [b"echo %d" % i for i in range(50)] and len(node_b.server.connections) == 1
        [incoming] = node_b.server.connections
        assert incoming.sender == node_a.address
        assert incoming.transport.get_extra_info("peername")[0] == HOST
        assert not node_a.pool.routes[node_b.address].own_connection.pending_calls

    run_scenario(scenario)


def test_frames_queued_while_connecting_are_sent_in_order(run_scenario):
    async def scenario(loop, node_a, node_b):
        await node_b.server.start()
        for i in range(20):
            node_a.pool.send(node_b.address, bytes((i,)))
        assert [await node_b.received.get() for _ in range(20)] == [
            (node_a.address, bytes((i,))) for i in range(20)
        ]

    run_scenario(scenario)


def test_an_incoming_connection_is_used_to_send_to_its_peer(run_scenario):
    async def scenario(loop, node_a, node_b):
        await node_a.server.start()
        await node_b.server.start()
        node_a.pool.send(node_b.address, b"hello")
        assert await node_b.received.get() == (node_a.address, b"hello")
        node_b.pool.send(node_a.address, b"back")
        assert await node_a.received.get() == (node_b.address, b"back")
        assert not node_a.server.connections and node_b.pool.routes[node_a.address].own_connection is None

    run_scenario(scenario)


def test_a_silent_adopted_connection_is_replaced_by_an_own_one(run_scenario, monkeypatch):
    async def scenario(loop, node_a, node_b):
        await node_a.server.start()
        await node_b.server.start()
        node_a.pool.send(node_b.address, b"hello")
        await node_b.received.get()
        monkeypatch.setattr(tcp, "ADOPTED_FRESH_S", 0.0)
        node_b.pool.send(node_a.address, b"back")
        assert await node_a.received.get() == (node_b.address, b"back")
        assert len(node_a.server.connections) == 1

    run_scenario(scenario)


def test_a_refused_dial_ends_its_calls_and_the_next_one_waits(run_scenario):
    async def scenario(loop, node_a, node_b):
        with pytest.raises(PeerCallError):
            await node_a.pool.call(node_b.address, b"x", 5)
        route = node_a.pool.routes[node_b.address]
        assert route.backoff_s == tcp.MIN_BACKOFF_S and route.retry_at > loop.time() and not route.queue
        with pytest.raises(TimeoutError):  # during the backoff a call fails at once
            await node_a.pool.call(node_b.address, b"x", 5)
        assert route.connect_task is None
        for _ in range(5):
            node_a.pool.back_off(route)
        assert route.backoff_s == tcp.MAX_BACKOFF_S
        route.retry_at = 0.0
        await node_b.server.start()
        assert await node_a.pool.call(node_b.address, b"x", 5) == b"echo x"

    run_scenario(scenario)


def test_an_unanswered_call_times_out_and_is_no_longer_pending(run_scenario):
    async def scenario(loop, node_a, node_b):
        await node_b.server.start()
        with pytest.raises(PeerCallError):
            await node_a.pool.call(node_b.address, b"mute", 0.05)
        assert await node_a.pool.call(node_b.address, b"x", 5) == b"echo x"
        assert not node_a.pool.routes[node_b.address].own_connection.pending_calls

    run_scenario(scenario)


def test_calls_fail_when_their_connection_is_lost(run_scenario):
    async def scenario(loop, node_a, node_b):
        await node_b.server.start()
        assert await node_a.pool.call(node_b.address, b"x", 5) == b"echo x"
        call = loop.create_task(node_a.pool.call(node_b.address, b"mute", 9))
        assert await node_a.pool.call(node_b.address, b"y", 5) == b"echo y"
        for peer in tuple(node_b.server.connections):
            peer.abort()
        with pytest.raises(PeerCallError):
            await call
        assert await node_a.pool.call(node_b.address, b"z", 5) == b"echo z"

    run_scenario(scenario)


def test_a_hanging_connection_attempt_times_out_and_its_queue_is_bounded(run_scenario, monkeypatch):
    async def scenario(loop, node_a, node_b):
        monkeypatch.setattr(tcp, "CONNECT_TIMEOUT_S", 0.05)
        with socket.socket() as listener, socket.socket() as first, socket.socket() as second:
            listener.bind(node_b.host_port)
            listener.listen(0)  # the backlog is full after one connection: a further attempt gets no answer
            for sock in (first, second):
                sock.setblocking(False)
                sock.connect_ex(node_b.host_port)
            for _ in range(tcp.MAX_QUEUED_FRAMES):
                node_a.pool.send(node_b.address, b"x")
            route = node_a.pool.routes[node_b.address]
            with pytest.raises(PeerCallError):
                await node_a.pool.call(node_b.address, b"too many", 5)
            await route.connect_task
            assert not route.queue and route.own_connection is None and route.backoff_s == tcp.MIN_BACKOFF_S

    run_scenario(scenario)


def test_invalid_data_closes_only_its_connection_with_one_log_event(run_scenario, logged_events):
    async def scenario(loop, node_a, node_b):
        await node_b.server.start()
        assert await node_a.pool.call(node_b.address, b"x", 5) == b"echo x"
        reader, writer = await asyncio.open_connection(*node_b.host_port)
        writer.write(b"GET / HTTP/1.1\r\n\r\n" * 4)
        with contextlib.suppress(ConnectionResetError):
            assert await reader.read() == b""
        writer.close()
        [(event, fields)] = logged_events
        assert event == "peer connection closed: invalid frame"
        assert fields["peer"].startswith("127.") and "too long" in fields["error"]
        assert await node_a.pool.call(node_b.address, b"x", 5) == b"echo x"

    run_scenario(scenario)


def test_an_invalid_sender_address_closes_its_connection(run_scenario, logged_events):
    async def scenario(loop, node_a, node_b):
        await node_b.server.start()
        reader, writer = await asyncio.open_connection(*node_b.host_port)
        writer.write(encode("10.0.0.1:1", 0, False, b"taken") + encode("nobody", 0, False, b"not taken"))
        with contextlib.suppress(ConnectionResetError):
            assert await reader.read() == b""
        writer.close()
        [(event, fields)] = logged_events
        assert event == "peer connection closed: invalid sender address" and "nobody" in fields["error"]
        assert await node_b.received.get() == ("10.0.0.1:1", b"taken") and node_b.received.empty()
        node_b.pool.send("nobody", b"x")
        with pytest.raises(PeerCallError):
            await node_b.pool.call("nobody", b"x", 5)

    run_scenario(scenario)


def test_queued_frames_are_sent_over_an_incoming_connection(run_scenario):
    async def scenario(loop, node_a, node_b):
        await node_a.server.start()
        with socket.socket() as listener, socket.socket() as first, socket.socket() as second:
            listener.bind(node_b.host_port)
            listener.listen(0)
            for sock in (first, second):
                sock.setblocking(False)
                sock.connect_ex(node_b.host_port)
            node_a.pool.send(node_b.address, b"held")
            assert node_a.pool.routes[node_b.address].connect_task is not None
            node_b.pool.send(node_a.address, b"back again")
            assert await node_a.received.get() == (node_b.address, b"back again")
            assert await node_b.received.get() == (node_a.address, b"held")

    run_scenario(scenario)


def test_a_connection_whose_peer_does_not_read_is_aborted(run_scenario, logged_events, monkeypatch):
    async def scenario(loop, node_a, node_b):
        monkeypatch.setattr(connection, "MAX_UNSENT_BYTES", 200_000)
        await node_b.server.start()
        reader, writer = await asyncio.open_connection(*node_b.host_port, limit=1)
        writer.write(encode("10.0.0.1:1", 0, False, b"hello"))
        assert await node_b.received.get() == ("10.0.0.1:1", b"hello")
        [peer] = node_b.server.connections
        closed = loop.create_future()
        peer.on_close.append(lambda: closed.set_result(None))
        for _ in range(10_000):
            if peer.is_closed:
                break
            peer.send(bytes(50_000))
        await closed
        assert peer.is_closed and logged_events[0][0] == "peer connection closed: send buffer full"
        writer.close()

    run_scenario(scenario)


def test_sockets_have_the_options_that_detect_dead_connections(run_scenario):
    async def scenario(loop, node_a, node_b):
        await node_b.server.start()
        await node_a.pool.call(node_b.address, b"x", 5)
        for peer in (node_a.pool.routes[node_b.address].own_connection, *node_b.server.connections):
            sock = peer.transport.get_extra_info("socket")
            for level, option, value in connection.SOCKET_OPTIONS:
                assert sock.getsockopt(level, option) == value

    run_scenario(scenario)


def test_datagrams_are_delivered_and_invalid_ones_ignored(run_scenario):
    async def scenario(loop, node_a, node_b):
        received = asyncio.Queue()
        endpoints = [
            DatagramEndpoint(loop, (host, free_port()), lambda *arguments: received.put_nowait(arguments))
            for host in (HOST, OTHER)
        ]
        endpoints[0].send(format_address(endpoints[1].address), b"before the start")
        for endpoint in endpoints:
            await endpoint.start()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other_sock:
            other_sock.sendto(b"", endpoints[1].address)
            other_sock.sendto(b"\x07strange", endpoints[1].address)
            other_sock.sendto(b"\x01" + bytes(MAX_BODY_BYTES + 1), endpoints[1].address)
        endpoints[0].send(format_address(endpoints[1].address), bytes(MAX_BODY_BYTES))
        assert await received.get() == (format_address(endpoints[0].address), bytes(MAX_BODY_BYTES))
        endpoints[1].send(format_address(endpoints[0].address), b"")
        assert await received.get() == (format_address(endpoints[1].address), b"")
        with pytest.raises(ValueError):
            endpoints[0].send(format_address(endpoints[1].address), bytes(MAX_BODY_BYTES + 1))
        for endpoint in endpoints:
            endpoint.close()
        assert received.empty()

    run_scenario(scenario)


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
def test_a_violated_invariant_is_detected(fault):
    pool = PeerConnectionPool(None, f"{HOST}:7300", print, HOST)
    route = pool.route_to(f"{OTHER}:7300")
    route.own_connection = connection.PeerConnection(None, f"{HOST}:7300", print)
    pool.check_invariants()
    fault(pool, route)
    with pytest.raises(AssertionError):
        pool.check_invariants()
