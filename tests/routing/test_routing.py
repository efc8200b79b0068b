"""Tests that all hosts compute the same tables, and that routes follow
changes.
"""

import tracemalloc

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec

from ibispitch.ids import Address
from ibispitch.ids import AgentId
from ibispitch.ids import BalancerId
from ibispitch.ids import DatacentreName
from ibispitch.ids import FlowId
from ibispitch.ids import service_number
from ibispitch.ids import ServiceName
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import MemberState
from ibispitch.routing import eligible_agents
from ibispitch.routing import RoutingCore
from ibispitch.routing import SLOT_COUNT
from ibispitch.routing import slot_of
from ibispitch.routing import slots as slots_module
from ibispitch.routing import SlotTable

MASK_64_BITS = (1 << 64) - 1
SERVICE = ServiceName('returns')
EAST = DatacentreName('east')
WEST = DatacentreName('west')

agent_ids = st.sampled_from([f'agent-{number}' for number in range(9)])


def compute_score(agent, slot):
    value = slots_module.agent_hash(agent)
    value = (value + 0x9E3779B97F4A7C15 * (slot + 1)) & MASK_64_BITS
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64_BITS
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK_64_BITS
    return value ^ (value >> 31)


def compute_homes(agents):
    """Return the homes of all slots, computed without numpy."""
    return [
        max(sorted(agents), key=lambda a: compute_score(a, slot), default=None)
        for slot in range(SLOT_COUNT)
    ]


def homes_of(table):
    return [table.home(slot) for slot in range(SLOT_COUNT)]


@settings(deadline=None)
@given(st.lists(st.sets(agent_ids), max_size=6))
def test_incremental_table_equals_full_recomputation(updates):
    """Guards against tables that depend on the order of updates."""
    table = SlotTable()
    for agents in updates:
        before = homes_of(table)
        moved = table.update(agents)
        after = homes_of(table)
        assert after == compute_homes(agents)
        assert moved == {
            slot for slot in range(SLOT_COUNT) if before[slot] != after[slot]
        }


def test_smaller_id_wins_if_hashes_are_equal(monkeypatch):
    """Guards against tables that differ when hashes of agents collide."""
    monkeypatch.setattr(slots_module, 'agent_hash', lambda agent: 7)
    one, other = SlotTable(), SlotTable()
    for agent in ('a', 'b', 'c'):
        one.update([*filter(None, one.agents), AgentId(agent)])
    for agent in ('c', 'b', 'a'):
        other.update([*filter(None, other.agents), AgentId(agent)])
    assert homes_of(one) == homes_of(other) == ['a'] * SLOT_COUNT
    one.update([AgentId('c'), AgentId('b')])
    assert homes_of(one) == ['b'] * SLOT_COUNT


def test_join_moves_only_slots_that_the_agent_wins():
    """Guards against a join that moves slots between other agents."""
    table = SlotTable()
    table.update(AgentId(f'agent-{number}') for number in range(7))
    moved = table.update(AgentId(f'agent-{number}') for number in range(8))
    assert {table.home(slot) for slot in moved} == {'agent-7'}
    assert 64 < len(moved) < 256


def make_record(agent, datacentre=EAST, state=MemberState.ACTIVE, port=1000):
    return AgentRecord(
        agent_id=AgentId(agent),
        service=SERVICE,
        datacentre=datacentre,
        address=Address('127.0.0.1', port),
        incarnation=1,
        sequence=1,
        state=state,
        slots=5,
        connections=2000,
        parent=BalancerId('b1'),
    )


def test_eligible_agents():
    """Guards against homes that are draining or out of service."""
    drain = MemberState.DRAINING
    agents = [
        make_record('a'),
        make_record('b', state=drain),
        make_record('c', WEST),
        make_record('d', state=MemberState.LOST),
    ]

    def eligible(records, out=()):
        return [r.agent_id for r in eligible_agents(records, out)]

    assert eligible(agents) == ['a', 'c']
    assert eligible(agents, [EAST]) == ['c']
    assert eligible(agents[1:2] + agents[3:]) == ['b']
    assert eligible(agents, [EAST, WEST]) == []


def test_core_follows_entries_records_and_datacentres():
    """Guards against packets to agents that are lost or out of service."""
    core = RoutingCore()
    number = service_number(SERVICE)
    flows = [FlowId(value.to_bytes(6, 'big')) for value in range(0, 6000, 31)]

    def ports():
        routes = [core.route(number, flow) for flow in flows]
        return {route and route.port for route in routes}

    core.set_agent(make_record('a', port=1))
    assert ports() == {None}
    core.set_entry(SERVICE, True)
    assert ports() == {1}
    core.set_agent(make_record('b', WEST, port=2))
    assert ports() == {1, 2}
    table = SlotTable()
    table.update([AgentId('a'), AgentId('b')])
    port_by_agent = {'a': 1, 'b': 2}
    for flow in flows:
        home = table.home(slot_of(number, flow))
        assert core.route(number, flow).port == port_by_agent[home]
    core.set_datacentre(WEST, True)
    assert ports() == {1}
    core.set_datacentre(WEST, False)
    assert ports() == {1, 2}
    core.set_agent(make_record('a', port=9))
    assert ports() == {2, 9}
    core.set_agent(make_record('a', state=MemberState.LOST))
    assert ports() == {2}
    core.set_entry(SERVICE, False)
    assert ports() == {None}


def test_memory_of_1100_services():
    """Guards against tables that exceed the 32 MB for control state."""
    core = RoutingCore()
    tracemalloc.start()
    for number in range(1100):
        name = ServiceName(f'service-{number}')
        core.set_entry(name, True)
        for agent in range(2):
            core.set_agent(
                msgspec.structs.replace(
                    make_record('x'),
                    service=name,
                    agent_id=AgentId(f'{name}-{agent}'),
                )
            )
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert used < 8 << 20


def test_a_table_is_computed_once_for_many_records(monkeypatch):
    """Guards against a table computed for each record: a starting balancer
    receives 14,000 records at once, and its event loop would be blocked for
    seconds.
    """
    updates = []
    update = SlotTable.update
    monkeypatch.setattr(
        SlotTable,
        'update',
        lambda table, agents: updates.append(1) or update(table, agents),
    )
    core = RoutingCore()
    core.set_entry('bench', True)
    number = service_number('bench')
    for index in range(20):
        core.set_agent(_numbered_record(index))
    assert not updates
    flows = [bytes([0, 0, 0, 0, 0, index]) for index in range(50)]
    assert all(core.route(number, flow) for flow in flows)
    assert len(updates) == 1
    lost = msgspec.structs.replace(_numbered_record(3), state=MemberState.LOST)
    core.set_agent(lost)
    addresses = {core.route(number, flow) for flow in flows}
    assert lost.address not in addresses
    assert len(updates) == 2


def _numbered_record(index):
    return AgentRecord(
        agent_id=f'a{index}',
        service='bench',
        datacentre='accra',
        address=Address('10.9.0.1', 5000 + index),
        incarnation=1,
        sequence=1,
        state=MemberState.ACTIVE,
        slots=1,
        connections=2000,
        parent='b1',
    )
