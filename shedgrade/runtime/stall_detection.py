"""When a request that is read now can have come at the earliest: a process that stood still reads old ones.

A request waits unread in the kernel while its process is stopped, or is held up by a long step of its loop,
and looks like a new one afterwards. `ArrivalClock` ticks on the loop; a tick that comes late tells that the
loop stood still, and whatever is read soon after may be as old as the last tick before. Only the own steady
clock is used, which goes on while the process is stopped.
"""

import asyncio
from collections.abc import Callable
from time import monotonic

import uvloop

TICK = 0.1  # s between two ticks
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
        self.timer = None

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
