"""The count by which the fleet's budgets are divided: the largest of the last 30 s."""

from random import Random

from shedgrade.dataplane.fleet_size import COUNT_WINDOW_S, FleetSize


def test_without_counts_there_is_one_edge():
    assert FleetSize().largest(5.0) == 1


def test_a_smaller_count_applies_only_after_the_larger_has_expired():
    size = FleetSize()
    size.record_count(0.0, 6)
    size.record_count(1.0, 2)
    assert size.largest(1.0) == size.largest(COUNT_WINDOW_S) == 6
    assert size.largest(COUNT_WINDOW_S + 0.1) == 2


def test_a_larger_count_applies_at_once():
    size = FleetSize()
    size.record_count(0.0, 2)
    size.record_count(1.0, 67)
    assert size.largest(1.0) == 67


def test_the_count_is_the_maximum_of_the_window():
    for seed in range(20):
        random, size, counts, now = Random(seed), FleetSize(), [], 0.0
        for _ in range(300):
            now += random.uniform(0, 2)
            counts.append((now, random.randrange(0, 9)))
            size.record_count(*counts[-1])
            assert size.largest(now) == max(1, *(count for at, count in counts if at >= now - COUNT_WINDOW_S))
