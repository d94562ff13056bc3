"""Failure detector for the primary: its address and when it was last heard."""

from __future__ import annotations

from shedgrade.replication.timing import Timing

NEVER = float("-inf")


class PrimaryMonitor:
    """A member's contact with the primary. Times are seconds of the steady clock.

    `primary`: link address of the primary that this member follows, its own while it is the primary; None
    after a step-down or before the first heartbeat.
    `primary_heard_at`: when a message of the primary of the newest epoch last arrived, `NEVER` before.
    `hint`: link address at which another member hears the primary, None if none was given. Join requests go
    there; it does not count as heard.
    `hint_at`: when a hint was last given, `NEVER` before.
    Invariant: while `primary` is set, `primary_heard_at` is not `NEVER`.
    """

    def __init__(self, address: str, timing: Timing) -> None:
        """`address`: link address of this process."""
        self.address = address
        self.timing = timing
        self.primary: str | None = None
        self.primary_heard_at = NEVER
        self.hint: str | None = None
        self.hint_at = NEVER

    def is_heard(self, now: float) -> bool:
        """Whether the primary was heard within `primary_timeout_s`."""
        return self.primary is not None and now - self.primary_heard_at < self.timing.primary_timeout_s

    def has_hint(self, now: float) -> bool:
        """Whether another member recently reported hearing the primary."""
        recent = now - self.hint_at < 2 * self.timing.join_request_interval_s
        return self.hint not in (None, self.address) and recent

    def note_heard(self, now: float, address: str) -> None:
        """Records a message of the primary of the newest epoch."""
        self.primary = address
        self.hint = address
        self.primary_heard_at = now

    def note_elected(self, now: float) -> None:
        """Records that this process is the primary now."""
        self.primary = self.address
        self.primary_heard_at = now

    def note_hint(self, now: float, address: str) -> bool:
        """Records that another member hears the primary at `address`. Returns whether that address is new."""
        self.hint_at = now
        if address == self.hint:
            return False
        self.hint = address
        return True

    def forget_primary(self) -> None:
        """Records that the primary is unknown."""
        self.primary = None

    def check_invariants(self) -> None:
        """Raises AssertionError if an attribute contradicts another."""
        assert self.primary is None or self.primary_heard_at > NEVER, "a primary that was never heard"
