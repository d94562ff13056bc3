"""Captures on disk: the edge. A dump of the ring, or files written as it goes by a thread of their own."""

import os
import threading
from collections import deque
from collections.abc import Callable
from pathlib import Path

from shedgrade import file_frames
from shedgrade.sidecar.capture.rows import KIND

FILE = 16 * 1024 * 1024  # bytes of a file that is written as it goes: then the next begins at a checkpoint
WAITING = 8 * 1024 * 1024  # bytes that may wait for the disk


class CaptureError(Exception):
    """Why a capture can't be read, in one line."""


def load(path: Path) -> tuple[list[dict], str]:
    """The records of one file, and what is wrong with its end ("" if nothing is): a capture that was cut off
    in a
    record is read up to there."""
    try:
        _, records, why = file_frames.read(path.read_bytes(), KIND)
    except OSError as failure:
        raise CaptureError(f"{path}: {failure.strerror}") from failure
    except file_frames.FormatError as wrong:
        raise CaptureError(f"{path}: {wrong}") from wrong
    if not any(one["k"] in ("begin", "state") for one in records):
        raise CaptureError(f"{path}: no begin and no checkpoint in it{f', {why}' if why else ''}")
    return records, why


def make(folder: Path) -> None:
    """Makes the folder of captures, readable by its owner alone."""
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)


def free_number(folder: Path) -> int:
    """The number after the highest of the captures there."""
    found = [
        int(path.stem.partition("-")[2])
        for path in folder.glob("capture-*.sgc")
        if path.stem.partition("-")[2].isdigit()
    ]
    return max(found, default=0) + 1


def dump(folder: Path, data: bytes) -> Path:
    """One file, whole or not there. OSError if the disk takes none."""
    make(folder)
    path = folder / f"capture-{free_number(folder)}.sgc"
    temporary = path.with_suffix(".new")
    handle = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    with os.fdopen(handle, "wb") as file:
        file.write(data)
    temporary.rename(path)
    return path


class Writer:
    """Takes records from the loop, never waits for the disk, keeps the newest files within a number of
    bytes."""

    def __init__(self, folder: Path, keep: int, tell: Callable[[str], None]) -> None:
        self.folder = folder
        self.keep = keep
        self.tell = tell
        self.waiting: deque[tuple[bytes, bool]] = deque()
        self.waiting_bytes = self.size = 0
        self.lock = threading.Condition()
        self.ending = self.broken = False
        self.file = None
        self.thread = threading.Thread(target=self.run, name="capture", daemon=True)
        self.thread.start()

    def put(self, data: bytes, start: bool) -> bool:
        """False if it was not taken: the disk is too slow or broken. `start`: a file may begin here."""
        with self.lock:
            if self.waiting_bytes + len(data) > WAITING or (self.broken and not start):
                return False
            self.waiting.append((data, start))
            self.waiting_bytes += len(data)
            self.lock.notify()
        return True

    def full(self) -> bool:
        """The next file is due: a checkpoint is wanted."""
        return self.size >= FILE

    def run(self) -> None:
        """The thread: writes what waits until the end."""
        while True:
            with self.lock:
                while not self.waiting and not self.ending:
                    self.lock.wait()
                batch, self.waiting, self.waiting_bytes = list(self.waiting), deque(), 0
                ending = self.ending
            try:
                for data, start in batch:
                    if self.file is None or (start and self.size >= FILE):
                        if not start:
                            continue
                        self.next()
                    self.file.write(data)
                    self.size += len(data)
                if self.file is not None:
                    self.file.flush()
                self.broken = False
            except OSError as failure:
                # Guards against a full or broken disk: the file is given up, the next checkpoint tries anew.
                if not self.broken:
                    self.tell(str(failure.strerror))
                self.broken, self.file = True, None
            if ending:
                if self.file is not None:
                    self.file.close()
                return

    def next(self) -> None:
        """Begins the next file, and removes the oldest ones over the limit."""
        if self.file is not None:
            self.file.close()
        make(self.folder)
        found = sorted(self.folder.glob("capture-*.sgc"), key=lambda path: path.stat().st_mtime)
        total = sum(path.stat().st_size for path in found)
        while found and total + FILE > self.keep:
            total -= found[0].stat().st_size
            found.pop(0).unlink()
        number = free_number(self.folder)
        handle = os.open(self.folder / f"capture-{number}.sgc", os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
        self.file = os.fdopen(handle, "wb")
        head = file_frames.header(KIND, number)
        self.file.write(head)
        self.size = len(head)

    def close(self, limit: float = 2.0) -> None:
        """Waits up to `limit` seconds for what is still to be written."""
        with self.lock:
            self.ending = True
            self.lock.notify()
        self.thread.join(limit)
