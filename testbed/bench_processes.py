"""Benchmark of real processes under planned changes and faults.

The faults are a killed balancer and cut connections to the store.

Run it with ``python -m testbed.bench_processes``.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from pathlib import Path
import signal
import sys
import tempfile
import time

from testbed.callers import Outcome
from testbed.deployment import Deployment
from testbed.deployment import OMAHEKE
from testbed.deployment import UpstreamHost
from testbed.figures import at_least
from testbed.figures import at_most
from testbed.figures import Figure
from testbed.figures import informative
from testbed.figures import print_figures
from testbed.relay import TcpRelay
from testbed.scenario import Scenario
from testbed.watch import VersionWatch

NETWORK = 134
SEED = 134
BALANCERS = 4
FEEDS = 2000
SUBMITTING_CALLERS = 10
SUBMIT_INTERVAL_S = 0.2
IDLE_WINDOW_S = 5.0
SETTLING_S = 4.0
CHANGE_SETTLING_S = 10.0
DRAINING_S = 8.0
OUT_WINDOW_S = 8.0

#: Counters of bytes sent for membership, gossip, leases, views and messages
#: between agents. They do not count requests to the store.
CONTROL_COUNTERS = ('membership.bytes_sent', 'agent.control_bytes_sent')

# Bounds from section 1.6 of docs/design.md.
MAX_BROKEN = 0
MAX_LAST_PACKET_S = 3.0
MAX_IN_FORCE_S = 3.0
MAX_IN_FORCE_HALF_CUT_S = 16.0
#: Time after which the measurement of an edit is abandoned.
IN_FORCE_TIMEOUT_S = 30.0
MAX_STEADY_IMBALANCE = 1.10
MAX_CHANGE_IMBALANCE = 1.25
MIN_GOODPUT_PERCENT = 99.0
MAX_CONTROL_BYTES_PER_S = 4000.0


class ProcessBench:
    """One run of the benchmark.

    :param folder: folder for settings and logs.
    """

    def __init__(self, folder: Path):
        self.deployment = Deployment(
            OMAHEKE, folder, NETWORK, balancers=BALANCERS
        )
        self.scenario = Scenario(self.deployment, SEED)
        self.watch = VersionWatch(self.deployment)
        self.figures: list[Figure] = []
        self._service = OMAHEKE.services[0]
        self._store_relays: list[TcpRelay] = []
        self._started_at = time.monotonic()

    def _add_figure(self, figure: Figure) -> None:
        self.figures.append(figure)
        elapsed = time.monotonic() - self._started_at
        print(f'[{elapsed:5.1f} s] {figure}', file=sys.stderr, flush=True)

    def _hosts(self, datacentre: str = '') -> list[UpstreamHost]:
        return [
            host
            for host in self.deployment.hosts
            if host.service == self._service
            and datacentre in ('', host.datacentre)
        ]

    async def run(self) -> list[Figure]:
        """Run all steps and return the figures."""
        try:
            await self._prepare()
            await self._measure_idle_traffic()
            await self._open_feeds()
            await self._make_planned_changes()
            await self._kill_balancer()
            await self._cut_store_connections()
            await self._datacentre_out_and_back()
            await self._report_outcomes()
        finally:
            for relay in self._store_relays:
                relay.stop()
            await self.watch.stop()
            await self.scenario.stop(is_graceful=False)
        return self.figures

    async def _prepare(self) -> None:
        for name in list(self.deployment.balancer_ips)[::2]:
            address = self.deployment.relay_address(name)
            relay = TcpRelay(address, self.deployment.store_address)
            await relay.start()
            self._store_relays.append(relay)
            self.deployment.store_by_balancer[name] = address
        await self.scenario.start()
        await self.watch.start()

    async def _control_bytes(self) -> dict[str, int]:
        """Return the control bytes that each process has sent."""
        states = await self.scenario.agent_states()
        for name in self.deployment.balancer_ips:
            state = await self.watch.local_state(name)
            if state is not None:
                states[name] = state
        return {
            name: sum(
                count
                for key, count in state['counters'].items()
                if key.startswith(CONTROL_COUNTERS)
            )
            for name, state in states.items()
        }

    async def _measure_idle_traffic(self) -> None:
        await asyncio.sleep(SETTLING_S)
        start = time.monotonic()
        before = await self._control_bytes()
        await asyncio.sleep(IDLE_WINDOW_S)
        after = await self._control_bytes()
        seconds = time.monotonic() - start
        rates = {
            name: (after[name] - sent) / seconds
            for name, sent in before.items()
        }
        for role in ('balancer', 'agent'):
            greatest = max(
                rate
                for name, rate in rates.items()
                if (name in self.deployment.balancer_ips)
                == (role == 'balancer')
            )
            self._add_figure(
                at_most(
                    f'processes.control_bytes_{role}',
                    greatest,
                    'bytes/s',
                    MAX_CONTROL_BYTES_PER_S,
                )
            )

    async def _open_feeds(self) -> None:
        start = time.monotonic()
        opened = 0
        while opened < FEEDS:
            established = await self.scenario.open_feeds(
                self._service, FEEDS - opened
            )
            if not established:
                raise RuntimeError(
                    f'only {opened} of {FEEDS} feeds could be opened'
                )
            opened += established
        seconds = time.monotonic() - start
        self._add_figure(informative('processes.feeds', opened, 'flows'))
        self._add_figure(
            informative('processes.feeds_opened', opened / seconds, '1/s')
        )
        silent = await self.scenario.wait_for_feeds()
        self._add_figure(
            at_most('processes.silent_at_start', silent, 'flows', 0)
        )
        await self._add_imbalance('steady', MAX_STEADY_IMBALANCE)
        self.scenario.start_requests(
            self._service, SUBMITTING_CALLERS, SUBMIT_INTERVAL_S
        )

    async def _flow_imbalance(
        self, hosts_out: Iterable[UpstreamHost] = ()
    ) -> float:
        """Return the maximum over the mean flow count of agents.

        Draining agents are left out.

        :param hosts_out: hosts that are out of service, left out too.
        """
        states = await self.scenario.agent_states()
        flows = [
            states[host.name]['flows']
            for host in set(self._hosts()) - set(hosts_out)
            if host.name in states and not states[host.name]['is_draining']
        ]
        return max(flows) * len(flows) / sum(flows)

    async def _add_imbalance(
        self, when: str, bound: float, hosts_out: Iterable[UpstreamHost] = ()
    ) -> None:
        ratio = await self._flow_imbalance(hosts_out)
        self._add_figure(
            at_most(f'processes.imbalance_{when}', ratio, 'ratio', bound)
        )

    async def _count_broken(self, name: str, change: Awaitable) -> None:
        """Await a change and count the feeds that receive no more data."""
        await change
        silent = await self.scenario.wait_for_feeds()
        self._add_figure(
            at_most(f'processes.broken_{name}', silent, 'flows', MAX_BROKEN)
        )

    async def _make_planned_changes(self) -> None:
        await self._count_broken(
            'balancer_leaves_and_joins', self._replace_balancer()
        )
        await self._count_broken('upstream_drains', self._drain_agent())
        await self._add_imbalance('after_drain', MAX_CHANGE_IMBALANCE)
        await self._count_broken('catalogue_edit', self._edit_entry())

    async def _replace_balancer(self) -> None:
        await self.scenario.stop_balancer('balancer-1')
        self.deployment.balancer_ips.pop('balancer-1')
        await self.scenario.join_balancer(self.deployment.add_balancer())

    async def _drain_agent(self) -> None:
        supervisor = self.deployment.supervisor
        name = f'agent-{self._hosts()[0].name}'
        supervisor.signal(name, signal.SIGTERM)
        supervisor.stop_monitoring(name)
        await asyncio.sleep(DRAINING_S)

    async def _edit_entry(self) -> None:
        seconds = await self._seconds_in_force(
            lambda: self.scenario.editor.edit(
                self._service.name, {'limits': {'flows': 100_000}}
            ),
        )
        self._add_figure(
            at_most('processes.in_force', seconds, 's', MAX_IN_FORCE_S)
        )

    async def _seconds_in_force(self, edit: Callable[[], Awaitable]) -> float:
        accepted = (await edit()).ok
        return await self.watch.seconds_until(
            accepted.key,
            accepted.version,
            self.deployment.balancer_ips,
            IN_FORCE_TIMEOUT_S,
        )

    async def _kill_balancer(self) -> None:
        async def kill_and_replace() -> None:
            await self.scenario.kill_balancer('balancer-3')
            self.deployment.balancer_ips.pop('balancer-3')
            await self.scenario.join_balancer(self.deployment.add_balancer())

        await self._count_broken('balancer_killed', kill_and_replace())

    async def _cut_store_connections(self) -> None:
        for relay in self._store_relays:
            relay.cut()
        seconds = await self._seconds_in_force(
            lambda: self.scenario.editor.edit(
                self._service.name, {'limits': {'flows': 90_000}}
            ),
        )
        self._add_figure(
            at_most(
                'processes.in_force_half_cut',
                seconds,
                's',
                MAX_IN_FORCE_HALF_CUT_S,
            )
        )
        for relay in self._store_relays:
            relay.restore()

    async def _datacentre_out_and_back(self) -> None:
        name = OMAHEKE.datacentres[2]
        hosts = self._hosts(name)
        self.scenario.expect_feeds_to_end(hosts)
        before = len(self.scenario.answers)
        accepted = await self.scenario.editor.take_out_of_service(name)
        if accepted.is_error():
            raise RuntimeError(str(accepted.error))
        last_packet_s = await self.scenario.seconds_to_last_packet(
            hosts, OUT_WINDOW_S
        )
        self._add_figure(
            at_most(
                'processes.last_packet_after_out',
                last_packet_s,
                's',
                MAX_LAST_PACKET_S,
            )
        )
        answers = [answer for _, answer in self.scenario.answers[before:]]
        completed = sum(answer.outcome is Outcome.RESULT for answer in answers)
        self._add_figure(
            at_least(
                'processes.goodput_out',
                100 * completed / len(answers),
                '%',
                MIN_GOODPUT_PERCENT,
            )
        )
        await self._count_broken('datacentre_out', asyncio.sleep(0))
        await self._add_imbalance('after_out', MAX_CHANGE_IMBALANCE, hosts)
        await self.scenario.editor.return_to_service(name)
        await self._count_broken(
            'datacentre_back', asyncio.sleep(CHANGE_SETTLING_S)
        )
        await self._add_imbalance('after_return', MAX_CHANGE_IMBALANCE)

    async def _report_outcomes(self) -> None:
        await self.scenario.stop_requests()
        for name in self.deployment.supervisor.unexpected_exits():
            print(f'{name} ended by itself:', file=sys.stderr)
            print(self.deployment.supervisor.output(name), file=sys.stderr)
        report = self.scenario.report()
        outcomes = Counter(
            {o.value: n for o, n in report.count_by_outcome.items()}
        )
        self._add_figure(
            informative('processes.requests', outcomes.total(), 'count')
        )
        for name, value in (
            ('broken', report.broken),
            ('doubled_runs', report.repeated_runs),
            ('false_refusals', report.false_refusals),
            ('wrong_service', report.wrong_service),
            ('crossed_answers', report.mismatched_answers),
            ('reverted_versions', len(self.watch.reverted)),
            (
                'ended_processes',
                len(self.deployment.supervisor.unexpected_exits()),
            ),
        ):
            self._add_figure(at_most(f'processes.{name}', value, 'count', 0))
        for outcome in ('not_run', 'unknown', 'no_answer', 'error'):
            self._add_figure(
                informative(f'processes.{outcome}', outcomes[outcome], 'count')
            )


def run() -> list[Figure]:
    """Run the benchmark and return its figures."""
    with tempfile.TemporaryDirectory(prefix='ibispitch-bench-') as folder:
        return asyncio.run(ProcessBench(Path(folder)).run())


if __name__ == '__main__':
    sys.exit(0 if print_figures(run()) else 1)
