"""Who the primary is and when it was last heard: the failure detector of the other members."""

from __future__ import annotations

from shedgrade.replication.timing import Timing

NEVER = float("-inf")


class PrimaryMonitor:
    """Contact with the primary. Times are seconds of the steady clock.

    `primary`: link address of the primary that this member follows, its own while it is the primary; None
    after a step down or before the first heartbeat.
    `primary_heard_at`: when a message of the primary of the newest epoch last came, `NEVER` before.
    `hint`: an address where somebody else hears the primary; join requests go there, it doesn't count as
    heard. None if nobody gave one.
    `hint_at`: when that was last given, `NEVER` before.
    Invariant: while `primary` is set, `primary_heard_at` is not `NEVER`.
    """

    def __init__(self, address: str, timing: Timing) -> None:
        """`address`: of this process."""
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
        """Whether another member hears the primary, though this one doesn't."""
        recent = now - self.hint_at < 2 * self.timing.join_request_interval_s
        return self.hint not in (None, self.address) and recent

    def note_heard(self, now: float, address: str) -> None:
        """A message of the primary of the newest epoch."""
        self.primary = address
        self.hint = address
        self.primary_heard_at = now

    def note_elected(self, now: float) -> None:
        """This process is the primary now."""
        self.primary = self.address
        self.primary_heard_at = now

    def note_hint(self, now: float, address: str) -> bool:
        """Somebody else hears the primary at that address. Returns whether that is news."""
        self.hint_at = now
        if address == self.hint:
            return False
        self.hint = address
        return True

    def forget_primary(self) -> None:
        """The primary is not known any more."""
        self.primary = None

    def check_invariants(self) -> None:
        """Raises AssertionError if an attribute contradicts another."""
        assert self.primary is None or self.primary_heard_at > NEVER, "a primary that was never heard"
