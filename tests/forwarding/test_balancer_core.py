"""Tests of what a balancer does with flows that are lost or unknown."""

import random

import pytest

from ibispitch.decisionlog import DecisionLog
from ibispitch.fleet.core import Fleet
from ibispitch.fleet.known import NEW_AGENTS_S
from ibispitch.fleet.messages import AgentState
from ibispitch.forwarding import frames
from ibispitch.forwarding.balancer import BalancerCore
from ibispitch.forwarding.frames import Reason
from ibispitch.forwarding.frames import Verdict
from ibispitch.histograms import LatencyHistograms
from ibispitch.locating.core import RETRY_INTERVAL_S
from ibispitch.platform.packets import PlatformPacketCodec
from ibispitch.routes.model import RouteIndex
from ibispitch.routes.position import NO_POSITION
from ibispitch.settings.overload import ALL_OFF
from testbed.flow_packets import RST
from tests.fleet.test_fleet import agent
from tests.fleet.test_fleet import balancer
from tests.forwarding.test_agent_core import CALLER
from tests.forwarding.test_agent_core import data
from tests.forwarding.test_agent_core import opening
from tests.forwarding.test_agent_core import TABLE

CODEC = PlatformPacketCodec()
FIRST, SECOND = '10.1.1.1', '10.1.1.2'
OPENING = CODEC.from_caller(opening())
COPY = CODEC.from_caller(opening(copy=1))
REQUEST = CODEC.from_caller(data())


class Outbox:
    """Records what a balancer sends."""

    def __init__(self):
        self.frames = []
        self.to_callers = []
        self.to_other_balancers = []

    def to_balancers(self, data):
        self.to_other_balancers.append(frames.decode_frame(data))

    def to_agent(self, ip, raw, packet=None):
        self.frames.append((ip, frames.decode_frame(raw)))

    def to_caller(self, flow, raw):
        self.to_callers.append(raw)


@pytest.fixture
def outbox():
    return Outbox()


@pytest.fixture
def fleet():
    fleet = Fleet('10.1.0.1')
    fleet.record_agent_status(FIRST, agent(), 0.0)
    return fleet


def start(fleet, outbox, overload=ALL_OFF) -> BalancerCore:
    log = DecisionLog('test', lambda: 0.0, len)
    core = BalancerCore(
        'accra',
        fleet,
        CODEC,
        outbox,
        log,
        LatencyHistograms(),
        random.Random(1),
        0.0,
        overload,
    )
    core.set_routes(RouteIndex(TABLE))
    return core


@pytest.fixture
def core(fleet, outbox):
    return start(fleet, outbox)


def returned(reason, packet):
    return frames.Return(reason, NO_POSITION, 2000, (), packet.raw)


def test_flow_of_an_upstream_that_ended_is_reset_at_once(core, outbox):
    """A caller must not wait for an upstream that has ended."""
    core.receive(OPENING, 0.0)
    core.receive_returned_packet(
        FIRST, returned(Reason.OTHER_UPSTREAM, REQUEST), 0.1
    )
    [raw] = outbox.to_callers
    assert raw[30] & RST


@pytest.mark.parametrize('is_end_announced', [False, True])
def test_flow_whose_opening_had_a_copy_at_an_ended_upstream(
    core, fleet, outbox, is_end_announced
):
    """A flow that is open at another upstream must not be reset.

    The first opening was placed at one upstream, and a copy at another one
    that had crashed. The flow was reset as soon as the crashed upstream was
    replaced (osa-returns-grown, deploy/days/servers.toml, seed 95428565484).
    """
    core.receive(OPENING, 0.0)
    fleet.record_agent_status(FIRST, agent(2, state=AgentState.DRAINING), 0.1)
    fleet.record_agent_status(SECOND, agent(), 0.1)
    core.receive(COPY, 0.2)
    assert [ip for ip, _ in outbox.frames] == [FIRST, SECOND]
    outbox.frames.clear()
    if is_end_announced:
        ended = agent(2, state=AgentState.ENDED)
        fleet.record_agent_status(SECOND, ended, 0.3)
        core.receive(REQUEST, 0.3)
    else:
        core.receive_returned_packet(
            SECOND, returned(Reason.OTHER_UPSTREAM, REQUEST), 0.3
        )
    core.tick(0.3)
    assert outbox.to_callers == []
    assert FIRST in {ip for ip, _ in outbox.frames}
    outbox.frames.clear()
    core.searches.receive_answers(
        FIRST,
        frames.OwnershipAnswers(
            1000, (frames.Answer(REQUEST.flow, Verdict.OWNED),)
        ),
        0.31,
    )
    [(ip, frame)] = outbox.frames
    assert (ip, frame.raw) == (FIRST, REQUEST.raw)


def test_flows_that_a_new_balancer_does_not_know(fleet, outbox):
    """After a start, questions must share datagrams.

    23 balancers that started together asked 60 agents about each of their 70
    flows in separate datagrams, more than their links of 5 Mbit/s can carry
    (osa-returns-grown).
    """
    core = start(fleet, outbox)
    for number in range(70):
        caller = CALLER._replace(port=3000 + number)
        core.receive(CODEC.from_caller(data(caller=caller)), 0.01)
    assert outbox.frames == []
    core.tick(0.02)
    asked = [frame.questions for ip, frame in outbox.frames if ip == FIRST]
    assert [len(questions) for questions in asked] == [64, 6]


