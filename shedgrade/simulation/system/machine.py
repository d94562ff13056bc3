"""Simulated machines and their processes: start, stop, kill, loss of power and replacement of the disk."""

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

TIME_OF_DAY_AT_START_S = 1_790_000_000.0  # seconds since 1970, at virtual time 0
RESTART_DELAY_S = 0.3  # time until the platform restarts a process that has ended


class Program(Protocol):
    """A program that runs on a machine."""

    async def serve(self) -> None:
        """Serves until the program ends by itself."""


ProgramT = TypeVar("ProgramT", bound=Program)


class Machine(Generic[ProgramT]):
    """One machine and its process.

    The process runs, is stopped (SIGSTOP), or doesn't exist (`loop` is None).

    Attributes:
        system: the simulated system.
        name: name of the machine.
        host: its host in the network.
        make_program: returns a new program; called with the event loop and the machine at each start.
        machine_disk: its disk; None if it has none.
        random: source of the random choices.
        program: program of the process; None while there is no process, or before its first event has run.
        loop: event loop of the process; None while there is no process.
        serving: task in which the last program serves.
        founding: whether the next start is the first start of the whole system.
        clock_skew: seconds added to the true time of day.
        incarnation: number of processes started so far.
        quota_exhausted: whether the process waits for the next period of its CPU quota.
        restarts: whether the platform restarts the process when it ends.
        down_until: virtual time before which the platform doesn't restart it, seconds.
        kill_at: virtual time of the SIGKILL after the last SIGTERM, seconds; infinite before the first.
        faults: contexts of exceptions that were not caught in processes that have ended.
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
        """Whether a process exists; it may be stopped."""
        return self.loop is not None

    @property
    def stopped(self) -> bool:
        """Whether a process exists and is stopped by SIGSTOP, not only by its CPU quota."""
        return self.loop is not None and self.loop.stopped and not self.quota_exhausted

    @property
    def responsive(self) -> bool:
        """Whether a process exists and is not stopped; waiting for its CPU quota doesn't count."""
        return self.loop is not None and not self.stopped

    @property
    def disk(self) -> MachineDisk:
        """Returns the machine's disk; raises AssertionError if it has none."""
        assert self.machine_disk is not None, f"{self.name} has no disk"
        return self.machine_disk

    def check_invariants(self) -> None:
        """Raises AssertionError if the attributes contradict each other."""
        if self.loop is None:
            assert self.program is None, "a program exists without a process"
        else:
            assert self.host.powered, "a process exists on a machine without power"
            assert self.loop.alive, "the process has ended but the machine still refers to it"

    def log_event(self, event: str) -> None:
        """Adds a line about this machine to the trace."""
        self.system.history.log(event, self.name)

    def time_of_day(self) -> float:
        """Returns the time of day that the machine's clock shows, in seconds since 1970."""
        return TIME_OF_DAY_AT_START_S + self.system.time.now + self.clock_skew

    # --- process

    def start(self) -> None:
        """Starts a process, if the machine has power and none exists."""
        if self.running or not self.host.powered:
            return
        self.incarnation += 1
        offset = self.random.uniform(10.0, 1e5)
        loop = self.loop = new_process_loop(self.system.time, self.system.network, self.host, offset)
        self.log_event("start")
        loop.call_soon(self.run_program, loop)
        self.system.network.on_change()

    def run_program(self, loop: ProcessLoop) -> None:
        """Makes and starts the program; this is the first event of a process."""
        self.program = self.make_program(loop, self)
        self.founding = False
        self.serving = loop.create_task(self.program.serve())
        self.serving.add_done_callback(lambda done: self.program_ended(loop, done))

    def program_ended(self, loop: ProcessLoop, task: asyncio.Future[None]) -> None:
        """Ends the process after its program ended by itself, and schedules a restart."""
        if loop is not self.loop:
            return
        if not task.cancelled() and task.exception() is not None:
            loop.call_exception_handler({"message": "the program ended", "exception": task.exception()})
        self.log_event("ended")
        self.kill()
        if self.restarts:
            self.schedule_restart()

    def schedule_restart(self) -> None:
        """Schedules the restart by the platform, after the process has ended."""
        delay = max(RESTART_DELAY_S, self.down_until - self.system.time.now)
        self.system.time.after(delay, self.start)

    def terminate(self, grace_s: float, down_s: float = 0.0) -> None:
        """Sends SIGTERM, and SIGKILL after `grace_s` if the process still exists then.

        The platform restarts the process no sooner than `down_s` after the SIGTERM.
        """
        loop = self.loop
        if loop is None or signal.SIGTERM not in loop.signal_handlers:
            return
        self.down_until = self.system.time.now + down_s
        self.kill_at = self.system.time.now + grace_s
        self.log_event("SIGTERM")
        loop.signal(signal.SIGTERM)
        self.system.time.after(grace_s, self.kill_after_grace, loop)

    def kill_after_grace(self, loop: ProcessLoop) -> None:
        """Sends SIGKILL if the process of `loop` still exists after the grace period."""
        if self.loop is loop:
            self.kill()
            if self.restarts:
                self.schedule_restart()

    def kill(self) -> None:
        """Sends SIGKILL. The kernel closes the process's sockets; the files stay as they are."""
        if self.loop is None:
            return
        self.log_event("kill")
        loop = self.end_process(self.loop)
        for handle in list(loop.sockets):
            handle.close()

    def end_process(self, loop: ProcessLoop) -> ProcessLoop:
        """Ends the process without closing its sockets, and returns its loop."""
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
        """Sends SIGSTOP: the process stops, while its kernel still receives packets."""
        self.resume_quota()
        if self.loop is not None and not self.loop.stopped:
            self.log_event("stop")
            self.loop.stop_process()
            self.system.network.on_change()

    def exhaust_quota(self) -> None:
        """Stops the process because its CPU quota is used up, unless it is stopped already.

        `Network.on_change` isn't called: the process still counts as responsive.
        """
        if self.loop is not None and not self.loop.stopped:
            self.quota_exhausted = True
            self.loop.stop_process()

    def resume_quota(self) -> None:
        """Continues the process at the start of the next period of its CPU quota."""
        if self.quota_exhausted and self.loop is not None:
            self.quota_exhausted = False
            self.loop.thaw(io_first=True)

    def thaw(self) -> None:
        """Sends SIGCONT."""
        if self.loop is not None and self.loop.stopped:
            self.log_event("thaw")
            self.loop.thaw(io_first=self.random.random() < 0.5)
            self.system.network.on_change()

    # --- power and disk

    def lose_power(self) -> None:
        """Ends the process without closing its connections; data that wasn't synced may be lost."""
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
        """Restores power and starts a process."""
        if not self.host.powered:
            self.log_event("power restored")
            self.host.powered = True
        self.start()

    def wipe(self) -> None:
        """Replaces the disk by an empty one. The process must have ended."""
        self.log_event("wipe")
        self.disk.files.wipe()
        self.founding = False


def control_plane(
    settings: Callable[[Machine[ControlPlane]], Settings], program_class: type[ControlPlane] = ControlPlane
) -> Callable[[ProcessLoop, Machine[ControlPlane]], ControlPlane]:
    """Returns a function that makes the real control plane of a core machine, on its simulated disk."""

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
    """Returns a function that makes the real data plane of an edge machine."""

    def make(loop: ProcessLoop, machine: Machine[DataPlane]) -> DataPlane:
        return program_class(settings(machine), loop, Random(machine.random.getrandbits(64)))

    return make
