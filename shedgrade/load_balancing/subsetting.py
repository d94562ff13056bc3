"""Subsetting: which upstreams of each zone a process connects to.

As in deterministic subsetting (Site Reliability Engineering, chapter 20), each process computes its own
subset alone; `subset_assignment` says how.
"""

from .state import BalancerState
from .subset_assignment import dealt
from .upstream import Upstream

SIDECARS_PER_UPSTREAM = 5  # sidecars of its zone that use an upstream: each is then a twentieth of its load
# Upstreams of its own zone that a sidecar uses: least and mean.
MULTIPLEXED_CONNECTIONS, EXCLUSIVE_CONNECTIONS = (1, 1.2), (3, 3.4)
OTHER_ZONES = (1, 1.2)  # upstreams of all other zones together that a sidecar uses: least and mean
MAX_SIDECARS = 30_000  # sidecars that have a subset of their own; of more sidecars, some have the same subset


class Subsetting(BalancerState):
    """Restricts each process to a subset of the upstreams of each zone."""

    def in_subset(self, upstream: Upstream) -> bool:
        """Returns whether this process may send to the upstream."""
        part = self.zones[upstream.zone].subset
        return part is None or upstream in part

    def assign_subset(self) -> None:
        """Computes the subset of each zone.

        Guards against hundreds of sidecars with a connection each to every upstream, which accepts only a
        limited number.
        """
        ups = [upstream for upstream in self.upstreams.values() if upstream.listed]
        rows, zones = (
            sorted(
                (upstream.id_hash or 0, upstream.capacity, upstream.zone, upstream.index) for upstream in ups
            ),
            len(self.zones),
        )
        near, far = ([row for row in rows if (row[2] == self.own_zone) is here] for here in (True, False))
        number, count, kept = self.sidecar_number % MAX_SIDECARS, min(self.sidecar_count, MAX_SIDECARS), []
        if self.uses_subset and rows:
            least, mean = MULTIPLEXED_CONNECTIONS if self.connections_multiplexed else EXCLUSIVE_CONNECTIONS
            mine, each = max(1.0, count / zones), SIDECARS_PER_UPSTREAM * len(rows) / count
            cover = min(mine, max(SIDECARS_PER_UPSTREAM, mean * mine / max(1, len(near))))
            other = (
                max(OTHER_ZONES[1], min(each, zones - 1), each * (zones - 1) / 2 / zones) * count / len(rows)
            )
            self.zones[self.own_zone].mean_subset_size = cover * len(near) / mine
            kept = [
                self.upstreams[row[3]]
                for rows, far, least in ((near, 0.0, least), (far, other, OTHER_ZONES[0]))
                for row in sorted(dealt(rows, zones, number, count, cover, far, least))
            ]
        for place, zone in enumerate(self.zones):
            zone.ready_count = sum(upstream.zone == place for upstream in ups)
            part = [upstream for upstream in kept if upstream.zone == place] if self.uses_subset else None
            if part != zone.subset:
                zone.subset, zone.rotation = (
                    part,
                    [upstream for upstream in zone.rotation if part is None or upstream in part],
                )
                for upstream in ups if part is None else part:
                    if upstream.zone == place:
                        self.set_in_rotation(upstream, not upstream.ejected_until)
