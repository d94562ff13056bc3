"""Expected durations and health of upstreams."""

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
from .state import BalancerState
from .upstream import DECAY_TIME, MAX_DECAY_TIME, SECOND, DecayingRatio, Upstream

ENOUGH_SAMPLES = 30  # finished attempts; the mean of so many is accurate to a fifth
# Multiple of the usual duration up to which an attempt counts as good: a warming upstream exceeds it, random
# variation seldom does so three times.
PROBATION_SLOWDOWN = 2.0
# Share of the time left within which one more request to a busy upstream must be expected to finish.
CAPACITY_SHARE = 0.6
# Smallest share of a duration that is attributed to queueing: guards against overload levels not seen yet.
MIN_QUEUEING_SHARE = 0.5
# Multiple of the share of the soft deadline that other methods take, above which a method is slow by itself.
SLOW_METHOD_FACTOR = 2.0
# Failures are attributed to the method or tenant of a request if its failure ratio is above this multiple of
# the ratio of all other methods or tenants, plus REQUEST_FAILURE_EXCESS.
REQUEST_FAILURE_FACTOR = 3.0
REQUEST_FAILURE_EXCESS = 0.05  # share of the finished attempts


class OutlierDetection(BalancerState):
    """Estimates durations, and ejects upstreams that fail or refuse connections."""

    def has_capacity(self, upstream: Upstream, now: int, remaining: int, expected: float) -> bool:
        """Returns whether an upstream may take one more request.

        Guards against overload: a busy upstream takes one only if it should finish well within the time left.
        """
        if (upstream.half_open and upstream.in_flight) or (
            self.is_warming_up(upstream, now) and not self.has_slow_start_credit(upstream, now)
        ):
            return False
        return expected <= (
            min(remaining, self.shortest_soft_deadline) * CAPACITY_SHARE if upstream.in_flight else remaining
        )

    def fit_latency(self) -> None:
        """Fits a line to the durations of attempts by the number of requests in flight at the upstream."""
        ends, concurrency, duration, square, both = self.latency_sums
        # The origin counts as one more point, so that a balancer that never has more than one request in
        # flight at an upstream attributes part of the duration to queueing.
        spread = (ends + 1) * square - concurrency * concurrency
        slope = ((ends + 1) * both - concurrency * duration) / spread if spread > 0 else 0.0
        self.latency_slope = min(
            max(slope, MIN_QUEUEING_SHARE * duration / concurrency), duration / concurrency
        )
        self.latency_base = (duration - self.latency_slope * concurrency) / ends

    def baseline_duration(self, upstream: Upstream, concurrency: int) -> float:
        """Returns the duration expected of a warm upstream of the same size and hardware class.

        The upstream's own durations are not taken into account.
        """
        return (
            (self.latency_base + self.latency_slope * concurrency)
            * self.hardware_factor(upstream)
            * self.total_capacity
            / (max(1, self.ready_count) * upstream.capacity)
        )

    def hardware_factor(self, upstream: Upstream) -> float:
        """Returns how many times slower than the mean the upstream's hardware class is; 1.0 for the mean.

        All upstreams of a class count: guards against too little evidence on a single one.
        """
        durations = self.hardware_durations.get(upstream.hardware)
        prior = self.latency_base + self.latency_slope
        return (durations[0] + prior) / (durations[1] + prior) if durations else 1.0

    def expected_duration(self, upstream: Upstream, now: int) -> float:
        """Returns the expected duration of one more attempt at the upstream.

        The prior is one attempt of the usual duration.
        """
        upstream.decay(now, self.decay_time)
        prior = self.latency_base + self.latency_slope
        slowness = (upstream.observed_duration + prior) / (upstream.foreseen_duration + prior)
        return slowness * self.baseline_duration(upstream, upstream.in_flight + upstream.reported_load + 1)

    def typical_duration(self) -> float:
        """Returns the recent mean duration of an attempt, in tenths of a millisecond."""
        return self.latency_sums[2] / self.latency_sums[0]

    def method_slowness(self, method: Method) -> float:
        """Returns how many times too slow the method's requests are at every upstream; 1.0 if they are not.

        Above 1.0 neither overload nor an upstream is to blame.
        """
        rest = [other for other in self.methods if other is not method]
        usual = sum(other.relative_duration.numerator / other.soft_deadline for other in rest)
        if not usual or not method.relative_duration.denominator:
            return 1.0
        usual /= sum(other.relative_duration.denominator for other in rest)
        return max(
            1.0,
            method.relative_duration.estimate(self.typical_duration())
            / method.soft_deadline
            / (SLOW_METHOD_FACTOR * usual),
        )

    def failure_follows_request(self, rpc: Rpc) -> bool:
        """Returns whether the request's method or tenant fails at every upstream while others do not."""

        def exceeds_others(own: DecayingRatio, ratios: list[DecayingRatio]) -> bool:
            rest = [ratio for ratio in ratios if ratio is not own]
            usual = sum(ratio.numerator for ratio in rest) / (1 + sum(ratio.denominator for ratio in rest))
            limit = REQUEST_FAILURE_EXCESS + REQUEST_FAILURE_FACTOR * usual
            return len(rest) > 0 and own.estimate(ENOUGH_SAMPLES / 3, 0.0) > limit

        return exceeds_others(
            rpc.method.failure_ratio, [method.failure_ratio for method in self.methods]
        ) or any(
            exceeds_others(own, self.tenant_failures)
            for own in self.tenant_failures[rpc.tenant : rpc.tenant + 1]
        )

    def update_probation(self, upstream: Upstream, outcome: int, duration: int, concurrency: int) -> None:
        """Records an attempt at an unverified upstream; enough good ones end its probation."""
        if outcome == COMPLETED:
            upstream.probation_successes -= duration <= PROBATION_SLOWDOWN * self.baseline_duration(
                upstream, concurrency
            )
            if self.last_resort_upstreams.pop(upstream.index, None):
                self.readmit(upstream)
        elif upstream.index in self.last_resort_upstreams:
            upstream.ejected_until += 1  # other unverified upstreams are tried first

    def record_duration(
        self, now: int, upstream: Upstream, duration: int, concurrency: int, rpc: Rpc
    ) -> None:
        """Adds a duration to the sums of its upstream, hardware class and method, and to the fitted line."""
        usual = self.baseline_duration(upstream, concurrency)
        method_factor = (
            max(0.1, rpc.method.relative_duration.estimate(3 * self.typical_duration()))
            if len(self.methods) > 1
            else 1.0
        )
        rpc.method.relative_duration.add(now, duration, usual)
        usual *= method_factor
        upstream.observed_duration, upstream.foreseen_duration = (
            upstream.observed_duration + duration,
            upstream.foreseen_duration + usual,
        )
        class_neutral_duration = usual / self.hardware_factor(upstream)
        durations = self.hardware_durations.setdefault(upstream.hardware, [0.0, 0.0, now])
        keep = exp((durations[2] - now) / MAX_DECAY_TIME)
        self.hardware_durations[upstream.hardware] = [
            durations[0] * keep + duration,
            durations[1] * keep + class_neutral_duration,
            now,
        ]
        # Normalized to a warm upstream of mean size.
        normalized_duration = (
            duration * (self.latency_base + self.latency_slope * concurrency) / class_neutral_duration
        )
        keep = exp((self.latency_sums_at - now) / self.decay_time)
        seen = (
            1,
            concurrency,
            normalized_duration,
            concurrency * concurrency,
            concurrency * normalized_duration,
        )
        self.latency_sums, self.latency_sums_at = (
            [old * keep + new for old, new in zip(self.latency_sums, seen, strict=True)],
            now,
        )
        # A balancer with little traffic keeps evidence longer, until it has enough.
        has_few_samples = self.latency_sums[0] < ENOUGH_SAMPLES
        self.decay_time = (
            min(MAX_DECAY_TIME, self.decay_time * 1.1)
            if has_few_samples
            else max(DECAY_TIME, self.decay_time / 1.1)
        )
        self.fit_latency()

    def record_outcome(
        self,
        now: int,
        upstream: Upstream,
        outcome: int,
        duration: int,
        concurrency: int,
        first_on_connection: bool,
        rpc: Rpc,
    ) -> None:
        """Records the outcome of an attempt, and ejects its upstream where the evidence suffices."""
        upstream.decay(now, self.decay_time)
        self.finish_rate.add(
            now, outcome in (COMPLETED, TIMED_OUT), now - self.finish_rate.decayed_at, self.decay_time
        )
        if upstream.probation_successes:
            self.update_probation(upstream, outcome, duration, concurrency)
        # The first request on a connection includes the cost of its setup, so its duration is left out. With
        # no upstream ready there is no mean size to compare with.
        if (
            outcome in (COMPLETED, TIMED_OUT)
            and not first_on_connection
            and self.baseline_duration(upstream, concurrency) > 0
        ):
            self.record_duration(now, upstream, duration, concurrency, rpc)
        if outcome in (COMPLETED, FAILED):
            for ratio in (rpc.method.failure_ratio, *self.tenant_failures[rpc.tenant : rpc.tenant + 1]):
                ratio.add(now, float(outcome == FAILED), 1.0)
        if outcome == COMPLETED:
            upstream.successes += 1
            upstream.half_open = upstream.probation_successes > 0
        elif (outcome == TIMED_OUT and self.method_slowness(rpc.method) > 1) or (
            outcome == FAILED and self.failure_follows_request(rpc)
        ):
            return  # the request is the cause, and the upstream is not blamed
        elif outcome in (FAILED, TIMED_OUT, DROPPED, BROKEN):
            upstream.failures += 0.5 if first_on_connection and outcome == TIMED_OUT else 1.0
        # Guards against upstreams that attract traffic by instant connect failures, fast errors or hangs: two
        # failures that outweigh the successes, or one refused connection, eject an upstream. One connection
        # that broke is less evidence.
        if (
            outcome == UNCONNECTED
            or upstream.failures > max(1.5, upstream.successes)
            or (upstream.half_open and outcome != COMPLETED)
        ):
            self.eject(now, upstream, outcome == UNCONNECTED)

    def eject(self, now: int, upstream: Upstream, certain: bool) -> None:
        """Takes an upstream out of rotation for 2 to 3 s. `certain`: the connection was refused."""
        if not upstream.listed or upstream.ejected_until:
            return
        if upstream.delisted:
            self.update_entry(upstream, upstream.zone, REMOVED)
            self.list_updated()
            return
        # Guards against a fault of this process, or of all upstreams at once: unless `certain`, at most half
        # of the ready upstreams are ejected.
        if not certain and 2 * (self.ejected_count + 1) > self.ready_count:
            return
        upstream.ejected_until = now + int(self.uniform(2, 3) * SECOND)
        upstream.half_open, upstream.successes, upstream.failures = True, 0.0, 0.0
        self.ejected_count += 1
        self.set_in_rotation(upstream, False)
        heappush(self.timers, (upstream.ejected_until, self.next_sequence(), upstream))

    def readmit(self, upstream: Upstream) -> None:
        """Puts an ejected upstream back into rotation."""
        upstream.ejected_until = 0
        self.ejected_count -= upstream.listed
        self.set_in_rotation(upstream, upstream.listed)
