"""The requests that other edges have in flight at each upstream, as the control plane reports them."""

from collections.abc import Iterator, Mapping

from shedgrade.load_balancing.outcomes import REMOVED
from shedgrade.load_balancing.upstream import Upstream
from shedgrade.load_balancing.zones import Zone
from shedgrade.model_routing.request import ServingRpc

SLOTS_SHARE = 1 / 3  # mean share of an upstream's slots in use, from which on a region may be skipped
# Drop threshold in requests in flight per upstream, if slots are few or not reported.
MIN_DROP_THRESHOLD = 2.0
# Load of the most loaded region over that of the least loaded: below it, moving a request to the other region
# gains less than the way costs.
MIN_LOAD_RATIO = 1.5


class FleetLoad:
    """Counts other edges' requests as background load of the upstreams.

    They count wherever an upstream is compared with its region's mean. `Balancer` compares own requests in
    flight alone with the drop threshold; with many edges these never come near a threshold of requests per
    upstream, so the same threshold is applied to what all edges have in flight together.
    """

    remote_loads: dict[int, int]  # by upstream: requests of other edges
    slots = 0  # requests that an upstream processes at a time; 0: not reported
    drop_threshold = MIN_DROP_THRESHOLD  # replaces that of `Balancer`

    def set_slots(self, slots: int) -> None:
        """Sets how many requests each upstream processes at a time; 0: not reported."""
        self.slots = slots
        self.drop_threshold = max(MIN_DROP_THRESHOLD, SLOTS_SHARE * slots)

    def own_loads(self) -> Iterator[tuple[int, int]]:
        """Yields the id hash and the load of each upstream that this edge loads, prefill load included."""
        for upstream in self.upstreams.values():
            load = upstream.in_flight + upstream.background_load - self.remote_loads.get(upstream.index, 0)
            if load > 0 and upstream.id_hash is not None:
                yield upstream.id_hash, load

    def update_remote_loads(self, loads: Mapping[int, int]) -> None:
        """Replaces the load of other edges. `loads`: by id hash; an upstream that is not named has none."""
        for upstream in self.upstreams.values():
            self.set_remote_load(upstream, loads.get(upstream.id_hash, 0) if upstream.listed else 0)

    def set_remote_load(self, upstream: Upstream, load: int) -> None:
        """Replaces the load of other edges at one upstream."""
        before = self.remote_loads.pop(upstream.index, 0)
        if load:
            self.remote_loads[upstream.index] = load
        if load != before:
            self.add_load(upstream, 0, load - before)

    def release_if_unused(self, upstream: Upstream) -> None:
        """Forgets an unused upstream, also while other edges have requests at it."""
        if upstream.state == REMOVED and upstream.zone is not None:
            self.set_remote_load(upstream, 0)
        super().release_if_unused(upstream)

    def mean_load(self, zone: Zone) -> float:
        """Returns the requests in flight per ready upstream of a region, of all edges."""
        return (zone.in_flight + zone.background_load) / len(zone.rotation)

    def overloaded_region(self, rpc: ServingRpc) -> int | None:
        """Returns the number of the region that the request skips as overloaded, None for none.

        It is the region with the highest load, counting the requests of all edges. It is skipped if its load
        is at the request's threshold, and at least MIN_LOAD_RATIO times that of the least loaded region. Each
        request draws a threshold between the drop threshold and twice the drop threshold: guards against a
        fleet whose edges all leave a region at once, and all come back at once.
        """
        if not self.slots or not self.remote_loads:
            return None
        zones = [zone for zone in self.zones if rpc.may_use_zone(zone)]
        if len(zones) < 2:
            return None
        worst = max(zones, key=self.mean_load)
        load, least = self.mean_load(worst), min(self.mean_load(zone) for zone in zones)
        overloaded = load >= self.drop_threshold * (1.0 + self.random())
        return worst.number if overloaded and load >= MIN_LOAD_RATIO * least else None
