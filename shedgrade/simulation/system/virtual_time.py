"""Virtual time, shared by all simulated processes. It jumps from one event to the next without waiting."""

from __future__ import annotations

from asyncio import events
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, Protocol

Callback = Callable[..., object]


class EventOwner(Protocol):
    """The process that an event belongs to."""

    def run_event(self, event: Event) -> None:
        """Runs an event that is due, keeps it while the process is stopped, or drops it after its end."""


class Event:
    """A scheduled callback. It is also the handle that an event loop returns.

    Attributes:
        loop: the process that it runs in; None: the simulation itself.
        callback: None once it has run or was cancelled.
        due: time at which it is due on the clock of its process, s.
        is_io: whether a socket is ready, rather than a timer due.
    """

    __slots__ = ("loop", "callback", "args", "due", "is_io")

    def __init__(
        self,
        loop: EventOwner | None,
        callback: Callback,
        args: tuple[Any, ...],
        due: float,
        is_io: bool = False,
    ) -> None:
        self.loop = loop
        self.callback: Callback | None = callback
        self.args = args
        self.due = due
        self.is_io = is_io

    def cancel(self) -> None:
        """Cancels the callback."""
        self.callback = None
        self.args = ()

    def cancelled(self) -> bool:
        """Whether the callback was cancelled or has run."""
        return self.callback is None

    def when(self) -> float:
        """As `asyncio.TimerHandle.when`."""
        return self.due


class VirtualTime:
    """Runs events in the order of their times; equal times in the order in which they were scheduled.

    Attributes:
        now: current virtual time, s; never decreases.
        heap: (time, sequence number, event) of each event that has not run.
        count: number of events scheduled so far.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.heap: list[tuple[float, int, Event]] = []
        self.count = 0

    def at(self, time: float, callback: Callback, *args: Any) -> Event:
        """Schedules a callback outside of any process at `time` (s), or now if that is past."""
        event = Event(None, callback, args, time)
        self.push(time, event)
        return event

    def after(self, delay_s: float, callback: Callback, *args: Any) -> Event:
        """Schedules a callback outside of any process in `delay_s`."""
        return self.at(self.now + delay_s, callback, *args)

    def push(self, time: float, event: Event) -> None:
        """Schedules an event at `time` (s), or now if that is past."""
        self.count += 1
        heappush(self.heap, (time if time > self.now else self.now, self.count, event))

    def run(self, until: float) -> None:
        """Runs all events up to the time `until` (s). May be called within a running event loop."""
        heap = self.heap
        outer = events._get_running_loop()
        try:
            while heap and heap[0][0] <= until:
                self.now, _, event = heappop(heap)
                if event.callback is None:
                    continue
                if event.loop is None:
                    event.callback(*event.args)
                else:
                    event.loop.run_event(event)
        finally:
            events._set_running_loop(outer)
        self.now = until
