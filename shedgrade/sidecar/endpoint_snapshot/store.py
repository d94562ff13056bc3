"""The store: a folder with a snapshot and a log, written by a thread of its own, off the loop's path.

The loop hands over records and goes on; the thread frames, writes, syncs and compacts. A disk that is slow,
full or broken holds nobody: what waits is bounded, and when the bound is met or a write fails, the records
that wait are dropped and a new file of the whole snapshot is due as soon as the disk takes one again.
"""

import threading
import time
from collections import deque
from collections.abc import Callable

from msgspec import Struct

from shedgrade import file_frames
from shedgrade.sidecar.endpoint_snapshot.files import Files, LockedError
from shedgrade.sidecar.endpoint_snapshot.recovery import END, UNKNOWN, Recovered, recover
from shedgrade.sidecar.endpoint_snapshot.snapshot import Moment, Record, Snapshot

MAX_QUEUED_BYTES = 4 * 1024 * 1024  # of records that wait for the disk: a minute of heavy churn
RECORD_BYTES = 200  # what a record counts for where its size is not stated
RETRY_INTERVAL_S = 5.0  # until a disk that failed is tried again
CLOSE_TIMEOUT_S = 2.0  # a disk that hangs must not hold the exit
COMPACT_FACTOR = 4  # times a snapshot's size that a log may get to
MIN_COMPACTED_BYTES = 256 * 1024  # under which a log is not worth compacting


class StoreEvent(Struct, frozen=True):
    """Something for the log: a level, a constant text, and why."""

    level: str
    event: str
    error: str = ""


class Batch(Struct):
    """What the thread takes from the queue at once."""

    records: list[Record]
    lost: bool  # records before these were dropped
    last: bool  # the store is closing


