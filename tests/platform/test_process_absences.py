"""Flows of upstreams whose agent is away for long, with real processes.

An agent that is away, stands still or starts late says nothing of its
upstream, which goes on running and holds its flows.
"""

import asyncio
import signal

import pytest

from testbed.flow_callers import FlowCaller
from testbed.flow_platform import FEED
from testbed.flow_processes import FlowProcesses
from testbed.flow_processes import ProcessHost

pytestmark = pytest.mark.process

NETWORK = 46
#: Long enough for several repeated packets.
PATIENT_FEED = FEED._replace(objective_s=0.5, deadline_s=6.0)
CALLERS = 24
#: Longer than the time without a status after which agents of the version
#: before counted as lost (3.6 s, and 8 s after a planned stop).
ABSENCE_S = 5.0
RESTART_ABSENCE_S = 10.0


class Flows:
    """A deployment with idle flows at all upstreams."""

    def __init__(self, tmp_path):
        self.deployment = FlowProcesses(
            tmp_path, NETWORK, ['accra', 'kumasi'],
            [(name, 'counter') for name in ('accra', 'kumasi') * 2], seed=3,
        )  # fmt: skip
        self.callers: list[FlowCaller] = []

    async def open(self) -> None:
        """Start all parts and open the flows."""
        await self.deployment.start([PATIENT_FEED])
        await asyncio.sleep(1.0)
        for index in range(CALLERS):
            datacentre = ('accra', 'kumasi')[index % 2]
            self.callers.append(
                self.deployment.add_caller(
                    datacentre, PATIENT_FEED, is_long=True
                )
            )
        await self.use(PATIENT_FEED.deadline_s)
        assert all(c.requests[-1].answered_at for c in self.callers)

    async def use(self, for_s: float) -> None:
        """Send a request on each flow and wait for the answers."""
        for caller in self.callers:
            caller.ask()
        until = asyncio.get_running_loop().time() + for_s
        while asyncio.get_running_loop().time() < until and not all(
            c.requests[-1].answered_at for c in self.callers
        ):
            await asyncio.sleep(0.05)

    def wrongly_reset(self) -> list[str]:
        """Return the flows that were reset while an upstream holds them."""
        return [
            str(flow.address)
            for caller in self.callers
            for flow in caller.reset_flows
            if any(
                up.holds(flow.address) for _, up in self.deployment.upstreams
            )
        ]

    @property
    def victim(self) -> ProcessHost:
        """The agent that is disturbed."""
        return self.deployment.agents[0]


async def _kill(flows: Flows) -> None:
    flows.victim.process.kill()
    await flows.victim.process.wait()
    await asyncio.sleep(ABSENCE_S)


async def _suspend(flows: Flows) -> None:
    flows.victim.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(ABSENCE_S)


async def _stop(flows: Flows) -> None:
    flows.victim.process.terminate()
    await flows.victim.process.wait()
    await asyncio.sleep(RESTART_ABSENCE_S)


async def _kill_and_restart_balancers(flows: Flows) -> None:
    """New balancers learn of the absent agent from each other only."""
    await _kill(flows)
    for host in flows.deployment.balancers:
        await flows.deployment.kill(host)
        await asyncio.sleep(2.0)


async def _start_late(flows: Flows) -> None:
    """All processes crash; one agent is back later than the others."""
    for host in flows.deployment.hosts:
        host.process.kill()
        await host.process.wait()
    for host in flows.deployment.hosts:
        if host is not flows.victim:
            await flows.deployment._start(host)
    await asyncio.sleep(ABSENCE_S)


@pytest.mark.parametrize(
    'disturb',
    [_kill, _suspend, _stop, _kill_and_restart_balancers, _start_late],
)
async def test_flows_outlive_the_absence_of_their_agent(tmp_path, disturb):
    """Guards against resets of flows whose agent is silent.

    The callers send while the agent is away, and go on after its return.
    """
    flows = Flows(tmp_path)
    try:
        await flows.open()
        await disturb(flows)
        asking = asyncio.ensure_future(flows.use(PATIENT_FEED.deadline_s))
        await asyncio.sleep(1.5)
        host = flows.victim
        if host.process.returncode is None:
            host.process.send_signal(signal.SIGCONT)
        else:
            await flows.deployment._start(host)
        await asking
        assert flows.wrongly_reset() == []
        assert all(c.requests[-1].answered_at for c in flows.callers)
    finally:
        await flows.deployment.stop()


async def test_flows_outlive_the_deregistration_of_their_upstream(tmp_path):
    """Guards against resets while a deregistered upstream still runs.

    An upstream announces its end, and exits afterwards.
    """
    flows = Flows(tmp_path)
    try:
        await flows.open()
        host = flows.victim
        exiting = asyncio.ensure_future(
            flows.deployment.drain_upstream(host, 0.5, exit_s=1.5)
        )
        await asyncio.sleep(1.0)
        await flows.use(1.0)
        assert flows.wrongly_reset() == []
        await exiting
        # The flows of the ended upstream are given up at once.
        await flows.use(PATIENT_FEED.deadline_s)
        assert all(c.requests[-1].answered_at for c in flows.callers)
    finally:
        await flows.deployment.stop()
