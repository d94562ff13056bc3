"""Costs, errors and effects of each call of the store, on a real folder and on a simulated disk."""

import contextlib
import errno
import os
from random import Random

import pytest

from shedgrade import file_frames
from shedgrade.simulation.disk import SimulatedDisk
from shedgrade.storage import Store, StoreState, layout, recovery, store
from shedgrade.storage.files import Files


def simulated(seed=0):
    disk = SimulatedDisk(Random(seed))
    return disk, Store("simulated", files=disk.files)


def recovered(disk):
    """Returns what a start would load; writes nothing."""
    return recovery.recover(disk.files)


def test_a_missing_folder_is_empty_and_is_created_by_the_first_write(tmp_path):
    folder = tmp_path / "deep" / "control"
    opened = Store(folder)
    assert opened.load().state is StoreState.EMPTY and opened.load().state == "empty" and not folder.exists()
    opened.write({"configuration": b"c", "version": b"7"})
    opened.write({"version": b"8", "configuration": None})
    opened.close()
    assert sorted(os.listdir(folder)) == ["log-a", "log-b", "slot-a", "slot-b"]
    found = Store(folder).load()
    assert (found.state, found.values, found.findings) == (StoreState.SOUND, {"version": b"8"}, ())


def test_values_in_a_real_folder_survive_many_slots_and_starts(tmp_path):
    model, random = {}, Random(5)
    for _ in range(6):
        opened = Store(tmp_path)
        assert opened.load().values == model
        for number in range(50):
            key = f"k{random.randrange(6)}"
            value = random.choice([None, b"", bytes([number]) * random.randrange(9000)])
            opened.write({key: value})
            model[key] = value
            model = {key: value for key, value in model.items() if value is not None}
        opened.close()
    assert Store(tmp_path).load().values == model


def test_other_files_in_the_folder_are_ignored(tmp_path):
    (tmp_path / "lost+found").write_bytes(b"x")
    assert Store(tmp_path).load().state is StoreState.EMPTY


def test_values_of_four_megabytes_are_kept_and_their_disk_usage_is_bounded(tmp_path):
    opened = Store(tmp_path)
    for number in range(7):
        opened.write({"configuration": bytes([number]) * 4_000_000, "version": b"%d" % number})
        opened.write({"version": b"+%d" % number})
    opened.close()
    assert Store(tmp_path).load().values == {"configuration": b"\6" * 4_000_000, "version": b"+6"}
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) < 4 * 4_100_000


def test_each_write_after_the_first_costs_one_sync_and_the_log_stays_short():
    disk, opened = simulated()
    opened.load()
    opened.write({"a": b"1"})
    assert disk.syncs == 2  # the slot, the folder
    for number in range(store.MAX_LOG_RECORDS):
        opened.write({"a": b"%d" % number})
    assert disk.syncs == 2 + store.MAX_LOG_RECORDS
    slot_before = disk.contents()["slot-b"]
    opened.write({"a": b"snapshot"})
    assert slot_before == b"" and disk.contents()["slot-b"] and disk.syncs == 3 + store.MAX_LOG_RECORDS
    assert recovered(disk).values == {"a": b"snapshot"}


def test_a_log_grows_no_longer_than_its_slot_or_the_minimum():
    disk, opened = simulated()
    for number in range(300):
        opened.write({"a": bytes(1000), "n": b"%d" % number})
        assert all(len(data) <= store.MIN_LOG_BYTES + 2000 for data in disk.contents().values())
    assert recovered(disk).values["n"] == b"299"


