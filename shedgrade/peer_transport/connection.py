"""Either end of a TCP connection between own processes; frames are those of `frames.py`.

Sending is unreliable by contract: what can't go is dropped, and what a partition held up may come seconds
late. A connection is known to be dead once bytes stay unacknowledged for TCP_USER_TIMEOUT, or by its
keep-alive probes when nothing was sent.
"""

import asyncio
import socket
from collections.abc import Callable

from shedgrade.peer_transport.address import format_address, parse_address
from shedgrade.peer_transport.frames import MAX_FRAME_BYTES, Frame, FrameError, FrameReader, encode
from shedgrade.runtime.log import logger

UNACKNOWLEDGED_TIMEOUT_MS = 1500  # bytes without an acknowledgement for so long: the connection is dead
MAX_UNSENT_BYTES = MAX_FRAME_BYTES  # at one connection, for a peer that doesn't read
SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
)


class PeerCallError(TimeoutError):
    """A call that got no answer: refused, cut off, or not in time."""


def set_socket_options(sock: socket.socket) -> None:
    """Guards against connections that hang behind a partition: without these options they do for minutes."""
    for level, option, value in SOCKET_OPTIONS:
        sock.setsockopt(level, option, value)


FrameHandler = Callable[["PeerConnection", Frame], None]
BytesFuture = asyncio.Future[bytes]


class PeerConnection(asyncio.Protocol):
    """Either end of one connection.

    Attributes:
        own_address: this process's link address.
        on_frame: called with every frame but the answers to own calls.
        sender: the link address that the other side gave; "" before its first frame.
        opened_at, last_heard_at: the loop's time of the start, and at which bytes came last.
        frames_received: counts them.
        is_closed: set for good once the connection is lost or aborted; nothing is sent or handled any more.
        on_close: callables of no arguments, called once when the connection is gone.
        pending_calls: answers to come, by the number of the call; empty once the connection is gone.
        last_call: the number of the last call; they count up from 1.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, own_address: str, on_frame: FrameHandler) -> None:
        self.loop = loop
        self.own_address = own_address
        self.on_frame = on_frame
        self.reader = FrameReader()
        self.transport: asyncio.Transport | None = None
        self.sender = ""
        self.opened_at = 0.0
        self.last_heard_at = 0.0
        self.frames_received = 0
        self.is_closed = False
        self.on_close: list[Callable[[], None]] = []
        self.pending_calls: dict[int, BytesFuture] = {}
        self.last_call = 0

    def check_invariants(self) -> None:
        """AssertionError if an attribute breaks what the class says of it. For tests and the simulation."""
        assert all(0 < number <= self.last_call for number in self.pending_calls)
        assert self.opened_at <= self.last_heard_at
        if self.frames_received:
            assert self.sender
            assert self.transport is not None

    # --- called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        self.transport = transport  # type: ignore[assignment]
        self.opened_at = self.last_heard_at = self.loop.time()
        set_socket_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Handles the frames that are complete; aborts the connection on anything else."""
        self.last_heard_at = self.loop.time()
        try:
            frames = self.reader.feed(data)
        except FrameError as error:
            # Guards against a stranger or another version at the other end: nothing after it can be trusted.
            logger.warning("peer connection closed: invalid frame", peer=self.peer_name(), error=str(error))
            self.abort()
            return
        for frame in frames:
            if self.is_closed:
                return
            if frame.sender != self.sender and not self.accept_sender(frame.sender):
                return
            self.frames_received += 1
            if frame.is_response:
                self.complete_call(frame)
            else:
                self.on_frame(self, frame)

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the calls under way, and tells who asked for it."""
        self.is_closed = True
        calls, self.pending_calls = self.pending_calls, {}
        for answer in calls.values():
            if not answer.done():
                answer.set_exception(PeerCallError("the connection was lost"))
        callbacks, self.on_close = self.on_close, []
        for callback in callbacks:
            callback()

    # --- called by this package and by handlers of frames

    def send(self, body: bytes, number: int = 0, is_response: bool = False) -> None:
        """One frame, dropped if the connection is gone. FrameError: the body is too long."""
        if self.is_closed or self.transport is None or self.transport.is_closing():
            return
        data = encode(self.own_address, number, is_response, body)
        if self.transport.get_write_buffer_size() + len(data) > MAX_UNSENT_BYTES:
            # Guards against a peer that doesn't read: it would hold our memory.
            logger.warning("peer connection closed: send buffer full", peer=self.peer_name())
            self.abort()
            return
        self.transport.write(data)

    def call(self, body: bytes, answer: BytesFuture) -> int:
        """Sends a call; `answer` gets the body that answers it, or a PeerCallError. Returns its number."""
        if self.is_closed:
            answer.set_exception(PeerCallError("the connection was lost"))
            return 0
        self.last_call += 1
        number = self.last_call
        self.pending_calls[number] = answer
        answer.add_done_callback(lambda _: self.pending_calls.pop(number, None))
        self.send(body, number)
        return number

    def complete_call(self, frame: Frame) -> None:
        """An answer; it is dropped if its caller has given up."""
        answer = self.pending_calls.pop(frame.number, None)
        if answer is not None and not answer.done():
            answer.set_result(frame.body)

    def accept_sender(self, sender: str) -> bool:
        """Takes the other side's address for its name; aborts if it is none, since answers would go there."""
        try:
            parse_address(sender)
        except ValueError as error:
            logger.warning(
                "peer connection closed: invalid sender address", peer=self.peer_name(), error=str(error)
            )
            self.abort()
            return False
        self.sender = sender
        return True

    def peer_name(self) -> str:
        """Who is at the other end, for the log: its link address, else that of its socket."""
        if self.sender or self.transport is None:
            return self.sender
        return format_address(self.transport.get_extra_info("peername") or ("?", 0))

    def abort(self) -> None:
        """Closes at once; what waits to be sent is lost."""
        self.is_closed = True
        if self.transport is not None:
            self.transport.abort()
