"""Virtual time that all simulated processes share. Nothing waits: time jumps from one event to the next."""

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
    """One callback and its time. It is also the handle that an event loop gives back.

    Attributes:
        loop: the process that it runs in, None for the simulation itself.
        callback: None once it has run or was cancelled.
        due: on the clock of its process, seconds.
        is_io: a socket is ready, rather than a timer due.
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
        """It will not run."""
        self.callback = None
        self.args = ()

    def cancelled(self) -> bool:
        """Whether it will not run, or has run."""
        return self.callback is None

    def when(self) -> float:
        """As `asyncio.TimerHandle.when`."""
        return self.due


class VirtualTime:
    """Runs events in the order of their times; equal times in the order in which they were scheduled.

    Attributes:
        now: seconds; never decreases.
        heap: (time, sequence number, event) of those that have not run.
        count: events that were ever scheduled.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.heap: list[tuple[float, int, Event]] = []
        self.count = 0

    def at(self, time: float, callback: Callback, *args: Any) -> Event:
        """Calls outside of any process, at `time` (s); now if that is past."""
        event = Event(None, callback, args, time)
        self.push(time, event)
        return event

    def after(self, delay_s: float, callback: Callback, *args: Any) -> Event:
        """Calls outside of any process, in `delay_s`."""
        return self.at(self.now + delay_s, callback, *args)

    def push(self, time: float, event: Event) -> None:
        """Schedules an event."""
        self.count += 1
        heappush(self.heap, (time if time > self.now else self.now, self.count, event))

    def run(self, until: float) -> None:
        """Runs all events up to that time (s). May be called from within a running event loop."""
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
