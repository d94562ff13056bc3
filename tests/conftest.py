"""Fixtures for all tests. Each area has a folder; stand-ins and models in this folder are for all areas."""

import fcntl
import os
import sys
import tempfile
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))


@pytest.fixture
def lab_cores():
    """Lets one test at a time, in this run or another, use the lab's cores.

    The lab pins sidecars to the machine's first cores, and its results do not count if its load generator has
    waited for a core.
    """
    with open(Path(tempfile.gettempdir(), f"shedgrade-lab-cores-{os.getuid()}"), "w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield
