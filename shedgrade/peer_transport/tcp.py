"""The TCP ends: a server, and a pool that keeps one connection an address, opened when first used.

For the event loop of asyncio or uvloop. Addresses are "ip:port"; times are in seconds.
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
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.1, 0.5  # after a connection that failed, before the next
ADOPTED_FRESH_S = 1.0  # since an adopted connection was heard from, or ours opened: it is thought to be alive
MAX_QUEUED_FRAMES, MAX_QUEUED_BYTES = 256, 4 * 1024 * 1024  # an address, while its connection is opened


class PeerServer:
    """Takes connections at `address`. `on_frame` answers a call by `peer.send(body, frame.number, True)`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        own_address: str,
        on_frame: FrameHandler,
        adopt: Callable[[PeerConnection], None] | None = None,
    ) -> None:
        """`adopt`: called with each connection once its sender is known; see `PeerConnectionPool.adopt`."""
        self.loop = loop
        self.address = address
        self.own_address = own_address
        self.on_frame = on_frame
        self.adopt = adopt
        self.connections: set[PeerConnection] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens. OSError if the address can't be had."""
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
        """The protocol of a connection that comes in."""
        connection = PeerConnection(self.loop, self.own_address, self.handle_frame)
        self.connections.add(connection)
        connection.on_close.append(lambda: self.connections.discard(connection))
        return connection

    def handle_frame(self, connection: PeerConnection, frame: Frame) -> None:
        """Has the connection adopted with its first frame; passes all on."""
        if self.adopt is not None and connection.frames_received == 1:
            self.adopt(connection)
        self.on_frame(connection, frame)

    def close(self) -> None:
        """Stops listening and aborts what is open."""
        if self.server is not None:
            self.server.close()
        for connection in tuple(self.connections):
            connection.abort()


class QueuedFrame(NamedTuple):
    """A frame that waits for its connection. `answer`: of a call, None if it is one-way."""

    body: bytes
    answer: BytesFuture | None


class Route:
    """The way to one address.

    Attributes:
        connection: our own, None while there is none.
        adopted: one that came in from there, None while there is none. It is preferred to ours while fresh.
        connecting: the task that opens ours, None if none is under way.
        queue, queued_bytes: what waits for it. Empty unless `connecting`.
        backoff_s: before the next attempt; 0 after one that got through.
        retry_at: the loop's time before which no attempt is made, and what would need one is dropped.
    """

    __slots__ = ("connection", "adopted", "connecting", "queue", "queued_bytes", "backoff_s", "retry_at")

    def __init__(self) -> None:
        self.connection: PeerConnection | None = None
        self.adopted: PeerConnection | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.queue: list[QueuedFrame] = []
        self.queued_bytes = 0
        self.backoff_s = 0.0
        self.retry_at = 0.0

    def check_invariants(self) -> None:
        """AssertionError if an attribute breaks what the class says of it. For tests and the simulation."""
        assert self.queued_bytes == sum(len(frame.body) for frame in self.queue)
        assert len(self.queue) <= MAX_QUEUED_FRAMES
        assert not self.queue or self.connecting is not None
        assert 0 <= self.backoff_s <= MAX_BACKOFF_S

    def has_room(self, body: bytes) -> bool:
        """Whether the body may wait. The first one may, whatever its length."""
        if len(self.queue) >= MAX_QUEUED_FRAMES:
            return False
        return not self.queue or self.queued_bytes + len(body) <= MAX_QUEUED_BYTES

    def enqueue(self, frame: QueuedFrame) -> None:
        """Adds what waits."""
        self.queue.append(frame)
        self.queued_bytes += len(frame.body)

    def take_queue(self) -> list[QueuedFrame]:
        """All that waits, which no longer does."""
        queue, self.queue = self.queue, []
        self.queued_bytes = 0
        return queue


