"""``ibispitch-demo``: all programs on loopback, with failures.

Starts a store, balancers, agents and upstreams as separate processes, keeps
feeds open and makes requests while processes fail, and prints a summary. The
exit code is 1 if the summary has a violation.
"""

import asyncio
from pathlib import Path
import signal
import sys
import tempfile
import time

import click
from tabulate import tabulate

from ibispitch.caller import CallerSession
from ibispitch.caller import Result
from ibispitch.ids import Address
from testbed.callers import Outcome
from testbed.deployment import ASANTE
from testbed.deployment import Deployment
from testbed.deployment import OMAHEKE
from testbed.deployment import Shape
from testbed.fabric import Fabric
from testbed.scenario import Report
from testbed.scenario import Scenario

NETWORK = 60
FEED_COUNT = 60
REQUEST_CALLERS = 12
REQUEST_INTERVAL_S = 0.3
SCAN_BYTES = 40_000
#: Time after which the health check of the fabric detects a lost balancer.
HEALTH_CHECK_S = 1.0
SETTLE_S = 3.0
SHAPE_BY_NAME = {'omaheke': OMAHEKE, 'asante': ASANTE}


class Progress:
    """Prints lines with the time since the start of the demonstration."""

    def __init__(self):
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        """Print a line with the seconds since the start."""
        elapsed = time.monotonic() - self._start
        click.echo(f'[{elapsed:5.1f} s] {text}')


