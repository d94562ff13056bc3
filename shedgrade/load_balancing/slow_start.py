"""Cold upstreams: what all sidecars together may send them."""

from .upstream import SECOND, Upstream


class Cold:
    def divided(self, part: float) -> None:
        """Guards against an upgrade, whose two processes would each send a cold upstream the whole share."""
        self.part = part

    def cold_room(self, up: Upstream, now: int) -> bool:
        """Rule 4: a cold upstream gets its part of what this balancer sends, so that all keep to theirs."""
        # By own traffic, as it ends at a warm upstream of like size and kind: hundreds of even parts would
        # mostly lie unused. Over the time there was, or a restart of all has no part. 3/4 of it, for chance.
        rate = self.ends.over / max(SECOND, self.ends.under + now - self.ends.stamp) / max(1, self.ready)
        rate *= (self.base + self.slope) / self.usual(up, 1) * self.warmth(up, now) * self.part
        zone = self.zones[up.zone]
        if zone.part:
            part = max(zone.share, len(zone.part))
            rate *= zone.ready / part * (len(self.zones) if up.zone == self.own else 1)
        since = now - max(up.cold_stamp, up.started)
        up.cold_turns = min(1.0, up.cold_turns + since * rate * 0.75 * self.fall_multiple)
        up.cold_stamp = now
        return up.cold_turns >= 1

    def warmth(self, up: Upstream, now: int) -> float:
        """The least part of its capacity that an upstream has, as stated."""
        grown = max(0, now - up.started) / self.cold if self.is_cold(up, now) else 1.0
        return self.cold_from + (1 - self.cold_from) * grown

    def is_cold(self, up: Upstream, now: int) -> bool:
        return up.started > 0 and now - up.started < self.cold
