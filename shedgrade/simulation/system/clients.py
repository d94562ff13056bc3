"""Clients that look up edges at the directories, as the platform's pages describe them.

Source: PROTOCOL, "Ingress". A client asks the directories one after the other, those of its own region first,
waits for each up to one second, and uses the first response that lists edges. The history records each
directory's response; the client sends no request to the edges.
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
MAX_DIRECTORIES = 3  # directories asked in one look-up
LOOKUP_INTERVAL_S = 0.25  # mean pause; it stands for many clients with one look-up a second each


class Client:
    """Looks up HOST repeatedly until `stopped` is set.

    Attributes:
        system: the simulated system.
        name: name of the client.
        loop: event loop that the client runs on.
        zone: zone that the client is in.
        region: region that the client is in.
        port: port of the directories.
        random: source of the random choices.
        stopped: whether the client stops after the current look-up.
        task: task that performs the look-ups; None before the start.
    """

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
        """Creates a client that doesn't look up yet."""
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
        """Starts the look-ups."""
        self.task = self.loop.create_task(self.look_up_repeatedly())

    async def look_up_repeatedly(self) -> None:
        """Looks up, with random pauses, until the client is stopped."""
        while not self.stopped:
            await self.look_up()
            await asyncio.sleep(LOOKUP_INTERVAL_S * self.random.uniform(0.5, 1.5))

    async def look_up(self) -> None:
        """Asks the directories in turn until one lists edges."""
        for machine in self.directories():
            resolution = await self.ask(machine.name, machine.host.ip)
            if resolution.addresses:
                return

    def directories(self) -> list[Machine[ControlPlane]]:
        """Returns the core machines to ask, in order; those of the client's region come first."""
        return sorted(self.system.cores, key=lambda machine: machine.host.region != self.region)[
            :MAX_DIRECTORIES
        ]

    async def ask(self, directory: str, ip: str) -> Resolution:
        """Asks one directory, and records its response in the history."""
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
        except OSError:  # includes TimeoutError
            pass
        finally:
            if transport is not None:
                transport.close()
        resolution = Resolution(
            self.name, self.region, directory, invoked_at, self.loop.virtual_time.now, status, addresses
        )
        self.system.history.resolutions.append(resolution)
        return resolution
