"""Sidecar files of an earlier program: captures, the saved endpoint list, learned state, quota counts."""

import json
import shutil
from pathlib import Path

import pytest
from helpers import method, row, settings

from shedgrade import file_frames, load_balancing
from shedgrade.load_balancing import learned_state
from shedgrade.sidecar import learned_state_file
from shedgrade.sidecar.capture.replay import Replay
from shedgrade.sidecar.capture.rows import KIND
from shedgrade.sidecar.capture.state import freeze, thaw
from shedgrade.sidecar.endpoint_snapshot.files import Files
from shedgrade.sidecar.endpoint_snapshot.recovery import recover
from shedgrade.sidecar.endpoint_snapshot.snapshot import Moment
from shedgrade.sidecar.endpoint_snapshot.store import Store
from shedgrade.sidecar.quota import state as quota_state
from shedgrade.sidecar.quota.limits import LendingTerms, Limit
from shedgrade.sidecar.quota.tree import Node, Tree

DATA = Path(__file__).parent.parent / "data"


def records_of(name):
    number, records, reason = file_frames.decode_file((DATA / "capture" / name).read_bytes(), KIND)
    assert (number, reason) == (0, "")
    return records


@pytest.mark.parametrize("name", ["from-start.bin", "from-checkpoint.bin"])
def test_a_capture_replays_to_the_same_decisions(name):
    records = records_of(name)
    replay = Replay(records)
    assert list(replay.run()) == []
    assert replay.calls > 1000
    assert not replay.left_out


def test_the_calls_of_a_generated_test_still_run():
    """Earlier versions of `shedgrade replay --to-test` wrote these calls into users' test files."""
    _, records, why = file_frames.read((DATA / "capture" / "from-start.bin").read_bytes(), b"C")
    assert not why
    replay = Replay(records)
    differences = list(replay.run())
    assert not differences and replay.calls > 1000


@pytest.mark.parametrize("name", ["from-start.bin", "from-checkpoint.bin"])
def test_a_checkpoint_is_read_and_written_with_the_same_names(name):
    """This lets an earlier program read the captures of this one."""
    states = [record["state"] for record in records_of(name) if record["k"] == "state"]
    assert states
    for state in states:
        balancer, rpcs = thaw(state, load_balancing)
        again = json.loads(json.dumps(freeze(balancer, lambda tag: tag, rpcs.values())))
        expected = json.loads(json.dumps(state))
        assert again["v"] == expected["v"] == 6
        assert list(again["balancer"]) == list(expected["balancer"])
        assert again["random"] == expected["random"]
        by_class = {name: sorted(fields) for name, fields in expected["rows"]}
        assert {name: sorted(fields) for name, fields in again["rows"]} == by_class
        assert len(again["rows"]) == len(expected["rows"])
        orders = {name: list(fields) for name, fields in expected["rows"]}
        assert {name: list(fields) for name, fields in again["rows"]} == orders


def test_the_saved_endpoint_list_is_recovered(tmp_path):
    folder = tmp_path / "saved"
    shutil.copytree(DATA / "saved", folder)
    found = recover(Files(folder), "n1")
    assert (found.number, found.damaged, found.newer, found.summary()) == (3, [], [], "")
    snapshot = found.snapshot
    assert {name: row.lifecycle for name, row in snapshot.endpoints.items()} == {
        "u1": "terminating",
        "u3": "in_service",
        "u4": "in_service",
        "u5": "in_service",
    }
    assert snapshot.removed == {"u2": Moment(1_004_000, "boot", 4000)}
    assert (snapshot.generation, snapshot.owner) == (7, "n1")
    assert snapshot.confirmed_at == Moment(1_007_000, "boot", 7000)
    assert snapshot.learned == json.loads((DATA / "learnt.json").read_text())
    assert snapshot.quota == json.loads((DATA / "quota.json").read_text())


def test_a_store_continues_from_the_saved_endpoint_list(tmp_path):
    folder = tmp_path / "saved"
    shutil.copytree(DATA / "saved", folder)
    store = Store(Files(folder), "n1", lambda: Moment(1_020_000, "boot", 20_000), "always")
    assert sorted(store.open().snapshot.endpoints) == ["u1", "u3", "u4", "u5"]
    store.close()


def test_learned_state_is_restored_and_written_in_the_same_form():
    stored = json.loads((DATA / "learnt.json").read_text())
    balancer = load_balancing.Balancer(settings([method("once")], zones=2), 1, 0)
    balancer.list_changed(0, [row(index, index % 2) for index in range(8)], True, True)
    known = {f"u{index}": index for index in range(8)}
    state = learned_state_file.from_disk(stored, known, ["a", "b"], ["std"])
    assert state is not None
    learned_state.restore(balancer, 0, state, 0.0)
    again = learned_state_file.to_disk(
        learned_state.export(balancer, 0), [f"u{index}" for index in range(8)], ["a", "b"], ["std"]
    )
    assert list(again) == list(stored)
    assert again["sums"] == pytest.approx(stored["sums"])
    assert again["memory"] == stored["memory"]
    assert again["windows"] == stored["windows"]
    assert sorted(one[0] for one in again["ups"]) == sorted(one[0] for one in stored["ups"])
    assert again["kinds"] == [pytest.approx(kind) for kind in stored["kinds"]]


def test_quota_counts_are_restored_and_written_in_the_same_form():
    stored = json.loads((DATA / "quota.json").read_text())
    length, root = 1000, Node("all", None, (Limit("requests", 1000, 100),), LendingTerms())
    Node("a", root, (Limit("requests", length, 100, 60),))
    Node("b", root, (Limit("requests", length, 80, 40),))
    tree = Tree(root)
    restored = quota_state.restore(tree, stored, 2000, 1_700_000_000_000)
    assert restored == quota_state.Restored(counted=170, owed=0)
    again = json.loads(json.dumps(quota_state.export(tree, 2000, 1_700_000_000_000)))
    assert [list(one) for one in again["counted"]] == [list(one) for one in stored["counted"]]
    assert [one["names"] for one in again["counted"]] == [one["names"] for one in stored["counted"]]
    assert list(again) == list(stored)


def test_a_snapshot_is_written_in_the_records_of_an_earlier_program():
    _, records, _ = file_frames.decode_file(
        (DATA / "saved" / "snapshot-3").read_bytes(), file_frames.SNAPSHOT
    )
    snapshot = recover(Files(DATA / "saved"), "n1").snapshot
    snapshot.confirm(Moment(1_006_000, "boot", 6000), 6)  # the state at the time of the snapshot
    again = [json.loads(json.dumps(record)) for record in snapshot.records(Moment(1_020_000))]
    assert [*again, {"k": "end"}] == records


def test_the_head_of_a_file_is_that_of_an_earlier_program():
    for name, kind, number in (
        ("saved/snapshot-3", file_frames.SNAPSHOT, 3),
        ("saved/log-3", file_frames.LOG, 3),
    ):
        data = (DATA / name).read_bytes()
        assert data.startswith(file_frames.encode_header(kind, number))
    for record in records_of("from-start.bin"):
        assert file_frames.encode_record(record) in (DATA / "capture" / "from-start.bin").read_bytes()
