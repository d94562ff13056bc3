"""Measures an edge's CPU per request and per streamed event: `python benchmarks/streams.py [--seconds S]`.

Starts three core processes, one edge, a stand-in platform and a stand-in upstream on loopback addresses, and
puts a configuration. Then measures the edge's CPU time and the completed requests: for short answers, and
for streams of events at several numbers of concurrent streams, a line each.
"""

import argparse
import asyncio
import json
import os
import subprocess
import sys
import tempfile
import urllib.request
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import contextlib

import yaml

PLATFORM, UPSTREAM, EDGE = ("127.0.0.20", 8266), ("127.0.0.30", 9000), ("127.0.0.10", 8161)
CORES = ("127.0.0.2", "127.0.0.3", "127.0.0.4")
ZONES = {"zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c"}
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
EVENTS_PER_STREAM = 200


def process_settings(name: str, role: str, ip: str, zone: str, listen: dict, folder: str | None) -> dict:
    return {
        "nodeName": name,
        "role": role,
        "machineClass": role,
        "servedRoles": list(listen),
        "ipAddress": ip,
        "zone": zone,
        "region": ZONES[zone],
        "zones": ZONES,
        "listenAddresses": listen,
        "internalPortRange": [7300, 7315],
        "seedNodes": [f"{core}:8262" for core in CORES],
        "initialStart": True,
        "lossCounted": role == "core",
        "limits": {
            "cpuShare": 1.0,
            "cores": 1,
            "memoryMb": 300,
            "fileDescriptors": 4100,
            "linkMbps": 1000.0,
            "diskMb": 128 if folder else 0,
        },
        "dataDir": folder,
        "heartbeatMs": 1200,
        "activeContracts": ["base"],
        "toleratedLosses": {"machines": 1, "zones": 1, "regions": 1},
        "timingBounds": {},
        "cloudApi": {"address": "{}:{}".format(*PLATFORM), "ratePerS": 40.0, "dutyList": [], "maxLagMs": 800},
    }


CONFIGURATION = {
    "configVersion": 1,
    "routeList": [
        {
            "name": "short",
            "host": "x.example",
            "pathPrefix": "/short/",
            "routeClass": "safe",
            "timeoutMs": 30_000,
            "targetMs": 800,
            "priority": 1,
            "service": "model",
            "maxAttempts": 2,
        },
        {
            "name": "stream",
            "host": "x.example",
            "pathPrefix": "/stream/",
            "routeClass": "streaming",
            "timeoutMs": 60_000,
            "targetMs": 800,
            "priority": 1,
            "service": "model",
            "maxAttempts": 2,
            "resumable": True,
            "gap_aim_ms": 400,
        },
    ],
    "serviceList": [{"name": "model", "maxConnections": 2000}],
}


async def platform(reader, writer) -> None:
    entry = {
        "instanceId": "i-1",
        "service": "model",
        "address": "{}:{}".format(*UPSTREAM),
        "zone": "zone-a",
        "configVersion": "v1",
        "capacitySlots": 2000,
        "state": "available",
        "coldLeftMs": 0,
    }
    body = json.dumps({"instanceList": [entry], "nextToken": None}).encode()
    answer = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
    while await reader.readuntil(b"\r\n\r\n"):
        writer.write(answer + body)


