"""Stand-in for the platform's list of upstreams. Source: PROTOCOL, "Service discovery"."""

import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from shedgrade.findings import Finding
from shedgrade.http.server import HttpServer, Reply, Request, failure
from shedgrade.runtime.log import logger

PAGE_SIZE = 50  # entries on a page
AVAILABLE, DRAINING = "available", "draining"


@dataclass(slots=True)
class Entry:
    """An upstream on the list.

    slots: number of its slots
    state: AVAILABLE or DRAINING
    cold_until: when its cold start ends, on the caller's clock, s
    gone_at: when it is gone, on the caller's clock, s; None unless it is taken away at short notice
    """

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    state: str = AVAILABLE
    cold_until: float = 0.0
    gone_at: float | None = None

    def as_json(self, now: float) -> dict:
        fields = {
            "instanceId": self.instance,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "configVersion": "v1",
            "capacitySlots": self.slots,
            "state": self.state,
            "coldLeftMs": max(0, round((self.cold_until - now) * 1000)),
            "stage": "dual",
            "modelList": [{"name": "m", "configVersion": 1, "adapterList": []}],
        }
        if self.gone_at is not None:
            fields["timeLeftMs"] = max(0, round((self.gone_at - now) * 1000))
        return fields


class InstanceDirectory:
    """The list as it is, and as callers see it `lag` seconds later. `rate`: calls a second allowed to all
    callers together."""

    def __init__(self, lag: float, rate: float) -> None:
        self.lag, self.rate = lag, rate
        self.versions: deque[tuple[float, tuple[Entry, ...]]] = deque([(float("-inf"), ())])
        self.calls: deque[float] = deque()
        self.refused = 0
        self.shown_draining: dict[str, float] = {}  # by instance: when it is first not shown as available

    def replace_entries(self, now: float, entries: list[Entry]) -> None:
        """Replaces the list at the time `now`; callers see the change after the lag."""
        copies = tuple(Entry(*(getattr(entry, name) for name in Entry.__slots__)) for entry in entries)
        before = {entry.instance for entry in self.versions[-1][1] if entry.state == AVAILABLE}
        self.versions.append((now, copies))
        after = {entry.instance for entry in copies if entry.state == AVAILABLE}
        for name in before - after:
            self.shown_draining.setdefault(name, now + self.lag)

    def entries_shown(self, now: float) -> tuple[Entry, ...]:
        while len(self.versions) > 1 and self.versions[1][0] <= now - self.lag:
            self.versions.popleft()
        return self.versions[0][1]

    def admit_call(self, now: float) -> bool:
        while self.calls and self.calls[0] <= now - 1.0:
            self.calls.popleft()
        if len(self.calls) >= self.rate:
            self.refused += 1
            return False
        self.calls.append(now)
        return True

    def page(self, now: float, zone: str | None, token: str | None) -> dict:
        """Returns the page of the list at which `token` points, with the token of the next page."""
        shown = [entry for entry in self.entries_shown(now) if zone in (None, "", entry.zone)]
        digits = (token or "p-0").removeprefix("p-")
        first = int(digits) if digits.isdigit() else 0
        rest = first + PAGE_SIZE < len(shown)
        return {
            "instanceList": [entry.as_json(now) for entry in shown[first : first + PAGE_SIZE]],
            "nextToken": f"p-{first + PAGE_SIZE}" if rest else None,
        }


class PlatformServer:
    """Serves `GET /instances` on one address."""

    def __init__(
        self, loop, address: tuple[str, int], directory: InstanceDirectory, clock: Callable[[], float]
    ) -> None:
        self.directory, self.clock = directory, clock
        self.server = HttpServer(loop, address, self.handle, logger)

    async def start(self) -> None:
        await self.server.start()

    def close(self) -> None:
        self.server.close()

    def handle(self, request: Request, tell) -> None:
        now = self.clock()
        if request.method != b"GET" or request.path != b"/instances":
            tell(failure(404, Finding("request", "no such call")))
        elif not self.directory.admit_call(now):
            tell(Reply(429))
        else:
            page = self.directory.page(now, request.query.get("zone"), request.query.get("pageToken"))
            tell(Reply(200, json.dumps(page).encode()))
