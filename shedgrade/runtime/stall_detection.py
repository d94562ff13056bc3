"""Detects that this process stalled, and bounds the age of data that it reads afterwards.

While a process is stopped (SIGSTOP, a frozen machine) or blocked by a long step of its event loop, requests
and frames wait unread in the kernel's buffers, and look new when they are read afterwards. Only the process's
own monotonic clock is used, which advances while the process is stopped. There are two detectors, each with
its own constants:

- `ArrivalClock` runs a timer on the loop and detects short stalls, also those of a single loop step. It dates
  connections: it gives a lower bound of the time at which one that is accepted now can have been opened.
- `StallDetector` is told of every event, does no I/O and detects long stalls. It dates frames of other
  processes: it gives an upper bound of how long a frame that is read now may have waited.
"""

import asyncio
from collections.abc import Callable
from time import monotonic

import uvloop

TICK_INTERVAL_S = 0.1  # between two ticks of the `ArrivalClock`
MAX_TICK_DELAY_S = 0.15  # by which a tick may be late without counting as a stall
SETTLING_S = 0.25  # after a late tick within which all data that arrived during the stall has been read


def monotonic_clock(loop: asyncio.AbstractEventLoop) -> Callable[[], float]:
    """Returns a clock of the loop's time in seconds that reads the time at each call. `loop.time()` of uvloop
    doesn't: it returns the time at which the current iteration began."""
    return monotonic if isinstance(loop, uvloop.Loop) else loop.time


class ArrivalClock:
    """Detects stalls by a periodic timer, and bounds when data that is read now can have arrived.

    Attributes, times in seconds of `clock`:
        clock: a clock of `monotonic_clock`.
        last_tick_at, previous_tick_at: times of the last two ticks; of the start, before there are two.
        before_stall_at: what `earliest_arrival` returns while the loop settles after a stall.
        settled_at: when the loop has settled after the last stall.
        timer: of the next tick, None before `start`.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float]) -> None:
        self.loop, self.clock = loop, clock
        self.last_tick_at = self.previous_tick_at = clock()
        self.before_stall_at = self.settled_at = self.last_tick_at
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Starts the timer; stalls before that are not detected."""
        self.tick()

    def close(self) -> None:
        """Stops the timer."""
        if self.timer is not None:
            self.timer.cancel()

    def tick(self) -> None:
        """Records the time of this tick, and a stall if the tick is late; sets the timer again."""
        now = self.clock()
        if now - self.last_tick_at > TICK_INTERVAL_S + MAX_TICK_DELAY_S:
            if not self.is_settling():
                self.before_stall_at = self.previous_tick_at
            self.settled_at = now + SETTLING_S
        self.previous_tick_at, self.last_tick_at = self.last_tick_at, now
        self.timer = self.loop.call_later(TICK_INTERVAL_S, self.tick)

    def is_settling(self) -> bool:
        """Returns whether data from before the end of a stall may still be unread.

        The loop has to run for SETTLING_S after a stall; a further stall does not count as running.
        """
        return self.last_tick_at < self.settled_at

    def earliest_arrival(self) -> float:
        """Returns a time in seconds of `clock` before which nothing arrived that is accepted or read now,
        except where accepting or reading was paused."""
        return self.before_stall_at if self.is_settling() else self.previous_tick_at


STALL_THRESHOLD_S = 0.75  # a longer gap between two events is a stall; callers observe at least every 0.25 s
FRAMES_SETTLING_S = 0.5  # after a stall, while frames that arrived before its end may still be read


class StallDetector:
    """Detects long stalls by the gaps between events. All times are seconds of the process's own monotonic
    clock, which advances while the process is stopped.

    Attributes:
        last_event_at: time of the last event; never decreases.
        stall_s: length of the last stall, plus the one before if that had not settled.
        stall_ended_at: minus infinity before the first stall; never later than `last_event_at`.
    """

    def __init__(self, now: float) -> None:
        self.last_event_at = now
        self.stall_s = 0.0
        self.stall_ended_at = float("-inf")

    def observe(self, now: float) -> None:
        """Records an event; called with every event, and periodically."""
        gap = now - self.last_event_at
        if gap > STALL_THRESHOLD_S:
            self.stall_s = gap + self.max_unread_s(self.last_event_at)
            self.stall_ended_at = now
        self.last_event_at = now

    def max_unread_s(self, now: float) -> float:
        """Returns the longest time for which a frame that is read now may have waited; 0 without a stall."""
        if now >= self.stall_ended_at + FRAMES_SETTLING_S:
            return 0.0
        return self.stall_s + now - self.stall_ended_at

    def check_invariants(self) -> None:
        """AssertionError if the attributes contradict each other."""
        assert self.stall_ended_at <= self.last_event_at, "a stall must end at or before the last event"
        assert self.stall_s == 0.0 or self.stall_s > STALL_THRESHOLD_S, "a stall must exceed its threshold"
