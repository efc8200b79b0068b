"""The search for the owner of a flow, and what it never does."""

import itertools

from hypothesis import given
from hypothesis import strategies as st
import pytest

from ibispitch.fleet.core import Fleet
from ibispitch.fleet.messages import AgentState
from ibispitch.forwarding.frames import Answer
from ibispitch.forwarding.frames import OwnershipAnswers
from ibispitch.forwarding.frames import Verdict
from ibispitch.forwarding.packets import ACK
from ibispitch.forwarding.packets import FlowKey
from ibispitch.forwarding.packets import Packet
from ibispitch.locating.core import ANSWER_S
from ibispitch.locating.core import AskAgents
from ibispitch.locating.core import Found
from ibispitch.locating.core import Locator
from ibispitch.locating.core import MAX_KEPT_PACKETS
from ibispitch.locating.core import MAX_TRIALS
from ibispitch.locating.core import NotFound
from ibispitch.locating.core import RETRY_INTERVAL_S
from ibispitch.locating.core import RETRY_PERIOD_S
from ibispitch.locating.core import TRIAL_WINDOW_S
from ibispitch.locating.core import TryAgent
from ibispitch.locating.core import Unanswered
from ibispitch.locating.table import FlowTable
from ibispitch.locating.table import Owner
from tests.fleet.test_fleet import agent
from tests.fleet.test_fleet import balancer

FLOW = FlowKey(b'caller' + b'place1')
PACKET = Packet(b'raw', FLOW, ACK, 1, 2, 0)
OWN = [f'10.0.1.{n}' for n in range(1, 6)]
OTHER = ['10.0.2.1', '10.0.2.2']


@pytest.fixture
def fleet():
    return make_fleet()


def make_fleet() -> Fleet:
    fleet = Fleet('10.0.0.1')
    for ip in OWN:
        fleet.record_agent_status(ip, agent(), 0.0)
    for ip in OTHER:
        fleet.record_agent_status(ip, agent(service='intake'), 0.0)
    return fleet


@pytest.fixture
def locator(fleet):
    return Locator(fleet, 'accra')


def tell(locator, ips, verdict, now=0.01):
    answers = OwnershipAnswers(7, (Answer(FLOW, verdict),))
    steps = [locator.receive_answers(ip, answers, now) for ip in ips]
    return list(itertools.chain.from_iterable(steps))


def test_agents_of_the_service_first(locator):
    """Guards against questions to a whole fleet for each flow."""
    (asked,) = locator.search(PACKET, 'counter', 0.0)
    assert sorted(asked.ips) == OWN
    (found,) = tell(locator, OWN[:1], Verdict.OWNED)
    assert found == Found(OWN[0], 7, (PACKET,))


def test_packets_meanwhile_are_kept(locator):
    """Guards against packets that are lost during a search."""
    locator.search(PACKET, 'counter', 0.0)
    later = PACKET._replace(sequence=9)
    assert locator.search(later, 'counter', 0.001) == []
    (found,) = tell(locator, OWN[:1], Verdict.OWNED)
    assert found.packets == (PACKET, later)


def test_flow_that_a_new_route_left_elsewhere(locator):
    """Guards against open flows that a new configuration cuts off."""
    locator.search(PACKET, 'counter', 0.0)
    (asked,) = tell(locator, OWN, Verdict.NOT_OWNED)
    assert sorted(asked.ips) == OTHER
    (found,) = tell(locator, OTHER[:1], Verdict.OWNED)
    assert found.ip == OTHER[0]


def test_flow_of_nobody(locator):
    """Guards against callers who wait for a flow that is lost."""
    locator.search(PACKET, 'counter', 0.0)
    tell(locator, OWN, Verdict.NOT_OWNED)
    assert tell(locator, OTHER, Verdict.NOT_OWNED) == [NotFound(PACKET)]


def test_one_silent_agent_forbids_the_verdict(locator):
    """Guards against a reset while the owner's agent does not answer."""
    locator.search(PACKET, 'counter', 0.0)
    tell(locator, OWN[1:], Verdict.NOT_OWNED)
    locator.expire(ANSWER_S + 0.01)
    tell(locator, OTHER, Verdict.NOT_OWNED, ANSWER_S + 0.02)
    (end,) = locator.expire(3 * ANSWER_S)
    assert end == Unanswered(FLOW, (OWN[0],))


