"""Files of captures: a dump of the ring, or files that a thread writes continuously."""

import os
import threading
from collections import deque
from collections.abc import Callable
from pathlib import Path

from shedgrade import file_frames
from shedgrade.sidecar.capture.rows import KIND

FILE_BYTES = 16 * 1024 * 1024  # size of a file, from which the next checkpoint begins another file
MAX_PENDING_BYTES = 8 * 1024 * 1024  # bytes of records that wait for the disk, at most


class CaptureError(Exception):
    """A capture can't be read; the text says why in one line."""


def load(path: Path) -> tuple[list[dict], str]:
    """Returns the records of one file, and the damage at which reading stopped ("" if there is none).

    A file that is cut off within a record is read up to there. CaptureError if the file can't be read, is no
    capture, or has no record that a replay may begin with.
    """
    try:
        _, records, damage = file_frames.decode_file(path.read_bytes(), KIND)
    except OSError as failure:
        raise CaptureError(f"{path}: {failure.strerror}") from failure
    except file_frames.FormatError as error:
        raise CaptureError(f"{path}: {error}") from error
    if not any(record["k"] in ("begin", "state") for record in records):
        raise CaptureError(f"{path}: no begin record and no checkpoint{f', {damage}' if damage else ''}")
    return records, damage


def make_folder(folder: Path) -> None:
    """Creates the folder of captures, accessible to its owner only."""
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)


def next_number(folder: Path) -> int:
    """Returns the number after the highest one of the captures in the folder."""
    found = [
        int(path.stem.partition("-")[2])
        for path in folder.glob("capture-*.sgc")
        if path.stem.partition("-")[2].isdigit()
    ]
    return max(found, default=0) + 1


def dump(folder: Path, data: bytes) -> Path:
    """Writes one capture and returns its path; the file is complete or absent. OSError if the write fails."""
    make_folder(folder)
    path = folder / f"capture-{next_number(folder)}.sgc"
    temporary = path.with_suffix(".new")
    handle = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    with os.fdopen(handle, "wb") as file:
        file.write(data)
    temporary.rename(path)
    return path


class Writer:
    """Writes records to files in a thread of its own, so that the event loop never waits for the disk.

    Keeps the newest files up to a total size.
    """

    def __init__(self, folder: Path, max_total_bytes: int, on_error: Callable[[str], None]) -> None:
        """Starts the thread.

        folder: folder of the captures, created with the first file.
        max_total_bytes: total size of the files, bytes; the oldest are removed.
        on_error: called in the thread with the reason of a failed write, once until a write succeeds.
        """
        self.folder = folder
        self.max_total_bytes = max_total_bytes
        self.on_error = on_error
        self.pending: deque[tuple[bytes, bool]] = deque()
        self.pending_bytes = self.size = 0
        self.lock = threading.Condition()
        self.closing = self.has_failed = False
        self.file = None
        self.thread = threading.Thread(target=self.run, name="capture", daemon=True)
        self.thread.start()

    def put(self, data: bytes, start: bool) -> bool:
        """Accepts a record; returns False if the disk is slow or failing. `start`: a file may begin here."""
        with self.lock:
            if self.pending_bytes + len(data) > MAX_PENDING_BYTES or (self.has_failed and not start):
                return False
            self.pending.append((data, start))
            self.pending_bytes += len(data)
            self.lock.notify()
        return True

    def is_full(self) -> bool:
        """Returns whether the current file has FILE_BYTES, so that a checkpoint should begin the next."""
        return self.size >= FILE_BYTES

    def run(self) -> None:
        """Main function of the writer's thread: writes the accepted records until `close`."""
        while True:
            with self.lock:
                while not self.pending and not self.closing:
                    self.lock.wait()
                batch, self.pending, self.pending_bytes = list(self.pending), deque(), 0
                closing = self.closing
            try:
                for data, start in batch:
                    if self.file is None or (start and self.size >= FILE_BYTES):
                        if not start:
                            continue
                        self.open_next_file()
                    self.file.write(data)
                    self.size += len(data)
                if self.file is not None:
                    self.file.flush()
                self.has_failed = False
            except OSError as failure:
                # Guards against a full or broken disk: this file is abandoned, a checkpoint opens the next.
                if not self.has_failed:
                    self.on_error(str(failure.strerror))
                self.has_failed, self.file = True, None
            if closing:
                if self.file is not None:
                    self.file.close()
                return

    def open_next_file(self) -> None:
        """Opens the next file, after it has removed the oldest ones above the total size."""
        if self.file is not None:
            self.file.close()
        make_folder(self.folder)
        found = sorted(self.folder.glob("capture-*.sgc"), key=lambda path: path.stat().st_mtime)
        total = sum(path.stat().st_size for path in found)
        while found and total + FILE_BYTES > self.max_total_bytes:
            total -= found[0].stat().st_size
            found.pop(0).unlink()
        number = next_number(self.folder)
        handle = os.open(self.folder / f"capture-{number}.sgc", os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
        self.file = os.fdopen(handle, "wb")
        head = file_frames.encode_header(KIND, number)
        self.file.write(head)
        self.size = len(head)

    def close(self, limit: float = 2.0) -> None:
        """Ends the thread, and waits up to `limit` seconds for the records still to be written."""
        with self.lock:
            self.closing = True
            self.lock.notify()
        self.thread.join(limit)
