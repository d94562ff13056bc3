"""Records of a primary: the other processes, and commands, reads and writes that are not completed."""

from __future__ import annotations

from typing import Any, NamedTuple

from shedgrade.replication.messages import Changes, LogPosition


class Follower:
    """The primary's record of one other process. Times are seconds of the steady clock.

    `incarnation`, `name`: identity of the process.
    `address`: link address from which it was last heard.
    `last_heard_at`: when it last acknowledged a message or, unless it is a holder, asked to join. A new
    primary counts all members as heard when its epoch begins.
    `last_message_at`: when any message from it last arrived; not reset by a new epoch.
    `known_since`: when it was first heard, but not before the epoch began.
    `read_index_round`: the newest round that it acknowledged without having promised a higher epoch.
    `acknowledged_round`: the newest round of this epoch that it acknowledged, whatever it has promised.
    `known_epoch`: the newest epoch that it knows to be active.
    `promised_epoch`: the epoch number that it promised last.
    `is_healthy`: whether its disk works.
    `is_leaving`: whether it has asked to leave.

    For a holder, sequence numbers of changes in this epoch (-1: none):
    `sent_sequence` >= `received_sequence` >= `durable_sequence`: last change sent, received and synced.
    `resend_at`: when changes that were not received are sent again.

    For a process that is not a holder:
    `committed`: position of the committed state that it has in memory.
    `durable_position`: position of the state on its disk.
    `catch_up_position`: the newest committed position sent to it.
    `catch_up_due_at`: when that is sent again, with backoff.
    `catch_up_retries`: number of retries so far without an acknowledgement.
    `is_catch_up_long`: whether the transfer is too long for a newer one to be sent before its ack.
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
        """A process of which only its identity and address are known."""
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
        """Resets all that belongs to an earlier epoch."""
        self.known_since = now
        self.read_index_round = 0
        self.acknowledged_round = 0
        self.sent_sequence = -1
        self.received_sequence = -1
        self.durable_sequence = -1
        self.is_leaving = is_leaving

    def begin_as_holder(self, now: float, sequence: int) -> None:
        """Records that this holder has synced the epoch, whose state is at `sequence`."""
        self.last_heard_at = now
        self.sent_sequence = sequence
        self.received_sequence = sequence
        self.durable_sequence = sequence

    def lacks_writes(self) -> bool:
        """Whether changes that were sent have not been received."""
        return self.received_sequence < self.sent_sequence


class PendingReply:
    """A command or read whose answer waits for a commit or for a read-index round.

    `sequence`, `read_index_round`: it is answered once all changes up to `sequence` are committed and all
    holders have acknowledged that round.
    `outcome`: the outcome of a command, None for a read.
    `since`: when it began to wait, in seconds of the steady clock.
    """

    __slots__ = ("ticket", "outcome", "sequence", "read_index_round", "is_read", "since")

    def __init__(
        self, ticket: int, outcome: Any, sequence: int, read_index_round: int, is_read: bool, since: float
    ) -> None:
        """`outcome`: None for a read."""
        self.ticket = ticket
        self.outcome = outcome
        self.sequence = sequence
        self.read_index_round = read_index_round
        self.is_read = is_read
        self.since = since


class QueuedCommand(NamedTuple):
    """A command that waits for room in the pipeline, or for the end of this process's own election."""

    since: float
    ticket: int
    request: object


class InFlightWrite(NamedTuple):
    """A change that is not committed. A holder that has not synced it by `late_at` counts as unhealthy."""

    sequence: int
    changes: Changes
    late_at: float
