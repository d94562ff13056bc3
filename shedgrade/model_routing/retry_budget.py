"""The fleet's retry budget: limits the arrivals of requests at a service beyond the first arrival of each.

Over all sidecars retries may not exceed a ratio of the requests plus a slack within a window. Each sidecar
keeps to the ratio of its own requests and to its share of the slack, which is divided by the largest count of
sidecars known lately, so the sum holds even if a sidecar does not know all others.
"""

from collections import deque

from shedgrade.load_balancing.upstream import SECOND

BUDGET_SHARE_USED = 0.8  # of what is allowed: windows slide, and the count of sidecars lags


class RetryBudget:
    """Counts requests and retries by tenths of a window.

    ratio: allowed retries per request
    slack: retries allowed in addition to the ratio, for the whole fleet
    window: length of the sliding window, in tenths of a ms
    """

    def __init__(self, ratio: float, slack: float, window: int) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window = max(SECOND, window)
        self.sidecar_count = 1
        self.slot_length = self.window // 10
        self.counts: deque[list[int]] = deque()  # [tenth, requests, retries], the oldest first
        self.requests = self.retries = 0

    def update_bounds(self, ratio: float, slack: float, window: int) -> None:
        """Sets other bounds.

        With another window, earlier retries still count and earlier requests do not: guards against more
        retries than either window allows.
        """
        self.ratio, self.slack, window = ratio, slack, max(SECOND, window)
        if window == self.window:
            return
        newest = self.counts[-1][0] * self.slot_length if self.counts else 0
        self.window, self.slot_length, self.requests = window, window // 10, 0
        self.counts = deque([[newest // self.slot_length, 0, self.retries]])

    def advance(self, now: int) -> None:
        """Removes the counts that are older than the window."""
        slot = now // self.slot_length
        while self.counts and self.counts[0][0] < slot - 10:
            _, requests, retries = self.counts.popleft()
            self.requests -= requests
            self.retries -= retries
        if not self.counts or self.counts[-1][0] != slot:
            self.counts.append([slot, 0, 0])

    def add(self, now: int, requests: int, retries: int) -> None:
        """Adds to the counts of the newest slot."""
        self.advance(now)
        self.counts[-1][1] += requests
        self.counts[-1][2] += retries
        self.requests += requests
        self.retries += retries

    def record_sent(self, now: int, is_retry: bool) -> None:
        """Counts an attempt that was sent, a first one or a retry."""
        self.add(now, int(not is_retry), int(is_retry))

    def record_not_arrived(self, now: int, is_retry: bool) -> None:
        """Subtracts the count of an attempt that never arrived."""
        self.add(now, -int(not is_retry), -int(is_retry))

    def allows_retry(self, now: int) -> bool:
        """Returns whether one more retry keeps this sidecar within its share."""
        self.advance(now)
        share = self.ratio * max(0, self.requests) + self.slack / max(1, self.sidecar_count)
        return self.retries + 1 <= BUDGET_SHARE_USED * share
