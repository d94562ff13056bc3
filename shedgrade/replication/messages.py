"""What members send to one another, and the configuration of an epoch. All are msgspec Structs.

Their tags and the order of their fields are what members of other versions read: a class or field may be
renamed, a tag may not, and new fields come last, with a default. `number` of a message is the epoch number
that a candidate tries for; `epoch` is that of an epoch that exists.

An incarnation is the number that a process draws with an empty disk; 0 stands for a founder that was not
heard yet. Addresses are link addresses.
"""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct

Changes = dict[str, bytes | None]  # new values by key; None: the key is removed


class LogPosition(NamedTuple):
    """One change: the epoch that decided it, and its number in the log of changes, which goes on over
    epochs.
    """

    epoch: int
    sequence: int


class Peer(Struct, frozen=True, array_like=True):
    """A process as the configuration of an epoch names it."""

    incarnation: int
    name: str
    address: str


class EpochConfig(Struct, frozen=True, array_like=True):
    """Who is what in an epoch. `holders` and `primary` are incarnations.

    Until it is known that all holders have it (`active`), a candidate needs a majority of `members` and one
    of `before`: another epoch may have been made from those.
    """

    number: int
    primary: int
    holders: tuple[int, ...]
    members: tuple[Peer, ...]
    before: tuple[Peer, ...]
    active: bool


class JoinRequest(Struct, frozen=True, tag="Hello", array_like=True):
    """A process that wants to join, or that lost sight of the primary.

    `known_epoch`: the newest epoch that it knows; `committed`: the committed state that it has in memory.
    """

    incarnation: int
    name: str
    address: str
    founding: bool
    known_epoch: int
    committed: LogPosition


class PrimaryHint(Struct, frozen=True, tag="Whereabouts", array_like=True):
    """Answer to a join request by who is not the primary: what it knows. `primary`: only if it is heard."""

    primary: str | None
    epoch_config: EpochConfig


class PreVote(Struct, frozen=True, tag="PreVote", array_like=True):
    """Would you promise the epoch `number`? Binds nobody.

    `known_epoch`: the newest epoch that the sender knows; `accepted_epoch` and `sequence`: of its state.
    """

    incarnation: int
    number: int
    known_epoch: int
    accepted_epoch: int
    sequence: int


class PreVoteReply(Struct, frozen=True, tag="PreVoteReply", array_like=True):
    """`promised_epoch`: the highest epoch promised or seen. `primary`: where the sender hears one.
    `epoch_config`: if it is newer than what the asker knows.
    """

    incarnation: int
    founding: bool
    number: int
    granted: bool
    promised_epoch: int
    primary: str | None
    epoch_config: EpochConfig | None


class Prepare(Struct, frozen=True, tag="Prepare", array_like=True):
    """Asks for a promise to accept nothing under `number` from now on. `epoch_config`: the newest known."""

    incarnation: int
    number: int
    epoch_config: EpochConfig


class Promise(Struct, frozen=True, tag="Promise", array_like=True):
    """Synced before it is sent.

    `accepted_epoch` is the epoch as whose holder the sender has the state at `log_position`; `committed` is
    the committed state that it has in memory, a witness too.
    """

    incarnation: int
    address: str
    founding: bool
    number: int
    epoch_config: EpochConfig
    accepted_epoch: int
    log_position: LogPosition
    committed: LogPosition
    is_leaving: bool = False


class Refusal(Struct, frozen=True, tag="Refusal", array_like=True):
    """The sender has promised a higher epoch than `number`, or knows a newer one."""

    incarnation: int
    number: int
    promised_epoch: int
    epoch_config: EpochConfig


class Fetch(Struct, frozen=True, tag="Fetch", array_like=True):
    """A candidate asks for the state that a promise named; it has those at the two positions."""

    number: int
    log_position: LogPosition
    committed: LogPosition


class Transfer(Struct, frozen=True, tag="Transfer", array_like=True):
    """The answer. With `base` the changes lead from there to `log_position`, else they are all of it."""

    number: int
    log_position: LogPosition
    base: LogPosition | None
    changes: Changes


class Install(Struct, frozen=True, tag="Install", array_like=True):
    """A new epoch for one of its holders. With `base` the changes lead from there to `log_position`, else
    they are all of it.
    """

    epoch_config: EpochConfig
    log_position: LogPosition
    base: LogPosition | None
    changes: Changes


class Installed(Struct, frozen=True, tag="Installed", array_like=True):
    """The sender has synced the epoch `number`."""

    incarnation: int
    number: int


class Replicate(Struct, frozen=True, tag="Replicate", array_like=True):
    """One write, from the primary to a backup. `committed`: up to where all holders have synced."""

    epoch: int
    sequence: int
    committed: LogPosition
    changes: Changes


class CatchUp(Struct, frozen=True, tag="Learn", array_like=True):
    """Committed state for who holds none. With `base` the changes lead from there, and from each position of
    the log between the two, to `log_position`, else they are all of it.
    """

    epoch: int
    log_position: LogPosition
    base: LogPosition | None
    changes: Changes


class Heartbeat(Struct, frozen=True, tag="Heartbeat", array_like=True):
    """From the primary to all.

    `read_index_round` numbers the rounds that confirm the primary, 0 asks for no ack; `epoch_config` goes to
    who lacks it. `confirmed_ago`: seconds since a majority of the members confirmed the sender.
    `acknowledged_round`: the newest round of this epoch whose ack of the receiver has come, 0 if none has; -1
    from a primary of an older version, which doesn't say.
    """

    epoch: int
    read_index_round: int
    committed: LogPosition
    epoch_config: EpochConfig | None
    confirmed_ago: float = 0.0
    acknowledged_round: int = -1


class Ack(Struct, frozen=True, tag="Ack", array_like=True):
    """The answer to Heartbeat, Replicate and CatchUp.

    `received_sequence` and `durable_sequence` are of changes in this epoch, or -1. `known_epoch`: the newest
    epoch known as active. `durable_position`: of the state on the sender's disk, which may be none of the
    chain.
    """

    epoch: int
    incarnation: int
    name: str
    read_index_round: int
    received_sequence: int
    durable_sequence: int
    committed: LogPosition
    known_epoch: int
    promised_epoch: int
    is_healthy: bool
    is_leaving: bool
    durable_position: LogPosition = LogPosition(0, 0)


class HandOver(Struct, frozen=True, tag="HandOver", array_like=True):
    """The primary of `epoch` asks the receiver to take over."""

    epoch: int


class LeaveGranted(Struct, frozen=True, tag="LeaveGranted", array_like=True):
    """The primary of `epoch` can do without the receiver, which has asked for its leave."""

    epoch: int


class Chunk(Struct, frozen=True, tag="Piece", array_like=True):
    """Chunk `index` of `count` of a message that is too big to hold up the others behind it. `id` is drawn by
    the sender for each message.
    """

    id: int
    index: int
    count: int
    body: bytes


class ChunkAck(Struct, frozen=True, tag="PieceAck", array_like=True):
    """`next`: the first chunk that is still missing."""

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


def size(changes: Changes | dict[str, bytes]) -> int:
    """Bytes of the values."""
    return sum(len(value) for value in changes.values() if value)
