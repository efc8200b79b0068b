"""Loads of a fleet of 195 processes in five data centres.

The fleet has the size of the large deployment: 60 balancers and 135 agents
with upstreams of one slot.
"""

import asyncio

from ibispitch.ids import Address
from testbed.flow_callers import Outcome
from testbed.flow_network import FlowNetwork
from testbed.flow_platform import RequestKind
from testbed.simulated_loop import simulate
from tests.platform.test_deployment import check_errors

DATACENTRES = {f'khomas-{letter}': 12 for letter in 'abcde'}
AGENTS_PER_DATACENTRE = 27
FEED = RequestKind(
    'safe', 'returns', Address('198.18.0.1', 443), 0.653, 4.35, 2
)
SUBMIT = RequestKind(
    'unsafe', 'returns', Address('198.18.0.1', 8080), 0.65, 4.33
)
#: The load of the deployment, a third of the slots.
REQUESTS_PER_S = 600
#: Targets of the large deployment: a fifth of the 33 MB that crossed data
#: centres in the first 8 s of a day, and the calls to the store at a start.
MAX_START_BYTES = 6.6e6
MAX_START_CALLS = 60


def build(loop) -> FlowNetwork:
    agents = [
        (name, 'returns')
        for name in DATACENTRES
        for _ in range(AGENTS_PER_DATACENTRE)
    ]
    network = FlowNetwork(loop, DATACENTRES, agents, slots=1, work_s=0.055)
    network.cold_openings_per_s = 4.0
    network.configure(1, (FEED, SUBMIT))
    return network


def add_callers(network: FlowNetwork) -> list:
    return [
        network.add_caller(name, kind, is_long)
        for name in DATACENTRES
        for kind, is_long, count in ((FEED, True, 60), (SUBMIT, False, 20))
        for _ in range(count)
    ]


def test_start_of_all_processes():
    """Guards against a storm of messages and calls at a start.

    Each balancer sent a full status to each agent that a new balancer listed:
    65 MB between data centres in 8 s. Each process read the store.
    """

    async def scenario(loop):
        network = build(loop)
        await network.start()
        await asyncio.sleep(5.0)
        return network

    network = simulate(scenario)
    assert network.crossing_bytes <= MAX_START_BYTES
    assert network.store.calls <= MAX_START_CALLS
    for host in network.balancers:
        assert len(host.node.fleet.agents_by_ip) == len(network.agents)


def test_flows_stay_in_their_data_centre():
    """Guards against payload that crosses data centres without need.

    Two thirds of the slots of each data centre are free.
    """

    async def scenario(loop):
        network = build(loop)
        await network.start()
        load = network.send_requests(add_callers(network), REQUESTS_PER_S, 4)
        await load
        await asyncio.sleep(1.0)
        return network

    network = simulate(scenario)
    check_errors(network)
    counts = network.outcomes()
    assert counts[Outcome.FAILED] == 0
    datacentre_by_ip = {
        host.ip: host.datacentre for host in network.host_by_ip.values()
    }
    placed = [
        datacentre_by_ip[line['agent']] == host.datacentre
        for host in network.balancers
        for line in host.log_lines
        if line['event'] == 'flow.placed'
    ]
    assert sum(placed) > 0.95 * len(placed)


def test_all_power_lost():
    """Guards against a recovery that takes longer at this size.

    Upstreams are cold for two seconds after their return. Once they are warm,
    requests that arrive must be in time although a backlog waits.
    """

    async def scenario(loop):
        network = build(loop)
        await network.start()
        load = loop.create_task(
            network.send_requests(add_callers(network), REQUESTS_PER_S, 9)
        )
        await asyncio.sleep(2.0)
        network.lost_at = loop.now
        for host in (*network.balancers, *network.agents):
            network.kill(host, 1.0 + network.rng.uniform(0.0, 0.35))
        for host in network.agents:
            host.upstream.crash()
            loop.call_later(1.0, network.start_upstream, host, 2.0)
        await load
        await asyncio.sleep(4.0)
        return network

    network = simulate(scenario)
    check_errors(network)
    lost_at = network.lost_at
    warm = network.outcomes(lost_at + 3.2)
    assert warm[Outcome.IN_TIME] > 0.95 * sum(warm.values())
    # A request with an open flow to a lost upstream runs at another one.
    dark = network.outcomes(lost_at, lost_at + 3.2)
    assert dark[Outcome.FAILED] <= 0.05 * sum(dark.values())
    for upstream in {up for _, up in network.upstreams if up.openings}:
        cold = [o for o in upstream.openings if o.at < lost_at + 3.0]
        if upstream.started_at > lost_at:
            upstream.openings = cold
            assert network.max_openings(upstream, 1.0) <= 11
