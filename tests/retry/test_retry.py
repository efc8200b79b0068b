"""Retry budget and backoff."""

import random

from hypothesis import given
from hypothesis import strategies as st

from ibispitch.retry import backoff_s
from ibispitch.retry import RetryBudget
from ibispitch.retry.budget import MAX_RETRIES


@given(st.lists(st.tuples(st.booleans(), st.floats(0, 10)), max_size=300))
def test_retries_are_a_share_of_successes(events):
    """Without a budget, every failure during a fault would be retried."""
    budget = RetryBudget()
    now = 0.0
    successes = retries = 0
    for is_success, elapsed in events:
        now += elapsed
        if is_success:
            budget.deposit(now)
            successes += 1
        else:
            retries += budget.try_spend(now)
        assert retries <= 0.1 * successes + 1e-9


def test_balance_is_bounded_and_decays():
    """Many successes must not allow many retries at the next fault."""
    budget = RetryBudget()
    for _ in range(10_000):
        budget.deposit(0.0)
    assert sum(budget.try_spend(0.0) for _ in range(100)) == MAX_RETRIES
    for _ in range(10_000):
        budget.deposit(0.0)
    assert sum(budget.try_spend(300.0) for _ in range(100)) == 0


@given(st.integers(-1, 10_000), st.integers(0, 2**32))
def test_backoff_grows_within_bounds(attempt, seed):
    """Without a delay, or with an overflow, retries would form a busy loop."""
    assert 0.025 <= backoff_s(attempt, random.Random(seed)) <= 3.0


def test_backoff_is_spread():
    """Requests that failed at the same time must not all be repeated then."""
    rng = random.Random(1)
    delays = sorted(backoff_s(4, rng) for _ in range(1000))
    assert delays[-1] - delays[0] > 0.3
    assert len(set(delays)) > 990
