"""The demonstration: a small deployment under traffic and faults, checked against the rules at its end."""

import asyncio
import os
import tempfile
from collections.abc import Callable
from pathlib import Path

from shedgrade.engines import EngineSettings
from shedgrade.lab.system.history import Breach, Kind
from shedgrade.lab.system.judge import judge, verdict
from shedgrade.lab.system.lines import ProgressReporter
from shedgrade.lab.system.site import CORE, EDGE, Site
from shedgrade.lab.system.world import World

ZONES = {"quay": "north", "mill": "north", "fell": "west", "dale": "south"}
HOST = "demo.example"
MODEL, LOOKUP = "chat-lm", "lookup"
COLD_RATE = 8.0
ENGINES = {
    MODEL: EngineSettings(slots=32, step_s=0.008, cold_s=2.0, cold_rate=COLD_RATE),
    LOOKUP: EngineSettings(slots=8, cold_s=2.0, cold_rate=COLD_RATE),
}
KINDS = [
    Kind(
        "digest",
        "streaming",
        HOST,
        "/digest/",
        MODEL,
        4.0,
        6_000,
        800,
        (("5c1e07a2", 2400),),
        600,
        50,
        home_regions=("north", "west"),
    ),
    Kind(
        "reply",
        "streaming",
        HOST,
        "/reply/",
        MODEL,
        6.0,
        10_000,
        800,
        (("91bd3f06", 200),),
        400,
        120,
        resumable=True,
    ),
    Kind("find", "safe", HOST, "/find/", LOOKUP, 8.0, 3_000, 300),
    Kind("book", "unsafe", HOST, "/book/", LOOKUP, 4.0, 3_000, 300),
]
START_TIMEOUT_S = 30.0  # greatest time for the system to start, s


def loopback_prefix() -> str:
    """Returns the first three numbers of loopback addresses that no other run on this machine uses."""
    own = os.getpid()
    return f"127.{16 + own // 250 % 200}.{own % 250}"


def demo_site() -> Site:
    return Site(
        loopback_prefix(),
        ZONES,
        ("quay", "fell", "dale"),
        ("quay", "mill", "fell", "dale"),
        ("quay", "mill", "fell", "dale", "quay", "fell"),
    )


SERVICES = [MODEL, MODEL, MODEL, MODEL, LOOKUP, LOOKUP]


