"""Detects that this process stalled, and how old what it reads afterwards may be.

While a process is stopped (SIGSTOP, a frozen machine), or is held up by a long step of its loop, requests and
frames wait unread in the kernel's buffers, and look like new ones afterwards. Only the own steady clock is
used, which goes on while the process is stopped. Two detectors, with constants of their own:

- `ArrivalClock` runs a timer on the loop and detects short stalls, also those of one loop step. It dates
  requests: a lower bound of the time at which one that is read now can have arrived.
- `StallDetector` is told of every event, does no I/O and detects long stalls. It dates frames of other
  processes: an upper bound of how long one that is read now may have waited.
"""

import asyncio
from collections.abc import Callable
from time import monotonic

import uvloop

TICK = 0.1  # s between two ticks of the `ArrivalClock`
LATE = 0.15  # s by which a tick may be late in a process that runs
SETTLING = 0.25  # s after a late tick within which what came meanwhile has been read


def steady_clock(loop: asyncio.AbstractEventLoop) -> Callable[[], float]:
    """The loop's time in seconds, read anew at each call: uvloop's own is as old as its pass."""
    return monotonic if isinstance(loop, uvloop.Loop) else loop.time


class ArrivalClock:
    """`clock`: as of `steady_clock`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float]) -> None:
        self.loop, self.clock = loop, clock
        self.last_tick = self.tick_before = clock()
        self.before_stall = self.settled_at = self.last_tick
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begins to tick; before that, nothing is known of stalls."""
        self.tick()

    def close(self) -> None:
        """Ends the ticks."""
        if self.timer is not None:
            self.timer.cancel()

    def tick(self) -> None:
        """Notes that the loop runs, and whether it stood still before."""
        now = self.clock()
        if now - self.last_tick > TICK + LATE:
            if not self.settling():
                self.before_stall = self.tick_before
            self.settled_at = now + SETTLING
        self.tick_before, self.last_tick = self.last_tick, now
        self.timer = self.loop.call_later(TICK, self.tick)

    def settling(self) -> bool:
        """The loop has not run for long enough since it stood still; a stall does not count as running."""
        return self.last_tick < self.settled_at

    def earliest(self) -> float:
        """No byte that is read now came before this time, but on a connection that was not being read."""
        return self.before_stall if self.settling() else self.tick_before


STALL_THRESHOLD_S = 0.75  # between two events that counts as a stall; callers look every 0.25 s at least
FRAMES_SETTLING_S = 0.5  # after a stall in which frames may still be read that came before its end


class StallDetector:
    """Times are seconds of this process's steady clock, which goes on while it is stopped.

    Attributes: `last_event_at`: never falls; `stall_s`: length of the last stall, added to the one before if
    that had not settled; `stall_ended_at`: minus infinity before the first stall, never above
    `last_event_at`.
    """

    def __init__(self, now: float) -> None:
        self.last_event_at = now
        self.stall_s = 0.0
        self.stall_ended_at = float("-inf")

    def observe(self, now: float) -> None:
        """Called with every event, and steadily."""
        gap = now - self.last_event_at
        if gap > STALL_THRESHOLD_S:
            self.stall_s = gap + self.unread_s(self.last_event_at)
            self.stall_ended_at = now
        self.last_event_at = now

    def unread_s(self, now: float) -> float:
        """For how long, at most, a frame that is read now may have waited unread; 0 if there was no stall."""
        if now >= self.stall_ended_at + FRAMES_SETTLING_S:
            return 0.0
        return self.stall_s + now - self.stall_ended_at

    def check_invariants(self) -> None:
        """AssertionError if the attributes contradict each other."""
        assert self.stall_ended_at <= self.last_event_at, "a stall ends with the event that shows it"
        assert self.stall_s == 0.0 or self.stall_s > STALL_THRESHOLD_S, "a stall is longer than its threshold"
