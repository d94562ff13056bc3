"""Zones and rotation: the usual path of every RPC, and the last resort."""

from math import exp, inf

from .rpc import Rpc
from .state import BalancerState
from .upstream import MAX_DECAY_TIME, DecayingRatio, Upstream

DROP_THRESHOLD = 3.0  # in flight per ready upstream at which a zone may be dropped: 2 to 4 make little odds
LOAD_MARGIN = 0.5  # passed over if this far above the zone's mean in flight: half an RPC is not chance
ALWAYS_FAST_SHARE = 0.15  # of the shortest soft deadline: whatever is foreseen within it takes all its turns
FAST_FACTOR = 0.7  # of the zone's mean time: faster upstreams take all turns, slower ones fewer of them
MAX_CANDIDATES = 16  # upstreams looked at for one choice at most: work does not grow with the fleet
LIGHT_LOAD = 1.5  # RPCs held a core below which a zone has room for more, up to twice its windows


class Zone:
    """The rotation and the concurrency limit of one zone. Times are in tenths of a millisecond.

    `rotation`: its usable upstreams, in order; `next_position`: the index of the next one, a fraction until
    the first choice. `ready_count`: all that are ready; `subset`: those that this process keeps to, None for
    all; `mean_subset_size`. `in_flight`, `background_load`: sums over its upstreams. `concurrency_limit`:
    requests in flight from which on it takes no more, inf until it is first listed; `limit_ramping` until the
    first late end; `limit_read_at`, `last_finished_at`: when it was last read and an attempt last ended.
    `typical_duration`: the mean foreseen over the rotation. `reported_load`: requests a core, as the list
    tells. `late_ratio`: late ends over ends. `changed`: the subset is to be assigned again. `number`: a
    region's, in model routing.
    """

    __slots__ = (
        "rotation",
        "ready_count",
        "subset",
        "next_position",
        "in_flight",
        "concurrency_limit",
        "typical_duration",
        "last_finished_at",
        "limit_read_at",
        "background_load",
        "changed",
        "limit_ramping",
        "reported_load",
        "late_ratio",
        "mean_subset_size",
        "number",
    )

    def __init__(self, turn: float) -> None:
        self.rotation = []
        self.next_position = turn
        self.in_flight = 0
        self.concurrency_limit = inf
        self.typical_duration = 0.0
        self.ready_count = self.last_finished_at = self.limit_read_at = self.background_load = 0
        self.subset = None
        self.changed = False
        self.limit_ramping = True
        self.reported_load = 0.0
        self.late_ratio = DecayingRatio()
        self.mean_subset_size = 0.0  # upstreams of it that a sidecar keeps to on the mean

    def is_full(self, rpc: Rpc) -> bool:
        """A window between two counts admits that part of the RPCs, each by its own luck; what the list tells
        is held there cuts it, where the time foreseen at the mean passes the soft deadline."""
        window = self.concurrency_limit
        if self.reported_load:
            window *= (
                min(
                    1.0,
                    rpc.method.soft_deadline
                    / (rpc.balancer.latency_base + rpc.balancer.latency_slope * (1 + self.reported_load)),
                )
                ** 2
            )
            window *= max(1.0, min(2.0, LIGHT_LOAD / self.reported_load))
        return self.in_flight + rpc.admission_draw >= window


