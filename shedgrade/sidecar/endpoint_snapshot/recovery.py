"""From what lies in a folder to the newest sound snapshot. Reads through `Files`, decides without more I/O.

A folder holds `snapshot-N` and `log-N`: the log goes on from the snapshot of its number. N and N-1 are kept.
What is not sound is named for being set aside; nothing is ever deleted here.
"""

import re
from typing import NamedTuple

from msgspec import Struct, field

from shedgrade import file_frames
from shedgrade.sidecar.endpoint_snapshot.files import Files
from shedgrade.sidecar.endpoint_snapshot.snapshot import Record, Snapshot

FILE_NAME = re.compile(r"(snapshot|log)-(\d{1,18})$")
END = {"k": "end"}  # the last record of a snapshot's file
UNKNOWN = -1  # a length


class DamagedFile(NamedTuple):
    """A file that is to be set aside, and why."""

    name: str
    reason: str


class Recovered(Struct):
    """What was found in a folder.

    `snapshot`: the newest sound one, empty if there is none. `number`: the highest number used in the folder.
    `records`: how many were read. `log_length`: bytes of the last log if it is sound to its end, else
    UNKNOWN. `damaged`: files to set aside. `newer`: files of a later version, which must not be written over.
    """

    snapshot: Snapshot
    number: int = 0
    records: int = 0
    log_length: int = UNKNOWN
    damaged: list[DamagedFile] = field(default_factory=list)
    newer: list[str] = field(default_factory=list)

    def summary(self) -> str:
        """What was not in order, in one line; "" if all was."""
        parts = [f"{one.name}: {one.reason}" for one in self.damaged]
        return "; ".join([*parts, *(f"{name}: of a newer version" for name in self.newer)])


def recover(files: Files, owner: str) -> Recovered:
    """The newest sound state of this owner. OSError only if the folder itself can't be listed."""
    return Recovery(files, owner).run()


def rebuild(records: list[Record], snapshot: Snapshot) -> str:
    """Applies records up to the first that is none of ours; why it stopped, or ""."""
    for number, record in enumerate(records):
        try:
            snapshot.apply(record)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            return f"record {number} is not one of ours ({type(error).__name__}: {error})"
    return ""


class Recovery:
    """One reading of a folder.

    Attributes:
        found: what has been found so far.
        base: the number of the snapshot that is gone on from; None if there is no sound one.
        log_length: of the log before, UNKNOWN if it was not sound to its end.
    """

    def __init__(self, files: Files, owner: str) -> None:
        self.files = files
        self.owner = owner
        self.found = Recovered(Snapshot())
        self.base: int | None = None
        self.log_length = UNKNOWN

    def run(self) -> Recovered:
        """Reads the snapshots, the newest first, then the logs from there on."""
        snapshots: dict[int, str] = {}
        logs: dict[int, str] = {}
        for name in self.files.names():
            match = FILE_NAME.match(name)
            if match:
                (snapshots if match[1] == "snapshot" else logs)[int(match[2])] = name
                self.found.number = max(self.found.number, int(match[2]))
        for number in sorted(snapshots, reverse=True):
            if self.read_snapshot(number, snapshots[number]):
                break
        for number in sorted(logs):
            if self.base is None or number >= self.base:
                self.found.log_length = self.log_length = self.read_log(number, logs[number])
        self.found.snapshot.owner = self.owner
        return self.found

    def read_snapshot(self, number: int, name: str) -> bool:
        """Whether this one is sound, and so gone on from."""
        snapshot = Snapshot()
        try:
            stated, records, reason = file_frames.read(self.files.read(name), file_frames.SNAPSHOT)
            if stated != number:
                raise file_frames.FormatError(f"says it is number {stated}")
            # A snapshot is written whole before it gets its name: one that is not whole is damaged.
            end = records.pop() if records else {}
            reason = reason or ("" if end == END else "no end") or rebuild(records, snapshot)
            if reason:
                raise file_frames.FormatError(reason)
        except file_frames.NewerVersionError:
            self.found.newer.append(name)
            return False
        except (file_frames.FormatError, OSError) as error:
            self.set_aside(name, getattr(error, "strerror", None) or str(error))
            return False
        if snapshot.owner and snapshot.owner != self.owner:
            self.set_aside(name, f"belongs to {snapshot.owner!r}")
            return False
        self.base = number
        self.found.snapshot = snapshot
        self.found.records = len(records)
        return True

    def read_log(self, number: int, name: str) -> int:
        """Applies one log, as far as it is sound and goes on from what was read before. Returns its length,
        UNKNOWN if it is not sound to its end."""
        try:
            data = self.files.read(name)
            _, records, reason = file_frames.read(data, file_frames.LOG)
        except file_frames.NewerVersionError:
            self.found.newer.append(name)
            return UNKNOWN
        except (file_frames.FormatError, OSError) as error:
            self.set_aside(name, getattr(error, "strerror", None) or str(error))
            return UNKNOWN
        head = records[0] if records and records[0].get("k") == "owner" else {}
        if head and head.get("name") != self.owner:
            self.set_aside(name, f"belongs to {head.get('name')!r}")
            return UNKNOWN
        if not self.follows(number, head):
            start = first_complete_list(records)
            if start is None or head.get("name") != self.owner:
                return UNKNOWN
            self.found.snapshot = Snapshot()
            self.found.snapshot.owner = self.owner
            records = records[start:]
        stopped = rebuild(records, self.found.snapshot)
        self.found.records += len(records)
        reason = reason or stopped
        if reason:
            self.set_aside(name, reason)
        return UNKNOWN if reason else len(data)

    def follows(self, number: int, head: Record) -> bool:
        """Whether a log goes on from its snapshot, or from the whole of the log before. Without either, what
        it says lacks its beginning, and only a record with a complete list can be begun with."""
        if number == self.base:
            return True
        return (
            self.log_length >= 0 and head.get("after") == number - 1 and head.get("size") == self.log_length
        )

    def set_aside(self, name: str, reason: str) -> None:
        """The file is damaged."""
        self.found.damaged.append(DamagedFile(name, reason))


def first_complete_list(records: list[Record]) -> int | None:
    """The place of the first record with a complete list."""
    for place, record in enumerate(records):
        if record.get("k") == "list" and record.get("whole") is True:
            return place
    return None