async def upstream(reader, writer, pause: float) -> None:
    while head := await reader.readuntil(b"\r\n\r\n"):
        lines = head.split(b"\r\n")
        name = next(line for line in lines if line.lower().startswith(b"attempt-id"))
        start = b"HTTP/1.1 200 OK\r\n" + name + b"\r\nServer-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
        if b"/stream/" not in lines[0]:
            writer.write(start + b"Content-Length: 5\r\n\r\nhello")
            continue
        writer.write(start + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        for number in range(EVENTS_PER_STREAM):
            event = b"id: %d\ndata: %s\n\n" % (number + 1, b"token " * 5)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(pause)
        writer.write(b"0\r\n\r\n")


async def ignore_disconnects(handler, *args) -> None:
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
        await handler(*args)


class Load:
    """Clients that each have one request in progress; counts complete answers and refusals."""

    def __init__(self) -> None:
        self.completed = self.refused = self.number = 0

    async def client(self, path: bytes, until: float) -> None:
        loop = asyncio.get_running_loop()
        end = b"0\r\n\r\n" if path == b"/stream/" else b"hello"
        reader, writer = await asyncio.open_connection(*EDGE)
        while loop.time() < until:
            self.number += 1
            writer.write(
                b"GET %s HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: %016x\r\nTime-Remaining: 30000"
                b"\r\n\r\n" % (path, self.number)
            )
            head = await reader.readuntil(b"\r\n\r\n")
            if b" 200 " not in head.split(b"\r\n")[0]:
                self.refused += 1
                writer.close()
                reader, writer = await asyncio.open_connection(*EDGE)
                continue
            await reader.readuntil(end)
            self.completed += 1
        writer.close()


def cpu_seconds(process) -> float:
    """Returns the CPU time that a process has used so far, in seconds."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mib(process) -> float:
    return int(Path(f"/proc/{process.pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


async def wait_until_ready(path: str) -> None:
    """Waits until the edge's readiness check succeeds."""

    def is_ready() -> bool:
        try:
            return urllib.request.urlopen(path, timeout=1).status == 200
        except OSError:
            return False

    while not await asyncio.to_thread(is_ready):
        await asyncio.sleep(0.2)


async def measure(processes: dict, seconds: float, streams: list[int], pause: float) -> None:
    loop = asyncio.get_running_loop()
    servers = [
        await asyncio.start_server(lambda *ends: ignore_disconnects(platform, *ends), *PLATFORM),
        await asyncio.start_server(
            lambda *ends: ignore_disconnects(upstream, *ends, pause), *UPSTREAM, backlog=4096
        ),
    ]
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(CONFIGURATION, file)
        file.flush()
        put = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "shedgrade.ctl",
            "config",
            "put",
            file.name,
            "--deadline=20",
            *(f"--control={core}:8262" for core in CORES),
        )
        assert await put.wait() == 0
    async with asyncio.timeout(20):
        await wait_until_ready("http://127.0.0.10:8162/readiness")
    edge, cores = processes["edge"], [processes[name] for name in ("core-a", "core-b", "core-c")]
    before = cpu_seconds(edge), [cpu_seconds(core) for core in cores]
    await asyncio.sleep(5)
    idle = [(cpu_seconds(core) - was) / 5 * 100 for core, was in zip(cores, before[1], strict=True)]
    print(
        f"idle: edge {(cpu_seconds(edge) - before[0]) / 5 * 100:.2f}% of a core, "
        f"{resident_mib(edge):.1f} MB; "
        f"cores {', '.join(f'{part:.2f}%' for part in idle)}, "
        f"{', '.join(f'{resident_mib(core):.1f}' for core in cores)} MB"
    )
    for path, counts in ((b"/short/", [8]), (b"/stream/", streams)):
        for count in counts:
            load, begun = Load(), cpu_seconds(edge)
            until = loop.time() + seconds
            started = loop.time()
            await asyncio.gather(*(ignore_disconnects(load.client, path, until) for _ in range(count)))
            spent, took = cpu_seconds(edge) - begun, loop.time() - started
            units = load.completed * (EVENTS_PER_STREAM if path == b"/stream/" else 1)
            print(
                f"{path.decode()} {count} concurrent: {load.completed} complete, {load.refused} refused, "
                f"{units / took:.0f} {'events' if path == b'/stream/' else 'requests'} per second, "
                f"{spent / units * 1e6:.0f} us each, edge at {100 * spent / took:.0f}% of a core, "
                f"{resident_mib(edge):.1f} MB"
            )
    for server in servers:
        server.close()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--pause", type=float, default=0.033, help="s between events of a stream")
    parser.add_argument("--streams", type=int, nargs="*", default=[30, 120, 360])
    options = parser.parse_args()
    processes = {}
    with tempfile.TemporaryDirectory() as folder:
        try:
            for zone, ip, name in zip(ZONES, CORES, ("core-a", "core-b", "core-c"), strict=True):
                data = Path(folder, name)
                data.mkdir()
                listen = {"control": f"{ip}:8262", "directory": f"{ip}:8263"}
                processes[name] = start_process(
                    folder, process_settings(name, "core", ip, zone, listen, str(data))
                )
            listen = {"front": "{}:{}".format(*EDGE), "readiness": "127.0.0.10:8162"}
            processes["edge"] = start_process(
                folder, process_settings("edge", "edge", EDGE[0], "zone-a", listen, None)
            )
            asyncio.run(measure(processes, options.seconds, options.streams, options.pause))
        finally:
            for process in processes.values():
                process.terminate()
            for process in processes.values():
                process.wait()


def start_process(folder: str, node_settings: dict) -> subprocess.Popen:
    path = Path(folder, node_settings["nodeName"] + ".yaml")
    path.write_text(yaml.safe_dump(node_settings))
    module = "shedgrade.controlplane" if node_settings["machineClass"] == "core" else "shedgrade.dataplane"
    return subprocess.Popen(
        [sys.executable, "-m", module, "--settings", str(path)], cwd=Path(__file__).resolve().parents[1]
    )


if __name__ == "__main__":
    main()
