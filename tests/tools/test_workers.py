"""The cases in which the tests run on worker processes."""

import doctest
from types import SimpleNamespace

import pytest

from tools import workers

SOURCES = pytest.Config.ArgsSource


def options_set_by_plugin(
    *, source=SOURCES.TESTPATHS, xdist=True, worker=False, numprocesses=None, collectonly=False
):
    option = SimpleNamespace(numprocesses=numprocesses, tx=[], dist="no", collectonly=collectonly)
    config = SimpleNamespace(
        args_source=source,
        option=option,
        pluginmanager=SimpleNamespace(has_plugin=lambda name: xdist and name == "xdist"),
    )
    with pytest.MonkeyPatch.context() as patch:
        patch.delenv(workers.WORKER_VARIABLE, raising=False)
        if worker:
            patch.setenv(workers.WORKER_VARIABLE, "gw0")
        workers.pytest_cmdline_main(config)
    return option.numprocesses, option.dist


def test_the_whole_suite_is_run_file_by_file_on_a_few_workers(monkeypatch):
    monkeypatch.setattr(workers.os, "sched_getaffinity", lambda process: range(16))
    assert options_set_by_plugin() == options_set_by_plugin(source=SOURCES.INVOCATION_DIR) == (4, "loadfile")


@pytest.mark.parametrize(
    "more", [{"source": SOURCES.ARGS}, {"xdist": False}, {"worker": True}, {"collectonly": True}]
)
def test_chosen_tests_and_workers_are_left_alone(more):
    assert options_set_by_plugin(**more) == (None, "no")


def test_options_of_the_command_line_are_kept():
    assert options_set_by_plugin(numprocesses=0) == (0, "no")


def test_doctests():
    assert doctest.testmod(workers).failed == 0
