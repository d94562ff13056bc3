"""From SIGTERM to the end of a data plane's process: what it still takes, what it says, and when it ends.

The machine of a process that was told to end comes back only after the grace, however soon the process ends.
So while no other edge can take a client's requests, this one stays and takes what it can still answer whole;
the rest is refused at once, with when to come back. Once others can, it ends as soon as nothing is in hand.
Sans I/O: times are seconds of a steady clock, handed in.
"""
from math import inf

TAKES_ALL = 2.8         # s after SIGTERM in which all that comes is served: clients hold addresses so long
ENDS_IN_HAND = 0.6      # s before SIGKILL at which whatever is still in hand is ended
ENDS = 0.25             # s before SIGKILL at which the process ends, whatever still comes
LEAST_TAKEN = 0.5       # s that the shortest requests need: with less left nothing is taken
STARTS_AGAIN = 1.2      # s after SIGKILL's time at which the machine's next process serves
WORD_HOLDS = 1.5        # s for which the control plane's word that others serve counts: three asks


class Drain:
    """One process that was told to end."""

    def __init__(self, now: float, grace_s: float, served: bool) -> None:
        """`grace_s`: from SIGTERM to SIGKILL. `served`: requests could be served when SIGTERM came."""
        self.began, self.killed_at, self.served = now, now + grace_s, served
        self.ends_in_hand_at = now + max(TAKES_ALL, grace_s - ENDS_IN_HAND)
        self.ends_at = max(self.ends_in_hand_at, self.killed_at - ENDS)
        self.covered, self.told_at = False, -inf

    def told(self, now: float, covered: bool) -> None:
        """The control plane's word: whether other edges take all that clients would bring here."""
        self.covered, self.told_at = covered, now

    def others_serve(self, now: float) -> bool:
        """Nobody needs this process.

        Guards against what is not known: without a word, or with an old one, others may have ended too.
        """
        return not self.served or (self.covered and now - self.told_at <= WORD_HOLDS)

    def takes(self, now: float, expected_s: float) -> bool:
        """Whether a request is taken that may need `expected_s` at the most (infinity: not known)."""
        return now - self.began <= TAKES_ALL or now + expected_s <= self.ends_in_hand_at

    def closed(self, now: float) -> bool:
        """Nothing is taken any more, however short."""
        return now - self.began > TAKES_ALL and now + LEAST_TAKEN > self.ends_in_hand_at

    def may_end(self, now: float) -> bool:
        """The process may end when nothing is in hand."""
        return now - self.began > TAKES_ALL and (self.others_serve(now) or now >= self.ends_at)

    def returns_in(self, now: float) -> float | None:
        """s after which a refused client finds somebody again; None where others serve already."""
        return None if self.others_serve(now) else self.killed_at + STARTS_AGAIN - now
