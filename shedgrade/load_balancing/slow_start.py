"""Slow start: what all processes together may send an upstream that has just started."""

from .state import BalancerState
from .upstream import SECOND, Upstream


class SlowStart(BalancerState):
    """Bounds what upstreams that have just started are sent."""

    def set_slow_start_share(self, part: float) -> None:
        """Guards against an upgrade, whose two processes would each send a cold upstream the whole share."""
        self.slow_start_share = part

    def has_slow_start_credit(self, upstream: Upstream, now: int) -> bool:
        """Rule 4: a cold upstream gets its part of what this balancer sends, so that all keep to theirs."""
        # By own traffic, as it ends at a warm upstream of like size and kind: hundreds of even parts would
        # mostly lie unused. Over the time there was, or a restart of all has no part. 3/4 of it, for chance.
        rate = (
            self.finish_rate.numerator
            / max(SECOND, self.finish_rate.denominator + now - self.finish_rate.decayed_at)
            / max(1, self.ready_count)
        )
        rate *= (
            (self.latency_base + self.latency_slope)
            / self.baseline_duration(upstream, 1)
            * self.slow_start_fraction(upstream, now)
            * self.slow_start_share
        )
        zone = self.zones[upstream.zone]
        if zone.subset:
            part = max(zone.mean_subset_size, len(zone.subset))
            rate *= zone.ready_count / part * (len(self.zones) if upstream.zone == self.own_zone else 1)
        since = now - max(upstream.slow_start_updated_at, upstream.started_at)
        upstream.slow_start_credit = min(
            1.0, upstream.slow_start_credit + since * rate * 0.75 * self.slow_start_headroom
        )
        upstream.slow_start_updated_at = now
        return upstream.slow_start_credit >= 1

    def slow_start_fraction(self, upstream: Upstream, now: int) -> float:
        """The least part of its capacity that an upstream has, as stated."""
        grown = (
            max(0, now - upstream.started_at) / self.slow_start_period
            if self.is_warming_up(upstream, now)
            else 1.0
        )
        return self.slow_start_floor + (1 - self.slow_start_floor) * grown

    def is_warming_up(self, upstream: Upstream, now: int) -> bool:
        """Whether it started less than the slow start period ago."""
        return upstream.started_at > 0 and now - upstream.started_at < self.slow_start_period
