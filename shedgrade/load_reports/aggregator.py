"""The core member's side: sums of the loads that its edges and the other members report."""

from collections import Counter
from collections.abc import Callable, Mapping
from math import inf

from shedgrade.load_reports.messages import LoadReport, Loads, LoadSums, LoadUpdate

SOURCE_TIMEOUT_S = 1.5  # time without a report after which the loads of an edge or a member are forgotten
HEARTBEAT_INTERVAL_S = 0.3  # maximum time between two updates to an edge, also if nothing changed
ALL_REGIONS_EVERY = 5  # one in this many updates to an edge includes other regions' endpoints
FULL_SUMS_EVERY = 10  # one in this many messages to other members is full
MAX_LOADS_PER_UPDATE = 128  # the rest is sent in the next update

SendUpdate = Callable[[LoadUpdate], None]


class LoadSource:
    """The loads that one edge or one member reported, as they are included in the sums here.

    Attributes:
        loads: by endpoint; none is 0.
        last_report_at: when the last report arrived, s.
    """

    __slots__ = ("last_report_at", "loads")

    def __init__(self) -> None:
        self.loads: Loads = {}
        self.last_report_at = -inf


class ReportingEdge(LoadSource):
    """An edge that reports to this member.

    Attributes:
        home_region: the region whose endpoints the edge uses first.
        send: sends an update to the edge.
        unsent: endpoints at which the load of the other edges has changed since it was sent to this edge.
        updated_at: when the last update was sent, s.
        update_count: number of updates sent so far.
        needs_full_update: whether the next update is to include all loads.
    """

    __slots__ = ("home_region", "needs_full_update", "send", "unsent", "update_count", "updated_at")

    def __init__(self, home_region: str, send: SendUpdate) -> None:
        super().__init__()
        self.home_region = home_region
        self.send = send
        self.unsent: set[int] = set()
        self.updated_at = -inf
        self.update_count = 0
        self.needs_full_update = True


class LoadAggregator:
    """The sums of one core member. Endpoints are identified by the hash of their incarnation.

    Attributes:
        member: this member's link address.
        edges: the edges that report to this member, by name.
        members: the other members, by address.
        sums: the load of all edges, by endpoint.
        own_sums: the load of the edges that report to this member, by endpoint.
        regions: region of each endpoint on the platform's list.
        unshared: endpoints whose own sums have changed since they were sent to the other members.
        share_count: number of calls of `take_unshared` so far.
    """

    def __init__(self, member: str) -> None:
        self.member = member
        self.edges: dict[str, ReportingEdge] = {}
        self.members: dict[str, LoadSource] = {}
        self.sums: Counter[int] = Counter()
        self.own_sums: Counter[int] = Counter()
        self.regions: Mapping[int, str] = {}
        self.unshared: set[int] = set()
        self.share_count = 0

    # --- received

    def receive_report(self, now: float, report: LoadReport, send: SendUpdate) -> None:
        """Applies the report of an edge. `send`: sends an update to that edge."""
        edge = self.edges.get(report.edge)
        if edge is None:
            edge = self.edges[report.edge] = ReportingEdge(report.home_region, send)
        edge.last_report_at = now
        edge.home_region = report.home_region
        edge.send = send
        edge.needs_full_update = edge.needs_full_update or report.is_full
        self.unshared |= self.replace_loads(edge, report.loads, report.is_full, self.own_sums)

    def receive_sums(self, now: float, message: LoadSums) -> None:
        """Applies the sums that another member sent."""
        source = self.members.setdefault(message.member, LoadSource())
        source.last_report_at = now
        self.replace_loads(source, message.loads, message.is_full)

    def replace_loads(
        self, source: LoadSource, loads: Loads, is_full: bool, also: Counter[int] | None = None
    ) -> set[int]:
        """Replaces the source's earlier report by `loads`, in the sums and in `also`. Returns the endpoints
        whose load has changed.
        """
        after = loads if is_full else {**source.loads, **loads}
        endpoints = source.loads.keys() | loads.keys() if is_full else loads.keys()
        changed = {
            endpoint for endpoint in endpoints if source.loads.get(endpoint, 0) != after.get(endpoint, 0)
        }
        for endpoint in changed:
            difference = after.get(endpoint, 0) - source.loads.get(endpoint, 0)
            add_to_sum(self.sums, endpoint, difference)
            if also is not None:
                add_to_sum(also, endpoint, difference)
        source.loads = {endpoint: load for endpoint, load in after.items() if load}
        for edge in self.edges.values():
            if edge is not source:
                edge.unsent |= changed
        return changed

    def expire_sources(self, now: float) -> None:
        """Forgets the loads of edges and members that have not reported within `SOURCE_TIMEOUT_S`."""
        for name in [
            name for name, edge in self.edges.items() if now - edge.last_report_at > SOURCE_TIMEOUT_S
        ]:
            self.unshared |= self.replace_loads(self.edges[name], {}, True, self.own_sums)
            del self.edges[name]
        for name in [
            name for name, peer in self.members.items() if now - peer.last_report_at > SOURCE_TIMEOUT_S
        ]:
            self.replace_loads(self.members[name], {}, True)
            del self.members[name]

    # --- sent

    def send_updates(self, now: float) -> None:
        """Sends each edge the changed loads of the other edges: those of its home region in each update,
        those of other regions in one of `ALL_REGIONS_EVERY`.
        """
        for edge in self.edges.values():
            endpoints = self.endpoints_to_send(edge)
            is_due = now - edge.updated_at >= HEARTBEAT_INTERVAL_S
            if not (endpoints or edge.needs_full_update or is_due):
                continue
            others = {endpoint: self.sums[endpoint] - edge.loads.get(endpoint, 0) for endpoint in endpoints}
            update = LoadUpdate(others, edge.needs_full_update)
            edge.unsent -= endpoints
            edge.needs_full_update = False
            edge.updated_at = now
            edge.update_count += 1
            edge.send(update)

    def endpoints_to_send(self, edge: ReportingEdge) -> set[int]:
        """The endpoints whose loads the next update to this edge includes."""
        if edge.needs_full_update:
            edge.unsent = set()
            return {endpoint for endpoint, load in self.sums.items() if load != edge.loads.get(endpoint, 0)}
        if edge.update_count % ALL_REGIONS_EVERY == 0:
            endpoints = edge.unsent
        else:
            endpoints = {
                endpoint for endpoint in edge.unsent if self.regions.get(endpoint) == edge.home_region
            }
        if len(endpoints) > MAX_LOADS_PER_UPDATE:
            return set(sorted(endpoints)[:MAX_LOADS_PER_UPDATE])
        return set(endpoints)

    def take_unshared(self) -> LoadSums | None:
        """The message that is due to the other members; None if there is none."""
        self.share_count += 1
        if self.share_count % FULL_SUMS_EVERY == 0 and (self.edges or self.own_sums):
            self.unshared = set()
            return LoadSums(self.member, dict(self.own_sums), True)
        if not self.unshared:
            return None
        endpoints = self.unshared
        self.unshared = set()
        return LoadSums(self.member, {endpoint: self.own_sums[endpoint] for endpoint in endpoints})


def add_to_sum(sums: Counter[int], endpoint: int, difference: int) -> None:
    """Adds to an endpoint's sum; a sum of 0 is removed."""
    sums[endpoint] += difference
    if not sums[endpoint]:
        del sums[endpoint]
