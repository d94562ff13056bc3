"""One short test for each failure found, on the load balancing module alone."""

from helpers import balancer, method, row, settings

from shedgrade import load_balancing
from shedgrade.load_balancing import learned_state

ONE = [(0, 0)]


def send(b, now=0, number=0, timeout=9000):
    rpc = b.admit(now, number, now + timeout)
    return rpc, rpc.decide(now)


def test_a_refused_connection_ejects_for_two_to_three_seconds_then_allows_one_request_at_a_time():
    b = balancer(settings(), [(0, 0), (1, 0)])
    rpc, (up, _) = send(b)
    rpc.attempt_finished(10, 0, load_balancing.UNCONNECTED, 10, False)
    assert rpc.decide(10)[0] == 1 - up
    assert {send(b, 10)[1][0] for _ in range(2)} == {1 - up}
    back = b.upstreams[up].ejected_until
    assert 20000 <= back - 10 <= 30000
    assert list(b.due(back)) == []
    b.zones[0].concurrency_limit = 99
    assert [send(b, back)[1][0] for _ in range(6)].count(up) == 1


def test_fast_errors_eject_at_most_half_of_the_upstreams():
    b = balancer(settings([method("once")]), [(up, 0) for up in range(4)])
    for now in range(40):
        rpc, answer = send(b, now)
        if answer[0] >= 0:
            rpc.attempt_finished(now, 0, load_balancing.FAILED, 1, False)
            rpc.decide(now)
    assert sum(up.ejected_until > 40 for up in b.upstreams.values()) == 2


def test_late_attempts_lower_the_limit_of_their_zone_only_where_the_upstream_is_of_usual_speed():
    for worse in (1.0, 2.0):
        b = balancer(settings(zones=2), [(0, 0), (1, 0), (2, 1)])
        b.zones[0].concurrency_limit = b.zones[1].concurrency_limit = 9.0
        rpc, _ = send(b)
        rpc.attempts[0].observed_duration, rpc.attempts[0].foreseen_duration = worse * 1e6, 1e6
        rpc.attempt_finished(4000, 0, load_balancing.TIMED_OUT, 4000, False)
        assert (b.zones[0].concurrency_limit < 9.0) == (worse == 1.0) and b.zones[1].concurrency_limit == 9.0


def test_a_full_own_zone_is_waited_for_before_another_zone_is_used():
    b = balancer(settings(zones=2, prices={"cross_zone": 0.4}), [(0, 0), (1, 1)])
    b.zones[0].concurrency_limit = 1.0
    assert send(b)[1][0] == 0
    rpc, answer = send(b)
    assert answer is None and b.wake_at() == 2000
    assert [r for r in b.due(2000) if r.decide(2000)[0] == 1] == [rpc]


def test_the_queue_serves_the_highest_payoff_first_and_hopeless_requests_are_exhausted_at_once():
    b = balancer(settings([method(payoff=1.0), method(payoff=5.0)]), ONE)
    b.zones[0].concurrency_limit = 1.0
    out, _ = send(b)
    cheap, valuable = send(b)[0], send(b, 0, 1)[0]
    assert [rpc for rpc in (cheap, valuable) if rpc.done] == []
    out.attempt_finished(20, 0, load_balancing.COMPLETED, 20, True)
    assert next(b.due(20)) is valuable and valuable.decide(20)[0] == 0
    b.zones[0].concurrency_limit, b.latency_sums = 1.0, [100.0, 100.0, 400000.0, 100.0, 400000.0]
    assert send(b, 20)[1][0] == load_balancing.EXHAUSTED


def test_a_warming_upstream_gets_no_more_than_this_balancers_share_of_its_rate():
    conf = settings(balancers=4)
    b = balancer(conf, [])
    b.list_changed(50000, [row(0, started=50000)], True, True)
    b.zones[0].concurrency_limit, sends = 99.0, []
    for now in range(50000, 150000, 20):
        rpc, answer = send(b, now)
        if answer is not None and answer[0] == 0:
            sends.append(now)
            rpc.attempt_finished(now, 0, load_balancing.COMPLETED, 10, True)
    span, rules, rate = 20000, conf["rules"], 1.5 / 10  # one request a 10/1.5 tenths of a ms, as learned
    for at in sends:
        share = rules["cold_from"] + (1 - rules["cold_from"]) * min(1.0, (at + span - 50000) / 100000)
        count = sum(at <= other < at + span for other in sends)
        assert count <= 1 + rules["fall_multiple"] * share * rate * span
    assert len(sends) > 40


