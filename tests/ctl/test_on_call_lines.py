"""Every warning and error that the two programs write is named on the page for those on call."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PACKAGES = (
    "controlplane",
    "dataplane",
    "peer_transport",
    "membership",
    "replication",
    "storage",
    "model_routing",
    "process_settings",
)
FILES = [file for name in PACKAGES for file in sorted((ROOT / "shedgrade" / name).glob("*.py"))]
FILES += [ROOT / "shedgrade/http/server_connection.py", ROOT / "shedgrade/runtime/loop_errors.py"]


def test_the_files_are_there():
    assert all((ROOT / "shedgrade" / name).is_dir() for name in PACKAGES)
    assert all(file.exists() for file in FILES)


def lines() -> list[tuple[str, str]]:
    """(file, text) of each call on the logger whose text stands in the source."""
    return [
        (file.name, node.args[0].value)
        for file in FILES
        for node in ast.walk(ast.parse(file.read_text()))
        if isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr in ("info", "warning", "error", "exception")
        and ast.unparse(node.func.value).endswith("logger")
        and node.args
        and isinstance(node.args[0], ast.Constant)
    ]


def longest_words(text: str) -> str:
    """The longest part of a line that does not change."""
    return max((part.strip(" :,") for part in re.split(r"\{[^}]*\}", text)), key=len)


@pytest.mark.parametrize("file, text", lines())
def test_the_line_is_on_the_page(file, text):
    page = (ROOT / "docs/on-call.md").read_text()
    assert longest_words(text) in page, f"{file}: {text}"
