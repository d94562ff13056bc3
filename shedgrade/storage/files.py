"""File operations of the store, implemented on the operating system; the simulation has its own disk."""

import contextlib
import os
from pathlib import Path
from typing import Protocol


class Folder(Protocol):
    """Operations for reading a folder. The caller handles an OSError from any call."""

    def names(self) -> list[str]:
        """Returns all names in the folder, sorted; none if the folder doesn't exist."""

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""


class WritableFolder(Folder, Protocol):
    """Operations of the store; `Files` documents each call."""

    def make(self) -> None:
        """Creates the folder, durably."""

    def write(self, name: str, offset: int, data: bytes, /) -> None:
        """Writes into a file, which is created if it doesn't exist."""

    def truncate(self, name: str, size: int) -> None:
        """Sets a file's size."""

    def sync(self, name: str) -> None:
        """Makes a file's content durable."""

    def sync_folder(self) -> None:
        """Syncs the folder: makes its directory entries durable."""

    def close(self) -> None:
        """Closes the open files."""


class Files:
    """One folder. A file stays open after its first write. The caller handles an OSError from any call."""

    def __init__(self, folder: str | Path) -> None:
        self.folder = Path(folder)
        self.descriptors: dict[str, int] = {}

    def make(self) -> None:
        """Creates the folder and its missing parents; syncs the parent of each new one."""
        missing = []
        folder = self.folder
        while not folder.is_dir():
            missing.append(folder)
            folder = folder.parent
        for folder in reversed(missing):
            folder.mkdir(mode=0o700, exist_ok=True)
            sync_folder(folder.parent)

    def names(self) -> list[str]:
        """Returns all names in the folder, sorted; none if the folder doesn't exist."""
        try:
            return sorted(os.listdir(self.folder))
        except FileNotFoundError:
            return []

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""
        return (self.folder / name).read_bytes()

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Writes from byte `offset` on, and creates a missing file. A write that fails may be partly done."""
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
        """Makes the bytes and the size of a file durable, but not its name."""
        os.fdatasync(self.descriptor(name))

    def sync_folder(self) -> None:
        """Syncs the folder: makes its directory entries durable."""
        sync_folder(self.folder)

    def close(self) -> None:
        """Closes all files. Errors are ignored, as a sync would have reported them."""
        while self.descriptors:
            _, descriptor = self.descriptors.popitem()
            with contextlib.suppress(OSError):
                os.close(descriptor)

    def descriptor(self, name: str) -> int:
        """Returns the file's descriptor for writing, opened on first use."""
        descriptor = self.descriptors.get(name)
        if descriptor is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC
            descriptor = self.descriptors[name] = os.open(self.folder / name, flags, 0o600)
        return descriptor


def sync_folder(folder: Path) -> None:
    """Syncs a folder: makes its directory entries durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
