"""Real control planes and data planes in virtual time: a change goes its whole way, alike for one seed."""

import pytest

from shedgrade.simulation.system.history import Kind
from shedgrade.simulation.system.world import Shape, SystemWorld


@pytest.fixture
def day():
    """Plays a calm day by seed."""
    played = []

    def play(seed, length=6.0, **shape):
        world = SystemWorld(seed, Shape(**shape))
        played.append(world)
        world.start()
        world.run(length)
        return world

    yield play
    for world in played:
        world.close()


def test_a_change_is_acknowledged_read_back_and_in_force_at_the_edges(day):
    world = day(1)
    changes = [call for call in world.history.calls if call.kind is Kind.PUT and call.acknowledged]
    reads = [call for call in world.history.calls if call.kind is Kind.GET and call.status == 200]
    assert len(changes) > 5 and len(reads) > 5
    newest = max(changes, key=lambda call: call.version)
    seen = {view.edge for view in world.history.views if view.key == newest.key}
    assert seen == {"edge-1", "edge-2"}
    assert world.faults() == [] and world.history.wrong == []


def test_one_seed_gives_one_history(day):
    assert day(3).history.digest() == day(3).history.digest()
    assert day(3).history.digest() != day(4).history.digest()
