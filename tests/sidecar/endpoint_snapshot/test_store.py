"""The store: after any crash it recovers a state that was written; damaged files are renamed, never
deleted."""

import errno
import os
import threading
import time

import pytest
from disk import MemoryDisk

from shedgrade import file_frames
from shedgrade.sidecar.endpoint_snapshot.files import Files, LockedError
from shedgrade.sidecar.endpoint_snapshot.recovery import recover
from shedgrade.sidecar.endpoint_snapshot.snapshot import Moment, Snapshot
from shedgrade.sidecar.endpoint_snapshot.store import Store


def moment_at(second):
    return Moment(1_000_000 + second * 1000, "boot", second * 1000)


def entry(name, lifecycle="in_service", **more):
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{1000 + int(name[1:])}",
        "zone": "a",
        "lifecycle": lifecycle,
        "startedAtMs": 0,
        **more,
    }


def list_record(second, *rows, whole=False, generation=None):
    return {
        "k": "list",
        "rows": list(rows),
        "whole": whole,
        "generation": generation or second,
        "at": [moment_at(second).wall_ms, "boot", moment_at(second).since_boot_ms],
    }


RECORDS = [
    list_record(1, entry("u1"), entry("u2"), entry("u3"), whole=True),
    list_record(2, entry("u2", "terminating")),
    {"k": "confirmed", "generation": 3, "at": [1_003_000, "boot", 3000]},
    list_record(4, {"instanceId": "u2", "lifecycle": "terminated"}, entry("u4")),
    {"k": "state", "state": {"v": 1}, "at": [1_005_000, "boot", 5000]},
    list_record(6, entry("u1", "terminating"), entry("u5")),
]


def visible_state(snapshot):
    return (
        {name: row.lifecycle for name, row in snapshot.endpoints.items()},
        set(snapshot.removed),
        snapshot.generation,
    )


def visible_states():
    """The content of the snapshot after each record, and of the empty one first."""
    snapshot, found = Snapshot(), [visible_state(Snapshot())]
    for record in RECORDS:
        snapshot.apply(record)
        snapshot.check_invariants()
        found.append(visible_state(snapshot))
    return found


def write_records(disk, sync="always", compact_after=None):
    store = Store(disk, "n1", lambda: moment_at(9), sync)
    store.open()
    for number, record in enumerate(RECORDS):
        store.write_batch([record], False)
        if number == compact_after:
            store.rotate_files()
    return store


def test_every_start_recovers_all_records():
    disk = MemoryDisk()
    write_records(disk)
    for _ in range(3):
        found = Store(MemoryDisk(disk.data), "n1", lambda: moment_at(9)).open()
        assert (
            visible_state(found.snapshot) == visible_states()[-1]
            and not found.summary()
            and found.snapshot.learned == {"v": 1}
        )
        disk = MemoryDisk(disk.data)


