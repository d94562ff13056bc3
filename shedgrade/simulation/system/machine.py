"""Simulated machines and the processes on them: started, stopped, thawed, killed, without power, with new
disks."""

from __future__ import annotations

import signal
from collections.abc import Callable
from random import Random

from shedgrade.controlplane.plane import ControlPlane
from shedgrade.dataplane.plane import DataPlane
from shedgrade.process_settings import Settings
from shedgrade.simulation.system.disk import DiskWorker, MachineDisk
from shedgrade.simulation.system.network import Host
from shedgrade.simulation.system.scheduler import ProcessLoop

EPOCH = 1_790_000_000.0  # the time of day, s since 1970, when virtual time is 0
START_AGAIN = 0.3  # s until the platform starts a process that ended


class Machine:
    """One machine and its process. `make_program(loop, machine)` gives what has `serve()`.

    To be looked at: `program` and `loop` of the process that runs, `founding` (its next start is the first of
    the whole system), `faults` (exceptions that its processes did not catch).
    """

    def __init__(
        self,
        world,
        name: str,
        host: Host,
        make_program: Callable[[ProcessLoop, Machine], object],
        disk: MachineDisk | None = None,
    ) -> None:
        self.world, self.name, self.host, self.make_program, self.disk = world, name, host, make_program, disk
        self.random = Random(world.random.getrandbits(64))
        self.program: object | None = None
        self.loop: ProcessLoop | None = None
        self.founding = False
        self.clock_skew = 0.0  # s by which its time of day is wrong
        self.lives = 0
        self.restarts = True  # the platform starts it again when it ends
        self.away_until = 0.0  # virtual time before which it does not
        self.faults: list[dict] = []

    @property
    def running(self) -> bool:
        """A process is there; it may be stopped."""
        return self.loop is not None

    @property
    def stopped(self) -> bool:
        return self.loop is not None and self.loop.stopped

    def note(self, what: str) -> None:
        self.world.history.note(what, self.name)

    def time_of_day(self) -> float:
        return EPOCH + self.world.time.now + self.clock_skew

    # --- its process

    def start(self) -> None:
        if self.running or not self.host.powered:
            return
        self.lives += 1
        offset = self.random.uniform(10.0, 1e5)
        loop = self.loop = ProcessLoop(self.world.time, self.world.network, self.host, offset)
        self.note("start")
        loop.call_soon(self.boot, loop)
        self.world.network.on_change()

    def boot(self, loop: ProcessLoop) -> None:
        self.program = self.make_program(loop, self)
        task = loop.create_task(self.program.serve())
        task.add_done_callback(lambda done: self.served(loop, done))
        self.serving = task

    def served(self, loop: ProcessLoop, task) -> None:
        """The program came to its end by itself."""
        if loop is not self.loop:
            return
        if not task.cancelled() and task.exception() is not None:
            loop.call_exception_handler({"message": "the program ended", "exception": task.exception()})
        self.note("ended")
        self.kill()
        if self.restarts:
            self.start_again()

    def start_again(self) -> None:
        """The platform's part, once the process has ended."""
        self.world.time.after(max(START_AGAIN, self.away_until - self.world.time.now), self.start)

    def terminate(self, grace_s: float, away_s: float = 0.0) -> None:
        """SIGTERM, and SIGKILL after the grace if it has not ended by then. The platform starts it again no
        sooner than `away_s` after the SIGTERM, however soon it ends."""
        if not self.running or signal.SIGTERM not in self.loop.signal_handlers:
            return
        self.away_until = self.world.time.now + away_s
        self.note("SIGTERM")
        loop = self.loop
        loop.signal(signal.SIGTERM)
        self.world.time.after(grace_s, self.kill_if, loop)

    def kill_if(self, loop: ProcessLoop) -> None:
        if self.loop is loop:
            self.kill()
            if self.restarts:
                self.start_again()

    def kill(self) -> None:
        """SIGKILL. The kernel closes what was open; files stay as they are."""
        if not self.running:
            return
        self.note("kill")
        loop = self.end_process()
        for handle in list(loop.sockets):
            handle.close()

    def end_process(self) -> ProcessLoop:
        loop, self.loop, self.program = self.loop, None, None
        self.faults += loop.faults
        loop.end()
        if self.disk is not None:
            self.disk.crash()
        self.world.network.on_change()
        return loop

    def stop(self) -> None:
        """SIGSTOP: nothing runs; its kernel takes in what comes."""
        if self.running and not self.stopped:
            self.note("stop")
            self.loop.stop_process()
            self.world.network.on_change()

    def thaw(self) -> None:
        if self.running and self.stopped:
            self.note("thaw")
            self.loop.thaw(io_first=self.random.random() < 0.5)
            self.world.network.on_change()

    # --- power and disk

    def lose_power(self) -> None:
        """The process ends, nobody is told, and what was not synced may be gone."""
        if not self.host.powered:
            return
        self.note("power lost")
        if self.running:
            loop = self.end_process()
            for handle in list(loop.sockets):
                handle.lose_power()
        self.host.powered = False
        self.host.listening.clear()
        self.host.datagrams.clear()
        if self.disk is not None:
            self.disk.files.power_loss(self.random)

    def power_up(self) -> None:
        if not self.host.powered:
            self.note("power")
            self.host.powered = True
        self.start()

    def wipe(self) -> None:
        """The disk is another one, empty. Only without a process."""
        self.note("wipe")
        self.disk.files.wipe()
        self.founding = False


def control_plane(
    settings: Callable[[Machine], Settings], program_class: type[ControlPlane] = ControlPlane
) -> Callable[[ProcessLoop, Machine], ControlPlane]:
    """Makes the real control plane of a core machine, on its simulated disk."""

    def make(loop: ProcessLoop, machine: Machine) -> ControlPlane:
        disk = machine.disk

        def make_disk(loop, store, done) -> DiskWorker:
            return DiskWorker(disk, loop, store, done)

        return program_class(
            settings(machine),
            loop,
            Random(machine.random.getrandbits(64)),
            files=disk.files.files,
            make_disk=make_disk,
            wall_clock=machine.time_of_day,
        )

    return make


def data_plane(
    settings: Callable[[Machine], Settings], program_class: type[DataPlane] = DataPlane
) -> Callable[[ProcessLoop, Machine], DataPlane]:
    """Makes the real data plane of an edge machine."""

    def make(loop: ProcessLoop, machine: Machine) -> DataPlane:
        return program_class(settings(machine), loop, Random(machine.random.getrandbits(64)))

    return make
