"""The number of edges by which the fleet's budgets are divided. No I/O; times are passed in by the caller."""

from collections import deque

COUNT_WINDOW_S = 30.0


class FleetSize:
    """The largest count of the last COUNT_WINDOW_S seconds, at least 1.

    Guards against shares that grow when messages about other edges are lost: those edges still use theirs.
    """

    def __init__(self) -> None:
        self.counts: deque[tuple[float, int]] = deque()  # (time in s, count), counts strictly decreasing

    def record_count(self, now: float, edges: int) -> None:
        """Records that `edges` edges are known at `now`."""
        while self.counts and self.counts[-1][1] <= edges:
            self.counts.pop()
        self.counts.append((now, edges))

    def largest(self, now: float) -> int:
        """The largest count of the last COUNT_WINDOW_S seconds."""
        while self.counts and self.counts[0][0] < now - COUNT_WINDOW_S:
            self.counts.popleft()
        return max(1, self.counts[0][1]) if self.counts else 1
