"""The balancer of one sidecar for one service of model requests."""

from collections.abc import Mapping
from math import inf

from shedgrade.load_balancing.balancer import Balancer
from shedgrade.load_balancing.rpc import Rpc
from shedgrade.load_balancing.upstream import SECOND, Upstream
from shedgrade.load_balancing.zones import Zone
from shedgrade.model_routing.fleet_load import FleetLoad
from shedgrade.model_routing.prefix_affinity import PrefixAffinity
from shedgrade.model_routing.request import RoutingConstraints, ServingRpc
from shedgrade.model_routing.retry_budget import RetryBudget
from shedgrade.model_routing.slow_start import SlowStartShares

# Requests in flight above the region's mean, up to which an upstream that caches a prompt's prefix is chosen.
LOAD_MARGIN = 1.0
# Length of a prefix from which on an upstream of another region that caches it is chosen: prefilling so many
# tokens takes as long as the way to that region.
FAR_PREFIX_TOKENS = 2048
TOKENS_PER_LOAD_UNIT = 2048  # tokens of a prompt that weigh as much as a request in flight during the prefill
MAX_PREFILL_LOAD = 16  # largest load of one prompt's prefill, in requests in flight
MAX_TRANSMISSIONS = 6  # per try of a client, including those that never arrived
RETRY_AFTER_RANGE_S = (0.25, 0.75)  # random, so that refused clients do not come back all at once


def settings(regions: list[str], own: int) -> dict:
    """Returns settings for `load_balancing.Balancer`, with two methods: one that may run again, one not."""
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
            "most_transmissions": MAX_TRANSMISSIONS,
            "parallel_tries": False,
            "cancelling": True,
            "retry_after": True,
            "max_retry_after": 1000.0,
        },
        "rules": {"cold": 0, "cold_from": 1.0, "fall_multiple": 1.0, "ask_every": 10_000.0},
    }


class NoPrefixIndex:
    """Used where no prefix index is kept: knows of no upstream that caches a prefix."""

    def holders(self, key: int) -> Mapping[int, float]:
        """Returns the upstreams that cache a prefix: none."""
        return {}

    def record_holder(self, key: int, mark: int) -> None:
        """Ignores that an upstream caches a prefix."""


