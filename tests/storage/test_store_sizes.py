"""Disk and work stay bounded over 10,000 changes, and a change costs no more with thousands of keys."""

from random import Random

import pytest

from shedgrade.simulation.disk import SimulatedDisk
from shedgrade.storage import Store, recovery, store

CHANGES = 10_000


def opened():
    disk = SimulatedDisk(Random(0))
    one = Store("simulated", files=disk.files)
    one.load()
    return disk, one


def size_on_disk(disk):
    """A file is never shorter in the cache than what is synced of it, but while it is cut."""
    return sum(max(len(file.cache), len(file.durable)) for file in disk.files_by_name.values())


def largest_bound(whole, record):
    """Two slots and two logs, each log as long as its slot or the least, and one record."""
    log = max(store.MIN_LOG_BYTES, whole) + record
    return 2 * whole + 2 * log + 1024


@pytest.mark.parametrize(("size", "changes"), [(1_000, CHANGES), (300_000, 300)])
def test_ten_thousand_changes_of_one_configuration_stay_within_two_slots_and_two_logs(size, changes):
    disk, one = opened()
    for number in range(changes):
        one.write({"state/configuration": bytes([number % 256]) * size, "replication/place": b"%d" % number})
        assert size_on_disk(disk) <= largest_bound(size + 200, size + 200)
    assert recovery.recover(disk.files).values["replication/place"] == b"%d" % (changes - 1)


def test_ten_thousand_changes_that_each_leave_a_key_write_few_bytes_more_than_their_own():
    disk, one = opened()
    for number in range(CHANGES):
        one.write({f"state/taken/{number:08}": b"%020d" % number, "state/version": b"%d" % number})
    whole = sum(len(key) + len(value) + 8 for key, value in one.values.items())
    assert size_on_disk(disk) <= largest_bound(whole, 200)
    # each change about 100 bytes; a slot with all keys is written once in 1,024 changes or a log as long
    assert disk.bytes_written < CHANGES * 400
    assert len(recovery.recover(disk.files).values) == CHANGES + 1


class Watched(dict):
    """A map that must not be gone through."""

    __slots__ = ("walks",)

    def __init__(self, *args):
        super().__init__(*args)
        self.walks = 0

    def __iter__(self):
        self.walks += 1
        return super().__iter__()

    def items(self):
        self.walks += 1
        return super().items()

    def keys(self):
        self.walks += 1
        return super().keys()


def test_a_record_of_the_log_does_not_go_through_all_keys():
    disk, one = opened()
    one.write({f"state/taken/{number}": b"x" * 20 for number in range(5_000)})
    one.values = Watched(one.values)
    for number in range(500):
        one.write({"state/version": b"%d" % number, f"state/taken/{number}": None})
    assert one.values.walks == 0 and len(one.values) == 4_501
    assert recovery.recover(disk.files).values == dict(one.values)


def test_the_bound_of_the_whole_map_holds_as_keys_come_and_go():
    _, one = opened()
    for number in range(50):
        one.write({f"k{number % 7}": bytes(number * 10), f"k{number % 5}": None})
    expected = sum(4 * len(key) + len(value) + 16 for key, value in one.values.items())
    assert one.map_bytes == expected
