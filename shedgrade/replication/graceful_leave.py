"""A planned end: a member that leaves goes on serving until the primary grants its leave.

The primary grants it once the holders of its epoch, the leaving member not counted, are a majority of the
members, at least t, and have confirmed a round that began after the request. A primary that leaves hands
over once that many others have confirmed such a round: its heir then makes an epoch that does without it."""

from __future__ import annotations

from shedgrade.replication.effects import Answer, Exit, OutcomeUnknown, Unavailable
from shedgrade.replication.messages import LeaveGranted
from shedgrade.replication.quorums import majority

NEVER = float("-inf")


class GracefulLeave:
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
        if member.replica.is_member() and member.hears_primary(now) and not member.is_primary_or_candidate():
            member.acceptor.send_ack(now, member.primary, member.replica.epoch_config.number, 0)

    def tick(self, now: float) -> None:
        """Ends the process when it may go, or must."""
        member = self.member
        if not self.requested or member.stopped:
            return
        if now >= self.deadline:
            if member.primary_role.active:
                member.primary_role.hand_over(now)
            self.stop(now)
        elif member.primary_role.active:
            self.tick_as_primary(now)
        elif not member.candidate.phase:
            self.draining = False
            if not member.is_voter() or not member.replica.epoch_config.number:
                self.stop(now)  # it holds nothing that counts

    def tick_as_primary(self, now: float) -> None:
        """Hand over as soon as those who stay can do without this process."""
        member, primary_role = self.member, self.member.primary_role
        alone = len(member.replica.epoch_config.members) == 1
        if not alone and primary_role.leave_requests.all_leave(now):
            primary_role.leave_requests.grant_all(now)
            self.stop(now)
            return
        self.draining = alone or primary_role.leave_requests.enough_stay(now)
        if not self.draining:
            member.pending_requests.resolve(now)
        elif not primary_role.in_flight_writes and not primary_role.order_queue:
            if alone:
                self.stop(now)
            else:
                primary_role.hand_over(now)

    def on_leave_granted(self, now: float, granted: LeaveGranted) -> None:
        """The primary of the newest epoch lets this member go. A grant from before a newer promise is void:
        this member may have been chosen as a holder since."""
        member, replica = self.member, self.member.replica
        if (
            self.requested
            and not member.is_primary_or_candidate()
            and replica.promised_epoch.number <= granted.epoch >= replica.epoch_config.number
        ):
            self.stop(now)

    def stop(self, now: float) -> None:
        member = self.member
        member.stopped = True
        member.step_down(now)
        for _, ticket, _, shipped, _ in member.pending_requests.entries:
            member.effects.append(Answer(ticket, OutcomeUnknown() if shipped else Unavailable()))
        member.pending_requests.entries = []
        member.effects.append(Exit())


class LeaveRequests:
    """The primary's side, for the length of one epoch."""

    def __init__(self, primary_role):
        self.primary_role = primary_role
        self.rounds: dict[int, int] = {}  # leaving member -> the round that must be confirmed
        self.requested_at: dict[int, float] = {}  # when the request was first heard in this epoch
        self.granted_at: dict[int, float] = {}  # when it was last told

    def begin(self, leaving: frozenset[int]) -> None:
        """A new epoch. Its installation confirms that the holders stay with those who asked before it."""
        self.rounds = dict.fromkeys(leaving, 0)
        self.requested_at, self.granted_at = {}, {}

    def followers_confirming(self, now: float, leaver: int) -> list:
        """Followers that are members and have confirmed a round since `leaver` asked for its leave."""
        primary_role, replica = self.primary_role, self.primary_role.member.replica
        if leaver not in self.rounds:
            self.rounds[leaver] = primary_role.start_member_round(now)
            self.requested_at[leaver] = now
        read_index_round = self.rounds[leaver]
        return [
            follower
            for who, follower in primary_role.followers.items()
            if who != leaver
            and replica.has_member(who)
            and follower.read_index_round >= read_index_round
            and primary_role.heard_recently(now, follower)
        ]

    def needed(self) -> int:
        """How many must stay: a majority, and at least t."""
        member = self.primary_role.member
        return max(majority(member.replica.epoch_config.members), member.tolerated)

    def enough_stay(self, now: float) -> bool:
        """Whether the others can make an epoch without this process."""
        primary_role, own = self.primary_role, self.primary_role.member.replica.incarnation
        staying = [
            each for each in self.followers_confirming(now, own) if primary_role.is_eligible(now, each)
        ]
        return len(staying) >= self.needed()

    def all_leave(self, now: float) -> bool:
        """The whole core is told to end: nobody could take over, whatever is waited for."""
        primary_role, replica = self.primary_role, self.primary_role.member.replica
        others = [
            primary_role.followers.get(peer.incarnation)
            for peer in replica.epoch_config.members
            if peer.incarnation != replica.incarnation
        ]
        return all(
            each is not None and each.leaving and primary_role.heard_recently(now, each) for each in others
        )

    def grant_all(self, now: float) -> None:
        for follower in self.primary_role.followers.values():
            if follower.leaving:
                self.grant(now, follower)

    def tick(self, now: float) -> None:
        """Grant what may be granted."""
        primary_role = self.primary_role
        if not primary_role.active:
            return
        for who, follower in list(primary_role.followers.items()):
            if not follower.leaving or not primary_role.heard_recently(now, follower):
                self.rounds.pop(who, None)
            elif primary_role.member.replica.has_member(who) and self.may_go(now, who):
                told = self.granted_at.get(who)
                if told is None or now - told >= primary_role.member.timing.resend_interval_s:
                    self.grant(now, follower)

    def may_go(self, now: float, leaver: int) -> bool:
        """Whether the other holders, who all confirm the epoch after the request, do without the leaver."""
        confirmed = {each.incarnation for each in self.followers_confirming(now, leaver)}
        if now < self.requested_at.get(leaver, NEVER) + self.primary_role.member.timing.leave_grant_delay_s:
            return False
        others = [each for each in self.primary_role.holders if each != leaver]
        return confirmed.issuperset(others) and 1 + len(others) >= self.needed()

    def wake_at(self, ticked_at: float) -> float:
        """Soon after the last tick while a request is open."""
        waits = any(who not in self.granted_at for who in self.rounds)
        return ticked_at + self.primary_role.member.timing.leave_grant_delay_s / 2 if waits else float("inf")

    def grant(self, now: float, follower) -> None:
        self.granted_at[follower.incarnation] = now
        self.primary_role.member.send(follower.address, LeaveGranted(self.primary_role.epoch))
