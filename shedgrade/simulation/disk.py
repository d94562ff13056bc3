"""A simulated disk with one folder: synced data, unsynced data, and what remains after a loss of power.

After a loss of power a file holds what its last sync covered; each later write or change of length is
independently present, missing or torn. The name of a new file is durable once the file and the folder have
both been synced, in any order; before that the file may be gone. The end of a process loses nothing.
"""

import errno
import os
from collections.abc import Callable
from random import Random

Change = tuple[int, bytes | None]  # a write (offset, data), or a change of length (new length, None)
SectorWrite = tuple[int, bytes]  # (offset, data)
SECTOR_BYTES = 512  # bytes; a torn write keeps or loses each sector as a whole


class SimulatedFile:
    """One file, as it is in the page cache and on the disk.

    Attributes:
        cache: content returned by a read.
        durable: content that is certain to survive a loss of power.
        pending: unsynced changes, in order; applied to `durable` they give `cache`.
        has_durable_contents: whether the file was synced since it was created.
        has_durable_name: whether the folder was synced since then. Unless both are true, a loss of power may
            remove the file.
    """

    def __init__(self) -> None:
        self.cache = bytearray()
        self.durable = bytearray()
        self.pending: list[Change] = []
        self.has_durable_contents = self.has_durable_name = False

    @property
    def is_certain(self) -> bool:
        """Whether the file is certain to exist after a loss of power."""
        return self.has_durable_name and self.has_durable_contents

    def check_invariants(self) -> None:
        """Raises AssertionError unless `durable` with the pending changes applied equals `cache`."""
        content = bytearray(self.durable)
        for change in self.pending:
            apply_change(content, change)
        assert content == self.cache, "cache differs from durable content with pending changes applied"

    def resolve_pending(self, random: Random) -> None:
        """Applies each pending change to the durable content fully, partly or not at all, at random."""
        for offset, data in self.pending:
            if data is None:
                if random.random() < 0.5:
                    set_length(self.durable, offset)
            else:
                for start, part in torn_write(random, offset, data):
                    overwrite(self.durable, start, part)
        self.pending.clear()


