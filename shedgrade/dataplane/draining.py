"""From SIGTERM to the end of a data plane's process: what it still takes, what it says, and when it ends.

A machine serves again soon after its process has ended, so a process that was told to end makes haste: at
first it takes all that comes, as clients hold its address for a while; then only what ends no later than what
it has in hand may end, so that nothing it takes makes it stay; and it ends as soon as nothing is in hand.
Where all edges of a region are told to end at once, those that go first make more haste, and the others take
their clients meanwhile; the control plane says who goes first. Sans I/O: times are seconds of a steady clock,
handed in.
"""

from math import inf

from shedgrade.control_messages import LEAVING, NO_DRAIN_TARGET, READY

TAKES_ALL = 2.8  # s after SIGTERM in which all that comes is served: clients hold addresses so long
TAKES_ALL_FIRST = 0.5  # the same for who goes before others that take its clients
ENDS_IN_HAND = 0.6  # s before SIGKILL at which whatever is still in hand is ended
ENDS = 0.25  # s before SIGKILL at which the process ends, whatever still comes
STARTS_AGAIN = 1.0  # s from the end of a process to the machine's next one that serves
WORD_HOLDS = 1.5  # s for which the control plane's word on who takes over counts: three asks


class Drain:
    """One process that was told to end."""

    def __init__(self, now: float, grace_s: float) -> None:
        """`grace_s`: from SIGTERM to SIGKILL."""
        self.began = now
        self.ends_in_hand_at = now + max(TAKES_ALL, grace_s - ENDS_IN_HAND)
        self.ends_at = max(self.ends_in_hand_at, now + grace_s - ENDS)
        self.cover, self.told_at = NO_DRAIN_TARGET, -inf

    def told(self, now: float, cover: str) -> None:
        """The control plane's word on the edges that take over the clients: READY ones, others that are
        LEAVING later, or NO_DRAIN_TARGET."""
        self.cover, self.told_at = cover, now

    def covered_by(self, now: float) -> str:
        """Guards against what is not known: without a word, or with an old one, others may have ended too."""
        return self.cover if now - self.told_at <= WORD_HOLDS else NO_DRAIN_TARGET

    def takes_all(self, now: float) -> bool:
        spent = now - self.began
        return spent <= (TAKES_ALL_FIRST if self.covered_by(now) == LEAVING else TAKES_ALL)

    def takes(self, now: float, longest_s: float, in_hand_until: float) -> bool:
        """Whether a request is taken that may need `longest_s` (infinity: not known), where what is in hand
        may end at `in_hand_until`."""
        return self.takes_all(now) or now + longest_s <= min(in_hand_until, self.ends_in_hand_at)

    def may_end(self, now: float) -> bool:
        """The process may end when nothing is in hand."""
        return not self.takes_all(now)

    def returns_in(self, now: float, in_hand_until: float) -> float:
        """s after which a refused client finds somebody: 0 where others take it already."""
        if self.covered_by(now) in (READY, LEAVING):
            return 0.0
        return max(now, min(in_hand_until, self.ends_in_hand_at)) + STARTS_AGAIN - now
