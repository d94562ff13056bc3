"""One trouble at a time: how long no order is acknowledged, and who holds what afterwards."""

import pytest

from shedgrade.simulation import register
from shedgrade.simulation.checkers import check
from shedgrade.simulation.register import OK, Put
from shedgrade.simulation.world import World


def core(seed=1, tolerated=1, between=0.055, pace=0.05):
    """A calm core across regions with busy clients, and no machine beyond the places."""
    world = World(seed, tolerated, "calm", length=16.0)
    for machine in world.machines[2 * tolerated + 1 :]:
        world.machines.remove(machine)
        del world.by_address[machine.address]
    for machine in world.machines:
        machine.sync = machine.usual_sync = 0.005
    network = world.network
    network.between, network.jitter, network.bandwidth = between, 0.1, 0.0
    world.between, world.pace, world.padding, world.decide = between, pace, 0, register.decide
    return world


def primary(world):
    return next(m for m in world.machines if m.up and m.member.role == "primary")


def backup(world):
    return next(m for m in world.machines if m.up and m.member.role == "backup")


def witness(world):
    return next(m for m in world.machines if m.up and m.member.role == "witness")


def both_ways(a, others):
    return [pair for other in others for pair in ((a, other), (other, a))]


def others_of(world, machine):
    return [each for each in world.machines if each is not machine]


def play(world, at, trouble):
    """(findings, longest time between two acknowledgements after `at`)"""
    world.clock.at(at, trouble)
    history = world.play()
    ends = sorted(
        call.ended for call in history.calls if call.request and call.outcome == OK and at <= call.ended < 16
    )
    return check(history), max(b - a for a, b in zip([at, *ends], ends, strict=False))


def cut(world, pairs, seconds=4.0):
    world.nemesis.cut(None, list(pairs), seconds)


CUTS = {
    "the primary from all": lambda w: both_ways(primary(w), others_of(w, primary(w))),
    "the primary is not heard": lambda w: [(primary(w), other) for other in others_of(w, primary(w))],
    "the primary hears nobody": lambda w: [(other, primary(w)) for other in others_of(w, primary(w))],
    "the primary and a backup": lambda w: both_ways(primary(w), [backup(w)]),
    "a backup is not heard by the primary": lambda w: [(backup(w), primary(w))],
    "a backup does not hear the primary": lambda w: [(primary(w), backup(w))],
    "a backup from all": lambda w: both_ways(backup(w), others_of(w, backup(w))),
}


@pytest.mark.parametrize("tolerated", [1, 2])
@pytest.mark.parametrize("name", CUTS)
def test_a_cut_keeps_orders_waiting_for_less_than_two_and_a_half_seconds(name, tolerated):
    world = core(tolerated=tolerated)
    wrong, longest = play(world, 6.0, lambda: cut(world, CUTS[name](world)))
    assert wrong == [] and longest < 2.5


def test_a_witness_cut_off_one_way_disturbs_nobody():
    for out in (False, True):
        world = core()
        epochs = []

        def trouble(world=world, epochs=epochs, out=out):
            epochs.append(primary(world).member.epoch)
            cut(
                world,
                [
                    (a, b)
                    for a, b in both_ways(witness(world), others_of(world, witness(world)))
                    if (a.member.role == "witness") == out
                ],
            )

        wrong, longest = play(world, 6.0, trouble)
        assert wrong == [] and longest < 1.2
        assert primary(world).member.epoch == epochs[0]


@pytest.mark.parametrize("tolerated", [1, 2])
def test_a_dead_primary_is_followed_within_a_second_and_a_half(tolerated):
    for seed in range(3):
        world = core(seed, tolerated)
        wrong, longest = play(world, 6.0, lambda w=world: primary(w).kill(True))
        assert wrong == [] or all("waits" not in each for each in wrong)
        assert longest < 1.5


def test_a_primary_that_is_told_to_end_hands_over_first():
    world = core()
    wrong, longest = play(world, 6.0, lambda: world.nemesis.terminate(primary(world), None))
    assert wrong == [] and longest < 0.8


def test_a_backup_that_is_told_to_end_is_replaced_before_it_goes():
    world = core()
    wrong, longest = play(world, 6.0, lambda: world.nemesis.terminate(backup(world), None))
    assert wrong == [] and longest < 0.8


