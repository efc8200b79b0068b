"""Decisions of a balancer on flows whose upstream has ended."""

import random

import pytest

from ibispitch.decisionlog import DecisionLog
from ibispitch.fleet.core import Fleet
from ibispitch.fleet.messages import AgentState
from ibispitch.forwarding import frames
from ibispitch.forwarding.balancer import BalancerCore
from ibispitch.forwarding.balancer import GROWTH_S
from ibispitch.forwarding.frames import Reason
from ibispitch.forwarding.frames import Verdict
from ibispitch.histograms import LatencyHistograms
from ibispitch.locating.core import RETRY_INTERVAL_S
from ibispitch.platform.packets import PlatformPacketCodec
from ibispitch.routes.model import RouteIndex
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
    """Keeps what a balancer sends."""

    def __init__(self):
        self.frames = []
        self.to_callers = []

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


def start(fleet, outbox) -> BalancerCore:
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
    )
    core.set_routes(RouteIndex(TABLE))
    return core


@pytest.fixture
def core(fleet, outbox):
    return start(fleet, outbox)


def handed_back(reason, packet):
    return frames.Return(reason, 0, 2000, (), packet.raw)


def test_flow_of_an_upstream_that_ended_is_reset_at_once(core, outbox):
    """Guards against callers who wait for an upstream that is gone."""
    core.receive(OPENING, 0.0)
    core.receive_returned_packet(
        FIRST, handed_back(Reason.OTHER_UPSTREAM, REQUEST), 0.1
    )
    [raw] = outbox.to_callers
    assert raw[30] & RST


@pytest.mark.parametrize('is_told', [False, True])
def test_flow_that_a_copy_of_its_opening_left_elsewhere(
    core, fleet, outbox, is_told
):
    """Guards against the reset of a flow that is open at another upstream.

    Its first opening was placed at one upstream, a copy at another one that
    had crashed; the flow was reset as soon as that one was replaced
    (osa-returns-grown, deploy/days/servers.toml, seed 95428565484).
    """
    core.receive(OPENING, 0.0)
    fleet.record_agent_status(FIRST, agent(2, state=AgentState.DRAINING), 0.1)
    fleet.record_agent_status(SECOND, agent(), 0.1)
    core.receive(COPY, 0.2)
    assert [ip for ip, _ in outbox.frames] == [FIRST, SECOND]
    outbox.frames.clear()
    if is_told:
        ended = agent(2, state=AgentState.ENDED)
        fleet.record_agent_status(SECOND, ended, 0.3)
        core.receive(REQUEST, 0.3)
    else:
        core.receive_returned_packet(
            SECOND, handed_back(Reason.OTHER_UPSTREAM, REQUEST), 0.3
        )
    core.tick(0.3)
    assert outbox.to_callers == []
    assert FIRST in {ip for ip, _ in outbox.frames}
    outbox.frames.clear()
    core.receive_answers(
        FIRST,
        frames.OwnershipAnswers(
            1000, (frames.Answer(REQUEST.flow, Verdict.OWNED),)
        ),
        0.31,
    )
    [(ip, frame)] = outbox.frames
    assert (ip, frame.raw) == (FIRST, REQUEST.raw)


def test_flows_that_a_new_balancer_does_not_know(fleet, outbox):
    """Guards against a datagram for each question after a start.

    23 balancers that started together asked 60 agents for each of their 70
    flows, more than their links of 5 Mbit/s bear (osa-returns-grown).
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
    """Guards against resets while agents start, and against late ones.

    A balancer that started with its agents dropped the packets of lost flows
    for 0.8 s, and callers repeated them 1.6 s later.
    """
    core = start(fleet, outbox)
    fleet.record_balancer_status('10.1.0.2', balancer(agents=(FIRST,)), 0.01)
    core.receive(REQUEST, 0.01)
    nowhere = frames.Answer(REQUEST.flow, Verdict.NOT_OWNED)
    now = 0.0
    while now < 1.0 and not outbox.to_callers:
        now += 0.02
        core.tick(now)
        for ip, _ in outbox.frames:
            core.receive_answers(
                ip, frames.OwnershipAnswers(1000, (nowhere,)), now
            )
        outbox.frames.clear()
        if now == pytest.approx(0.3):
            fleet.record_agent_status(SECOND, agent(), now)
    [raw] = outbox.to_callers
    assert raw[30] & RST
    assert 0.3 + GROWTH_S <= now < 0.3 + GROWTH_S + RETRY_INTERVAL_S + 0.05


def test_balancer_that_nobody_told_of_agents_resets_nothing(fleet, outbox):
    """Guards against resets by a balancer whose seeds are stale.

    It heard its near agents at once, and other balancers only after 3 s, when
    the settings were corrected.
    """
    core = start(fleet, outbox)
    fleet.add_balancer('10.1.0.2', 0.0)
    core.receive(REQUEST, 0.01)
    nowhere = frames.Answer(REQUEST.flow, Verdict.NOT_OWNED)
    for tick in range(150):
        now = 0.02 * tick
        if tick % 20 == 0:
            core.receive(REQUEST, now)
            fleet.record_agent_status(FIRST, agent(number=tick + 2), now)
        core.tick(now)
        for ip, _ in outbox.frames:
            core.receive_answers(
                ip, frames.OwnershipAnswers(1000, (nowhere,)), now
            )
        outbox.frames.clear()
    assert outbox.to_callers == []


def test_opening_that_was_handed_back_has_one_owner(core, fleet, outbox):
    """Guards against searches for flows that can only be at one upstream."""
    core.receive(OPENING, 0.0)
    fleet.record_agent_status(SECOND, agent(), 0.1)
    core.receive_returned_packet(FIRST, handed_back(Reason.FULL, OPENING), 0.1)
    assert outbox.frames[-1][0] == SECOND
    core.receive_returned_packet(
        SECOND, handed_back(Reason.OTHER_UPSTREAM, REQUEST), 0.2
    )
    assert len(outbox.to_callers) == 1
