"""A simulated machine that is frozen between two effects of its member continues with the next one."""

from test_control_faults import core

from shedgrade.replication import Send


def test_of_equal_effects_none_is_run_again_after_a_freeze(monkeypatch):
    cluster = core()
    machine = cluster.machines[0]
    machine.start(True)
    carried_out = []
    same, other = Send("b:1", "same"), Send("b:1", "other")

    def run_effect(effect):
        carried_out.append(effect.message)
        machine.frozen = len(carried_out) == 2

    monkeypatch.setattr(machine, "run_effect", run_effect)
    machine.member.effects[:] = [same, Send("b:1", "same"), other]
    machine.run_effects()
    assert carried_out == ["same", "same"]
    machine.frozen = False
    machine.run_effects()
    assert carried_out == ["same", "same", "other"]
