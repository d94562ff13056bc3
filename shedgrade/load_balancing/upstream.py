"""An upstream as this balancer has seen it, and measures that fade."""

from math import exp

from .outcomes import REMOVED

SECOND = 10_000
MEMORY = 5 * SECOND  # measures fade over 5 s: hundreds of RPCs of a busy balancer
LONGEST = 30 * SECOND  # or, for a light one, over what brings ENOUGH ends, up to the length of a trouble


class Upstream:
    """One server as this balancer has seen it."""

    __slots__ = (
        "index",
        "zone",
        "cell",
        "state",
        "started",
        "flight",
        "mark",
        "took",
        "foreseen",
        "good",
        "bad",
        "stamp",
        "aside_until",
        "trial",
        "size",
        "kind",
        "turns",
        "listed",
        "cold_turns",
        "cold_stamp",
        "doubt",
        "held",
        "crowd",
        "out",
        "told",
        "back_at",
        "used",
        "dropped",
    )

    def __init__(self, index: int, turns: float) -> None:
        self.index, self.zone, self.cell, self.state = index, None, 0, REMOVED
        self.started = self.flight = 0
        self.out, self.dropped, self.back_at = False, False, 0  # by operators; by the list; put back at
        self.told, self.used = 0, -LONGEST  # its start as the list tells it; when it was last sent to
        self.mark, self.size, self.kind, self.listed = None, 1.0, None, False
        self.crowd = 0.0  # RPCs held a core, as the list tells by its size
        self.held = 0  # streams that are open there: they load it, but are no work in flight
        self.doubt = 0  # good ends it still owes before it gets more than one RPC at a time
        self.turns = self.cold_turns = turns
        self.forget()

    def forget(self) -> None:
        """Health of an earlier process says nothing of the next one."""
        self.took = self.foreseen = self.good = self.bad = 0.0
        self.stamp = self.aside_until = self.cold_stamp = 0
        self.trial = False

    def fade(self, now: int, memory: float) -> None:
        if now > self.stamp:
            keep = exp((self.stamp - now) / memory)
            self.took, self.foreseen, self.stamp = self.took * keep, self.foreseen * keep, now
            self.good, self.bad = self.good * keep, self.bad * keep


class Ratio:
    """Two sums that fade, and their ratio with evidence worth `prior` for the usual one."""

    __slots__ = ("over", "under", "stamp")

    def __init__(self, over: float = 0.0, now: int = 0) -> None:
        self.over, self.under, self.stamp = over, 0.0, now

    def add(self, now: int, over: float, under: float, memory: float = LONGEST) -> None:
        keep = exp((self.stamp - now) / memory)
        self.over, self.under, self.stamp = self.over * keep + over, self.under * keep + under, now

    def of(self, prior: float, usual: float = 1.0) -> float:
        return (self.over + usual * prior) / (self.under + prior)
