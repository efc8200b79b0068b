"""Planned changes that move a flow to another owner or lose it."""

import pytest

from ibispitch.ids import FlowId
from testbed.affinity_network import AffinityNetwork
from testbed.affinity_network import CALM
from testbed.affinity_network import ROUGH

FLOWS = [FlowId(number.to_bytes(6, 'big')) for number in range(200)]


def network(seed, conditions=CALM):
    net = AffinityNetwork(seed, conditions)
    net.join('a0')
    net.settle()
    net.run(2)
    for agent in ('a1', 'a2', 'a3'):
        net.join(agent, 'west')
    net.settle()
    net.run(2)
    open_flows(net)
    assert len(net.owner_by_flow) == len(FLOWS)
    return net


def open_flows(net):
    for flow in FLOWS:
        net.send_packet(flow)
        net.run(0.01)
    net.run(1)


def send_all(net, seconds):
    """Keep all flows busy while changes spread."""
    for _ in range(int(seconds)):
        for flow in FLOWS:
            net.send_packet(flow)
            net.run(1 / len(FLOWS))


def check_all_reach_owner(net):
    net.conditions = CALM
    net.settle()
    net.run(5)
    net.delivered.clear()
    for flow in FLOWS:
        for balancer in range(len(net.balancers)):
            net.send_packet(flow, balancer)
    net.run(1)
    assert net.violations == []
    for flow in FLOWS:
        assert net.owners(flow) == [net.owner_by_flow[flow]]
        assert net.delivered[flow] == len(net.balancers)


@pytest.mark.parametrize('seed', range(3))
def test_joins_and_drains_keep_owners(seed):
    """Guards against flows that a join or a drain moves or loses."""
    net = network(seed)
    before = dict(net.owner_by_flow)
    net.conditions = ROUGH
    net.join('a4')
    send_all(net, 1)
    net.drain('a1')
    send_all(net, 1)
    net.join('a5', 'west')
    net.drain('a0')
    send_all(net, 4)
    assert net.owner_by_flow == before
    check_all_reach_owner(net)
    assert net.owner_by_flow == before
