"""A process that is told to end waits for the others, and ends before it is killed."""

import pytest

from shedgrade.controlplane.plane import LINGER_S, leave_timeout_s


@pytest.mark.parametrize("grace", [0.5, 1.0, 2.0, 4.0, 8.0, 30.0])
def test_a_leave_ends_before_the_grace_and_uses_most_of_a_long_one(grace):
    patience = leave_timeout_s(grace)
    assert grace / 2 <= patience < grace
    assert grace < 4.0 or patience + LINGER_S == pytest.approx(grace - 1.0)
