"""A bounded queue for the bytes of a long message on their way from one connection to another."""

from collections import deque
from collections.abc import Callable

from shedgrade.buffers.ring import ByteCounter

SMALL_MESSAGE_BYTES = 64 * 1024  # a message up to this size is buffered whole, and can be sent again
# Bytes of a long message that are kept for a replay, until it is certain that no replay is needed.
REPLAYABLE_BYTES = 2 * SMALL_MESSAGE_BYTES
QUEUE_BYTES = 64 * 1024  # limit of the queue: one read of the event loop, and one write of the same size
QUEUE_BYTES_UNDER_PRESSURE = 8 * 1024  # the same under memory pressure: slow, but the flow still advances
CHUNK_BYTES = 32 * 1024  # largest chunk that is written at once


def no_op() -> None:
    """Does nothing; the default callback."""


class Flow:
    """A queue of bytes between a source that puts them and a sink that takes them.

    The source stops putting while the flow is `full`. Each side wakes the other by a callback.

    All bytes stay available until more than REPLAYABLE_BYTES have been put and some of them were taken. Until
    then `rewind` starts again from the first byte for another sink.

    Attributes:
        chunks: bytes that wait to be taken.
        queued_bytes: the size of `chunks`.
        replay_chunks: bytes that were taken and are kept for a replay; None once they are no longer kept.
        total_bytes: all bytes that were put.
        budgeted_bytes: the size of `chunks` and `replay_chunks`, which the budget counts.
        ended: the last byte was put.
        broken: the source has failed; all bytes were dropped.
        discarding: the sink takes nothing more; bytes that are put are dropped.
        on_space: callback that wakes the source: there is space again.
        on_data: callback that wakes the sink: bytes were put, or the flow has ended or broken.
        on_replay_lost: callback, called once: the flow can no longer be replayed.
    """

    __slots__ = (
        "budget",
        "chunks",
        "replay_chunks",
        "queued_bytes",
        "total_bytes",
        "budgeted_bytes",
        "ended",
        "broken",
        "discarding",
        "on_space",
        "on_data",
        "on_replay_lost",
    )

    def __init__(self, budget: ByteCounter, chunks: list[bytes]) -> None:
        """`chunks`: bytes that have already been received."""
        self.budget = budget
        self.chunks: deque[bytes] = deque()
        self.replay_chunks: list[bytes] | None = []
        self.queued_bytes = 0
        self.total_bytes = 0
        self.budgeted_bytes = 0
        self.ended = False
        self.broken = False
        self.discarding = False
        self.on_space: Callable[[], None] = no_op
        self.on_data: Callable[[], None] = no_op
        self.on_replay_lost: Callable[[], None] = no_op
        for chunk in chunks:
            self.put(chunk)

    def put(self, chunk: bytes) -> None:
        """Adds bytes from the source."""
        self.total_bytes += len(chunk)
        if self.discarding or self.broken:
            return
        self.chunks.append(chunk)
        self.queued_bytes += len(chunk)
        self.add_to_budget(len(chunk))
        if self.replay_chunks is not None and self.replay_chunks and self.total_bytes > REPLAYABLE_BYTES:
            self.drop_replay()
        self.on_data()

    def add_to_budget(self, more: int) -> None:
        """Adds `more` to the bytes that the budget counts for this flow."""
        self.budgeted_bytes += more
        self.budget.bytes += more

    def drop_replay(self) -> None:
        """Drops the bytes kept for a replay."""
        if self.replay_chunks is not None:
            self.add_to_budget(-sum(map(len, self.replay_chunks)))
            self.replay_chunks = None
            self.on_replay_lost()

    def full(self) -> bool:
        """Whether the source must stop until `on_space` is called."""
        return self.queued_bytes >= (
            QUEUE_BYTES_UNDER_PRESSURE if self.budget.under_pressure() else QUEUE_BYTES
        ) and not (self.discarding or self.broken)

    def take(self) -> bytes:
        """Takes the next bytes for the sink; returns b"" if there are none."""
        if not self.chunks:
            return b""
        chunk = self.chunks.popleft()
        if len(chunk) > CHUNK_BYTES:
            self.chunks.appendleft(chunk[CHUNK_BYTES:])
            chunk = chunk[:CHUNK_BYTES]
        self.queued_bytes -= len(chunk)
        if self.replay_chunks is not None:
            self.replay_chunks.append(chunk)
            if self.total_bytes > REPLAYABLE_BYTES:
                self.drop_replay()
        else:
            self.add_to_budget(-len(chunk))
        self.on_space()
        return chunk

    def rewind(self) -> bool:
        """Starts again from the first byte for another sink; returns False if the bytes were dropped."""
        if self.replay_chunks is None:
            return False
        self.queued_bytes += sum(map(len, self.replay_chunks))
        self.chunks.extendleft(reversed(self.replay_chunks))
        self.replay_chunks = []
        return True

    def end(self) -> None:
        """Marks the end of the message: the last byte was put."""
        self.ended = True
        self.on_data()

    def break_off(self) -> None:
        """Marks the message as broken: the source has failed, and the sink must report that to its peer."""
        self.broken = True
        self.free()
        self.on_data()

    def discard(self) -> None:
        """Drops present and future bytes: no sink takes them, but the source must still reach its end."""
        self.discarding = True
        self.free()
        self.on_space()

    def free(self) -> None:
        """Drops all bytes."""
        self.chunks.clear()
        self.queued_bytes = 0
        self.replay_chunks = None
        self.add_to_budget(-self.budgeted_bytes)

    def check_invariants(self) -> None:
        """Raises AssertionError if the counters contradict the queued or the kept bytes."""
        queued = sum(map(len, self.chunks))
        kept = sum(map(len, self.replay_chunks or ()))
        assert queued == self.queued_bytes, (queued, self.queued_bytes)
        assert queued + kept == self.budgeted_bytes <= self.total_bytes, self.budgeted_bytes
        assert not ((self.broken or self.discarding) and (queued or kept))
