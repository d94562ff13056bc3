"""The checks of finished packages, and the command that CI and developers run."""

from pathlib import Path

import pytest

from tools import checks

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ".venv/bin/python -m pytest -q && .venv/bin/ruff check . && .venv/bin/python -m tools.checks"


def test_checked_paths_exist():
    assert not [name for name in (*checks.DOCUMENTED, *checks.TYPED) if not (ROOT / name).exists()]


def test_a_failed_check_fails_the_run_and_the_others_still_run(monkeypatch):
    ran = []

    class Done:
        def __init__(self, command, check):
            ran.append(command)
            self.returncode = int("mypy" in command)

    monkeypatch.setattr(checks.subprocess, "run", Done)
    assert checks.main() == 1 and ran == checks.commands()
    monkeypatch.setattr(checks, "commands", lambda: [["ruff"], ["ruff"]])
    assert checks.main() == 0


@pytest.mark.parametrize("name", ["README.md", "CONTRIBUTING.md", "Makefile", ".ci/run"])
def test_the_command_is_the_same_everywhere(name):
    assert COMMAND in (ROOT / name).read_text()
