"""Sends transmissions to the upstreams of one service and tracks which of them are silent.

Times are on the process's clock, in tenths of a ms.
"""

import asyncio
from collections.abc import Callable
from enum import Enum

from shedgrade import load_balancing
from shedgrade.dataplane.engine_connection import EngineConnection
from shedgrade.http.connection_pool import LOCAL_ERRORS, ConnectionPool

SECOND = 10_000  # tenths of a ms
DEFAULT_IDLE_LIMIT = 4 * SECOND  # idle timeout of connections to an upstream that states none
IDLE_MARGIN = SECOND  # idle connections are closed this long before the upstream would close them
CONNECT_TIMEOUT = 3_000  # tenths of a ms: twice a round trip between regions


class ProbeResult(Enum):
    """The result of trying a connection to an upstream."""

    UP = "up"  # connected, or unknown: this side has no free socket or no address
    REFUSED = "refused"  # the machine answered, but it is at its connection limit or its process is gone
    UNREACHABLE = "dark"  # no answer


class EngineConnectionPool(ConnectionPool):
    """Connections to the upstreams of one service.

    Attributes:
        last_heard_at: time of the last byte from each upstream.
        waiting_since: time of the first request to each upstream since it was last heard.
        stated_idle_s: the idle timeout that an upstream stated last, s; None until one did.
    """

    connection = EngineConnection

    def __init__(self, loop, clock, addresses, budget, protocol, misdirected: Callable[[int], None]) -> None:
        """`misdirected`: called with an upstream at whose address another incarnation answers."""
        super().__init__(loop, clock, addresses, CONNECT_TIMEOUT, DEFAULT_IDLE_LIMIT, budget)
        self.protocol, self.misdirected = protocol, misdirected
        self.last_heard_at: dict[int, int] = {}
        self.waiting_since: dict[int, int] = {}
        self.stated_idle_s: int | None = None

    def request_sent(self, upstream: int, now: int) -> None:
        """Records that a request was sent to the upstream."""
        if self.waiting_since.get(upstream, 0) <= self.last_heard_at.get(upstream, 0):
            self.waiting_since[upstream] = now

    def silent_since(self, upstream: int) -> int:
        """When the upstream was last heard, or was sent the first request after that."""
        return max(self.waiting_since.get(upstream, 0), self.last_heard_at.get(upstream, 0))

    async def probe(self, upstream: int) -> ProbeResult:
        """Tries a connection to the upstream; one that opens is kept for the next request, unless another is
        kept already."""
        address = self.addresses.get(upstream)
        if address is None or self.budget.full():
            return ProbeResult.UP
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT / SECOND):
                _, link = await self.connect(lambda: self.connection(self, upstream, address), address)
        except ConnectionError:
            return ProbeResult.REFUSED
        except OSError as failure:  # includes TimeoutError
            return ProbeResult.UP if failure.errno in LOCAL_ERRORS else ProbeResult.UNREACHABLE
        if link.lost:
            return ProbeResult.UP
        if upstream in self.idle.by_upstream:
            link.cut()
        else:
            self.open.add(link)
            self.update_budget()
            self.keep(link)
        return ProbeResult.UP

    def fail_connections(self, upstream: int) -> None:
        """Ends all requests to an unreachable upstream at once, instead of when the kernel gives up."""
        self.close_idle_to(upstream)
        for link in [link for link in self.open if link.upstream == upstream]:
            link.finish_transmission(load_balancing.DROPPED if link.may_have_run() else load_balancing.BROKEN)
            link.cut()

    def apply_stated_idle_timeout(self, seconds: int) -> None:
        """Applies a stated idle timeout, s. Upstreams of one service have similar timeouts; the shortest one
        that was stated applies to all."""
        limit = max(seconds * SECOND - IDLE_MARGIN, seconds * SECOND // 2, 1)
        self.idle.limit = limit if self.stated_idle_s is None else min(self.idle.limit, limit)
        self.stated_idle_s = seconds

    def remove_upstream(self, upstream: int) -> None:
        """Removes a forgotten upstream, whose index may be reused."""
        self.close_idle_to(upstream)
        for times in (self.last_response_at, self.last_heard_at, self.waiting_since):
            times.pop(upstream, None)
