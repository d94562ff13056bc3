"""The earliest time at which a heartbeat was sent, from the acknowledgement that it names."""

from shedgrade.replication.acknowledgement_times import (
    MAX_ROUNDS,
    MIN_INTERVAL_S,
    NEVER,
    AcknowledgementTimes,
)


def times_of(*rounds):
    times = AcknowledgementTimes()
    for number, at in rounds:
        times.record(at, 3, number)
        times.check_invariants()
    return times


def test_a_heartbeat_was_sent_after_the_acknowledgement_that_it_names():
    times = times_of((4, 10.0), (5, 10.25), (8, 10.5))
    assert [times.earliest_sending_time(3, number) for number in (3, 4, 5, 7, 8, 9)] == [
        NEVER,
        10.0,
        10.25,
        10.25,
        10.5,
        10.5,
    ]


def test_nothing_is_known_of_another_epoch():
    times = times_of((4, 10.0))
    assert times.earliest_sending_time(2, 4) == times.earliest_sending_time(4, 4) == NEVER
    times.record(11.0, 4, 1)
    assert times.earliest_sending_time(3, 4) == NEVER and times.earliest_sending_time(4, 1) == 11.0


def test_a_round_acknowledged_again_or_late_changes_nothing():
    assert times_of((4, 10.0), (5, 10.25), (4, 10.5), (5, 10.75)).earliest_sending_time(3, 5) == 10.25


def test_of_rounds_at_short_intervals_only_the_first_is_kept():
    times = times_of((4, 10.0), (5, 10.0 + MIN_INTERVAL_S / 2), (6, 10.0 + MIN_INTERVAL_S))
    assert times.earliest_sending_time(3, 5) == 10.0
    assert times.earliest_sending_time(3, 6) == 10.0 + MIN_INTERVAL_S


def test_the_number_of_rounds_kept_is_bounded():
    times = times_of(*((number, float(number)) for number in range(1, 2 * MAX_ROUNDS)))
    assert len(times.rounds) == MAX_ROUNDS
    assert times.earliest_sending_time(3, 1) == NEVER
