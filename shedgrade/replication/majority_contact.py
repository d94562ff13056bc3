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
    `sent`: (number, time) of the newest heartbeat rounds, oldest first.
    `acknowledged`: by member, send time of the newest round that it acknowledged.
    """

    def __init__(self, began: float = NEVER) -> None:
        """`began`: the time as of which the epoch itself was confirmed."""
        self.confirmed_at = began
        self.sent: deque[tuple[int, float]] = deque(maxlen=ROUNDS_KEPT)
        self.acknowledged: dict[int, float] = {}

    def round_sent(self, now: float, number: int) -> None:
        """Records the send time of a heartbeat round. Numbers increase."""
        self.sent.append((number, now))

    def round_acknowledged(self, member: int, number: int) -> None:
        """Records an acknowledgement. `number`: the newest round received, also one between heartbeats."""
        for sent, at in reversed(self.sent):
            if sent <= number:
                self.acknowledged[member] = max(at, self.acknowledged.get(member, NEVER))
                return

    def confirm(self, now: float, others: Iterable[int], needed: int) -> float:
        """Returns the latest time as of which a majority confirmed the primary.

        `others`: the members other than the primary.
        `needed`: how many of them form a majority together with the primary.
        """
        times = sorted((self.acknowledged.get(member, NEVER) for member in others), reverse=True)
        newest = now if needed == 0 else times[needed - 1] if needed <= len(times) else NEVER
        self.confirmed_at = max(self.confirmed_at, newest)
        return self.confirmed_at
