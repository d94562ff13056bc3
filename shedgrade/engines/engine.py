"""An engine: requests in batches, prompts read in pieces, memory shared, the least urgent preempted.

No I/O: each call is handed the time in s; what came of it stands in `effects`, drained by the caller.
Source: PROTOCOL, "Requests" and "Upstreams".
"""

import heapq
from collections import deque
from math import inf

from shedgrade.engines.memory import KeyValueMemory
from shedgrade.engines.settings import EngineSettings
from shedgrade.engines.work import (
    LOWEST_PRIORITY,
    Crashed,
    Done,
    Event,
    Job,
    Late,
    Rejected,
    Started,
    Work,
)

NEARLY_FULL_SHARE = 0.9  # of the slots, above which some engines slow down
REPORT_DELAY_S = 0.3  # s by which a report is old
SNAPSHOT_INTERVAL_S = 0.1  # s between two looks that reports are made of


class Engine:
    """`submit` numbers requests from 1. Call `advance` when `wake_at` is due."""

    def __init__(self, settings: EngineSettings, now: float, *, cold: bool = False) -> None:
        self.settings = settings
        self.memory = KeyValueMemory(settings.kv_tokens)
        self.versions = dict.fromkeys(settings.models, 1)
        self.cold_until = now + settings.cold_s if cold else now
        self.jobs: dict[int, Job] = {}
        self.waiting: dict[int, Job] = {}
        self.running: dict[int, Job] = {}
        self.deadlines: list[tuple[float, int]] = []
        self.last_event_versions: dict[int, int] = {}  # by request: version that its last event was made with
        self.connection_slot_ends: deque[float] = deque()  # ends of the times for which new connections take slots
        self.cold_arrivals: deque[float] = deque()  # of the last second, while it is cold
        self.effects: list = []
        self.last_number = self.read_tokens = self.cached_tokens = self.preemptions = 0
        self.step_ends_at = inf
        self.has_crashed = False
        self.snapshots: deque[tuple[float, dict]] = deque()

    # --- what is asked of it

    def submit(self, now: float, work: Work) -> int:
        """Its number. Where it is rejected at once, the effects say so."""
        self.advance(now)
        self.last_number += 1
        job = Job(self.last_number, work, work.resumed_tokens)
        self.count_cold_arrival(now)
        if work.prompt + work.out > self.settings.kv_tokens or not self.make_room(job):
            self.effects.append(Rejected(job.number, "full"))
            return job.number
        self.jobs[job.number] = self.waiting[job.number] = job
        if work.deadline < inf:
            heapq.heappush(self.deadlines, (work.deadline, job.number))
        self.schedule(now)
        return job.number

    def make_room(self, job: Job) -> bool:
        """Whether it may wait; a less urgent one that has not run yet is displaced for it."""
        if len(self.jobs) < self.settings.slots + self.settings.queue:
            return True
        others = [other for other in self.waiting.values() if not other.started]
        lowest_ranked = max(others, key=lambda other: other.rank, default=None)
        if lowest_ranked is None or lowest_ranked.work.priority <= job.work.priority:
            return False
        self.remove(lowest_ranked)
        self.effects.append(Rejected(lowest_ranked.number, "full"))
        return True

    def cancel(self, now: float, number: int) -> None:
        """Its client left."""
        self.advance(now)
        job = self.jobs.get(number)
        if job is not None:
            self.remove(job)
            self.schedule(now)

    def connected(self, now: float) -> None:
        """A new connection takes a slot for a moment."""
        self.connection_slot_ends.append(now + self.settings.connect_s)

    def load_weights(self, model: str, version: int) -> None:
        """New weights. What was read with others is of no use to them."""
        self.versions[model] = version

    # --- time

    def advance(self, now: float) -> None:
        """Does all that was due by `now`, in the order in which it was due."""
        while not self.has_crashed:
            at = self.next_due_at()
            if at > now:
                break
            while self.deadlines and self.deadlines[0][0] <= at:
                self.expire(heapq.heappop(self.deadlines)[1])
            for job in [job for job in self.running.values() if job.ends_at <= at]:
                self.remove(job)
                self.effects.append(Done(job.number))
            if self.step_ends_at <= at:
                self.finish_step()
            self.schedule(at)
        self.take_snapshot(now)

    def next_due_at(self) -> float:
        while self.deadlines and self.deadlines[0][1] not in self.jobs:
            heapq.heappop(self.deadlines)
        next_end = min((job.ends_at for job in self.running.values()), default=inf)
        next_slot_end = self.connection_slot_ends[0] if self.connection_slot_ends and self.waiting else inf
        return min(self.step_ends_at, next_end, next_slot_end, self.deadlines[0][0] if self.deadlines else inf)

    def wake_at(self) -> float:
        return inf if self.has_crashed else self.next_due_at()

    def expire(self, number: int) -> None:
        job = self.jobs.get(number)
        if job is not None:
            self.remove(job)
            self.effects.append(Late(number) if job.started else Rejected(number, "deadline"))

    # --- slots

    def schedule(self, now: float) -> None:
        """Fills the slots; begins a step if none is under way."""
        while self.connection_slot_ends and self.connection_slot_ends[0] <= now:
            self.connection_slot_ends.popleft()
        for job in sorted(self.waiting.values(), key=lambda job: job.rank):
            if not self.admit(now, job):
                break
        if self.step_ends_at == inf:
            self.begin_step(now)

    def admit(self, now: float, job: Job) -> bool:
        while len(self.running) + len(self.connection_slot_ends) >= self.settings.slots:
            if len(self.running) < self.settings.slots or not self.preempt_for(job):
                return False
        while not self.allocate_memory(job):
            if not self.preempt_for(job):
                return False
        del self.waiting[job.number]
        self.running[job.number] = job
        job.running = True
        if not job.work.out:
            self.mark_started(job)
            job.ends_at = now + job.work.span_s * self.slowdown_factor(now)
        return True

    def preempt_for(self, job: Job) -> bool:
        """Preempts a less urgent one for it."""
        lowest_ranked = self.lowest_ranked()
        if lowest_ranked is None or lowest_ranked.work.priority <= job.work.priority:
            return False
        self.preempt(lowest_ranked)
        return True

    def lowest_ranked(self) -> Job | None:
        """The newest of the least urgent that run."""
        return max(
            (job for job in self.running.values() if job.work.out), key=lambda job: job.rank, default=None
        )

    def allocate_memory(self, job: Job) -> bool:
        """Gives it memory for all that it has to read; parts that are kept are not read again."""
        work, memory = job.work, self.memory
        version = self.versions.get(work.model, 0)
        keys = [(work.model, version, name) for name, _ in work.parts]
        cached_count = memory.run(keys)
        for key in keys[:cached_count]:
            memory.pin(key)
        cached_tokens = sum(tokens for _, tokens in work.parts[:cached_count])
        needed_tokens = max(0, work.prompt - cached_tokens) + job.generated
        if not memory.allocate(needed_tokens):
            for key in keys[:cached_count]:
                memory.unpin(key)
            return False
        job.pinned_parts, job.own_tokens, job.uncached_parts = keys[:cached_count], needed_tokens, []
        # Something is read also where all is kept: the step that makes the first token.
        job.unread = unread_after = max(1, needed_tokens) if work.out else 0
        for key, (_, tokens) in zip(keys[cached_count:], work.parts[cached_count:], strict=True):
            unread_after -= tokens
            job.uncached_parts.append((unread_after, key, tokens))
        self.cached_tokens += cached_tokens
        return True

    def preempt(self, job: Job) -> None:
        """It waits again, and is read anew, with what it has made; what was read whole stays as parts."""
        self.release(job)
        job.running, job.step_tokens = False, 0
        self.waiting[job.number] = job
        self.preemptions += 1

    def remove(self, job: Job) -> None:
        del self.jobs[job.number]
        self.last_event_versions.pop(job.number, None)
        if self.waiting.pop(job.number, None) is None:
            self.release(job)

    def release(self, job: Job) -> None:
        del self.running[job.number]
        self.memory.free(job.own_tokens)
        for key in job.pinned_parts:
            self.memory.unpin(key)
        job.own_tokens, job.pinned_parts, job.uncached_parts = 0, [], []

    def mark_started(self, job: Job) -> None:
        if not job.started:
            job.started = True
            self.effects.append(Started(job.number))

    # --- steps

    def begin_step(self, now: float) -> None:
        """Each request in the batch gets a token; the rest of the step goes to prompts, the urgent first."""
        batch = [job for job in self.running.values() if job.work.out]
        if not batch:
            return
        settings, budget = self.settings, self.settings.piece
        for job in sorted((job for job in batch if job.unread), key=lambda job: job.rank):
            job.step_tokens = min(budget, job.unread)
            budget -= job.step_tokens
        tokens_to_read = settings.piece - budget
        duration_s = settings.step_s + settings.crowd_s * (len(batch) - 1) + tokens_to_read / settings.prefill_per_s
        self.step_ends_at = now + duration_s * self.slowdown_factor(now)

    def finish_step(self) -> None:
        self.step_ends_at = inf
        batch = sorted((job for job in self.running.values() if job.work.out), key=lambda job: job.rank)
        for job in batch:
            if not job.running:
                continue  # it was preempted for one before it
            if job.unread:
                if not job.step_tokens:
                    continue
                self.read_prompt(job)
                if job.unread:
                    continue
            if self.allocate_token(job):
                self.generate_token(job)

    def read_prompt(self, job: Job) -> None:
        self.read_tokens += job.step_tokens
        job.unread -= job.step_tokens
        job.step_tokens = 0
        while job.uncached_parts and job.unread <= job.uncached_parts[0][0]:
            _, key, tokens = job.uncached_parts.pop(0)
            if tokens <= job.own_tokens:
                self.memory.cache_part(key, tokens)
                job.own_tokens -= tokens
                job.pinned_parts.append(key)

    def allocate_token(self, job: Job) -> bool:
        """One more token of memory; False if it was preempted itself for lack of it."""
        while not self.memory.allocate(1):
            lowest_ranked = self.lowest_ranked()
            self.preempt(lowest_ranked)
            if lowest_ranked is job:
                return False
        job.own_tokens += 1
        return True

    def generate_token(self, job: Job) -> None:
        work, stride = job.work, self.settings.stride
        self.mark_started(job)
        job.generated += 1
        if job.generated % stride == 0 or job.generated >= work.out:
            version = self.versions.get(work.model, 0)
            version_changed = self.last_event_versions.get(job.number, version) != version
            self.last_event_versions[job.number] = version
            self.effects.append(
                Event(
                    job.number,
                    -(-job.generated // stride),
                    (job.generated - 1) % stride + 1,
                    version if version_changed else None,
                )
            )
        elif job.number not in self.last_event_versions:
            self.last_event_versions[job.number] = self.versions.get(work.model, 0)
        if job.generated >= work.out:
            self.remove(job)
            self.effects.append(Done(job.number))

    def slowdown_factor(self, now: float) -> float:
        settings = self.settings
        factor = settings.cold_slow if now < self.cold_until else 1.0
        return factor * (settings.full_slow if len(self.running) >= NEARLY_FULL_SHARE * settings.slots else 1.0)

    # --- cold

    def cold_remaining_s(self, now: float) -> float:
        return max(0.0, self.cold_until - now)

    def become_cold(self, now: float) -> None:
        """It may turn cold at any moment."""
        self.cold_until = now + self.settings.cold_s

    def count_cold_arrival(self, now: float) -> None:
        if now >= self.cold_until or not self.settings.cold_rate:
            return
        self.cold_arrivals.append(now)
        while self.cold_arrivals[0] <= now - 1.0:
            self.cold_arrivals.popleft()
        if len(self.cold_arrivals) > self.settings.cold_rate * self.settings.cold_fall and not self.has_crashed:
            self.has_crashed = True
            self.effects.append(Crashed())

    # --- what it says of itself

    def take_snapshot(self, now: float) -> None:
        if self.snapshots and now - self.snapshots[-1][0] < SNAPSHOT_INTERVAL_S:
            return
        self.snapshots.append(
            (
                now,
                {
                    "stage": "dual",
                    "modelList": [
                        {"name": name, "configVersion": version, "adapterList": []}
                        for name, version in self.versions.items()
                    ],
                    "occupied": False,
                    "sequenceNumber": 0,
                    "queued": len(self.waiting),
                    "active": len(self.running),
                    "kvUsed": self.memory.used,
                    "kvTotal": self.memory.total,
                    "handleCount": 0,
                },
            )
        )
        while len(self.snapshots) > 1 and self.snapshots[1][0] <= now - REPORT_DELAY_S:
            self.snapshots.popleft()

    def report(self, now: float) -> dict:
        """As it stood some hundred ms ago."""
        self.advance(now)
        return self.snapshots[0][1]


def parse_priority(header: str | None) -> int:
    """Of `Priority`: 0 to 9, 5 where it is absent or none.

    >>> parse_priority("0"), parse_priority(None), parse_priority("12")
    (0, 5, 5)
    """
    if header is not None and header.isdigit() and int(header) <= LOWEST_PRIORITY:
        return int(header)
    return 5
