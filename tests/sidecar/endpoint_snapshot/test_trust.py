"""The level of trust of saved endpoints, and how the balancer treats unverified ones, without I/O."""

from math import inf

from helpers import balancer, row, settings
from hypothesis import given
from hypothesis import strategies as st

from shedgrade import load_balancing
from shedgrade.load_balancing import learned_state
from shedgrade.sidecar.endpoint_snapshot.snapshot import Moment, Snapshot, age_s
from shedgrade.sidecar.endpoint_snapshot.trust import (
    AS_TOLD,
    CAUTIOUS,
    LAST_RESORT,
    NEVER,
    TrustConfig,
    assess,
)
from shedgrade.sidecar.learned_state_file import from_disk, to_disk

HOUR_S = 3600


def moment_at(second, boot="b", wall=None):
    return Moment(10**12 + round((second if wall is None else wall) * 1000), boot, round(second * 1000))


def snapshot(*rows, at=0, gone=()):
    found = Snapshot()
    found.apply_list(
        [{"instanceId": name, "hostPort": address, "lifecycle": state} for name, address, state in rows],
        True,
        7,
        moment_at(at),
    )
    for name in gone:
        found.removed[name] = moment_at(at)
    return found


def levels(*args, **more):
    return {verdict.entry["instanceId"]: verdict.level for verdict in assess(*args, **more)}


def test_trust_falls_with_age():
    saved = snapshot(("u1", "a:1", "in_service"))
    for second, expected in (
        (0, AS_TOLD),
        (30, AS_TOLD),
        (31, CAUTIOUS),
        (HOUR_S, CAUTIOUS),
        (HOUR_S + 1, LAST_RESORT),
        (90 * HOUR_S, LAST_RESORT),
    ):
        assert levels(saved, moment_at(second), TrustConfig()) == {"u1": expected}
    assert levels(saved, moment_at(90 * HOUR_S), TrustConfig(blind=True)) == {"u1": AS_TOLD}


def test_an_answer_without_changes_confirms_every_endpoint():
    saved = snapshot(("u1", "a:1", "in_service"), ("u2", "a:2", "in_service"))
    saved.confirm(moment_at(500), 8)
    assert levels(saved, moment_at(520), TrustConfig()) == {"u1": AS_TOLD, "u2": AS_TOLD}


def test_draining_removed_and_replaced_endpoints_are_never_used():
    saved = snapshot(
        ("u1", "a:1", "terminating"), ("u2", "a:2", "in_service"), ("u3", "a:3", "in_service"), gone=["u3"]
    )
    saved.apply_list(
        [{"instanceId": "u4", "hostPort": "a:2", "lifecycle": "in_service"}], False, 8, moment_at(5)
    )
    for trusting in (TrustConfig(), TrustConfig(blind=True)):
        assert levels(saved, moment_at(6), trusting) == {"u1": NEVER, "u2": NEVER, "u3": NEVER, "u4": AS_TOLD}


def test_the_wall_clock_may_jump():
    # Within one boot the time since boot is used, whichever way the wall clock jumped.
    assert (
        age_s(moment_at(0), moment_at(40, wall=-5000)) == 40
        and age_s(moment_at(0), moment_at(40, wall=90_000)) == 40
    )
    # Across boots only the wall clock is left: if it went back, the age is unknown, not small.
    assert (
        age_s(moment_at(0), moment_at(3, "other", wall=50)) == 50
        and age_s(moment_at(0), moment_at(3, "other", wall=-50)) == inf
    )
    saved = snapshot(("u1", "a:1", "in_service"))
    assert levels(saved, moment_at(3, "other", wall=-50), TrustConfig()) == {"u1": LAST_RESORT}


@given(st.floats(0, 1e6), st.floats(0, 1e6))
def test_an_older_snapshot_is_never_trusted_more(one, other):
    order = [AS_TOLD, CAUTIOUS, LAST_RESORT]
    saved = snapshot(("u1", "a:1", "in_service"))
    found = [
        order.index(levels(saved, moment_at(second), TrustConfig())["u1"]) for second in sorted((one, other))
    ]
    assert found == sorted(found)


