"""Parts: which upstreams of each zone a sidecar keeps to."""

from .subset_assignment import dealt
from .upstream import Upstream

COVER = 5  # sidecars of its zone that keep to an upstream: each then weighs a twentieth there
SHARED, LONE = (1, 1.2), (3, 3.4)  # of its zone, least and mean: LONE where a connection carries one RPC
FAR = (1, 1.2)  # of all other zones together, least and mean
MOST = 30_000  # sidecars that are told apart: with more, some have the same part


class Subsetting:
    def in_subset(self, up: Upstream) -> bool:
        part = self.zones[up.zone].subset
        return part is None or up in part

    def assign_subset(self) -> None:
        """Guards against hundreds of sidecars with a connection each to every upstream: it takes so many."""
        ups = [up for up in self.upstreams.values() if up.listed]
        rows, zones = sorted((up.id_hash or 0, up.capacity, up.zone, up.index) for up in ups), len(self.zones)
        near, far = ([row for row in rows if (row[2] == self.own_zone) is here] for here in (True, False))
        number, count, kept = self.sidecar_number % MOST, min(self.sidecar_count, MOST), []
        if self.uses_subset and rows:
            least, mean = SHARED if self.connections_multiplexed else LONE
            mine, each = max(1.0, count / zones), COVER * len(rows) / count
            cover = min(mine, max(COVER, mean * mine / max(1, len(near))))
            other = max(FAR[1], min(each, zones - 1), each * (zones - 1) / 2 / zones) * count / len(rows)
            self.zones[self.own_zone].mean_subset_size = cover * len(near) / mine
            kept = [
                self.upstreams[row[3]]
                for rows, far, least in ((near, 0.0, least), (far, other, FAR[0]))
                for row in sorted(dealt(rows, zones, number, count, cover, far, least))
            ]
        for place, zone in enumerate(self.zones):
            zone.ready_count = sum(up.zone == place for up in ups)
            part = [up for up in kept if up.zone == place] if self.uses_subset else None
            if part != zone.subset:
                zone.subset, zone.rotation = part, [up for up in zone.rotation if part is None or up in part]
                for up in ups if part is None else part:
                    if up.zone == place:
                        self.set_in_rotation(up, not up.ejected_until)
