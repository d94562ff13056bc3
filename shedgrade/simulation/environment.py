"""The interface between a simulated machine and the run that it is part of."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random
from typing import TYPE_CHECKING, Any, Protocol

from shedgrade.replication import Committed, Decision, Member, Timing
from shedgrade.simulation.clock import Scheduler
from shedgrade.simulation.network import Network

if TYPE_CHECKING:
    from shedgrade.simulation.machine import Machine


class CommitObserver(Protocol):
    """Records the states that members report as committed."""

    def record_committed(self, now: float, machine: Machine, committed: Committed) -> None:
        """Records the committed state that a machine's member reports at `now`, in seconds."""


class Environment(Protocol):
    """What all machines of one run share: clock, links, settings and the recorded history.

    Attributes:
        tolerated: number of machines that may be lost at once without any guarantee being broken.
        timing: time-outs of the members.
        ticket_count: number of requests submitted so far to any machine; numbers the next one.
    """

    tolerated: int
    timing: Timing
    ticket_count: int

    @property
    def random(self) -> Random:
        """The random generator seeded for the run; all draws come from it, in a fixed order."""

    @property
    def clock(self) -> Scheduler:
        """Virtual time."""

    @property
    def network(self) -> Network:
        """The links between the machines."""

    @property
    def history(self) -> CommitObserver:
        """The recorder of committed states."""

    @property
    def seeds(self) -> tuple[str, ...]:
        """Addresses of the founding machines."""

    @property
    def member_class(self) -> type[Member]:
        """The member class under test."""

    @property
    def decide(self) -> Callable[[Mapping[str, bytes], Any], Decision]:
        """The function that decides what a request changes in the state, and its outcome."""

    def log(self, event: str, subject: str = "") -> None:
        """Appends an event to the trace."""