@pytest.mark.parametrize("sync", ["always", "never"])
def test_a_kill_at_any_byte_leaves_a_snapshot_that_was_written(sync):
    disk, written_states, count = MemoryDisk(), visible_states(), 0
    write_records(disk, sync, compact_after=3)
    for operation_count, operation in enumerate(disk.operations):
        size = len(operation[2]) if operation[0] == "append" else 1
        newest = None
        for partial in range(size):
            left = MemoryDisk(disk.files_after_kill(operation_count, partial))
            found = recover(left, "n1")
            state_index = written_states.index(visible_state(found.snapshot))
            newest = max(newest or 0, state_index)
            count += 1
        # A kill loses no completed write: the recovered snapshot lacks at most the record being written.
        whole = sum(
            1
            for done in disk.operations[:operation_count]
            if done[0] == "append" and done[1].startswith("log")
        )
        assert newest >= min(len(written_states) - 1, max(0, whole - 3)), (operation_count, newest, whole)
        reopened = Store(
            MemoryDisk(disk.files_after_kill(operation_count, size // 2)), "n1", lambda: moment_at(9)
        )
        reopened.open()
        assert not reopened.broken
        reopened.write_batch([list_record(50, entry("u9"), whole=True)], False)
        assert visible_state(recover(reopened.files, "n1").snapshot)[0] == {"u9": "in_service"}
    assert count > 1000


@pytest.mark.parametrize("sync", ["always", "interval", "never"])
def test_a_power_cut_loses_only_unsynced_writes(sync):
    disk, written_states, count = MemoryDisk(), visible_states(), 0
    write_records(disk, sync, compact_after=2)
    synced = 0
    for operation_count in range(len(disk.operations) + 1):
        last = disk.operations[operation_count - 1] if operation_count else ("start", "")
        if sync == "always" and last[0] == "sync" and last[1].startswith("log"):
            log = disk.files_after_kill(operation_count, None)
            synced = max(synced, written_states.index(visible_state(recover(MemoryDisk(log), "n1").snapshot)))
        for left in disk.files_after_power_cut(operation_count):
            found = recover(MemoryDisk(left), "n1")
            state_index = written_states.index(visible_state(found.snapshot))
            if sync == "always":
                assert state_index >= synced, (operation_count, state_index, synced)
            count += 1
    assert count > 50


def test_damage_in_any_file_leaves_a_snapshot_that_was_written_and_the_file_is_renamed():
    disk, written_states = MemoryDisk(), visible_states()
    write_records(disk, compact_after=3)
    files = {name: bytes(data) for name, data in disk.data.items()}
    for name, data in files.items():
        for offset in range(0, len(data), 3):
            for damaged_data in (
                data[:offset],
                data[:offset] + bytes([data[offset] ^ 0x40]) + data[offset + 1 :],
                data[:offset] + bytes(len(data) - offset),
            ):
                left = MemoryDisk({**files, name: damaged_data})
                store = Store(left, "n1", lambda: moment_at(9))
                found = store.open()
                assert visible_state(found.snapshot) in written_states
                if found.damaged:
                    assert any(other.startswith(f"{name}.damaged") for other in left.data) and found.summary()
    assert (
        visible_state(Store(MemoryDisk(files), "n1", lambda: moment_at(9)).open().snapshot)
        == written_states[-1]
    )


def test_a_log_behind_a_gap_is_not_applied():
    disk = MemoryDisk()
    write_records(disk, compact_after=3)
    names = sorted(disk.data)
    assert names == ["log-1", "log-2", "snapshot-1", "snapshot-2"]
    # The newest snapshot is damaged, and the log before it ends at a record boundary without its last record.
    _, records, _ = file_frames.decode_file(disk.read("log-1"), file_frames.LOG)
    cut = bytes(disk.data["log-1"])[: -len(file_frames.encode_record(records[-1]))]
    snapshot = recover(MemoryDisk({**disk.data, "snapshot-2": b"x", "log-1": cut}), "n1").snapshot
    assert (
        visible_state(snapshot) == visible_states()[3]
    )  # log-2 is not applied: the records before it are missing
    snapshot = recover(MemoryDisk({**disk.data, "snapshot-2": b"x"}), "n1").snapshot
    assert visible_state(snapshot) == visible_states()[-1]  # log-1 is complete, so log-2 continues it


def test_files_of_other_owners_newer_versions_and_unknown_names_are_kept():
    disk = MemoryDisk()
    write_records(disk)
    other = Store(MemoryDisk(disk.data), "n2", lambda: moment_at(9))
    found = other.open()
    assert not found.snapshot.endpoints and "belongs to 'n1'" in found.summary()
    assert (
        "snapshot-1.damaged" in other.files.list_names() or "snapshot-2.damaged" in other.files.list_names()
    )
    newer_snapshot = bytearray(file_frames.encode_header(file_frames.SNAPSHOT, 9))
    head = file_frames.HEADER.pack(file_frames.MAGIC, file_frames.SNAPSHOT, file_frames.VERSION + 1, 9)
    newer_snapshot = head + file_frames.CHECKSUM.pack(file_frames.crc32(head))
    left = MemoryDisk({**disk.data, "snapshot-9": newer_snapshot, "notes.txt": b"mine"})
    store = Store(left, "n1", lambda: moment_at(9))
    found = store.open()
    assert visible_state(found.snapshot) == visible_states()[-1] and "newer version" in found.summary()
    assert (
        left.read("snapshot-9") == newer_snapshot and left.read("notes.txt") == b"mine" and store.number == 10
    )


def test_records_before_an_invalid_one_are_kept():
    disk = MemoryDisk()
    store = write_records(disk)
    store.write(
        f"log-{store.number}",
        file_frames.encode_record({"k": "surprise"}) + file_frames.encode_record(list_record(90, whole=True)),
    )
    found = recover(disk, "n1")
    assert (
        visible_state(found.snapshot) == visible_states()[-1] and "record 7 is invalid" in found.damaged[0][1]
    )


def test_a_disk_that_recovers_gets_a_full_snapshot_and_each_change_is_logged_once():
    lines = []
    disk = MemoryDisk()
    store = Store(
        disk,
        "n1",
        lambda: moment_at(9),
        "always",
        report=lambda event: lines.append(f"{event.event}: {event.error}"),
    )
    store.open()
    store.write_batch(RECORDS[:2], False)
    for number in (errno.ENOSPC, errno.EIO, errno.EROFS):
        disk.fail = OSError(number, os.strerror(number))
        store.write_batch([RECORDS[2]], False)
        store.write_batch([RECORDS[3]], False)
    assert len(lines) == 1 and "No space left" in lines[0] and store.broken
    disk.fail = None
    store.write_batch(RECORDS[4:], False)
    assert lines[1:] == ["saved endpoint list written again: "]
    assert visible_state(recover(disk, "n1").snapshot) == visible_states()[-1]


def test_a_hanging_disk_blocks_no_caller_and_dropped_records_are_replaced(monkeypatch):
    monkeypatch.setattr("shedgrade.sidecar.endpoint_snapshot.store.MAX_QUEUED_BYTES", 3000)
    write_allowed, write_started, disk = threading.Event(), threading.Event(), MemoryDisk()
    store = Store(disk, "n1", lambda: moment_at(9), "always")
    store.open()
    store.read_current_list = lambda: [list_record(70, entry("u7"), whole=True)]
    original_append = disk.append
    disk.append = lambda name, data: (
        write_started.set(),
        write_allowed.wait(20),
        original_append(name, data),
    )
    store.start()
    store.put(list_record(19, entry("u6")))
    # Even on a busy machine, the thread hangs in a write before the other records are queued.
    assert write_started.wait(20)
    started = time.monotonic()
    for number in range(1000):
        store.put(list_record(20 + number, entry("u6")))
    assert time.monotonic() - started < 5 and len(store.queue) < 20 and store.lost
    write_allowed.set()
    store.close(20)
    assert not store.thread.is_alive()
    assert set(visible_state(recover(disk, "n1").snapshot)[0]) == {"u6", "u7"}


def test_the_log_is_compacted_and_the_folder_stays_small(monkeypatch):
    monkeypatch.setattr("shedgrade.sidecar.endpoint_snapshot.store.MIN_COMPACTED_BYTES", 2000)
    disk = MemoryDisk()
    store = Store(disk, "n1", lambda: moment_at(9), "never")
    store.open()
    for number in range(2000):
        store.write_batch([list_record(number + 1, entry(f"u{number % 5}"))], False)
    assert store.number > 10 and len(disk.data) == 4 and sum(map(len, disk.data.values())) < 20_000
    assert len(recover(disk, "n1").snapshot.endpoints) == 5


def test_a_real_folder_is_private_and_locked_and_an_untrusted_one_is_not_used(tmp_path):
    folder = tmp_path / "deep" / "n1"
    store = Store(Files(folder), "n1", lambda: moment_at(9))
    store.open()
    store.start()
    for record in RECORDS:
        store.put(record)
    assert folder.stat().st_mode & 0o777 == 0o700
    assert all((folder / name).stat().st_mode & 0o077 == 0 for name in os.listdir(folder))
    with pytest.raises(LockedError):
        Store(Files(folder), "n1", lambda: moment_at(9)).open()
    store.close()
    reopened = Store(Files(folder), "n1", lambda: moment_at(9))
    assert visible_state(reopened.open().snapshot) == visible_states()[-1]
    reopened.close()
    lines = []
    folder.chmod(0o777)
    untrusted_store = Store(
        Files(folder),
        "n1",
        lambda: moment_at(9),
        report=lambda event: lines.append(f"{event.event}: {event.error}"),
    )
    assert not untrusted_store.open().snapshot.endpoints and "written by others" in lines[0]
    untrusted_store.write_batch([RECORDS[0]], False)  # writes nothing to the folder and raises nothing


def test_a_folder_that_cannot_be_created_does_not_prevent_a_start(tmp_path):
    (tmp_path / "file").write_text("")
    lines = []
    store = Store(
        Files(tmp_path / "file" / "n1"),
        "n1",
        lambda: moment_at(9),
        report=lambda event: lines.append(f"{event.event}: {event.error}"),
    )
    assert not store.open().snapshot.endpoints and len(lines) >= 1
    store.write_batch([RECORDS[0]], False)
    assert store.broken
