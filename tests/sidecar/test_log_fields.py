"""Keyword fields of log lines, in both formats of the sidecar's log."""

import json

import pytest
from loguru import logger

from shedgrade.sidecar.lifecycle.logs import log_to_stderr


@pytest.fixture(autouse=True)
def no_sinks_afterwards():
    yield
    logger.remove()


def test_the_text_format_appends_each_field_to_the_event(capsys):
    log_to_stderr("INFO", "text")
    logger.warning("accepting failed", error=OSError(24, "Too many open files"), retry_s=0.5)
    line = capsys.readouterr().err
    at, level, message = line.split(" ", 2)
    assert len(at) == len("HH:MM:SS.mmm")
    assert level == "WARNING"
    assert message == "accepting failed error=[Errno 24] Too many open files retry_s=0.5\n"


def test_the_text_format_of_an_event_without_fields_ends_with_the_event(capsys):
    log_to_stderr("INFO", "text")
    logger.info("{} of {}", 1, 2)
    assert capsys.readouterr().err.endswith(" INFO 1 of 2\n")


def test_values_with_braces_and_angle_brackets_are_written_as_they_are(capsys):
    log_to_stderr("INFO", "text")
    logger.info("endpoint rejected", entry="{'id': 1} <red>{0}</red>")
    assert capsys.readouterr().err.endswith(" endpoint rejected entry={'id': 1} <red>{0}</red>\n")


def test_the_text_format_keeps_the_traceback_of_an_exception(capsys):
    log_to_stderr("INFO", "text")
    try:
        raise ValueError("no such zone")
    except ValueError:
        logger.exception("reload failed", path="x")
    lines = capsys.readouterr().err.splitlines()
    assert lines[0].endswith(" ERROR reload failed path=x")
    assert lines[1].startswith("Traceback")
    assert lines[-1] == "ValueError: no such zone"


def test_the_json_format_has_each_field_as_a_key_of_its_own(capsys):
    log_to_stderr("INFO", "json")
    logger.warning("accepting failed", error=OSError("none left"), attempt=3, zone=None)
    found = json.loads(capsys.readouterr().err)
    assert found["text"] == "accepting failed"
    assert found["level"] == "WARNING"
    assert (found["error"], found["attempt"], found["zone"]) == ("none left", 3, None)


def test_a_field_does_not_replace_a_fixed_key_of_the_json_format(capsys):
    log_to_stderr("INFO", "json")
    logger.info("started", level="mine", text="mine")
    found = json.loads(capsys.readouterr().err)
    assert (found["level"], found["text"]) == ("INFO", "started")
