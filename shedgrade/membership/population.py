"""How many nodes of a kind there are, beyond what a view holds.

Each shuffle brings descriptors: samples of all nodes, nearly uniform once views are mixed. Of M samples in
the last WINDOW seconds D were distinct; with N nodes, D is about N (1 - exp(-M / N)), which is solved for N.
Kinds share N as they share D. Few nodes are all met within the window, and the estimate is then D itself.
"""

from collections import deque
from math import exp

WINDOW = 30.0  # s


class PopulationEstimator:
    """Names met lately, with their kinds. Holds one entry a name met within the window."""

    def __init__(self) -> None:
        self.met: dict[str, tuple[str, float]] = {}
        self.samples: deque[tuple[float, int]] = deque()
        self.total = 0

    def sample(self, now: float, names_and_kinds: list[tuple[str, str]]) -> None:
        for name, kind in names_and_kinds:
            self.met[name] = (kind, now)
        self.samples.append((now, len(names_and_kinds)))
        self.total += len(names_and_kinds)
        while self.samples[0][0] < now - WINDOW:
            self.total -= self.samples.popleft()[1]
        if len(self.met) > 64 and len(self.samples) % 16 == 0:
            self.forget(now)

    def forget(self, now: float) -> None:
        self.met = {name: entry for name, entry in self.met.items() if entry[1] >= now - WINDOW}

    def remove(self, name: str) -> None:
        self.met.pop(name, None)

    def count(self, kind: str) -> int:
        """An estimate of how many others of a kind there are; never below those that were met."""
        if not self.samples:
            return 0
        since = self.samples[-1][0] - WINDOW
        kinds = [held for held, at in self.met.values() if at >= since]
        own, distinct = kinds.count(kind), len(kinds)
        if not own:
            return 0
        return max(own, round(own * population(distinct, self.total) / distinct))


def population(distinct: int, samples: int) -> float:
    """N in `distinct` = N (1 - exp(-`samples` / N)), by bisection; at most twice `distinct`.

    >>> round(population(100, 10_000))
    100
    >>> 470 < population(283, 400) < 610
    True
    """
    low, high = float(distinct), 2.0 * distinct
    for _ in range(40):
        middle = (low + high) / 2
        if middle * (1 - exp(-samples / middle)) < distinct:
            low = middle
        else:
            high = middle
    return low
