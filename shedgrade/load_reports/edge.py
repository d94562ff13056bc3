"""An edge's side: when it reports its own loads, and what it believes of the other edges'."""

from math import inf

from shedgrade.load_reports.messages import LoadReport, Loads, LoadUpdate

REPORT_INTERVAL_S = 0.1  # between two looks at what changed: a long prompt is read for two or three of them
FULL_REPORT_INTERVAL_S = 1.0  # between two full reports, by which lost messages are made good
HEARTBEAT_INTERVAL_S = 0.5  # between two reports at the most, also where nothing changed
MANY_LOADS = 128  # of other edges, beyond which full reports, and so full answers, grow rarer
IDLE_TIMEOUT_S = 10.0  # without a request in flight, after which nothing is reported or asked for
UPDATE_TIMEOUT_S = 0.6  # without an update, after which other edges' loads are unknown


class LoadReporter:
    """Makes the reports of one edge.

    edge, home_region: as in `LoadReport`. reported: loads as the member knows them, if no report was lost.
    member: address of the member that got the last report; None while idle. full_report_at, reported_at,
    busy_at: when the last full report, the last report, and the last look with a request in flight were.
    """

    def __init__(self, edge: str, home_region: str) -> None:
        self.edge = edge
        self.home_region = home_region
        self.reported: Loads = {}
        self.member: str | None = None
        self.full_report_at = -inf
        self.reported_at = -inf
        self.busy_at = -inf

    def report(self, now: float, member: str, loads: Loads, peer_load_count: int = 0) -> LoadReport | None:
        """What the member with that address is to be sent now; None if nothing. `loads`: this edge's own;
        `peer_load_count`: how many loads of other edges are known here.
        """
        if loads:
            self.busy_at = now
        if now - self.busy_at > IDLE_TIMEOUT_S and not self.reported:
            self.member = None
            return None
        before = self.reported
        self.reported = loads
        full_report_due_s = FULL_REPORT_INTERVAL_S * max(1.0, peer_load_count / MANY_LOADS)
        if member != self.member or now - self.full_report_at >= full_report_due_s:
            self.member = member
            self.full_report_at = now
            self.reported_at = now
            return LoadReport(self.edge, self.home_region, loads, True)
        changed = {endpoint: load for endpoint, load in loads.items() if load != before.get(endpoint)}
        changed.update(dict.fromkeys(before.keys() - loads.keys(), 0))
        if not changed and now - self.reported_at < HEARTBEAT_INTERVAL_S:
            return None
        self.reported_at = now
        return LoadReport(self.edge, self.home_region, changed)


class PeerLoads:
    """What other edges have in flight, as the core said lately.

    loads: none of them 0. updated_at: when the last update came.
    """

    def __init__(self) -> None:
        self.loads: Loads = {}
        self.updated_at = -inf

    def apply(self, now: float, update: LoadUpdate) -> None:
        """An update of the core came."""
        if update.is_full or now - self.updated_at > UPDATE_TIMEOUT_S:
            self.loads = {}
        self.updated_at = now
        self.loads.update(update.loads)
        for endpoint in [endpoint for endpoint, load in update.loads.items() if load <= 0]:
            del self.loads[endpoint]

    def forget_if_stale(self, now: float) -> bool:
        """Forgets all loads if no update came lately. Returns whether there was something to forget."""
        if not self.loads or now - self.updated_at <= UPDATE_TIMEOUT_S:
            return False
        self.loads = {}
        return True
