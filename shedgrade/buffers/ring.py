"""A byte ring: bytes go in at one end, views of them are read at the other."""

SMALL = 4096  # an idle connection keeps so much: most heads with a short body fit
MOST = 192 * 1024  # a message with the longest head and the longest body fits


class RingFullError(Exception):
    """More was put in than the ring may hold."""


class Ring:
    """Grows by doubling up to `most`, and falls back to `small` once it is empty.

    Views that were handed out stay valid when the ring grows: they keep the old storage alive.
    """

    __slots__ = ("store", "start", "size", "small", "most", "budget")

    def __init__(self, small: int = SMALL, most: int = MOST, budget=None) -> None:
        """`budget`: where what it holds beyond `small` is counted."""
        self.small, self.most, self.budget = small, most, budget
        self.store, self.start, self.size = bytearray(small), 0, 0

    def __len__(self) -> int:
        return self.size

    def full(self) -> bool:
        return self.size >= self.most

    def grow(self, wanted: int) -> None:
        if wanted > self.most:
            raise RingFullError(f"{wanted} bytes, at most {self.most}")
        capacity = len(self.store)
        while capacity < wanted:
            capacity *= 2
        fresh = bytearray(min(capacity, self.most))
        if self.budget is not None:
            self.budget.bytes += len(fresh) - len(self.store)
        at = 0
        for part in self.parts():
            fresh[at : at + len(part)] = part
            at += len(part)
        self.store, self.start = fresh, 0

    def space(self) -> memoryview:
        """A writable run of free bytes, never empty unless the ring is full; tell `filled` what was used."""
        if self.size == len(self.store) and not self.full():
            self.grow(self.size + 1)
        capacity = len(self.store)
        end = (self.start + self.size) % capacity
        stop = capacity if end >= self.start and self.size < capacity else self.start
        return memoryview(self.store)[end:stop]

    def filled(self, count: int) -> None:
        self.size += count

    def put(self, data: bytes) -> None:
        if self.size + len(data) > len(self.store):
            self.grow(self.size + len(data))
        while data:
            space = self.space()
            count = min(len(space), len(data))
            space[:count] = data[:count]
            self.size += count
            data = data[count:]

    def parts(self, skip: int = 0) -> list[memoryview]:
        """Views of all but the first `skip` bytes: one, or two where the ring wraps."""
        view, capacity = memoryview(self.store), len(self.store)
        start, count = self.start + skip, self.size - skip
        if count <= 0:
            return []
        if start >= capacity:
            return [view[start - capacity : start - capacity + count]]
        if start + count <= capacity:
            return [view[start : start + count]]
        return [view[start:], view[: start + count - capacity]]

    def consume(self, count: int) -> None:
        self.size -= count
        if self.size:
            self.start = (self.start + count) % len(self.store)
            return
        self.start = 0
        if len(self.store) > self.small:
            self.shrink()

    def shrink(self) -> None:
        """What waits here is given up: it is as large as at first."""
        if self.budget is not None:
            self.budget.bytes -= len(self.store) - self.small
        self.store, self.start, self.size = bytearray(self.small), 0, 0
