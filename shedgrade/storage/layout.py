"""Encoding of a snapshot slot and of its write-ahead log, without I/O, in the frames of `file_frames.py`.

    slot   header(kind C, LSN)        one record {"n": LSN, "v": {key: bytes}}, the whole map
    log    header(kind J, base LSN)   records {"n": LSN, "c": {key: bytes or nil}}, nil removes the key

LSN: the log sequence number of a write. Each attempted write gets a new one and none is reused, so a mix of
the bytes of two writes on disk is never accepted: the record of a slot has the LSN of its header, and the
records of a log count up by one from its base, the LSN of its slot. Bytes after a slot's record, or after the
first damaged record of a log, are left from earlier writes.
"""

from dataclasses import dataclass, field
from zlib import crc32

from shedgrade import file_frames

SLOT_KIND, LOG_KIND = b"C", b"J"
# the whole map must fit into one record, with room to spare
MAX_MAP_BYTES = file_frames.MAX_RECORD_BYTES - 64 * 1024
PAYLOAD_START = b"\x82\xa1n"  # first bytes of the payload of each record: a map of two entries, "n" first
LSN_LIMIT = 2**63  # no real LSN is near it; a file with a higher one was not written by the store
UNKNOWN_LSN = -1

Changes = dict[str, bytes | None]  # None: the key is removed


@dataclass(slots=True)
class SlotContent:
    """Content of a snapshot slot.

    `lsn`: LSN of the last write in the snapshot, UNKNOWN_LSN if the header is damaged.
    `values`: None if the slot can't be used.
    `damage`: why it can't be used, else "".
    `newer_version`: whether the slot was written by a later version of the format.
    """

    lsn: int = UNKNOWN_LSN
    values: dict[str, bytes] | None = None
    damage: str = ""
    newer_version: bool = False


@dataclass(slots=True)
class LogContent:
    """Content of a write-ahead log.

    `base_lsn`: LSN of the slot that the log continues, UNKNOWN_LSN if the header is damaged.
    `changes`: the changes of the sound records in sequence.
    `damage`: why reading stopped before the end, "" if it did not.
    `lsn_after_damage`: the highest LSN of a sound record after the damage, UNKNOWN_LSN if none is above the
    last. If there is one, the damage is not a torn write, as a write begins only after the previous one was
    synced.
    `newer_version`: whether the log was written by a later version of the format.
    """

    base_lsn: int = UNKNOWN_LSN
    changes: list[Changes] = field(default_factory=list)
    damage: str = ""
    lsn_after_damage: int = UNKNOWN_LSN
    newer_version: bool = False

    @property
    def last_lsn(self) -> int:
        """The LSN of the last sound record, the base if there is none."""
        return self.base_lsn + len(self.changes)


def encode_slot(lsn: int, values: dict[str, bytes]) -> bytes:
    """Returns the bytes of a whole slot file."""
    return file_frames.encode_header(SLOT_KIND, lsn) + file_frames.encode_record({"n": lsn, "v": values})


def encode_log_header(base_lsn: int) -> bytes:
    """Returns the header of the log that continues the slot with LSN `base_lsn`."""
    return file_frames.encode_header(LOG_KIND, base_lsn)


def encode_log_record(lsn: int, changes: Changes) -> bytes:
    """Returns the record of one write, as it is appended to a log."""
    return file_frames.encode_record({"n": lsn, "c": changes})


def decode_slot(data: bytes) -> SlotContent:
    """Returns the content of a slot file. Raises nothing, whatever the bytes are."""
    try:
        lsn, records, damage = read_file(data, SLOT_KIND)
    except file_frames.FormatError as error:
        return SlotContent(damage=str(error), newer_version=is_newer_version(error))
    if not records:
        return SlotContent(lsn, damage=damage or "no record")
    values = records[0].get("v")
    if records[0].get("n") != lsn or not is_map(values, bytes):
        return SlotContent(lsn, damage="header and record are of different writes")
    return SlotContent(lsn, values)


def decode_log(data: bytes) -> LogContent:
    """Returns the content of a log file. Raises nothing, whatever the bytes are."""
    try:
        base_lsn, records, damage = read_file(data, LOG_KIND)
    except file_frames.FormatError as error:
        return LogContent(damage=str(error), newer_version=is_newer_version(error))
    log = LogContent(base_lsn, damage=damage)
    for record in records:
        if record.get("n") != log.last_lsn + 1 or not is_map(record.get("c"), bytes | None):
            log.damage = f"no valid record follows number {log.last_lsn}"
            break
        log.changes.append(record["c"])
    if log.damage:
        log.lsn_after_damage = highest_lsn_at_any_offset(data, log.last_lsn)
    return log


def read_file(data: bytes, kind: bytes) -> file_frames.FileContent:
    """Returns the LSN and the records of a file.

    Raises FormatError if the header is damaged, or if another program wrote the file.
    """
    try:
        content = file_frames.decode_file(data, kind)
    except (TypeError, RecursionError) as error:
        # a file of another program may have sound checksums around records of another shape
        raise file_frames.FormatError(f"not a file of the store ({type(error).__name__})") from error
    if content.number >= LSN_LIMIT:
        raise file_frames.FormatError("sequence number out of bounds")
    return content


def is_newer_version(error: file_frames.FormatError) -> bool:
    """Whether the file was refused only because of its version."""
    return isinstance(error, file_frames.NewerVersionError)


def is_map(value: object, kind: object) -> bool:
    """Whether `value` is a map of strings to values of `kind`, a class or a union of classes."""
    return type(value) is dict and all(
        type(key) is str and isinstance(item, kind)  # type: ignore[arg-type]
        for key, item in value.items()
    )


def highest_lsn_at_any_offset(data: bytes, last_lsn: int) -> int:
    """Returns the highest LSN above `last_lsn` of a sound record at any offset, or UNKNOWN_LSN."""
    prefix = file_frames.RECORD_PREFIX
    highest, offset = UNKNOWN_LSN, data.find(PAYLOAD_START, file_frames.HEADER_BYTES + prefix.size)
    while offset >= 0:
        length, checksum = prefix.unpack_from(data, offset - prefix.size)
        payload = data[offset : offset + length]
        if len(payload) == length and crc32(payload, crc32(file_frames.CHECKSUM.pack(length))) == checksum:
            lsn = lsn_of_payload(payload)
            if last_lsn < lsn < LSN_LIMIT:
                highest = max(highest, lsn)
        offset = data.find(PAYLOAD_START, offset + 1)
    return highest


def lsn_of_payload(payload: bytes) -> int:
    """Returns the LSN in a record's payload, UNKNOWN_LSN if it is not a record of a slot or log."""
    try:
        lsn = file_frames.decoder.decode(payload)["n"]
    except (TypeError, ValueError, KeyError, RecursionError):
        return UNKNOWN_LSN
    return lsn if type(lsn) is int else UNKNOWN_LSN


def entry_bytes(key: str, value: bytes | None) -> int:
    """Returns an upper bound of the bytes that an entry takes in a slot; 0 for None, which is no entry."""
    return 0 if value is None else 4 * len(key) + len(value) + 16


def apply_changes(values: dict[str, bytes], changes: Changes) -> None:
    """Applies the changes of one write to the map, in place."""
    for key, value in changes.items():
        if value is None:
            values.pop(key, None)
        else:
            values[key] = value
