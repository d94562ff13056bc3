"""Zone choice, rotation, list changes and retries, on the load balancing module alone."""

from collections import Counter

import pytest
from helpers import balancer, method, row, settings

from shedgrade import load_balancing


def test_own_zone_first_and_in_rotation():
    b = balancer(settings(zones=2, az=1), [(0, 0), (1, 0), (2, 1), (3, 1)])
    picks = [b.admit(0, 0, 9000).decide(0)[0] for _ in range(4)]
    assert sorted(picks[:2]) == [2, 3] and picks[:2] == picks[2:]


def test_own_zone_at_the_threshold_is_skipped_and_others_are_drawn_by_size():
    drawn = Counter()
    for seed in range(400):
        b = balancer(settings(zones=3), [(0, 0), (1, 1), (2, 1), (3, 1), (4, 2)], seed)
        assert [b.admit(0, 0, 9000).decide(0)[0] for _ in range(3)] == [0, 0, 0]
        drawn[1 if b.admit(0, 0, 9000).decide(0)[0] < 4 else 2] += 1
    assert 260 < drawn[1] < 340


def test_only_the_most_loaded_zone_is_skipped():
    b = balancer(settings(zones=2, az=0), [(0, 0), (1, 1)])
    for upstream, flight in ((0, 3), (1, 4)):
        b.upstreams[upstream].in_flight = b.zones[upstream].in_flight = flight
        b.zones[upstream].concurrency_limit = 9
    assert b.admit(0, 0, 9000).decide(0)[0] == 0


def test_an_upstream_well_above_the_mean_load_is_skipped():
    b = balancer(settings(), [(0, 0), (1, 0), (2, 0)])
    b.upstreams[1].in_flight = b.zones[0].in_flight = 4
    assert [b.admit(0, 0, 9000).decide(0)[0] for _ in range(3)].count(1) == 0


def test_list_changes_keep_counts_and_draining_upstreams_leave_rotation_at_once():
    b = balancer(settings(), [(0, 0), (1, 0)])
    picks = [b.admit(0, 0, 9000).decide(0)[0] for _ in range(2)]
    b.list_changed(1, [row(0, 0, load_balancing.DRAINING), row(2)], False, True)
    assert sorted(picks) == [0, 1] and b.upstreams[1].in_flight == 1 and b.zones[0].in_flight == 2
    assert {b.admit(1, 0, 9000).decide(1)[0] for _ in range(2)} == {1, 2}


def test_a_request_with_nothing_listed_is_exhausted_at_once():
    assert balancer(settings(), []).admit(0, 0, 9000).decide(0)[0] == load_balancing.EXHAUSTED


def test_a_retry_cut_short_by_the_hard_deadline_is_measured_from_its_first_try():
    b = balancer(settings([method(soft=500.0, hard=1000.0)]), [(0, 0)])
    b.admit(0, 0, 6000).decide(0)
    assert b.admit(5500, 0, 10000, True).decide(5500)[0] == load_balancing.EXHAUSTED
    assert b.admit(5500, 0, 10000, False).decide(5500)[0] == 0
    assert b.admit(5500, 0, 11500, True).decide(5500)[0] == 0


def test_check_invariants_fails_once_a_count_is_wrong():
    b = balancer(settings(zones=2), [(0, 0), (1, 1)])
    b.check_invariants()
    b.zones[0].in_flight += 1
    with pytest.raises(AssertionError):
        b.check_invariants()
