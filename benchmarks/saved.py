"""Benchmarks of the saved endpoint list: `python benchmarks/saved.py NAME`. The names:

matrix    service in the first 20 s while discovery is down, by age and stale share of the list; compared
          with discovery up, no saved list, and a list that is trusted whatever its age
kills     a writer is killed with SIGKILL a thousand times while its list changes
restarts  real sidecars are killed with SIGKILL, a thousand times in all, about once a second, while the
          list changes
cost      CPU and bytes per second of saving a list that changes
startup   time to read and assess a saved list, by its number of rows
slowdisk  longest stall of the event loop while the disk takes a second for every write
"""

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from pathlib import Path
from random import Random

import msgspec

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from shedgrade.sidecar.endpoint_snapshot.config import SavedListConfig
from shedgrade.sidecar.endpoint_snapshot.files import Files
from shedgrade.sidecar.endpoint_snapshot.recovery import recover
from shedgrade.sidecar.endpoint_snapshot.snapshot import Snapshot
from shedgrade.sidecar.endpoint_snapshot.source import SavedList
from shedgrade.sidecar.endpoint_snapshot.store import Store
from shedgrade.sidecar.endpoint_snapshot.trust import TrustConfig, assess
from shedgrade.sidecar.endpoint_snapshot.wall_clock import WallClock

SETTINGS = {"zones": ["a", "b"], "shapes": ["std"]}


def entry(number: int, lifecycle: str = "in_service") -> dict:
    return {
        "instanceId": f"u{number:05d}",
        "hostPort": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7000",
        "zone": "ab"[number % 2],
        "machineType": "std",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 1_700_000_000_000 + number,
    }


def stream(seed: int, rows: int = 50):
    """Yields endless records: a full list, then changes that each replace one instance."""
    random, wall, generation, number = Random(seed), WallClock(), 1, rows
    alive = list(range(rows))
    fields = msgspec.structs.astuple(wall.now())
    yield {"k": "list", "rows": [entry(one) for one in alive], "whole": True, "generation": 1, "at": fields}
    while True:
        generation += 1
        one = alive.pop(random.randrange(len(alive)))
        changed_rows = [entry(one, "terminated"), entry(number)]
        alive.append(number)
        number += 1
        yield {"k": "list", "rows": changed_rows, "whole": False, "generation": generation, "at": fields}


def contents(snapshot: Snapshot) -> tuple:
    return snapshot.generation, frozenset(snapshot.endpoints)


def kills(count: int, folder: Path, most: float = 0.02, seed: int = 1) -> dict:
    """Kills forked writers after random times and checks that each recovery finds a list that was written."""
    random, wall = Random(seed), WallClock()
    worst, furthest = 0.0, 0
    for number in range(count):
        child = os.fork()
        if child == 0:
            try:
                store = Store(Files(folder), "n1", wall.now, "never")
                store.open()
                store.start()
                for record in stream(number):
                    store.put(record)
                    time.sleep(0.0002)
            finally:
                os._exit(1)
        time.sleep(random.uniform(0.002, most))
        os.kill(child, signal.SIGKILL)
        os.waitpid(child, 0)
        begun = time.perf_counter()
        files = Files(folder)
        found = recover(files, "n1") if folder.exists() else None
        worst = max(worst, time.perf_counter() - begun)
        if found is None or not found.snapshot.generation:
            continue
        furthest = max(furthest, found.snapshot.generation)
        # The recovered list must be one that a writer wrote: the prefix of its stream up to that generation.
        for writer in range(number, -1, -1):
            snapshot = Snapshot()
            for record in stream(writer):
                snapshot.apply(record)
                if snapshot.generation >= found.snapshot.generation:
                    break
            if contents(snapshot) == contents(found.snapshot):
                break
        else:
            raise AssertionError(f"kill {number}: generation {found.snapshot.generation} was never written")
        sizes = sum(path.stat().st_size for path in folder.iterdir())
    return {
        "kills": count,
        "furthest generation": furthest,
        "slowest recovery ms": round(worst * 1000, 1),
        "folder bytes at the end": sizes,
    }


