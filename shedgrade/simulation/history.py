"""The history of a simulated run: what clients and members observed, in order of time.

Terms as in Jepsen: an operation is invoked by a client and completes with a clear outcome, or never. The
history is checked after the run by `checkers`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from shedgrade.simulation.register import Request

if TYPE_CHECKING:
    from shedgrade.replication import Committed
    from shedgrade.simulation.machine import Machine

NEVER = float("inf")

Position = tuple[int, int]  # (epoch, sequence) in the replicated log


class ClientAttempt(NamedTuple):
    """One request of an operation to one machine. Times in s of virtual time."""

    invoked_at: float
    completed_at: float
    machine: str
    outcome: object


class TimeSpan(NamedTuple):
    """From `start` to `end`, in s of virtual time."""

    start: float
    end: float


class LoggedEvent(NamedTuple):
    """One line of the trace: at `time` (s), `event` happened to the machine or links in `subject`."""

    time: float
    event: str
    subject: str


class CommittedRegister(NamedTuple):
    """The register's part of a committed state: its chain of changes and its counter."""

    changes: bytes
    counter: int


@dataclass(slots=True)
class Operation:
    """A client's operation from its invocation to its completion. Times in s of virtual time.

    `request`: None for a read. `outcome`: None as long as there is no clear answer; `completed_at` is then
    infinite.
    """

    request: Request | None
    invoked_at: float
    completed_at: float = NEVER
    outcome: object = None
    attempts: list[ClientAttempt] = field(default_factory=list)


class History:
    """All that was observed in one run.

    Attributes:
        operations: clients' operations in the order of their invocations.
        states: the register in each committed state, by position.
        violations: what was found wrong during the run, as text.
        events: the trace.
        unstable_spans: when faults were active; the core need not be available then.
        primary_deaths: when a primary was killed (s), in the profile "deaths".
        total_restarts: when all machines were up again after all were down (s).
        end: when the run ended (s).
    """

    def __init__(self) -> None:
        self.operations: list[Operation] = []
        self.states: dict[Position, CommittedRegister] = {}
        self.violations: list[str] = []
        self.events: list[LoggedEvent] = []
        self.unstable_spans: list[TimeSpan] = []
        self.primary_deaths: list[float] = []
        self.total_restarts: list[float] = []
        self.end = 0.0

    def record_committed(self, now: float, machine: Machine, committed: Committed) -> None:
        """A member reports a committed state. All members agree on the state at a position, and the
        positions that one process reports only grow."""
        position = (committed.epoch, committed.sequence)
        state = committed.state
        register = CommittedRegister(state.get("taken", b""), int(state.get("counter", b"0")))
        known = self.states.get(position)
        if known is not None and known != register:
            self.violations.append(f"two states at {position}")
        self.states[position] = register
        if position <= machine.committed:
            self.violations.append(
                f"{machine.name} goes back from {machine.committed} to {position} at {now:.3f}"
            )
        machine.committed = position
