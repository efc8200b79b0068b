"""Deployments whose store comes back from a copy some seconds old."""

import asyncio

import pytest

from testbed.flow_network import FlowNetwork
from testbed.flow_platform import FEED
from testbed.flow_platform import QUOTE
from testbed.memory_store import Fault
from testbed.simulated_loop import simulate
from tests.platform.test_deployment import add_callers
from tests.platform.test_deployment import AGENTS
from tests.platform.test_deployment import build
from tests.platform.test_deployment import check_errors

#: Time within which an edit has to be in force, ``bounds.config_ms``.
CONFIGURATION_S = 3.0
#: Changes by others between the copy and the loss, far more than the operator
#: makes in the rest of a test.
FORGOTTEN_WRITES = 400
LARGE = {'accra': 8, 'kumasi': 8, 'tema': 8}
#: Time that the store is away.
AWAY_S = 0.6


async def lose_and_restore(network: FlowNetwork, copy) -> None:
    """Take the store away for a moment and bring it back from a copy."""
    network.store.fault = Fault.RESET
    await asyncio.sleep(AWAY_S)
    network.store.restore(copy)
    network.store.fault = Fault.NONE


def make_forgotten_writes(network: FlowNetwork) -> None:
    for number in range(FORGOTTEN_WRITES):
        network.store.write('servers/other', b'%d' % number)


def versions(network: FlowNetwork) -> set[int]:
    return {h.node.routes.version for h in network.host_by_ip.values()}


@pytest.mark.parametrize('datacentres', [{'accra': 2, 'tema': 2}, LARGE])
def test_edit_after_the_return(datacentres):
    """Guards against edits that are ignored until revisions have caught up.

    With real programs and a store put back by 400 revisions, a new route got
    0 of 20 requests four seconds later.
    """

    async def scenario(loop):
        network = FlowNetwork(
            loop, datacentres, [(name, 'counter') for name in datacentres] * 2
        )
        network.configure(1, (FEED,))
        await network.start()
        copy = network.store.copy()
        network.configure(2, (FEED,))
        make_forgotten_writes(network)
        await asyncio.sleep(CONFIGURATION_S)
        assert versions(network) == {2}
        await lose_and_restore(network, copy)
        await asyncio.sleep(1.0)
        # An accepted edit is not reverted although the copy lacks it.
        assert versions(network) == {2}
        network.configure(2, (FEED,))
        network.configure(3, (FEED, QUOTE))
        await asyncio.sleep(CONFIGURATION_S)
        assert versions(network) == {3}
        restored = [
            line['event']
            for host in network.balancers
            for line in host.log_lines
            if line['event'] == 'store.restored'
        ]
        assert len(restored) == len(network.balancers)

    simulate(scenario)


def openings_at(network: FlowNetwork, datacentre: str) -> int:
    return sum(
        len(upstream.openings)
        for host, upstream in network.upstreams
        if host.datacentre == datacentre
    )


def test_data_centre_out_before_and_after():
    """Guards against new flows in a data centre that the copy returns.

    With real programs, a data centre taken out got all of 20 openings.
    """

    async def scenario(loop):
        network = build(loop)
        await network.start()
        copy = network.store.copy()
        network.take_out('accra')
        make_forgotten_writes(network)
        await asyncio.sleep(CONFIGURATION_S)
        load = loop.create_task(
            network.send_requests(add_callers(network), 60, 8)
        )
        before = openings_at(network, 'accra')
        await lose_and_restore(network, copy)
        await asyncio.sleep(2.0)
        network.take_out('accra')
        await load
        assert openings_at(network, 'accra') == before
        # It is used again soon after the operator has returned it.
        network.take_out('accra', is_out=False)
        await asyncio.sleep(CONFIGURATION_S)
        await network.send_requests(add_callers(network), 60, 4)
        assert openings_at(network, 'accra') > before
        return network

    check_errors(simulate(scenario))


def test_data_centre_taken_out_after_the_return():
    """Guards against an edit after the return that no process follows."""

    async def scenario(loop):
        network = build(loop)
        await network.start()
        copy = network.store.copy()
        make_forgotten_writes(network)
        await asyncio.sleep(1.0)
        await lose_and_restore(network, copy)
        network.take_out('accra')
        await asyncio.sleep(CONFIGURATION_S)
        before = openings_at(network, 'accra')
        await network.send_requests(add_callers(network), 60, 4)
        assert openings_at(network, 'accra') == before

    simulate(scenario)


def test_return_while_half_of_the_fleet_is_cut_off():
    """Guards against processes that miss the return of the store.

    They learn of it from others when they can reach them again, and take the
    newest configuration from them.
    """

    async def scenario(loop):
        network = build(loop)
        await network.start()
        copy = network.store.copy()
        network.configure(2, (FEED, QUOTE))
        make_forgotten_writes(network)
        await asyncio.sleep(2.0)
        hosts = list(network.host_by_ip.values())
        cut = {h.name for h in hosts if h.datacentre == 'accra'}
        network.cut_pairs = {
            frozenset((one.name, other.name))
            for one in hosts
            for other in hosts
            if (one.name in cut) != (other.name in cut)
        }
        network.store.faulty_clients = cut
        network.store.fault = Fault.RESET
        await asyncio.sleep(AWAY_S)
        network.store.restore(copy)
        network.configure(2, (FEED, QUOTE))
        network.configure(3, (FEED, QUOTE))
        await asyncio.sleep(4.0)
        network.cut_pairs = set()
        await asyncio.sleep(CONFIGURATION_S)
        assert versions(network) == {3}
        # Only the store's other half answers; the era came from peers.
        assert network.store.fault is Fault.RESET

    simulate(scenario)


def test_era_rises_twice():
    """Guards against a second return within seconds that is missed."""

    async def scenario(loop):
        network = build(loop)
        await network.start()
        copy = network.store.copy()
        make_forgotten_writes(network)
        network.configure(2, (FEED, QUOTE))
        await asyncio.sleep(1.0)
        await lose_and_restore(network, copy)
        network.configure(2, (FEED, QUOTE))
        await asyncio.sleep(0.3)
        await lose_and_restore(network, copy)
        network.configure(2, (FEED, QUOTE))
        network.configure(3, (FEED, QUOTE))
        await asyncio.sleep(CONFIGURATION_S)
        assert versions(network) == {3}

    simulate(scenario)


def calls_after(is_restored: bool) -> int:
    """Return the store calls in the ten seconds after an outage."""

    async def scenario(loop):
        network = FlowNetwork(loop, LARGE, AGENTS * 10)
        network.configure(1, (FEED, QUOTE))
        await network.start()
        copy = network.store.copy()
        make_forgotten_writes(network)
        await asyncio.sleep(1.0)
        network.store.fault = Fault.RESET
        await asyncio.sleep(AWAY_S)
        if is_restored:
            network.store.restore(copy)
        network.store.fault = Fault.NONE
        before = network.store.calls
        await asyncio.sleep(10.0)
        return network.store.calls - before

    return simulate(scenario)


def test_store_calls_after_the_return():
    """Guards against a fleet that overloads the store when it is back."""
    assert calls_after(is_restored=True) <= 2 * calls_after(is_restored=False)
