"""Capture and replay without I/O: simulated upstreams and clients, by seed, and what a replay makes of their
capture.
"""

from types import SimpleNamespace

import pytest
from capture_world import World
from helpers import row

from shedgrade import file_frames, load_balancing
from shedgrade.load_balancing import zones
from shedgrade.sidecar.capture import replay as replay_module
from shedgrade.sidecar.capture.explanation import explain, find_rpcs
from shedgrade.sidecar.capture.recorder import RESUME_DELAY, hash_id
from shedgrade.sidecar.capture.replay import Replay
from shedgrade.sidecar.capture.rows import ADMIT, KIND
from shedgrade.sidecar.capture.shortening import outcome, shorten
from shedgrade.sidecar.capture.state import StateError, freeze, thaw


def replay_without_difference(records, **more):
    one = Replay(records, **more)
    assert list(one.run()) == []
    return one


@pytest.mark.parametrize("seed", range(12))
def test_a_whole_capture_replays_to_the_same_decisions_and_the_same_state(seed):
    world = World(seed, checkpoint=2_000)
    one = replay_without_difference(world.run(600))
    assert one.calls > 1000 and not one.left_out and any(answer[0] >= 0 for _, answer in world.decisions)
    inner = world.balancer.inner
    states = [freeze(inner, lambda tag: tag.rpc.number), freeze(one.balancer, lambda tag: tag)]
    assert states[0]["random"] == states[1]["random"]
    assert replay_module.describe(inner, {}) == replay_module.describe(one.balancer, {})


def test_captures_from_before_tenants_are_read_and_their_checkpoints_refused_in_one_line():
    records = World(3, checkpoint=2_000).run(300)
    for record in records:
        if record["k"] == "rows":
            record["r"] = [row[:-1] if row[0] == ADMIT else row for row in record["r"]]
    assert replay_without_difference(records).calls > 500
    older = next(record for record in records if record["k"] == "state")
    with pytest.raises(StateError, match="^the state has version 1, expected 6$"):
        thaw({**older["state"], "v": 1}, load_balancing)


@pytest.mark.parametrize("seed", range(6))
def test_a_capture_that_begins_during_a_drain_with_requests_in_flight_replays(seed):
    world = World(seed, most=60_000, checkpoint=1_500)
    world.run(100)
    world.balancer.list_changed(
        world.now, [row(up, up % 2, load_balancing.DRAINING) for up in (0, 1)], False, True
    )
    world.balancer.take_checkpoint(world.now)
    records = world.run(1500)
    assert world.ring.dropped and records[0]["k"] == "state"
    assert replay_without_difference(records).calls > 10
    # A capture cut off within a record is read up to there, and has the same results so far.
    data = world.ring.data()
    _, cut, why = file_frames.decode_file(data[: len(data) * 2 // 3], KIND)
    assert "torn" in why
    replay_without_difference(cut)


def test_a_checkpoint_restores_thousands_of_requests_in_flight():
    world = World(3)
    for number in range(2000):
        active_request = SimpleNamespace(request=SimpleNamespace(name=b"%d" % number), rpc=None)
        active_request.rpc = world.balancer.admit(
            world.now, number % 3, world.now + 9000, False, active_request
        )
        world.apply_decision(active_request, active_request.rpc.decide(world.now))
    world.balancer.take_checkpoint(world.now)
    state = world.records()[-1]["state"]
    balancer, rpcs = thaw(state, load_balancing)
    assert len(rpcs) == len(world.balancer.live_rpcs) and balancer.in_flight == world.balancer.inner.in_flight
    again = freeze(balancer, lambda tag: tag, rpcs.values())
    assert sorted(map(repr, again["rows"][0][1])) == sorted(map(repr, state["rows"][0][1]))
    with pytest.raises(StateError):
        thaw({**state, "rows": [["Rpc", {}]]}, load_balancing)
    with pytest.raises(StateError):
        thaw({**state, "rows": [["Popen", {}]]}, load_balancing)


def test_the_first_different_decision_is_reported_with_the_state(monkeypatch):
    world = World(5)
    records = world.run(400)
    monkeypatch.setattr(zones, "LOAD_MARGIN", -5.0)
    found = list(Replay(records).run())
    assert len(found) == 1 and found[0].rpc and found[0].recorded != found[0].replayed
    assert any(line.startswith("zone 0 (own)") for line in found[0].state)
    lenient = Replay(records, lenient=True)
    assert len(list(lenient.run())) > 1


def test_recording_pauses_under_load_and_resumes_with_a_gap_and_a_checkpoint():
    world = World(7, checkpoint=10**9)
    world.run(200)
    world.run(100, lag=50)  # over 50 ms, the interval between two load checks
    assert world.balancer.is_paused
    for _ in range(10):
        world.now += RESUME_DELAY // 5
        world.run(1)
    records = world.run(300)
    kinds = [one["k"] for one in records]
    assert kinds.count("gap") == 1 and kinds[kinds.index("gap") + 1] == "state"
    assert records[kinds.index("gap")]["rows"] > 50 and not world.balancer.is_paused
    assert replay_without_difference(records).gaps == 1
    busy = World(7, most_rows=1000)
    busy.run(2000)
    assert any(one["k"] == "gap" for one in busy.run(2000)) or busy.balancer.is_paused


def test_an_rpc_is_found_by_an_id_that_is_stored_as_a_hash_and_explained():
    world = World(2)
    records = world.run(300)
    assert b"id-17" not in world.ring.data()
    assert find_rpcs(records, hash_id(b"id-17")) == [18]
    sent = [(number, answer) for number, answer in world.decisions if number == 18]
    lines = explain(records, 18)
    told = "\n".join(lines)
    assert lines[0].startswith("RPC 18: method") and "zones: 0*" in told
    for _, answer in sent:
        assert (f"sent to u{answer[0]}" if answer[0] >= 0 else "answered") in told
    assert explain(records, 10**6) == ["RPC 1000000 is not in this capture"]


def test_a_capture_is_shortened_to_what_one_rpc_needs_and_still_replays():
    world = World(11)
    records = world.run(150)
    number = next(number for number, answer in world.decisions if number > 40 and answer[0] >= 0)
    shortened = shorten(records, number)
    sizes = [sum(len(one["r"]) for one in some if one["k"] == "rows") for some in (records, shortened)]
    assert sizes[1] < sizes[0] / 4
    assert outcome(shortened, number) == outcome(records, number)
    assert replay_without_difference(shortened).calls == sizes[1]
