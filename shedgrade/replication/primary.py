"""The primary's part: decide, write to all holders of the epoch, confirm, tell what is committed."""

from __future__ import annotations

from collections import deque

from shedgrade.replication.effects import Answer, OutcomeUnknown, ReadResult, Unavailable
from shedgrade.replication.follower import Follower, PendingReply
from shedgrade.replication.graceful_leave import LeaveRequests
from shedgrade.replication.majority_contact import MajorityContact
from shedgrade.replication.messages import (
    Ack,
    CatchUp,
    Heartbeat,
    LogPosition,
    Replicate,
    size,
)
from shedgrade.replication.replica_state import merge

MAX_IN_FLIGHT_BYTES = 256 * 1024  # no further write is begun while those that are not committed have as many
MAX_PIPELINED_CATCH_UP_BYTES = 4096  # longer committed state waits for the ack of the one before


class Primary:
    """Answers nothing while `active` is false. Orders that wait for an end of an election stay in `queue`."""

    def __init__(self, member):
        self.member = member
        self.active = False
        self.epoch = 0
        self.followers: dict[int, Follower] = {}
        self.holders: tuple[int, ...] = ()  # the other ones
        self.pending_replies: deque[PendingReply] = deque()
        self.order_queue: deque[tuple[float, int, object]] = deque()
        self.in_flight_writes: deque[tuple[int, dict, float]] = (
            deque()
        )  # not committed: sequence, changes, late after
        self.read_index_round = 0
        self.heartbeat_due_at = self.majority_heard_at = self.epoch_began_at = 0.0
        self.has_enough_holders = self.has_all_members = False
        self.incomplete_since: float | None = None
        self.current_incarnations: dict[
            str, int
        ] = {}  # address -> the incarnation that spoke last from there
        self.own_durable_sequence = -1
        self.majority_contact = MajorityContact()
        self.leave_requests = LeaveRequests(self)

    # --- begin and end

    def begin(self, now: float, config, leaving: frozenset[int] = frozenset()) -> None:
        """All holders have synced the epoch: what they hold is committed. `leaving`: members that asked for
        their leave before."""
        member, replica = self.member, self.member.replica
        replica.adopt_epoch_config(now, config)
        self.active, self.epoch = True, config.number
        self.holders = tuple(each for each in config.holders if each != replica.incarnation)
        if self.incomplete_since is None:
            self.incomplete_since = now
        self.has_enough_holders = len(config.holders) > member.tolerated
        self.has_all_members = len(config.members) > 2 * member.tolerated
        members = {peer.incarnation: peer for peer in config.members}
        kept = {}
        for incarnation, old in self.followers.items():
            if incarnation in members or now - old.last_heard_at < 5 * member.timing.join_request_interval_s:
                kept[incarnation] = old
        for incarnation, peer in members.items():
            if incarnation != replica.incarnation and incarnation not in kept:
                kept[incarnation] = new = Follower(incarnation, peer.name, peer.address, now)
                new.last_message_at = member.heard_from.get(peer.address, member.incarnation_durable_at)
        for incarnation, follower in kept.items():
            follower.known_since, follower.read_index_round, follower.sent_sequence = now, 0, -1
            follower.leaving = incarnation in leaving
            follower.received_sequence = follower.durable_sequence = -1
            if incarnation in self.holders:
                follower.last_heard_at = now
                follower.sent_sequence = follower.received_sequence = follower.durable_sequence = (
                    replica.log_position.sequence
                )
        self.followers = kept
        self.leave_requests.begin(leaving)
        self.own_durable_sequence = replica.log_position.sequence
        self.in_flight_writes.clear()
        self.majority_heard_at = self.epoch_began_at = now
        self.majority_contact = MajorityContact(member.candidate.prepared_at)
        for request in member.reconfiguration.recent_join_requests(now):
            if request.incarnation not in kept and request.incarnation != replica.incarnation:
                self.current_incarnations[request.address] = request.incarnation
                self.followers[request.incarnation] = Follower(
                    request.incarnation, request.name, request.address, now
                )
        replica.commit(replica.log_position)
        member.became_primary(now)
        self.send_heartbeats(now)
        self.answer_pending(now)
        self.leave_requests.tick(now)
        change = member.reconfiguration.replacements_of_lost_disks(now, config)
        if change is not None:  # the repair goes before orders, whose writes would hold it up
            member.reconfigure(now, change, frozenset())
            return
        self.advance_queue(now)

    def pause(self) -> None:
        """An election of this process goes on; what is pending stays."""
        self.active = False

    def abandon(self, now: float) -> None:
        """Another decides now. What was written may be committed by it: the answers are unclear."""
        self.active = False
        self.in_flight_writes.clear()
        self.followers = {}
        self.incomplete_since = None
        pending, self.pending_replies = self.pending_replies, deque()
        for each in pending:
            self.member.pending_requests.add(
                now, each.ticket, None, shipped=not each.is_read, read=each.is_read
            )
        queue, self.order_queue = self.order_queue, deque()
        for _, ticket, request in queue:
            self.member.pending_requests.add(now, ticket, request)

    # --- orders

    def may_process_orders(self, now: float) -> bool:
        """Fewer holders than may be lost and one keep nothing safe. Of fewer members than 2t + 1 no
        majority may be left: newcomers get a while to join before the first answer."""
        return self.has_enough_holders and (
            self.has_all_members
            or now - self.incomplete_since >= self.member.timing.incomplete_membership_timeout_s
        )

    def order(self, now: float, ticket: int, request) -> None:
        self.order_queue.append((now, ticket, request))
        self.advance_queue(now)

    def read(self, now: float, ticket: int) -> None:
        self.pending_replies.append(
            PendingReply(
                ticket,
                None,
                self.member.replica.log_position.sequence,
                self.start_read_index_round(now),
                True,
                now,
            )
        )
        self.answer_pending(now)

    def start_read_index_round(self, now: float) -> int:
        self.read_index_round += 1
        for incarnation in self.holders:
            self.send_heartbeat_to(now, self.followers[incarnation], self.read_index_round)
        return self.read_index_round

    def start_member_round(self, now: float) -> int:
        """A round that witnesses are asked for, too."""
        read_index_round = self.start_read_index_round(now)
        for incarnation, follower in self.followers.items():
            if incarnation not in self.holders and self.member.replica.has_member(incarnation):
                self.send_heartbeat_to(now, follower, read_index_round)
        return read_index_round

    def advance_queue(self, now: float) -> None:
        member, replica = self.member, self.member.replica
        while self.active and self.may_process_orders(now) and self.order_queue and self.has_room():
            changes, state, replies = {}, replica.state, []
            while self.order_queue:
                _, ticket, request = self.order_queue.popleft()
                decision = member.decide(state, request)
                replies.append((ticket, decision))
                if decision.changes:
                    state = merge(state, decision.changes)
                    changes.update(decision.changes)
            self.write(now, changes, replies)
        self.answer_pending(now)

    def has_room(self) -> bool:
        """Orders behind long writes wait and become one write: a key that they all change is sent once."""
        return (
            len(self.in_flight_writes) < self.member.PIPELINE
            and sum(size(changes) for _, changes, _ in self.in_flight_writes) < MAX_IN_FLIGHT_BYTES
        )

    def write(self, now: float, changes, replies) -> None:
        replica = self.member.replica
        sequence = replica.log_position.sequence + (1 if changes else 0)
        asks = 0 if changes else self.start_read_index_round(now)
        for ticket, decision in replies:
            self.pending_replies.append(PendingReply(ticket, decision.outcome, sequence, asks, False, now))
        if not changes:
            return
        epoch = self.epoch
        late = now + self.member.timing.write_timeout_s + size(changes) / self.member.timing.bytes_per_second
        self.in_flight_writes.append((sequence, changes, late))
        replica.append(now, sequence, changes, lambda at: self.on_own_write_durable(at, epoch, sequence))
        for incarnation in self.holders:
            self.replicate(now, self.followers[incarnation], sequence, changes)

    def replicate(self, now: float, follower: Follower, sequence: int, changes) -> None:
        wait = self.member.timing.resend_interval_s + size(changes) / self.member.timing.bytes_per_second
        follower.sent_sequence = max(follower.sent_sequence, sequence)
        follower.resend_at = now + wait
        committed = self.member.replica.committed.position
        self.member.send(follower.address, Replicate(self.epoch, sequence, committed, changes))

    def on_own_write_durable(self, now: float, epoch: int, sequence: int) -> None:
        if self.active and epoch == self.epoch:
            self.own_durable_sequence = max(self.own_durable_sequence, sequence)
            self.advance_commit(now)

    def advance_commit(self, now: float) -> None:
        """What all holders have synced is committed."""
        done = min(
            [self.own_durable_sequence] + [self.followers[each].durable_sequence for each in self.holders]
        )
        moved = False
        while self.in_flight_writes and self.in_flight_writes[0][0] <= done:
            self.member.replica.commit(LogPosition(self.epoch, self.in_flight_writes.popleft()[0]))
            moved = True
        if moved:
            self.answer_pending(now)
            self.announce_committed(now)
            self.advance_queue(now)

    def answer_pending(self, now: float) -> None:
        """Answer what is committed, or confirmed."""
        if not self.active:
            return
        committed = (
            self.in_flight_writes[0][0] - 1
            if self.in_flight_writes
            else self.member.replica.log_position.sequence
        )
        confirmed = min(
            (self.followers[each].read_index_round for each in self.holders), default=self.read_index_round
        )
        while (
            self.pending_replies
            and self.pending_replies[0].sequence <= committed
            and self.pending_replies[0].read_index_round <= confirmed
        ):
            each = self.pending_replies.popleft()
            outcome = ReadResult(*self.member.replica.committed) if each.is_read else each.outcome
            self.member.effects.append(Answer(each.ticket, outcome))

    # --- others

    def send_heartbeats(self, now: float) -> None:
        """A heartbeat to all, and what is committed to who lacks it."""
        replica = self.member.replica
        self.heartbeat_due_at = now + self.member.timing.heartbeat_interval_s
        self.read_index_round += 1
        self.majority_contact.round_sent(now, self.read_index_round)
        self.confirm(now)
        for incarnation, follower in list(self.followers.items()):
            if (
                now - follower.last_heard_at > 8 * self.member.timing.join_request_interval_s
                and not replica.has_member(incarnation)
            ):
                del self.followers[incarnation]  # a guest that is gone
                continue
            if self.current_incarnations.get(follower.address, incarnation) != incarnation:
                continue  # its disk was lost: another incarnation is there
            self.send_heartbeat_to(now, follower, self.read_index_round)
            if incarnation not in self.holders:
                self.send_catch_up(now, follower)

    def send_heartbeat_to(self, now: float, follower: Follower, read_index_round: int) -> None:
        config = None if follower.known_epoch == self.epoch else self.member.replica.epoch_config
        self.send_heartbeat(now, follower.address, read_index_round, config)

    def send_heartbeat(self, now: float, address: str, read_index_round: int, config) -> None:
        self.member.send(
            address,
            Heartbeat(
                self.epoch,
                read_index_round,
                self.member.replica.committed.position,
                config,
                now - self.majority_contact.confirmed_at,
            ),
        )

    def confirm(self, now: float) -> None:
        """Whether a majority of the members follows this primary, and as of when."""
        members = self.member.replica.epoch_config.members
        others = [peer.incarnation for peer in members if peer.incarnation != self.member.replica.incarnation]
        self.member.confirm_up_to_date(self.majority_contact.confirm(now, others, len(members) // 2))

    def announce_committed(self, now: float) -> None:
        """What has just been committed."""
        for incarnation, follower in self.followers.items():
            if incarnation in self.holders:
                self.send_heartbeat_to(now, follower, 0)
            elif self.current_incarnations.get(follower.address, incarnation) == incarnation:
                self.send_catch_up(now, follower)

    def send_catch_up(self, now: float, follower: Follower) -> None:
        """Committed state to a follower that holds none; to a silent one nothing but heartbeats.

        A long transfer is not begun anew for a newer position: what changed since follows its end."""
        replica, timing = self.member.replica, self.member.timing
        position = replica.committed.position
        if follower.committed >= position or now - follower.last_heard_at > timing.peer_timeout_s:
            return
        if now < follower.catch_up_due_at and (
            follower.catch_up_position == position
            or (follower.is_catch_up_long and follower.committed < follower.catch_up_position)
        ):
            return
        newest_first = sorted((follower.committed, follower.durable_position), reverse=True)
        base, changes = replica.committed_changes_since(*newest_first)
        follower.catch_up_retries = (
            follower.catch_up_retries + 1 if follower.catch_up_position == position else 0
        )
        length = size(changes)
        wait = timing.resend_interval_s + length / timing.bytes_per_second
        follower.catch_up_position, follower.catch_up_due_at = (
            position,
            now + wait * 2 ** min(follower.catch_up_retries, 4),
        )
        follower.is_catch_up_long = length > MAX_PIPELINED_CATCH_UP_BYTES
        self.member.send(follower.address, CatchUp(self.epoch, position, base, changes))

    def on_ack(self, now: float, sender: str, ack: Ack) -> None:
        member = self.member
        member.highest_epoch_seen = max(member.highest_epoch_seen, ack.promised_epoch)
        follower = self.followers.get(ack.incarnation)
        if follower is None:
            follower = self.followers[ack.incarnation] = Follower(ack.incarnation, ack.name, sender, now)
        self.on_follower_heard(now, follower)
        self.update_location(now, follower, sender, ack.committed)
        follower.last_message_at = now
        follower.known_epoch = max(follower.known_epoch, ack.known_epoch)
        follower.durable_position = ack.durable_position
        follower.healthy, follower.leaving, follower.promised_epoch = (
            ack.healthy,
            ack.leaving,
            ack.promised_epoch,
        )
        if not self.active or ack.epoch != self.epoch:
            return
        if ack.promised_epoch <= self.epoch:
            self.majority_contact.round_acknowledged(ack.incarnation, ack.read_index_round)
            self.confirm(now)
        if ack.read_index_round > follower.read_index_round and ack.promised_epoch == self.epoch:
            follower.read_index_round = ack.read_index_round
            self.answer_pending(now)
        self.leave_requests.tick(now)
        if ack.incarnation in self.holders and ack.promised_epoch == self.epoch:
            follower.received_sequence = max(follower.received_sequence, ack.received_sequence)
            if ack.durable_sequence > follower.durable_sequence:
                follower.durable_sequence = ack.durable_sequence
                self.advance_commit(now)
        elif ack.incarnation not in self.holders:
            self.send_catch_up(now, follower)

    def on_join_request(self, now: float, request) -> None:
        """A process that doesn't hear this primary, or is new: told at once where it is."""
        who = request.incarnation
        follower = self.followers.get(who)
        if follower is None:
            follower = self.followers[who] = Follower(who, request.name, request.address, now)
        self.update_location(now, follower, request.address, request.committed)
        follower.last_message_at = now
        if request.incarnation not in self.holders:
            self.on_follower_heard(now, follower)
        self.send_heartbeat(now, request.address, self.read_index_round, self.member.replica.epoch_config)

    def update_location(self, now: float, follower: Follower, address: str, committed: LogPosition) -> None:
        """Where it is and what it knows: nothing, if it was started anew or lost its disk. What is on its way
        there then begins at a position that it no longer has."""
        before = self.current_incarnations.get(address, follower.incarnation)
        if committed == (0, 0) < follower.committed or before != follower.incarnation:
            self.member.chunking.cancel_state(now, address)
            follower.catch_up_due_at = now
        follower.address, follower.committed = address, committed
        self.current_incarnations[address] = follower.incarnation

    # --- time

    def expire_requests(self, now: float) -> None:
        """An order does not wait for ever."""
        hold = self.member.timing.request_timeout_s
        while self.order_queue and now - self.order_queue[0][0] >= 2 * hold:
            self.member.effects.append(Answer(self.order_queue.popleft()[1], Unavailable()))
        while self.pending_replies and now - self.pending_replies[0].since >= 3 * hold:
            each = self.pending_replies.popleft()
            self.member.effects.append(
                Answer(each.ticket, Unavailable() if each.is_read else OutcomeUnknown())
            )

    def on_follower_heard(self, now: float, follower: Follower) -> None:
        if not self.heard_recently(now, follower):
            follower.catch_up_due_at = now  # what was sent before its silence may have been given up
        follower.last_heard_at = now

    def heard_recently(self, now: float, follower: Follower) -> bool:
        return now - follower.last_heard_at < self.member.timing.peer_timeout_s

    def tick(self, now: float) -> None:
        if not self.active:
            return
        timing, replica, config = self.member.timing, self.member.replica, self.member.replica.epoch_config
        if now >= self.heartbeat_due_at:
            self.send_heartbeats(now)
        for incarnation in self.holders:
            follower = self.followers[incarnation]
            lacks = follower.received_sequence < follower.sent_sequence and now >= follower.resend_at
            if lacks and self.heard_recently(now, follower):
                for sequence, changes, _ in self.in_flight_writes:
                    if sequence > follower.received_sequence:
                        self.replicate(now, follower, sequence, changes)
        heard = 1 + sum(
            self.heard_recently(now, f) for i, f in self.followers.items() if replica.has_member(i)
        )
        if heard > len(config.members) // 2:
            self.majority_heard_at = now
        elif now - self.majority_heard_at > timing.majority_timeout_s - timing.peer_timeout_s:
            return self.member.step_down(
                now
            )  # cut off, perhaps one way: others must be eligible to take over
        self.advance_queue(now)
        self.leave_requests.tick(now)
        self.reconfigure_if_needed(now)

    def has_majority(self, now: float) -> bool:
        """Whether a majority of the members was heard lately and has promised nothing higher."""
        replica = self.member.replica
        heard = [
            f for i, f in self.followers.items() if replica.has_member(i) and self.heard_recently(now, f)
        ]
        return 1 + sum(f.promised_epoch <= self.epoch for f in heard) > len(replica.epoch_config.members) // 2

    def is_eligible(self, now: float, follower: Follower) -> bool:
        return self.heard_recently(now, follower) and follower.healthy and not follower.leaving

    def may_join(self, now: float, follower: Follower) -> bool:
        """It has spoken lately, and is not the former life of a machine whose disk was lost."""
        spoke = now - follower.last_message_at < self.member.timing.peer_timeout_s
        newest = self.current_incarnations.get(follower.address) == follower.incarnation
        return spoke and newest and self.is_eligible(now, follower)

    def is_unhealthy(self, now: float, follower: Follower) -> bool:
        """A holder that is silent, has an unhealthy disk, or is late with a write."""
        if not self.heard_recently(now, follower) or not follower.healthy:
            return True
        return any(
            sequence > follower.durable_sequence and now >= late
            for sequence, _, late in self.in_flight_writes
        )

    def reconfigure_if_needed(self, now: float) -> None:
        """Replace unhealthy holders, take in newcomers, hand over when the own disk is unhealthy."""
        member, replica = self.member, self.member.replica
        config = replica.epoch_config
        eligible = [
            each
            for each, follower in self.followers.items()
            if replica.has_member(each) and self.is_eligible(now, follower)
        ]
        unhealthy = frozenset(each for each in self.holders if self.is_unhealthy(now, self.followers[each]))
        leaving = frozenset(each for each in self.holders if self.followers[each].leaving)
        unwanted = unhealthy | leaving
        if not member.disk_writer.is_healthy(now) and self.hand_over(now):
            return
        if now < member.reconfigure_at:
            return
        wanted = max(len(config.members) // 2, member.tolerated)  # beside this process
        healthy = [each for each in eligible if each not in unwanted]
        change = member.reconfiguration.change(now, self, config)
        if unhealthy and len(healthy) < len(self.holders):  # one that leaves holds until another can
            unwanted = unhealthy
            healthy += [
                each
                for each, follower in self.followers.items()
                if replica.has_member(each)
                and each not in unhealthy
                and follower.leaving
                and follower.healthy
                and self.heard_recently(now, follower)
            ]
        # a newcomer may become the holder that takes the place of one that leaves
        if (
            (unwanted and len(healthy) >= len(self.holders))
            or (len(self.holders) < wanted <= len(healthy))
            or (change is not None and not unhealthy)
        ):
            member.reconfigure(now, change, unwanted)

    def hand_over(self, now: float) -> bool:
        """To the holder that has most, or else to any member."""
        member = self.member
        heard = [
            f for i, f in self.followers.items() if self.is_eligible(now, f) and member.replica.has_member(i)
        ]
        if not heard:
            return False
        heir = max(heard, key=lambda f: (f.durable_sequence, f.incarnation in self.holders, f.last_heard_at))
        member.hand_over(now, heir.address)
        return True

    def wake_at(self, now: float) -> float:
        if not self.active:
            return float("inf")
        wake = min(self.heartbeat_due_at, self.leave_requests.wake_at(self.member.ticked_at))
        if self.member.reconfigure_at > now:
            wake = min(wake, self.member.reconfigure_at)
        for _, _, late in self.in_flight_writes:
            wake = min(wake, late) if late > now else wake
        for incarnation in self.holders:
            follower = self.followers[incarnation]
            if follower.received_sequence < follower.sent_sequence and follower.resend_at > now:
                wake = min(wake, follower.resend_at)
            silent = follower.last_heard_at + self.member.timing.peer_timeout_s
            wake = min(wake, silent) if silent > now else wake
        return wake
