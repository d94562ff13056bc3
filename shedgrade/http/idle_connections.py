"""Connections to upstreams that wait for their next transmission."""

from collections import OrderedDict
from typing import Generic, TypeVar

Link = TypeVar("Link")


class IdleConnections(Generic[Link]):
    """Idle connections by upstream, the latest used first; of all, the one that is idle for longest goes
    first.

    Attributes:
        limit: how long one may stand idle and still be used, in the unit of the clock that `now` is of.
        settle_time: how long it must: what belongs to no transmission has come by then.
        idle_since: (upstream, since) by connection, the longest idle first.
        by_upstream: the same connections, the latest used last; no upstream without any.
    """

    def __init__(self, limit: int, settle_time: int = 0) -> None:
        self.limit = limit
        self.settle_time = settle_time
        self.idle_since: OrderedDict[Link, tuple[int, int]] = OrderedDict()
        self.by_upstream: dict[int, list[Link]] = {}

    def __len__(self) -> int:
        return len(self.idle_since)

    def put(self, upstream: int, link: Link, now: int) -> None:
        """The connection is idle from now on."""
        self.idle_since[link] = upstream, now
        self.by_upstream.setdefault(upstream, []).append(link)

    def take(self, upstream: int, now: int) -> Link | None:
        """The latest used one that is settled, if not near the idle limit at which the upstream closes it."""
        for link in reversed(self.by_upstream.get(upstream, ())):
            idle_for = now - self.idle_since[link][1]
            if idle_for >= self.limit:
                break
            if idle_for >= self.settle_time:
                self.drop(link)
                return link
        return None

    def drop(self, link: Link) -> bool:
        """The connection is not kept here any longer. Returns whether it was."""
        entry = self.idle_since.pop(link, None)
        if entry is None:
            return False
        links = self.by_upstream[entry[0]]
        links.remove(link)
        if not links:
            del self.by_upstream[entry[0]]
        return True

    def stale(self, now: int) -> list[Link]:
        """Those that stood idle for too long, no longer kept here."""
        found = []
        while self.idle_since:
            link, (_, since) = next(iter(self.idle_since.items()))
            if now - since < self.limit:
                break
            self.drop(link)
            found.append(link)
        return found

    def oldest(self) -> Link | None:
        """The one that is idle for longest, no longer kept here; None if there is none."""
        link = next(iter(self.idle_since), None)
        if link is not None:
            self.drop(link)
        return link

    def leave(self, upstream: int) -> list[Link]:
        """All that lead to one upstream, no longer kept here."""
        links = self.by_upstream.pop(upstream, [])
        for link in links:
            del self.idle_since[link]
        return links

    def check_invariants(self) -> None:
        """Both indices hold the same connections. AssertionError if they don't."""
        by_upstream = {link: upstream for upstream, links in self.by_upstream.items() for link in links}
        assert by_upstream == {link: upstream for link, (upstream, _) in self.idle_since.items()}
        assert all(self.by_upstream.values())
        times = [since for _, since in self.idle_since.values()]
        assert times == sorted(times)
