"""Routing of model requests: home regions, slow start, prefix holders, retry budget and remote loads."""

from types import SimpleNamespace

import pytest

from shedgrade.load_balancing import outcomes
from shedgrade.model_routing import IDEMPOTENT, ONCE, RoutingConstraints, ServingBalancer
from shedgrade.model_routing.retry_budget import RetryBudget
from shedgrade.prefix_cache_index import prefix_key

SECOND = 10_000


def make_balancer(
    regions=("a", "b"), own=0, ups=((0, 0), (1, 0), (2, 1), (3, 1)), slack=100.0, ratio=0.2, name="n1"
):
    balancer = ServingBalancer(list(regions), own, 7, 0, RetryBudget(ratio, slack, 10 * SECOND), name)
    rows = [(index, region, outcomes.READY, 0, 0, 1000 + index, 1.0, 0) for index, region in ups]
    balancer.list_changed(0, rows, True, False)
    return balancer


def submit(balancer, now=0, method=IDEMPOTENT, give_up_at=50_000, **constraints):
    rpc = balancer.admit(
        now, method, give_up_at, False, SimpleNamespace(constraints=RoutingConstraints(**constraints)), 0
    )
    return rpc, rpc.decide(now)


def test_own_region_in_rotation():
    balancer = make_balancer()
    assert {submit(balancer)[1][0] for _ in range(2)} == {0, 1}


def test_at_the_threshold_the_most_loaded_region_is_skipped():
    balancer = make_balancer()
    for _ in range(4):
        submit(balancer)
    assert submit(balancer)[1][0] in (2, 3)


def test_home_regions_may_exclude_the_own_region():
    balancer = make_balancer()
    assert {submit(balancer, home_regions=frozenset({1}))[1][0] for _ in range(6)} == {2, 3}


def test_without_a_ready_home_region_a_request_is_refused_at_once_with_a_retry_delay():
    balancer = make_balancer(ups=((0, 0), (1, 0)))
    decision, wait = submit(balancer, home_regions=frozenset({1}))[1]
    assert decision == outcomes.EXHAUSTED and 0 < wait <= SECOND


@pytest.mark.parametrize("outcome", [outcomes.FAILED, outcomes.DROPPED, outcomes.TIMED_OUT])
def test_a_request_that_may_have_run_once_is_not_retried(outcome):
    balancer = make_balancer()
    rpc, _ = submit(balancer, method=ONCE, max_attempts=3)
    rpc.attempt_finished(100, 0, outcome, 100, False)
    assert rpc.decide(100) == (outcomes.ERRORED, 0)


def test_a_request_that_never_ran_is_retried_within_its_attempts():
    balancer = make_balancer()
    rpc, (first, _) = submit(balancer, method=ONCE, max_attempts=2)
    rpc.attempt_finished(100, 0, outcomes.REJECTED, 100, False)
    second, _ = rpc.decide(100)
    assert second != first
    rpc.attempt_finished(200, 1, outcomes.REJECTED, 100, False)
    assert rpc.decide(200)[0] == outcomes.EXHAUSTED


def test_a_connection_that_never_came_up_is_no_attempt():
    balancer = make_balancer()
    rpc, _ = submit(balancer, method=ONCE, max_attempts=1)
    rpc.attempt_finished(100, 0, outcomes.UNCONNECTED, 100, False)
    assert rpc.decide(100)[0] >= 0
    assert balancer.retry_budget.retries == 0


def test_a_broken_idempotent_stream_is_retried():
    balancer = make_balancer()
    rpc, (first, _) = submit(balancer, max_attempts=2)
    rpc.attempt_finished(100, 0, outcomes.DROPPED, 100, False)
    assert rpc.decide(100)[0] not in (first, outcomes.ERRORED, outcomes.EXHAUSTED)


