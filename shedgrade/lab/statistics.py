"""Paired comparisons, knees of parameter sweeps and growth rates, without I/O."""

from collections.abc import Callable
from random import Random
from statistics import fmean

RESAMPLES = 4_000  # keeps the ends of a 95% interval steady to a few percent of its width


def interval(differences: list[float], seed: int = 1, level: float = 0.95) -> tuple[float, float, float]:
    """Returns the mean of paired differences and the ends of its bootstrap interval (percentile method).

    With fewer than three pairs there is no interval: its ends are the least and the greatest difference.
    Raises ValueError if there are no pairs.
    """
    if not differences:
        raise ValueError("no pairs")
    mean = fmean(differences)
    if len(differences) < 3:
        return mean, min(differences), max(differences)
    generator = Random(seed)
    means = sorted(fmean(generator.choices(differences, k=len(differences))) for _ in range(RESAMPLES))
    tail = (1 - level) / 2
    return mean, means[int(tail * RESAMPLES)], means[int((1 - tail) * RESAMPLES) - 1]


def knee(points: list[tuple[float, float]], holds: Callable[[float], bool]) -> float | None:
    """Returns the greatest value up to which the figure holds at every point; None if it holds at none."""
    best = None
    for value, figure in sorted(points):
        if not holds(figure):
            break
        best = value
    return best


def growth(points: list[tuple[float, float]]) -> float:
    """Returns the exponent of a power law through points (size, cost): 0 is constant, 1 is linear.

    The logarithms are fitted by least squares.
    """
    from math import log

    xs, ys = [log(x) for x, _ in points], [log(y) for _, y in points]
    mean_x, mean_y = fmean(xs), fmean(ys)
    squares = sum((x - mean_x) ** 2 for x in xs)
    return sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / squares if squares else 0.0
