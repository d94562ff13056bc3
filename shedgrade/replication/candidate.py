"""The candidate role: pre-vote, own promise, prepare, fetch and install of a new epoch."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from shedgrade.replication.messages import (
    EpochConfig,
    Fetch,
    Install,
    Installed,
    LogPosition,
    Peer,
    Prepare,
    PreVote,
    PreVoteReply,
    Promise,
    Refusal,
    Transfer,
    value_bytes,
)
from shedgrade.replication.quorums import (
    Groups,
    MembershipChangeProtocol,
    activated,
    holder_count,
    is_quorum,
    majority,
    may_hold,
    newer_config,
    next_groups,
)
from shedgrade.replication.replica_state import ReplicatedState

if TYPE_CHECKING:
    from shedgrade.replication.member import Member

FETCH_EXTRA_S = 8.0  # added to the election time-out, for the transfer of a large state
NO_EPOCH = EpochConfig(0, 0, (), (), (), True)
NO_INCARNATIONS: frozenset[int] = frozenset()


class Phase(StrEnum):
    """Phase of an attempt; `IDLE` is falsy."""

    IDLE = ""
    PRE_VOTE = "prevote"  # asks whether others have lost the primary too; the epoch number isn't raised yet
    PROMISE = "promise"  # writes its own promise to disk
    PREPARE = "prepare"  # asks the others for promises
    FETCH = "fetch"  # fetches the newest state that a promise named
    INSTALL = "install"  # waits for the chosen holders to write the epoch


PHASES_AFTER_PROMISE = (Phase.PREPARE, Phase.FETCH, Phase.INSTALL)


class Voter(NamedTuple):
    """A process that granted a pre-vote. `address`: link address from which the grant came."""

    incarnation: int
    address: str
    founding: bool


class Candidate:
    """Campaigns for a new epoch, one attempt at a time. Times are seconds of the steady clock.

    The attributes describe the current attempt, or the last one while the phase is `IDLE`.

    `phase`: the phase of the attempt.
    `number`: the epoch number campaigned for; in `PRE_VOTE` the number that would be. Invariant: from
    `PROMISE` on this member's own promise is at least that high.
    `change`: a function from the members to the new members, None for no change.
    `avoid`: incarnations that should not become holders.
    `deadline`: when the attempt is abandoned.
    `resend_at`: when unanswered requests are sent again.

    In `PRE_VOTE`:
    `grants`: replies that granted the pre-vote, by incarnation, including its own.

    From `PREPARE` on:
    `promises`: promises by incarnation, including its own.
    `refusals`: incarnations that promised a higher number.
    `prepared_at`: when the first Prepare was sent.

    From `FETCH` on:
    `best_promise`: the promise whose state the new epoch continues from.
    `epoch_config`: the new epoch (number 0 before).

    In `INSTALL`:
    `installed_holders`: holders that have written the epoch.
    `install_resend_at`: by incarnation, when the epoch is sent again to the other holders.
    `replace_holders_at`: when holders that have not written the epoch are replaced.

    In `FETCH` and `INSTALL`:
    `keep_alive_at`: when the members are next told that the attempt is still active.
    """

    def __init__(self, member: Member) -> None:
        """`member`: the member that may become the primary."""
        self.member = member
        self.phase = Phase.IDLE
        self.number = 0
        self.change: MembershipChangeProtocol | None = None
        self.avoid = NO_INCARNATIONS
        self.grants: dict[int, PreVoteReply] = {}
        self.promises: dict[int, Promise] = {}
        self.refusals: set[int] = set()
        self.best_promise: Promise | None = None
        self.epoch_config = NO_EPOCH
        self.installed_holders: set[int] = set()
        self.install_resend_at: dict[int, float] = {}
        self.deadline = 0.0
        self.resend_at = 0.0
        self.prepared_at = 0.0
        self.replace_holders_at = 0.0
        self.keep_alive_at = 0.0

    # --- begin and end

    def pre_vote(self, now: float) -> None:
        """Asks whether others have lost the primary too.

        A member whose link fails in one direction must not raise the epoch number.
        """
        self.begin(now, Phase.PRE_VOTE)
        member, replica = self.member, self.member.replica
        own_grant = PreVoteReply(
            replica.incarnation, replica.founding, 0, True, replica.promised_epoch.number, None, None
        )
        self.grants = {replica.incarnation: own_grant}
        self.number = member.highest_epoch_seen + 1
        # random retry times separate two candidates that refuse each other
        self.deadline = now + 2 * member.timing.resend_interval_s
        self.request_pre_votes(now)

    def start(
        self,
        now: float,
        change: MembershipChangeProtocol | None = None,
        avoid: frozenset[int] = NO_INCARNATIONS,
    ) -> None:
        """Raises the epoch number and writes its own promise.

        `change`: a function from the members to the new members; `avoid`: incarnations that should not become
        holders.
        """
        self.begin(now, Phase.PROMISE)
        member, replica = self.member, self.member.replica
        self.change = change
        self.avoid = avoid
        known = max(member.highest_epoch_seen, replica.promised_epoch.number, replica.epoch_config.number)
        self.number = number = known + 1
        member.highest_epoch_seen = number
        # synced before others are asked, so that no number is used twice after a loss of power
        replica.promise_to(
            now, number, replica.incarnation, lambda at: self.on_own_promise_durable(at, number)
        )

    def begin(self, now: float, phase: Phase) -> None:
        """Resets all attributes for a new attempt."""
        self.phase = phase
        self.deadline = now + self.member.timing.election_timeout_s
        self.resend_at = now
        self.change = None
        self.avoid = NO_INCARNATIONS
        self.grants = {}
        self.promises = {}
        self.refusals = set()
        self.best_promise = None
        self.epoch_config = NO_EPOCH
        self.installed_holders = set()
        self.install_resend_at = {}

    def stop(self) -> None:
        """Ends the attempt."""
        self.phase = Phase.IDLE

    # --- pre-vote

    def is_in_pre_vote(self) -> bool:
        """Whether the attempt is still in the pre-vote."""
        return self.phase is Phase.PRE_VOTE

    def request_pre_votes(self, now: float) -> None:
        """Asks all voters that have not granted the pre-vote."""
        replica = self.member.replica
        self.resend_at = now + self.member.timing.resend_interval_s
        request = PreVote(
            replica.incarnation,
            self.number,
            replica.epoch_config.number,
            replica.accepted_epoch,
            replica.log_position.sequence,
        )
        self.member.broadcast(request, self.grants)

    def on_pre_vote_reply(self, now: float, sender: str, reply: PreVoteReply) -> None:
        """Counts a grant; with a quorum of grants the epoch number is raised."""
        member = self.member
        member.highest_epoch_seen = max(member.highest_epoch_seen, reply.promised_epoch)
        if reply.epoch_config is not None:
            member.replica.adopt_epoch_config(now, reply.epoch_config)
        if self.phase is not Phase.PRE_VOTE or reply.number != self.number:
            return
        if not reply.granted:
            if reply.primary and reply.primary != member.address:
                member.note_primary_hint(now, reply.primary)
            return
        self.grants[reply.incarnation] = reply
        voters = [
            Voter(each.incarnation, member.peers.address_of(each.incarnation, sender), each.founding)
            for each in self.grants.values()
        ]
        if is_quorum(member.replica.epoch_config, voters):
            self.start(now)

    # --- prepare

    def on_own_promise_durable(self, now: float, number: int) -> None:
        """Asks the others for promises, now that its own is synced."""
        replica = self.member.replica
        is_present = self.phase is Phase.PROMISE and number == self.number
        if not is_present or replica.promised_epoch != (number, replica.incarnation):
            return
        self.phase = Phase.PREPARE
        self.prepared_at = now
        # a candidate that receives no messages leaves the election to others
        self.deadline = now + self.member.timing.majority_timeout_s
        self.promises[replica.incarnation] = self.member.own_promise(number)
        self.request_promises(now)
        self.choose_epoch(now)

    def request_promises(self, now: float) -> None:
        """Asks all voters that have not promised."""
        self.resend_at = now + self.member.timing.resend_interval_s
        self.member.broadcast(self.own_prepare(), self.promises)

    def own_prepare(self) -> Prepare:
        """Returns the request for promises of this attempt."""
        replica = self.member.replica
        return Prepare(replica.incarnation, self.number, replica.epoch_config)

    def on_promise(self, now: float, sender: str, promise: Promise) -> None:
        """Counts a promise of a member to accept nothing of a lower epoch."""
        if self.phase not in PHASES_AFTER_PROMISE or promise.number != self.number:
            return
        self.promises[promise.incarnation] = promise
        if self.phase is Phase.PREPARE:
            self.choose_epoch(now)

    def on_refusal(self, now: float, refusal: Refusal) -> None:
        """Steps down if the refusal names a higher number, or if too few members are left for a quorum."""
        if self.phase not in PHASES_AFTER_PROMISE or refusal.number != self.number:
            return
        self.refusals.add(refusal.incarnation)
        members = self.member.replica.epoch_config.members
        remaining = sum(peer.incarnation not in self.refusals for peer in members)
        is_quorum_lost = self.phase is Phase.PREPARE and remaining < majority(members)
        if refusal.promised_epoch > self.number or is_quorum_lost:
            self.member.step_down(now)

    # --- the epoch that is made

    def choose_epoch(self, now: float) -> None:
        """With a quorum of promises, chooses the members, the holders and the state of the new epoch."""
        member, replica = self.member, self.member.replica
        promises = list(self.promises.values())
        base = replica.epoch_config
        for each in promises:
            base = newer_config(base, each.epoch_config)
        if not is_quorum(base, promises):
            return
        if self.change is None and base.active:
            self.change = member.reconfiguration.replacements_of_lost_disks(now, base)
        groups = self.member_groups(base, promises)
        eligible = [each for each in promises if may_hold(groups, each)]
        if not any(each.incarnation == replica.incarnation for each in eligible):
            member.step_down(now)  # this process is no longer a member
            return
        best = max(
            promises,
            key=lambda each: (
                each.accepted_epoch,
                each.log_position,
                each.incarnation == replica.incarnation,
            ),
        )
        holders = self.choose_holders(now, groups, eligible, best, len(base.members))
        if holders is not None:
            self.epoch_config = EpochConfig(self.number, replica.incarnation, holders, *groups, False)
            self.best_promise = best
            self.install_or_fetch(now, best)

    def choose_holders(
        self, now: float, groups: Groups, eligible: list[Promise], best: Promise, voter_count: int
    ) -> tuple[int, ...] | None:
        """Returns this process, then members not in `avoid`, then members whose state is as new as the best.

        Returns None if there are too few, or if a better one may still answer.
        """
        member, own = self.member, self.member.replica.incarnation
        needed = holder_count(groups, member.tolerated)
        avoid = self.avoid | self.leaving_voters()
        preferred = sum(each.incarnation not in avoid for each in eligible)
        has_waited = now - self.prepared_at >= member.timing.resend_interval_s
        if preferred < needed.target and not has_waited and len(self.promises) < voter_count:
            return None
        if len(eligible) < needed.minimum:
            return None
        eligible = sorted(
            eligible,
            key=lambda each: (
                each.incarnation != own,
                each.incarnation in avoid,
                each.log_position != best.log_position,
            ),
        )
        return tuple(each.incarnation for each in eligible[: needed.target])

    def install_or_fetch(self, now: float, best: Promise) -> None:
        """Installs the epoch with the state of the promise `best`, after fetching it if it is missing."""
        replica = self.member.replica
        if (best.accepted_epoch, best.log_position) == (replica.accepted_epoch, replica.log_position):
            self.install(now, replica.log_position, replica.state)
        elif best.log_position == replica.committed.position:  # a witness has this state in memory
            self.install(now, best.log_position, replica.committed.state)
        else:
            self.phase = Phase.FETCH
            self.deadline = now + self.member.timing.election_timeout_s + FETCH_EXTRA_S
            self.fetch(now, best)

    def leaving_voters(self) -> frozenset[int]:
        """Returns the voters other than this process that have asked to leave."""
        own = self.member.replica.incarnation
        return frozenset(
            incarnation
            for incarnation, each in self.promises.items()
            if each.is_leaving and incarnation != own
        )

    def member_groups(self, base: EpochConfig, promises: list[Promise]) -> Groups:
        """Returns the members of the new epoch and those before, with incarnations of founders filled in."""
        known = dict(self.member.peers.founders)
        known.update((each.address, each.incarnation) for each in promises if each.founding)
        members = tuple(
            peer if peer.incarnation else self.with_known_incarnation(peer, known) for peer in base.members
        )
        is_due = self.change is not None and base.number == self.change.number
        groups = next_groups(msgspec.structs.replace(base, members=members), self.change if is_due else None)
        return groups._replace(previous_members=base.members) if base.active else groups

    def with_known_incarnation(self, peer: Peer, known: dict[str, int]) -> Peer:
        """Returns the founder with its incarnation if it was heard: the same member, now with its number."""
        incarnation = known.get(peer.address, 0)
        return Peer(incarnation, self.member.peers.names.get(incarnation, peer.name), peer.address)

    # --- fetch and install

    def fetch(self, now: float, best: Promise) -> None:
        """Requests the state from the sender of the promise `best`, as a difference to the own state."""
        replica = self.member.replica
        self.resend_at = now + 4 * self.member.timing.resend_interval_s
        address = self.member.peers.address_of(best.incarnation, best.address)
        self.member.send(address, Fetch(self.number, replica.log_position, replica.committed.position))

    def on_transfer(self, now: float, sender: str, transfer: Transfer) -> None:
        """Installs the epoch with the fetched state."""
        best = self.best_promise
        if self.phase is not Phase.FETCH or transfer.number != self.number or best is None:
            return
        if transfer.log_position != best.log_position:
            return
        state = self.member.replica.apply_delta(transfer.base, transfer.changes)
        if state is not None:
            self.install(now, transfer.log_position, state)

    def install(self, now: float, position: LogPosition, state: ReplicatedState) -> None:
        """Writes the epoch and sends it to the other holders."""
        member, replica, number = self.member, self.member.replica, self.number
        timing = member.timing
        transfer_s = value_bytes(state) / timing.bytes_per_second
        self.phase = Phase.INSTALL
        self.resend_at = now + timing.resend_interval_s
        self.deadline = now + timing.election_timeout_s + transfer_s
        self.replace_holders_at = now + timing.peer_timeout_s + transfer_s
        self.keep_alive_at = now + timing.heartbeat_interval_s
        is_own_state = position == replica.log_position
        if not is_own_state:
            # the commands that this process decided are not in the log that the epoch continues
            member.primary_role.resign(now)
        replica.install_epoch(
            now,
            self.epoch_config,
            position,
            state,
            {} if is_own_state else None,
            lambda at: self.note_installed(at, replica.incarnation, number),
        )
        for incarnation in self.epoch_config.holders:
            if incarnation != replica.incarnation:
                self.send_install(now, incarnation)

    def send_install(self, now: float, incarnation: int) -> None:
        """Sends the epoch to a holder, as a difference to the state that its promise named."""
        member, replica, promise = self.member, self.member.replica, self.promises[incarnation]
        # a witness has the committed state in memory
        base, changes = replica.changes_since(promise.log_position, promise.committed)
        wait_s = max(member.timing.resend_interval_s, value_bytes(changes) / member.timing.bytes_per_second)
        is_resent = incarnation in self.install_resend_at
        self.install_resend_at[incarnation] = now + wait_s * (2 if is_resent else 1)
        address = member.peers.address_of(incarnation, promise.address)
        member.send(address, Install(self.epoch_config, replica.log_position, base, changes))

    def on_installed(self, now: float, sender: str, installed: Installed) -> None:
        """Records that a holder has written the epoch."""
        self.note_installed(now, installed.incarnation, installed.number)

    def note_installed(self, now: float, incarnation: int, number: int) -> None:
        """Once all holders have written the epoch, makes it active and this process its primary."""
        if self.phase is not Phase.INSTALL or number != self.number:
            return
        self.installed_holders.add(incarnation)
        if self.installed_holders.issuperset(self.epoch_config.holders):
            self.stop()
            self.member.primary_role.begin_epoch(now, activated(self.epoch_config), self.leaving_voters())

    # --- time

    def tick(self, now: float) -> None:
        """Resends requests, replaces holders or abandons the attempt, as the time requires."""
        if not self.phase:
            return
        if now >= self.deadline:
            self.give_up(now)
        elif self.phase is Phase.INSTALL:
            self.resend_installs(now)
            self.keep_alive(now)
            self.replace_late_holders(now)
        elif now >= self.resend_at:
            self.resend_requests(now)

    def give_up(self, now: float) -> None:
        """Abandons an attempt that took too long."""
        if self.phase is Phase.PRE_VOTE:
            self.stop()
        else:
            self.member.step_down(now)

    def resend_requests(self, now: float) -> None:
        """Resends the unanswered requests of the phases before `INSTALL`."""
        if self.phase is Phase.PRE_VOTE:
            self.request_pre_votes(now)
        elif self.phase is Phase.PREPARE:
            self.choose_epoch(now)
            if self.phase is Phase.PREPARE:
                self.request_promises(now)
        elif self.phase is Phase.FETCH and self.best_promise is not None:
            self.fetch(now, self.best_promise)
            self.keep_alive(now)

    def resend_installs(self, now: float) -> None:
        """Resends the epoch to holders that have not confirmed that they wrote it."""
        for incarnation in self.epoch_config.holders:
            resend_at = self.install_resend_at.get(incarnation)
            is_due = resend_at is not None and now >= resend_at
            if is_due and incarnation not in self.installed_holders:
                self.send_install(now, incarnation)

    def keep_alive(self, now: float) -> None:
        """Tells the members that a long transfer is still active, so that no other one campaigns."""
        if now >= self.keep_alive_at:
            self.keep_alive_at = now + self.member.timing.heartbeat_interval_s
            self.member.broadcast(self.own_prepare(), ())

    def replace_late_holders(self, now: float) -> None:
        """Restarts with other holders if a chosen one doesn't write the epoch and enough others promised."""
        holders = self.epoch_config.holders
        late = frozenset(incarnation for incarnation in holders if incarnation not in self.installed_holders)
        if now < self.replace_holders_at or not late:
            return
        others = [
            incarnation
            for incarnation in self.promises
            if incarnation not in holders and incarnation not in self.avoid
        ]
        if len(others) >= len(late - self.avoid) > 0 and self.member.replica.incarnation not in late:
            self.start(now, self.change, self.avoid | late)

    def wake_at(self) -> float:
        """Returns when `tick` is due next."""
        if not self.phase:
            return float("inf")
        if self.phase is Phase.INSTALL:
            late = [
                at
                for incarnation, at in self.install_resend_at.items()
                if incarnation not in self.installed_holders
            ]
            return min([self.deadline, self.keep_alive_at, *late])
        return self.deadline if self.phase is Phase.PROMISE else min(self.deadline, self.resend_at)

    def check_invariants(self) -> None:
        """Raises AssertionError if an attribute contradicts another."""
        replica = self.member.replica
        if self.phase not in (Phase.IDLE, Phase.PRE_VOTE):
            assert self.number <= replica.promised_epoch.number, "campaigns without its own promise"
        if self.phase in PHASES_AFTER_PROMISE:
            assert replica.incarnation in self.promises, "requests promises without its own"
        if self.phase in (Phase.FETCH, Phase.INSTALL):
            assert self.best_promise is not None, "an epoch without a state to continue from"
            assert self.epoch_config.number == self.number, "installs another epoch than it campaigns for"
            assert replica.incarnation in self.epoch_config.holders, (
                "a candidate that is not a holder of its epoch"
            )
        if self.phase is Phase.INSTALL:
            assert self.installed_holders <= set(self.epoch_config.holders), (
                "installed by a process that is not a holder"
            )