def test_the_fleets_retry_budget_binds():
    balancer = make_balancer(slack=12.0, ratio=0.0)
    balancer.retry_budget.sidecar_count = 6
    retried = 0
    for number in range(20):
        rpc, _ = submit(balancer, now=number, max_attempts=2)
        rpc.attempt_finished(number, 0, outcomes.DROPPED, 1, False)
        retried += rpc.decide(number)[0] >= 0
    assert retried == 1  # a sixth of 12, of which four fifths are used


def test_earlier_legs_count_as_attempts_and_their_upstreams_are_excluded():
    balancer = make_balancer(ups=((0, 0), (1, 0)))
    assert submit(balancer, max_attempts=2, earlier_attempts=2)[1][0] == outcomes.EXHAUSTED
    assert {
        submit(balancer, max_attempts=3, earlier_attempts=1, excluded_upstreams=frozenset({0}))[1][0]
        for _ in range(4)
    } == {1}


def test_a_stream_stays_in_flight_until_it_ends():
    balancer = make_balancer()
    rpc, (index, _) = submit(balancer)
    rpc.response_started(True)
    assert balancer.upstreams[index].in_flight == 1
    rpc.attempt_finished(5000, 0, outcomes.COMPLETED, 10, True)
    assert balancer.upstreams[index].in_flight == 0


def test_sidecars_together_keep_to_a_warming_upstreams_rate():
    for sidecars in (1, 6, 67, 540):
        sent = []
        for number in range(sidecars):
            balancer = make_balancer(ups=((0, 0),), name=f"edge-{number}")
            balancer.sidecar_count, balancer.slow_start_rate, balancer.warming_up_until[0] = (
                sidecars,
                6.0,
                4 * SECOND,
            )
            for now in range(1, 3 * SECOND, 200):
                rpc, (what, _) = submit(balancer, now=now)
                if what >= 0:
                    sent.append(now)
                    rpc.attempt_finished(now, 0, outcomes.COMPLETED, 1, True)
        worst = max((sum(start <= at < start + SECOND for at in sent) for start in sent), default=0)
        assert worst <= 6 * 1.5 + 5, (sidecars, worst)


def test_a_shared_prefix_goes_to_one_holder_in_every_sidecar():
    ups = tuple((index, 0) for index in range(12))
    first = {
        submit(make_balancer(ups=ups, name=f"n{number}"), prefix_key=b"aa:100")[1][0] for number in range(8)
    }
    assert len(first) == 1


def test_a_holder_well_above_the_mean_load_is_skipped():
    balancer = make_balancer(ups=tuple((index, 0) for index in range(6)))
    taken = [submit(balancer, prefix_key=b"aa:100")[1][0] for _ in range(12)]
    assert len(set(taken)) == 6
    assert max(balancer.upstreams[index].in_flight for index in taken) <= 4


def test_an_ejected_upstream_gets_nothing_and_the_rest_serve():
    balancer = make_balancer()
    balancer.eject(0, balancer.upstreams[0], True)
    assert 0 not in {submit(balancer)[1][0] for _ in range(6)}


def test_an_upstream_is_skipped_during_a_prefill_until_the_first_event():
    balancer = make_balancer(ups=((0, 0), (1, 0), (2, 0)))
    rpc, (chosen, _) = submit(balancer, prompt_tokens=8 * 2048)
    assert balancer.upstreams[chosen].background_load == 8
    assert chosen not in {submit(balancer, prompt_tokens=100)[1][0] for _ in range(4)}
    rpc.response_started(True)
    assert balancer.upstreams[chosen].background_load == 0 and balancer.upstreams[chosen].in_flight == 1
    rpc.attempt_finished(900, 0, outcomes.COMPLETED, 10, True)
    assert (balancer.upstreams[chosen].background_load, balancer.upstreams[chosen].in_flight) == (0, 0)


class HolderRecord(dict):
    """A prefix index: the id hashes of holders, by key."""

    def holders(self, key):
        return self.get(key, {})

    def record_holder(self, key, mark):
        self.setdefault(key, {})[mark] = 0.0


