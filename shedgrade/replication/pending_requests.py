"""Orders and reads at a member that is not the primary."""

from __future__ import annotations

from shedgrade.replication.effects import Answer, OutcomeUnknown, RedirectToPrimary, Unavailable


class PendingRequests:
    """Orders and reads that wait for a primary to be known."""

    def __init__(self, member):
        self.member = member
        self.entries: list[tuple[float, int, object, bool, bool]] = []

    def add(self, now: float, ticket: int, request, *, shipped: bool = False, read: bool = False) -> None:
        self.entries.append((now + self.member.timing.request_timeout_s, ticket, request, shipped, read))

    def resolve(self, now: float) -> None:
        member = self.member
        if not self.entries:
            return
        entries, self.entries = self.entries, []
        for until, ticket, request, shipped, read in entries:
            if (
                member.primary_role.active and shipped
            ):  # deciding it again could refuse what was committed meanwhile
                outcome = OutcomeUnknown()
            elif member.primary_role.active and (read or not member.graceful_leave.draining):
                member.primary_role.read(now, ticket) if read else member.primary_role.order(
                    now, ticket, request
                )
                continue
            elif member.hears_primary(now) and member.primary != member.address:
                outcome = RedirectToPrimary(member.primary)
            elif member.has_primary_hint(now):
                outcome = RedirectToPrimary(member.primary_hint)
            elif now >= until:
                outcome = OutcomeUnknown() if shipped else Unavailable()
            else:
                self.entries.append((until, ticket, request, shipped, read))
                continue
            member.effects.append(Answer(ticket, outcome))
