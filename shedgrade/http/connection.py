"""The base class of all connections: one ring per direction, and the rules for reusing their bytes."""

import asyncio

from shedgrade.buffers.flow import QUEUE_BYTES_UNDER_PRESSURE
from shedgrade.buffers.ring import Ring
from shedgrade.http.socket_state import shut_down

READ_AHEAD_BYTES = 64 * 1024  # may wait for the parser, which takes partial messages: no message need fit


class Connection(asyncio.BufferedProtocol):
    """Reads into one ring and writes from another.

    The transport may keep a reference to a written view, so bytes of the outgoing ring are reused only once
    all of them are flushed. The high-water mark of the transport is 0: it then calls `pause_writing` from
    within a write that the kernel did not take in full, and `resume_writing` once the kernel has all bytes.
    """

    def __init__(self, budget=None) -> None:
        """`budget`: counts the bytes of the rings, if given; less is read ahead when they are scarce."""
        self.budget = budget
        self.incoming, self.outgoing = Ring(max_size=READ_AHEAD_BYTES, budget=budget), Ring(budget=budget)
        self.transport: asyncio.Transport = None  # type: ignore[assignment]  # until connection_made
        self.flushing = self.reading_paused = False

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Called by the event loop when the connection is open."""
        self.transport = transport
        transport.set_write_buffer_limits(high=0)

    def cut(self) -> None:
        """Closes at once, in both directions."""
        shut_down(self.transport)

    def release_rings(self) -> None:
        """Releases the rings of a lost connection; the transport may still hold views of them."""
        for ring in (self.incoming, self.outgoing):
            ring.shrink()
            ring.budget = None

    # --- reading

    def get_buffer(self, hint: int) -> memoryview:
        """Called by the event loop: returns the buffer to read into."""
        return self.incoming.space()

    def buffer_updated(self, count: int) -> None:
        """Called by the event loop: `count` bytes were read into the buffer."""
        self.incoming.filled(count)
        self.read()
        full = self.incoming.full() or (
            len(self.incoming) >= QUEUE_BYTES_UNDER_PRESSURE
            and self.budget is not None
            and self.budget.under_pressure()
        )
        if full and not self.reading_paused and not self.transport.is_closing():
            self.transport.pause_reading()
            self.reading_paused = True

    def consume(self, count: int) -> None:
        """Removes `count` parsed bytes from the incoming ring, and resumes reading."""
        self.incoming.consume(count)
        if self.reading_paused and not self.transport.is_closing():
            self.transport.resume_reading()
            self.reading_paused = False

    def read(self) -> None:
        """Parses the bytes of the incoming ring, as far as that is possible now."""
        raise NotImplementedError

    # --- writing

    def write(self, *pieces: bytes) -> bool:
        """Writes one message, or a part of one; returns whether all of it has left this process."""
        before = len(self.outgoing)
        for piece in pieces:
            self.outgoing.put(piece)
        for part in self.outgoing.parts(before):
            self.transport.write(part)
        if self.flushing or self.transport.is_closing():
            return False
        self.outgoing.consume(len(self.outgoing))
        return True

    def pause_writing(self) -> None:
        """Called by the event loop: the kernel did not take all that was written."""
        self.flushing = True

    def resume_writing(self) -> None:
        """Called by the event loop: the kernel has all that was written."""
        self.flushing = False
        self.outgoing.consume(len(self.outgoing))
        self.flushed()

    def flushed(self) -> None:
        """Called when all bytes that a write could not send at once have left this process."""
