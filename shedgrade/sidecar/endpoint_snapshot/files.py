"""The few file operations that the store needs, so that tests can put a disk of their own in their place."""

import contextlib
import fcntl
import os
from pathlib import Path


class LockedError(OSError):
    """Another process has the folder."""


class Files:
    """One folder on a real disk. OSError from any call is the store's to handle."""

    def __init__(self, folder: Path) -> None:
        self.folder = Path(folder)
        self.handles: dict[str, int] = {}
        self.lock_handle: int | None = None

    def make(self) -> None:
        """Makes the folder, for this user only, if it is not there."""
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)

    def foreign(self) -> str:
        """Why the folder should not be trusted, or "": another user's, or writable by others."""
        stat = self.folder.stat()
        if stat.st_uid != os.geteuid():
            return f"belongs to user {stat.st_uid}"
        if stat.st_mode & 0o022:
            return f"may be written by others (mode {stat.st_mode & 0o777:o})"
        return ""

    def lock(self) -> None:
        """LockedError if another process has the folder."""
        handle = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as failure:
            os.close(handle)
            raise LockedError(f"{self.folder} is in use by another process") from failure
        self.lock_handle = handle

    def names(self) -> list[str]:
        """Of all files in the folder."""
        return sorted(os.listdir(self.folder))

    def read(self, name: str) -> bytes:
        """The whole file."""
        return (self.folder / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Opens at the first call, then writes to the end; a short write is gone on with."""
        handle = self.handles.get(name)
        if handle is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            handle = self.handles[name] = os.open(self.folder / name, flags, 0o600)
        view = memoryview(data)
        while view:
            view = view[os.write(handle, view) :]

    def sync(self, name: str) -> None:
        """Forces what was appended to the disk."""
        os.fsync(self.handles[name])

    def close(self, name: str) -> None:
        """Nothing more is appended to this file."""
        handle = self.handles.pop(name, None)
        if handle is not None:
            os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Takes the place of a file of that name, if there is one."""
        os.rename(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        """The file is no more."""
        os.unlink(self.folder / name)

    def sync_folder(self) -> None:
        """Forces renames and removals to the disk."""
        handle = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def release(self) -> None:
        """Closes all files and gives the folder up."""
        for name in list(self.handles):
            with contextlib.suppress(OSError):
                self.close(name)
        if self.lock_handle is not None:
            os.close(self.lock_handle)
            self.lock_handle = None
