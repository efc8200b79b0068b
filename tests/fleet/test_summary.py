"""Summaries of the upstreams of a service."""

import math

from ibispitch.fleet.core import Fleet
from ibispitch.fleet.summary import ServiceSummaries
from tests.fleet.test_fleet import agent


def summaries(*statuses) -> ServiceSummaries:
    fleet = Fleet('10.1.0.1')
    for number, status in enumerate(statuses):
        fleet.record_agent_status(f'10.1.1.{number}', status, 0.0)
    return ServiceSummaries(fleet)


def test_time_to_warm_passes():
    """An old status must not delay the time at which upstreams are warm.

    Openings were refused just before the upstreams of another data centre
    became warm, because their last status was a second old.
    """
    cold = agent(cold_left_s=0.6, cold_openings=0, interval_s=1.2)
    service = summaries(cold)
    assert service.get('counter', 0.0).warm_in_s == 0.6
    assert math.isclose(service.get('counter', 0.5).warm_in_s, 0.1)
    assert service.get('counter', 0.7).warm_in_s == math.inf


def test_first_warm_upstream_ends_the_wait():
    """One upstream that is still cold must not hide those that are warm."""
    cold = agent(cold_left_s=0.6, cold_openings=0)
    warm = agent(work_s=0.05, slots=2)
    summary = summaries(cold, warm).get('counter', 0.0)
    assert summary.warm_in_s == math.inf
    assert summary.requests_per_s == 40.0


def test_summaries_are_shared():
    """A burst must not scan hundreds of agents for each opening."""
    service = summaries(*[agent(work_s=0.05)] * 3)
    assert service.get('counter', 0.0) is service.get('counter', 0.005)
    assert service.get('counter', 0.0) is not service.get('counter', 0.02)
