"""Frames: the decoder returns what was encoded, and raises FrameError alone on invalid data."""

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shedgrade.peer_transport import address, frames
from shedgrade.peer_transport.frames import FrameError, FrameReader, decode, encode

FRAME = st.tuples(st.text(max_size=16), st.integers(0, 2**64 - 1), st.booleans(), st.binary(max_size=300))


def parts(frame):
    return frame.sender, frame.number, frame.is_response, frame.body


@given(st.lists(FRAME, max_size=6), st.lists(st.integers(1, 97), min_size=1))
def test_frames_come_out_as_they_went_in_however_the_stream_is_cut(sent, steps):
    stream = b"".join(encode(*frame) for frame in sent)
    reader, got, at, turn = FrameReader(), [], 0, 0
    while at < len(stream):
        step = steps[turn % len(steps)]
        got += reader.feed(stream[at : at + step])
        at, turn = at + step, turn + 1
    assert [parts(frame) for frame in got] == sent and not reader.unread


@given(st.binary(max_size=400))
def test_nonsense_raises_a_frame_error_and_nothing_else(data):
    for read in (
        decode,
        lambda data: FrameReader().feed(data),
        lambda data: FrameReader().feed(len(data).to_bytes(4, "little") + data),
    ):
        with contextlib.suppress(FrameError):
            read(data)


@settings(max_examples=400)
@given(
    FRAME,
    st.lists(st.tuples(st.integers(0, 10_000), st.integers(0, 255)), min_size=1, max_size=6),
    st.integers(0, 400),
)
def test_a_damaged_frame_raises_a_frame_error_or_reads(frame, damage, kept):
    data = bytearray(encode(*frame)[4:])
    for at, value in damage:
        data[at % len(data)] = value
    for cut in (data, data[:kept]):
        try:
            read = decode(bytes(cut))
        except FrameError:
            continue
        assert len(read.body) <= len(cut) and isinstance(read.sender, str)


def test_an_unknown_version_is_named():
    data = bytearray(encode("10.0.0.1:7300", 0, False, b"x"))
    known = frames.VERSION
    places = [at for at in range(4, len(data)) if data[at] == known]
    said = []
    for at in places:
        changed = bytearray(data)
        changed[at] = 9
        try:
            FrameReader().feed(changed)
        except FrameError as error:
            said.append(str(error))
    assert "unknown version 9" in said


def test_a_frame_over_the_bound_is_refused_before_it_is_held():
    reader = FrameReader()
    with pytest.raises(FrameError):
        reader.feed((frames.MAX_FRAME_BYTES + 1).to_bytes(4, "little"))
    with pytest.raises(FrameError):
        reader.feed(encode("10.0.0.1:7300", 0, False, b""))
    with pytest.raises(FrameError):
        encode("10.0.0.1:7300", 0, False, bytes(frames.MAX_FRAME_BYTES))
    with pytest.raises(FrameError):
        encode("1" * 65, 0, False, b"")


def test_the_longest_body_passes():
    body = bytes(frames.MAX_FRAME_BYTES - 2 * frames.TABLE_BYTES)
    [frame] = FrameReader().feed(encode("255.255.255.255:65535", 2**64 - 1, True, body))
    assert frame.body == body


def test_addresses_are_split_and_joined():
    assert address.parse_address("10.0.0.1:7300") == ("10.0.0.1", 7300)
    assert address.format_address(("10.0.0.1", 7300)) == "10.0.0.1:7300"
    for wrong in ("", "10.0.0.1", ":1", "10.0.0.1:", "1.0.0.1:0", "10.0.0.1:65536", "1.0.0.1:x", "1.0.0.1:²"):
        with pytest.raises(ValueError):
            address.parse_address(wrong)
