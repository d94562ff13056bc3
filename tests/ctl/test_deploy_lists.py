"""The modules and requirements that are listed for deployment are those that the sources import."""

import ast
import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
# Commands that aren't run on a machine with a sidecar in service.
NOT_DEPLOYED = (
    "shedgrade/cli/lab.py",
    "shedgrade/cli/quota.py",
)


def listed_files() -> set[Path]:
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    paths = [ROOT / name for name in deploy["policy"] + deploy["node"]]
    assert all(path.exists() for path in paths)
    return {file for path in paths for file in ([path] if path.is_file() else path.rglob("*.py"))}


def imported_files(file: Path) -> set[Path]:
    """The modules of this project that a file imports, anywhere in it."""
    names = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and not node.level:
            names |= {node.module} | {f"{node.module}.{alias.name}" for alias in node.names}
    paths = {ROOT / name.replace(".", "/") for name in names if name.split(".")[0] == "shedgrade"}
    found = {file for path in paths for file in (path.with_suffix(".py"), path / "__init__.py")}
    return {file for file in found if file.exists()}


def test_the_sidecar_imports_only_files_that_its_deploy_file_lists():
    files = listed_files()
    missing = {
        (str(file.relative_to(ROOT)), str(needed.relative_to(ROOT)))
        for file in files
        if str(file.relative_to(ROOT)) not in NOT_DEPLOYED
        for needed in imported_files(file) - files
    }
    assert not missing


def test_the_package_has_the_requirements_that_daemons_are_installed_with():
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    required = {re.split("[=<>]", line)[0] for line in (ROOT / "requirements.txt").read_text().split()}
    assert set(project["dependencies"]) == required


def test_every_package_is_found_by_the_installer():
    folders = {file.parent for file in (ROOT / "shedgrade").rglob("*.py")}
    assert not [folder for folder in folders if not (folder / "__init__.py").exists()]
