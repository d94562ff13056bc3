"""Windows and what is held: who waits here, and when it is answered exhausted."""

from bisect import bisect_left, insort
from heapq import heappush
from math import exp

from .rpc import Rpc
from .state import BalancerState
from .upstream import DECAY_TIME

QUEUE_PACE_SHARE = 0.5  # of the pace at which transmissions end is counted on: most waits end well


class PendingRequests(BalancerState):
    """The queue of requests that wait for capacity, the most valuable first."""

    def draw_for_payoff(self, payoff: float) -> float:
        """What a window holds back is rather the cheap: from 0 to 1, rather low for the dear."""
        return self.random() ** (payoff / self.mean_payoff)

    def draw_admission(self, method: int) -> float:
        """A draw by which a gate before the decisions gives up cheap requests first."""
        return self.draw_for_payoff(self.methods[method].payoff)

    def enqueue(self, now: int, rpc: Rpc, until: int) -> bool:
        """No room anywhere: wait for an end, dearest first, while the wait should end in an answer."""
        if rpc.queue_entry is not None:
            return now < rpc.queue_entry[2]
        # What its luck keeps out of every zone no wait lets in: it is told at once.
        if not any(zone.rotation and rpc.admission_draw < zone.concurrency_limit for zone in self.zones):
            return False
        typical = self.typical_duration()
        last = int(rpc.soft_deadline_at - typical)
        place = (-rpc.payoff, self.next_sequence(), last, rpc)
        ahead = bisect_left(self.queue, place) + 1
        # What is overtaken is told at once rather than left to sit until its time is up.
        pace = QUEUE_PACE_SHARE * self.in_flight / typical
        if not self.in_flight or now + ahead / pace > last:
            return False
        rpc.queue_entry = place
        insort(self.queue, place)
        heappush(self.timers, (last, self.next_sequence(), rpc))
        tail = self.queue[-1][3]
        if tail is not rpc and now + len(self.queue) / pace > tail.queue_entry[2]:
            self.dequeue(tail)
            tail.overtaken = True
            heappush(self.timers, (now, self.next_sequence(), tail))
        if until > now:
            heappush(self.timers, (until, self.next_sequence(), rpc))
        return True

    def dequeue(self, rpc: Rpc) -> None:
        """Takes a request out of the queue; nothing if it is not in it."""
        if rpc.queue_entry is not None:
            del self.queue[bisect_left(self.queue, rpc.queue_entry)]
            rpc.queue_entry = None

    def retry_after(self, now: int, rpc: Rpc) -> int:
        """An answer after the soft deadline is worth little, so the client is to stay away until then."""
        return min(self.max_retry_after, max(0, rpc.arrived_at + rpc.method.hard_deadline - now))

    def payoff_factor(self, now: int, tenant: int) -> float:
        """The part of its payoff that one more RPC of this tenant brings: beyond its share, little."""
        if tenant >= len(self.tenant_shares):
            return 1.0
        seen, at = self.tenant_counts[tenant]
        seen = seen * exp((at - now) / DECAY_TIME) + 1
        self.tenant_counts[tenant] = seen, now
        part = min(1.0, self.tenant_shares[tenant] / seen)
        return part + (1 - part) * self.excess_payoff
