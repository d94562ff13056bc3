"""Steps of the wall clock have no effect, and two pollers together stay within the platform's rate limit."""

import pytest

from shedgrade.controlplane.endpoint_list_sync import ENDPOINT_LIST_ROLE
from shedgrade.simulation.system.script import Script

RATE_PER_S = 40.0  # platform's limit for all processes together, as in `SimulatedSystem.settings`


@pytest.mark.parametrize("steps_s", [(3600.0, -3600.0, 0.0), (-3600.0, -3600.0, -3600.0), (1e6, 0.0, -1e6)])
def test_steps_of_the_wall_clock_have_no_effect(steps_s):
    script = Script(seed=8, edges=3)
    script.until_ready()
    script.run(2.0)
    system = script.system
    primary = system.primary()
    epoch = primary.program.member.epoch
    holding = [core.program.roles.is_held(ENDPOINT_LIST_ROLE) for core in system.cores]
    assert sum(holding) == 1
    for core, step_s in zip(system.cores, steps_s, strict=True):
        script.faults.step_clock(core, step_s)
    change = script.call(script.operator.put(1, 2, "second"))
    script.run(6.0)
    assert change.acknowledged and change.completed_at - change.invoked_at < 0.5
    assert system.primary() is primary and primary.program.member.epoch == epoch
    assert [core.program.roles.is_held(ENDPOINT_LIST_ROLE) for core in system.cores] == holding
    assert script.findings(timely=True) == []


def max_calls_per_second(times):
    """Returns the largest number of calls within a second."""
    return max(sum(begin <= at < begin + 1.0 for at in times) for begin in times)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_two_pollers_stay_within_the_platforms_rate_limit(seed):
    """The poller is cut off from the other members, but not from the platform, and another takes over."""
    script = Script(seed=seed, edges=3)
    script.until_ready()
    system = script.system
    script.run(2.0)
    poller = next(core for core in system.cores if core.program.roles.is_held(ENDPOINT_LIST_ROLE))
    for _ in range(3):
        script.faults.isolate(poller, 1.5)
        script.run(4.0)
    assert max_calls_per_second(system.platform.program.polled_at) <= RATE_PER_S / 2
    assert script.findings() == []
