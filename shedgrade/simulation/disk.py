"""A simulated disk of one folder: what was synced, what was only written, and what a loss of power leaves.

After a loss of power a file holds what its last sync covered; each later write, and each later change of
length, is there, missing or torn, whatever became of the others. A new name lasts once it has its own sync
and the folder has been synced, in any order; else it may be gone. A process that ends takes nothing with it.
"""

import errno
import os
from collections.abc import Callable
from random import Random

Change = tuple[int, bytes | None]  # a write (offset, data), or a new length (length, None)
SectorWrite = tuple[int, bytes]  # (offset, data)
SECTOR = 512  # bytes that a torn write keeps or loses together


class SimulatedFile:
    """One file, as the page cache and the disk have it.

    Attributes:
        cache: what a read gives.
        durable: what a loss of power is sure to leave.
        pending: the changes in between, in order; `cache` is `durable` after all of them.
        has_durable_contents: the file was synced since it was made.
        has_durable_name: its folder was. Without both a loss of power may take the file itself.
    """

    def __init__(self) -> None:
        self.cache = bytearray()
        self.durable = bytearray()
        self.pending: list[Change] = []
        self.has_durable_contents = self.has_durable_name = False

    @property
    def is_certain(self) -> bool:
        """The file itself outlives a loss of power."""
        return self.has_durable_name and self.has_durable_contents

    def check_invariants(self) -> None:
        """AssertionError if `cache` isn't what the pending changes make of `durable`."""
        content = bytearray(self.durable)
        for change in self.pending:
            apply_change(content, change)
        assert content == self.cache, "the cache differs from what is durable and pending"

    def resolve_pending(self, random: Random) -> None:
        """Each pending change is there, missing or torn."""
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

    `full`: every write is refused (ENOSPC) as long as it is set.

    `on_operation(operation, name)` is called before each operation that changes something ("make", "write",
    "truncate", "sync", "sync_folder") and may raise: an OSError, or anything that stands for the end of the
    process. A write that is ended so has written any part; a sync that fails with an OSError leaves each
    change in doubt for good, as the kernel does not try those again.

    `writes`, `bytes_written`, `syncs` count operations, for tests of a store's cost.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.files_by_name: dict[str, SimulatedFile] = {}
        self.full = False
        self.on_operation: Callable[[str, str], None] | None = None
        self.power_cycle = 0  # counts the losses of power and exchanges of the disk
        self.writes = 0
        self.bytes_written = 0
        self.syncs = 0

    @property
    def files(self) -> "SimulatedFiles":
        """For one process; of no use to it after the next loss of power."""
        return SimulatedFiles(self)

    def power_loss(self, random: Random) -> None:
        """Draws what becomes of changes that were not synced. One time in four, all of it is gone."""
        self.power_cycle += 1
        nothing = random.random() < 0.25
        for name, file in list(self.files_by_name.items()):
            if not file.is_certain and (nothing or random.random() < 0.5):
                del self.files_by_name[name]
                continue
            if nothing:
                file.pending.clear()
            file.resolve_pending(random)
            file.cache[:] = file.durable
            file.has_durable_name = file.has_durable_contents = True

    def wipe(self) -> None:
        """The disk is another one, empty."""
        self.power_cycle += 1
        self.files_by_name.clear()

    def contents(self) -> dict[str, bytes]:
        """All files as a read gives them."""
        return {name: bytes(file.cache) for name, file in self.files_by_name.items()}


class SimulatedFiles:
    """Stands for `storage.files.Files`, whose methods it has. OSError once the machine has lost power."""

    def __init__(self, disk: SimulatedDisk) -> None:
        self.disk = disk
        self.power_cycle = disk.power_cycle

    def names(self) -> list[str]:
        """Names of all files."""
        self.check_powered()
        return sorted(self.disk.files_by_name)

    def read(self, name: str) -> bytes:
        """The whole content of a file. FileNotFoundError."""
        return bytes(self.file(name).cache)

    def make(self) -> None:
        """Makes the folder, if it is not there."""
        self.before_change("make", "")

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Writes into the page cache; makes the file if it is not there. OSError if the disk is full."""
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
        """What a write has changed in the page cache; nothing once power was lost meanwhile."""
        if self.power_cycle != self.disk.power_cycle:
            return
        file = self.disk.files_by_name.setdefault(name, SimulatedFile())
        self.disk.writes += 1
        self.disk.bytes_written += len(data)
        if data:
            file.pending.append((offset, bytes(data)))
            overwrite(file.cache, offset, data)

    def truncate(self, name: str, size: int) -> None:
        """Sets a file's length, bytes. FileNotFoundError; OSError if the disk is full."""
        if self.disk.full:
            self.check_powered()
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        self.before_change("truncate", name)
        file = self.file(name)
        file.pending.append((size, None))
        set_length(file.cache, size)

    def sync(self, name: str) -> None:
        """Makes a file's content durable."""
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
        """Nothing is lost by it."""

    def file(self, name: str) -> SimulatedFile:
        """A file by its name. FileNotFoundError."""
        self.check_powered()
        if name not in self.disk.files_by_name:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT), name)
        return self.disk.files_by_name[name]

    def before_change(self, operation: str, name: str) -> None:
        """Called before each operation that changes something; may raise what the test wants."""
        self.check_powered()
        if self.disk.on_operation is not None:
            self.disk.on_operation(operation, name)

    def check_powered(self) -> None:
        """Guards against a process that goes on after its machine lost power: its files are not there."""
        if self.power_cycle != self.disk.power_cycle:
            raise OSError(errno.EIO, os.strerror(errno.EIO))


def overwrite(content: bytearray, offset: int, data: bytes) -> None:
    """Puts `data` at `offset`, with zeros before it if the content is shorter."""
    if len(content) < offset:
        set_length(content, offset)
    content[offset : offset + len(data)] = data


def set_length(content: bytearray, size: int) -> None:
    """Cuts the content to `size` bytes, or fills it up with zeros."""
    if size < len(content):
        del content[size:]
    else:
        content.extend(bytes(size - len(content)))


def apply_change(content: bytearray, change: Change) -> None:
    """Makes a pending change."""
    offset, data = change
    if data is None:
        set_length(content, offset)
    else:
        overwrite(content, offset, data)


def sectors_of(offset: int, data: bytes) -> list[SectorWrite]:
    """A write cut at the bounds of sectors."""
    sectors: list[SectorWrite] = []
    start = 0
    while start < len(data):
        end = min(len(data), start + SECTOR - (offset + start) % SECTOR)
        sectors.append((offset + start, data[start:end]))
        start = end
    return sectors


def torn_write(random: Random, offset: int, data: bytes) -> list[SectorWrite]:
    """What became of one write: all, nothing, a first part, or any of its sectors."""
    outcome = random.randrange(4)
    if outcome == 0:
        return [(offset, data)]
    if outcome == 1:
        return []
    if outcome == 2:
        return [(offset, data[: random.randint(0, len(data))])]
    return [sector for sector in sectors_of(offset, data) if random.random() < 0.5]
