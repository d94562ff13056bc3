"""The handle of a request, and the settings and statistics of its method."""

from heapq import heappush
from math import exp
from typing import NamedTuple

from .outcomes import (
    COMPLETED,
    ERRORED,
    EXHAUSTED,
    NEVER_RAN,
    REJECTED,
    TIMED_OUT,
)
from .upstream import DECAY_TIME, SECOND, DecayingRatio, Upstream

LIMIT_STEP = 0.1  # relative change of a limit by an attempt that takes no time, or twice the target
RAMP_STEP = 0.4  # requests that a limit gains per completion until the first late one: ramps up in seconds
# Least growth of a limit above 1 by a completion in time; with less, limits of busy balancers would lag.
MIN_LIMIT_GROWTH = 1.05


class Method:
    """Settings and statistics of one method. Times are in tenths of a millisecond."""

    __slots__ = (
        "name",
        "soft_deadline",
        "hard_deadline",
        "payoff",
        "overdue_payoff",
        "idempotent",
        "deduplicated",
        "dedup_scope",
        "dedup_window",
        "max_retries",
        "longest_timeout",
        "relative_duration",
        "failure_ratio",
    )

    def __init__(self, settings: dict, top_payoff: float, max_attempts: int, longest_timeout: int) -> None:
        self.name = settings.get("name")
        self.soft_deadline, self.hard_deadline = (
            max(1, int(settings[key] * 10)) for key in ("soft_deadline", "hard_deadline")
        )
        self.longest_timeout = longest_timeout  # longest timeout of a client's request so far
        # Ratio of the method's durations to the usual ones of all methods; ratio of its failed to its
        # finished attempts.
        self.relative_duration = DecayingRatio()
        self.failure_ratio = DecayingRatio()
        self.payoff = settings["payoff"]
        self.overdue_payoff = settings["overdue_payoff"]
        self.idempotent = settings["idempotency"] == "repeatable"
        self.deduplicated = settings["idempotency"] == "by_key"
        self.dedup_scope = settings["group"] if self.deduplicated else "all"
        self.dedup_window = int(settings["repeat_window"] * 10) if self.deduplicated else 0
        # The number of retries after an attempt that may have run is proportional to the payoff, which is
        # what an answer is worth: the method of the highest payoff may use all remaining attempts.
        self.max_retries = max(1, round((max_attempts - 1) * self.payoff / top_payoff)) if top_payoff else 1


class AttemptLoad(NamedTuple):
    """What one outstanding attempt adds to the counts of its upstream and zone.

    in_flight: requests in flight
    background: background load, which counts when upstreams are compared, not against limits
    """

    in_flight: int
    background: int


NO_LOAD = AttemptLoad(0, 0)
WORK_IN_FLIGHT = AttemptLoad(1, 0)
LONG_LIVED_WORK = AttemptLoad(0, 1)


