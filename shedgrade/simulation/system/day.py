"""A day by seed: its shape is drawn, faults strike, all are healed, and what was seen is checked."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from shedgrade.simulation.system.checkers import check
from shedgrade.simulation.system.faults import Faults
from shedgrade.simulation.system.schedule import FaultSchedule
from shedgrade.simulation.system.world import Shape, SystemWorld

PROFILES = ("calm", "fair", "planned", "storm")
HOMES = ("region-1", "region-2")  # of one route, in days with planned stops
SETTLED = 9.0  # s after the last fault in which orders go on
LAST_CALLS = 15.0  # s after which every call has its answer, at the latest
LEARNT = 3.0  # s after the last answer in which edges learn it
KILOBYTE = 1024
MEGABIT = 125_000  # bytes a second


def drawn(seed: int, tolerated: int, profile: str, length: float = 20.0) -> Shape:
    """The shape of a seed's day."""
    random = Random(f"{seed} {tolerated} {profile}")
    padding = random.choice((0, 0, 0, 0, 20, 100, 500, 2000)) * KILOBYTE
    bandwidth = random.choice((0.0, 0.0, 1000.0, 100.0, 20.0, 5.0)) * MEGABIT
    if padding > 100 * KILOBYTE and 0.0 < bandwidth < 100 * MEGABIT:
        bandwidth = 100.0 * MEGABIT  # each change is sent to every member and edge
    window = 4096 if padding > 100 * KILOBYTE else random.choice((128, 512, 4096))
    looked_up = {"edges": 6, "clients": 6, "homes": HOMES} if profile == "planned" else {}
    return replace(
        Shape(
            tolerated=tolerated,
            length=length,
            edges=random.choice((2, 3)),
            operators=random.choice((1, 2, 2, 3) if padding <= 100 * KILOBYTE else (1, 2)),
            at_once=random.choice((3, 4, 8)) if padding <= 100 * KILOBYTE else 3,
            between=random.choice((0.0001, 0.005, 0.02, 0.035, 0.055)),
            jitter=random.choice((0.02, 0.1, 0.5)),
            bandwidth=bandwidth,
            padding=padding,
            window=window * KILOBYTE,
            disk_latency=random.choice((0.001, 0.005, 0.02)),
            pace=random.choice((0.1, 0.4, 1.0)) if padding < 100 * KILOBYTE else 2.0,
            answers_lost=random.choice((0.0, 0.0, 0.1, 0.4, 0.7)),
            datagram_loss=random.choice((0.0, 0.02, 0.2)),
        ),
        **looked_up,
    )


class Day:
    """One seed's day. `world` may be looked at afterwards."""

    def __init__(
        self,
        seed: int,
        tolerated: int = 1,
        profile: str = "fair",
        length: float = 20.0,
        *,
        trace: bool = False,
        log: bool = False,
        **changes,
    ) -> None:
        """`changes`: of the drawn shape."""
        self.profile = profile
        self.shape = replace(drawn(seed, tolerated, profile, length), **changes)
        self.world = SystemWorld(seed, self.shape, trace=trace, log=log)
        self.faults = Faults(self.world)
        self.schedule = FaultSchedule(self.world, self.faults, profile, Random(self.world.random.random()))

    def play(self) -> list[str]:
        """Founding, faults, all healed, the last calls. Gives what was found wrong."""
        world, length = self.world, self.shape.length
        try:
            world.history.trouble.append((0.0, 0.3))
            world.start()
            if self.profile != "calm":
                first = world.random.uniform(1.5, 4.0)
                world.time.at(first, self.schedule.next)
            world.run(length)
            self.schedule.end()
            world.run(length + SETTLED)
            for operator in world.operators:
                operator.stopped, operator.caller.answers_lost = True, 0.0
            for client in world.clients:
                client.stopped = True
            until = length + SETTLED + LAST_CALLS
            while world.time.now < until and not all(one.finished for one in world.operators):
                world.run(world.time.now + 0.5)
            world.run(world.time.now + LEARNT)
            world.history.end = world.time.now
            return check(world, self.timely())
        finally:
            world.close()

    def timely(self) -> bool:
        """Times are checked only where answers come and links carry what is sent."""
        shape = self.shape
        return self.profile != "storm" and not shape.answers_lost and shape.padding <= 100 * KILOBYTE
