"""The system packages in the deploy file are those that the README, the build line and the Makefile need."""

import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy/system.toml").read_text())
DEBIAN_NAME = re.compile(r"[a-z0-9][a-z0-9+.-]+")  # Debian policy, 5.6.1


def test_packages_are_a_sorted_list_of_debian_names():
    packages = DEPLOY["packages"]
    assert packages and all(isinstance(name, str) and DEBIAN_NAME.fullmatch(name) for name in packages)
    assert packages == sorted(set(packages))


def test_programs_of_the_build_line_and_the_makefile_are_listed():
    assert DEPLOY["build"].count("python3 -m pip") == 1
    assert "$(PYTHON) -m venv" in (ROOT / "Makefile").read_text()
    assert {"make", "python3", "python3-pip", "python3-venv"} <= set(DEPLOY["packages"])


def test_the_readme_installs_the_same_packages():
    line = re.search(r"apt-get install --no-install-recommends (.*)", (ROOT / "README.md").read_text())
    assert line and line[1].split() == DEPLOY["packages"]
