"""Which upstream holds the shared parts of a prompt.

Rendezvous hashing (Thaler and Ravishankar, 1998) over the upstreams of the region that the mechanism
chose: every sidecar finds the same ones without a word. Bounded as in "Consistent Hashing with Bounded
Loads" (Mirrokni, Thorup, Zadimoghaddam, 2016): one well above the region's mean in flight is passed over,
as the mechanism does.
"""

from zlib import crc32

from shedgrade.load_balancing.upstream import Upstream
from shedgrade.load_balancing.zones import Zone

HOLDERS_PER_PREFIX = 2  # upstreams of a region that are taken to hold the parts: the second serves the rest
MAX_RANKINGS = 4096  # keys whose order is remembered


def weigh(key: bytes, mark: int) -> int:
    """The rank of an upstream for a key: the highest ones hold it."""
    return crc32(mark.to_bytes(4, "little"), crc32(key)) * 2654435761 % 2**32


class PrefixAffinity:
    """Orders upstreams by key; an order holds until the region's rotation changes."""

    def __init__(self) -> None:
        self.rankings: dict[tuple[int, bytes], tuple[Upstream, ...]] = {}

    def rotation_changed(self) -> None:
        """Forgets all rankings."""
        self.rankings.clear()

    def holders(self, zone: Zone, key: bytes) -> tuple[Upstream, ...]:
        """The upstreams of the zone that hold the key, the first one first."""
        order = self.rankings.get((zone.number, key))
        if order is None or any(upstream not in zone.rotation for upstream in order):
            if len(self.rankings) >= MAX_RANKINGS:
                self.rankings.clear()
            ranked = sorted(
                zone.rotation, key=lambda upstream: weigh(key, upstream.id_hash or 0), reverse=True
            )
            order = self.rankings[zone.number, key] = tuple(ranked[:HOLDERS_PER_PREFIX])
        return order
