"""Simulates the catch-up of a returned replica while changes continue; prints a table row per case.

Example: python benchmarks/catch_up.py --interval 0.1 --away 10 100 1000 --sizes 1000 300000 --jobs 2
"""

import argparse
import itertools
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from shedgrade.simulation.catch_up import CatchUpCase, play


def row(case: CatchUpCase) -> str:
    found = play(case)
    time = "never" if found.caught_up is None else f"{found.caught_up:.2f} s"
    cells = (
        f"{case.size // 1000} KB",
        f"{case.megabits:g} Mbit/s",
        f"{1000 * case.delay:g} ms",
        f"{case.missed}",
        "wiped" if case.wiped else "whole",
        "cut" if case.cut_after is not None else "no cut",
        time,
        f"{found.sent / 1000:.0f} KB",
        f"{found.steady_lag}",
        f"{found.sent_rate / 1000:.0f} KB/s",
        f"{found.queued / 1000:.0f} KB",
        f"{100 * found.acknowledged:.0f} %",
    )
    return "| " + " | ".join(cells) + " |"


HEAD = (
    "| configuration | link | one-way delay | missed changes | disk | links | caught up after "
    "| sent until then | lag afterwards | sent afterwards | longest queue | acknowledged |"
)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--interval", type=float, default=0.1)
    parser.add_argument("--before", type=int, default=20, help="changes before the replica goes down")
    parser.add_argument("--away", type=int, nargs="+", default=[10, 100, 1000])
    parser.add_argument("--sizes", type=int, nargs="+", default=[1_000, 100_000, 300_000, 2_000_000])
    parser.add_argument("--megabits", type=float, nargs="+", default=[5, 86, 1000])
    parser.add_argument(
        "--delays", type=float, nargs="+", default=[0.001, 0.035, 0.055], help="one-way delays, seconds"
    )
    parser.add_argument("--wiped", action="store_true")
    parser.add_argument(
        "--cut", type=float, default=None, help="seconds after the return at which its links fail for a while"
    )
    parser.add_argument("--keys", action="store_true")
    parser.add_argument("--all-links", action="store_true")
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args()
    cases = [
        CatchUpCase(
            size=size,
            megabits=megabits,
            delay=delay,
            before=options.before,
            missed=missed,
            wiped=options.wiped,
            cut_after=options.cut,
            interval=options.interval,
            keys=options.keys,
            all_links=options.all_links,
        )
        for size, megabits, delay, missed in itertools.product(
            options.sizes, options.megabits, options.delays, options.away
        )
    ]
    print(HEAD + "\n" + "| --- " * 12 + "|")
    with ProcessPoolExecutor(options.jobs) as pool:
        for line in pool.map(row, cases):
            print(line, flush=True)


if __name__ == "__main__":
    main()
