"""The TCP ends of the link: a server, and links that keep one connection an address, opened when first used.

For the event loop of asyncio or uvloop. Addresses are "ip:port"; times are in seconds.
"""

import asyncio
import socket
from collections.abc import Callable

from shedgrade.peer_transport.address import parse_address
from shedgrade.peer_transport.connection import PeerCallError, PeerConnection, prepare
from shedgrade.peer_transport.frames import Frame, FrameError
from shedgrade.runtime.log import logger

BACKLOG = 128
DIAL = 1.0  # s that a dial may take
FIRST_PAUSE, LONGEST_PAUSE = 0.1, 0.5  # s after a failed dial before the next
LATELY = 1.0  # s since an adopted connection was heard from
MOST_WAITING, MOST_WAITING_BYTES = 256, 4 * 1024 * 1024  # frames that wait for a dial, an address


class PeerServer:
    """Takes connections at `address`. A handle answers a call by `peer.send(body, frame.number, True)`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        own: str,
        handle: Callable[[PeerConnection, Frame], None],
        adopt: Callable[[PeerConnection], None] | None = None,
    ) -> None:
        """`adopt`: told of each connection once its sender is known; see `PeerConnectionPool.adopt`."""
        self.loop, self.address, self.own = loop, address, own
        self.given, self.adopt = handle, adopt
        self.peers: set[PeerConnection] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens. OSError if the address can't be had."""
        handle = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            handle.setblocking(False)
            handle.bind(self.address)
            self.server = await self.loop.create_server(self.accepted, sock=handle, backlog=BACKLOG)
        except BaseException:
            handle.close()
            raise

    def accepted(self) -> PeerConnection:
        peer = PeerConnection(self.loop, self.own, self.handle)
        self.peers.add(peer)
        peer.on_close.append(lambda: self.peers.discard(peer))
        return peer

    def handle(self, peer: PeerConnection, frame: Frame) -> None:
        if self.adopt is not None and peer.frames == 1:
            self.adopt(peer)
        self.given(peer, frame)

    def close(self) -> None:
        """Stops listening and cuts what is open."""
        if self.server is not None:
            self.server.close()
        for peer in tuple(self.peers):
            peer.cut()


class Route:
    """One address: its connection, or the dial under way and what waits for it."""

    __slots__ = ("peer", "adopted", "dial", "waiting", "waiting_bytes", "pause", "not_before")

    def __init__(self) -> None:
        self.peer: PeerConnection | None = None
        self.adopted: PeerConnection | None = None
        self.dial: asyncio.Task | None = None
        self.waiting: list[tuple[bytes, asyncio.Future | None]] = []
        self.waiting_bytes = 0
        self.pause = 0.0
        self.not_before = 0.0


