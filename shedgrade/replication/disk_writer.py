"""A member's writes: one open at a time, the rest gathered into the next; a refused one is tried again."""

from collections.abc import Callable

from shedgrade.replication.effects import Persist

Changes = dict[str, bytes | None]


class DiskWriter:
    """Queue before the disk. `done` callbacks run with the time, in order, once their changes are durable.

    One write at a time: of two open ones the second might succeed after the first was refused, and the disk
    would claim a place in the chain whose changes it lacks."""

    def __init__(self, effects: list, timeout_s: float, retry_interval_s: float):
        self.effects, self.timeout_s, self.retry_interval_s = effects, timeout_s, retry_interval_s
        self.queue: list[tuple[Changes, Callable[[float], None] | None]] = []
        self.in_flight: tuple[int, Changes, list] | None = None
        self.started_at = self.retry_at = 0.0
        self.refused = False
        self.token = 0

    def is_healthy(self, now: float) -> bool:
        """False while the disk refuses writes or has not answered for long."""
        return not self.refused and (self.in_flight is None or now - self.started_at < self.timeout_s)

    def save(self, now: float, changes: Changes, done: Callable[[float], None] | None = None) -> None:
        self.queue.append((changes, done))
        self.pump(now)

    def pump(self, now: float) -> None:
        if self.in_flight or not self.queue or now < self.retry_at:
            return
        merged: Changes = {}
        for changes, _ in self.queue:
            merged.update(changes)
        self.token += 1
        self.in_flight = self.token, merged, [done for _, done in self.queue if done]
        self.queue = []
        self.started_at = now
        self.effects.append(Persist(self.token, merged))

    def persisted(self, now: float, token: int, ok: bool) -> None:
        if not self.in_flight or token != self.in_flight[0]:
            return
        _, changes, done = self.in_flight
        self.in_flight = None
        self.refused = not ok
        if not ok:  # a full disk: nothing is said of these changes before a later write holds them
            self.queue.insert(0, (changes, lambda at: [each(at) for each in done]))
            self.retry_at = now + self.retry_interval_s
        else:
            for each in done:
                each(now)
        self.pump(now)

    def wake_at(self, now: float) -> float:
        if self.in_flight:
            late = self.started_at + self.timeout_s
            return late if late > now else float("inf")
        return self.retry_at if self.queue else float("inf")
