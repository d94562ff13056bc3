"""Checks of the packages that are renamed and clean: formatter, a wider lint, types. The list of them grows.

Usage: python -m tools.checks
"""

import subprocess
import sys

FORMATTED = (".",)
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
WIDER_RULES = "C4,PERF,PIE,RET,RUF021,SIM"  # beside those of pyproject.toml


def commands() -> list[list[str]]:
    """The checks, each as a program with its arguments."""
    ruff, mypy = [sys.executable, "-m", "ruff"], [sys.executable, "-m", "mypy"]
    return [
        [*ruff, "format", "--check", "--quiet", *FORMATTED],
        [*ruff, "check", "--quiet", "--extend-select", WIDER_RULES, *FORMATTED],
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
