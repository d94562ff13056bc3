"""The disk of a simulated core machine, as its process uses it: writes run in order and take virtual time.

The files are those of `simulation/disk.py`, accessed by the program's own `Store`. When a process ends, or
its machine loses power, the write in progress is interrupted between two file operations, or within one.
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

MAX_OPERATIONS_BEFORE_CRASH = 8  # file operations of a write that a crash lets through, at most


class CrashError(BaseException):
    """Interrupts a write at a file operation, because the process ended."""


class QueuedWrite(NamedTuple):
    """A batch of changes to be made durable together.

    Attributes:
        token: identifies the write in the completion callback.
        changes: new value by key; None removes the key.
    """

    token: int
    changes: Mapping[str, bytes | None]


class MachineDisk:
    """The files of one machine, and the speed of its disk.

    Attributes:
        random: source of the random choices.
        latency_s: mean duration of a write without faults, seconds.
        files: content of the disk.
        latency_factor: factor by which a write takes longer; 1.0 without faults.
        stalled: whether writes hang.
        worker: the worker of the running process; None while no process runs.
    """

    def __init__(self, random: Random, latency_s: float) -> None:
        self.random = random
        self.latency_s = latency_s
        self.files = SimulatedDisk(random)
        self.latency_factor = 1.0
        self.stalled = False
        self.worker: DiskWorker | None = None

    def set_stalled(self, stalled: bool) -> None:
        """Sets whether writes hang. Once they no longer do, the queued writes proceed."""
        self.stalled = stalled
        if not stalled and self.worker is not None:
            self.worker.start_next_write()

    def crash(self) -> None:
        """Handles the end of the process: the write in progress is interrupted at a random file operation."""
        worker, self.worker = self.worker, None
        if worker is not None:
            worker.crash()


class DiskWorker:
    """Replaces `controlplane.disk_thread.DiskThread`: writes are events of virtual time in place of a thread.

    Attributes:
        queue: writes that aren't done; the first is in progress while `busy` is true.
        busy: whether a write is in progress.
    """

    def __init__(self, machine_disk: MachineDisk, loop: ProcessLoop, store: Store, done: WriteDone) -> None:
        """Creates the worker. `done(token, succeeded)` is called on the loop after each write."""
        self.machine_disk = machine_disk
        self.loop = loop
        self.store = store
        self.done = done
        self.queue: deque[QueuedWrite] = deque()
        self.busy = False
        machine_disk.worker = self

    def start(self) -> None:
        """Does nothing: there is no thread to start."""

    def check_invariants(self) -> None:
        """Raises AssertionError if the attributes contradict each other."""
        assert not self.busy or self.queue, "a write is in progress although the queue is empty"

    def write(self, token: int, changes: Mapping[str, bytes | None]) -> None:
        """Queues a write."""
        self.queue.append(QueuedWrite(token, changes))
        self.start_next_write()

    def start_next_write(self) -> None:
        """Starts the next write if the disk is idle and isn't stalled."""
        disk = self.machine_disk
        if self.busy or disk.stalled or not self.queue or disk.worker is not self:
            return
        self.busy = True
        delay = disk.latency_s * disk.latency_factor * (0.5 + disk.random.random())
        self.loop.virtual_time.after(delay, self.complete_write)

    def complete_write(self) -> None:
        """Completes the write in progress, or later if the disk is stalled or the process is stopped."""
        disk = self.machine_disk
        if disk.worker is not self:
            return
        if disk.stalled or self.loop.stopped:  # SIGSTOP stops all threads of a process, the disk thread too
            self.loop.virtual_time.after(disk.latency_s, self.complete_write)
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
        self.start_next_write()

    def crash(self) -> None:
        """Performs the write in progress up to a random file operation, because the process ended."""
        disk = self.machine_disk
        if not self.queue or not self.busy:
            return
        operations_left = disk.random.randint(0, MAX_OPERATIONS_BEFORE_CRASH)

        def crash_at(operation: str, name: str) -> None:
            nonlocal operations_left
            if operations_left == 0:
                raise CrashError
            operations_left -= 1

        previous_hook, disk.files.on_operation = disk.files.on_operation, crash_at
        try:
            self.store.write(self.queue[0].changes)
        except (CrashError, OSError):
            pass
        finally:
            disk.files.on_operation = previous_hook

    def close(self) -> None:
        """Drops the queued writes."""
        self.queue.clear()
