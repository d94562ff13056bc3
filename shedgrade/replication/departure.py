"""A planned end: a member that leaves goes on serving until the primary grants its leave.

The primary grants it once the holders of its epoch, the leaving member not counted, are a majority of the
members, at least t, and have confirmed a round that began after the request. A primary that leaves hands
over once that many others have confirmed such a round: its heir then makes an epoch that does without it."""

from __future__ import annotations

from shedgrade.replication.effects import Answer, Left, Unavailable, Unclear
from shedgrade.replication.messages import LeaveGranted
from shedgrade.replication.quorums import majority

NEVER = float("-inf")


class Departure:
    """The leaving member's side. `deadline`: it ends then, granted or not, since it would be killed."""

    def __init__(self, member):
        self.member = member
        self.requested = False
        self.draining = False  # a primary takes no more orders: it is about to hand over
        self.deadline = 0.0

    def request(self, now: float, patience: float) -> None:
        """Ask for leave, and end after `patience` seconds at the latest."""
        member = self.member
        if self.requested:
            return
        self.requested, self.deadline = True, now + patience
        if member.held.is_member() and member.hears_primary(now) and not member.acts():
            member.voting.ack(now, member.primary, member.held.record.number, 0)

    def tick(self, now: float) -> None:
        """Ends the process when it may go, or must."""
        member = self.member
        if not self.requested or member.gone:
            return
        if now >= self.deadline:
            if member.lead.active:
                member.lead.hand_over(now)
            self.go(now)
        elif member.lead.active:
            self.tick_as_primary(now)
        elif not member.candidate.phase:
            self.draining = False
            if not member.is_voter() or not member.held.record.number:
                self.go(now)  # it holds nothing that counts

    def tick_as_primary(self, now: float) -> None:
        """Hand over as soon as those who stay can do without this process."""
        member, lead = self.member, self.member.lead
        alone = len(member.held.record.members) == 1
        if not alone and lead.leaves.all_leave(now):
            lead.leaves.grant_all(now)
            return self.go(now)
        self.draining = alone or lead.leaves.enough_stay(now)
        if not self.draining:
            member.waiting.settle(now)
        elif not lead.open and not lead.queue:
            if alone:
                self.go(now)
            else:
                lead.hand_over(now)
        return None

    def on_granted(self, now: float, granted: LeaveGranted) -> None:
        """The primary of the newest epoch lets this member go. A grant from before a newer promise is void:
        this member may have been chosen as a holder since."""
        member, held = self.member, self.member.held
        if self.requested and not member.acts() and held.promise[0] <= granted.epoch >= held.record.number:
            self.go(now)

    def go(self, now: float) -> None:
        member = self.member
        member.gone = True
        member.step_down(now)
        for _, ticket, _, shipped, _ in member.waiting.entries:
            member.effects.append(Answer(ticket, Unclear() if shipped else Unavailable()))
        member.waiting.entries = []
        member.effects.append(Left())


class LeaveRequests:
    """The primary's side, for the length of one epoch."""

    def __init__(self, lead):
        self.lead = lead
        self.rounds: dict[int, int] = {}  # leaving member -> the round that must be confirmed
        self.asked_at: dict[int, float] = {}  # when the request was first heard in this epoch
        self.granted_at: dict[int, float] = {}  # when it was last told

    def begin(self, leaving: frozenset[int]) -> None:
        """A new epoch. Its installation confirms that the holders stay with those who asked before it."""
        self.rounds = dict.fromkeys(leaving, 0)
        self.asked_at, self.granted_at = {}, {}

    def confirmed(self, now: float, leaver: int) -> list:
        """Followers that are members and have confirmed a round since `leaver` asked for its leave."""
        lead, held = self.lead, self.lead.member.held
        if leaver not in self.rounds:
            self.rounds[leaver] = lead.confirm_with_all(now)
            self.asked_at[leaver] = now
        round_ = self.rounds[leaver]
        return [
            follower
            for who, follower in lead.followers.items()
            if who != leaver
            and held.names(who)
            and follower.round >= round_
            and lead.heard_lately(now, follower)
        ]

    def needed(self) -> int:
        """How many must stay: a majority, and at least t."""
        member = self.lead.member
        return max(majority(member.held.record.members), member.tolerated)

    def enough_stay(self, now: float) -> bool:
        """Whether the others can make an epoch without this process."""
        lead, own = self.lead, self.lead.member.held.incarnation
        staying = [each for each in self.confirmed(now, own) if lead.is_able(now, each)]
        return len(staying) >= self.needed()

    def all_leave(self, now: float) -> bool:
        """The whole core is told to end: nobody could take over, whatever is waited for."""
        lead, held = self.lead, self.lead.member.held
        others = [
            lead.followers.get(peer.incarnation)
            for peer in held.record.members
            if peer.incarnation != held.incarnation
        ]
        return all(each is not None and each.leaving and lead.heard_lately(now, each) for each in others)

    def grant_all(self, now: float) -> None:
        for follower in self.lead.followers.values():
            if follower.leaving:
                self.grant(now, follower)

    def tick(self, now: float) -> None:
        """Grant what may be granted."""
        lead = self.lead
        if not lead.active:
            return
        for who, follower in list(lead.followers.items()):
            if not follower.leaving or not lead.heard_lately(now, follower):
                self.rounds.pop(who, None)
            elif lead.member.held.names(who) and self.may_go(now, who):
                told = self.granted_at.get(who)
                if told is None or now - told >= lead.member.timing.resend:
                    self.grant(now, follower)

    def may_go(self, now: float, leaver: int) -> bool:
        """Whether the other holders, who all confirm the epoch after the request, do without the leaver."""
        confirmed = {each.incarnation for each in self.confirmed(now, leaver)}
        if now < self.asked_at.get(leaver, NEVER) + self.lead.member.timing.leave_delay:
            return False
        others = [each for each in self.lead.holders if each != leaver]
        return confirmed.issuperset(others) and 1 + len(others) >= self.needed()

    def wake_at(self, ticked_at: float) -> float:
        """Soon after the last tick while a request is open."""
        waits = any(who not in self.granted_at for who in self.rounds)
        return ticked_at + self.lead.member.timing.leave_delay / 2 if waits else float("inf")

    def grant(self, now: float, follower) -> None:
        self.granted_at[follower.incarnation] = now
        self.lead.member.send(follower.address, LeaveGranted(self.lead.epoch))
