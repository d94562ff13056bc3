"""Faults injected into promises, epochs, syncs and planned stops are found, each as the right kind."""

import planted_system_faults as planted
import pytest
from planted_cases import Case, check, name_of

from shedgrade.simulation.system.findings import FindingKind

PLANTED = [
    Case(planted.PromisesBeforeTheSync, FindingKind.PROMISE_NOT_DURABLE, "fair", 3),
    Case(planted.AnswersAfterOwnDiskOnly, FindingKind.COMMITTED_TOO_EARLY, "fair", 3),
    Case(planted.AcksBeforeTheSync, FindingKind.WRITE_NOT_DURABLE, "fair", 3),
    Case(planted.AcksInstallBeforeTheSync, FindingKind.WRITE_NOT_DURABLE, "fair", 3),
    Case(planted.VotesAfterLosingItsDisk, FindingKind.PROMISE_NOT_DURABLE, "fair", 5),
    Case(planted.voters_are_known_by_address, FindingKind.EPOCH_WITHOUT_QUORUM, "fair", 5),
    Case(planted.CountsNewcomersAtOnce, FindingKind.EPOCH_WITHOUT_QUORUM, "fair", 8, 2, 14.0),
    Case(planted.PromisesWithoutAQuorum, FindingKind.EPOCH_WITHOUT_QUORUM, "targeted", 6, 2),
    Case(planted.FollowsAnOldPrimary, FindingKind.FENCE_BROKEN, "targeted", 5, 2),
    Case(planted.LeavesAtOnce, FindingKind.LEFT_WITHOUT_COPIES, "targeted", 4, 1, 14.0),
    Case(planted.a_primary_leaves_to_whoever_stays, FindingKind.LEFT_WITHOUT_COPIES, "targeted", 4, 1, 14.0),
]


@pytest.mark.parametrize("case", PLANTED, ids=name_of)
def test_an_injected_fault_is_found_as_its_kind(case):
    check(case)
