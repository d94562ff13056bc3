"""A pytest plugin that runs the whole suite on several worker processes, and selected tests in one process.

All tests of a file run on one worker, so that fixtures of a module are made once and tests that load the
machine run one after another. Each worker claims its own loopback networks (`tests/addresses.py`). The plugin
changes nothing without pytest-xdist, or with `-n` on the command line.
"""

import os

import pytest

MAX_WORKERS = 4  # about half of them wait at any time, which leaves cores to tests that use real time
CORES_PER_WORKER = 2  # a machine with fewer cores gets fewer workers
SLOWEST_TESTS_FOLDER = "tests/simulation/"  # files with few tests, each of up to a minute
# Environment variable that xdist sets for a worker; child processes inherit it.
WORKER_VARIABLE = "PYTEST_XDIST_WORKER"


def worker_count(cores: int) -> int:
    """Returns the number of worker processes for a number of cores; 0: the tests run in the main process.

    >>> worker_count(16), worker_count(4), worker_count(2)
    (4, 2, 0)
    """
    workers = min(MAX_WORKERS, cores // CORES_PER_WORKER)
    return workers if workers > 1 else 0


@pytest.hookimpl(tryfirst=True)
def pytest_cmdline_main(config: pytest.Config) -> None:
    """Sets options of pytest-xdist before its own hook of this name reads them."""
    if WORKER_VARIABLE in os.environ:
        return  # a worker, or a pytest run that its tests start, must not start workers in turn
    chosen = config.args_source is pytest.Config.ArgsSource.ARGS
    if chosen or not config.pluginmanager.has_plugin("xdist") or config.option.collectonly:
        return
    if config.option.numprocesses is None and not config.option.tx:
        config.option.numprocesses = worker_count(len(os.sched_getaffinity(0)))
        config.option.dist = "loadfile"
        config.option.loadscopereorder = False  # xdist would start with the files that have the most tests


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Puts the longest files first: the whole run would wait for a worker that starts one of them last."""
    items.sort(key=lambda item: not item.nodeid.startswith(SLOWEST_TESTS_FOLDER))
