"""How many nodes of a kind there are, beyond what a view holds.

Each shuffle brings descriptors: samples of all nodes, nearly uniform once views are mixed. Of M samples in
the last WINDOW_S seconds D were distinct; with N nodes, D is about N (1 - exp(-M / N)), which is solved for
N. Kinds share N as they share D. Few nodes are all met within the window, and the estimate is then D itself.
"""

from collections import deque
from dataclasses import dataclass
from math import exp

WINDOW_S = 30.0
PRUNE_ABOVE = 64  # names
PRUNE_EVERY = 16  # batches
MAX_FACTOR = 2.0  # of the estimate over the distinct nodes
BISECTIONS = 40


@dataclass(frozen=True, slots=True)
class Sighting:
    """A node as it was sampled last."""

    kind: str
    at: float


@dataclass(frozen=True, slots=True)
class Batch:
    """How many samples one shuffle brought."""

    at: float
    size: int


class PopulationEstimator:
    """Estimates from samples. Holds one entry a name met within the window.

    Attributes:
        sightings: by name.
        batches: those of the window, oldest first.
        total: samples in `batches`.
    """

    def __init__(self) -> None:
        self.sightings: dict[str, Sighting] = {}
        self.batches: deque[Batch] = deque()
        self.total = 0

    def sample(self, now: float, names_and_kinds: list[tuple[str, str]]) -> None:
        """Counts the nodes that one shuffle brought."""
        for name, kind in names_and_kinds:
            self.sightings[name] = Sighting(kind, now)
        self.batches.append(Batch(now, len(names_and_kinds)))
        self.total += len(names_and_kinds)
        while self.batches[0].at < now - WINDOW_S:
            self.total -= self.batches.popleft().size
        if len(self.sightings) > PRUNE_ABOVE and len(self.batches) % PRUNE_EVERY == 0:
            self.prune(now)

    def prune(self, now: float) -> None:
        """Forgets names that were not met within the window."""
        self.sightings = {
            name: sighting for name, sighting in self.sightings.items() if sighting.at >= now - WINDOW_S
        }

    def remove(self, name: str) -> None:
        """The node is known to be gone."""
        self.sightings.pop(name, None)

    def count(self, kind: str) -> int:
        """An estimate of how many others of a kind there are; never below those that were met."""
        if not self.batches:
            return 0
        since = self.batches[-1].at - WINDOW_S
        kinds = [sighting.kind for sighting in self.sightings.values() if sighting.at >= since]
        of_kind, distinct = kinds.count(kind), len(kinds)
        if not of_kind:
            return 0
        return max(of_kind, round(of_kind * population(distinct, self.total) / distinct))


def population(distinct: int, samples: int) -> float:
    """N in `distinct` = N (1 - exp(-`samples` / N)), by bisection; at most MAX_FACTOR times `distinct`.

    >>> round(population(100, 10_000))
    100
    >>> 470 < population(283, 400) < 610
    True
    """
    low, high = float(distinct), MAX_FACTOR * distinct
    for _ in range(BISECTIONS):
        middle = (low + high) / 2
        if middle * (1 - exp(-samples / middle)) < distinct:
            low = middle
        else:
            high = middle
    return low
