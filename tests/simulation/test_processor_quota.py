"""A CPU quota below one core: full speed until the quota is used up, then none for the rest of 0.1 s."""

import pytest

from shedgrade.simulation.system.script import Script

DURATION_S = 10.0


@pytest.mark.parametrize("share", [0.2, 0.5, 0.9])
def test_a_cpu_quota_is_no_stall_to_failure_detectors_votes_and_leases(share):
    script = Script(seed=4, edges=3)
    script.until_ready()
    system = script.system
    before = system.primary()
    epoch = before.program.member.epoch
    incarnations = [machine.incarnation for machine in system.machines()]
    for machine in system.machines():
        script.faults.throttle(machine, DURATION_S, share)
    script.run(1.0)
    stalls = [core.program.stalls.max_unread_s(core.loop.time()) for core in system.cores]
    change = script.call(script.operator.put(1, 2, "second"))
    script.run(DURATION_S - 1.0)
    assert system.primary() is before and before.program.member.epoch == epoch
    assert [machine.incarnation for machine in system.machines()] == incarnations
    assert change.acknowledged and change.completed_at - change.invoked_at < 1.0
    assert stalls == [0.0] * len(stalls)
    script.run(2.0)
    assert script.findings(timely=True) == []
