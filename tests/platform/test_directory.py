"""First contact of a fleet whose processes all start together."""

import asyncio

import pytest

from ibispitch.fleet.directory import decode_agents
from ibispitch.fleet.directory import SETTLE_S
from ibispitch.platform.directory import AGENTS_KEY
from ibispitch.platform.directory import KEY
from ibispitch.platform.exchange import PEER_ROUTES_WAIT_S
from testbed.flow_network import FlowNetwork
from testbed.flow_platform import FEED
from testbed.memory_store import Fault
from testbed.simulated_loop import simulate

#: Its requests may wait for an agent that starts late.
PATIENT = FEED._replace(objective_s=1.0, deadline_s=10.0)
DATACENTRES = {'khomas-a': 8, 'khomas-b': 8, 'khomas-c': 8}
AGENTS = [(name, 'counter') for name in DATACENTRES for _ in range(17)]
#: The processes are down, then most start within this time, and the seeds
#: this much after the last of them.
DOWN_S, START_SPREAD_S, SEEDS_LATE_S = 1.0, 0.1, 0.3
#: Time in which processes must know each other: the time for which they wait
#: for the seeds, a call to the store, and a round of messages.
CONTACT_S = 0.2


def restart_without_seeds(break_store=None) -> FlowNetwork:
    """Restart all processes, and stop before the seeds are back."""

    async def scenario(loop):
        network = FlowNetwork(loop, DATACENTRES, AGENTS)
        network.configure(1, (FEED,))
        await network.start()
        await asyncio.sleep(SETTLE_S + 2.0)
        if break_store is not None:
            break_store(network.store)
        for host in (*network.balancers, *network.agents):
            delay_s = DOWN_S + network.rng.uniform(0.0, START_SPREAD_S)
            is_seed = host in network.balancers[:3]
            network.kill(host, delay_s + SEEDS_LATE_S * is_seed)
        await asyncio.sleep(DOWN_S + START_SPREAD_S + CONTACT_S)
        assert not any(network.balancers[n].sockets for n in range(3)), (
            'the seeds are back already'
        )
        return network

    return simulate(scenario)


def share_known(network: FlowNetwork) -> float:
    """Return the share of agents that running balancers know."""
    running = [host for host in network.balancers if host.sockets]
    known = sum(len(host.node.fleet.agents_by_ip) for host in running)
    return known / (len(running) * len(network.agents))


def test_processes_meet_before_the_seeds_are_back():
    """Guards against a fleet that serves nothing until its seeds are back.

    After a loss of power the seeds started 0.3 s after the other processes
    (osa-returns-now-grown, trouble-1), so that the first new flow was placed
    0.5 s after the return of the power.
    """
    network = restart_without_seeds()
    assert share_known(network) == 1.0


def test_stored_agents_lead_to_the_balancers():
    """Guards against a fleet that waits for its seeds with one list lost."""
    network = restart_without_seeds(lambda store: store.write(KEY, None))
    assert share_known(network) == 1.0


def test_the_seeds_are_used_without_a_list():
    """Guards against a start that depends on the lists in the store."""

    def remove_lists(store):
        store.write(KEY, None)
        store.write(AGENTS_KEY, None)

    network = restart_without_seeds(remove_lists)
    assert share_known(network) == 0.0
    assert not any(
        line['event'] == 'process.error'
        for host in (*network.balancers, *network.agents)
        for line in host.log_lines
    )


@pytest.mark.parametrize('value', [b'\xff', b'{}', b'{"balancers":[1]}'])
def test_an_unreadable_list_is_ignored(value):
    """Guards against a process that ends because of another writer's list."""
    network = restart_without_seeds(lambda store: store.write(KEY, value))
    events = {
        line['event'] for host in network.agents for line in host.log_lines
    }
    assert 'directory.unusable' in events
    assert 'process.error' not in events


def test_the_seeds_are_used_while_the_store_is_down():
    """Guards against a start that waits for the store."""

    def break_store(store):
        store.fault = Fault.SILENT

    network = restart_without_seeds(break_store)
    assert share_known(network) == 0.0


def test_the_list_costs_few_calls():
    """Guards against calls to the store that grow with the time."""

    async def scenario(loop):
        network = FlowNetwork(loop, DATACENTRES, AGENTS)
        network.configure(1, (FEED,))
        await network.start()
        await asyncio.sleep(60.0)
        return network

    network = simulate(scenario)
    written = [
        line
        for host in network.balancers
        for line in host.log_lines
        if line['event'] in ('directory.written', 'agents.written')
    ]
    listed = {line['event']: line for line in written}
    assert len(written) == len(listed) == 2
    assert listed['directory.written']['balancers'] == sum(
        DATACENTRES.values()
    )
    assert listed['agents.written']['agents'] == len(AGENTS)