class Rpc:
    """One request; its later events are calls on this handle. Times are in tenths of a millisecond.

    A queued request has no outstanding attempt.

    tag: the caller's own reference to the request
    arrived_at: time of arrival; for a retry that of its first try, where the timeout reveals it
    soft_deadline_at: time after which an answer is worth less
    answer_by: time by which it must be answered
    attempts: upstream of each attempt
    sent_at: time of each attempt, None if it never ran
    outstanding: by outstanding attempt, the requests in flight at its upstream when it was sent
    retries: number of attempts after one that may have run
    hedge_at: time from which a second attempt may run beside the first, None for never
    queue_entry: its entry in the queue, None while it is not queued
    done: it has its final answer
    overtaken: requests of higher payoff took its place in the queue, so it is answered at once
    admission_draw: from 0 to 1, compared with the fractional part of a concurrency limit
    payoff: what an answer is worth
    long_lived: it counts as background load
    body_buffered: whether all bytes of a long request are still buffered, None for a short request
    rejecting_zones: zones in which an upstream rejected it
    tenant: index of its tenant
    """

    __slots__ = (
        "balancer",
        "tag",
        "method",
        "arrived_at",
        "soft_deadline_at",
        "answer_by",
        "attempts",
        "sent_at",
        "outstanding",
        "retries",
        "hedge_at",
        "queue_entry",
        "done",
        "overtaken",
        "admission_draw",
        "payoff",
        "long_lived",
        "body_buffered",
        "rejecting_zones",
        "tenant",
    )

    def __init__(
        self,
        balancer: "Balancer",  # noqa: F821 (that module imports this one)
        method: Method,
        now: int,
        deadline: int,
        retry: bool,
        tag: object,
        tenant: int,
    ) -> None:
        self.balancer = balancer
        self.method = method
        self.tag = tag
        self.tenant = tenant
        self.set_deadlines(now, deadline, retry)
        self.attempts = []
        self.sent_at = []
        self.outstanding = {}
        self.retries = 0
        self.hedge_at = None
        self.queue_entry = None
        self.done = False
        self.long_lived = False
        self.overtaken = False
        self.body_buffered = None
        self.payoff = method.payoff * balancer.payoff_factor(now, tenant)
        self.rejecting_zones = []
        self.admission_draw = balancer.draw_for_payoff(self.payoff)

    def set_deadlines(self, now: int, deadline: int, retry: bool = False) -> None:
        """Sets the times that follow from the client's deadline and the method's settings."""
        balancer, method = self.balancer, self.method
        # Guards against work for a client that has given up: a marked retry with a shorter timeout was cut
        # short by the hard deadline, which reveals when the first try arrived. The soft deadline counts from
        # that time. A timeout shorter by up to a sixteenth is attributed to a late event loop.
        method.longest_timeout = max(method.longest_timeout, deadline - now)
        cut = retry and deadline - now < method.longest_timeout - max(
            balancer.deadline_margin, method.longest_timeout // 16
        )
        self.arrived_at = now = min(now, deadline - method.hard_deadline) if cut else now
        # Answers are due `deadline_margin`, which is two ticks, before the deadline: a client whose attempt
        # times out is then still answered in time.
        self.soft_deadline_at = min(now + method.soft_deadline, deadline) - balancer.deadline_margin
        self.answer_by = (
            deadline - balancer.deadline_margin if method.overdue_payoff else self.soft_deadline_at
        )

    def body_received(self, now: int, deadline: int, buffered: bool, complete: bool) -> int:
        """Sets the deadlines of a long request, whose time counts from its last byte; returns its time limit.

        `buffered`: all bytes are still buffered; if not, the request is not sent again. `complete`: the last
        byte has arrived.
        """
        self.body_buffered = buffered
        self.set_deadlines(now, deadline)
        self.set_long_lived(not complete)  # until then its client decides how long it lasts
        return max(1, self.answer_by - now)

    def first_possibly_executed(self) -> int | None:
        """Returns the first attempt that may have run, outstanding ones included; None if there is none."""
        return next((attempt for attempt, at in enumerate(self.sent_at) if at is not None), None)

    def may_use_zone(self, zone: "Zone") -> bool:  # noqa: F821
        """Returns whether an upstream of this zone may be chosen."""
        return bool(zone.rotation)

    def may_send_to(self, upstream: Upstream, now: int) -> bool:
        """Returns whether the request may be sent to the upstream.

        A request that may have run is sent again only where its method permits it, so that no effect happens
        twice.
        """
        method, first = self.method, self.first_possibly_executed()
        if first is None or method.idempotent:
            return True
        if not method.deduplicated or now > self.sent_at[first] + method.dedup_window:
            return False
        ran_on = self.attempts[first]
        if method.dedup_scope == "zone":
            return upstream.zone == ran_on.zone
        return method.dedup_scope == "all" or upstream.cell == ran_on.cell

    def final_answer(self, now: int) -> tuple[int, int]:
        """Ends the request: EXHAUSTED tells the client that a retry is harmless, ERRORED that it may not be.

        Returns (EXHAUSTED, retry delay) or (ERRORED, 0).
        """
        self.finish()
        if self.client_may_retry():
            return EXHAUSTED, self.balancer.retry_after(now, self)
        return ERRORED, 0

    def client_may_retry(self) -> bool:
        """Returns whether a retry by the client is harmless: it may run again, or certainly has not run."""
        method = self.method
        return (
            method.idempotent
            or self.first_possibly_executed() is None
            or (method.deduplicated and method.dedup_scope == "all")
        )

    def finish(self) -> list[int]:
        """Ends the request; returns the outstanding attempts, as no client waits for them any longer.

        The list is empty where the settings do not cancel attempts.
        """
        self.done = True
        self.balancer.dequeue(self)
        return list(self.outstanding) if self.balancer.cancels_attempts else []

    def decide(self, now: int) -> tuple[int, int] | None:
        """Returns what to do now: None for nothing, (upstream, time limit) to transmit, or the final answer,
        (EXHAUSTED, retry delay) or (ERRORED, 0).
        """
        balancer, method = self.balancer, self.method
        if self.done or (self.outstanding and not (self.hedge_at is not None and now >= self.hedge_at)):
            return None
        is_retry = self.first_possibly_executed() is not None
        self.hedge_at = None
        if (
            self.overtaken
            or now >= self.answer_by
            or len(self.attempts) >= balancer.max_attempts
            or (self.body_buffered is False and self.attempts)
            or (
                is_retry
                and not (
                    (method.idempotent or method.deduplicated)
                    and self.retries < method.max_retries
                    and balancer.retry_tokens >= 1
                    and not balancer.failure_follows_request(self)
                )
            )
        ):
            return None if self.outstanding else self.final_answer(now)
        # Sending to another zone has a price, so the request first waits for capacity in its own zone: for
        # that share of the soft deadline, or a quarter of what the typical duration leaves of it if that is
        # longer.
        own_zone_until = self.arrived_at + int(
            max(
                balancer.cross_zone_price * method.soft_deadline,
                (method.soft_deadline - balancer.typical_duration()) / 4,
            )
        )
        upstream = balancer.choose_upstream(now, self, now < own_zone_until)
        if upstream is None and now < own_zone_until and not self.outstanding:
            if balancer.enqueue(now, self, own_zone_until):
                return None
            upstream = balancer.choose_upstream(now, self, False)
        if upstream is not None:
            return self.transmit(now, upstream, is_retry)
        if self.outstanding or balancer.enqueue(now, self, now):
            return None
        return self.final_answer(now)

    def transmit(self, now: int, upstream: Upstream, is_retry: bool) -> tuple[int, int]:
        """Registers an attempt at the upstream; returns its index and the time limit."""
        balancer, method = self.balancer, self.method
        balancer.dequeue(self)
        if not self.attempts and balancer.method_slowness(method) > 1:
            self.long_lived = True  # it occupies its upstream for long, as an open stream does
        if is_retry:
            self.retries += 1
            balancer.retry_tokens -= 1
        limit = self.answer_by - now
        if (
            (method.idempotent or method.deduplicated)
            and len(self.attempts) + 1 < balancer.max_attempts
            and balancer.retry_tokens >= 1
        ):
            # Guards against a hang: a second upstream is tried while the soft deadline can be met.
            hedge_delay = int(
                max(3 * balancer.expected_duration(upstream, now), (self.soft_deadline_at - now) // 2)
            )
            if now + hedge_delay + balancer.typical_duration() < self.soft_deadline_at:
                if balancer.hedging and self.body_buffered is None:
                    self.hedge_at = now + hedge_delay
                    heappush(balancer.timers, (self.hedge_at, balancer.next_sequence(), self))
                elif upstream.failures > upstream.successes:
                    # Only at an upstream with more failed than completed attempts lately: at any other, the
                    # work of the attempt that is cut short would be lost.
                    limit = min(limit, hedge_delay)
        self.move_load(upstream, NO_LOAD, self.attempt_load())
        self.outstanding[len(self.attempts)] = max(1, upstream.in_flight) + upstream.reported_load
        upstream.last_used_at = now
        self.attempts.append(upstream)
        self.sent_at.append(now)
        return upstream.index, max(1, limit)

    def attempt_finished(
        self, now: int, attempt: int, outcome: int, duration: int, answered: bool, first_on_connection=False
    ) -> list[int]:
        """Records the outcome of an attempt; returns the attempts to stop.

        `answered`: the client has its answer.
        """
        balancer, upstream = self.balancer, self.attempts[attempt]
        zone = balancer.zones[upstream.zone]
        concurrency = self.outstanding.pop(attempt)
        self.move_load(upstream, self.attempt_load(), NO_LOAD)
        # Guards against limits that lag: where attempts finish seldom, each changes the limit by more, as if
        # attempts finished at the same rate in every zone.
        gain = min(5.0, 0.3 + 3 * (now - zone.last_finished_at) / SECOND)
        zone.last_finished_at = now
        if outcome in (TIMED_OUT, COMPLETED) and not first_on_connection:
            slowness = balancer.method_slowness(self.method)
            if outcome == COMPLETED:
                excess = min(
                    1.0, duration / slowness / (balancer.latency_target * self.method.soft_deadline) - 1
                )
                zone.late_ratio.add(now, excess > 0, 1.0, DECAY_TIME)
            else:
                excess = (slowness == 1) * 2.0 * zone.late_ratio.estimate(1.0)
            # An upstream slower than its zone is slow by itself, which says nothing of the zone's load.
            if excess > 0 and balancer.expected_duration(upstream, now) <= 1.2 * zone.typical_duration:
                zone.concurrency_limit = max(0.1, zone.concurrency_limit * exp(-LIMIT_STEP * excess * gain))
                zone.limit_ramping = False
            elif excess < 0 and zone.in_flight + 1 >= zone.concurrency_limit:
                if zone.limit_ramping:
                    zone.concurrency_limit += RAMP_STEP
                zone.concurrency_limit *= max(
                    MIN_LIMIT_GROWTH if zone.concurrency_limit > 1 else 1.0, exp(-LIMIT_STEP * excess * gain)
                )
        balancer.record_outcome(now, upstream, outcome, duration, concurrency, first_on_connection, self)
        balancer.release_if_unused(upstream)
        self.rejecting_zones += [zone] * (outcome == REJECTED)
        if outcome in NEVER_RAN:
            self.sent_at[attempt] = None
        return self.finish() if answered and not self.done else []

    def response_started(self, long_lived: bool = False) -> None:
        """Records that a streamed response has begun.

        The client receives it from now on, so no other attempt may follow.
        """
        self.hedge_at = None
        self.set_long_lived(long_lived or self.long_lived)

    def set_long_lived(self, long_lived: bool) -> None:
        """Moves the request between work in flight and background load.

        An open stream, idle or slow, is background load: it counts when upstreams are compared, not against
        concurrency limits.
        """
        before = self.attempt_load()
        self.long_lived = long_lived
        for attempt in self.outstanding:
            self.move_load(self.attempts[attempt], before, self.attempt_load())

    def attempt_load(self) -> AttemptLoad:
        """Returns what each outstanding attempt adds to the counts of its upstream now.

        All of it is added when an attempt is sent and taken away when it ends. Whatever changes this value
        moves the load of the outstanding attempts by `move_load`.
        """
        return LONG_LIVED_WORK if self.long_lived else WORK_IN_FLIGHT

    def drop_attempt(self, attempt: int) -> None:
        """Takes away what an attempt adds to its upstream, whose outcome could not be recorded."""
        if self.outstanding.pop(attempt, None) is not None:
            self.move_load(self.attempts[attempt], self.attempt_load(), NO_LOAD)

    def move_load(self, upstream: Upstream, before: AttemptLoad, after: AttemptLoad) -> None:
        """Replaces what an attempt adds to the counts of its upstream."""
        if after != before:
            in_flight, background = after.in_flight - before.in_flight, after.background - before.background
            self.balancer.add_load(upstream, in_flight, background)

    def client_disconnected(self, now: int) -> list[int]:
        """Ends the request of a client that has disconnected; returns the attempts to stop."""
        return self.finish()
