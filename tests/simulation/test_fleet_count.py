"""The edge count by which edges divide the fleet's budgets, in the simulated system after a full restart."""

import pytest

from shedgrade.simulation.system.script import Script

EDGES = 6


@pytest.mark.parametrize("seed", range(1, 7))
def test_after_a_full_restart_no_ready_edge_counts_fewer_edges_than_exist(seed):
    """All members and edges restart without knowledge of the others; an edge that hears of only one other
    must not take it for the whole fleet."""
    script = Script(seed=seed, edges=EDGES)
    script.until_ready()
    script.run(2.0)
    random, system = script.system.random, script.system
    script.faults.kill_all([*system.cores, *system.edges], lambda: random.uniform(0.1, 0.6))
    counts = []
    for _ in range(120):
        script.run(0.05)
        counts += [
            (round(system.time.now, 2), machine.name, machine.program.state.edge_count)
            for machine in system.edges
            if machine.program is not None and machine.program.ready()
        ]
    assert len(counts) > EDGES * 60
    assert [count for count in counts if count[2] < EDGES] == []
    assert script.findings() == []