class PeerConnectionPool:
    """Sends to link addresses. One connection an address is kept, or one that came in from it is used.

    `handle(sender, frame)` gets the frames that come back over own connections, answers to own calls aside.
    `local_host`: the IP that own connections are bound to. `called(peer, frame)` gets the calls among them,
    as a `LinkServer`'s handle does: one that adopted our connection asks over it. None: `handle` gets all.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        own: str,
        handle: Callable[[str, Frame], None],
        local_host: str,
        called: Callable[[PeerConnection, Frame], None] | None = None,
    ) -> None:
        self.loop, self.own, self.given, self.local_host = loop, own, handle, local_host
        self.called = called
        self.routes: dict[str, Route] = {}
        self.closed = False

    def send(self, address: str, body: bytes) -> None:
        """One way; dropped if it can't go."""
        self.forward(address, body, None)

    async def call(self, address: str, body: bytes, timeout: float) -> bytes:
        """The body that answers. PeerCallError: no answer within `timeout` seconds, or none can come."""
        answer = self.loop.create_future()
        expiry = self.loop.call_later(timeout, expire, answer)
        try:
            self.forward(address, body, answer)
            return await answer
        finally:
            expiry.cancel()
            answer.cancel()

    def adopt(self, peer: PeerConnection) -> None:
        """An incoming connection whose frames name their sender: used for sending to that address while it is
        open and was heard from lately, so two processes need one connection and not two."""
        if not peer.sender or peer.closed or self.closed:
            return
        address = peer.sender
        route = self.route(address)
        route.adopted = peer
        peer.on_close.append(lambda: self.abandon(address, peer))
        self.flush(route, peer)  # one that returned comes to us while our dial still hangs

    def close(self) -> None:
        """Cuts own connections; calls under way end with a PeerCallError."""
        self.closed = True
        for route in self.routes.values():
            if route.dial is not None:
                route.dial.cancel()
            if route.peer is not None:
                route.peer.cut()
            self.drop(route, "closed")

    def route(self, address: str) -> Route:
        route = self.routes.get(address)
        if route is None:
            route = self.routes[address] = Route()
        return route

    def abandon(self, address: str, peer: PeerConnection) -> None:
        route = self.routes.get(address)
        if route is None:
            return
        if route.adopted is peer:
            route.adopted = None
        if route.peer is peer:
            route.peer = None
            if peer.frames or self.loop.time() - peer.opened > LATELY:
                route.pause = 0.0
            else:  # guards against a tight loop of dials to one who takes connections only to close them
                self.failed(route)

    def forward(self, address: str, body: bytes, answer: asyncio.Future | None) -> None:
        try:
            where = parse_address(address)
        except ValueError as error:  # guards against what a stranger said its address was
            logger.error("link: not sent: {}", str(error))
            refuse(answer, str(error))
            return
        route = self.route(address)
        adopted = route.adopted
        if adopted is not None and not adopted.closed and self.loop.time() - adopted.heard < LATELY:
            self.hand(adopted, body, answer)
        elif route.peer is not None and not route.peer.closed:
            self.hand(route.peer, body, answer)
        elif self.closed or self.loop.time() < route.not_before:
            refuse(answer, "not reached a moment ago")
        elif len(route.waiting) >= MOST_WAITING or (
            route.waiting_bytes + len(body) > MOST_WAITING_BYTES and route.waiting
        ):
            # Guards against memory filled by what waits for one address.
            refuse(answer, "too much waits for this address")
        else:
            route.waiting.append((body, answer))
            route.waiting_bytes += len(body)
            if route.dial is None:
                route.dial = self.loop.create_task(self.connect(address, where, route))

    def hand(self, peer: PeerConnection, body: bytes, answer: asyncio.Future | None) -> None:
        try:
            if answer is None:
                peer.send(body)
            elif not answer.done():  # its caller gave up while the dial was under way
                peer.ask(body, answer)
        except FrameError as error:
            logger.error("link: not sent to {}: {}", peer.name(), str(error))
            refuse(answer, str(error))

    async def connect(self, address: str, where: tuple[str, int], route: Route) -> None:
        handle = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            handle.setblocking(False)
            prepare(handle)
            handle.bind((self.local_host, 0))
            async with asyncio.timeout(DIAL):
                await self.loop.sock_connect(handle, where)
                _, peer = await self.loop.create_connection(
                    lambda: PeerConnection(self.loop, self.own, self.handle), sock=handle
                )
        except OSError:  # a TimeoutError too
            handle.close()
            route.dial = None
            self.failed(route)
            self.drop(route, "not reached")
            return
        except BaseException:
            handle.close()
            raise
        route.dial, route.peer = None, peer
        peer.on_close.append(lambda: self.abandon(address, peer))
        self.flush(route, peer)

    def flush(self, route: Route, peer: PeerConnection) -> None:
        waiting, route.waiting, route.waiting_bytes = route.waiting, [], 0
        for body, answer in waiting:
            self.hand(peer, body, answer)

    def failed(self, route: Route) -> None:
        """A member that returns is to be met at once, so pauses stay short."""
        route.pause = min(max(2 * route.pause, FIRST_PAUSE), LONGEST_PAUSE)
        route.not_before = self.loop.time() + route.pause

    def drop(self, route: Route, why: str) -> None:
        waiting, route.waiting, route.waiting_bytes = route.waiting, [], 0
        for _, answer in waiting:
            refuse(answer, why)

    def handle(self, peer: PeerConnection, frame: Frame) -> None:
        if frame.number and self.called is not None:
            self.called(peer, frame)
        else:
            self.given(frame.sender, frame)


def expire(answer: asyncio.Future) -> None:
    if not answer.done():
        answer.set_exception(PeerCallError("no answer in time"))


def refuse(answer: asyncio.Future | None, why: str) -> None:
    if answer is not None and not answer.done():
        answer.set_exception(PeerCallError(why))
