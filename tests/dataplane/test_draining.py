"""What a process that was told to end still takes, and when it ends."""

from math import inf

import pytest

from shedgrade.dataplane.draining import (
    ENDS,
    ENDS_IN_HAND,
    LEAST_TAKEN,
    STARTS_AGAIN,
    TAKES_ALL,
    WORD_HOLDS,
    Drain,
)

GRACE = 8.0
SIGTERM = 100.0
LAST = SIGTERM + GRACE - ENDS_IN_HAND  # when what is in hand is ended


@pytest.fixture
def drain():
    return Drain(SIGTERM, GRACE, served=True)


def test_all_that_comes_at_first_is_taken(drain):
    """Clients hold addresses that long, and what is cut after that counts as planned."""
    assert drain.takes(SIGTERM + TAKES_ALL, inf) and not drain.takes(SIGTERM + TAKES_ALL + 0.01, inf)
    assert TAKES_ALL < 3.0


def test_then_only_what_ends_in_time_is_taken(drain):
    assert drain.takes(LAST - 1.5, 1.5) and not drain.takes(LAST - 1.49, 1.5)


def test_it_is_closed_once_the_shortest_does_not_fit(drain):
    assert not drain.closed(LAST - LEAST_TAKEN) and drain.closed(LAST - LEAST_TAKEN + 0.01)


def test_it_stays_to_the_end_of_the_grace_while_nobody_else_serves(drain):
    assert not drain.may_end(SIGTERM + TAKES_ALL + 0.01)
    drain.told(SIGTERM + 3.0, covered=False)
    assert not drain.may_end(SIGTERM + 3.0)
    assert drain.may_end(SIGTERM + GRACE - ENDS)


def test_it_ends_soon_where_others_serve(drain):
    drain.told(SIGTERM + 0.5, covered=True)
    assert not drain.may_end(SIGTERM + 0.5)
    drain.told(SIGTERM + TAKES_ALL, covered=True)
    assert drain.may_end(SIGTERM + TAKES_ALL + 0.1)


def test_a_word_that_is_old_counts_for_nothing(drain):
    """The others may have been told to end as well, and the control plane may be out of reach."""
    drain.told(SIGTERM + 2.0, covered=True)
    assert drain.others_serve(SIGTERM + 2.0 + WORD_HOLDS)
    assert not drain.others_serve(SIGTERM + 2.01 + WORD_HOLDS)


def test_who_served_nobody_is_needed_by_nobody():
    assert Drain(SIGTERM, GRACE, served=False).may_end(SIGTERM + TAKES_ALL + 0.01)


def test_a_refused_client_is_told_when_somebody_serves_again(drain):
    assert drain.returns_in(SIGTERM + 5.0) == pytest.approx(GRACE + STARTS_AGAIN - 5.0)
    drain.told(SIGTERM + 5.0, covered=True)
    assert drain.returns_in(SIGTERM + 5.0) is None


def test_a_grace_that_is_shorter_than_the_time_in_which_all_is_taken():
    short = Drain(SIGTERM, 1.0, served=True)
    assert short.ends_in_hand_at <= short.ends_at and short.may_end(short.ends_at + 0.01)
