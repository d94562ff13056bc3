"""The store: a folder with a snapshot and a log, written by a thread of its own so that the event loop never
waits for the disk.

The event loop queues records; the thread encodes, writes, syncs and compacts them. A disk that is slow, full
or broken blocks nobody: the queue is bounded, and when it overflows or a write fails, the queued records are
dropped and a full snapshot is written as soon as the disk accepts writes again.
"""

import threading
import time
from collections import deque
from collections.abc import Callable

from msgspec import Struct

from shedgrade import file_frames
from shedgrade.sidecar.endpoint_snapshot.files import Files, LockedError
from shedgrade.sidecar.endpoint_snapshot.recovery import END_RECORD, UNKNOWN_LENGTH, Recovered, recover
from shedgrade.sidecar.endpoint_snapshot.snapshot import Moment, Record, Snapshot

MAX_QUEUED_BYTES = 4 * 1024 * 1024  # records that wait for the disk: a minute of heavy churn
RECORD_BYTES = 200  # the estimated size of a record whose size is not given
RETRY_INTERVAL_S = 5.0  # between attempts to write to a disk that failed
CLOSE_TIMEOUT_S = 2.0  # a disk that hangs must not delay the exit
COMPACT_FACTOR = 4  # a log is compacted beyond this multiple of the snapshot's size
MIN_COMPACTED_BYTES = 256 * 1024  # a smaller log is not worth compacting


class StoreEvent(Struct, frozen=True):
    """An event to log: its level, a constant text, and the error if there is one."""

    level: str
    event: str
    error: str = ""


class Batch(Struct):
    """The records that the thread takes from the queue at once.

    Attributes:
        records: in the order in which they were queued.
        lost: records before these were dropped.
        last: the store is closing.
    """

    records: list[Record]
    lost: bool
    last: bool


