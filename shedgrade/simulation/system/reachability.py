"""When members and edges were out of reach of a majority of the core.

A member that is can confirm nothing; an edge that is need learn nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from shedgrade.simulation.system.history import OpenSpan

if TYPE_CHECKING:
    from shedgrade.simulation.system.machine import Machine
    from shedgrade.simulation.system.simulated_system import SimulatedSystem


class ReachabilityMonitor:
    """Records spans in the history, whenever a path, a process or a machine changed.

    `history.isolated`: a member had no path both ways to so many running members that they are a majority
    with it, nor to a member that had. `history.out_of_touch`: an edge did not run, or some member with a
    majority was out of its reach, or no member had one.
    """

    def __init__(self, system: SimulatedSystem) -> None:
        self.system = system

    def update(self) -> None:
        """Looks at all paths again."""
        cores, history = self.system.cores, self.system.history
        peers = {
            machine.name: [other for other in cores if other is not machine and self.reaches(machine, other)]
            for machine in cores
        }
        with_majority = [
            machine
            for machine in cores
            if machine.responsive and 2 * (1 + len(peers[machine.name])) > len(cores)
        ]
        for machine in cores:
            # One that reaches a member with a majority may forward a call to it.
            connected = machine in with_majority or any(
                other in with_majority for other in peers[machine.name]
            )
            self.record(history.isolated, machine.name, not connected)
        for edge in self.system.edges:
            in_touch = (
                bool(with_majority)
                and edge.responsive
                and all(self.reaches(edge, machine) for machine in with_majority)
            )
            self.record(history.out_of_touch, edge.name, not in_touch)

    def record(self, spans_by_name: dict[str, list[OpenSpan]], name: str, holds: bool) -> None:
        """Opens a span of this name if the condition begins to hold, and ends it if it ceases to."""
        spans = spans_by_name.setdefault(name, [])
        is_open = bool(spans) and spans[-1].is_open
        if holds and not is_open:
            spans.append(OpenSpan(self.system.time.now))
        elif is_open and not holds:
            spans[-1].end = self.system.time.now

    def reaches(self, machine: Machine, other: Machine) -> bool:
        """Whether there is a path both ways, and the other one runs."""
        network = self.system.network
        return other.responsive and not (
            network.blocked(machine.host, other.host) or network.blocked(other.host, machine.host)
        )
