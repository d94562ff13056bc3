"""Which members must agree: the quorum rules of elections and of changes of members, free of state and time.

Joint consensus as in Raft (Ongaro and Ousterhout, 2014) with the holders of Vertical Paxos (Lamport, Malkhi
and Zhou, 2009): an epoch that changes the members binds majorities of both groups until it is known to be
active, and its holders are members of both. `tests/replication/test_quorums.py` enumerates what these
functions allow.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

import msgspec

from shedgrade.replication.messages import EpochConfig, Peer


class ChangeOfMembers(Protocol):
    """Members to new members. `number`: the epoch whose members it is meant for."""

    @property
    def number(self) -> int:
        """The epoch."""

    def __call__(self, members: tuple[Peer, ...]) -> tuple[Peer, ...]:
        """The new members."""


class Voter(Protocol):
    """Who gave a promise, or a pre-vote."""

    @property
    def incarnation(self) -> int:
        """The number of the process."""

    @property
    def address(self) -> str:
        """Its link address."""

    @property
    def founding(self) -> bool:
        """Whether it is one of the processes that found the core."""


class Groups(NamedTuple):
    """The members of a new epoch, and of the last one that is known to have been active."""

    members: tuple[Peer, ...]
    before: tuple[Peer, ...]


class HolderCount(NamedTuple):
    """How many holders an epoch must have, and should have."""

    least: int
    wanted: int


def majority(peers: tuple[Peer, ...]) -> int:
    """How many of the peers outnumber the rest."""
    return len(peers) // 2 + 1


def matches(peer: Peer, incarnation: int, address: str, founding: bool) -> bool:
    """Whether the voter is this member. A founder, whose memory is whole, is known by its address too."""
    return peer.incarnation == incarnation or (not peer.incarnation and founding and peer.address == address)


def is_among(peers: Iterable[Peer], voter: Voter) -> bool:
    """Whether the voter is one of the peers."""
    return any(matches(peer, voter.incarnation, voter.address, voter.founding) for peer in peers)


def count(peers: tuple[Peer, ...], voters: Iterable[Voter]) -> int:
    """How many of the peers are among the voters."""
    voters = list(voters)
    return sum(any(matches(peer, v.incarnation, v.address, v.founding) for v in voters) for peer in peers)


def is_quorum(config: EpochConfig, voters: Iterable[Voter]) -> bool:
    """A majority of the members, and of those before while the epoch is not known to be active."""
    voters = list(voters)
    if count(config.members, voters) < majority(config.members):
        return False
    return config.active or count(config.before, voters) >= majority(config.before)


def electorate(config: EpochConfig) -> tuple[Peer, ...]:
    """Whose promises count: the members, and those before while the epoch is not known to be active."""
    return config.members if config.active else config.members + config.before


def next_groups(
    base: EpochConfig, change: Callable[[tuple[Peer, ...]], tuple[Peer, ...]] | None = None
) -> Groups:
    """The groups of an epoch made from `base`. Members change only from an epoch known to be active."""
    if not base.active:
        return Groups(base.members, base.before)
    return Groups(base.members if change is None else change(base.members), base.members)


def may_hold(groups: Groups, voter: Voter) -> bool:
    """A holder is a member of both groups, so that each majority of either meets a majority of holders."""
    named = any(peer.incarnation == voter.incarnation for peer in groups.members)
    return named and is_among(groups.before, voter)


def holder_count(groups: Groups, tolerated: int) -> HolderCount:
    """`tolerated`: t, the losses at once that the state must outlive."""
    least = max(majority(groups.members), majority(groups.before))
    return HolderCount(least, max(least, tolerated + 1))


def activated(config: EpochConfig) -> EpochConfig:
    """The config once all holders have synced the epoch: the members before bind no more."""
    return msgspec.structs.replace(config, before=config.members, active=True)


def newest(one: EpochConfig, other: EpochConfig) -> EpochConfig:
    """The higher epoch; of the same one the config that knows it as active."""
    return other if (other.number, other.active) > (one.number, one.active) else one
