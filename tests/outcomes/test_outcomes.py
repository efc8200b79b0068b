"""Tests of the request times and failures of an upstream."""

import pytest

from ibispitch.outcomes.core import HALF_LIFE_S
from ibispitch.outcomes.core import Outcomes
from ibispitch.outcomes.core import WORK_KEPT_S


def answer(outcomes, count=1, took_s=0.02, place=1, now=0.0):
    for _ in range(count):
        outcomes.record_answer(took_s, place, 1, now)


def test_upstream_that_turns_slow():
    """The mean request time must follow an upstream that becomes slow."""
    outcomes = Outcomes()
    answer(outcomes, 100)
    answer(outcomes, 8, took_s=0.1)
    assert outcomes.work_s(0.0) > 0.06


def test_queue_is_not_slowness():
    """Queueing must not make an upstream count as slow."""
    outcomes = Outcomes()
    for place in range(1, 20):
        answer(outcomes, took_s=0.02 * place, place=place)
    assert outcomes.work_s(0.0) == pytest.approx(0.02)


def test_slowness_is_forgotten():
    """An upstream must not be avoided for ever because it was slow once."""
    outcomes = Outcomes()
    answer(outcomes, 10, took_s=1.0)
    assert outcomes.work_s(WORK_KEPT_S + 0.1) == 0.0
    answer(outcomes, now=WORK_KEPT_S + 0.2)
    assert outcomes.work_s(WORK_KEPT_S + 0.2) == pytest.approx(0.02)


def test_upstream_that_fails_a_part_of_its_requests():
    """An upstream that resets half of its requests must not look healthy."""
    outcomes = Outcomes()
    for number in range(20):
        now = 0.1 * number
        answer(outcomes, now=now)
        outcomes.record_failure(now)
    assert 0.3 < outcomes.failure_share(2.0) < 0.5


def test_one_failure_hardly_counts():
    """A single failure, such as a lost packet, must hardly count."""
    outcomes = Outcomes()
    answer(outcomes, 20)
    outcomes.record_failure(0.0)
    assert outcomes.failure_share(0.0) < 0.05


def test_failures_fade():
    """Old failures must not keep flows from a recovered upstream."""
    outcomes = Outcomes()
    for _ in range(10):
        outcomes.record_failure(0.0)
    assert outcomes.failure_share(0.0) > 0.7
    assert outcomes.failure_share(4 * HALF_LIFE_S) < 0.15
