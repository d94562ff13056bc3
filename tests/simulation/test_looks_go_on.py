"""An exception in a periodic task of a process doesn't end the task, in the simulated system."""

from operator import attrgetter

import pytest

from shedgrade.simulation.system.script import Script


@pytest.fixture
def scripted():
    """Makes scripted runs, and closes them after the test, so that what they left pending isn't reported."""
    made = []

    def make(**shape):
        made.append(Script(**shape))
        return made[-1]

    yield make
    for script in made:
        script.system.close()


class InjectedError(Exception):
    """The exception raised by an injected fault."""


def once(program, name):
    """Makes the next call of a method raise; later calls go through. Returns the list of these."""
    method, calls = getattr(program, name), []

    def broken(*args):
        setattr(program, name, counted)
        raise InjectedError(name)

    def counted(*args):
        calls.append(args)
        return method(*args)

    setattr(program, name, broken)
    return calls


@pytest.mark.parametrize(
    ("kind", "part", "name"),
    [
        ("edges", "front", "look_after"),
        ("edges", "gossip.view", "count"),
        ("cores", "prefix_exchange", "tick"),
    ],
)
def test_a_periodic_task_that_fails_once_runs_again(kind, part, name, scripted):
    script = scripted(seed=1)
    script.until_ready()
    machine = getattr(script.system, kind)[0]
    calls = once(attrgetter(part)(machine.program), name)
    script.run(4.0)
    assert len(calls) >= 2
    assert [fault["exception"].args for fault in machine.loop.faults] == [(name,)]


def test_an_edge_whose_shutdown_check_fails_once_still_ends(scripted):
    script = scripted(seed=2, edges=4)
    script.until_ready()
    script.run(1.0)
    edge = script.system.edges[0]
    script.faults.terminate(edge)
    once(edge.program, "busy")
    assert script.run_until(lambda: not edge.running, 4.0)
