"""Runs the data plane's load balancers against simulated engines, without sockets, to compare policies.

Usage: python -m benchmarks.choice SCENE [--seeds N] [--seconds S] [--variant NAME]... [--jobs N]

SCENE is a TOML file, see `benchmarks/scenes/`. Every edge has a real `ServingBalancer`; the engines are those
of `shedgrade.engines`. In the variant `one`, a single chooser that sees the true state of every engine
replaces the edges; its result is the upper bound that the edges are compared with. All figures are simulated.
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

TICKS_PER_S = 10_000  # ticks of the balancers' clock per second
PREFIX_RECORD_DELAY_S = 0.7  # s from a cache entry's observation by one edge until all edges know it
MEAN_LOAD_AGE_S = 0.1  # mean age of the loads that edges know of each other, s
LOAD_REPORT_INTERVAL_S = 0.1  # interval between two load reports, s


@dataclass(frozen=True)
class RequestKind:
    """A kind of request; its fields are the keys of `[[kinds]]` in a scene.

    Attributes:
        name: name in the results.
        per_s: mean rate over all regions, requests per second.
        aim_s: target time to the first event, s.
        pause_s: target for the longest pause between two events, s.
        deadline_s: time after which the engine gives up the request, s.
        worth: value of a request of mean size that meets both targets.
        late: factor on `worth` if a target is missed.
        priority: priority at the engine.
        own: tokens of the prompt that no other request shares: mean, sigma of the log-normal distribution.
        head: first shared part of the prompt: mean tokens, sigma, number of different parts.
        body: second shared part, in the same form.
        events: number of events of the response: mean, sigma.
        resumable: whether it may run twice; if so, a second attempt is allowed.
        homes: regions that the request must stay in; empty: any region.
    """

    name: str
    per_s: float
    aim_s: float
    pause_s: float
    deadline_s: float
    worth: float
    late: float
    priority: int
    own: tuple[float, float]
    head: tuple[float, float, int]
    body: tuple[float, float, int]
    events: tuple[float, float]
    resumable: bool = False
    homes: tuple[str, ...] = ()


@dataclass
class SimulatedRequest:
    """One request in progress.

    Attributes:
        arrived_at: time of arrival, s.
        rpc: its state in the edge's balancer; None in the variant `one`.
        engine: index of the engine; -1 before it is sent.
        network_delay: one-way delay between the edge and the engine, s.
        first_event_at: time of the first event at the edge, s; 0.0 before it.
        last_event_at: time of the last event at the edge, s.
        longest_pause: longest pause between two events so far, s.
    """

    kind: RequestKind
    edge: int
    arrived_at: float
    constraints: RoutingConstraints
    work: Work
    rpc: object = None
    engine: int = -1
    network_delay: float = 0.0
    first_event_at: float = 0.0
    last_event_at: float = 0.0
    longest_pause: float = 0.0


@dataclass
class Outcome:
    """The results of all requests of one kind.

    Attributes:
        asked: number of requests.
        possible_value: sum of their values.
        earned_value: sum of the values of the completed requests, late ones reduced.
        late: number that completed but missed a target.
        lost: number that did not complete.
        first_event_times: time to the first event of each completed request, s.
    """

    asked: int = 0
    possible_value: float = 0.0
    earned_value: float = 0.0
    late: int = 0
    lost: int = 0
    first_event_times: list[float] = field(default_factory=list)


def draw_log_normal(random: Random, mean: float, sigma: float, most: float = 14.0) -> int:
    """Draws a positive integer from a log-normal distribution; it is at most `most` times the mean."""
    value = mean * exp(random.gauss(0.0, sigma) - sigma * sigma / 2)
    return max(1, int(min(value, most * mean)))


class DelayedPrefixIndex:
    """A prefix index that all edges share: what one edge records, all see `PREFIX_RECORD_DELAY_S` later."""

    def __init__(self) -> None:
        self.now = 0.0
        self.seen: dict[int, dict[int, float]] = defaultdict(dict)

    def record_holder(self, key: int, mark: int) -> None:
        self.seen[key].setdefault(mark, self.now)

    def holders(self, key: int) -> dict[int, float]:
        marks = self.seen.get(key)
        return (
            {mark: at for mark, at in marks.items() if self.now - at >= PREFIX_RECORD_DELAY_S}
            if marks
            else {}
        )


@dataclass
class RequestTag:
    """What a balancer reads of a request: its routing constraints."""

    constraints: RoutingConstraints


class Fleet:
    """One simulated run of a scene."""

    def __init__(self, scene: dict, seed: int, variant: str) -> None:
        self.scene, self.random, self.variant = scene, Random(seed), variant
        self.kinds = [parse_kind(one) for one in scene["kinds"]]
        self.regions: dict[str, int] = scene["regions"]
        self.names = sorted(self.regions)
        engine = scene["engine"]
        self.settings = EngineSettings(**engine)
        self.engines = [Engine(self.settings, 0.0) for _ in range(sum(self.regions.values()))]
        self.region_of = [number for number, name in enumerate(self.names) for _ in range(self.regions[name])]
        self.edges = scene["edges"]
        self.prefix_index = DelayedPrefixIndex()
        self.balancers = (
            [] if variant == "one" else [self.make_balancer(number) for number in range(self.edges)]
        )
        self.requests: list[dict[int, SimulatedRequest]] = [{} for _ in self.engines]
        self.outcomes = {kind.name: Outcome() for kind in self.kinds}
        self.queue: list[tuple[float, int, object]] = []
        self.next_number = count().__next__
        self.next_wake_at = [float("inf")] * len(self.engines)
        self.counts: Counter = Counter()
        self.value_by_second: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
        self.withdrawn: set[int] = set()

    def make_balancer(self, number: int) -> ServingBalancer:
        retry_budget = RetryBudget(0.2, 100.0, 10 * TICKS_PER_S)
        retry_budget.sidecar_count = self.edges
        seed, own = self.random.getrandbits(32), number % len(self.names)
        balancer = ServingBalancer(self.names, own, seed, 0, retry_budget, f"edge-{number}")
        balancer.sidecar_count = self.edges
        balancer.prefix_index = self.prefix_index
        balancer.set_slots(self.settings.slots)
        return balancer

    def update_endpoint_lists(self, now: float) -> None:
        rows = []
        for index, region in enumerate(self.region_of):
            state = load_balancing.DRAINING if index in self.withdrawn else load_balancing.READY
            rows.append((index, region, state, 0, 0, 1000 + index, 1.0, 0))
        for balancer in self.balancers:
            balancer.list_changed(int(now * TICKS_PER_S), rows, True, False)

    # --- events, in simulated time

    def schedule(self, time: float, action: object) -> None:
        heapq.heappush(self.queue, (time, self.next_number(), action))

    def play(self, seconds: float) -> Fleet:
        self.update_endpoint_lists(0.0)
        for number, region in enumerate(self.names):
            for kind in self.kinds:
                self.schedule(0.0, ("arrive", number, region, kind))
        for event in self.scene.get("evacuate", ()):
            self.schedule(event["at"], ("out", event))
            self.schedule(event["at"] + event["for_s"], ("back", event))
        self.schedule(LOAD_REPORT_INTERVAL_S, ("load",))
        while self.queue:
            now, _, action = heapq.heappop(self.queue)
            if now > seconds + 6:
                break
            self.prefix_index.now = now
            match action:
                case ("arrive", number, region, kind):
                    rate = kind.per_s / len(self.names) * self.rate_factor(number, now)
                    if now < seconds:
                        self.schedule(now + self.random.expovariate(rate), action)
                    if now > 0:
                        self.arrive(now, number, kind)
                case ("engine", index):
                    if self.next_wake_at[index] <= now:
                        self.next_wake_at[index] = float("inf")
                        self.engines[index].advance(now)
                        self.collect(now, index)
                case ("send", index, request):
                    self.submit(now, index, request)
                case ("ended", request, outcome):
                    self.end_attempt(now, request, outcome)
                case ("started", request):
                    request.rpc.response_started(False)
                case ("load",):
                    self.share_loads(now)
                    self.schedule(now + LOAD_REPORT_INTERVAL_S, action)
                case ("told", sums, own):
                    for balancer, mine in zip(self.balancers, own, strict=True):
                        balancer.update_remote_loads(
                            {mark: load - mine.get(mark, 0) for mark, load in sums.items()}
                        )
                case ("out" | "back", event):
                    first = sum(
                        self.regions[name] for name in self.names[: self.names.index(event["region"])]
                    )
                    affected = range(first, first + int(self.regions[event["region"]] * event["share"]))
                    self.withdrawn = (
                        self.withdrawn | set(affected)
                        if action[0] == "out"
                        else self.withdrawn - set(affected)
                    )
                    self.update_endpoint_lists(now)
        return self

    def rate_factor(self, number: int, now: float) -> float:
        scene = self.scene
        factor = 1 + scene.get("swing", 0.0) * sin(2 * pi * (now / scene.get("period_s", 26.0) + number / 3))
        for burst in scene.get("bursts", ()):
            if burst["at"] <= now < burst["at"] + burst["for_s"]:
                factor *= burst["x"] if burst.get("region", self.names[number]) == self.names[number] else 1.0
        return factor

    # --- one request

    def arrive(self, now: float, region: int, kind: RequestKind) -> None:
        random = self.random
        head = int(kind.head[2] * random.random())
        body = int(kind.body[2] * random.random() ** 1.3)
        parts = (
            (f"{kind.name}-h{head}", shared_part_tokens(f"{kind.name}-h{head}", *kind.head[:2])),
            (f"{kind.name}-b{body}", shared_part_tokens(f"{kind.name}-b{body}", *kind.body[:2])),
        )
        shared = sum(tokens for _, tokens in parts)
        own = draw_log_normal(random, *kind.own)
        events = draw_log_normal(random, *kind.events, most=4)
        homes = frozenset(self.names.index(name) for name in kind.homes) or None
        constraints = RoutingConstraints(
            homes,
            f"{parts[0][0]},{parts[1][0]}".encode(),
            2 if kind.resumable else 1,
            int(kind.aim_s * TICKS_PER_S),
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
        request = SimulatedRequest(kind, edge, now, constraints, work)
        result = self.outcomes[kind.name]
        result.asked += 1
        size = 0.3 + 0.7 * min(
            4.0, (shared + own + 10 * work.out) / mean_request_tokens(kind, self.settings.stride)
        )
        request.value_factor = size
        result.possible_value += kind.worth * size
        self.value_by_second[int(now)][0] += kind.worth * size
        if self.variant == "one":
            index = self.best_engine(now, region, request)
        else:
            balancer = self.balancers[edge]
            request.rpc = balancer.admit(
                int(now * TICKS_PER_S),
                IDEMPOTENT if kind.resumable else ONCE,
                int((now + kind.deadline_s) * TICKS_PER_S),
                tag=RequestTag(constraints),
            )
            index, _ = request.rpc.decide(int(now * TICKS_PER_S))
            if index < 0:
                self.counts["refused"] += 1
                result.lost += 1
                return
        request.network_delay = self.scene["far_s"] if self.region_of[index] != region else 0.001
        self.counts["far"] += self.region_of[index] != region
        self.schedule(now + request.network_delay, ("send", index, request))

    def best_engine(self, now: float, region: int, request: SimulatedRequest) -> int:
        """Returns the engine that should send the first event soonest, from the true state of all."""

        def cost(index: int) -> float:
            engine = self.engines[index]
            far = self.scene["far_s"] if self.region_of[index] != region else 0.0
            kept = engine.memory.run([(request.work.model, 1, name) for name, _ in request.work.parts])
            unread = request.work.prompt - sum(tokens for _, tokens in request.work.parts[:kept])
            ahead = sum(job.unread for job in engine.jobs.values())
            ahead += sum(job.work.prompt for job in engine.waiting.values())
            waits = max(0, len(engine.jobs) + 1 - self.settings.slots)
            return 2 * far + (unread + ahead) / self.settings.prefill_per_s + 0.01 * len(engine.jobs) + waits

        homes = request.constraints.home_regions
        return min(
            (
                index
                for index in range(len(self.engines))
                if index not in self.withdrawn and (homes is None or self.region_of[index] in homes)
            ),
            key=cost,
        )

    def submit(self, now: float, index: int, request: SimulatedRequest) -> None:
        request.engine = index
        engine = self.engines[index]
        self.counts["at", index] += 1
        number = engine.submit(now, request.work)
        self.requests[index][number] = request
        self.collect(now, index)

    def collect(self, now: float, index: int) -> None:
        engine = self.engines[index]
        effects, engine.effects[:] = list(engine.effects), []
        for effect in effects:
            if not hasattr(effect, "number"):
                continue
            request = self.requests[index].get(effect.number)
            if request is None:
                continue
            match effect:
                case Event():
                    received_at = now + request.network_delay
                    if not request.first_event_at:
                        request.first_event_at = received_at
                        if request.rpc is not None:
                            self.schedule(received_at, ("started", request))
                    else:
                        request.longest_pause = max(
                            request.longest_pause, received_at - request.last_event_at
                        )
                    request.last_event_at = received_at
                case Done():
                    del self.requests[index][effect.number]
                    self.finish(now, request, True)
                case DeadlineExceeded() | Rejected():
                    del self.requests[index][effect.number]
                    self.counts["rejected"] += isinstance(effect, Rejected)
                    self.finish(now, request, False)
        at = engine.wake_at()
        if at < self.next_wake_at[index]:
            self.next_wake_at[index] = at
            self.schedule(max(at, now), ("engine", index))

    def finish(self, now: float, request: SimulatedRequest, whole: bool) -> None:
        kind, result = request.kind, self.outcomes[request.kind.name]
        if whole:
            took = request.first_event_at - request.arrived_at
            result.first_event_times.append(took)
            late = took > kind.aim_s or request.longest_pause > kind.pause_s
            result.late += late
            worth = kind.worth * request.value_factor * (kind.late if late else 1.0)
            result.earned_value += worth
            self.value_by_second[int(request.arrived_at)][1] += worth
        else:
            result.lost += 1
        if request.rpc is not None:
            self.schedule(
                now + request.network_delay,
                ("ended", request, load_balancing.COMPLETED if whole else load_balancing.REJECTED),
            )

    def end_attempt(self, now: float, request: SimulatedRequest, outcome: int) -> None:
        ticks = int(now * TICKS_PER_S)
        request.rpc.attempt_finished(ticks, 0, outcome, ticks - int(request.arrived_at * TICKS_PER_S), False)
        request.rpc.finish()

    # --- load reports between edges

    def share_loads(self, now: float) -> None:
        """Sends each edge the loads of all other edges; these are `MEAN_LOAD_AGE_S` old on average."""
        own = [dict(balancer.own_loads()) for balancer in self.balancers]
        sums: Counter = Counter()
        for loads in own:
            sums.update(loads)
        self.schedule(now + MEAN_LOAD_AGE_S - LOAD_REPORT_INTERVAL_S / 2, ("told", sums, own))


def shared_part_tokens(name: str, mean: float, sigma: float) -> int:
    return draw_log_normal(Random(name), mean, sigma, 3.0)


def mean_request_tokens(kind: RequestKind, stride: float) -> float:
    return kind.own[0] + kind.head[0] + kind.body[0] + 10 * kind.events[0] * stride


def parse_kind(data: dict) -> RequestKind:
    return RequestKind(
        **{name: tuple(value) if isinstance(value, list) else value for name, value in data.items()}
    )


def figures(fleet: Fleet) -> dict[str, float]:
    possible_value = sum(result.possible_value for result in fleet.outcomes.values())
    earned_value = sum(result.earned_value for result in fleet.outcomes.values())
    windows = []
    seconds = sorted(fleet.value_by_second)
    for start in seconds[:-4]:
        span = [
            fleet.value_by_second[second]
            for second in range(start, start + 5)
            if second in fleet.value_by_second
        ]
        windows.append(sum(got for _, got in span) / max(1e-9, sum(wanted for wanted, _ in span)))
    found = {"whole": earned_value / possible_value, "worst 5 s": min(windows, default=0.0)}
    for name, result in fleet.outcomes.items():
        times = sorted(result.first_event_times)
        found[f"{name} late"] = result.late
        found[f"{name} lost"] = result.lost
        found[f"{name} p99 s"] = times[int(0.99 * len(times))] if times else 0.0
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
