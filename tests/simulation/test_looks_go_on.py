"""An exception in a periodic task of a process doesn't end the task, in the simulated system."""

from operator import attrgetter

import pytest

from shedgrade.simulation.system.script import Script


@pytest.fixture
def make_script():
    """Makes scripted runs, and closes them after the test, so that what they left pending isn't reported."""
    scripts = []

    def make(**parameters):
        scripts.append(Script(**parameters))
        return scripts[-1]

    yield make
    for script in scripts:
        script.system.close()


class InjectedError(Exception):
    """The exception raised by an injected fault."""


def fail_once(program, name):
    """Makes the next call of a method raise; later calls go through. Returns the list of these."""
    method, calls = getattr(program, name), []

    def fail(*args):
        setattr(program, name, counted)
        raise InjectedError(name)

    def counted(*args):
        calls.append(args)
        return method(*args)

    setattr(program, name, fail)
    return calls


@pytest.mark.parametrize(
    ("kind", "path", "name"),
    [
        ("edges", "front", "check_timeouts"),
        ("edges", "gossip.view", "count"),
        ("cores", "prefix_exchange", "tick"),
    ],
)
def test_a_periodic_task_that_fails_once_runs_again(kind, path, name, make_script):
    script = make_script(seed=1)
    script.until_ready()
    machine = getattr(script.system, kind)[0]
    calls = fail_once(attrgetter(path)(machine.program), name)
    script.run(4.0)
    assert len(calls) >= 2
    assert [fault["exception"].args for fault in machine.loop.faults] == [(name,)]


def test_an_edge_whose_shutdown_check_fails_once_still_ends(make_script):
    script = make_script(seed=2, edges=4)
    script.until_ready()
    script.run(1.0)
    edge = script.system.edges[0]
    script.faults.terminate(edge)
    fail_once(edge.program, "busy")
    assert script.run_until(lambda: not edge.running, 4.0)
