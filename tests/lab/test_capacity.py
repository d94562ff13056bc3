"""The capacity model without I/O: against its stated curves, and against a simulation in small steps."""

from math import inf, isclose

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shedgrade.lab.capacity import AWAY, DOWN, TAKEN, Capacity


def test_warmth_follows_the_stated_curve():
    up = Capacity(2, 1.0, 10, 5.0, cold_from=0.2, cold=10.0)
    assert [round(up.warmth(at), 3) for at in (5, 7.5, 10, 15, 99)] == [0.2, 0.4, 0.6, 1.0, 1.0]
    for at in (4.0, 5.0, 6.3, 14.9, 15.0, 31.0):
        assert isclose(up.when_warm_seconds(up.warm_seconds(at)), at, abs_tol=1e-9)


def test_a_cold_one_does_just_what_its_curve_allows():
    # Kept busy, two cores do the integral of warmth: 2 x 1000 x (0.2 x 4 + 0.8 x 16 / 20) ms of work in 4 s.
    up = Capacity(2, 1.0, 10_000, 0.0, cold_from=0.2, cold=10.0, fall_multiple=inf)
    for number in range(5000):
        assert up.take(0.0, number, 1.0) == TAKEN
    assert abs(len(up.ends(4.0)) - 2 * 1000 * (0.2 * 4 + 0.8 * 16 / 20)) <= 2
    assert abs(len(up.ends(12.0)) - (5000 - 2 * 1440)) <= 2


def test_what_is_over_the_queue_is_turned_away_and_cancelling_makes_room():
    up = Capacity(1, 1.0, 1, 0.0)
    assert [up.take(0.0, key, 10.0) for key in "abc"] == [TAKEN, TAKEN, AWAY]
    assert up.cancel(0.001, "a") and not up.cancel(0.001, "a")
    assert up.ran("b") and up.next_end() == pytest.approx(0.011)
    up.draining = True
    assert up.take(0.002, "d", 1.0) == AWAY


def test_pushed_past_the_multiple_it_falls_and_stays_down():
    def push(work):
        up = Capacity(1, 1.0, 10_000, 0.0, cold_from=0.1, cold=20.0, fall_multiple=3.0, overload=2.0)
        return up, [up.take(0.01 * step, step, work, "n0") for step in range(100)]

    # After a second, the limit is 3 x 1000 x the warm seconds of the window, about 650 ms.
    up, verdicts = push(6.0)
    assert DOWN not in verdicts and up.fell is None
    up, verdicts = push(8.0)
    assert verdicts[-1] == DOWN and up.fell["offered"] > up.fell["limit"] > 600
    assert up.fell["by"] == {"n0": pytest.approx(up.fell["offered"], abs=0.1)}
    assert up.take(50.0, "late", 1.0) == DOWN and up.next_end() == inf


def test_a_crowd_slows_and_a_hang_stops():
    up = Capacity(1, 1.0, 100, 0.0, crowd_at=2.0, crowd_slow=0.5)
    up.take(0.0, 0, 10.0)
    assert up.next_end() == pytest.approx(0.010)
    for key in range(1, 4):
        up.take(0.0, key, 10.0)
    # One core holds four RPCs, two more than `crowd_at`, which halves the pace.
    assert up.next_end() == pytest.approx(0.020)
    up.speed_now(0.005, 0.0)
    assert up.next_end() == inf and up.ends(9.0) == []
    up.speed_now(9.0, 1.0)
    assert up.next_end() == pytest.approx(9.015)


class Plain:
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
def test_it_agrees_with_a_plain_model(cores, queue, cold_from, jobs):
    up, plain = (
        Capacity(cores, 1.0, queue, 0.0, cold_from=cold_from, cold=0.5, fall_multiple=inf),
        Plain(cores, queue, cold_from, 0.5),
    )
    at, ended = 0, []
    for key, (gap, work) in enumerate(jobs):
        at += gap
        plain.to(at)
        ended += up.ends(at / 1e4)
        busy = len(up.running), len(up.waiting)
        if busy != (len(plain.running), len(plain.queue)):
            return  # an RPC ended within one step of the simulation: from here on the two may differ
        assert up.take(at / 1e4, key, work) == plain.take(key, work)
    plain.to(at + 100_000)
    ended += up.ends(at / 1e4 + 10)
    assert {key for _, key in ended} == {key for _, key in plain.ended}
    slow = {key: when / 1e4 for when, key in plain.ended}
    # The simulation rounds each RPC up to a step, and the errors of consecutive RPCs add up.
    assert all(abs(slow[key] - when) < 2e-4 * (len(jobs) + 1) for when, key in ended)
