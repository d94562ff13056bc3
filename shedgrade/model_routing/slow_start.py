"""What a cold upstream may get, summed over all sidecars without a word among them.

Guards against a fleet whose every member sends a little: a rate over a hundred sidecars is under one
request in seconds each, and a burst of one from each is far over the bound. So few sidecars send to one
cold upstream, chosen by a hash of both names (rendezvous), and deal the rate among themselves.
"""

from zlib import crc32

from shedgrade.load_balancing.upstream import SECOND, Upstream

DEALT_SHARE = 0.7  # of the rate is dealt: the count of sidecars lags, and sends bunch on their way
SENDERS_PER_UPSTREAM = (
    4  # sidecars for one cold upstream, where all, with one at once each, would be too many
)


class SlowStartShares:
    """The part of `decide.Cold` that differs: who is cold is told by the list, for how long and at what
    rate."""

    slow_start_rate = 0.0  # requests a second that a cold upstream bears, all sidecars together
    slow_start_bound = 0.0  # the most that it may get within any second
    sidecars, name = 1, ""  # the largest count of sidecars known lately; this one's name

    def is_warming_up(self, upstream: Upstream, now: int) -> bool:
        """Whether the list says that it is still warming up."""
        return now < self.warming_up_until.get(upstream.index, 0)

    def slow_start_rate_share(self, upstream: Upstream) -> float:
        """Requests a second that this sidecar may send it."""
        if (
            self.sidecar_count
            <= max(SENDERS_PER_UPSTREAM, self.slow_start_bound - DEALT_SHARE * self.slow_start_rate)
            or not self.slow_start_rate
        ):
            return DEALT_SHARE * self.slow_start_rate / max(1, self.sidecar_count)
        chosen = (
            crc32(b"%d:%s" % (upstream.id_hash or 0, self.name.encode())) / 2**32
            < SENDERS_PER_UPSTREAM / self.sidecar_count
        )
        return DEALT_SHARE * self.slow_start_rate / SENDERS_PER_UPSTREAM if chosen else 0.0

    def has_slow_start_credit(self, upstream: Upstream, now: int) -> bool:
        """Whether this edge's share of its rate lets one more request through now."""
        if not self.slow_start_rate:
            return True  # no bound is told
        since = max(0, now - upstream.slow_start_updated_at) if upstream.slow_start_updated_at else 0
        upstream.slow_start_credit = min(
            1.0, upstream.slow_start_credit + since / SECOND * self.slow_start_rate_share(upstream)
        )
        upstream.slow_start_updated_at = now
        return upstream.slow_start_credit >= 1
