"""Scripted runs: operators send only the scripted calls, and faults are injected at exact times only.

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
STEP_S = 0.05  # between two evaluations of a condition


class Script:
    """One scripted run. The operators send only the operations that `call` starts."""

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
        """Runs the system for `seconds` of virtual time."""
        self.system.run(self.system.time.now + seconds)

    def at(self, seconds: float, callback: Callable[..., object], *args: Any) -> None:
        """Schedules a callback in `seconds` of virtual time."""
        self.system.time.after(seconds, callback, *args)

    def run_until(self, condition: Callable[[], object], within: float) -> bool:
        """Runs the system until the condition holds, for `within` s at most. Returns whether it holds."""
        end = self.system.time.now + within
        while not condition() and self.system.time.now < end:
            self.run(STEP_S)
        return bool(condition())

    def until_ready(self) -> None:
        """Starts the system and puts a first configuration. AssertionError if that takes too long."""
        self.system.start()
        if not self.run_until(self.system.primary, READY_WITHIN_S):
            raise AssertionError("no primary was elected in time")
        first = self.call(self.operator.put(0, 1, "first"))
        if not self.run_until(lambda: first.acknowledged and self.everywhere(1), READY_WITHIN_S):
            raise AssertionError(f"the first configuration did not reach all edges in time: {first}")

    def everywhere(self, version: int) -> bool:
        """Whether every edge has this version or a newer one."""
        last = {view.edge: view.version for view in self.system.history.views}
        return all(last.get(edge.name, 0) >= version for edge in self.system.edges)

    # --- calls

    def call(self, work: Coroutine[Any, Any, Operation]) -> Operation:
        """Starts an operator's operation and returns it; it is filled in as virtual time passes."""
        operations = self.system.history.operations
        before = len(operations)
        loop = self.operator.loop
        loop.call_soon(lambda: self.keep(asyncio.Task(work, loop=loop)))
        self.system.run(self.system.time.now)
        return operations[before]

    def keep(self, task: asyncio.Task[Any]) -> None:
        """Adds a task to the operator, which keeps a reference to it."""
        self.operator.tasks.append(task)

    @staticmethod
    def member(machine: Machine[Any]) -> MemberAddress:
        """A machine's address, for the argument `first` of an operation."""
        return MemberAddress(machine.name, machine.host.ip)

    # --- results

    def newest(self) -> CommittedState:
        """The newest control state that any member reported as committed."""
        return self.system.committed_states[max(self.system.committed_states)]

    def findings(self, timely: bool = False) -> list[Finding]:
        """Ends the run and returns all findings. `timely`: times are checked too."""
        self.system.history.end = self.system.time.now
        try:
            return check(self.system, timely)
        finally:
            self.system.close()
