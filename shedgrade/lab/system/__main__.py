"""python3 -m shedgrade.lab.system: the whole system on this machine for a minute, with troubles and a judge.

Usage:
  shedgrade.lab.system [--seed N]

Options:
  --seed N   Of all chance but the processes' own [default: 1].

Ends with 0 if every rule was kept, 1 if one was broken, 2 on wrong usage.
"""

import asyncio
import sys

from docopt import docopt

from shedgrade.lab.system.demo import run


def main(arguments: list[str]) -> int:
    seed = docopt(__doc__, arguments)["--seed"]
    if not seed.isdigit():
        print("--seed: is no whole number", file=sys.stderr)
        return 2
    breaches = asyncio.run(run(int(seed), lambda line: print(line, flush=True)))
    return 1 if breaches else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