def test_many_balancers_with_little_traffic_keep_to_the_rate_of_a_warming_upstream_and_use_it():
    conf, sends, rate = settings([method("once")], balancers=200), [], 0
    fleet = [balancer(conf, [(up, 0) for up in range(20)], seed) for seed in range(200)]
    for b in fleet:
        b.latency_sums = [part / 100 for part in b.latency_sums]
    for now in range(100, 150000, 100):  # one request a second each; upstream 0 warms up from 50000 on
        for b in fleet[now // 100 % 100 :: 100]:
            if 50000 <= now < 60000:
                b.list_changed(now, [row(0, started=50000)], False, True)
            rpc, answer = send(b, now)
            if answer[0] >= 0:
                rate += now < 50000
                sends += [now] if answer[0] == 0 and now >= 50000 else []
                rpc.attempt_finished(now, 0, load_balancing.COMPLETED, 10, True)
    warm = rate / 20 / 5  # requests a second, at a warm upstream
    for second in range(2, 10):
        share = 0.2 + 0.8 * second / 10
        count = sum(50000 + 10000 * (second - 2) <= at < 50000 + 10000 * second for at in sends)
        assert count < 3 * share * 2 * warm
    assert len(sends) > warm


def test_balancers_choose_different_upstreams_as_last_resort():
    picks = set()
    for seed in range(20):
        b = balancer(settings(), [(up, 0) for up in range(8)], seed)
        for up in b.upstreams.values():
            b.eject(0, up, True)
        picks.add(send(b)[1][0])
    assert len(picks) > 4


def test_slow_hardware_classes_get_fewer_turns_also_at_upstreams_not_used_yet():
    b = balancer(settings([method("once", soft=100.0)]), [])
    b.list_changed(0, [row(up, kind=up % 2) for up in range(20)], True, True)
    b.zones[0].concurrency_limit, picks = 99.0, []
    for now in range(0, 20000, 100):
        rpc, (up, _) = send(b, now, 0, 5000)
        picks.append(up)
        rpc.attempt_finished(now, 0, load_balancing.COMPLETED, 300 if up % 2 else 100, True)
    slow = sum(up % 2 for up in picks[60:])
    assert 5 < slow < len(picks[60:]) / 3 and len(set(picks)) == 20


def test_a_limit_below_one_admits_its_fraction_and_decays_when_nothing_confirms_it():
    b = balancer(settings([method("once")], zones=2), [(0, 0), (1, 1)])
    b.zones[0].concurrency_limit, sent = 0.5, []
    for now in range(200):
        rpc, (up, _) = send(b, now)
        sent.append(up)
        rpc.attempt_finished(now, 0, load_balancing.DROPPED, 1, False)
        rpc.decide(now)
        b.upstreams[up].failures = 0.0
    assert 60 < sent.count(0) < 140
    send(b, 600000)
    assert b.zones[0].concurrency_limit > 0.9


def test_a_failed_request_for_the_list_is_retried_within_the_allowed_interval():
    b = load_balancing.Balancer(settings(membership_mode="on_request"), 1, 0)
    now, asked = 0, []
    while now < 600000:
        assert b.wants_list(now) and not b.wants_list(now)
        asked.append(now)
        b.list_failed(now)
        now = int(b.wake_at())
    assert max(b - a for a, b in zip(asked, asked[1:], strict=False)) <= 50000
    b.wants_list(now)
    b.list_changed(now, [], False, True)
    assert not b.wants_list(now + 999999)


def test_a_restarted_upstream_starts_with_no_history():
    b = balancer(settings(), ONE)
    rpc, _ = send(b)
    rpc.attempt_finished(5, 0, load_balancing.UNCONNECTED, 5, False)
    b.list_changed(9, [row(0, started=8)], False, True)
    assert b.zones[0].rotation == [b.upstreams[0]] and not b.upstreams[0].half_open


def test_a_slow_retriable_request_is_hedged_and_the_losing_attempt_is_stopped():
    b = balancer(settings([method(soft=900.0)], limits={"parallel_tries": True}), [(0, 0), (1, 0)])
    rpc, (first, _) = send(b)
    at = b.wake_at()
    assert 0 < at < 9000
    (again,) = list(b.due(at))
    assert again is rpc and rpc.decide(at)[0] == 1 - first
    assert rpc.attempt_finished(at + 9, 1, load_balancing.COMPLETED, 9, True) == [0]


def test_without_hedging_an_attempt_is_cut_before_the_soft_deadline_only_where_failures_outnumber_successes():
    b = balancer(settings([method(soft=900.0)]), ONE)
    rpc, (_, limit) = send(b)
    assert limit == 9000 - 20
    rpc.attempt_finished(5, 0, load_balancing.TIMED_OUT, 5, False)
    assert rpc.decide(5)[0] == load_balancing.EXHAUSTED
    assert send(b, 5)[1][1] < 5000


def test_a_queued_request_that_is_overtaken_past_its_time_is_exhausted_at_once():
    b = balancer(settings([method(payoff=1.0), method(payoff=5.0)]), ONE)
    b.zones[0].concurrency_limit, b.latency_sums = 1.0, [100.0, 100.0, 80000.0, 100.0, 80000.0]
    send(b)
    cheap, answer = send(b)
    assert answer is None and list(b.due(0)) == [cheap] and not cheap.done
    valuable = [send(b, 0, 1)[0] for _ in range(2)]
    assert cheap in list(b.due(0)) and cheap.decide(0)[0] == load_balancing.EXHAUSTED
    assert not any(rpc.done for rpc in valuable)


def test_no_hedge_follows_a_streamed_response_that_has_begun():
    b = balancer(settings([method(soft=900.0)], limits={"parallel_tries": True}), [(0, 0), (1, 0)])
    rpc, _ = send(b)
    rpc.response_started()
    at = b.wake_at()
    assert [r.decide(at) for r in b.due(at)] == [None]


def test_a_removed_upstream_with_nothing_outstanding_is_forgotten_and_its_index_inherits_nothing():
    b = balancer(settings([method("once", soft=5000.0, hard=5000.0)]), [(0, 0), (1, 0)])
    rpc = b.admit(0, 0, 40000)
    up, _ = rpc.decide(0)
    b.upstreams[up].failures, b.upstreams[1 - up].failures = 7.0, 7.0
    b.list_changed(1, [row(up, state=load_balancing.REMOVED)], False, True)
    assert b.take_released() == [] and up in b.upstreams  # its request is outstanding
    rpc.attempt_finished(2, 0, load_balancing.COMPLETED, 2, True)
    assert b.take_released() == [up] and list(b.upstreams) == [1 - up] and b.zones[0].in_flight == 0
    b.list_changed(3, [row(up)], True, True)  # the complete list: the other one is gone, and this one is new
    assert b.take_released() == [1 - up] and list(b.upstreams) == [up] and b.upstreams[up].failures == 0
    b.list_changed(
        4, [row(up, state=load_balancing.REMOVED), row(up), row(9, state=load_balancing.REMOVED)], False, True
    )
    assert b.take_released() == [9] and b.zones[0].rotation == [b.upstreams[up]] and b.ready_count == 1


def test_one_broken_connection_ejects_no_upstream_and_its_request_goes_elsewhere():
    # Resets of new connections across the fleet ejected eight of twelve upstreams, after one reset each.
    b = balancer(settings([method("once")]), [(up, 0) for up in range(4)])
    rpc = b.admit(0, 0, 9000)
    first = rpc.decide(0)[0]
    rpc.attempt_finished(1, 0, load_balancing.BROKEN, 1, False)
    assert not b.ejected_count and rpc.decide(1)[0] != first
    for _ in range(2):
        b.record_outcome(2, b.upstreams[first], load_balancing.BROKEN, 1, 1, False, rpc)
    assert b.upstreams[first].ejected_until and b.ejected_count == 1


def test_the_duration_of_the_first_request_on_a_connection_does_not_count_against_its_upstream():
    # Where a connection setup took most of the soft deadline, limits fell and healthy upstreams were ejected.
    b = balancer(settings([method("once", soft=150.0, hard=400.0)]), [(0, 0), (1, 0)])
    window, sums, kinds = b.zones[0].concurrency_limit, b.latency_sums, dict(b.hardware_durations)
    for now in range(0, 300, 100):
        rpc = b.admit(now, 0, now + 4000)
        rpc.decide(now)
        rpc.attempt_finished(now + 90, 0, load_balancing.TIMED_OUT, 1480, True, True)
    assert (b.zones[0].concurrency_limit, b.latency_sums, b.hardware_durations, b.ejected_count) == (
        window,
        sums,
        kinds,
        0,
    )
    for _ in range(3):
        b.record_outcome(400, b.upstreams[0], load_balancing.TIMED_OUT, 1480, 1, True, rpc)
    assert b.ejected_count == 1  # an upstream that never answers is still ejected


def test_a_request_rejected_in_its_zone_goes_to_another_zone_next():
    # In a zone short of capacity the same request was rejected until it had no attempt left, while other
    # zones had room.
    b = balancer(settings([method("once")], zones=3), [(up, up // 3) for up in range(9)])
    rpc, (first, _) = send(b)
    rpc.attempt_finished(10, 0, load_balancing.REJECTED, 10, False)
    second, _ = rpc.decide(10)
    rpc.attempt_finished(20, 1, load_balancing.REJECTED, 10, False)
    third, _ = rpc.decide(20)
    assert first < 3 and {second // 3, third // 3} == {1, 2}
    assert send(b, 30)[1][0] < 3  # another request starts in its own zone


def test_a_timeout_among_quick_completions_is_not_taken_for_overload():
    # Where some answers are lost the others come as quickly as ever: limits fell, and up to a fifth of the
    # requests was rejected.
    left = {}
    for quick in (True, False):
        b = balancer(settings(), [(up, 0) for up in range(8)])
        b.zones[0].concurrency_limit = 9.0
        for step in range(20):
            rpc, _ = send(b, 1000 * step)
            rpc.attempt_finished(1000 * step + 9, 0, load_balancing.COMPLETED, 9 if quick else 4900, True)
        before = b.zones[0].concurrency_limit
        rpc, _ = send(b, 30_000)
        rpc.attempt_finished(34_000, 0, load_balancing.TIMED_OUT, 4000, False)
        left[quick] = b.zones[0].concurrency_limit / before
    assert left[True] > 0.9 and left[False] < 0.9


def finish_requests(b, now, number, outcome, took, tenant=0, count=1):
    """Runs `count` requests one after another; returns the decisions after their first attempts."""
    decisions = []
    for step in range(count):
        rpc = b.admit(now + step, number, now + step + 20_000, tenant=tenant)
        if (rpc.decide(now + step) or (-1,))[0] >= 0:
            rpc.attempt_finished(
                now + step, len(rpc.attempts) - 1, outcome, took, outcome == load_balancing.COMPLETED
            )
            decisions.append(rpc.decide(now + step))
    return decisions


def test_a_method_slow_at_every_upstream_lowers_no_limit_and_ejects_no_upstream():
    # One method's requests waited on something else for twice their soft deadline: up to 74% of all requests
    # were rejected.
    methods = [{**method("once", soft=500.0, hard=2000.0), "name": name} for name in "ab"]
    b = balancer(settings(methods), [(up, 0) for up in range(6)])
    for step in range(60):
        finish_requests(b, 1000 * step, step % 2, load_balancing.COMPLETED, 600)
    window = b.zones[0].concurrency_limit
    for step in range(60, 140):
        finish_requests(b, 1000 * step, 0, load_balancing.COMPLETED, 600)
        finish_requests(
            b, 1000 * step, 1, load_balancing.TIMED_OUT if step % 2 else load_balancing.COMPLETED, 9000
        )
    assert b.method_slowness(b.methods[1]) > 1 and b.method_slowness(b.methods[0]) == 1
    assert b.zones[0].concurrency_limit > 0.6 * window and not b.ejected_count
    rpc = b.admit(140_000, 1, 160_000)
    flight = b.zones[0].in_flight
    assert rpc.decide(140_000)[0] >= 0 and b.zones[0].in_flight == flight and b.zones[0].background_load == 1
    rpc.attempt_finished(150_000, 0, load_balancing.COMPLETED, 10_000, True)
    assert b.zones[0].in_flight == flight and b.zones[0].background_load == 0


def test_a_tenant_failing_at_every_upstream_costs_one_attempt_and_ejects_no_upstream():
    # Errors of one tenant's requests alone ejected half of the upstreams, and each was sent up to five times.
    customers = [{"name": name, "allowance_per_s": 1e4} for name in "ab"]
    b = balancer(settings(customers=customers), [(up, 0) for up in range(6)])
    for step in range(40):
        finish_requests(b, 1000 * step, 0, load_balancing.COMPLETED, 60, tenant=step % 2, count=2)
    decisions = []
    for step in range(40, 100):
        finish_requests(b, 1000 * step, 0, load_balancing.COMPLETED, 60)
        decisions.append(finish_requests(b, 1000 * step, 0, load_balancing.FAILED, 60, tenant=1))
    assert not b.ejected_count and all(answer[0][0] == load_balancing.EXHAUSTED for answer in decisions[30:])
    rpc = b.admit(100_000, 0, 120_000)
    rpc.decide(100_000)
    rpc.attempt_finished(100_001, 0, load_balancing.FAILED, 60, False)
    assert rpc.decide(100_001)[0] >= 0  # a failed request of another tenant may be retried


def test_failures_of_all_tenants_alike_are_attributed_to_the_upstreams():
    customers = [{"name": name, "allowance_per_s": 1e4} for name in "ab"]
    b = balancer(settings(customers=customers), [(up, 0) for up in range(6)])
    for step in range(40):
        finish_requests(b, step, 0, load_balancing.FAILED, 60, tenant=step % 2)
    assert b.ejected_count == 3


def test_limits_ramp_up_in_seconds_where_nothing_is_late():
    b = balancer(settings(balancers=100), [(up, 0) for up in range(6)])
    assert b.zones[0].concurrency_limit == 1
    for step in range(40):
        out = [send(b, 100 * step)[0] for _ in range(int(b.zones[0].concurrency_limit) + 5)]
        for rpc in [one for one in out if one.outstanding]:
            rpc.attempt_finished(100 * step + 50, 0, load_balancing.COMPLETED, 50, True)
    assert b.zones[0].concurrency_limit > 4


def test_limits_aim_at_a_lower_latency_where_more_than_a_few_late_requests_have_a_price():
    aims = [
        balancer(settings(objective_mix=mix), ONE).latency_target
        for mix in (
            {},
            {"slow_end": 0.3},
            {"slow_end": 0.3, "miss_allowed": 0.01},
            {"slow_end": 0.3, "miss_allowed": 1},
        )
    ]
    assert aims[0] == aims[1] == aims[3] == load_balancing.LATENCY_TARGET_SHARE and 0.3 < aims[2] < 0.36


def test_where_only_draining_binds_a_delisted_upstream_is_used_until_it_fails():
    conf = settings()
    for stay in (True, False):
        conf["rules"]["dropped_stay_open"] = stay
        b = balancer(conf, [(up, 0) for up in range(4)])
        b.list_changed(
            1, [row(0, state=load_balancing.REMOVED), row(1, state=load_balancing.DRAINING)], False, True
        )
        b.list_changed(2, [row(1, state=load_balancing.REMOVED), row(2), row(3)], True, True)
        b.zones[0].concurrency_limit = 99.0
        used = {send(b, 3)[1][0] for _ in range(12)}
        assert used == ({0, 2, 3} if stay else {2, 3})
        if stay:
            b.record_outcome(5, b.upstreams[0], load_balancing.UNCONNECTED, 1, 1, False, send(b, 4)[0])
            b.upstreams[0].in_flight = 0
            b.release_if_unused(b.upstreams[0])
            assert 0 not in b.upstreams and not any(up.index == 0 for up in b.zones[0].rotation)
            b.list_changed(6, [row(0, started=6)], False, True)  # the list names it again
            assert b.upstreams[0].listed and not b.upstreams[0].delisted


def test_an_attempt_may_finish_after_the_last_upstream_drained():
    # With no upstream ready the expected duration was 0, and recording the outcome divided by it.
    for names in ("a", "ab"):
        b = balancer(settings([{**method(), "name": name} for name in names]), [(0, 0), (1, 0)])
        out = [send(b, 0, len(names) - 1)[0] for _ in range(2)]
        b.list_changed(
            1, [row(0, state=load_balancing.DRAINING), row(1, state=load_balancing.DRAINING)], False, True
        )
        for rpc in out:
            assert rpc.attempt_finished(5, 0, load_balancing.COMPLETED, 5, True) == [] and rpc.done
        assert b.in_flight == 0 and all(up.in_flight == 0 for up in b.upstreams.values())


def test_a_marked_retry_delayed_a_few_ms_by_a_busy_loop_is_not_taken_for_one_cut_by_its_hard_deadline():
    for late, refused in ((50, False), (1000, True)):
        b = balancer(settings([method(soft=2000.0, hard=3000.0)], tick=1.0), ONE)
        first, _ = send(b, 0, 0, 8000)
        first.attempt_finished(7000, 0, load_balancing.TIMED_OUT, 7000, True, True)
        answer = b.admit(9000, 0, 9000 + 8000 - late, True).decide(9000)
        assert (answer[0] < 0) == refused


def test_high_payoff_requests_skip_slow_upstreams_while_a_fast_one_has_capacity():
    b = balancer(settings([method(payoff=1.0), method(payoff=5.0)]), [(up, 0) for up in range(4)])
    b.zones[0].concurrency_limit = 99.0
    for up in b.upstreams.values():  # two are far slower than the other two, and slow for the soft deadline
        up.observed_duration, up.foreseen_duration, up.decayed_at = (2.5e7 if up.index < 2 else 1e6), 1e5, 0
    sent = {0: [], 1: []}
    for now in range(60):
        number = now % 2
        rpc, (up, _) = send(b, 0, number)
        sent[number].append(up)
        b.add_load(rpc.attempts[0], -1, 0)
    assert set(sent[1]) <= {2, 3} and {0, 1} & set(sent[0])
    for up in (2, 3):
        b.add_load(b.upstreams[up], 200, 0)
    b.zones[0].concurrency_limit = 999.0
    assert send(b, 0, 1)[1][0] in (0, 1)  # the fast ones are at capacity: a slow one is better than none


def test_a_sidecar_that_has_just_started_takes_its_slow_start_share_over_the_time_observed():
    for every in (10**9, 3):  # no attempt is the first on its connection, then every third one is
        b = load_balancing.Balancer(settings(), 1, 0)
        b.list_changed(0, [row(up) for up in range(4)] + [row(9, started=1)], True, True)
        cold = 0
        for step in range(80):  # 40 a second for 2 s: 8 an upstream and second, of which 0.2 and more
            now = step * 250 + 1
            rpc = b.admit(now, 0, now + 9000)
            rpc.decide(now)
            for tx, up in enumerate(rpc.attempts):
                cold += up.index == 9
                rpc.attempt_finished(
                    now + 100, tx, load_balancing.COMPLETED, 100, True, step % every == every - 1
                )
        assert 6 <= cold <= 3 * 0.4 * 8 * 2 + 1


def test_a_process_that_takes_over_keeps_the_slow_start_share_of_the_older_one():
    older = balancer(settings(), [(up, 0) for up in range(4)])
    b = load_balancing.Balancer(settings(), 1, 1000)
    b.list_changed(1000, [row(up) for up in range(4)] + [row(9, started=1000)], True, True)
    learned_state.restore(b, 1000, learned_state.export(older, 1000), 0.0)
    # 20 a second over five upstreams, of which 0.2 at least.
    assert b.has_slow_start_credit(b.upstreams[9], 1000 + 2 * load_balancing.SECOND)


def test_the_least_observation_time_of_one_second_applies_at_a_start_only():
    b = balancer(settings(), [(up, 0) for up in range(4)])
    b.list_changed(0, [row(9, started=1)], False, True)
    # 20 a second over five upstreams.
    b.finish_rate.denominator, b.upstreams[9].slow_start_credit = 5 * load_balancing.SECOND, 0.0
    assert b.has_slow_start_credit(b.upstreams[9], 55 * load_balancing.SECOND // 100)