def cost(seconds: float, changes: float, rows: int, folder: Path, sync: str = "interval") -> dict:
    """Saves a list of `rows` entries with `changes` changes a second, and the learned state every 10 s."""

    async def scene() -> dict:
        saved = SavedList(SavedListConfig(folder=str(folder), sync=sync), "n1", SETTINGS)
        saved.open()
        saved.initial_list()
        saved.start()
        records = stream(1, rows)
        cpu, begun, told_at, count = time.process_time(), time.monotonic(), 0.0, 0
        loop_cpu = 0.0
        while (now := time.monotonic() - begun) < seconds:
            record = next(records)
            at = time.thread_time()
            saved.save_list(
                {"generation": record["generation"], "reset": record["whole"], "instances": record["rows"]}
            )
            if now >= told_at:
                told_at += 10
                saved.save_learned(
                    {
                        "v": 1,
                        "sums": [1.0] * 5,
                        "memory": 1.0,
                        "late": 0.0,
                        "kinds": [],
                        "windows": [],
                        "ups": [[0, 1.0, 1.0, 1.0, 1.0, 1.0]] * rows,
                    },
                    ["u0"],
                )
            loop_cpu += time.thread_time() - at
            count += 1
            await asyncio.sleep(1 / changes)
        spent = time.process_time() - cpu
        saved.close()
        return {
            "rows": rows,
            "changes/s": round(count / seconds, 1),
            "cpu ms/s, process": round(spent / seconds * 1000, 2),
            "cpu ms/s, event loop thread": round(loop_cpu / seconds * 1000, 3),
            "bytes/s": round(saved.store.bytes_written / seconds),
            "writes/s": round(saved.store.writes / seconds, 1),
        }

    return asyncio.run(scene())


def startup(rows: int, folder: Path) -> dict:
    """Measures the start from a saved list, from the folder of files to the trust assessment of each row."""
    wall = WallClock()
    store = Store(Files(folder), "n1", wall.now, "never")
    store.open()
    store.write_batch(
        [
            {
                "k": "list",
                "rows": [entry(number) for number in range(rows)],
                "whole": True,
                "generation": 1,
                "at": msgspec.structs.astuple(wall.now()),
            }
        ],
        False,
    )
    store.close()
    begun = time.perf_counter()
    found = recover(Files(folder), "n1")
    read = time.perf_counter() - begun
    verdicts = assess(found.snapshot, wall.now(), TrustConfig())
    assessed = time.perf_counter() - begun - read
    begun = time.perf_counter()
    again = Store(Files(folder), "n1", wall.now)
    again.open()
    opened = time.perf_counter() - begun
    again.close()
    return {
        "rows": len(verdicts),
        "read ms": round(read * 1000, 1),
        "assess ms": round(assessed * 1000, 1),
        "open, snapshot synced, ms": round(opened * 1000, 1),
    }