class Demo:
    """The steps of the demonstration.

    :param scenario: deployment and load.
    :param print_progress: prints a line about a step.
    """

    def __init__(self, scenario: Scenario, print_progress: Progress):
        self._scenario = scenario
        self._deployment = scenario.deployment
        self._print_progress = print_progress
        shape = self._deployment.shape
        self._request_service, self._upload_service = shape.services

    async def run(self) -> None:
        """Run all steps."""
        scenario, print_progress = self._scenario, self._print_progress
        await scenario.start()
        processes = len(self._deployment.supervisor.process_by_name)
        print_progress(f'{processes} processes are up and serve')
        opened = await scenario.open_feeds(self._request_service, FEED_COUNT)
        print_progress(f'{opened} of {FEED_COUNT} feeds are open')
        scenario.start_requests(
            self._request_service, REQUEST_CALLERS, REQUEST_INTERVAL_S
        )
        await self._upload()
        await asyncio.sleep(SETTLE_S)
        await self._kill_balancer()
        await self._datacentre_out_and_back()
        await self._drain_upstream()
        await scenario.stop_requests()
        await asyncio.sleep(SETTLE_S)

    async def _upload(self) -> None:
        """Upload a scan through a fabric with a CoAP client library."""
        fabric = Fabric(self._scenario.rng)
        fabric.set_balancers(self._scenario.sprayer.balancers)
        front = Address(f'127.{NETWORK}.8.1', self._upload_service.port)
        fabric.listen(front)
        local = Address(f'127.{NETWORK}.8.2', 0)
        async with CallerSession(front, local) as session:
            body = self._scenario.rng.randbytes(SCAN_BYTES)
            outcome = await session.upload(('scan',), body)
        fabric.close()
        is_stored = isinstance(outcome, Result) and outcome.is_success
        self._print_progress(
            f'scan of {SCAN_BYTES} bytes: {"stored" if is_stored else outcome}'
        )
        if not is_stored:
            self._scenario.mismatched_answers += 1

    async def _kill_balancer(self) -> None:
        name = next(iter(self._deployment.balancer_ips))
        ip = self._deployment.balancer_ips[name]
        self._deployment.supervisor.kill(name)
        self._print_progress(f'{name} killed')
        await asyncio.sleep(HEALTH_CHECK_S)
        self._scenario.sprayer.balancers.remove(ip)
        await asyncio.sleep(SETTLE_S)
        self._deployment.start_balancer(name)
        await asyncio.sleep(SETTLE_S)
        self._scenario.sprayer.balancers.append(ip)
        self._print_progress(f'{name} is back')

    async def _datacentre_out_and_back(self) -> None:
        name = self._deployment.shape.datacentres[-1]
        hosts = [h for h in self._deployment.hosts if h.datacentre == name]
        self._scenario.expect_feeds_to_end(hosts)
        await self._set_datacentre(name, 'out')
        await asyncio.sleep(SETTLE_S)
        before = await self._packets(hosts)
        await asyncio.sleep(SETTLE_S)
        late_packets = await self._packets(hosts) - before
        self._print_progress(
            f'{late_packets} packets reached {name} {SETTLE_S:.0f} s later'
        )
        self._scenario.wrong_service += late_packets
        await self._set_datacentre(name, 'in')
        await asyncio.sleep(SETTLE_S)

    async def _set_datacentre(self, name: str, state: str) -> None:
        """Run ``ibispitchctl datacentre out|in``."""
        deployment = self._deployment
        settings = deployment.supervisor.write_settings_file(
            'ctl', deployment.ctl_settings()
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'ibispitch.ctl',
            '--config',
            str(settings),
            'datacentre',
            state,
            name,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        self._print_progress(f'$ ibispitchctl datacentre {state} {name}')
        self._print_progress(output.decode().strip())
        if process.returncode:
            raise click.ClickException('ibispitchctl failed')

    async def _packets(self, hosts) -> int:
        """Return the packets that agents passed to upstreams or answered."""
        states = await self._scenario.agent_states()
        return sum(
            states[host.name]['counters'].get('agent.datagrams{path=in}', 0)
            for host in hosts
            if host.name in states
        )

    async def _drain_upstream(self) -> None:
        host = self._deployment.hosts[0]
        name = f'agent-{host.name}'
        self._deployment.supervisor.signal(name, signal.SIGTERM)
        self._deployment.supervisor.stop_monitoring(name)
        self._print_progress(f'{host.name} drains')
        await asyncio.sleep(2 * SETTLE_S)


def summary(report: Report) -> str:
    """Return a report as a table."""
    rows = [
        ('feeds established', report.feeds, ''),
        ('feeds given up with their data centre', report.ended_feeds, ''),
        ('broken flows', report.broken, 'must be 0'),
        ('wrong-service packets', report.wrong_service, 'must be 0'),
        ('doubled runs', report.repeated_runs, 'must be 0'),
        ('false refusals', report.false_refusals, 'must be 0'),
        ('answers to another request', report.mismatched_answers, 'must be 0'),
    ]
    rows += [
        (f'requests: {outcome.value}', report.count_by_outcome[outcome], '')
        for outcome in Outcome
    ]
    for percentile in (50, 90, 99, 100):
        value_us = report.latency.get_value_at_percentile(percentile)
        rows.append(
            (f'latency p{percentile}', f'{value_us / 1000:.1f} ms', '')
        )
    return tabulate(rows, tablefmt='plain')


async def run_demo(shape: Shape, folder: Path, seed: int) -> Report:
    """Run the demonstration.

    :param folder: folder for settings files and logs.
    :returns: report of the scenario.
    """
    scenario = Scenario(Deployment(shape, folder, NETWORK), seed)
    try:
        await Demo(scenario, Progress()).run()
        dead = scenario.deployment.supervisor.unexpected_exits()
        if dead:
            raise click.ClickException(f'ended by themselves: {dead}')
        return scenario.report()
    finally:
        await scenario.stop(is_graceful=False)


@click.command()
@click.option(
    '--shape', type=click.Choice(sorted(SHAPE_BY_NAME)), default='omaheke'
)
@click.option('--seed', default=1, show_default=True)
@click.option('--folder', default=None, help='Where settings and logs go.')
def main(shape: str, seed: int, folder: str | None) -> None:
    """Show requests, feeds and failures on loopback."""
    path = Path(folder or tempfile.mkdtemp(prefix='ibispitch-demo-'))
    click.echo(f'logs and settings are in {path}')
    report = asyncio.run(run_demo(SHAPE_BY_NAME[shape], path, seed))
    click.echo(summary(report))
    sys.exit(1 if report.violations else 0)


if __name__ == '__main__':
    main()
