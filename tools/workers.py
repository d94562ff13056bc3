"""A pytest plugin that runs the whole suite on a few worker processes, and chosen tests in one.

Whole files go to a worker, so that fixtures of a module are made once and tests that load the machine stay
one after another. Each worker claims loopback networks of its own (`tests/addresses.py`). Without
pytest-xdist, or with `-n` on the command line, nothing is changed.
"""

import os

import pytest

WORKERS = 4  # half of them wait at any time, so that tests with real times keep their processor
CORES_A_WORKER = 2  # fewer cores, fewer workers
LONGEST = "tests/simulation/"  # few tests a file, up to a minute each
WORKER_MARK = "PYTEST_XDIST_WORKER"  # the variable that xdist sets for a worker and all that it starts


def worker_count(cores: int) -> int:
    """Worker processes for a machine with so many cores; 0: the tests run in the process itself.

    >>> worker_count(16), worker_count(4), worker_count(2)
    (4, 2, 0)
    """
    workers = min(WORKERS, cores // CORES_A_WORKER)
    return workers if workers > 1 else 0


@pytest.hookimpl(tryfirst=True)
def pytest_cmdline_main(config: pytest.Config) -> None:
    """Before xdist's hook of the same name, which reads these options."""
    if WORKER_MARK in os.environ:
        return  # a worker, or what one of its tests runs, would start workers again, without end
    chosen = config.args_source is pytest.Config.ArgsSource.ARGS
    if chosen or not config.pluginmanager.has_plugin("xdist") or config.option.collectonly:
        return
    if config.option.numprocesses is None and not config.option.tx:
        config.option.numprocesses = worker_count(len(os.sched_getaffinity(0)))
        config.option.dist = "loadfile"
        config.option.loadscopereorder = False  # xdist would begin with the files of the most tests


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """The longest files first: a worker that gets one of them last keeps all others waiting."""
    items.sort(key=lambda item: not item.nodeid.startswith(LONGEST))
