"""Windows and what is held: who waits here, and when it is answered exhausted."""

from bisect import bisect_left, insort
from heapq import heappush
from math import exp

from .rpc import Rpc
from .upstream import MEMORY

WAIT = 0.5  # of the pace at which transmissions end is counted on: most waits end well


class Holding:
    def draw(self, payoff: float) -> float:
        """What a window holds back is rather the cheap: from 0 to 1, rather low for the dear."""
        return self.chance() ** (payoff / self.mean_payoff)

    def luck(self, method: int) -> float:
        return self.draw(self.methods[method].payoff)

    def hold(self, now: int, rpc: Rpc, until: int) -> bool:
        """No room anywhere: wait for an end, dearest first, while the wait should end in an answer."""
        if rpc.held is not None:
            return now < rpc.held[2]
        # What its luck keeps out of every zone no wait lets in: it is told at once.
        if not any(zone.ring and rpc.luck < zone.window for zone in self.zones):
            return False
        typical = self.typical()
        last = int(rpc.soft_end - typical)
        place = (-rpc.payoff, self.count(), last, rpc)
        ahead = bisect_left(self.held, place) + 1
        # What is overtaken is told at once rather than left to sit until its time is up.
        pace = WAIT * self.flight / typical
        if not self.flight or now + ahead / pace > last:
            return False
        rpc.held = place
        insort(self.held, place)
        heappush(self.alarms, (last, self.count(), rpc))
        tail = self.held[-1][3]
        if tail is not rpc and now + len(self.held) / pace > tail.held[2]:
            self.unhold(tail)
            tail.turned = True
            heappush(self.alarms, (now, self.count(), tail))
        if until > now:
            heappush(self.alarms, (until, self.count(), rpc))
        return True

    def unhold(self, rpc: Rpc) -> None:
        if rpc.held is not None:
            del self.held[bisect_left(self.held, rpc.held)]
            rpc.held = None

    def retry_after(self, now: int, rpc: Rpc) -> int:
        """An answer after the soft deadline is worth little, so the client is to stay away until then."""
        return min(self.longest_wait, max(0, rpc.come + rpc.method.hard - now))

    def worth(self, now: int, tenant: int) -> float:
        """The part of its payoff that one more RPC of this tenant brings: beyond its share, little."""
        if tenant >= len(self.shares):
            return 1.0
        seen, at = self.seen[tenant]
        seen = seen * exp((at - now) / MEMORY) + 1
        self.seen[tenant] = seen, now
        part = min(1.0, self.shares[tenant] / seen)
        return part + (1 - part) * self.excess
