"""A weighted split sends requests to its services in proportion to the weights, also over few requests."""

from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from ingress_rig import route, split

from shedgrade.dataplane.routes import ServedRoute


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
