"""What a primary remembers of the other processes, and of the orders and reads that it has not answered."""

from __future__ import annotations

from shedgrade.replication.messages import LogPosition


class Follower:
    """What the primary knows of one other process."""

    __slots__ = (
        "incarnation",
        "name",
        "address",
        "last_heard_at",
        "read_index_round",
        "received_sequence",
        "durable_sequence",
        "committed",
        "known_epoch",
        "healthy",
        "leaving",
        "known_since",
        "sent_sequence",
        "resend_at",
        "catch_up_due_at",
        "catch_up_position",
        "catch_up_retries",
        "promised_epoch",
        "durable_position",
        "is_catch_up_long",
        "last_message_at",
    )

    def __init__(self, incarnation: int, name: str, address: str, now: float):
        self.incarnation, self.name, self.address = incarnation, name, address
        self.last_heard_at = self.known_since = self.last_message_at = (
            now  # a new primary takes all as heard when it begins
        )
        self.read_index_round, self.received_sequence, self.durable_sequence = 0, -1, -1
        self.committed, self.known_epoch = LogPosition(0, 0), 0
        self.durable_position = LogPosition(0, 0)  # the position of the state on its disk
        self.healthy, self.leaving, self.promised_epoch = True, False, 0
        self.sent_sequence = -1  # the newest sequence sent
        self.resend_at = self.catch_up_due_at = 0.0
        self.catch_up_position = LogPosition(0, 0)  # the newest committed position sent
        self.catch_up_retries = 0
        self.is_catch_up_long = False  # the newest committed state sent is long, and under way


class PendingReply:
    """An order or a read that waits for its change to be committed, or for a confirming round."""

    __slots__ = ("ticket", "outcome", "sequence", "read_index_round", "is_read", "since")

    def __init__(self, ticket, outcome, sequence, read_index_round, read, since):
        self.ticket, self.outcome, self.sequence, self.read_index_round = (
            ticket,
            outcome,
            sequence,
            read_index_round,
        )
        self.is_read, self.since = read, since
