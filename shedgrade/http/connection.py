"""What every connection has in common: a ring a direction, and the rules of their reuse."""

import asyncio

from shedgrade.buffers.flow import PRESSED_QUEUE_BYTES
from shedgrade.buffers.ring import Ring
from shedgrade.http.socket_state import shut_down

READ_AHEAD_BYTES = 64 * 1024  # that may wait to be parsed: parsers take what comes, so no message must fit


class Connection(asyncio.BufferedProtocol):
    """Reads into one ring and writes from another.

    The transport may hold on to a written view, so bytes of the outgoing ring are reused only once all is
    flushed. Its mark for 'too much' is set to 0: it then calls `pause_writing` from within a write that the
    kernel did not take whole, and `resume_writing` once the kernel has all of it.
    """

    def __init__(self, budget=None) -> None:
        """`budget`: of bytes, where there is one; short of them, less is read ahead."""
        self.budget = budget
        self.incoming, self.outgoing = Ring(max_size=READ_AHEAD_BYTES, budget=budget), Ring(budget=budget)
        self.transport: asyncio.Transport = None  # type: ignore[assignment]  # until connection_made
        self.flushing = self.reading_paused = False

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """The connection is open."""
        self.transport = transport
        transport.set_write_buffer_limits(high=0)

    def cut(self) -> None:
        """Closes at once, in both directions."""
        shut_down(self.transport)

    def give_back(self) -> None:
        """It is lost: its rings are nobody's, though the transport may still hold views of them."""
        for ring in (self.incoming, self.outgoing):
            ring.shrink()
            ring.budget = None

    # --- reading

    def get_buffer(self, hint: int) -> memoryview:
        """Where the event loop is to write what it reads."""
        return self.incoming.space()

    def buffer_updated(self, count: int) -> None:
        """So many bytes have been read into that buffer."""
        self.incoming.filled(count)
        self.read()
        full = self.incoming.full() or (
            len(self.incoming) >= PRESSED_QUEUE_BYTES and self.budget is not None and self.budget.pressed()
        )
        if full and not self.reading_paused and not self.transport.is_closing():
            self.transport.pause_reading()
            self.reading_paused = True

    def used(self, count: int) -> None:
        """So many bytes of the incoming ring were parsed."""
        self.incoming.consume(count)
        if self.reading_paused and not self.transport.is_closing():
            self.transport.resume_reading()
            self.reading_paused = False

    def read(self) -> None:
        """Take what can be taken from the incoming ring."""
        raise NotImplementedError

    # --- writing

    def write(self, *pieces: bytes) -> bool:
        """Writes one message, or a piece of one; True if all of it has left this process."""
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
        """The kernel did not take all that was written."""
        self.flushing = True

    def resume_writing(self) -> None:
        """The kernel has all that was written."""
        self.flushing = False
        self.outgoing.consume(len(self.outgoing))
        self.flushed()

    def flushed(self) -> None:
        """What a write could not send at once has left this process too."""
