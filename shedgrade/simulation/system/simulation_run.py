"""One run by seed: draws its parameters, injects and ends faults, and checks the history."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any

from shedgrade.simulation.history import TimeSpan
from shedgrade.simulation.system.checkers import check
from shedgrade.simulation.system.fault_schedule import FaultSchedule
from shedgrade.simulation.system.faults import Faults
from shedgrade.simulation.system.findings import Finding
from shedgrade.simulation.system.simulated_system import START_WITHIN_S, SimulatedSystem, SystemParameters

PROFILES = ("calm", "fair", "planned", "storm", "targeted")
HOMES = ("region-1", "region-2")  # home regions of one route, in runs with planned stops
RECOVERY_S = 9.0  # after the last fault; operators still send operations
LAST_OPERATIONS_S = 15.0  # longest time for the last operations to complete
PROPAGATION_S = 3.0  # after the last answer, for edges to learn the last changes
KILOBYTE = 1024
MEGABIT = 125_000  # bytes per second


def draw_parameters(seed: int, tolerated: int, profile: str, length: float = 20.0) -> SystemParameters:
    """Draws the parameters of a seed's run."""
    random = Random(f"{seed} {tolerated} {profile}")
    padding = random.choice((0, 0, 0, 0, 20, 100, 500, 2000)) * KILOBYTE
    bandwidth = random.choice((0.0, 0.0, 1000.0, 100.0, 20.0, 5.0)) * MEGABIT
    if padding > 100 * KILOBYTE and 0.0 < bandwidth < 100 * MEGABIT:
        bandwidth = 100.0 * MEGABIT  # each change is sent to every member and edge
    window = 4096 if padding > 100 * KILOBYTE else random.choice((128, 512, 4096))
    profile_parameters: dict[str, Any] = (
        {"edges": 6, "clients": 6, "homes": HOMES} if profile == "planned" else {}
    )
    return replace(
        SystemParameters(
            tolerated=tolerated,
            length=length,
            edges=random.choice((2, 3)),
            operators=random.choice((1, 2, 2, 3) if padding <= 100 * KILOBYTE else (1, 2)),
            at_once=random.choice((3, 4, 8)) if padding <= 100 * KILOBYTE else 3,
            between=random.choice((0.0001, 0.005, 0.02, 0.035, 0.055)),
            jitter=random.choice((0.02, 0.1, 0.5)),
            bandwidth=bandwidth,
            padding=padding,
            window=window * KILOBYTE,
            disk_latency=random.choice((0.001, 0.005, 0.02)),
            pace=random.choice((0.1, 0.4, 1.0)) if padding < 100 * KILOBYTE else 2.0,
            response_loss=random.choice((0.0, 0.0, 0.1, 0.4, 0.7)),
            datagram_loss=random.choice((0.0, 0.02, 0.2)),
        ),
        **profile_parameters,
        delayed=random.choice((0.0, 0.01, 0.1)) if profile == "targeted" else 0.0,
    )


class SimulationRun:
    """The run of one seed. `system` may be inspected afterwards."""

    def __init__(
        self,
        seed: int,
        tolerated: int = 1,
        profile: str = "fair",
        length: float = 20.0,
        *,
        trace: bool = False,
        log: bool = False,
        **changes: Any,
    ) -> None:
        """`changes` replace fields of the drawn parameters."""
        self.profile = profile
        self.parameters = replace(draw_parameters(seed, tolerated, profile, length), **changes)
        self.system = SimulatedSystem(seed, self.parameters, trace=trace, log=log)
        self.faults = Faults(self.system)
        self.schedule = FaultSchedule(self.system, self.faults, profile, Random(self.system.random.random()))

    def play(self) -> list[Finding]:
        """Plays the start, faults, recovery and the last operations. Returns the findings."""
        system, length = self.system, self.parameters.length
        try:
            system.history.unstable_spans.append(TimeSpan(0.0, START_WITHIN_S))
            system.start()
            if self.profile != "calm":
                first_fault_at = system.random.uniform(1.5, 4.0)
                system.time.at(first_fault_at, self.schedule.next)
            system.run(length)
            self.schedule.end()
            system.run(length + RECOVERY_S)
            for operator in system.operators:
                operator.stopped, operator.caller.response_loss = True, 0.0
            for client in system.clients:
                client.stopped = True
            until = length + RECOVERY_S + LAST_OPERATIONS_S
            while system.time.now < until and not all(operator.finished for operator in system.operators):
                system.run(system.time.now + 0.5)
            system.run(system.time.now + PROPAGATION_S)
            system.history.end = system.time.now
            return check(system, self.checks_timing())
        finally:
            system.close()

    def checks_timing(self) -> bool:
        """Whether times are checked: not in storms, nor if answers are lost or changes are too large."""
        parameters = self.parameters
        return (
            self.profile != "storm" and not parameters.response_loss and parameters.padding <= 100 * KILOBYTE
        )
