"""The report of `storage check` on a folder, which it does not change."""

from shedgrade.storage import Store
from shedgrade.storage.check import report


def test_a_missing_folder_and_one_without_files_are_reported_as_empty(tmp_path):
    for folder in (tmp_path, tmp_path / "none"):
        assert report(folder) == [
            "slot-a: not there",
            "log-a: not there",
            "slot-b: not there",
            "log-b: not there",
            "empty: no file of control state; a first start, or a disk that was lost",
        ]


def test_a_sound_folder_is_reported_file_by_file(tmp_path):
    store = Store(tmp_path)
    for number in range(3):
        store.write({"version": b"%d" % number})
    store.close()
    store.write({"evacuations": b"[]"})
    store.close()
    before = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    sizes = {name: len(data) for name, data in before.items()}
    assert report(tmp_path) == [
        f"slot-a: number 1, {sizes['slot-a']} bytes, sound, 1 keys, not used",
        f"log-a: from number 1 to 3, {sizes['log-a']} bytes, 2 records, sound, not used",
        f"slot-b: number 4, {sizes['slot-b']} bytes, sound, 1 keys, used",
        f"log-b: from number 4 to 5, {sizes['log-b']} bytes, 1 records, sound, used",
        "sound: number 5, from slot-b: evacuations 2 bytes, version 1 bytes",
    ]
    assert before == {path.name: path.read_bytes() for path in tmp_path.iterdir()}


def test_a_torn_tail_and_a_damaged_slot_are_reported(tmp_path):
    store = Store(tmp_path)
    for number in range(3):
        store.write({"version": b"%d" % number})
    store.close()
    log = tmp_path / "log-a"
    log.write_bytes(log.read_bytes()[:-1])
    lines = report(tmp_path)
    assert "1 records, sound up to there: torn at byte " in lines[1] and lines[1].endswith(", used")
    assert lines[-2].startswith("finding: log-a: torn at byte ") and lines[-2].endswith("; used up to 2")
    assert lines[-1] == "sound: number 2, from slot-a: version 1 bytes"
    (tmp_path / "slot-a").write_bytes(b"x")
    lines = report(tmp_path)
    assert lines[0] == "slot-a: 1 bytes, not sound: shorter than a header"
    assert lines[-1] == "damaged: what was written last cannot be read; the member starts without memory"
