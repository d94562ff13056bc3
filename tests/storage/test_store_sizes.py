"""Disk usage and work are bounded over 10,000 changes, and a change costs no more with thousands of keys."""

from random import Random

import pytest

from shedgrade.simulation.disk import SimulatedDisk
from shedgrade.storage import Store, recovery, store

CHANGES = 10_000


def open_store():
    disk = SimulatedDisk(Random(0))
    opened = Store("simulated", files=disk.files)
    opened.load()
    return disk, opened


def size_on_disk(disk):
    """Returns the size of all files. While a file is truncated, its cached size is below its synced size."""
    return sum(max(len(file.cache), len(file.durable)) for file in disk.files_by_name.values())


def size_bound(whole, record):
    """Returns the size of two slots and two logs, each as long as its slot or the minimum, plus a record."""
    log = max(store.MIN_LOG_BYTES, whole) + record
    return 2 * whole + 2 * log + 1024


@pytest.mark.parametrize(("size", "changes"), [(1_000, CHANGES), (300_000, 300)])
def test_ten_thousand_changes_of_one_configuration_stay_within_two_slots_and_two_logs(size, changes):
    disk, opened = open_store()
    for number in range(changes):
        opened.write(
            {"state/configuration": bytes([number % 256]) * size, "replication/place": b"%d" % number}
        )
        assert size_on_disk(disk) <= size_bound(size + 200, size + 200)
    assert recovery.recover(disk.files).values["replication/place"] == b"%d" % (changes - 1)


def test_ten_thousand_changes_that_each_add_a_key_write_little_more_than_their_own_bytes():
    disk, opened = open_store()
    for number in range(CHANGES):
        opened.write({f"state/taken/{number:08}": b"%020d" % number, "state/version": b"%d" % number})
    whole = sum(len(key) + len(value) + 8 for key, value in opened.values.items())
    assert size_on_disk(disk) <= size_bound(whole, 200)
    # a change has about 100 bytes; a slot with all keys is written once per 1,024 changes or per full log
    assert disk.bytes_written < CHANGES * 400
    assert len(recovery.recover(disk.files).values) == CHANGES + 1


class IterationCountingDict(dict):
    """Counts the iterations over a map."""

    __slots__ = ("iterations",)

    def __init__(self, *args):
        super().__init__(*args)
        self.iterations = 0

    def __iter__(self):
        self.iterations += 1
        return super().__iter__()

    def items(self):
        self.iterations += 1
        return super().items()

    def keys(self):
        self.iterations += 1
        return super().keys()


def test_appending_a_record_does_not_iterate_over_all_keys():
    disk, opened = open_store()
    opened.write({f"state/taken/{number}": b"x" * 20 for number in range(5_000)})
    opened.values = IterationCountingDict(opened.values)
    for number in range(500):
        opened.write({"state/version": b"%d" % number, f"state/taken/{number}": None})
    assert opened.values.iterations == 0 and len(opened.values) == 4_501
    assert recovery.recover(disk.files).values == dict(opened.values)


def test_the_size_bound_of_the_map_holds_as_keys_are_added_and_removed():
    _, opened = open_store()
    for number in range(50):
        opened.write({f"k{number % 7}": bytes(number * 10), f"k{number % 5}": None})
    expected = sum(4 * len(key) + len(value) + 16 for key, value in opened.values.items())
    assert opened.map_bytes == expected
