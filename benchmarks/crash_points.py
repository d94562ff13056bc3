"""Power lost at every operation of a day of changes of the store, and again in each recovery, by enumeration.

python benchmarks/crash_points.py 500 --records 16 --second-every 1
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
    parser.add_argument("--records", type=int, default=16, help="of one log, so that slots change often")
    parser.add_argument("--second-every", type=int, default=1, help="contents left with a second loss")
    options = parser.parse_args()
    store.MAX_LOG_RECORDS = options.records
    began = time.perf_counter()
    report = CrashEnumeration(options.changes, options.second_every).play()
    for finding in report.violations[:20]:
        print(finding)
    took = time.perf_counter() - began
    print(
        f"{options.changes} changes: {report.first} losses of power, {report.second} second ones in a "
        f"recovery, {report.deaths} deaths of the process, {len(report.violations)} findings, {took:.1f} s"
    )
    sys.exit(bool(report.violations))


if __name__ == "__main__":
    main()
