"""The balancer of one process: list, subsets, zones, slow start, outlier detection and queue together."""

from collections.abc import Iterator
from heapq import heappop
from itertools import count
from math import inf, isclose, log
from operator import itemgetter
from random import Random

from .endpoint_list import EndpointList
from .outlier_detection import CAPACITY_SHARE, OutlierDetection
from .pending import PendingRequests
from .rpc import Method, Rpc
from .slow_start import SlowStart
from .subsetting import Subsetting
from .upstream import DECAY_TIME, SECOND, DecayingRatio, Upstream
from .zones import Zone, ZoneSelectionPolicy

# Share of the soft deadline at which concurrency limits keep the mean duration; one attempt in seven is then
# late.
LATENCY_TARGET_SHARE = 0.6
# A tenant stays within its share up to this multiple of its even share, plus three requests: random variation
# is seldom larger.
TENANT_SHARE_SLACK = 1.2


class Balancer(EndpointList, Subsetting, ZoneSelectionPolicy, SlowStart, OutlierDetection, PendingRequests):
    """All decisions of one process for one list of upstreams; the package's doc comment lists the calls."""

    rpc_class = Rpc

    def __init__(self, settings: dict, seed: int, now: int) -> None:
        random = Random(seed)
        self.random = random.random
        self.uniform = random.uniform
        self.choices = random.choices
        limits = settings["limits"]
        self.own_zone = settings["az"]
        self.connections_multiplexed = limits.get("multiplex", 1) > 1
        self.uses_subset = False
        self.capacity_follows_load = settings.get("weight_kind") == "live"
        # By hardware class: the capacity of an idle upstream, where the listed size varies with load.
        self.nominal_capacity: dict[int, float] = {}
        self.methods: list[Method] = []
        self.zones: list[Zone] = []
        self.update_settings(settings)
        self.subscribes_to_list = settings["membership_mode"] == "on_request"
        self.list_subscribed = False
        self.list_requested = False
        self.list_request_at = now
        self.list_request_backoff = SECOND
        self.upstreams: dict[int, Upstream] = {}
        # Unverified upstreams, used as a last resort only.
        self.last_resort_upstreams: dict[int, Upstream] = {}
        self.released_indices: list[int] = []  # freed, not yet returned by `take_released`
        self.reinstated: list[Upstream] = []  # reinstated by operators, and sent no request since
        self.slow_start_share = 1.0  # of the slow start rate; in an upgrade another process has the rest
        self.ready_count = self.ejected_count = 0  # ready upstreams, and how many of them are ejected
        self.total_capacity = 0.0  # sum of the listed sizes
        # By hardware class: sums of observed and expected durations, and the time of the last update.
        self.hardware_durations: dict[int, list] = {}
        self.decay_time = DECAY_TIME
        # Rate of attempts that completed or timed out: their number over the time elapsed.
        self.finish_rate = DecayingRatio(1.0, now)
        self.zones = [Zone(self.random()) for _ in settings["zones"]]
        self.timers = []
        self.queue = []
        self.next_sequence = count().__next__
        self.in_flight = 0
        self.retry_tokens = 5.0
        # Sums from which a line is fitted to the durations of attempts at all upstreams, by the requests that
        # this process had in flight at the upstream. The initial values assume that an upstream completes two
        # concurrent requests within CAPACITY_SHARE of the soft deadline.
        soft = CAPACITY_SHARE * self.shortest_soft_deadline
        self.latency_sums = [1.0, 2.0, soft, 4.0, 2 * soft]
        self.latency_sums_at = now
        self.fit_latency()

    def update_settings(self, settings: dict) -> None:
        """Applies other settings.

        Active requests keep their method; a lower limit on attempts applies to them at once.
        """
        limits, rules = settings["limits"], settings["rules"]
        self.max_attempts = limits["most_transmissions"]
        self.hedging = limits["parallel_tries"]
        self.cancels_attempts = limits["cancelling"]
        self.max_retry_after = int(limits["max_retry_after"] * 10) if limits["retry_after"] else 0
        self.deadline_margin = 2 * int(settings["tick"] * 10)
        self.keeps_delisted = rules.get("dropped_stay_open", False)
        self.slow_start_period = rules["cold"] * 10
        self.slow_start_floor = rules["cold_from"]
        self.slow_start_headroom = rules["fall_multiple"]
        self.list_request_interval = int(rules["ask_every"] * 10)
        prices = settings["prices"]
        self.cross_zone_price = prices.get("cross_zone", 0.0)
        # Where connections are multiplexed or new ones have a price, each sidecar uses a subset of each zone.
        limits_connections = (
            self.connections_multiplexed or prices.get("handshake", 0.0) + prices.get("connection", 0.0) > 0
        )
        self.sidecar_count = settings["balancers"]
        self.sidecar_number = settings.get("my_number", 0)
        self.uses_subset = limits_connections and self.sidecar_count > 1
        for zone in self.zones:
            zone.changed = True
        self.list_updated()
        # By tenant: the requests within DECAY_TIME that are the tenant's share at this sidecar, if all
        # sidecars get equal parts; the tenant's failure ratio; its recent requests.
        self.tenant_shares = [
            TENANT_SHARE_SLACK * tenant["allowance_per_s"] * DECAY_TIME / SECOND / self.sidecar_count + 3
            for tenant in settings.get("customers", ())
        ]
        self.tenant_failures = [DecayingRatio() for _ in self.tenant_shares]
        self.tenant_counts = [(0.0, 0)] * len(self.tenant_shares)
        self.excess_payoff = settings.get("excess_payoff", 1.0)
        # Where late requests beyond an allowed share have a price, the target duration is the one that leaves
        # three times that share late.
        mix = settings.get("objective_mix", {})
        late_share = 3 * mix.get("miss_allowed", 0.0) if mix.get("slow_end", 0.0) > 0 else 0.0
        self.latency_target = (
            LATENCY_TARGET_SHARE * min(1.0, log(1 / 7) / log(late_share))
            if 0 < late_share < 1
            else LATENCY_TARGET_SHARE
        )
        top_payoff = max((m["payoff"] for m in settings["methods"]), default=1)
        self.mean_payoff = sum(m["payoff"] for m in settings["methods"]) / len(settings["methods"]) or 1.0
        longest_timeouts = {method.name: method.longest_timeout for method in self.methods}
        self.methods = [
            Method(m, top_payoff, self.max_attempts, longest_timeouts.get(m.get("name"), 0))
            for m in settings["methods"]
        ]
        self.shortest_soft_deadline = max(
            1, min(m.soft_deadline for m in self.methods) - self.deadline_margin
        )

    def admit(
        self, now: int, method: int, deadline: int, retry: bool = False, tag: object = None, tenant: int = 0
    ) -> Rpc:
        """Returns the handle of a new request. `deadline`: when its client gives up, on the callers' clock.

        `retry`: the client marked it as a retry. `tag`: the caller's own reference to the request.
        """
        # One retry for ten requests: enough for isolated failures, too little for a retry storm.
        self.retry_tokens = min(10.0, self.retry_tokens + 0.1)
        return self.rpc_class(self, self.methods[method], now, deadline, retry, tag, tenant)

    def due(self, now: int) -> Iterator[Rpc]:
        """Yields the requests to decide on again, each before the next one is looked up."""
        while self.timers and self.timers[0][0] <= now:
            timed = heappop(self.timers)[2]
            if isinstance(timed, Upstream):
                if 0 < timed.ejected_until <= now:
                    self.readmit(timed)
            elif not timed.done:
                yield timed
        while self.queue:
            rpc = self.queue[0][3]
            yield rpc
            if rpc.queue_entry is not None:
                return

    def wake_at(self) -> float:
        """Returns when to call `due` or `wants_list` at the latest if nothing else happens; inf for never."""
        at = self.timers[0][0] if self.timers else inf
        if self.subscribes_to_list and not self.list_subscribed and not self.list_requested:
            at = min(at, self.list_request_at)
        return at

    def check_invariants(self) -> None:
        """Raises AssertionError if counts and rotations disagree with the upstreams. Visits all of them."""
        upstreams = self.upstreams.values()
        listed = [upstream for upstream in upstreams if upstream.listed]
        assert self.ready_count == len(listed)
        assert self.ejected_count == sum(bool(upstream.ejected_until) for upstream in listed)
        assert isclose(self.total_capacity, sum(upstream.capacity for upstream in listed), abs_tol=1e-6)
        assert self.in_flight == sum(upstream.in_flight for upstream in upstreams)
        assert all(index == upstream.index for index, upstream in self.upstreams.items())
        for number, zone in enumerate(self.zones):
            members = [upstream for upstream in upstreams if upstream.zone == number]
            assert zone.in_flight == sum(upstream.in_flight for upstream in members)
            assert zone.background_load == sum(upstream.background_load for upstream in members)
            usable = {
                upstream.index
                for upstream in members
                if upstream.listed and not upstream.ejected_until and self.in_subset(upstream)
            }
            assert len(zone.rotation) == len(usable)
            assert {upstream.index for upstream in zone.rotation} == usable
        assert self.queue == sorted(self.queue, key=itemgetter(0, 1))
        assert all(entry[3].queue_entry is entry for entry in self.queue)
