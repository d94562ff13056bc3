"""Disk writes of a member: one at a time, later ones merged into the next; a failed write is retried."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from shedgrade.replication.effects import Instruction, Persist
from shedgrade.replication.messages import Changes

DurableCallback = Callable[[float], None]  # called with the time at which the changes became durable


class QueuedWrite(NamedTuple):
    """Changes that wait for the disk, and the callback to run when they are durable."""

    changes: Changes
    on_durable: DurableCallback | None


class OutstandingWrite(NamedTuple):
    """The changes handed to the caller as one `Persist`, and the callbacks to run when they are durable."""

    token: int
    changes: Changes
    callbacks: list[DurableCallback]


class DiskWriter:
    """Queue of disk writes. Callbacks run in order, once their changes are durable.

    Only one write is outstanding: of two, the second might succeed after the first failed, and the disk would
    then hold a log position without the changes before it.

    `in_flight`: the outstanding write, None if there is none.
    `queue`: changes saved since, in order. Invariant: empty unless a write is outstanding or the last one
    failed.
    `started_at`: when the outstanding write was handed out, in seconds of the steady clock.
    `is_failing`: whether the last write failed.
    `retry_at`: no write begins before that time.
    `token`: token of the newest `Persist`; increases by one with each.
    """

    def __init__(self, effects: list[Instruction], timeout_s: float, retry_interval_s: float) -> None:
        """`effects`: receives the `Persist` instructions.

        `timeout_s`: a disk that takes longer for a write is unhealthy.
        `retry_interval_s`: wait after a failed write.
        """
        self.effects = effects
        self.timeout_s = timeout_s
        self.retry_interval_s = retry_interval_s
        self.queue: list[QueuedWrite] = []
        self.in_flight: OutstandingWrite | None = None
        self.started_at = 0.0
        self.retry_at = 0.0
        self.is_failing = False
        self.token = 0

    def is_healthy(self, now: float) -> bool:
        """Whether the last write succeeded and the outstanding one, if any, is younger than `timeout_s`."""
        return not self.is_failing and (self.in_flight is None or now - self.started_at < self.timeout_s)

    def save(self, now: float, changes: Changes, on_durable: DurableCallback | None = None) -> None:
        """Writes the changes after all that were saved before, and then calls `on_durable`."""
        self.queue.append(QueuedWrite(changes, on_durable))
        self.begin_next(now)

    def begin_next(self, now: float) -> None:
        """Begins the next write if none is outstanding and changes are queued."""
        if self.in_flight or not self.queue or now < self.retry_at:
            return
        merged: Changes = {}
        for write in self.queue:
            merged.update(write.changes)
        self.token += 1
        callbacks = [write.on_durable for write in self.queue if write.on_durable]
        self.in_flight = OutstandingWrite(self.token, merged, callbacks)
        self.queue = []
        self.started_at = now
        self.effects.append(Persist(self.token, merged))

    def persisted(self, now: float, token: int, ok: bool) -> None:
        """Handles the caller's result of the `Persist` with this token; results of others are ignored."""
        write = self.in_flight
        if write is None or token != write.token:
            return
        self.in_flight = None
        self.is_failing = not ok

        def run_callbacks(at: float) -> None:
            for on_durable in write.callbacks:
                on_durable(at)

        if ok:
            run_callbacks(now)
        else:  # the disk may be full: no callback runs until a later write includes these changes
            self.queue.insert(0, QueuedWrite(write.changes, run_callbacks))
            self.retry_at = now + self.retry_interval_s
        self.begin_next(now)

    def wake_at(self, now: float) -> float:
        """Returns when `begin_next` has something to do, or the result of `is_healthy` may change."""
        if self.in_flight:
            timeout_at = self.started_at + self.timeout_s
            return timeout_at if timeout_at > now else float("inf")
        return self.retry_at if self.queue else float("inf")

    def check_invariants(self) -> None:
        """Raises AssertionError if an attribute contradicts another."""
        assert self.in_flight is None or self.in_flight.token == self.token, "an older write is outstanding"
        assert not self.queue or self.in_flight or self.is_failing, "changes are queued but no write is due"
