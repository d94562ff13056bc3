"""Simulated machines and the processes on them: started, stopped, killed, without power, with new disks."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Any, Generic, Protocol, TypeVar

from shedgrade.controlplane.plane import ControlPlane
from shedgrade.dataplane.plane import DataPlane
from shedgrade.process_settings import Settings
from shedgrade.simulation.system.disk import DiskWorker, MachineDisk, WriteDone
from shedgrade.simulation.system.host import Host
from shedgrade.simulation.system.process_loop import ProcessLoop, new_process_loop
from shedgrade.storage import Store

if TYPE_CHECKING:
    from shedgrade.simulation.system.simulated_system import SimulatedSystem

EPOCH = 1_790_000_000.0  # the time of day, s since 1970, when virtual time is 0
RESTART_DELAY_S = 0.3  # until the platform starts a process again that has ended


class Program(Protocol):
    """What runs on a machine."""

    async def serve(self) -> None:
        """Serves until the program ends by itself."""


ProgramT = TypeVar("ProgramT", bound=Program)


class Machine(Generic[ProgramT]):
    """One machine and its process. `make_program(loop, machine)` makes the program.

    A process runs, is stopped (SIGSTOP), or there is none (`loop` is None).

    Attributes:
        program: of the process that runs; None while there is none, and until its first event has run.
        loop: the event loop of that process, None while there is none.
        founding: the next start is the first of the whole system.
        clock_skew: seconds by which the time of day is wrong.
        incarnation: counts the starts of processes.
        quota_exhausted: the process waits for the next period of its processor quota.
        restarts: the platform starts a process again when it ends.
        down_until: virtual time before which it does not.
        kill_at: virtual time of the SIGKILL that follows the last SIGTERM, infinite before the first.
        faults: contexts of exceptions that processes which have ended did not catch.
    """

    def __init__(
        self,
        system: SimulatedSystem,
        name: str,
        host: Host,
        make_program: Callable[[ProcessLoop, Machine[ProgramT]], ProgramT],
        disk: MachineDisk | None = None,
    ) -> None:
        self.system = system
        self.name = name
        self.host = host
        self.make_program = make_program
        self.machine_disk = disk
        self.random = Random(system.random.getrandbits(64))
        self.program: ProgramT | None = None
        self.loop: ProcessLoop | None = None
        self.serving: asyncio.Task[None] | None = None
        self.founding = False
        self.clock_skew = 0.0
        self.incarnation = 0
        self.quota_exhausted = False
        self.restarts = True
        self.down_until = 0.0
        self.kill_at = float("inf")
        self.faults: list[dict[str, Any]] = []

    @property
    def running(self) -> bool:
        """A process is there; it may be stopped."""
        return self.loop is not None

    @property
    def stopped(self) -> bool:
        """A process is there, and stands still for longer than a quota makes it."""
        return self.loop is not None and self.loop.stopped and not self.quota_exhausted

    @property
    def responsive(self) -> bool:
        """A process is there, and does not stand still."""
        return self.loop is not None and not self.stopped

    @property
    def disk(self) -> MachineDisk:
        """The disk of a machine that has one."""
        assert self.machine_disk is not None, f"{self.name} has no disk"
        return self.machine_disk

    def check_invariants(self) -> None:
        """AssertionError if the attributes contradict each other."""
        if self.loop is None:
            assert self.program is None, "a program without a process"
        else:
            assert self.host.powered, "a process on a machine without power"
            assert self.loop.alive, "the process has ended, and its machine does not know"

    def log_event(self, event: str) -> None:
        """Adds a line about this machine to the trace."""
        self.system.history.log(event, self.name)

    def time_of_day(self) -> float:
        """Seconds since 1970, as the machine's clock shows them."""
        return EPOCH + self.system.time.now + self.clock_skew

    # --- its process

    def start(self) -> None:
        """Starts a process, if there is power and none runs."""
        if self.running or not self.host.powered:
            return
        self.incarnation += 1
        offset = self.random.uniform(10.0, 1e5)
        loop = self.loop = new_process_loop(self.system.time, self.system.network, self.host, offset)
        self.log_event("start")
        loop.call_soon(self.run_program, loop)
        self.system.network.on_change()

    def run_program(self, loop: ProcessLoop) -> None:
        """The first event of a process."""
        self.program = self.make_program(loop, self)
        self.serving = loop.create_task(self.program.serve())
        self.serving.add_done_callback(lambda done: self.program_ended(loop, done))

    def program_ended(self, loop: ProcessLoop, task: asyncio.Future[None]) -> None:
        """The program came to its end by itself."""
        if loop is not self.loop:
            return
        if not task.cancelled() and task.exception() is not None:
            loop.call_exception_handler({"message": "the program ended", "exception": task.exception()})
        self.log_event("ended")
        self.kill()
        if self.restarts:
            self.schedule_restart()

    def schedule_restart(self) -> None:
        """The platform's part, once the process has ended."""
        delay = max(RESTART_DELAY_S, self.down_until - self.system.time.now)
        self.system.time.after(delay, self.start)

    def terminate(self, grace_s: float, down_s: float = 0.0) -> None:
        """SIGTERM, and SIGKILL after the grace if the process has not ended by then. The platform starts it
        again no sooner than `down_s` after the SIGTERM, however soon it ends."""
        loop = self.loop
        if loop is None or signal.SIGTERM not in loop.signal_handlers:
            return
        self.down_until = self.system.time.now + down_s
        self.kill_at = self.system.time.now + grace_s
        self.log_event("SIGTERM")
        loop.signal(signal.SIGTERM)
        self.system.time.after(grace_s, self.kill_after_grace, loop)

    def kill_after_grace(self, loop: ProcessLoop) -> None:
        """SIGKILL for a process that has not ended in its grace."""
        if self.loop is loop:
            self.kill()
            if self.restarts:
                self.schedule_restart()

    def kill(self) -> None:
        """SIGKILL. The kernel closes what was open; files stay as they are."""
        if self.loop is None:
            return
        self.log_event("kill")
        loop = self.end_process(self.loop)
        for handle in list(loop.sockets):
            handle.close()

    def end_process(self, loop: ProcessLoop) -> ProcessLoop:
        """The process is gone; returns its loop, whose sockets are still open."""
        self.loop = None
        self.program = None
        self.quota_exhausted = False
        self.faults += loop.faults
        loop.end()
        if self.machine_disk is not None:
            self.machine_disk.crash()
        self.system.network.on_change()
        return loop

    def stop(self) -> None:
        """SIGSTOP: nothing runs; its kernel takes in what comes."""
        self.resume_quota()
        if self.loop is not None and not self.loop.stopped:
            self.log_event("stop")
            self.loop.stop_process()
            self.system.network.on_change()

    def exhaust_quota(self) -> None:
        """Its share of the processor is spent: nothing runs, and nobody is told. Not while it is stopped."""
        if self.loop is not None and not self.loop.stopped:
            self.quota_exhausted = True
            self.loop.stop_process()

    def resume_quota(self) -> None:
        """The next period of the quota begins."""
        if self.quota_exhausted and self.loop is not None:
            self.quota_exhausted = False
            self.loop.thaw(io_first=True)

    def thaw(self) -> None:
        """SIGCONT."""
        if self.loop is not None and self.loop.stopped:
            self.log_event("thaw")
            self.loop.thaw(io_first=self.random.random() < 0.5)
            self.system.network.on_change()

    # --- power and disk

    def lose_power(self) -> None:
        """The process ends, nobody is told, and what was not synced may be gone."""
        if not self.host.powered:
            return
        self.log_event("power lost")
        if self.loop is not None:
            loop = self.end_process(self.loop)
            for handle in list(loop.sockets):
                handle.lose_power()
        self.host.powered = False
        if self.machine_disk is not None:
            self.machine_disk.files.power_loss(self.random)

    def power_up(self) -> None:
        """Power is back, and a process starts."""
        if not self.host.powered:
            self.log_event("power")
            self.host.powered = True
        self.start()

    def wipe(self) -> None:
        """The disk is replaced by an empty one. Only without a process."""
        self.log_event("wipe")
        self.disk.files.wipe()
        self.founding = False


