"""Starts the two programs as real processes and ends each by its own process id."""

import asyncio
import os
import shutil
import signal
import sys
from pathlib import Path

from shedgrade.lab.system.site import CORE, Machine, Site

ROOT = Path(__file__).resolve().parents[3]
PROGRAMS = {True: "shedgrade.controlplane", False: "shedgrade.dataplane"}
OUTPUT_TAIL_CHARACTERS = 1500


class Launcher:
    """Runs the process of each machine, by the machine's name.

    `folder` must be empty; it receives settings, data directories and the output of processes.
    """

    def __init__(self, site: Site, folder: Path) -> None:
        self.site, self.folder = site, folder
        self.machines = {machine.name: machine for machine in site.machines()}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.ever_started: set[str] = set()
        self.suspended: set[str] = set()

    def data_directory(self, machine: Machine) -> Path | None:
        return self.folder / machine.name if machine.kind == CORE else None

    def log_path(self, name: str) -> Path:
        return self.folder / f"{name}.log"

    def output_tail(self, name: str) -> str:
        """Returns the end of the output of a machine's processes."""
        log = self.log_path(name)
        return log.read_text(errors="replace")[-OUTPUT_TAIL_CHARACTERS:] if log.exists() else ""

    async def start(self, name: str) -> None:
        """Starts a machine's process with the present settings.

        The first start of each machine is part of the first start of the system.
        """
        machine = self.machines[name]
        data_directory, path = self.data_directory(machine), self.folder / f"{name}.yaml"
        if data_directory is not None:
            data_directory.mkdir(exist_ok=True)
        self.site.write_settings(machine, path, data_directory, name not in self.ever_started)
        self.ever_started.add(name)
        environment = {**os.environ, "SHEDGRADE_BOOT": str(path), "PYTHONPATH": str(ROOT)}
        with self.log_path(name).open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                PROGRAMS[machine.kind == CORE],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )

    async def start_all(self) -> None:
        await asyncio.gather(*map(self.start, self.machines))

    def running(self, name: str) -> bool:
        process = self.processes.get(name)
        return process is not None and process.returncode is None

    def send_signal_to(self, name: str, number: signal.Signals) -> None:
        if self.running(name):
            self.processes[name].send_signal(number)

    async def kill(self, name: str) -> None:
        self.send_signal_to(name, signal.SIGKILL)
        await self.processes[name].wait()
        self.suspended.discard(name)

    async def stop(self, name: str) -> int:
        """Sends SIGTERM, and SIGKILL after `graceS`, as the platform does. Returns the exit status."""
        self.send_signal_to(name, signal.SIGTERM)
        try:
            async with asyncio.timeout(self.site.bounds["graceS"]):
                await self.processes[name].wait()
        except TimeoutError:
            await self.kill(name)
        return self.processes[name].returncode

    def suspend(self, name: str) -> None:
        """Suspends a process, which then sends nothing, like a machine behind a network partition."""
        self.send_signal_to(name, signal.SIGSTOP)
        self.suspended.add(name)

    def resume(self, name: str) -> None:
        self.send_signal_to(name, signal.SIGCONT)
        self.suspended.discard(name)

    def wipe_disk(self, name: str) -> None:
        """Deletes a machine's data directory. Raises RuntimeError while its process runs."""
        if self.running(name):
            raise RuntimeError(f"{name} is running; its disk can't be wiped")
        shutil.rmtree(self.folder / name, ignore_errors=True)

    async def close(self) -> None:
        """Kills every process that still runs."""
        for name in list(self.suspended):
            self.resume(name)
        await asyncio.gather(*(self.kill(name) for name in self.processes if self.running(name)))

    def ended_machines(self) -> list[str]:
        """Returns the machines whose process has ended, for whatever reason."""
        return [name for name in self.processes if not self.running(name)]
