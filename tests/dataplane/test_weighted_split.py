"""A weighted split sends requests to its services in proportion to the weights, also over few requests."""

from collections import Counter
from fractions import Fraction
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from ingress_rig import route, split

from shedgrade.configuration import Split
from shedgrade.served_routes import ServedRoute


def shares(weights, requests, edges, seed):
    """The share of all requests by service. Edges take requests in turn, each edge with its own start."""
    random = Random(seed)
    served = [ServedRoute(route(service=None, weighted_split=split(**weights)), {}) for _ in range(edges)]
    counts = Counter(served[number % edges].choose_service(random) for number in range(requests))
    return {name: counts[name] / requests for name in weights}


@pytest.mark.parametrize("edges", [1, 6, 67])
def test_the_shares_of_three_hundred_requests_are_the_weights(edges):
    for seed in range(20):
        actual_shares = shares({"new": 10, "old": 90}, 300, edges, seed)
        assert actual_shares["new"] == pytest.approx(0.1, abs=0.02 if edges < 60 else 0.04)


@given(st.lists(st.integers(0, 100), min_size=2, max_size=5).filter(any), st.integers(0, 1000))
def test_shares_match_the_weights_and_weight_0_gets_no_requests(weights, seed):
    named = {f"s{number}": weight for number, weight in enumerate(weights)}
    actual_shares = shares(named, 500, 1, seed)
    for name, weight in named.items():
        assert actual_shares[name] == pytest.approx(weight / sum(weights), abs=0.02)
        assert weight or not actual_shares[name]


def test_a_route_with_one_service_uses_no_random_number():
    assert ServedRoute(route(), {}).choose_service(None) == "lm"


# Accepted weights of any size, each case with the shares that it means.
EXACT_SPLITS = (
    ((5e-324, 5e-324), (1 / 2, 1 / 2)),
    ((5e-324, 1e-323), (1 / 3, 2 / 3)),
    ((1e-320, 3e-320, 5e-324), (1 / 4, 3 / 4, 0)),
    ((9e15, 1e15), (9 / 10, 1 / 10)),
    ((9e300, 1e300), (9 / 10, 1 / 10)),
    ((1.7976931348623157e308, 1.7976931348623157e308), (1 / 2, 1 / 2)),
    ((1.2e308, 1.2e308, 0.8e308, 0.8e308), (0.3, 0.3, 0.2, 0.2)),
    ((10**400, 4 * 10**400), (1 / 5, 4 / 5)),
    ((10**400, 1.5), (1, 0)),
    ((1.7976931348623157e308, 5e-324), (1, 0)),
    ((2**53, 2**53 + 1), (1 / 2, 1 / 2)),
    ((0.1, 0.2, 0.7), (0.1, 0.2, 0.7)),
    ((0, 5e-324), (0, 1)),
)


@pytest.mark.parametrize(("weights", "expected"), EXACT_SPLITS, ids=range(len(EXACT_SPLITS)))
def test_weights_of_any_size_are_served_in_their_proportion(weights, expected):
    """Guards against shares that are rounded or limited, and against a draw beyond the last service."""
    named = {f"s{number}": weight for number, weight in enumerate(weights)}
    for seed in range(5):
        actual_shares = shares(named, 4000, 1, seed)
        assert list(actual_shares.values()) == pytest.approx(expected, abs=0.003)


def test_the_weights_of_a_service_that_is_named_twice_are_added():
    largest = 1.7976931348623157e308
    named_twice = [Split("a", largest), Split("b", largest), Split("a", largest)]
    served = ServedRoute(route(service=None, weighted_split=named_twice), {})
    counts = Counter(served.choose_service(Random(3)) for _ in range(3000))
    assert counts["a"] / 3000 == pytest.approx(2 / 3, abs=0.003)


@given(
    st.lists(st.floats(0, 1.7976931348623157e308), min_size=2, max_size=5).filter(any), st.integers(0, 1000)
)
def test_a_split_of_any_doubles_names_a_service_for_each_request(weights, seed):
    named = {f"s{number}": weight for number, weight in enumerate(weights)}
    total = sum(map(Fraction, weights))
    actual_shares = shares(named, 500, 1, seed)
    for name, weight in named.items():
        assert actual_shares[name] == pytest.approx(float(Fraction(weight) / total), abs=0.02)
