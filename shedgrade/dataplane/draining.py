"""Graceful shutdown of a data plane's process, from SIGTERM to its exit: what it still accepts, and when it
exits.

A machine serves again soon after its process has exited, so a process that was told to end drains fast: at
first it accepts all requests, as clients keep its address for a while; then only what ends no later than what
is in flight may end, so that no request it accepts delays its exit; and it exits as soon as nothing is in
flight. Where all edges of a region are told to end at once, those that exit first drain faster, and the
others take over their clients meanwhile; the control plane says who exits first.

No I/O; times are seconds on a steady clock, handed in.
"""

from math import inf

from shedgrade.control_messages import LEAVING, NO_DRAIN_TARGET, READY

ACCEPT_ALL_S = 2.8  # after SIGTERM, in which all requests are accepted: clients keep addresses so long
ACCEPT_ALL_FIRST_S = 0.5  # the same for a process that exits before others that take over its clients
CANCEL_BEFORE_KILL_S = 0.6  # before SIGKILL, when whatever is still in flight is cancelled
EXIT_BEFORE_KILL_S = 0.25  # before SIGKILL, when the process exits, whatever still comes
RESTART_S = 1.0  # from the exit of a process to the machine's next one that serves
COVER_VALID_S = 1.5  # for which the control plane's word on who takes over counts: three watch requests


class Draining:
    """One process that was told to end.

    Attributes:
        started_at: when it was told to.
        cancel_at: when whatever is still in flight is cancelled; never before all requests have stopped being
            accepted.
        exit_at: when the process exits at the latest; not before `cancel_at`.
        cover: which edges take over the clients, as the control plane said last: READY ones, others that are
            LEAVING later, or NO_DRAIN_TARGET.
        cover_received_at: when it said so; -inf: never.
    """

    def __init__(self, now: float, grace_s: float) -> None:
        """`grace_s`: from SIGTERM to SIGKILL."""
        self.started_at = now
        self.cancel_at = now + max(ACCEPT_ALL_S, grace_s - CANCEL_BEFORE_KILL_S)
        self.exit_at = max(self.cancel_at, now + grace_s - EXIT_BEFORE_KILL_S)
        self.cover = NO_DRAIN_TARGET
        self.cover_received_at = -inf

    def cover_received(self, now: float, cover: str) -> None:
        """The control plane has said which edges take over the clients."""
        self.cover = cover
        self.cover_received_at = now

    def covered_by(self, now: float) -> str:
        """Which edges take over the clients, as far as that is known.

        Guards against what is not known: without a word, or with an old one, others may have exited too.
        """
        return self.cover if now - self.cover_received_at <= COVER_VALID_S else NO_DRAIN_TARGET

    def accepts_all(self, now: float) -> bool:
        """Whether all requests are still accepted."""
        first = self.covered_by(now) == LEAVING
        return now - self.started_at <= (ACCEPT_ALL_FIRST_S if first else ACCEPT_ALL_S)

    def accepts(self, now: float, longest_s: float, in_flight_until: float) -> bool:
        """Whether a request is accepted that may need `longest_s` (infinity: not known), where what is in
        flight may end at `in_flight_until`."""
        return self.accepts_all(now) or now + longest_s <= min(in_flight_until, self.cancel_at)

    def may_exit(self, now: float) -> bool:
        """Whether the process may exit once nothing is in flight."""
        return not self.accepts_all(now)

    def retry_after_s(self, now: float, in_flight_until: float) -> float:
        """After which a rejected client finds an edge that serves: 0 where others do already."""
        if self.covered_by(now) in (READY, LEAVING):
            return 0.0
        return max(now, min(in_flight_until, self.cancel_at)) + RESTART_S - now

    def check_invariants(self) -> None:
        """What holds at any time, see the class. AssertionError if something doesn't."""
        assert self.started_at + ACCEPT_ALL_S <= self.cancel_at <= self.exit_at, self.exit_at
        assert self.cover in (READY, LEAVING, NO_DRAIN_TARGET), self.cover
        assert self.cover == NO_DRAIN_TARGET or self.cover_received_at > -inf
