"""Runs a site with all its parts: processes, platform, upstreams, clients, operators."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from random import Random

from shedgrade.engines import EngineSettings
from shedgrade.lab.system.clients import Clients
from shedgrade.lab.system.fleet import Fleet
from shedgrade.lab.system.history import ClientRequest, History, Kind
from shedgrade.lab.system.launcher import Launcher
from shedgrade.lab.system.operators import Operator, statuses
from shedgrade.lab.system.platform import InstanceDirectory, PlatformServer
from shedgrade.lab.system.site import CORE, DIRECTORY, EDGE, FRONT, Site

POLL_INTERVAL_S = 0.05  # s between two checks of an awaited condition


class World:
    """Starts and stops a site.

    services: the service of each upstream, by its number
    engines: engine settings by service
    kinds: the kinds of requests that clients send
    """

    def __init__(
        self,
        site: Site,
        folder: Path,
        services: list[str],
        engines: dict[str, EngineSettings],
        kinds: list[Kind],
        seed: int,
    ) -> None:
        self.site, self.kinds, self.random = site, kinds, Random(seed)
        self.loop = asyncio.get_running_loop()
        self.clock = self.loop.time
        self.key = self.random.randbytes(16)
        self.history = History(
            edge_regions={edge.address(FRONT): edge.region for edge in site.machines_of(EDGE)}
        )
        self.directory = InstanceDirectory(site.max_lag_ms / 1000, site.rate_per_s)
        self.platform = PlatformServer(self.loop, site.platform_address(), self.directory, self.clock)
        self.fleet = Fleet(
            self.loop, site, services, engines, self.directory, self.history, Random(seed + 1), self.key
        )
        self.launcher = Launcher(site, folder)
        self.operator = self.make_operator()
        self.clients = {
            zone: Clients(
                zone,
                region,
                self.registries(zone),
                self.history,
                Random(self.random.getrandbits(32)),
                self.clock,
                site.bounds["ttl_max_s"],
            )
            for zone, region in site.zones.items()
        }
        self.request_tasks: set[asyncio.Task] = set()
        self.requests_sent = 0
        self.arrival_tasks: list[asyncio.Task] = []

    def make_operator(self) -> Operator:
        return Operator(
            self.site.control_addresses(),
            self.history,
            Random(self.random.getrandbits(32)),
            self.clock,
            self.site.bounds["ackMs"] / 1000,
        )

    def registries(self, zone: str) -> list[str]:
        """Returns the addresses of the directory, nearest to the zone first."""
        region = self.site.zones[zone]
        near = sorted(
            self.site.machines_of(CORE), key=lambda core: (core.zone != zone, core.region != region)
        )
        return [core.address(DIRECTORY) for core in near]

    # --- start and stop

    async def __aenter__(self) -> "World":
        self.startup_disturbance = self.begin_disturbance("the system starts")
        try:
            await self.platform.start()
            await self.fleet.start_all()
            await self.launcher.start_all()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, kind, failure: BaseException | None, trace) -> None:
        """Adds the output and status of each process to a failure, as the folder may be gone afterwards."""
        if failure is not None:
            for name in self.launcher.machines:
                state = "runs" if self.launcher.running(name) else "does not run"
                failure.add_note(f"{name} {state}: {self.launcher.output_tail(name)}")
            for status in await self.status():
                failure.add_note(f"{status['node']}: {status}")
        await self.close()

    async def close(self) -> None:
        await self.finish_requests()
        await self.launcher.close()
        for clients in self.clients.values():
            clients.close()
        self.fleet.close()
        self.platform.close()
        await asyncio.sleep(0)

    async def wait_until(self, condition: Callable[[], object], limit: float) -> object:
        """Returns the result of `condition`, a function or coroutine function, once it is true.

        Raises TimeoutError after `limit` seconds.
        """
        async with asyncio.timeout(limit):
            while True:
                result = condition()
                if asyncio.iscoroutine(result):
                    result = await result
                if result:
                    return result
                await asyncio.sleep(POLL_INTERVAL_S)

    # --- state of the system

    async def status(self) -> list[dict]:
        return await statuses(self.site.control_addresses())

    async def primary(self) -> str | None:
        """Returns the primary's machine, by the newest epoch that a member reports; None without one."""
        primaries = [status for status in await self.status() if status["role"] == "primary"]
        return max(primaries, key=lambda status: status["epoch"])["node"] if primaries else None

    async def edge_versions(self) -> dict[str, int | None]:
        """Returns the newest configuration version of each edge, as members report it."""
        versions: dict[str, int | None] = {}
        for status in await self.status():
            for edge in status["edges"]:
                if edge["configVersion"] is not None:
                    versions[edge["name"]] = max(edge["configVersion"], versions.get(edge["name"]) or 0)
        return versions

    async def clients_have_addresses(self) -> bool:
        """Returns whether each zone's clients have the address of some edge."""
        for clients in self.clients.values():
            await clients.resolve(self.kinds[0].host)
        return all(clients.addresses for clients in self.clients.values())

    # --- traffic

    def start_traffic(self, share: float = 1.0) -> None:
        """Starts open-loop traffic: Poisson arrivals of each kind at its rate, from a random zone each."""
        for kind in self.kinds:
            task = self.loop.create_task(self.send_at_rate(kind, share, Random(self.random.getrandbits(32))))
            self.arrival_tasks.append(task)

    async def send_at_rate(self, kind: Kind, share: float, random: Random) -> None:
        at = self.clock()
        while True:
            at += random.expovariate(kind.rate * share)
            await asyncio.sleep(max(0.0, at - self.clock()))
            self.send_request(kind, random.choice(list(self.clients)))

    def send_request(self, kind: Kind, zone: str) -> asyncio.Task:
        """Sends a request from a client in a zone; the task's result is its `ClientRequest`."""
        self.requests_sent += 1
        task = self.loop.create_task(self.clients[zone].send_with_retries(self.requests_sent, kind))
        self.request_tasks.add(task)
        task.add_done_callback(self.request_tasks.discard)
        return task

    async def finish_requests(self) -> list[ClientRequest]:
        """Stops new requests and waits for those in flight."""
        for task in self.arrival_tasks:
            task.cancel()
        await asyncio.gather(*self.arrival_tasks, return_exceptions=True)
        self.arrival_tasks.clear()
        return list(await asyncio.gather(*self.request_tasks))

    # --- disturbances

    def begin_disturbance(self, what: str) -> int:
        """Begins a disturbance and returns its number.

        Until `end_disturbance`, rules with time bounds do not apply.
        """
        self.history.disturbances.append((self.clock(), float("inf"), what))
        return len(self.history.disturbances) - 1

    def end_disturbance(self, number: int) -> None:
        begin, _, what = self.history.disturbances[number]
        self.history.disturbances[number] = (begin, self.clock() + self.site.bounds["contactMs"] / 1000, what)

    async def kill(self, name: str) -> int:
        """Kills a machine's process; returns the number of the disturbance."""
        number = self.begin_disturbance(f"{name} killed")
        await self.launcher.kill(name)
        return number

    async def read_back(self) -> None:
        """Records, at the end, the configuration and the evacuations that the system reports."""
        self.history.read_back = await self.operator.read_back(2 * self.site.bounds["contactMs"] / 1000)
        statuses_at_end = await self.status()
        if statuses_at_end:
            self.history.evacuated_at_end = tuple(
                max(statuses_at_end, key=lambda status: status["finished"])["evacuations"]
            )
