"""Many days by seed, over a few processes."""

from __future__ import annotations

import time
import traceback
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from shedgrade.simulation.system.day import Day


@dataclass(frozen=True, slots=True)
class Job:
    """A day to be played. `length`: s of virtual time with faults."""

    seed: int
    tolerated: int = 1
    profile: str = "fair"
    length: float = 20.0
    trace: bool = False
    log: bool = False


@dataclass(frozen=True, slots=True)
class Result:
    """What came of it; `seconds`: real ones."""

    job: Job
    findings: list[str]
    calls: int
    seconds: float


def play(job: Job) -> Result:
    """One day. A seed that raises is a finding like others."""
    begun, calls = time.perf_counter(), 0
    try:
        day = Day(job.seed, job.tolerated, job.profile, job.length, trace=job.trace, log=job.log)
        findings = day.play()
        calls = len(day.world.history.calls)
    except Exception:
        findings = [traceback.format_exc()]
    return Result(job, findings, calls, time.perf_counter() - begun)


def play_all(jobs: Iterable[Job], processes: int) -> Iterator[Result]:
    """All days, in the order of the jobs."""
    with ProcessPoolExecutor(processes) as pool:
        yield from pool.map(play, jobs, chunksize=2)
