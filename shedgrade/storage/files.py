"""The file operations that the store needs, on the OS; the simulation supplies a disk of its own."""

import contextlib
import os
from pathlib import Path
from typing import Protocol


class Folder(Protocol):
    """What reading a folder needs. OSError from any call is the caller's to handle."""

    def names(self) -> list[str]:
        """All names in the folder, sorted; none if there is no folder."""

    def read(self, name: str) -> bytes:
        """The content of a file."""


class WritableFolder(Folder, Protocol):
    """What the store needs; `Files` documents each call."""

    def make(self) -> None:
        """Makes the folder, durably."""

    def write(self, name: str, offset: int, data: bytes, /) -> None:
        """Writes into a file, which is made if it is missing."""

    def truncate(self, name: str, size: int) -> None:
        """Sets a file's size."""

    def sync(self, name: str) -> None:
        """Makes a file's content durable."""

    def sync_folder(self) -> None:
        """Makes the folder's names durable."""

    def close(self) -> None:
        """Closes what is open."""


class Files:
    """One folder. Names are kept open once written to. OSError from any call is the caller's to handle."""

    def __init__(self, folder: str | Path) -> None:
        self.folder = Path(folder)
        self.descriptors: dict[str, int] = {}

    def make(self) -> None:
        """Makes the folder and those above it; each that is new is synced into the one above."""
        missing = []
        folder = self.folder
        while not folder.is_dir():
            missing.append(folder)
            folder = folder.parent
        for folder in reversed(missing):
            folder.mkdir(mode=0o700, exist_ok=True)
            sync_folder(folder.parent)

    def names(self) -> list[str]:
        """All names in the folder, sorted; none if there is no folder."""
        try:
            return sorted(os.listdir(self.folder))
        except FileNotFoundError:
            return []

    def read(self, name: str) -> bytes:
        """The content of a file."""
        return (self.folder / name).read_bytes()

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Writes from byte `offset` on, and makes the file if it is missing. It may fail half-way."""
        descriptor = self.descriptor(name)
        view = memoryview(data)
        while view:
            written = os.pwrite(descriptor, view, offset)
            offset += written
            view = view[written:]

    def truncate(self, name: str, size: int) -> None:
        """Sets the file's size in bytes."""
        os.ftruncate(self.descriptor(name), size)

    def sync(self, name: str) -> None:
        """Durable when it returns: the bytes and the size of the file, not yet its name."""
        os.fdatasync(self.descriptor(name))

    def sync_folder(self) -> None:
        """Durable when it returns: which names the folder has."""
        sync_folder(self.folder)

    def close(self) -> None:
        """Closes all files. An error of it says nothing that a sync has not said, and is ignored."""
        while self.descriptors:
            _, descriptor = self.descriptors.popitem()
            with contextlib.suppress(OSError):
                os.close(descriptor)

    def descriptor(self, name: str) -> int:
        """The file's descriptor for writing, opened when first asked for."""
        descriptor = self.descriptors.get(name)
        if descriptor is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC
            descriptor = self.descriptors[name] = os.open(self.folder / name, flags, 0o600)
        return descriptor


def sync_folder(folder: Path) -> None:
    """Durable when it returns: which names that folder has."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
