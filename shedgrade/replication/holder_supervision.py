"""Decides which holders a primary replaces, which processes join, and when it hands over its own role."""

from __future__ import annotations

from typing import TYPE_CHECKING

from shedgrade.replication.follower import Follower

if TYPE_CHECKING:
    from shedgrade.replication.primary import Primary


class HolderSupervision:
    """Health of the followers of one primary, and the epochs formed because of it. Stateless."""

    def __init__(self, primary: Primary) -> None:
        """`primary`: the primary role of this member."""
        self.primary = primary
        self.member = primary.member

    def heard_recently(self, now: float, follower: Follower) -> bool:
        """Whether the follower was heard within `peer_timeout_s`."""
        return now - follower.last_heard_at < self.member.timing.peer_timeout_s

    def is_eligible(self, now: float, follower: Follower) -> bool:
        """Whether the follower could hold the state: recently heard, with a healthy disk, and not leaving."""
        return self.heard_recently(now, follower) and follower.is_healthy and not follower.is_leaving

    def may_join(self, now: float, follower: Follower) -> bool:
        """Whether the follower could hold the state and has itself sent a message recently.

        False for the former incarnation of a machine that lost its disk.
        """
        is_recent = now - follower.last_message_at < self.member.timing.peer_timeout_s
        current = self.primary.current_incarnations.get(follower.address)
        return is_recent and current == follower.incarnation and self.is_eligible(now, follower)

    def is_unhealthy(self, now: float, follower: Follower) -> bool:
        """Whether a holder was not heard recently, has an unhealthy disk, or is late with a write."""
        if not self.heard_recently(now, follower) or not follower.is_healthy:
            return True
        return any(
            write.sequence > follower.durable_sequence and now >= write.late_at
            for write in self.primary.commands.in_flight
        )

    def members_heard_recently(self, now: float) -> list[Follower]:
        """Returns the other members that were heard recently."""
        replica = self.member.replica
        return [
            follower
            for incarnation, follower in self.primary.followers.items()
            if replica.has_member(incarnation) and self.heard_recently(now, follower)
        ]

    def has_majority(self, now: float) -> bool:
        """Whether a majority of the members was heard recently and has promised no higher epoch."""
        epoch = self.primary.epoch
        confirming = sum(follower.promised_epoch <= epoch for follower in self.members_heard_recently(now))
        return 1 + confirming > len(self.member.members) // 2

    def reconfigure_if_needed(self, now: float) -> None:
        """Replaces unhealthy holders, adds new ones, and hands over if this process's disk is unhealthy."""
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
        change = member.reconfiguration.next_change(now, primary, member.replica.epoch_config)
        # If too few members can replace all of them, only the unhealthy holders are replaced, and a leaving
        # member may hold the state.
        if unhealthy and len(eligible) < len(primary.holders):
            replaced = unhealthy
            eligible += self.leaving_members(now, unhealthy)
        required_holders = max(len(member.members) // 2, member.tolerated)  # without this process
        can_replace = bool(replaced) and len(eligible) >= len(primary.holders)
        can_add = len(primary.holders) < required_holders <= len(eligible)
        # a new member may replace a leaving holder
        can_change_members = change is not None and not unhealthy
        if can_replace or can_add or can_change_members:
            member.reconfigure(now, change, replaced)

    def eligible_members(self, now: float, excluded: frozenset[int]) -> list[int]:
        """Returns the other members that could hold the state."""
        return [
            incarnation
            for incarnation, follower in self.primary.followers.items()
            if incarnation not in excluded
            and self.member.replica.has_member(incarnation)
            and self.is_eligible(now, follower)
        ]

    def leaving_members(self, now: float, excluded: frozenset[int]) -> list[int]:
        """Returns the other members that could hold the state if they were not leaving."""
        return [
            incarnation
            for incarnation, follower in self.primary.followers.items()
            if incarnation not in excluded
            and self.member.replica.has_member(incarnation)
            and follower.is_leaving
            and follower.is_healthy
            and self.heard_recently(now, follower)
        ]

    def hand_over(self, now: float) -> bool:
        """Hands over to the most advanced holder, else to any eligible member. Returns whether one exists."""
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
