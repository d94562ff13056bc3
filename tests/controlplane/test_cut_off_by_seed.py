"""Random faults by seed: cuts of up to 20 s in one or both directions, some twice in short succession,
stopped members, and edges that start meanwhile."""

from random import Random

import pytest
from controlplane.cut_world import APPLY_LIMIT_S, DRAIN_LIMIT_S, PLATFORM, PartitionTestCluster
from controlplane.virtual_loop import run_scenario

LONGEST_CUT_S = 20.0


class RandomFaults:
    """Faults of one member at a time (of five members also two), and changes of the configuration and the
    list."""

    def __init__(self, loop, folder, seed: int) -> None:
        self.random = Random(seed)
        cores = self.random.choice((3, 3, 5))
        self.cluster = PartitionTestCluster(loop, folder, cores, cores // 2, seed)
        self.version, self.edges = 1, 10
        self.tasks = []

    async def run(self) -> PartitionTestCluster:
        cluster, random = self.cluster, self.random
        await cluster.run(3.0)
        await cluster.put(1)
        for _ in range(2):
            self.start_edge()
        await cluster.run(random.uniform(1.0, 30.0))
        for _ in range(2):
            await self.inject_fault()
        await cluster.run(APPLY_LIMIT_S + DRAIN_LIMIT_S)
        return cluster

    def start_edge(self) -> None:
        self.edges += 1
        seeds = self.random.sample(sorted(core.number for core in self.cluster.cores.values()), 3)
        for core in self.cluster.cores.values():
            delay_s = self.random.choice((0.001, 0.035, 0.055))
            edge = f"{core.address.rsplit('.', 1)[0]}.{self.edges}:7300"
            self.cluster.delay_s[edge, core.address] = self.cluster.delay_s[core.address, edge] = delay_s
        self.cluster.start_edge(self.edges, *seeds)

    async def inject_fault(self) -> None:
        cluster, random = self.cluster, self.random
        side = random.sample(list(cluster.cores.values()), random.randint(1, cluster.tolerated))
        others = cluster.others(*side)
        fault = random.choice(("both", "in", "out", "stop", "stop and cut", "platform"))
        for _ in range(random.choice((1, 1, 2))):  # twice in short succession
            self.begin_fault(fault, side, others)
            until = cluster.loop.time() + random.choice((1.0, 3.0, LONGEST_CUT_S))
            while cluster.loop.time() < until:
                await self.act(others)
            self.end_fault(side)
            await cluster.run(random.uniform(0.1, 1.5))
        await cluster.run(random.uniform(0.0, 4.0))

    def begin_fault(self, fault, side, others) -> None:
        for core in side:
            if fault in ("both", "in", "out"):
                self.cluster.cut(core, *others, ways=fault)
            if fault == "stop and cut":
                self.cluster.loop.call_later(self.random.uniform(0.1, 1.0), self.cluster.cut, core, *others)
            if fault in ("stop", "stop and cut"):
                core.loop.stopped = True
            if fault in ("both", "platform") and self.random.random() < 0.5:
                self.cluster.cuts.add((core.address, PLATFORM))

    def end_fault(self, side) -> None:
        resumes_first = self.random.random() < 0.5
        if not resumes_first:
            self.cluster.heal()
        for core in side:
            if core.loop.stopped:
                core.loop.resume()
        if resumes_first:
            self.cluster.loop.call_later(self.random.uniform(0.0, 1.0), self.cluster.heal)

    async def act(self, others) -> None:
        cluster, random = self.cluster, self.random
        action = random.randrange(5)
        if action < 2:
            self.version += random.randint(1, 3)
            await cluster.put(self.version, *others)
        elif action == 2:
            cluster.change_list()
        elif action == 3 and self.edges < 20:
            self.start_edge()
        await cluster.run(random.uniform(0.05, 1.0))


def run_seed(folder, seed) -> PartitionTestCluster:
    clusters = []

    async def scenario(loop):
        clusters.append(await RandomFaults(loop, folder / str(seed), seed).run())

    run_scenario(scenario)
    return clusters[0]


@pytest.mark.parametrize("seed", range(24))
def test_connected_edges_stay_up_to_date_through_any_cut(tmp_path, seed):
    assert run_seed(tmp_path, seed).violations == []
