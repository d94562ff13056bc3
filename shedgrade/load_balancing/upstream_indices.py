"""Small indices for the ids of upstreams, and the rows in which the balancer takes a list."""

from zlib import crc32


def to_tenths_of_ms(ms: float) -> int:
    """Converts milliseconds, the unit of all wire formats, to the balancer's tenths of a millisecond."""
    return round(ms * 10)


class UpstreamIndices:
    """Maps ids of upstreams to small indices, which are reused once an upstream is forgotten."""

    def __init__(self) -> None:
        self.by_id: dict[str, int] = {}
        self.ids: list[str] = []
        self.free: list[int] = []

    def index(self, name: str) -> int:
        """Returns the index of an upstream's id; a new id gets a free one."""
        index = self.by_id.get(name)
        if index is None:
            if self.free:
                index = self.free.pop()
                self.ids[index] = name
            else:
                index = len(self.ids)
                self.ids.append(name)
            self.by_id[name] = index
        return index

    def release(self, index: int) -> str:
        """Frees an index; returns the id that had it."""
        name = self.ids[index]
        del self.by_id[name]
        self.free.append(index)
        return name

    def row(self, name: str, zone: int, state: int, started: int, cell: int, size: float, kind: int) -> tuple:
        """Returns one row of a list. Its mark is a hash of the id, the same in all sidecars."""
        return self.index(name), zone, state, started, cell, crc32(name.encode()), size, kind


class UpstreamAddresses:
    """The current address of each upstream, which may change when it restarts."""

    def __init__(self) -> None:
        self.known: dict[int, tuple[str, int]] = {}

    def move(self, index: int, address: tuple[str, int]) -> bool:
        """Sets an address; returns True if it replaces another one, whose connections are then useless."""
        before = self.known.get(index)
        self.known[index] = address
        return before is not None and before != address