class Store:
    """One folder, one owner. `open` recovers; `put` hands over; `close` writes what is left.

    `sync`: always (after each batch), interval (at most every `sync_s`), never (left to the kernel).
    Snapshots are synced before they get their name unless it is never.

    Attributes:
        snapshot: the thread's own: what is on disk once all that waits is written.
        number: of the newest snapshot and log.
        queue, queued_bytes, lost, closing: under `lock`; records that wait, about how many bytes they have,
            whether some were dropped, whether `close` was called.
        broken: the last write failed; the next one is a whole snapshot.
        log_bytes, snapshot_bytes: of the newest files.
        unsynced, synced_at: whether the log has something that was not forced to the disk; when it was.
        bytes_written, writes: since the start, for measurements.
        reread: gives the list as the loop has it, after records were lost.
    """

    def __init__(
        self,
        files: Files,
        owner: str,
        now: Callable[[], Moment],
        sync: str = "interval",
        sync_s: float = 1.0,
        report: Callable[[StoreEvent], None] = lambda event: None,
    ) -> None:
        self.files = files
        self.owner = owner
        self.now = now
        self.sync = sync
        self.sync_s = sync_s
        self.report = report
        self.snapshot = Snapshot()
        self.number = 0
        self.queue: deque[Record] = deque()
        self.queued_bytes = 0
        self.bytes_written = 0
        self.writes = 0
        self.lock = threading.Condition()
        self.closing = False
        self.broken = False
        self.lost = False
        self.log_bytes = 0
        self.snapshot_bytes = 0
        self.unsynced = False
        self.synced_at = 0.0
        self.thread: threading.Thread | None = None
        self.reread: Callable[[], list[Record]] | None = None

    # --- opening

    def open(self) -> Recovered:
        """Locks, recovers, sets aside what is damaged, and begins a new snapshot.

        Whatever is wrong with the disk, it returns: with what could be read, or an empty snapshot.
        LockedError only.
        """
        if not self.claim_folder():
            return Recovered(Snapshot())
        try:
            found = recover(self.files, self.owner)
        except OSError as failure:
            self.report_failure("saved endpoint list cannot be read", failure)
            self.broken = True
            return Recovered(Snapshot())
        summary = found.summary()
        if summary:
            self.report(
                StoreEvent("WARNING", "saved endpoint list damaged, newest sound state used", summary)
            )
        self.snapshot = found.snapshot
        self.number = found.number
        if not self.broken:
            try:
                self.set_aside(found)
                self.log_bytes = found.log_length
                self.begin_files(gap=found.log_length < 0)
            except OSError as failure:
                self.on_failure(failure)
        return found

    def claim_folder(self) -> bool:
        """Makes and locks the folder. False if it must not be used. LockedError if another process has it."""
        try:
            self.files.make()
            foreign = self.files.foreign()
            if foreign:
                self.report(StoreEvent("WARNING", "saved endpoint list not used", f"the folder {foreign}"))
                self.broken = True
                return False
            self.files.lock()
        except LockedError:
            raise
        except OSError as failure:
            # It may still be readable: a folder that is read-only tells what it holds.
            self.report_failure("saved endpoint list cannot be written", failure)
            self.broken = True
        return True

    def set_aside(self, found: Recovered) -> None:
        """Gives what is damaged another name; it is never deleted."""
        taken = set(self.files.names())
        for damaged in found.damaged:
            name, number = f"{damaged.name}.damaged", 1
            while name in taken:
                number += 1
                name = f"{damaged.name}.damaged-{number}"
            self.files.rename(damaged.name, name)
            taken.add(name)

    # --- files

    def begin_files(self, gap: bool = False) -> None:
        """A snapshot under the next number, then an empty log; the ones before the last go.

        `gap`: the log before lacks something that the snapshot holds.
        """
        if self.unsynced and self.sync != "never" and not gap:
            self.files.sync(f"log-{self.number}")  # or the gap would be there after a power cut
            self.unsynced = False
        before, self.number = self.number, self.write_snapshot(self.number + 1)
        self.files.close(f"log-{before}")
        self.begin_log(before, UNKNOWN if gap else self.log_bytes)
        self.unsynced = False
        self.remove_old()

    def write_snapshot(self, number: int) -> int:
        """Writes the file under another name, and renames it once it is complete. Returns its number."""
        temporary = f"snapshot-{number}.new"
        records = [*self.snapshot.records(self.now()), END]
        frames = b"".join(file_frames.frame(record) for record in records)
        data = file_frames.header(file_frames.SNAPSHOT, number) + frames
        for name in self.files.names():
            if name.endswith(".new"):
                self.files.remove(name)
        self.write(temporary, data)
        if self.sync != "never":
            self.files.sync(temporary)
        self.files.close(temporary)
        self.files.rename(temporary, f"snapshot-{number}")
        if self.sync != "never":
            self.files.sync_folder()
        self.snapshot_bytes = len(data)
        return number

    def begin_log(self, before: int, length_before: int) -> None:
        """An empty log. It says which one it goes on from, and how long that was: without its snapshot, a gap
        shows."""
        head = {"k": "owner", "name": self.owner, "after": before, "size": length_before}
        data = file_frames.header(file_frames.LOG, self.number) + file_frames.frame(head)
        self.write(f"log-{self.number}", data)
        if self.sync != "never":
            self.files.sync(f"log-{self.number}")
            self.files.sync_folder()
        self.log_bytes = len(data)

    def remove_old(self) -> None:
        """The files before the last ones go; the last ones stay, in case the newest turn out unreadable."""
        for name in self.files.names():
            kind, _, rest = name.partition("-")
            if kind in ("snapshot", "log") and rest.isdigit() and int(rest) < self.number - 1:
                self.files.remove(name)

    def write(self, name: str, data: bytes) -> None:
        """Appends to a file, and counts it."""
        self.files.append(name, data)
        self.bytes_written += len(data)
        self.writes += 1

    # --- the loop's side

    def put(self, record: Record, size: int = 0) -> None:
        """Hands over one record; never waits for the disk. `size`: about how many bytes it has."""
        with self.lock:
            if self.queued_bytes > MAX_QUEUED_BYTES:
                # Guards against a disk that stands still: what waits is dropped, a snapshot will make up
                # for it.
                self.queue.clear()
                self.queued_bytes, self.lost = 0, True
            self.queue.append(record)
            self.queued_bytes += size or RECORD_BYTES
            self.lock.notify()

    def start(self) -> None:
        """Starts the thread that writes."""
        self.thread = threading.Thread(target=self.run, name="saved", daemon=True)
        self.thread.start()

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Writes what waits, as far as the time allows."""
        with self.lock:
            self.closing = True
            self.lock.notify()
        if self.thread is not None:
            self.thread.join(timeout_s)
        if self.thread is None or not self.thread.is_alive():
            self.files.release()

    # --- the thread's side

    def run(self) -> None:
        """Writes batch after batch until the store closes."""
        while True:
            batch = self.next_batch()
            self.write_batch(batch.records, batch.lost)
            if batch.last and not self.queue:
                return
            if self.broken:
                with self.lock:
                    if not self.closing:
                        self.lock.wait_for(lambda: self.closing, RETRY_INTERVAL_S)

    def next_batch(self) -> Batch:
        """Waits for records, or for the time at which the log is to be synced."""
        with self.lock:
            while not self.queue and not self.closing:
                timeout_s = self.sync_s if self.unsynced and self.sync == "interval" else None
                if not self.lock.wait(timeout_s) and timeout_s:
                    break
            batch = Batch(list(self.queue), self.lost, self.closing)
            self.queue = deque()
            self.queued_bytes, self.lost = 0, False
            return batch

    def write_batch(self, records: list[Record], lost: bool) -> None:
        """The snapshot in memory first, as it holds whatever the disk does, then the files."""
        self.apply(records, lost)
        try:
            if self.broken or lost:
                self.begin_files(gap=True)  # what was lost in between is in the snapshot
                if self.broken:
                    self.broken = False
                    self.report(StoreEvent("INFO", "saved endpoint list written again"))
                return
            if records:
                data = b"".join(file_frames.frame(record) for record in records)
                self.write(f"log-{self.number}", data)
                self.log_bytes += len(data)
                self.unsynced = True
            self.sync_log()
            if self.log_bytes > max(MIN_COMPACTED_BYTES, COMPACT_FACTOR * self.snapshot_bytes):
                self.begin_files()
        except OSError as failure:
            self.on_failure(failure)

    def apply(self, records: list[Record], lost: bool) -> None:
        """Brings the snapshot in memory up to date."""
        if lost and self.reread is not None:
            self.snapshot = Snapshot()
            self.snapshot.owner = self.owner
            records = [*self.reread(), *records]
        for record in records:
            try:
                self.snapshot.apply(record)
            except (KeyError, TypeError, ValueError) as error:
                self.report(StoreEvent("ERROR", "saved endpoint list: record not applied", repr(error)))

    def sync_log(self) -> None:
        """Forces the log to the disk, if that is due."""
        at = time.monotonic()
        due = self.sync == "always" or (self.sync == "interval" and at >= self.synced_at + self.sync_s)
        if self.unsynced and due:
            self.files.sync(f"log-{self.number}")
            self.unsynced, self.synced_at = False, at

    def on_failure(self, failure: OSError) -> None:
        """The disk refused; once it takes something again, a whole snapshot is written."""
        if not self.broken:
            self.report_failure("saved endpoint list cannot be written", failure)
        self.broken = True

    def report_failure(self, event: str, failure: OSError) -> None:
        """The service goes on without the disk."""
        self.report(StoreEvent("WARNING", event, failure.strerror or str(failure)))
