"""Reports a running world in one line a second."""

import asyncio
from collections.abc import Callable

from shedgrade.lab.system.history import ClientRequest
from shedgrade.lab.system.world import World


def quantile(values: list[float], part: float) -> float:
    """Returns the smallest value that at least the share `part` of them don't exceed; 0 without any.

    >>> quantile([3.0, 1.0, 2.0], 0.5), quantile([], 0.5)
    (2.0, 0.0)
    """
    if not values:
        return 0.0
    return sorted(values)[max(0, -int(-len(values) * part // 1) - 1)]


class ProgressReporter:
    """Reports progress. `served`, `refused` and `failed` count the requests that have ended so far."""

    def __init__(self, world: World, say: Callable[[str], None]) -> None:
        self.world, self.write_line = world, say
        self.notes: list[str] = []
        self.served = self.refused = self.failed = 0
        self.first_event_delays: list[float] = []
        self.collected = 0  # requests that have been moved to `open_requests`
        self.open_requests: list[ClientRequest] = []

    def note(self, text: str) -> None:
        """Adds a note to the end of the next line."""
        self.notes.append(text)

    async def report_every_second(self) -> None:
        started_at, turn = self.world.clock(), 0
        while True:
            turn += 1
            await asyncio.sleep(max(0.0, started_at + turn - self.world.clock()))
            self.write_line(await self.next_line(turn))

    async def next_line(self, turn: int) -> str:
        ended = self.collect_ended()
        served = [request for request in ended if request.outcome == "served"]
        firsts = [
            (request.first_at - request.at) * 1000 for request in served if request.first_at is not None
        ]
        versions_by_edge, status, primary = await asyncio.gather(
            self.world.edge_versions(), self.world.status(), self.world.primary()
        )
        versions = sorted({version for version in versions_by_edge.values() if version is not None})
        version_range = "-".join(map(str, dict.fromkeys((versions[0], versions[-1])))) if versions else "?"
        notes, self.notes = "; ".join(self.notes), []
        return (
            f"{turn:3d} s  served {len(served):3d}  refused {self.count(ended, 'refused'):2d}  failed "
            f"{self.count(ended, 'failed'):2d}  first event p50 {quantile(firsts, 0.5):4.0f} "
            f"p99 {quantile(firsts, 0.99):4.0f} ms  version {version_range}  members {len(status)}  "
            f"primary {primary or '-'}{'  | ' + notes if notes else ''}"
        )

    def collect_ended(self) -> list[ClientRequest]:
        """Returns the requests that have ended since the last call."""
        requests = self.world.history.requests
        self.open_requests += requests[self.collected :]
        self.collected = len(requests)
        ended = [request for request in self.open_requests if request.outcome]
        self.open_requests = [request for request in self.open_requests if not request.outcome]
        self.served += self.count(ended, "served")
        self.refused += self.count(ended, "refused")
        self.failed += self.count(ended, "failed")
        self.first_event_delays += [
            request.first_at - request.at
            for request in ended
            if request.outcome == "served" and request.first_at
        ]
        return ended

    @staticmethod
    def count(ended: list[ClientRequest], outcome: str) -> int:
        return sum(request.outcome == outcome for request in ended)

    def totals(self) -> str:
        """Returns the totals of all requests."""
        self.collect_ended()
        firsts = [first * 1000 for first in self.first_event_delays]
        tries, runs = len(self.world.history.tries), len(self.world.history.runs)
        return (
            f"served {self.served}, refused {self.refused}, failed {self.failed}; first event p50 "
            f"{quantile(firsts, 0.5):.0f} ms, p99 {quantile(firsts, 0.99):.0f} ms; {tries} tries, {runs} "
            f"arrivals at upstreams"
        )
