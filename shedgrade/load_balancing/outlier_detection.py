"""Upstreams and health: the time foreseen at one, and whether it is well."""

from heapq import heappush
from math import exp

from .outcomes import (
    BROKEN,
    COMPLETED,
    DROPPED,
    FAILED,
    REMOVED,
    TIMED_OUT,
    UNCONNECTED,
)
from .rpc import Method, Rpc
from .upstream import LONGEST, MEMORY, SECOND, Ratio, Upstream

ENOUGH = 30  # ends: a mean of so many is within a fifth
USUAL = 2.0  # times the usual: a cold upstream is slower, chance alone seldom is, three times over
ROOM = 0.6  # an upstream takes one more while this much of the time left is expected to do for it
QUEUED = 0.5  # of the time taken is held to be queueing at least: guards against crowds not yet met
DRAG = 2.0  # times the part of its soft deadline that others take: a method drags by itself
FOLLOWS = 3.0, 0.05  # times the failures of others, and so much more: they follow the sort of RPC


class Health:
    def room(self, up: Upstream, now: int, left: int, expected: float) -> bool:
        """Guards against crowding: one more only if it is expected back well within the time left."""
        if (up.trial and up.flight) or (self.is_cold(up, now) and not self.cold_room(up, now)):
            return False
        return expected <= (min(left, self.shortest) * ROOM if up.flight else left)

    def fit(self) -> None:
        """The line through what transmissions took at each number in flight."""
        ends, crowd, took, square, both = self.sums
        # The origin counts as one more point, so a balancer that only ever has one in flight assumes a queue.
        spread = (ends + 1) * square - crowd * crowd
        slope = ((ends + 1) * both - crowd * took) / spread if spread > 0 else 0.0
        self.slope = min(max(slope, QUEUED * took / crowd), took / crowd)
        self.base = (took - self.slope * crowd) / ends

    def usual(self, up: Upstream, crowd: int) -> float:
        """The time foreseen for a warm upstream of its size and kind, whatever itself has shown."""
        return (
            (self.base + self.slope * crowd)
            * self.kind_factor(up)
            * self.sizes
            / (max(1, self.ready) * up.size)
        )

    def kind_factor(self, up: Upstream) -> float:
        """Guards against too little evidence: what one upstream shows is held true of all of its kind."""
        kind = self.kinds.get(up.kind)
        alike = self.base + self.slope
        return (kind[0] + alike) / (kind[1] + alike) if kind else 1.0

    def expected(self, up: Upstream, now: int) -> float:
        """How long one more transmission would take there; with one usual RPC added for lack of evidence."""
        up.fade(now, self.memory)
        alike = self.base + self.slope
        slowness = (up.took + alike) / (up.foreseen + alike)
        return slowness * self.usual(up, up.flight + up.crowd + 1)

    def typical(self) -> float:
        return self.sums[2] / self.sums[0]

    def drag(self, method: Method) -> float:
        """Over 1: its RPCs take that much longer wherever they go: no crowd, and no upstream, is to blame."""
        rest = [other for other in self.methods if other is not method]
        usual = sum(other.pace.over / other.soft for other in rest)
        if not usual or not method.pace.under:
            return 1.0
        usual /= sum(other.pace.under for other in rest)
        return max(1.0, method.pace.of(self.typical()) / method.soft / (DRAG * usual))

    def follows(self, rpc: Rpc) -> bool:
        """Failures follow its sort of RPC: its method or its tenant fails wherever it goes, others do not."""

        def beyond(own: Ratio, sorts: list[Ratio]) -> bool:
            rest = [sort for sort in sorts if sort is not own]
            usual = sum(sort.over for sort in rest) / (1 + sum(sort.under for sort in rest))
            return len(rest) > 0 and own.of(ENOUGH / 3, 0.0) > FOLLOWS[1] + FOLLOWS[0] * usual

        return beyond(rpc.method.fails, [method.fails for method in self.methods]) or any(
            beyond(own, self.fails) for own in self.fails[rpc.tenant : rpc.tenant + 1]
        )

    def settle(self, up: Upstream, outcome: int, took: int, crowd: int) -> None:
        """An end at an upstream in doubt: it is like all others once it has shown itself sound."""
        if outcome == COMPLETED:
            up.doubt -= took <= USUAL * self.usual(up, crowd)
            if self.latent.pop(up.index, None):
                self.back(up)
        elif up.index in self.latent:
            up.aside_until += 1  # the others in doubt come first

    def measure(self, now: int, up: Upstream, took: int, crowd: int, rpc: Rpc) -> None:
        usual = self.usual(up, crowd)
        pace = max(0.1, rpc.method.pace.of(3 * self.typical())) if len(self.methods) > 1 else 1.0
        rpc.method.pace.add(now, took, usual)
        usual *= pace
        up.took, up.foreseen = up.took + took, up.foreseen + usual
        alike = usual / self.kind_factor(up)
        kind = self.kinds.setdefault(up.kind, [0.0, 0.0, now])
        keep = exp((kind[2] - now) / LONGEST)
        self.kinds[up.kind] = [kind[0] * keep + took, kind[1] * keep + alike, now]
        level = took * (self.base + self.slope * crowd) / alike  # at one of the mean size, warm
        keep = exp((self.stamp - now) / self.memory)
        seen = (1, crowd, level, crowd * crowd, crowd * level)
        self.sums, self.stamp = [old * keep + new for old, new in zip(self.sums, seen, strict=True)], now
        # A light balancer remembers longer, until it has seen enough.
        few = self.sums[0] < ENOUGH
        self.memory = min(LONGEST, self.memory * 1.1) if few else max(MEMORY, self.memory / 1.1)
        self.fit()

    def learn(self, now: int, up: Upstream, outcome: int, took: int, crowd: int, fresh: bool, rpc: Rpc):
        up.fade(now, self.memory)
        self.ends.add(now, outcome in (COMPLETED, TIMED_OUT), now - self.ends.stamp, self.memory)
        if up.doubt:
            self.settle(up, outcome, took, crowd)
        # Guards against dear connections, of which a first RPC tells. Nothing ready: no mean size to go by.
        if outcome in (COMPLETED, TIMED_OUT) and not fresh and self.usual(up, crowd) > 0:
            self.measure(now, up, took, crowd, rpc)
        if outcome in (COMPLETED, FAILED):
            for sort in (rpc.method.fails, *self.fails[rpc.tenant : rpc.tenant + 1]):
                sort.add(now, float(outcome == FAILED), 1.0)
        if outcome == COMPLETED:
            up.good += 1
            up.trial = up.doubt > 0
        elif (outcome == TIMED_OUT and self.drag(rpc.method) > 1) or (
            outcome == FAILED and self.follows(rpc)
        ):
            return  # it follows the RPC, and is not held against the upstream
        elif outcome in (FAILED, TIMED_OUT, DROPPED, BROKEN):
            up.bad += 0.5 if fresh and outcome == TIMED_OUT else 1.0
        # Guards against instant connect failures, fast errors and hangs drawing turns: two bad ends that
        # outweigh the good ones, or one connection refused, set an upstream aside; one that broke tells less.
        if outcome == UNCONNECTED or up.bad > max(1.5, up.good) or (up.trial and outcome != COMPLETED):
            self.set_aside(now, up, outcome == UNCONNECTED)

    def set_aside(self, now: int, up: Upstream, certain: bool) -> None:
        if not up.listed or up.aside_until:
            return None
        if up.dropped:
            self.relist(up, up.zone, REMOVED)
            return self.relisted()
        # Guards against a fault of our own side, or of all at once: at most half is set aside on suspicion.
        if not certain and 2 * (self.aside + 1) > self.ready:
            return None
        up.aside_until = now + int(self.span(2, 3) * SECOND)
        up.trial, up.good, up.bad = True, 0.0, 0.0
        self.aside += 1
        self.rotation(up, False)
        heappush(self.alarms, (up.aside_until, self.count(), up))
        return None

    def back(self, up: Upstream) -> None:
        up.aside_until = 0
        self.aside -= up.listed
        self.rotation(up, up.listed)