# --- the balancer

ONCE = {
    "name": "m",
    "idempotency": "once",
    "group": "all",
    "payoff": 1.0,
    "soft_deadline": 500.0,
    "hard_deadline": 1000.0,
    "overdue_payoff": 0.0,
    "repeat_window": 0.0,
}


def new_balancer(count=4, **limits):
    return balancer(settings([ONCE], limits=limits), [(up, 0) for up in range(count)])


def send_rpcs(b, now, count):
    """Admits `count` RPCs at one moment. Returns (RPC, upstream) for each that was sent."""
    rpcs = [b.admit(now, 0, now + 9000) for _ in range(count)]
    found = [(rpc, rpc.decide(now)) for rpc in rpcs]
    return [(rpc, answer[0]) for rpc, answer in found if answer is not None and answer[0] >= 0]


def test_an_unverified_upstream_gets_one_request_at_a_time_until_enough_have_succeeded():
    b = new_balancer()
    b.mark_unverified(0, [0, 1, 2, 3], 2, False)
    out = send_rpcs(b, 0, 12)
    assert sorted(up for _, up in out) == [0, 1, 2, 3]
    for number in range(2):
        for rpc, _ in out:
            rpc.attempt_finished(100 * (number + 1), 0, load_balancing.COMPLETED, 10, True)
        out = send_rpcs(b, 100 * (number + 1), 12)
        assert (len(out) == 4) == (number == 0)


def test_slow_answers_do_not_count_towards_probation():
    b = new_balancer()
    b.mark_unverified(0, [0, 1, 2, 3], 1, False)
    for rpc, up in send_rpcs(b, 0, 4):
        rpc.attempt_finished(100, 0, load_balancing.COMPLETED, 10 if up else 80, True)
    assert [b.upstreams[up].probation_successes for up in range(4)] == [1, 0, 0, 0]


def test_last_resorts_are_ejected_tried_one_at_a_time_and_reinstated_once_they_answer():
    b = new_balancer()
    b.mark_unverified(0, [0, 1, 2, 3], 1, True)
    assert not b.zones[0].rotation and b.ejected_count == 4
    out = send_rpcs(b, 0, 6)
    assert len(out) == 1
    rpc, first = out[0]
    rpc.attempt_finished(50, 0, load_balancing.UNCONNECTED, 0, False)
    again = rpc.decide(50)
    assert again[0] >= 0 and again[0] != first  # refused: the next last resort is tried, not the same one
    rpc.attempt_finished(80, 1, load_balancing.COMPLETED, 10, True)
    assert [up.index for up in b.zones[0].rotation] == [again[0]] and b.ejected_count == 3
    assert len(send_rpcs(b, 90, 3)) >= 2  # to the reinstated one, and to the next last resort
    assert first in b.last_resort_upstreams


def test_verified_upstreams_are_used_before_last_resorts():
    b = new_balancer()
    b.mark_unverified(0, [2, 3], 1, True)
    assert {up for _, up in send_rpcs(b, 0, 2)} <= {0, 1}


def test_discovery_verifies_the_upstreams_that_it_lists_and_removes_the_others():
    b = new_balancer()
    b.mark_unverified(0, [0, 1], 3, False)
    b.mark_unverified(0, [2, 3], 3, True)
    out = send_rpcs(b, 0, 8)
    rpc = out[0][0]
    b.list_changed(10, [row(0, 0), row(2, 0)], True, True)
    assert (
        not b.last_resort_upstreams
        and [one.index for one in b.zones[0].rotation] == [0, 2]
        and b.ejected_count == 0
        and b.ready_count == 2
    )
    assert all(
        not one.half_open and not one.probation_successes for one in b.upstreams.values() if one.listed
    )
    # Sent before the list arrived and possibly executed: the RPC is not retried.
    rpc.attempt_finished(20, 0, load_balancing.DROPPED, 10, False)
    assert rpc.decide(20) == (load_balancing.ERRORED, 0)
    assert set(b.take_released()) == {1, 3} - {up for _, up in out[1:]}


