"""Connections to upstreams that wait for their next RPC."""

from collections import OrderedDict


class IdleConnections:
    """Idle connections by upstream, the latest used first; the longest idle of all goes first."""

    def __init__(self, limit: int, settled: int = 0) -> None:
        self.limit = limit  # tenths of a millisecond that one may stand idle and still be used
        self.settled = settled  # and that it must: what belongs to nobody has come by then
        self.order: OrderedDict = OrderedDict()  # connection to (upstream, since), the longest idle first
        self.by_upstream: dict[int, list] = {}

    def __len__(self) -> int:
        return len(self.order)

    def put(self, upstream: int, link: object, now: int) -> None:
        self.order[link] = upstream, now
        self.by_upstream.setdefault(upstream, []).append(link)

    def take(self, upstream: int, now: int) -> object | None:
        """The latest used one that is settled, if not near the idle limit at which the upstream closes it."""
        for link in reversed(self.by_upstream.get(upstream, ())):
            stood = now - self.order[link][1]
            if stood >= self.limit:
                break
            if stood >= self.settled:
                self.drop(link)
                return link
        return None

    def drop(self, link: object) -> bool:
        entry = self.order.pop(link, None)
        if entry is None:
            return False
        links = self.by_upstream[entry[0]]
        links.remove(link)
        if not links:
            del self.by_upstream[entry[0]]
        return True

    def stale(self, now: int) -> list:
        """Those that stood idle for too long, no longer kept here."""
        found = []
        while self.order:
            link, (_, since) = next(iter(self.order.items()))
            if now - since < self.limit:
                break
            self.drop(link)
            found.append(link)
        return found

    def oldest(self) -> object | None:
        link = next(iter(self.order), None)
        if link is not None:
            self.drop(link)
        return link

    def leave(self, upstream: int) -> list:
        """All that lead to one upstream, no longer kept here."""
        links = self.by_upstream.pop(upstream, [])
        for link in links:
            del self.order[link]
        return links
