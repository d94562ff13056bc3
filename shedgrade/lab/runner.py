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
from shedgrade.lab.processes import LabError, Process, check_descriptors, free_port, stat_of
from shedgrade.lab.scenario import Scenario, ScenarioError
from shedgrade.lab.sidecar_config import sidecar_config
from shedgrade.lab.worker import tied

READY_TIMEOUT_S = 30.0  # until all processes are up; includes compiling and importing on a loaded machine
ABANDON_AFTER_S = 3.0  # beyond the longest deadline and retry chain after which open RPCs are abandoned
SAMPLE_INTERVAL_S = 0.25  # between two samples of the sidecars' memory, CPU and descriptors


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
        self.start_time = 0.0
        self.current_agent = [0] * scenario.sidecars.count
        self.cores = sorted(os.sched_getaffinity(0))

    def now(self) -> float:
        return time.monotonic() - self.start_time

    def record_event(self, **what) -> None:
        with (self.folder / "events.jsonl").open("ab") as file:
            file.write(orjson.dumps({"at": round(self.now(), 6), **what}, option=orjson.OPT_APPEND_NEWLINE))

    # --- processes

    def assign_cores(self) -> tuple[list[list[int]], list[int]]:
        """Core lists for each sidecar and for the lab.

        With `pin` and at least two cores more than sidecars, each sidecar has a core of its own and the lab
        the others; otherwise all share all cores.
        """
        count = self.scenario.sidecars.count
        if not self.scenario.sidecars.pin or len(self.cores) < count + 2:
            return [self.cores] * count, self.cores
        return [[core] for core in self.cores[:count]], self.cores[count:]

    async def start_worker(self, name: str, task: dict) -> Process:
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
        worker = Process(name, process)
        worker.send(
            **task, scenario=msgspec.to_builtins(self.scenario), records=str(self.folder / f"{name}.jsonl")
        )
        await process.stdin.drain()
        return worker

    async def start_sidecar(self, number: int) -> None:
        settings = self.scenario.sidecars
        log = (self.folder / f"n{number}.log").open("ab")
        self.logs.append(log)
        checkout = Path(settings.checkout).resolve() if settings.checkout else results.ROOT
        python = checkout / ".venv/bin/python" if settings.checkout else Path(sys.executable)
        if not python.exists():
            python = Path(sys.executable)
        command = (
            ["shedgrade", "serve", "--log-level", settings.log_level]
            if settings.policy == "shedgrade"
            else ["shedgrade.lab.sidecar", settings.policy]
        )
        if (self.folder / f"n{number}.toml").exists():
            command += ["--features", str(self.folder / f"n{number}.toml")]
        cores = self.sidecar_cores[number]
        process = await asyncio.create_subprocess_exec(
            str(python),
            "-m",
            *command,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            cwd=checkout,
            start_new_session=True,
            preexec_fn=tied(cores, signal.SIGKILL),
            env={
                **os.environ,
                "GW_CONFIG": str(self.folder / f"n{number}.json"),
                "PYTHONPATH": str(checkout),
            },
        )
        sidecar = Process(f"sidecar n{number}", process)
        self.sidecars[number] = sidecar
        sidecar.process.stdin = None
        self.record_event(k="sidecar", sidecar=number, what="start", pid=process.pid)

    async def wait_until_up(self, number: int) -> None:
        """Waits until the sidecar answers 200 to `GET /up`, or anything at all without `await_list`.

        Raises LabError if the sidecar exits or is not up in time.
        """
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            process = self.sidecars[number].process
            if process.returncode is not None:
                last = (self.folder / f"n{number}.log").read_text(errors="replace").strip().splitlines()
                raise LabError(f"sidecar n{number} exited {process.returncode}: {last[-1] if last else ''}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self.listen_addresses[number])
                writer.write(b"GET /up HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line or (line and not self.scenario.sidecars.await_list):
                    return
            await asyncio.sleep(0.03)
        raise LabError(f"sidecar n{number} was not up within {READY_TIMEOUT_S:g} s")

    # --- the run

    async def prepare(self) -> None:
        scenario = self.scenario
        try:
            first, self.steps, machines = faults.plan(scenario)
            arrivals = schedule(scenario)
        except ScenarioError as error:
            raise LabError(str(error)) from error
        check_descriptors(scenario, len(machines))
        rng = random.Random(os.urandom(8))
        self.port = port = free_port(rng)
        count = scenario.sidecars.count
        self.listen_addresses = [
            (f"127.9.{number // 250}.{1 + number % 250}", port) for number in range(count)
        ]
        self.tunnels = {
            kind: [(f"127.{first}.{number // 250}.{1 + number % 250}", port) for number in range(count)]
            for kind, first in (("socks5", 5), ("connect", 6))
        }
        self.agent_addresses = [
            [
                (f"127.8.{number // 250}.{1 + number % 250}", port),
                (f"127.7.{number // 250}.{1 + number % 250}", port),
            ]
            for number in range(count)
        ]
        self.sidecar_cores, lab_cores = self.assign_cores()
        self.owner = {machine.name: int(machine.name[1:]) % scenario.fleet.processes for machine in machines}
        known = [msgspec.to_builtins(machine) for machine in first]
        saved = scenario.sidecars.saved
        saved = saved if saved and saved.trust != "off" else None
        named, silent = prepared.saved_rows(scenario, first) if saved else ([], [])
        for number in range(scenario.fleet.processes):
            own_machines = [machine for machine in known if self.owner[machine["name"]] == number]
            self.fleet.append(
                await self.start_worker(
                    f"fleet-{number}",
                    {
                        "role": "fleet",
                        "port": port,
                        "machines": own_machines,
                        "known": known,
                        "silent": silent if number == 0 else [],
                        "cores": lab_cores,
                        "agents": self.agent_addresses if number == 0 else None,
                    },
                )
            )
        for worker in self.fleet:
            await worker.expect("ready", READY_TIMEOUT_S)
        for number in range(count):
            folder = self.folder / f"saved-{number}"
            tunnel_listeners = tuple(
                "{}:{}".format(*addresses[number]) for addresses in self.tunnels.values()
            )
            features = prepared.features_file(scenario, saved, folder, tunnel_listeners)
            if features:
                (self.folder / f"n{number}.toml").write_text(features)
            if saved and saved.prepared:
                prepared.write_saved_list(scenario, number, named, port, folder)
            config = sidecar_config(
                scenario, number, port, self.listen_addresses[number], self.agent_addresses[number], first
            )
            (self.folder / f"n{number}.json").write_bytes(orjson.dumps(config))
            await self.start_sidecar(number)
        process_count = scenario.load.processes
        for number in range(process_count):
            own_arrivals = [msgspec.to_builtins(arrival) for arrival in arrivals[number::process_count]]
            self.generators.append(
                await self.start_worker(
                    f"clients-{number}",
                    {
                        "role": "generator",
                        "number": number,
                        "arrivals": own_arrivals,
                        "sidecars": self.tunnels.get(scenario.load.via, self.listen_addresses),
                        "cores": lab_cores,
                        "histograms": str(self.folder / f"clients-{number}.hist.json"),
                    },
                )
            )
        for number in range(count):
            await self.wait_until_up(number)
        for worker in self.generators:
            await worker.expect("ready", READY_TIMEOUT_S)
        self.planned = len(arrivals)

    async def inject_faults(self) -> None:
        for step in self.steps:
            await asyncio.sleep(max(0.0, step.at - self.now()))
            if step.who.isdigit():
                await self.inject_sidecar_fault(int(step.who), step.what)
            else:
                if step.what == "list" or step.who == "discovery":
                    worker = self.fleet[0]
                else:
                    worker = self.fleet[self.owner[step.who]]
                worker.send(who=step.who, what=step.what, args=step.args)
            self.record_event(k="fault", who=step.who, what=step.what, args=step.args)

    async def inject_sidecar_fault(self, number: int, what: str) -> None:
        sidecar = self.sidecars[number]
        signals = {
            "stop": signal.SIGSTOP,
            "continue": signal.SIGCONT,
            "kill": signal.SIGKILL,
            "term": signal.SIGTERM,
        }
        self.record_event(k="sidecar", sidecar=number, what=what)
        if what in signals:
            if sidecar.process.returncode is None:
                sidecar.process.send_signal(signals[what])
            if what == "kill":
                await sidecar.process.wait()
        elif what == "start_again":
            longest = max(method.hard_ms for method in self.scenario.methods) / 1000
            try:
                async with asyncio.timeout(longest + 0.7):
                    await sidecar.process.wait()
            except TimeoutError:
                self.record_event(k="sidecar", sidecar=number, what="kill")
                sidecar.process.kill()
                await sidecar.process.wait()
            self.record_event(k="sidecar", sidecar=number, what="exit", code=sidecar.process.returncode)
            await self.start_sidecar(number)
        elif what == "reload":
            path = self.folder / f"n{number}.json"
            config = orjson.loads(path.read_bytes())
            old, self.current_agent[number] = self.current_agent[number], 1 - self.current_agent[number]
            old_address, new_address = (
                self.agent_addresses[number][old],
                self.agent_addresses[number][1 - old],
            )
            config["discovery"] = "{}:{}".format(*new_address)
            path.write_bytes(orjson.dumps(config))
            self.fleet[0].send(
                who="discovery",
                what="move",
                args={"number": number, "old": old, "place": old_address, "fresh": new_address},
            )
            sidecar.process.send_signal(signal.SIGHUP)

    async def sample_sidecars(self) -> None:
        with (self.folder / "samples.jsonl").open("ab") as file:
            while True:
                for number, sidecar in enumerate(self.sidecars):
                    usage = sidecar and sidecar.process.returncode is None and stat_of(sidecar.process.pid)
                    if usage:
                        file.write(
                            orjson.dumps(
                                {
                                    "at": round(self.now(), 3),
                                    "sidecar": number,
                                    "pid": sidecar.process.pid,
                                    **usage,
                                },
                                option=orjson.OPT_APPEND_NEWLINE,
                            )
                        )
                file.flush()
                await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def show_progress(self) -> None:
        length = self.scenario.length_s
        while True:
            past = min(length, max(0.0, self.now()))
            done = int(30 * past / length)
            self.progress(
                f"{self.scenario.name}  [{'#' * done}{'.' * (30 - done)}] {past:5.1f} of {length:g} s"
            )
            await asyncio.sleep(0.25)

    async def run_load(self) -> None:
        self.start_time = time.monotonic() + 0.5
        for worker in (*self.fleet, *self.generators):
            worker.send(what="go", zero=self.start_time)
        self.record_event(k="go", planned=self.planned, port=self.port)
        await asyncio.sleep(0.5)
        tasks = [asyncio.create_task(job()) for job in (self.sample_sidecars, self.show_progress)]
        fault_task = asyncio.create_task(self.inject_faults())
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
            + ABANDON_AFTER_S
        )
        try:
            for generator in self.generators:
                all_sent = asyncio.create_task(generator.expect("sent", max(1.0, limit - self.now())))
                await asyncio.wait((all_sent, fault_task), return_when=asyncio.FIRST_COMPLETED)
                if fault_task.done():
                    fault_task.result()  # an error in the fault schedule ends the run
                await all_sent
        finally:
            for task in (*tasks, fault_task):
                task.cancel()
            await asyncio.gather(*tasks, fault_task, return_exceptions=True)

    async def stop_processes(self) -> None:
        """Ends the run in order: sidecars drain, then generators and fleet save their records."""
        for number, sidecar in enumerate(self.sidecars):
            if sidecar is not None and sidecar.process.returncode is None:
                self.record_event(k="sidecar", sidecar=number, what="end")
                sidecar.process.send_signal(signal.SIGCONT)
                sidecar.process.terminate()
        for worker in (*self.generators, *self.fleet):
            worker.send(what="end")
        for worker in (*self.generators, *self.fleet):
            with contextlib.suppress(LabError):
                figures = await worker.expect("done", 10)
                self.record_event(k="worker", name=worker.name, **figures)
        longest = max(method.hard_ms for method in self.scenario.methods) / 1000
        for number, sidecar in enumerate(self.sidecars):
            if sidecar is None:
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(longest + 2):
                    await sidecar.process.wait()
            # A sidecar that was told to exit while it was still starting has not crashed.
            if sidecar.process.returncode not in (None, 0, -signal.SIGTERM):
                self.record_event(k="sidecar", sidecar=number, what="crash", code=sidecar.process.returncode)

    async def kill_all(self) -> None:
        for member in (*self.sidecars, *self.generators, *self.fleet):
            if member is not None and member.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    member.process.kill()
                await member.process.wait()
        for log in self.logs:
            log.close()

    async def __call__(self) -> dict:
        """Carries out the run; returns its summary. Raises LabError if the run fails."""
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "scenario.json").write_bytes(msgspec.json.encode(self.scenario))
        results.put_state(self.folder, "running")
        try:
            await self.prepare()
            await self.run_load()
            await self.stop_processes()
        except LabError as error:
            results.put_state(self.folder, "failed", str(error))
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