class ZoneSelectionPolicy(BalancerState):
    """Chooses a zone and the next upstream in its rotation."""

    drop_threshold = DROP_THRESHOLD

    def choose_upstream(self, now: int, rpc: Rpc, prefer_own_zone: bool) -> Upstream | None:
        """The design's path: drop the worst zone at the threshold; own zone first, else a draw; rotation."""
        for upstream in self.reinstated:
            if (
                upstream.listed
                and self.in_subset(upstream)
                and upstream not in rpc.attempts
                and rpc.may_send_to(upstream, now)
                and self.has_capacity(
                    upstream, now, rpc.soft_deadline_at - now, self.expected_duration(upstream, now)
                )
            ):
                # Guards against an upstream that is put back and never met again, by a light sidecar or from
                # another zone: one RPC, within the budget of cold ones, shows that it is well.
                self.reinstated.remove(upstream)
                return self.charge_slow_start(upstream, now)
        worst, most, open_zones = None, self.drop_threshold, []
        for zone in self.zones:
            if rpc.may_use_zone(zone):
                if zone.concurrency_limit < 1:
                    # What holds back some of all RPCs fades when nothing confirms it.
                    zone.concurrency_limit **= exp((zone.limit_read_at - now) / MAX_DECAY_TIME)
                zone.limit_read_at = now
                open_zones.append(zone)
                load = zone.in_flight / len(zone.rotation)
                if load >= most and (worst is None or load > most):
                    worst, most = zone, load
        if worst is not None and len(open_zones) > 1:
            open_zones.remove(worst)
        open_zones = [zone for zone in open_zones if zone not in rpc.rejecting_zones] or open_zones
        own = self.zones[self.own_zone]
        remaining = rpc.soft_deadline_at - now if not rpc.method.overdue_payoff else rpc.answer_by - now
        if own in open_zones:
            upstream = self.next_in_rotation(own, now, rpc, remaining)
            if upstream is not None:
                return upstream
            if prefer_own_zone and own.concurrency_limit >= 1:
                return None
            open_zones.remove(own)
        # A zone without room is left out and the draw repeated.
        while open_zones:
            sizes = [zone.ready_count if self.uses_subset else len(zone.rotation) for zone in open_zones]
            zone = self.choices(open_zones, sizes)[0]
            upstream = self.next_in_rotation(zone, now, rpc, remaining)
            if upstream is not None:
                return upstream
            open_zones.remove(zone)
        if worst is not None and worst.rotation:
            return self.next_in_rotation(worst, now, rpc, remaining)
        if (
            self.last_resort_upstreams
            and not rpc.outstanding
            and not any(upstream.in_flight for upstream in self.last_resort_upstreams.values())
        ):
            return self.last_resort(now, rpc)
        held_back = any(zone.rotation and zone.is_full(rpc) for zone in self.zones)
        return None if self.in_flight or rpc.outstanding or held_back else self.last_resort(now, rpc)

    def next_in_rotation(self, zone: Zone, now: int, rpc: Rpc, remaining: int) -> Upstream | None:
        """The next in rotation that is not well above the mean, then any that has room."""
        if not zone.rotation or zone.is_full(rpc):
            return None
        rotation, size = zone.rotation, len(zone.rotation)
        start = (
            int(zone.next_position * size)
            if isinstance(zone.next_position, float)
            else zone.next_position % size
        )
        load_limit, over = (zone.in_flight + zone.background_load) / size + LOAD_MARGIN, None
        for step in range(min(size, MAX_CANDIDATES)):
            upstream = rotation[(start + step) % size]
            if upstream in rpc.attempts or not rpc.may_send_to(upstream, now):
                continue
            expected = self.expected_duration(upstream, now)
            zone.typical_duration += (
                (expected - zone.typical_duration) / size if zone.typical_duration else expected
            )
            if not self.has_capacity(upstream, now, remaining, expected):
                continue
            # Guards against mixed speeds: over time, too, an upstream well above the mean is passed over, so
            # that a slow one gets the fewer turns the longer it takes, and the dear, with most to lose, go
            # elsewhere. What is quick enough takes every turn.
            swift = max(ALWAYS_FAST_SHARE * self.shortest_soft_deadline, FAST_FACTOR * zone.typical_duration)
            upstream.rotation_credit += 1.0 if expected <= swift else (swift / expected) ** 2
            if (
                upstream.in_flight + upstream.background_load <= load_limit
                and upstream.rotation_credit >= 1
                and (expected <= swift or rpc.payoff <= self.mean_payoff)
            ):
                upstream.rotation_credit -= 1
                zone.next_position = (start + step + 1) % size
                return self.charge_slow_start(upstream, now)
            over = over or upstream
        return over and self.charge_slow_start(over, now)

    def charge_slow_start(self, upstream: Upstream, now: int) -> Upstream:
        """Takes one request from the slow start credit of the chosen upstream, if it is warming up."""
        if self.is_warming_up(upstream, now):
            upstream.slow_start_credit -= 1
        return upstream

    def last_resort(self, now: int, rpc: Rpc) -> Upstream | None:
        """Nothing eligible, nothing out to wait for: the ready upstream that returns first, one at a time."""
        best, ups = None, list((self.last_resort_upstreams or self.upstreams).values())
        start = int(self.random() * len(ups))
        # From a random place, or all balancers would fall on the same one.
        for upstream in ups[start:] + ups[:start]:
            if (
                upstream.listed
                and not upstream.in_flight
                and self.in_subset(upstream)
                and upstream not in rpc.attempts
                and (rpc.may_send_to(upstream, now))
                and (best is None or upstream.ejected_until < best.ejected_until)
                and (not self.is_warming_up(upstream, now) or self.has_slow_start_credit(upstream, now))
            ):
                best = upstream
        return best and self.charge_slow_start(best, now)
