"""Cost of large repairs of the replicated map."""

import random

from ibispitch.ids import Address
from ibispitch.membership.core import AgentChanged
from ibispitch.membership.core import MembershipCore
from ibispitch.membership.keys import encode_record
from ibispitch.membership.orphans import OrphanTable
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import MemberState
from ibispitch.spread.messages import SpreadItems
from testbed.gossip import balancer_record

AGENTS = 300


def _agent(number):
    return AgentRecord(
        agent_id=f'a{number}',
        service='bench',
        datacentre='accra',
        address=Address('10.9.0.1', 5000 + number),
        incarnation=1,
        sequence=1,
        state=MemberState.ACTIVE,
        slots=1,
        connections=2000,
        parent='b1',
    )


def test_agents_before_their_parent_take_linear_time(monkeypatch):
    """Guards against quadratic time in a joining balancer.

    If it receives all agents before their parents and checks all of them
    again for each record, 14,000 agents block its event loop for minutes.
    """
    checks = []
    loss_due = OrphanTable._loss_due
    monkeypatch.setattr(
        OrphanTable,
        '_loss_due',
        lambda table, record: checks.append(record) or loss_due(table, record),
    )
    core = MembershipCore(balancer_record(0), [], random.Random(1))
    core.start(0.0)
    items = [encode_record(_agent(number)) for number in range(AGENTS)]
    effects = core.on_message(
        balancer_record(1).control_address, SpreadItems(items, True), 0.1
    )
    changed = [e for e in effects if isinstance(e, AgentChanged)]
    assert len(changed) == len(core.agents) == AGENTS
    assert len(checks) <= 2 * AGENTS
