"""Recovers the newest valid snapshot from the files in a folder. All I/O is reading through `Files`.

A folder holds `snapshot-N` and `log-N`: the log holds the records that follow the snapshot of its number. The
files of N and N-1 are kept. Files that fail validation are reported so that the store renames them; nothing
is deleted here.
"""

import re
from typing import NamedTuple

from msgspec import Struct, field

from shedgrade import file_frames
from shedgrade.sidecar.endpoint_snapshot.files import Files
from shedgrade.sidecar.endpoint_snapshot.snapshot import Record, Snapshot

FILE_NAME = re.compile(r"(snapshot|log)-(\d{1,18})$")
END_RECORD = {"k": "end"}  # the last record of a snapshot file
UNKNOWN_LENGTH = -1  # the length of a log that is not valid to its end


class DamagedFile(NamedTuple):
    """A file that is to be set aside, and the reason."""

    name: str
    reason: str


class Recovered(Struct):
    """What was found in a folder.

    Attributes:
        snapshot: the newest valid one with the records of its logs applied; empty if there is none.
        number: the highest number that a file in the folder has.
        records: the number of records read.
        log_length: the size of the last log in bytes if it is valid to its end, else UNKNOWN_LENGTH.
        damaged: files to set aside.
        newer: files of a later format version, which must not be overwritten.
    """

    snapshot: Snapshot
    number: int = 0
    records: int = 0
    log_length: int = UNKNOWN_LENGTH
    damaged: list[DamagedFile] = field(default_factory=list)
    newer: list[str] = field(default_factory=list)

    def summary(self) -> str:
        """Damaged and newer files in one line; "" if there are none."""
        parts = [f"{one.name}: {one.reason}" for one in self.damaged]
        return "; ".join([*parts, *(f"{name}: of a newer version" for name in self.newer)])


def recover(files: Files, owner: str) -> Recovered:
    """Returns the newest valid state of this owner. OSError only if the folder itself can't be listed."""
    return Recovery(files, owner).run()


def apply_records(records: list[Record], snapshot: Snapshot) -> str:
    """Applies records up to the first invalid one. Returns why it stopped there, or ""."""
    for number, record in enumerate(records):
        try:
            snapshot.apply(record)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            return f"record {number} is invalid ({type(error).__name__}: {error})"
    return ""


class Recovery:
    """One pass over the files of a folder.

    Attributes:
        found: the result so far.
        base_number: the number of the snapshot in use; None if no valid one was found.
        log_length: the size of the previous log in bytes; UNKNOWN_LENGTH if it was not valid to its end.
    """

    def __init__(self, files: Files, owner: str) -> None:
        self.files = files
        self.owner = owner
        self.found = Recovered(Snapshot())
        self.base_number: int | None = None
        self.log_length = UNKNOWN_LENGTH

    def run(self) -> Recovered:
        """Reads snapshots from the newest down to the first valid one, then the logs from its number on."""
        snapshots: dict[int, str] = {}
        logs: dict[int, str] = {}
        for name in self.files.list_names():
            match = FILE_NAME.match(name)
            if match:
                (snapshots if match[1] == "snapshot" else logs)[int(match[2])] = name
                self.found.number = max(self.found.number, int(match[2]))
        for number in sorted(snapshots, reverse=True):
            if self.read_snapshot(number, snapshots[number]):
                break
        for number in sorted(logs):
            if self.base_number is None or number >= self.base_number:
                self.found.log_length = self.log_length = self.read_log(number, logs[number])
        self.found.snapshot.owner = self.owner
        return self.found

    def read_snapshot(self, number: int, name: str) -> bool:
        """Reads one snapshot. Returns whether it is valid and of this owner, and so becomes the base."""
        snapshot = Snapshot()
        try:
            header_number, records, reason = file_frames.decode_file(
                self.files.read(name), file_frames.SNAPSHOT
            )
            if header_number != number:
                raise file_frames.FormatError(f"its header has number {header_number}")
            # A snapshot is renamed to this name only once it is written in full: an incomplete one is
            # damaged.
            end = records.pop() if records else {}
            reason = (
                reason
                or ("" if end == END_RECORD else "the end record is missing")
                or apply_records(records, snapshot)
            )
            if reason:
                raise file_frames.FormatError(reason)
        except file_frames.NewerVersionError:
            self.found.newer.append(name)
            return False
        except (file_frames.FormatError, OSError) as error:
            self.report_damage(name, getattr(error, "strerror", None) or str(error))
            return False
        if snapshot.owner and snapshot.owner != self.owner:
            self.report_damage(name, f"belongs to {snapshot.owner!r}")
            return False
        self.base_number = number
        self.found.snapshot = snapshot
        self.found.records = len(records)
        return True

    def read_log(self, number: int, name: str) -> int:
        """Applies the valid part of one log, if it continues what was read before. Returns the log's length
        in bytes, or UNKNOWN_LENGTH if it is not valid to its end."""
        try:
            data = self.files.read(name)
            _, records, reason = file_frames.decode_file(data, file_frames.LOG)
        except file_frames.NewerVersionError:
            self.found.newer.append(name)
            return UNKNOWN_LENGTH
        except (file_frames.FormatError, OSError) as error:
            self.report_damage(name, getattr(error, "strerror", None) or str(error))
            return UNKNOWN_LENGTH
        head = records[0] if records and records[0].get("k") == "owner" else {}
        if head and head.get("name") != self.owner:
            self.report_damage(name, f"belongs to {head.get('name')!r}")
            return UNKNOWN_LENGTH
        if not self.continues_previous(number, head):
            start = first_complete_list(records)
            if start is None or head.get("name") != self.owner:
                return UNKNOWN_LENGTH
            self.found.snapshot = Snapshot()
            self.found.snapshot.owner = self.owner
            records = records[start:]
        stopped = apply_records(records, self.found.snapshot)
        self.found.records += len(records)
        reason = reason or stopped
        if reason:
            self.report_damage(name, reason)
        return UNKNOWN_LENGTH if reason else len(data)

    def continues_previous(self, number: int, head: Record) -> bool:
        """Whether a log continues its own snapshot, or the complete log before it. Otherwise earlier records
        are missing, and its records apply only from the first one with a complete list on."""
        if number == self.base_number:
            return True
        return (
            self.log_length >= 0 and head.get("after") == number - 1 and head.get("size") == self.log_length
        )

    def report_damage(self, name: str, reason: str) -> None:
        """Records a damaged file."""
        self.found.damaged.append(DamagedFile(name, reason))


def first_complete_list(records: list[Record]) -> int | None:
    """The index of the first record with a complete list, or None."""
    for index, record in enumerate(records):
        if record.get("k") == "list" and record.get("whole") is True:
            return index
    return None
