"""Long configurations over the slowest links that the core is made for, in the simulated system."""

from shedgrade.simulation.system.script import Script

SLOWEST_LINK = 625_000.0  # bytes a second
LONG = 100_000  # bytes of a configuration


def test_a_long_order_is_followed_for_as_long_as_its_body_takes_on_a_slow_link():
    """Each retry sends the whole body again, which delays itself and all that is behind it."""
    script = Script(seed=1, tolerated=2, bandwidth=SLOWEST_LINK, padding=LONG)
    script.until_ready()
    script.run(5.0)
    refused = 0
    for number, machine in enumerate(script.system.cores, start=1):
        change = script.call(
            script.operator.put(number, number + 1, f"change-{number}", first=script.member(machine))
        )
        assert script.run_until(lambda change=change: change.acknowledged, 2.0)
        refused += sum(attempt.status == 503 for attempt in change.attempts)
    assert refused <= 1
    script.run(5.0)
    assert script.findings() == []
