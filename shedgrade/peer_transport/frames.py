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
LONGEST = 8 * 1024 * 1024  # bytes of one frame, its length left out
LONGEST_SENDER = 64  # bytes
ROOM = 128  # bytes of a table without its body and sender
LENGTH = Struct("<I")
FIELD_VERSION, FIELD_NUMBER, FIELD_ANSWERS, FIELD_SENDER, FIELD_BODY = range(5)


class FrameError(Exception):
    """What is wrong with a frame, in a few words."""


class Frame:
    """One frame. `sender`: link address "ip:port"; `number`: of a call, 0: none; `answers`: is its answer."""

    __slots__ = ("sender", "number", "answers", "body")

    def __init__(self, sender: str, number: int, answers: bool, body: bytes) -> None:
        self.sender, self.number, self.answers, self.body = sender, number, answers, body

    def __repr__(self) -> str:
        return f"Frame({self.sender!r}, {self.number}, {self.answers}, {len(self.body)} bytes)"


def encode(sender: str, number: int, answers: bool, body: bytes) -> bytes:
    """The frame with its length before it. FrameError: the body or the sender is too long."""
    name = sender.encode()
    if len(name) > LONGEST_SENDER:
        raise FrameError("the sender's address is too long")
    if len(body) > LONGEST - 2 * ROOM:
        raise FrameError(f"a body of {len(body)} bytes is too long")
    builder = Builder(len(body) + len(name) + ROOM)
    body_at = builder.CreateByteVector(body)
    sender_at = builder.CreateString(name)
    builder.StartObject(5)
    builder.PrependUint64Slot(FIELD_NUMBER, number, 0)
    builder.PrependUOffsetTRelativeSlot(FIELD_SENDER, sender_at, 0)
    builder.PrependUOffsetTRelativeSlot(FIELD_BODY, body_at, 0)
    builder.PrependUint8Slot(FIELD_VERSION, VERSION, 0)
    builder.PrependBoolSlot(FIELD_ANSWERS, answers, False)
    builder.FinishSizePrefixed(builder.EndObject())
    return bytes(builder.Output())


def decode(data: bytes) -> Frame:
    """The frame in `data`, which holds no length before it.

    FrameError for all that is no frame: the runtime doesn't check offsets, so what they lead to is checked.
    """
    try:
        table = Table(data, types.UOffsetTFlags.py_type(LENGTH.unpack_from(data)[0]))
        version = scalar(table, FIELD_VERSION, types.Uint8Flags)
        if version != VERSION:
            raise FrameError(f"version {version} is unknown here")
        number = scalar(table, FIELD_NUMBER, types.Uint64Flags)
        answers = bool(scalar(table, FIELD_ANSWERS, types.BoolFlags))
        sender = vector(table, FIELD_SENDER)
        if len(sender) > LONGEST_SENDER:
            raise FrameError("the sender's address is too long")
        return Frame(sender.decode(), number, answers, vector(table, FIELD_BODY))
    except (StructError, TypeError, ValueError, OverflowError, IndexError) as error:
        raise FrameError(f"not a frame: {error}") from None


def scalar(table: Table, field: int, flags: type) -> int:
    offset = table.Offset(4 + 2 * field)
    return table.Get(flags, table.Pos + offset) if offset else 0


def vector(table: Table, field: int) -> bytes:
    offset = table.Offset(4 + 2 * field)
    if not offset:
        return b""
    start = table.Indirect(table.Pos + offset)
    (length,) = LENGTH.unpack_from(table.Bytes, start)
    if start + LENGTH.size + length > len(table.Bytes):
        raise FrameError("a vector that leaves its frame")
    return bytes(table.Bytes[start + LENGTH.size : start + LENGTH.size + length])


class FrameReader:
    """Cuts a stream into frames. Holds at most one frame that is not whole yet."""

    def __init__(self) -> None:
        self.held = bytearray()
        self.broken = False

    def feed(self, data: bytes) -> list[Frame]:
        """The frames that `data` makes whole, in order. FrameError on nonsense, and ever after."""
        if self.broken:
            raise FrameError("the stream broke before")
        held, frames, at = self.held, [], 0
        held += data
        try:
            while len(held) - at >= LENGTH.size:
                (length,) = LENGTH.unpack_from(held, at)
                if length > LONGEST:
                    raise FrameError(f"a frame of {length} bytes is too long")
                end = at + LENGTH.size + length
                if len(held) < end:
                    break
                frames.append(decode(bytes(memoryview(held)[at + LENGTH.size : end])))
                at = end
        except FrameError:
            self.broken, self.held = True, bytearray()
            raise
        del held[:at]
        return frames
