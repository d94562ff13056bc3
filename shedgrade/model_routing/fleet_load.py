"""What other edges have in flight at each upstream, as the control plane tells it."""

from collections.abc import Iterator, Mapping

from shedgrade.load_balancing.outcomes import REMOVED
from shedgrade.load_balancing.upstream import Upstream
from shedgrade.load_balancing.zones import Zone
from shedgrade.model_routing.request import ServingRpc

SLOTS_SHARE = 1 / 3  # of an upstream's slots in use on the mean, from which on a region may be dropped
LEAST_THRESHOLD = 2.0  # requests in flight per upstream, where slots are few or not told
RELIEF = 1.5  # times the load of the least loaded region: below it, going there gains less than the way costs


class FleetLoad:
    """Counts requests of other edges as held: they load an upstream and are no work in flight of this one's.

    So they count wherever an upstream is compared with its region's mean. Own in flight alone is what the
    mechanism's gate goes by; with many edges it never comes near a threshold of requests per upstream, so the
    same gate is applied to what all of them have in flight together.
    """

    remote_loads: dict[int, int]  # by upstream
    slots = 0  # requests that an upstream works on at a time; 0: not told
    drop_threshold = LEAST_THRESHOLD  # of the mechanism's gate

    def set_slots(self, slots: int) -> None:
        """So many requests each upstream works on at a time; 0: not told."""
        self.slots = slots
        self.drop_threshold = max(LEAST_THRESHOLD, SLOTS_SHARE * slots)

    def own_loads(self) -> Iterator[tuple[int, int]]:
        """By mark, what this edge has in flight, with the weight of prompts that are not read yet."""
        for upstream in self.upstreams.values():
            load = upstream.in_flight + upstream.background_load - self.remote_loads.get(upstream.index, 0)
            if load > 0 and upstream.id_hash is not None:
                yield upstream.id_hash, load

    def update_remote_loads(self, loads: Mapping[int, int]) -> None:
        """`loads`: by mark, all that other edges have in flight there; none where it is not named."""
        for upstream in self.upstreams.values():
            self.set_remote_load(upstream, loads.get(upstream.id_hash, 0) if upstream.listed else 0)

    def set_remote_load(self, upstream: Upstream, load: int) -> None:
        """Replaces what other edges have in flight at one upstream."""
        before = self.remote_loads.pop(upstream.index, 0)
        if load:
            self.remote_loads[upstream.index] = load
        if load != before:
            self.add_load(upstream, 0, load - before)

    def release_if_unused(self, upstream: Upstream) -> None:
        """What others still have at one that is gone is no reason to remember it."""
        if upstream.state == REMOVED and upstream.zone is not None:
            self.set_remote_load(upstream, 0)
        super().release_if_unused(upstream)

    def mean_load(self, zone: Zone) -> float:
        """Requests in flight per ready upstream of a region, of all edges."""
        return (zone.in_flight + zone.background_load) / len(zone.rotation)

    def overloaded_region(self, rpc: ServingRpc) -> int | None:
        """The worst region by what all edges have in flight per ready upstream, if that is at the threshold
        and another one is much better.

        Each request has a threshold of its own, between the gate's and twice that: guards against a fleet
        that leaves a region all at once, and all at once comes back.
        """
        if not self.slots or not self.remote_loads:
            return None
        zones = [zone for zone in self.zones if rpc.may_use_zone(zone)]
        if len(zones) < 2:
            return None
        worst = max(zones, key=self.mean_load)
        load, least = self.mean_load(worst), min(self.mean_load(zone) for zone in zones)
        crowded = load >= self.drop_threshold * (1.0 + self.random())
        return worst.number if crowded and load >= RELIEF * least else None