def test_a_prefix_already_held_adds_no_prefill_load():
    balancer = make_balancer(ups=((0, 0), (1, 0)))
    balancer.prefix_index = HolderRecord()
    rpc, (chosen, _) = submit(balancer, prefix_key=b"aa:6000", prompt_tokens=8000, prefix_tokens=6000)
    assert balancer.upstreams[chosen].background_load == 3
    rpc.response_started(True)
    rpc.attempt_finished(900, 0, outcomes.COMPLETED, 10, True)
    _, (chosen_again, _) = submit(
        balancer, now=1000, prefix_key=b"aa:6000", prompt_tokens=8000, prefix_tokens=6000
    )
    assert chosen_again == chosen and balancer.upstreams[chosen].background_load == 0


def test_an_attempt_that_never_began_leaves_no_load_behind():
    balancer = make_balancer()
    rpc, (chosen, _) = submit(balancer, method=ONCE, prompt_tokens=50_000)
    rpc.attempt_finished(900, 0, outcomes.UNCONNECTED, 10, True)
    assert all((up.background_load, up.in_flight) == (0, 0) for up in balancer.upstreams.values())


def test_a_long_prompt_goes_to_its_holder_if_the_own_region_would_prefill_it_anew():
    balancer = make_balancer()
    balancer.prefix_index = HolderRecord({prefix_key(b"aa:6000"): {1003: 0.0}})
    assert {
        submit(balancer, prefix_key=b"aa:6000", prompt_tokens=8000, prefix_tokens=6000)[1][0]
        for _ in range(2)
    } == {3}
    assert submit(balancer, prefix_key=b"bb:6000", prompt_tokens=8000, prefix_tokens=6000)[1][0] in (0, 1)
    balancer.prefix_index.record_holder(prefix_key(b"aa:6000"), 1000)
    assert submit(balancer, now=1, prefix_key=b"aa:6000", prompt_tokens=8000, prefix_tokens=6000)[1][0] in (
        0,
        1,
    )


def test_a_short_prompt_stays_in_the_own_region():
    balancer = make_balancer()
    balancer.prefix_index = HolderRecord({prefix_key(b"aa:300"): {1003: 0.0}})
    assert submit(balancer, prefix_key=b"aa:300", prompt_tokens=800, prefix_tokens=300)[1][0] in (0, 1)


def test_home_regions_and_the_drop_threshold_bind_holders_in_other_regions():
    balancer = make_balancer()
    balancer.prefix_index = HolderRecord({prefix_key(b"aa:6000"): {1003: 0.0}})
    constraints = {"prefix_key": b"aa:6000", "prompt_tokens": 8000, "prefix_tokens": 6000}
    assert submit(balancer, home_regions=frozenset({0}), **constraints)[1][0] in (0, 1)
    balancer.zones[1].in_flight = 4
    assert submit(balancer, **constraints)[1][0] in (0, 1)


# --- requests of other edges


def report_loads(balancer, **loads):
    """Reports the requests that other edges have in flight, by upstream."""
    balancer.update_remote_loads({1000 + int(name[1:]): load for name, load in loads.items()})


def test_an_upstream_that_other_edges_load_well_above_the_mean_is_skipped():
    balancer = make_balancer(ups=((0, 0), (1, 0), (2, 0)))
    report_loads(balancer, u0=5)
    assert {submit(balancer)[1][0] for _ in range(4)} == {1, 2}
    report_loads(balancer)
    assert balancer.zones[0].background_load == balancer.upstreams[0].background_load == 0


def test_the_holder_of_a_prefix_is_skipped_where_other_edges_load_it():
    balancer = make_balancer(ups=((0, 0), (1, 0), (2, 0), (3, 0)))
    holder = submit(balancer, prefix_key=b"p:3000", prefix_tokens=3000, prompt_tokens=3100)[1][0]
    report_loads(balancer, **{f"u{holder}": 9})
    assert submit(balancer, prefix_key=b"p:3000", prefix_tokens=3000, prompt_tokens=3100)[1][0] != holder


