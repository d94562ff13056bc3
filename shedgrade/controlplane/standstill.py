"""Notices that this process stood still (SIGSTOP, a frozen machine), and how old what it reads then may be.

Guards against frames that waited unread in the kernel's buffers, and count as news when the process goes on:
what is read within SETTLING after a standstill is dated as if it had come when that began. Sans I/O.
"""

STANDSTILL = 0.75  # s between two looks that counts as one; the control plane looks every 0.25 s
SETTLING = 0.5  # s after it in which frames may still be read that came before its end


class Standstill:
    """Times are seconds of this process's steady clock, which goes on meanwhile."""

    def __init__(self, now: float) -> None:
        self.looked_at, self.length, self.over_at = now, 0.0, float("-inf")

    def look(self, now: float) -> None:
        """Called with every event, and steadily."""
        gap = now - self.looked_at
        if gap > STANDSTILL:
            self.length, self.over_at = gap + self.unread_s(self.looked_at), now
        self.looked_at = now

    def unread_s(self, now: float) -> float:
        """For how long a frame that is read now may have waited unread."""
        return self.length + now - self.over_at if now < self.over_at + SETTLING else 0.0
