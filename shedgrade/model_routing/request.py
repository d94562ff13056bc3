"""The handle of one request of a client's, and what it asks of the choice."""

from shedgrade.load_balancing.outcomes import BROKEN, COMPLETED, REJECTED, UNCONNECTED, UNSENT
from shedgrade.load_balancing.rpc import Rpc
from shedgrade.load_balancing.upstream import Upstream
from shedgrade.load_balancing.zones import Zone
from shedgrade.prefix_cache_index import prefix_key

IDEMPOTENT, ONCE = range(2)  # the two methods: may run more than once, or at most once a try
NOT_DELIVERED = (UNSENT, UNCONNECTED)  # outcomes after which the upstream has seen nothing of the request


class RoutingConstraints:
    """What a route and a request's headers ask of the choice.

    `homes`: region numbers that may serve it, None for all. `key`: the parts of its prompt that others
    share, b"" for none, of `shared` tokens; `tokens`: of all of it. `most`: upstreams that it may be sent to.
    `target`: tenths of a ms within which it earns its full worth. `avoid`: upstreams, by index, that earlier
    legs of the same stream ran on. `before`: to how many they went.
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
        homes: frozenset[int] | None = None,
        key: bytes = b"",
        most: int = 1,
        target: int = 10_000,
        avoid: frozenset[int] = frozenset(),
        before: int = 0,
        tokens: int = 0,
        shared: int = 0,
    ) -> None:
        self.home_regions = homes
        self.prefix_key = key
        self.max_attempts = most
        self.latency_target = target
        self.excluded_upstreams = avoid
        self.earlier_attempts = before
        self.prompt_tokens = tokens
        self.prefix_tokens = shared
        self.prefix_id = prefix_key(key) if key else 0  # as the record names the parts


class ServingRpc(Rpc):
    """Goes again only after what proves that it did not run, or where it may run again, within the fleet's
    budget."""

    __slots__ = ("attempts_arrived", "rejections", "prefill_load", "overloaded_region")

    def __init__(
        self, balancer, method, now: int, deadline: int, retry: bool, tag: object, tenant: int
    ) -> None:
        self.attempts_arrived = tag.wants.earlier_attempts
        self.rejections = 0
        self.prefill_load = 0
        self.overloaded_region: int | None = None  # the region that all edges together crowd
        super().__init__(balancer, method, now, deadline, retry, tag, tenant)

    def set_deadlines(self, now: int, deadline: int, retry: bool = False) -> None:
        """The latency target takes the soft deadline's place."""
        self.arrived_at = now
        self.soft_deadline_at = min(now + self.tag.wants.latency_target, deadline)
        self.answer_by = deadline - self.balancer.deadline_margin

    def may_use_zone(self, zone: Zone) -> bool:
        """Only home regions, and not the one that the fleet overloads."""
        homes = self.tag.wants.home_regions
        return (
            bool(zone.rotation)
            and zone.number != self.overloaded_region
            and (homes is None or zone.number in homes)
        )

    def may_send_to(self, upstream: Upstream, now: int) -> bool:
        """Only in home regions, and not where earlier legs of the stream ran."""
        wants = self.tag.wants
        return (
            (wants.home_regions is None or upstream.zone in wants.home_regions)
            and upstream.index not in wants.excluded_upstreams
            and (super().may_send_to(upstream, now))
        )

    def decide(self, now: int) -> tuple[int, int] | None:
        """As `Rpc.decide`; nothing is queued, and a retry needs room in the fleet's budget."""
        balancer = self.balancer
        if self.done or self.outstanding:
            return None
        repeat = self.attempts_arrived > 0
        if (
            now >= self.answer_by
            or self.attempts_arrived >= self.tag.wants.max_attempts
            or len(self.attempts) >= balancer.max_attempts
            or (self.body_buffered is False and self.attempts)
            or (self.first_possibly_executed() is not None and not self.method.idempotent)
            or (repeat and not balancer.retry_budget.allows_retry(now))
        ):
            return self.final_answer(now)
        upstream = balancer.choose_upstream(now, self, False)
        return self.final_answer(now) if upstream is None else self.transmit(now, upstream, repeat)

    def transmit(self, now: int, upstream: Upstream, repeat: bool) -> tuple[int, int]:
        """Registers an attempt, with the load of its prefill."""
        balancer = self.balancer
        balancer.retry_budget.record_sent(now, repeat)
        self.attempts_arrived += 1
        self.prefill_load = balancer.prefill_load(upstream, self.tag.wants)
        balancer.add_load(upstream, 1, self.prefill_load)
        self.outstanding[len(self.attempts)] = max(1, upstream.in_flight)
        upstream.last_used_at = now
        self.attempts.append(upstream)
        self.sent_at.append(now)
        return upstream.index, max(1, self.answer_by - now)

    def attempt_finished(
        self, now: int, attempt: int, outcome: int, duration: int, answered: bool, first_on_connection=False
    ) -> list[int]:
        """As `Rpc.attempt_finished`, with the fleet's retry budget kept."""
        self.prefill_finished(attempt)
        if outcome in NOT_DELIVERED:
            self.attempts_arrived -= 1
            self.balancer.retry_budget.record_not_arrived(now, self.attempts_arrived > 0)
        elif outcome in (REJECTED, BROKEN):
            self.rejections += 1
        elif outcome == COMPLETED:
            self.balancer.served(now, self.attempts[attempt], self.tag.wants)
        return super().attempt_finished(now, attempt, outcome, duration, answered, first_on_connection)

    def prefill_finished(self, attempt: int) -> None:
        """Its prompt has been read there, or is read no more."""
        if self.prefill_load:
            self.balancer.add_load(self.attempts[attempt], 0, -self.prefill_load)
            self.prefill_load = 0

    def response_started(self, long_lived: bool = False) -> None:
        """A stream keeps a place of its upstream until it ends: it stays in flight, as a send adds one and
        only its outcome takes it off."""
        self.hedge_at = None
        for attempt in self.outstanding:
            self.prefill_finished(attempt)
            if self.tag.wants.prefix_key:
                self.balancer.prefix_index.saw(self.tag.wants.prefix_id, self.attempts[attempt].id_hash)
