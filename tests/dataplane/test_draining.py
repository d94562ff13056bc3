"""Which requests a process that is shutting down still accepts, and when it exits."""

from math import inf

import pytest

from shedgrade.control_messages import LEAVING, NO_DRAIN_TARGET, READY
from shedgrade.dataplane.draining import (
    ACCEPT_ALL_FIRST_S,
    ACCEPT_ALL_S,
    CANCEL_BEFORE_KILL_S,
    DRAIN_TARGET_VALID_S,
    EXIT_BEFORE_KILL_S,
    RESTART_S,
    Draining,
)

GRACE = 8.0
SIGTERM = 100.0
AFTER = SIGTERM + ACCEPT_ALL_S + 0.01  # no longer are all requests accepted


@pytest.fixture
def draining():
    state = Draining(SIGTERM, GRACE)
    yield state
    state.check_invariants()


@pytest.mark.parametrize("drain_target", [READY, NO_DRAIN_TARGET])
def test_all_requests_are_accepted_at_first(draining, drain_target):
    """Clients keep addresses this long; a request that is cut off later counts as planned."""
    draining.on_drain_target(SIGTERM + ACCEPT_ALL_S, drain_target)
    assert draining.accepts(SIGTERM + ACCEPT_ALL_S, inf, SIGTERM) and not draining.accepts(AFTER, inf, inf)
    assert not draining.may_exit(SIGTERM + ACCEPT_ALL_S) and draining.may_exit(AFTER)
    assert ACCEPT_ALL_S < 3.0


def test_a_process_that_exits_before_others_of_its_region_drains_faster(draining):
    """It serves again while the others still take its clients."""
    draining.on_drain_target(SIGTERM + ACCEPT_ALL_FIRST_S, LEAVING)
    assert not draining.may_exit(SIGTERM + ACCEPT_ALL_FIRST_S)
    assert draining.may_exit(SIGTERM + ACCEPT_ALL_FIRST_S + 0.01)
    assert not draining.accepts(SIGTERM + ACCEPT_ALL_FIRST_S + 0.01, inf, inf)


def test_then_only_requests_that_end_before_those_in_flight_are_accepted(draining):
    assert draining.accepts(AFTER, 1.5, AFTER + 1.6) and not draining.accepts(AFTER, 1.5, AFTER + 1.4)


def test_no_request_is_accepted_that_may_outlast_the_grace_period(draining):
    last = SIGTERM + GRACE - CANCEL_BEFORE_KILL_S
    assert draining.accepts(last - 1.6, 1.5, inf) and not draining.accepts(last - 1.4, 1.5, inf)
    assert draining.exit_at == SIGTERM + GRACE - EXIT_BEFORE_KILL_S


def test_an_outdated_cover_is_ignored(draining):
    """The others may have been shut down as well, and the control plane may be unreachable."""
    assert draining.current_drain_target(SIGTERM) == NO_DRAIN_TARGET
    draining.on_drain_target(SIGTERM + 2.0, READY)
    assert draining.current_drain_target(SIGTERM + 2.0 + DRAIN_TARGET_VALID_S) == READY
    assert draining.current_drain_target(SIGTERM + 2.01 + DRAIN_TARGET_VALID_S) == NO_DRAIN_TARGET


def test_a_rejected_client_gets_the_time_when_an_edge_serves_again(draining):
    """That is when the requests in flight are answered and the machine's next process has started."""
    draining.on_drain_target(AFTER, NO_DRAIN_TARGET)
    assert draining.retry_after_s(AFTER, AFTER + 2.0) == pytest.approx(2.0 + RESTART_S)
    assert draining.retry_after_s(AFTER, AFTER - 1.0) == pytest.approx(RESTART_S)
    latest = draining.cancel_at + RESTART_S
    assert draining.retry_after_s(AFTER, inf) == pytest.approx(latest - AFTER)


@pytest.mark.parametrize("drain_target", [READY, LEAVING])
def test_a_rejected_client_goes_elsewhere_at_once_where_others_serve(draining, drain_target):
    draining.on_drain_target(AFTER, drain_target)
    assert draining.retry_after_s(AFTER, AFTER + 2.0) == 0.0


def test_a_grace_period_shorter_than_the_time_of_accepting_all_requests():
    short = Draining(SIGTERM, 1.0)
    assert SIGTERM < short.cancel_at <= short.exit_at
