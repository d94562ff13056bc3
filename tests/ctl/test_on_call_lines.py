"""The on-call page lists exactly the events that the programs log."""

import ast
import re
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PAGE = (ROOT / "docs" / "on-call.md").read_text()
LOG_TABLES = PAGE.split("## Log lines of the sidecar")[1]
# Packages that only test the programs; nobody on call reads their logs.
NOT_SERVING = {"engines", "lab", "simulation", "simulator_adapter"}
# Lines that are printed without the logger: errors of a process that doesn't start, and the note that a log
# which grew too long was cut.
PRINTED = {"shedgrade: WHAT", "settings: PLACE: WHAT", "N earlier events are left out"}
LEVELS = ("debug", "info", "warning", "error", "exception")


def logs(call: ast.Call) -> bool:
    """Whether this is a call on a logger or of `log_exception`, whose first argument is the event."""
    if isinstance(call.func, ast.Name):
        return call.func.id == "log_exception"
    return (
        isinstance(call.func, ast.Attribute)
        and call.func.attr in LEVELS
        and ast.unparse(call.func.value).endswith("logger")
    )


@cache
def events() -> list[tuple[str, str]]:
    """(module, event) of each call that logs."""
    return [
        (str(path.relative_to(ROOT)), node.args[0].value)
        for path in sorted((ROOT / "shedgrade").rglob("*.py"))
        if path.relative_to(ROOT).parts[1] not in NOT_SERVING
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Call) and logs(node) and node.args and isinstance(node.args[0], ast.Constant)
    ]


def rows() -> list[str]:
    """The event in the first column of each row of the page's tables."""
    return [match[1] for match in re.finditer(r"^\| `([^`]+)`", LOG_TABLES, re.MULTILINE)]


def longest_constant_part(text: str) -> str:
    """The longest part of an event's text between placeholders."""
    return max((part.strip(" :,") for part in re.split(r"\{[^}]*\}", text)), key=len)


def test_events_of_all_programs_are_found():
    found = {Path(module).parts[1] for module, _ in events()}
    assert {
        "controlplane",
        "dataplane",
        "http",
        "peer_transport",
        "process_settings",
        "runtime",
        "sidecar",
    } <= found


@pytest.mark.parametrize("module, event", events())
def test_the_event_is_on_the_page(module, event):
    assert f"`{event}`" in LOG_TABLES or longest_constant_part(event) in LOG_TABLES, f"{module}: {event}"


@pytest.mark.parametrize("row", rows())
def test_the_row_names_an_event_of_the_code(row):
    known = {longest_constant_part(event) for _, event in events()}
    assert row in PRINTED or any(event in row for event in known), row