async def restarts(count: int, lanes: int, parent_folder: Path) -> dict:
    """Runs and kills sidecars whose stand-in discovery changes the list ten times a second."""
    from random import Random as Chance

    from shedgrade.lab.listing import Discovery
    from shedgrade.lab.processes import free_port
    from shedgrade.lab.worker import tied

    loop, random = asyncio.get_running_loop(), Chance(1)
    discovery = Discovery(loop, time.monotonic, lanes, [0.0, 0.05], 1, lambda entry: None)
    ports = [(free_port(random), free_port(random)) for _ in range(lanes)]
    await discovery.listen([[("127.0.0.1", port)] for _, port in ports])
    for agent in discovery.agents:
        agent.entries = {entry(number)["instanceId"]: entry(number) for number in range(50)}
    listed_ids = {entry(number)["instanceId"] for number in range(50)}
    done = {
        "kills": 0,
        "starts that failed": 0,
        "damaged": 0,
        "rows never listed": 0,
        "starts from the saved list": 0,
    }

    async def churn() -> None:
        records = stream(1)
        next(records)
        while True:
            for one in next(records)["rows"]:
                listed_ids.add(one["instanceId"])
                discovery.change([one] * lanes)
            await asyncio.sleep(0.1)

    async def lane(number: int) -> None:
        listen, port = ports[number]
        folder = parent_folder / f"n{number}"
        method = {
            "name": "m",
            "idempotency": "once",
            "group": "all",
            "payoff": 1.0,
            "soft_deadline": 600.0,
            "hard_deadline": 1200.0,
            "overdue_payoff": 0.0,
            "repeat_window": 0.0,
        }
        settings = {
            "az": 0,
            "balancers": 1,
            "membership_mode": "pushed",
            "tick": 1.0,
            "zones": ["a", "b"],
            "shapes": ["std"],
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
                "dial_timeout": 250.0,
                "idle_close": 15000.0,
            },
            "rules": {
                "ask_every": 10_000.0,
                "cold": 10_000.0,
                "cold_from": 0.2,
                "fall_multiple": 3.0,
                "overload_for": 2000.0,
                "stop_sending_within": 500.0,
            },
        }
        (parent_folder / f"{number}.json").write_text(
            json.dumps(
                {
                    "name": f"n{number}",
                    "listen": f"127.0.0.1:{listen}",
                    "discovery": f"127.0.0.1:{port}",
                    "settings": settings,
                }
            )
        )
        (parent_folder / f"{number}.toml").write_text(f'[saved]\nfolder = "{folder}"\nstate_s = 0.1\n')
        for _ in range(count // lanes):
            log = parent_folder / f"{number}.log"
            with log.open("wb") as file:
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "shedgrade",
                    "serve",
                    "--config",
                    str(parent_folder / f"{number}.json"),
                    "--features",
                    str(parent_folder / f"{number}.toml"),
                    stderr=file,
                    preexec_fn=tied(None, 9),
                    cwd=Path(__file__).resolve().parents[1],
                )
            until = time.monotonic() + 30
            while (
                b"after=serving" not in log.read_bytes()
                and process.returncode is None
                and (time.monotonic() < until)
            ):
                await asyncio.sleep(0.02)
            await asyncio.sleep(random.uniform(0.0, 0.5))
            text = log.read_text()
            done["starts that failed"] += process.returncode is not None or "after=serving" not in text
            done["damaged"] += "damaged" in text
            done["starts from the saved list"] += (
                "endpoint list source changed previous=nothing source=saved" in text
            )
            if process.returncode is None:
                process.kill()
            await process.wait()
            done["kills"] += 1
            snapshot = recover(Files(folder), f"n{number}").snapshot
            done["rows never listed"] += bool(set(snapshot.endpoints) - listed_ids)

    task = asyncio.create_task(churn())
    await asyncio.gather(*(lane(number) for number in range(lanes)))
    task.cancel()
    return done


class SlowFiles(Files):
    """A disk that takes a second for every write while `slow`."""

    slow = False

    def append(self, name: str, data: bytes) -> None:
        if self.slow:
            time.sleep(1.0)
        super().append(name, data)


def slowdisk(seconds: float, folder: Path) -> dict:
    """Measures the delay of a 1 ms timer on the event loop while discovery sends 100 changes a second."""

    async def scene() -> dict:
        files = SlowFiles(folder)
        saved = SavedList(SavedListConfig(folder=str(folder), sync="always"), "n1", SETTINGS, files=files)
        saved.open()
        saved.initial_list()
        saved.start()
        files.slow = True
        records, worst, begun, count = stream(1, 200), 0.0, time.monotonic(), 0
        while time.monotonic() - begun < seconds:
            record = next(records)
            at = time.monotonic()
            saved.save_list(
                {"generation": record["generation"], "reset": record["whole"], "instances": record["rows"]}
            )
            await asyncio.sleep(0.001)
            worst = max(worst, time.monotonic() - at - 0.001)
            await asyncio.sleep(0.009)
            count += 1
        files.slow = False
        saved.close()
        return {
            "changes": count,
            "longest stall of the event loop ms": round(worst * 1000, 2),
            "writes to the disk": saved.store.writes,
        }

    return asyncio.run(scene())


