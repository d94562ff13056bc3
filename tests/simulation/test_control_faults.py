"""Single faults: the longest time without an acknowledgement, and which members hold the state afterwards."""

import pytest

from shedgrade.simulation import register
from shedgrade.simulation.checkers import check
from shedgrade.simulation.cluster import SimulatedCluster
from shedgrade.simulation.register import OK, Put


def core(seed=1, tolerated=1, between=0.055, max_pause_s=0.05):
    """Returns a core across regions with busy clients, and without faults and spare machines."""
    cluster = SimulatedCluster(seed, tolerated, "calm", length=16.0)
    for machine in cluster.machines[2 * tolerated + 1 :]:
        cluster.machines.remove(machine)
        del cluster.by_address[machine.address]
    for machine in cluster.machines:
        machine.sync_s = machine.usual_sync_s = 0.005
    network = cluster.network
    network.inter_region_delay_s, network.jitter, network.bandwidth = between, 0.1, 0.0
    cluster.max_pause_s, cluster.padding, cluster.decide = max_pause_s, 0, register.decide
    return cluster


def primary(cluster):
    return next(m for m in cluster.machines if m.up and m.member.role == "primary")


def backup(cluster):
    return next(m for m in cluster.machines if m.up and m.member.role == "backup")


def witness(cluster):
    return next(m for m in cluster.machines if m.up and m.member.role == "witness")


def both_directions(a, others):
    return [pair for other in others for pair in ((a, other), (other, a))]


def others_of(cluster, machine):
    return [each for each in cluster.machines if each is not machine]


def play(cluster, at, inject):
    """Plays a run in which `inject` is called at time `at`, in seconds.

    Returns the violations, and the longest time between two acknowledgements from then on, in seconds.
    """
    cluster.clock.at(at, inject)
    history = cluster.play()
    ends = sorted(
        call.completed_at
        for call in history.operations
        if call.request and call.outcome == OK and at <= call.completed_at < 16
    )
    return check(history), max(b - a for a, b in zip([at, *ends], ends, strict=False))


def block_links(cluster, pairs, seconds=4.0):
    cluster.fault_schedule.block_links(None, list(pairs), seconds)


PARTITIONS = {
    "the primary from all": lambda cluster: both_directions(
        primary(cluster), others_of(cluster, primary(cluster))
    ),
    "the primary is not heard": lambda cluster: [
        (primary(cluster), other) for other in others_of(cluster, primary(cluster))
    ],
    "the primary hears nobody": lambda cluster: [
        (other, primary(cluster)) for other in others_of(cluster, primary(cluster))
    ],
    "the primary and a backup": lambda cluster: both_directions(primary(cluster), [backup(cluster)]),
    "a backup is not heard by the primary": lambda cluster: [(backup(cluster), primary(cluster))],
    "a backup does not hear the primary": lambda cluster: [(primary(cluster), backup(cluster))],
    "a backup from all": lambda cluster: both_directions(
        backup(cluster), others_of(cluster, backup(cluster))
    ),
}


@pytest.mark.parametrize("tolerated", [1, 2])
@pytest.mark.parametrize("name", PARTITIONS)
def test_a_partition_delays_acknowledgements_by_less_than_two_and_a_half_seconds(name, tolerated):
    cluster = core(tolerated=tolerated)
    violations, longest = play(cluster, 6.0, lambda: block_links(cluster, PARTITIONS[name](cluster)))
    assert violations == [] and longest < 2.5


def test_a_witness_cut_off_one_way_does_not_change_the_epoch():
    for out in (False, True):
        cluster = core()
        epochs = []

        def inject(cluster=cluster, epochs=epochs, out=out):
            epochs.append(primary(cluster).member.epoch)
            block_links(
                cluster,
                [
                    (a, b)
                    for a, b in both_directions(witness(cluster), others_of(cluster, witness(cluster)))
                    if (a.member.role == "witness") == out
                ],
            )

        violations, longest = play(cluster, 6.0, inject)
        assert violations == [] and longest < 1.2
        assert primary(cluster).member.epoch == epochs[0]


@pytest.mark.parametrize("tolerated", [1, 2])
def test_a_primary_that_loses_power_is_replaced_within_a_second_and_a_half(tolerated):
    for seed in range(3):
        cluster = core(seed, tolerated)
        violations, longest = play(cluster, 6.0, lambda cluster=cluster: primary(cluster).lose_power())
        assert violations == [] or all("waits" not in each for each in violations)
        assert longest < 1.5


def test_a_terminated_primary_hands_over_first():
    cluster = core()
    violations, longest = play(cluster, 6.0, lambda: cluster.fault_schedule.terminate(primary(cluster), None))
    assert violations == [] and longest < 0.8


def test_a_terminated_backup_is_replaced_before_it_leaves():
    cluster = core()
    violations, longest = play(cluster, 6.0, lambda: cluster.fault_schedule.terminate(backup(cluster), None))
    assert violations == [] and longest < 0.8


