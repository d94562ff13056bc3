"""The lower bound of a request's arrival time, on an event loop that stalls at times."""

from types import SimpleNamespace

from shedgrade.runtime.stall_detection import MAX_TICK_DELAY_S, SETTLING_S, TICK_INTERVAL_S, ArrivalClock


class FakeLoop:
    """An event loop with one timer, in simulated time."""

    def __init__(self):
        self.now, self.timer = 50.0, None
        self.arrival_clock = ArrivalClock(self, lambda: self.now)
        self.arrival_clock.start()

    def call_later(self, delay, callback):
        self.timer = self.now + delay, callback
        return SimpleNamespace(cancel=lambda: setattr(self, "timer", None))

    def advance(self, seconds):
        until = self.now + seconds
        while self.timer is not None and self.timer[0] <= until:
            at, callback = self.timer
            self.now = max(self.now, at)
            callback()
        self.now = until

    def stall(self, seconds, tick_first):
        """Stops the process; `tick_first`: the late timer runs before received data is read."""
        self.now += seconds
        if tick_first:
            self.timer[1]()


def test_without_a_stall_the_bound_is_at_most_two_ticks_old():
    loop = FakeLoop()
    for _ in range(50):
        loop.advance(0.037)
        assert loop.now - 2 * TICK_INTERVAL_S - 1e-9 <= loop.arrival_clock.earliest_arrival() <= loop.now


def test_data_read_after_a_stall_may_have_arrived_before_it():
    for tick_first in (False, True):
        loop = FakeLoop()
        loop.advance(1.04)
        stalled_at = loop.now
        loop.stall(7.0, tick_first)
        assert loop.arrival_clock.earliest_arrival() < stalled_at
        loop.advance(SETTLING_S / 2)
        assert loop.arrival_clock.earliest_arrival() < stalled_at
        loop.advance(SETTLING_S)
        assert loop.arrival_clock.earliest_arrival() > stalled_at + 7.0


def test_consecutive_stalls_add_up():
    loop = FakeLoop()
    loop.advance(1.0)
    stalled_at = loop.now
    for _ in range(3):
        loop.stall(2.0, True)
        loop.advance(SETTLING_S / 2)
        assert loop.arrival_clock.earliest_arrival() < stalled_at


def test_a_short_stall_moves_the_bound_back_by_less_than_half_a_second():
    loop = FakeLoop()
    loop.advance(1.0)
    loop.stall(TICK_INTERVAL_S + MAX_TICK_DELAY_S + 0.01, True)
    assert loop.now - loop.arrival_clock.earliest_arrival() < 0.5


def test_close_stops_the_timer():
    loop = FakeLoop()
    loop.arrival_clock.close()
    assert loop.timer is None
