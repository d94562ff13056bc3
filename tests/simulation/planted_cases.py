"""Checks that an injected fault is found as the right kind of finding, within a stated number of seeds.

The seed that shows the fault must have no finding without it.
"""

from typing import NamedTuple

import planted_system_faults as injected
import pytest

from shedgrade.simulation.system.findings import FindingKind
from shedgrade.simulation.system.simulation_run import SimulationRun

OWN_ERRORS = (FindingKind.PROGRAM_FAULT, FindingKind.SIMULATION_FAULT)


class Case(NamedTuple):
    """An injected fault and the runs in which it must be found.

    Attributes:
        fault: a member class, or a function called with `monkeypatch` and `reached`.
        kind: the kind of finding that reveals it.
        profile: profile of the runs.
        seeds: number of seeds within which it must be found.
        tolerated: number of tolerated losses.
        length: time with faults in a run, seconds.
        parameters: further parameters of the run.
    """

    fault: object
    kind: FindingKind
    profile: str
    seeds: int
    tolerated: int = 1
    length: float = 8.0
    parameters: dict[str, object] = {}  # never modified


def make_run(case, seed):
    """Returns the run of that seed, before it is played."""
    parameters = {"padding": 0, "pace": 0.2, **case.parameters}
    return SimulationRun(seed, case.tolerated, case.profile, case.length, **parameters)


def case_id(case):
    """Returns the test id of a case."""
    return f"{case.fault.__name__}-{case.kind.name.lower()}"


def check(case):
    """Plays the seeds with the fault injected until it is found, then that seed without the fault."""
    reached = 0

    def count():
        nonlocal reached
        reached += 1

    install = injected.replace_member_class(case.fault) if isinstance(case.fault, type) else case.fault
    for seed in range(case.seeds):
        with pytest.MonkeyPatch.context() as monkeypatch:
            install(monkeypatch, count)
            found = {finding.kind for finding in make_run(case, seed).play()}
        assert not found.intersection(OWN_ERRORS), "the injected fault raises an error of its own"
        if case.kind in found:
            assert reached, "found, though the faulty code never ran"
            assert make_run(case, seed).play() == [], "findings at this seed without the injected fault"
            return
    assert reached, "the faulty code never ran"
    pytest.fail(f"not found within {case.seeds} seeds")
