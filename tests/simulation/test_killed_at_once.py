"""Many processes killed at once, in the simulated system: no change is lost, and no load spike follows.

Source: LATER of the new customer, "Settings of a process" and "Losses": irrespective of the tolerated losses,
all core processes may be killed at the same moment and return within a second with their disks; a kill may
hit many processes at once.
"""

import pytest

from shedgrade.controlplane.watch_hub import WatchHub
from shedgrade.simulation.system.script import Script

RECOVERY_S = 12.0  # s
READY_WITHIN_S = 3.0  # s from the restart of the last process
MAX_WATCHES_PER_EDGE = 40  # in READY_WITHIN_S: to two members at the start, then one for each update


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("tolerated", [1, 2])
def test_the_whole_core_is_killed_right_after_a_full_or_delta_change(seed, tolerated):
    script = Script(seed=seed, tolerated=tolerated, edges=4)
    script.until_ready()
    system, random = script.system, script.system.random
    for version in range(2, 6):
        script.operator.changes_made = version  # every third change is a delta of named items
        change = script.call(script.operator.put(version - 1, version, f"change-{version}"))
        assert script.run_until(lambda change=change: change.acknowledged, RECOVERY_S)
        script.faults.kill_all(system.cores, lambda: random.uniform(0.2, 0.9))
        read = script.call(script.operator.get())
        assert script.run_until(lambda read=read: read.status == 200, RECOVERY_S)
        assert (read.body_version, read.body_key) == (version, f"change-{version}")
    assert any(call.delta for call in system.history.operations)
    assert script.run_until(lambda: script.everywhere(5), RECOVERY_S)
    script.run(4.0)
    assert script.findings() == []


@pytest.mark.parametrize("with_core", [False, True])
def test_processes_restarted_together_overload_neither_core_nor_platform(with_core, monkeypatch):
    watched_at = []
    original_watch = WatchHub.watch

    def watch(self, now, request, respond, max_unread_s=0.0):
        watched_at.append(now)
        original_watch(self, now, request, respond, max_unread_s)

    monkeypatch.setattr(WatchHub, "watch", watch)
    script = Script(seed=4, tolerated=1, edges=16)
    script.until_ready()
    script.run(2.0)
    system = script.system
    killed = [*system.edges[:12], *(system.cores if with_core else [])]
    polls_before = len(system.platform.program.polled_at)
    watched_at.clear()
    script.faults.kill_all(killed, lambda: 0.5)
    script.run(0.5)
    assert script.run_until(
        lambda: all(edge.running and edge.program.ready() for edge in system.edges), READY_WITHIN_S
    )
    script.run(READY_WITHIN_S)
    seconds = 0.5 + 2 * READY_WITHIN_S
    assert len(watched_at) <= len(system.edges) * MAX_WATCHES_PER_EDGE
    settings = system.cores[0].program.settings
    assert len(system.platform.program.polled_at) - polls_before <= settings.cloud_api.rate_per_s * seconds
    assert script.findings() == []
