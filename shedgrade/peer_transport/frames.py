"""The frame between the system's own processes: a FlatBuffers table (`frames.fbs`), encoded and decoded by
hand with the library's runtime.

On a stream each frame follows its length in 4 bytes, little-endian. A body is opaque bytes here; the modules
that send it define its contents. No I/O.
"""

from struct import Struct
from struct import error as StructError  # noqa: N812 - `error` alone would not say whose error it is

from flatbuffers import Builder
from flatbuffers import number_types as types
from flatbuffers.table import Table

VERSION = 1
MAX_FRAME_BYTES = 8 * 1024 * 1024  # without the length before it
MAX_SENDER_BYTES = 64
TABLE_BYTES = 128  # upper bound of a table's size without its body and sender
MAX_BODY_BYTES = MAX_FRAME_BYTES - 2 * TABLE_BYTES
LENGTH = Struct("<I")
FIELD_VERSION, FIELD_NUMBER, FIELD_ANSWERS, FIELD_SENDER, FIELD_BODY = range(5)


class FrameError(Exception):
    """A frame that can't be encoded or decoded; the text says why in a few words."""


class Frame:
    """One frame.

    Attributes:
        sender: link address of the sender, "ip:port".
        call_number: number of the call that the frame makes or answers; 0 if it is one-way.
        is_response: whether it answers a call.
        body: opaque bytes.
    """

    __slots__ = ("sender", "call_number", "is_response", "body")

    def __init__(self, sender: str, call_number: int, is_response: bool, body: bytes) -> None:
        self.sender = sender
        self.call_number = call_number
        self.is_response = is_response
        self.body = body

    def __repr__(self) -> str:
        return f"Frame({self.sender!r}, {self.call_number}, {self.is_response}, {len(self.body)} bytes)"


def encode(sender: str, number: int, is_response: bool, body: bytes) -> bytes:
    """Returns the frame after its length. Raises FrameError if the body or the sender is too long."""
    sender_bytes = sender.encode()
    if len(sender_bytes) > MAX_SENDER_BYTES:
        raise FrameError("sender address is too long")
    if len(body) > MAX_BODY_BYTES:
        raise FrameError(f"body of {len(body)} bytes is too long")
    builder = Builder(len(body) + len(sender_bytes) + TABLE_BYTES)
    body_offset = builder.CreateByteVector(body)
    sender_offset = builder.CreateString(sender_bytes)
    builder.StartObject(5)
    builder.PrependUint64Slot(FIELD_NUMBER, number, 0)
    builder.PrependUOffsetTRelativeSlot(FIELD_SENDER, sender_offset, 0)
    builder.PrependUOffsetTRelativeSlot(FIELD_BODY, body_offset, 0)
    builder.PrependUint8Slot(FIELD_VERSION, VERSION, 0)
    builder.PrependBoolSlot(FIELD_ANSWERS, is_response, False)
    builder.FinishSizePrefixed(builder.EndObject())
    return bytes(builder.Output())


def decode(data: bytes) -> Frame:
    """Returns the frame in `data`, which has no length before it.

    Raises FrameError if `data` is not a frame. The library's runtime doesn't check offsets, so the ranges
    that they point to are checked here.
    """
    try:
        table = Table(data, types.UOffsetTFlags.py_type(LENGTH.unpack_from(data)[0]))
        version = read_scalar(table, FIELD_VERSION, types.Uint8Flags)
        if version != VERSION:
            raise FrameError(f"unknown version {version}")
        number = read_scalar(table, FIELD_NUMBER, types.Uint64Flags)
        is_response = bool(read_scalar(table, FIELD_ANSWERS, types.BoolFlags))
        sender = read_vector(table, FIELD_SENDER)
        if len(sender) > MAX_SENDER_BYTES:
            raise FrameError("sender address is too long")
        return Frame(sender.decode(), number, is_response, read_vector(table, FIELD_BODY))
    except (StructError, TypeError, ValueError, OverflowError, IndexError) as error:
        raise FrameError(f"not a frame: {error}") from None


def read_scalar(table: Table, field: int, flags: type) -> int:
    """Returns a number of the table, 0 if the field is missing."""
    offset = table.Offset(4 + 2 * field)
    return table.Get(flags, table.Pos + offset) if offset else 0


def read_vector(table: Table, field: int) -> bytes:
    """Returns the bytes of a vector or string of the table, empty if the field is missing. Raises FrameError
    if they are not within the frame."""
    offset = table.Offset(4 + 2 * field)
    if not offset:
        return b""
    start = table.Indirect(table.Pos + offset)
    (length,) = LENGTH.unpack_from(table.Bytes, start)
    if start + LENGTH.size + length > len(table.Bytes):
        raise FrameError("vector exceeds its frame")
    return bytes(table.Bytes[start + LENGTH.size : start + LENGTH.size + length])


class FrameReader:
    """Splits a stream into frames.

    Attributes:
        unread: the bytes after the last complete frame; at most one incomplete frame.
        is_broken: whether invalid data was received.
    """

    def __init__(self) -> None:
        self.unread = bytearray()
        self.is_broken = False

    def feed(self, data: bytes) -> list[Frame]:
        """Returns the frames that `data` completes, in order. Raises FrameError on invalid data, and from
        then on at each call."""
        if self.is_broken:
            raise FrameError("earlier data of the stream was invalid")
        unread = self.unread
        frames = []
        frame_start = 0
        unread += data
        try:
            while len(unread) - frame_start >= LENGTH.size:
                (length,) = LENGTH.unpack_from(unread, frame_start)
                if length > MAX_FRAME_BYTES:
                    raise FrameError(f"frame of {length} bytes is too long")
                frame_end = frame_start + LENGTH.size + length
                if len(unread) < frame_end:
                    break
                frames.append(decode(bytes(memoryview(unread)[frame_start + LENGTH.size : frame_end])))
                frame_start = frame_end
        except FrameError:
            self.is_broken = True
            self.unread = bytearray()
            raise
        del unread[:frame_start]
        return frames
