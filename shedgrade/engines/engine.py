"""A simulated inference engine: continuous batching, chunked prefill, shared memory, preemption by priority.

The engine does no I/O: each call is given the current time in s, and the resulting effects are appended to
`effects`, which the caller drains. Source: PROTOCOL, "Requests" and "Upstreams".
"""

import heapq
from collections import deque
from math import inf

from shedgrade.engines.memory import KeyValueMemory
from shedgrade.engines.settings import EngineSettings
from shedgrade.engines.work import (
    LOWEST_PRIORITY,
    Crashed,
    DeadlineExceeded,
    Done,
    Event,
    Job,
    Rejected,
    Started,
    Work,
)

NEARLY_FULL_SHARE = 0.9  # of the slots; from here on `EngineSettings.full_slow` applies
REPORT_DELAY_S = 0.3  # minimum age of the state that a report shows
SNAPSHOT_INTERVAL_S = 0.1


class Engine:
    """Runs requests in virtual time. The caller calls `advance` when `wake_at` is due.

    Attributes:
        memory: the key-value memory, shared by running requests and cached parts.
        versions: version of the weights, by model.
        cold_until: end of the cold period, s.
        jobs: all requests that have not ended, by number; each is in `waiting` or in `running`.
        deadlines: heap of (deadline in s, request number); requests that have ended stay in it until popped.
        last_event_versions: version of the weights of the last event, by request number; before the first
            event, of the first token.
        connection_slot_ends: when each new connection releases its slot, s, earliest first.
        cold_arrivals: arrival times of the last second while the engine is cold, s.
        effects: what has happened since the caller last drained the list, in order.
        last_number: number of the newest request.
        read_tokens: prompt tokens read so far.
        cached_tokens: prompt tokens that were not read because they were cached, so far.
        preemptions: number of preemptions so far.
        step_ends_at: end of the step in progress, s; infinite if there is none.
        has_crashed: whether the engine was overloaded while cold; it does nothing afterwards.
        snapshots: (time in s, report), oldest first.
    """

    def __init__(self, settings: EngineSettings, now: float, *, cold: bool = False) -> None:
        self.settings = settings
        self.memory = KeyValueMemory(settings.kv_tokens)
        self.versions = dict.fromkeys(settings.models, 1)
        self.cold_until = now + settings.cold_s if cold else now
        self.jobs: dict[int, Job] = {}
        self.waiting: dict[int, Job] = {}
        self.running: dict[int, Job] = {}
        self.deadlines: list[tuple[float, int]] = []
        self.last_event_versions: dict[int, int] = {}
        self.connection_slot_ends: deque[float] = deque()
        self.cold_arrivals: deque[float] = deque()
        self.effects: list = []
        self.last_number = self.read_tokens = self.cached_tokens = self.preemptions = 0
        self.step_ends_at = inf
        self.has_crashed = False
        self.snapshots: deque[tuple[float, dict]] = deque()

    # --- calls

    def submit(self, now: float, work: Work) -> int:
        """Adds a request and returns its number, counted from 1. If the request is rejected at once, the
        effects say so.
        """
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
        """Whether the request may wait. If the queue is full, a less urgent request that has not run yet is
        rejected in its place.
        """
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
        """Ends a request whose client disconnected."""
        self.advance(now)
        job = self.jobs.get(number)
        if job is not None:
            self.remove(job)
            self.schedule(now)

    def connected(self, now: float) -> None:
        """A new connection occupies a slot for `connect_s`."""
        self.connection_slot_ends.append(now + self.settings.connect_s)

    def load_weights(self, model: str, version: int) -> None:
        """Loads new weights. Parts cached with other weights can't be reused."""
        self.versions[model] = version

    # --- time

    def advance(self, now: float) -> None:
        """Processes all that was due by `now`, in the order in which it was due."""
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
        """When a step, request, connection slot or deadline ends next, s; infinite if none does."""
        while self.deadlines and self.deadlines[0][1] not in self.jobs:
            heapq.heappop(self.deadlines)
        next_end = min((job.ends_at for job in self.running.values()), default=inf)
        next_slot_end = self.connection_slot_ends[0] if self.connection_slot_ends and self.waiting else inf
        return min(
            self.step_ends_at, next_end, next_slot_end, self.deadlines[0][0] if self.deadlines else inf
        )

    def wake_at(self) -> float:
        """When `advance` is to be called next, s; infinite if nothing is due or the engine has crashed."""
        return inf if self.has_crashed else self.next_due_at()

    def expire(self, number: int) -> None:
        """Ends a request at its deadline: as late if it has run, else as rejected."""
        job = self.jobs.get(number)
        if job is not None:
            self.remove(job)
            self.effects.append(DeadlineExceeded(number) if job.started else Rejected(number, "deadline"))

    # --- slots

    def schedule(self, now: float) -> None:
        """Admits waiting requests to free slots, and begins a step if none is in progress."""
        while self.connection_slot_ends and self.connection_slot_ends[0] <= now:
            self.connection_slot_ends.popleft()
        for job in sorted(self.waiting.values(), key=lambda job: job.rank):
            if not self.admit(now, job):
                break
        if self.step_ends_at == inf:
            self.begin_step(now)

    def admit(self, now: float, job: Job) -> bool:
        """Moves a waiting request to the running ones, preempting less urgent ones if necessary. Returns
        False if it can't be admitted now.
        """
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
        """Preempts a running request that is less urgent than `job`. Returns False if there is none."""
        lowest_ranked = self.lowest_ranked()
        if lowest_ranked is None or lowest_ranked.work.priority <= job.work.priority:
            return False
        self.preempt(lowest_ranked)
        return True

    def lowest_ranked(self) -> Job | None:
        """The least urgent running generation; the newest of several."""
        return max(
            (job for job in self.running.values() if job.work.out), key=lambda job: job.rank, default=None
        )

    def allocate_memory(self, job: Job) -> bool:
        """Allocates memory for the tokens that the request has to read; cached parts are pinned and not read
        again. Returns False if they do not fit.
        """
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
        # At least one token is read, even if all parts are cached: the step that generates the first token.
        job.unread = unread_after = max(1, needed_tokens) if work.out else 0
        for key, (_, tokens) in zip(keys[cached_count:], work.parts[cached_count:], strict=True):
            unread_after -= tokens
            job.uncached_parts.append((unread_after, key, tokens))
        self.cached_tokens += cached_tokens
        return True

    def preempt(self, job: Job) -> None:
        """Returns a running request to the queue. It is read again later, with the tokens that it has
        generated; parts that were read completely stay cached.
        """
        self.release(job)
        job.running, job.step_tokens = False, 0
        self.waiting[job.number] = job
        self.preemptions += 1

    def remove(self, job: Job) -> None:
        """Removes a request that has ended, and releases what it held."""
        del self.jobs[job.number]
        self.last_event_versions.pop(job.number, None)
        if self.waiting.pop(job.number, None) is None:
            self.release(job)

    def release(self, job: Job) -> None:
        """Removes a request from the running ones and releases its memory."""
        del self.running[job.number]
        self.memory.free(job.own_tokens)
        for key in job.pinned_parts:
            self.memory.unpin(key)
        job.own_tokens, job.pinned_parts, job.uncached_parts = 0, [], []

    def mark_started(self, job: Job) -> None:
        """Reports that the request has started; not reported again when it resumes after a preemption."""
        if not job.started:
            job.started = True
            self.effects.append(Started(job.number))

    # --- steps

    def begin_step(self, now: float) -> None:
        """Begins a step: each request that has been read generates a token, and up to `piece` prompt tokens
        are read, of the most urgent requests first.
        """
        batch = [job for job in self.running.values() if job.work.out]
        if not batch:
            return
        settings, budget = self.settings, self.settings.piece
        for job in sorted((job for job in batch if job.unread), key=lambda job: job.rank):
            job.step_tokens = min(budget, job.unread)
            budget -= job.step_tokens
        tokens_to_read = settings.piece - budget
        duration_s = (
            settings.step_s + settings.crowd_s * (len(batch) - 1) + tokens_to_read / settings.prefill_per_s
        )
        self.step_ends_at = now + duration_s * self.slowdown_factor(now)

    def finish_step(self) -> None:
        """Ends the step in progress: the prompt tokens of the step are read, the others' tokens generated."""
        self.step_ends_at = inf
        batch = sorted((job for job in self.running.values() if job.work.out), key=lambda job: job.rank)
        for job in batch:
            if not job.running:
                continue  # preempted in this step for a request before it
            if job.unread:
                if not job.step_tokens:
                    continue
                self.read_prompt(job)
                if job.unread:
                    continue
            if self.allocate_token(job):
                self.generate_token(job)

    def read_prompt(self, job: Job) -> None:
        """Counts the step's prompt tokens as read; parts that are complete become cached parts."""
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
        """Allocates memory for one more token, preempting the lowest-ranked requests until it fits. Returns
        False if `job` itself was preempted.
        """
        while not self.memory.allocate(1):
            lowest_ranked = self.lowest_ranked()
            self.preempt(lowest_ranked)
            if lowest_ranked is job:
                return False
        job.own_tokens += 1
        return True

    def generate_token(self, job: Job) -> None:
        """Generates one token; an event is sent for every `stride` tokens and at the end."""
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
        """By what factor work takes longer now: while the engine is cold, and while it is nearly full."""
        settings = self.settings
        factor = settings.cold_slow if now < self.cold_until else 1.0
        return factor * (
            settings.full_slow if len(self.running) >= NEARLY_FULL_SHARE * settings.slots else 1.0
        )

    # --- cold

    def cold_remaining_s(self, now: float) -> float:
        """Remaining time of the cold period, s."""
        return max(0.0, self.cold_until - now)

    def become_cold(self, now: float) -> None:
        """Begins a cold period; allowed at any time."""
        self.cold_until = now + self.settings.cold_s

    def count_cold_arrival(self, now: float) -> None:
        """Counts a request that arrived while the engine is cold; the engine crashes if there were too many
        in the last second.
        """
        if now >= self.cold_until or not self.settings.cold_rate:
            return
        self.cold_arrivals.append(now)
        while self.cold_arrivals[0] <= now - 1.0:
            self.cold_arrivals.popleft()
        if (
            len(self.cold_arrivals) > self.settings.cold_rate * self.settings.cold_fall
            and not self.has_crashed
        ):
            self.has_crashed = True
            self.effects.append(Crashed())

    # --- reports

    def take_snapshot(self, now: float) -> None:
        """Records the engine's state for reports, at most once per `SNAPSHOT_INTERVAL_S`."""
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
        """The body of the report: the engine's state some hundred ms ago."""
        self.advance(now)
        return self.snapshots[0][1]


def parse_priority(header: str | None) -> int:
    """The value of a `Priority` header, 0 to 9; 5 if it is missing or invalid.

    >>> parse_priority("0"), parse_priority(None), parse_priority("12")
    (0, 5, 5)
    """
    if header is not None and header.isdigit() and int(header) <= LOWEST_PRIORITY:
        return int(header)
    return 5