def matrix(lanes: int, rounds: int, out: Path, length: float = 20.0) -> list[str]:
    """Measures the service of the first seconds while discovery is down, by age and stale share."""
    from shedgrade.lab import experiments
    from shedgrade.lab.scenario import load

    path = Path(__file__).resolve().parents[1] / "scenarios/saved-start.toml"
    base = [
        f"length_s={length}",
        f"fleet.discovery.silent_until_s={length - 2}",
        "load.shapes.0.rate=200",
        "callers.retries=0",
    ]
    variants = [
        (
            "discovery up",
            load(
                path,
                [
                    *base,
                    "fleet.discovery.silent_until_s=0",
                    "sidecars.saved.trust=off",
                    "sidecars.await_list=true",
                ],
            ),
        ),
        ("no saved list", load(path, [*base, "sidecars.saved.trust=off"])),
    ]
    for age in (5, 300, 7200):
        for stale in (0.0, 0.5, 0.9):
            for trust in ("graded", "blind"):
                sets = [
                    f"sidecars.saved.age_s={age}",
                    f"sidecars.saved.stale={stale}",
                    f"sidecars.saved.trust={trust}",
                    f"sidecars.saved.cold={str(age > 5).lower()}",
                ]
                variants.append((f"{trust}, {age} s, {stale:.0%} stale", load(path, [*base, *sets])))
    found = experiments.run_rounds(variants, rounds, out, lanes, lambda line: print(line, file=sys.stderr))
    rows = [
        "| start | service | of discovery up | p99 ms | max ms | errored | fell over | breaches |",
        "|" + " --- |" * 8,
    ]
    whole = None
    for label, runs in found.items():
        sound = [one for one in runs if one]
        if not sound:
            rows.append(f"| {label} | no result |" + " |" * 6)
            continue

        def mean(read, sound=sound) -> float:
            return sum(map(read, sound)) / len(sound)

        service = mean(lambda one: one["figures"]["service"])
        whole = whole or service
        rows.append(
            f"| {label} | {service:.3f} | {service / whole:.3f} "
            f"| {mean(lambda one: one['latency_ms'].get('p99', 0)):.0f} "
            f"| {mean(lambda one: one['latency_ms'].get('max', 0)):.0f} "
            f"| {mean(lambda one: one['figures']['hows'].get('failed', 0)):.1f} "
            f"| {mean(lambda one: one['figures']['fell']):.1f} "
            f"| {mean(lambda one: len(one['breaches'])):.1f} |"
        )
    return rows


def main() -> None:
    benchmark = sys.argv[1] if len(sys.argv) > 1 else ""
    with tempfile.TemporaryDirectory() as parent_folder:
        folder = Path(parent_folder) / "n1"
        if benchmark == "matrix":
            print("\n".join(matrix(int(os.environ.get("LANES", "2")), 1, Path(parent_folder))))
        elif benchmark == "kills":
            print(kills(1000, folder))
        elif benchmark == "restarts":
            print(asyncio.run(restarts(1000, int(os.environ.get("LANES", "4")), Path(parent_folder))))
        elif benchmark == "cost":
            for number, changes in enumerate((1, 10, 100)):
                print(cost(10, changes, 100, Path(parent_folder) / str(number)))
        elif benchmark == "startup":
            for rows in (10, 100, 1000, 10_000):
                print(startup(rows, Path(parent_folder) / str(rows)))
        elif benchmark == "slowdisk":
            print(slowdisk(10, folder))
        else:
            print(__doc__)
            sys.exit(2)


if __name__ == "__main__":
    main()
