"""What a simulated machine needs of the run that it is part of."""

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
    """Takes what members report as committed."""

    def record_committed(self, now: float, machine: Machine, committed: Committed) -> None:
        """A machine's member reports a committed state at `now` (s)."""


class Environment(Protocol):
    """The clock, links, disks' contents aside, that all machines of one run share.

    `tolerated`: machines lost at once that every promise outlives. `tickets`: requests that were ever
    submitted, counted by the machines.
    """

    tolerated: int
    timing: Timing
    tickets: int

    @property
    def random(self) -> Random:
        """The generator of the run's seed; all draws come from it, in a fixed order."""

    @property
    def clock(self) -> Scheduler:
        """Virtual time."""

    @property
    def network(self) -> Network:
        """The links between the machines."""

    @property
    def history(self) -> CommitObserver:
        """Where committed states are recorded."""

    @property
    def seeds(self) -> tuple[str, ...]:
        """Addresses of the founding machines."""

    @property
    def member_class(self) -> type[Member]:
        """The class under test."""

    @property
    def decide(self) -> Callable[[Mapping[str, bytes], Any], Decision]:
        """What a request makes of the state."""

    def log(self, event: str, subject: str = "") -> None:
        """Adds a line to the trace."""
