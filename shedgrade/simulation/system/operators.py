"""Operators of the simulated days: they race on one base and one number, evacuate zones and take that back,
read, and send again what got no clear answer."""

from __future__ import annotations

import asyncio
from random import Random

from shedgrade.simulation.system.caller import Caller, Member, Request, Response
from shedgrade.simulation.system.configurations import configuration, delta, label_of, version_of
from shedgrade.simulation.system.history import Call, Kind

PATIENCE = 5.0  # s for which an evacuation is sent again; then its operator goes on
ONCE_MORE = 0.15  # share of acknowledged changes that are sent once more, as they were
DELTA_EACH = 3  # of so many changes of one operator, one is of named items alone, where it can be


class Operator:
    """Sends orders until `stopped`. Up to `at_once` calls are under way together: one change of the
    configuration, one order for each zone of its own, and reads."""

    def __init__(
        self,
        world,
        name: str,
        loop,
        random: Random,
        zones: tuple[str, ...],
        caller: Caller,
        pace_s: float,
        padding: int,
        at_once: int = 3,
    ) -> None:
        self.world, self.name, self.loop, self.random = world, name, loop, random
        self.zones, self.caller = zones, caller
        self.pace_s, self.padding, self.at_once = pace_s, padding, at_once
        self.known = 0  # the newest version that it knows
        self.made = 0
        self.stopped = False
        self.tasks: list[asyncio.Task] = []

    def start(self) -> None:
        zones = self.zones[: self.at_once - 1]
        work = [self.change_configurations(), *(self.evacuate_and_return(zone) for zone in zones)]
        work += [self.read_now_and_then() for _ in range(self.at_once - len(work))]
        self.tasks = [self.loop.create_task(one) for one in work]

    @property
    def finished(self) -> bool:
        return all(task.done() for task in self.tasks)

    # --- one call

    async def perform(
        self, call: Call, request: Request, until: float = float("inf"), first: Member | None = None
    ) -> Response | None:
        """Sends it until there is a clear answer or `until` is past; to `first` at first, if that is said."""
        history = self.world.history
        history.calls.append(call)
        response = await self.caller.call(call, request, until, first)
        call.ended = self.loop.virtual_time.now
        if response is not None:
            call.status = response.status
        if response is not None and call.kind is Kind.GET and response.status == 200:
            call.body_version, call.body_key = version_of(response.body), label_of(response.body)
        if call.acknowledged and call.kind is not Kind.GET:
            self.world.acknowledged(call)
        return response

    async def put(
        self, base: int, version: int, label: str, repeat_of: Call | None = None, first: Member | None = None
    ) -> Call:
        call = Call(
            self.name,
            Kind.PUT,
            self.loop.virtual_time.now,
            base=base,
            version=version,
            key=label,
            repeat_of=repeat_of,
        )
        call.delta = repeat_of.delta if repeat_of is not None else self.sends_delta(base)
        if call.delta:
            request = Request("PATCH", "/configuration", delta(version, label), base)
        else:
            body = configuration(version, label, self.padding, self.world.shape.homes)
            request = Request("PUT", "/configuration", body, base)
        await self.perform(call, request, first=first)
        return call

    def sends_delta(self, base: int) -> bool:
        """Of named items alone; days with homes keep to whole configurations."""
        return base > 0 and self.made % DELTA_EACH == 1 and not self.world.shape.homes

    async def get(self, first: Member | None = None) -> Call:
        call = Call(self.name, Kind.GET, self.loop.virtual_time.now)
        await self.perform(call, Request("GET", "/configuration"), first=first)
        return call

    async def order_zone(self, kind: Kind, zone: str, first: Member | None = None) -> Call:
        call = Call(self.name, kind, self.loop.virtual_time.now, zone=zone)
        until = self.loop.time() + PATIENCE
        await self.perform(call, Request(kind.value, f"/evacuation/{zone}"), until, first)
        return call

    async def rest(self) -> None:
        await asyncio.sleep(self.pace_s * self.random.uniform(0.1, 2.0))

    # --- what it does all day

    async def change_configurations(self) -> None:
        while not self.stopped:
            self.made += 1
            call = await self.put(
                self.known, self.known + self.random.randint(1, 2), f"{self.name}-{self.made}"
            )
            if call.acknowledged:
                self.known = call.version
                if self.random.random() < ONCE_MORE:
                    await self.put(call.base, call.version, call.key, call)
            else:
                read = await self.get()
                self.known = read.body_version
            await self.rest()

    async def evacuate_and_return(self, zone: str) -> None:
        kind = Kind.EVACUATE
        while not self.stopped:
            await self.rest()
            call = await self.order_zone(kind, zone)
            if call.acknowledged or self.random.random() < 0.5:
                kind = Kind.RETURN if kind is Kind.EVACUATE else Kind.EVACUATE

    async def read_now_and_then(self) -> None:
        while not self.stopped:
            await self.rest()
            await self.get()
