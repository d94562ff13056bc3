"""Simulates a loss of power at every operation on the store's files, and a second one during each recovery.

Example: python benchmarks/crash_points.py 500 --records 16 --second-every 1
"""

import argparse
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from shedgrade.simulation.crash_enumeration import CrashEnumeration
from shedgrade.storage import store


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("changes", type=int, nargs="?", default=500)
    parser.add_argument("--records", type=int, default=16, help="per log; a small limit switches slots often")
    parser.add_argument(
        "--second-every", type=int, default=1, help="play a second loss for each n-th disk content"
    )
    options = parser.parse_args()
    store.MAX_LOG_RECORDS = options.records
    began = time.perf_counter()
    report = CrashEnumeration(options.changes, options.second_every).play()
    for finding in report.violations[:20]:
        print(finding)
    took = time.perf_counter() - began
    print(
        f"{options.changes} changes: {report.first} losses of power, {report.second} second losses during "
        f"recovery, {report.deaths} process crashes, {len(report.violations)} findings, {took:.1f} s"
    )
    sys.exit(bool(report.violations))


if __name__ == "__main__":
    main()
