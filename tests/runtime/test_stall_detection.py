"""The lower bound of a request's arrival time, on an event loop that stalls at times."""

from types import SimpleNamespace

from shedgrade.runtime.stall_detection import LATE, SETTLING, TICK, ArrivalClock


class Ticks:
    """An event loop with one timer, in simulated time."""

    def __init__(self):
        self.now, self.due = 50.0, None
        self.clock = ArrivalClock(self, lambda: self.now)
        self.clock.start()

    def call_later(self, delay, job):
        self.due = self.now + delay, job
        return SimpleNamespace(cancel=lambda: setattr(self, "due", None))

    def run(self, seconds):
        until = self.now + seconds
        while self.due is not None and self.due[0] <= until:
            at, job = self.due
            self.now = max(self.now, at)
            job()
        self.now = until

    def stand(self, seconds, tick_first):
        """Stops the process; `tick_first`: the late timer runs before received data is read."""
        self.now += seconds
        if tick_first:
            self.due[1]()


def test_in_a_process_that_runs_nothing_is_old():
    ticks = Ticks()
    for _ in range(50):
        ticks.run(0.037)
        assert ticks.now - 2 * TICK - 1e-9 <= ticks.clock.earliest() <= ticks.now


def test_what_is_read_after_a_stop_may_be_as_old_as_the_stop():
    for tick_first in (False, True):
        ticks = Ticks()
        ticks.run(1.04)
        stopped = ticks.now
        ticks.stand(7.0, tick_first)
        assert ticks.clock.earliest() < stopped
        ticks.run(SETTLING / 2)
        assert ticks.clock.earliest() < stopped
        ticks.run(SETTLING)
        assert ticks.clock.earliest() > stopped + 7.0


def test_stops_that_follow_one_another_add_up():
    ticks = Ticks()
    ticks.run(1.0)
    stopped = ticks.now
    for _ in range(3):
        ticks.stand(2.0, True)
        ticks.run(SETTLING / 2)
        assert ticks.clock.earliest() < stopped


def test_a_long_step_makes_nothing_look_older_than_it_can_be():
    ticks = Ticks()
    ticks.run(1.0)
    ticks.stand(TICK + LATE + 0.01, True)
    assert ticks.now - ticks.clock.earliest() < 0.5


def test_after_its_end_it_ticks_no_more():
    ticks = Ticks()
    ticks.clock.close()
    assert ticks.due is None
