"""The simulated disk keeps what was synced, and loses the rest in every possible way."""

import errno
from random import Random

import pytest

from shedgrade.simulation.disk import SECTOR_BYTES, SimulatedDisk


def after_loss(prepare, name, seeds=300):
    """Returns the contents that power losses leave of one file; None where its name is lost."""
    found = set()
    for seed in range(seeds):
        disk = SimulatedDisk(Random(seed))
        files = disk.files
        prepare(files)
        disk.power_loss(Random(seed))
        contents = disk.contents()
        assert disk.files.names() == sorted(contents)
        found.add(contents.get(name))
    return found


def test_a_file_that_was_synced_with_its_name_survives():
    def prepare(files):
        files.write("x", 0, b"abc")
        files.sync("x")
        files.sync_folder()

    assert after_loss(prepare, "x") == {b"abc"}


@pytest.mark.parametrize("synced", ["file", "folder", "none"])
def test_a_new_file_without_a_sync_of_it_or_of_the_folder_may_be_lost(synced):
    def prepare(files):
        files.write("x", 0, b"abc")
        if synced == "file":
            files.sync("x")
        elif synced == "folder":
            files.sync_folder()

    found = after_loss(prepare, "x")
    assert None in found and b"abc" in found
    assert (found == {None, b"abc"}) == (synced == "file")


def test_an_unsynced_write_survives_is_lost_or_is_torn_independently_of_the_next():
    def prepare(files):
        files.write("x", 0, b"0000")
        files.sync("x")
        files.sync_folder()
        files.write("x", 0, b"1")
        files.write("x", 3, b"2")
        files.truncate("x", 2)

    whole = {b"0000", b"1000", b"0002", b"1002"}
    assert after_loss(prepare, "x") == whole | {content[:2] for content in whole}


def test_a_torn_write_loses_sectors_or_its_end():
    def prepare(files):
        files.write("x", 0, bytes(2 * SECTOR_BYTES))
        files.sync("x")
        files.sync_folder()
        files.write("x", 0, b"1" * 2 * SECTOR_BYTES)

    found = after_loss(prepare, "x")
    assert {
        bytes(2 * SECTOR_BYTES),
        b"1" * 2 * SECTOR_BYTES,
        bytes(SECTOR_BYTES) + b"1" * SECTOR_BYTES,
    } <= found
    assert any(
        content.rstrip(b"\0") not in (b"", b"1" * SECTOR_BYTES, b"1" * 2 * SECTOR_BYTES) for content in found
    )


def test_a_full_disk_refuses_each_write_and_keeps_what_it_has():
    disk = SimulatedDisk(Random(1))
    files = disk.files
    files.write("x", 0, b"abc")
    disk.full = True
    for write in (lambda: files.write("x", 0, b"z"), lambda: files.truncate("x", 0)):
        with pytest.raises(OSError) as error:
            write()
        assert error.value.errno == errno.ENOSPC
    files.sync("x")
    files.sync_folder()
    disk.power_loss(Random(1))
    assert disk.contents() == {"x": b"abc"}


def test_a_sync_that_failed_is_not_repaired_by_the_next():
    found = set()
    for seed in range(100):
        disk = SimulatedDisk(Random(seed))
        files = disk.files
        files.write("x", 0, b"0000")
        files.sync("x")
        files.sync_folder()
        files.write("x", 0, b"1")

        def fail_sync(operation, name):
            raise OSError(errno.EIO, "sync")

        disk.on_operation = fail_sync
        with pytest.raises(OSError):
            files.sync("x")
        disk.on_operation = None
        assert files.read("x") == b"1000"
        files.write("x", 3, b"2")
        files.sync("x")
        disk.power_loss(Random(seed))
        found.add(disk.contents()["x"])
    assert found == {b"0002", b"1002"}


def test_files_opened_before_a_power_loss_or_a_wipe_can_no_longer_be_used():
    for end in (lambda disk: disk.power_loss(Random(1)), SimulatedDisk.wipe):
        disk = SimulatedDisk(Random(1))
        files = disk.files
        files.write("x", 0, b"abc")
        files.sync("x")
        end(disk)
        for call in ((files.names,), (files.read, "x"), (files.write, "x", 0, b"z"), (files.sync_folder,)):
            with pytest.raises(OSError):
                call[0](*call[1:])
    assert disk.files.names() == []
