"""Tests of the order of the requests at an upstream."""

import pytest

from ibispitch.outcomes.arrivals import Arrivals


def test_answers_in_another_order_within_the_slots():
    """Requests that run at the same time may end in any order."""
    arrivals = Arrivals()
    for number in range(5):
        arrivals.record(b'%d' % number, 0.0)
    overtaken = [arrivals.has_overtaken(b'%d' % n, 3) for n in range(5)]
    assert overtaken == [False, False, False, True, True]
    arrivals.remove(b'1', 3, 0.02)
    assert not arrivals.has_overtaken(b'3', 3)


def test_request_starts_when_a_slot_is_free():
    """The wait for a slot must not count as time to run."""
    arrivals = Arrivals()
    for number in range(3):
        arrivals.record(b'%d' % number, 0.0)
    arrivals.remove(b'2', 1, 0.1)
    arrivals.remove(b'0', 1, 0.3)
    assert arrivals.running_s(0.35) == pytest.approx(0.05)


def test_repeated_and_further_packets():
    """A repeated packet changes nothing; a further one completes a body."""
    arrivals = Arrivals()
    arrivals.record(b'a', 0.0)
    arrivals.record(b'a', 0.0)
    assert arrivals.running_s(0.5) == 0.5
    arrivals.record(b'a', 0.4)
    assert arrivals.running_s(0.5) == pytest.approx(0.1)
