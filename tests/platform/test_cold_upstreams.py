"""New flows while some upstreams are cold and others are warm."""

import asyncio

from testbed.flow_callers import Outcome
from testbed.flow_network import FlowNetwork
from testbed.flow_platform import FEED
from testbed.flow_platform import QUOTE
from testbed.simulated_loop import simulate
from tests.platform.test_deployment import check_errors

UPSTREAMS = 10
COLD_S = 2.0


def test_long_flows_beside_replaced_upstreams():
    """Guards against openings that wait for a cold upstream beside warm ones.

    A new upstream has no flows and looks best for a long flow. Its few places
    were left to more urgent openings, and the long flow was chosen for it
    again and again until it was late, while half of the warm slots were free
    (osa-returns-now-grown, trouble-1 from 4 s to 8 s).
    """

    async def scenario(loop):
        agents = [('accra', 'counter')] * UPSTREAMS
        network = FlowNetwork(loop, {'accra': 3}, agents)
        network.configure(1, (FEED, QUOTE))
        await network.start()
        feeds = [
            network.add_caller('accra', FEED, is_long=True)
            for _ in range(1200)
        ]
        quotes = [network.add_caller('accra', QUOTE) for _ in range(60)]
        for callers, per_s in ((feeds, 180), (quotes, 80)):
            loop.create_task(network.send_requests(callers, per_s, 9))
        await asyncio.sleep(3.0)
        for host in network.agents[:3]:
            host.upstream.crash()
            network.start_upstream(host, COLD_S)
            await asyncio.sleep(1.0)
        await asyncio.sleep(6.0)
        return network

    network = simulate(scenario)
    check_errors(network)
    waited = [
        line['waited_ms']
        for host in network.balancers
        for line in host.log_lines
        if line['event'] == 'flow.placed'
    ]
    assert sum(ms > 50 for ms in waited) <= 0.005 * len(waited)
    counts = network.outcomes(6.0)
    assert counts[Outcome.LATE] <= 0.01 * sum(counts.values())
