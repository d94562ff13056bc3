"""Power losses by enumeration: at every operation of a run on a simulated disk, all that may be left.

A `CrashImage` is what a disk holds for certain and what is still in doubt at one moment. `survivors` lists
the contents that a power loss at that moment may leave: each later write and change of length present,
missing or torn, whatever became of the others; each file that was made without a sync of it and of its folder
kept or lost by itself."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import product
from math import prod
from random import Random

from shedgrade.simulation.disk import SECTOR, SimulatedDisk, SimulatedFile, put, set_length

Contents = dict[str, bytes]
Change = tuple[int, bytes | None]  # (offset, data), or (length, None)
MOST_COMBINATIONS = 4_096  # of the changes in doubt of one file; a store that syncs each write has far fewer


@dataclass(frozen=True, slots=True)
class FileImage:
    """`pending`: writes (offset, data) and changes of length (length, None) since the last sync, in order.
    `certain`: the file itself stays."""

    durable: bytes
    pending: tuple[Change, ...]
    certain: bool


@dataclass(frozen=True, slots=True)
class CrashImage:
    """The files of a disk before one operation. `step`: whatever the run says of its progress."""

    files: dict[str, FileImage]
    operation: str
    step: int


class Recorder:
    """Takes an image before each operation that changes the disk."""

    def __init__(self, disk: SimulatedDisk):
        self.disk, self.step = disk, 0
        self.images: list[CrashImage] = []
        disk.trouble = self.take

    def take(self, operation: str, name: str) -> None:
        files = {
            each: FileImage(bytes(file.durable), tuple(file.pending), file.named and file.synced)
            for each, file in self.disk.held.items()
        }
        self.images.append(CrashImage(files, operation, self.step))

    def stop(self) -> list[CrashImage]:
        self.disk.trouble = None
        return self.images


def survivors(image: CrashImage) -> Iterator[Contents]:
    """All different contents of the folder that a power loss may leave."""
    names = list(image.files)
    for chosen in product(*(remains(image.files[name]) for name in names)):
        yield {name: content for name, content in zip(names, chosen, strict=True) if content is not None}


def remains(file: FileImage) -> list[bytes | None]:
    found: dict[bytes | None, None] = {} if file.certain else {None: None}
    for parts in combinations([ways(offset, data) for offset, data in file.pending]):
        content = bytearray(file.durable)
        for part in parts:
            for offset, data in part:
                set_length(content, offset) if data is None else put(content, offset, data)
        found[bytes(content)] = None
    return list(found)


def combinations(choices: list[list]) -> Iterator[tuple]:
    """Every combination; of too many, those in which one differs from the others, all whole or gone."""
    if prod(len(each) for each in choices) <= MOST_COMBINATIONS:
        yield from product(*choices)
        return
    for others in (0, 1):  # whole, missing
        for at, each in enumerate(choices):
            for way in each:
                yield tuple(way if at == place else choice[others] for place, choice in enumerate(choices))


def ways(offset: int, data: bytes | None) -> list[list[Change]]:
    """What may become of one pending change: parts of it that reach the disk."""
    whole: list[Change] = [(offset, data)]
    if data is None:
        return [whole, []]
    prefixes = sorted({1, 8, 16, len(data) // 2, len(data) - 1} & set(range(1, len(data))))
    sectors = split(offset, data)
    found: list[list[Change]] = [whole, []]
    found += [[(offset, data[:length])] for length in prefixes]
    if len(sectors) > 1:
        found += [sectors[:at] + sectors[at + 1 :] for at in range(len(sectors))]
        found += [[sector] for sector in sectors]
        found += [sectors[::2], sectors[1::2]]
    return found


def split(offset: int, data: bytes) -> list[Change]:
    """The write cut at the bounds of sectors."""
    parts: list[Change] = []
    at = 0
    while at < len(data):
        end = min(len(data), at + SECTOR - (offset + at) % SECTOR)
        parts.append((offset + at, data[at:end]))
        at = end
    return parts


def disk_at(image: CrashImage) -> SimulatedDisk:
    """The disk at that moment, as a process finds it that starts after the death of the one before."""
    disk = SimulatedDisk(Random(0))
    for name, image_of_file in image.files.items():
        file = disk.held[name] = SimulatedFile()
        file.durable[:] = file.cache[:] = image_of_file.durable
        file.pending = list(image_of_file.pending)
        file.named = file.synced = image_of_file.certain
        for offset, data in file.pending:
            set_length(file.cache, offset) if data is None else put(file.cache, offset, data)
    return disk


def disk_with(contents: Contents) -> SimulatedDisk:
    """A disk after the power is back: all that is there is durable."""
    disk = SimulatedDisk(Random(0))
    files = disk.files
    for name, data in contents.items():
        files.write(name, 0, data)
        files.sync(name)
    files.sync_folder()
    return disk
