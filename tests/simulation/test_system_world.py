"""Real control planes and data planes in virtual time: changes reach the edges, seeds fix the history."""

import pytest

from shedgrade.simulation.system.history import OperationKind
from shedgrade.simulation.system.simulated_system import SimulatedSystem, SystemParameters


@pytest.fixture
def play_system():
    """Plays a run without faults by seed."""
    played = []

    def play(seed, length=6.0, **parameters):
        system = SimulatedSystem(seed, SystemParameters(**parameters))
        played.append(system)
        system.start()
        system.run(length)
        return system

    yield play
    for system in played:
        system.close()


def test_a_change_is_acknowledged_read_back_and_applied_by_the_edges(play_system):
    system = play_system(1)
    changes = [
        call for call in system.history.operations if call.kind is OperationKind.PUT and call.acknowledged
    ]
    reads = [
        call for call in system.history.operations if call.kind is OperationKind.GET and call.status == 200
    ]
    assert len(changes) > 5 and len(reads) > 5
    newest = max(changes, key=lambda call: call.version)
    seen = {view.edge for view in system.history.views if view.key == newest.key}
    assert seen == {"edge-1", "edge-2"}
    assert system.faults() == [] and system.history.violations == []


def test_the_same_seed_gives_the_same_history(play_system):
    assert play_system(3).history.digest() == play_system(3).history.digest()
    assert play_system(3).history.digest() != play_system(4).history.digest()
