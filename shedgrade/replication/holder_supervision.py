"""Which holders a primary replaces, whom it takes in, and when it gives up its own place."""

from __future__ import annotations

from typing import TYPE_CHECKING

from shedgrade.replication.follower import Follower

if TYPE_CHECKING:
    from shedgrade.replication.primary import Primary


class HolderSupervision:
    """Health of the followers of one primary, and the epochs that it makes because of it. Has no state of its
    own.
    """

    def __init__(self, primary: Primary) -> None:
        """Of the primary's role of one member."""
        self.primary = primary
        self.member = primary.member

    def heard_recently(self, now: float, follower: Follower) -> bool:
        """Whether it was heard within `peer_timeout_s`."""
        return now - follower.last_heard_at < self.member.timing.peer_timeout_s

    def is_eligible(self, now: float, follower: Follower) -> bool:
        """Whether it could hold the state: heard, with a sound disk, and not about to leave."""
        return self.heard_recently(now, follower) and follower.is_healthy and not follower.is_leaving

    def may_join(self, now: float, follower: Follower) -> bool:
        """It has sent something lately, and is not the former incarnation of a machine that lost its disk."""
        is_recent = now - follower.last_message_at < self.member.timing.peer_timeout_s
        current = self.primary.current_incarnations.get(follower.address)
        return is_recent and current == follower.incarnation and self.is_eligible(now, follower)

    def is_unhealthy(self, now: float, follower: Follower) -> bool:
        """A holder that is not heard, has an unhealthy disk, or is late with a write."""
        if not self.heard_recently(now, follower) or not follower.is_healthy:
            return True
        return any(
            write.sequence > follower.durable_sequence and now >= write.late_at
            for write in self.primary.commands.in_flight
        )

    def members_heard(self, now: float) -> list[Follower]:
        """The other members that were heard lately."""
        replica = self.member.replica
        return [
            follower
            for incarnation, follower in self.primary.followers.items()
            if replica.has_member(incarnation) and self.heard_recently(now, follower)
        ]

    def has_majority(self, now: float) -> bool:
        """Whether a majority of the members was heard lately and has promised nothing higher."""
        epoch = self.primary.epoch
        loyal = sum(follower.promised_epoch <= epoch for follower in self.members_heard(now))
        return 1 + loyal > len(self.member.members) // 2

    def reconfigure_if_needed(self, now: float) -> None:
        """Replace unhealthy holders, take in newcomers, hand over when the own disk is unhealthy."""
        member, primary = self.member, self.primary
        if not member.disk_writer.is_healthy(now) and self.hand_over(now):
            return
        if now < member.reconfigure_at:
            return
        followers = primary.followers
        unhealthy = frozenset(each for each in primary.holders if self.is_unhealthy(now, followers[each]))
        leaving = frozenset(each for each in primary.holders if followers[each].is_leaving)
        replaced = unhealthy | leaving
        eligible = self.eligible_members(now, replaced)
        change = member.reconfiguration.change(now, primary, member.replica.epoch_config)
        if unhealthy and len(eligible) < len(primary.holders):  # one that leaves holds until another can
            replaced = unhealthy
            eligible += self.leaving_members(now, unhealthy)
        wanted = max(len(member.members) // 2, member.tolerated)  # beside this process
        can_replace = bool(replaced) and len(eligible) >= len(primary.holders)
        can_add = len(primary.holders) < wanted <= len(eligible)
        # a newcomer may become the holder that takes the place of one that leaves
        can_change_members = change is not None and not unhealthy
        if can_replace or can_add or can_change_members:
            member.reconfigure(now, change, replaced)

    def eligible_members(self, now: float, but: frozenset[int]) -> list[int]:
        """Other members that could hold the state."""
        return [
            incarnation
            for incarnation, follower in self.primary.followers.items()
            if incarnation not in but
            and self.member.replica.has_member(incarnation)
            and self.is_eligible(now, follower)
        ]

    def leaving_members(self, now: float, but: frozenset[int]) -> list[int]:
        """Other members that could hold the state, but for their leave."""
        return [
            incarnation
            for incarnation, follower in self.primary.followers.items()
            if incarnation not in but
            and self.member.replica.has_member(incarnation)
            and follower.is_leaving
            and follower.is_healthy
            and self.heard_recently(now, follower)
        ]

    def hand_over(self, now: float) -> bool:
        """To the holder that has most, or else to any member. Returns whether there is one."""
        member, primary = self.member, self.primary
        candidates = [
            follower
            for incarnation, follower in primary.followers.items()
            if self.is_eligible(now, follower) and member.replica.has_member(incarnation)
        ]
        if not candidates:
            return False
        successor = max(
            candidates,
            key=lambda each: (
                each.durable_sequence,
                each.incarnation in primary.holders,
                each.last_heard_at,
            ),
        )
        member.hand_over(now, successor.address)
        return True
