"""The quorum rules lose no acknowledged change, as the enumeration of all outcomes shows."""

from itertools import combinations

import pytest
from quorum_model import Model, Rules, bits, mask

from shedgrade.replication import quorums


def minimal_quorums(model, members, before, active):
    everyone = bits(members | before)
    found = []
    for size in range(1, len(everyone) + 1):
        for chosen in map(mask, combinations(everyone, size)):
            smaller = any(one & chosen == one for one in found)
            if not smaller and model.quorum(members, before, active, chosen):
                found.append(chosen)
    return found


def quorums_missing_holders(model, members, non_members, depth):
    """Returns pairs of an election quorum and of the holders of an epoch unknown to it that don't intersect.

    From an epoch known to be active the next epochs (children) are formed, and from each of these, while it
    is not known to be active, further ones (grandchildren). Each quorum of any of these configurations must
    intersect the holders of each of these epochs. The same is checked from each child, once that is known to
    be active.
    """
    everyone = members | non_members
    children = model.outcomes(members, members, True, everyone, everyone & ~members)
    grandchildren = {
        one for new, old, _ in children for one in model.outcomes(new, old, False, everyone, everyone & ~new)
    }
    holders = {one for *_, one in children} | {one for *_, one in grandchildren}
    groups = {(new, old) for new, old, _ in children} | {(new, old) for new, old, _ in grandchildren}
    voting = set(minimal_quorums(model, members, members, True))
    for new, old in groups:
        voting.update(minimal_quorums(model, new, old, False))
    found = [(quorum, one) for quorum in voting for one in holders if not quorum & one]
    # quorums of processes that know the child as active intersect its holders too
    for new, _, one in children:
        found += [(quorum, one) for quorum in minimal_quorums(model, new, new, True) if not quorum & one]
    if depth > 1:
        for new in {new for new, _, _ in children if new != members}:
            found += quorums_missing_holders(model, new, non_members | members & ~new, depth - 1)
    return found


@pytest.mark.parametrize(
    ("tolerated", "non_members", "replaced", "depth"),
    [(1, 0, 0, 1), (1, 1, 1, 2), (1, 2, 2, 2), (2, 0, 0, 1), (2, 1, 1, 2), (2, 2, 2, 1)],
)
def test_each_quorum_intersects_the_holders_of_each_epoch_that_it_may_not_know(
    tolerated, non_members, replaced, depth
):
    size = 2 * tolerated + 1
    model = Model(tolerated, non_members, 1, replaced=replaced)
    assert (
        quorums_missing_holders(model, mask(range(size)), mask(range(size, size + non_members)), depth) == []
    )


@pytest.mark.parametrize(
    ("tolerated", "non_members", "wipes", "replaced", "states"),
    [(1, 0, 0, 0, 1_688), (1, 1, 0, 1, 13_514), (1, 0, 1, 1, 15_235)],
)
def test_no_order_of_messages_loses_an_acknowledged_change(tolerated, non_members, wipes, replaced, states):
    """Explores two epochs after the first, formed by candidates in any order."""
    assert Model(tolerated, non_members, 3, wipes, replaced).explore() == (states, None)


class NewGroupOnly(Rules):
    """Only the new group agrees to a membership change."""

    is_quorum = staticmethod(
        lambda config, voters: (
            quorums.count_voting_peers(config.members, voters) >= quorums.majority(config.members)
        )
    )


class NewcomersHold(Rules):
    """Holders need not be members of the previous epoch."""

    may_hold = staticmethod(
        lambda groups, voter: any(each.incarnation == voter.incarnation for each in groups.members)
    )


class FewHolders(Rules):
    """Requires one holder fewer than a majority."""

    holder_count = staticmethod(
        lambda groups, tolerated: quorums.HolderCount(quorums.majority(groups.members) - 1, tolerated)
    )


class ChangesAgain(Rules):
    """Changes members from an epoch that is not known to be active."""

    next_groups = staticmethod(
        lambda base, change=None: quorums.Groups(
            base.members if change is None else change(base.members), base.members
        )
    )


@pytest.mark.parametrize("rules", [NewGroupOnly, NewcomersHold, FewHolders, ChangesAgain])
def test_a_fault_injected_into_the_rules_is_found(rules):
    model = Model(1, 2, 1, replaced=2, rules=rules)
    assert quorums_missing_holders(model, 0b111, 0b11000, 1)


def test_too_few_holders_lose_an_acknowledged_change_in_the_model():
    _, violation = Model(1, 1, 3, rules=FewHolders).explore()
    assert "lacks" in violation
