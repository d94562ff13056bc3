"""Records when a follower acknowledged the primary's rounds, on its own clock, to bound a heartbeat's age.

A round is a numbered request of the primary to confirm that it is still the primary; heartbeats carry it.

A heartbeat may be in transit for seconds, since the kernel retransmits what a broken path delayed, and the
receiver cannot tell that from the bytes. Each heartbeat therefore names the newest round whose
acknowledgement had reached the primary. It was sent after that, hence after this process sent that
acknowledgement. The bound on its age needs no clock but the receiver's own.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

NEVER = float("-inf")
MIN_INTERVAL_S = 0.02  # of acknowledgements at shorter intervals only the first is kept
MAX_ROUNDS = 128


class AcknowledgedRound(NamedTuple):
    """A round, and when its acknowledgement was sent, in seconds of the steady clock."""

    number: int
    sent_at: float


class AcknowledgementTimes:
    """The times at which one follower acknowledged the rounds of one epoch.

    `epoch`: the epoch of the rounds.
    `rounds`: the newest rounds acknowledged, oldest first. Invariant: numbers and times increase.
    """

    def __init__(self) -> None:
        self.epoch = 0
        self.rounds: deque[AcknowledgedRound] = deque(maxlen=MAX_ROUNDS)

    def record(self, now: float, epoch: int, number: int) -> None:
        """Records that an acknowledgement of the round `number` is sent now."""
        if epoch != self.epoch:
            self.epoch = epoch
            self.rounds.clear()
        last = self.rounds[-1] if self.rounds else AcknowledgedRound(0, NEVER)
        if number > last.number and now >= last.sent_at + MIN_INTERVAL_S:
            self.rounds.append(AcknowledgedRound(number, now))

    def earliest_sending_time(self, epoch: int, number: int) -> float:
        """Returns a time after which a heartbeat that names the round `number` as acknowledged was sent.

        `NEVER` if no bound is known.
        """
        if epoch != self.epoch:
            return NEVER
        return next((each.sent_at for each in reversed(self.rounds) if each.number <= number), NEVER)

    def check_invariants(self) -> None:
        """Raises AssertionError if an attribute contradicts another."""
        kept = list(self.rounds)
        assert kept == sorted(kept, key=lambda each: each.number), "round numbers out of order"
        assert kept == sorted(kept, key=lambda each: each.sent_at), "acknowledgement times out of order"
