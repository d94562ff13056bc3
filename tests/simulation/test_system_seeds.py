"""Runs of the whole system by seed: no guarantee is broken by the faults of any profile."""

import pytest

from shedgrade.simulation.system.seed_runner import SeedJob, run_seeds

PROCESSES = 3
LENGTH = 8.0  # virtual time with faults, s


@pytest.mark.parametrize(
    ("profile", "tolerated", "seeds"),
    [
        ("calm", 1, 4),
        ("fair", 1, 70),
        ("planned", 1, 40),
        ("targeted", 1, 40),
        ("storm", 1, 70),
        ("fair", 2, 28),
        ("planned", 2, 12),
        ("targeted", 2, 20),
        ("storm", 2, 28),
    ],
)
def test_seeds_without_findings(profile, tolerated, seeds):
    jobs = [SeedJob(seed, tolerated, profile, LENGTH) for seed in range(seeds)]
    found = {result.job.seed: result.findings for result in run_seeds(jobs, PROCESSES) if result.findings}
    assert found == {}
