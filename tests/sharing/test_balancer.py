"""Tests of a balancer that shares its upstreams among callers."""

import random

import pytest

from ibispitch.decisionlog import DecisionLog
from ibispitch.fleet.core import Fleet
from ibispitch.fleet.messages import AgentState
from ibispitch.forwarding.balancer import BalancerCore
from ibispitch.forwarding.frames import Reason
from ibispitch.forwarding.packets import caller_ip
from ibispitch.histograms import LatencyHistograms
from ibispitch.ids import Address
from ibispitch.routes.model import RouteIndex
from ibispitch.settings.overload import Mode
from ibispitch.settings.overload import OverloadSettings
from ibispitch.settings.overload import SharingSettings
from ibispitch.waiting import core as waiting_core
from tests.fleet.test_fleet import agent
from tests.forwarding import test_agent_core
from tests.forwarding.test_agent_core import TABLE
from tests.forwarding.test_balancer_core import CODEC
from tests.forwarding.test_balancer_core import FIRST
from tests.forwarding.test_balancer_core import Outbox
from tests.forwarding.test_balancer_core import returned

HOG, OTHER = '100.64.0.7', '100.64.0.8'


def opening(ip: str, port: int):
    return CODEC.from_caller(test_agent_core.opening(Address(ip, port)))


class Balancer:
    """A balancer with one agent, and the lines that it logs."""

    def __init__(self, mode: Mode):
        self.lines = []
        self.outbox = Outbox()
        self.fleet = Fleet('10.1.0.1')
        log = DecisionLog('test', lambda: 0.0, len)
        log.failure = lambda event, flow, now, **inputs: self.lines.append(
            (event, caller_ip(flow), inputs)
        )
        self.core = BalancerCore(
            'accra', self.fleet, CODEC, self.outbox, log,
            LatencyHistograms(), random.Random(1), 0.0,
            OverloadSettings(sharing=SharingSettings(mode)),
        )  # fmt: skip
        self.core.set_routes(RouteIndex(TABLE))
        self.number = 0

    def set_state(self, state: AgentState, now: float) -> None:
        self.number += 1
        self.fleet.record_agent_status(
            FIRST, agent(self.number, state=state, slots=20), now
        )

    @property
    def callers(self) -> list[str]:
        """Callers of the forwarded openings."""
        return [
            caller_ip(CODEC.from_caller(frame.raw).flow)
            for _, frame in self.outbox.frames
        ]


@pytest.mark.parametrize(
    'mode, order',
    [
        (Mode.OFF, [HOG, HOG, HOG, OTHER]),
        (Mode.AUTO, [OTHER, HOG, HOG, HOG]),
    ],
)
def test_new_opening_does_not_pass_those_that_wait(mode, order):
    """An opening above the share must not take the place others wait for.

    A new opening was placed before the waiting ones if it arrived between
    the status of an agent and the next pass over the queue.
    """
    balancer = Balancer(mode)
    balancer.set_state(AgentState.READY, 0.0)
    for port in range(10):
        balancer.core.receive(opening(HOG, 1000 + port), 0.0)
    assert len(balancer.outbox.frames) == 10
    balancer.outbox.frames.clear()
    balancer.set_state(AgentState.DRAINING, 0.01)
    balancer.core.receive(opening(HOG, 2000), 0.01)
    balancer.core.receive(opening(HOG, 2001), 0.01)
    balancer.core.receive(opening(OTHER, 2000), 0.02)
    balancer.set_state(AgentState.READY, 0.03)
    balancer.core.receive(opening(HOG, 2002), 0.035)
    balancer.core.tick(0.04)
    assert balancer.callers == order


def test_refusal_names_the_share(monkeypatch):
    """An operator must see that an opening was refused because of its share.

    A caller that fills the queue must not keep the others out either.
    """
    monkeypatch.setattr(waiting_core, 'MAX_WAITING', 4)
    refused_by_mode = {}
    for mode in (Mode.OFF, Mode.AUTO):
        balancer = Balancer(mode)
        balancer.set_state(AgentState.DRAINING, 0.0)
        for port in range(4):
            balancer.core.receive(opening(HOG, 1000 + port), 0.0)
        balancer.core.receive(opening(OTHER, 1000), 0.01)
        [(_, caller, inputs)] = balancer.lines
        refused_by_mode[mode] = caller, inputs.get('above_share')
    assert refused_by_mode == {
        Mode.OFF: (OTHER, None),
        Mode.AUTO: (HOG, True),
    }


def test_opening_that_is_handed_back_is_not_counted_as_given():
    """Full upstreams must not put the callers that they refuse last."""
    balancer = Balancer(Mode.AUTO)
    balancer.set_state(AgentState.READY, 0.0)
    for port in range(10):
        packet = opening(HOG, 1000 + port)
        balancer.core.receive(packet, 0.0)
        balancer.core.receive_returned_packet(
            FIRST, returned(Reason.FULL, packet), 0.01
        )
    shares = balancer.core.shares
    shares.record_waiting('counter', OTHER, 0.01)
    assert not shares.is_above_share('counter', HOG, 0.03)