class PeerConnectionPool:
    """Sends to link addresses. One connection an address is kept, or one that came in from it is used.

    Attributes:
        on_response: gets the frames that come back over own connections, with their sender; answers to own
            calls aside.
        on_call: gets the calls among them, as a `PeerServer`'s handler does: a peer that adopted our
            connection calls over it. None: `on_response` gets all.
        local_host: the IP that own connections are bound to.
        routes: by link address.
        is_closed: set for good by `close`; nothing is sent any more.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        own_address: str,
        on_response: Callable[[str, Frame], None],
        local_host: str,
        on_call: FrameHandler | None = None,
    ) -> None:
        self.loop = loop
        self.own_address = own_address
        self.on_response = on_response
        self.local_host = local_host
        self.on_call = on_call
        self.routes: dict[str, Route] = {}
        self.is_closed = False

    def check_invariants(self) -> None:
        """AssertionError if an attribute of a route or an open connection breaks what its class says of it,
        or something waits after `close`. For tests and the simulation."""
        for route in self.routes.values():
            route.check_invariants()
            assert not (self.is_closed and route.queue)
            for connection in (route.connection, route.adopted):
                if connection is not None:
                    connection.check_invariants()

    def send(self, address: str, body: bytes) -> None:
        """One way; dropped if it can't go."""
        self.forward(address, QueuedFrame(body, None))

    async def call(self, address: str, body: bytes, timeout: float) -> bytes:
        """The body that answers. PeerCallError: no answer within `timeout` seconds, or none can come."""
        answer: BytesFuture = self.loop.create_future()
        timer = self.loop.call_later(timeout, fail, answer, "no answer in time")
        try:
            self.forward(address, QueuedFrame(body, answer))
            return await answer
        finally:
            timer.cancel()
            answer.cancel()

    def adopt(self, connection: PeerConnection) -> None:
        """An incoming connection whose frames name their sender: used for sending to that address while it is
        open and was heard from lately, so two processes need one connection and not two."""
        if not connection.sender or connection.is_closed or self.is_closed:
            return
        address = connection.sender
        route = self.route_to(address)
        route.adopted = connection
        connection.on_close.append(lambda: self.forget(address, connection))
        self.flush(route, connection)  # a peer that returned comes to us while our attempt still hangs

    def close(self) -> None:
        """Aborts own connections; calls under way end with a PeerCallError."""
        self.is_closed = True
        for route in self.routes.values():
            if route.connecting is not None:
                route.connecting.cancel()
            if route.connection is not None:
                route.connection.abort()
            self.drop_queue(route, "closed")

    def route_to(self, address: str) -> Route:
        """The route to the address, made when first used."""
        route = self.routes.get(address)
        if route is None:
            route = self.routes[address] = Route()
        return route

    def forget(self, address: str, connection: PeerConnection) -> None:
        """The connection is gone."""
        route = self.routes.get(address)
        if route is None:
            return
        if route.adopted is connection:
            route.adopted = None
        if route.connection is connection:
            route.connection = None
            if connection.frames_received or self.loop.time() - connection.opened_at > ADOPTED_FRESH_S:
                route.backoff_s = 0.0
            else:  # guards against a tight loop of attempts to one who takes connections only to close them
                self.back_off(route)

    def forward(self, address: str, frame: QueuedFrame) -> None:
        """Sends over the connection to the address, or opens one; fails the call if neither can be."""
        try:
            pair = parse_address(address)
        except ValueError as error:  # guards against what a stranger said its address was
            logger.error("message not sent: invalid peer address", error=str(error))
            fail(frame.answer, str(error))
            return
        route = self.route_to(address)
        connection = self.usable_connection(route)
        if connection is not None:
            self.transmit(connection, frame)
        elif self.is_closed or self.loop.time() < route.retry_at:
            fail(frame.answer, "not reached a moment ago")
        elif not route.has_room(frame.body):
            # Guards against memory filled by what waits for one address.
            fail(frame.answer, "too much waits for this address")
        else:
            route.enqueue(frame)
            if route.connecting is None:
                route.connecting = self.loop.create_task(self.connect(address, pair, route))

    def usable_connection(self, route: Route) -> PeerConnection | None:
        """The adopted connection if it was heard from lately, else our own."""
        adopted = route.adopted
        if (
            adopted is not None
            and not adopted.is_closed
            and self.loop.time() - adopted.last_heard_at < ADOPTED_FRESH_S
        ):
            return adopted
        if route.connection is not None and not route.connection.is_closed:
            return route.connection
        return None

    def transmit(self, connection: PeerConnection, frame: QueuedFrame) -> None:
        """Sends over an open connection."""
        try:
            if frame.answer is None:
                connection.send(frame.body)
            elif not frame.answer.done():  # its caller gave up while the connection was opened
                connection.call(frame.body, frame.answer)
        except FrameError as error:
            logger.error("message not sent: too long", peer=connection.peer_name(), error=str(error))
            fail(frame.answer, str(error))

    async def connect(self, address: str, pair: tuple[str, int], route: Route) -> None:
        """Opens our connection and sends what waits; drops that if it can't be opened."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            set_socket_options(sock)
            sock.bind((self.local_host, 0))
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.loop.sock_connect(sock, pair)
                _, connection = await self.loop.create_connection(
                    lambda: PeerConnection(self.loop, self.own_address, self.handle_frame), sock=sock
                )
        except OSError:  # a TimeoutError too
            sock.close()
            route.connecting = None
            self.back_off(route)
            self.drop_queue(route, "not reached")
            return
        except BaseException:
            sock.close()
            raise
        route.connecting = None
        route.connection = connection
        connection.on_close.append(lambda: self.forget(address, connection))
        self.flush(route, connection)

    def flush(self, route: Route, connection: PeerConnection) -> None:
        """Sends what waits."""
        for frame in route.take_queue():
            self.transmit(connection, frame)

    def back_off(self, route: Route) -> None:
        """A member that returns is to be met at once, so the backoff stays short."""
        route.backoff_s = min(max(2 * route.backoff_s, MIN_BACKOFF_S), MAX_BACKOFF_S)
        route.retry_at = self.loop.time() + route.backoff_s

    def drop_queue(self, route: Route, reason: str) -> None:
        """Fails the calls that wait; what is one-way is lost."""
        for frame in route.take_queue():
            fail(frame.answer, reason)

    def handle_frame(self, connection: PeerConnection, frame: Frame) -> None:
        """A frame that came over our own connection."""
        if frame.number and self.on_call is not None:
            self.on_call(connection, frame)
        else:
            self.on_response(frame.sender, frame)


def fail(answer: BytesFuture | None, reason: str) -> None:
    """Ends a call with a PeerCallError, unless it has ended."""
    if answer is not None and not answer.done():
        answer.set_exception(PeerCallError(reason))
