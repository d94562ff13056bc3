"""Planned stops: a member leaves only when the remaining members hold what it holds and are a majority."""

import pytest
from test_control_faults import backup, core, primary, witness

from shedgrade.simulation.checkers import check
from shedgrade.simulation.cluster import SimulatedCluster
from shedgrade.simulation.register import OK

ROLES = {"primary": primary, "backup": backup, "witness": witness}


def lose_disk(cluster, machine, down):
    machine.lose_power()
    machine.wipe()
    cluster.clock.after(down, machine.start)


def leave_and_lose_disk(cluster, machine, ended_at):
    """Terminates a machine; once its process has ended, wipes its disk and starts it again."""

    def handle_exit():
        ended_at.append(cluster.clock.now)
        machine.wipe()
        cluster.clock.after(1.0, machine.start)

    machine.terminate(8.0, handle_exit)


def last_acknowledgement(history):
    return max(call.completed_at for call in history.operations if call.request and call.outcome == OK)


@pytest.mark.parametrize("tolerated", [1, 2])
@pytest.mark.parametrize("pause", [0.0, 0.3, 0.5, 1.0, 2.0, 3.0])
@pytest.mark.parametrize("leaver", ["primary", "backup", "witness"])
def test_a_member_that_leaves_right_after_another_lost_its_disk_loses_nothing(leaver, pause, tolerated):
    cluster, ended_at = core(tolerated=tolerated), []

    def inject():
        lost = witness(cluster) if leaver == "backup" else backup(cluster)
        machine = ROLES[leaver](cluster)
        lose_disk(cluster, lost, 0.5)
        cluster.clock.after(0.5 + pause, leave_and_lose_disk, cluster, machine, ended_at)

    cluster.clock.at(6.0, inject)
    history = cluster.play()
    assert check(history, timely=False) == []
    assert last_acknowledgement(history) > 16.0
    assert ended_at[0] < 6.5 + pause + 3.0  # the wiped machine has caught up by then


def terminate_all(cluster, machines, ended_at):
    for machine in machines:
        machine.terminate(8.0, lambda machine=machine: ended_at.__setitem__(machine.name, cluster.clock.now))


@pytest.mark.parametrize("tolerated", [1, 2])
@pytest.mark.parametrize("leaver", ["primary", "backup", "witness"])
def test_without_faults_a_leave_takes_less_than_a_second(leaver, tolerated):
    for seed in range(5):
        cluster, ended_at = core(seed, tolerated), {}
        cluster.clock.at(
            6.0,
            lambda cluster=cluster, ended_at=ended_at: terminate_all(
                cluster, [ROLES[leaver](cluster)], ended_at
            ),
        )
        cluster.play()
        assert 6.0 < next(iter(ended_at.values())) < 7.0


@pytest.mark.parametrize("tolerated", [1, 2])
def test_when_the_whole_core_is_terminated_each_member_leaves_within_a_second(tolerated):
    for spread in (0.0, 0.02):
        cluster, ended_at = core(tolerated=tolerated), {}
        for at, machine in enumerate(cluster.machines):
            cluster.clock.at(6.0 + spread * at, terminate_all, cluster, [machine], ended_at)
        cluster.clock.at(12.0, lambda cluster=cluster: [machine.start() for machine in cluster.machines])
        assert check(cluster.play(), timely=False) == []
        assert max(ended_at.values()) < 7.0


def test_a_member_without_which_there_is_no_majority_serves_for_its_grace_period():
    cluster, ended_at = core(), {}

    def inject():
        machine = primary(cluster)
        backup(cluster).lose_power()
        terminate_all(cluster, [machine], ended_at)

    cluster.clock.at(6.0, inject)
    history = cluster.play()
    acknowledged_at = [
        call.completed_at for call in history.operations if call.request and call.outcome == OK
    ]
    assert any(12.0 < ended < 12.8 for ended in acknowledged_at)
    assert 12.5 < min(ended_at.values()) < 14.0


def test_two_members_terminated_at_once_leave_one_after_the_other():
    cluster, ended_at = core(), {}

    def inject():
        for machine in (backup(cluster), witness(cluster)):
            machine.terminate(
                8.0,
                lambda machine=machine: (
                    ended_at.__setitem__(machine.name, cluster.clock.now),
                    cluster.clock.after(1.0, machine.start),
                ),
            )

    cluster.clock.at(6.0, inject)
    history = cluster.play()
    first, second = sorted(ended_at.values())
    assert check(history, timely=False) == []
    assert first < 7.0 and first + 1.0 < second < first + 3.0


def test_a_leaving_witness_replaces_a_lost_holder_until_another_member_can():
    for seed in (467, 578, 970):
        assert SimulatedCluster(seed, 1, "members").run_and_check() == [], seed
