"""Faults beyond the tolerated losses, in the simulated system: no change is lost, and no read is stale.

Source: NEWS-22, "On the machines": the machines that count may be partitioned into two halves; losses may
overlap beyond `toleratedLosses` as long as no more disks than that are lost. The operators added that while
so many disks are lost, all other machines may lose power, also those that don't count.
"""

import pytest

from shedgrade.simulation.system.history import OperationKind
from shedgrade.simulation.system.script import Script

RECOVERY_S = 12.0  # s


def put_and_wait(script, base, version):
    call = script.call(script.operator.put(base, version, f"change-{version}"))
    assert script.run_until(lambda: call.acknowledged, 6.0)
    return call


def read_everywhere(script):
    """Sends one read to each member."""
    return [script.call(script.operator.get(first=script.member(machine))) for machine in script.system.cores]


@pytest.mark.parametrize(("tolerated", "half"), [(1, 1), (1, 2), (2, 2), (2, 3)])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_core_partitioned_into_two_halves_serves_no_stale_read_and_recovers(tolerated, half, seed):
    """`half` members are on the primary's side; clients, operators and edges reach both sides."""
    script = Script(seed=seed, tolerated=tolerated, edges=3)
    script.until_ready()
    system, primary = script.system, script.system.primary()
    near_side = [primary, *[core for core in system.cores if core is not primary][: half - 1]]
    far_side = [core for core in system.cores if core not in near_side]
    for machine in near_side:
        script.faults.isolate(machine, 8.0, others=far_side)
    for _ in range(7):
        read_everywhere(script)
        script.run(1.0)
    change = script.call(script.operator.put(1, 2, "beside the cut"))
    script.run(0.5)
    read_everywhere(script)
    assert script.run_until(lambda: change.acknowledged, RECOVERY_S)
    read_everywhere(script)
    script.run(4.0)
    reads = [call for call in system.history.operations if call.kind is OperationKind.GET]
    assert len(reads) >= 9 * len(system.cores)
    assert script.everywhere(2)
    assert script.findings() == []


@pytest.mark.parametrize("number", range(3))
@pytest.mark.parametrize("seed", [1, 2])
def test_the_tolerated_disks_are_lost_while_every_other_machine_loses_power(seed, number):
    """The losses follow an acknowledgement at once; edges and the platform's list lose power too.

    `number`: of the member whose disk is lost. Links and disks are slow, so that little more than the
    acknowledged change requires has been replicated.
    """
    script = Script(seed=seed, edges=3, disk_latency=0.02, between=0.055)
    script.until_ready()
    system, random = script.system, script.system.random

    def inject_losses(call):
        for machine in (*system.cores, *system.edges, system.platform):
            fault = script.faults.wipe if machine is system.cores[number] else script.faults.power_off
            fault(machine, random.uniform(0.5, 2.5))

    system.on_acknowledged = inject_losses
    put_and_wait(script, 1, 2)
    read = script.call(script.operator.get())
    assert script.run_until(lambda: read.status is not None, RECOVERY_S)
    assert (read.status, read.body_version) == (200, 2)
    script.run(4.0)
    assert script.everywhere(2)
    assert script.findings() == []


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_two_of_three_members_down_at_once_return_with_every_acknowledged_change(seed):
    """One machine more than tolerated is down, with its disk intact: service pauses, nothing is lost."""
    script = Script(seed=seed)
    script.until_ready()
    put_and_wait(script, 1, 2)
    down = script.system.random.sample(script.system.cores, 2)
    script.faults.power_off(down[0], 4.0)
    script.faults.power_off(down[1], 5.0)
    for _ in range(6):
        read_everywhere(script)
        script.run(1.0)
    read = script.call(script.operator.get())
    assert script.run_until(lambda: read.status is not None, RECOVERY_S)
    assert (read.status, read.body_version) == (200, 2)
    script.run(4.0)
    assert script.findings() == []