class SimulatedDisk:
    """The files of one machine; they outlive its processes.

    `on_operation(operation, name)` is called before each operation that changes something ("make", "write",
    "truncate", "sync", "sync_folder"). It may raise an OSError, or any exception that stands for the end of
    the process. A write that is interrupted by an exception has written a random prefix of its data. A sync
    that fails with an OSError leaves each change durable, missing or torn for good, as the kernel does not
    write those again.

    Attributes:
        full: whether every write is refused with ENOSPC.
        power_cycle: number of losses of power and replacements of the disk so far.
        writes: number of writes, for tests of a store's cost.
        bytes_written: number of bytes written, likewise.
        syncs: number of syncs of files and of the folder, likewise.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.files_by_name: dict[str, SimulatedFile] = {}
        self.full = False
        self.on_operation: Callable[[str, str], None] | None = None
        self.power_cycle = 0
        self.writes = 0
        self.bytes_written = 0
        self.syncs = 0

    @property
    def files(self) -> "SimulatedFiles":
        """File operations for one process; they raise OSError after the next loss of power."""
        return SimulatedFiles(self)

    def power_loss(self, random: Random) -> None:
        """Resolves unsynced changes at random. With probability 1/4 all of them are lost."""
        self.power_cycle += 1
        loses_all = random.random() < 0.25
        for name, file in list(self.files_by_name.items()):
            if not file.is_certain and (loses_all or random.random() < 0.5):
                del self.files_by_name[name]
                continue
            if loses_all:
                file.pending.clear()
            file.resolve_pending(random)
            file.cache[:] = file.durable
            file.has_durable_name = file.has_durable_contents = True

    def wipe(self) -> None:
        """Replaces the disk by an empty one."""
        self.power_cycle += 1
        self.files_by_name.clear()

    def contents(self) -> dict[str, bytes]:
        """Returns the contents of all files as a read would return them."""
        return {name: bytes(file.cache) for name, file in self.files_by_name.items()}


class SimulatedFiles:
    """File operations with the methods of `storage.files.Files`. Raise OSError after a loss of power."""

    def __init__(self, disk: SimulatedDisk) -> None:
        self.disk = disk
        self.power_cycle = disk.power_cycle

    def names(self) -> list[str]:
        """Returns the names of all files, sorted."""
        self.check_powered()
        return sorted(self.disk.files_by_name)

    def read(self, name: str) -> bytes:
        """Returns the whole content of a file. Raises FileNotFoundError."""
        return bytes(self.file(name).cache)

    def make(self) -> None:
        """Creates the folder if it doesn't exist."""
        self.before_change("make", "")

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Writes to the page cache; creates the file if needed. Raises OSError if the disk is full."""
        disk = self.disk
        if disk.full:
            self.check_powered()
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        try:
            self.before_change("write", name)
        except BaseException:
            data = data[: disk.random.randint(0, len(data))]
            self.overwrite(name, offset, data)
            raise
        self.overwrite(name, offset, data)

    def overwrite(self, name: str, offset: int, data: bytes) -> None:
        """Applies a write to the page cache, unless power was lost since this object was created."""
        if self.power_cycle != self.disk.power_cycle:
            return
        file = self.disk.files_by_name.setdefault(name, SimulatedFile())
        self.disk.writes += 1
        self.disk.bytes_written += len(data)
        if data:
            file.pending.append((offset, bytes(data)))
            overwrite(file.cache, offset, data)

    def truncate(self, name: str, size: int) -> None:
        """Sets a file's length to `size` bytes. Raises FileNotFoundError, or OSError if the disk is full."""
        if self.disk.full:
            self.check_powered()
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        self.before_change("truncate", name)
        file = self.file(name)
        file.pending.append((size, None))
        set_length(file.cache, size)

    def sync(self, name: str) -> None:
        """Makes a file's content durable. Raises FileNotFoundError, or OSError if the sync fails."""
        file = self.file(name)
        try:
            self.before_change("sync", name)
        except OSError:
            file.resolve_pending(self.disk.random)
            raise
        for change in file.pending:
            apply_change(file.durable, change)
        file.pending.clear()
        file.has_durable_contents = True
        self.disk.syncs += 1

    def sync_folder(self) -> None:
        """Makes the names of all files durable."""
        self.before_change("sync_folder", "")
        for file in self.disk.files_by_name.values():
            file.has_durable_name = True
        self.disk.syncs += 1

    def close(self) -> None:
        """Does nothing: no file is held open."""

    def file(self, name: str) -> SimulatedFile:
        """Returns a file by name. Raises FileNotFoundError."""
        self.check_powered()
        if name not in self.disk.files_by_name:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT), name)
        return self.disk.files_by_name[name]

    def before_change(self, operation: str, name: str) -> None:
        """Called before each operation that changes something; raises whatever `on_operation` raises."""
        self.check_powered()
        if self.disk.on_operation is not None:
            self.disk.on_operation(operation, name)

    def check_powered(self) -> None:
        """Raises OSError if the machine has lost power since, so a process that runs on finds no files."""
        if self.power_cycle != self.disk.power_cycle:
            raise OSError(errno.EIO, os.strerror(errno.EIO))


def overwrite(content: bytearray, offset: int, data: bytes) -> None:
    """Writes `data` at `offset`; fills any gap before it with zeros."""
    if len(content) < offset:
        set_length(content, offset)
    content[offset : offset + len(data)] = data


def set_length(content: bytearray, size: int) -> None:
    """Truncates the content to `size` bytes, or extends it with zeros."""
    if size < len(content):
        del content[size:]
    else:
        content.extend(bytes(size - len(content)))


def apply_change(content: bytearray, change: Change) -> None:
    """Applies a pending change to `content`."""
    offset, data = change
    if data is None:
        set_length(content, offset)
    else:
        overwrite(content, offset, data)


def sectors_of(offset: int, data: bytes) -> list[SectorWrite]:
    """Splits a write at sector boundaries."""
    sectors: list[SectorWrite] = []
    start = 0
    while start < len(data):
        end = min(len(data), start + SECTOR_BYTES - (offset + start) % SECTOR_BYTES)
        sectors.append((offset + start, data[start:end]))
        start = end
    return sectors


def torn_write(random: Random, offset: int, data: bytes) -> list[SectorWrite]:
    """Draws which parts of one write reach the disk: all, none, a prefix, or a random set of its sectors."""
    outcome = random.randrange(4)
    if outcome == 0:
        return [(offset, data)]
    if outcome == 1:
        return []
    if outcome == 2:
        return [(offset, data[: random.randint(0, len(data))])]
    return [sector for sector in sectors_of(offset, data) if random.random() < 0.5]
