"""Benchmarks of tunnels: `python benchmarks/tunnels.py [relay|handshakes|idle]`.

A real sidecar on loopback; a stand-in upstream and the clients run in processes of their own.

relay        bytes per second through one opaque tunnel, and the sidecar's CPU per GB
handshakes   tunnels opened and closed per second, and the sidecar's CPU per tunnel
idle         memory per idle opaque tunnel; latency of RPCs (200 a second, open loop) before and beside 5,000
"""

import asyncio
import json
import os
import resource
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

import uvloop

from shedgrade.lab.processes import free_port, stat_of
from shedgrade.lab.worker import raise_limit, tied
from shedgrade.sidecar.tunnel import connect, socks
from shedgrade.sidecar.tunnel.destinations import destination

IDLE_TUNNELS = 5_000


class UpstreamProtocol(asyncio.Protocol):
    """Discards what it receives, but answers HTTP requests that arrive in one piece."""

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if data.startswith(b"POST /m"):
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


def run_upstream(port: int) -> None:
    """Runs the stand-in upstream; the body of a process."""

    async def run() -> None:
        server = await asyncio.get_running_loop().create_server(
            UpstreamProtocol, "127.0.0.1", port, backlog=4096
        )
        await server.serve_forever()

    raise_limit()
    uvloop.run(run())


class SidecarSetup:
    """A sidecar and a stand-in upstream, as processes."""

    def __init__(self, folder: Path) -> None:
        import random

        chance = random.Random()
        self.front, self.socks, self.connect, self.up = (free_port(chance) for _ in range(4))
        method = {
            "name": "m",
            "idempotency": "once",
            "group": "all",
            "payoff": 1.0,
            "soft_deadline": 4000.0,
            "hard_deadline": 8000.0,
            "overdue_payoff": 0.0,
            "repeat_window": 0.0,
        }
        entry = {
            "instanceId": "s-0",
            "hostPort": f"127.0.0.1:{self.up}",
            "zone": "a",
            "machineType": "k",
            "cell": 0,
            "lifecycle": "in_service",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        (folder / "c.json").write_text(
            json.dumps(
                {
                    "name": "n1",
                    "listen": f"127.0.0.1:{self.front}",
                    "discovery": f"127.0.0.1:{free_port(chance)}",
                    "seed": "1",
                    "limits": {"memory_mb": 1024, "sockets": 16_000},
                    "known": {
                        "generation": 1,
                        "reset": True,
                        "instances": [{**entry, "instanceId": f"s-{number}"} for number in range(8)],
                    },
                    "settings": {
                        "az": 0,
                        "balancers": 1,
                        "membership_mode": "pushed",
                        "tick": 1.0,
                        "zones": ["a"],
                        "shapes": ["k"],
                        "prices": {},
                        "report": {"fields": [], "via": "off"},
                        "methods": [method],
                        "limits": {
                            "most_transmissions": 3,
                            "parallel_tries": False,
                            "cancelling": True,
                            "retry_after": False,
                            "max_retry_after": 1000.0,
                            "probes": False,
                            "may_tell": False,
                            "dial_timeout": 2000.0,
                            "idle_close": 60_000.0,
                        },
                        "rules": {
                            "ask_every": 10_000.0,
                            "cold": 10_000.0,
                            "cold_from": 0.2,
                            "fall_multiple": 3.0,
                            "overload_for": 2000.0,
                            "stop_sending_within": 500.0,
                        },
                    },
                }
            )
        )
        (folder / "f.toml").write_text(
            f'[tunnel]\nsocks = "127.0.0.1:{self.socks}"\nconnect = "127.0.0.1:{self.connect}"\nmost = 9000\n'
            "open_ms = 8000.0\nidle_s = 3600.0\n"
            '[[tunnel.routes]]\nnames = ["raw.internal"]\nuse = "opaque"\nmethod = "m"\n'
        )
        begin = tied(None, 9)
        self.upstream = subprocess.Popen(
            [sys.executable, __file__, "upstream", str(self.up)], preexec_fn=begin
        )
        self.sidecar = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "shedgrade",
                "serve",
                "--config",
                str(folder / "c.json"),
                "--features",
                str(folder / "f.toml"),
                "--log-level",
                "ERROR",
            ],
            cwd=ROOT,
            preexec_fn=begin,
        )

    async def wait_until_listening(self) -> None:
        for port in (self.up, self.front):
            for _ in range(200):
                try:
                    _, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.close()
                    break
                except OSError:
                    await asyncio.sleep(0.05)

    def sidecar_stats(self) -> dict:
        return stat_of(self.sidecar.pid)

    def end(self) -> None:
        for process in (self.sidecar, self.upstream):
            process.terminate()
        for process in (self.sidecar, self.upstream):
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()

    async def tunnel(self, kind: str = "connect"):
        """Opens an opaque tunnel; returns its streams, or None if it was refused."""
        port = self.connect if kind == "connect" else self.socks
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        where = destination("raw.internal", 80)
        codec = connect.Dialling(where) if kind == "connect" else socks.Dialling(where)
        writer.write(codec.take_out())
        while not codec.done and not codec.failed:
            data = await reader.read(4096)
            if not data:
                break
            codec.receive(data)
            writer.write(codec.take_out())
        if not codec.done:
            writer.close()
            return None
        return reader, writer


