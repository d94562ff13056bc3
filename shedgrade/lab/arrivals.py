"""Open-loop arrivals: the scheduled time of each RPC, independent of earlier responses. No I/O.

A schedule is drawn once from the scenario's seed; with n generators, each takes every n-th RPC of it. Times
are seconds from the start of the run.
"""

from math import cos, exp, log, pi, sin, sqrt
from random import Random

from shedgrade.lab import trace
from shedgrade.lab.arrival import Arrival
from shedgrade.lab.scenario import Class, Load, Scenario, Shape


def rate_of(shape: Shape, at: float) -> float:
    """The rate of one component at this time, RPCs per second."""
    if shape.kind == "steady":
        return shape.rate
    if shape.kind == "wave":
        return shape.rate * (1 + shape.swing * sin(2 * pi * at / shape.period_s))
    if shape.kind == "ramp":
        part = min(1.0, max(0.0, (at - shape.from_s) / (shape.until_s - shape.from_s)))
        return shape.rate + (shape.to - shape.rate) * part
    if not shape.from_s <= at < shape.until_s:
        return 0.0
    if shape.kind == "step":
        return shape.rate
    part = (at - shape.from_s) / (shape.until_s - shape.from_s)
    return shape.rate * (1 - cos(2 * pi * part)) / 2


def rate(load: Load, at: float) -> float:
    """The sum of all components at this time, times the scale, RPCs per second."""
    return load.scale * sum(rate_of(shape, at) for shape in load.shapes)


def top_rate(load: Load) -> float:
    """An upper bound of the rate over the whole run, RPCs per second."""
    most = {"ramp": lambda s: max(s.rate, s.to), "wave": lambda s: s.rate * (1 + s.swing)}
    return load.scale * sum(most.get(shape.kind, lambda s: s.rate)(shape) for shape in load.shapes)


def moments(load: Load, length: float, chance: Random):
    """Yields arrival times: a Poisson process by thinning, or constant ones by integration of the rate."""
    top = top_rate(load)
    if top <= 0:
        return
    at = 0.0
    if load.arrivals == "poisson":
        while (at := at + chance.expovariate(top)) < length:
            if chance.random() * top < rate(load, at):
                yield at
        return
    # Constant arrivals: one each time the integral of the rate passes n + 0.5. It is integrated in steps of a
    # millisecond, and the time within a step follows from the mean rate there: exact for steady parts, within
    # a microsecond for the others.
    step, sofar, due = 0.001, 0.0, 0.5
    while at < length:
        here = rate(load, at + step / 2) * step
        while here > 0 and sofar + here >= due:
            moment = at + step * (due - sofar) / here
            if moment < length:
                yield moment
            due += 1
        sofar, at = sofar + here, at + step


def draw_work(kind: Class, chance: Random) -> float:
    """Draws the work of one RPC in ms; `work_ms` is the mean before the factor of the tail."""
    if kind.dist == "constant" or not kind.cv:
        work = kind.work_ms
    elif kind.dist == "exponential":
        work = chance.expovariate(1 / kind.work_ms)
    elif kind.dist == "uniform":
        half = min(1.0, kind.cv * sqrt(3))
        work = kind.work_ms * chance.uniform(1 - half, 1 + half)
    else:
        spread = log(1 + kind.cv**2)
        work = kind.work_ms * exp(chance.gauss(-spread / 2, sqrt(spread)))
    if kind.tail_share and chance.random() < kind.tail_share:
        work *= kind.tail_times
    return max(0.001, work)


def schedule(scenario: Scenario) -> list[Arrival]:
    """All arrivals of a run in order of time, from the scenario's trace or, without one, from its shapes."""
    load = scenario.load
    if load.trace is not None:
        return trace.schedule(trace.read(load.trace.file), scenario)
    chance = Random(f"{scenario.seed}/arrivals")
    origins = load.origins or [1.0] * scenario.sidecars.count
    numbers, kinds = list(range(len(origins))), list(range(len(load.classes)))
    shares = [kind.share for kind in load.classes]
    found = []
    for number, at in enumerate(moments(load, scenario.length_s, chance)):
        kind = chance.choices(kinds, shares)[0]
        one = load.classes[kind]
        found.append(
            Arrival(
                number,
                round(at, 6),
                chance.choices(numbers, origins)[0],
                kind,
                round(draw_work(one, chance), 4),
                one.method,
                one.body,
            )
        )
    return found


def stalled(times: list[float], start: float, length: float, over: float) -> int:
    """The number of arrivals that wait longer than `over` s if nothing is served for `length` s."""
    return sum(start <= at < start + length - over for at in times)
