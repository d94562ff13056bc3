"""Tracks when a primary was last confirmed by a majority of the members.

Source: the read-index round of Raft (Ongaro and Ousterhout, 2014), carried by the regular heartbeats. An
acknowledgement proves that its sender had promised no higher epoch when the heartbeat arrived, and therefore
none when the heartbeat was sent.
"""

from collections import deque
from collections.abc import Iterable

NEVER = float("-inf")
ROUNDS_KEPT = 16  # acknowledgements of older heartbeat rounds are ignored


class MajorityContact:
    """Confirmations of one primary in one epoch.

    Times are seconds of the primary's own steady clock; members are identified by incarnation.

    `confirmed_at`: the latest time as of which a majority confirmed the primary. Never decreases.
    `sent_rounds`: (number, time) of the newest heartbeat rounds, oldest first.
    `acknowledged_sent_at`: by member, send time of the newest round that it acknowledged.
    """

    def __init__(self, epoch_confirmed_at: float = NEVER) -> None:
        """`epoch_confirmed_at`: the time as of which the epoch itself was confirmed."""
        self.confirmed_at = epoch_confirmed_at
        self.sent_rounds: deque[tuple[int, float]] = deque(maxlen=ROUNDS_KEPT)
        self.acknowledged_sent_at: dict[int, float] = {}

    def record_round_sent(self, now: float, number: int) -> None:
        """Records the send time of a heartbeat round. Numbers increase."""
        self.sent_rounds.append((number, now))

    def record_acknowledgement(self, member: int, number: int) -> None:
        """Records an acknowledgement. `number`: the newest round received, also one between heartbeats."""
        for sent, at in reversed(self.sent_rounds):
            if sent <= number:
                self.acknowledged_sent_at[member] = max(at, self.acknowledged_sent_at.get(member, NEVER))
                return

    def confirm(self, now: float, others: Iterable[int], needed: int) -> float:
        """Returns the latest time as of which a majority confirmed the primary.

        `others`: the members other than the primary.
        `needed`: how many of them form a majority together with the primary.
        """
        times = sorted((self.acknowledged_sent_at.get(member, NEVER) for member in others), reverse=True)
        newest = now if needed == 0 else times[needed - 1] if needed <= len(times) else NEVER
        self.confirmed_at = max(self.confirmed_at, newest)
        return self.confirmed_at
