"""What the deploy files and the package file list, against what the sources import."""

import ast
import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
OFF_DUTY = (
    "shedgrade/cli/lab.py",
    "shedgrade/cli/quota.py",
)  # commands that no sidecar in service runs


def listed() -> set[Path]:
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    named = [ROOT / name for name in deploy["policy"] + deploy["node"]]
    assert all(path.exists() for path in named)
    return {file for path in named for file in ([path] if path.is_file() else path.rglob("*.py"))}


def imported(file: Path) -> set[Path]:
    """Own modules that a file imports, anywhere in it."""
    names = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and not node.level:
            names |= {node.module} | {f"{node.module}.{alias.name}" for alias in node.names}
    paths = {ROOT / name.replace(".", "/") for name in names if name.split(".")[0] == "shedgrade"}
    found = {file for path in paths for file in (path.with_suffix(".py"), path / "__init__.py")}
    return {file for file in found if file.exists()}


def test_the_sidecar_loads_nothing_that_its_deploy_file_does_not_list():
    files = listed()
    missing = {
        (str(file.relative_to(ROOT)), str(needed.relative_to(ROOT)))
        for file in files
        if str(file.relative_to(ROOT)) not in OFF_DUTY
        for needed in imported(file) - files
    }
    assert not missing


def test_the_package_asks_for_what_the_daemons_are_installed_with():
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    required = {re.split("[=<>]", line)[0] for line in (ROOT / "requirements.txt").read_text().split()}
    assert set(project["dependencies"]) == required


def test_every_package_is_found_by_the_installer():
    folders = {file.parent for file in (ROOT / "shedgrade").rglob("*.py")}
    assert not [folder for folder in folders if not (folder / "__init__.py").exists()]
