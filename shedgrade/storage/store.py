"""The store: a durable map of keys to bytes in one folder, which survives process exits and power losses.

It is a write-ahead log with snapshots. Each write appends a record to the log; once the log has grown, a
snapshot of the whole map is written to the slot that is not in use, and a new log begins. `layout.py` defines
the encoding.
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

MIN_LOG_BYTES = 64 * 1024  # a shorter log is not replaced by a snapshot
MAX_LOG_RECORDS = 1024  # per log, so that a start reads it quickly


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Result of `load`. `values`: empty unless the state is sound. `findings`: the problems found."""

    state: StoreState
    values: dict[str, bytes]
    findings: tuple[Finding, ...] = ()


class Store:
    """Store of one process in one folder. Not thread-safe; each call may block on the disk.

    A write is a record at the end of the log and one sync. When the log has grown to the size of its slot,
    the whole map is written to the other slot, whose log comes next. The active slot is never overwritten.

    Attributes:
        files: the folder.
        values: the durable map, empty before `load`.
        is_loaded: whether `load` has returned and `close` was not called since.
        newer_version: whether a file was written by a later version of the format; writes are refused then.
        active_synced: whether the files of the active slot are known to be durable. False from a load that
            found a sound state until the end of `resync_active`; the other slot must not be written before.
        names_durable: whether the names of all four files are known to be durable; if not, `write_snapshot`
            creates them.
        can_append: whether the log of the active slot ends with a sound record. False during a write, and
            after a failed one, since no record may follow its torn record.
        active_slot: "a" or "b", whose snapshot and log hold `values`.
        lsn: LSN of the last attempted write; after a load, the highest LSN in any file.
        base_lsn: LSN of the snapshot in the active slot once this process has written one; at most `lsn`.
        slot_bytes: size of the snapshot in the active slot.
        log_bytes, log_records: bytes and records that this process wrote to the log of the active slot.
        map_bytes: an upper bound of the size of the whole map in a slot.
    """

    def __init__(self, folder: str | Path, files: WritableFolder | None = None) -> None:
        self.files: WritableFolder = Files(folder) if files is None else files
        self.is_loaded = False
        self.newer_version = False
        self.active_synced = False
        self.names_durable = False
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
        """Raises AssertionError if an attribute breaks its invariant. For tests and the simulation."""
        assert self.active_slot in OTHER_SLOT
        assert 0 <= self.base_lsn <= self.lsn < layout.LSN_LIMIT
        assert self.map_bytes == sum(layout.entry_bytes(*entry) for entry in self.values.items())
        if self.can_append:
            assert self.is_loaded
            assert self.active_synced
            assert self.names_durable
            assert not self.newer_version
            assert self.log_records <= MAX_LOG_RECORDS
            assert self.base_lsn + self.log_records == self.lsn

    def load(self) -> LoadResult:
        """Returns the state that the last writes left, and makes it durable first.

        Raises OSError if the disk can't be read, or allows neither a write nor a sync. Nothing is known then,
        and the call may be repeated.
        """
        self.is_loaded = False
        self.names_durable = False
        self.can_append = False
        self.files.close()
        folder = recover(self.files)
        self.values = dict(folder.values)
        self.lsn = folder.highest_lsn
        self.base_lsn = 0  # a previous load may have left that of another slot
        self.newer_version = folder.newer_version
        self.map_bytes = sum(layout.entry_bytes(key, value) for key, value in self.values.items())
        self.active_slot = folder.active_slot or "b"
        self.active_synced = folder.state is not StoreState.SOUND
        if not self.active_synced:
            try:
                self.make_durable()
            except OSError:
                # A full disk can still be read. A state that failed to sync before remains in doubt until the
                # next write.
                self.sync_active()
        self.is_loaded = True
        return LoadResult(folder.state, folder.values, tuple(folder.findings))

    def make_durable(self) -> None:
        """Rewrites the state that was read, then writes it as a snapshot into the other slot.

        The other slot may hold a different state, left by a write that failed.
        """
        self.resync_active()
        self.lsn += 1
        self.write_snapshot(self.values)
        self.can_append = True

    def resync_active(self) -> None:
        """Rewrites the active slot and its log in place, byte for byte, and syncs them.

        This guards against a process that ended before its sync, or whose sync failed: the kernel still
        returns the bytes and counts them as synced, but a power loss leaves only the other slot, which must
        therefore not be written before this one is durable. A power loss during the rewrite does no harm, as
        the bytes are the same.
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
        self.names_durable = set(FILE_NAMES).issubset(self.files.names())

    def active_file_names(self) -> list[str]:
        """Returns the names of the files of the active slot and its log that exist."""
        present = self.files.names()
        return [name for name in (f"slot-{self.active_slot}", f"log-{self.active_slot}") if name in present]

    def write(self, changes: Mapping[str, bytes | None]) -> None:
        """Writes all changes or none; they are durable when the call returns. None removes a key.

        Raises OSError if the disk refuses. A later load may then find the changes or not; the next write that
        returns ensures that they are gone. Raises OSError with EFBIG if the whole map would be too large, and
        with EPERM if the folder was written by a later version; nothing was attempted then.
        """
        if not self.is_loaded:
            self.load()
        if self.newer_version:
            # refuses to write after a downgrade, which would destroy the state of all members at once
            raise OSError(errno.EPERM, "the folder was written by a later version")
        if not self.active_synced:
            self.resync_active()
        owned_changes = {key: owned_bytes(key, value) for key, value in changes.items()}
        map_bytes = self.map_bytes
        for key, value in owned_changes.items():
            map_bytes += layout.entry_bytes(key, value) - layout.entry_bytes(key, self.values.get(key))
        if map_bytes > layout.MAX_MAP_BYTES:
            raise OSError(errno.EFBIG, os.strerror(errno.EFBIG))
        # each attempt needs an LSN of its own, since a write that failed may be on disk all the same
        self.lsn += 1
        # after a failure the log may have a torn tail, so the other slot is written instead
        can_append, self.can_append = self.can_append, False
        if not (can_append and self.append_record(owned_changes)):
            self.write_snapshot({**self.values, **owned_changes})
        layout.apply_changes(self.values, owned_changes)
        self.map_bytes = map_bytes
        self.can_append = True

    def append_record(self, changes: layout.Changes) -> bool:
        """Appends the changes to the log and syncs it. Returns False, and does nothing, if it is too long."""
        data = layout.encode_log_record(self.lsn, changes)
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
        """Writes the whole map into the slot that is not in use, which becomes the active one.

        The next write begins the log of that slot. Keys with the value None are left out.
        """
        present = {key: value for key, value in values.items() if value is not None}
        letter = OTHER_SLOT[self.active_slot]
        name = f"slot-{letter}"
        data = layout.encode_slot(self.lsn, present)
        if not self.names_durable:
            self.files.make()
            for other in FILE_NAMES:
                self.files.write(other, 0, b"")
        self.files.write(name, 0, data)
        self.files.truncate(name, len(data))
        self.files.sync(name)
        if not self.names_durable:
            self.files.sync_folder()
            self.names_durable = True
        self.active_slot = letter
        self.base_lsn = self.lsn
        self.slot_bytes = len(data)
        self.log_bytes = 0
        self.log_records = 0

    def close(self) -> None:
        """Closes the files. A later write loads the folder again."""
        self.files.close()
        self.is_loaded = False
        self.can_append = False


def owned_bytes(key: str, value: object) -> bytes | None:
    """Returns the value as bytes. Raises TypeError for a key or value that could not be read back."""
    if not isinstance(key, str):
        raise TypeError(f"key {key!r} is not a string")
    return value if value is None or type(value) is bytes else bytes(memoryview(value))  # type: ignore[arg-type]
