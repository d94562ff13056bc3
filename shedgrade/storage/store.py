"""The store: a map of keys to bytes that outlives the process and the power, on one folder."""

import errno
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from shedgrade.findings import Finding
from shedgrade.storage import layout
from shedgrade.storage.files import Files
from shedgrade.storage.recovery import NAMES, OTHER, StoreState, recover

LEAST_LOG = 64 * 1024  # bytes under which a log is not worth folding into a slot
MOST_RECORDS = 1024  # of one log, so that reading it at a start stays short


@dataclass(frozen=True, slots=True)
class LoadResult:
    """What `load` found. `values`: empty unless the state is sound. `findings`: what was not in order."""

    state: StoreState
    values: dict[str, bytes]
    findings: tuple[Finding, ...] = ()


class Store:
    """One folder, of one process; one call at a time, off the loop: each may wait for the disk.

    A write is a record at the end of a log and one sync. When the log has grown to the size of its slot, the
    whole map goes into the other slot, which has the next log. A slot is never touched while it is the one in
    use.
    """

    def __init__(self, folder: str | Path, files=None) -> None:
        self.files = Files(folder) if files is None else files
        self.loaded = self.newer = self.confirmed = self.named = self.appending = False
        self.values: dict[str, bytes] = {}
        self.used, self.sequence, self.base = "b", 0, 0
        self.slot_size = self.log_size = self.records = 0
        self.weight = 0  # bytes that the whole map takes at most

    def load(self) -> LoadResult:
        """What the last writes left, durable before it is told.

        OSError: the disk cannot be read, or takes neither a write nor a sync; nothing is known, to be tried
        again.
        """
        self.loaded = self.named = self.appending = False
        self.files.close()
        found = recover(self.files)
        self.values, self.sequence, self.newer = dict(found.values), found.highest, found.newer
        self.weight = sum(layout.weight(key, value) for key, value in self.values.items())
        self.used, self.confirmed = found.used or "b", found.state is not StoreState.SOUND
        if not self.confirmed:
            try:
                self.settle()
            except OSError:
                # A full disk still tells what it holds; what failed to sync before is in doubt until a write.
                self.sync_used()
        self.loaded = True
        return LoadResult(found.state, found.values, tuple(found.findings))

    def settle(self) -> None:
        """The state that was read is the one that stays: confirmed, then folded into the other slot, where a
        write that failed may have left another.
        """
        self.confirm()
        self.sequence += 1
        self.fold(self.values)
        self.appending = True

    def confirm(self) -> None:
        """Writes the slot in use and its log once more, byte for byte, each in its own place.

        Guards against a process that ended before its sync, or whose sync failed: the kernel gives what it
        wrote all the same, takes it for synced, and a power loss leaves the other slot. That one must not be
        touched before this one is sure. A power loss on the way changes nothing, as the bytes are the same.
        """
        for name in self.names_used():
            self.files.write(name, 0, self.files.read(name))
        self.sync_used()
        self.confirmed = True

    def sync_used(self) -> None:
        for name in self.names_used():
            self.files.sync(name)
        self.files.sync_folder()
        self.named = set(NAMES).issubset(self.files.names())

    def names_used(self) -> list[str]:
        return [name for name in (f"slot-{self.used}", f"log-{self.used}") if name in self.files.names()]

    def write(self, changes: Mapping[str, bytes | None]) -> None:
        """Durable when it returns, all or nothing; None removes a key.

        OSError: the disk refuses. The group may be found at the next load or not; the next write that returns
        settles that it is not there. EFBIG if the whole map would be too large, EPERM if the folder is of a
        later version: then nothing was tried.
        """
        if not self.loaded:
            self.load()
        if self.newer:
            # Guards against a downgrade that takes away the state of all members at once.
            raise OSError(errno.EPERM, "the folder was written by a later version")
        if not self.confirmed:
            self.confirm()
        group = {key: plain(key, value) for key, value in changes.items()}
        weight = self.weight
        for key, value in group.items():
            weight += layout.weight(key, value) - layout.weight(key, self.values.get(key))
        if weight > layout.LARGEST:
            raise OSError(errno.EFBIG, os.strerror(errno.EFBIG))
        # Guards against two writes of one number: one that failed may be on disk all the same.
        self.sequence += 1
        # Guards against a torn tail: after a failure the log is left alone and the other slot is written.
        appending, self.appending = self.appending, False
        if not (appending and self.append(group)):
            self.fold({**self.values, **group})
        layout.apply(self.values, group)
        self.weight, self.appending = weight, True

    def append(self, group: dict[str, bytes | None]) -> bool:
        """The group as a record of the log, or False if the log is long enough."""
        data = layout.record(self.sequence, group)
        if self.records >= MOST_RECORDS or self.log_size + len(data) > max(LEAST_LOG, self.slot_size):
            return False
        name = f"log-{self.used}"
        if not self.log_size:
            self.files.truncate(name, 0)
            data = layout.log(self.base) + data
        self.files.write(name, self.log_size, data)
        self.files.sync(name)
        self.log_size += len(data)
        self.records += 1
        return True

    def fold(self, values: Mapping[str, bytes | None]) -> None:
        """The whole map into the slot that is not in use; its log is begun by the next write.

        None stands for a key that is not there."""
        present = {key: value for key, value in values.items() if value is not None}
        letter, data = OTHER[self.used], layout.slot(self.sequence, present)
        name = f"slot-{letter}"
        if not self.named:
            self.files.make()
            for other in NAMES:
                self.files.write(other, 0, b"")
        self.files.write(name, 0, data)
        self.files.truncate(name, len(data))
        self.files.sync(name)
        if not self.named:
            self.files.sync_folder()
            self.named = True
        self.used, self.base = letter, self.sequence
        self.slot_size, self.log_size, self.records = len(data), 0, 0

    def close(self) -> None:
        self.files.close()
        self.loaded = self.appending = False


def plain(key: str, value) -> bytes | None:
    """The value as bytes of its own. Guards against what could be written and not be read again."""
    if not isinstance(key, str):
        raise TypeError(f"key {key!r} is no string")
    return value if value is None or type(value) is bytes else bytes(memoryview(value))