class Store:
    """One folder with one owner. `open` recovers it; `put` queues a record; `close` writes what is queued.

    `sync`: always (after each batch), interval (every `sync_s` seconds at most), never (left to the kernel).
    Unless it is never, a snapshot is synced before it is renamed to its name.

    Attributes:
        snapshot: the state on disk once all queued records are written; only the thread uses it.
        number: the number of the newest snapshot and log.
        queue, queued_bytes, lost, closing: guarded by `lock`; the queued records, their estimated size,
            whether records were dropped, whether `close` was called.
        broken: the last write failed; the next one is a full snapshot.
        log_bytes, snapshot_bytes: the sizes of the newest files.
        unsynced, synced_at: whether the log holds data that was not synced; when it was last synced.
        bytes_written, writes: totals since the start, for measurements.
        read_current_list: returns the event loop's current list as records, after records were dropped.
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
        self.read_current_list: Callable[[], list[Record]] | None = None

    # --- opening

    def open(self) -> Recovered:
        """Locks the folder, recovers its state, renames damaged files, and begins a new snapshot.

        Returns despite any fault of the disk, with the state that could be read or an empty snapshot. Raises
        only LockedError.
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
                self.rename_damaged(found)
                self.log_bytes = found.log_length
                self.rotate_files(gap=found.log_length < 0)
            except OSError as failure:
                self.handle_failure(failure)
        return found

    def claim_folder(self) -> bool:
        """Creates and locks the folder. False if it must not be used. LockedError if another process has
        locked it."""
        try:
            self.files.create_folder()
            reason = self.files.distrust_reason()
            if reason:
                self.report(StoreEvent("WARNING", "saved endpoint list not used", f"the folder {reason}"))
                self.broken = True
                return False
            self.files.lock()
        except LockedError:
            raise
        except OSError as failure:
            # The folder may still be readable: the state in a read-only folder is recovered.
            self.report_failure("saved endpoint list cannot be written", failure)
            self.broken = True
        return True

    def rename_damaged(self, found: Recovered) -> None:
        """Renames damaged files; they are never deleted."""
        taken = set(self.files.list_names())
        for damaged in found.damaged:
            name, number = f"{damaged.name}.damaged", 1
            while name in taken:
                number += 1
                name = f"{damaged.name}.damaged-{number}"
            self.files.rename(damaged.name, name)
            taken.add(name)

    # --- files

    def rotate_files(self, gap: bool = False) -> None:
        """Writes a snapshot under the next number, begins an empty log, and removes older files.

        `gap`: the previous log lacks records that are in the snapshot.
        """
        if self.unsynced and self.sync != "never" and not gap:
            self.files.sync(f"log-{self.number}")  # or its unsynced end could be lost in a power cut
            self.unsynced = False
        before, self.number = self.number, self.write_snapshot(self.number + 1)
        self.files.close(f"log-{before}")
        self.begin_log(before, UNKNOWN_LENGTH if gap else self.log_bytes)
        self.unsynced = False
        self.remove_old()

    def write_snapshot(self, number: int) -> int:
        """Writes a snapshot under a temporary name and renames it once it is complete. Returns its number."""
        temporary = f"snapshot-{number}.new"
        records = [*self.snapshot.records(self.now()), END_RECORD]
        frames = b"".join(file_frames.encode_record(record) for record in records)
        data = file_frames.encode_header(file_frames.SNAPSHOT, number) + frames
        for name in self.files.list_names():
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
        """Begins a log. Its first record names the log before and its length, so that a gap between the two
        is detected if the snapshot is unusable."""
        head = {"k": "owner", "name": self.owner, "after": before, "size": length_before}
        data = file_frames.encode_header(file_frames.LOG, self.number) + file_frames.encode_record(head)
        self.write(f"log-{self.number}", data)
        if self.sync != "never":
            self.files.sync(f"log-{self.number}")
            self.files.sync_folder()
        self.log_bytes = len(data)

    def remove_old(self) -> None:
        """Removes files of numbers below the previous one, which is kept in case the newest is unreadable."""
        for name in self.files.list_names():
            kind, _, rest = name.partition("-")
            if kind in ("snapshot", "log") and rest.isdigit() and int(rest) < self.number - 1:
                self.files.remove(name)

    def write(self, name: str, data: bytes) -> None:
        """Appends to a file and counts the bytes and the write."""
        self.files.append(name, data)
        self.bytes_written += len(data)
        self.writes += 1

    # --- called by the event loop

    def put(self, record: Record, size: int = 0) -> None:
        """Queues one record; never waits for the disk. `size`: its estimated size in bytes."""
        with self.lock:
            if self.queued_bytes > MAX_QUEUED_BYTES:
                # Guards against a disk that hangs: the queue is dropped, and a full snapshot replaces it.
                self.queue.clear()
                self.queued_bytes, self.lost = 0, True
            self.queue.append(record)
            self.queued_bytes += size or RECORD_BYTES
            self.lock.notify()

    def start(self) -> None:
        """Starts the writer thread."""
        self.thread = threading.Thread(target=self.run, name="saved", daemon=True)
        self.thread.start()

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Writes the queued records, for at most `timeout_s` seconds, and releases the folder."""
        with self.lock:
            self.closing = True
            self.lock.notify()
        if self.thread is not None:
            self.thread.join(timeout_s)
        if self.thread is None or not self.thread.is_alive():
            self.files.release()

    # --- called by the writer thread

    def run(self) -> None:
        """Writes batches until the store closes."""
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
        """Waits for records, or until the log is due to be synced, and returns the queue."""
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
        """Applies a batch to the snapshot in memory, which succeeds whatever the disk does, then writes
        it."""
        self.apply(records, lost)
        try:
            if self.broken or lost:
                self.rotate_files(gap=True)  # the snapshot holds the records that the log lacks
                if self.broken:
                    self.broken = False
                    self.report(StoreEvent("INFO", "saved endpoint list written again"))
                return
            if records:
                data = b"".join(file_frames.encode_record(record) for record in records)
                self.write(f"log-{self.number}", data)
                self.log_bytes += len(data)
                self.unsynced = True
            self.sync_log()
            if self.log_bytes > max(MIN_COMPACTED_BYTES, COMPACT_FACTOR * self.snapshot_bytes):
                self.rotate_files()
        except OSError as failure:
            self.handle_failure(failure)

    def apply(self, records: list[Record], lost: bool) -> None:
        """Applies records to the snapshot in memory, beginning from the event loop's list if some were
        lost."""
        if lost and self.read_current_list is not None:
            self.snapshot = Snapshot()
            self.snapshot.owner = self.owner
            records = [*self.read_current_list(), *records]
        for record in records:
            try:
                self.snapshot.apply(record)
            except (KeyError, TypeError, ValueError) as error:
                self.report(StoreEvent("ERROR", "saved endpoint list: record not applied", repr(error)))

    def sync_log(self) -> None:
        """Syncs the log if it is due."""
        at = time.monotonic()
        due = self.sync == "always" or (self.sync == "interval" and at >= self.synced_at + self.sync_s)
        if self.unsynced and due:
            self.files.sync(f"log-{self.number}")
            self.unsynced, self.synced_at = False, at

    def handle_failure(self, failure: OSError) -> None:
        """Marks the disk as broken, so that the next successful write is a full snapshot."""
        if not self.broken:
            self.report_failure("saved endpoint list cannot be written", failure)
        self.broken = True

    def report_failure(self, event: str, failure: OSError) -> None:
        """Reports a failure of the disk as a warning, since the sidecar goes on serving without it."""
        self.report(StoreEvent("WARNING", event, failure.strerror or str(failure)))
