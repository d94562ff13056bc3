"""Processes of a lab run: messages as JSON lines, resource usage, and free ports and descriptors for them."""

import asyncio
import contextlib
import os
import random
import socket
from pathlib import Path

import orjson

from shedgrade.lab.arrivals import max_rate
from shedgrade.lab.scenario import Scenario
from shedgrade.lab.worker import raise_limit

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
FIRST_PORT, LAST_PORT = 18_000, 32_000  # below the kernel's ephemeral ports
PORT_ATTEMPTS = 200


class LabError(Exception):
    """The run cannot be made or has failed; the message is one line."""


def free_port(rng: random.Random) -> int:
    """A random port that is free on all addresses and lies below the kernel's ephemeral ports.

    Raises LabError if none is found.
    """
    for _ in range(PORT_ATTEMPTS):
        port = rng.randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind(("0.0.0.0", port))
                return port
            except OSError:
                continue
    raise LabError(f"no free port between {FIRST_PORT} and {LAST_PORT}")


def check_descriptors(scenario: Scenario, machines: int) -> None:
    """Raises LabError if the lab might run out of descriptors, which would falsify the results.

    `machines` counts all upstreams of the run.
    """
    available = raise_limit()
    sidecars, zones = scenario.sidecars, len(scenario.fleet.zones)
    fleet = machines * zones + sidecars.count * sidecars.sockets // scenario.fleet.processes + 100
    # Clients hold at most as many connections as the sidecars can; during a stall, arrivals add to them.
    longest = max(method.hard_ms for method in scenario.methods) / 1000
    most_connections = min(
        scenario.callers.connections * sidecars.count,
        sidecars.count * sidecars.sockets + max_rate(scenario.load) * longest,
    )
    for what, need in (
        ("the fleet", fleet),
        ("a generator", int(most_connections) // scenario.load.processes + 100),
    ):
        if need > available:
            raise LabError(
                f"{what} may need {need} descriptors and may have {available} (ulimit -n): raise it, or "
                "share the work among more processes"
            )


def stat_of(pid: int) -> dict | None:
    """Resource usage of a process from /proc; None if it is gone.

    cpu: CPU time, s
    rss, peak: resident memory and its peak, KiB
    delay: time runnable without a core, s
    fds: open descriptors
    """
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        status = dict(line.split(":", 1) for line in Path(f"/proc/{pid}/status").read_text().splitlines())
        delay = int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
        return {
            "cpu": (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND,
            "rss": int(status["VmRSS"].split()[0]),
            "peak": int(status["VmHWM"].split()[0]),
            "delay": round(delay, 3),
            "fds": len(os.listdir(f"/proc/{pid}/fd")),
        }
    except (OSError, KeyError, IndexError, ValueError):
        return None


class Process:
    """One process of the run, with messages to and from it as JSON lines."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name, self.process = name, process
        self.messages: asyncio.Queue = asyncio.Queue()
        self.reading = asyncio.create_task(self.read()) if process.stdout else None

    async def read(self) -> None:
        while line := await self.process.stdout.readline():
            with contextlib.suppress(orjson.JSONDecodeError):
                self.messages.put_nowait(orjson.loads(line))
        self.messages.put_nowait({"what": "gone"})

    def send(self, **what) -> None:
        if self.process.returncode is None:
            self.process.stdin.write(orjson.dumps(what, option=orjson.OPT_APPEND_NEWLINE))

    async def expect(self, what: str, limit: float) -> dict:
        """Waits for a message of this kind and drops all others.

        Raises LabError if the process ends or `limit` seconds pass.
        """
        try:
            async with asyncio.timeout(limit):
                while True:
                    message = await self.messages.get()
                    if message["what"] == what:
                        return message
                    if message["what"] == "gone":
                        raise LabError(f"{self.name} ended by itself; its log says why")
        except TimeoutError:
            raise LabError(f"{self.name} said nothing for {limit:g} s") from None