def test_lost_flows_are_reset_once_the_fleet_is_known(fleet, outbox):
    """Lost flows must be reset neither while agents start nor much later.

    A balancer that started together with its agents dropped the packets of
    lost flows for 0.8 s, and callers repeated them only 1.6 s later.
    """
    core = start(fleet, outbox)
    fleet.record_balancer_status('10.1.0.2', balancer(agents=(FIRST,)), 0.01)
    core.receive(REQUEST, 0.01)
    denial = frames.Answer(REQUEST.flow, Verdict.NOT_OWNED)
    now = 0.0
    while now < 1.0 and not outbox.to_callers:
        now += 0.02
        core.tick(now)
        for ip, _ in outbox.frames:
            core.searches.receive_answers(
                ip, frames.OwnershipAnswers(1000, (denial,)), now
            )
        outbox.frames.clear()
        if now == pytest.approx(0.3):
            fleet.record_agent_status(SECOND, agent(), now)
    [raw] = outbox.to_callers
    assert raw[30] & RST
    assert (
        0.3 + NEW_AGENTS_S
        <= now
        < 0.3 + NEW_AGENTS_S + RETRY_INTERVAL_S + 0.05
    )


@pytest.mark.parametrize('cold_left_s', [0.0, 8.0])
def test_balancer_without_a_list_of_agents_resets_nothing(outbox, cold_left_s):
    """A balancer with outdated seeds must not reset flows.

    It received messages from nearby agents at once, but from other balancers
    only after 3 s, when its settings had been corrected. That the upstreams
    nearby have turned cold says nothing of those that it doesn't know yet.
    """
    fleet = Fleet('10.1.0.1')
    fleet.record_agent_status(
        FIRST, agent(number=500, cold_left_s=cold_left_s), 0.0
    )
    core = start(fleet, outbox)
    fleet.add_balancer('10.1.0.2', 0.0)
    core.receive(REQUEST, 0.01)
    denial = frames.Answer(REQUEST.flow, Verdict.NOT_OWNED)
    for tick in range(150):
        now = 0.02 * tick
        if tick % 20 == 0:
            core.receive(REQUEST, now)
            status = agent(number=tick + 501, cold_left_s=cold_left_s)
            fleet.record_agent_status(FIRST, status, now)
        core.tick(now)
        for ip, _ in outbox.frames:
            core.searches.receive_answers(
                ip, frames.OwnershipAnswers(1000, (denial,)), now
            )
        outbox.frames.clear()
    assert outbox.to_callers == []


def test_opening_that_was_handed_back_has_one_owner(core, fleet, outbox):
    """A flow that can only be at one upstream must not be searched for."""
    core.receive(OPENING, 0.0)
    fleet.record_agent_status(SECOND, agent(), 0.1)
    core.receive_returned_packet(FIRST, returned(Reason.FULL, OPENING), 0.1)
    assert outbox.frames[-1][0] == SECOND
    core.receive_returned_packet(
        SECOND, returned(Reason.OTHER_UPSTREAM, REQUEST), 0.2
    )
    assert len(outbox.to_callers) == 1


def test_opening_that_was_handed_back_keeps_its_age(core, fleet, outbox):
    """Guards against late openings that pass for new ones.

    After a loss of power openings that had waited for a second were handed
    back. Then they competed as if they could still be in time.
    """
    fleet.record_agent_status(
        FIRST, agent(2, cold_openings=0, cold_left_s=0.5), 0.0
    )
    core.receive(OPENING, 0.0)
    warm = agent(3, interval_s=10.0)
    fleet.record_agent_status(FIRST, warm, 0.6)
    core.tick(0.6)
    assert [ip for ip, _ in outbox.frames] == [FIRST]
    core.receive_returned_packet(FIRST, returned(Reason.FULL, OPENING), 0.61)
    [waiting] = core._queue.by_precedence(0.62)
    assert waiting.sent_at == 0.0
    assert waiting.is_late(0.62)


def test_waiting_opening_is_known_by_its_latest_copy(core, fleet, outbox):
    """Guards against openings that are placed with outdated data.

    The packet of the first copy was placed, whose number says that the caller
    has just begun, and the mean request time at its arrival, 0 after a start.
    """
    cold = agent(2, cold_openings=0, cold_left_s=5.0, interval_s=10.0)
    fleet.record_agent_status(FIRST, cold, 0.0)
    core.receive(OPENING, 0.0)
    cold = agent(3, cold_openings=0, cold_left_s=4.9, interval_s=10.0,
                 work_s=0.03)  # fmt: skip
    fleet.record_agent_status(FIRST, cold, 0.1)
    core.receive(COPY, 0.2)
    [waiting] = core._queue.by_precedence(0.2)
    assert waiting.packet == COPY
    assert waiting.work_s == 0.03
    assert waiting.sent_at == 0.0


def test_suspension_is_noticed(core, fleet):
    """Guards against agents that seem silent after a balancer stood still."""
    view = fleet.agents_by_ip[FIRST]
    core.tick(0.02)
    core.receive(CODEC.from_caller(opening()), 20.02)
    core.tick(20.04)
    assert view.unobserved_s == pytest.approx(20.0)
    fleet.record_agent_status(FIRST, agent(number=9), 20.05)
    assert view.unobserved_s == 0.0
