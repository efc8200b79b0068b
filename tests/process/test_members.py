"""Balancers, agents and upstreams that fail or stop under load."""

import asyncio
import signal

import pytest

from ibispitch.catalogue.documents import DatacentreState
from testbed.callers import Outcome
from tests.process.running import running
from tests.process.running import SETTLE_S

pytestmark = pytest.mark.process

BALANCER_PAUSE_S = 8.0
#: Twice the lease of 3 s.
AGENT_PAUSE_S = 6.0
#: Targets of docs/design.md, section 1.6, plus the deadline of a stop.
DRAIN_S = 5.0


async def test_a_balancer_killed_and_another_joining(tmp_path):
    """Feeds must not break when balancers are replaced without warning."""
    async with running(tmp_path, 120, seed=120) as run:
        await run.scenario.kill_balancer('balancer-0')
        await run.scenario.join_balancer(run.deployment.add_balancer())
        await asyncio.sleep(SETTLE_S)
        run.deployment.balancer_ips.pop('balancer-0')


async def test_a_balancer_paused_and_continued(tmp_path):
    """A paused balancer must not act on its old tables or be shut out."""
    async with running(tmp_path, 121, seed=121) as run:
        ip = run.deployment.balancer_ips['balancer-1']
        run.deployment.supervisor.signal('balancer-1', signal.SIGSTOP)
        await asyncio.sleep(1.0)
        run.scenario.spray.balancers.remove(ip)
        await asyncio.sleep(BALANCER_PAUSE_S - 1.0)
        run.deployment.supervisor.signal('balancer-1', signal.SIGCONT)
        await asyncio.sleep(1.0)
        run.scenario.spray.balancers.append(ip)
        await asyncio.sleep(SETTLE_S)
        result = await run.scenario.editor.take_out_of_service('nowhere')
        await run.in_force(result.ok, 3.0)


async def test_an_agent_paused_past_its_lease_during_edits(tmp_path):
    """A paused agent must not run what others ran, nor lose its feeds."""
    async with running(tmp_path, 122, seed=122) as run:
        away = run.deployment.shape.datacentres[1]
        host = run.hosts(run.deployment.shape.datacentres[0])[0]
        name = f'agent-{host.name}'
        run.deployment.supervisor.signal(name, signal.SIGSTOP)
        await asyncio.sleep(AGENT_PAUSE_S / 2)
        run.scenario.give_up(run.hosts(away))
        out = await run.scenario.editor.take_out_of_service(away)
        edit = await run.scenario.editor.edit(
            run.service.name, {'limits': {'flows': 5000}}
        )
        await run.in_force(out.ok, 3.0)
        await run.in_force(edit.ok, 3.0)
        await asyncio.sleep(AGENT_PAUSE_S / 2)
        run.deployment.supervisor.signal(name, signal.SIGCONT)
        await asyncio.sleep(2 * SETTLE_S)
        back = await run.scenario.editor.return_to_service(away)
        await run.in_force(back.ok, 3.0)


async def test_an_upstream_killed_and_cold_again(tmp_path):
    """A crashed upstream must break only its own flows and double no run."""
    async with running(tmp_path, 123, seed=123) as run:
        host = run.hosts()[2]
        run.scenario.give_up([host])
        run.deployment.supervisor.kill(f'upstream-{host.name}')
        await asyncio.sleep(SETTLE_S)
        run.deployment.start_upstream(host)
        await asyncio.sleep(2 * SETTLE_S)


async def test_a_drained_agent(tmp_path):
    """A graceful stop must move feeds and interrupt no request."""
    async with running(tmp_path, 124, seed=124) as run:
        host = run.hosts()[0]
        name = f'agent-{host.name}'
        process = run.deployment.supervisor.process_by_name[name]
        run.deployment.supervisor.signal(name, signal.SIGTERM)
        run.deployment.supervisor.forget(name)
        await asyncio.sleep(DRAIN_S + SETTLE_S)
        assert process.wait(SETTLE_S) == 0
        answers = [answer.outcome for _, answer in run.scenario.answers]
        assert Outcome.UNKNOWN not in answers
        assert Outcome.NO_ANSWER not in answers


async def test_a_datacentre_out_and_back(tmp_path):
    """A removed data centre must get no packets 3 s after the edit."""
    async with running(tmp_path, 125, seed=125) as run:
        name = run.deployment.shape.datacentres[2]
        hosts = run.hosts(name)
        run.scenario.give_up(hosts)
        result = await run.scenario.editor.take_out_of_service(name)
        assert await run.scenario.seconds_to_last_packet(hosts, 7.0) <= 3.0
        await run.in_force(result.ok, 3.0)
        assert (await run.watch.local_state('balancer-0'))['datacentres'][
            name
        ] == DatacentreState.OUT.value
        result = await run.scenario.editor.return_to_service(name)
        await run.in_force(result.ok, 3.0)
        await asyncio.sleep(SETTLE_S)
