"""A core member is cut off for twenty seconds: what it hands out, and what edges then serve by."""

import pytest
from controlplane.cut_world import APPLY, CutWorld
from controlplane.virtual_loop import play

from shedgrade.replication.acceptor import Acceptor
from shedgrade.replication.majority_contact import MajorityContact

CUT = 20  # s
OLD = 0.8  # s, `core_member.STALE_CONTROL_S`


async def settled(loop, folder, cores=3) -> CutWorld:
    """A core with a first version, and one edge that serves by it."""
    world = CutWorld(loop, folder, cores, cores // 2)
    await world.run(3.0)
    await world.put(1)
    world.start_edge(11, 1, 2, 3)
    await world.run(2.0)
    assert [world.version(edge) for edge in world.edges.values()] == [1]
    return world


def role(world, name):
    return next(core for core in world.cores.values() if core.plane.member.role == name)


def prefer(world, edge, core):
    """The member is by far the nearest to the edge, which asks it from now on."""
    for other in world.cores.values():
        way = 0.001 if other is core else 0.04
        world.way[edge.address, other.address] = world.way[other.address, edge.address] = way


async def cut_off_for_long(world, edge, which, ways):
    """Versions 2 to 21 are acknowledged meanwhile; how fresh the one cut off said it was, after each."""
    cut_off = role(world, which)
    prefer(world, edge, cut_off)
    await world.run(40.0)
    assert edge.plane.watcher.preferred_member.address == cut_off.address
    world.cut(cut_off, *world.others(cut_off), ways=ways)
    said = []
    for version in range(2, CUT + 2):
        await world.put(version, *world.others(cut_off))
        await world.run(1.0)
        said.append(world.fresh_s(cut_off))
    world.heal()
    await world.run(APPLY)
    return said


@pytest.mark.parametrize("ways", ["both", "out", "in"])
@pytest.mark.parametrize("which", ["primary", "backup", "witness"])
@pytest.mark.parametrize("cores", [3, 5])
def test_an_edge_that_asks_the_one_cut_off_serves_by_the_newest(tmp_path, which, ways, cores):
    async def scene(loop):
        world = await settled(loop, tmp_path, cores)
        edge = next(iter(world.edges.values()))
        said = await cut_off_for_long(world, edge, which, ways)
        assert world.wrong == [] and min(said[1:]) > OLD
        assert world.version(edge) == CUT + 1
        assert all(world.fresh_s(core) < OLD for core in world.cores.values())

    play(scene)


def heard_is_fresh(self, now, sender, beat):
    """Planted: any heartbeat counts, also at a member that is told no state."""
    if self.follow_primary(now, sender, beat.epoch, beat.epoch_config):
        self.commit(beat.epoch, beat.committed)
        self.member.confirm_up_to_date(now)
        self.send_ack(now, sender, beat.epoch, beat.read_index_round)


def primary_is_fresh(self, now, others, needed):
    """Planted: a primary confirms itself."""
    self.confirmed_at = now
    return now


@pytest.mark.parametrize("which", ["primary", "backup", "witness"])
def test_the_checker_finds_a_follower_that_counts_any_heartbeat(tmp_path, monkeypatch, which):
    async def scene(loop):
        world = await settled(loop, tmp_path)
        monkeypatch.setattr(Acceptor, "on_heartbeat", heard_is_fresh)
        await cut_off_for_long(world, next(iter(world.edges.values())), which, "out")
        assert any("counts as fresh" in wrong for wrong in world.wrong)
        assert any("serves" in wrong for wrong in world.wrong)

    play(scene)


@pytest.mark.parametrize("planted", [False, True])
def test_a_primary_is_fresh_as_of_its_last_confirmed_round(tmp_path, monkeypatch, planted):
    """It is cut off at twelve moments between its heartbeats, while a change is sent to the others."""
    if planted:
        monkeypatch.setattr(MajorityContact, "confirm", primary_is_fresh)
    wrong = []

    async def scene(loop, moment):
        world = CutWorld(loop, tmp_path / str(moment))
        await world.run(3.0)
        await world.put(1)
        await world.run(2.0 + moment / 10)
        cut_off = world.primary()
        world.cut(cut_off, *world.others(cut_off))
        await world.put(2, *world.others(cut_off))
        await world.run(1.0)
        wrong.extend(world.wrong)

    for moment in range(12):
        play(lambda loop, moment=moment: scene(loop, moment))
    assert bool(wrong) == planted


@pytest.mark.parametrize("seed", range(6))
def test_two_that_hear_nobody_and_are_heard_leave_the_election_to_others(tmp_path, seed):
    """Of five: the primary and a backup. Their pre-votes come again and again, and can't succeed."""

    async def scene(loop):
        world = CutWorld(loop, tmp_path, 5, 2, seed)
        await world.run(3.0)
        await world.put(1)
        await world.run(2.0 + seed / 10)
        side = [role(world, "primary"), role(world, "backup")]
        for core in side:
            world.cut(core, *world.others(*side), ways="in")
        begun = loop.time()
        await world.put(2, *world.others(*side))
        assert loop.time() - begun < 6.0

    play(scene)
