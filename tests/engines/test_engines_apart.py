"""The stand-in engines are used by the lab only."""

import ast
import doctest
from pathlib import Path

from shedgrade.engines import engine
from shedgrade.lab.system import lines

ROOT = Path(__file__).resolve().parents[2] / "shedgrade"
LAB_PACKAGES = {"engines", "lab", "cli"}  # `shedgrade lab` is a command of the sidecar's CLI


def imported_modules(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


def test_production_code_does_not_import_engines_or_lab():
    production_modules = [
        path for path in ROOT.rglob("*.py") if path.relative_to(ROOT).parts[0] not in LAB_PACKAGES
    ]
    assert len(production_modules) > 100
    violations = [
        (path.name, name)
        for path in production_modules
        for name in imported_modules(path)
        if name.startswith(("shedgrade.engines", "shedgrade.lab"))
    ]
    assert violations == []


def test_engines_import_no_other_package_of_the_program():
    assert [
        name
        for path in (ROOT / "engines").glob("*.py")
        for name in imported_modules(path)
        if name.startswith("shedgrade") and not name.startswith("shedgrade.engines")
    ] == []


def test_doctests():
    assert doctest.testmod(engine).failed == 0 and doctest.testmod(lines).failed == 0
