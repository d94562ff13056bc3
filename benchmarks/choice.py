"""Plays the data plane's choices against simulated engines, without sockets: what a policy is worth.

Usage: python -m benchmarks.choice SCENE [--seeds N] [--seconds S] [--variant NAME]... [--jobs N]

SCENE: a TOML file, see `benchmarks/scenes/`. Every edge has a real `ServingBalancer`; engines are those of
`shedgrade.engines`. The variant `one` is no fleet: a single chooser that sees every engine's true state, the
bound that edges are held against. All figures are simulated.
"""

from __future__ import annotations

import argparse
import heapq
import statistics
import tomllib
from collections import Counter, defaultdict
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from itertools import count
from math import exp, pi, sin, sqrt
from pathlib import Path
from random import Random

from shedgrade import load_balancing
from shedgrade.engines.engine import Engine
from shedgrade.engines.settings import EngineSettings
from shedgrade.engines.work import DeadlineExceeded, Done, Event, Rejected, Work
from shedgrade.model_routing.balancer import ServingBalancer
from shedgrade.model_routing.request import IDEMPOTENT, ONCE, RoutingConstraints
from shedgrade.model_routing.retry_budget import RetryBudget

TICKS = 10_000  # of the decisions' clock, a second
RECORD_LAG = 0.7  # s until all edges know what one has seen read
LOAD_LAG = 0.1  # s by which what edges know of each other's load is old, on the mean
LOAD_BEAT = 0.1  # s between two words of load


@dataclass(frozen=True)
class Kind:
    """A kind of request: a second over all regions; s; worth in time and late; tokens as (mean, sigma)."""

    name: str
    per_s: float
    aim_s: float
    pause_s: float
    deadline_s: float
    worth: float
    late: float
    priority: int
    own: tuple[float, float]
    head: tuple[float, float, int]  # first shared part: tokens, sigma, how many there are
    body: tuple[float, float, int]  # second shared part
    events: tuple[float, float]
    resumable: bool = False
    homes: tuple[str, ...] = ()


@dataclass
class Try:
    """One request under way."""

    kind: Kind
    edge: int
    came: float
    constraints: RoutingConstraints
    work: Work
    rpc: object = None
    engine: int = -1
    far: float = 0.0
    first: float = 0.0
    last: float = 0.0
    pause: float = 0.0


@dataclass
class Outcome:
    """What became of all requests of one kind."""

    asked: int = 0
    owed: float = 0.0
    earned: float = 0.0
    late: int = 0
    lost: int = 0
    firsts: list[float] = field(default_factory=list)


def drawn(random: Random, mean: float, sigma: float, most: float = 14.0) -> int:
    """A whole number of a log-normal with this mean."""
    value = mean * exp(random.gauss(0.0, sigma) - sigma * sigma / 2)
    return max(1, int(min(value, most * mean)))


class Told:
    """The record and the loads as edges learn them: what one recorded, all know a while later."""

    def __init__(self) -> None:
        self.now = 0.0
        self.seen: dict[int, dict[int, float]] = defaultdict(dict)

    def record_holder(self, key: int, mark: int) -> None:
        self.seen[key].setdefault(mark, self.now)

    def holders(self, key: int) -> dict[int, float]:
        marks = self.seen.get(key)
        return {mark: at for mark, at in marks.items() if self.now - at >= RECORD_LAG} if marks else {}


@dataclass
class Tag:
    """What the handle of a request refers to."""

    constraints: RoutingConstraints


