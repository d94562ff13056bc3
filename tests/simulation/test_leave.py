"""Planned ends: a member leaves only when those who stay hold what it holds and are a majority."""

import pytest
from test_control_troubles import backup, core, primary, witness

from shedgrade.simulation.checkers import check
from shedgrade.simulation.register import OK
from shedgrade.simulation.world import World

ROLES = {"primary": primary, "backup": backup, "witness": witness}


def lose_disk(world, machine, down):
    machine.kill(True)
    machine.wipe()
    world.clock.after(down, machine.start)


def leave_and_lose_disk(world, machine, ends):
    """SIGTERM; when the process is gone its disk goes, and it starts again with an empty one."""

    def ended():
        ends.append(world.clock.now)
        machine.wipe()
        world.clock.after(1.0, machine.start)

    machine.terminate(8.0, ended)


def last_acknowledgement(history):
    return max(call.ended for call in history.calls if call.request and call.outcome == OK)


@pytest.mark.parametrize("tolerated", [1, 2])
@pytest.mark.parametrize("pause", [0.0, 0.3, 0.5, 1.0, 2.0, 3.0])
@pytest.mark.parametrize("leaver", ["primary", "backup", "witness"])
def test_a_member_that_leaves_right_after_another_lost_its_disk_loses_nothing(leaver, pause, tolerated):
    world, ends = core(tolerated=tolerated), []

    def trouble():
        lost = witness(world) if leaver == "backup" else backup(world)
        machine = ROLES[leaver](world)
        lose_disk(world, lost, 0.5)
        world.clock.after(0.5 + pause, leave_and_lose_disk, world, machine, ends)

    world.clock.at(6.0, trouble)
    history = world.play()
    assert check(history, timely=False) == []
    assert last_acknowledgement(history) > 16.0
    assert ends[0] < 6.5 + pause + 3.0  # the newcomer counts by then


def told_to_end(world, machines, ends):
    for machine in machines:
        machine.terminate(8.0, lambda machine=machine: ends.__setitem__(machine.name, world.clock.now))


@pytest.mark.parametrize("tolerated", [1, 2])
@pytest.mark.parametrize("leaver", ["primary", "backup", "witness"])
def test_in_calm_a_leave_takes_less_than_a_second(leaver, tolerated):
    for seed in range(5):
        world, ends = core(seed, tolerated), {}
        world.clock.at(6.0, lambda world=world, ends=ends: told_to_end(world, [ROLES[leaver](world)], ends))
        world.play()
        assert 6.0 < next(iter(ends.values())) < 7.0


@pytest.mark.parametrize("tolerated", [1, 2])
def test_when_the_whole_core_is_told_to_end_nobody_waits(tolerated):
    for spread in (0.0, 0.02):
        world, ends = core(tolerated=tolerated), {}
        for at, machine in enumerate(world.machines):
            world.clock.at(6.0 + spread * at, told_to_end, world, [machine], ends)
        world.clock.at(12.0, lambda world=world: [machine.start() for machine in world.machines])
        assert check(world.play(), timely=False) == []
        assert max(ends.values()) < 7.0


def test_a_member_without_which_there_is_no_majority_serves_on_for_its_grace():
    world, ends = core(), {}

    def trouble():
        machine = primary(world)
        backup(world).kill(True)
        told_to_end(world, [machine], ends)

    world.clock.at(6.0, trouble)
    history = world.play()
    taken = [call.ended for call in history.calls if call.request and call.outcome == OK]
    assert any(12.0 < ended < 12.8 for ended in taken)
    assert 12.5 < min(ends.values()) < 14.0


def test_two_that_leave_at_once_go_one_after_the_other():
    world, ends = core(), {}

    def trouble():
        for machine in (backup(world), witness(world)):
            machine.terminate(
                8.0,
                lambda machine=machine: (
                    ends.__setitem__(machine.name, world.clock.now),
                    world.clock.after(1.0, machine.start),
                ),
            )

    world.clock.at(6.0, trouble)
    history = world.play()
    first, second = sorted(ends.values())
    assert check(history, timely=False) == []
    assert first < 7.0 and first + 1.0 < second < first + 3.0


def test_a_witness_that_leaves_takes_a_dead_holders_part_until_another_can():
    for seed in (467, 578, 970):
        assert World(seed, 1, "members").wrong() == [], seed
