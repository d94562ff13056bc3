"""Tests stand by area; the stand-ins and models at the top are for all of them."""

import fcntl
import os
import sys
import tempfile
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))


@pytest.fixture
def lab_cores():
    """Held by one test at a time, in this run or another: the lab pins sidecars to the machine's first cores,
    and calls its figures none where its load generator waits for a core."""
    with open(Path(tempfile.gettempdir(), f"shedgrade-lab-cores-{os.getuid()}"), "w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield
