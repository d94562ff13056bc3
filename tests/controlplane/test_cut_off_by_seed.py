"""Cuts of about twenty seconds by seed: one way or both, twice with a short calm, stops, edges that start."""

from random import Random

import pytest
from controlplane.cut_world import APPLY, DRAIN, PLATFORM, CutWorld
from controlplane.virtual_loop import play

LONG = 20.0  # s that a cut may last


class Day:
    """One member (with five also two) in trouble at a time; changes of the configuration and of the list."""

    def __init__(self, loop, folder, seed: int) -> None:
        self.chance = Random(seed)
        cores = self.chance.choice((3, 3, 5))
        self.world = CutWorld(loop, folder, cores, cores // 2, seed)
        self.version, self.edges = 1, 10
        self.tasks = []

    async def play(self) -> CutWorld:
        world, chance = self.world, self.chance
        await world.run(3.0)
        await world.put(1)
        for _ in range(2):
            self.start_edge()
        await world.run(chance.uniform(1.0, 30.0))
        for _ in range(2):
            await self.trouble()
        await world.run(APPLY + DRAIN)
        return world

    def start_edge(self) -> None:
        self.edges += 1
        seeds = self.chance.sample(sorted(core.number for core in self.world.cores.values()), 3)
        for core in self.world.cores.values():
            way = self.chance.choice((0.001, 0.035, 0.055))
            edge = f"{core.address.rsplit('.', 1)[0]}.{self.edges}:7300"
            self.world.way[edge, core.address] = self.world.way[core.address, edge] = way
        self.world.start_edge(self.edges, *seeds)

    async def trouble(self) -> None:
        world, chance = self.world, self.chance
        side = chance.sample(list(world.cores.values()), chance.randint(1, world.tolerated))
        others = world.others(*side)
        how = chance.choice(("both", "in", "out", "stop", "stop and cut", "platform"))
        for _ in range(chance.choice((1, 1, 2))):  # twice, with a short calm
            self.begin(how, side, others)
            until = world.loop.time() + chance.choice((1.0, 3.0, LONG))
            while world.loop.time() < until:
                await self.something(others)
            self.end(side)
            await world.run(chance.uniform(0.1, 1.5))
        await world.run(chance.uniform(0.0, 4.0))

    def begin(self, how, side, others) -> None:
        for core in side:
            if how in ("both", "in", "out"):
                self.world.cut(core, *others, ways=how)
            if how == "stop and cut":
                self.world.loop.call_later(self.chance.uniform(0.1, 1.0), self.world.cut, core, *others)
            if how in ("stop", "stop and cut"):
                core.loop.stopped = True
            if how in ("both", "platform") and self.chance.random() < 0.5:
                self.world.cuts.add((core.address, PLATFORM))

    def end(self, side) -> None:
        thaw_first = self.chance.random() < 0.5
        if not thaw_first:
            self.world.heal()
        for core in side:
            if core.loop.stopped:
                core.loop.thaw()
        if thaw_first:
            self.world.loop.call_later(self.chance.uniform(0.0, 1.0), self.world.heal)

    async def something(self, others) -> None:
        world, chance = self.world, self.chance
        what = chance.randrange(5)
        if what < 2:
            self.version += chance.randint(1, 3)
            await world.put(self.version, *others)
        elif what == 2:
            world.list_moves()
        elif what == 3 and self.edges < 20:
            self.start_edge()
        await world.run(chance.uniform(0.05, 1.0))


def played(folder, seed) -> CutWorld:
    worlds = []

    async def scene(loop):
        worlds.append(await Day(loop, folder / str(seed), seed).play())

    play(scene)
    return worlds[0]


@pytest.mark.parametrize("seed", range(24))
def test_edges_in_touch_keep_up_through_any_cut(tmp_path, seed):
    assert played(tmp_path, seed).wrong == []
