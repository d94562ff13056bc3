"""Idle connections to upstreams, kept for the next transmission."""

from collections import OrderedDict
from typing import Generic, TypeVar

Link = TypeVar("Link")


class IdleConnections(Generic[Link]):
    """Idle connections by upstream. The most recently used one is reused first, the oldest one closed first.

    Attributes:
        limit: time for which a connection may be idle and still be reused, in the unit of `now`.
        settle_time: time for which it must be idle: late bytes of the last response have arrived by then.
        idle_since: (upstream, since) by connection, the longest idle first.
        by_upstream: the same connections by upstream, the most recently used last; no empty lists.
    """

    def __init__(self, limit: int, settle_time: int = 0) -> None:
        self.limit = limit
        self.settle_time = settle_time
        self.idle_since: OrderedDict[Link, tuple[int, int]] = OrderedDict()
        self.by_upstream: dict[int, list[Link]] = {}

    def __len__(self) -> int:
        return len(self.idle_since)

    def put(self, upstream: int, link: Link, now: int) -> None:
        """Adds a connection that is idle from now on."""
        self.idle_since[link] = upstream, now
        self.by_upstream.setdefault(upstream, []).append(link)

    def take(self, upstream: int, now: int) -> Link | None:
        """Removes and returns the most recently used connection that has settled, or None.

        None also if that is near the idle limit, at which the upstream closes it.
        """
        for link in reversed(self.by_upstream.get(upstream, ())):
            idle_for = now - self.idle_since[link][1]
            if idle_for >= self.limit:
                break
            if idle_for >= self.settle_time:
                self.remove(link)
                return link
        return None

    def remove(self, link: Link) -> bool:
        """Removes a connection; returns whether it was there."""
        entry = self.idle_since.pop(link, None)
        if entry is None:
            return False
        links = self.by_upstream[entry[0]]
        links.remove(link)
        if not links:
            del self.by_upstream[entry[0]]
        return True

    def pop_stale(self, now: int) -> list[Link]:
        """Removes and returns the connections that were idle for too long."""
        found = []
        while self.idle_since:
            link, (_, since) = next(iter(self.idle_since.items()))
            if now - since < self.limit:
                break
            self.remove(link)
            found.append(link)
        return found

    def pop_oldest(self) -> Link | None:
        """Removes and returns the connection that is idle for longest; None if there is none."""
        link = next(iter(self.idle_since), None)
        if link is not None:
            self.remove(link)
        return link

    def remove_upstream(self, upstream: int) -> list[Link]:
        """Removes and returns all connections to one upstream."""
        links = self.by_upstream.pop(upstream, [])
        for link in links:
            del self.idle_since[link]
        return links

    def check_invariants(self) -> None:
        """Raises AssertionError if the two indices hold different connections."""
        by_upstream = {link: upstream for upstream, links in self.by_upstream.items() for link in links}
        assert by_upstream == {link: upstream for link, (upstream, _) in self.idle_since.items()}
        assert all(self.by_upstream.values())
        times = [since for _, since in self.idle_since.values()]
        assert times == sorted(times)
