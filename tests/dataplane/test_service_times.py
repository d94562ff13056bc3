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


def test_nothing_is_said_of_what_was_hardly_seen():
    times = ServiceTimes()
    assert times.longest_answer() == times.longest_stream(100, 100) == inf


def test_a_stream_goes_on_for_as_many_tokens_as_its_client_allows_at_the_slowest_pace(times):
    assert times.longest_stream(1000, 200) == pytest.approx(SAFETY_FACTOR * (0.2 + 40 * 0.1))
    times.record_stream(first_s=0.2, rest_s=1.8, events=10, prompt_tokens=1000)
    assert times.longest_stream(1000, 200) == pytest.approx(SAFETY_FACTOR * (0.2 + 40 * 0.2))


def test_a_prompt_longer_than_any_takes_longer_to_read(times):
    assert times.longest_stream(3000, 5) == pytest.approx(SAFETY_FACTOR * (0.6 + 0.1))


def test_a_stream_that_does_not_say_its_most_may_last_for_ever(times):
    assert times.longest_stream(1000, 0) == inf


def test_streams_of_one_event_say_nothing_of_the_pace():
    times = ServiceTimes()
    for _ in range(MIN_SAMPLES):
        times.record_stream(first_s=0.2, rest_s=0.0, events=1, prompt_tokens=1000)
    assert times.longest_stream(1000, 5) == inf


def test_the_slowest_answer_counts_until_many_came_after_it(times):
    times.record_answer(2.0)
    assert times.longest_answer() == pytest.approx(SAFETY_FACTOR * 2.0)
    for _ in range(64):
        times.record_answer(0.1)
    assert times.longest_answer() == pytest.approx(SAFETY_FACTOR * 0.1)
