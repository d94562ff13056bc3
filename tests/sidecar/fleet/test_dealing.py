"""Subset assignment over generated fleets: balanced, complete and stable under changes."""

from hypothesis import given, settings
from hypothesis import strategies as st

from shedgrade.load_balancing.subset_assignment import dealt, hash_pair

ZONES = st.integers(1, 4)


def own_zone_subsets(ups, zones, sidecars, near, minimum, numbers=None):
    """Returns the subset of the own zone for each sidecar; sidecar numbers go round the zones."""
    return [
        dealt([up for up in ups if up[2] == number % zones], zones, number, sidecars, near, 0.0, minimum)
        for number in (numbers or range(sidecars))
    ]


def upstream_rows(count, zones, seed, size=lambda number: 1.0):
    return sorted(
        (hash_pair(seed, number) % 2**32, size(number), number % zones, number) for number in range(count)
    )


@settings(deadline=None, derandomize=True, max_examples=60)
@given(ZONES, st.integers(1, 40), st.integers(1, 30), st.integers(0, 99))
def test_upstreams_are_used_evenly_and_no_subset_is_below_the_minimum(zones, each, upstreams, seed):
    sidecars, upstreams = each * zones, upstreams * zones
    near = min(each, max(5.0, 3.4 * each * zones / upstreams))
    subsets = own_zone_subsets(upstream_rows(upstreams, zones, seed), zones, sidecars, near, 3)
    uses = [sum(up[3] == number for subset in subsets for up in subset) for number in range(upstreams)]
    minimum = min(3, upstreams // zones)
    assert all(len(subset) >= minimum for subset in subsets)
    # Counts differ by one rounding. Where the minimum size binds, sidecars below it share others' upstreams.
    exact = upstreams * 5 >= 3.4 * sidecars
    assert max(uses) - min(uses) <= 1 if exact else max(uses) <= 1.25 * sum(uses) / upstreams + 3


@settings(deadline=None, derandomize=True, max_examples=40)
@given(ZONES, st.integers(6, 30), st.integers(6, 30), st.integers(0, 99))
def test_an_added_upstream_changes_few_subsets_and_gets_its_share(zones, each, upstreams, seed):
    ups = upstream_rows(upstreams * zones + 1, zones, seed)
    fewer = [up for up in ups if up[3] != upstreams * zones]
    before, after = (own_zone_subsets(told, zones, each * zones, 5.0, 3) for told in (fewer, ups))
    new = sum(len(now - then) for now, then in zip(after, before, strict=True))
    assert sum(up[3] == upstreams * zones for subset in after for up in subset) >= 4
    assert new <= 60  # the new one needs 5; the mean is below 15, with more where the minimum size binds


@settings(deadline=None, derandomize=True, max_examples=40)
@given(st.integers(6, 30), st.integers(6, 30), st.integers(0, 99))
def test_a_count_wrong_by_two_or_a_number_used_twice_keeps_the_balance(each, upstreams, seed):
    ups, sidecars = upstream_rows(upstreams * 3, 3, seed), each * 3
    numbers = [*range(sidecars - 1), 0]
    right, wrong = (
        own_zone_subsets(ups, 3, sidecars, 5.0, 3),
        own_zone_subsets(ups, 3, sidecars - 2, 5.0, 3, numbers),
    )
    mixed_up = right[: sidecars // 2] + wrong[sidecars // 2 :]
    for subsets in (wrong, mixed_up):
        uses = [
            sum(up[3] == number for subset in subsets for up in subset) for number in range(upstreams * 3)
        ]
        assert min(uses) >= 2 and max(uses) <= 2.5 * sum(uses) / len(uses) and all(subsets)


def test_a_large_upstream_is_in_more_subsets_and_equal_hashes_leave_no_subset_short():
    ups = upstream_rows(30, 1, 1, lambda number: 3.0 if number == 4 else 1.0)
    subsets = own_zone_subsets(ups, 1, 60, 10.0, 3)
    uses = [sum(up[3] == number for subset in subsets for up in subset) for number in range(30)]
    assert uses[4] > 2 * sum(uses) / 32
    alike = [(7, 1.0, 0, number) for number in range(12)]
    assert all(len(subset) >= 3 for subset in own_zone_subsets(alike, 1, 40, 5.0, 3))
    assert dealt([], 3, 1, 9, 5.0, 0.0, 3) == set()
