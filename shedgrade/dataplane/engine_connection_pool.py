"""Carries out transmissions to the upstreams of one service, and knows which of them have fallen silent.

Times are on the process's clock, in tenths of a ms.
"""

import asyncio
from collections.abc import Callable
from enum import Enum

from shedgrade import load_balancing
from shedgrade.dataplane.engine_connection import EngineConnection
from shedgrade.http.connection_pool import LOCAL_ERRORS, ConnectionPool

SECOND = 10_000  # in tenths of a ms
DEFAULT_IDLE_LIMIT = 4 * SECOND  # of an idle connection whose upstream states no limit
IDLE_MARGIN = SECOND  # before a stated limit, which must not be met first
CONNECT_TIMEOUT = 3_000  # tenths of a ms: twice a round trip between regions


class Reach(Enum):
    """What became of a connection that was tried to an upstream."""

    UP = "up"  # it came up, or nothing tells: this side has no room, or knows no address
    REFUSED = "refused"  # its machine answered: it takes no further connection, or its process is gone
    DARK = "dark"  # nothing answered


class EngineConnectionPool(ConnectionPool):
    """`last_heard_at`: by upstream, when anything last came from it."""

    connection = EngineConnection

    def __init__(self, loop, clock, addresses, budget, protocol, misdirected: Callable[[int], None]) -> None:
        """`misdirected`: told of an upstream at whose address another incarnation answers."""
        super().__init__(loop, clock, addresses, CONNECT_TIMEOUT, DEFAULT_IDLE_LIMIT, budget)
        self.protocol, self.misdirected = protocol, misdirected
        self.last_heard_at: dict[int, int] = {}
        self.waiting_since: dict[int, int] = {}  # by upstream: the first request since it was last heard
        self.stated_idle_s: int | None = None  # as an upstream stated it last

    def request_sent(self, upstream: int, now: int) -> None:
        """A request goes to it."""
        if self.waiting_since.get(upstream, 0) <= self.last_heard_at.get(upstream, 0):
            self.waiting_since[upstream] = now

    def silent_since(self, upstream: int) -> int:
        """When it was last heard, or was sent a request after a silence."""
        return max(self.waiting_since.get(upstream, 0), self.last_heard_at.get(upstream, 0))

    async def probe(self, upstream: int) -> Reach:
        """Tries a connection to it, which is kept for the next request."""
        address = self.addresses.get(upstream)
        if address is None or self.budget.full():
            return Reach.UP
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT / SECOND):
                _, link = await self.connect(lambda: self.connection(self, upstream, address), address)
        except ConnectionError:
            return Reach.REFUSED
        except OSError as failure:  # a TimeoutError too
            return Reach.UP if failure.errno in LOCAL_ERRORS else Reach.DARK
        if not link.lost:
            self.open.add(link)
            self.count()
            self.keep(link)
        return Reach.UP

    def fail_connections(self, upstream: int) -> None:
        """Its machine can't be reached: whatever waits for it ends now, not when the kernel gives up."""
        self.forget(upstream)
        for link in [link for link in self.open if link.upstream == upstream]:
            link.finish_transmission(load_balancing.DROPPED if link.may_have_run() else load_balancing.BROKEN)
            link.cut()

    def idle_timeout_stated(self, seconds: int) -> None:
        """Upstreams of one service keep idle connections alike; the least that was stated holds for all."""
        limit = max(seconds * SECOND - IDLE_MARGIN, seconds * SECOND // 2, 1)
        self.idle.limit = limit if self.stated_idle_s is None else min(self.idle.limit, limit)
        self.stated_idle_s = seconds

    def remove_upstream(self, upstream: int) -> None:
        """It is forgotten, and its index may be another's."""
        self.forget(upstream)
        for times in (self.last_response_at, self.last_heard_at, self.waiting_since):
            times.pop(upstream, None)
