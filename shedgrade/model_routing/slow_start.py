"""Slow start shared among all sidecars, without communication between them.

The share of each of a hundred sidecars would be under one request in several seconds, and a burst of one
request from each would far exceed the bound. So few sidecars send to a warming upstream, chosen by a hash of
the upstream's id and the sidecar's name (rendezvous hashing), and they divide its rate among themselves.
"""

from zlib import crc32

from shedgrade.load_balancing.upstream import SECOND, Upstream

# Share of the rate that is divided: the count of sidecars lags, and requests bunch on their way.
DIVIDED_RATE_SHARE = 0.7
# Sidecars per warming upstream, where a request from each of all sidecars at once would be too many.
SENDERS_PER_UPSTREAM = 4


class SlowStartShares:
    """Replaces `load_balancing.slow_start.SlowStart`: the list tells which upstreams warm up, how long and at
    what rate.
    """

    slow_start_rate = 0.0  # requests a second to a warming upstream, of all sidecars together
    slow_start_bound = 0.0  # most requests that it may get within any second
    sidecars, name = 1, ""  # the largest count of sidecars known lately; this sidecar's name

    def is_warming_up(self, upstream: Upstream, now: int) -> bool:
        """Returns whether the upstream is still warming up by the list."""
        return now < self.warming_up_until.get(upstream.index, 0)

    def slow_start_rate_share(self, upstream: Upstream) -> float:
        """Returns the requests a second that this sidecar may send to a warming upstream."""
        if (
            self.sidecar_count
            <= max(SENDERS_PER_UPSTREAM, self.slow_start_bound - DIVIDED_RATE_SHARE * self.slow_start_rate)
            or not self.slow_start_rate
        ):
            return DIVIDED_RATE_SHARE * self.slow_start_rate / max(1, self.sidecar_count)
        is_sender = (
            crc32(b"%d:%s" % (upstream.id_hash or 0, self.name.encode())) / 2**32
            < SENDERS_PER_UPSTREAM / self.sidecar_count
        )
        return DIVIDED_RATE_SHARE * self.slow_start_rate / SENDERS_PER_UPSTREAM if is_sender else 0.0

    def has_slow_start_credit(self, upstream: Upstream, now: int) -> bool:
        """Returns whether this sidecar's share of the rate allows one more request now."""
        if not self.slow_start_rate:
            return True  # no rate is set
        elapsed = max(0, now - upstream.slow_start_updated_at) if upstream.slow_start_updated_at else 0
        upstream.slow_start_credit = min(
            1.0, upstream.slow_start_credit + elapsed / SECOND * self.slow_start_rate_share(upstream)
        )
        upstream.slow_start_updated_at = now
        return upstream.slow_start_credit >= 1
