"""Carries out transmissions to the upstreams of one service, and knows which of them have fallen silent."""
from collections.abc import Callable

from shedgrade.dataplane.engine import EngineConnection
from shedgrade.wire.upstream import Caller

KEEPS = 40_000          # tenths of a ms that an idle connection may stand where its upstream says nothing
MARGIN = 10_000         # tenths of a ms before the upstream's own limit, which must not be met first
DIAL = 4_000            # tenths of a ms for a connection to come up: three round trips between regions


class EngineCaller(Caller):
    """`spoke`: by upstream, when anything last came from it, on the clock."""
    connection = EngineConnection

    def __init__(self, loop, clock, addresses, budget, protocol, misdirected: Callable[[int], None]) -> None:
        super().__init__(loop, clock, addresses, DIAL, KEEPS, budget)
        self.protocol, self.misdirected = protocol, misdirected
        self.spoke: dict[int, int] = {}
        self.asked: dict[int, int] = {}     # by upstream: when it was sent what it has not spoken since

    def spoken(self, upstream: int, now: int) -> None:
        """A request goes to it."""
        if self.asked.get(upstream, 0) <= self.spoke.get(upstream, 0):
            self.asked[upstream] = now

    def silent_since(self, upstream: int) -> int | None:
        """When what it has not said a word about was sent; None if it has spoken since."""
        asked = self.asked.get(upstream, 0)
        return asked if asked > self.spoke.get(upstream, 0) else None

    def idle_told(self, seconds: int) -> None:
        limit = max(seconds * 10_000 - MARGIN, seconds * 5_000)
        self.idle.limit = min(self.idle.limit, limit) if limit else 1

    def drop(self, upstream: int) -> None:
        """It is forgotten, and its index may be another's."""
        self.forget(upstream)
        for told in (self.heard, self.spoke, self.asked):
            told.pop(upstream, None)
