"""The file operations that the store needs, behind a class for which tests can substitute a disk in
memory."""

import contextlib
import fcntl
import os
from pathlib import Path


class LockedError(OSError):
    """Another process has locked the folder."""


class Files:
    """One folder on a real disk. Any call may raise OSError, which the store handles."""

    def __init__(self, folder: Path) -> None:
        self.folder = Path(folder)
        self.handles: dict[str, int] = {}
        self.lock_handle: int | None = None

    def create_folder(self) -> None:
        """Creates the folder with mode 700 if it does not exist."""
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)

    def distrust_reason(self) -> str:
        """Returns why the folder must not be trusted (another user owns it, or others may write to it), or
        ""."""
        stat = self.folder.stat()
        if stat.st_uid != os.geteuid():
            return f"belongs to user {stat.st_uid}"
        if stat.st_mode & 0o022:
            return f"may be written by others (mode {stat.st_mode & 0o777:o})"
        return ""

    def lock(self) -> None:
        """Takes an exclusive lock on the folder. LockedError if another process holds it."""
        handle = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as failure:
            os.close(handle)
            raise LockedError(f"{self.folder} is in use by another process") from failure
        self.lock_handle = handle

    def list_names(self) -> list[str]:
        """The names of all files in the folder, sorted."""
        return sorted(os.listdir(self.folder))

    def read(self, name: str) -> bytes:
        """Returns the content of the file."""
        return (self.folder / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Appends data, opening the file at the first call; a short write is continued until all is
        written."""
        handle = self.handles.get(name)
        if handle is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            handle = self.handles[name] = os.open(self.folder / name, flags, 0o600)
        view = memoryview(data)
        while view:
            view = view[os.write(handle, view) :]

    def sync(self, name: str) -> None:
        """Forces what was appended to this file to the disk."""
        os.fsync(self.handles[name])

    def close(self, name: str) -> None:
        """Closes the handle of a file to which nothing more is appended."""
        handle = self.handles.pop(name, None)
        if handle is not None:
            os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing any file that has the new name."""
        os.rename(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        """Deletes the file."""
        os.unlink(self.folder / name)

    def sync_folder(self) -> None:
        """Forces renames and removals to the disk."""
        handle = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def release(self) -> None:
        """Closes all files and releases the lock on the folder."""
        for name in list(self.handles):
            with contextlib.suppress(OSError):
                self.close(name)
        if self.lock_handle is not None:
            os.close(self.lock_handle)
            self.lock_handle = None
