"""Graceful shutdown of a data plane process from SIGTERM to its exit: which requests it still accepts, and
when it exits.

A machine serves again soon after its process has exited, so a draining process exits as early as it can. At
first it accepts all requests, since clients keep its address for a while. Then it accepts only requests that
end no later than those in flight, so that no accepted request delays the exit. It exits as soon as nothing is
in flight. When all edges of a region are shut down at the same time, some exit first and drain faster while
the others take over their clients; the control plane decides which exit first.

No I/O; times are seconds on a steady clock, passed in by the caller.
"""

from math import inf

from shedgrade.control_messages import LEAVING, NO_DRAIN_TARGET, READY

ACCEPT_ALL_S = 2.8  # time after SIGTERM in which all requests are accepted, as clients keep addresses so long
ACCEPT_ALL_FIRST_S = 0.5  # the same for a process that exits before others that take over its clients
CANCEL_BEFORE_KILL_S = 0.6  # requests still in flight are cancelled this long before SIGKILL
EXIT_BEFORE_KILL_S = 0.25  # the process exits this long before SIGKILL, even if requests are still in flight
RESTART_S = 1.0  # from the exit of a process until the machine's next process serves
DRAIN_TARGET_VALID_S = (
    1.5  # validity of the control plane's statement on who takes over: three watch requests
)


class Draining:
    """The drain of one process.

    Attributes:
        started_at: when SIGTERM was received.
        cancel_at: when requests still in flight are cancelled; never before the process has stopped accepting
            all requests.
        exit_at: when the process exits at the latest; not before `cancel_at`.
        drain_target: the edges that take over the clients as the control plane says: READY ones, ones that
            are LEAVING later, or NO_DRAIN_TARGET.
        drain_target_received_at: when `drain_target` was received; -inf if it never was.
    """

    def __init__(self, now: float, grace_s: float) -> None:
        """`grace_s`: time from SIGTERM to SIGKILL."""
        self.started_at = now
        self.cancel_at = now + max(ACCEPT_ALL_S, grace_s - CANCEL_BEFORE_KILL_S)
        self.exit_at = max(self.cancel_at, now + grace_s - EXIT_BEFORE_KILL_S)
        self.drain_target = NO_DRAIN_TARGET
        self.drain_target_received_at = -inf

    def on_drain_target(self, now: float, drain_target: str) -> None:
        """Records the control plane's statement on which edges take over the clients."""
        self.drain_target = drain_target
        self.drain_target_received_at = now

    def current_drain_target(self, now: float) -> str:
        """The edges that take over the clients, as far as known.

        Guards against unknown state: without a recent statement, the other edges may have exited too.
        """
        return (
            self.drain_target
            if now - self.drain_target_received_at <= DRAIN_TARGET_VALID_S
            else NO_DRAIN_TARGET
        )

    def accepts_all(self, now: float) -> bool:
        """Whether all requests are still accepted."""
        first = self.current_drain_target(now) == LEAVING
        return now - self.started_at <= (ACCEPT_ALL_FIRST_S if first else ACCEPT_ALL_S)

    def accepts(self, now: float, longest_s: float, in_flight_until: float) -> bool:
        """Whether a request is accepted that may take `longest_s` (infinity if unknown), when the requests in
        flight may end at `in_flight_until`."""
        return self.accepts_all(now) or now + longest_s <= min(in_flight_until, self.cancel_at)

    def may_exit(self, now: float) -> bool:
        """Whether the process may exit once nothing is in flight."""
        return not self.accepts_all(now)

    def retry_after_s(self, now: float, in_flight_until: float) -> float:
        """The time after which a rejected client finds an edge that serves; 0 if others serve already."""
        if self.current_drain_target(now) in (READY, LEAVING):
            return 0.0
        return max(now, min(in_flight_until, self.cancel_at)) + RESTART_S - now

    def check_invariants(self) -> None:
        """Checks the documented properties of the attributes. AssertionError if one doesn't hold."""
        assert self.started_at + ACCEPT_ALL_S <= self.cancel_at <= self.exit_at, self.exit_at
        assert self.drain_target in (READY, LEAVING, NO_DRAIN_TARGET), self.drain_target
        assert self.drain_target == NO_DRAIN_TARGET or self.drain_target_received_at > -inf