def test_simultaneous_starts_spread_their_first_requests():
    """Hundreds of sidecars start together from the same saved endpoints: their first RPCs are spread over all
    upstreams."""
    hits = [0] * 20
    for seed in range(400):
        b = load_balancing.Balancer(settings([ONCE]), seed, 0)
        b.list_changed(0, [row(up, 0) for up in range(20)], True, False)
        b.mark_unverified(0, list(range(20)), 3, seed % 2 == 0)
        hits[send_rpcs(b, 0, 1)[0][1]] += 1
    assert max(hits) < 45  # 20 are expected each; random variation nearly always stays under 40


def test_learned_state_is_restored_by_name_and_weighs_less_with_age():
    b, ids = new_balancer(), ["s0", "s1", "s2", "s3"]
    for step in range(200):
        for rpc, up in send_rpcs(b, step * 100, 2):
            rpc.attempt_finished(step * 100 + 50, 0, load_balancing.COMPLETED, 40 if up == 3 else 10, True)
    saved = to_disk(learned_state.export(b, 20_000), ids, ["0"], ["k"])
    # The indices differ after the restart: s3 has index 0.
    known = {"s3": 0, "s1": 1, "new": 2}

    def restored(seconds):
        fresh = load_balancing.Balancer(settings([ONCE]), 5, 0)
        fresh.list_changed(0, [row(up, 0) for up in range(3)], True, False)
        learned_state.restore(fresh, 0, from_disk(saved, known, ["0"], ["k"]), seconds)
        return fresh

    soon, late = restored(1), restored(3600)
    assert soon.expected_duration(soon.upstreams[0], 0) > 1.5 * soon.expected_duration(soon.upstreams[1], 0)
    assert (
        late.latency_sums[0] < 1.1
        and abs(
            late.expected_duration(late.upstreams[0], 0) / late.expected_duration(late.upstreams[1], 0) - 1
        )
        < 0.1
    )
    assert (
        soon.zones[0].concurrency_limit == b.zones[0].concurrency_limit
        and late.zones[0].concurrency_limit != b.zones[0].concurrency_limit
    )


def test_an_invalid_learned_state_is_not_restored():
    b = new_balancer()
    for rpc, _ in send_rpcs(b, 0, 2):
        rpc.attempt_finished(50, 0, load_balancing.COMPLETED, 10, True)
    good = to_disk(learned_state.export(b, 100), ["s0", "s1", "s2", "s3"], ["0"], ["k"])
    assert from_disk(good, {}, ["0"], ["k"])["ups"] == []
    assert from_disk({**good, "late": 0.1}, {}, ["0"], ["k"])["ups"] == []  # older files have this key
    for damage in (
        {"v": 2},
        {"sums": [1.0]},
        {"sums": [0.0] * 5},
        {"memory": "x"},
        {"late": 7.0},
        {"zones": ["1"]},
        {"windows": []},
        {"windows": [-1.0]},
        {"ups": [["s0", float("nan"), 1, 1, 1, 1]]},
        {"extra": 1},
    ):
        assert from_disk({**good, **damage}, {}, ["0"], ["k"]) is None, damage


def test_open_streams_count_as_background_load_only():
    b = new_balancer(2)
    for number in range(200):
        ((rpc, up),) = send_rpcs(b, number, 1)
        rpc.response_started(True)
        b.list_changed(number, [row(0, 0), row(1, 0)], False, True)
    held = [b.upstreams[up].background_load for up in range(2)]
    assert sum(held) == b.zones[0].background_load == 200 and abs(held[0] - held[1]) <= 1 and b.in_flight == 0
    assert len(send_rpcs(b, 300, 2)) == 2  # open streams use no concurrency
    rpc.attempt_finished(400, 0, load_balancing.DROPPED, 400, True, True)
    assert b.zones[0].background_load == 199 and rpc.decide(400) is None
    b.list_changed(500, [row(0, 0, load_balancing.REMOVED)], False, True)
    assert 0 in b.upstreams  # its streams are still open, so its index is not released
