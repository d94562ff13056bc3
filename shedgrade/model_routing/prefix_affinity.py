"""Which upstreams of a region prompts with a shared prefix are sent to, so that they cache the prefix.

Rendezvous hashing (Thaler and Ravishankar, 1998) over the upstreams of the region chosen: all sidecars find
the same ones without communication. Load is bounded as in "Consistent Hashing with Bounded Loads" (Mirrokni,
Thorup, Zadimoghaddam, 2016): the balancer skips an upstream well above the region's mean in flight.
"""

from zlib import crc32

from shedgrade.load_balancing.upstream import Upstream
from shedgrade.load_balancing.zones import Zone

HOLDERS_PER_PREFIX = 2  # upstreams of a region that a prefix is assigned to: the second takes the overflow
MAX_RANKINGS = 4096  # keys whose ranking is cached


def rendezvous_weight(key: bytes, mark: int) -> int:
    """Returns an upstream's weight for a key, which is assigned to the upstreams of the highest weights."""
    return crc32(mark.to_bytes(4, "little"), crc32(key)) * 2654435761 % 2**32


class PrefixAffinity:
    """Ranks upstreams by key; a cached ranking is valid until the region's rotation changes."""

    def __init__(self) -> None:
        self.rankings: dict[tuple[int, bytes], tuple[Upstream, ...]] = {}

    def rotation_changed(self) -> None:
        """Forgets all rankings."""
        self.rankings.clear()

    def holders(self, zone: Zone, key: bytes) -> tuple[Upstream, ...]:
        """Returns the upstreams of the zone that a prefix's key is assigned to, by descending weight."""
        order = self.rankings.get((zone.number, key))
        if order is None or any(upstream not in zone.rotation for upstream in order):
            if len(self.rankings) >= MAX_RANKINGS:
                self.rankings.clear()
            ranked = sorted(
                zone.rotation,
                key=lambda upstream: rendezvous_weight(key, upstream.id_hash or 0),
                reverse=True,
            )
            order = self.rankings[zone.number, key] = tuple(ranked[:HOLDERS_PER_PREFIX])
        return order
