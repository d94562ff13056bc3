"""What a process that was told to end still takes, and when it ends."""

from math import inf

import pytest

from shedgrade.control_messages import LEAVING, NO_DRAIN_TARGET, READY
from shedgrade.dataplane.draining import (
    ENDS,
    ENDS_IN_HAND,
    STARTS_AGAIN,
    TAKES_ALL,
    TAKES_ALL_FIRST,
    WORD_HOLDS,
    Drain,
)

GRACE = 8.0
SIGTERM = 100.0
AFTER = SIGTERM + TAKES_ALL + 0.01  # not all that comes is taken any more


@pytest.fixture
def drain():
    return Drain(SIGTERM, GRACE)


@pytest.mark.parametrize("cover", [READY, NO_DRAIN_TARGET])
def test_all_that_comes_at_first_is_taken(drain, cover):
    """Clients hold addresses that long, and what is cut after that counts as planned."""
    drain.told(SIGTERM + TAKES_ALL, cover)
    assert drain.takes(SIGTERM + TAKES_ALL, inf, SIGTERM) and not drain.takes(AFTER, inf, inf)
    assert not drain.may_end(SIGTERM + TAKES_ALL) and drain.may_end(AFTER)
    assert TAKES_ALL < 3.0


def test_who_goes_before_others_of_its_region_makes_more_haste(drain):
    """It is back while they still take its clients."""
    drain.told(SIGTERM + TAKES_ALL_FIRST, LEAVING)
    assert not drain.may_end(SIGTERM + TAKES_ALL_FIRST)
    assert drain.may_end(SIGTERM + TAKES_ALL_FIRST + 0.01)
    assert not drain.takes(SIGTERM + TAKES_ALL_FIRST + 0.01, inf, inf)


def test_then_only_what_keeps_it_no_longer_is_taken(drain):
    assert drain.takes(AFTER, 1.5, AFTER + 1.6) and not drain.takes(AFTER, 1.5, AFTER + 1.4)


def test_nothing_is_taken_that_may_last_beyond_the_grace(drain):
    last = SIGTERM + GRACE - ENDS_IN_HAND
    assert drain.takes(last - 1.6, 1.5, inf) and not drain.takes(last - 1.4, 1.5, inf)
    assert drain.ends_at == SIGTERM + GRACE - ENDS


def test_a_word_that_is_old_counts_for_nothing(drain):
    """The others may have been told to end as well, and the control plane may be out of reach."""
    assert drain.covered_by(SIGTERM) == NO_DRAIN_TARGET
    drain.told(SIGTERM + 2.0, READY)
    assert drain.covered_by(SIGTERM + 2.0 + WORD_HOLDS) == READY
    assert drain.covered_by(SIGTERM + 2.01 + WORD_HOLDS) == NO_DRAIN_TARGET


def test_a_refused_client_is_told_when_somebody_serves_again(drain):
    """Once what is in hand is answered, and the machine's next process has started."""
    drain.told(AFTER, NO_DRAIN_TARGET)
    assert drain.returns_in(AFTER, AFTER + 2.0) == pytest.approx(2.0 + STARTS_AGAIN)
    assert drain.returns_in(AFTER, AFTER - 1.0) == pytest.approx(STARTS_AGAIN)
    latest = drain.ends_in_hand_at + STARTS_AGAIN
    assert drain.returns_in(AFTER, inf) == pytest.approx(latest - AFTER)


@pytest.mark.parametrize("cover", [READY, LEAVING])
def test_a_refused_client_goes_elsewhere_at_once_where_others_serve(drain, cover):
    drain.told(AFTER, cover)
    assert drain.returns_in(AFTER, AFTER + 2.0) == 0.0


def test_a_grace_that_is_shorter_than_the_time_in_which_all_is_taken():
    short = Drain(SIGTERM, 1.0)
    assert SIGTERM < short.ends_in_hand_at <= short.ends_at
