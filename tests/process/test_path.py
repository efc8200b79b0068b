"""Tests of the whole path of packets with separate processes."""

import asyncio
import random

import pytest

from testbed.callers import Outcome
from testbed.deployment import Deployment
from testbed.deployment import OMAHEKE
from testbed.scenario import Scenario

pytestmark = pytest.mark.process

SETTLE_S = 2.0


async def test_requests_feeds_and_a_killed_balancer(tmp_path):
    """Guards against broken feeds and requests that run twice when a balancer
    is killed.
    """
    scenario = Scenario(Deployment(OMAHEKE, tmp_path, 138), seed=7)
    service = OMAHEKE.services[0]
    try:
        await scenario.start()
        assert await scenario.open_feeds(service, 20) == 20
        scenario.start_requests(service, 4, 0.1)
        await asyncio.sleep(SETTLE_S)
        name, ip = next(iter(scenario.deployment.balancer_ips.items()))
        scenario.deployment.supervisor.kill(name)
        scenario.sprayer.balancers.remove(ip)
        await asyncio.sleep(4 * SETTLE_S)
        await scenario.stop_requests()
        report = scenario.report()
        assert report.violations == 0, report
        assert report.count_by_outcome[Outcome.RESULT] > 50
        assert report.count_by_outcome[Outcome.NO_ANSWER] == 0
        assert scenario.deployment.supervisor.unexpected_exits() == []
    finally:
        await scenario.stop(is_graceful=False)


async def test_lost_and_doubled_packets_run_nothing_twice(tmp_path):
    """Guards against requests that run twice when the network loses and
    duplicates packets.
    """
    scenario = Scenario(Deployment(OMAHEKE, tmp_path, 139), seed=8)
    service = OMAHEKE.services[0]
    try:
        await scenario.start()
        scenario.sprayer.rng = random.Random(8)
        scenario.sprayer.drop = 0.1
        scenario.sprayer.duplicate = 0.2
        scenario.start_requests(service, 20, 0.1)
        await asyncio.sleep(4 * SETTLE_S)
        await scenario.stop_requests()
        report = scenario.report()
        assert report.repeated_runs == 0, report
        assert report.false_refusals == 0, report
        assert report.count_by_outcome[Outcome.RESULT] > 50
    finally:
        await scenario.stop(is_graceful=False)
