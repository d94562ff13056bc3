"""A disk that can't be read when a core process starts is retried, and the process doesn't end."""

from shedgrade.controlplane.disk_thread import load_store
from shedgrade.storage import LoadResult


class FailingStore:
    def __init__(self, failures):
        self.failures = failures

    def load(self):
        if self.failures:
            self.failures -= 1
            raise OSError(5, "Input/output error")
        return LoadResult("sound", {"key": b"value"}, ())


def test_a_failing_read_is_retried():
    waits = []
    loaded = load_store(FailingStore(3), waits.append)
    assert loaded.values == {"key": b"value"} and len(waits) == 3
