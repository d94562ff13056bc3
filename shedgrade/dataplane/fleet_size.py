"""How many edges there are, as the fleet's budgets are dealt by it. Sans I/O, time is handed in."""

from collections import deque

LATELY = 30.0  # s


class FleetSize:
    """The largest count of the last LATELY seconds, 1 at the least.

    Guards against shares that grow when word of others is lost: those others go on using theirs.
    """

    def __init__(self) -> None:
        self.counts: deque[tuple[float, int]] = deque()  # (when, count), each count below the one before

    def counted(self, now: float, edges: int) -> None:
        """So many edges are known at `now`."""
        while self.counts and self.counts[-1][1] <= edges:
            self.counts.pop()
        self.counts.append((now, edges))

    def largest(self, now: float) -> int:
        """The largest count of the last LATELY seconds."""
        while self.counts and self.counts[0][0] < now - LATELY:
            self.counts.popleft()
        return max(1, self.counts[0][1]) if self.counts else 1
