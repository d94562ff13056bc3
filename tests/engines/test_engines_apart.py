"""The stand-ins are nobody's but the lab's."""

import ast
import doctest
from pathlib import Path

from shedgrade.engines import engine
from shedgrade.lab.system import lines

ROOT = Path(__file__).resolve().parents[2] / "shedgrade"
OF_THE_LAB = {"engines", "lab", "cli"}  # `shedgrade lab` is a command of the sidecar's command line


def imported(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


def test_nothing_that_serves_imports_them():
    serving = [path for path in ROOT.rglob("*.py") if path.relative_to(ROOT).parts[0] not in OF_THE_LAB]
    assert len(serving) > 100
    found = [
        (path.name, name)
        for path in serving
        for name in imported(path)
        if name.startswith(("shedgrade.engines", "shedgrade.lab"))
    ]
    assert found == []


def test_engines_know_nothing_of_the_lab():
    assert [
        name
        for path in (ROOT / "engines").glob("*.py")
        for name in imported(path)
        if name.startswith("shedgrade") and not name.startswith("shedgrade.engines")
    ] == []


def test_doctests():
    assert doctest.testmod(engine).failed == 0 and doctest.testmod(lines).failed == 0
