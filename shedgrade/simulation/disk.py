"""A disk of one folder in memory: what was synced apart from what was only written, and what a power loss
leaves.

After a loss of power a file holds what its last sync covered; each later write, and each later change of
length, is there, missing or torn, whatever became of the others. A new name lasts once it has its own sync
and the folder has been synced, in any order; else it may be gone. A process that ends takes nothing with it.
"""

import errno
import os
from collections.abc import Callable
from random import Random

SECTOR = 512  # bytes that a torn write keeps or loses together


class SimulatedFile:
    """`cache`: what a read gives. `durable`: what is sure to be left. `pending`: the changes in between, in
    order.
    """

    def __init__(self) -> None:
        self.cache, self.durable = bytearray(), bytearray()
        self.pending: list[tuple[int, bytes | None]] = []  # (offset, data), or (length, None)
        self.synced = self.named = False

    def settle(self, random: Random) -> None:
        """Each pending change is there, missing or torn."""
        for offset, data in self.pending:
            if data is None:
                if random.random() < 0.5:
                    set_length(self.durable, offset)
            else:
                for start, part in torn(random, offset, data):
                    put(self.durable, start, part)
        self.pending.clear()


class SimulatedDisk:
    """`full`: every write is refused (ENOSPC) as long as it is set.

    `trouble(operation, name)` is called before each operation that changes something ("make", "write",
    "truncate", "sync", "sync_folder") and may raise: an OSError, or anything that stands for the end of the
    process. A write that is ended so has written any part; a sync that fails with an OSError leaves each
    change in doubt for good, as the kernel does not try those again.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.held: dict[str, SimulatedFile] = {}
        self.full = False
        self.trouble: Callable[[str, str], None] | None = None
        self.life = 0  # counts the losses of power
        self.writes = self.written = self.syncs = 0

    @property
    def files(self) -> "SimulatedFiles":
        """For one process; of no use to it after the next loss of power."""
        return SimulatedFiles(self)

    def power_loss(self, random: Random) -> None:
        """Settles what was not synced. One time in four, all of it is gone."""
        self.life += 1
        nothing = random.random() < 0.25
        for name, file in list(self.held.items()):
            if not (file.named and file.synced) and (nothing or random.random() < 0.5):
                del self.held[name]
                continue
            if nothing:
                file.pending.clear()
            file.settle(random)
            file.cache[:] = file.durable
            file.named = file.synced = True

    def wipe(self) -> None:
        """The disk is another one, empty."""
        self.life += 1
        self.held.clear()

    def contents(self) -> dict[str, bytes]:
        return {name: bytes(file.cache) for name, file in self.held.items()}


class SimulatedFiles:
    """Stands for `storage.files.Files`."""

    def __init__(self, disk: SimulatedDisk) -> None:
        self.disk, self.life = disk, disk.life

    def names(self) -> list[str]:
        self.alive()
        return sorted(self.disk.held)

    def read(self, name: str) -> bytes:
        return bytes(self.file(name).cache)

    def make(self) -> None:
        self.change("make", "")

    def write(self, name: str, offset: int, data: bytes) -> None:
        disk = self.disk
        if disk.full:
            self.alive()
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        try:
            self.change("write", name)
        except BaseException:
            data = data[: disk.random.randint(0, len(data))]
            self.put(name, offset, data)
            raise
        self.put(name, offset, data)

    def put(self, name: str, offset: int, data: bytes) -> None:
        if self.life != self.disk.life:
            return
        file = self.disk.held.setdefault(name, SimulatedFile())
        self.disk.writes += 1
        self.disk.written += len(data)
        if data:
            file.pending.append((offset, bytes(data)))
            put(file.cache, offset, data)

    def truncate(self, name: str, size: int) -> None:
        if self.disk.full:
            self.alive()
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        self.change("truncate", name)
        file = self.file(name)
        file.pending.append((size, None))
        set_length(file.cache, size)

    def sync(self, name: str) -> None:
        file = self.file(name)
        try:
            self.change("sync", name)
        except OSError:
            file.settle(self.disk.random)
            raise
        for offset, data in file.pending:
            if data is None:
                set_length(file.durable, offset)
            else:
                put(file.durable, offset, data)
        file.pending.clear()
        file.synced = True
        self.disk.syncs += 1

    def sync_folder(self) -> None:
        self.change("sync_folder", "")
        for file in self.disk.held.values():
            file.named = True
        self.disk.syncs += 1

    def close(self) -> None:
        """Nothing is lost by it."""

    def file(self, name: str) -> SimulatedFile:
        self.alive()
        if name not in self.disk.held:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT), name)
        return self.disk.held[name]

    def change(self, operation: str, name: str) -> None:
        self.alive()
        if self.disk.trouble is not None:
            self.disk.trouble(operation, name)

    def alive(self) -> None:
        """Guards against a process that goes on after its machine lost power: its files are not there."""
        if self.life != self.disk.life:
            raise OSError(errno.EIO, os.strerror(errno.EIO))


def put(content: bytearray, offset: int, data: bytes) -> None:
    if len(content) < offset:
        set_length(content, offset)
    content[offset : offset + len(data)] = data


def set_length(content: bytearray, size: int) -> None:
    if size < len(content):
        del content[size:]
    else:
        content.extend(bytes(size - len(content)))


def torn(random: Random, offset: int, data: bytes) -> list[tuple[int, bytes]]:
    """What became of one write: all, nothing, a first part, or any of its sectors."""
    way = random.randrange(4)
    if way == 0:
        return [(offset, data)]
    if way == 1:
        return []
    if way == 2:
        return [(offset, data[: random.randint(0, len(data))])]
    parts, at = [], 0
    while at < len(data):
        end = min(len(data), at + SECTOR - (offset + at) % SECTOR)
        if random.random() < 0.5:
            parts.append((offset + at, data[at:end]))
        at = end
    return parts
