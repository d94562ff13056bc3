"""Virtual time: a scheduler that runs events in order of time, without waiting in real time."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import NamedTuple


class ScheduledEvent(NamedTuple):
    """One callback in the event heap. `sequence` breaks ties, so callbacks are never compared."""

    time: float
    sequence: int
    callback: Callable[..., object]
    args: tuple[object, ...]


class Scheduler:
    """Runs callbacks at their virtual time; those with equal times in the order they were scheduled.

    Attributes:
        now: virtual time in seconds; never decreases.
        heap: events that have not run yet.
        count: number of events scheduled so far.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.heap: list[ScheduledEvent] = []
        self.count = 0

    def at(self, time: float, callback: Callable[..., object], *args: object) -> None:
        """Schedules `callback(*args)` at virtual time `time`, in seconds, or now if that time is past."""
        self.count += 1
        heappush(self.heap, ScheduledEvent(max(time, self.now), self.count, callback, args))

    def after(self, delay: float, callback: Callable[..., object], *args: object) -> None:
        """Schedules `callback(*args)` in `delay` seconds."""
        self.at(self.now + delay, callback, *args)

    def run(self, until: float) -> None:
        """Runs all events up to virtual time `until`, in seconds, including those scheduled on the way."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.now, _, callback, args = heappop(heap)
            callback(*args)
        self.now = until
