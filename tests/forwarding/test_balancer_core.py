"""Decisions of a balancer on flows whose upstream has ended."""

import random

import pytest

from ibispitch.decisionlog import DecisionLog
from ibispitch.fleet.core import Fleet
from ibispitch.fleet.messages import AgentState
from ibispitch.forwarding import frames
from ibispitch.forwarding.balancer import BalancerCore
from ibispitch.forwarding.frames import Reason
from ibispitch.forwarding.frames import Verdict
from ibispitch.measures import Measures
from ibispitch.platform.packets import PlatformPacketCodec
from ibispitch.routes.model import RouteIndex
from testbed.flow_packets import RST
from tests.fleet.test_fleet import agent
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
    fleet.hear_agent(FIRST, agent(), 0.0)
    return fleet


@pytest.fixture
def core(fleet, outbox):
    log = DecisionLog('test', lambda: 0.0, len)
    core = BalancerCore(
        'accra', fleet, CODEC, outbox, log, Measures(), random.Random(1), 0.0
    )
    core.set_routes(RouteIndex(TABLE))
    return core


def handed_back(reason, packet):
    return frames.Return(reason, 0, 2000, (), packet.raw)


def test_flow_of_an_upstream_that_ended_is_reset_at_once(core, outbox):
    """Guards against callers who wait for an upstream that is gone."""
    core.receive(OPENING, 0.0)
    core.receive_return(
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
    fleet.hear_agent(FIRST, agent(2, state=AgentState.DRAINING), 0.1)
    fleet.hear_agent(SECOND, agent(), 0.1)
    core.receive(COPY, 0.2)
    assert [ip for ip, _ in outbox.frames] == [FIRST, SECOND]
    outbox.frames.clear()
    if is_told:
        ended = agent(2, state=AgentState.ENDED)
        fleet.hear_agent(SECOND, ended, 0.3)
        core.receive(REQUEST, 0.3)
    else:
        core.receive_return(
            SECOND, handed_back(Reason.OTHER_UPSTREAM, REQUEST), 0.3
        )
    assert outbox.to_callers == []
    assert FIRST in {ip for ip, _ in outbox.frames}
    outbox.frames.clear()
    core.receive_tell(
        FIRST, frames.Tell(REQUEST.flow, Verdict.OWNED, 1000), 0.31
    )
    [(ip, frame)] = outbox.frames
    assert (ip, frame.raw) == (FIRST, REQUEST.raw)


def test_opening_that_was_handed_back_has_one_owner(core, fleet, outbox):
    """Guards against searches for flows that can only be at one upstream."""
    core.receive(OPENING, 0.0)
    fleet.hear_agent(SECOND, agent(), 0.1)
    core.receive_return(FIRST, handed_back(Reason.FULL, OPENING), 0.1)
    assert outbox.frames[-1][0] == SECOND
    core.receive_return(
        SECOND, handed_back(Reason.OTHER_UPSTREAM, REQUEST), 0.2
    )
    assert len(outbox.to_callers) == 1
