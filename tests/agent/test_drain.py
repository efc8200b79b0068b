"""Tests of an agent that drains and stops, with real processes."""

import asyncio
import signal

import pytest

from testbed.callers import Outcome
from testbed.deployment import Deployment
from testbed.deployment import OMAHEKE
from testbed.scenario import Scenario

pytestmark = pytest.mark.process


async def test_drained_agent_moves_its_feeds(tmp_path):
    """Guards against feeds that end when their agent and upstream stop."""
    scenario = Scenario(Deployment(OMAHEKE, tmp_path, 75), seed=10)
    service = OMAHEKE.services[0]
    try:
        await scenario.start()
        assert await scenario.open_feeds(service, 40) == 40
        scenario.start_requests(service, 10, 0.05)
        await asyncio.sleep(2)
        host = max(
            scenario.deployment.hosts,
            key=lambda h: sum(
                user.upstream == str(h.upstream) for user in scenario.feeds
            ),
        )
        supervisor = scenario.deployment.supervisor
        name = f'agent-{host.name}'
        leaving = supervisor.process_by_name[name]
        leaving.send_signal(signal.SIGTERM)
        async with asyncio.timeout(15):
            while leaving.poll() is None:
                await asyncio.sleep(0.05)
        supervisor.stop_monitoring(name)
        supervisor.kill(f'upstream-{host.name}')
        await asyncio.sleep(9)
        await scenario.stop_requests()
        report = scenario.report()
        assert report.violations == 0, report
        assert report.count_by_outcome[Outcome.UNKNOWN] == 0
        assert report.count_by_outcome[Outcome.NO_ANSWER] == 0
        moved = [
            user
            for user in scenario.feeds
            if str(host.upstream) in user.upstreams
        ]
        assert moved
        assert all(user.upstream != str(host.upstream) for user in moved)
        assert all(user.feed.reordered == 0 for user in moved)
    finally:
        await scenario.stop()
