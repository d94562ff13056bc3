"""Either end of a TCP connection between the system's own processes; it carries frames of `frames.py`.

Delivery is not guaranteed: a frame that can't be sent is dropped, and one that a partition delayed may arrive
seconds late. A dead connection is detected once sent bytes stay unacknowledged for TCP_USER_TIMEOUT, or by
keep-alive probes when nothing was sent.
"""

import asyncio
import socket
from collections.abc import Callable

from shedgrade.peer_transport.address import format_address, parse_address
from shedgrade.peer_transport.frames import MAX_FRAME_BYTES, Frame, FrameError, FrameReader, encode
from shedgrade.runtime.log import logger

UNACKNOWLEDGED_TIMEOUT_MS = 1500  # sent bytes that stay unacknowledged for longer end the connection
MAX_UNSENT_BYTES = MAX_FRAME_BYTES  # send buffer of one connection, whose peer may have stopped reading
SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
)


class PeerCallError(TimeoutError):
    """A call that got no answer: it was refused, its connection was lost, or its time-out passed."""


def set_socket_options(sock: socket.socket) -> None:
    """Sets SOCKET_OPTIONS; without them a connection behind a partition hangs for minutes."""
    for level, option, value in SOCKET_OPTIONS:
        sock.setsockopt(level, option, value)


FrameHandler = Callable[["PeerConnection", Frame], None]
BytesFuture = asyncio.Future[bytes]


class PeerConnection(asyncio.Protocol):
    """Either end of one connection.

    Attributes:
        own_address: link address of this process.
        on_frame: called with each frame that isn't the answer to a call of this end.
        sender: link address that the peer gives in its frames; "" before its first frame.
        opened_at, last_heard_at: the loop's time when the connection was made, and when bytes last arrived.
        frames_received: number of frames so far.
        is_closed: set for good when the connection is lost or aborted; nothing is sent or handled afterwards.
        on_close: callables without arguments, called once when the connection is lost.
        pending_calls: futures of unanswered calls, by call number; empty once the connection is lost.
        last_call_number: number of the last call; the first call has number 1.
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
        self.last_call_number = 0

    def check_invariants(self) -> None:
        """Raises AssertionError if an attribute breaks its description. For tests and the simulation."""
        assert all(0 < number <= self.last_call_number for number in self.pending_calls)
        assert self.opened_at <= self.last_heard_at
        if self.frames_received:
            assert self.sender
            assert self.transport is not None

    # --- called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and sets its socket's options."""
        self.transport = transport  # type: ignore[assignment]
        self.opened_at = self.last_heard_at = self.loop.time()
        set_socket_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Handles the frames that are complete; aborts the connection if the data is invalid."""
        self.last_heard_at = self.loop.time()
        try:
            frames = self.reader.feed(data)
        except FrameError as error:
            # The peer is a foreign program or another version: the rest of its stream can't be trusted.
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
        """Fails the pending calls, and calls the callbacks of `on_close`."""
        self.is_closed = True
        calls, self.pending_calls = self.pending_calls, {}
        for answer in calls.values():
            if not answer.done():
                answer.set_exception(PeerCallError("connection lost"))
        callbacks, self.on_close = self.on_close, []
        for callback in callbacks:
            callback()

    # --- called by this package and by handlers of frames

    def send(self, body: bytes, number: int = 0, is_response: bool = False) -> None:
        """Sends a frame; drops it if the connection is closed. Raises FrameError if the body is too long."""
        if self.is_closed or self.transport is None or self.transport.is_closing():
            return
        data = encode(self.own_address, number, is_response, body)
        if self.transport.get_write_buffer_size() + len(data) > MAX_UNSENT_BYTES:
            # A peer that doesn't read would make the send buffer grow without a bound.
            logger.warning("peer connection closed: send buffer full", peer=self.peer_name())
            self.abort()
            return
        self.transport.write(data)

    def call(self, body: bytes, answer: BytesFuture) -> int:
        """Sends a call and returns its number. `answer` gets the body of the response, or a PeerCallError."""
        if self.is_closed:
            answer.set_exception(PeerCallError("connection lost"))
            return 0
        self.last_call_number += 1
        number = self.last_call_number
        self.pending_calls[number] = answer
        answer.add_done_callback(lambda _: self.pending_calls.pop(number, None))
        self.send(body, number)
        return number

    def complete_call(self, frame: Frame) -> None:
        """Passes a response to its call; drops it if the caller has given up."""
        answer = self.pending_calls.pop(frame.call_number, None)
        if answer is not None and not answer.done():
            answer.set_result(frame.body)

    def accept_sender(self, sender: str) -> bool:
        """Stores the peer's link address; aborts the connection if it is invalid, since frames to the peer
        would be sent there. Returns whether it is valid."""
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
        """Returns the peer's link address for the log; before its first frame, its socket address."""
        if self.sender or self.transport is None:
            return self.sender
        return format_address(self.transport.get_extra_info("peername") or ("?", 0))

    def abort(self) -> None:
        """Closes the connection at once; unsent bytes are lost."""
        self.is_closed = True
        if self.transport is not None:
            self.transport.abort()
