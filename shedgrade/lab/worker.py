"""A worker process of a lab run: part of the fleet, or a generator.

The runner sends it JSON lines: the task first, then `go` with the time that counts as 0, then steps of the
fault schedule, and `end`. The worker answers `ready` and `done`; a generator also says `sent` once all its
RPCs are over. Records are written to a file of the worker's own several times per second, so that a run that
is killed keeps what it has recorded.
"""

import asyncio
import contextlib
import ctypes
import gc
import os
import resource
import sys
import time
from collections.abc import Callable
from pathlib import Path

import msgspec
import orjson
import uvloop

from shedgrade.lab.arrival import Arrival
from shedgrade.lab.scenario import Scenario

PR_SET_PDEATHSIG = 1  # option of prctl(2)
FLUSH_INTERVAL_S = 0.2  # between two writes of records


class Clock:
    """Seconds since the start of the load; far below 0 until that start is known."""

    def __init__(self) -> None:
        self.start_time = time.monotonic() + 10_000

    def __call__(self) -> float:
        return time.monotonic() - self.start_time


class Records:
    """Collects records and writes them to a file as JSON Lines."""

    def __init__(self, path: str) -> None:
        self.file, self.entries = open(path, "ab", buffering=0), []  # noqa: SIM115

    def __call__(self, entry: dict) -> None:
        self.entries.append(entry)

    def flush(self) -> None:
        entries, self.entries = self.entries, []
        if entries:
            self.file.write(
                b"".join(orjson.dumps(entry, option=orjson.OPT_APPEND_NEWLINE) for entry in entries)
            )


