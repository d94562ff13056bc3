"""The TCP endpoints: a server, and a pool that keeps one connection for each address, opened on first use.

They run on the event loop of asyncio or uvloop. Addresses are "ip:port"; times are in seconds.
"""

import asyncio
import socket
from collections.abc import Callable
from typing import NamedTuple

from shedgrade.peer_transport.address import parse_address
from shedgrade.peer_transport.connection import (
    BytesFuture,
    FrameHandler,
    PeerCallError,
    PeerConnection,
    set_socket_options,
)
from shedgrade.peer_transport.frames import Frame, FrameError
from shedgrade.runtime.log import logger

BACKLOG = 128
CONNECT_TIMEOUT_S = 1.0
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.1, 0.5  # between a failed connection attempt and the next
# An adopted connection on which nothing arrived for longer may be dead, and isn't used. An own connection
# that was open for longer resets the backoff.
ADOPTED_FRESH_S = 1.0
MAX_QUEUED_FRAMES, MAX_QUEUED_BYTES = 256, 4 * 1024 * 1024  # for one address, while its connection is opened


class PeerServer:
    """Accepts connections at `address`.

    `on_frame` answers a call by `peer.send(body, frame.call_number, is_response=True)`.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        own_address: str,
        on_frame: FrameHandler,
        adopt: Callable[[PeerConnection], None] | None = None,
    ) -> None:
        """`adopt`: called with each connection at its first frame, once its sender is known; see
        `PeerConnectionPool.adopt`."""
        self.loop = loop
        self.address = address
        self.own_address = own_address
        self.on_frame = on_frame
        self.adopt = adopt
        self.connections: set[PeerConnection] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen. Raises OSError if the address can't be bound."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setblocking(False)
            sock.bind(self.address)
            self.server = await self.loop.create_server(self.make_connection, sock=sock, backlog=BACKLOG)
        except BaseException:
            sock.close()
            raise

    def make_connection(self) -> PeerConnection:
        """Creates the protocol of an incoming connection."""
        connection = PeerConnection(self.loop, self.own_address, self.handle_frame)
        self.connections.add(connection)
        connection.on_close.append(lambda: self.connections.discard(connection))
        return connection

    def handle_frame(self, connection: PeerConnection, frame: Frame) -> None:
        """Passes the connection to `adopt` at its first frame, and each frame to `on_frame`."""
        if self.adopt is not None and connection.frames_received == 1:
            self.adopt(connection)
        self.on_frame(connection, frame)

    def close(self) -> None:
        """Stops listening and aborts open connections."""
        if self.server is not None:
            self.server.close()
        for connection in tuple(self.connections):
            connection.abort()


class QueuedFrame(NamedTuple):
    """A frame that waits for an open connection. `answer`: future of a call, None if it is one-way."""

    body: bytes
    answer: BytesFuture | None


class Route:
    """The connections to one address, and the frames that wait for one.

    Attributes:
        own_connection: connection that this process opened, None while there is none.
        adopted_connection: incoming connection from the address, None while there is none. Preferred to
            `own_connection` while bytes arrived on it within ADOPTED_FRESH_S.
        connect_task: opens `own_connection`, None if none is running.
        queue, queued_bytes: frames that wait for the task, and the length of their bodies; empty without it.
        backoff_s: pause before the next connection attempt; 0 after a connection that worked.
        retry_at: the loop's time before which no attempt is made; frames that would need one are dropped.
    """

    __slots__ = (
        "own_connection",
        "adopted_connection",
        "connect_task",
        "queue",
        "queued_bytes",
        "backoff_s",
        "retry_at",
    )

    def __init__(self) -> None:
        self.own_connection: PeerConnection | None = None
        self.adopted_connection: PeerConnection | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.queue: list[QueuedFrame] = []
        self.queued_bytes = 0
        self.backoff_s = 0.0
        self.retry_at = 0.0

    def check_invariants(self) -> None:
        """Raises AssertionError if an attribute breaks its description. For tests and the simulation."""
        assert self.queued_bytes == sum(len(frame.body) for frame in self.queue)
        assert len(self.queue) <= MAX_QUEUED_FRAMES
        assert not self.queue or self.connect_task is not None
        assert 0 <= self.backoff_s <= MAX_BACKOFF_S

    def has_room(self, body: bytes) -> bool:
        """Returns whether the body fits the queue. An empty queue accepts a body of any length."""
        if len(self.queue) >= MAX_QUEUED_FRAMES:
            return False
        return not self.queue or self.queued_bytes + len(body) <= MAX_QUEUED_BYTES

    def enqueue(self, frame: QueuedFrame) -> None:
        """Adds a frame to the queue."""
        self.queue.append(frame)
        self.queued_bytes += len(frame.body)

    def take_queue(self) -> list[QueuedFrame]:
        """Empties the queue and returns its frames."""
        queue, self.queue = self.queue, []
        self.queued_bytes = 0
        return queue


class PeerConnectionPool:
    """Sends frames to link addresses. It keeps one connection for each address, or uses an incoming one.

    Attributes:
        on_message: called with the sender and the frame for each frame on own connections that isn't the
            answer to an own call.
        on_call: called with the connection and the frame for calls on own connections instead, as a
            `PeerServer`'s handler is: a peer that adopted the connection sends its calls over it. None:
            `on_message` gets them.
        local_host: IP address that own connections are bound to.
        routes: by link address.
        is_closed: set for good by `close`; nothing is sent afterwards.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        own_address: str,
        on_message: Callable[[str, Frame], None],
        local_host: str,
        on_call: FrameHandler | None = None,
    ) -> None:
        self.loop = loop
        self.own_address = own_address
        self.on_message = on_message
        self.local_host = local_host
        self.on_call = on_call
        self.routes: dict[str, Route] = {}
        self.is_closed = False

    def check_invariants(self) -> None:
        """Raises AssertionError if an attribute of a route or a connection breaks its description, or a frame
        is queued after `close`. For tests and the simulation."""
        for route in self.routes.values():
            route.check_invariants()
            assert not (self.is_closed and route.queue)
            for connection in (route.own_connection, route.adopted_connection):
                if connection is not None:
                    connection.check_invariants()

    def send(self, address: str, body: bytes) -> None:
        """Sends a one-way frame; drops it if it can't be sent."""
        self.send_or_queue(address, QueuedFrame(body, None))

    async def call(self, address: str, body: bytes, timeout: float) -> bytes:
        """Sends a call and returns the body of its answer. Raises PeerCallError if none arrives within
        `timeout` seconds, or none can arrive."""
        answer: BytesFuture = self.loop.create_future()
        timer = self.loop.call_later(timeout, fail_call, answer, "no answer in time")
        try:
            self.send_or_queue(address, QueuedFrame(body, answer))
            return await answer
        finally:
            timer.cancel()
            answer.cancel()

    def adopt(self, connection: PeerConnection) -> None:
        """Uses an incoming connection whose sender is known to send to that sender's address, while it is
        open and fresh, so that two processes need only one connection."""
        if not connection.sender or connection.is_closed or self.is_closed:
            return
        address = connection.sender
        route = self.route_to(address)
        route.adopted_connection = connection
        connection.on_close.append(lambda: self.remove_connection(address, connection))
        self.flush(route, connection)  # a peer that was unreachable may connect while our attempt still hangs

    def close(self) -> None:
        """Aborts own connections; pending calls fail with a PeerCallError."""
        self.is_closed = True
        for route in self.routes.values():
            if route.connect_task is not None:
                route.connect_task.cancel()
            if route.own_connection is not None:
                route.own_connection.abort()
            self.drop_queue(route, "closed")

    def route_to(self, address: str) -> Route:
        """Returns the route to the address, created on first use."""
        route = self.routes.get(address)
        if route is None:
            route = self.routes[address] = Route()
        return route

    def remove_connection(self, address: str, connection: PeerConnection) -> None:
        """Removes a closed connection from its route."""
        route = self.routes.get(address)
        if route is None:
            return
        if route.adopted_connection is connection:
            route.adopted_connection = None
        if route.own_connection is connection:
            route.own_connection = None
            if connection.frames_received or self.loop.time() - connection.opened_at > ADOPTED_FRESH_S:
                route.backoff_s = 0.0
            else:  # prevents a tight loop of attempts if the peer accepts connections and closes them at once
                self.back_off(route)

    def send_or_queue(self, address: str, frame: QueuedFrame) -> None:
        """Sends over a usable connection, else queues the frame and opens one. If neither is possible, drops
        the frame and fails its call."""
        try:
            host_port = parse_address(address)
        except ValueError as error:  # a peer may have given an invalid address as its own
            logger.error("message not sent: invalid peer address", error=str(error))
            fail_call(frame.answer, str(error))
            return
        route = self.route_to(address)
        connection = self.usable_connection(route)
        if connection is not None:
            self.transmit(connection, frame)
        elif self.is_closed or self.loop.time() < route.retry_at:
            fail_call(frame.answer, "no connection: pool closed or in backoff")
        elif not route.has_room(frame.body):
            # Bounds the memory that frames for one address take.
            fail_call(frame.answer, "send queue of the address is full")
        else:
            route.enqueue(frame)
            if route.connect_task is None:
                route.connect_task = self.loop.create_task(self.connect(address, host_port, route))

    def usable_connection(self, route: Route) -> PeerConnection | None:
        """Returns the adopted connection if it is fresh, else our own if it is open, else None."""
        adopted = route.adopted_connection
        if (
            adopted is not None
            and not adopted.is_closed
            and self.loop.time() - adopted.last_heard_at < ADOPTED_FRESH_S
        ):
            return adopted
        if route.own_connection is not None and not route.own_connection.is_closed:
            return route.own_connection
        return None

    def transmit(self, connection: PeerConnection, frame: QueuedFrame) -> None:
        """Sends a frame over an open connection."""
        try:
            if frame.answer is None:
                connection.send(frame.body)
            elif not frame.answer.done():  # its caller gave up while the connection was opened
                connection.call(frame.body, frame.answer)
        except FrameError as error:
            logger.error("message not sent: too long", peer=connection.peer_name(), error=str(error))
            fail_call(frame.answer, str(error))

    async def connect(self, address: str, host_port: tuple[str, int], route: Route) -> None:
        """Opens a connection to the address, and sends the queued frames; drops them if the attempt fails."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            set_socket_options(sock)
            sock.bind((self.local_host, 0))
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.loop.sock_connect(sock, host_port)
                _, connection = await self.loop.create_connection(
                    lambda: PeerConnection(self.loop, self.own_address, self.handle_frame), sock=sock
                )
        except OSError:  # includes TimeoutError
            sock.close()
            route.connect_task = None
            self.back_off(route)
            self.drop_queue(route, "connection attempt failed")
            return
        except BaseException:
            sock.close()
            raise
        route.connect_task = None
        route.own_connection = connection
        connection.on_close.append(lambda: self.remove_connection(address, connection))
        self.flush(route, connection)

    def flush(self, route: Route, connection: PeerConnection) -> None:
        """Sends the queued frames."""
        for frame in route.take_queue():
            self.transmit(connection, frame)

    def back_off(self, route: Route) -> None:
        """Doubles the pause before the next attempt. It stays short, so that a peer that is reachable again
        is soon connected."""
        route.backoff_s = min(max(2 * route.backoff_s, MIN_BACKOFF_S), MAX_BACKOFF_S)
        route.retry_at = self.loop.time() + route.backoff_s

    def drop_queue(self, route: Route, reason: str) -> None:
        """Drops the queued frames and fails the calls among them."""
        for frame in route.take_queue():
            fail_call(frame.answer, reason)

    def handle_frame(self, connection: PeerConnection, frame: Frame) -> None:
        """Passes on a frame that arrived on an own connection."""
        if frame.call_number and self.on_call is not None:
            self.on_call(connection, frame)
        else:
            self.on_message(frame.sender, frame)


def fail_call(answer: BytesFuture | None, reason: str) -> None:
    """Fails a call with a PeerCallError, unless it is done."""
    if answer is not None and not answer.done():
        answer.set_exception(PeerCallError(reason))