def test_agents_that_denied_are_not_asked_again(locator):
    """Guards against questions to all agents for each repeated packet.

    After a loss of power two of 64 agents could not answer for 8 s. Callers
    repeated packets of flows that were lost, each repeat asked all agents, and
    links of 5 Mbit/s lost seven of ten questions (osa-returns-grown).
    """
    locator.search(PACKET, 'counter', 0.0)
    tell(locator, OWN[1:], Verdict.NOT_OWNED)
    locator.expire(ANSWER_S)
    tell(locator, OTHER, Verdict.NOT_OWNED, 0.05)
    assert isinstance(locator.expire(2 * ANSWER_S)[0], Unanswered)
    (asked,) = locator.search(PACKET, 'counter', 0.2)
    assert asked.ips == (OWN[0],)
    assert tell(locator, OWN[:1], Verdict.NOT_OWNED, 0.21) == [
        NotFound(PACKET)
    ]


def test_flow_is_found_when_its_agent_starts(locator, fleet):
    """Guards against callers who wait for their next repeated packet.

    After a loss of power balancers met the packets of all flows before they
    knew the agents, and dropped them; senders repeat them after 1.6 s.
    """
    locator.search(PACKET, 'counter', 0.0)
    tell(locator, OWN[1:], Verdict.NOT_OWNED)
    locator.expire(ANSWER_S)
    tell(locator, OTHER, Verdict.NOT_OWNED, 0.05)
    [end] = locator.expire(2 * ANSWER_S)
    assert end == Unanswered(FLOW, (OWN[0],))
    assert locator.expire(RETRY_INTERVAL_S) == []
    [asked] = locator.expire(2 * ANSWER_S + RETRY_INTERVAL_S)
    assert asked.ips == (OWN[0],)
    [found] = tell(locator, OWN[:1], Verdict.OWNED, 0.2)
    assert found == Found(OWN[0], 7, (PACKET,))


def test_repeated_searches_end(locator):
    """Guards against searches for callers that have gone, and their logs."""
    locator.search(PACKET, 'counter', 0.0)
    steps = []
    for tick in range(200):
        steps += locator.expire(0.02 * tick)
    assert steps.count(Unanswered(FLOW, tuple(OWN + OTHER))) <= 1
    assert sum(isinstance(step, Unanswered) for step in steps) == 1
    last = max(n for n, step in enumerate(steps))
    assert len(locator) == 0
    assert last < 2 * (RETRY_PERIOD_S / RETRY_INTERVAL_S + 2)


def test_kept_packets_are_bounded(locator):
    """Guards against a flood of unknown flows that fills the memory."""
    for number in range(2 * MAX_KEPT_PACKETS):
        flow = FlowKey(number.to_bytes(12, 'big'))
        locator.search_later([PACKET._replace(flow=flow)], 'counter', 1.0, 2.0)
    steps = locator.expire(1.0)
    assert len(steps) == MAX_KEPT_PACKETS


def test_denials_are_forgotten(locator):
    """Guards against denials that outlive the flow they were about."""
    locator.search(PACKET, 'counter', 0.0)
    tell(locator, OWN[1:], Verdict.NOT_OWNED)
    locator.expire(ANSWER_S)
    locator.expire(2 * ANSWER_S)
    later = TRIAL_WINDOW_S + 0.5
    (asked,) = locator.search(PACKET, 'counter', later)
    assert sorted(asked.ips) == OWN
    tell(locator, OWN[1:], Verdict.NOT_OWNED, later)
    locator.expire(later + ANSWER_S)
    locator.expire(later + 2 * ANSWER_S)
    locator.forget(FLOW)
    (asked,) = locator.search(PACKET, 'counter', later + 0.2)
    assert sorted(asked.ips) == OWN


def test_near_agents_of_the_service_first(locator, fleet):
    """Guards against questions to far agents for flows that are near."""
    fleet.record_agent_status('10.0.3.1', agent(datacentre='kumasi'), 0.0)
    (asked,) = locator.search(PACKET, 'counter', 0.0)
    assert sorted(asked.ips) == OWN
    (asked,) = tell(locator, OWN, Verdict.NOT_OWNED)
    assert asked.ips == ('10.0.3.1',)
    (asked,) = tell(locator, ['10.0.3.1'], Verdict.NOT_OWNED)
    assert sorted(asked.ips) == OTHER


def test_agent_heard_during_the_search(locator, fleet):
    """Guards against a reset just after the owner's agent is back.

    A balancer and an agent had been restarted together (agents-roll, seed
    7): the agent was heard 2 ms before the search ended, was not asked, and
    the flow was reset.
    """
    locator.search(PACKET, 'counter', 0.0)
    tell(locator, OWN, Verdict.NOT_OWNED)
    fleet.record_agent_status('10.0.1.9', agent(), 0.012)
    (asked,) = tell(locator, OTHER, Verdict.NOT_OWNED, 0.014)
    assert asked == AskAgents(FLOW, 2, ('10.0.1.9',))
    assert tell(locator, ['10.0.1.9'], Verdict.OWNED) == [
        Found('10.0.1.9', 7, (PACKET,))
    ]


