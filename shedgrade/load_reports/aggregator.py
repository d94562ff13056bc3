"""A core member's side: sums of what its edges and the other members' edges report."""

from collections import Counter
from collections.abc import Callable, Mapping
from math import inf

from shedgrade.load_reports.messages import LoadReport, Loads, LoadSums, LoadUpdate

SOURCE_TIMEOUT_S = 1.5  # without a report, after which an edge's loads, or a member's, are forgotten
HEARTBEAT_INTERVAL_S = 0.3  # between two updates to an edge at the most, also where nothing changed
ALL_REGIONS_EVERY = 5  # of so many updates to an edge, one is of other regions' endpoints too
FULL_SUMS_EVERY = 10  # of so many messages to other members, one is full
MAX_LOADS_PER_UPDATE = 128  # what is left out is in the next one

SendUpdate = Callable[[LoadUpdate], None]


class LoadSource:
    """The loads that one edge or one member reported, as they are part of the sums here.

    loads: none of them 0. last_report_at: when the last report came.
    """

    __slots__ = ("last_report_at", "loads")

    def __init__(self) -> None:
        self.loads: Loads = {}
        self.last_report_at = -inf


class ReportingEdge(LoadSource):
    """An edge that reports here.

    home_region: whose endpoints it uses first. send: reaches it. unsent: endpoints whose loads of other edges
    changed since it was sent them. updated_at: when the last update went to it. update_count: of them, so
    far. needs_full_update: it is to be sent everything next.
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
    """The sums of one core member. Endpoints are named by the hash of their incarnation.

    member: this member's link address. edges: that report here, by name. members: the other members, by
    address. sums: of all edges, by endpoint. own_sums: of the edges that report here. regions: of each
    endpoint on the platform's list. unshared: endpoints whose own sums changed since the other members were
    sent them. share_count: looks at what to send them, so far.
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
        """An edge reported its loads; `send` reaches it."""
        edge = self.edges.get(report.edge)
        if edge is None:
            edge = self.edges[report.edge] = ReportingEdge(report.home_region, send)
        edge.last_report_at = now
        edge.home_region = report.home_region
        edge.send = send
        edge.needs_full_update = edge.needs_full_update or report.is_full
        self.unshared |= self.replace_loads(edge, report.loads, report.is_full, self.own_sums)

    def receive_sums(self, now: float, message: LoadSums) -> None:
        """Another member sent the sums of its edges."""
        source = self.members.setdefault(message.member, LoadSource())
        source.last_report_at = now
        self.replace_loads(source, message.loads, message.is_full)

    def replace_loads(
        self, source: LoadSource, loads: Loads, is_full: bool, also: Counter[int] | None = None
    ) -> set[int]:
        """Replaces what the source reported before, in the sums and in `also`. Returns the endpoints whose
        load is another now.
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
        """Whoever has not been heard from for a while has nothing in flight, as far as is known."""
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
        """Sends each edge what changed of the others' loads: of its home region always, of other regions now
        and then.
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
        """The endpoints that the next update of that edge is about."""
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
        """What the other members are to be sent now; None if nothing."""
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
    """Adds to an endpoint's sum; one that is 0 is not kept."""
    sums[endpoint] += difference
    if not sums[endpoint]:
        del sums[endpoint]
