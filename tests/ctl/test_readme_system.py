"""The README's walkthrough: its commands run as written, with real processes on loopback and no platform."""

import os
import re
import subprocess
import sys
from pathlib import Path

from addresses import NETWORK

from shedgrade.ctl.__main__ import __doc__ as usage

ROOT = Path(__file__).resolve().parents[2]
README = (ROOT / "README.md").read_text()


def test_the_walkthrough_runs_as_written(tmp_path):
    script = "\n".join(re.findall(r"```sh\n(.*?)```", README, re.DOTALL))
    # Own addresses guard against conflicts with a concurrent run of this test or with a running system.
    script = script.replace(".venv/bin/python", sys.executable).replace("127.0.1.", f"{NETWORK}.")
    script = f"set -eu\ntrap 'kill $(jobs -p) 2>/dev/null || true' EXIT\n{script}"
    completed = subprocess.run(
        ["bash", "-c", script],
        cwd=tmp_path,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    stdout = completed.stdout
    assert "sound: core-2, serves control, registry, in hall-2 of north" in stdout
    assert (
        "version 1 accepted, based on version 0" in stdout
        and "version 2 accepted, based on version 1" in stdout
    )
    assert "route rota.example/chat/: time-out 10000 -> 5000 ms" in stdout
    assert re.search(r"core-\d +primary", stdout) and "configuration version 1" in stdout
    assert "no upstream may serve it now" in stdout
    assert "hall-2 is evacuated" in stdout and "hall-2 takes requests again" in stdout
    assert "slot-a: number" in stdout and "sound: number" in stdout


def test_every_named_command_is_in_the_usage():
    groups = "config|evacuate|return|status|explain|storage|settings"
    named = re.findall(rf"`(?:python -m shedgrade\.ctl )?((?:{groups})[a-z ]*)[A-Z ]*`", README)
    assert len(named) >= 10
    for command in named:
        assert command.strip().split()[0] in usage and command.strip().split()[-1] in usage, command


def test_every_named_path_exists():
    named = set(re.findall(r"`((?:docs|deploy|shedgrade|tests|benchmarks|scenarios)/[\w/.-]*)`", README))
    assert len(named) > 20 and not [path for path in named if not (ROOT / path).exists()]
