"""Messages between members, and the configuration of an epoch. All are msgspec Structs.

Members of other versions rely on the tags and on the order of the fields: a class or field may be renamed, a
tag may not, and a new field comes last and has a default. In a message, `number` is the epoch number that a
candidate campaigns for; `epoch` is the number of an epoch that exists.

An incarnation is a number that a process draws at random when it starts with an empty disk; 0 stands for a
founder whose incarnation is not known yet. Addresses are link addresses.
"""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct

Changes = dict[str, bytes | None]  # new values by key; None: the key is removed


class LogPosition(NamedTuple):
    """Position of one change in the log: the epoch in which it was decided, and its sequence number.

    Sequence numbers continue across epochs.
    """

    epoch: int
    sequence: int


class Peer(Struct, frozen=True, array_like=True):
    """A process as it is listed in the configuration of an epoch."""

    incarnation: int
    name: str
    address: str


class EpochConfig(Struct, frozen=True, array_like=True):
    """Members, holders and primary of an epoch.

    `primary`: incarnation of the primary.
    `holders`: incarnations of the members that store the replicated state, including the primary. The other
    members are witnesses, which only vote.
    `previous_members`: the members of the last epoch that is known to have been active.
    `active`: whether all holders are known to have installed the epoch. Until then a candidate needs a
    majority of `members` and one of `previous_members`, since another epoch may have been formed from the
    latter.
    """

    number: int
    primary: int
    holders: tuple[int, ...]
    members: tuple[Peer, ...]
    previous_members: tuple[Peer, ...]
    active: bool


class JoinRequest(Struct, frozen=True, tag="Hello", array_like=True):
    """Sent by a process that wants to join, or that no longer hears the primary.

    `known_epoch`: the newest epoch that it knows.
    `committed`: position of the committed state that it has in memory.
    """

    incarnation: int
    name: str
    address: str
    founding: bool
    known_epoch: int
    committed: LogPosition


class PrimaryHint(Struct, frozen=True, tag="Whereabouts", array_like=True):
    """Reply of a process that is not the primary to a join request.

    `primary`: link address of the primary if the sender hears it, else None.
    `epoch_config`: the newest one that the sender knows.
    """

    primary: str | None
    epoch_config: EpochConfig


class PreVote(Struct, frozen=True, tag="PreVote", array_like=True):
    """Asks whether the receiver would promise the epoch `number`. A grant is not binding.

    `known_epoch`: the newest epoch that the sender knows.
    `accepted_epoch`, `sequence`: accepted epoch and log sequence of the sender's state.
    """

    incarnation: int
    number: int
    known_epoch: int
    accepted_epoch: int
    sequence: int


class PreVoteReply(Struct, frozen=True, tag="PreVoteReply", array_like=True):
    """Reply to a pre-vote request.

    `promised_epoch`: the highest epoch number that the sender has promised or seen.
    `primary`: link address of the primary if the sender hears it, else None.
    `epoch_config`: the newest one that the sender knows, if it is active and newer than `known_epoch` of the
    request.
    """

    incarnation: int
    founding: bool
    number: int
    granted: bool
    promised_epoch: int
    primary: str | None
    epoch_config: EpochConfig | None


class Prepare(Struct, frozen=True, tag="Prepare", array_like=True):
    """Asks for a promise to accept nothing of an epoch below `number` from now on.

    `epoch_config`: the newest one that the candidate knows.
    """

    incarnation: int
    number: int
    epoch_config: EpochConfig


class Promise(Struct, frozen=True, tag="Promise", array_like=True):
    """Reply to `Prepare`, sent once the promise is synced.

    `accepted_epoch`: the epoch in which the sender, as a holder, accepted the state at `log_position`.
    `committed`: position of the committed state that the sender has in memory; a witness has one too.
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
    """Rejects a message of epoch `number`, as the sender of the refusal promised or knows a higher epoch.

    `promised_epoch`: the highest epoch number that the sender of the refusal has promised.
    `epoch_config`: the newest one that this sender knows.
    """

    incarnation: int
    number: int
    promised_epoch: int
    epoch_config: EpochConfig


class Fetch(Struct, frozen=True, tag="Fetch", array_like=True):
    """Request of a candidate for the state that a member offered in its promise.

    `log_position`: position of the candidate's stored state.
    `committed`: position of the committed state that the candidate has in memory. The reply may contain only
    the changes since one of the two positions.
    """

    number: int
    log_position: LogPosition
    committed: LogPosition


class Transfer(Struct, frozen=True, tag="Transfer", array_like=True):
    """Reply to `Fetch`.

    `changes`: the changes from `base` to `log_position`; the whole state if `base` is None.
    """

    number: int
    log_position: LogPosition
    base: LogPosition | None
    changes: Changes


class Install(Struct, frozen=True, tag="Install", array_like=True):
    """A new epoch, sent to one of its holders.

    `changes`: the changes from `base` to `log_position`; the whole state if `base` is None.
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
    """One write, from the primary to a backup. `committed`: all holders have synced up to that position."""

    epoch: int
    sequence: int
    committed: LogPosition
    changes: Changes


class CatchUp(Struct, frozen=True, tag="Learn", array_like=True):
    """Committed state for a process that is not a holder.

    `changes`: the changes from `base`, or from any log position after it, to `log_position`; the whole state
    if `base` is None.
    """

    epoch: int
    log_position: LogPosition
    base: LogPosition | None
    changes: Changes


class Heartbeat(Struct, frozen=True, tag="Heartbeat", array_like=True):
    """Sent by the primary to all followers.

    `read_index_round`: number of a round that confirms the primary; 0 requests no confirmation.
    `epoch_config`: only for a receiver that lacks it.
    `confirmed_ago`: seconds since a majority of the members confirmed the sender.
    `acknowledged_round`: the newest round of this epoch that the receiver has acknowledged, as far as the
    primary knows; 0 if none; -1 from a primary of an older version, which doesn't send it.
    """

    epoch: int
    read_index_round: int
    committed: LogPosition
    epoch_config: EpochConfig | None
    confirmed_ago: float = 0.0
    acknowledged_round: int = -1


class Ack(Struct, frozen=True, tag="Ack", array_like=True):
    """Reply to Heartbeat, Replicate and CatchUp.

    `received_sequence`, `durable_sequence`: last change of this epoch received and synced, or -1.
    `known_epoch`: the newest epoch that the sender knows to be active.
    `durable_position`: position of the state on the sender's disk, which need not be part of the log.
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
    """The primary of `epoch` allows the receiver, which has asked to leave, to exit."""

    epoch: int


class Chunk(Struct, frozen=True, tag="Piece", array_like=True):
    """Chunk `index` of `count` of a long message, which is split so as not to delay the messages behind it.

    `id`: drawn at random by the sender for each message.
    """

    id: int
    index: int
    count: int
    body: bytes


class ChunkAck(Struct, frozen=True, tag="PieceAck", array_like=True):
    """Acknowledges the chunks before `next`, the first one that is still missing."""

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


def value_bytes(changes: Changes | dict[str, bytes]) -> int:
    """Returns the total length of the values in bytes."""
    return sum(len(value) for value in changes.values() if value)
