"""The disk of a simulated core machine as its process drives it: writes in order, each takes its time.

The files are `simulation/disk.py`'s, below the program's own `Store`. A process that ends, or a machine that
loses power, ends the write under way between any two operations on files, or within one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from random import Random

from shedgrade.runtime.log import logger
from shedgrade.simulation.disk import SimulatedDisk
from shedgrade.storage import Store

MOST_OPERATIONS = 8  # of one write after which a crash strikes, at the most


class CrashError(BaseException):
    """The process ends here."""


class MachineDisk:
    """The files of one machine, and how fast they are. `slowness` multiplies `latency_s`, the time of a usual
    write; nothing is written while it is `stalled`."""

    def __init__(self, random: Random, latency_s: float) -> None:
        self.random, self.latency_s = random, latency_s
        self.files = SimulatedDisk(random)
        self.slowness, self.stalled = 1.0, False
        self.worker: DiskWorker | None = None

    def stall(self, stalled: bool) -> None:
        self.stalled = stalled
        if not stalled and self.worker is not None:
            self.worker.begin()

    def crash(self) -> None:
        """The process ends. What it was writing is there up to some operation."""
        worker, self.worker = self.worker, None
        if worker is not None:
            worker.crash()


class DiskWorker:
    """Stands for `controlplane.disk.Disk`: in place of a thread, events of virtual time."""

    def __init__(
        self, machine_disk: MachineDisk, loop, store: Store, done: Callable[[int, bool], None]
    ) -> None:
        self.machine_disk, self.loop, self.store, self.done = machine_disk, loop, store, done
        self.queue: deque[tuple[int, Mapping[str, bytes | None]]] = deque()
        self.busy = False
        machine_disk.worker = self

    def start(self) -> None:
        """Nothing to start: there is no thread."""

    def write(self, token: int, changes: Mapping[str, bytes | None]) -> None:
        self.queue.append((token, changes))
        self.begin()

    def begin(self) -> None:
        disk = self.machine_disk
        if self.busy or disk.stalled or not self.queue or disk.worker is not self:
            return
        self.busy = True
        delay = disk.latency_s * disk.slowness * (0.5 + disk.random.random())
        self.loop.virtual_time.after(delay, self.finish)

    def finish(self) -> None:
        disk = self.machine_disk
        if disk.worker is not self:
            return
        if disk.stalled or self.loop.stopped:  # a stopped process's thread stands still too
            self.loop.virtual_time.after(disk.latency_s, self.finish)
            return
        token, changes = self.queue.popleft()
        try:
            self.store.write(changes)
            succeeded = True
        except OSError as failure:
            logger.warning("the disk refuses: {}", failure.strerror or failure)
            succeeded = False
        self.busy = False
        self.loop.call_soon_threadsafe(self.done, token, succeeded)
        self.begin()

    def crash(self) -> None:
        disk = self.machine_disk
        if not self.queue or not self.busy:
            return
        left = disk.random.randint(0, MOST_OPERATIONS)

        def strike(operation: str, name: str) -> None:
            nonlocal left
            if left == 0:
                raise CrashError
            left -= 1

        before, disk.files.on_operation = disk.files.on_operation, strike
        try:
            self.store.write(self.queue[0][1])
        except (CrashError, OSError):
            pass
        finally:
            disk.files.on_operation = before

    def close(self) -> None:
        self.queue.clear()
