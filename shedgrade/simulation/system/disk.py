"""The disk of a simulated core machine as its process drives it: writes in order, each takes its time.

The files are `simulation/disk.py`'s, below the program's own `Store`. A process that ends, or a machine that
loses power, ends the write under way between any two operations on files, or within one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from random import Random
from typing import NamedTuple

from shedgrade.runtime.log import logger
from shedgrade.simulation.disk import SimulatedDisk
from shedgrade.simulation.system.process_loop import ProcessLoop
from shedgrade.storage import Store

WriteDone = Callable[[int, bool], None]  # (token, whether the write succeeded)

MOST_OPERATIONS = 8  # of a write that are done before a crash, at the most


class CrashError(BaseException):
    """The process ends here."""


class QueuedWrite(NamedTuple):
    """Changes that are to be made durable together; None removes a key."""

    token: int
    changes: Mapping[str, bytes | None]


class MachineDisk:
    """The files of one machine, and how fast they are.

    Attributes:
        latency_s: mean time of a usual write.
        slowness: multiplies it; 1.0 without faults.
        stalled: writes hang.
        worker: of the process that runs, None while none does.
    """

    def __init__(self, random: Random, latency_s: float) -> None:
        self.random = random
        self.latency_s = latency_s
        self.files = SimulatedDisk(random)
        self.slowness = 1.0
        self.stalled = False
        self.worker: DiskWorker | None = None

    def set_stalled(self, stalled: bool) -> None:
        """Writes hang until this is called with False."""
        self.stalled = stalled
        if not stalled and self.worker is not None:
            self.worker.begin()

    def crash(self) -> None:
        """The process ends. What it was writing is there up to some operation."""
        worker, self.worker = self.worker, None
        if worker is not None:
            worker.crash()


class DiskWorker:
    """Stands for `controlplane.disk.Disk`: in place of a thread, events of virtual time.

    Attributes:
        queue: writes that are not done yet; the first is under way while `busy`.
        busy: a write is under way.
    """

    def __init__(self, machine_disk: MachineDisk, loop: ProcessLoop, store: Store, done: WriteDone) -> None:
        """`done(token, succeeded)` is called on the loop after each write."""
        self.machine_disk = machine_disk
        self.loop = loop
        self.store = store
        self.done = done
        self.queue: deque[QueuedWrite] = deque()
        self.busy = False
        machine_disk.worker = self

    def start(self) -> None:
        """Nothing to start: there is no thread."""

    def check_invariants(self) -> None:
        """AssertionError if the attributes contradict each other."""
        assert not self.busy or self.queue, "a write is under way, and none is queued"

    def write(self, token: int, changes: Mapping[str, bytes | None]) -> None:
        """Queues a write."""
        self.queue.append(QueuedWrite(token, changes))
        self.begin()

    def begin(self) -> None:
        """Begins the next write, if the disk is free."""
        disk = self.machine_disk
        if self.busy or disk.stalled or not self.queue or disk.worker is not self:
            return
        self.busy = True
        delay = disk.latency_s * disk.slowness * (0.5 + disk.random.random())
        self.loop.virtual_time.after(delay, self.finish)

    def finish(self) -> None:
        """The write under way is done."""
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
            logger.warning("disk write failed", error=failure.strerror or str(failure))
            succeeded = False
        self.busy = False
        self.loop.call_soon_threadsafe(self.done, token, succeeded)
        self.begin()

    def crash(self) -> None:
        """The process ends: the write under way is done up to some operation on files."""
        disk = self.machine_disk
        if not self.queue or not self.busy:
            return
        left = disk.random.randint(0, MOST_OPERATIONS)

        def crash_at(operation: str, name: str) -> None:
            nonlocal left
            if left == 0:
                raise CrashError
            left -= 1

        before, disk.files.on_operation = disk.files.on_operation, crash_at
        try:
            self.store.write(self.queue[0].changes)
        except (CrashError, OSError):
            pass
        finally:
            disk.files.on_operation = before

    def close(self) -> None:
        """Nothing more is written."""
        self.queue.clear()
