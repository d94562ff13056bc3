"""Which upstream holds the shared parts of a prompt.

Rendezvous hashing (Thaler and Ravishankar, 1998) over the upstreams of the region that the mechanism
chose: every sidecar finds the same ones without a word. Bounded as in "Consistent Hashing with Bounded
Loads" (Mirrokni, Thorup, Zadimoghaddam, 2016): one well above the region's mean in flight is passed over,
as the mechanism does.
"""
from zlib import crc32

from shedgrade.decide.upstream import Upstream
from shedgrade.decide.zones import Zone

HOLDERS = 2         # upstreams of a region that are taken to hold the parts: the second serves the rest
UNIT = 2048         # tokens of a prompt that weigh as much as a request in flight while they are read
HEAVIEST = 16
KEYS = 4096         # keys whose order is remembered


def weigh(key: bytes, mark: int) -> int:
    return crc32(mark.to_bytes(4, "little"), crc32(key)) * 2654435761 % 2**32


class Prefixes:
    """Orders upstreams by key; an order holds until the region's rotation changes. Remembers what this
    sidecar has seen an upstream read: a guess, as the upstream lets go of what is unused for longest."""

    def __init__(self) -> None:
        self.orders: dict[tuple[int, bytes], tuple[Upstream, ...]] = {}
        self.seen: dict[tuple[int, bytes], None] = {}       # (mark, key), the one seen longest ago first

    def reading(self, up: Upstream, wants) -> int:
        """What reading its prompt there weighs, beside its place in flight, until its first event."""
        unread = wants.tokens - (wants.shared if (up.mark, wants.key) in self.seen else 0)
        return max(0, min(HEAVIEST, unread // UNIT))

    def has_read(self, up: Upstream, wants) -> None:
        if wants.key:
            self.seen.pop((up.mark, wants.key), None)
            self.seen[up.mark, wants.key] = None
            if len(self.seen) > KEYS:
                del self.seen[next(iter(self.seen))]

    def moved(self) -> None:
        self.orders.clear()

    def holders(self, zone: Zone, key: bytes) -> tuple[Upstream, ...]:
        order = self.orders.get((zone.number, key))
        if order is None or any(up not in zone.ring for up in order):
            if len(self.orders) >= KEYS:
                self.orders.clear()
            ranked = sorted(zone.ring, key=lambda up: weigh(key, up.mark or 0), reverse=True)
            order = self.orders[zone.number, key] = tuple(ranked[:HOLDERS])
        return order
