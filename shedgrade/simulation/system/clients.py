"""Clients that ask the directory where to go, as the platform's pages describe them.

Source: PROTOCOL, "Ingress". A client asks the directories one after the other, its own region's first, gives
each a second, and takes the first answer that names edges. What each directory answered is kept in the
history; no request follows.
"""

from __future__ import annotations

import asyncio
from random import Random

import orjson

from shedgrade.simulation.system.caller import Request, ResponseReader
from shedgrade.simulation.system.configurations import HOST
from shedgrade.simulation.system.history import Resolution

PATIENCE = 1.0  # s that one directory is given
MOST_ASKED = 3  # directories for one look-up
HOLDS = 0.25  # s from one look-up to the next: many clients ask, each once a second


class Client:
    """Looks its host up until `stopped`."""

    def __init__(self, world, name: str, loop, zone: str, region: str, port: int, random: Random) -> None:
        """`port`: the directories'."""
        self.world, self.name, self.loop = world, name, loop
        self.zone, self.region, self.port, self.random = zone, region, port, random
        self.stopped = False
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        self.task = self.loop.create_task(self.look_up_now_and_then())

    async def look_up_now_and_then(self) -> None:
        while not self.stopped:
            await self.look_up()
            await asyncio.sleep(HOLDS * self.random.uniform(0.5, 1.5))

    async def look_up(self) -> None:
        """Asks the nearest directories in turn until one names edges."""
        for machine in self.directories():
            if self.named(await self.ask(machine.name, machine.host.ip)):
                return

    def directories(self) -> list:
        return sorted(self.world.cores, key=lambda machine: machine.host.region != self.region)[:MOST_ASKED]

    async def ask(self, directory: str, ip: str) -> Resolution:
        """One directory's answer, which the history keeps."""
        target = f"/resolution?name={HOST}&region={self.region}&zone={self.zone}"
        began, status, addresses, transport = self.loop.virtual_time.now, None, (), None
        try:
            async with asyncio.timeout(PATIENCE):
                transport, reader = await self.loop.create_connection(
                    lambda: ResponseReader(self.loop), ip, self.port
                )
                transport.write(Request("GET", target).encoded(ip))
                response = await reader.answer
            status = response.status
            if status == 200:
                addresses = tuple(orjson.loads(response.body)["addressList"])
        except OSError:  # a TimeoutError too
            pass
        finally:
            if transport is not None:
                transport.close()
        resolution = Resolution(
            self.name, self.region, directory, began, self.loop.virtual_time.now, status, addresses
        )
        self.world.history.resolutions.append(resolution)
        return resolution

    @staticmethod
    def named(resolution: Resolution) -> bool:
        return bool(resolution.addresses)
