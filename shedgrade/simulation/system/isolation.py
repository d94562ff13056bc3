"""Who was out of reach of a majority of the core, and when: members that can confirm nothing then, and edges
that need learn nothing."""

from __future__ import annotations

FOREVER = float("inf")


class ReachWatch:
    """Notes spans in the history, whenever a path, a process or a machine changed.

    `history.isolated`: a member had no way both there and back to so many running members that they are a
    majority with it, nor to a member that had. `history.out_of_touch`: an edge did not run, or some member
    with a majority was out of its reach, or no member had one.
    """

    def __init__(self, world) -> None:
        self.world = world

    def changed(self) -> None:
        """Looks again."""
        cores, history = self.world.cores, self.world.history
        near = {
            machine.name: [other for other in cores if other is not machine and self.reaches(machine, other)]
            for machine in cores
        }
        leading = [
            machine
            for machine in cores
            if machine.running and not machine.stopped and 2 * (1 + len(near[machine.name])) > len(cores)
        ]
        for machine in cores:
            # One that reaches a member with a majority may hand a call on to it.
            touches = machine in leading or any(other in leading for other in near[machine.name])
            self.mark(history.isolated, machine.name, not touches)
        for edge in self.world.edges:
            in_touch = (
                leading
                and edge.running
                and not edge.stopped
                and all(self.reaches(edge, machine) for machine in leading)
            )
            self.mark(history.out_of_touch, edge.name, not in_touch)

    def mark(self, spans_by_name: dict[str, list[list[float]]], name: str, holds: bool) -> None:
        spans = spans_by_name.setdefault(name, [])
        is_open = bool(spans) and spans[-1][1] == FOREVER
        if holds and not is_open:
            spans.append([self.world.time.now, FOREVER])
        elif is_open and not holds:
            spans[-1][1] = self.world.time.now

    def reaches(self, machine, other) -> bool:
        """Both ways, and the other one runs."""
        cuts = self.world.network.cuts
        one, two = machine.host.ip, other.host.ip
        return other.running and not other.stopped and (one, two) not in cuts and (two, one) not in cuts
