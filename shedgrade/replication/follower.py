"""What a primary remembers of the other processes, and of the commands and reads that it has not answered."""

from __future__ import annotations

from typing import Any, NamedTuple

from shedgrade.replication.messages import Changes, LogPosition


class Follower:
    """What the primary knows of one other process. Times are seconds of the steady clock.

    `incarnation`, `name`, `address`: who it is, and where it was last heard.
    `last_heard_at`: when it last acknowledged a message, or asked to join and holds no state of this epoch.
    A new primary takes all as heard when it begins.
    `last_message_at`: when any message of it came; not reset by a new epoch.
    `known_since`: when it was first heard, at the earliest the beginning of the epoch.
    `read_index_round`: the newest round that it acknowledged without having promised a higher epoch.
    `acknowledged_round`: the newest round of this epoch that it acknowledged, whatever it has promised.
    `known_epoch`: the newest epoch whose configuration it has, active.
    `promised_epoch`: the epoch number that it promised last.
    `is_healthy`, `is_leaving`: its disk works; it asked for its leave.

    Of a holder, in this epoch (-1: nothing):
    `sent_sequence` >= `received_sequence` >= `durable_sequence`, of changes.
    `resend_at`: what it did not receive is sent again then.

    Of a process that holds nothing:
    `committed`: the committed state that it has in memory; `durable_position`: of the state on its disk.
    `catch_up_position`: the newest committed position sent, and `catch_up_due_at`: when it is sent again,
    after `catch_up_retries` attempts in vain. `is_catch_up_long`: that transfer is long, and under way.
    """

    __slots__ = (
        "incarnation",
        "name",
        "address",
        "last_heard_at",
        "last_message_at",
        "known_since",
        "read_index_round",
        "acknowledged_round",
        "known_epoch",
        "promised_epoch",
        "is_healthy",
        "is_leaving",
        "sent_sequence",
        "received_sequence",
        "durable_sequence",
        "resend_at",
        "committed",
        "durable_position",
        "catch_up_position",
        "catch_up_due_at",
        "catch_up_retries",
        "is_catch_up_long",
    )

    def __init__(self, incarnation: int, name: str, address: str, now: float) -> None:
        """A process of which nothing is known but that it is there."""
        self.incarnation = incarnation
        self.name = name
        self.address = address
        self.last_heard_at = now
        self.last_message_at = now
        self.known_since = now
        self.read_index_round = 0
        self.acknowledged_round = 0
        self.known_epoch = 0
        self.promised_epoch = 0
        self.is_healthy = True
        self.is_leaving = False
        self.sent_sequence = -1
        self.received_sequence = -1
        self.durable_sequence = -1
        self.resend_at = 0.0
        self.committed = LogPosition(0, 0)
        self.durable_position = LogPosition(0, 0)
        self.catch_up_position = LogPosition(0, 0)
        self.catch_up_due_at = 0.0
        self.catch_up_retries = 0
        self.is_catch_up_long = False

    def begin_epoch(self, now: float, is_leaving: bool) -> None:
        """Nothing of the epochs before counts."""
        self.known_since = now
        self.read_index_round = 0
        self.acknowledged_round = 0
        self.sent_sequence = -1
        self.received_sequence = -1
        self.durable_sequence = -1
        self.is_leaving = is_leaving

    def begin_as_holder(self, now: float, sequence: int) -> None:
        """It has synced the epoch, whose state stands at `sequence`."""
        self.last_heard_at = now
        self.sent_sequence = sequence
        self.received_sequence = sequence
        self.durable_sequence = sequence

    def lacks_writes(self) -> bool:
        """Whether something that was sent was not received."""
        return self.received_sequence < self.sent_sequence


class PendingReply:
    """A command or a read that waits for its change to be committed, or for a read-index round.

    It is answered once all changes up to `sequence` are committed and all holders have acknowledged the round
    `read_index_round`. `outcome`: of a command. `since`: when it began to wait.
    """

    __slots__ = ("ticket", "outcome", "sequence", "read_index_round", "is_read", "since")

    def __init__(
        self, ticket: int, outcome: Any, sequence: int, read_index_round: int, is_read: bool, since: float
    ) -> None:
        """`outcome` is None for a read."""
        self.ticket = ticket
        self.outcome = outcome
        self.sequence = sequence
        self.read_index_round = read_index_round
        self.is_read = is_read
        self.since = since


class QueuedCommand(NamedTuple):
    """A command that waits for room in the pipeline, or for the end of an election of this process."""

    since: float
    ticket: int
    request: object


class InFlightWrite(NamedTuple):
    """A change that is not committed. A holder that has not written it at `late_at` is unhealthy."""

    sequence: int
    changes: Changes
    late_at: float
