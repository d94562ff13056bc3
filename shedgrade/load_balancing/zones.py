"""Zones and rotation: the usual path of every RPC, and the last resort."""

from math import exp, inf

from .rpc import Rpc
from .upstream import LONGEST, Ratio, Upstream

THRESHOLD = 3.0  # in flight per ready upstream at which a zone may be dropped: 2 to 4 make little odds
MARGIN = 0.5  # passed over if this far above the zone's mean in flight: half an RPC is not chance
EASY = 0.15  # of the shortest soft deadline: whatever is foreseen within it takes all its turns
SWIFT = 0.7  # of the zone's mean time: faster upstreams take all turns, slower ones fewer of them
VISITS = 16  # upstreams looked at for one choice at most: work does not grow with the fleet
CALM = 1.5  # RPCs held a core below which a zone has room for more, up to twice its windows


class Zone:
    """The rotation of one zone: `ring`, of its `ready` or its `part`; `crowd` as the list tells."""

    __slots__ = (
        "ring",
        "ready",
        "part",
        "turn",
        "flight",
        "window",
        "usual",
        "last_end",
        "read",
        "held",
        "moved",
        "opening",
        "crowd",
        "late",
        "share",
        "number",
    )

    def __init__(self, turn: float) -> None:
        self.ring, self.turn, self.flight, self.window, self.usual = [], turn, 0, inf, 0.0
        self.ready = self.last_end = self.read = self.held = 0
        self.part, self.moved, self.opening, self.crowd, self.late = None, False, True, 0.0, Ratio()
        self.share = 0.0  # upstreams of it that a sidecar keeps to on the mean

    def full(self, rpc: Rpc) -> bool:
        """A window between two counts admits that part of the RPCs, each by its own luck; what the list tells
        is held there cuts it, where the time foreseen at the mean passes the soft deadline."""
        window = self.window
        if self.crowd:
            window *= min(1.0, rpc.method.soft / (rpc.home.base + rpc.home.slope * (1 + self.crowd))) ** 2
            window *= max(1.0, min(2.0, CALM / self.crowd))
        return self.flight + rpc.luck >= window


class Choice:
    threshold = THRESHOLD

    def choose(self, now: int, rpc: Rpc, stay: bool) -> Upstream | None:
        """The design's path: drop the worst zone at the threshold; own zone first, else a draw; rotation."""
        for up in self.owed:
            if (
                up.listed
                and self.kept(up)
                and up not in rpc.tries
                and rpc.allowed(up, now)
                and self.room(up, now, rpc.soft_end - now, self.expected(up, now))
            ):
                # Guards against an upstream that is put back and never met again, by a light sidecar or from
                # another zone: one RPC, within the budget of cold ones, shows that it is well.
                self.owed.remove(up)
                return self.chosen(up, now)
        worst, most, open_zones = None, self.threshold, []
        for zone in self.zones:
            if rpc.reaches(zone):
                if zone.window < 1:
                    # What holds back some of all RPCs fades when nothing confirms it.
                    zone.window **= exp((zone.read - now) / LONGEST)
                zone.read = now
                open_zones.append(zone)
                load = zone.flight / len(zone.ring)
                if load >= most and (worst is None or load > most):
                    worst, most = zone, load
        if worst is not None and len(open_zones) > 1:
            open_zones.remove(worst)
        open_zones = [zone for zone in open_zones if zone not in rpc.turned_away] or open_zones
        own = self.zones[self.own]
        left = rpc.soft_end - now if not rpc.method.late else rpc.end - now
        if own in open_zones:
            up = self.rotate(own, now, rpc, left)
            if up is not None:
                return up
            if stay and own.window >= 1:
                return None
            open_zones.remove(own)
        # A zone without room is left out and the draw repeated.
        while open_zones:
            sizes = [zone.ready if self.keeps else len(zone.ring) for zone in open_zones]
            zone = self.pick(open_zones, sizes)[0]
            up = self.rotate(zone, now, rpc, left)
            if up is not None:
                return up
            open_zones.remove(zone)
        if worst is not None and worst.ring:
            return self.rotate(worst, now, rpc, left)
        if self.latent and not rpc.out and not any(up.flight for up in self.latent.values()):
            return self.last_resort(now, rpc)
        held_back = any(zone.ring and zone.full(rpc) for zone in self.zones)
        return None if self.flight or rpc.out or held_back else self.last_resort(now, rpc)

    def rotate(self, zone: Zone, now: int, rpc: Rpc, left: int) -> Upstream | None:
        """The next in rotation that is not well above the mean, then any that has room."""
        if not zone.ring or zone.full(rpc):
            return None
        ring, size = zone.ring, len(zone.ring)
        start = int(zone.turn * size) if isinstance(zone.turn, float) else zone.turn % size
        bar, over = (zone.flight + zone.held) / size + MARGIN, None
        for step in range(min(size, VISITS)):
            up = ring[(start + step) % size]
            if up in rpc.tries or not rpc.allowed(up, now):
                continue
            expected = self.expected(up, now)
            zone.usual += (expected - zone.usual) / size if zone.usual else expected
            if not self.room(up, now, left, expected):
                continue
            # Guards against mixed speeds: over time, too, an upstream well above the mean is passed over, so
            # that a slow one gets the fewer turns the longer it takes, and the dear, with most to lose, go
            # elsewhere. What is quick enough takes every turn.
            swift = max(EASY * self.shortest, SWIFT * zone.usual)
            up.turns += 1.0 if expected <= swift else (swift / expected) ** 2
            if (
                up.flight + up.held <= bar
                and up.turns >= 1
                and (expected <= swift or rpc.payoff <= self.mean_payoff)
            ):
                up.turns -= 1
                zone.turn = (start + step + 1) % size
                return self.chosen(up, now)
            over = over or up
        return over and self.chosen(over, now)

    def chosen(self, up: Upstream, now: int) -> Upstream:
        if self.is_cold(up, now):
            up.cold_turns -= 1
        return up

    def last_resort(self, now: int, rpc: Rpc) -> Upstream | None:
        """Nothing eligible, nothing out to wait for: the ready upstream that returns first, one at a time."""
        best, ups = None, list((self.latent or self.ups).values())
        start = int(self.chance() * len(ups))
        # From a random place, or all balancers would fall on the same one.
        for up in ups[start:] + ups[:start]:
            if (
                up.listed
                and not up.flight
                and self.kept(up)
                and up not in rpc.tries
                and (rpc.allowed(up, now))
                and (best is None or up.aside_until < best.aside_until)
                and (not self.is_cold(up, now) or self.cold_room(up, now))
            ):
                best = up
        return best and self.chosen(best, now)
