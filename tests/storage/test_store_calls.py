"""What each call of the store costs, refuses and leaves; on a real folder and on a simulated disk."""

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


def again(disk):
    """What a start would find; nothing is written."""
    return recovery.recover(disk.files)


def test_a_folder_that_is_not_there_is_empty_and_is_made_by_the_first_write(tmp_path):
    folder = tmp_path / "deep" / "control"
    one = Store(folder)
    assert one.load().state is StoreState.EMPTY and one.load().state == "empty" and not folder.exists()
    one.write({"configuration": b"c", "version": b"7"})
    one.write({"version": b"8", "configuration": None})
    one.close()
    assert sorted(os.listdir(folder)) == ["log-a", "log-b", "slot-a", "slot-b"]
    found = Store(folder).load()
    assert (found.state, found.values, found.findings) == (StoreState.SOUND, {"version": b"8"}, ())


def test_values_come_back_from_a_real_folder_over_many_slots_and_starts(tmp_path):
    model, random = {}, Random(5)
    for _ in range(6):
        one = Store(tmp_path)
        assert one.load().values == model
        for number in range(50):
            key = f"k{random.randrange(6)}"
            value = random.choice([None, b"", bytes([number]) * random.randrange(9000)])
            one.write({key: value})
            model[key] = value
            model = {key: value for key, value in model.items() if value is not None}
        one.close()
    assert Store(tmp_path).load().values == model


def test_other_files_in_the_folder_are_not_ours(tmp_path):
    (tmp_path / "lost+found").write_bytes(b"x")
    assert Store(tmp_path).load().state is StoreState.EMPTY


def test_values_of_four_megabytes_are_kept_and_their_disk_is_bounded(tmp_path):
    one = Store(tmp_path)
    for number in range(7):
        one.write({"configuration": bytes([number]) * 4_000_000, "version": b"%d" % number})
        one.write({"version": b"+%d" % number})
    one.close()
    assert Store(tmp_path).load().values == {"configuration": b"\6" * 4_000_000, "version": b"+6"}
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) < 4 * 4_100_000


def test_a_write_is_one_sync_but_the_first_and_the_log_stays_short():
    disk, one = simulated()
    one.load()
    one.write({"a": b"1"})
    assert disk.syncs == 2  # the slot, the folder
    for number in range(store.MAX_LOG_RECORDS):
        one.write({"a": b"%d" % number})
    assert disk.syncs == 2 + store.MAX_LOG_RECORDS
    slots = disk.contents()["slot-b"]
    one.write({"a": b"folded"})
    assert slots == b"" and disk.contents()["slot-b"] and disk.syncs == 3 + store.MAX_LOG_RECORDS
    assert again(disk).values == {"a": b"folded"}


def test_a_log_grows_no_longer_than_its_slot_or_the_least():
    disk, one = simulated()
    for number in range(300):
        one.write({"a": bytes(1000), "n": b"%d" % number})
        assert all(len(data) <= store.MIN_LOG_BYTES + 2000 for data in disk.contents().values())
    assert again(disk).values["n"] == b"299"


