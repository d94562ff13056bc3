"""Records when members and edges could not reach a majority of the core.

During such times a member can confirm nothing, and an edge does not have to learn anything.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from shedgrade.simulation.system.history import OpenSpan

if TYPE_CHECKING:
    from shedgrade.simulation.system.machine import Machine
    from shedgrade.simulation.system.simulated_system import SimulatedSystem


class ReachabilityMonitor:
    """Records spans in the history whenever a path, a process or a machine changes.

    `history.isolated`: a member had no paths in both directions to enough running members to form a majority
    with them, nor to a member that had such paths. `history.out_of_touch`: an edge was not running, could not
    reach some member that had a majority, or no member had one.
    """

    def __init__(self, system: SimulatedSystem) -> None:
        self.system = system

    def update(self) -> None:
        """Evaluates all paths again."""
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
            # A member that reaches another with a majority may forward a call to it.
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
        """Opens a span of this name when the condition begins to hold, and ends it when it ceases to."""
        spans = spans_by_name.setdefault(name, [])
        is_open = bool(spans) and spans[-1].is_open
        if holds and not is_open:
            spans.append(OpenSpan(self.system.time.now))
        elif is_open and not holds:
            spans[-1].end = self.system.time.now

    def reaches(self, machine: Machine, other: Machine) -> bool:
        """Whether there are paths in both directions and `other` is running."""
        network = self.system.network
        return other.responsive and not (
            network.blocked(machine.host, other.host) or network.blocked(other.host, machine.host)
        )
