"""Ids of upstreams as small indices, and the rows in which the decisions take a list."""

from zlib import crc32


def tenths(ms: float) -> int:
    """Milliseconds, as every wire tells them, in the units of the decisions."""
    return round(ms * 10)


class Indices:
    """Upstreams by a small index, given at first sight and free again once the upstream is forgotten."""

    def __init__(self) -> None:
        self.by_id: dict[str, int] = {}
        self.ids: list[str] = []
        self.free: list[int] = []

    def index(self, name: str) -> int:
        """The index of an upstream's id; a new one for an id not seen."""
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
        """One entry of a list; the mark is what all sidecars call this upstream."""
        return self.index(name), zone, state, started, cell, crc32(name.encode()), size, kind


class Addresses:
    """Where each upstream listens now; it may move when it restarts."""

    def __init__(self) -> None:
        self.known: dict[int, tuple[str, int]] = {}

    def move(self, index: int, address: tuple[str, int]) -> bool:
        """True if it was elsewhere before: its old connections are worth nothing."""
        before = self.known.get(index)
        self.known[index] = address
        return before is not None and before != address
