"""The decisions of one sidecar for one service of the system."""

from collections.abc import Mapping
from math import inf

from shedgrade.load_balancing.balancer import Balancer
from shedgrade.load_balancing.rpc import Rpc
from shedgrade.load_balancing.upstream import SECOND, Upstream
from shedgrade.load_balancing.zones import Zone
from shedgrade.model_routing.fleet_load import OthersLoad
from shedgrade.model_routing.prefix_affinity import Prefixes
from shedgrade.model_routing.request import ServingRpc, Wants
from shedgrade.model_routing.retry_budget import Repeats
from shedgrade.model_routing.slow_start import ColdShares

MARGIN = 1.0  # in flight over the region's mean up to which the holder of a prompt is taken
FAR = 2048  # tokens of shared parts: reading so many anew takes as long as the way to another region
UNIT = 2048  # tokens of a prompt that weigh as much as a request in flight while they are read
HEAVIEST = 16  # requests in flight that one prompt may weigh
MOST = 6  # transmissions of one try, those included that never arrived
BACK = 0.25, 0.75  # s after which a client is told to come back: spread, so that they don't come together


def settings(regions: list[str], own: int) -> dict:
    """What `decide.Balancer` wants to be told. Two methods: what may run again, and what may not."""
    method = {
        "soft_deadline": 1000.0,
        "hard_deadline": 60_000.0,
        "payoff": 1.0,
        "overdue_payoff": 1.0,
        "group": "all",
        "repeat_window": 0.0,
    }
    return {
        "az": own,
        "balancers": 1,
        "tick": 1.0,
        "membership_mode": "pushed",
        "zones": regions,
        "prices": {},
        "methods": [
            {**method, "name": "idempotent", "idempotency": "repeatable"},
            {**method, "name": "once", "idempotency": "never"},
        ],
        "limits": {
            "most_transmissions": MOST,
            "parallel_tries": False,
            "cancelling": True,
            "retry_after": True,
            "max_retry_after": 1000.0,
        },
        "rules": {"cold": 0, "cold_from": 1.0, "fall_multiple": 1.0, "ask_every": 10_000.0},
    }


class NoRecord:
    """Where no record is kept: nothing is held anywhere."""

    def holders(self, key: int) -> Mapping[int, float]:
        return {}

    def saw(self, key: int, mark: int) -> None:
        """Nobody is told."""


class ServingBalancer(OthersLoad, ColdShares, Balancer):
    """`decide.Balancer` for streams of a model: no windows and no times foreseen, as an upstream's batch
    takes what comes; places are kept until a stream ends."""

    handle = ServingRpc

    def __init__(
        self, regions: list[str], own: int, seed: int, now: int, repeats: Repeats, name: str = ""
    ) -> None:
        self.cold_until: dict[int, int] = {}  # by upstream, as the list tells
        self.others: dict[int, int] = {}
        self.prefixes, self.repeats, self.name = Prefixes(), repeats, name
        self.record = NoRecord()
        super().__init__(settings(regions, own), seed, now)
        for number, zone in enumerate(self.zones):
            zone.number = number

    def relisted(self) -> None:
        super().relisted()
        self.prefixes.moved()
        for zone in self.zones:
            zone.window = inf

    def choose(self, now: int, rpc: ServingRpc, stay: bool) -> Upstream | None:
        """Guards against a refusal while something could be tried: what returns first, one request at a
        time."""
        up = self.kept_elsewhere(now, rpc)
        if up is None:
            rpc.dropped = self.crowded(rpc)
            up = super().choose(now, rpc, stay)
            if up is None and rpc.dropped is not None:
                rpc.dropped = None
                up = super().choose(now, rpc, stay)
        return up or self.last_resort(now, rpc)

    def kept_elsewhere(self, now: int, rpc: ServingRpc) -> Upstream | None:
        """The own region gives way to one upstream of another: the one on record as holding a long prompt's
        shared parts, which the own region would read anew. It must be of a region that the gate lets stay,
        and not be well above that region's mean."""
        wants: Wants = rpc.tag.wants
        if wants.shared < FAR or rpc.tries:
            return None
        held = self.record.holders(wants.kept_as)
        if not held:
            return None
        own, best = self.zones[self.own], None
        if rpc.reaches(own) and any(up.mark in held for up in own.ring):
            return None
        for zone in self.zones:
            if zone is own or not rpc.reaches(zone) or zone.flight / len(zone.ring) >= self.threshold:
                continue
            bar = self.bar(zone, wants)
            for up in zone.ring:
                if (
                    up.mark in held
                    and up.flight + up.held <= bar
                    and rpc.allowed(up, now)
                    and self.room(up, now, 0, 1.0)
                    and (best is None or up.flight + up.held < best.flight + best.held)
                ):
                    best = up
        return best and self.chosen(best, now)

    def bar(self, zone: Zone, wants: Wants) -> float:
        """In flight at which one that keeps a prompt's shared parts is still taken: what the mean has, and
        what reading them anew elsewhere would weigh."""
        return self.load_of(zone) + MARGIN + wants.shared / UNIT

    def unread(self, up: Upstream, wants: Wants) -> int:
        """What reading its prompt there weighs, beside its place in flight, until its first event."""
        kept = wants.shared if wants.key and up.mark in self.record.holders(wants.kept_as) else 0
        return max(0, min(HEAVIEST, (wants.tokens - kept) // UNIT))

    def room(self, up: Upstream, now: int, left: int, expected: float) -> bool:
        return not (up.trial and up.flight) and (not self.is_cold(up, now) or self.cold_room(up, now))

    def expected(self, up: Upstream, now: int) -> float:
        up.fade(now, self.memory)
        return 1.0  # every upstream takes all its turns; in flight tells which are passed over

    def keep_aside(self, now: int, up: Upstream) -> None:
        """It can't be reached: it is set aside, or stays so for a whole span from now."""
        if up.aside_until and up.listed:
            self.back(up)
        self.set_aside(now, up, True)

    def measure(self, now: int, up: Upstream, took: int, crowd: int, rpc: Rpc) -> None:
        """Times of streams follow their lengths, not their upstreams: nothing is learnt of them."""

    def rotate(self, zone: Zone, now: int, rpc: ServingRpc, left: int) -> Upstream | None:
        wants: Wants = rpc.tag.wants
        if wants.key and len(zone.ring) > 1:
            bar = self.bar(zone, wants)
            held = self.record.holders(wants.kept_as)
            known = [up for up in zone.ring if up.mark in held] if held else ()
            for up in (*known, *self.prefixes.holders(zone, wants.key)):
                if (
                    up.flight + up.held <= bar
                    and up not in rpc.tries
                    and rpc.allowed(up, now)
                    and self.room(up, now, left, 1.0)
                ):
                    return self.chosen(up, now)
        return super().rotate(zone, now, rpc, left)

    def served(self, now: int, up: Upstream, wants: Wants) -> None:
        """A request ended well there."""

    def retry_after(self, now: int, rpc: ServingRpc) -> int:
        return int(self.span(*BACK) * SECOND)

    def release(self, up: Upstream) -> None:
        super().release(up)
        if up.index not in self.ups:
            self.cold_until.pop(up.index, None)