def test_long_files_become_short_again():
    disk, opened = simulated()
    for size in (90_000, 90_000, 0, 0, 0):
        opened.close()
        opened.write({"a": bytes(size)})
        opened.write({"b": bytes(size // 2)})
    sizes = {name: len(data) for name, data in disk.contents().items()}
    assert sorted(sizes) == ["log-a", "log-b", "slot-a", "slot-b"] and max(sizes.values()) < 200, sizes


def test_a_full_disk_refuses_and_the_next_write_works_in_the_other_slot():
    disk, opened = simulated()
    opened.write({"a": b"1"})
    opened.write({"a": b"2"})
    log = disk.contents()["log-a"]
    disk.full = True
    for _ in range(3):
        with pytest.raises(OSError) as refused:
            opened.write({"a": b"3"})
        assert refused.value.errno == errno.ENOSPC
    assert recovered(disk).values == {"a": b"2"}
    disk.full = False
    opened.write({"b": b"4"})
    assert disk.contents()["log-a"] == log
    assert recovered(disk).values == {"a": b"2", "b": b"4"}


def test_the_next_write_overrides_the_bytes_that_a_failed_one_left():
    disk, opened = simulated()
    opened.write({"a": b"1"})

    def fail_operation(operation, name):
        if operation == "sync":
            raise OSError(errno.EIO, "sync")

    disk.on_operation = fail_operation
    with pytest.raises(OSError):
        opened.write({"a": b"2"})
    disk.on_operation = None
    assert layout.decode_log(disk.contents()["log-a"]).changes == [{"a": b"2"}]
    opened.write({"b": b"3"})
    assert recovered(disk).values == {"a": b"1", "b": b"3"}


def test_the_unsynced_write_of_a_killed_process_is_durable_once_a_load_has_returned_it():
    for seed in range(20):
        disk, opened = simulated(seed)
        opened.write({"a": b"1"})

        def fail_operation(operation, name):
            if operation == "sync":
                raise KeyboardInterrupt

        disk.on_operation = fail_operation
        with pytest.raises(KeyboardInterrupt):
            opened.write({"a": b"2"})
        # a load only syncs a full disk, and rewrites another one
        disk.on_operation, disk.full = None, seed % 2 == 0
        assert Store("simulated", files=disk.files).load().values == {"a": b"2"}
        disk.power_loss(Random(seed))
        assert recovered(disk).values == {"a": b"2"}


def test_a_write_whose_sync_failed_is_durable_once_a_load_has_returned_it():
    for seed in range(20):
        disk, opened = simulated(seed)
        opened.write({"a": b"1"})

        def fail_operation(operation, name):
            if operation == "sync":
                raise OSError(errno.EIO, "sync")

        disk.on_operation = fail_operation
        with pytest.raises(OSError):
            opened.write({"a": b"2"})
        disk.on_operation = None
        assert Store("simulated", files=disk.files).load().values == {"a": b"2"}
        disk.power_loss(Random(seed))
        assert recovered(disk).values == {"a": b"2"}


def test_the_older_slot_is_not_written_while_the_newer_one_may_not_be_durable():
    for seed in range(60):
        disk, opened = simulated(seed)
        opened.write({"a": b"1" * 2000})

        def fail_operation(operation, name):
            if operation == "sync":
                raise OSError(errno.EIO, "sync")

        disk.on_operation = fail_operation
        for _ in range(2):  # the log, then slot-b: readable, but perhaps not on disk
            with pytest.raises(OSError):
                opened.write({"a": b"2" * 2000})
        disk.on_operation, disk.full = None, seed % 2 == 0
        reopened, remaining = Store("simulated", files=disk.files), [seed % 7]
        reopened.load()
        disk.full = False

        def kill_process(operation, name, remaining=remaining):
            remaining[0] -= 1
            if remaining[0] < 0:
                raise KeyboardInterrupt

        disk.on_operation = kill_process
        with contextlib.suppress(KeyboardInterrupt):
            reopened.write({"b": b"3"})
        disk.on_operation = None
        disk.power_loss(Random(seed))
        found = recovered(disk)
        assert found.state is StoreState.SOUND and found.values["a"] in (b"1" * 2000, b"2" * 2000)


def test_a_state_that_a_load_did_not_return_never_reappears():
    for seed in range(60):
        disk, opened = simulated(seed)
        for _ in range(2):  # a start before each, so that both slots have been synced
            opened.write({"a": b"1"})
            opened.close()
        opened.load()

        def fail_operation(operation, name, kind=OSError):
            if operation == ("sync" if kind is OSError else "write"):
                raise kind

        disk.on_operation = fail_operation
        for value in (b"2", b"3"):  # to the log, then to the other slot: either may be on disk completely
            with pytest.raises(OSError):
                opened.write({"a": value})
        disk.on_operation = lambda operation, name: fail_operation(operation, name, KeyboardInterrupt)
        with pytest.raises(KeyboardInterrupt):  # overwrites a part of that slot, without a sync
            opened.write({"b": b"4" * 900})
        disk.on_operation = None
        loaded = Store("simulated", files=disk.files).load().values
        disk.power_loss(Random(seed))
        assert recovered(disk).values == loaded


def test_a_load_that_can_neither_write_nor_sync_fails():
    disk, opened = simulated()
    opened.write({"a": b"1"})

    def fail_operation(operation, name):
        raise OSError(errno.EIO, "gone")

    disk.on_operation = fail_operation
    reopened = Store("simulated", files=disk.files)
    with pytest.raises(OSError):
        reopened.load()
    with pytest.raises(OSError):
        reopened.write({"a": b"2"})
    disk.on_operation = None
    reopened.write({"b": b"3"})
    assert recovered(disk).values == {"a": b"1", "b": b"3"}


def test_a_start_costs_four_syncs_and_the_first_write_after_it_one():
    disk, opened = simulated()
    opened.write({"a": b"1"})
    opened.write({"a": b"2"})
    before, reopened = disk.syncs, Store("simulated", files=disk.files)
    reopened.load()
    assert disk.syncs == before + 4
    reopened.write({"a": b"3"})
    assert disk.syncs == before + 5 and recovered(disk).values == {"a": b"3"}


def test_a_map_too_large_is_refused_and_nothing_is_written():
    disk, opened = simulated()
    opened.write({"a": b"1"})
    before = disk.contents()
    with pytest.raises(OSError) as refused:
        opened.write({"b": bytes(layout.MAX_MAP_BYTES)})
    assert refused.value.errno == errno.EFBIG and disk.contents() == before
    opened.write({"b": bytes(layout.MAX_MAP_BYTES - 100)})
    assert len(recovered(disk).values["b"]) == layout.MAX_MAP_BYTES - 100


@pytest.mark.parametrize("changes", [{1: b"x"}, {"a": 5}, {"a": "text"}])
def test_keys_other_than_strings_and_values_other_than_bytes_are_refused(changes):
    disk, opened = simulated()
    opened.write({"a": b"1"})
    with pytest.raises(TypeError):
        opened.write(changes)
    opened.write({"b": bytearray(b"2")})
    assert recovered(disk).values == {"a": b"1", "b": b"2"}


def test_a_write_without_a_load_continues_from_the_state_on_disk(tmp_path):
    Store(tmp_path).write({"a": b"1"})
    Store(tmp_path).write({"b": b"2"})
    assert Store(tmp_path).load().values == {"a": b"1", "b": b"2"}


def test_files_can_be_written_again_after_they_were_closed(tmp_path):
    files = Files(tmp_path)
    files.write("x", 3, b"abc")
    files.sync("x")
    files.close()
    files.write("x", 0, b"xyz")
    files.truncate("x", 5)
    assert files.read("x") == b"xyzab" and files.names() == ["x"]
    files.close()


def test_file_names_and_state_names_are_stable():
    assert recovery.FILE_NAMES == ("slot-a", "log-a", "slot-b", "log-b")
    assert [str(state) for state in StoreState] == ["empty", "sound", "damaged"]


@pytest.mark.parametrize(
    ("attribute", "value"),
    [("active_slot", "c"), ("map_bytes", 1), ("base_lsn", 99), ("names_durable", False)],
)
def test_a_broken_invariant_is_found(attribute, value):
    opened = Store("simulated", files=SimulatedDisk(Random(1)).files)
    opened.load()
    opened.write({"a": b"1"})
    opened.check_invariants()
    setattr(opened, attribute, value)
    with pytest.raises(AssertionError):
        opened.check_invariants()


def test_the_error_for_a_later_version_contains_both_versions(monkeypatch):
    monkeypatch.setattr(file_frames, "VERSION", 3)
    later = file_frames.encode_header(file_frames.SNAPSHOT, 1)
    monkeypatch.undo()
    with pytest.raises(file_frames.NewerVersionError) as error:
        file_frames.decode_file(later, file_frames.SNAPSHOT)
    assert (error.value.version, error.value.supported) == (3, 1)


def test_the_error_for_a_damaged_record_contains_its_damage_and_offset():
    data = file_frames.encode_header(file_frames.LOG, 1) + file_frames.encode_record({"n": 1})
    with pytest.raises(file_frames.RecordError) as error:
        file_frames.read_record(data[:-1], file_frames.HEADER_BYTES)
    assert error.value.damage is file_frames.RecordDamage.TORN
    assert error.value.offset == file_frames.HEADER_BYTES
    assert (
        file_frames.decode_file(data[:-1], file_frames.LOG).damage
        == f"torn at byte {file_frames.HEADER_BYTES}"
    )
