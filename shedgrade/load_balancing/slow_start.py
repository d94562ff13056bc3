"""Slow start: the rate that all processes together may send to an upstream that has just started."""

from .state import BalancerState
from .upstream import SECOND, Upstream


class SlowStart(BalancerState):
    """Limits the rate of requests to upstreams that have just started."""

    def set_slow_start_share(self, part: float) -> None:
        """Sets this process's share of the slow start rate.

        Guards against an upgrade, whose two processes would each send a warming upstream the whole rate.
        """
        self.slow_start_share = part

    def has_slow_start_credit(self, upstream: Upstream, now: int) -> bool:
        """Returns whether this process's share of a warming upstream's rate allows one more request now."""
        # The rate follows this process's own completions at a warm upstream of like size and class: of equal
        # shares among hundreds of processes most would not be used. The completions are taken over the time
        # observed so far, or no process would have a share after a restart of all processes. 3/4 of the rate
        # allows for random variation.
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
        """Returns the least share of its capacity that an upstream has now, by the settings."""
        grown = (
            max(0, now - upstream.started_at) / self.slow_start_period
            if self.is_warming_up(upstream, now)
            else 1.0
        )
        return self.slow_start_floor + (1 - self.slow_start_floor) * grown

    def is_warming_up(self, upstream: Upstream, now: int) -> bool:
        """Returns whether the upstream started less than the slow start period ago."""
        return upstream.started_at > 0 and now - upstream.started_at < self.slow_start_period
