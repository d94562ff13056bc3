"""Runs of a core with faults drawn by seed: no acknowledged change is lost, and none waits too long.

Faults injected into the members are found, each within the stated number of seeds.
"""

import faulty_members as faulty
import pytest

from shedgrade.simulation.cluster import SimulatedCluster


@pytest.mark.parametrize("tolerated", [1, 2])
@pytest.mark.parametrize(
    ("profile", "seeds"), [("calm", 3), ("fair", 20), ("storm", 20), ("deaths", 4), ("members", 20)]
)
def test_seeds_without_findings(profile, seeds, tolerated):
    for seed in range(seeds):
        assert SimulatedCluster(seed, tolerated, profile).run_and_check() == [], seed


INJECTED_FAULTS = [  # (injected fault, profile in which it is found, number of seeds within which it is)
    (faulty.AnswersAfterOwnDiskOnly, "fair", 60),
    (faulty.AcksBeforeTheSync, "storm", 60),
    (faulty.VotesAfterLosingItsDisk, "members", 60),
    (faulty.ReadsWithoutConfirmation, "storm", 60),
    (faulty.DropsUncommittedChanges, "storm", 60),
    (faulty.FoundsAlone, "fair", 60),
    (faulty.OldPrimaryIsNotFenced, "storm", 60),
    (faulty.AnnouncesUncommitted, "storm", 60),
    (faulty.AppliesOlderCommittedState, "storm", 60),
]


LIVENESS_FAULTS = [  # faults that lose the majority for good, found because no command is answered any more
    (faulty.LeavesImmediately, "members", 60),
    (faulty.GrantsLeaveToHolders, "members", 60),
]


def is_safety(finding: str) -> bool:
    return not any(word in finding for word in ("wait", "no read", "nothing acknowledged"))


@pytest.mark.parametrize(("member_class", "profile", "seeds"), INJECTED_FAULTS)
def test_an_injected_fault_is_found(member_class, profile, seeds):
    assert any(
        is_safety(finding)
        for seed in range(seeds)
        for finding in SimulatedCluster(seed, 1, profile, member_class).run_and_check()
    )


@pytest.mark.parametrize(("member_class", "profile", "seeds"), LIVENESS_FAULTS)
def test_a_fault_that_loses_the_majority_is_found(member_class, profile, seeds):
    assert any(SimulatedCluster(seed, 1, profile, member_class).run_and_check() for seed in range(seeds))
