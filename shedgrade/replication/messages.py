"""What members say to one another, and the config of an epoch. All are msgspec Structs. Their tags and the
order of their fields are what members of other versions read: a class or field may be renamed, a tag may not.

A position (epoch, sequence) names one change: the epoch that decided it and its place in the one chain. An
incarnation is the number that a process draws with an empty disk; 0 is a founder that was not heard yet."""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct


class LogPosition(NamedTuple):
    """One change: the epoch that decided it, and its number in the chain of changes."""

    epoch: int
    sequence: int


Changes = dict[str, bytes | None]


class Peer(Struct, frozen=True, array_like=True):
    """A process as the config of an epoch names it; `address` is its link address."""

    incarnation: int
    name: str
    address: str


class EpochConfig(Struct, frozen=True, array_like=True):
    """`holders` and `primary` are incarnations. Until it is known that all holders have it (`active`), a
    candidate needs a majority of `members` and one of `before`: another epoch may have been made from
    those."""

    number: int
    primary: int
    holders: tuple[int, ...]
    members: tuple[Peer, ...]
    before: tuple[Peer, ...]
    active: bool


class JoinRequest(Struct, frozen=True, tag="Hello", array_like=True):
    """A process that wants to join, or that lost sight of the primary."""

    incarnation: int
    name: str
    address: str
    founding: bool
    known_epoch: int
    committed: LogPosition


class PrimaryHint(Struct, frozen=True, tag="Whereabouts", array_like=True):
    """Answer to a hello by who is not the primary: what it knows."""

    primary: str | None
    epoch_config: EpochConfig


class PreVote(Struct, frozen=True, tag="PreVote", array_like=True):
    """Would you promise? Binds nobody."""

    incarnation: int
    number: int
    known_epoch: int
    accepted_epoch: int
    sequence: int


class PreVoteReply(Struct, frozen=True, tag="PreVoteReply", array_like=True):
    incarnation: int
    founding: bool
    number: int
    granted: bool
    promised_epoch: int
    primary: str | None
    epoch_config: EpochConfig | None


class Prepare(Struct, frozen=True, tag="Prepare", array_like=True):
    """Asks for a promise to accept nothing under `number` from now on."""

    incarnation: int
    number: int
    epoch_config: EpochConfig


class Promise(Struct, frozen=True, tag="Promise", array_like=True):
    """Synced before it is sent. `accepted_epoch` is the epoch as whose holder the sender has the state at
    `log_position`; `committed` is the committed state that it has in memory, a witness too."""

    incarnation: int
    address: str
    founding: bool
    number: int
    epoch_config: EpochConfig
    accepted_epoch: int
    log_position: LogPosition
    committed: LogPosition
    leaving: bool = False


class Refusal(Struct, frozen=True, tag="Refusal", array_like=True):
    """The sender has promised a higher number, or knows a newer epoch."""

    incarnation: int
    number: int
    promised_epoch: int
    epoch_config: EpochConfig


class Fetch(Struct, frozen=True, tag="Fetch", array_like=True):
    """A candidate asks for the state that a promise told of; it has those at the two positions."""

    number: int
    log_position: LogPosition
    committed: LogPosition


class Transfer(Struct, frozen=True, tag="Transfer", array_like=True):
    """With `base` the changes lead from there to `log_position`, else they are all of it."""

    number: int
    log_position: LogPosition
    base: LogPosition | None
    changes: Changes


class Install(Struct, frozen=True, tag="Install", array_like=True):
    """A new epoch for one of its holders. With `base` the changes lead from there to `log_position`, else
    they are all of it."""

    epoch_config: EpochConfig
    log_position: LogPosition
    base: LogPosition | None
    changes: Changes


class Installed(Struct, frozen=True, tag="Installed", array_like=True):
    incarnation: int
    number: int


class Replicate(Struct, frozen=True, tag="Replicate", array_like=True):
    """One write, from the primary to a backup."""

    epoch: int
    sequence: int
    committed: LogPosition
    changes: Changes


class CatchUp(Struct, frozen=True, tag="Learn", array_like=True):
    """Committed state for who holds none. With `base` the changes lead from there, and from each position of
    the chain between the two, to `log_position`, else they are all of it."""

    epoch: int
    log_position: LogPosition
    base: LogPosition | None
    changes: Changes


class Heartbeat(Struct, frozen=True, tag="Heartbeat", array_like=True):
    """`read_index_round` numbers the confirming rounds of the primary, 0 asks for no ack; the config goes
    with it to who lacks it. `confirmed_ago`: s since a majority of the members confirmed that the sender is
    the primary."""

    epoch: int
    read_index_round: int
    committed: LogPosition
    epoch_config: EpochConfig | None
    confirmed_ago: float = 0.0


class Ack(Struct, frozen=True, tag="Ack", array_like=True):
    """The answer to Heartbeat, Replicate and CatchUp. `received_sequence` and `durable_sequence` are
    sequences in this epoch, or -1. `durable_position`: the position of the state on the sender's disk, which
    may be none of the chain."""

    epoch: int
    incarnation: int
    name: str
    read_index_round: int
    received_sequence: int
    durable_sequence: int
    committed: LogPosition
    known_epoch: int
    promised_epoch: int
    healthy: bool
    leaving: bool
    durable_position: LogPosition = LogPosition(0, 0)


class HandOver(Struct, frozen=True, tag="HandOver", array_like=True):
    """The primary of `epoch` asks the receiver to take over."""

    epoch: int


class LeaveGranted(Struct, frozen=True, tag="LeaveGranted", array_like=True):
    """The primary of `epoch` can do without the receiver, which has asked for its leave."""

    epoch: int


class Chunk(Struct, frozen=True, tag="Piece", array_like=True):
    """Part `index` of `count` of a message that is too big to hold up the others behind it."""

    id: int
    index: int
    count: int
    body: bytes


class ChunkAck(Struct, frozen=True, tag="PieceAck", array_like=True):
    """`next`: the first piece that is still lacking."""

    id: int
    next: int


Message = (
    JoinRequest
    | PrimaryHint
    | PreVote
    | PreVoteReply
    | Prepare
    | Promise
    | Refusal
    | Fetch
    | Transfer
    | Install
    | Installed
    | Replicate
    | CatchUp
    | Heartbeat
    | Ack
    | HandOver
    | LeaveGranted
    | Chunk
    | ChunkAck
)


def size(changes: Changes) -> int:
    """Bytes of the values."""
    return sum(len(value) for value in changes.values() if value)