@pytest.mark.parametrize("who", [primary, backup])
@pytest.mark.parametrize("how", ["stall", "full"])
def test_an_ill_disk_gives_its_part_to_another(who, how):
    world = core()

    def trouble():
        machine = who(world)
        if how == "stall":
            machine.stall(True)
            world.clock.after(4.0, machine.stall, False)
        else:
            machine.full = True
            world.clock.after(4.0, setattr, machine, "full", False)

    wrong, longest = play(world, 6.0, trouble)
    assert wrong == [] and longest < 1.6


@pytest.mark.parametrize("who", [primary, backup, witness])
def test_a_wiped_member_is_a_member_again_as_another_incarnation(who):
    world = core()
    seen = []

    def trouble():
        machine = who(world)
        seen.append((machine, machine.member.held.incarnation))
        machine.kill(True)
        machine.wipe()
        world.clock.after(1.0, machine.start)
        world.clock.after(5.0, lambda: seen.append(machine.member.role))

    wrong, longest = play(world, 6.0, trouble)
    machine, before = seen[0]
    assert wrong == [] and longest < 1.6
    assert seen[1] in ("witness", "backup", "primary")
    assert machine.member.held.incarnation != before
    assert len(primary(world).member.members) == 3


def test_a_spare_takes_the_place_of_a_machine_that_is_gone():
    world = core()
    gone = []

    def trouble():
        machine = witness(world)
        gone.append(machine.name)
        machine.kill(True)
        world.machines.remove(machine)
        spare = world.add("r1", "10.2.0.77:7300", 0.005)
        world.clock.after(0.5, spare.start)

    wrong, _ = play(world, 6.0, trouble)
    assert wrong == []
    names = {peer.name for peer in primary(world).member.members}
    assert len(names) == 3 and gone[0] not in names


def test_a_member_that_comes_back_at_another_address_stays_a_member():
    world = core()
    moved = []

    def move():
        machine = witness(world)
        moved.append((machine, machine.member.held.incarnation))
        machine.kill(True)
        world.by_address[f"{machine.address}0"] = machine
        machine.address += "0"
        world.network.region[machine.address] = machine.region
        machine.start()

    wrong, longest = play(world, 6.0, move)
    machine, incarnation = moved[0]
    assert wrong == [] and longest < 1.2
    named = {peer.address: peer.incarnation for peer in primary(world).member.members}
    assert named[machine.address] == incarnation and len(named) == 3


def test_a_machine_beyond_the_places_is_told_what_is_finished_and_holds_nothing():
    world = core()
    spare = world.add("r1", "10.2.0.77:7300", 0.005)
    wrong, _ = play(world, 6.0, lambda: None)
    assert wrong == []
    assert spare.member.role == "blank" and spare.member.finished[:2] == primary(world).member.finished[:2]
    assert not any(key.startswith("state/") for key in spare.durable)


def test_a_change_every_eighty_milliseconds_is_acknowledged_in_time():
    world = core(pace=1e9)
    taken = []

    def order(number):
        began = world.clock.now
        at = primary(world)

        def answered(outcome):
            assert outcome == OK
            taken.append(world.clock.now - began)

        at.ask("order", Put(number - 1, number, f"storm{number}"), answered)

    for number in range(1, 101):
        world.clock.at(4.0 + 0.08 * number, order, number)
    for client in world.clients:
        client.stopped = True
    world.play()
    assert len(taken) == 100 and max(taken) < 0.3


def test_founders_found_once_though_the_first_messages_are_lost():
    for seed in range(8):
        world = core(seed)
        addresses = [machine.address for machine in world.machines]
        for a in addresses:
            for b in addresses:
                if a != b and world.random.random() < 0.7:
                    world.network.cut(a, b)
                    world.clock.at(3.0 * world.random.random(), world.network.join, a, b)
        history = world.play()
        assert history.wrong == [] and world.history.states
        assert list(check(history, timely=False)) == []


def test_two_founders_of_three_go_on_without_the_third():
    world = core()
    late = world.machines[1]
    world.clock.at(0.0, setattr, late, "start", lambda founding=False: None)
    world.clock.at(8.0, lambda: (delattr(late, "start"), late.start(True)))
    history = world.play()
    assert check(history, timely=False) == []
    assert any(call.outcome == OK and call.ended < 3.0 for call in history.calls if call.request)
    assert late.member.role in ("witness", "backup", "primary")


@pytest.mark.parametrize("tolerated", [1, 2])
def test_a_wiped_disk_and_all_power_lost_after_an_acknowledgement_lose_nothing(tolerated):
    for seed in range(4):
        world = core(seed, tolerated)

        def trouble(world=world):
            world.bounded = True
            world.nemesis.wipe_and_power()

        wrong, _ = play(world, 6.0, trouble)
        assert wrong == []
        assert world.history.restarts
