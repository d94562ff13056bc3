"""The edge's side: when an edge reports its own loads, and what it knows of the other edges' loads."""

from math import inf

from shedgrade.load_reports.messages import LoadReport, Loads, LoadUpdate

# Time between two checks for changes; reading a long prompt takes two or three of them.
REPORT_INTERVAL_S = 0.1
FULL_REPORT_INTERVAL_S = 1.0  # time between two full reports, which make up for lost messages
HEARTBEAT_INTERVAL_S = 0.5  # maximum time between two reports, also if nothing changed
MANY_LOADS = 128  # loads of other edges above which full reports, and so full updates, are less frequent
IDLE_TIMEOUT_S = 10.0  # time without a request in flight after which loads are neither reported nor requested
UPDATE_TIMEOUT_S = 0.6  # time without an update after which other edges' loads are unknown


class LoadReporter:
    """Creates the reports of one edge.

    Attributes:
        edge, home_region: as in `LoadReport`.
        reported: loads as the member knows them if no report was lost.
        member: address of the member that the last report was sent to; None while idle.
        full_report_at: when the last full report was made, s.
        reported_at: when the last report was made, s.
        busy_at: when `report` was last called with a request in flight, s.
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
        """The report that is due to `member`, the address of a core member; None if there is none.

        loads: this edge's own loads. peer_load_count: how many loads of other edges are known here.
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
    """The loads of the other edges, as the core last reported them.

    Attributes:
        loads: by endpoint; none is 0.
        updated_at: when the last update arrived, s.
    """

    def __init__(self) -> None:
        self.loads: Loads = {}
        self.updated_at = -inf

    def apply(self, now: float, update: LoadUpdate) -> None:
        """Applies an update from the core."""
        if update.is_full or now - self.updated_at > UPDATE_TIMEOUT_S:
            self.loads = {}
        self.updated_at = now
        self.loads.update(update.loads)
        for endpoint in [endpoint for endpoint, load in update.loads.items() if load <= 0]:
            del self.loads[endpoint]

    def forget_if_stale(self, now: float) -> bool:
        """Forgets all loads if no update has arrived within `UPDATE_TIMEOUT_S`. Returns whether there were
        any.
        """
        if not self.loads or now - self.updated_at <= UPDATE_TIMEOUT_S:
            return False
        self.loads = {}
        return True
