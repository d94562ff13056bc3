"""Choice of a zone and of the next upstream in its rotation; as a last resort, of an ejected upstream."""

from math import exp, inf

from .rpc import Rpc
from .state import BalancerState
from .upstream import MAX_DECAY_TIME, DecayingRatio, Upstream

# Requests in flight per upstream, from which on the most loaded zone is skipped: 2 to 4 differ little.
DROP_THRESHOLD = 3.0
# Requests in flight above the zone's mean, beyond which an upstream is skipped: half a request is not chance.
LOAD_MARGIN = 0.5
# Share of the shortest soft deadline: an upstream expected to answer within it takes all its turns.
ALWAYS_FAST_SHARE = 0.15
# Share of the zone's mean duration: faster upstreams take all their turns, slower upstreams fewer.
FAST_FACTOR = 0.7
MAX_CANDIDATES = 16  # upstreams examined for one choice: the work does not grow with the fleet
LIGHT_LOAD = 1.5  # reported requests per core, below which a zone takes more, up to twice its limit


class Zone:
    """The rotation and the concurrency limit of one zone. Times are in tenths of a millisecond.

    rotation: its usable upstreams, in order
    next_position: index of the next one, a fraction from 0 to 1 until the first choice
    ready_count: number of its ready upstreams
    subset: upstreams that this process uses, None for all
    mean_subset_size: mean number of its upstreams that a sidecar uses
    in_flight, background_load: sums over its upstreams
    concurrency_limit: requests in flight from which on the zone takes no more, inf until it has upstreams
    limit_ramping: True until the first late completion
    limit_read_at: when the limit was last read
    last_finished_at: when an attempt last finished
    typical_duration: mean expected duration over the rotation
    reported_load: mean load of its upstreams by the list, in requests per core
    late_ratio: late completions over all completions
    changed: the subset is to be assigned again
    number: index of its region, set in model routing only
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

    def __init__(self, start_position: float) -> None:
        self.rotation = []
        self.next_position = start_position
        self.in_flight = 0
        self.concurrency_limit = inf
        self.typical_duration = 0.0
        self.ready_count = self.last_finished_at = self.limit_read_at = self.background_load = 0
        self.subset = None
        self.changed = False
        self.limit_ramping = True
        self.reported_load = 0.0
        self.late_ratio = DecayingRatio()
        self.mean_subset_size = 0.0

    def is_full(self, rpc: Rpc) -> bool:
        """Returns whether the concurrency limit keeps the request out.

        The fractional part of a limit admits about that part of the requests: each request's admission draw
        is compared with it. The load that the list reports lowers the limit where the mean expected duration
        exceeds the soft deadline, and raises the limit where the load is light.
        """
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
        """Returns the upstream for the next attempt, None if none may take it now.

        The most loaded zone is skipped if its load is `drop_threshold` or more. The own zone comes first,
        then the other zones by a draw weighted by their size; within a zone the rotation decides.
        """
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
                # Guards against a reinstated upstream that a sidecar with little traffic, or a sidecar of
                # another zone, never tries again: one request, within the slow start rate, shows that it is
                # healthy.
                self.reinstated.remove(upstream)
                return self.charge_slow_start(upstream, now)
        worst, highest_load, open_zones = None, self.drop_threshold, []
        for zone in self.zones:
            if rpc.may_use_zone(zone):
                if zone.concurrency_limit < 1:
                    # A limit below 1 rejects some requests even while none is in flight. It returns towards 1
                    # over MAX_DECAY_TIME unless late attempts lower it again.
                    zone.concurrency_limit **= exp((zone.limit_read_at - now) / MAX_DECAY_TIME)
                zone.limit_read_at = now
                open_zones.append(zone)
                load = zone.in_flight / len(zone.rotation)
                if load >= highest_load and (worst is None or load > highest_load):
                    worst, highest_load = zone, load
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
        # A zone without capacity is left out and the draw repeated.
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
        """Returns the next upstream in rotation that is not well above the mean load, else any with capacity.

        None if the concurrency limit keeps the request out, or no upstream has capacity.
        """
        if not zone.rotation or zone.is_full(rpc):
            return None
        rotation, size = zone.rotation, len(zone.rotation)
        start = (
            int(zone.next_position * size)
            if isinstance(zone.next_position, float)
            else zone.next_position % size
        )
        load_limit, fallback = (zone.in_flight + zone.background_load) / size + LOAD_MARGIN, None
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
            # Guards against mixed speeds: the slower an upstream, the fewer turns it takes, and requests of
            # high payoff, which lose most by a late answer, skip it. A fast upstream takes every turn.
            fast_duration = max(
                ALWAYS_FAST_SHARE * self.shortest_soft_deadline, FAST_FACTOR * zone.typical_duration
            )
            upstream.rotation_credit += 1.0 if expected <= fast_duration else (fast_duration / expected) ** 2
            if (
                upstream.in_flight + upstream.background_load <= load_limit
                and upstream.rotation_credit >= 1
                and (expected <= fast_duration or rpc.payoff <= self.mean_payoff)
            ):
                upstream.rotation_credit -= 1
                zone.next_position = (start + step + 1) % size
                return self.charge_slow_start(upstream, now)
            fallback = fallback or upstream
        return fallback and self.charge_slow_start(fallback, now)

    def charge_slow_start(self, upstream: Upstream, now: int) -> Upstream:
        """Takes one request from the slow start credit of the chosen upstream, if it is warming up."""
        if self.is_warming_up(upstream, now):
            upstream.slow_start_credit -= 1
        return upstream

    def last_resort(self, now: int, rpc: Rpc) -> Upstream | None:
        """Returns the idle ready upstream whose ejection ends first, None if there is none.

        For use where no upstream is eligible and no attempt is outstanding; the upstream gets one request at
        a time.
        """
        best, ups = None, list((self.last_resort_upstreams or self.upstreams).values())
        start = int(self.random() * len(ups))
        # Starts at a random position, or all balancers would choose the same upstream.
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
