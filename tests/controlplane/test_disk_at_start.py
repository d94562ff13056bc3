"""A disk in trouble when a core process starts: it is tried again, and the process doesn't end."""

from shedgrade.controlplane.disk_thread import load_store
from shedgrade.storage import LoadResult


class Troubled:
    def __init__(self, failures):
        self.failures = failures

    def load(self):
        if self.failures:
            self.failures -= 1
            raise OSError(5, "Input/output error")
        return LoadResult("sound", {"key": b"value"}, ())


def test_a_disk_in_trouble_is_tried_again():
    waits = []
    found = load_store(Troubled(3), waits.append)
    assert found.values == {"key": b"value"} and len(waits) == 3
