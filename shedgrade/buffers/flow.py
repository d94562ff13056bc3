"""Bytes of a long message on their way from one connection to another, bounded."""

from collections import deque
from collections.abc import Callable

from shedgrade.buffers.ring import ByteCounter

SMALL_MESSAGE_BYTES = 64 * 1024  # up to which a message is kept whole, and can be sent again
REPLAYABLE_BYTES = (
    2 * SMALL_MESSAGE_BYTES
)  # of a long one, kept until it is certain that none are needed again
QUEUE_BYTES = 64 * 1024  # that wait here at most: a read of the loop's, and a write of as much
PRESSED_QUEUE_BYTES = 8 * 1024  # the same when bytes are short: slow, but it moves
CHUNK_BYTES = 32 * 1024  # written at once


def nothing() -> None:
    """Stands for a callback that nobody wants."""


class Flow:
    """A queue of bytes. The source puts, and stops while it is `full`; the sink takes. Each wakes the other.

    Until more than REPLAYABLE_BYTES have come and some were taken, all bytes are still here: `rewind` begins
    anew for another sink.

    Attributes:
        chunks: what waits to be taken; `queued_bytes` in all.
        taken: what was taken and may be needed again, while all bytes are here; None from then on.
        total_bytes: all that have come.
        budgeted_bytes: those of `chunks` and `taken`, which the budget counts.
        ended: the last byte has come. `broken`: the source can't go on; nothing is here any more.
        discarding: the sink takes nothing more; what comes is thrown away.
        room: wakes the source, as there is room again.
        news: wakes the sink, as something has come.
        lost: called once: not all bytes are here any more.
    """

    __slots__ = (
        "budget",
        "chunks",
        "taken",
        "queued_bytes",
        "total_bytes",
        "budgeted_bytes",
        "ended",
        "broken",
        "discarding",
        "room",
        "news",
        "lost",
    )

    def __init__(self, budget: ByteCounter, chunks: list[bytes]) -> None:
        """`chunks`: what has come already."""
        self.budget = budget
        self.chunks: deque[bytes] = deque()
        self.taken: list[bytes] | None = []
        self.queued_bytes = 0
        self.total_bytes = 0
        self.budgeted_bytes = 0
        self.ended = False
        self.broken = False
        self.discarding = False
        self.room: Callable[[], None] = nothing
        self.news: Callable[[], None] = nothing
        self.lost: Callable[[], None] = nothing
        for chunk in chunks:
            self.put(chunk)

    def put(self, chunk: bytes) -> None:
        """Bytes have come from the source."""
        self.total_bytes += len(chunk)
        if self.discarding or self.broken:
            return
        self.chunks.append(chunk)
        self.queued_bytes += len(chunk)
        self.add_to_budget(len(chunk))
        if self.taken is not None and self.taken and self.total_bytes > REPLAYABLE_BYTES:
            self.let_go()
        self.news()

    def add_to_budget(self, more: int) -> None:
        """Bytes in memory are in the budget."""
        self.budgeted_bytes += more
        self.budget.bytes += more

    def let_go(self) -> None:
        """Bytes that were taken are not kept any longer."""
        if self.taken is not None:
            self.add_to_budget(-sum(map(len, self.taken)))
            self.taken = None
            self.lost()

    def full(self) -> bool:
        """Whether the source is to stop until `room` is called."""
        return self.queued_bytes >= (PRESSED_QUEUE_BYTES if self.budget.pressed() else QUEUE_BYTES) and not (
            self.discarding or self.broken
        )

    def take(self) -> bytes:
        """Some bytes for the sink, b"" if there are none."""
        if not self.chunks:
            return b""
        chunk = self.chunks.popleft()
        if len(chunk) > CHUNK_BYTES:
            self.chunks.appendleft(chunk[CHUNK_BYTES:])
            chunk = chunk[:CHUNK_BYTES]
        self.queued_bytes -= len(chunk)
        if self.taken is not None:
            self.taken.append(chunk)
            if self.total_bytes > REPLAYABLE_BYTES:
                self.let_go()
        else:
            self.add_to_budget(-len(chunk))
        self.room()
        return chunk

    def rewind(self) -> bool:
        """Begins anew for another sink; False if not all bytes are here."""
        if self.taken is None:
            return False
        self.queued_bytes += sum(map(len, self.taken))
        self.chunks.extendleft(reversed(self.taken))
        self.taken = []
        return True

    def end(self) -> None:
        """The last byte has come."""
        self.ended = True
        self.news()

    def break_off(self) -> None:
        """The source can't go on: the sink is to show that."""
        self.broken = True
        self.free()
        self.news()

    def discard(self) -> None:
        """Nobody takes any longer: what comes is thrown away, so that the source comes to its end."""
        self.discarding = True
        self.free()
        self.room()

    def free(self) -> None:
        """Drops all bytes."""
        self.chunks.clear()
        self.queued_bytes = 0
        self.taken = None
        self.add_to_budget(-self.budgeted_bytes)

    def check_invariants(self) -> None:
        """What holds between two calls, see the class. AssertionError if something doesn't."""
        queued = sum(map(len, self.chunks))
        kept = sum(map(len, self.taken or ()))
        assert queued == self.queued_bytes, (queued, self.queued_bytes)
        assert queued + kept == self.budgeted_bytes <= self.total_bytes, self.budgeted_bytes
        assert not ((self.broken or self.discarding) and (queued or kept))