async def relay(setup: SidecarSetup, total: int = 2 << 30) -> dict:
    _, writer = await setup.tunnel()
    before, begun, block = setup.sidecar_stats(), time.monotonic(), b"x" * (1 << 18)
    for _ in range(total // len(block)):
        writer.write(block)
        await writer.drain()
    writer.write_eof()
    while time.monotonic() < begun + 120 and writer.transport.get_write_buffer_size():
        await asyncio.sleep(0.01)
    took, after = time.monotonic() - begun, setup.sidecar_stats()
    writer.close()
    return {
        "GB": round(total / 1e9, 2),
        "MB/s": round(total / took / 1e6),
        "CPU s/GB": round((after["cpu"] - before["cpu"]) / (total / 1e9), 2),
        "peak MB": after["peak"] // 1024,
    }


async def handshakes(setup: SidecarSetup, count: int = 3000, workers: int = 2) -> dict:
    found = {}
    for kind in ("connect", "socks5"):
        before, begun, good = setup.sidecar_stats(), time.monotonic(), 0

        async def work(kind=kind) -> int:
            done = 0
            for _ in range(count // workers):
                streams = await setup.tunnel(kind)
                if streams is not None:
                    done += 1
                    streams[1].close()
            return done

        good = sum(await asyncio.gather(*(work() for _ in range(workers))))
        took, after = time.monotonic() - begun, setup.sidecar_stats()
        found[kind] = {
            "opened": good,
            "per second": round(count / took),
            "CPU us per tunnel": round((after["cpu"] - before["cpu"]) / count * 1e6),
        }
    return found


async def rpcs(setup: SidecarSetup, rate: float = 200.0, seconds: float = 10.0) -> dict:
    """Sends RPCs in an open loop over kept connections; returns latencies from the scheduled start, ms."""
    pool, took, tasks, late = [], [], [], 0.0

    async def one(number: int, due: float) -> None:
        reader, writer = pool.pop() if pool else await asyncio.open_connection("127.0.0.1", setup.front)
        writer.write(
            b"POST /m HTTP/1.1\r\nHost: x\r\nX-Request-ID: r%d\r\nX-Timeout-Ms: 4000\r\n"
            b"Content-Length: 0\r\n\r\n" % number
        )
        head = await reader.readuntil(b"\r\n\r\n")
        size = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        await reader.readexactly(size)
        took.append((time.monotonic() - due) * 1000 if b" 200 " in head[:20] else 1e9)
        pool.append((reader, writer))

    begun = time.monotonic() + 0.05
    for number in range(int(rate * seconds)):
        due = begun + number / rate
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        late = max(late, time.monotonic() - due)
        tasks.append(asyncio.create_task(one(number, due)))
    await asyncio.gather(*tasks)
    for _, writer in pool:
        writer.close()
    took.sort()
    return {
        "p50": round(took[len(took) // 2], 2),
        "p99": round(took[int(len(took) * 0.99)], 2),
        "max": round(took[-1], 2),
        "not served": sum(one >= 1e9 for one in took),
        "sender late, ms": round(late * 1000, 1),
    }


async def idle(setup: SidecarSetup) -> dict:
    await rpcs(setup, seconds=3)  # warm-up
    before = {"latency before, ms": await rpcs(setup), "rss MB": setup.sidecar_stats()["rss"] / 1024}
    held, refused = [], 0
    while len(held) < IDLE_TUNNELS and refused < 50:
        for streams in await asyncio.gather(*(setup.tunnel() for _ in range(4))):
            if streams is None:
                refused += 1
                await asyncio.sleep(0.02)
            else:
                held.append(streams)
    await asyncio.sleep(2)
    sidecar_stats = setup.sidecar_stats()
    beside = await rpcs(setup)
    return {
        "idle tunnels": len(held),
        "refused on the way": refused,
        **before,
        "KB per idle tunnel": round((sidecar_stats["rss"] - before["rss MB"] * 1024) / max(1, len(held)), 1),
        "descriptors": sidecar_stats["fds"],
        "latency beside them, ms": beside,
    }


def main() -> None:
    benchmark = sys.argv[1] if len(sys.argv) > 1 else ""
    if benchmark == "upstream":
        run_upstream(int(sys.argv[2]))
        return
    jobs = {"relay": relay, "handshakes": handshakes, "idle": idle}
    if benchmark and benchmark not in jobs:
        print(__doc__)
        sys.exit(2)
    raise_limit()
    if resource.getrlimit(resource.RLIMIT_NOFILE)[0] < 2 * IDLE_TUNNELS + 1000 and benchmark in ("", "idle"):
        sys.exit("idle: too few descriptors (ulimit -n)")

    async def run(job) -> None:
        with tempfile.TemporaryDirectory() as folder:
            setup = SidecarSetup(Path(folder))
            try:
                await setup.wait_until_listening()
                print(job.__name__, await job(setup), flush=True)
            finally:
                setup.end()

    for name, job in jobs.items():
        if benchmark in ("", name):
            uvloop.run(run(job))


if __name__ == "__main__":
    os.environ.setdefault("PYTHONHASHSEED", "0")
    main()
