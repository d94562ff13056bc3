"""The quorum rules one by one: whose promises count, who may be a holder, which configuration is newer."""

import msgspec
import pytest

from shedgrade.replication import quorums
from shedgrade.replication.messages import EpochConfig, Peer
from shedgrade.replication.quorums import Groups, HolderCount

A, B, C, D, E = (Peer(number, name, f"{name}:1") for number, name in enumerate("abcde", 1))
NEW_C = Peer(13, "c", "c:1")
BEFORE, MEMBERS = (A, B, C), (A, B, NEW_C)
CHANGING = EpochConfig(4, 1, (1, 2), MEMBERS, BEFORE, False)
ACTIVE = EpochConfig(4, 1, (1, 2), MEMBERS, MEMBERS, True)


def test_promises_of_both_groups_count_until_an_epoch_is_active():
    assert quorums.electorate(CHANGING) == MEMBERS + BEFORE
    assert quorums.electorate(msgspec.structs.replace(CHANGING, active=True)) == MEMBERS


@pytest.mark.parametrize(
    ("voters", "enough"),
    [((A, B), True), ((A, NEW_C), False), ((A, C), False), ((A, C, NEW_C), True), ((A,), False)],
)
def test_an_epoch_that_changes_the_members_needs_a_majority_of_both_groups(voters, enough):
    assert quorums.is_quorum(CHANGING, map(as_voter, voters)) is enough


def as_voter(peer):
    """Returns the peer as a voter."""
    return Voter(peer.incarnation, peer.address, False)


class Voter(msgspec.Struct):
    incarnation: int
    address: str
    founding: bool


def test_members_are_changed_only_from_an_active_epoch():
    def change(members):
        return (*members, D)

    assert quorums.next_groups(CHANGING, change) == Groups(MEMBERS, BEFORE)
    assert quorums.next_groups(ACTIVE, change) == Groups((*MEMBERS, D), MEMBERS)
    assert quorums.next_groups(ACTIVE) == Groups(MEMBERS, MEMBERS)


def test_holders_are_members_of_both_groups():
    groups = Groups(MEMBERS, BEFORE)
    assert [quorums.may_hold(groups, as_voter(peer)) for peer in (A, B, C, NEW_C, D)] == [
        True,
        True,
        False,
        False,
        False,
    ]


@pytest.mark.parametrize(
    ("members", "before", "tolerated", "count"),
    [
        (BEFORE, BEFORE, 1, HolderCount(2, 2)),
        ((A, B), (A, B), 2, HolderCount(2, 3)),
        ((A, B, C, D), BEFORE, 1, HolderCount(3, 3)),
        (BEFORE, (A, B, C, D, E), 1, HolderCount(3, 3)),
        ((A,), (A,), 1, HolderCount(1, 2)),
    ],
)
def test_holders_are_a_majority_of_either_group_and_more_than_may_be_lost(members, before, tolerated, count):
    assert quorums.holder_count(Groups(members, before), tolerated) == count


def test_an_epoch_that_is_active_needs_only_its_members():
    assert quorums.activated(CHANGING) == ACTIVE


def test_the_newer_configuration_is_the_higher_one_or_the_one_known_as_active():
    inactive = msgspec.structs.replace(ACTIVE, active=False)
    older = msgspec.structs.replace(ACTIVE, number=3)
    for one, other in ((ACTIVE, older), (older, ACTIVE), (ACTIVE, inactive), (inactive, ACTIVE)):
        assert quorums.newer_config(one, other) is ACTIVE
    assert quorums.newer_config(ACTIVE, msgspec.structs.replace(ACTIVE)) is ACTIVE
