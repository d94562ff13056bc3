"""Runs many seeds in several processes."""

from __future__ import annotations

import time
import traceback
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from shedgrade.simulation.system.findings import Finding, FindingKind
from shedgrade.simulation.system.simulation_run import SimulationRun


@dataclass(frozen=True, slots=True)
class SeedJob:
    """A run to be played. `length`: virtual time with faults, s."""

    seed: int
    tolerated: int = 1
    profile: str = "fair"
    length: float = 20.0
    trace: bool = False
    log: bool = False


@dataclass(frozen=True, slots=True)
class SeedResult:
    """The result of a job. `operations`: number of invoked operations; `seconds`: real time of the run."""

    job: SeedJob
    findings: list[Finding]
    operations: int
    seconds: float


def run_seed(job: SeedJob) -> SeedResult:
    """Runs one seed. An exception is reported as a finding."""
    started_at = time.perf_counter()
    operations = 0
    try:
        run = SimulationRun(job.seed, job.tolerated, job.profile, job.length, trace=job.trace, log=job.log)
        findings = run.play()
        operations = len(run.system.history.operations)
    except Exception:  # a failing seed must not end the other runs
        findings = [Finding(FindingKind.SIMULATION_FAULT, traceback.format_exc())]
    return SeedResult(job, findings, operations, time.perf_counter() - started_at)


def run_seeds(jobs: Iterable[SeedJob], processes: int) -> Iterator[SeedResult]:
    """Runs all jobs, and yields their results in the order of the jobs."""
    with ProcessPoolExecutor(processes) as pool:
        yield from pool.map(run_seed, jobs, chunksize=2)
