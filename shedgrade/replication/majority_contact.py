"""When a primary was last confirmed by a majority of the members.

Source: the read-index round of Raft (Ongaro and Ousterhout, 2014), carried by the regular heartbeats: an
acknowledgement proves that its sender had promised nothing higher when the heartbeat reached it, hence
still at the moment the heartbeat was sent.
"""

from collections import deque
from collections.abc import Iterable

NEVER = float("-inf")
ROUNDS_KEPT = 16  # heartbeat rounds whose acknowledgement still counts


class MajorityContact:
    """Of one primary, for one epoch. Times are seconds of its own steady clock; members are incarnations.

    `confirmed_at`: as of when a majority last confirmed the primary. Never goes back.
    `sent`: (number, time) of the newest heartbeat rounds, oldest first.
    `acknowledged`: by member, when the newest round that it acknowledged was sent.
    """

    def __init__(self, began: float = NEVER) -> None:
        """`began`: as of when the epoch itself was confirmed."""
        self.confirmed_at = began
        self.sent: deque[tuple[int, float]] = deque(maxlen=ROUNDS_KEPT)
        self.acknowledged: dict[int, float] = {}

    def round_sent(self, now: float, number: int) -> None:
        """A heartbeat round goes out. Numbers grow."""
        self.sent.append((number, now))

    def round_acknowledged(self, member: int, number: int) -> None:
        """A member answered. `number`: the newest round that reached it, also one sent between heartbeats."""
        for sent, at in reversed(self.sent):
            if sent <= number:
                self.acknowledged[member] = max(at, self.acknowledged.get(member, NEVER))
                return

    def confirm(self, now: float, others: Iterable[int], needed: int) -> float:
        """`others`: the members beside the primary, of which `needed` make a majority with it. Returns as of
        when one last confirmed the primary.
        """
        times = sorted((self.acknowledged.get(member, NEVER) for member in others), reverse=True)
        newest = now if needed == 0 else times[needed - 1] if needed <= len(times) else NEVER
        self.confirmed_at = max(self.confirmed_at, newest)
        return self.confirmed_at
