"""The queue of requests that wait for capacity, and the random draws by which limits admit requests."""

from bisect import bisect_left, insort
from heapq import heappush
from math import exp

from .rpc import Rpc
from .state import BalancerState
from .upstream import DECAY_TIME

# Share of the completion rate that the expected wait is computed from: most waits then end in an answer.
QUEUE_PACE_SHARE = 0.5


class PendingRequests(BalancerState):
    """The queue of requests that wait for capacity, the highest payoff first."""

    def draw_for_payoff(self, payoff: float) -> float:
        """Returns a random draw from 0 to 1, lower for a higher payoff: limits reject low payoffs first."""
        return self.random() ** (payoff / self.mean_payoff)

    def draw_admission(self, method: int) -> float:
        """Returns the draw by which a gate before the balancer rejects requests of low payoff first."""
        return self.draw_for_payoff(self.methods[method].payoff)

    def enqueue(self, now: int, rpc: Rpc, until: int) -> bool:
        """Queues a request for which no upstream has capacity; returns whether the request is queued.

        The queue is ordered by payoff. A request is queued only if it is expected to be answered by its soft
        deadline. `until`: when to decide on the request again.
        """
        if rpc.queue_entry is not None:
            return now < rpc.queue_entry[2]
        # A request with a draw above the limits of all zones is not admitted after a wait either: it is
        # answered at once.
        if not any(zone.rotation and rpc.admission_draw < zone.concurrency_limit for zone in self.zones):
            return False
        typical = self.typical_duration()
        last = int(rpc.soft_deadline_at - typical)
        place = (-rpc.payoff, self.next_sequence(), last, rpc)
        ahead = bisect_left(self.queue, place) + 1
        # A queued request that others have overtaken is answered at once rather than when its time is up.
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
        """Removes a request from the queue, if it is queued."""
        if rpc.queue_entry is not None:
            del self.queue[bisect_left(self.queue, rpc.queue_entry)]
            rpc.queue_entry = None

    def retry_after(self, now: int, rpc: Rpc) -> int:
        """Returns how long the client should wait before a retry.

        That is until the hard deadline, as an answer after the soft deadline is worth little, but at most
        `max_retry_after`.
        """
        return min(self.max_retry_after, max(0, rpc.arrived_at + rpc.method.hard_deadline - now))

    def payoff_factor(self, now: int, tenant: int) -> float:
        """Returns the fraction of the payoff that one more request of a tenant earns.

        It is 1.0 within the tenant's share, and falls towards `excess_payoff` beyond it.
        """
        if tenant >= len(self.tenant_shares):
            return 1.0
        seen, at = self.tenant_counts[tenant]
        seen = seen * exp((at - now) / DECAY_TIME) + 1
        self.tenant_counts[tenant] = seen, now
        part = min(1.0, self.tenant_shares[tenant] / seen)
        return part + (1 - part) * self.excess_payoff
