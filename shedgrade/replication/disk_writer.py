"""A member's writes: one open at a time, the rest gathered into the next; a refused one is tried again."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from shedgrade.replication.effects import Instruction, Persist
from shedgrade.replication.messages import Changes

DurableCallback = Callable[[float], None]  # called with the time at which the changes were durable


class QueuedWrite(NamedTuple):
    """Changes that wait for the disk, and whom to notify when they are durable."""

    changes: Changes
    on_durable: DurableCallback | None


class OpenWrite(NamedTuple):
    """What was handed to the caller as one `Persist`."""

    token: int
    changes: Changes
    callbacks: list[DurableCallback]


class DiskWriter:
    """Queue before the disk. Callbacks run with the time, in order, once their changes are durable.

    One write at a time: of two open ones the second might succeed after the first was refused, and the disk
    would claim a position in the log whose changes it lacks.

    `in_flight`: the write that the caller was asked for and has not answered, None if there is none.
    `queue`: what was saved since, in order. Invariant: empty unless a write is open or the last one was
    refused.
    `started_at`: when the open write was handed out.
    `refused`: whether the last answer was a refusal; `retry_at`: no write is begun before.
    `token`: of the newest `Persist`; grows by one with each.
    """

    def __init__(self, effects: list[Instruction], timeout_s: float, retry_interval_s: float) -> None:
        """`timeout_s`: a disk that takes longer is unhealthy; `retry_interval_s`: after a refused write."""
        self.effects = effects
        self.timeout_s = timeout_s
        self.retry_interval_s = retry_interval_s
        self.queue: list[QueuedWrite] = []
        self.in_flight: OpenWrite | None = None
        self.started_at = 0.0
        self.retry_at = 0.0
        self.refused = False
        self.token = 0

    def is_healthy(self, now: float) -> bool:
        """False while the disk refuses writes or has not answered for `timeout_s`."""
        return not self.refused and (self.in_flight is None or now - self.started_at < self.timeout_s)

    def save(self, now: float, changes: Changes, on_durable: DurableCallback | None = None) -> None:
        """Write the changes after all that was saved before."""
        self.queue.append(QueuedWrite(changes, on_durable))
        self.pump(now)

    def pump(self, now: float) -> None:
        """Begin the next write if none is open and there is something to write."""
        if self.in_flight or not self.queue or now < self.retry_at:
            return
        merged: Changes = {}
        for write in self.queue:
            merged.update(write.changes)
        self.token += 1
        callbacks = [write.on_durable for write in self.queue if write.on_durable]
        self.in_flight = OpenWrite(self.token, merged, callbacks)
        self.queue = []
        self.started_at = now
        self.effects.append(Persist(self.token, merged))

    def persisted(self, now: float, token: int, ok: bool) -> None:
        """The caller's answer to the `Persist` with this token; another token's is ignored."""
        write = self.in_flight
        if write is None or token != write.token:
            return
        self.in_flight = None
        self.refused = not ok

        def call_all(at: float) -> None:
            for on_durable in write.callbacks:
                on_durable(at)

        if ok:
            call_all(now)
        else:  # a full disk: nothing is said of these changes before a later write holds them
            self.queue.insert(0, QueuedWrite(write.changes, call_all))
            self.retry_at = now + self.retry_interval_s
        self.pump(now)

    def wake_at(self, now: float) -> float:
        """When `pump` or `is_healthy` may say something new."""
        if self.in_flight:
            late = self.started_at + self.timeout_s
            return late if late > now else float("inf")
        return self.retry_at if self.queue else float("inf")

    def check_invariants(self) -> None:
        """Raises AssertionError if an attribute contradicts another."""
        assert self.in_flight is None or self.in_flight.token == self.token, "an older write is open"
        assert not self.queue or self.in_flight or self.refused, "changes wait for nothing"
