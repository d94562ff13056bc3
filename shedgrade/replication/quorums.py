"""Quorum rules of elections and membership changes, as pure functions.

Joint consensus as in Raft (Ongaro and Ousterhout, 2014) with the holders of Vertical Paxos (Lamport, Malkhi
and Zhou, 2009): an epoch that changes the members needs majorities of the old and the new group until it is
known to be active, and its holders are members of both. `tests/replication/test_quorums.py` enumerates what
these functions allow.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

import msgspec

from shedgrade.replication.messages import EpochConfig, Peer


class MembershipChangeProtocol(Protocol):
    """Returns the new members for the members of an epoch."""

    @property
    def number(self) -> int:
        """Number of the epoch whose members the change applies to."""

    def __call__(self, members: tuple[Peer, ...]) -> tuple[Peer, ...]:
        """Returns the new members."""


class Voter(Protocol):
    """A process that gave a promise or granted a pre-vote."""

    @property
    def incarnation(self) -> int:
        """The incarnation of the process."""

    @property
    def address(self) -> str:
        """The link address of the process."""

    @property
    def founding(self) -> bool:
        """Whether it is one of the founders of the core."""


class Groups(NamedTuple):
    """The members of a new epoch, and those of the last epoch that is known to have been active."""

    members: tuple[Peer, ...]
    previous_members: tuple[Peer, ...]


class HolderCount(NamedTuple):
    """The minimum number of holders of an epoch, and the number to aim for."""

    minimum: int
    target: int


def majority(peers: tuple[Peer, ...]) -> int:
    """Returns the size of a majority of the peers."""
    return len(peers) // 2 + 1


def is_same_member(peer: Peer, incarnation: int, address: str, founding: bool) -> bool:
    """Whether the voter is this member.

    A founder that has kept its disk (`founding`) matches by address while its incarnation is not known.
    """
    return peer.incarnation == incarnation or (not peer.incarnation and founding and peer.address == address)


def is_among(peers: Iterable[Peer], voter: Voter) -> bool:
    """Whether the voter is one of the peers."""
    return any(is_same_member(peer, voter.incarnation, voter.address, voter.founding) for peer in peers)


def count_voting_peers(peers: tuple[Peer, ...], voters: Iterable[Voter]) -> int:
    """Returns how many of the peers are among the voters."""
    voters = list(voters)
    return sum(
        any(is_same_member(peer, v.incarnation, v.address, v.founding) for v in voters) for peer in peers
    )


def is_quorum(config: EpochConfig, voters: Iterable[Voter]) -> bool:
    """Whether the voters are a majority of the members, and of those before unless `config` is active."""
    voters = list(voters)
    if count_voting_peers(config.members, voters) < majority(config.members):
        return False
    return config.active or count_voting_peers(config.previous_members, voters) >= majority(
        config.previous_members
    )


def electorate(config: EpochConfig) -> tuple[Peer, ...]:
    """Returns the peers whose promises count: the members, and those before unless `config` is active."""
    return config.members if config.active else config.members + config.previous_members


def next_groups(
    base: EpochConfig, change: Callable[[tuple[Peer, ...]], tuple[Peer, ...]] | None = None
) -> Groups:
    """Returns the groups of an epoch formed from `base`.

    The members change only if `base` is known to be active.
    """
    if not base.active:
        return Groups(base.members, base.previous_members)
    return Groups(base.members if change is None else change(base.members), base.members)


def may_hold(groups: Groups, voter: Voter) -> bool:
    """Whether the voter is a member of both groups, as a holder must be.

    The holders are at least a majority of each group (see `holder_count`): each majority of either group then
    contains a holder.
    """
    is_member = any(peer.incarnation == voter.incarnation for peer in groups.members)
    return is_member and is_among(groups.previous_members, voter)


def holder_count(groups: Groups, tolerated: int) -> HolderCount:
    """Returns the holder counts. `tolerated`: t, the number of simultaneous losses the state must survive."""
    minimum = max(majority(groups.members), majority(groups.previous_members))
    return HolderCount(minimum, max(minimum, tolerated + 1))


def activated(config: EpochConfig) -> EpochConfig:
    """Returns the configuration for when all holders have synced the epoch, without previous members."""
    return msgspec.structs.replace(config, previous_members=config.members, active=True)


def newer_config(one: EpochConfig, other: EpochConfig) -> EpochConfig:
    """Returns the configuration of the higher epoch or, of the same epoch, the one known to be active."""
    return other if (other.number, other.active) > (one.number, one.active) else one
