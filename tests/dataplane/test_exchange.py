"""The time by which a request in flight is answered at the latest, as a draining process estimates it."""

from types import SimpleNamespace

import pytest

from shedgrade.dataplane.exchange import TICKS_PER_SECOND, Exchange
from shedgrade.in_flight import Request

NOW = 1_000_000  # tenths of a ms


@pytest.mark.parametrize(("longest_s", "expected_s"), [(2.0, 2.0), (9.0, 4.0), (float("inf"), 4.0)])
def test_the_estimate_is_bounded_by_service_times_and_client_timeout(longest_s, expected_s):
    calls = []
    times = SimpleNamespace(longest=lambda *arguments: calls.append(arguments) or longest_s)
    service = SimpleNamespace(clock=SimpleNamespace(now=lambda: NOW), times=times)
    request = Request(b"id", b"POST", b"/a/", [], b"")
    exchange = Exchange(None, request, service, None, True, None, NOW + 4 * TICKS_PER_SECOND, (1460, 80))
    assert exchange.latest_response_at() == NOW + expected_s * TICKS_PER_SECOND
    assert calls == [(True, (1460, 80))]
