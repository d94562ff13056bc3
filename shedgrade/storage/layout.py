"""The bytes of a slot and of a log, without I/O, in the frames of `file_frames.py`.

    slot   header(kind C, sequence)   one record {"n": sequence, "v": {key: bytes}}, the whole map
    log    header(kind J, base)       records {"n": sequence, "c": {key: bytes or nil}}, nil removes the key

`sequence`: the log sequence number (LSN) of a write. Each write that is tried gets one and none is given
twice, so bytes of two writes that got mixed on disk never pass for one: a slot's record has the number of its
header; a log's records count up by one from its base, the number of its slot. What stands behind a slot's
record, or behind the first record of a log that is not sound, is left over from before.
"""

from dataclasses import dataclass, field
from zlib import crc32

from shedgrade import file_frames

SLOT, LOG = b"C", b"J"
LARGEST = file_frames.LONGEST - 64 * 1024  # bytes of a whole map: it must fit a frame with room to spare
MARK = b"\x82\xa1n"  # how the payload of each record begins: a map of two, "n" first
MOST = 2**63  # no sequence number comes near it: one that does is not ours


@dataclass(slots=True)
class Slot:
    """`values` is None if the slot cannot be used; `reason` says why not. `sequence`: -1 if not known."""

    sequence: int = -1
    values: dict[str, bytes] | None = None
    reason: str = ""
    newer: bool = False


@dataclass(slots=True)
class Log:
    """`base`: the number of its slot, -1 if not known. `changes`: those that are sound and in order.

    `reason`: what stopped the reading before the end, "" if nothing did. `beyond`: the highest sequence
    number found behind that place, -1 if none is over the last: what lies between was damaged, as no write
    begins before the one before it is synced.
    """

    base: int = -1
    changes: list[dict[str, bytes | None]] = field(default_factory=list)
    reason: str = ""
    beyond: int = -1
    newer: bool = False

    @property
    def last(self) -> int:
        """The sequence number of the last sound record, the base if there is none."""
        return self.base + len(self.changes)


def slot(sequence: int, values: dict[str, bytes]) -> bytes:
    return file_frames.header(SLOT, sequence) + file_frames.frame({"n": sequence, "v": values})


def log(base: int) -> bytes:
    """How the log of the slot with this number begins."""
    return file_frames.header(LOG, base)


def record(sequence: int, changes: dict[str, bytes | None]) -> bytes:
    return file_frames.frame({"n": sequence, "c": changes})


def read_slot(data: bytes) -> Slot:
    """Raises nothing, whatever the bytes are."""
    try:
        sequence, records, reason = read(data, SLOT)
    except file_frames.FormatError as wrong:
        return Slot(reason=str(wrong), newer=isinstance(wrong, file_frames.NewerVersionError))
    if not records:
        return Slot(sequence, reason=reason or "no record")
    values = records[0].get("v")
    if records[0].get("n") != sequence or not is_map(values, bytes):
        return Slot(sequence, reason="header and content are of two writes")
    return Slot(sequence, values)


def read_log(data: bytes) -> Log:
    """Raises nothing, whatever the bytes are."""
    try:
        base, records, reason = read(data, LOG)
    except file_frames.FormatError as wrong:
        return Log(reason=str(wrong), newer=isinstance(wrong, file_frames.NewerVersionError))
    found = Log(base, reason=reason)
    for one in records:
        if one.get("n") != found.last + 1 or not is_map(one.get("c"), bytes | None):
            found.reason = f"what follows {found.last} is not the next record"
            break
        found.changes.append(one["c"])
    if found.reason:
        found.beyond = beyond(data, found.last)
    return found


def read(data: bytes, kind: bytes) -> tuple[int, list[dict], str]:
    try:
        sequence, records, reason = file_frames.read(data, kind)
    except (TypeError, RecursionError) as wrong:
        # Guards against a file that another program made, with sound checksums around what is no record of
        # ours.
        raise file_frames.FormatError(f"not a file of ours ({type(wrong).__name__})") from wrong
    if sequence >= MOST:
        raise file_frames.FormatError("sequence number out of bounds")
    return sequence, records, reason


def is_map(found: object, kind) -> bool:
    return type(found) is dict and all(
        type(key) is str and isinstance(value, kind) for key, value in found.items()
    )


def beyond(data: bytes, last: int) -> int:
    """The highest sequence number over `last` of a sound record at any offset of the data, or -1."""
    highest, offset = -1, data.find(MARK, file_frames.HEAD_SIZE + file_frames.FRAME.size)
    while offset >= 0:
        length, check = file_frames.FRAME.unpack_from(data, offset - file_frames.FRAME.size)
        payload = data[offset : offset + length]
        if len(payload) == length and crc32(payload, crc32(file_frames.CHECK.pack(length))) == check:
            try:
                sequence = file_frames.decoder.decode(payload)["n"]
            except (TypeError, ValueError, KeyError, RecursionError):
                sequence = -1
            if type(sequence) is int and last < sequence < MOST:
                highest = max(highest, sequence)
        offset = data.find(MARK, offset + 1)
    return highest


def weight(key: str, value: bytes | None) -> int:
    """Bytes that the entry takes in a slot at most; None: not there."""
    return 0 if value is None else 4 * len(key) + len(value) + 16


def apply(values: dict[str, bytes], changes: dict[str, bytes | None]) -> None:
    for key, value in changes.items():
        if value is None:
            values.pop(key, None)
        else:
            values[key] = value
