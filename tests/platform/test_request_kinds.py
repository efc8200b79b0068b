"""Requests of any kind are served, in whole deployments."""

import asyncio

from ibispitch.ids import Address
from ibispitch.routes.kinds import kind_named
from testbed.flow_callers import Outcome
from testbed.flow_platform import FEED
from testbed.flow_platform import RequestKind
from testbed.simulated_loop import simulate
from tests.platform.test_deployment import build
from tests.platform.test_deployment import check_errors

#: A kind of requests that no registry knows.
BATCH = RequestKind('batch', 'counter', Address('198.18.0.1', 9000), 0.12, 2.0)
SHEET = RequestKind(
    'download', 'counter', Address('198.18.0.1', 9001), 0.5, 5.0
)


def test_unknown_kinds_are_served():
    """Guards against callers that are refused for the kind of their requests.

    A route with an unknown type was left out of the table; a whole
    deployment served nothing of its downloads.
    """
    kinds = (BATCH, SHEET)

    async def scenario(loop):
        network = build(loop)
        network.configure(2, (FEED, *kinds))
        await network.start()
        callers = [
            network.add_caller('accra', kind)
            for kind in kinds
            for _ in range(10)
        ]
        await network.send_requests(callers, 40, 5)
        await asyncio.sleep(2)
        return network

    network = simulate(scenario)
    check_errors(network)
    assert network.outcomes()[Outcome.FAILED] == 0
    assert network.repeated_runs() == 0
    reported = {
        (line['name'], line['problem'], line['count'])
        for host in network.host_by_ip.values()
        for line in host.log_lines
        if line['event'] == 'routes.unreadable'
    }
    assert len(reported) == 1
    assert "'batch'" in next(iter(reported))[1]


def test_idempotent_requests_with_a_flow_each():
    """Guards against short flows that are placed like long ones.

    Until some flows were observed, flows of idempotent requests count as
    long. At the delivery association each request has a flow of its own.
    """

    async def scenario(loop):
        network = build(loop)
        await network.start()
        callers = [network.add_caller('accra', FEED) for _ in range(20)]
        await network.send_requests(callers, 60, 6)
        await asyncio.sleep(1)
        return network

    network = simulate(scenario)
    assert kind_named(FEED.kind).expects_long_flows
    destination = FEED.destination
    packed = bytes(
        int(part) for part in reversed(destination.ip.split('.'))
    ) + destination.port.to_bytes(2, 'little')
    assert {
        host.node.fleet.has_long_flows(packed) for host in network.balancers
    } == {False}


def test_flows_of_an_unknown_kind_that_are_reused():
    """Guards against long flows that pile up at a few upstreams."""

    async def scenario(loop):
        network = build(loop)
        network.configure(2, (BATCH,))
        await network.start()
        callers = [
            network.add_caller('accra', BATCH, is_long=True) for _ in range(60)
        ]
        for caller in callers * 3:
            caller.ask()
            await asyncio.sleep(0.02)
        await asyncio.sleep(1)
        return network

    network = simulate(scenario)
    check_errors(network)
    views = list(network.balancers[0].node.fleet.agents_of('counter'))
    assert sum(view.status.long_flows for view in views) == 60
