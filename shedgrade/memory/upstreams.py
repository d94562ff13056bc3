"""Ids of upstreams as small indices, and the rows in which the decisions take a list."""
from zlib import crc32


def tenths(ms: float) -> int:
    """Milliseconds, as every wire tells them, in the units of the decisions."""
    return round(ms * 10)


class Indices:
    """Upstreams by a small index, given at first sight and kept for life."""

    def __init__(self) -> None:
        self.by_id: dict[str, int] = {}
        self.ids: list[str] = []

    def index(self, name: str) -> int:
        index = self.by_id.get(name)
        if index is None:
            index = self.by_id[name] = len(self.ids)
            self.ids.append(name)
        return index

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
