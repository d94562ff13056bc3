"""A byte ring: bytes go in at one end, views of them are read at the other."""

from typing import Protocol

IDLE_BYTES = 4096  # an idle connection keeps so much: most heads with a short body fit
MAX_BYTES = 192 * 1024  # a message with the longest head and the longest body fits


class ByteCounter(Protocol):
    """Where the bytes of many rings and flows are counted, see `budget.Budget`."""

    bytes: int

    def pressed(self) -> bool:
        """Whether bytes are short."""


class RingFullError(Exception):
    """More was put in than the ring may hold."""


class Ring:
    """Grows by doubling up to `max_size`, and falls back to `idle_size` once it is empty.

    Views that were handed out stay valid when the ring grows: they keep the old storage alive.

    Attributes:
        storage: of at least `idle_size` and at most `max_size` bytes.
        start: index of the first byte in it; 0 while the ring is empty.
        size: bytes in the ring, from `start` on, around the end of the storage.
        budget: where bytes of storage beyond `idle_size` are counted; None: nowhere.
    """

    __slots__ = ("storage", "start", "size", "idle_size", "max_size", "budget")

    def __init__(
        self, idle_size: int = IDLE_BYTES, max_size: int = MAX_BYTES, budget: ByteCounter | None = None
    ) -> None:
        self.idle_size = idle_size
        self.max_size = max_size
        self.budget = budget
        self.storage = bytearray(idle_size)
        self.start = 0
        self.size = 0

    def __len__(self) -> int:
        return self.size

    def full(self) -> bool:
        """Whether no further byte may be put in."""
        return self.size >= self.max_size

    def grow(self, wanted: int) -> None:
        """Makes room for `wanted` bytes in all. RingFullError if that is more than it may hold."""
        if wanted > self.max_size:
            raise RingFullError(f"{wanted} bytes, at most {self.max_size}")
        capacity = len(self.storage)
        while capacity < wanted:
            capacity *= 2
        grown = bytearray(min(capacity, self.max_size))
        if self.budget is not None:
            self.budget.bytes += len(grown) - len(self.storage)
        at = 0
        for part in self.parts():
            grown[at : at + len(part)] = part
            at += len(part)
        self.storage = grown
        self.start = 0

    def space(self) -> memoryview:
        """A writable run of free bytes, never empty unless the ring is full; tell `filled` what was used."""
        if self.size == len(self.storage) and not self.full():
            self.grow(self.size + 1)
        capacity = len(self.storage)
        end = (self.start + self.size) % capacity
        stop = capacity if end >= self.start and self.size < capacity else self.start
        return memoryview(self.storage)[end:stop]

    def filled(self, count: int) -> None:
        """So many bytes of `space` were written."""
        self.size += count

    def put(self, data: bytes) -> None:
        """Copies `data` in. RingFullError if it may not hold as much."""
        if self.size + len(data) > len(self.storage):
            self.grow(self.size + len(data))
        while data:
            space = self.space()
            count = min(len(space), len(data))
            space[:count] = data[:count]
            self.size += count
            data = data[count:]

    def parts(self, skip: int = 0) -> list[memoryview]:
        """Views of all but the first `skip` bytes: one, or two where the ring wraps."""
        view = memoryview(self.storage)
        capacity = len(self.storage)
        start = self.start + skip
        count = self.size - skip
        if count <= 0:
            return []
        if start >= capacity:
            return [view[start - capacity : start - capacity + count]]
        if start + count <= capacity:
            return [view[start : start + count]]
        return [view[start:], view[: start + count - capacity]]

    def consume(self, count: int) -> None:
        """The first `count` bytes were read."""
        self.size -= count
        if self.size:
            self.start = (self.start + count) % len(self.storage)
            return
        self.start = 0
        if len(self.storage) > self.idle_size:
            self.shrink()

    def shrink(self) -> None:
        """Drops all bytes: it is as large as at first."""
        if self.budget is not None:
            self.budget.bytes -= len(self.storage) - self.idle_size
        self.storage = bytearray(self.idle_size)
        self.start = 0
        self.size = 0

    def check_invariants(self) -> None:
        """What holds between two calls, see the class. AssertionError if something doesn't."""
        assert self.idle_size <= len(self.storage) <= self.max_size, len(self.storage)
        assert 0 <= self.size <= len(self.storage), self.size
        assert 0 <= self.start < len(self.storage), self.start
        assert self.size or self.start == 0, self.start
