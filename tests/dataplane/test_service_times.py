"""The upper estimates of how long a service's requests take, from recent answers."""

from math import inf

import pytest

from shedgrade.dataplane.service_times import MIN_SAMPLES, SAFETY_FACTOR, ServiceTimes


@pytest.fixture
def times():
    times = ServiceTimes()
    times.tokens_per_event = 5.0
    for _ in range(MIN_SAMPLES):
        times.record_stream(first_s=0.2, rest_s=0.9, events=10, prompt_tokens=1000)
        times.record_answer(0.1)
    return times


def test_too_few_samples_give_no_estimate():
    times = ServiceTimes()
    assert times.longest_answer() == times.longest_stream(100, 100) == inf


def test_a_stream_is_estimated_by_its_maximum_tokens_at_the_slowest_pace(times):
    assert times.longest_stream(1000, 200) == pytest.approx(SAFETY_FACTOR * (0.2 + 40 * 0.1))
    times.record_stream(first_s=0.2, rest_s=1.8, events=10, prompt_tokens=1000)
    assert times.longest_stream(1000, 200) == pytest.approx(SAFETY_FACTOR * (0.2 + 40 * 0.2))


def test_a_prompt_longer_than_all_samples_increases_the_estimate(times):
    assert times.longest_stream(3000, 5) == pytest.approx(SAFETY_FACTOR * (0.6 + 0.1))


def test_a_stream_without_maximum_tokens_has_no_estimate(times):
    assert times.longest_stream(1000, 0) == inf


def test_streams_of_one_event_give_no_pace():
    times = ServiceTimes()
    for _ in range(MIN_SAMPLES):
        times.record_stream(first_s=0.2, rest_s=0.0, events=1, prompt_tokens=1000)
    assert times.longest_stream(1000, 5) == inf


def test_the_slowest_answer_counts_until_enough_later_samples(times):
    times.record_answer(2.0)
    assert times.longest_answer() == pytest.approx(SAFETY_FACTOR * 2.0)
    for _ in range(64):
        times.record_answer(0.1)
    assert times.longest_answer() == pytest.approx(SAFETY_FACTOR * 0.1)
