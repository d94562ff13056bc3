"""The frame between own processes: a FlatBuffers table (`frames.fbs`), written by hand over the runtime.

On a stream each frame follows its length of 4 bytes, little-endian. Bodies are bytes here; what they say is
for the parts that send them. No I/O.
"""

from struct import Struct
from struct import error as StructError  # noqa: N812 - the module's own name says nothing

from flatbuffers import Builder
from flatbuffers import number_types as types
from flatbuffers.table import Table

VERSION = 1
MAX_FRAME_BYTES = 8 * 1024 * 1024  # its length left out
MAX_SENDER_BYTES = 64
TABLE_BYTES = 128  # of a table without its body and sender, at most
MAX_BODY_BYTES = MAX_FRAME_BYTES - 2 * TABLE_BYTES
LENGTH = Struct("<I")
FIELD_VERSION, FIELD_NUMBER, FIELD_ANSWERS, FIELD_SENDER, FIELD_BODY = range(5)


class FrameError(Exception):
    """A frame that can't be read or written; the text says why in a few words."""


class Frame:
    """One frame. `sender`: link address "ip:port"; `number`: of the call that it makes or answers, 0 if none;
    `is_response`: whether it answers."""

    __slots__ = ("sender", "number", "is_response", "body")

    def __init__(self, sender: str, number: int, is_response: bool, body: bytes) -> None:
        self.sender = sender
        self.number = number
        self.is_response = is_response
        self.body = body

    def __repr__(self) -> str:
        return f"Frame({self.sender!r}, {self.number}, {self.is_response}, {len(self.body)} bytes)"


def encode(sender: str, number: int, is_response: bool, body: bytes) -> bytes:
    """The frame with its length before it. FrameError: the body or the sender is too long."""
    name = sender.encode()
    if len(name) > MAX_SENDER_BYTES:
        raise FrameError("the sender's address is too long")
    if len(body) > MAX_BODY_BYTES:
        raise FrameError(f"a body of {len(body)} bytes is too long")
    builder = Builder(len(body) + len(name) + TABLE_BYTES)
    body_at = builder.CreateByteVector(body)
    sender_at = builder.CreateString(name)
    builder.StartObject(5)
    builder.PrependUint64Slot(FIELD_NUMBER, number, 0)
    builder.PrependUOffsetTRelativeSlot(FIELD_SENDER, sender_at, 0)
    builder.PrependUOffsetTRelativeSlot(FIELD_BODY, body_at, 0)
    builder.PrependUint8Slot(FIELD_VERSION, VERSION, 0)
    builder.PrependBoolSlot(FIELD_ANSWERS, is_response, False)
    builder.FinishSizePrefixed(builder.EndObject())
    return bytes(builder.Output())


def decode(data: bytes) -> Frame:
    """The frame in `data`, which holds no length before it.

    FrameError for all that is no frame: the runtime doesn't check offsets, so what they lead to is checked.
    """
    try:
        table = Table(data, types.UOffsetTFlags.py_type(LENGTH.unpack_from(data)[0]))
        version = read_scalar(table, FIELD_VERSION, types.Uint8Flags)
        if version != VERSION:
            raise FrameError(f"version {version} is unknown here")
        number = read_scalar(table, FIELD_NUMBER, types.Uint64Flags)
        is_response = bool(read_scalar(table, FIELD_ANSWERS, types.BoolFlags))
        sender = read_vector(table, FIELD_SENDER)
        if len(sender) > MAX_SENDER_BYTES:
            raise FrameError("the sender's address is too long")
        return Frame(sender.decode(), number, is_response, read_vector(table, FIELD_BODY))
    except (StructError, TypeError, ValueError, OverflowError, IndexError) as error:
        raise FrameError(f"not a frame: {error}") from None


def read_scalar(table: Table, field: int, flags: type) -> int:
    """A number of the table, 0 if it is left out."""
    offset = table.Offset(4 + 2 * field)
    return table.Get(flags, table.Pos + offset) if offset else 0


def read_vector(table: Table, field: int) -> bytes:
    """The bytes of a vector or string of the table, empty if it is left out. FrameError: it isn't inside."""
    offset = table.Offset(4 + 2 * field)
    if not offset:
        return b""
    start = table.Indirect(table.Pos + offset)
    (length,) = LENGTH.unpack_from(table.Bytes, start)
    if start + LENGTH.size + length > len(table.Bytes):
        raise FrameError("a vector that leaves its frame")
    return bytes(table.Bytes[start + LENGTH.size : start + LENGTH.size + length])


class FrameReader:
    """Cuts a stream into frames.

    `unread`: the bytes of at most one frame that is not complete; `is_broken`: something that is no frame
    came.
    """

    def __init__(self) -> None:
        self.unread = bytearray()
        self.is_broken = False

    def feed(self, data: bytes) -> list[Frame]:
        """The frames that `data` completes, in order. FrameError on anything else, and ever after."""
        if self.is_broken:
            raise FrameError("the stream broke before")
        unread = self.unread
        frames = []
        begin = 0
        unread += data
        try:
            while len(unread) - begin >= LENGTH.size:
                (length,) = LENGTH.unpack_from(unread, begin)
                if length > MAX_FRAME_BYTES:
                    raise FrameError(f"a frame of {length} bytes is too long")
                end = begin + LENGTH.size + length
                if len(unread) < end:
                    break
                frames.append(decode(bytes(memoryview(unread)[begin + LENGTH.size : end])))
                begin = end
        except FrameError:
            self.is_broken = True
            self.unread = bytearray()
            raise
        del unread[:begin]
        return frames
