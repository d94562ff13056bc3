"""Commands and reads that wait for a primary at a member that is not the primary."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from shedgrade.replication.effects import Answer, OutcomeUnknown, RedirectToPrimary, Unavailable

if TYPE_CHECKING:
    from shedgrade.replication.member import Member

Outcome = Unavailable | OutcomeUnknown | RedirectToPrimary


class PendingRequest(NamedTuple):
    """A command or a read that waits until a primary is known.

    `until`: when it is answered in any case, in seconds of the steady clock.
    `was_replicated`: whether its change was sent to others in an earlier epoch, so that it may be committed.
    """

    until: float
    ticket: int
    request: object
    was_replicated: bool
    is_read: bool


class PendingRequests:
    """Requests that wait until a primary is known. `entries`: in order of arrival."""

    def __init__(self, member: Member) -> None:
        """`member`: the member that answers them."""
        self.member = member
        self.entries: list[PendingRequest] = []

    def add(
        self, now: float, ticket: int, request: object, *, was_replicated: bool = False, is_read: bool = False
    ) -> None:
        """Keeps a request for `request_timeout_s`."""
        until = now + self.member.timing.request_timeout_s
        self.entries.append(PendingRequest(until, ticket, request, was_replicated, is_read))

    def resolve(self, now: float) -> None:
        """Processes the requests that this member can process as primary, and answers those that are due."""
        if not self.entries:
            return
        entries, self.entries = self.entries, []
        for entry in entries:
            if self.process(now, entry):
                continue
            outcome = self.outcome(now, entry)
            if outcome is None:
                self.entries.append(entry)
            else:
                self.member.effects.append(Answer(entry.ticket, outcome))

    def process(self, now: float, entry: PendingRequest) -> bool:
        """Passes a request to the primary role of this process. Returns whether that accepts it."""
        member = self.member
        if not member.primary_role.active or entry.was_replicated:
            return False
        if entry.is_read:
            member.primary_role.commands.read(now, entry.ticket)
            return True
        if member.graceful_leave.draining:
            return False
        member.primary_role.commands.submit(now, entry.ticket, entry.request)
        return True

    def outcome(self, now: float, entry: PendingRequest) -> Outcome | None:
        """Returns the outcome to answer with now, None to keep waiting."""
        member, monitor = self.member, self.member.primary_monitor
        if member.primary_role.active and entry.was_replicated:
            return OutcomeUnknown()  # deciding it again could reject it although it was committed
        if monitor.primary is not None and monitor.is_heard(now) and monitor.primary != member.address:
            return RedirectToPrimary(monitor.primary)
        if monitor.hint is not None and monitor.has_hint(now):
            return RedirectToPrimary(monitor.hint)
        if now >= entry.until:
            return OutcomeUnknown() if entry.was_replicated else Unavailable()
        return None
