"""The store: a folder with a snapshot and a log, written by a thread of its own, off the loop's path.

The loop hands over records and goes on; the thread frames, writes, syncs and compacts. A disk that is slow,
full or broken holds nobody: what waits is bounded, and when the bound is met or a write fails, the records
that wait are dropped and a new snapshot of the whole picture is due as soon as the disk takes one again.
"""

import threading
import time
from collections import deque
from collections.abc import Callable

from shedgrade import file_frames
from shedgrade.sidecar.endpoint_snapshot.recovery import Recovered, recover
from shedgrade.sidecar.endpoint_snapshot.snapshot import Moment, Picture

MOST_WAITING = 4 * 1024 * 1024  # bytes of records that may wait for the disk: a minute of heavy churn
AGAIN = 5.0  # s until a disk that failed is tried again
COMPACT = 4  # times a snapshot's size that a log may get to
LEAST_LOG = 256 * 1024  # bytes under which a log is not worth compacting
SYNCS = ("always", "interval", "never")


class Store:
    """One folder, one owner. `open` recovers; `put` hands over; `close` writes what is left.

    `sync`: always (after each batch), interval (at most every `sync_s`), never (left to the kernel).
    Snapshots are synced before they get their name unless it is never.
    """

    def __init__(
        self,
        files,
        owner: str,
        now: Callable[[], Moment],
        sync: str = "interval",
        sync_s: float = 1.0,
        tell: Callable[[str, str], None] = lambda level, line: None,
    ) -> None:
        self.files, self.owner, self.now, self.sync, self.sync_s, self.tell = (
            files,
            owner,
            now,
            sync,
            sync_s,
            tell,
        )
        self.picture = Picture()  # the thread's own: what is on disk once all that waits is written
        self.number = 0
        self.waiting: deque[dict] = deque()
        self.waiting_bytes = self.written = self.writes = 0
        self.lock = threading.Condition()
        self.ending = self.broken = self.lost = False
        self.log_size = self.snapshot_size = 0
        self.unsynced, self.synced_at = False, 0.0
        self.thread: threading.Thread | None = None
        self.reread: Callable[[], list[dict]] | None = None  # the loop's own picture, after a loss

    # --- opening

    def open(self) -> Recovered:
        """Locks, recovers, sets aside what is damaged, and begins a new snapshot.

        Whatever is wrong with the disk, it returns: with what could be read, or an empty picture.
        LockedError only.
        """
        from shedgrade.sidecar.endpoint_snapshot.files import LockedError

        found = Recovered(Picture())
        try:
            self.files.make()
            foreign = self.files.foreign()
            if foreign:
                self.tell("WARNING", f"saved list not used: the folder {foreign}")
                self.broken = True
                return found
            self.files.lock()
        except LockedError:
            raise
        except OSError as failure:
            # It may still be readable: a folder that is read-only tells what it holds.
            self.trouble("cannot be written", failure)
            self.broken = True
        try:
            found = recover(self.files, self.owner)
        except OSError as failure:
            self.trouble("cannot be read", failure)
            self.broken = True
            return found
        if found.said:
            self.tell(
                "WARNING",
                f"saved list damaged, the newest sound state is used, the rest set aside: {found.said}",
            )
        self.picture, self.number = found.picture, found.number
        if not self.broken:
            try:
                self.set_aside(found)
                self.log_size = found.tail
                self.begin(found.tail < 0)
            except OSError as failure:
                self.failed(failure)
        return found

    def set_aside(self, found: Recovered) -> None:
        """Under another name, never deleted."""
        there = set(self.files.names())
        for name, _ in found.aside:
            place, number = f"{name}.damaged", 1
            while place in there:
                number += 1
                place = f"{name}.damaged-{number}"
            self.files.rename(name, place)
            there.add(place)

    def begin(self, gap: bool = False) -> None:
        """A snapshot of the picture under the next number, then an empty log; the ones before the last go.

        `gap`: the log before lacks something that the snapshot holds.
        """
        number = self.number + 1
        if self.unsynced and self.sync != "never" and not gap:
            self.files.sync(f"log-{self.number}")  # or the gap would be there after a power cut
            self.unsynced = False
        temporary, name = f"snapshot-{number}.new", f"snapshot-{number}"
        records = [*self.picture.records(self.now()), {"k": "end"}]
        data = file_frames.header(file_frames.SNAPSHOT, number) + b"".join(
            file_frames.frame(record) for record in records
        )
        for old in self.files.names():
            if old.endswith(".new"):
                self.files.remove(old)
        self.write(temporary, data)
        if self.sync != "never":
            self.files.sync(temporary)
        self.files.close(temporary)
        self.files.rename(temporary, name)
        if self.sync != "never":
            self.files.sync_folder()
        before, self.number = self.number, number
        self.files.close(f"log-{before}")
        # A log says which one it goes on from, and how long that was: without its snapshot, a gap shows.
        head = file_frames.header(file_frames.LOG, number) + file_frames.frame(
            {"k": "owner", "name": self.owner, "after": before, "size": -1 if gap else self.log_size}
        )
        self.write(f"log-{number}", head)
        if self.sync != "never":
            self.files.sync(f"log-{number}")
            self.files.sync_folder()
        self.snapshot_size, self.log_size, self.unsynced = len(data), len(head), False
        # The one before stays, in case this one turns out not to be readable.
        for old in self.files.names():
            kind, _, rest = old.partition("-")
            if kind in ("snapshot", "log") and rest.isdigit() and int(rest) < number - 1:
                self.files.remove(old)

    def write(self, name: str, data: bytes) -> None:
        self.files.append(name, data)
        self.written += len(data)
        self.writes += 1

    # --- the loop's side

    def put(self, record: dict, size: int = 0) -> None:
        """Hands over one record; never waits for the disk."""
        with self.lock:
            if self.waiting_bytes > MOST_WAITING:
                # Guards against a disk that stands still: what waits is dropped, a snapshot will make up
                # for it.
                self.waiting.clear()
                self.waiting_bytes, self.lost = 0, True
            self.waiting.append(record)
            self.waiting_bytes += size or 200
            self.lock.notify()

    def start(self) -> None:
        self.thread = threading.Thread(target=self.run, name="saved", daemon=True)
        self.thread.start()

    def close(self, limit: float = 2.0) -> None:
        """Writes what waits, for `limit` seconds at most: a disk that hangs must not hold the exit."""
        with self.lock:
            self.ending = True
            self.lock.notify()
        if self.thread is not None:
            self.thread.join(limit)
        if self.thread is None or not self.thread.is_alive():
            self.files.release()

    # --- the thread's side

    def run(self) -> None:
        while True:
            with self.lock:
                while not self.waiting and not self.ending:
                    pause = self.sync_s if self.unsynced and self.sync == "interval" else None
                    if not self.lock.wait(pause) and pause:
                        break
                batch, self.waiting = list(self.waiting), deque()
                self.waiting_bytes, lost, self.lost = 0, self.lost, False
                ending = self.ending
            self.take(batch, lost)
            if ending and not self.waiting:
                return
            if self.broken:
                with self.lock:
                    if not self.ending:
                        self.lock.wait_for(lambda: self.ending, AGAIN)

    def take(self, batch: list[dict], lost: bool) -> None:
        """One batch: the picture first, as it holds whatever the disk does, then the log."""
        if lost and self.reread is not None:
            self.picture = Picture()
            self.picture.owner = self.owner
            batch = [*self.reread(), *batch]
        for record in batch:
            try:
                self.picture.apply(record)
            except (KeyError, TypeError, ValueError) as wrong:
                self.tell("ERROR", f"saved list: a record was none: {wrong!r}")
        try:
            if self.broken or lost:
                self.begin(True)  # a whole new snapshot: what was lost in between is in the picture
                if self.broken:
                    self.broken = False
                    self.tell("INFO", "saved list is written again")
                return
            if batch:
                data = b"".join(file_frames.frame(record) for record in batch)
                self.write(f"log-{self.number}", data)
                self.log_size += len(data)
                self.unsynced = True
            at = time.monotonic()
            if self.unsynced and (
                self.sync == "always" or (self.sync == "interval" and at >= self.synced_at + self.sync_s)
            ):
                self.files.sync(f"log-{self.number}")
                self.unsynced, self.synced_at = False, at
            if self.log_size > max(LEAST_LOG, COMPACT * self.snapshot_size):
                self.begin()
        except OSError as failure:
            self.failed(failure)

    def failed(self, failure: OSError) -> None:
        if not self.broken:
            self.trouble("cannot be written", failure)
        self.broken = True

    def trouble(self, what: str, failure: OSError) -> None:
        self.tell("WARNING", f"saved list {what}, the service goes on without: {failure.strerror or failure}")