class Fleet:
    """One play of a scene."""

    def __init__(self, scene: dict, seed: int, variant: str) -> None:
        self.scene, self.random, self.variant = scene, Random(seed), variant
        self.kinds = [kind_of(one) for one in scene["kinds"]]
        self.regions: dict[str, int] = scene["regions"]
        self.names = sorted(self.regions)
        engine = scene["engine"]
        self.settings = EngineSettings(**engine)
        self.engines = [Engine(self.settings, 0.0) for _ in range(sum(self.regions.values()))]
        self.region_of = [number for number, name in enumerate(self.names) for _ in range(self.regions[name])]
        self.edges = scene["edges"]
        self.told = Told()
        self.balancers = [] if variant == "one" else [self.edge(number) for number in range(self.edges)]
        self.tries: list[dict[int, Try]] = [{} for _ in self.engines]
        self.outcomes = {kind.name: Outcome() for kind in self.kinds}
        self.queue: list[tuple[float, int, object]] = []
        self.number = count().__next__
        self.planned = [float("inf")] * len(self.engines)
        self.counts: Counter = Counter()
        self.second: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
        self.out: set[int] = set()

    def edge(self, number: int) -> ServingBalancer:
        retry_budget = RetryBudget(0.2, 100.0, 10 * TICKS)
        retry_budget.sidecar_count = self.edges
        seed, own = self.random.getrandbits(32), number % len(self.names)
        balancer = ServingBalancer(self.names, own, seed, 0, retry_budget, f"edge-{number}")
        balancer.sidecar_count = self.edges
        balancer.prefix_index = self.told
        balancer.set_slots(self.settings.slots)
        return balancer

    def relist(self, now: float) -> None:
        rows = []
        for index, region in enumerate(self.region_of):
            state = load_balancing.DRAINING if index in self.out else load_balancing.READY
            rows.append((index, region, state, 0, 0, 1000 + index, 1.0, 0))
        for balancer in self.balancers:
            balancer.list_changed(int(now * TICKS), rows, True, False)

    # --- time

    def at(self, time: float, what: object) -> None:
        heapq.heappush(self.queue, (time, self.number(), what))

    def play(self, seconds: float) -> Fleet:
        self.relist(0.0)
        for number, region in enumerate(self.names):
            for kind in self.kinds:
                self.at(0.0, ("arrive", number, region, kind))
        for event in self.scene.get("evacuate", ()):
            self.at(event["at"], ("out", event))
            self.at(event["at"] + event["for_s"], ("back", event))
        self.at(LOAD_BEAT, ("load",))
        while self.queue:
            now, _, what = heapq.heappop(self.queue)
            if now > seconds + 6:
                break
            self.told.now = now
            match what:
                case ("arrive", number, region, kind):
                    rate = kind.per_s / len(self.names) * self.swing(number, now)
                    if now < seconds:
                        self.at(now + self.random.expovariate(rate), what)
                    if now > 0:
                        self.arrive(now, number, kind)
                case ("engine", index):
                    if self.planned[index] <= now:
                        self.planned[index] = float("inf")
                        self.engines[index].advance(now)
                        self.collect(now, index)
                case ("send", index, one):
                    self.submit(now, index, one)
                case ("ended", one, outcome):
                    self.ended(now, one, outcome)
                case ("started", one):
                    one.rpc.response_started(False)
                case ("load",):
                    self.share_loads(now)
                    self.at(now + LOAD_BEAT, what)
                case ("told", sums, own):
                    for balancer, mine in zip(self.balancers, own, strict=True):
                        balancer.update_remote_loads(
                            {mark: load - mine.get(mark, 0) for mark, load in sums.items()}
                        )
                case ("out" | "back", event):
                    first = sum(
                        self.regions[name] for name in self.names[: self.names.index(event["region"])]
                    )
                    gone = range(first, first + int(self.regions[event["region"]] * event["share"]))
                    self.out = self.out | set(gone) if what[0] == "out" else self.out - set(gone)
                    self.relist(now)
        return self

    def swing(self, number: int, now: float) -> float:
        scene = self.scene
        wave = 1 + scene.get("swing", 0.0) * sin(2 * pi * (now / scene.get("period_s", 26.0) + number / 3))
        for burst in scene.get("bursts", ()):
            if burst["at"] <= now < burst["at"] + burst["for_s"]:
                wave *= burst["x"] if burst.get("region", self.names[number]) == self.names[number] else 1.0
        return wave

    # --- one request

    def arrive(self, now: float, region: int, kind: Kind) -> None:
        random = self.random
        head = int(kind.head[2] * random.random())
        body = int(kind.body[2] * random.random() ** 1.3)
        parts = (
            (f"{kind.name}-h{head}", sized(f"{kind.name}-h{head}", *kind.head[:2])),
            (f"{kind.name}-b{body}", sized(f"{kind.name}-b{body}", *kind.body[:2])),
        )
        shared = sum(tokens for _, tokens in parts)
        own = drawn(random, *kind.own)
        events = drawn(random, *kind.events, most=4)
        homes = frozenset(self.names.index(name) for name in kind.homes) or None
        constraints = RoutingConstraints(
            homes,
            f"{parts[0][0]},{parts[1][0]}".encode(),
            2 if kind.resumable else 1,
            int(kind.aim_s * TICKS),
            prompt_tokens=shared + own,
            prefix_tokens=shared,
        )
        work = Work(
            shared + own,
            events * self.settings.stride,
            parts,
            priority=kind.priority,
            deadline=now + kind.deadline_s,
        )
        edge = region + len(self.names) * random.randrange(self.edges // len(self.names))
        one = Try(kind, edge, now, constraints, work)
        result = self.outcomes[kind.name]
        result.asked += 1
        size = 0.3 + 0.7 * min(4.0, (shared + own + 10 * work.out) / mean_size(kind, self.settings.stride))
        one.worth = size
        result.owed += kind.worth * size
        self.second[int(now)][0] += kind.worth * size
        if self.variant == "one":
            index = self.best(now, region, one)
        else:
            balancer = self.balancers[edge]
            one.rpc = balancer.admit(
                int(now * TICKS),
                IDEMPOTENT if kind.resumable else ONCE,
                int((now + kind.deadline_s) * TICKS),
                tag=Tag(constraints),
            )
            index, _ = one.rpc.decide(int(now * TICKS))
            if index < 0:
                self.counts["refused"] += 1
                result.lost += 1
                return
        one.far = self.scene["far_s"] if self.region_of[index] != region else 0.001
        self.counts["far"] += self.region_of[index] != region
        self.at(now + one.far, ("send", index, one))

    def best(self, now: float, region: int, one: Try) -> int:
        """The engine at which its first event is to be expected soonest, as one who sees all would choose."""

        def cost(index: int) -> float:
            engine = self.engines[index]
            far = self.scene["far_s"] if self.region_of[index] != region else 0.0
            kept = engine.memory.run([(one.work.model, 1, name) for name, _ in one.work.parts])
            unread = one.work.prompt - sum(tokens for _, tokens in one.work.parts[:kept])
            ahead = sum(job.unread for job in engine.jobs.values())
            ahead += sum(job.work.prompt for job in engine.waiting.values())
            waits = max(0, len(engine.jobs) + 1 - self.settings.slots)
            return 2 * far + (unread + ahead) / self.settings.prefill_per_s + 0.01 * len(engine.jobs) + waits

        homes = one.constraints.home_regions
        return min(
            (
                index
                for index in range(len(self.engines))
                if index not in self.out and (homes is None or self.region_of[index] in homes)
            ),
            key=cost,
        )

    def submit(self, now: float, index: int, one: Try) -> None:
        one.engine = index
        engine = self.engines[index]
        self.counts["at", index] += 1
        number = engine.submit(now, one.work)
        self.tries[index][number] = one
        self.collect(now, index)

    def collect(self, now: float, index: int) -> None:
        engine = self.engines[index]
        effects, engine.effects[:] = list(engine.effects), []
        for effect in effects:
            if not hasattr(effect, "number"):
                continue
            one = self.tries[index].get(effect.number)
            if one is None:
                continue
            match effect:
                case Event():
                    seen = now + one.far
                    if not one.first:
                        one.first = seen
                        if one.rpc is not None:
                            self.at(seen, ("started", one))
                    else:
                        one.pause = max(one.pause, seen - one.last)
                    one.last = seen
                case Done():
                    del self.tries[index][effect.number]
                    self.finish(now, one, True)
                case DeadlineExceeded() | Rejected():
                    del self.tries[index][effect.number]
                    self.counts["rejected"] += isinstance(effect, Rejected)
                    self.finish(now, one, False)
        at = engine.wake_at()
        if at < self.planned[index]:
            self.planned[index] = at
            self.at(max(at, now), ("engine", index))

    def finish(self, now: float, one: Try, whole: bool) -> None:
        kind, result = one.kind, self.outcomes[one.kind.name]
        if whole:
            took = one.first - one.came
            result.firsts.append(took)
            late = took > kind.aim_s or one.pause > kind.pause_s
            result.late += late
            worth = kind.worth * one.worth * (kind.late if late else 1.0)
            result.earned += worth
            self.second[int(one.came)][1] += worth
        else:
            result.lost += 1
        if one.rpc is not None:
            self.at(
                now + one.far,
                ("ended", one, load_balancing.COMPLETED if whole else load_balancing.REJECTED),
            )

    def ended(self, now: float, one: Try, outcome: int) -> None:
        ticks = int(now * TICKS)
        one.rpc.attempt_finished(ticks, 0, outcome, ticks - int(one.came * TICKS), False)
        one.rpc.finish()

    # --- what edges know of each other

    def share_loads(self, now: float) -> None:
        """Each edge learns what all others had in flight at each engine a while ago."""
        own = [dict(balancer.own_loads()) for balancer in self.balancers]
        sums: Counter = Counter()
        for loads in own:
            sums.update(loads)
        self.at(now + LOAD_LAG - LOAD_BEAT / 2, ("told", sums, own))


def sized(name: str, mean: float, sigma: float) -> int:
    return drawn(Random(name), mean, sigma, 3.0)


def mean_size(kind: Kind, stride: float) -> float:
    return kind.own[0] + kind.head[0] + kind.body[0] + 10 * kind.events[0] * stride


def kind_of(data: dict) -> Kind:
    return Kind(**{name: tuple(value) if isinstance(value, list) else value for name, value in data.items()})


def figures(fleet: Fleet) -> dict[str, float]:
    owed = sum(result.owed for result in fleet.outcomes.values())
    earned = sum(result.earned for result in fleet.outcomes.values())
    windows = []
    seconds = sorted(fleet.second)
    for start in seconds[:-4]:
        span = [fleet.second[second] for second in range(start, start + 5) if second in fleet.second]
        windows.append(sum(got for _, got in span) / max(1e-9, sum(wanted for wanted, _ in span)))
    found = {"whole": earned / owed, "worst 5 s": min(windows, default=0.0)}
    for name, result in fleet.outcomes.items():
        firsts = sorted(result.firsts)
        found[f"{name} late"] = result.late
        found[f"{name} lost"] = result.lost
        found[f"{name} p99 s"] = firsts[int(0.99 * len(firsts))] if firsts else 0.0
    sent = [fleet.counts["at", index] for index in range(len(fleet.engines))]
    found["read M"] = sum(engine.read_tokens for engine in fleet.engines) / 1e6
    found["preempted"] = sum(engine.preemptions for engine in fleet.engines)
    found["busiest/mean"] = max(sent) / statistics.mean(sent)
    found["far"] = fleet.counts["far"] / sum(result.asked for result in fleet.outcomes.values())
    return found


def play(scene: dict, seed: int, variant: str, seconds: float) -> dict[str, float]:
    return figures(Fleet(scene, seed, variant).play(seconds))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("scene", type=Path)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=34.0)
    parser.add_argument("--variant", action="append", default=[])
    parser.add_argument("--jobs", type=int, default=3)
    options = parser.parse_args()
    scene = tomllib.loads(options.scene.read_text())
    with ProcessPoolExecutor(options.jobs) as pool:
        for variant in options.variant or ["as it is", "one"]:
            found = list(
                pool.map(
                    play,
                    *zip(
                        *((scene, seed, variant, options.seconds) for seed in range(options.seeds)),
                        strict=True,
                    ),
                )
            )
            print(f"## {variant}")
            for name in found[0]:
                values = [one[name] for one in found]
                spread = statistics.stdev(values) if len(values) > 1 else 0.0
                print(f"{name:24} {statistics.mean(values):8.3f} +- {spread / sqrt(len(values)):.3f}")


if __name__ == "__main__":
    main()
