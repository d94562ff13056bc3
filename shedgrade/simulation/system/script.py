"""Scripted runs: a calm system, operators that do what they are told, faults at exact times.

script = Script(seed=1)
script.until_ready()
order = script.call(script.operator.order_zone(Kind.EVACUATE, "hall-2"))
script.at(1.0, script.faults.stop, script.world.cores[0], 5.0)      # s from now
script.run(8.0)
assert order.acknowledged
assert script.findings() == []
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

from shedgrade.simulation.system.caller import Member
from shedgrade.simulation.system.checkers import check
from shedgrade.simulation.system.faults import Faults
from shedgrade.simulation.system.history import Call
from shedgrade.simulation.system.machine import Machine
from shedgrade.simulation.system.world import Finished, Shape, SystemWorld

READY_WITHIN = 5.0  # s
STEP = 0.05  # s between two looks at a condition


class Script:
    """One scripted run. `operators` only make the calls that are started by `call`."""

    def __init__(self, seed: int = 1, **shape) -> None:
        """`shape`: fields of `Shape`."""
        self.world = SystemWorld(seed, Shape(**shape))
        self.faults = Faults(self.world)
        for operator in self.world.operators:
            operator.stopped = True
        self.operators = self.world.operators
        self.operator = self.operators[0]

    # --- time

    def run(self, seconds: float) -> None:
        self.world.run(self.world.time.now + seconds)

    def at(self, seconds: float, call: Callable, *args) -> None:
        """Calls it so many seconds from now."""
        self.world.time.after(seconds, call, *args)

    def run_until(self, condition: Callable[[], object], within: float) -> bool:
        """Plays until the condition holds, and says whether it did in time."""
        end = self.world.time.now + within
        while not condition() and self.world.time.now < end:
            self.run(STEP)
        return bool(condition())

    def until_ready(self) -> None:
        """Starts everything, and puts a first configuration."""
        self.world.start()
        if not self.run_until(self.world.primary, READY_WITHIN):
            raise AssertionError("no primary")
        first = self.call(self.operator.put(0, 1, "first"))
        if not self.run_until(lambda: first.acknowledged and self.everywhere(1), READY_WITHIN):
            raise AssertionError(f"no first configuration: {first}")

    def everywhere(self, version: int) -> bool:
        """Every edge has this version, or a newer one."""
        last = {view.edge: view.version for view in self.world.history.views}
        return all(last.get(edge.name, 0) >= version for edge in self.world.edges)

    # --- calls

    def call(self, work: Coroutine) -> Call:
        """Starts one of an operator's calls; what it gives fills as time goes on."""
        calls = self.world.history.calls
        before = len(calls)
        loop = self.operator.loop
        loop.call_soon(lambda: self.keep(asyncio.Task(work, loop=loop)))
        self.world.run(self.world.time.now)
        return calls[before]

    def keep(self, task: asyncio.Task) -> None:
        self.operator.tasks.append(task)

    @staticmethod
    def member(machine: Machine) -> Member:
        """As a caller names it, for its first try."""
        return machine.name, machine.host.ip

    # --- what came of it

    def newest(self) -> Finished:
        """The newest control state that any member said was finished."""
        return self.world.finished[max(self.world.finished)]

    def findings(self, timely: bool = False) -> list[str]:
        """Ends the run and checks all of it."""
        self.world.history.end = self.world.time.now
        try:
            return check(self.world, timely)
        finally:
            self.world.close()
