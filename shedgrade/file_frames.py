"""Record format of files, without I/O: a header and framed records, each with length and checksum.

    header   b"SHEDGRADE" kind(1: S snapshot, L log) version(u16) number(u64) checksum(u32)
    record   length(u32) checksum(u32) payload(MessagePack), little-endian; CRC-32 of length and payload

Readers accept their own version and older ones, refuse newer ones, and stop at the first damaged record. The
rest of the file is reported as damaged and not interpreted.
"""

from enum import StrEnum
from struct import Struct
from typing import Any, NamedTuple
from zlib import crc32

import msgspec

VERSION = 1
MAGIC = b"SHEDGRADE"
HEADER = Struct("<9scHQ")  # magic, kind, version, number
RECORD_PREFIX = Struct("<II")  # length, checksum
CHECKSUM = Struct("<I")
HEADER_BYTES = HEADER.size + CHECKSUM.size
SNAPSHOT, LOG = b"S", b"L"
MAX_RECORD_BYTES = 16 * 1024 * 1024  # room for tens of thousands of rows in one record

Record = dict[Any, Any]  # a MessagePack map; its reader validates keys and values

encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder()


class FormatError(Exception):
    """A file can't be used because of its header; the text says why in a few words."""


class NewerVersionError(FormatError):
    """The file was written by a later version of the format. It is not read, and must not be overwritten."""

    def __init__(self, version: int, supported: int) -> None:
        super().__init__(f"format {version} is newer than {supported}")
        self.version = version
        self.supported = supported


class RecordDamage(StrEnum):
    """Why a record can't be read. `TORN`: the file ends within it, as after an interrupted write."""

    TORN = "torn"
    LENGTH = "a length out of bounds"
    CHECKSUM = "checksum"
    ENCODING = "no MessagePack"
    NOT_A_MAP = "no record"


class RecordError(Exception):
    """A record can't be read. `damage`: why; `offset`: its first byte in the file."""

    def __init__(self, damage: RecordDamage, offset: int) -> None:
        super().__init__(f"{damage} at byte {offset}")
        self.damage = damage
        self.offset = offset


class FileContent(NamedTuple):
    """The content of a file.

    `number`: the number in its header.
    `records`: the records before the first damaged one.
    `damage`: why reading stopped before the end, with the offset; "" if it did not.
    """

    number: int
    records: list[Record]
    damage: str


def encode_header(kind: bytes, number: int) -> bytes:
    """Returns the header of a file. `kind`: one byte; `number`: chosen by the owner of the file."""
    head = HEADER.pack(MAGIC, kind, VERSION, number)
    return head + CHECKSUM.pack(crc32(head))


def encode_record(record: Record) -> bytes:
    """Returns a record with its length and checksum, as it is appended to a file."""
    payload = encoder.encode(record)
    length = CHECKSUM.pack(len(payload))
    return length + CHECKSUM.pack(crc32(payload, crc32(length))) + payload


def decode_file(data: bytes, kind: bytes) -> FileContent:
    """Returns the content of a whole file. `kind`: the kind that its header must have.

    Raises FormatError if the header is damaged or of another kind, NewerVersionError if its version is later
    than VERSION.
    """
    number = read_header(data, kind)
    records: list[Record] = []
    offset = HEADER_BYTES
    while offset < len(data):
        try:
            record, offset = read_record(data, offset)
        except RecordError as error:
            return FileContent(number, records, str(error))
        records.append(record)
    return FileContent(number, records, "")


# Tests that `shedgrade replay --to-test` of earlier versions wrote call the function by this name.
read = decode_file


def read_header(data: bytes, kind: bytes) -> int:
    """Returns the number in the header of a file of kind `kind`. Raises the same errors as `decode_file`."""
    if not data:
        raise FormatError("empty")
    if len(data) < HEADER_BYTES:
        raise FormatError("shorter than a header")
    magic, found_kind, version, number = HEADER.unpack_from(data)
    if magic != MAGIC or found_kind != kind:
        raise FormatError("unexpected magic number or file kind")
    if CHECKSUM.unpack_from(data, HEADER.size)[0] != crc32(data[: HEADER.size]):
        raise FormatError("header damaged")
    if version > VERSION:
        raise NewerVersionError(version, VERSION)
    return number


def read_record(data: bytes, offset: int) -> tuple[Record, int]:
    """Returns the record that begins at `offset` and the offset after it. Raises RecordError if damaged."""
    if len(data) - offset < RECORD_PREFIX.size:
        raise RecordError(RecordDamage.TORN, offset)
    length, checksum = RECORD_PREFIX.unpack_from(data, offset)
    if not length:
        raise RecordError(RecordDamage.NOT_A_MAP, offset)
    if length > MAX_RECORD_BYTES:
        raise RecordError(RecordDamage.LENGTH, offset)
    begin = offset + RECORD_PREFIX.size
    payload = data[begin : begin + length]
    if len(payload) < length:
        raise RecordError(RecordDamage.TORN, offset)
    if crc32(payload, crc32(data[offset : offset + CHECKSUM.size])) != checksum:
        raise RecordError(RecordDamage.CHECKSUM, offset)
    try:
        record = decoder.decode(payload)
    except msgspec.DecodeError as error:
        raise RecordError(RecordDamage.ENCODING, offset) from error
    if type(record) is not dict:
        raise RecordError(RecordDamage.NOT_A_MAP, offset)
    return record, begin + length
