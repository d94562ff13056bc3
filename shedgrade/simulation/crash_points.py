"""Enumeration of power losses: all contents that a loss at any operation of a simulated disk may leave.

A `CrashImage` is the durable and the uncertain content of a disk at one moment. `survivors` lists the
contents that a power loss at that moment may leave: each unsynced write or change of length is independently
present, missing or torn; each new file that wasn't synced along with its folder is kept or lost.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import product
from math import prod
from random import Random

from shedgrade.simulation.disk import Change, SimulatedDisk, SimulatedFile, apply_change, sectors_of

Contents = dict[str, bytes]
Outcome = list[Change]  # the parts of a pending change that reach the disk
MAX_COMBINATIONS = 4_096  # of the pending changes of one file; a store that syncs each write has far fewer


@dataclass(frozen=True, slots=True)
class FileImage:
    """One file at the moment of a crash.

    Attributes:
        durable: content that is certain to survive.
        pending: writes (offset, data) and changes of length (length, None) since the last sync, in order.
        certain: whether the file itself is certain to survive.
    """

    durable: bytes
    pending: tuple[Change, ...]
    certain: bool


@dataclass(frozen=True, slots=True)
class CrashImage:
    """The files of a disk before one operation.

    Attributes:
        files: the files by name.
        operation: the operation that follows.
        step: progress of the run, as set in `Recorder.step`.
    """

    files: dict[str, FileImage]
    operation: str
    step: int


class Recorder:
    """Records an image before each operation that changes the disk."""

    def __init__(self, disk: SimulatedDisk) -> None:
        self.disk = disk
        self.step = 0
        self.images: list[CrashImage] = []
        disk.on_operation = self.record_image

    def record_image(self, operation: str, name: str) -> None:
        """Records an image; the disk calls this before each operation."""
        files = {
            each: FileImage(bytes(file.durable), tuple(file.pending), file.is_certain)
            for each, file in self.disk.files_by_name.items()
        }
        self.images.append(CrashImage(files, operation, self.step))

    def stop(self) -> list[CrashImage]:
        """Ends the recording, and returns the recorded images."""
        self.disk.on_operation = None
        return self.images


def survivors(image: CrashImage) -> Iterator[Contents]:
    """Yields all distinct contents of the folder that a power loss may leave."""
    names = list(image.files)
    for chosen in product(*(contents_of(image.files[name]) for name in names)):
        yield {name: content for name, content in zip(names, chosen, strict=True) if content is not None}


def contents_of(file: FileImage) -> list[bytes | None]:
    """Returns all distinct contents that a power loss may leave in a file; None: the file is gone."""
    found: dict[bytes | None, None] = {} if file.certain else {None: None}
    for parts in combinations([outcomes_of(*change) for change in file.pending]):
        content = bytearray(file.durable)
        for part in parts:
            for change in part:
                apply_change(content, change)
        found[bytes(content)] = None
    return list(found)


def combinations(choices: list[list[Outcome]]) -> Iterator[tuple[Outcome, ...]]:
    """Yields every combination of one outcome per change.

    If there are more than MAX_COMBINATIONS, yields only those in which one change has any outcome and all
    others are complete, or all others are missing.
    """
    if prod(len(each) for each in choices) <= MAX_COMBINATIONS:
        yield from product(*choices)
        return
    for others in (0, 1):  # index in each list of outcomes: complete, missing
        for at, outcomes in enumerate(choices):
            for outcome in outcomes:
                yield tuple(
                    outcome if at == index else choice[others] for index, choice in enumerate(choices)
                )


def outcomes_of(offset: int, data: bytes | None) -> list[Outcome]:
    """Returns the possible outcomes of one pending change: first complete, then missing, then torn ones."""
    complete: Outcome = [(offset, data)]
    if data is None:
        return [complete, []]
    prefixes = sorted({1, 8, 16, len(data) // 2, len(data) - 1} & set(range(1, len(data))))
    sectors: Outcome = list(sectors_of(offset, data))
    found: list[Outcome] = [complete, []]
    found += [[(offset, data[:length])] for length in prefixes]
    if len(sectors) > 1:
        found += [sectors[:at] + sectors[at + 1 :] for at in range(len(sectors))]
        found += [[sector] for sector in sectors]
        found += [sectors[::2], sectors[1::2]]
    return found


def disk_at(image: CrashImage) -> SimulatedDisk:
    """Returns the disk as a process finds it that starts after its predecessor has crashed."""
    disk = SimulatedDisk(Random(0))
    for name, image_of_file in image.files.items():
        file = disk.files_by_name[name] = SimulatedFile()
        file.durable[:] = file.cache[:] = image_of_file.durable
        file.pending = list(image_of_file.pending)
        file.has_durable_name = file.has_durable_contents = image_of_file.certain
        for change in file.pending:
            apply_change(file.cache, change)
    return disk


def disk_with(contents: Contents) -> SimulatedDisk:
    """Returns a disk with these contents, all durable, as after a loss of power."""
    disk = SimulatedDisk(Random(0))
    files = disk.files
    for name, data in contents.items():
        files.write(name, 0, data)
        files.sync(name)
    files.sync_folder()
    return disk
