"""When a follower acknowledged the rounds of its primary, by its own clock: how old a heartbeat can be.

A heartbeat may be under way for seconds: the kernel sends again what a broken path held back, and the
receiver cannot tell from the bytes. So a heartbeat names the newest round whose acknowledgement had reached
the primary. It was sent after that, hence after this process sent that acknowledgement: a bound of its age
that needs no clock but the own one.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

NEVER = float("-inf")
LEAST_BETWEEN_S = 0.02  # acknowledgements that follow on one another faster are kept as one
TIMES_KEPT = 128


class AcknowledgedRound(NamedTuple):
    """A round, and when its acknowledgement was sent (seconds of the steady clock)."""

    number: int
    at: float


class AcknowledgementTimes:
    """Of one follower, for the primary of one epoch.

    `epoch`: whose rounds these are.
    `rounds`: the newest rounds acknowledged, oldest first. Invariant: numbers and times grow.
    """

    def __init__(self) -> None:
        self.epoch = 0
        self.rounds: deque[AcknowledgedRound] = deque(maxlen=TIMES_KEPT)

    def note(self, now: float, epoch: int, number: int) -> None:
        """An acknowledgement of that round is sent now."""
        if epoch != self.epoch:
            self.epoch = epoch
            self.rounds.clear()
        last = self.rounds[-1] if self.rounds else AcknowledgedRound(0, NEVER)
        if number > last.number and now >= last.at + LEAST_BETWEEN_S:
            self.rounds.append(AcknowledgedRound(number, now))

    def sent_after(self, epoch: int, number: int) -> float:
        """A heartbeat of this epoch that names this round as acknowledged was sent after that time; `NEVER`
        if nothing is known.
        """
        if epoch != self.epoch:
            return NEVER
        return next((each.at for each in reversed(self.rounds) if each.number <= number), NEVER)

    def check_invariants(self) -> None:
        """Raises AssertionError if an attribute contradicts another."""
        kept = list(self.rounds)
        assert kept == sorted(kept, key=lambda each: each.number), "rounds out of order"
        assert kept == sorted(kept, key=lambda each: each.at), "times out of order"
