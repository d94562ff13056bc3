"""The primary role: heartbeats and rounds, acknowledgements, catch-up of processes that are not holders."""

from __future__ import annotations

from typing import TYPE_CHECKING

from shedgrade.replication.command_pipeline import CommandPipeline
from shedgrade.replication.follower import Follower
from shedgrade.replication.graceful_leave import LeaveRequests
from shedgrade.replication.holder_supervision import HolderSupervision
from shedgrade.replication.majority_contact import MajorityContact
from shedgrade.replication.messages import (
    Ack,
    CatchUp,
    EpochConfig,
    Heartbeat,
    JoinRequest,
    LogPosition,
    value_bytes,
)

if TYPE_CHECKING:
    from shedgrade.replication.member import Member

MAX_PIPELINED_CATCH_UP_BYTES = 4096  # larger committed state waits for the ack of the previous one
MAX_CATCH_UP_BACKOFF = 4  # maximum number of times that the wait for an ack of committed state doubles
# A non-member is forgotten after this many join request intervals of silence: at the beginning of an epoch,
# and during it.
FORGET_INTERVALS_AT_EPOCH_START, FORGET_INTERVALS = 5, 8
NO_INCARNATIONS: frozenset[int] = frozenset()


class Primary:
    """The primary role of one member. Times are seconds of the steady clock.

    `active`: whether this process is the primary of `epoch`. While it is false no command is decided or
    answered and nothing is sent; all else is kept during an election of this process itself (`pause`).
    `epoch`: number of the epoch that this process led last, 0 before the first one. Invariant while active:
    this process accepted its state in `epoch`, and promised no higher epoch to another process.
    `holders`: incarnations of the other holders. Invariant while active: each is one of `followers`.
    `followers`: by incarnation, all processes heard, members and others; empty while another one leads.
    `current_incarnations`: by link address, the incarnation that was last heard there. A follower whose
    address maps to another incarnation has lost its disk.
    `commands`: commands, reads, and changes in flight.
    `leave_requests`: members that have asked to leave.
    `supervision`: health of the holders.
    `majority_contact`: when a majority last confirmed this primary.
    `read_index_round`: number of the newest round sent; increases across epochs.
    `heartbeat_due_at`: when the next heartbeat is sent to all followers.
    `majority_heard_at`: when the last check found that a majority of the members was heard recently.
    `epoch_began_at`: when this process became the primary of `epoch`.
    `has_enough_holders`: whether more than t members hold the state.
    `has_all_members`: whether the epoch has at least 2t + 1 members.
    `incomplete_since`: when this process became the primary, over all its consecutive epochs; None while
    another one leads.
    """

    def __init__(self, member: Member) -> None:
        """`member`: the member that may become the primary."""
        self.member = member
        self.active = False
        self.epoch = 0
        self.followers: dict[int, Follower] = {}
        self.holders: tuple[int, ...] = ()
        self.current_incarnations: dict[str, int] = {}
        self.commands = CommandPipeline(self)
        self.leave_requests = LeaveRequests(self)
        self.supervision = HolderSupervision(self)
        self.majority_contact = MajorityContact()
        self.read_index_round = 0
        self.heartbeat_due_at = 0.0
        self.majority_heard_at = 0.0
        self.epoch_began_at = 0.0
        self.has_enough_holders = False
        self.has_all_members = False
        self.incomplete_since: float | None = None

    # --- begin and end

    def begin_epoch(self, now: float, config: EpochConfig, leaving: frozenset[int] = NO_INCARNATIONS) -> None:
        """Becomes the primary once all holders have synced the epoch: the state that they hold is committed.

        `leaving`: members that asked to leave before the epoch.
        """
        member, replica = self.member, self.member.replica
        replica.adopt_epoch_config(now, config)
        self.active = True
        self.epoch = config.number
        self.holders = tuple(each for each in config.holders if each != replica.incarnation)
        if self.incomplete_since is None:
            self.incomplete_since = now
        self.has_enough_holders = len(config.holders) > member.tolerated
        self.has_all_members = len(config.members) > 2 * member.tolerated
        self.followers = self.followers_for_epoch(now, config)
        for incarnation, follower in self.followers.items():
            follower.begin_epoch(now, incarnation in leaving)
            if incarnation in self.holders:
                follower.begin_as_holder(now, replica.log_position.sequence)
        self.leave_requests.begin(leaving)
        self.commands.begin_epoch()
        self.majority_heard_at = now
        self.epoch_began_at = now
        self.majority_contact = MajorityContact(member.candidate.prepared_at)
        self.note_recent_join_requests(now)
        replica.commit(replica.log_position)
        member.became_primary(now)
        self.send_heartbeats(now)
        self.commands.answer(now)
        self.leave_requests.tick(now)
        change = member.reconfiguration.replacements_of_lost_disks(now, config)
        # members are replaced before commands are decided, whose writes would delay that
        if change is not None:
            member.reconfigure(now, change)
            return
        self.commands.advance_queue(now)

    def followers_for_epoch(self, now: float, config: EpochConfig) -> dict[int, Follower]:
        """Returns the members and the followers known before, without non-members silent for too long."""
        member = self.member
        members = {peer.incarnation: peer for peer in config.members}
        forget_after_s = FORGET_INTERVALS_AT_EPOCH_START * member.timing.join_request_interval_s
        followers = {
            incarnation: follower
            for incarnation, follower in self.followers.items()
            if incarnation in members or now - follower.last_heard_at < forget_after_s
        }
        for incarnation, peer in members.items():
            if incarnation != member.replica.incarnation and incarnation not in followers:
                new = Follower(incarnation, peer.name, peer.address, now)
                new.last_message_at = member.peers.last_message_at.get(
                    peer.address, member.incarnation_durable_at
                )
                followers[incarnation] = new
        return followers

    def note_recent_join_requests(self, now: float) -> None:
        """Adds processes that asked to join before this process was the primary as followers."""
        for request in self.member.reconfiguration.recent_join_requests(now):
            incarnation = request.incarnation
            if incarnation not in self.followers and incarnation != self.member.replica.incarnation:
                self.current_incarnations[request.address] = incarnation
                self.followers[incarnation] = Follower(incarnation, request.name, request.address, now)

    def pause(self) -> None:
        """Suspends the role during an election of this process; pending commands and reads are kept."""
        self.active = False

    def resign(self, now: float) -> None:
        """Gives up the role, since another primary decides now."""
        self.active = False
        self.followers = {}
        self.incomplete_since = None
        self.commands.abandon(now)

    def may_process_commands(self, now: float) -> bool:
        """Whether commands may be decided.

        The state is safe only with more than t holders. With fewer than 2t + 1 members, t losses may leave no
        majority, so newcomers get `incomplete_membership_timeout_s` to join before the first command.
        """
        if not self.active or not self.has_enough_holders or self.incomplete_since is None:
            return False
        timeout_s = self.member.timing.incomplete_membership_timeout_s
        return self.has_all_members or now - self.incomplete_since >= timeout_s

    # --- heartbeats and rounds

    def start_read_index_round(self, now: float) -> int:
        """Asks all holders to confirm a new round. Returns its number."""
        self.read_index_round += 1
        for incarnation in self.holders:
            self.send_heartbeat_to(now, self.followers[incarnation], self.read_index_round)
        return self.read_index_round

    def start_member_round(self, now: float) -> int:
        """Asks all members, including witnesses, to confirm a new round. Returns its number."""
        number = self.start_read_index_round(now)
        for incarnation, follower in self.followers.items():
            if incarnation not in self.holders and self.member.replica.has_member(incarnation):
                self.send_heartbeat_to(now, follower, number)
        return number

    def send_heartbeats(self, now: float) -> None:
        """Sends a heartbeat to all followers, and committed state to those that lack it."""
        timing = self.member.timing
        self.heartbeat_due_at = now + timing.heartbeat_interval_s
        self.read_index_round += 1
        self.majority_contact.record_round_sent(now, self.read_index_round)
        self.confirm(now)
        for incarnation, follower in list(self.followers.items()):
            silence_s = now - follower.last_heard_at
            is_member = self.member.replica.has_member(incarnation)
            if silence_s > FORGET_INTERVALS * timing.join_request_interval_s and not is_member:
                del self.followers[incarnation]
            elif not self.has_lost_disk(follower):
                self.send_heartbeat_to(now, follower, self.read_index_round)
                if incarnation not in self.holders:
                    self.send_catch_up(now, follower)

    def has_lost_disk(self, follower: Follower) -> bool:
        """Whether another incarnation has since been heard at the follower's address."""
        current = self.current_incarnations.get(follower.address, follower.incarnation)
        return current != follower.incarnation

    def send_heartbeat_to(self, now: float, follower: Follower, read_index_round: int) -> None:
        """Sends a heartbeat, with the epoch's configuration if the follower lacks it."""
        config = None if follower.known_epoch == self.epoch else self.member.replica.epoch_config
        self.send_heartbeat(now, follower, follower.address, read_index_round, config)

    def send_heartbeat(
        self, now: float, follower: Follower, address: str, read_index_round: int, config: EpochConfig | None
    ) -> None:
        """Sends a heartbeat to a follower at `address`. `read_index_round`: 0 requests no confirmation."""
        heartbeat = Heartbeat(
            self.epoch,
            read_index_round,
            self.member.replica.committed.position,
            config,
            now - self.majority_contact.confirmed_at,
            follower.acknowledged_round,
        )
        self.member.send(address, heartbeat)

    def confirm(self, now: float) -> None:
        """Updates as of when a majority of the members confirmed this primary."""
        members = self.member.members
        own = self.member.replica.incarnation
        others = [peer.incarnation for peer in members if peer.incarnation != own]
        self.member.confirm_up_to_date(self.majority_contact.confirm(now, others, len(members) // 2))

    # --- committed state

    def announce_committed(self, now: float) -> None:
        """Tells all followers of newly committed changes."""
        for incarnation, follower in self.followers.items():
            if incarnation in self.holders:
                self.send_heartbeat_to(now, follower, 0)
            elif not self.has_lost_disk(follower):
                self.send_catch_up(now, follower)

    def send_catch_up(self, now: float, follower: Follower) -> None:
        """Sends committed state to a follower that is not a holder, unless it was not heard recently.

        A long transfer is not restarted for a newer position: the later changes are sent once it ends.
        """
        replica, timing = self.member.replica, self.member.timing
        position = replica.committed.position
        if follower.committed >= position or now - follower.last_heard_at > timing.peer_timeout_s:
            return
        is_sent = follower.catch_up_position == position
        is_behind_transfer = follower.is_catch_up_long and follower.committed < follower.catch_up_position
        if now < follower.catch_up_due_at and (is_sent or is_behind_transfer):
            return
        newest_first = sorted((follower.committed, follower.durable_position), reverse=True)
        base, changes = replica.committed_changes_since(*newest_first)
        length = value_bytes(changes)
        wait_s = timing.resend_interval_s + length / timing.bytes_per_second
        follower.catch_up_retries = follower.catch_up_retries + 1 if is_sent else 0
        follower.catch_up_position = position
        follower.catch_up_due_at = now + wait_s * 2 ** min(follower.catch_up_retries, MAX_CATCH_UP_BACKOFF)
        follower.is_catch_up_long = length > MAX_PIPELINED_CATCH_UP_BYTES
        self.member.send(follower.address, CatchUp(self.epoch, position, base, changes))

    # --- messages of followers

    def on_ack(self, now: float, sender: str, ack: Ack) -> None:
        """Updates the record of a follower from its acknowledgement."""
        member = self.member
        member.highest_epoch_seen = max(member.highest_epoch_seen, ack.promised_epoch)
        follower = self.followers.get(ack.incarnation)
        if follower is None:
            follower = self.followers[ack.incarnation] = Follower(ack.incarnation, ack.name, sender, now)
        self.on_follower_heard(now, follower)
        self.update_address_and_position(now, follower, sender, ack.committed)
        follower.last_message_at = now
        follower.known_epoch = max(follower.known_epoch, ack.known_epoch)
        follower.durable_position = ack.durable_position
        follower.is_healthy = ack.is_healthy
        follower.is_leaving = ack.is_leaving
        follower.promised_epoch = ack.promised_epoch
        if self.active and ack.epoch == self.epoch:
            self.on_ack_of_epoch(now, follower, ack)

    def on_ack_of_epoch(self, now: float, follower: Follower, ack: Ack) -> None:
        """Counts rounds and writes acknowledged in the current epoch."""
        if ack.promised_epoch <= self.epoch:
            self.majority_contact.record_acknowledgement(ack.incarnation, ack.read_index_round)
            self.confirm(now)
        if ack.read_index_round > follower.acknowledged_round:
            is_first = not follower.acknowledged_round
            follower.acknowledged_round = ack.read_index_round
            # a follower can't tell the age of a heartbeat until it knows which of its acks has arrived
            if is_first:
                self.send_heartbeat_to(now, follower, 0)
        if ack.read_index_round > follower.read_index_round and ack.promised_epoch == self.epoch:
            follower.read_index_round = ack.read_index_round
            self.commands.answer(now)
        self.leave_requests.tick(now)
        if ack.incarnation not in self.holders:
            self.send_catch_up(now, follower)
        elif ack.promised_epoch == self.epoch:
            follower.received_sequence = max(follower.received_sequence, ack.received_sequence)
            if ack.durable_sequence > follower.durable_sequence:
                follower.durable_sequence = ack.durable_sequence
                self.commands.advance_commit(now)

    def on_join_request(self, now: float, request: JoinRequest) -> None:
        """Answers a process that is new or doesn't hear this primary with a heartbeat at once."""
        incarnation = request.incarnation
        follower = self.followers.get(incarnation)
        if follower is None:
            follower = Follower(incarnation, request.name, request.address, now)
            self.followers[incarnation] = follower
        self.update_address_and_position(now, follower, request.address, request.committed)
        follower.last_message_at = now
        if incarnation not in self.holders:
            self.on_follower_heard(now, follower)
        config = self.member.replica.epoch_config
        self.send_heartbeat(now, follower, request.address, self.read_index_round, config)

    def update_address_and_position(
        self, now: float, follower: Follower, address: str, committed: LogPosition
    ) -> None:
        """Updates the address of a follower and the committed position that it has.

        If it restarted or lost its disk it has nothing: transfers under way to it then begin at a position
        that it no longer has, and are cancelled.
        """
        previous = self.current_incarnations.get(address, follower.incarnation)
        has_lost_state = committed == (0, 0) < follower.committed
        if has_lost_state or previous != follower.incarnation:
            self.member.transport.chunking.cancel_catch_ups(now, address)
            follower.catch_up_due_at = now
        follower.address = address
        follower.committed = committed
        self.current_incarnations[address] = follower.incarnation

    def on_follower_heard(self, now: float, follower: Follower) -> None:
        """Records that the follower can receive messages."""
        if not self.supervision.heard_recently(now, follower):
            follower.catch_up_due_at = now  # a transfer begun before its silence may have been given up
        follower.last_heard_at = now

    # --- time

    def tick(self, now: float) -> None:
        """Sends heartbeats, resends writes, checks for a majority and supervises the holders."""
        if not self.active:
            return
        if now >= self.heartbeat_due_at:
            self.send_heartbeats(now)
        for incarnation in self.holders:
            follower = self.followers[incarnation]
            is_due = follower.lacks_writes() and now >= follower.resend_at
            if is_due and self.supervision.heard_recently(now, follower):
                self.commands.resend(now, follower)
        if self.has_lost_majority(now):
            # the link may have failed in one direction only: others must be able to take over
            self.member.step_down(now)
            return
        self.commands.advance_queue(now)
        self.leave_requests.tick(now)
        self.supervision.reconfigure_if_needed(now)

    def has_lost_majority(self, now: float) -> bool:
        """Whether no majority of the members was heard for `majority_timeout_s`."""
        timing = self.member.timing
        if 1 + len(self.supervision.members_heard_recently(now)) > len(self.member.members) // 2:
            self.majority_heard_at = now
            return False
        # a follower counts as heard for `peer_timeout_s` after its last message
        return now - self.majority_heard_at > timing.majority_timeout_s - timing.peer_timeout_s

    def wake_at(self, now: float) -> float:
        """Returns when `tick` is due next."""
        if not self.active:
            return float("inf")
        wake = min(
            self.heartbeat_due_at,
            self.leave_requests.wake_at(self.member.ticked_at),
            self.commands.wake_at(now),
        )
        if self.member.reconfigure_at > now:
            wake = min(wake, self.member.reconfigure_at)
        for incarnation in self.holders:
            follower = self.followers[incarnation]
            if follower.lacks_writes() and follower.resend_at > now:
                wake = min(wake, follower.resend_at)
            timeout_at = follower.last_heard_at + self.member.timing.peer_timeout_s
            wake = min(wake, timeout_at) if timeout_at > now else wake
        return wake

    def check_invariants(self) -> None:
        """Raises AssertionError if an attribute contradicts another."""
        if not self.active:
            return
        replica = self.member.replica
        assert replica.accepted_epoch == self.epoch, "leads an epoch whose state it doesn't hold"
        assert replica.epoch_config.number == self.epoch, "leads an epoch older than one that it knows"
        assert self.followers.keys() >= set(self.holders), "a holder without a follower record"
        assert replica.incarnation not in self.holders, "lists itself among the other holders"
        for incarnation in self.holders:
            follower = self.followers[incarnation]
            assert follower.durable_sequence <= replica.log_position.sequence, (
                "a durable write beyond the end of the log"
            )
        self.commands.check_invariants()
