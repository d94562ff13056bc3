"""What every connection has in common: a ring a direction, and the rules of their reuse."""

import asyncio
import socket
from collections.abc import Iterable

from shedgrade.buffers.flow import PRESSED
from shedgrade.buffers.ring import Ring

LONGEST_HEAD = 64 * 1024
LONGEST_BODY = 32 * 1024 * 1024
READ_AHEAD = 64 * 1024  # bytes that may wait to be read: parsers take what comes, so no message must fit
# Headers that belong to one connection, or that each side writes anew.
HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
BLANKS = b" \t"  # may stand round a header's value, and belong to nobody
KNOWN_BY = frozenset(
    (
        b"x-request-id",
        b"x-timeout-ms",
        b"x-retried",
        b"x-attrs",
        b"x-tenant-id",
        b"host",
        b"attempt-id",
        b"time-remaining",
    )
)


class MessageError(Exception):
    """A message that cannot be accepted; carries the HTTP status that says so."""


def passed_on(headers: Iterable[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """What goes on to the other side: not what belongs to a connection, by its name or as `Connection` says.
    Guards against a `Connection` that names what the RPC is known by: that goes on all the same."""
    headers = [(name, value, name.lower()) for name, value in headers]
    own = {
        token.strip().lower()
        for _, value, lower in headers
        if lower == b"connection"
        for token in value.split(b",")
    } - KNOWN_BY
    return [(name, value) for name, value, lower in headers if lower not in HOP and lower not in own]


def declared(headers: Iterable[tuple[bytes, bytes]]) -> int | None:
    """The length of the body that a head says, if it says one."""
    return next((int(value) for name, value in headers if name.lower() == b"content-length"), None)


class Connection(asyncio.BufferedProtocol):
    """Reads into one ring and writes from another.

    The transport may hold on to a written view, so bytes of the outgoing ring are reused only once all is
    flushed. Its mark for 'too much' is set to 0: it then calls `pause_writing` from within a write that the
    kernel did not take whole, and `resume_writing` once the kernel has all of it.
    """

    def __init__(self, budget=None) -> None:
        """`budget`: of bytes, where there is one; short of them, less is read ahead."""
        self.budget = budget
        self.incoming, self.outgoing = Ring(most=READ_AHEAD, budget=budget), Ring(budget=budget)
        self.transport: asyncio.Transport | None = None
        self.flushing = self.reading_paused = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=0)

    def cut(self) -> None:
        """Closes at once.

        Guards against two transmissions out side by side, and against bytes that still leave after a stop:
        uvloop closes only in its next pass, after what this one writes elsewhere.
        """
        if self.transport.is_closing():
            return
        handle = socket.socket(fileno=self.transport.get_extra_info("socket").fileno())
        try:
            handle.shutdown(socket.SHUT_RDWR)
        except OSError:  # it is down already
            pass
        finally:
            handle.detach()
        self.transport.abort()

    def give_back(self) -> None:
        """It is lost: its rings are nobody's, though the transport may still hold views of them."""
        for ring in (self.incoming, self.outgoing):
            ring.shrink()
            ring.budget = None

    # --- reading

    def get_buffer(self, hint: int) -> memoryview:
        return self.incoming.space()

    def buffer_updated(self, count: int) -> None:
        self.incoming.filled(count)
        self.read()
        full = self.incoming.full() or (
            len(self.incoming) >= PRESSED and self.budget is not None and self.budget.pressed()
        )
        if full and not self.reading_paused and not self.transport.is_closing():
            self.transport.pause_reading()
            self.reading_paused = True

    def used(self, count: int) -> None:
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
        self.flushing = True

    def resume_writing(self) -> None:
        self.flushing = False
        self.outgoing.consume(len(self.outgoing))
        self.flushed()

    def flushed(self) -> None:
        """What a write could not send at once has left this process too."""
