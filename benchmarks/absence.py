"""Simulates outages of replicas during hundreds of changes, by seed, and prints the seeds with findings.

Example: python benchmarks/absence.py 200 --tolerated 1 --jobs 2
"""

import argparse
import sys
import traceback
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from shedgrade.simulation.replica_outages import ReplicaOutageRun


def run_seed(job: tuple[int, int]) -> tuple[int, list[str], int]:
    """Runs one seed; returns the seed, its findings and the number of acknowledged changes."""
    seed, tolerated = job
    try:
        run = ReplicaOutageRun(seed, tolerated)
        return seed, run.play(), sum(run.history.acknowledged)
    except Exception:  # an exception is reported as a finding of its seed
        return seed, [traceback.format_exc()], 0


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("seeds", type=int)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--tolerated", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args()
    jobs = [(seed, options.tolerated) for seed in range(options.first, options.first + options.seeds)]
    failed = changes = largest_count = 0
    with ProcessPoolExecutor(options.jobs) as pool:
        for seed, findings, acknowledged in pool.map(run_seed, jobs):
            changes, largest_count = changes + acknowledged, max(largest_count, acknowledged)
            if findings:
                failed += 1
                print(f"seed {seed}: {len(findings)} findings, first: {findings[0]}", flush=True)
    print(
        f"t={options.tolerated}: {failed} of {len(jobs)} seeds with findings; {changes} changes "
        f"acknowledged, at most {largest_count} in one seed"
    )
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()
