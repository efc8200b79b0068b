"""Tests of the request rates of long flows."""

import pytest

from ibispitch.outcomes.flow_rates import FlowRates
from ibispitch.outcomes.flow_rates import INITIAL_REQUESTS_PER_S
from ibispitch.outcomes.flow_rates import RATE_TIME_CONSTANT_S


def send(rates, flow, per_s, since, until):
    for number in range(round(per_s * (until - since))):
        rates.record_request(flow, since + number / per_s)


def test_rate_of_a_flow():
    """The load must follow the requests, not the number of flows."""
    rates = FlowRates()
    rates.add(b'busy', 0.0)
    rates.add(b'idle', 0.0)
    send(rates, b'busy', 10.0, 0.0, 5 * RATE_TIME_CONSTANT_S)
    now = 5 * RATE_TIME_CONSTANT_S
    assert rates.requests_per_s(now) == pytest.approx(10.0, rel=0.05)
    assert rates.flow_load(0.02, now) == pytest.approx(0.2, rel=0.05)


def test_flow_that_ends_takes_its_rate_away():
    """An upstream must not count as busy with flows that have ended."""
    rates = FlowRates()
    rates.add(b'busy', 0.0)
    rates.add(b'idle', 0.0)
    send(rates, b'busy', 10.0, 0.0, 20.0)
    rates.remove(b'busy')
    assert rates.requests_per_s(20.0) < 0.1
    rates.remove(b'idle')
    assert rates.flow_load(0.02, 20.0) == 0.0


def test_new_flow_counts_at_once():
    """New flows must count before their requests are measured.

    Otherwise a new upstream looks idle for seconds and gets all flows.
    """
    rates = FlowRates()
    rates.add(b'first', 0.0)
    assert rates.requests_per_s(0.0) == INITIAL_REQUESTS_PER_S
    send(rates, b'first', 4.0, 0.0, 30.0)
    one = rates.requests_per_s(30.0)
    rates.add(b'second', 30.0)
    assert rates.requests_per_s(30.0) == pytest.approx(2 * one)


def test_load_without_a_request_time_is_not_known():
    """An upstream that was not measured must not look idle."""
    rates = FlowRates()
    rates.add(b'first', 0.0)
    assert rates.flow_load(0.0, 0.0) is None
