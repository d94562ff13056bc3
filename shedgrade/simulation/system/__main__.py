"""Runs simulations of the whole system, one for each seed.

Usage:
  shedgrade.simulation.system --seeds A:B [--profile NAME] [--tolerated N] [--length S] [--jobs N]
                              [--trace] [--log]

Options:
  --seeds A:B       Seeds from A up to, but not including, B.
  --profile NAME    calm, fair, planned (edges terminated during look-ups), storm or targeted (faults at
                    replication messages of the core) [default: fair].
  --tolerated N     Machines lost at the same time that the system must tolerate [default: 1].
  --length S        Duration of the phase with faults in seconds of virtual time [default: 20].
  --jobs N          Number of processes [default: 2].
  --trace           Print the events of each run; uses one process.
  --log             Print the programs' log lines too.
"""

import os
import sys
import time

from docopt import docopt

from shedgrade.simulation.system.seed_runner import SeedJob, run_seeds


def main() -> int:
    """Simulates each seed and prints its findings; returns 1 if there were any, else 0."""
    options = docopt(__doc__)
    if os.environ.get("PYTHONHASHSEED") is None:  # rules out that the hash seed changes a run
        os.environ["PYTHONHASHSEED"] = "0"
        os.execv(sys.executable, [sys.executable, "-m", "shedgrade.simulation.system", *sys.argv[1:]])
    first, _, last = options["--seeds"].partition(":")
    tolerated, profile, length = int(options["--tolerated"]), options["--profile"], float(options["--length"])
    jobs = [
        SeedJob(seed, tolerated, profile, length, options["--trace"], options["--log"])
        for seed in range(int(first), int(last))
    ]
    started_at, failed_seeds, operations, durations_s = time.perf_counter(), 0, 0, []
    for result in run_seeds(jobs, 1 if options["--trace"] else int(options["--jobs"])):
        operations += result.operations
        durations_s.append(result.seconds)
        if result.findings:
            failed_seeds += 1
            print(
                f"seed {result.job.seed}: {len(result.findings)} findings",
                *result.findings[:6],
                sep="\n    ",
                flush=True,
            )
    print(
        f"{len(jobs)} seeds of {profile}, t = {tolerated}, {length:.0f} s: {failed_seeds} with findings, "
        f"{operations} operations, {time.perf_counter() - started_at:.0f} s in total, "
        f"{sum(durations_s) / len(durations_s):.2f} s per run, {max(durations_s):.2f} s at most"
    )
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
