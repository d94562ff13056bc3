"""The fleet's retry budget while its bounds change."""

from random import Random

from shedgrade.load_balancing.upstream import SECOND
from shedgrade.model_routing.retry_budget import BUDGET_SHARE_USED, RetryBudget


def retries_until_exhausted(budget, now, requests=100):
    for _ in range(requests):
        budget.record_sent(now, False)
    count = 0
    while budget.allows_retry(now):
        budget.record_sent(now, True)
        count += 1
    return count


def test_a_changed_ratio_and_slack_take_effect_at_once():
    budget = RetryBudget(0.2, 50, 10 * SECOND)
    assert retries_until_exhausted(budget, 0) == int(BUDGET_SHARE_USED * 70)
    budget.update_bounds(0.5, 50, 10 * SECOND)
    assert retries_until_exhausted(budget, 0, 0) == int(BUDGET_SHARE_USED * 100) - int(BUDGET_SHARE_USED * 70)
    budget.update_bounds(0.0, 0, 10 * SECOND)
    assert not budget.allows_retry(0)


def test_with_a_longer_window_earlier_retries_still_count():
    budget = RetryBudget(0.0, 10, 10 * SECOND)
    assert retries_until_exhausted(budget, 5 * SECOND) == 8
    budget.update_bounds(0.0, 10, 20 * SECOND)
    assert not budget.allows_retry(24 * SECOND) and budget.allows_retry(28 * SECOND)


def test_with_a_shorter_window_earlier_retries_are_forgotten_sooner():
    budget = RetryBudget(0.0, 10, 20 * SECOND)
    assert retries_until_exhausted(budget, 5 * SECOND) == 8
    budget.update_bounds(0.0, 10, 2 * SECOND)
    assert not budget.allows_retry(6 * SECOND) and budget.allows_retry(8 * SECOND)


def test_sums_never_become_negative_however_often_the_bounds_change():
    for seed in range(20):
        random, budget, now = Random(seed), RetryBudget(0.2, 20, 10 * SECOND), 0
        for _ in range(400):
            now += random.randrange(SECOND)
            budget.record_sent(now, random.random() < 0.3)
            if random.random() < 0.05:
                budget.update_bounds(random.random(), random.randrange(50), random.randrange(1, 30) * SECOND)
        assert budget.requests >= 0 and budget.retries >= 0
        budget.advance(now + 100 * SECOND)
        assert (budget.requests, budget.retries) == (0, 0)
