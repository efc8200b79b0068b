"""Budget that limits retries to a share of the successful requests."""

import math

RETRIES_PER_SUCCESS = 0.1
#: Maximum balance. It limits the burst of retries at the start of a fault.
MAX_RETRIES = 3.0
#: Time constant with which the balance decays, so that successes long before a
#: fault do not allow retries during it.
BALANCE_TIME_S = 30.0


class RetryBudget:
    """Balance of retries that successful requests have earned.

    :param ratio: retries that each success adds.
    :param capacity: maximum balance, in retries.
    :param now: time in seconds.

    >>> budget = RetryBudget(now=0.0)
    >>> budget.try_spend(0.0)
    False
    >>> for _ in range(11):
    ...     budget.deposit(0.0)
    >>> budget.try_spend(0.0), budget.try_spend(0.0)
    (True, False)
    """

    def __init__(
        self,
        ratio: float = RETRIES_PER_SUCCESS,
        capacity: float = MAX_RETRIES,
        now: float = 0.0,
    ):
        self._ratio = ratio
        self._capacity = capacity
        self._balance = 0.0
        self._updated_at = now

    def deposit(self, now: float) -> None:
        """Add the share of a retry for one successful request."""
        self._decay(now)
        self._balance = min(self._capacity, self._balance + self._ratio)

    def try_spend(self, now: float) -> bool:
        """Take one retry from the budget, if there is one.

        :returns: whether the request may be retried.
        """
        self._decay(now)
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(self._updated_at, now)
        self._balance *= math.exp(-elapsed / BALANCE_TIME_S)
