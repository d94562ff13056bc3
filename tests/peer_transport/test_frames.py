"""Frames: the decoder returns what was encoded, and raises FrameError alone on invalid data."""

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shedgrade.peer_transport import address, frames
from shedgrade.peer_transport.frames import FrameError, FrameReader, decode, encode

FRAME = st.tuples(st.text(max_size=16), st.integers(0, 2**64 - 1), st.booleans(), st.binary(max_size=300))


def frame_fields(frame):
    return frame.sender, frame.call_number, frame.is_response, frame.body


@given(st.lists(FRAME, max_size=6), st.lists(st.integers(1, 97), min_size=1))
def test_frames_are_decoded_however_the_stream_is_split(sent, steps):
    stream = b"".join(encode(*frame) for frame in sent)
    reader, decoded, position, step_index = FrameReader(), [], 0, 0
    while position < len(stream):
        step = steps[step_index % len(steps)]
        decoded += reader.feed(stream[position : position + step])
        position, step_index = position + step, step_index + 1
    assert [frame_fields(frame) for frame in decoded] == sent and not reader.unread


@given(st.binary(max_size=400))
def test_random_bytes_raise_only_frame_errors(data):
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
def test_a_corrupt_frame_raises_a_frame_error_or_is_decoded(frame, damage, kept_length):
    data = bytearray(encode(*frame)[4:])
    for at, value in damage:
        data[at % len(data)] = value
    for cut in (data, data[:kept_length]):
        try:
            decoded_frame = decode(bytes(cut))
        except FrameError:
            continue
        assert len(decoded_frame.body) <= len(cut) and isinstance(decoded_frame.sender, str)


def test_an_unknown_version_is_named_in_the_error():
    data = bytearray(encode("10.0.0.1:7300", 0, False, b"x"))
    known_version = frames.VERSION
    offsets = [at for at in range(4, len(data)) if data[at] == known_version]
    errors = []
    for at in offsets:
        changed = bytearray(data)
        changed[at] = 9
        try:
            FrameReader().feed(changed)
        except FrameError as error:
            errors.append(str(error))
    assert "unknown version 9" in errors


def test_a_frame_that_is_too_long_is_rejected_before_it_is_buffered():
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


def test_addresses_are_parsed_and_formatted():
    assert address.parse_address("10.0.0.1:7300") == ("10.0.0.1", 7300)
    assert address.format_address(("10.0.0.1", 7300)) == "10.0.0.1:7300"
    for invalid in (
        "",
        "10.0.0.1",
        ":1",
        "10.0.0.1:",
        "1.0.0.1:0",
        "10.0.0.1:65536",
        "1.0.0.1:x",
        "1.0.0.1:²",
    ):
        with pytest.raises(ValueError):
            address.parse_address(invalid)
