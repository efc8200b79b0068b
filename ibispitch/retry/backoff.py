"""Exponential backoff with jitter."""

import random

FIRST_DELAY_S = 0.05
MAX_DELAY_S = 2.0


def backoff_s(
    attempt: int,
    rng: random.Random,
    first_s: float = FIRST_DELAY_S,
    max_s: float = MAX_DELAY_S,
) -> float:
    """Return the delay before a retry.

    The mean doubles with each retry. The delay is uniformly distributed
    between half and one and a half of the mean, so that requests that failed
    at the same time are not repeated at the same time.

    :param attempt: number of the retry, 1 for the first one.
    :param rng: source of the jitter.
    :param first_s: mean delay before the first retry, in seconds.
    :param max_s: upper bound of the mean, in seconds.
    :returns: the delay in seconds.
    """
    exponent = min(max(attempt, 1) - 1, 32)
    mean_s = min(max_s, first_s * 2.0**exponent)
    return mean_s * rng.uniform(0.5, 1.5)
