"""Open-loop arrivals: the scheduled time of each RPC, independent of earlier responses. No I/O.

A schedule is drawn once from the scenario's seed; with n generators, each takes every n-th RPC of it. Times
are seconds from the start of the run.
"""

from math import cos, exp, log, pi, sin, sqrt
from random import Random

from shedgrade.lab import trace
from shedgrade.lab.arrival import Arrival
from shedgrade.lab.scenario import Class, Load, Scenario, Shape


def component_rate(shape: Shape, at: float) -> float:
    """The rate of one component at this time, RPCs per second."""
    if shape.kind == "steady":
        return shape.rate
    if shape.kind == "wave":
        return shape.rate * (1 + shape.swing * sin(2 * pi * at / shape.period_s))
    if shape.kind == "ramp":
        fraction = min(1.0, max(0.0, (at - shape.from_s) / (shape.until_s - shape.from_s)))
        return shape.rate + (shape.to - shape.rate) * fraction
    if not shape.from_s <= at < shape.until_s:
        return 0.0
    if shape.kind == "step":
        return shape.rate
    fraction = (at - shape.from_s) / (shape.until_s - shape.from_s)
    return shape.rate * (1 - cos(2 * pi * fraction)) / 2


def rate(load: Load, at: float) -> float:
    """The sum of all components at this time, times the scale, RPCs per second."""
    return load.scale * sum(component_rate(shape, at) for shape in load.shapes)


def max_rate(load: Load) -> float:
    """An upper bound of the rate over the whole run, RPCs per second."""
    peak = {"ramp": lambda s: max(s.rate, s.to), "wave": lambda s: s.rate * (1 + s.swing)}
    return load.scale * sum(peak.get(shape.kind, lambda s: s.rate)(shape) for shape in load.shapes)


def arrival_times(load: Load, length: float, rng: Random):
    """Yields arrival times: a Poisson process by thinning, or constant ones by integration of the rate."""
    highest_rate = max_rate(load)
    if highest_rate <= 0:
        return
    at = 0.0
    if load.arrivals == "poisson":
        while (at := at + rng.expovariate(highest_rate)) < length:
            if rng.random() * highest_rate < rate(load, at):
                yield at
        return
    # Constant arrivals: one each time the integral of the rate passes n + 0.5. It is integrated in steps of a
    # millisecond, and the time within a step follows from the mean rate there: exact for steady parts, within
    # a microsecond for the others.
    step_length, integral, next_arrival = 0.001, 0.0, 0.5
    while at < length:
        increment = rate(load, at + step_length / 2) * step_length
        while increment > 0 and integral + increment >= next_arrival:
            arrival_time = at + step_length * (next_arrival - integral) / increment
            if arrival_time < length:
                yield arrival_time
            next_arrival += 1
        integral, at = integral + increment, at + step_length


def draw_work(kind: Class, rng: Random) -> float:
    """Draws the work of one RPC in ms; `work_ms` is the mean before the factor of the tail."""
    if kind.dist == "constant" or not kind.cv:
        work = kind.work_ms
    elif kind.dist == "exponential":
        work = rng.expovariate(1 / kind.work_ms)
    elif kind.dist == "uniform":
        half_width = min(1.0, kind.cv * sqrt(3))
        work = kind.work_ms * rng.uniform(1 - half_width, 1 + half_width)
    else:
        variance = log(1 + kind.cv**2)
        work = kind.work_ms * exp(rng.gauss(-variance / 2, sqrt(variance)))
    if kind.tail_share and rng.random() < kind.tail_share:
        work *= kind.tail_times
    return max(0.001, work)


def schedule(scenario: Scenario) -> list[Arrival]:
    """All arrivals of a run in order of time, from the scenario's trace or, without one, from its shapes."""
    load = scenario.load
    if load.trace is not None:
        return trace.schedule(trace.read(load.trace.file), scenario)
    rng = Random(f"{scenario.seed}/arrivals")
    origins = load.origins or [1.0] * scenario.sidecars.count
    numbers, kinds = list(range(len(origins))), list(range(len(load.classes)))
    shares = [load_class.share for load_class in load.classes]
    drawn = []
    for number, at in enumerate(arrival_times(load, scenario.length_s, rng)):
        kind = rng.choices(kinds, shares)[0]
        load_class = load.classes[kind]
        drawn.append(
            Arrival(
                number,
                round(at, 6),
                rng.choices(numbers, origins)[0],
                kind,
                round(draw_work(load_class, rng), 4),
                load_class.method,
                load_class.body,
            )
        )
    return drawn


def delayed_by_stall(times: list[float], start: float, length: float, over: float) -> int:
    """The number of arrivals that wait longer than `over` s if nothing is served for `length` s."""
    return sum(start <= at < start + length - over for at in times)
