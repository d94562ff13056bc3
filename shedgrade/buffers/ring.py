"""A ring buffer of bytes, read through views of its storage."""

from typing import Protocol

IDLE_BYTES = 4096  # storage of an idle connection: holds most heads with a short body
MAX_BYTES = 192 * 1024  # holds the longest head with the longest body that is buffered whole


class ByteCounter(Protocol):
    """Counts the bytes of many rings and flows, see `budget.Budget`."""

    bytes: int

    def under_pressure(self) -> bool:
        """Whether buffer memory is scarce."""


class RingFullError(Exception):
    """The ring would have to hold more than its limit."""


class Ring:
    """A ring buffer that grows by doubling up to `max_size`, and shrinks to `idle_size` when it is empty.

    Views that were handed out stay valid when the ring grows: they keep the old storage alive.

    Attributes:
        storage: between `idle_size` and `max_size` bytes.
        start: index in `storage` of the first byte; 0 while the ring is empty.
        size: bytes in the ring, from `start` on and around the end of the storage.
        budget: counts the bytes of storage beyond `idle_size`; None: they are not counted.
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
        """Whether the ring has reached its limit."""
        return self.size >= self.max_size

    def grow(self, wanted: int) -> None:
        """Makes room for `wanted` bytes in all. Raises RingFullError if that is above the limit."""
        if wanted > self.max_size:
            raise RingFullError(f"ring needs {wanted} bytes, limit is {self.max_size}")
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
        """Returns a writable run of free bytes, which is empty only if the ring is full.

        `filled` must be called with the number of bytes that were written to it.
        """
        if self.size == len(self.storage) and not self.full():
            self.grow(self.size + 1)
        capacity = len(self.storage)
        end = (self.start + self.size) % capacity
        stop = capacity if end >= self.start and self.size < capacity else self.start
        return memoryview(self.storage)[end:stop]

    def filled(self, count: int) -> None:
        """Adds the first `count` bytes of the last `space` to the ring."""
        self.size += count

    def put(self, data: bytes) -> None:
        """Copies `data` in. Raises RingFullError if that is above the limit."""
        if self.size + len(data) > len(self.storage):
            self.grow(self.size + len(data))
        while data:
            space = self.space()
            count = min(len(space), len(data))
            space[:count] = data[:count]
            self.size += count
            data = data[count:]

    def parts(self, skip: int = 0) -> list[memoryview]:
        """Returns views of all but the first `skip` bytes: one, or two where the ring wraps."""
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
        """Removes the first `count` bytes."""
        self.size -= count
        if self.size:
            self.start = (self.start + count) % len(self.storage)
            return
        self.start = 0
        if len(self.storage) > self.idle_size:
            self.shrink()

    def shrink(self) -> None:
        """Drops all bytes and returns to the initial storage size."""
        if self.budget is not None:
            self.budget.bytes -= len(self.storage) - self.idle_size
        self.storage = bytearray(self.idle_size)
        self.start = 0
        self.size = 0

    def check_invariants(self) -> None:
        """Raises AssertionError if the indices contradict the storage."""
        assert self.idle_size <= len(self.storage) <= self.max_size, len(self.storage)
        assert 0 <= self.size <= len(self.storage), self.size
        assert 0 <= self.start < len(self.storage), self.start
        assert self.size or self.start == 0, self.start
