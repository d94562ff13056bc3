"""Either end of a TCP connection between own processes; frames are `frames.py`'s.

Sending is unreliable by contract: what can't go is dropped, and what a cut held up may come seconds late. A
connection is known to be dead once bytes stay unacknowledged for TCP_USER_TIMEOUT, or by its keep-alive
probes when nothing was sent.
"""

import asyncio
import socket
from collections.abc import Callable

from shedgrade.peer_transport.address import format_address, parse_address
from shedgrade.peer_transport.frames import LONGEST, Frame, FrameError, FrameReader, encode
from shedgrade.runtime.log import logger

UNACKNOWLEDGED_MS = 1500  # bytes without an acknowledgement for so long: the connection is dead
MOST_UNSENT = LONGEST  # bytes that may wait at one connection for a peer that doesn't read
OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
)


class PeerCallError(TimeoutError):
    """A call that got no answer: refused, cut off, or not in time."""


def prepare(handle: socket.socket) -> None:
    """Guards against connections that hang behind a cut: without these options they do so for minutes."""
    for level, option, value in OPTIONS:
        handle.setsockopt(level, option, value)


class PeerConnection(asyncio.Protocol):
    """Either end of one connection.

    `own`: this process's link address; `handle(peer, frame)` gets every frame but answers to own calls.
    To be looked at: `sender` (the link address that the other side gave, "" before its first frame), `opened`
    and `heard` (the loop's time at which the connection came and at which bytes came last), `closed`.
    `on_close` holds callables of no arguments, called once when the connection is gone.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, own: str, handle: Callable[["PeerConnection", Frame], None]
    ) -> None:
        self.loop, self.own, self.handle = loop, own, handle
        self.reader = FrameReader()
        self.transport: asyncio.Transport | None = None
        self.sender = ""
        self.opened = self.heard = 0.0
        self.frames = 0
        self.closed = False
        self.on_close: list[Callable[[], None]] = []
        self.calls: dict[int, asyncio.Future] = {}
        self.last_call = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.opened = self.heard = self.loop.time()
        prepare(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        self.heard = self.loop.time()
        try:
            frames = self.reader.feed(data)
        except FrameError as error:
            # Guards against a stranger or another version at the other end: nothing after it can be trusted.
            logger.warning("link: {} sent no frame, its connection is closed: {}", self.name(), str(error))
            self.cut()
            return
        for frame in frames:
            if self.closed:
                return
            if frame.sender != self.sender and not self.names(frame.sender):
                return
            self.frames += 1
            if not frame.answers:
                self.handle(self, frame)
                continue
            waiting = self.calls.pop(frame.number, None)
            if waiting is not None and not waiting.done():  # None: its caller has given up
                waiting.set_result(frame.body)

    def connection_lost(self, error: Exception | None) -> None:
        self.closed = True
        calls, self.calls = self.calls, {}
        for waiting in calls.values():
            if not waiting.done():
                waiting.set_exception(PeerCallError("the connection was lost"))
        callbacks, self.on_close = self.on_close, []
        for callback in callbacks:
            callback()

    def send(self, body: bytes, number: int = 0, answers: bool = False) -> None:
        """One frame, dropped if the connection is gone. FrameError: the body is too long."""
        if self.closed or self.transport is None or self.transport.is_closing():
            return
        data = encode(self.own, number, answers, body)
        if self.transport.get_write_buffer_size() + len(data) > MOST_UNSENT:
            # Guards against a peer that doesn't read: it would hold our memory.
            logger.warning("link: {} doesn't read, its connection is closed", self.name())
            self.cut()
            return
        self.transport.write(data)

    def ask(self, body: bytes, answer: asyncio.Future) -> int:
        """Sends a call; `answer` gets the body that answers it, or a PeerCallError. Returns the call's
        number.
        """
        if self.closed:
            answer.set_exception(PeerCallError("the connection was lost"))
            return 0
        self.last_call += 1
        self.calls[self.last_call] = answer
        answer.add_done_callback(lambda _, number=self.last_call: self.calls.pop(number, None))
        self.send(body, self.last_call)
        return self.last_call

    def names(self, sender: str) -> bool:
        """Takes the other side's name for itself; cut if it is no address, since answers would go there."""
        try:
            parse_address(sender)
        except ValueError as error:
            logger.warning(
                "link: {} names a sender that can't be, its connection is closed: {}", self.name(), str(error)
            )
            self.cut()
            return False
        self.sender = sender
        return True

    def name(self) -> str:
        return self.sender or format_address(self.transport.get_extra_info("peername") or ("?", 0))

    def cut(self) -> None:
        """Closes at once; what waits to be sent is lost."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()
