"""A process that is told to end waits for other members, and ends before it is killed."""

import pytest

from shedgrade.controlplane.plane import LINGER_S, leave_timeout_s


@pytest.mark.parametrize("grace_s", [0.5, 1.0, 2.0, 4.0, 8.0, 30.0])
def test_a_leave_ends_before_the_grace_period_and_uses_most_of_a_long_one(grace_s):
    timeout_s = leave_timeout_s(grace_s)
    assert grace_s / 2 <= timeout_s < grace_s
    assert grace_s < 4.0 or timeout_s + LINGER_S == pytest.approx(grace_s - 1.0)