def control_plane(
    settings: Callable[[Machine[ControlPlane]], Settings], program_class: type[ControlPlane] = ControlPlane
) -> Callable[[ProcessLoop, Machine[ControlPlane]], ControlPlane]:
    """Makes the real control plane of a core machine, on its simulated disk."""

    def make(loop: ProcessLoop, machine: Machine[ControlPlane]) -> ControlPlane:
        disk = machine.disk

        def make_disk(loop: ProcessLoop, store: Store, done: WriteDone) -> DiskWorker:
            return DiskWorker(disk, loop, store, done)

        return program_class(
            settings(machine),
            loop,
            Random(machine.random.getrandbits(64)),
            files=disk.files.files,
            make_disk=make_disk,  # type: ignore[arg-type] # stands for controlplane.disk_thread.DiskThread
            wall_clock=machine.time_of_day,
        )

    return make


def data_plane(
    settings: Callable[[Machine[DataPlane]], Settings], program_class: type[DataPlane] = DataPlane
) -> Callable[[ProcessLoop, Machine[DataPlane]], DataPlane]:
    """Makes the real data plane of an edge machine."""

    def make(loop: ProcessLoop, machine: Machine[DataPlane]) -> DataPlane:
        return program_class(settings(machine), loop, Random(machine.random.getrandbits(64)))

    return make