def raise_limit() -> int:
    """Raises the soft limit on open descriptors to the hard limit; returns the limit in effect."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < hard:
        with contextlib.suppress(OSError, ValueError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def tied(cores: list[int] | None, number: int) -> Callable[[], None]:
    """Returns a `preexec_fn` that pins the new process to cores and sets the signal for its parent's death.

    The signal prevents leftover processes, since a runner that was killed cannot stop what it started. Linux
    only.
    """
    libc = ctypes.CDLL(None)

    def begin() -> None:
        if cores:
            os.sched_setaffinity(0, cores)
        libc.prctl(PR_SET_PDEATHSIG, int(number))

    return begin


def run_delay() -> float:
    """Seconds for which this process was runnable but had no core; 0 where the kernel does not report it."""
    try:
        return int(Path("/proc/self/schedstat").read_text().split()[1]) / 1e9
    except (OSError, IndexError, ValueError):
        return 0.0


def send_message(**what) -> None:
    """Sends one message to the runner, as a line of JSON on stdout."""
    sys.stdout.buffer.write(orjson.dumps(what, option=orjson.OPT_APPEND_NEWLINE))
    sys.stdout.buffer.flush()


class Worker:
    """Reads commands from the runner and writes records; a subclass for each role does the work."""

    def __init__(self, task: dict, loop: asyncio.AbstractEventLoop) -> None:
        self.task, self.loop, self.clock = task, loop, Clock()
        self.scenario = msgspec.convert(task["scenario"], Scenario)
        self.record = Records(task["records"])
        self.ended = asyncio.Event()

    async def read_commands(self) -> None:
        reader = asyncio.StreamReader(limit=64 * 1024 * 1024)
        await self.loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            command = orjson.loads(line)
            if command["what"] == "go":
                self.clock.start_time = command["zero"]
                self.on_load_start()
            elif command["what"] == "end":
                break
            else:
                await self.apply_step(command)
        self.ended.set()

    async def flush_periodically(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.save()

    def save(self) -> None:
        self.record.flush()

    def on_load_start(self) -> None:
        """Called when the runner has announced the start of the load."""

    async def apply_step(self, command: dict) -> None:
        """Carries out one step of the fault schedule."""

    async def start(self) -> None:
        """Sets up everything that must exist before the worker reports `ready`."""

    async def finish(self) -> dict:
        """Ends the work; returns the figures for the `done` message."""
        return {}

    async def run(self) -> None:
        await self.start()
        gc.collect()
        gc.freeze()
        send_message(what="ready")
        reading = asyncio.create_task(self.read_commands())
        flushing = asyncio.create_task(self.flush_periodically())
        await self.ended.wait()
        figures = await self.finish()
        flushing.cancel()
        reading.cancel()
        self.save()
        send_message(what="done", **figures)


class FleetWorker(Worker):
    """Some of the upstreams; the first fleet worker also runs discovery."""

    async def start(self) -> None:
        from shedgrade.lab.listing import Discovery

        self.upstreams, self.gone = {}, []
        scenario, task = self.scenario, self.task
        self.zones = {name: number for number, name in enumerate(scenario.fleet.zones)}
        saved = scenario.sidecars.saved
        for machine in task["machines"]:
            self.start_upstream(
                machine["name"], machine["group"], machine["slot"], bool(saved and saved.cold)
            )
        for machine in task["silent"]:
            self.start_upstream(machine["name"], machine["group"], machine["slot"], False)
            self.upstreams[machine["name"]].cut(set(self.zones.values()))
        self.discovery = None
        if task["agents"]:
            self.discovery = Discovery(
                self.loop,
                self.clock,
                scenario.sidecars.count,
                [ms / 1000 for ms in scenario.fleet.discovery.notice_ms],
                scenario.seed,
                self.record,
            )
            self.discovery.set_initial_lists(
                [
                    [
                        self.entry(machine["name"], machine["group"], machine["slot"], number, 0)
                        for machine in task["known"]
                    ]
                    for number in range(scenario.sidecars.count)
                ]
            )
            await self.discovery.listen(task["agents"])
            self.discovery.silent = scenario.fleet.discovery.silent_until_s > 0

    def on_load_start(self) -> None:
        until = self.scenario.fleet.discovery.silent_until_s
        if self.discovery and until:
            self.loop.call_later(until - self.clock(), self.discovery.set_silent, False)
        for upstream in self.upstreams.values():
            upstream.begin_cold_phase()

    def start_upstream(self, name: str, group: int, slot: int, cold: bool) -> None:
        from shedgrade.lab.upstreams import Upstream

        fleet = self.scenario.fleet
        model = fleet.groups[group]
        zone = self.zones[model.zone]
        latency = [
            (fleet.same_ms if origin == zone else fleet.cross_ms) / 1000 for origin in range(len(self.zones))
        ]
        upstream = Upstream(
            self.loop,
            self.clock,
            name,
            model,
            zone,
            slot,
            self.task["port"],
            cold,
            latency,
            self.scenario.seed,
            self.record,
        )
        upstream.listen()
        self.upstreams[name] = upstream

    def entry(self, name: str, group: int, slot: int, sidecar: int, started: int) -> dict:
        from shedgrade.lab.upstreams import address

        zone = self.zones[self.scenario.zone_of(sidecar)]
        model = self.scenario.fleet.groups[group]
        host, port = address(zone, slot, self.task["port"])
        return {
            "instanceId": name,
            "hostPort": f"{host}:{port}",
            "zone": model.zone,
            "machineType": model.kind,
            "cell": 0,
            "lifecycle": "in_service",
            "weight": 1.0,
            "startedAtMs": started,
        }

    async def apply_step(self, command: dict) -> None:
        who, what, args = command["who"], command["what"], command["args"]
        if what == "list":
            self.announce(who, args)
        elif who == "discovery":
            if what == "discovery_gone":
                self.discovery.set_silent(args["on"])
            elif what == "discovery_late":
                self.discovery.extra_delay = args["late"]
            elif what == "discovery_reset":
                self.discovery.reset()
            else:
                await self.discovery.move(
                    args["number"], args["old"], tuple(args["place"]), tuple(args["fresh"])
                )
        elif what == "start":
            old = self.upstreams.get(who)
            if old is not None and not old.stopped:
                old.kill()
            self.start_upstream(who, args["group"], args["slot"], args["cold"])
        elif who in self.upstreams:
            upstream = self.upstreams[who]
            if upstream.stopped:
                return
            if what == "kill":
                upstream.kill()
            elif what in ("hang", "refuse"):
                getattr(upstream, what)(args["on"])
            elif what == "speed":
                upstream.set_speed(args["factor"])
            elif what == "spoil":
                upstream.corrupt_share = args["share"]
            elif what == "cut":
                zones = args["zones"]
                upstream.cut(
                    set(self.zones.values()) if "*" in zones else {self.zones[name] for name in zones}
                )
            elif what == "reset":
                upstream.reset()
            elif what == "drain":
                upstream.drain()

    def announce(self, who: str, args: dict) -> None:
        if args["lifecycle"] == "in_service":
            started = round(time.time() * 1000)
            entries = [
                self.entry(who, args["group"], args["slot"], number, started)
                for number in range(self.scenario.sidecars.count)
            ]
        else:
            entries = [
                {"instanceId": who, "lifecycle": args["lifecycle"]}
                for _ in range(self.scenario.sidecars.count)
            ]
        self.discovery.change(entries)

    async def finish(self) -> dict:
        for upstream in self.upstreams.values():
            for link in list(upstream.links):
                if link.entry is not None:
                    upstream.end_transmission(link, "open")
        return {"run_delay": run_delay(), "cpu": sum(os.times()[:2])}


class GeneratorWorker(Worker):
    """Sends this worker's part of the load."""

    async def start(self) -> None:
        from shedgrade.lab.generator import ClosedLoop, Generator
        from shedgrade.lab.misbehaving_clients import MisbehavingClients

        task, scenario = self.task, self.scenario
        arrivals = [msgspec.convert(arrival, Arrival) for arrival in task["arrivals"]]
        addresses = [tuple(address) for address in task["sidecars"]]
        self.generator = Generator(
            self.loop, self.clock, scenario, arrivals, addresses, self.record, task["number"]
        )
        first = task["number"] == 0
        self.closed = (
            ClosedLoop(self.generator, scenario.load.closed) if first and scenario.load.closed else None
        )
        self.misbehaving_clients = (
            MisbehavingClients(
                self.clock,
                addresses[0],
                scenario.methods[0].name,
                scenario.load.bad_clients,
                scenario.length_s,
                scenario.seed,
                self.record,
            )
            if first and scenario.load.bad_clients
            else None
        )
        self.run_delay_at_start = 0.0

    def on_load_start(self) -> None:
        self.run_delay_at_start = run_delay()
        self.loop.call_later(max(0.0, -self.clock()), self.generator.begin)
        self.extra_tasks = [
            asyncio.create_task(self.run_from_start(client_load))
            for client_load in (self.closed, self.misbehaving_clients)
            if client_load
        ]

    async def run_from_start(self, client_load) -> None:
        await asyncio.sleep(max(0.0, -self.clock()))
        await client_load.run()

    async def read_commands(self) -> None:
        waiting = asyncio.create_task(self.report_completion())
        await super().read_commands()
        waiting.cancel()

    async def report_completion(self) -> None:
        while self.clock() < 0:
            await asyncio.sleep(0.05)
        await self.generator.finished.wait()
        await asyncio.gather(*self.extra_tasks)
        await asyncio.sleep(0.1)  # late responses are still recorded
        send_message(what="sent", **self.generator.counts)

    def save(self) -> None:
        super().save()
        generator = self.generator
        histograms = {
            "lateness": generator.lateness,
            "latency": generator.latency,
            "served": generator.served,
        }
        if self.closed:
            histograms["closed"] = self.closed.latency
        encoded = {name: histogram.encode().decode() for name, histogram in histograms.items()}
        path = Path(self.task["histograms"])
        new_path = path.with_suffix(".new")
        new_path.write_bytes(
            orjson.dumps(
                {
                    "late": generator.late,
                    "troubles": generator.troubles,
                    "run_delay": run_delay() - self.run_delay_at_start,
                    "counts": generator.counts,
                    "histograms": encoded,
                }
            )
        )
        new_path.replace(path)

    async def flush_periodically(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.record.flush()
            # Saving histograms costs more than flushing records, so it happens every two seconds.
            if int(self.clock() / FLUSH_INTERVAL_S) % 10 == 0:
                self.save()

    async def finish(self) -> dict:
        return {"cpu": sum(os.times()[:2])}


ROLES = {"fleet": FleetWorker, "generator": GeneratorWorker}


def main() -> None:
    raise_limit()
    task = orjson.loads(sys.stdin.buffer.readline())
    if task.get("cores"):
        with contextlib.suppress(OSError):
            os.sched_setaffinity(0, task["cores"])

    async def run() -> None:
        await ROLES[task["role"]](task, asyncio.get_running_loop()).run()

    uvloop.run(run())


if __name__ == "__main__":
    main()
