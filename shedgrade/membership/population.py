"""Estimates how many nodes of a kind there are, beyond those that a view holds.

Each shuffle brings descriptors, which are samples of all nodes, nearly uniform once the views are mixed. Of M
samples in the last WINDOW_S seconds, D were distinct nodes; with N nodes, D is about N (1 - exp(-M / N)),
which is solved for N. N is split among the kinds in proportion to their shares of D. If there are few nodes,
all of them are sampled within the window, and the estimate is D itself.
"""

from collections import deque
from dataclasses import dataclass
from math import exp

WINDOW_S = 30.0
PRUNE_ABOVE_NAMES = 64  # names; up to this number they are not pruned
PRUNE_BATCH_MULTIPLE = 16  # names are pruned when the number of batches is a multiple of it
MAX_ESTIMATE_FACTOR = 2.0  # upper bound of the estimate, as a multiple of the distinct nodes
BISECTIONS = 40  # steps


@dataclass(frozen=True, slots=True)
class Sighting:
    """The last sample of a node. `at`: seconds."""

    kind: str
    at: float


@dataclass(frozen=True, slots=True)
class Batch:
    """The number of samples that one shuffle brought. `at`: seconds."""

    at: float
    size: int


class PopulationEstimator:
    """Estimates the number of nodes from samples. Holds one entry for each name sampled within the window.

    Attributes:
        sightings: last sample of each node, by name.
        batches: those within the window, oldest first.
        total_samples: number of samples in `batches`.
    """

    def __init__(self) -> None:
        self.sightings: dict[str, Sighting] = {}
        self.batches: deque[Batch] = deque()
        self.total_samples = 0

    def add_samples(self, now: float, names_and_kinds: list[tuple[str, str]]) -> None:
        """Adds the names and kinds of the nodes that one shuffle brought."""
        for name, kind in names_and_kinds:
            self.sightings[name] = Sighting(kind, now)
        self.batches.append(Batch(now, len(names_and_kinds)))
        self.total_samples += len(names_and_kinds)
        while self.batches[0].at < now - WINDOW_S:
            self.total_samples -= self.batches.popleft().size
        if len(self.sightings) > PRUNE_ABOVE_NAMES and len(self.batches) % PRUNE_BATCH_MULTIPLE == 0:
            self.prune(now)

    def prune(self, now: float) -> None:
        """Removes the names that were not sampled within the window."""
        self.sightings = {
            name: sighting for name, sighting in self.sightings.items() if sighting.at >= now - WINDOW_S
        }

    def remove(self, name: str) -> None:
        """Removes a node that departed."""
        self.sightings.pop(name, None)

    def count(self, kind: str) -> int:
        """Estimates how many other nodes of a kind there are; returns at least as many as were sampled."""
        if not self.batches:
            return 0
        since = self.batches[-1].at - WINDOW_S
        kinds = [sighting.kind for sighting in self.sightings.values() if sighting.at >= since]
        of_kind, distinct = kinds.count(kind), len(kinds)
        if not of_kind:
            return 0
        return max(of_kind, round(of_kind * solve_population(distinct, self.total_samples) / distinct))


def solve_population(distinct: int, samples: int) -> float:
    """Solves `distinct` = N (1 - exp(-`samples` / N)) for N by bisection.

    The result is at most MAX_ESTIMATE_FACTOR times `distinct`.

    >>> round(solve_population(100, 10_000))
    100
    >>> 470 < solve_population(283, 400) < 610
    True
    """
    low, high = float(distinct), MAX_ESTIMATE_FACTOR * distinct
    for _ in range(BISECTIONS):
        middle = (low + high) / 2
        if middle * (1 - exp(-samples / middle)) < distinct:
            low = middle
        else:
            high = middle
    return low
