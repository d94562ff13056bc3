"""Models the capacity of a stand-in upstream, without I/O; real and simulated time use the same model.

All RPCs that run on one upstream progress at the same rate. A single work clock, advanced exactly through the
rising capacity of a cold start, therefore gives the end of each RPC. Inputs: `take`, `cancel`,
`set_machine_share` and `draining`. Outputs: `ends`, `next_end` and `fell`. Times are in seconds on any one
clock; work is in milliseconds on a core of speed 1. The model draws no random numbers.
"""

from collections import deque
from heapq import heappop, heappush
from math import inf, sqrt

TAKEN, AWAY, DOWN = "taken", "away", "down"


class Capacity:
    """The cores, queue, warm-up and overload window of one upstream."""

    def __init__(
        self,
        cores: int,
        speed: float,
        queue: int,
        started: float,
        *,
        cold_from: float = 1.0,
        cold: float = 0.0,
        fall_multiple: float = inf,
        overload: float = 2.0,
        crowd_at: float = inf,
        crowd_slow: float = 0.0,
    ) -> None:
        self.cores, self.speed, self.queue_cap, self.started = cores, speed, queue, started
        self.cold_from, self.cold = (cold_from, cold) if cold > 0 else (1.0, 0.0)
        self.fall_multiple, self.overload = fall_multiple, overload
        self.crowd_at, self.crowd_slow = crowd_at, crowd_slow
        self.factor = 1.0  # share of the machine that a noisy neighbour leaves; 0 while the upstream hangs
        self.at, self.worked = started, 0.0  # work clock: ms of work done by each busy core so far
        self.heap: list[tuple[float, int, object]] = []
        self.running: dict[object, float] = {}  # key to the reading of the work clock at which the RPC ends
        self.queue: deque[tuple[object, float]] = deque()
        self.waiting: set = set()
        self.order = 0
        self.offered: deque[tuple[float, float, str]] = deque()  # (time, work in ms, origin)
        self.offered_sum = 0.0
        self.draining = False
        self.fell: dict | None = None  # set when overload crashes it: time, offered work, limit, origins

    # --- warm-up

    def warmth(self, now: float) -> float:
        """Returns the share of its full capacity that the upstream has at `now`, from `cold_from` to 1."""
        since = now - self.started
        if since >= self.cold:
            return 1.0
        return self.cold_from + (1 - self.cold_from) * max(0.0, since) / self.cold

    def warm_seconds(self, now: float) -> float:
        """Returns the integral of `warmth` from the start to `now`, in full-capacity seconds."""
        since = now - self.started
        if since <= 0:  # times before the start count with the warmth of the start
            return since * self.cold_from
        part = min(since, self.cold)
        done = self.cold_from * part + ((1 - self.cold_from) * part * part / (2 * self.cold) if part else 0.0)
        return done + since - part

    def when_warm_seconds(self, seconds: float) -> float:
        """Returns the time at which `warm_seconds` reaches `seconds`."""
        whole = (self.cold_from + 1) / 2 * self.cold
        if seconds >= whole:
            return self.started + self.cold + seconds - whole
        if seconds <= 0:
            return self.started + seconds / self.cold_from
        rise = (1 - self.cold_from) / self.cold
        if rise <= 1e-12:
            return self.started + seconds / self.cold_from
        return self.started + (sqrt(self.cold_from**2 + 2 * rise * seconds) - self.cold_from) / rise

    # --- work clock

    def pace(self) -> float:
        """Returns the work in ms that a busy core does in a full-capacity second, at the present load."""
        load = len(self.running) + len(self.waiting)
        excess = max(0.0, load / self.cores - self.crowd_at)
        return 1000 * self.speed * self.factor / (1 + self.crowd_slow * excess)

    def advance(self, now: float) -> None:
        if now > self.at:
            self.worked += self.pace() * (self.warm_seconds(now) - self.warm_seconds(self.at))
            self.at = now

    def next_end(self) -> float:
        """Returns when the next running RPC ends if nothing changes; inf if none does."""
        while self.heap and self.running.get(self.heap[0][2]) != self.heap[0][0]:
            heappop(self.heap)
        pace = self.pace()
        if not self.heap or pace <= 0:
            return inf
        left = max(0.0, self.heap[0][0] - self.worked) / pace
        return max(self.at, self.when_warm_seconds(self.warm_seconds(self.at) + left))

    def ends(self, now: float) -> list[tuple[float, object]]:
        """Removes the RPCs that have ended by `now` and returns them as (time, key).

        Each end starts the next queued RPC.
        """
        ended = []
        while (at := self.next_end()) <= now:
            self.advance(at)
            target, _, key = heappop(self.heap)
            self.worked = max(self.worked, target)
            del self.running[key]
            ended.append((at, key))
            self.start_queued()
        self.advance(now)
        return ended

    def start_queued(self) -> None:
        while self.queue and len(self.running) < self.cores:
            key, work = self.queue.popleft()
            if key in self.waiting:
                self.waiting.discard(key)
                self.begin(key, work)

    def begin(self, key: object, work: float) -> None:
        self.order += 1
        self.running[key] = self.worked + work
        heappush(self.heap, (self.running[key], self.order, key))

    # --- inputs

    def take(self, now: float, key: object, work: float, origin: str = "") -> str:
        """Takes an arriving RPC.

        Returns TAKEN, AWAY if the RPC is rejected, or DOWN if overload has crashed the upstream. A rejected
        RPC counts as offered work too.
        """
        if self.fell is not None or self.record_offered(now, work, origin):
            return DOWN
        if self.draining or (len(self.running) >= self.cores and len(self.waiting) >= self.queue_cap):
            return AWAY
        self.advance(now)
        if len(self.running) < self.cores:
            self.begin(key, work)
        else:
            self.waiting.add(key)
            self.queue.append((key, work))
        return TAKEN

    def record_offered(self, now: float, work: float, origin: str) -> bool:
        """Adds to the offered work; returns True if that crashes the upstream, as it can while cold."""
        if now >= self.started + self.cold:
            self.offered.clear()
            return False
        self.offered.append((now, work, origin))
        self.offered_sum += work
        while self.offered[0][0] <= now - self.overload:
            self.offered_sum -= self.offered.popleft()[1]
        limit = self.limit(now)
        if self.offered_sum <= limit:
            return False
        work_by_origin: dict[str, float] = {}
        for _, offered_work, sender in self.offered:
            work_by_origin[sender] = round(work_by_origin.get(sender, 0.0) + offered_work, 3)
        self.fell = {
            "at": now,
            "offered": self.offered_sum,
            "limit": limit,
            "by": work_by_origin,
            "since": self.offered[0][0],
        }
        self.running.clear()
        self.waiting.clear()
        self.queue.clear()
        return True

    def limit(self, now: float) -> float:
        """Returns the work in ms that may be offered within the `overload` seconds that end at `now`."""
        warm_seconds = self.warm_seconds(now) - self.warm_seconds(now - self.overload)
        return self.fall_multiple * 1000 * self.speed * self.cores * warm_seconds

    def cancel(self, now: float, key: object) -> bool:
        """Cancels an RPC; returns False if the upstream no longer holds it."""
        self.advance(now)
        if key in self.waiting:
            self.waiting.discard(key)
            return True
        if self.running.pop(key, None) is None:
            return False
        self.start_queued()
        return True

    def set_machine_share(self, now: float, factor: float) -> None:
        """Sets the share of the machine that a noisy neighbour leaves from `now` on."""
        self.advance(now)
        self.factor = factor

    def ran(self, key: object) -> bool:
        """Returns whether the RPC is running, not merely queued."""
        return key in self.running
