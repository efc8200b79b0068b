"""Reports between data centres while processes and links fail."""

import asyncio

from msgspec.structs import replace
import pytest

from ibispitch.fleet.core import LOST_S
from ibispitch.platform import balancer as balancer_program
from ibispitch.platform.statuses import BalancerStatuses
from testbed.flow_callers import Outcome
from testbed.flow_network import FlowNetwork
from testbed.flow_platform import FEED
from testbed.flow_platform import QUOTE
from testbed.simulated_loop import simulate
from tests.platform.test_deployment import check_errors
from tests.platform.test_deployment import share_in_time

DATACENTRES = {'accra': 3, 'kumasi': 3, 'tema': 3}
AGENTS = [(name, 'counter') for name in DATACENTRES for _ in range(3)]
#: Reports to a balancer of the version before that the others take for the
#: process of the new version which ran on its host, for a status interval.
MAX_EARLY_REPORTS = 4


async def start(loop, **options) -> FlowNetwork:
    network = FlowNetwork(loop, DATACENTRES, AGENTS, **options)
    network.configure(1, (FEED, QUOTE))
    await network.start()
    await asyncio.sleep(3.0)
    return network


def views(network, hosts):
    """Return what other data centres know of the agents of a host."""
    for host in hosts:
        for view in host.node.fleet.agents_by_ip.values():
            if view.status.datacentre != host.datacentre:
                yield host, view


def suspects(network, hosts):
    return [
        view.ip
        for host, view in views(network, hosts)
        if not host.node.fleet.has_recent_status(view, host.clock())
    ]


def add_callers(network, datacentres):
    """Add callers of some data centres; others have no balancers left."""
    return [
        network.add_caller(name, kind, kind is FEED)
        for name in datacentres
        for kind in (FEED, QUOTE)
        for _ in range(15)
    ]


def balancers_of(network, datacentre):
    return [h for h in network.balancers if h.datacentre == datacentre]


def test_reports_replace_statuses():
    """Guards against reports beside the statuses instead of in their place."""

    async def scenario(loop):
        network = await start(loop)
        await asyncio.sleep(5.0)
        return network

    network = simulate(scenario)
    check_errors(network)
    known = list(views(network, network.balancers))
    assert len(known) == 9 * 6
    assert all(view.is_reported for _, view in known)
    assert suspects(network, network.balancers) == []


@pytest.mark.parametrize('is_stopped', [False, True])
def test_reporter_ends(is_stopped):
    """Guards against agents that are suspect because their reporter is gone.

    Another balancer takes over within a second; meanwhile late agents are
    asked directly.
    """

    async def scenario(loop):
        network = await start(loop)
        reporter = balancers_of(network, 'accra')[0]
        others = [h for h in network.balancers if h is not reporter]
        if is_stopped:
            loop.create_task(network.stop(reporter))
        else:
            network.kill(reporter, None)
        worst = 0
        for _ in range(80):
            await asyncio.sleep(0.1)
            worst = max(worst, len(suspects(network, others)))
        return network, worst

    network, worst = simulate(scenario)
    check_errors(network)
    assert worst == 0


def test_reports_while_the_reporters_are_cut_off():
    """Guards against a whole fleet that depends on some links.

    The reporter of each data centre can't reach any other data centre.
    """

    async def scenario(loop):
        network = await start(loop)
        reporters = [balancers_of(network, name)[0] for name in DATACENTRES]
        for one in reporters:
            for other in network.host_by_ip.values():
                if other.datacentre != one.datacentre:
                    network.cut_pairs.add(frozenset((one.name, other.name)))
        others = [h for h in network.balancers if h not in reporters]
        worst = 0
        for _ in range(150):
            await asyncio.sleep(0.1)
            lost = [
                view
                for host, view in views(network, others)
                if host.node.fleet.find_loss(
                    view.ip, view.status.incarnation, host.clock()
                )
            ]
            worst = max(worst, len(lost))
        return network, worst

    network, worst = simulate(scenario)
    check_errors(network)
    assert worst == 0


def test_datacentre_without_balancers_sends_statuses():
    """Guards against upstreams that nobody knows without a balancer near."""

    async def scenario(loop):
        network = await start(loop)
        for host in balancers_of(network, 'tema'):
            network.kill(host, None)
        others = [h for h in network.balancers if h.datacentre != 'tema']
        await asyncio.sleep(8.0)
        seen = suspects(network, others)
        callers = add_callers(network, ('accra', 'kumasi'))
        asked_at = loop.now
        await network.send_requests(callers, 60, 4)
        await asyncio.sleep(3.0)
        return network, seen, asked_at

    network, seen, asked_at = simulate(scenario)
    check_errors(network)
    assert seen == []
    assert network.outcomes(asked_at)[Outcome.FAILED] == 0


class FormerStatuses(BalancerStatuses):
    """Status messages of a balancer without reports."""

    received_reports = 0

    def _make_status(self, *args, **options):
        status = super()._make_status(*args, **options)
        return replace(status, passes_on=False)

    def receive_report(self, ip, report):
        FormerStatuses.received_reports += 1


def test_processes_of_the_version_before(monkeypatch):
    """Guards against agents that a balancer without reports doesn't know."""

    async def scenario(loop):
        network = await start(loop)
        former = balancers_of(network, 'accra')[0]
        network.kill(former, None)
        await asyncio.sleep(0.5)
        with monkeypatch.context() as patch:
            patch.setattr(balancer_program, 'BalancerStatuses', FormerStatuses)
            network.start_process(former)
        await asyncio.sleep(4.0)
        worst = 0
        for _ in range(100):
            await asyncio.sleep(0.1)
            worst = max(worst, len(suspects(network, [former])))
        return network, len(list(views(network, [former]))), worst

    network, known, worst = simulate(scenario)
    check_errors(network)
    assert known == 6
    assert worst == 0
    assert FormerStatuses.received_reports <= MAX_EARLY_REPORTS


def test_flows_of_a_lost_data_centre_end_soon():
    """Guards against callers that wait for a data centre that is gone.

    All hosts of a data centre lose power while balancers elsewhere forward
    flows to it.
    """

    async def scenario(loop):
        network = await start(loop)
        callers = add_callers(network, ('accra', 'kumasi'))
        load = loop.create_task(network.send_requests(callers, 100, 16))
        await asyncio.sleep(3.0)
        lost_at = loop.now
        for host in (*network.balancers, *network.agents):
            if host.datacentre == 'tema':
                network.kill(host, None)
                if host.upstream is not None:
                    host.upstream.crash()
        await load
        await asyncio.sleep(3.0)
        return network, lost_at

    network, lost_at = simulate(scenario)
    check_errors(network)
    assert share_in_time(network, lost_at + 2 * LOST_S) > 0.95
