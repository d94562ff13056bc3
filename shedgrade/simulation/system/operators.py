"""Operators of a simulated system.

Operators send concurrent configuration changes with the same base and version, evacuate zones and end
evacuations, read the configuration, and retry calls that got no clear answer.
"""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from shedgrade.simulation.system.caller import Caller, MemberAddress, Request, Response
from shedgrade.simulation.system.configurations import configuration, delta, label_of, version_of
from shedgrade.simulation.system.history import Operation, OperationKind
from shedgrade.simulation.system.process_loop import ProcessLoop

if TYPE_CHECKING:
    from shedgrade.simulation.system.simulated_system import SimulatedSystem

ZONE_COMMAND_TIMEOUT_S = 5.0  # time after which the operator no longer retries a zone command
REPEAT_PROBABILITY = 0.15  # that an acknowledged change is sent a second time, unchanged
CHANGES_PER_DELTA = 3  # of these changes of an operator one is a delta, where deltas are allowed


class Operator:
    """Sends operations until `stopped` is set.

    Up to `at_once` calls are in progress at the same time: one configuration change, one command for each of
    the operator's zones, and reads.

    Attributes:
        pace_s: mean pause between two operations, s.
        padding: bytes added to each configuration.
        known_version: the newest version that the operator knows.
    """

    def __init__(
        self,
        system: SimulatedSystem,
        name: str,
        loop: ProcessLoop,
        random: Random,
        zones: tuple[str, ...],
        caller: Caller,
        pace_s: float,
        padding: int,
        at_once: int = 3,
    ) -> None:
        self.system = system
        self.name = name
        self.loop = loop
        self.random = random
        self.zones = zones
        self.caller = caller
        self.pace_s = pace_s
        self.padding = padding
        self.at_once = at_once
        self.known_version = 0
        self.changes_made = 0
        self.stopped = False
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts the operator's tasks."""
        zones = self.zones[: self.at_once - 1]
        coroutines = [self.change_configurations(), *(self.evacuate_and_return(zone) for zone in zones)]
        coroutines += [self.read_repeatedly() for _ in range(self.at_once - len(coroutines))]
        self.tasks = [self.loop.create_task(coroutine) for coroutine in coroutines]

    @property
    def finished(self) -> bool:
        """Whether no operation is in progress and none will follow."""
        return all(task.done() for task in self.tasks)

    # --- one operation

    async def perform(
        self,
        operation: Operation,
        request: Request,
        until: float = float("inf"),
        first: MemberAddress | None = None,
    ) -> Response | None:
        """Sends the request until there is a clear answer or the loop's time `until` is past.

        `first`: the member that gets the first attempt, None: a random one. Returns the clear answer, or None
        if there was none in time.
        """
        history = self.system.history
        history.operations.append(operation)
        response = await self.caller.call(operation, request, until, first)
        operation.completed_at = self.loop.virtual_time.now
        if response is not None:
            operation.status = response.status
        if response is not None and operation.kind is OperationKind.GET and response.status == 200:
            operation.body_version, operation.body_key = version_of(response.body), label_of(response.body)
        if operation.acknowledged and operation.kind is not OperationKind.GET:
            self.system.acknowledged(operation)
        return response

    async def put(
        self,
        base: int,
        version: int,
        label: str,
        repeat_of: Operation | None = None,
        first: MemberAddress | None = None,
    ) -> Operation:
        """Puts a configuration on top of version `base`.

        `repeat_of`: the acknowledged operation that this one repeats. `first`: as in `perform`.
        """
        operation = Operation(
            self.name,
            OperationKind.PUT,
            self.loop.virtual_time.now,
            base=base,
            version=version,
            key=label,
            repeat_of=repeat_of,
        )
        operation.delta = repeat_of.delta if repeat_of is not None else self.is_delta_due(base)
        if operation.delta:
            request = Request("PATCH", "/configuration", delta(version, label), base)
        else:
            body = configuration(version, label, self.padding, self.system.parameters.homes)
            request = Request("PUT", "/configuration", body, base)
        await self.perform(operation, request, first=first)
        return operation

    def is_delta_due(self, base: int) -> bool:
        """Whether the next change is a delta (named items only). Runs with home regions send none."""
        return base > 0 and self.changes_made % CHANGES_PER_DELTA == 1 and not self.system.parameters.homes

    async def get(self, first: MemberAddress | None = None) -> Operation:
        """Reads the configuration."""
        operation = Operation(self.name, OperationKind.GET, self.loop.virtual_time.now)
        await self.perform(operation, Request("GET", "/configuration"), first=first)
        return operation

    async def order_zone(
        self, kind: OperationKind, zone: str, first: MemberAddress | None = None
    ) -> Operation:
        """Evacuates a zone or ends its evacuation, as `kind` says."""
        operation = Operation(self.name, kind, self.loop.virtual_time.now, zone=zone)
        until = self.loop.time() + ZONE_COMMAND_TIMEOUT_S
        await self.perform(operation, Request(kind.value, f"/evacuation/{zone}"), until, first)
        return operation

    async def pause(self) -> None:
        """Waits for a random time between two operations."""
        await asyncio.sleep(self.pace_s * self.random.uniform(0.1, 2.0))

    # --- tasks

    async def change_configurations(self) -> None:
        """Puts one configuration after another. Reads the newest version after a change was refused."""
        while not self.stopped:
            self.changes_made += 1
            operation = await self.put(
                self.known_version,
                self.known_version + self.random.randint(1, 2),
                f"{self.name}-{self.changes_made}",
            )
            if operation.acknowledged:
                self.known_version = operation.version
                if self.random.random() < REPEAT_PROBABILITY:
                    await self.put(operation.base, operation.version, operation.key, operation)
            else:
                read = await self.get()
                self.known_version = read.body_version
            await self.pause()

    async def evacuate_and_return(self, zone: str) -> None:
        """Evacuates a zone and ends its evacuation by turns."""
        kind = OperationKind.EVACUATE
        while not self.stopped:
            await self.pause()
            operation = await self.order_zone(kind, zone)
            if operation.acknowledged or self.random.random() < 0.5:
                kind = OperationKind.RETURN if kind is OperationKind.EVACUATE else OperationKind.EVACUATE

    async def read_repeatedly(self) -> None:
        """Reads until the operator is stopped."""
        while not self.stopped:
            await self.pause()
            await self.get()
