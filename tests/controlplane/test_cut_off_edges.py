"""The configuration that an edge serves if it starts during a cut, on either side of it."""

from types import SimpleNamespace

import msgspec
import pytest
from controlplane.cut_world import APPLY_LIMIT_S, PartitionTestCluster, address
from controlplane.virtual_loop import run_scenario

from shedgrade.dataplane.received_state import FIRST_STATE_WAIT_S, ReceivedState

QUERY_TIME_S = 0.3  # in which a starting edge has asked other members: three round trips, and its timer
real_take = ReceivedState.take


async def minority_cut_off(loop, folder, cores, isolated_count) -> tuple[PartitionTestCluster, list]:
    """Returns a cluster after a cut and its isolated members: `isolated_count` members, including the
    primary, have version 1; the others have version 2."""
    cluster = PartitionTestCluster(loop, folder, cores, cores // 2)
    await cluster.run(3.0)
    await cluster.put(1)
    await cluster.run(1.0)
    primary = cluster.primary()
    side = [primary, *cluster.others(primary)[: isolated_count - 1]]
    for member in side:
        cluster.cut(member, *cluster.others(*side))
    await cluster.run(2.0)
    await cluster.put(2, *cluster.others(*side))
    await cluster.run(5.0)
    return cluster, side


def place_near(cluster, edge_number, side):
    """Makes the members of that side by far the nearest to the edge."""
    edge = address(edge_number)
    for core in cluster.cores.values():
        cluster.delay_s[edge, core.address] = cluster.delay_s[core.address, edge] = (
            0.001 if core in side else 0.04
        )


async def wait_until_serving(cluster, edge, version) -> float:
    """Waits until the edge serves, which must be this version; returns how long that took, in s."""
    started_at = cluster.loop.time()
    while not cluster.version(edge):
        assert cluster.loop.time() - started_at < 10.0
        await cluster.run(0.005)
    assert cluster.version(edge) == version, f"serves version {cluster.version(edge)}"
    return cluster.loop.time() - started_at


@pytest.mark.parametrize("cores, isolated_count, dead_count", [(3, 1, 0), (5, 1, 0), (5, 2, 0), (5, 1, 1)])
@pytest.mark.parametrize("edge_number", [11, 12, 13])
def test_a_starting_edge_serves_no_old_version_if_it_reaches_a_majority(
    tmp_path, cores, isolated_count, dead_count, edge_number
):
    async def scenario(loop):
        cluster, side = await minority_cut_off(loop, tmp_path, cores, isolated_count)
        place_near(cluster, edge_number, side)
        seeds = [*side, *cluster.others(*side)][:3]
        for core in cluster.others(*side)[:dead_count]:
            core.loop.ended = True
            cluster.cut(core, *cluster.others(core))
        await cluster.run(2.0)
        edge = cluster.start_edge(edge_number, *(core.number for core in seeds))
        assert await wait_until_serving(cluster, edge, 2) < QUERY_TIME_S
        await cluster.run(5.0)
        assert cluster.violations == []

    run_scenario(scenario)


@pytest.mark.parametrize("edge_number", [11, 12, 13])
def test_a_starting_edge_behind_the_cut_serves_the_version_there(tmp_path, edge_number):
    async def scenario(loop):
        cluster, side = await minority_cut_off(loop, tmp_path, 3, 1)
        edge = SimpleNamespace(address=address(edge_number))
        cluster.cut(edge, *cluster.others(*side))
        edge = cluster.start_edge(edge_number, 1, 2, 3)
        assert await wait_until_serving(cluster, edge, 1) < FIRST_STATE_WAIT_S + 0.1
        assert edge.plane.ready()
        await cluster.run(5.0)
        cluster.heal()
        await cluster.run(APPLY_LIMIT_S)
        assert cluster.version(edge) == 2 and cluster.violations == []

    run_scenario(scenario)


def take_any_state(self, now, state):
    """Planted fault: an edge takes the first state that it receives, however old."""
    return real_take(self, now, msgspec.structs.replace(state, primary_age_s=0.0))


def test_an_edge_that_takes_any_first_state_is_found(tmp_path, monkeypatch):
    monkeypatch.setattr(ReceivedState, "take", take_any_state)
    with pytest.raises(AssertionError, match="serves version 1"):
        test_a_starting_edge_serves_no_old_version_if_it_reaches_a_majority(tmp_path, 3, 1, 0, 11)
