"""Leases, views and parents of agents."""

import random

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from ibispitch.ids import Address
from ibispitch.membership.leases import LeaseHolder
from ibispitch.membership.leases import LeaseTable
from ibispitch.membership.messages import LeaseGranted
from ibispitch.membership.messages import Renew
from ibispitch.membership.parents import MAX_RETRY_DELAY_S
from ibispitch.membership.parents import ParentChooser
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import MemberState
from ibispitch.membership.selection import parent_order
from ibispitch.membership.selection import readers
from ibispitch.membership.view import build_view
from ibispitch.membership.view import MAX_VIEW_BALANCERS
from ibispitch.membership.view import ViewSequence
from testbed.gossip import balancer_record

AGENT = AgentRecord(
    agent_id='a1',
    service='bench',
    datacentre='accra',
    address=Address('10.9.0.1', 5000),
    incarnation=5,
    sequence=1,
    state=MemberState.ACTIVE,
    slots=1,
    connections=2000,
    parent='b1',
)
BALANCERS = [balancer_record(number) for number in range(8)]


def _with(**changes):
    return msgspec.structs.replace(AGENT, **changes)


@pytest.mark.parametrize(
    ('record', 'superseded'),
    [
        (_with(sequence=7), False),
        (_with(sequence=6, state=MemberState.LEFT), False),
        (_with(incarnation=4, sequence=99), True),
    ],
)
def test_old_announcement_is_refused(record, superseded):
    """A late copy or an older process must not replace the record."""
    table = LeaseTable('b2')
    answer = table.announce(record, _with(sequence=7), 0.0)
    assert answer.record_to_publish is None
    assert answer.message.sequence == 7
    assert answer.message.superseded is superseded
    assert table.leave(record, _with(sequence=7)) is None


def test_old_parent_does_not_lose_an_agent_that_moved():
    """A lapse at the old parent must not replace the new parent's record."""
    old = LeaseTable('b1')
    first = old.announce(AGENT, None, 0.0).record_to_publish
    moved = (
        LeaseTable('b2')
        .announce(_with(sequence=2), first, 1.0)
        .record_to_publish
    )
    lapsed = old.tick(10.0)
    assert [record.state for record in lapsed] == [MemberState.LOST]
    assert lapsed[0].version < moved.version
    old.announce(_with(sequence=3), moved, 11.0)
    assert old.on_record(_with(sequence=4, parent='b2'), 11.5) is None
    assert old.tick(20.0) == []


def test_paused_parent_keeps_its_leases():
    """A parent that was paused must not declare all its agents LOST."""
    table = LeaseTable('b1')
    table.announce(AGENT, None, 0.0)
    table.tick(0.2)
    assert table.tick(9.0) == []
    assert table.renew(Renew('a1', 5, 1), 9.1).message == LeaseGranted(1, 3.0)
    assert len(table.tick(9.9)) + len(table.tick(10.8)) == 0


def test_restarted_parent_detects_the_loss_of_its_earlier_agents():
    """An agent that crashes while its parent restarts must become LOST.

    This includes the case that the record of an older process of the agent
    arrives first.
    """
    table = LeaseTable('b1')
    table.tick(0.0)
    assert table.on_record(AGENT, 0.0) is None
    newer = _with(incarnation=6)
    assert table.on_record(newer, 0.5) is None
    lost = [record for n in range(1, 8) for record in table.tick(n * 0.9)]
    assert [r.version for r in lost] == [
        msgspec.structs.replace(newer, state=MemberState.LOST).version
    ]


def test_published_loss_is_refuted_under_a_lease():
    """An agent that balancers in another partition report LOST must return.

    Its parent refutes the loss, as the agent still holds a lease.
    """
    table = LeaseTable('b1')
    table.announce(AGENT, None, 0.0)
    loss = _with(sequence=4, state=MemberState.LOST)
    renewed = table.on_record(loss, 0.5)
    assert renewed.state is MemberState.ACTIVE
    assert renewed.version > loss.version
    holder = LeaseHolder(AGENT)
    holder.on_granted(LeaseGranted(renewed.sequence, 3.0))
    assert holder.announce(1.0).record.version > renewed.version


def test_answer_from_before_a_pause_does_not_renew():
    """A grant that waited in the socket during a pause is not valid."""
    holder = LeaseHolder(AGENT)
    holder.check_pause(0.0)
    holder.announce(0.0)
    assert holder.check_pause(10.0) == 10.0
    holder.announce(10.0)
    holder.on_granted(LeaseGranted(2, 3.0))
    assert not holder.is_held(10.0)
    holder.on_granted(LeaseGranted(3, 3.0))
    assert holder.is_held(10.0)


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 10**6))))
def test_view_versions_grow_across_parents(steps):
    """The view of a new parent must not count as an older one."""
    seen, sequences = 0, {}
    for number, wall_ms in steps:
        parent = sequences.setdefault(number, ViewSequence(0))
        parent.record_seen(seen)
        content = build_view(AGENT, [AGENT], BALANCERS, None, [])
        view = parent.next_view(content, wall_ms, force=True)
        assert view.version > seen
        assert parent.next_view(content, wall_ms) is None
        seen = view.version


def test_loss_of_a_balancer_changes_only_its_own_agents():
    """The loss of one balancer must not move agents of other balancers."""
    lost, *others = BALANCERS
    for number in range(50):
        agent = _with(agent_id=f'a{number}')
        before = parent_order(agent, BALANCERS)
        after = parent_order(agent, others)
        assert [r for r in before if r is not lost] == after
    chosen = readers('accra', BALANCERS)
    assert len(chosen) == 2
    without_store = [
        msgspec.structs.replace(
            record, reaches_store=record.balancer_id not in chosen
        )
        for record in BALANCERS
    ]
    assert len(readers('accra', without_store)) == 6
    assert not set(readers('accra', without_store)[:4]) & set(chosen)


def test_view_stays_small_in_a_large_fleet():
    """A view must not list all balancers of a large fleet."""
    balancers = [balancer_record(number) for number in range(1400)]
    view = build_view(AGENT, [AGENT], balancers, None, [])
    assert len(view.balancers) == MAX_VIEW_BALANCERS


def test_agents_without_a_parent_back_off():
    """Agents must not overload balancers that do not answer."""
    seeds = [record.control_address for record in BALANCERS]
    chooser = ParentChooser(AGENT, seeds, random.Random(1))
    delays = [chooser.next_candidate()[1] for _ in range(10 * len(seeds))]
    assert delays[0] == 0.0
    assert chooser.has_failed
    assert max(delays) <= MAX_RETRY_DELAY_S
    assert sum(delays) > 4
