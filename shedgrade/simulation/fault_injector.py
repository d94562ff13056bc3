"""Base class of a simulated core's faults: selects machines that may be lost, and ends temporary faults."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from shedgrade.simulation.history import TimeSpan

if TYPE_CHECKING:
    from shedgrade.simulation.cluster import SimulatedCluster
    from shedgrade.simulation.machine import Machine

CATCH_UP_S = 4.0  # time after its return for which a machine counts as lost
DURATIONS_S = (0.2, 0.6, 0.9, 1.2, 3.0, 6.0)


class FaultInjector:
    """Keeps the faults of a run within what its profile allows.

    Attributes:
        catch_up_s: time after its return for which a machine still counts as lost, seconds.
        lost_until: virtual time until which a machine counts as lost, by its name. Planned work that must
            not coincide with another loss has entries of its own.
        undo_calls: functions that end the temporary faults; each is called once.
        stopped: no further fault is injected.
    """

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster
        self.clock = cluster.clock
        self.random = cluster.random
        self.catch_up_s = CATCH_UP_S
        if cluster.profile == "members":
            # After half of the operators' `catchUpS` another loss must be tolerated again; a repair delayed
            # by another tolerated loss may take three quarters of it.
            self.catch_up_s *= 0.5 if cluster.tolerated == 1 else 0.75
        self.lost_until: dict[str, float] = {}
        self.undo_calls: list[Callable[[], None]] = []
        self.stopped = False

    # --- losses

    def lost_machines(self) -> set[str]:
        """Returns the names of the machines that count as lost now."""
        now = self.clock.now
        return {name for name, until in self.lost_until.items() if until > now}

    def pick_machine(self, preferred: Machine | None = None) -> Machine | None:
        """Returns a machine that may be lost now, or None.

        Returns `preferred` if it may be lost. Otherwise draws one, with probability 1/2 from the primaries.
        """
        cluster = self.cluster
        lost = self.lost_machines()
        free = [machine for machine in cluster.machines if machine.name not in lost and machine.up]
        if (cluster.bounded and len(lost) >= cluster.tolerated) or not free:
            return None
        if preferred is not None and preferred in free:
            return preferred
        primaries = [machine for machine in free if machine.running_member.role == "primary"]
        return self.random.choice(primaries if primaries and self.random.random() < 0.5 else free)

    def mark_lost(self, machine: Machine, seconds: float) -> None:
        """Records the loss of a machine for `seconds`; it then counts as lost until it has caught up."""
        now = self.clock.now
        until = now + seconds + self.catch_up_s
        self.lost_until[machine.name] = max(self.lost_until.get(machine.name, 0.0), until)
        self.cluster.history.unstable_spans.append(TimeSpan(now, now + seconds))

    def may_lose_several(self) -> bool:
        """Returns whether a fault of several machines is allowed now."""
        return not (self.cluster.bounded and self.lost_machines())

    # --- temporary faults

    def random_duration(self) -> float:
        """Draws the duration of a fault, seconds."""
        return self.random.choice(DURATIONS_S) * (0.5 + self.random.random())

    def undo_after(self, seconds: float, undo: Callable[[], object]) -> None:
        """Calls `undo` once, after `seconds` or when all faults end."""

        def once() -> None:
            if once in self.undo_calls:
                self.undo_calls.remove(once)
                undo()

        self.undo_calls.append(once)
        self.clock.after(seconds, once)

    def end_all(self) -> None:
        """Ends all faults, and starts every machine that is down."""
        self.stopped = True
        now = self.clock.now
        cluster = self.cluster
        cluster.network.loss = cluster.network.duplication = 0.0
        for undo in list(self.undo_calls):
            undo()
        for machine in cluster.machines:
            machine.start()
        spans = [TimeSpan(start, min(end, now)) for start, end in cluster.history.unstable_spans]
        cluster.history.unstable_spans = [*spans, TimeSpan(now, now + 0.001)]
        cluster.log("all faults ended")
