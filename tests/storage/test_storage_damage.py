"""Damage that no write in flight explains is reported, never taken for a first start or the newest state."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shedgrade import file_frames
from shedgrade.simulation.disk import SimulatedDisk
from shedgrade.storage import Store, StoreState, layout
from shedgrade.storage.recovery import FILE_NAMES, recover


class ReadOnlyFolder:
    """A read-only folder with the given files."""

    def __init__(self, contents):
        self.contents = contents

    def names(self):
        return sorted(self.contents)

    def read(self, name):
        return self.contents[name]


def written(writes=6, size=10, restarts=0):
    """Returns a disk after `writes` writes.

    Before each of the first `restarts` writes the store is reopened, so that its slots change.
    """
    disk = SimulatedDisk(Random(1))
    store = Store("simulated", files=disk.files)
    for number in range(writes):
        if number < restarts:
            store.close()
        store.write({"version": b"%d" % number, "configuration": bytes([number]) * size})
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


def test_a_corrupt_slot_with_a_log_is_damage_and_the_older_slot_is_not_used():
    contents = written(writes=5, restarts=2).contents()
    used = recover(ReadOnlyFolder(contents)).active_slot
    assert used == "b" and layout.decode_slot(contents["slot-a"]).values
    for at in range(len(contents["slot-b"])):
        _, result = load({**contents, "slot-b": flipped(contents["slot-b"], at)})
        assert (result.state, result.values) == (StoreState.DAMAGED, {})
        assert any(finding.place == "slot-b" for finding in result.findings)


def test_a_corrupt_record_before_others_is_damage_and_a_corrupt_last_one_is_a_torn_tail():
    contents = written(writes=4).contents()
    log = contents["log-a"]
    last = log.rindex(layout.PAYLOAD_START) - file_frames.RECORD_PREFIX.size
    for at in range(file_frames.HEADER_BYTES, last):
        assert load({**contents, "log-a": flipped(log, at)})[1].state is StoreState.DAMAGED
    for at in range(last, len(log)):
        _, result = load({**contents, "log-a": flipped(log, at)})
        assert result.state is StoreState.SOUND and result.values["version"] == b"2"
        assert [finding.place for finding in result.findings] == ["log-a"]


@pytest.mark.parametrize(
    "contents",
    [
        {"slot-a": b""},
        dict.fromkeys(FILE_NAMES, b""),
        {"log-b": b""},
        {"slot-a": b"what is this"},
        {"log-a": layout.encode_log_header(4) + layout.encode_log_record(5, {"a": b"1"})},
        {
            "slot-a": file_frames.encode_header(file_frames.SNAPSHOT, 1)
            + file_frames.encode_record({"n": 1, "v": {}})
        },
        {"slot-a": layout.encode_slot(3, {"a": "text"})},
        {"slot-a": layout.encode_slot(3, ["a"])},
        {
            "slot-a": file_frames.encode_header(layout.SLOT_KIND, 3)
            + file_frames.encode_record({"n": 2, "v": {}})
        },
        {"slot-a": file_frames.encode_header(layout.SLOT_KIND, 3) + file_frames.encode_record({1: 2})},
        {"slot-a": layout.encode_slot(layout.LSN_LIMIT, {})},
    ],
)
def test_unreadable_files_of_the_store_are_damage_and_are_overwritten(contents):
    store, result = load(contents)
    assert (result.state, result.values) == (StoreState.DAMAGED, {}) and result.findings
    store.write({"a": b"new"})
    assert store.load().values == {"a": b"new"}
    store.write({"b": b"2"})
    store.write({"b": b"3"})
    reloaded = store.load()
    assert (reloaded.state, reloaded.values) == (StoreState.SOUND, {"a": b"new", "b": b"3"})


def test_after_damage_a_new_write_takes_precedence_over_the_old_files():
    contents = written(writes=30, restarts=2).contents()
    for name in ("slot-a", "slot-b"):
        store, result = load({**contents, "slot-b": b"rot", name: b"rot"})
        assert result.state is StoreState.DAMAGED
        store.write({"a": b"new"})
        assert store.load().values == {"a": b"new"}


def test_a_file_of_a_later_version_is_neither_read_nor_overwritten(monkeypatch):
    monkeypatch.setattr(file_frames, "VERSION", file_frames.VERSION + 1)
    later = layout.encode_slot(9, {"a": b"later"})
    monkeypatch.undo()
    contents = {**written(writes=3).contents(), "slot-b": later}
    store, result = load(contents)
    assert result.state is StoreState.DAMAGED
    with pytest.raises(OSError, match="later version"):
        store.write({"a": b"1"})
    assert store.files.read("slot-b") == later


def test_a_torn_slot_beside_a_sound_one_with_its_log_is_a_write_in_flight():
    contents = written(writes=5).contents()
    torn = layout.encode_slot(6, {"version": b"5"})
    for size in range(len(torn)):
        _, result = load({**contents, "slot-b": torn[:size]})
        assert result.state is StoreState.SOUND and result.values["version"] == b"4"
    assert load({**contents, "slot-b": torn})[1].values == {"version": b"5"}


def test_a_log_of_an_earlier_slot_is_ignored():
    contents = written(writes=3).contents()
    _, result = load({**contents, "slot-a": layout.encode_slot(20, {"version": b"20"})})
    assert (result.state, result.values, result.findings) == (StoreState.SOUND, {"version": b"20"}, ())


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
def test_with_any_bytes_in_the_files_a_load_returns_a_state_and_a_write_works(edits, writes, restarts):
    contents = written(writes, restarts=restarts).contents()
    for name, at, data, kind in edits:
        old = contents.get(name, b"")
        contents[name] = {
            "put": old[:at] + data + old[at + len(data) :],
            "cut": old[:at],
            "all": data,
            "insert": old[:at] + data + old[at:],
            "drop": old[:at] + old[at + 9 :],
        }[kind]
    store, result = load(contents)
    assert (result.state is StoreState.EMPTY) == (not contents)
    versions = [b"%d" % number for number in range(writes)]
    assert result.values == {} or result.values["version"] in versions
    assert (result.state is StoreState.SOUND) or result.values == {}
    store.write({"after": b"1"})
    assert store.load().values == {**result.values, "after": b"1"}


ANYTHING = st.recursive(
    st.one_of(st.none(), st.integers(-9, 2**64 - 1), st.binary(max_size=9), st.text(max_size=5)),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner, max_size=3),
    max_leaves=6,
)


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=200), ANYTHING, st.integers(0, 2**64 - 1))
def test_readers_raise_nothing_on_any_bytes_with_sound_checksums_or_without(tail, payload, sequence):
    for head in (
        file_frames.encode_header(layout.SLOT_KIND, sequence),
        file_frames.encode_header(layout.LOG_KIND, sequence),
        b"",
    ):
        for body in (
            tail,
            file_frames.encode_record(payload),
            file_frames.encode_record({"n": sequence, "c": payload, "v": payload}),
        ):
            for read in (layout.decode_slot, layout.decode_log):
                assert not read(head + body + tail).newer_version


def test_a_deeply_nested_record_raises_nothing():
    payload = b"\x82\xa1n" + b"\x91" * 100_000
    size = file_frames.CHECKSUM.pack(len(payload))
    record = size + file_frames.CHECKSUM.pack(file_frames.crc32(payload, file_frames.crc32(size))) + payload
    assert layout.decode_slot(file_frames.encode_header(layout.SLOT_KIND, 1) + record).values is None
    assert layout.decode_log(layout.encode_log_header(1) + b"torn" + record).lsn_after_damage == -1
