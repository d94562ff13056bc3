"""What a primary remembers of the other processes, and of the orders and reads that it has not answered."""

from __future__ import annotations


class Follower:
    """What the primary knows of one other process."""

    __slots__ = (
        "incarnation",
        "name",
        "address",
        "heard",
        "round",
        "received",
        "durable",
        "finished",
        "record",
        "healthy",
        "leaving",
        "since",
        "sent_to",
        "resend_at",
        "learn_at",
        "learnt",
        "misses",
        "promised",
        "synced",
        "transfer",
        "spoke_at",
    )

    def __init__(self, incarnation: int, name: str, address: str, now: float):
        self.incarnation, self.name, self.address = incarnation, name, address
        self.heard = self.since = self.spoke_at = now  # a new primary takes all as heard when it begins
        self.round, self.received, self.durable = 0, -1, -1
        self.finished, self.record = (0, 0), 0
        self.synced = (0, 0)  # the position of the state on its disk
        self.healthy, self.leaving, self.promised = True, False, 0
        self.sent_to = -1  # the newest sequence sent
        self.resend_at = self.learn_at = 0.0
        self.learnt = (0, 0)  # the newest finished mark sent
        self.misses = 0
        self.transfer = False  # the newest finished state sent is long, and under way


class Pending:
    """An order or a read that waits for its change to be finished, or for a confirming round."""

    __slots__ = ("ticket", "outcome", "sequence", "round", "read", "since")

    def __init__(self, ticket, outcome, sequence, round_, read, since):
        self.ticket, self.outcome, self.sequence, self.round = ticket, outcome, sequence, round_
        self.read, self.since = read, since