def restart_with_a_late_agent(
    late_s, is_replaced=False, killed_s=(SETTLE_S + 6.0,), break_store=None
) -> FlowNetwork:
    """Kill all processes while upstreams are replaced.

    :param late_s: time until the last agent is back.
    :param is_replaced: whether its upstream is replaced as well.
    :param killed_s: when all processes are killed; the last time upstreams
        are replaced.
    :param break_store: called before the first kill.
    """

    async def scenario(loop):
        network = FlowNetwork(
            loop, {'khomas-a': 4}, [('khomas-a', 'counter')] * 8
        )
        network.configure(1, (PATIENT,))
        await network.start()
        started_at = loop.time()
        callers = [
            network.add_caller('khomas-a', PATIENT, is_long=True)
            for _ in range(32)
        ]
        load = loop.create_task(network.send_requests(callers, 40, 24))
        late, *others = network.agents
        *earlier_s, last_s = killed_s
        for second in earlier_s:
            await asyncio.sleep(second - loop.time() + started_at)
            if break_store is not None:
                break_store(network.store)
            for host in (*network.balancers, *network.agents):
                network.kill(host, 0.5)
        await asyncio.sleep(last_s - loop.time() + started_at)
        for host in (*network.balancers, *others):
            network.kill(host, 0.5)
        network.kill(late, late_s)
        for host in network.agents if is_replaced else others:
            host.upstream.crash()
            loop.call_later(0.4, network.start_upstream, host, 5.0)
        await load
        await asyncio.sleep(PATIENT.deadline_s)
        return network

    return simulate(scenario)


def reset_evidence(network: FlowNetwork) -> list[str]:
    """Return from what balancers concluded that they knew all agents."""
    return [
        line['known_by']
        for host in network.balancers
        for line in host.log_lines
        if line['event'] == 'flow.reset' and 'known_by' in line
    ]


def test_flows_of_an_agent_that_starts_late_live_on():
    """Guards against a loss of all power concluded from the known agents.

    All processes were killed, and the upstreams of the agents that were back
    had just been replaced. The agent of the remaining one started later.
    """
    network = restart_with_a_late_agent(4.0)
    assert network.wrongly_reset_flows() == []
    # Not for lack of resets: the flows of the others were lost.
    assert reset_evidence(network)


@pytest.mark.parametrize('killed_s', [(5.0,), (5.0, 9.0)])
def test_the_first_list_of_agents_is_written_at_once(killed_s):
    """Guards against a fleet that is killed before it has a list of agents.

    The list waited for 8 s without a change, so that a fleet whose processes
    were killed again and again never had one.
    """
    network = restart_with_a_late_agent(4.0, killed_s=killed_s)
    assert network.wrongly_reset_flows() == []
    assert reset_evidence(network)


def test_a_list_of_agents_that_the_store_lost_is_written_at_once():
    """Guards against a second kill before a lost list is written again."""
    network = restart_with_a_late_agent(
        4.0,
        killed_s=(6.0, 13.0),
        break_store=lambda store: store.write(AGENTS_KEY, None),
    )
    assert network.wrongly_reset_flows() == []
    assert reset_evidence(network)


def test_an_agent_whose_upstream_has_ended_is_listed_no_more():
    """Guards against lost flows that are kept for an agent that is gone.

    Five seconds after hosts had been given back all power was lost. The list
    still had their agents, which were waited for.
    """

    async def scenario(loop):
        network = FlowNetwork(loop, {'khomas-a': 4}, AGENTS[:8])
        network.configure(1, (PATIENT,))
        await network.start()
        await asyncio.sleep(SETTLE_S + 6.0)
        network.agents[0].upstream.crash()
        network.kill(network.agents[0], 0.5)
        await asyncio.sleep(5.0)
        (item,) = network.store.items(AGENTS_KEY)
        return decode_agents(item.value)

    assert len(simulate(scenario)) == 7


def test_lost_flows_are_reset_once_all_listed_agents_are_back():
    """Guards against callers that wait for the idle time-out of lost flows."""
    network = restart_with_a_late_agent(0.6, is_replaced=True)
    evidence = reset_evidence(network)
    assert evidence
    assert set(evidence) <= {'restarted hosts', 'list'}


def test_a_restarted_process_on_a_slow_link_gets_routes_from_others():
    """Guards against routes that take a slow link for tenths of a second.

    On links of 5 Mbit/s balancers loaded 1,700 routes from the store for
    0.35 s, although processes nearby had a compressed table.
    """

    async def scenario(loop):
        network = FlowNetwork(loop, DATACENTRES, AGENTS)
        network.link_mbps = 5.0
        network.configure(1, (FEED,))
        await network.start()
        host = network.balancers[-1]
        network.store.calls_by_client.clear()
        network.kill(host, 1.0)
        await asyncio.sleep(1.0 + CONTACT_S)
        return network

    network = simulate(scenario)
    restarted = network.balancers[-1]
    assert restarted.node.routes.index is not None
    assert network.store.calls_by_client[restarted.name] == 0


def test_processes_on_slow_links_read_the_store_if_nobody_has_routes():
    """Guards against processes that wait for each other's routes."""

    async def scenario(loop):
        network = FlowNetwork(loop, DATACENTRES, AGENTS)
        network.link_mbps = 5.0
        network.configure(1, (FEED,))
        await network.start()
        await asyncio.sleep(SETTLE_S + 2.0)
        for host in (*network.balancers, *network.agents):
            network.kill(host, 1.0)
        await asyncio.sleep(1.0 + PEER_ROUTES_WAIT_S + 2 * CONTACT_S)
        return network

    network = simulate(scenario)
    assert all(
        host.node.routes.index is not None
        for host in (*network.balancers, *network.agents)
    )
