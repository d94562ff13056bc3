"""Decisions of an earlier version, loaded beside the present ones: `replay --with` an older checkout."""

import sys
import zipfile
from pathlib import Path

import pytest
from typer.testing import CliRunner

from shedgrade import load_balancing
from shedgrade.cli import app
from shedgrade.sidecar.capture.explanation import explain
from shedgrade.sidecar.capture.files import load
from shedgrade.sidecar.capture.older_decisions import (
    METHODS,
    MOVED_MODULES,
    find_decisions,
    load_decisions,
)
from shedgrade.sidecar.capture.stored_names import ATTRIBUTES, CLASSES

DATA = Path(__file__).resolve().parents[2] / "data"
CAPTURES = ["from-start.bin", "from-checkpoint.bin"]


@pytest.fixture
def checkout(tmp_path):
    """A checkout that has only the decisions of an earlier version, in the folder of that version."""
    with zipfile.ZipFile(DATA / "decisions-as-found.zip") as archive:
        archive.extractall(tmp_path)
    return tmp_path


@pytest.mark.parametrize("name", CAPTURES)
@pytest.mark.parametrize("folder", [".", "shedgrade/decide"])
def test_a_capture_replays_on_older_decisions_to_the_same_answers(checkout, name, folder):
    result = CliRunner().invoke(
        app, ["replay", str(DATA / "capture" / name), "--with", str(checkout / folder)]
    )
    assert result.exit_code == 0, result.output
    assert (
        " calls, 0 answers differ, 0 of them decisions; 0 calls could not be made with the other module"
        in result.output
    )


def test_older_names_of_moved_modules_are_gone_once_the_decisions_are_loaded(checkout):
    load_decisions(find_decisions(checkout))
    assert not set(MOVED_MODULES) & set(sys.modules)
    assert "shedgrade.core" not in sys.modules


@pytest.mark.parametrize("name", CAPTURES)
def test_an_explanation_on_older_decisions_is_that_of_the_present_ones(checkout, name):
    records, _ = load(DATA / "capture" / name)
    number = next(row[2] for one in records if one["k"] == "rows" for row in one["r"] if row[0] == 0)
    older = load_decisions(find_decisions(checkout))
    assert hasattr(older.Balancer, "take")
    lines = explain(records, number, older)
    assert lines == explain(records, number)
    assert any("is next with room" in line for line in lines)


def test_names_in_the_tables_are_those_of_the_decisions(checkout):
    older = load_decisions(find_decisions(checkout))
    for stored, present in CLASSES.items():
        slots = getattr(load_balancing, present).__slots__
        table = ATTRIBUTES[stored]
        assert [table.get(name, name) for name in getattr(older, stored).__slots__] == list(slots)
    for class_name, methods in METHODS.items():
        for older_name, present in methods.items():
            assert callable(getattr(getattr(older, class_name), older_name))
            assert callable(getattr(getattr(load_balancing, class_name), present))
            assert not hasattr(getattr(load_balancing, class_name), older_name)


def test_a_folder_without_decisions_is_refused(tmp_path):
    result = CliRunner().invoke(app, ["replay", str(DATA / "capture" / CAPTURES[0]), "--with", str(tmp_path)])
    assert result.exit_code != 0
    assert find_decisions(tmp_path) is None
