"""Tests that planned changes of the fleet keep the owner of each flow."""

import pytest

from ibispitch.affinity import AffinityCore
from ibispitch.ids import FlowId
from testbed.affinity_baselines import ChainCore
from testbed.affinity_baselines import TellNothingCore
from testbed.affinity_network import AffinityNetwork
from testbed.affinity_network import MANY_FAULTS
from testbed.affinity_network import NO_FAULTS

FLOWS = [FlowId(number.to_bytes(6, 'big')) for number in range(200)]


def network(seed, make_core=AffinityCore):
    net = AffinityNetwork(seed, NO_FAULTS, make_core=make_core)
    net.join('a0')
    net.publish_now()
    net.run(2)
    for agent in ('a1', 'a2', 'a3'):
        net.join(agent, 'west')
    net.publish_now()
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
    """Send one packet of each flow a second while changes take effect."""
    for _ in range(int(seconds)):
        for flow in FLOWS:
            net.send_packet(flow)
            net.run(1 / len(FLOWS))


def check_all_reach_owner(net):
    net.conditions = NO_FAULTS
    net.publish_now()
    net.run(5)
    net.deliveries_by_flow.clear()
    for flow in FLOWS:
        for balancer in range(len(net.balancers)):
            net.send_packet(flow, balancer)
    net.run(1)
    assert net.violations == []
    for flow in FLOWS:
        assert net.living_owners(flow) == [net.owner_by_flow[flow]]
        assert net.deliveries_by_flow[flow] == len(net.balancers)


@pytest.mark.parametrize('seed', range(3))
def test_joins_and_drains_keep_owners(seed):
    """Guards against flows that a join or a drain moves or loses."""
    net = network(seed)
    before = dict(net.owner_by_flow)
    net.conditions = MANY_FAULTS
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


@pytest.mark.parametrize('seed', range(3))
def test_datacentre_out_and_back_keeps_other_flows(seed):
    """Guards against changed owners outside the data centre."""
    net = network(seed)
    elsewhere = {
        flow: owner
        for flow, owner in net.owner_by_flow.items()
        if owner != 'a0'
    }
    net.conditions = MANY_FAULTS
    net.set_datacentre('east', True)
    send_all(net, 5)
    net.set_datacentre('east', False)
    send_all(net, 5)
    assert elsewhere.items() <= net.owner_by_flow.items()
    check_all_reach_owner(net)
    assert elsewhere.items() <= net.owner_by_flow.items()


@pytest.mark.parametrize('seed', range(3))
def test_successor_keeps_flows_and_directory(seed):
    """Guards against flows lost when a process is replaced."""
    net = network(seed)
    before = dict(net.owner_by_flow)
    net.conditions = MANY_FAULTS
    for agent in ('a1', 'a2'):
        net.replace(agent)
        send_all(net, 2)
    assert net.owner_by_flow == before
    check_all_reach_owner(net)
    assert net.owner_by_flow == before


def count_broken_flows(make_core, changes):
    """Return the number of flows that get a second owner."""
    net = network(1, make_core)
    for change in changes:
        change(net)
        net.publish_now()
        net.run(2)
        for flow in FLOWS:
            net.send_packet(flow)
        net.run(1)
    return len({violation.flow for violation in net.violations})


def join_fourth(net):
    net.join('a4')


def join_fifth(net):
    net.join('a5')


def drain_first(net):
    net.drain('a0')


def test_tell_nothing_breaks_flows_on_one_change():
    """Shows that the check finds the fault of the simplest baseline."""
    assert count_broken_flows(TellNothingCore, [join_fourth]) > 10
    assert count_broken_flows(AffinityCore, [join_fourth]) == 0


def test_chain_breaks_flows_on_two_changes():
    """Shows that remembering one previous home is not enough."""
    changes = [drain_first, join_fourth, join_fifth]
    assert count_broken_flows(ChainCore, changes[:1]) == 0
    assert count_broken_flows(ChainCore, changes) > 3
    assert count_broken_flows(AffinityCore, changes) == 0
