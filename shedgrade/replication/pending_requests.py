"""Orders and reads at a member that is not the primary."""

from __future__ import annotations

from shedgrade.replication.effects import Answer, Elsewhere, Unavailable, Unclear


class Waiting:
    """Orders and reads that wait for a primary to be known."""

    def __init__(self, member):
        self.member = member
        self.entries: list[tuple[float, int, object, bool, bool]] = []

    def add(self, now: float, ticket: int, request, *, shipped: bool = False, read: bool = False) -> None:
        self.entries.append((now + self.member.timing.hold, ticket, request, shipped, read))

    def settle(self, now: float) -> None:
        member = self.member
        if not self.entries:
            return
        entries, self.entries = self.entries, []
        for until, ticket, request, shipped, read in entries:
            if member.lead.active and shipped:  # deciding it again could refuse what was finished meanwhile
                outcome = Unclear()
            elif member.lead.active and (read or not member.departure.draining):
                member.lead.read(now, ticket) if read else member.lead.order(now, ticket, request)
                continue
            elif member.hears_primary(now) and member.primary != member.address:
                outcome = Elsewhere(member.primary)
            elif member.is_hinted(now):
                outcome = Elsewhere(member.primary_hint)
            elif now >= until:
                outcome = Unclear() if shipped else Unavailable()
            else:
                self.entries.append((until, ticket, request, shipped, read))
                continue
            member.effects.append(Answer(ticket, outcome))
