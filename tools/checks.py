"""Checks beside `ruff check`: the formatter for the whole tree, doc comments and types for finished packages.

Usage: python -m tools.checks

A package that is finished is added to `DOCUMENTED` and `TYPED`; the lists only grow.
"""

import subprocess
import sys

DOCUMENTED = (
    "tools",
    "shedgrade/route_matching",
    "shedgrade/simulation",
)
TYPED = (
    "tools",
    "shedgrade/findings.py",
    "shedgrade/runtime/log.py",
    "shedgrade/route_matching",
    "shedgrade/membership",
    "shedgrade/storage",
    "shedgrade/controlplane/delta.py",
    "shedgrade/controlplane/references.py",
    "shedgrade/replication/change_index.py",
    "shedgrade/simulation",
    "shedgrade/dataplane/draining.py",
    "shedgrade/dataplane/service_times.py",
    "benchmarks/ablation.py",
    "benchmarks/own_days.py",
)
# Public modules, classes, functions and methods have a doc comment; every function says what it returns.
DOC_RULES = "D100,D101,D102,D103,D104,D106,D2,D3,D4,ANN2"
# Left out: D203 and D213, the opposites of D211 and D212; D205, D209, D400, D415: a summary may go on over a
# line and end in it; D401: "True if" as well as "Return"; D404 to D413: sections that are not used here.
LEFT_OUT = "D203,D205,D209,D213,D400,D401,D404,D406,D407,D413,D415"


def commands() -> list[list[str]]:
    """The checks, each as a program with its arguments."""
    ruff, mypy = [sys.executable, "-m", "ruff"], [sys.executable, "-m", "mypy"]
    return [
        [*ruff, "format", "--check", "--quiet", "."],
        [*ruff, "check", "--quiet", "--select", DOC_RULES, "--ignore", LEFT_OUT, *DOCUMENTED],
        [*mypy, "--no-error-summary", *TYPED],
    ]


def main() -> int:
    """Runs all checks, also after one that fails. Exit status 1 if any did."""
    failed = [command for command in commands() if subprocess.run(command, check=False).returncode]
    for command in failed:
        print("failed:", " ".join(command[1:]), file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