@pytest.mark.parametrize("role", [primary, backup])
@pytest.mark.parametrize("fault", ["stall", "full"])
def test_a_member_with_a_faulty_disk_is_replaced_by_another(role, fault):
    cluster = core()

    def inject():
        machine = role(cluster)
        if fault == "stall":
            machine.set_disk_stalled(True)
            cluster.clock.after(4.0, machine.set_disk_stalled, False)
        else:
            machine.disk_full = True
            cluster.clock.after(4.0, setattr, machine, "disk_full", False)

    violations, longest = play(cluster, 6.0, inject)
    assert violations == [] and longest < 1.6


@pytest.mark.parametrize("role", [primary, backup, witness])
def test_a_wiped_member_rejoins_as_another_incarnation(role):
    cluster = core()
    seen = []

    def inject():
        machine = role(cluster)
        seen.append((machine, machine.member.replica.incarnation))
        machine.lose_power()
        machine.wipe()
        cluster.clock.after(1.0, machine.start)
        cluster.clock.after(5.0, lambda: seen.append(machine.member.role))

    violations, longest = play(cluster, 6.0, inject)
    machine, before = seen[0]
    assert violations == [] and longest < 1.6
    assert seen[1] in ("witness", "backup", "primary")
    assert machine.member.replica.incarnation != before
    assert len(primary(cluster).member.members) == 3


def test_a_spare_replaces_a_machine_lost_for_good():
    cluster = core()
    lost = []

    def inject():
        machine = witness(cluster)
        lost.append(machine.name)
        machine.lose_power()
        cluster.machines.remove(machine)
        spare = cluster.add("r1", "10.2.0.77:7300", 0.005)
        cluster.clock.after(0.5, spare.start)

    violations, _ = play(cluster, 6.0, inject)
    assert violations == []
    names = {peer.name for peer in primary(cluster).member.members}
    assert len(names) == 3 and lost[0] not in names


def test_a_member_that_returns_at_another_address_stays_a_member():
    cluster = core()
    moved = []

    def move():
        machine = witness(cluster)
        moved.append((machine, machine.member.replica.incarnation))
        machine.lose_power()
        cluster.by_address[f"{machine.address}0"] = machine
        machine.address += "0"
        cluster.network.region[machine.address] = machine.region
        machine.start()

    violations, longest = play(cluster, 6.0, move)
    machine, incarnation = moved[0]
    assert violations == [] and longest < 1.2
    named = {peer.address: peer.incarnation for peer in primary(cluster).member.members}
    assert named[machine.address] == incarnation and len(named) == 3


def test_a_spare_machine_learns_committed_state_and_stores_none():
    cluster = core()
    spare = cluster.add("r1", "10.2.0.77:7300", 0.005)
    violations, _ = play(cluster, 6.0, lambda: None)
    assert violations == []
    assert spare.member.role == "blank"
    assert spare.member.committed.position == primary(cluster).member.committed.position
    assert not any(key.startswith("state/") for key in spare.durable)


def test_a_change_every_eighty_milliseconds_is_acknowledged_in_time():
    cluster = core(max_pause_s=1e9)
    latencies = []

    def submit(number):
        submitted_at = cluster.clock.now
        target = primary(cluster)

        def answered(outcome):
            assert outcome == OK
            latencies.append(cluster.clock.now - submitted_at)

        target.submit_command(Put(number - 1, number, f"storm{number}"), answered)

    for number in range(1, 101):
        cluster.clock.at(4.0 + 0.08 * number, submit, number)
    for client in cluster.clients:
        client.stopped = True
    cluster.play()
    assert len(latencies) == 100 and max(latencies) < 0.3


def test_founding_happens_once_though_the_first_messages_are_lost():
    for seed in range(8):
        cluster = core(seed)
        addresses = [machine.address for machine in cluster.machines]
        for a in addresses:
            for b in addresses:
                if a != b and cluster.random.random() < 0.7:
                    cluster.network.block(a, b)
                    cluster.clock.at(3.0 * cluster.random.random(), cluster.network.unblock, a, b)
        history = cluster.play()
        assert history.violations == [] and cluster.history.states
        assert check(history, timely=False) == []


def test_two_founders_of_three_start_without_the_third():
    cluster = core()
    late = cluster.machines[1]
    cluster.clock.at(0.0, setattr, late, "start", lambda founding=False: None)
    cluster.clock.at(8.0, lambda: (delattr(late, "start"), late.start(True)))
    history = cluster.play()
    assert check(history, timely=False) == []
    assert any(call.outcome == OK and call.completed_at < 3.0 for call in history.operations if call.request)
    assert late.member.role in ("witness", "backup", "primary")


@pytest.mark.parametrize("tolerated", [1, 2])
def test_a_wiped_disk_and_all_power_lost_after_an_acknowledgement_lose_nothing(tolerated):
    for seed in range(4):
        cluster = core(seed, tolerated)

        def inject(cluster=cluster):
            cluster.bounded = True
            cluster.fault_schedule.wipe_some_and_power_off_all()

        violations, _ = play(cluster, 6.0, inject)
        assert violations == []
        assert cluster.history.total_restarts
