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
from .upstream import LONGEST, MEMORY, SECOND, DecayingRatio, Upstream

ENOUGH = 30  # ends: a mean of so many is within a fifth
USUAL = 2.0  # times the usual: a cold upstream is slower, chance alone seldom is, three times over
ROOM = 0.6  # an upstream takes one more while this much of the time left is expected to do for it
QUEUED = 0.5  # of the time taken is held to be queueing at least: guards against crowds not yet met
DRAG = 2.0  # times the part of its soft deadline that others take: a method drags by itself
FOLLOWS = 3.0, 0.05  # times the failures of others, and so much more: they follow the sort of RPC


class OutlierDetection:
    def has_capacity(self, up: Upstream, now: int, left: int, expected: float) -> bool:
        """Guards against crowding: one more only if it is expected back well within the time left."""
        if (up.half_open and up.in_flight) or (
            self.is_warming_up(up, now) and not self.has_slow_start_credit(up, now)
        ):
            return False
        return expected <= (min(left, self.shortest_soft_deadline) * ROOM if up.in_flight else left)

    def fit_latency(self) -> None:
        """The line through what transmissions took at each number in flight."""
        ends, crowd, took, square, both = self.latency_sums
        # The origin counts as one more point, so a balancer that only ever has one in flight assumes a queue.
        spread = (ends + 1) * square - crowd * crowd
        slope = ((ends + 1) * both - crowd * took) / spread if spread > 0 else 0.0
        self.latency_slope = min(max(slope, QUEUED * took / crowd), took / crowd)
        self.latency_base = (took - self.latency_slope * crowd) / ends

    def baseline_duration(self, up: Upstream, crowd: int) -> float:
        """The time foreseen for a warm upstream of its size and kind, whatever itself has shown."""
        return (
            (self.latency_base + self.latency_slope * crowd)
            * self.hardware_factor(up)
            * self.total_capacity
            / (max(1, self.ready_count) * up.capacity)
        )

    def hardware_factor(self, up: Upstream) -> float:
        """Guards against too little evidence: what one upstream shows is held true of all of its kind."""
        kind = self.hardware_durations.get(up.hardware)
        alike = self.latency_base + self.latency_slope
        return (kind[0] + alike) / (kind[1] + alike) if kind else 1.0

    def expected_duration(self, up: Upstream, now: int) -> float:
        """How long one more transmission would take there; with one usual RPC added for lack of evidence."""
        up.decay(now, self.decay_time)
        alike = self.latency_base + self.latency_slope
        slowness = (up.observed_duration + alike) / (up.foreseen_duration + alike)
        return slowness * self.baseline_duration(up, up.in_flight + up.reported_load + 1)

    def typical_duration(self) -> float:
        return self.latency_sums[2] / self.latency_sums[0]

    def method_slowness(self, method: Method) -> float:
        """Over 1: its RPCs take that much longer wherever they go: no crowd, and no upstream, is to blame."""
        rest = [other for other in self.methods if other is not method]
        usual = sum(other.relative_duration.numerator / other.soft_deadline for other in rest)
        if not usual or not method.relative_duration.denominator:
            return 1.0
        usual /= sum(other.relative_duration.denominator for other in rest)
        return max(
            1.0,
            method.relative_duration.estimate(self.typical_duration())
            / method.soft_deadline
            / (DRAG * usual),
        )

    def failure_follows_request(self, rpc: Rpc) -> bool:
        """Failures follow its sort of RPC: its method or its tenant fails wherever it goes, others do not."""

        def beyond(own: DecayingRatio, sorts: list[DecayingRatio]) -> bool:
            rest = [sort for sort in sorts if sort is not own]
            usual = sum(sort.numerator for sort in rest) / (1 + sum(sort.denominator for sort in rest))
            return len(rest) > 0 and own.estimate(ENOUGH / 3, 0.0) > FOLLOWS[1] + FOLLOWS[0] * usual

        return beyond(rpc.method.failure_ratio, [method.failure_ratio for method in self.methods]) or any(
            beyond(own, self.tenant_failures) for own in self.tenant_failures[rpc.tenant : rpc.tenant + 1]
        )

    def update_probation(self, up: Upstream, outcome: int, took: int, crowd: int) -> None:
        """An end at an upstream in doubt: it is like all others once it has shown itself sound."""
        if outcome == COMPLETED:
            up.probation_successes -= took <= USUAL * self.baseline_duration(up, crowd)
            if self.last_resort_upstreams.pop(up.index, None):
                self.readmit(up)
        elif up.index in self.last_resort_upstreams:
            up.ejected_until += 1  # the others in doubt come first

    def record_duration(self, now: int, up: Upstream, took: int, crowd: int, rpc: Rpc) -> None:
        usual = self.baseline_duration(up, crowd)
        pace = (
            max(0.1, rpc.method.relative_duration.estimate(3 * self.typical_duration()))
            if len(self.methods) > 1
            else 1.0
        )
        rpc.method.relative_duration.add(now, took, usual)
        usual *= pace
        up.observed_duration, up.foreseen_duration = up.observed_duration + took, up.foreseen_duration + usual
        alike = usual / self.hardware_factor(up)
        kind = self.hardware_durations.setdefault(up.hardware, [0.0, 0.0, now])
        keep = exp((kind[2] - now) / LONGEST)
        self.hardware_durations[up.hardware] = [kind[0] * keep + took, kind[1] * keep + alike, now]
        level = (
            took * (self.latency_base + self.latency_slope * crowd) / alike
        )  # at one of the mean size, warm
        keep = exp((self.latency_sums_at - now) / self.decay_time)
        seen = (1, crowd, level, crowd * crowd, crowd * level)
        self.latency_sums, self.latency_sums_at = (
            [old * keep + new for old, new in zip(self.latency_sums, seen, strict=True)],
            now,
        )
        # A light balancer remembers longer, until it has seen enough.
        few = self.latency_sums[0] < ENOUGH
        self.decay_time = min(LONGEST, self.decay_time * 1.1) if few else max(MEMORY, self.decay_time / 1.1)
        self.fit_latency()

    def record_outcome(
        self, now: int, up: Upstream, outcome: int, took: int, crowd: int, fresh: bool, rpc: Rpc
    ):
        up.decay(now, self.decay_time)
        self.finish_rate.add(
            now, outcome in (COMPLETED, TIMED_OUT), now - self.finish_rate.decayed_at, self.decay_time
        )
        if up.probation_successes:
            self.update_probation(up, outcome, took, crowd)
        # Guards against dear connections, of which a first RPC tells. Nothing ready: no mean size to go by.
        if outcome in (COMPLETED, TIMED_OUT) and not fresh and self.baseline_duration(up, crowd) > 0:
            self.record_duration(now, up, took, crowd, rpc)
        if outcome in (COMPLETED, FAILED):
            for sort in (rpc.method.failure_ratio, *self.tenant_failures[rpc.tenant : rpc.tenant + 1]):
                sort.add(now, float(outcome == FAILED), 1.0)
        if outcome == COMPLETED:
            up.successes += 1
            up.half_open = up.probation_successes > 0
        elif (outcome == TIMED_OUT and self.method_slowness(rpc.method) > 1) or (
            outcome == FAILED and self.failure_follows_request(rpc)
        ):
            return  # it follows the RPC, and is not held against the upstream
        elif outcome in (FAILED, TIMED_OUT, DROPPED, BROKEN):
            up.failures += 0.5 if fresh and outcome == TIMED_OUT else 1.0
        # Guards against instant connect failures, fast errors and hangs drawing turns: two bad ends that
        # outweigh the good ones, or one connection refused, set an upstream aside; one that broke tells less.
        if (
            outcome == UNCONNECTED
            or up.failures > max(1.5, up.successes)
            or (up.half_open and outcome != COMPLETED)
        ):
            self.eject(now, up, outcome == UNCONNECTED)

    def eject(self, now: int, up: Upstream, certain: bool) -> None:
        if not up.listed or up.ejected_until:
            return
        if up.delisted:
            self.update_entry(up, up.zone, REMOVED)
            self.list_updated()
            return
        # Guards against a fault of our own side, or of all at once: at most half is set aside on suspicion.
        if not certain and 2 * (self.ejected_count + 1) > self.ready_count:
            return
        up.ejected_until = now + int(self.uniform(2, 3) * SECOND)
        up.half_open, up.successes, up.failures = True, 0.0, 0.0
        self.ejected_count += 1
        self.set_in_rotation(up, False)
        heappush(self.timers, (up.ejected_until, self.next_sequence(), up))

    def readmit(self, up: Upstream) -> None:
        up.ejected_until = 0
        self.ejected_count -= up.listed
        self.set_in_rotation(up, up.listed)
