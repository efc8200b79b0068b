"""Tests of an agent replaced by a successor on its host, with real
processes.
"""

import asyncio

import pytest

from testbed.callers import Outcome
from testbed.deployment import Deployment
from testbed.deployment import OMAHEKE
from testbed.scenario import Scenario

pytestmark = pytest.mark.process

REPLACED_AGENTS = 3


async def _replace_agent(scenario, host):
    supervisor = scenario.deployment.supervisor
    predecessor = supervisor.process_by_name[f'agent-{host.name}']
    scenario.deployment.start_agent(host)
    async with asyncio.timeout(10):
        while predecessor.poll() is None:
            await asyncio.sleep(0.05)
        await scenario.wait_until_agent_ready(host)
    return predecessor.returncode


async def test_successor_keeps_feeds_and_requests(tmp_path):
    """Guards against broken feeds and unanswered requests when an agent is
    replaced.
    """
    scenario = Scenario(Deployment(OMAHEKE, tmp_path, 73), seed=9)
    service = OMAHEKE.services[0]
    try:
        await scenario.start()
        assert await scenario.open_feeds(service, 40) == 40
        scenario.start_requests(service, 10, 0.05)
        await asyncio.sleep(2)
        for host in scenario.deployment.hosts[:REPLACED_AGENTS]:
            assert await _replace_agent(scenario, host) == 0
            await asyncio.sleep(1)
        await asyncio.sleep(9)
        await scenario.stop_requests()
        report = scenario.report()
        assert report.violations == 0, report
        counts = report.count_by_outcome
        assert counts[Outcome.RESULT] > 100
        assert counts[Outcome.UNKNOWN] == counts[Outcome.NO_ANSWER] == 0
        assert all(len(user.upstreams) == 1 for user in scenario.feeds)
        assert scenario.deployment.supervisor.unexpected_exits() == []
    finally:
        await scenario.stop()
