"""All processes are killed and return in any order while a release replaces upstreams, by seed.

Guards against one version that names two endpoint lists: an edge applies a delta to another list than the one
that the delta builds on, goes on sending to upstreams that drain, and never uses the new ones.

More seeds: `RELEASE_SEEDS=200 python -m pytest -q tests/simulation/test_all_killed_beside_a_release.py`.
"""

import os
from random import Random
from types import SimpleNamespace

import pytest

from shedgrade.simulation.system.script import STEP_S, Script

SEEDS = int(os.environ.get("RELEASE_SEEDS", "12"))
ROUNDS = 3
BACK_WITHIN_S = 0.9  # after a kill, by which all processes are started again
LIST_LAG_S = 4.0  # after the last process is back, by which each edge has the platform's list (`drainMs`)


class Release:
    """Replaces instances of the platform's list, and notes every list that the platform had."""

    def __init__(self, platform, random):
        self.platform, self.random, self.started = platform, random, 0
        platform.random = SimpleNamespace(random=lambda: 1.0)  # no changes but those of the release
        self.lists = [self.current()]

    def current(self):
        return {one["instanceId"]: one["state"] for one in self.platform.instances}

    def step(self):
        """A new instance starts, an old one drains, and at times one that drained is gone."""
        instances = self.platform.instances
        available = [one for one in instances if one["state"] == "available"]
        drained = [one for one in instances if one["state"] == "draining"]
        old = self.random.choice(available)
        self.started += 1
        instances.append(
            {**old, "instanceId": f"new-{self.started}", "address": f"10.128.1.{self.started}:80"}
        )
        old["state"] = "draining"
        if drained and self.random.random() < 0.5:
            instances.remove(self.random.choice(drained))
        self.lists.append(self.current())


def lists_of_edges(system):
    """What each edge that has applied a list holds, by name."""
    return {
        edge.name: {name: endpoint.state for name, endpoint in edge.program.state.instances.items()}
        for edge in system.edges
        if edge.running and edge.program.state.instances
    }


def kill_all(script, random):
    """Ends all processes, or at times the power of all machines. They return in any order: each at a time of
    its own, or one member of the core before the edges and the others after them."""
    cores, edges = script.system.cores, script.system.edges
    first = random.choice(cores)
    in_turn = random.random() < 0.5
    for machine in [*cores, *edges]:
        seconds = random.uniform(0.05, BACK_WITHIN_S)
        if in_turn:
            seconds = 0.05 if machine is first else 0.1 if machine in edges else BACK_WITHIN_S
        end = script.faults.power_off if random.random() < 0.2 else script.faults.kill
        end(machine, seconds)


def run_checked(script, release, seconds):
    """Runs the system; at each step, what an edge holds is a list that the platform had."""
    end = script.system.time.now + seconds
    while script.system.time.now < end:
        script.run(STEP_S)
        for name, held in lists_of_edges(script.system).items():
            assert held in release.lists, f"{name} at {script.system.time.now:.2f} holds {held}"


@pytest.mark.parametrize("tolerated", [1, 2])
@pytest.mark.parametrize("seed", range(1, SEEDS + 1))
def test_each_edge_follows_the_release_whatever_the_order_of_return(seed, tolerated):
    random = Random(f"release {seed} {tolerated}")
    script = Script(seed=seed, tolerated=tolerated, edges=4)
    script.until_ready()
    script.run(1.0)
    release = Release(script.system.platform.program, random)
    for _ in range(ROUNDS):
        for _ in range(random.randint(1, 5)):
            script.at(random.uniform(0.0, 2.5), release.step)
        killed_in_s = random.uniform(0.1, 1.0)
        script.at(killed_in_s, kill_all, script, random)
        script.at(killed_in_s + random.uniform(0.05, BACK_WITHIN_S), release.step)
        if random.random() < 0.3:  # a second time, as they return
            script.at(random.uniform(1.0, 2.0), kill_all, script, random)
        run_checked(script, release, 2.5 + BACK_WITHIN_S + LIST_LAG_S)
        held = lists_of_edges(script.system)
        assert held == {edge.name: release.current() for edge in script.system.edges}
    assert script.findings() == []
