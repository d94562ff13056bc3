"""Virtual time: events in order, none waits."""

from __future__ import annotations

from heapq import heappop, heappush


class Scheduler:
    """Runs callbacks at their time (seconds); equal times in the order they were asked for."""

    def __init__(self):
        self.now = 0.0
        self.heap: list = []
        self.count = 0

    def at(self, time: float, call, *args) -> None:
        self.count += 1
        heappush(self.heap, (time if time > self.now else self.now, self.count, call, args))

    def after(self, delay: float, call, *args) -> None:
        self.at(self.now + delay, call, *args)

    def run(self, until: float) -> None:
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.now, _, call, args = heappop(heap)
            call(*args)
        self.now = until
