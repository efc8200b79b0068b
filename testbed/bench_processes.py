"""Measures real processes under planned changes, cuts and kills.

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
SUBMITTERS = 10
SUBMIT_INTERVAL_S = 0.2
QUIET_S = 5.0
SETTLE_S = 4.0
CHANGE_S = 10.0
DRAIN_S = 8.0
OUT_S = 8.0

#: Bytes for membership, gossip, leases, views and messages between agents.
#: Calls of the store are not in them.
CONTROL_COUNTERS = ('membership.bytes_sent', 'agent.control_bytes_sent')

# Bounds of docs/design.md, section 1.6.
BROKEN_BOUND = 0
OUT_BOUND_S = 3.0
IN_FORCE_BOUND_S = 3.0
CUT_BOUND_S = 16.0
#: A measurement is given up after this time.
IN_FORCE_LIMIT_S = 30.0
STEADY_BOUND = 1.10
CHANGED_BOUND = 1.25
GOODPUT_BOUND_PERCENT = 99.0
CONTROL_BOUND_BYTES_PER_S = 4000.0


class ProcessBench:
    """One run of the measurement.

    :param folder: where settings and logs go.
    """

    def __init__(self, folder: Path):
        self.deployment = Deployment(
            OMAHEKE, folder, NETWORK, balancers=BALANCERS
        )
        self.scenario = Scenario(self.deployment, SEED)
        self.watch = VersionWatch(self.deployment)
        self.figures: list[Figure] = []
        self._service = OMAHEKE.services[0]
        self._relays: list[TcpRelay] = []
        self._start = time.monotonic()

    def _add(self, figure: Figure) -> None:
        self.figures.append(figure)
        elapsed = time.monotonic() - self._start
        print(f'[{elapsed:5.1f} s] {figure}', file=sys.stderr, flush=True)

    def _hosts(self, datacentre: str = '') -> list[UpstreamHost]:
        return [
            host
            for host in self.deployment.hosts
            if host.service == self._service
            and datacentre in ('', host.datacentre)
        ]

    async def run(self) -> list[Figure]:
        """Run all steps.

        :returns: the figures.
        """
        try:
            await self._prepare()
            await self._quiet()
            await self._open()
            await self._planned_changes()
            await self._kill()
            await self._cut()
            await self._datacentre_out_and_back()
            await self._finish()
        finally:
            for relay in self._relays:
                relay.stop()
            await self.watch.stop()
            await self.scenario.stop(is_graceful=False)
        return self.figures

    async def _prepare(self) -> None:
        for name in list(self.deployment.balancer_ips)[::2]:
            address = self.deployment.relay_address(name)
            relay = TcpRelay(address, self.deployment.store_address)
            await relay.start()
            self._relays.append(relay)
            self.deployment.store_by_balancer[name] = address
        await self.scenario.start()
        await self.watch.start()

    async def _control_bytes(self) -> dict[str, int]:
        """Bytes that each process has sent for control."""
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

    async def _quiet(self) -> None:
        await asyncio.sleep(SETTLE_S)
        start = time.monotonic()
        before = await self._control_bytes()
        await asyncio.sleep(QUIET_S)
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
            self._add(
                at_most(
                    f'processes.control_bytes_{role}',
                    greatest,
                    'bytes/s',
                    CONTROL_BOUND_BYTES_PER_S,
                )
            )

    async def _open(self) -> None:
        start = time.monotonic()
        opened = 0
        while opened < FEEDS:
            established = await self.scenario.open_feeds(
                self._service, FEEDS - opened
            )
            if not established:
                raise RuntimeError(f'only {opened} feeds could be opened')
            opened += established
        seconds = time.monotonic() - start
        self._add(informative('processes.feeds', opened, 'flows'))
        self._add(
            informative('processes.feeds_opened', opened / seconds, '1/s')
        )
        silent = await self.scenario.wait_for_feeds()
        self._add(at_most('processes.silent_at_start', silent, 'flows', 0))
        await self._add_imbalance('steady', STEADY_BOUND)
        self.scenario.submit_steadily(
            self._service, SUBMITTERS, SUBMIT_INTERVAL_S
        )

    async def _imbalance(self, without: Iterable[UpstreamHost] = ()) -> float:
        """Compare the flows of the agents that take new ones.

        :param without: hosts that are out of service.
        :returns: maximum over mean.
        """
        states = await self.scenario.agent_states()
        flows = [
            states[host.name]['flows']
            for host in set(self._hosts()) - set(without)
            if host.name in states and not states[host.name]['is_draining']
        ]
        return max(flows) * len(flows) / sum(flows)

    async def _add_imbalance(
        self, when: str, bound: float, without: Iterable[UpstreamHost] = ()
    ) -> None:
        ratio = await self._imbalance(without)
        self._add(
            at_most(f'processes.imbalance_{when}', ratio, 'ratio', bound)
        )

    async def _change(self, name: str, change: Awaitable) -> None:
        """Make a planned change and count the feeds that fall silent."""
        await change
        silent = await self.scenario.wait_for_feeds()
        self._add(
            at_most(f'processes.broken_{name}', silent, 'flows', BROKEN_BOUND)
        )

    async def _planned_changes(self) -> None:
        await self._change('balancer_leaves_and_joins', self._replace())
        await self._change('upstream_drains', self._drain())
        await self._add_imbalance('after_drain', CHANGED_BOUND)
        await self._change('catalogue_edit', self._edit())

    async def _replace(self) -> None:
        await self.scenario.leave_balancer('balancer-1')
        self.deployment.balancer_ips.pop('balancer-1')
        await self.scenario.join_balancer(self.deployment.add_balancer())

    async def _drain(self) -> None:
        supervisor = self.deployment.supervisor
        name = f'agent-{self._hosts()[0].name}'
        supervisor.signal(name, signal.SIGTERM)
        supervisor.forget(name)
        await asyncio.sleep(DRAIN_S)

    async def _edit(self) -> None:
        seconds = await self._seconds_in_force(
            lambda: self.scenario.editor.edit(
                self._service.name, {'limits': {'flows': 100_000}}
            ),
        )
        self._add(
            at_most('processes.in_force', seconds, 's', IN_FORCE_BOUND_S)
        )

    async def _seconds_in_force(self, edit: Callable[[], Awaitable]) -> float:
        accepted = (await edit()).ok
        return await self.watch.seconds_until(
            accepted.key,
            accepted.version,
            self.deployment.balancer_ips,
            IN_FORCE_LIMIT_S,
        )

    async def _kill(self) -> None:
        async def kill() -> None:
            await self.scenario.kill_balancer('balancer-3')
            self.deployment.balancer_ips.pop('balancer-3')
            await self.scenario.join_balancer(self.deployment.add_balancer())

        await self._change('balancer_killed', kill())

    async def _cut(self) -> None:
        for relay in self._relays:
            relay.cut()
        seconds = await self._seconds_in_force(
            lambda: self.scenario.editor.edit(
                self._service.name, {'limits': {'flows': 90_000}}
            ),
        )
        self._add(
            at_most('processes.in_force_half_cut', seconds, 's', CUT_BOUND_S)
        )
        for relay in self._relays:
            relay.restore()

    async def _datacentre_out_and_back(self) -> None:
        name = OMAHEKE.datacentres[2]
        hosts = self._hosts(name)
        self.scenario.give_up(hosts)
        before = len(self.scenario.answers)
        accepted = await self.scenario.editor.take_out_of_service(name)
        if accepted.is_error():
            raise RuntimeError(str(accepted.error))
        last_s = await self.scenario.seconds_to_last_packet(hosts, OUT_S)
        self._add(
            at_most(
                'processes.last_packet_after_out', last_s, 's', OUT_BOUND_S
            )
        )
        answers = [answer for _, answer in self.scenario.answers[before:]]
        done = sum(answer.outcome is Outcome.RESULT for answer in answers)
        self._add(
            at_least(
                'processes.goodput_out',
                100 * done / len(answers),
                '%',
                GOODPUT_BOUND_PERCENT,
            )
        )
        await self._change('datacentre_out', asyncio.sleep(0))
        await self._add_imbalance('after_out', CHANGED_BOUND, hosts)
        await self.scenario.editor.return_to_service(name)
        await self._change('datacentre_back', asyncio.sleep(CHANGE_S))
        await self._add_imbalance('after_return', CHANGED_BOUND)

    async def _finish(self) -> None:
        await self.scenario.stop_load()
        for name in self.deployment.supervisor.dead():
            print(f'{name} ended by itself:', file=sys.stderr)
            print(self.deployment.supervisor.output(name), file=sys.stderr)
        report = self.scenario.report()
        outcomes = Counter(
            {o.value: n for o, n in report.count_by_outcome.items()}
        )
        self._add(informative('processes.requests', outcomes.total(), 'count'))
        for name, value in (
            ('broken', report.broken),
            ('doubled_runs', report.doubled),
            ('false_refusals', report.false_refusals),
            ('wrong_service', report.wrong_service),
            ('crossed_answers', report.mismatched),
            ('reverted_versions', len(self.watch.reverted)),
            ('ended_processes', len(self.deployment.supervisor.dead())),
        ):
            self._add(at_most(f'processes.{name}', value, 'count', 0))
        for outcome in ('not_run', 'unknown', 'no_answer', 'error'):
            self._add(
                informative(f'processes.{outcome}', outcomes[outcome], 'count')
            )


def run() -> list[Figure]:
    """Measure and return the figures."""
    with tempfile.TemporaryDirectory(prefix='ibispitch-bench-') as folder:
        return asyncio.run(ProcessBench(Path(folder)).run())


if __name__ == '__main__':
    sys.exit(0 if print_figures(run()) else 1)
