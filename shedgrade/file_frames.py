"""The format on disk, without I/O: a file is a header and framed records, each with its length and checksum.

    header   b"SHEDGRADE" kind(1: S snapshot, L log) version(u16) number(u64) check(u32)
    record   length(u32) check(u32) payload(MessagePack), little-endian; the check covers length and payload

Readers take the version they know and older ones, refuse newer ones, and stop at the first record that is not
sound. What is behind it is told, never guessed at.
"""

from struct import Struct
from zlib import crc32

import msgspec

VERSION = 1
MAGIC = b"SHEDGRADE"
HEAD = Struct("<9scHQ")  # magic, kind, version, number
FRAME = Struct("<II")  # length, check
CHECK = Struct("<I")
HEAD_SIZE = HEAD.size + CHECK.size
SNAPSHOT, LOG = b"S", b"L"
LONGEST = 16 * 1024 * 1024  # bytes of one record: tens of thousands of rows in one

encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder()


class FormatError(Exception):
    """What is wrong with a file, in a few words."""


class NewerVersionError(FormatError):
    """Written by a later version: left as it is, not read."""


def header(kind: bytes, number: int) -> bytes:
    head = HEAD.pack(MAGIC, kind, VERSION, number)
    return head + CHECK.pack(crc32(head))


def frame(record: dict) -> bytes:
    payload = encoder.encode(record)
    length = CHECK.pack(len(payload))
    return length + CHECK.pack(crc32(payload, crc32(length))) + payload


def read(data: bytes, kind: bytes) -> tuple[int, list[dict], str]:
    """The file's number, its sound records, and why reading stopped before the end ("" if it did not).

    Raises FormatError if not even the header is sound, NewerError if the version is later than ours.
    """
    if not data:
        raise FormatError("empty")
    if len(data) < HEAD_SIZE:
        raise FormatError("shorter than a header")
    magic, found, version, number = HEAD.unpack_from(data)
    if magic != MAGIC or found != kind:
        raise FormatError("not a file of this kind")
    if CHECK.unpack_from(data, HEAD.size)[0] != crc32(data[: HEAD.size]):
        raise FormatError("header damaged")
    if version > VERSION:
        raise NewerVersionError(f"format {version} is newer than {VERSION}")
    records, place, why = [], HEAD_SIZE, ""
    while place < len(data):
        if len(data) - place < FRAME.size:
            why = "torn"
            break
        length, check = FRAME.unpack_from(data, place)
        payload = data[place + FRAME.size : place + FRAME.size + length]
        if length > LONGEST or not length:
            why = "no record" if not length else "a length out of bounds"
            break
        if len(payload) < length:
            why = "torn"
            break
        if crc32(payload, crc32(data[place : place + 4])) != check:
            why = "checksum"
            break
        try:
            record = decoder.decode(payload)
        except msgspec.DecodeError:
            why = "no MessagePack"
            break
        if type(record) is not dict:
            why = "no record"
            break
        records.append(record)
        place += FRAME.size + length
    return number, records, f"{why} at byte {place}" if why else ""
