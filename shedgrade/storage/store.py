"""The store: a map of keys to bytes that outlives the process and the power, on one folder.

A write-ahead log with snapshots: each write is a record of the log; when the log has grown, a snapshot of the
whole map goes into the slot that is not in use, and a new log begins. `layout.py` has the bytes.
"""

import errno
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from shedgrade.findings import Finding
from shedgrade.storage import layout
from shedgrade.storage.files import Files, WritableFolder
from shedgrade.storage.recovery import FILE_NAMES, OTHER_SLOT, StoreState, recover

MIN_LOG_BYTES = 64 * 1024  # a log is not worth a snapshot below it
MAX_LOG_RECORDS = 1024  # of one log, so that reading it at a start stays short


@dataclass(frozen=True, slots=True)
class LoadResult:
    """What `load` found. `values`: empty unless the state is sound. `findings`: what was not in order."""

    state: StoreState
    values: dict[str, bytes]
    findings: tuple[Finding, ...] = ()


class Store:
    """One folder, of one process; one call at a time, off the event loop: each may wait for the disk.

    A write is a record at the end of the log and one sync. When the log has grown to the size of its slot,
    the whole map goes into the other slot, which has the next log. A slot is never written while it is the
    active one.

    Attributes:
        files: the folder.
        values: the map as it is durable, empty before `load`.
        is_loaded: `load` has returned and `close` was not called since.
        newer_version: a file is of a later version of the format; writes are refused.
        active_synced: the files of the active slot are known to be durable. False from a load that found a
        sound
            state to the end of `resync_active`; the other slot must not be written before.
        files_named: the folder is known to have all four names durably; if not, `write_snapshot` makes them.
        can_append: the log of the active slot ends with a sound record. False while a write is under way and
            after one that failed, whose torn record a further one must not follow.
        active_slot: "a" or "b", whose snapshot and log hold `values`.
        lsn: given to the last write that was tried; after a load, the highest that any file has.
        base_lsn: of the snapshot in the active slot, once this process has written one; not over `lsn`.
        slot_bytes, log_bytes, log_records: sizes of the active slot and of what this process wrote to its
        log. map_bytes: an upper bound of what the whole map takes in a slot.
    """

    def __init__(self, folder: str | Path, files: WritableFolder | None = None) -> None:
        self.files: WritableFolder = Files(folder) if files is None else files
        self.is_loaded = False
        self.newer_version = False
        self.active_synced = False
        self.files_named = False
        self.can_append = False
        self.values: dict[str, bytes] = {}
        self.active_slot = "b"
        self.lsn = 0
        self.base_lsn = 0
        self.slot_bytes = 0
        self.log_bytes = 0
        self.log_records = 0
        self.map_bytes = 0

    def check_invariants(self) -> None:
        """AssertionError if an attribute breaks what the class says of it. For tests and the simulation."""
        assert self.active_slot in OTHER_SLOT
        assert 0 <= self.base_lsn <= self.lsn < layout.LSN_LIMIT
        assert self.map_bytes == sum(layout.entry_bytes(*entry) for entry in self.values.items())
        if self.can_append:
            assert self.is_loaded
            assert self.active_synced
            assert self.files_named
            assert not self.newer_version
            assert self.log_records <= MAX_LOG_RECORDS
            assert self.base_lsn + self.log_records == self.lsn

    def load(self) -> LoadResult:
        """What the last writes left, durable before it is returned.

        OSError: the disk cannot be read, or takes neither a write nor a sync; nothing is known, to be tried
        again.
        """
        self.is_loaded = False
        self.files_named = False
        self.can_append = False
        self.files.close()
        folder = recover(self.files)
        self.values = dict(folder.values)
        self.lsn = folder.highest_lsn
        self.base_lsn = 0  # of another slot, if this isn't the first load
        self.newer_version = folder.newer_version
        self.map_bytes = sum(layout.entry_bytes(key, value) for key, value in self.values.items())
        self.active_slot = folder.active_slot or "b"
        self.active_synced = folder.state is not StoreState.SOUND
        if not self.active_synced:
            try:
                self.make_durable()
            except OSError:
                # A full disk is still read; what failed to sync before is in doubt until a write.
                self.sync_active()
        self.is_loaded = True
        return LoadResult(folder.state, folder.values, tuple(folder.findings))

    def make_durable(self) -> None:
        """The state that was read is the one that stays: written again, then put as a snapshot into the other
        slot, where a write that failed may have left another state.
        """
        self.resync_active()
        self.lsn += 1
        self.write_snapshot(self.values)
        self.can_append = True

    def resync_active(self) -> None:
        """Writes the active slot and its log once more, byte for byte, each in its own place.

        Guards against a process that ended before its sync, or whose sync failed: the kernel returns what it
        wrote all the same, takes it for synced, and a power loss leaves the other slot. That one must not be
        written before this one is durable. A power loss on the way changes nothing, as the bytes are the
        same.
        """
        for name in self.active_file_names():
            self.files.write(name, 0, self.files.read(name))
        self.sync_active()
        self.active_synced = True

    def sync_active(self) -> None:
        """Syncs the active slot, its log, and the folder."""
        for name in self.active_file_names():
            self.files.sync(name)
        self.files.sync_folder()
        self.files_named = set(FILE_NAMES).issubset(self.files.names())

    def active_file_names(self) -> list[str]:
        """The active slot and its log, as far as they are there."""
        present = self.files.names()
        return [name for name in (f"slot-{self.active_slot}", f"log-{self.active_slot}") if name in present]

    def write(self, changes: Mapping[str, bytes | None]) -> None:
        """Durable when it returns, all or nothing; None removes a key.

        OSError: the disk refuses. The group may be found at the next load or not; the next write that returns
        makes sure that it is not there. EFBIG if the whole map would be too large, EPERM if the folder is of
        a later version: then nothing was tried.
        """
        if not self.is_loaded:
            self.load()
        if self.newer_version:
            # Guards against a downgrade that takes away the state of all members at once.
            raise OSError(errno.EPERM, "the folder was written by a later version")
        if not self.active_synced:
            self.resync_active()
        group = {key: owned_bytes(key, value) for key, value in changes.items()}
        map_bytes = self.map_bytes
        for key, value in group.items():
            map_bytes += layout.entry_bytes(key, value) - layout.entry_bytes(key, self.values.get(key))
        if map_bytes > layout.MAX_MAP_BYTES:
            raise OSError(errno.EFBIG, os.strerror(errno.EFBIG))
        # Guards against two writes of one LSN: one that failed may be on disk all the same.
        self.lsn += 1
        # Guards against a torn tail: after a failure the log is left alone and the other slot is written.
        can_append, self.can_append = self.can_append, False
        if not (can_append and self.append_record(group)):
            self.write_snapshot({**self.values, **group})
        layout.apply_changes(self.values, group)
        self.map_bytes = map_bytes
        self.can_append = True

    def append_record(self, group: layout.Changes) -> bool:
        """Appends the group to the log and syncs it; False, and nothing done, if the log is long enough."""
        data = layout.encode_log_record(self.lsn, group)
        limit = max(MIN_LOG_BYTES, self.slot_bytes)
        if self.log_records >= MAX_LOG_RECORDS or self.log_bytes + len(data) > limit:
            return False
        name = f"log-{self.active_slot}"
        if not self.log_bytes:
            self.files.truncate(name, 0)
            data = layout.encode_log_header(self.base_lsn) + data
        self.files.write(name, self.log_bytes, data)
        self.files.sync(name)
        self.log_bytes += len(data)
        self.log_records += 1
        return True

    def write_snapshot(self, values: Mapping[str, bytes | None]) -> None:
        """The whole map into the slot that is not in use, which becomes the active one; its log is begun by
        the next write.

        None stands for a key that is not there."""
        present = {key: value for key, value in values.items() if value is not None}
        letter = OTHER_SLOT[self.active_slot]
        name = f"slot-{letter}"
        data = layout.encode_slot(self.lsn, present)
        if not self.files_named:
            self.files.make()
            for other in FILE_NAMES:
                self.files.write(other, 0, b"")
        self.files.write(name, 0, data)
        self.files.truncate(name, len(data))
        self.files.sync(name)
        if not self.files_named:
            self.files.sync_folder()
            self.files_named = True
        self.active_slot = letter
        self.base_lsn = self.lsn
        self.slot_bytes = len(data)
        self.log_bytes = 0
        self.log_records = 0

    def close(self) -> None:
        """Closes the files. A later write loads again."""
        self.files.close()
        self.is_loaded = False
        self.can_append = False


def owned_bytes(key: str, value: object) -> bytes | None:
    """The value as bytes of its own. Guards against what could be written and not be read again."""
    if not isinstance(key, str):
        raise TypeError(f"key {key!r} is no string")
    return value if value is None or type(value) is bytes else bytes(memoryview(value))  # type: ignore[arg-type]
