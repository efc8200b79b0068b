"""Deployments under load whose invariants are checked at the end."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
import json
from pathlib import Path
import sys
import time
from typing import NamedTuple

from testbed.callers import Outcome
from testbed.deployment import Deployment
from testbed.deployment import OMAHEKE
from testbed.deployment import UpstreamHost
from testbed.scenario import Scenario
from testbed.supervisor import ROOT
from testbed.watch import VersionWatch

FEEDS = 28
SUBMITTERS = 6
SUBMIT_INTERVAL_S = 0.15
WARM_UP_S = 1.0
#: Time for a fault to take effect; short enough for a test of 20 s.
SETTLE_S = 2.0
CTL_TIMEOUT_S = 15.0


class Run(NamedTuple):
    """A deployment with its callers and the watch of its versions."""

    scenario: Scenario
    watch: VersionWatch

    @property
    def deployment(self) -> Deployment:
        return self.scenario.deployment

    @property
    def service(self):
        return self.deployment.shape.services[0]

    def hosts(self, datacentre: str = '') -> list[UpstreamHost]:
        """Return the hosts of the first service.

        :param datacentre: only hosts of this data centre, empty for all.
        """
        return [
            host
            for host in self.deployment.hosts
            if host.service == self.service
            and datacentre in ('', host.datacentre)
        ]

    async def wait_until_applied(self, accepted, within_s: float) -> float:
        """Wait until an accepted edit is applied by every balancer.

        :returns: the time that it took, in seconds.
        """
        return await self.watch.seconds_until(
            accepted.key,
            accepted.version,
            self.deployment.balancer_ips,
            within_s,
        )


@asynccontextmanager
async def running(
    folder: Path,
    network: int,
    seed: int,
    shape=OMAHEKE,
    prepare=None,
    **options,
) -> AsyncIterator[Run]:
    """Start a deployment and load; check the invariants at the end.

    :param prepare: called with the deployment before its start.
    """
    deployment = Deployment(shape, folder, network, **options)
    scenario = Scenario(deployment, seed)
    watch = VersionWatch(deployment)
    run = Run(scenario, watch)
    try:
        if prepare is not None:
            await prepare(deployment)
        await scenario.start()
        await watch.start()
        assert await scenario.open_feeds(run.service, FEEDS) == FEEDS
        scenario.start_requests(run.service, SUBMITTERS, SUBMIT_INTERVAL_S)
        await asyncio.sleep(WARM_UP_S)
        yield run
        await check(run)
    finally:
        await watch.stop()
        await scenario.stop(is_graceful=False)


async def check(run: Run) -> None:
    """Check the invariants that must hold after every failure."""
    silent = await run.scenario.wait_for_feeds()
    await run.scenario.stop_requests()
    report = run.scenario.report()
    assert report.violations == 0, (silent, report)
    assert report.feeds > report.ended_feeds
    assert report.count_by_outcome[Outcome.RESULT] > 50, report
    assert run.deployment.supervisor.unexpected_exits() == []
    assert run.watch.polls > 0
    assert run.watch.reverted == []


class CtlResult(NamedTuple):
    """Result of a run of ``ibispitchctl``."""

    code: int
    answer: dict
    seconds: float


async def ctl(run: Run, *arguments: str, is_direct: bool = False):
    """Run ``ibispitchctl`` as a separate process.

    :param is_direct: whether edits are sent to the store instead of the
        administration API.
    """
    settings = run.deployment.ctl_settings()
    if is_direct:
        settings.pop('token')
    path = run.deployment.supervisor.write_settings_file(
        f'ctl-{"direct" if is_direct else "api"}', settings
    )
    start = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'ibispitch.ctl',
        '--config',
        str(path),
        '--output',
        'json',
        *arguments,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    async with asyncio.timeout(CTL_TIMEOUT_S):
        out, errors = await process.communicate()
    seconds = time.monotonic() - start
    text = out or errors
    try:
        answer = json.loads(text)
    except ValueError:
        answer = {'text': text.decode()}
    return CtlResult(process.returncode, answer, seconds)