def test_restarting_agent_is_asked(locator, fleet):
    """Guards against resets of flows whose agent restarts as planned."""
    restarting = agent(2, state=AgentState.RESTARTING)
    fleet.record_agent_status(OWN[0], restarting, 0.0)
    for ip in (*OWN[1:], *OTHER):
        service = 'counter' if ip in OWN else 'intake'
        fleet.record_agent_status(ip, agent(3, service=service), 4.0)
    (asked,) = locator.search(PACKET, 'counter', 4.0)
    assert OWN[0] in asked.ips


def test_trials_while_an_agent_is_missing(locator):
    """Guards against a flow sent astray: three packets at other upstreams."""
    tried = []
    now = 0.0
    while now < TRIAL_WINDOW_S:
        for step in locator.search(PACKET, 'counter', now):
            assert isinstance(step, AskAgents)
        tell(locator, OWN[1:], Verdict.UNKNOWN, now)
        tell(locator, OTHER, Verdict.NOT_OWNED, now)
        steps = locator.expire(now + ANSWER_S)
        steps += tell(locator, OTHER, Verdict.NOT_OWNED, now + ANSWER_S)
        steps += locator.expire(now + 2 * ANSWER_S + 0.01)
        tried += [step for step in steps if isinstance(step, TryAgent)]
        now += 0.2
    assert 0 < len(tried) <= MAX_TRIALS


def test_all_agents_restarted(locator):
    """Guards against flows that stay silent after a kill of all processes.

    If all agents have answered, the owner's is among those that cannot know.
    """
    locator.search(PACKET, 'counter', 0.0)
    tell(locator, OWN, Verdict.RESTARTED)
    steps = tell(locator, OTHER, Verdict.NOT_OWNED)
    assert sorted(step.ip for step in steps) == OWN
    for ip in OWN[:-1]:
        assert locator.receive_denial(ip, PACKET, 'counter', 0.02) == []
    (asked,) = locator.receive_denial(OWN[-1], PACKET, 'counter', 0.02)
    assert sorted(asked.ips) == OWN


def test_unknown_agents_that_others_know(fleet):
    """Guards against many trials while the owner's agent is expected."""
    locator = Locator(fleet, 'accra')
    fleet.record_balancer_status(
        '10.0.0.2', balancer(agents=('10.0.1.9',)), 0.0
    )
    locator.search(PACKET, 'counter', 0.0)
    tell(locator, OWN, Verdict.UNKNOWN)
    steps = tell(locator, OTHER, Verdict.NOT_OWNED)
    assert len(steps) == MAX_TRIALS


@given(st.data())
def test_never_astray_and_never_given_up_early(data):
    """Guards against any order of answers that breaks a live flow.

    One agent owns the flow and may be restarted or missing for a while; it
    never denies the flow. Others are restarted or know that it is not
    theirs.
    """
    fleet = make_fleet()
    locator = Locator(fleet, 'accra')
    owner = data.draw(st.sampled_from(OWN))
    knows = {
        ip: data.draw(st.booleans()) for ip in (*OWN, *OTHER) if ip != owner
    }
    now = 0.0
    astray: list[float] = []
    reached = False
    for _ in range(12):
        owner_answers = data.draw(st.booleans())
        steps = locator.search(PACKET, 'counter', now)
        while steps:
            step = steps.pop(0)
            assert not isinstance(step, NotFound)
            if isinstance(step, Found):
                assert step.ip == owner
                reached = True
            elif isinstance(step, TryAgent):
                reached = reached or step.ip == owner
                if step.ip != owner:
                    astray.append(now)
            elif isinstance(step, AskAgents):
                for ip in data.draw(st.permutations(step.ips)):
                    if ip == owner:
                        if owner_answers:
                            steps += tell(locator, [ip], Verdict.UNKNOWN, now)
                    else:
                        verdict = (
                            Verdict.NOT_OWNED if knows[ip] else Verdict.UNKNOWN
                        )
                        steps += tell(locator, [ip], verdict, now)
                if not steps:
                    steps += locator.expire(now + ANSWER_S + 0.001)
        if reached:
            return
        recent = [at for at in astray if now - at < TRIAL_WINDOW_S]
        assert len(recent) <= MAX_TRIALS
        now += 0.3


def test_table_forgets_idle_flows_only():
    """Guards against a table that grows for ever or drops busy flows."""
    table = FlowTable(max_flows=100)
    table.put(FLOW, Owner('10.0.1.1', 7, 0.0))
    for now in (15.0, 30.0, 45.0):
        table.expire(15.0, now)
        assert table.get(FLOW) is not None
    table.expire(15.0, 60.0)
    table.expire(15.0, 75.0)
    assert table.get(FLOW) is None
    for number in range(1000):
        table.put(FlowKey(number.to_bytes(12, 'big')), Owner('a', 1, 0.0))
    assert len(table) <= 101
