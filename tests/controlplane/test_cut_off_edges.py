"""Edges around a cut: what one that starts serves by, what those on either side know of upstreams."""

from types import SimpleNamespace

import msgspec
import pytest
from controlplane.cut_world import APPLY, CutWorld, address
from controlplane.virtual_loop import play

from shedgrade.dataplane.received_state import FIRST_STATE_WAIT_S, ReceivedState

ASKED = 0.3  # s in which a starting edge has asked others: three ways there and back, and its timer
take = ReceivedState.take


async def minority_cut_off(loop, folder, cores, cut_off) -> tuple[CutWorld, list]:
    """As many members, the primary among them, stay behind a cut with version 1; 2 is in force."""
    world = CutWorld(loop, folder, cores, cores // 2)
    await world.run(3.0)
    await world.put(1)
    await world.run(1.0)
    primary = world.primary()
    side = [primary, *world.others(primary)[: cut_off - 1]]
    for one in side:
        world.cut(one, *world.others(*side))
    await world.run(2.0)
    await world.put(2, *world.others(*side))
    await world.run(5.0)
    return world, side


def near(world, edge_number, side):
    """The members of that side are the nearest by far."""
    edge = address(edge_number)
    for core in world.cores.values():
        world.way[edge, core.address] = world.way[core.address, edge] = 0.001 if core in side else 0.04


async def serving(world, edge, version) -> float:
    """s until it serves, by this version."""
    begun = world.loop.time()
    while not world.version(edge):
        assert world.loop.time() - begun < 10.0
        await world.run(0.005)
    assert world.version(edge) == version, f"serves by {world.version(edge)}"
    return world.loop.time() - begun


@pytest.mark.parametrize("cores, cut_off, dead", [(3, 1, 0), (5, 1, 0), (5, 2, 0), (5, 1, 1)])
@pytest.mark.parametrize("number", [11, 12, 13])
def test_one_that_starts_serves_by_nothing_old_where_a_majority_can_be_asked(
    tmp_path, cores, cut_off, dead, number
):
    async def scene(loop):
        world, side = await minority_cut_off(loop, tmp_path, cores, cut_off)
        near(world, number, side)
        seeds = [*side, *world.others(*side)][:3]
        for core in world.others(*side)[:dead]:
            core.loop.ended = True
            world.cut(core, *world.others(core))
        await world.run(2.0)
        edge = world.start_edge(number, *(core.number for core in seeds))
        assert await serving(world, edge, 2) < ASKED
        await world.run(5.0)
        assert world.wrong == []

    play(scene)


@pytest.mark.parametrize("number", [11, 12, 13])
def test_one_that_starts_behind_the_cut_serves_by_what_is_there(tmp_path, number):
    async def scene(loop):
        world, side = await minority_cut_off(loop, tmp_path, 3, 1)
        edge = SimpleNamespace(address=address(number))
        world.cut(edge, *world.others(*side))
        edge = world.start_edge(number, 1, 2, 3)
        assert await serving(world, edge, 1) < FIRST_STATE_WAIT_S + 0.1
        assert edge.plane.ready()
        await world.run(5.0)
        world.heal()
        await world.run(APPLY)
        assert world.version(edge) == 2 and world.wrong == []

    play(scene)


def believes_all(self, now, told):
    """Planted: any first word is taken."""
    return take(self, now, msgspec.structs.replace(told, primary_age_s=0.0))


def test_one_that_takes_any_first_word_is_found(tmp_path, monkeypatch):
    monkeypatch.setattr(ReceivedState, "take", believes_all)
    with pytest.raises(AssertionError, match="serves by 1"):
        test_one_that_starts_serves_by_nothing_old_where_a_majority_can_be_asked(tmp_path, 3, 1, 0, 11)
