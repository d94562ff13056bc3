"""Days of the whole system by seed.

Usage:
  shedgrade.simulation.system --seeds A:B [--profile NAME] [--tolerated N] [--length S] [--jobs N]
                              [--trace] [--log]

Options:
  --seeds A:B       Seeds from A up to, not with, B.
  --profile NAME    calm, fair, planned (stops of edges beside look-ups), storm or targeted (faults at
                    messages of the core) [default: fair].
  --tolerated N     Machines lost at once that every promise outlives [default: 1].
  --length S        Seconds of virtual time with faults [default: 20].
  --jobs N          Processes [default: 2].
  --trace           Print what happens; in one process.
  --log             Print the programs' log lines too.
"""

import os
import sys
import time

from docopt import docopt

from shedgrade.simulation.system.seed_runner import SeedJob, run_seeds


def main() -> int:
    """Plays the seeds, prints each finding, and ends with 1 if there was any."""
    options = docopt(__doc__)
    if os.environ.get("PYTHONHASHSEED") is None:  # days don't hang on it; this makes sure
        os.environ["PYTHONHASHSEED"] = "0"
        os.execv(sys.executable, [sys.executable, "-m", "shedgrade.simulation.system", *sys.argv[1:]])
    first, _, last = options["--seeds"].partition(":")
    tolerated, profile, length = int(options["--tolerated"]), options["--profile"], float(options["--length"])
    jobs = [
        SeedJob(seed, tolerated, profile, length, options["--trace"], options["--log"])
        for seed in range(int(first), int(last))
    ]
    begun, failed, operations, taken = time.perf_counter(), 0, 0, []
    for result in run_seeds(jobs, 1 if options["--trace"] else int(options["--jobs"])):
        operations += result.operations
        taken.append(result.seconds)
        if result.findings:
            failed += 1
            print(
                f"seed {result.job.seed}: {len(result.findings)} findings",
                *result.findings[:6],
                sep="\n    ",
                flush=True,
            )
    print(
        f"{len(jobs)} seeds of {profile}, t = {tolerated}, {length:.0f} s: {failed} with findings, "
        f"{operations} calls, {time.perf_counter() - begun:.0f} s, {sum(taken) / len(taken):.2f} s a day, "
        f"the longest {max(taken):.2f} s"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
