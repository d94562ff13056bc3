"""The history of a simulated run: what clients and members observed, in chronological order.

The terms are those of Jepsen: an operation is invoked by a client, and completes with a definite outcome or
never. The functions in `checkers` check the history after the run.
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
    """One request of an operation to one machine. Times are virtual, in seconds."""

    invoked_at: float
    completed_at: float
    machine: str
    outcome: object


class TimeSpan(NamedTuple):
    """The virtual time from `start` to `end`, in seconds."""

    start: float
    end: float


class LoggedEvent(NamedTuple):
    """One line of the trace: at virtual `time` (s), `event` happened to the machine or links in `subject`."""

    time: float
    event: str
    subject: str


class CommittedRegister(NamedTuple):
    """The part of a committed state that the checkers use: the chain of changes and the counter."""

    changes: bytes
    counter: int


@dataclass(slots=True)
class Operation:
    """A client's operation from its invocation to its completion. Times are virtual, in seconds.

    Attributes:
        request: the change requested; None for a read.
        invoked_at: when the client sent the first attempt.
        completed_at: when the outcome was received; infinite until then.
        outcome: the definite outcome; None until there is one.
        attempts: the attempts that were answered.
    """

    request: Request | None
    invoked_at: float
    completed_at: float = NEVER
    outcome: object = None
    attempts: list[ClientAttempt] = field(default_factory=list)


class History:
    """All that was observed in one run. Times are virtual, in seconds.

    Attributes:
        operations: clients' operations, in order of invocation.
        states: the register in each committed state, by position.
        violations: descriptions of the violations found during the run.
        events: the trace.
        unstable_spans: spans in which faults were active; the core need not be available during them.
        primary_deaths: times at which a primary was killed, in the profile "deaths".
        total_restarts: times at which all machines were up again after all had been down.
        end: when the clients had completed their last operations.
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
        """Records the committed state that a member reports.

        Adds a violation if another state was reported for the same position, or if the position isn't after
        the last one that the same process reported.
        """
        position = (committed.epoch, committed.sequence)
        state = committed.state
        register = CommittedRegister(state.get("taken", b""), int(state.get("counter", b"0")))
        known = self.states.get(position)
        if known is not None and known != register:
            self.violations.append(f"two different committed states at {position}")
        self.states[position] = register
        if position <= machine.committed:
            self.violations.append(
                f"{machine.name} regresses from {machine.committed} to {position} at {now:.3f} s"
            )
        machine.committed = position
