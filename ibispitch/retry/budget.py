"""Budget that bounds retries to a share of the successes."""

import math

RETRIES_PER_SUCCESS = 0.1
#: Retries that may be saved up. It bounds the burst at the begin of a fault.
MAX_RETRIES = 3.0
#: Savings shrink with this time constant, so that a quiet hour does not pay
#: for retries in a later fault.
SAVINGS_TIME_S = 30.0


class RetryBudget:
    """Retries that the successes so far have paid for.

    :param ratio: retries for each success.
    :param capacity: most retries that are saved.
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
        self._saved = 0.0
        self._at = now

    def deposit(self, now: float) -> None:
        """Credit one successful request."""
        self._decay(now)
        self._saved = min(self._capacity, self._saved + self._ratio)

    def try_spend(self, now: float) -> bool:
        """Take one retry if the budget has one.

        :returns: whether the retry may be made.
        """
        self._decay(now)
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self._at)
        self._at = max(self._at, now)
        self._saved *= math.exp(-elapsed / SAVINGS_TIME_S)
