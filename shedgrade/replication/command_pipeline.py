"""The primary's pipeline of commands and reads: decide, write to all holders, commit, answer."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from shedgrade.replication.effects import Answer, Decision, OutcomeUnknown, ReadResult, Unavailable
from shedgrade.replication.follower import Follower, InFlightWrite, PendingReply, QueuedCommand
from shedgrade.replication.messages import Changes, LogPosition, Replicate, value_bytes
from shedgrade.replication.replica_state import merge

if TYPE_CHECKING:
    from shedgrade.replication.primary import Primary

MAX_IN_FLIGHT_BYTES = 256 * 1024  # no further write begins while uncommitted ones have this size
QUEUE_TIMEOUT_FACTOR = 2  # maximum time of a command in the queue, in multiples of `request_timeout_s`
REPLY_TIMEOUT_FACTOR = 3  # maximum time of a decided command or a read, in multiples of `request_timeout_s`


class DecidedCommand(NamedTuple):
    """A command and the result of `decide` for it."""

    ticket: int
    decision: Decision


class CommandPipeline:
    """Commands and reads of one primary. Nothing is decided or answered while the primary is not active.

    `queue`: commands that wait for room, or for the end of an election of this process; oldest first.
    `in_flight`: changes of this epoch that are not committed. Invariant while the primary is active: their
    sequence numbers are consecutive and end at the log position.
    `replies`: decided commands and reads that wait for an answer, in the order of their sequence numbers and
    rounds.
    `own_durable_sequence`: the newest change of this epoch on this process's disk.
    """

    def __init__(self, primary: Primary) -> None:
        """`primary`: the primary role of this member."""
        self.primary = primary
        self.member = primary.member
        self.queue: deque[QueuedCommand] = deque()
        self.in_flight: deque[InFlightWrite] = deque()
        self.replies: deque[PendingReply] = deque()
        self.own_durable_sequence = -1

    def begin_epoch(self) -> None:
        """Resets the pipeline for a new epoch, in which the log as it stands is committed."""
        self.own_durable_sequence = self.member.replica.log_position.sequence
        self.in_flight.clear()

    def abandon(self, now: float) -> None:
        """Moves commands and reads to the pending requests, since another primary decides now.

        It may commit writes made here, so the outcome of decided commands is unknown.
        """
        self.in_flight.clear()
        replies, self.replies = self.replies, deque()
        queue, self.queue = self.queue, deque()
        pending = self.member.pending_requests
        for reply in replies:
            pending.add(now, reply.ticket, None, was_replicated=not reply.is_read, is_read=reply.is_read)
        for command in queue:
            pending.add(now, command.ticket, command.request)

    # --- commands and reads

    def submit(self, now: float, ticket: int, request: object) -> None:
        """Queues a command, which is decided as soon as there is room."""
        self.queue.append(QueuedCommand(now, ticket, request))
        self.advance_queue(now)

    def read(self, now: float, ticket: int) -> None:
        """Answers with the committed state once all holders confirm a round that begins now."""
        sequence = self.member.replica.log_position.sequence
        read_index_round = self.primary.start_read_index_round(now)
        self.replies.append(PendingReply(ticket, None, sequence, read_index_round, True, now))
        self.answer(now)

    def advance_queue(self, now: float) -> None:
        """Decides all commands in the queue as one write, while there is room."""
        member, replica = self.member, self.member.replica
        while self.primary.may_process_commands(now) and self.queue and self.has_room():
            changes: Changes = {}
            state = replica.state
            decided: list[DecidedCommand] = []
            while self.queue:
                command = self.queue.popleft()
                decision = member.decide(state, command.request)
                decided.append(DecidedCommand(command.ticket, decision))
                if decision.changes:
                    state = merge(state, decision.changes)
                    changes.update(decision.changes)
            self.write(now, changes, decided)
        self.answer(now)

    def has_room(self) -> bool:
        """Whether a further write may begin.

        Commands queued behind long writes become one write, so a key that they all change is sent once.
        """
        if len(self.in_flight) >= self.member.MAX_WRITES_IN_FLIGHT:
            return False
        return sum(value_bytes(write.changes) for write in self.in_flight) < MAX_IN_FLIGHT_BYTES

    def write(self, now: float, changes: Changes, decided: list[DecidedCommand]) -> None:
        """Appends the changes, and queues the answers until they are committed.

        Without changes the answers wait until a round confirms that the commands were decided on the newest
        state.
        """
        member, replica = self.member, self.member.replica
        sequence = replica.log_position.sequence + (1 if changes else 0)
        read_index_round = 0 if changes else self.primary.start_read_index_round(now)
        for ticket, decision in decided:
            self.replies.append(
                PendingReply(ticket, decision.outcome, sequence, read_index_round, False, now)
            )
        if not changes:
            return
        epoch = self.primary.epoch
        timing = member.timing
        late_at = now + timing.write_timeout_s + value_bytes(changes) / timing.bytes_per_second
        self.in_flight.append(InFlightWrite(sequence, changes, late_at))
        replica.append(now, sequence, changes, lambda at: self.on_own_write_durable(at, epoch, sequence))
        for incarnation in self.primary.holders:
            self.replicate(now, self.primary.followers[incarnation], sequence, changes)

    # --- replication and commit

    def replicate(self, now: float, follower: Follower, sequence: int, changes: Changes) -> None:
        """Sends one change to a holder."""
        timing = self.member.timing
        follower.sent_sequence = max(follower.sent_sequence, sequence)
        follower.resend_at = now + (timing.resend_interval_s + value_bytes(changes) / timing.bytes_per_second)
        committed = self.member.replica.committed.position
        self.member.send(follower.address, Replicate(self.primary.epoch, sequence, committed, changes))

    def resend(self, now: float, follower: Follower) -> None:
        """Sends again all changes that the holder has not received."""
        for write in self.in_flight:
            if write.sequence > follower.received_sequence:
                self.replicate(now, follower, write.sequence, write.changes)

    def on_own_write_durable(self, now: float, epoch: int, sequence: int) -> None:
        """Records that a change is on this process's disk."""
        if self.primary.active and epoch == self.primary.epoch:
            self.own_durable_sequence = max(self.own_durable_sequence, sequence)
            self.advance_commit(now)

    def advance_commit(self, now: float) -> None:
        """Commits the changes that all holders have synced."""
        primary = self.primary
        durable = [primary.followers[each].durable_sequence for each in primary.holders]
        committed_sequence = min([self.own_durable_sequence, *durable])
        has_advanced = False
        while self.in_flight and self.in_flight[0].sequence <= committed_sequence:
            write = self.in_flight.popleft()
            self.member.replica.commit(LogPosition(primary.epoch, write.sequence))
            has_advanced = True
        if has_advanced:
            self.answer(now)
            primary.announce_committed(now)
            self.advance_queue(now)

    # --- answers

    def answer(self, now: float) -> None:
        """Answers commands and reads that are committed and confirmed by a round."""
        primary, replica = self.primary, self.member.replica
        if not primary.active:
            return
        committed = self.in_flight[0].sequence - 1 if self.in_flight else replica.log_position.sequence
        confirmed = min(
            (primary.followers[each].read_index_round for each in primary.holders),
            default=primary.read_index_round,
        )
        while self.replies:
            reply = self.replies[0]
            if reply.sequence > committed or reply.read_index_round > confirmed:
                break
            self.replies.popleft()
            outcome = ReadResult(*replica.committed) if reply.is_read else reply.outcome
            self.member.effects.append(Answer(reply.ticket, outcome))

    def expire(self, now: float) -> None:
        """Answers commands and reads that have waited too long."""
        timeout_s = self.member.timing.request_timeout_s
        while self.queue and now - self.queue[0].since >= QUEUE_TIMEOUT_FACTOR * timeout_s:
            self.member.effects.append(Answer(self.queue.popleft().ticket, Unavailable()))
        while self.replies and now - self.replies[0].since >= REPLY_TIMEOUT_FACTOR * timeout_s:
            reply = self.replies.popleft()
            outcome = Unavailable() if reply.is_read else OutcomeUnknown()
            self.member.effects.append(Answer(reply.ticket, outcome))

    # --- time

    def wake_at(self, now: float) -> float:
        """Returns when the next write in flight becomes late."""
        return min((write.late_at for write in self.in_flight if write.late_at > now), default=float("inf"))

    def queue_wake_at(self) -> float:
        """Returns when the oldest command in the queue expires."""
        if not self.queue:
            return float("inf")
        return self.queue[0].since + QUEUE_TIMEOUT_FACTOR * self.member.timing.request_timeout_s

    def check_invariants(self) -> None:
        """Raises AssertionError if an attribute contradicts another."""
        if not self.primary.active or not self.in_flight:
            return
        sequences = [write.sequence for write in self.in_flight]
        last = self.member.replica.log_position.sequence
        assert sequences == list(range(last - len(sequences) + 1, last + 1)), "a gap in the writes in flight"
        assert len(sequences) <= self.member.MAX_WRITES_IN_FLIGHT, "too many writes in flight"
