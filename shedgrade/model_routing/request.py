"""The handle of one model request, and its constraints on routing."""

from shedgrade.load_balancing.outcomes import BROKEN, COMPLETED, REJECTED, UNCONNECTED, UNSENT
from shedgrade.load_balancing.rpc import NO_LOAD, AttemptLoad, Rpc
from shedgrade.load_balancing.upstream import Upstream
from shedgrade.load_balancing.zones import Zone
from shedgrade.prefix_cache_index import prefix_key as prefix_id_of

IDEMPOTENT, ONCE = range(2)  # the two methods: may run several times, or at most once per try of a client
NOT_DELIVERED = (UNSENT, UNCONNECTED)  # outcomes after which the upstream has received nothing of the request


class RoutingConstraints:
    """The constraints that a route and a request's headers put on routing.

    home_regions: numbers of the regions that may serve it, None for all
    prefix_key: the part of its prompt shared with others, b"" for none
    prefix_id: the prefix index's key of that part, 0 for none
    prefix_tokens: tokens of that part
    prompt_tokens: tokens of the whole prompt
    max_attempts: upstreams that it may be sent to
    latency_target: tenths of a ms within which an answer earns its full payoff
    excluded_upstreams: indices of the upstreams that earlier legs of the same stream ran on
    earlier_attempts: number of attempts of these legs
    """

    __slots__ = (
        "home_regions",
        "prefix_key",
        "max_attempts",
        "latency_target",
        "excluded_upstreams",
        "earlier_attempts",
        "prompt_tokens",
        "prefix_tokens",
        "prefix_id",
    )

    def __init__(
        self,
        home_regions: frozenset[int] | None = None,
        prefix_key: bytes = b"",
        max_attempts: int = 1,
        latency_target: int = 10_000,
        excluded_upstreams: frozenset[int] = frozenset(),
        earlier_attempts: int = 0,
        prompt_tokens: int = 0,
        prefix_tokens: int = 0,
    ) -> None:
        self.home_regions = home_regions
        self.prefix_key = prefix_key
        self.max_attempts = max_attempts
        self.latency_target = latency_target
        self.excluded_upstreams = excluded_upstreams
        self.earlier_attempts = earlier_attempts
        self.prompt_tokens = prompt_tokens
        self.prefix_tokens = prefix_tokens
        self.prefix_id = prefix_id_of(prefix_key) if prefix_key else 0  # the prefix index's key


class ServingRpc(Rpc):
    """A model request: retried only if it provably did not run or may run again, within the retry budget.

    attempts_arrived: attempts that reached an upstream or may still reach it, including those of earlier legs
    rejections: attempts that an upstream rejected, or whose connection broke
    prefill_load: load that its prompt adds to its upstream until the prefill has ended
    overloaded_region: number of the region that it skips as all edges together overload it, None for none
    """

    __slots__ = ("attempts_arrived", "rejections", "prefill_load", "overloaded_region")

    def __init__(
        self, balancer, method, now: int, deadline: int, retry: bool, tag: object, tenant: int
    ) -> None:
        self.attempts_arrived = tag.constraints.earlier_attempts
        self.rejections = 0
        self.prefill_load = 0
        self.overloaded_region: int | None = None
        super().__init__(balancer, method, now, deadline, retry, tag, tenant)

    def set_deadlines(self, now: int, deadline: int, retry: bool = False) -> None:
        """Sets its deadlines; the latency target is the soft deadline."""
        self.arrived_at = now
        self.soft_deadline_at = min(now + self.tag.constraints.latency_target, deadline)
        self.answer_by = deadline - self.balancer.deadline_margin

    def may_use_zone(self, zone: Zone) -> bool:
        """Returns whether it is a home region with usable upstreams, and not the overloaded one."""
        homes = self.tag.constraints.home_regions
        return (
            bool(zone.rotation)
            and zone.number != self.overloaded_region
            and (homes is None or zone.number in homes)
        )

    def may_send_to(self, upstream: Upstream, now: int) -> bool:
        """Returns whether the upstream is in a home region and no earlier leg of the stream ran on it."""
        constraints = self.tag.constraints
        return (
            (constraints.home_regions is None or upstream.zone in constraints.home_regions)
            and upstream.index not in constraints.excluded_upstreams
            and (super().may_send_to(upstream, now))
        )

    def decide(self, now: int) -> tuple[int, int] | None:
        """Decides as `Rpc.decide`, but queues nothing; a retry needs the fleet's retry budget."""
        balancer = self.balancer
        if self.done or self.outstanding:
            return None
        is_retry = self.attempts_arrived > 0
        if (
            now >= self.answer_by
            or self.attempts_arrived >= self.tag.constraints.max_attempts
            or len(self.attempts) >= balancer.max_attempts
            or (self.body_buffered is False and self.attempts)
            or (self.first_possibly_executed() is not None and not self.method.idempotent)
            or (is_retry and not balancer.retry_budget.allows_retry(now))
        ):
            return self.final_answer(now)
        upstream = balancer.choose_upstream(now, self, False)
        return self.final_answer(now) if upstream is None else self.transmit(now, upstream, is_retry)

    def transmit(self, now: int, upstream: Upstream, is_retry: bool) -> tuple[int, int]:
        """Registers an attempt, with its prefill load; returns the upstream's index and the time limit."""
        balancer = self.balancer
        balancer.retry_budget.record_sent(now, is_retry)
        self.attempts_arrived += 1
        self.prefill_load = balancer.prefill_load(upstream, self.tag.constraints)
        self.move_load(upstream, NO_LOAD, self.attempt_load())
        self.outstanding[len(self.attempts)] = max(1, upstream.in_flight)
        upstream.last_used_at = now
        self.attempts.append(upstream)
        self.sent_at.append(now)
        return upstream.index, max(1, self.answer_by - now)

    def attempt_finished(
        self, now: int, attempt: int, outcome: int, duration: int, answered: bool, first_on_connection=False
    ) -> list[int]:
        """Records an outcome as `Rpc.attempt_finished`, and counts it in the fleet's retry budget."""
        self.prefill_finished(attempt)
        if outcome in NOT_DELIVERED:
            self.attempts_arrived -= 1
            self.balancer.retry_budget.record_not_arrived(now, self.attempts_arrived > 0)
        elif outcome in (REJECTED, BROKEN):
            self.rejections += 1
        elif outcome == COMPLETED:
            self.balancer.served(now, self.attempts[attempt], self.tag.constraints)
        return super().attempt_finished(now, attempt, outcome, duration, answered, first_on_connection)

    def attempt_load(self) -> AttemptLoad:
        """Returns what its outstanding attempt adds now: one request in flight, whether its body is still
        coming or its answer is a stream, and the prefill of its prompt."""
        return AttemptLoad(1, self.prefill_load)

    def prefill_finished(self, attempt: int) -> None:
        """Removes the prefill load of an attempt, whose prompt has been read or is abandoned."""
        before = self.attempt_load()
        self.prefill_load = 0
        self.move_load(self.attempts[attempt], before, self.attempt_load())

    def response_started(self, long_lived: bool = False) -> None:
        """Records that a stream has begun, which ends its prefill.

        The stream still counts as in flight at its upstream: `transmit` adds it, and only its outcome removes
        it.
        """
        self.hedge_at = None
        for attempt in self.outstanding:
            self.prefill_finished(attempt)
            if self.tag.constraints.prefix_key:
                self.balancer.prefix_index.record_holder(
                    self.tag.constraints.prefix_id, self.attempts[attempt].id_hash
                )