def test_files_that_were_long_get_short_again():
    disk, one = simulated()
    for size in (90_000, 90_000, 0, 0, 0):
        one.close()
        one.write({"a": bytes(size)})
        one.write({"b": bytes(size // 2)})
    sizes = {name: len(data) for name, data in disk.contents().items()}
    assert sorted(sizes) == ["log-a", "log-b", "slot-a", "slot-b"] and max(sizes.values()) < 200, sizes


def test_a_full_disk_refuses_and_the_next_write_works_in_the_other_slot():
    disk, one = simulated()
    one.write({"a": b"1"})
    one.write({"a": b"2"})
    log = disk.contents()["log-a"]
    disk.full = True
    for _ in range(3):
        with pytest.raises(OSError) as refused:
            one.write({"a": b"3"})
        assert refused.value.errno == errno.ENOSPC
    assert again(disk).values == {"a": b"2"}
    disk.full = False
    one.write({"b": b"4"})
    assert disk.contents()["log-a"] == log
    assert again(disk).values == {"a": b"2", "b": b"4"}


def test_what_a_failed_write_left_is_settled_by_the_next_one():
    disk, one = simulated()
    one.write({"a": b"1"})

    def trouble(operation, name):
        if operation == "sync":
            raise OSError(errno.EIO, "sync")

    disk.on_operation = trouble
    with pytest.raises(OSError):
        one.write({"a": b"2"})
    disk.on_operation = None
    assert layout.decode_log(disk.contents()["log-a"]).changes == [{"a": b"2"}]
    one.write({"b": b"3"})
    assert again(disk).values == {"a": b"1", "b": b"3"}


def test_what_a_killed_process_left_unsynced_is_durable_once_it_was_told():
    for seed in range(20):
        disk, one = simulated(seed)
        one.write({"a": b"1"})

        def trouble(operation, name):
            if operation == "sync":
                raise KeyboardInterrupt

        disk.on_operation = trouble
        with pytest.raises(KeyboardInterrupt):
            one.write({"a": b"2"})
        disk.on_operation, disk.full = None, seed % 2 == 0  # a full disk is synced, another is written anew
        assert Store("simulated", files=disk.files).load().values == {"a": b"2"}
        disk.power_loss(Random(seed))
        assert again(disk).values == {"a": b"2"}


def test_what_a_failed_sync_left_is_durable_once_a_new_process_was_told():
    for seed in range(20):
        disk, one = simulated(seed)
        one.write({"a": b"1"})

        def trouble(operation, name):
            if operation == "sync":
                raise OSError(errno.EIO, "sync")

        disk.on_operation = trouble
        with pytest.raises(OSError):
            one.write({"a": b"2"})
        disk.on_operation = None
        assert Store("simulated", files=disk.files).load().values == {"a": b"2"}
        disk.power_loss(Random(seed))
        assert again(disk).values == {"a": b"2"}


def test_the_slot_of_before_is_not_touched_while_the_newer_one_may_not_be_durable():
    for seed in range(60):
        disk, one = simulated(seed)
        one.write({"a": b"1" * 2000})

        def trouble(operation, name):
            if operation == "sync":
                raise OSError(errno.EIO, "sync")

        disk.on_operation = trouble
        for _ in range(2):  # the log, then slot-b: whole to read, and on disk whatever came of it
            with pytest.raises(OSError):
                one.write({"a": b"2" * 2000})
        disk.on_operation, disk.full = None, seed % 2 == 0
        two, left = Store("simulated", files=disk.files), [seed % 7]
        two.load()
        disk.full = False

        def ending(operation, name, left=left):
            left[0] -= 1
            if left[0] < 0:
                raise KeyboardInterrupt

        disk.on_operation = ending
        with contextlib.suppress(KeyboardInterrupt):
            two.write({"b": b"3"})
        disk.on_operation = None
        disk.power_loss(Random(seed))
        found = again(disk)
        assert found.state is StoreState.SOUND and found.values["a"] in (b"1" * 2000, b"2" * 2000)


def test_what_a_load_did_not_tell_never_comes_back():
    for seed in range(60):
        disk, one = simulated(seed)
        for _ in range(2):  # a start each: both slots have been synced
            one.write({"a": b"1"})
            one.close()
        one.load()

        def trouble(operation, name, kind=OSError):
            if operation == ("sync" if kind is OSError else "write"):
                raise kind

        disk.on_operation = trouble
        for value in (b"2", b"3"):  # to the log, then to the other slot: either may be whole on disk
            with pytest.raises(OSError):
                one.write({"a": value})
        disk.on_operation = lambda operation, name: trouble(operation, name, KeyboardInterrupt)
        with pytest.raises(KeyboardInterrupt):  # over a part of that slot, and not synced
            one.write({"b": b"4" * 900})
        disk.on_operation = None
        told = Store("simulated", files=disk.files).load().values
        disk.power_loss(Random(seed))
        assert again(disk).values == told


def test_a_load_that_can_neither_write_nor_sync_tells_nothing():
    disk, one = simulated()
    one.write({"a": b"1"})

    def trouble(operation, name):
        raise OSError(errno.EIO, "gone")

    disk.on_operation = trouble
    two = Store("simulated", files=disk.files)
    with pytest.raises(OSError):
        two.load()
    with pytest.raises(OSError):
        two.write({"a": b"2"})
    disk.on_operation = None
    two.write({"b": b"3"})
    assert again(disk).values == {"a": b"1", "b": b"3"}


def test_a_start_costs_four_syncs_and_the_first_write_after_it_one():
    disk, one = simulated()
    one.write({"a": b"1"})
    one.write({"a": b"2"})
    before, two = disk.syncs, Store("simulated", files=disk.files)
    two.load()
    assert disk.syncs == before + 4
    two.write({"a": b"3"})
    assert disk.syncs == before + 5 and again(disk).values == {"a": b"3"}


def test_a_map_too_large_is_refused_and_nothing_is_tried():
    disk, one = simulated()
    one.write({"a": b"1"})
    before = disk.contents()
    with pytest.raises(OSError) as refused:
        one.write({"b": bytes(layout.MAX_MAP_BYTES)})
    assert refused.value.errno == errno.EFBIG and disk.contents() == before
    one.write({"b": bytes(layout.MAX_MAP_BYTES - 100)})
    assert len(again(disk).values["b"]) == layout.MAX_MAP_BYTES - 100


@pytest.mark.parametrize("changes", [{1: b"x"}, {"a": 5}, {"a": "text"}])
def test_what_is_no_bytes_under_a_string_is_refused(changes):
    disk, one = simulated()
    one.write({"a": b"1"})
    with pytest.raises(TypeError):
        one.write(changes)
    one.write({"b": bytearray(b"2")})
    assert again(disk).values == {"a": b"1", "b": b"2"}


def test_a_write_without_a_load_goes_on_from_what_is_there(tmp_path):
    Store(tmp_path).write({"a": b"1"})
    Store(tmp_path).write({"b": b"2"})
    assert Store(tmp_path).load().values == {"a": b"1", "b": b"2"}


def test_the_files_of_a_folder_close_and_open_again(tmp_path):
    files = Files(tmp_path)
    files.write("x", 3, b"abc")
    files.sync("x")
    files.close()
    files.write("x", 0, b"xyz")
    files.truncate("x", 5)
    assert files.read("x") == b"xyzab" and files.names() == ["x"]
    files.close()


def test_names_that_others_use_stay():
    assert recovery.FILE_NAMES == ("slot-a", "log-a", "slot-b", "log-b")
    assert [str(state) for state in StoreState] == ["empty", "sound", "damaged"]


@pytest.mark.parametrize(
    ("attribute", "value"),
    [("active_slot", "c"), ("map_bytes", 1), ("base_lsn", 99), ("names_durable", False)],
)
def test_a_broken_invariant_is_found(attribute, value):
    one = Store("simulated", files=SimulatedDisk(Random(1)).files)
    one.load()
    one.write({"a": b"1"})
    one.check_invariants()
    setattr(one, attribute, value)
    with pytest.raises(AssertionError):
        one.check_invariants()


def test_a_file_of_a_later_version_is_named_with_both_versions(monkeypatch):
    monkeypatch.setattr(file_frames, "VERSION", 3)
    later = file_frames.header(file_frames.SNAPSHOT, 1)
    monkeypatch.undo()
    with pytest.raises(file_frames.NewerVersionError) as error:
        file_frames.read(later, file_frames.SNAPSHOT)
    assert (error.value.version, error.value.supported) == (3, 1)


def test_a_damaged_record_is_named_with_its_kind_and_offset():
    data = file_frames.header(file_frames.LOG, 1) + file_frames.frame({"n": 1})
    with pytest.raises(file_frames.RecordError) as error:
        file_frames.read_record(data[:-1], file_frames.HEADER_BYTES)
    assert error.value.damage is file_frames.RecordDamage.TORN
    assert error.value.offset == file_frames.HEADER_BYTES
    assert file_frames.read(data[:-1], file_frames.LOG).damage == f"torn at byte {file_frames.HEADER_BYTES}"
