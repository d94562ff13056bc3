"""The capacity model without I/O: against its stated curves, and against a simulation in small steps."""

from math import inf, isclose

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shedgrade.lab.capacity import AWAY, DOWN, TAKEN, Capacity


def test_warmth_follows_the_stated_curve():
    upstream = Capacity(2, 1.0, 10, 5.0, cold_from=0.2, cold=10.0)
    assert [round(upstream.warmth(at), 3) for at in (5, 7.5, 10, 15, 99)] == [0.2, 0.4, 0.6, 1.0, 1.0]
    for at in (4.0, 5.0, 6.3, 14.9, 15.0, 31.0):
        assert isclose(upstream.when_warm_seconds(upstream.warm_seconds(at)), at, abs_tol=1e-9)


def test_a_cold_upstream_does_exactly_the_work_that_its_curve_allows():
    # Kept busy, two cores do the integral of warmth: 2 x 1000 x (0.2 x 4 + 0.8 x 16 / 20) ms of work in 4 s.
    upstream = Capacity(2, 1.0, 10_000, 0.0, cold_from=0.2, cold=10.0, fall_multiple=inf)
    for number in range(5000):
        assert upstream.take(0.0, number, 1.0) == TAKEN
    assert abs(len(upstream.ends(4.0)) - 2 * 1000 * (0.2 * 4 + 0.8 * 16 / 20)) <= 2
    assert abs(len(upstream.ends(12.0)) - (5000 - 2 * 1440)) <= 2


def test_a_full_queue_rejects_rpcs_and_cancelling_makes_room():
    upstream = Capacity(1, 1.0, 1, 0.0)
    assert [upstream.take(0.0, key, 10.0) for key in "abc"] == [TAKEN, TAKEN, AWAY]
    assert upstream.cancel(0.001, "a") and not upstream.cancel(0.001, "a")
    assert upstream.ran("b") and upstream.next_end() == pytest.approx(0.011)
    upstream.draining = True
    assert upstream.take(0.002, "d", 1.0) == AWAY


def test_overload_beyond_the_multiple_crashes_a_cold_upstream_for_good():
    def push(work):
        upstream = Capacity(1, 1.0, 10_000, 0.0, cold_from=0.1, cold=20.0, fall_multiple=3.0, overload=2.0)
        return upstream, [upstream.take(0.01 * step, step, work, "n0") for step in range(100)]

    # After a second, the limit is 3 x 1000 x the warm seconds of the window, about 650 ms.
    upstream, verdicts = push(6.0)
    assert DOWN not in verdicts and upstream.fell is None
    upstream, verdicts = push(8.0)
    assert verdicts[-1] == DOWN and upstream.fell["offered"] > upstream.fell["limit"] > 600
    assert upstream.fell["by"] == {"n0": pytest.approx(upstream.fell["offered"], abs=0.1)}
    assert upstream.take(50.0, "late", 1.0) == DOWN and upstream.next_end() == inf


def test_many_held_rpcs_slow_the_work_and_a_hang_stops_it():
    upstream = Capacity(1, 1.0, 100, 0.0, crowd_at=2.0, crowd_slow=0.5)
    upstream.take(0.0, 0, 10.0)
    assert upstream.next_end() == pytest.approx(0.010)
    for key in range(1, 4):
        upstream.take(0.0, key, 10.0)
    # One core holds four RPCs, two more than `crowd_at`, which halves the pace.
    assert upstream.next_end() == pytest.approx(0.020)
    upstream.set_machine_share(0.005, 0.0)
    assert upstream.next_end() == inf and upstream.ends(9.0) == []
    upstream.set_machine_share(9.0, 1.0)
    assert upstream.next_end() == pytest.approx(9.015)


class SteppedSimulation:
    """The same model, simulated in steps of a tenth of a millisecond."""

    def __init__(self, cores, queue, cold_from, cold):
        self.cores, self.cap, self.cold_from, self.cold = cores, queue, cold_from, cold
        self.running, self.queue, self.ended, self.at = {}, [], [], 0

    def to(self, until):
        while self.at < until:
            warmth = min(1.0, self.cold_from + (1 - self.cold_from) * (self.at + 0.5) / 1e4 / self.cold)
            for key in list(self.running):
                self.running[key] -= 0.1 * warmth
                if self.running[key] <= 1e-9:
                    del self.running[key]
                    self.ended.append((self.at + 1, key))
            self.fill()
            self.at += 1

    def fill(self):
        while self.queue and len(self.running) < self.cores:
            key, work = self.queue.pop(0)
            self.running[key] = work

    def take(self, key, work):
        if len(self.running) >= self.cores and len(self.queue) >= self.cap:
            return AWAY
        self.queue.append((key, work))
        self.fill()
        return TAKEN


@settings(max_examples=60, deadline=None)
@given(
    st.integers(1, 3),
    st.integers(0, 3),
    st.floats(0.1, 1.0),
    st.lists(st.tuples(st.integers(0, 300), st.floats(1.0, 30.0)), max_size=25),
)
def test_the_model_agrees_with_a_stepped_simulation(cores, queue, cold_from, jobs):
    upstream, simulated = (
        Capacity(cores, 1.0, queue, 0.0, cold_from=cold_from, cold=0.5, fall_multiple=inf),
        SteppedSimulation(cores, queue, cold_from, 0.5),
    )
    at, ended = 0, []
    for key, (gap, work) in enumerate(jobs):
        at += gap
        simulated.to(at)
        ended += upstream.ends(at / 1e4)
        busy = len(upstream.running), len(upstream.waiting)
        if busy != (len(simulated.running), len(simulated.queue)):
            return  # an RPC ended within one step of the simulation: from here on the two may differ
        assert upstream.take(at / 1e4, key, work) == simulated.take(key, work)
    simulated.to(at + 100_000)
    ended += upstream.ends(at / 1e4 + 10)
    assert {key for _, key in ended} == {key for _, key in simulated.ended}
    simulated_end = {key: when / 1e4 for when, key in simulated.ended}
    # The simulation rounds each RPC up to a step, and the errors of consecutive RPCs add up.
    assert all(abs(simulated_end[key] - when) < 2e-4 * (len(jobs) + 1) for when, key in ended)
