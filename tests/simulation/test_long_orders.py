"""Long configurations over the slowest links supported between core members, in the simulated system."""

from shedgrade.simulation.system.script import Script

SLOWEST_LINK_BYTES_PER_S = 625_000.0  # bytes per second
LONG_BYTES = 100_000  # length of a configuration in bytes


def test_a_long_change_is_awaited_for_as_long_as_its_body_takes_on_a_slow_link():
    """Guards against retries while a body is in transit: each sends the whole body again, which delays the
    change itself and all messages queued behind it."""
    script = Script(seed=1, tolerated=2, bandwidth=SLOWEST_LINK_BYTES_PER_S, padding=LONG_BYTES)
    script.until_ready()
    script.run(5.0)
    rejected = 0
    for number, machine in enumerate(script.system.cores, start=1):
        change = script.call(
            script.operator.put(number, number + 1, f"change-{number}", first=script.member(machine))
        )
        assert script.run_until(lambda change=change: change.acknowledged, 2.0)
        rejected += sum(attempt.status == 503 for attempt in change.attempts)
    assert rejected <= 1
    script.run(5.0)
    assert script.findings() == []