class ServingBalancer(FleetLoad, SlowStartShares, Balancer):
    """`load_balancing.Balancer` for streams of a model.

    It uses neither concurrency limits nor expected durations, as an upstream adds any request to its batch. A
    stream counts as in flight until it ends.
    """

    rpc_class = ServingRpc

    def __init__(
        self, regions: list[str], own: int, seed: int, now: int, retry_budget: RetryBudget, name: str = ""
    ) -> None:
        self.warming_up_until: dict[int, int] = {}  # by upstream: the end of its warm-up, from the list
        self.remote_loads: dict[int, int] = {}
        self.prefix_affinity = PrefixAffinity()
        self.retry_budget = retry_budget
        self.name = name
        self.prefix_index = NoPrefixIndex()
        super().__init__(settings(regions, own), seed, now)
        for number, zone in enumerate(self.zones):
            zone.number = number

    def list_updated(self) -> None:
        """Updates the zones as `Balancer` does, without concurrency limits."""
        super().list_updated()
        self.prefix_affinity.rotation_changed()
        for zone in self.zones:
            zone.concurrency_limit = inf

    def choose_upstream(self, now: int, rpc: ServingRpc, prefer_own_zone: bool) -> Upstream | None:
        """Returns the upstream for the next attempt, None if there is none.

        Guards against refusing a request while any upstream could be tried: the last resort is one request at
        a time to the upstream whose ejection ends first.
        """
        upstream = self.prefix_holder_elsewhere(now, rpc)
        if upstream is None:
            rpc.overloaded_region = self.overloaded_region(rpc)
            upstream = super().choose_upstream(now, rpc, prefer_own_zone)
            if upstream is None and rpc.overloaded_region is not None:
                rpc.overloaded_region = None
                upstream = super().choose_upstream(now, rpc, prefer_own_zone)
        return upstream or self.last_resort(now, rpc)

    def prefix_holder_elsewhere(self, now: int, rpc: ServingRpc) -> Upstream | None:
        """Returns an upstream of another region that is preferred to the own region, None for none.

        By the prefix index the upstream caches the prefix of a long prompt, which the own region would
        prefill anew. The upstream's region must be below the drop threshold, and the upstream not well above
        that region's mean load.
        """
        constraints: RoutingConstraints = rpc.tag.constraints
        if constraints.prefix_tokens < FAR_PREFIX_TOKENS or rpc.attempts:
            return None
        held = self.prefix_index.holders(constraints.prefix_id)
        if not held:
            return None
        own, best = self.zones[self.own_zone], None
        if rpc.may_use_zone(own) and any(upstream.id_hash in held for upstream in own.rotation):
            return None
        for zone in self.zones:
            if (
                zone is own
                or not rpc.may_use_zone(zone)
                or zone.in_flight / len(zone.rotation) >= self.drop_threshold
            ):
                continue
            load_limit = self.admission_threshold(zone, constraints)
            for upstream in zone.rotation:
                if (
                    upstream.id_hash in held
                    and upstream.in_flight + upstream.background_load <= load_limit
                    and rpc.may_send_to(upstream, now)
                    and self.has_capacity(upstream, now, 0, 1.0)
                    and (
                        best is None
                        or upstream.in_flight + upstream.background_load
                        < best.in_flight + best.background_load
                    )
                ):
                    best = upstream
        return best and self.charge_slow_start(best, now)

    def admission_threshold(self, zone: Zone, constraints: RoutingConstraints) -> float:
        """Returns the load up to which an upstream that caches a prompt's prefix is chosen.

        It is the sum of the region's mean, a margin, and the load of prefilling the prefix at another
        upstream.
        """
        return self.mean_load(zone) + LOAD_MARGIN + constraints.prefix_tokens / TOKENS_PER_LOAD_UNIT

    def prefill_load(self, upstream: Upstream, constraints: RoutingConstraints) -> int:
        """Returns the load of prefilling a prompt at the upstream.

        It is added to that of the request in flight until the first event of the answer.
        """
        kept = (
            constraints.prefix_tokens
            if constraints.prefix_key and upstream.id_hash in self.prefix_index.holders(constraints.prefix_id)
            else 0
        )
        return max(0, min(MAX_PREFILL_LOAD, (constraints.prompt_tokens - kept) // TOKENS_PER_LOAD_UNIT))

    def has_capacity(self, upstream: Upstream, now: int, remaining: int, expected: float) -> bool:
        """Returns whether the upstream may take one more; only half-open and warming upstreams are limited.

        A stream has no expected duration.
        """
        return not (upstream.half_open and upstream.in_flight) and (
            not self.is_warming_up(upstream, now) or self.has_slow_start_credit(upstream, now)
        )

    def expected_duration(self, upstream: Upstream, now: int) -> float:
        """Returns 1.0 for every upstream."""
        upstream.decay(now, self.decay_time)
        return 1.0  # every upstream takes all its turns; only load decides which are skipped

    def extend_ejection(self, now: int, upstream: Upstream) -> None:
        """Ejects an upstream that cannot be reached, or restarts its ejection period."""
        if upstream.ejected_until and upstream.listed:
            self.readmit(upstream)
        self.eject(now, upstream, True)

    def record_duration(
        self, now: int, upstream: Upstream, duration: int, concurrency: int, rpc: Rpc
    ) -> None:
        """Records nothing: the duration of a stream follows its length, not its upstream."""

    def next_in_rotation(self, zone: Zone, now: int, rpc: ServingRpc, remaining: int) -> Upstream | None:
        """Returns an upstream expected to cache the prompt's prefix, else the next in rotation."""
        constraints: RoutingConstraints = rpc.tag.constraints
        if constraints.prefix_key and len(zone.rotation) > 1:
            load_limit = self.admission_threshold(zone, constraints)
            held = self.prefix_index.holders(constraints.prefix_id)
            known = [upstream for upstream in zone.rotation if upstream.id_hash in held] if held else ()
            for upstream in (*known, *self.prefix_affinity.holders(zone, constraints.prefix_key)):
                if (
                    upstream.in_flight + upstream.background_load <= load_limit
                    and upstream not in rpc.attempts
                    and rpc.may_send_to(upstream, now)
                    and self.has_capacity(upstream, now, remaining, 1.0)
                ):
                    return self.charge_slow_start(upstream, now)
        return super().next_in_rotation(zone, now, rpc, remaining)

    def served(self, now: int, upstream: Upstream, constraints: RoutingConstraints) -> None:
        """Does nothing when the upstream has completed an attempt."""

    def retry_after(self, now: int, rpc: ServingRpc) -> int:
        """Returns when a refused client may come back, spread at random."""
        return int(self.uniform(*RETRY_AFTER_RANGE_S) * SECOND)

    def release_if_unused(self, upstream: Upstream) -> None:
        """Forgets an unused upstream, and the end of its warm-up."""
        super().release_if_unused(upstream)
        if upstream.index not in self.upstreams:
            self.warming_up_until.pop(upstream.index, None)
