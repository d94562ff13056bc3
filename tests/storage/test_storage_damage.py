"""Damage that no write in flight explains is told, never taken for a first start or for the newest state."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shedgrade import file_frames
from shedgrade.simulation.disk import SimulatedDisk
from shedgrade.storage import Store, StoreState, layout
from shedgrade.storage.recovery import FILE_NAMES, recover


class Folder:
    """Files as they are given, read only."""

    def __init__(self, contents):
        self.contents = contents

    def names(self):
        return sorted(self.contents)

    def read(self, name):
        return self.contents[name]


def written(writes=6, size=10, folds=0):
    """A folder after so many writes, `folds` of them by a store started anew: its slots change."""
    disk = SimulatedDisk(Random(1))
    one = Store("simulated", files=disk.files)
    for number in range(writes):
        if number < folds:
            one.close()
        one.write({"version": b"%d" % number, "configuration": bytes([number]) * size})
    return disk


def load(contents):
    disk = SimulatedDisk(Random(1))
    files = disk.files
    for name, data in contents.items():
        files.write(name, 0, data)
    store = Store("simulated", files=files)
    return store, store.load()


def flipped(data, at):
    return data[:at] + bytes([data[at] ^ 0x40]) + data[at + 1 :]


def test_a_slot_that_rotted_under_its_log_is_damage_and_not_the_slot_of_before():
    contents = written(writes=5, folds=2).contents()
    used = recover(Folder(contents)).active_slot
    assert used == "b" and layout.decode_slot(contents["slot-a"]).values
    for at in range(len(contents["slot-b"])):
        _, found = load({**contents, "slot-b": flipped(contents["slot-b"], at)})
        assert (found.state, found.values) == (StoreState.DAMAGED, {})
        assert any(finding.place == "slot-b" for finding in found.findings)


def test_a_record_that_rotted_before_others_is_damage_and_the_last_one_is_a_torn_tail():
    contents = written(writes=4).contents()
    log = contents["log-a"]
    last = log.rindex(layout.PAYLOAD_START) - file_frames.RECORD_PREFIX.size
    for at in range(file_frames.HEADER_BYTES, last):
        assert load({**contents, "log-a": flipped(log, at)})[1].state is StoreState.DAMAGED
    for at in range(last, len(log)):
        _, found = load({**contents, "log-a": flipped(log, at)})
        assert found.state is StoreState.SOUND and found.values["version"] == b"2"
        assert [finding.place for finding in found.findings] == ["log-a"]


@pytest.mark.parametrize(
    "contents",
    [
        {"slot-a": b""},
        dict.fromkeys(FILE_NAMES, b""),
        {"log-b": b""},
        {"slot-a": b"what is this"},
        {"log-a": layout.encode_log_header(4) + layout.encode_log_record(5, {"a": b"1"})},
        {"slot-a": file_frames.header(file_frames.SNAPSHOT, 1) + file_frames.frame({"n": 1, "v": {}})},
        {"slot-a": layout.encode_slot(3, {"a": "text"})},
        {"slot-a": layout.encode_slot(3, ["a"])},
        {"slot-a": file_frames.header(layout.SLOT_KIND, 3) + file_frames.frame({"n": 2, "v": {}})},
        {"slot-a": file_frames.header(layout.SLOT_KIND, 3) + file_frames.frame({1: 2})},
        {"slot-a": layout.encode_slot(layout.LSN_LIMIT, {})},
    ],
)
def test_files_of_ours_that_hold_nothing_readable_are_damage_and_are_written_again(contents):
    store, found = load(contents)
    assert (found.state, found.values) == (StoreState.DAMAGED, {}) and found.findings
    store.write({"a": b"new"})
    assert store.load().values == {"a": b"new"}
    store.write({"b": b"2"})
    store.write({"b": b"3"})
    again = store.load()
    assert (again.state, again.values) == (StoreState.SOUND, {"a": b"new", "b": b"3"})


def test_after_damage_a_new_state_wins_over_all_that_lay_there():
    contents = written(writes=30, folds=2).contents()
    for name in ("slot-a", "slot-b"):
        store, found = load({**contents, "slot-b": b"rot", name: b"rot"})
        assert found.state is StoreState.DAMAGED
        store.write({"a": b"new"})
        assert store.load().values == {"a": b"new"}


def test_a_file_of_a_later_version_is_neither_read_nor_written_over(monkeypatch):
    monkeypatch.setattr(file_frames, "VERSION", file_frames.VERSION + 1)
    later = layout.encode_slot(9, {"a": b"later"})
    monkeypatch.undo()
    contents = {**written(writes=3).contents(), "slot-b": later}
    store, found = load(contents)
    assert found.state is StoreState.DAMAGED
    with pytest.raises(OSError, match="later version"):
        store.write({"a": b"1"})
    assert store.files.read("slot-b") == later


def test_a_torn_slot_beside_a_sound_one_with_its_log_is_a_write_in_flight():
    contents = written(writes=5).contents()
    torn = layout.encode_slot(6, {"version": b"5"})
    for size in range(len(torn)):
        _, found = load({**contents, "slot-b": torn[:size]})
        assert found.state is StoreState.SOUND and found.values["version"] == b"4"
    assert load({**contents, "slot-b": torn})[1].values == {"version": b"5"}


def test_a_log_of_an_earlier_slot_is_left_alone():
    contents = written(writes=3).contents()
    _, found = load({**contents, "slot-a": layout.encode_slot(20, {"version": b"20"})})
    assert (found.state, found.values, found.findings) == (StoreState.SOUND, {"version": b"20"}, ())


EDITS = st.lists(
    st.tuples(
        st.sampled_from(FILE_NAMES),
        st.integers(0, 400),
        st.binary(max_size=30),
        st.sampled_from(["put", "cut", "insert", "drop", "all"]),
    ),
    max_size=6,
)


@settings(max_examples=500, deadline=None)
@given(EDITS, st.integers(0, 8), st.integers(0, 4))
def test_whatever_bytes_lie_there_a_load_tells_a_state_and_a_write_works(edits, writes, folds):
    contents = written(writes, folds=folds).contents()
    for name, at, data, kind in edits:
        old = contents.get(name, b"")
        contents[name] = {
            "put": old[:at] + data + old[at + len(data) :],
            "cut": old[:at],
            "all": data,
            "insert": old[:at] + data + old[at:],
            "drop": old[:at] + old[at + 9 :],
        }[kind]
    store, found = load(contents)
    assert (found.state is StoreState.EMPTY) == (not contents)
    versions = [b"%d" % number for number in range(writes)]
    assert found.values == {} or found.values["version"] in versions
    assert (found.state is StoreState.SOUND) or found.values == {}
    store.write({"after": b"1"})
    assert store.load().values == {**found.values, "after": b"1"}


ANYTHING = st.recursive(
    st.one_of(st.none(), st.integers(-9, 2**64 - 1), st.binary(max_size=9), st.text(max_size=5)),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner, max_size=3),
    max_leaves=6,
)


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=200), ANYTHING, st.integers(0, 2**64 - 1))
def test_readers_raise_nothing_on_any_bytes_with_sound_checksums_or_without(tail, payload, sequence):
    for head in (
        file_frames.header(layout.SLOT_KIND, sequence),
        file_frames.header(layout.LOG_KIND, sequence),
        b"",
    ):
        for body in (
            tail,
            file_frames.frame(payload),
            file_frames.frame({"n": sequence, "c": payload, "v": payload}),
        ):
            for read in (layout.decode_slot, layout.decode_log):
                assert not read(head + body + tail).newer_version


def test_a_record_nested_without_end_raises_nothing():
    payload = b"\x82\xa1n" + b"\x91" * 100_000
    sized = file_frames.CHECKSUM.pack(len(payload))
    framed = sized + file_frames.CHECKSUM.pack(file_frames.crc32(payload, file_frames.crc32(sized))) + payload
    assert layout.decode_slot(file_frames.header(layout.SLOT_KIND, 1) + framed).values is None
    assert layout.decode_log(layout.encode_log_header(1) + b"torn" + framed).lsn_after_damage == -1