def configuration(version: int, kinds: list[Kind], services: list[str], **timeouts_ms: float) -> dict:
    """Returns a configuration for these kinds and services.

    `timeouts_ms` gives, by the name of a kind, a time-out in place of its deadline.
    """
    routes = [
        {
            "name": kind.name,
            "host": kind.host,
            "pathPrefix": kind.prefix,
            "routeClass": kind.route_class,
            "timeoutMs": timeouts_ms.get(kind.name, kind.deadline_ms),
            "targetMs": kind.target_ms,
            "priority": kind.priority,
            "service": kind.service,
            "maxAttempts": 2 if kind.idempotent else 1,
            "sessionAffinity": kind.streams,
            "resumable": kind.resumable,
            "gap_aim_ms": kind.gap_ms,
            "homeRegions": list(kind.home_regions),
        }
        for kind in kinds
    ]
    return {
        "configVersion": version,
        "routeList": routes,
        "serviceList": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConnections": 360,
                "protocol": "h1",
                "tls": False,
                "coldStartS": 2.0,
                "coldRateS": COLD_RATE,
            }
            for name in services
        ],
        "limits": {
            "headerBytes": 16384,
            "bodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


class Demo:
    """The steps of the demonstration; `say` is called with each line of its report."""

    def __init__(self, world: World, lines: ProgressReporter, say: Callable[[str], None]) -> None:
        self.world, self.lines, self.write_line = world, lines, say
        self.version = 0

    async def configure(self, version: int, **timeouts_ms: float) -> None:
        settings = configuration(version, KINDS, list(ENGINES), **timeouts_ms)
        put = await self.world.operator.put(settings, self.version)
        if not put.accepted:
            raise RuntimeError(f"version {version} is answered {put.status}: {put.answer_text}")
        self.version = version
        self.lines.note(f"version {version} acknowledged after {put.ended_at - put.sent_at:.2f} s")

    async def put_concurrently(self, first_version: int, second_version: int) -> None:
        """Two operators put different versions on top of the same one at once."""
        world = self.world
        puts = await asyncio.gather(
            *(
                world.make_operator().put(
                    configuration(version, KINDS, list(ENGINES), find=2_000 + version), self.version
                )
                for version in (first_version, second_version)
            )
        )
        self.version = max((put.version for put in puts if put.accepted), default=self.version)
        self.lines.note(
            "two operators at once: "
            + ", ".join(
                f"version {put.version} is answered {put.status} after {put.ended_at - put.sent_at:.2f} s"
                for put in puts
            )
        )

    async def put_invalid(self, version: int) -> None:
        """Puts a configuration that names an unknown service."""
        invalid = configuration(version, KINDS, [MODEL])
        put = await self.world.operator.put(invalid, self.version, valid=False)
        self.lines.note(f"an invalid configuration is answered {put.status}")

    async def kill_primary(self, downtime: float) -> None:
        world = self.world
        name = await world.wait_until(world.primary, START_TIMEOUT_S)
        disturbance = await world.kill(name)
        self.lines.note(f"{name}, the primary, is killed")
        await asyncio.sleep(downtime)
        await world.launcher.start(name)
        world.end_disturbance(disturbance)
        self.lines.note(f"{name} is started again")

    async def suspend_region(self, region: str, duration: float) -> None:
        """Suspends all processes of a region for `away` seconds, as if a partition cut it off."""
        world = self.world
        names = [machine.name for machine in world.site.machines() if machine.region == region]
        disturbance = world.begin_disturbance(f"{region} cut off")
        for name in names:
            world.launcher.suspend(name)
        self.lines.note(f"{region} stands still: {', '.join(names)}")
        await asyncio.sleep(duration)
        for name in names:
            world.launcher.resume(name)
        world.end_disturbance(disturbance)
        self.lines.note(f"{region} goes on")

    async def evacuate(self, zone: str, duration: float) -> None:
        order = await self.world.operator.evacuate(zone)
        self.lines.note(f"{zone} evacuated, acknowledged after {order.ended_at - order.sent_at:.2f} s")
        await asyncio.sleep(duration)
        await self.world.operator.return_zone(zone)
        self.lines.note(f"{zone} takes requests again")

    async def crash(self, number: int, downtime: float) -> None:
        fleet = self.world.fleet
        self.lines.note(f"an upstream of {fleet.services[number]} crashes")
        fleet.crash(number)
        await asyncio.sleep(downtime)
        await fleet.start(number, cold=True)
        self.lines.note("it comes back, cold")

    async def run_steps(self) -> None:
        """Runs the steps, about 40 s. After the last faults there is calm, in which the bounds of evacuations
        can be checked."""
        world = self.world
        started_at = world.clock()
        schedule = [
            (5, self.configure(5, reply=9_000)),
            (9, self.kill_primary(3.0)),
            (17, self.suspend_region("west", 4.0)),
            (25, self.put_concurrently(8, 9)),
            (26.5, self.put_invalid(12)),
            (28, self.evacuate("mill", 9.0)),
            (38, self.crash(5, 2.0)),
        ]
        world.start_traffic()
        lines = asyncio.create_task(self.lines.report_every_second())

        async def after(at: float, step) -> None:
            await asyncio.sleep(max(0.0, started_at + at - world.clock()))
            await step

        try:
            async with asyncio.TaskGroup() as steps:
                for at, step in schedule:
                    steps.create_task(after(at, step))
                steps.create_task(asyncio.sleep(42))
        finally:
            lines.cancel()


async def wait_for_start(world: World) -> None:
    """Waits until each client's directory would return an edge that serves."""
    await world.wait_until(world.clients_have_addresses, START_TIMEOUT_S)
    world.end_disturbance(world.startup_disturbance)


async def run(seed: int, say: Callable[[str], None]) -> list[Breach]:
    """Runs the whole demonstration; returns the breaches that the judge found."""
    site = demo_site()
    with tempfile.TemporaryDirectory(prefix="shedgrade-demo-") as folder:
        async with World(site, Path(folder), SERVICES, ENGINES, KINDS, seed) as world:
            say(
                f"{len(site.machines_of(CORE))} cores, {len(site.machines_of(EDGE))} edges, "
                f"{len(SERVICES)} upstreams in {len(set(ZONES.values()))} regions; seed {seed}"
            )
            lines = ProgressReporter(world, say)
            demo = Demo(world, lines, say)
            await demo.configure(1)
            await wait_for_start(world)
            await demo.run_steps()
            await world.finish_requests()
            await world.read_back()
            say(lines.totals())
            breaches = judge(world.history, world.key, ZONES, site.bounds, cold_rate=COLD_RATE)
            for name in world.launcher.ended_machines():
                breaches.append(Breach("Fault", f"{name} ended by itself"))
            if not lines.served:
                breaches.append(Breach("Fault", "no request was served"))
            say(f"verdict: {verdict(breaches)}")
            return breaches
