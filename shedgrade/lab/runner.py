"""Runs one scenario: starts fleet, sidecars and generators as processes, injects the faults, and judges.

All traffic is on loopback. The runner ends every process that it started, by its process ID, however the run
ends.
"""

import asyncio
import contextlib
import os
import random
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path

import msgspec
import orjson

from shedgrade.lab import faults, prepared, results
from shedgrade.lab.arrivals import schedule
from shedgrade.lab.processes import LabError, Process, free_port, need_descriptors, stat_of
from shedgrade.lab.scenario import Scenario, ScenarioError
from shedgrade.lab.sidecar_config import sidecar_config
from shedgrade.lab.worker import tied

READY = 30.0  # s until all processes are up; includes compiling and importing on a loaded machine
AFTER = 3.0  # s beyond the longest deadline and retry chain after which open RPCs are abandoned
SAMPLE = 0.25  # s between two samples of the sidecars' memory, CPU and descriptors


class Run:
    """One run of a scenario, with its results in one folder."""

    def __init__(
        self, scenario: Scenario, folder: Path, progress: Callable[[str], None] = lambda line: None
    ) -> None:
        # Absolute, because a sidecar of another checkout has another working directory.
        self.scenario, self.folder, self.progress = scenario, folder.resolve(), progress
        self.fleet: list[Process] = []
        self.generators: list[Process] = []
        self.sidecars: list[Process | None] = [None] * scenario.sidecars.count
        self.logs: list = []
        self.zero = 0.0
        self.at_agent = [0] * scenario.sidecars.count
        self.cores = sorted(os.sched_getaffinity(0))

    def now(self) -> float:
        return time.monotonic() - self.zero

    def event(self, **what) -> None:
        with (self.folder / "events.jsonl").open("ab") as file:
            file.write(orjson.dumps({"at": round(self.now(), 6), **what}, option=orjson.OPT_APPEND_NEWLINE))

    # --- processes

    def share_cores(self) -> tuple[list[list[int]], list[int]]:
        """Core lists for each sidecar and for the lab.

        With `pin` and at least two cores more than sidecars, each sidecar has a core of its own and the lab
        the others; otherwise all share all cores.
        """
        count = self.scenario.sidecars.count
        if not self.scenario.sidecars.pin or len(self.cores) < count + 2:
            return [self.cores] * count, self.cores
        return [[core] for core in self.cores[:count]], self.cores[count:]

    async def worker(self, name: str, task: dict) -> Process:
        log = (self.folder / f"{name}.log").open("wb")
        self.logs.append(log)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "shedgrade.lab.worker",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=log,
            cwd=results.ROOT,
            start_new_session=True,
        )
        made = Process(name, process)
        made.tell(
            **task, scenario=msgspec.to_builtins(self.scenario), records=str(self.folder / f"{name}.jsonl")
        )
        await process.stdin.drain()
        return made

    async def start_sidecar(self, number: int) -> None:
        said = self.scenario.sidecars
        log = (self.folder / f"n{number}.log").open("ab")
        self.logs.append(log)
        where = Path(said.checkout).resolve() if said.checkout else results.ROOT
        python = where / ".venv/bin/python" if said.checkout else Path(sys.executable)
        if not python.exists():
            python = Path(sys.executable)
        what = (
            ["shedgrade", "serve", "--log-level", said.log_level]
            if said.policy == "shedgrade"
            else ["shedgrade.lab.sidecar", said.policy]
        )
        if (self.folder / f"n{number}.toml").exists():
            what += ["--features", str(self.folder / f"n{number}.toml")]
        cores = self.sidecar_cores[number]
        process = await asyncio.create_subprocess_exec(
            str(python),
            "-m",
            *what,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            cwd=where,
            start_new_session=True,
            preexec_fn=tied(cores, signal.SIGKILL),
            env={**os.environ, "GW_CONFIG": str(self.folder / f"n{number}.json"), "PYTHONPATH": str(where)},
        )
        made = Process(f"sidecar n{number}", process)
        self.sidecars[number] = made
        made.process.stdin = None
        self.event(k="sidecar", sidecar=number, what="start", pid=process.pid)

    async def up(self, number: int) -> None:
        """Waits until the sidecar answers 200 to `GET /up`, or anything at all without `await_list`.

        Raises LabError if the sidecar exits or is not up in time.
        """
        until = time.monotonic() + READY
        while time.monotonic() < until:
            process = self.sidecars[number].process
            if process.returncode is not None:
                last = (self.folder / f"n{number}.log").read_text(errors="replace").strip().splitlines()
                raise LabError(f"sidecar n{number} exited {process.returncode}: {last[-1] if last else ''}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self.listens[number])
                writer.write(b"GET /up HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line or (line and not self.scenario.sidecars.await_list):
                    return
            await asyncio.sleep(0.03)
        raise LabError(f"sidecar n{number} was not up within {READY:g} s")

    # --- the run

    async def prepare(self) -> None:
        scenario = self.scenario
        try:
            first, self.steps, machines = faults.plan(scenario)
            arrivals = schedule(scenario)
        except ScenarioError as wrong:
            raise LabError(str(wrong)) from wrong
        need_descriptors(scenario, len(machines))
        chance = random.Random(os.urandom(8))
        self.port = port = free_port(chance)
        count = scenario.sidecars.count
        self.listens = [(f"127.9.{number // 250}.{1 + number % 250}", port) for number in range(count)]
        self.tunnels = {
            kind: [(f"127.{first}.{number // 250}.{1 + number % 250}", port) for number in range(count)]
            for kind, first in (("socks5", 5), ("connect", 6))
        }
        self.agents = [
            [
                (f"127.8.{number // 250}.{1 + number % 250}", port),
                (f"127.7.{number // 250}.{1 + number % 250}", port),
            ]
            for number in range(count)
        ]
        self.sidecar_cores, lab_cores = self.share_cores()
        self.owner = {one.name: int(one.name[1:]) % scenario.fleet.processes for one in machines}
        known = [msgspec.to_builtins(one) for one in first]
        saved = scenario.sidecars.saved
        saved = saved if saved and saved.trust != "off" else None
        named, silent = prepared.saved_rows(scenario, first) if saved else ([], [])
        for number in range(scenario.fleet.processes):
            own = [one for one in known if self.owner[one["name"]] == number]
            self.fleet.append(
                await self.worker(
                    f"fleet-{number}",
                    {
                        "role": "fleet",
                        "port": port,
                        "machines": own,
                        "known": known,
                        "silent": silent if number == 0 else [],
                        "cores": lab_cores,
                        "agents": self.agents if number == 0 else None,
                    },
                )
            )
        for one in self.fleet:
            await one.expect("ready", READY)
        for number in range(count):
            folder = self.folder / f"saved-{number}"
            listens = tuple("{}:{}".format(*one[number]) for one in self.tunnels.values())
            features = prepared.features_file(scenario, saved, folder, listens)
            if features:
                (self.folder / f"n{number}.toml").write_text(features)
            if saved and saved.prepared:
                prepared.write_saved_list(scenario, number, named, port, folder)
            config = sidecar_config(scenario, number, port, self.listens[number], self.agents[number], first)
            (self.folder / f"n{number}.json").write_bytes(orjson.dumps(config))
            await self.start_sidecar(number)
        parts = scenario.load.processes
        for number in range(parts):
            own = [msgspec.to_builtins(one) for one in arrivals[number::parts]]
            self.generators.append(
                await self.worker(
                    f"clients-{number}",
                    {
                        "role": "generator",
                        "number": number,
                        "arrivals": own,
                        "sidecars": self.tunnels.get(scenario.load.via, self.listens),
                        "cores": lab_cores,
                        "histograms": str(self.folder / f"clients-{number}.hist.json"),
                    },
                )
            )
        for number in range(count):
            await self.up(number)
        for one in self.generators:
            await one.expect("ready", READY)
        self.planned = len(arrivals)

    async def steps_in_time(self) -> None:
        for step in self.steps:
            await asyncio.sleep(max(0.0, step.at - self.now()))
            if step.who.isdigit():
                await self.sidecar_step(int(step.who), step.what)
            else:
                if step.what == "list" or step.who == "discovery":
                    worker = self.fleet[0]
                else:
                    worker = self.fleet[self.owner[step.who]]
                worker.tell(who=step.who, what=step.what, args=step.args)
            self.event(k="fault", who=step.who, what=step.what, args=step.args)

    async def sidecar_step(self, number: int, what: str) -> None:
        made = self.sidecars[number]
        signals = {
            "stop": signal.SIGSTOP,
            "continue": signal.SIGCONT,
            "kill": signal.SIGKILL,
            "term": signal.SIGTERM,
        }
        self.event(k="sidecar", sidecar=number, what=what)
        if what in signals:
            if made.process.returncode is None:
                made.process.send_signal(signals[what])
            if what == "kill":
                await made.process.wait()
        elif what == "start_again":
            longest = max(method.hard_ms for method in self.scenario.methods) / 1000
            try:
                async with asyncio.timeout(longest + 0.7):
                    await made.process.wait()
            except TimeoutError:
                self.event(k="sidecar", sidecar=number, what="kill")
                made.process.kill()
                await made.process.wait()
            self.event(k="sidecar", sidecar=number, what="exit", code=made.process.returncode)
            await self.start_sidecar(number)
        elif what == "reload":
            path = self.folder / f"n{number}.json"
            config = orjson.loads(path.read_bytes())
            old, self.at_agent[number] = self.at_agent[number], 1 - self.at_agent[number]
            place, fresh = self.agents[number][old], self.agents[number][1 - old]
            config["discovery"] = "{}:{}".format(*fresh)
            path.write_bytes(orjson.dumps(config))
            self.fleet[0].tell(
                who="discovery",
                what="move",
                args={"number": number, "old": old, "place": place, "fresh": fresh},
            )
            made.process.send_signal(signal.SIGHUP)

    async def sampling(self) -> None:
        with (self.folder / "samples.jsonl").open("ab") as file:
            while True:
                for number, made in enumerate(self.sidecars):
                    found = made and made.process.returncode is None and stat_of(made.process.pid)
                    if found:
                        file.write(
                            orjson.dumps(
                                {
                                    "at": round(self.now(), 3),
                                    "sidecar": number,
                                    "pid": made.process.pid,
                                    **found,
                                },
                                option=orjson.OPT_APPEND_NEWLINE,
                            )
                        )
                file.flush()
                await asyncio.sleep(SAMPLE)

    async def showing(self) -> None:
        length = self.scenario.length_s
        while True:
            past = min(length, max(0.0, self.now()))
            done = int(30 * past / length)
            self.progress(
                f"{self.scenario.name}  [{'#' * done}{'.' * (30 - done)}] {past:5.1f} of {length:g} s"
            )
            await asyncio.sleep(0.25)

    async def go(self) -> None:
        self.zero = time.monotonic() + 0.5
        for one in (*self.fleet, *self.generators):
            one.tell(what="go", zero=self.zero)
        self.event(k="go", planned=self.planned, port=self.port)
        await asyncio.sleep(0.5)
        tasks = [asyncio.create_task(job()) for job in (self.sampling, self.showing)]
        line = asyncio.create_task(self.steps_in_time())
        longest = max(method.hard_ms for method in self.scenario.methods) / 1000
        callers = self.scenario.callers
        pauses = (
            callers.backoff_ms
            / 1000
            * (2**callers.retries if callers.backoff == "exponential" else callers.retries)
        )
        limit = (
            self.scenario.length_s
            + (callers.retries + 1) * max(longest, callers.wait_ms / 1000)
            + pauses
            + AFTER
        )
        try:
            for one in self.generators:
                told = asyncio.create_task(one.expect("sent", max(1.0, limit - self.now())))
                await asyncio.wait((told, line), return_when=asyncio.FIRST_COMPLETED)
                if line.done():
                    line.result()  # an error in the fault schedule ends the run
                await told
        finally:
            for task in (*tasks, line):
                task.cancel()
            await asyncio.gather(*tasks, line, return_exceptions=True)

    async def end(self) -> None:
        """Ends the run in order: sidecars drain, then generators and fleet save their records."""
        for number, one in enumerate(self.sidecars):
            if one is not None and one.process.returncode is None:
                self.event(k="sidecar", sidecar=number, what="end")
                one.process.send_signal(signal.SIGCONT)
                one.process.terminate()
        for one in (*self.generators, *self.fleet):
            one.tell(what="end")
        for one in (*self.generators, *self.fleet):
            with contextlib.suppress(LabError):
                told = await one.expect("done", 10)
                self.event(k="worker", name=one.name, **told)
        longest = max(method.hard_ms for method in self.scenario.methods) / 1000
        for number, one in enumerate(self.sidecars):
            if one is None:
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(longest + 2):
                    await one.process.wait()
            # A sidecar that was told to exit while it was still starting has not crashed.
            if one.process.returncode not in (None, 0, -signal.SIGTERM):
                self.event(k="sidecar", sidecar=number, what="crash", code=one.process.returncode)

    async def kill_all(self) -> None:
        for one in (*self.sidecars, *self.generators, *self.fleet):
            if one is not None and one.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    one.process.kill()
                await one.process.wait()
        for log in self.logs:
            log.close()

    async def __call__(self) -> dict:
        """Carries out the run; returns its summary. Raises LabError if the run fails."""
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "scenario.json").write_bytes(msgspec.json.encode(self.scenario))
        results.put_state(self.folder, "running")
        try:
            await self.prepare()
            await self.go()
            await self.end()
        except LabError as wrong:
            results.put_state(self.folder, "failed", str(wrong))
            raise
        except asyncio.CancelledError:
            results.put_state(self.folder, "cut off", "interrupted")
            raise
        finally:
            await self.kill_all()
        results.put_state(self.folder, "done")
        return results.summarize(self.folder)


def run(scenario: Scenario, folder: Path, progress: Callable[[str], None] = lambda line: None) -> dict:
    """Runs a scenario; SIGINT and SIGTERM end it in order, and the folder's state is then `cut off`."""

    async def guarded() -> dict:
        task = asyncio.create_task(Run(scenario, folder, progress)())
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            with contextlib.suppress(ValueError, RuntimeError):
                loop.add_signal_handler(number, task.cancel)
        return await task

    try:
        return asyncio.run(guarded())
    except asyncio.CancelledError:
        raise LabError(f"cut off; what there is lies in {folder}") from None