def test_a_region_that_all_edges_together_overload_is_skipped():
    balancer = make_balancer(own=0)
    balancer.set_slots(16)
    report_loads(balancer, u0=16, u1=16, u2=1)
    assert {submit(balancer)[1][0] for _ in range(8)} <= {2, 3}
    report_loads(balancer, u0=5, u1=5)  # under a third of the slots
    assert submit(balancer)[1][0] in (0, 1)


def test_the_threshold_grows_with_the_slots_of_upstreams():
    """Two requests are a high load for an upstream with 6 slots, and a low one for an upstream with 64."""
    balancer = make_balancer()
    balancer.set_slots(64)
    assert {submit(balancer)[1][0] for _ in range(40)} == {0, 1}
    assert {submit(balancer)[1][0] for _ in range(10)} >= {2, 3}
    balancer = make_balancer()
    balancer.set_slots(6)
    assert {submit(balancer)[1][0] for _ in range(4)} == {0, 1} and submit(balancer)[1][0] in (2, 3)


def test_an_overloaded_region_is_used_where_the_others_are_little_better():
    balancer = make_balancer(own=0)
    balancer.set_slots(16)
    report_loads(balancer, u0=16, u1=16, u2=13, u3=13)
    assert {submit(balancer)[1][0] for _ in range(3)} <= {0, 1}


def test_between_a_third_and_two_thirds_of_the_slots_a_part_goes_elsewhere():
    balancer = make_balancer(own=0)
    balancer.set_slots(16)
    regions = []
    for number in range(200):
        report_loads(balancer, u0=8, u1=8)
        rpc, (index, _) = submit(balancer, now=number)
        regions.append(index // 2)
        rpc.attempt_finished(number, 0, outcomes.COMPLETED, 1, False)
        rpc.finish()
    assert 60 < sum(regions) < 140


def test_where_all_regions_are_overloaded_requests_are_still_served():
    balancer = make_balancer(own=0)
    balancer.set_slots(4)
    report_loads(balancer, u0=40, u1=40, u2=50, u3=50)
    assert submit(balancer)[1][0] in (0, 1)
    only = make_balancer(ups=((0, 0), (1, 0)))
    only.set_slots(4)
    report_loads(only, u0=40, u1=40)
    assert submit(only)[1][0] in (0, 1)


def test_without_reported_loads_or_slots_the_threshold_applies_to_own_requests_alone():
    balancer = make_balancer(own=0)
    report_loads(balancer, u0=90, u1=90)
    assert submit(balancer)[1][0] in (0, 1)
    balancer.set_slots(16)
    report_loads(balancer)
    assert submit(balancer)[1][0] in (0, 1)


def test_own_loads_are_those_of_this_edge_alone():
    balancer = make_balancer()
    _, (index, _) = submit(balancer, prompt_tokens=5000)
    report_loads(balancer, u0=7, u1=7, u2=7)
    assert dict(balancer.own_loads()) == {1000 + index: 3}  # one in flight, and two units of prefill


def test_remote_loads_are_forgotten_with_an_upstream():
    balancer = make_balancer()
    report_loads(balancer, u0=7, u1=2)
    rows = [(index, region, outcomes.READY, 0, 0, 1000 + index, 1.0, 0) for index, region in ((1, 0), (2, 1))]
    balancer.list_changed(10, rows, True, False)
    assert balancer.take_released() and balancer.zones[0].background_load == 2
    report_loads(balancer)
    assert balancer.zones[0].background_load == balancer.zones[1].background_load == 0


def test_a_busy_holder_is_chosen_while_prefilling_anew_would_weigh_more():
    balancer = make_balancer(ups=((0, 0), (1, 0), (2, 0), (3, 0)))
    holder = submit(balancer, prefix_key=b"p:6144", prefix_tokens=6144, prompt_tokens=6144)[1][0]
    balancer = make_balancer(ups=((0, 0), (1, 0), (2, 0), (3, 0)))
    report_loads(balancer, **{f"u{holder}": 4})
    assert submit(balancer, prefix_key=b"p:6144", prefix_tokens=6144, prompt_tokens=6144)[1][0] == holder
