"""The record as an edge uses it: what it was told, what it saw itself, and whether any may be believed."""

from collections import OrderedDict

from shedgrade.prefix_cache_index.index import (
    LONGEST,
    MOST,
    ONCE_MORE,
    STALE,
    Pair,
    PrefixIndexUpdate,
)

TRUSTED = 2.0  # s since a fresh word of the core for which the record may be routed by


class EdgePrefixIndex:
    """`holders(now, key)` is empty whenever the record may be untrue: routing then goes on without it."""

    def __init__(self) -> None:
        self.by_key: OrderedDict[int, dict[int, float]] = OrderedDict()  # marks: when last heard of
        self.version = (0, -1)  # (source, number) of what was told
        self.fresh_at: float | None = None
        self.unsent: dict[Pair, None] = {}
        self.mine: dict[Pair, float] = {}  # what was seen here: when

    def holders(self, now: float, key: int) -> dict[int, float]:
        """Marks of the upstreams that are held to keep the parts, with when that was last heard."""
        if self.fresh_at is None or now - self.fresh_at > TRUSTED:
            return {}
        marks = self.by_key.get(key)
        if not marks:
            return {}
        return {mark: at for mark, at in marks.items() if now - at < STALE}

    def saw(self, now: float, key: int, mark: int) -> None:
        """An upstream has read the parts, as its first event shows."""
        self.keep(now, key, mark)
        pair = key, mark
        if now - self.mine.get(pair, -ONCE_MORE) >= ONCE_MORE:
            self.mine[pair] = now
            self.unsent[pair] = None
            if len(self.mine) > MOST:
                self.mine.pop(next(iter(self.mine)))
            if len(self.unsent) > LONGEST:
                self.unsent.pop(next(iter(self.unsent)))

    def keep(self, now: float, key: int, mark: int) -> None:
        marks = self.by_key.setdefault(key, {})
        marks[mark] = now
        self.by_key.move_to_end(key)
        if len(self.by_key) > MOST:
            self.by_key.popitem(last=False)

    def outgoing(self) -> tuple[Pair, ...]:
        """What the core has not been told; handed back by `lost` if it does not arrive."""
        pairs, self.unsent = tuple(self.unsent), {}
        return pairs

    def lost(self, pairs: tuple[Pair, ...]) -> None:
        for pair in pairs:
            self.unsent.setdefault(pair, None)

    def told(self, now: float, fresh: bool, moved: PrefixIndexUpdate | None) -> None:
        """A word of the core; `fresh`: its member hears the primary and is not behind.

        Guards against a record from before a cut: after a silence it is believed again only when a member
        that is fresh has told all that it holds.
        """
        if not fresh:
            return
        silent = self.fresh_at is None or now - self.fresh_at > TRUSTED
        if silent and (moved is None or moved.base >= 0):
            if self.version != (0, -1):
                self.version = 0, -1  # asks for all of it
            if moved is None and self.fresh_at is None:
                self.fresh_at = now  # the core has nothing to tell: so far nothing was read
            return
        self.fresh_at = now
        if moved is None:
            return
        if moved.base < 0:
            self.by_key.clear()
            for key, mark in self.unsent:  # seen here, and not yet told
                self.keep(now, key, mark)
        elif self.version != (moved.source, moved.base):
            return  # made for an older ask
        for mark in moved.gone:
            self.gone(mark)
        for key, mark in moved.pairs:
            self.keep(now, key, mark)
        self.version = moved.source, moved.number

    def listed(self, marks: set[int]) -> None:
        """The incarnations that exist, as this edge knows the platform's list."""
        for mark in {mark for known in self.by_key.values() for mark in known} - marks:
            self.gone(mark)

    def gone(self, mark: int) -> None:
        """That incarnation holds nothing any more."""
        for key in [key for key, marks in self.by_key.items() if mark in marks]:
            del self.by_key[key][mark]
            if not self.by_key[key]:
                del self.by_key[key]
        self.mine = {pair: at for pair, at in self.mine.items() if pair[1] != mark}
        self.unsent = {pair: None for pair in self.unsent if pair[1] != mark}
