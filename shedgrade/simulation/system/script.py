"""Scripted runs: a calm system, operators that do what they are told, faults at exact times.

script = Script(seed=1)
script.until_ready()
order = script.call(script.operator.order_zone(OperationKind.EVACUATE, "hall-2"))
script.at(1.0, script.faults.stop, script.system.cores[0], 5.0)      # s from now
script.run(8.0)
assert order.acknowledged
assert script.findings() == []
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from shedgrade.simulation.system.caller import MemberAddress
from shedgrade.simulation.system.checkers import check
from shedgrade.simulation.system.faults import Faults
from shedgrade.simulation.system.findings import Finding
from shedgrade.simulation.system.history import CommittedState, Operation
from shedgrade.simulation.system.machine import Machine
from shedgrade.simulation.system.simulated_system import SimulatedSystem, SystemParameters

READY_WITHIN_S = 5.0
STEP_S = 0.05  # between two looks at a condition


class Script:
    """One scripted run. `operators` only make the calls that are started by `call`."""

    def __init__(self, seed: int = 1, **parameters: Any) -> None:
        """`parameters`: fields of `SystemParameters`."""
        self.system = SimulatedSystem(seed, SystemParameters(**parameters))
        self.faults = Faults(self.system)
        for operator in self.system.operators:
            operator.stopped = True
        self.operators = self.system.operators
        self.operator = self.operators[0]

    # --- time

    def run(self, seconds: float) -> None:
        """Plays for so many seconds."""
        self.system.run(self.system.time.now + seconds)

    def at(self, seconds: float, callback: Callable[..., object], *args: Any) -> None:
        """Calls it so many seconds from now."""
        self.system.time.after(seconds, callback, *args)

    def run_until(self, condition: Callable[[], object], within: float) -> bool:
        """Plays until the condition holds, and says whether it did in time."""
        end = self.system.time.now + within
        while not condition() and self.system.time.now < end:
            self.run(STEP_S)
        return bool(condition())

    def until_ready(self) -> None:
        """Starts everything, and puts a first configuration."""
        self.system.start()
        if not self.run_until(self.system.primary, READY_WITHIN_S):
            raise AssertionError("no primary")
        first = self.call(self.operator.put(0, 1, "first"))
        if not self.run_until(lambda: first.acknowledged and self.everywhere(1), READY_WITHIN_S):
            raise AssertionError(f"no first configuration: {first}")

    def everywhere(self, version: int) -> bool:
        """Every edge has this version, or a newer one."""
        last = {view.edge: view.version for view in self.system.history.views}
        return all(last.get(edge.name, 0) >= version for edge in self.system.edges)

    # --- calls

    def call(self, work: Coroutine[Any, Any, Operation]) -> Operation:
        """Starts one of an operator's operations, which is filled in as time goes on."""
        operations = self.system.history.operations
        before = len(operations)
        loop = self.operator.loop
        loop.call_soon(lambda: self.keep(asyncio.Task(work, loop=loop)))
        self.system.run(self.system.time.now)
        return operations[before]

    def keep(self, task: asyncio.Task[Any]) -> None:
        """The operator holds its tasks."""
        self.operator.tasks.append(task)

    @staticmethod
    def member(machine: Machine[Any]) -> MemberAddress:
        """As a caller names it, for its first attempt."""
        return MemberAddress(machine.name, machine.host.ip)

    # --- what came of it

    def newest(self) -> CommittedState:
        """The newest control state that any member reported as committed."""
        return self.system.committed_states[max(self.system.committed_states)]

    def findings(self, timely: bool = False) -> list[Finding]:
        """Ends the run and checks all of it."""
        self.system.history.end = self.system.time.now
        try:
            return check(self.system, timely)
        finally:
            self.system.close()
