"""Virtual time: events in order of their time; nothing waits in real time."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import NamedTuple


class ScheduledEvent(NamedTuple):
    """One callback in the event heap. `sequence` breaks ties, so two events are never compared further."""

    time: float
    sequence: int
    callback: Callable[..., object]
    args: tuple[object, ...]


class Scheduler:
    """Runs callbacks at their time; equal times in the order in which they were scheduled.

    Attributes:
        now: virtual time in seconds; never decreases.
        heap: events that have not run yet.
        count: events that were ever scheduled.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.heap: list[ScheduledEvent] = []
        self.count = 0

    def at(self, time: float, callback: Callable[..., object], *args: object) -> None:
        """Schedules `callback(*args)` at `time` (s); at the present time if that is past."""
        self.count += 1
        heappush(self.heap, ScheduledEvent(max(time, self.now), self.count, callback, args))

    def after(self, delay: float, callback: Callable[..., object], *args: object) -> None:
        """Schedules `callback(*args)` in `delay` seconds."""
        self.at(self.now + delay, callback, *args)

    def run(self, until: float) -> None:
        """Runs all events up to virtual time `until` (s), also those that are scheduled meanwhile."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.now, _, callback, args = heappop(heap)
            callback(*args)
        self.now = until
