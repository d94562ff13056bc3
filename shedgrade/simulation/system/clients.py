"""Clients that ask the directory where to go, as the platform's pages describe them.

Source: PROTOCOL, "Ingress". A client asks the directories one after the other, its own region's first, gives
each a second, and takes the first answer that names edges. What each directory answered is kept in the
history; no request follows.
"""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import orjson

from shedgrade.simulation.system.caller import Request, ResponseReader
from shedgrade.simulation.system.configurations import HOST
from shedgrade.simulation.system.history import Resolution
from shedgrade.simulation.system.process_loop import ProcessLoop

if TYPE_CHECKING:
    from shedgrade.controlplane.plane import ControlPlane
    from shedgrade.simulation.system.machine import Machine
    from shedgrade.simulation.system.simulated_system import SimulatedSystem

DIRECTORY_TIMEOUT_S = 1.0
MOST_DIRECTORIES = 3  # that one look-up asks
LOOKUP_INTERVAL_S = 0.25  # many clients ask, each once a second


class Client:
    """Looks its host up until `stopped`."""

    def __init__(
        self,
        system: SimulatedSystem,
        name: str,
        loop: ProcessLoop,
        zone: str,
        region: str,
        port: int,
        random: Random,
    ) -> None:
        """`port`: the directories'."""
        self.system = system
        self.name = name
        self.loop = loop
        self.zone = zone
        self.region = region
        self.port = port
        self.random = random
        self.stopped = False
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begins to look up."""
        self.task = self.loop.create_task(self.look_up_repeatedly())

    async def look_up_repeatedly(self) -> None:
        """Looks up until the client is stopped."""
        while not self.stopped:
            await self.look_up()
            await asyncio.sleep(LOOKUP_INTERVAL_S * self.random.uniform(0.5, 1.5))

    async def look_up(self) -> None:
        """Asks the nearest directories in turn until one names edges."""
        for machine in self.directories():
            resolution = await self.ask(machine.name, machine.host.ip)
            if resolution.addresses:
                return

    def directories(self) -> list[Machine[ControlPlane]]:
        """Core machines in the order in which they are asked, those of the own region first."""
        return sorted(self.system.cores, key=lambda machine: machine.host.region != self.region)[
            :MOST_DIRECTORIES
        ]

    async def ask(self, directory: str, ip: str) -> Resolution:
        """One directory's answer, which the history keeps."""
        target = f"/resolution?name={HOST}&region={self.region}&zone={self.zone}"
        invoked_at = self.loop.virtual_time.now
        status: int | None = None
        addresses: tuple[str, ...] = ()
        transport: asyncio.Transport | None = None
        try:
            async with asyncio.timeout(DIRECTORY_TIMEOUT_S):
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
            self.name, self.region, directory, invoked_at, self.loop.virtual_time.now, status, addresses
        )
        self.system.history.resolutions.append(resolution)
        return resolution
