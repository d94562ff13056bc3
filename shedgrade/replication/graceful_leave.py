"""Planned exit: a member that leaves keeps serving until the primary grants its leave.

The primary grants it once the holders of its epoch without the leaving member are a majority of the members
and at least t, and have confirmed a round that began after the request. A primary that leaves hands over once
as many other members have confirmed such a round: its successor then forms an epoch without it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from shedgrade.replication.effects import Answer, Exit, OutcomeUnknown, Unavailable
from shedgrade.replication.follower import Follower
from shedgrade.replication.messages import LeaveGranted
from shedgrade.replication.quorums import majority

if TYPE_CHECKING:
    from shedgrade.replication.member import Member
    from shedgrade.replication.primary import Primary

NEVER = float("-inf")


class GracefulLeave:
    """The leaving member's side. Times are seconds of the steady clock.

    `requested`: whether the process was asked to exit; never reset.
    `draining`: whether this process, as primary, accepts no more commands because it is about to hand over.
    `deadline`: when the process exits even without a grant, since it would be killed later. Valid only once
    `requested` is set.
    """

    def __init__(self, member: Member) -> None:
        """`member`: the member that may leave."""
        self.member = member
        self.requested = False
        self.draining = False
        self.deadline = 0.0

    def request(self, now: float, timeout_s: float) -> None:
        """Requests leave. The process exits after `timeout_s` at the latest."""
        member = self.member
        if self.requested:
            return
        self.requested = True
        self.deadline = now + timeout_s
        primary = member.primary
        if primary is None or not member.replica.is_member() or not member.hears_primary(now):
            return
        if not member.is_primary_or_candidate():
            member.acceptor.send_ack(now, primary, member.epoch, 0)

    def tick(self, now: float) -> None:
        """Exits if the leave is granted or not needed, or if the deadline has passed."""
        member = self.member
        if not self.requested or member.stopped:
            return
        if now >= self.deadline:
            if member.primary_role.active:
                member.primary_role.supervision.hand_over(now)
            self.stop(now)
        elif member.primary_role.active:
            self.tick_as_primary(now)
        elif not member.candidate.phase:
            self.draining = False
            if not member.is_voter() or not member.epoch:
                self.stop(now)  # it neither votes nor holds state that is needed

    def tick_as_primary(self, now: float) -> None:
        """Hands over once the members that stay can form an epoch without this process."""
        member, primary = self.member, self.member.primary_role
        is_alone = len(member.members) == 1
        if not is_alone and primary.leave_requests.all_members_leave(now):
            primary.leave_requests.grant_all(now)
            self.stop(now)
            return
        self.draining = is_alone or primary.leave_requests.enough_members_stay(now)
        if not self.draining:
            member.pending_requests.resolve(now)
        elif not primary.commands.in_flight and not primary.commands.queue:
            if is_alone:
                self.stop(now)
            else:
                primary.supervision.hand_over(now)

    def on_leave_granted(self, now: float, sender: str, granted: LeaveGranted) -> None:
        """Exits if the primary of the newest epoch granted the leave.

        A grant older than a newer promise is void: this member may have been chosen as a holder since.
        """
        member, replica = self.member, self.member.replica
        is_current = replica.promised_epoch.number <= granted.epoch >= member.epoch
        if self.requested and not member.is_primary_or_candidate() and is_current:
            self.stop(now)

    def stop(self, now: float) -> None:
        """Steps down, answers all pending requests, and emits `Exit`."""
        member = self.member
        member.stopped = True
        member.step_down(now)
        for entry in member.pending_requests.entries:
            outcome = OutcomeUnknown() if entry.was_replicated else Unavailable()
            member.effects.append(Answer(entry.ticket, outcome))
        member.pending_requests.entries = []
        member.effects.append(Exit())


class LeaveRequests:
    """The primary's side, for one epoch. Times are seconds of the steady clock.

    `rounds`: by leaving member, the round that must be confirmed before its leave is granted.
    `requested_at`: by leaving member, when its request was first received in this epoch.
    `granted_at`: by leaving member, when a grant was last sent to it.
    """

    def __init__(self, primary: Primary) -> None:
        """`primary`: the primary role of this member."""
        self.primary = primary
        self.rounds: dict[int, int] = {}
        self.requested_at: dict[int, float] = {}
        self.granted_at: dict[int, float] = {}

    def begin(self, leaving: frozenset[int]) -> None:
        """Begins an epoch. `leaving`: members that asked before it; their round needs no confirmation.

        The installation of the epoch already confirms its holders.
        """
        self.rounds = dict.fromkeys(leaving, 0)
        self.requested_at = {}
        self.granted_at = {}

    def followers_confirming(self, now: float, leaver: int) -> list[Follower]:
        """Returns the followers that are members and have confirmed a round since `leaver` asked to leave."""
        primary, replica = self.primary, self.primary.member.replica
        if leaver not in self.rounds:
            self.rounds[leaver] = primary.start_member_round(now)
            self.requested_at[leaver] = now
        return [
            follower
            for incarnation, follower in primary.followers.items()
            if incarnation != leaver
            and replica.has_member(incarnation)
            and follower.read_index_round >= self.rounds[leaver]
            and primary.supervision.heard_recently(now, follower)
        ]

    def required_members(self) -> int:
        """Returns how many members must stay: a majority, and at least t."""
        member = self.primary.member
        return max(majority(member.members), member.tolerated)

    def enough_members_stay(self, now: float) -> bool:
        """Whether the other members can form an epoch without this process."""
        supervision, own = self.primary.supervision, self.primary.member.replica.incarnation
        confirming = self.followers_confirming(now, own)
        return sum(supervision.is_eligible(now, each) for each in confirming) >= self.required_members()

    def all_members_leave(self, now: float) -> bool:
        """Whether all other members ask to leave too, so that waiting for a successor is useless."""
        primary, replica = self.primary, self.primary.member.replica
        others = [
            primary.followers.get(peer.incarnation)
            for peer in replica.epoch_config.members
            if peer.incarnation != replica.incarnation
        ]
        return all(
            each is not None and each.is_leaving and primary.supervision.heard_recently(now, each)
            for each in others
        )

    def grant_all(self, now: float) -> None:
        """Grants the leave of all followers that asked for it."""
        for follower in self.primary.followers.values():
            if follower.is_leaving:
                self.grant(now, follower)

    def tick(self, now: float) -> None:
        """Grants the leaves that may be granted, and sends unanswered grants again."""
        primary = self.primary
        if not primary.active:
            return
        resend_s = primary.member.timing.resend_interval_s
        for incarnation, follower in list(primary.followers.items()):
            if not follower.is_leaving or not primary.supervision.heard_recently(now, follower):
                self.rounds.pop(incarnation, None)
                continue
            is_member = primary.member.replica.has_member(incarnation)
            is_due = now - self.granted_at.get(incarnation, NEVER) >= resend_s
            if is_member and self.may_leave(now, incarnation) and is_due:
                self.grant(now, follower)

    def may_leave(self, now: float, leaver: int) -> bool:
        """Whether the other holders suffice without the leaver, and confirmed a round after its request."""
        confirmed = {each.incarnation for each in self.followers_confirming(now, leaver)}
        delay_s = self.primary.member.timing.leave_grant_delay_s
        if now < self.requested_at.get(leaver, NEVER) + delay_s:
            return False
        others = [each for each in self.primary.holders if each != leaver]
        return confirmed.issuperset(others) and 1 + len(others) >= self.required_members()

    def wake_at(self, ticked_at: float) -> float:
        """Returns the next time to check, soon after the last tick, while a request is not granted."""
        pending = any(leaver not in self.granted_at for leaver in self.rounds)
        return ticked_at + self.primary.member.timing.leave_grant_delay_s / 2 if pending else float("inf")

    def grant(self, now: float, follower: Follower) -> None:
        """Tells a member that it may leave."""
        self.granted_at[follower.incarnation] = now
        self.primary.member.send(follower.address, LeaveGranted(self.primary.epoch))
