"""Measures the cost of watching edges in three core processes.

Usage: python benchmarks/watching.py [--edges N] [--upstreams N] [--moved N] [--rate N]

Starts three core processes. A stand-in platform, of whose list `--moved` entries change each time it is read,
and the edges, which only send watch requests, run in this process. Prints requests, full lists, deltas, bytes
and the CPU of each core process in the first seconds, when all edges start at once, and afterwards.
"""

import argparse
import asyncio
import json
import sys
import tempfile
from collections import Counter
from pathlib import Path
from random import Random

import streams
import uvloop

from shedgrade import control_messages
from shedgrade.control_messages import READY, EdgeStatus, EndpointUpdate
from shedgrade.dataplane.control_client import (
    ApplyUpdates,
    RequestFailedEvent,
    ResponseEvent,
    SendWatchRequest,
    TickEvent,
    Watcher,
)
from shedgrade.dataplane.received_state import Update
from shedgrade.peer_transport.connection import PeerCallError
from shedgrade.peer_transport.tcp import PeerConnectionPool

SPAN_S = 5  # duration of each measurement
PAGE_SIZE = 50  # entries of a page


class StandInPlatform:
    """Serves the list in pages; some entries change each time its first page is read."""

    def __init__(self, count: Counter, upstreams: int, moved: int) -> None:
        self.count, self.moved, self.random = count, moved, Random(1)
        zones = list(streams.ZONES)
        self.entries = [
            {
                "instanceId": f"i-{number:08x}",
                "service": "model",
                "capacitySlots": 64,
                "address": f"10.9.{number >> 8}.{number & 255}:8080",
                "zone": zones[number % 3],
                "configVersion": "v1",
                "state": "available",
                "coldLeftMs": 0,
                "stage": "dual",
                "modelList": [{"name": "m", "configVersion": 1, "adapterList": []}],
            }
            for number in range(upstreams)
        ]

    async def serve(self, reader, writer) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            target = head.split(b" ")[1]
            at = int(target.rpartition(b"p-")[2]) if b"p-" in target else 0
            for entry in self.random.sample(self.entries, self.moved) if at == 0 else ():
                entry["state"] = "draining" if entry["state"] == "available" else "available"
            next_token = f"p-{at + PAGE_SIZE}" if at + PAGE_SIZE < len(self.entries) else None
            body = json.dumps(
                {"instanceList": self.entries[at : at + PAGE_SIZE], "nextToken": next_token}
            ).encode()
            self.count["platform pages"] += 1
            self.count["platform bytes"] += len(body)
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
                + body
            )


class WatchingEdge:
    """An edge that watches the control state and discards the updates."""

    def __init__(self, loop, number: int, count: Counter) -> None:
        self.loop, self.count, self.tasks = loop, count, set()
        address = f"127.0.6.{number % 250}:{7300 + number}"
        state = EdgeStatus(f"edge-{number}", address, "zone-a", "region-a", number, READY)
        self.connections = PeerConnectionPool(
            loop, address, lambda sender, frame: None, address.partition(":")[0]
        )
        self.watcher = Watcher(
            state, [f"{core}:7300" for core in streams.CORES], Random(number), loop.time(), max_wait_s=0.5
        )

    def execute_instructions(self) -> None:
        for instruction in self.watcher.take_instructions():
            match instruction:
                case SendWatchRequest():
                    task = self.loop.create_task(self.call(instruction))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
                case ApplyUpdates(updates):
                    self.count_lists(updates)

    def count_lists(self, updates: tuple[Update, ...]) -> None:
        for update in updates:
            if isinstance(update, EndpointUpdate):
                self.count["full lists" if update.is_full else "deltas"] += 1

    async def call(self, sent: SendWatchRequest) -> None:
        try:
            body = await self.connections.call(
                sent.address, b"K" + control_messages.encode(sent.request), sent.timeout_s
            )
        except PeerCallError:
            self.count["watch requests without a response"] += 1
            self.watcher.handle_event(RequestFailedEvent(self.loop.time(), sent.address, sent.number))
        else:
            self.count["watch requests answered"] += 1
            self.count["bytes received"] += len(body)
            response = control_messages.decode(body[1:])
            self.watcher.handle_event(ResponseEvent(self.loop.time(), sent.address, response, sent.number))
        self.execute_instructions()

    async def run(self) -> None:
        while True:
            self.watcher.handle_event(TickEvent(self.loop.time()))
            self.execute_instructions()
            await asyncio.sleep(max(0.01, min(1.0, self.watcher.wake_at() - self.loop.time())))


async def measure(options, processes: list) -> None:
    loop, count = asyncio.get_running_loop(), Counter()
    platform = StandInPlatform(count, options.upstreams, options.moved)
    server = await asyncio.start_server(
        lambda *ends: streams.ignore_disconnects(platform.serve, *ends), *streams.PLATFORM
    )
    await asyncio.sleep(4)  # the core processes form a quorum and one begins to poll
    edges = [WatchingEdge(loop, number, count) for number in range(options.edges)]
    count.clear()
    tasks = [loop.create_task(edge.run()) for edge in edges]
    for phase in ("first", "settling", "then"):
        count.clear()
        before = [streams.cpu_seconds(process) for process in processes]
        await asyncio.sleep(SPAN_S)
        spent = [
            100 * (streams.cpu_seconds(process) - was) / SPAN_S
            for process, was in zip(processes, before, strict=True)
        ]
        if phase != "settling":
            figures = ", ".join(f"{name} {number / SPAN_S:.1f}" for name, number in sorted(count.items()))
            print(f"{phase} {SPAN_S} s, per second: {figures}")
            print(f"  core processes: {', '.join(f'{part:.0f}%' for part in spent)} of a core")
    for task in tasks:
        task.cancel()
    server.close()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    for name, default_value in (("edges", 300), ("upstreams", 3000), ("moved", 10), ("rate", 400)):
        parser.add_argument(f"--{name}", type=int, default=default_value)
    options = parser.parse_args()
    processes = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            for zone, ip in zip(streams.ZONES, streams.CORES, strict=True):
                name = f"core-{zone[-1]}"
                data = Path(folder, name)
                data.mkdir()
                listen = {"control": f"{ip}:8262", "directory": f"{ip}:8263"}
                node_settings = streams.process_settings(name, "core", ip, zone, listen, str(data))
                node_settings["cloudApi"]["ratePerS"] = float(options.rate)
                processes.append(streams.start_process(folder, node_settings))
            uvloop.run(measure(options, processes))
        finally:
            for process in processes:
                process.terminate()
            for process in processes:
                process.wait()


if __name__ == "__main__":
    sys.exit(main())
