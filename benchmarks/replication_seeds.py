"""Simulates the replicated control state by seed; prints failing seeds and percentiles of latencies.

Example: python benchmarks/replication_seeds.py 1000 --jobs 2 --profile fair --tolerated 1 --first 0
"""

import argparse
import sys
import traceback
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from shedgrade.simulation.checkers import STABLE_AFTER_S, stable_spans
from shedgrade.simulation.cluster import SimulatedCluster
from shedgrade.simulation.register import OK


def run_seed(job):
    """Runs one seed.

    Returns the seed, its findings, the times from each death of a primary to the next acknowledgement, and
    the times to acknowledge a write while the core is stable, in seconds.
    """
    seed, tolerated, profile = job
    try:
        cluster = SimulatedCluster(seed, tolerated, profile)
        findings = cluster.run_and_check()
    except Exception:  # an exception is reported as a finding of its seed
        return seed, [traceback.format_exc()], [], []
    history = cluster.history
    acknowledgements = sorted(
        (call.completed_at, call.invoked_at)
        for call in history.operations
        if call.request and call.outcome == OK
    )
    deaths = [
        next((ended - death for ended, _ in acknowledgements if ended > death), 99.0)
        for death in history.primary_deaths
        if death + 6 < history.end
    ]
    calm = [
        ended - began
        for start, stop in stable_spans(history.unstable_spans, history.end, STABLE_AFTER_S)
        for ended, began in acknowledgements
        if began >= start and ended <= stop
    ]
    return seed, findings, deaths, calm


def percentiles(values):
    values = sorted(values)
    if not values:
        return "none"
    last = len(values) - 1
    parts = [(part, values[min(last, int(len(values) * part / 100))]) for part in (50, 90, 99, 99.9)]
    shown = ", ".join(f"p{part:g} {value:.3f}" for part, value in parts)
    return f"{len(values)}: {shown}, most {values[-1]:.3f} s"


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("seeds", type=int)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--profile", choices=["fair", "storm", "calm", "deaths"], default="fair")
    parser.add_argument("--tolerated", type=int, default=1)
    options = parser.parse_args()
    jobs = [
        (seed, options.tolerated, options.profile)
        for seed in range(options.first, options.first + options.seeds)
    ]
    failed, deaths, calm = [], [], []
    with ProcessPoolExecutor(options.jobs) as pool:
        for seed, findings, recovery_times, ack_times in pool.map(run_seed, jobs, chunksize=8):
            deaths += recovery_times
            calm += ack_times
            if findings:
                failed.append(seed)
                print(f"seed {seed}: {len(findings)} findings, first: {findings[0]}", flush=True)
    print(f"{options.profile}, t={options.tolerated}: {len(failed)} of {len(jobs)} seeds fail")
    print("time from the primary's death to the next acknowledgement:", percentiles(deaths))
    print("time to acknowledge while the core is stable:", percentiles(calm))


if __name__ == "__main__":
    main()
