"""Packets that agents try at an upstream which may not hold their flow.

The load is that after a kill of all processes: balancers search the owners of
all open flows at once, and most of the packets that an agent tries are handed
back. On a day with 50 upstreams there were 20 such packets for each flow.
"""

from collections import defaultdict

import pytest

from ibispitch.forwarding.agent import AgentCore
from ibispitch.forwarding.frames import Purpose
from ibispitch.forwarding.frames import Reason
from ibispitch.settings.overload import Mode
from ibispitch.settings.overload import OverloadSettings
from ibispitch.settings.overload import SchedulingSettings
from testbed import flow_packets
from tests.forwarding.test_agent_core import answer
from tests.forwarding.test_agent_core import BALANCER
from tests.forwarding.test_agent_core import CALLER
from tests.forwarding.test_agent_core import CODEC
from tests.forwarding.test_agent_core import data
from tests.forwarding.test_agent_core import DESTINATION
from tests.forwarding.test_agent_core import forward
from tests.forwarding.test_agent_core import heartbeat
from tests.forwarding.test_agent_core import make_core
from tests.forwarding.test_agent_core import Outbox
from tests.forwarding.test_held_requests import TWO_PRIORITIES

SCHEDULED = OverloadSettings(scheduling=SchedulingSettings(Mode.ON))
#: Many more trials than the two requests that one slot takes.
TRIED = [CALLER._replace(port=3000 + number) for number in range(40)]
OWNED = CALLER._replace(port=5000)


@pytest.fixture
def core() -> AgentCore:
    core = make_core(Outbox(), knows_all_flows=False, overload=SCHEDULED)
    core.set_routes(TWO_PRIORITIES, 0.0)
    core.receive_heartbeat(heartbeat(), 0.0)
    return core


def try_packet(core, caller, now=0.1):
    core.receive(BALANCER, forward(data(caller=caller), Purpose.TRIAL), now)


def hand_back(core, caller, now=0.12):
    raw = flow_packets.bounced(data(caller=caller))
    core.receive_upstream(CODEC.from_upstream(raw), now)


def test_trials_are_not_held(core):
    """Guards against trials that wait behind each other for a slot."""
    for caller in TRIED:
        try_packet(core, caller)
    assert len(core._outbox.to_upstreams) == len(TRIED)
    assert core.requests.held_count == 0


def test_trials_are_no_load(core):
    """Guards against an upstream that looks busy with others' flows."""
    for caller in TRIED:
        try_packet(core, caller)
    assert core.load(0.1) == 0
    assert core.requests.passed_count == 0
    assert core.outcomes.work_s(0.3) == 0.0


def test_trials_do_not_delay_requests(core):
    """Guards against a request of a known flow behind 40 trials."""
    core.receive_upstream(answer(body=b'notice', caller=OWNED), 0.05)
    for caller in TRIED:
        try_packet(core, caller)
    raw = flow_packets.build(
        OWNED, DESTINATION, flow_packets.ACK, 101, 507, b'GET'
    )
    core.receive(BALANCER, forward(raw, Purpose.OWNED), 0.11)
    assert core._outbox.to_upstreams[-1] == raw


def test_handed_back_trials_leave_nothing(core):
    """Guards against flows or status messages left by failed trials."""
    core.flows.is_changed = False
    for caller in TRIED:
        try_packet(core, caller)
        hand_back(core, caller)
    assert core.flow_count == 0
    assert core.flows.running == 0
    assert not core.flows.is_changed
    reasons = {frame.reason for _, frame in core._outbox.frames}
    assert reasons == {Reason.NOT_OWNED}


def test_the_request_of_a_found_flow_counts(core):
    """Guards against an upstream that runs found requests and looks idle."""
    try_packet(core, OWNED)
    core.receive_upstream(answer(caller=OWNED), 0.11)
    assert core.load(0.11) == 1
    assert core.requests.passed_count == 1
    core.receive_upstream(answer(body=b'notice', caller=OWNED), 0.14)
    assert core.load(0.14) == 0
    assert core.requests.passed_count == 0
    assert core.outcomes.work_s(0.14) == pytest.approx(0.04)


def test_the_request_of_a_found_flow_is_logged():
    """Guards against requests that ``ibispitchctl explain`` can't follow."""
    log = RecordedLog()
    core = make_core(Outbox(), False, SCHEDULED, log)
    core.receive_heartbeat(heartbeat(), 0.0)
    body = b'GET / HTTP/1.1\r\nX-Ibispitch-Request-Id: 7f\r\n\r\n'
    raw = data(caller=OWNED, body=body)
    core.receive(BALANCER, forward(raw, Purpose.TRIAL), 0.1)
    assert 'request.passed' not in log.requests_by_event
    core.receive_upstream(answer(caller=OWNED), 0.11)
    core.receive_upstream(answer(body=b'notice', caller=OWNED), 0.14)
    assert log.requests_by_event['request.passed'] == ['7f']
    assert log.requests_by_event['request.answered'] == ['7f']


class RecordedLog:
    """Records the requests of decisions by event."""

    def __init__(self):
        self.requests_by_event = defaultdict(list)

    def decision(self, event, _flow, _now, **inputs):
        self.requests_by_event[event].append(inputs.get('request'))

    def change(self, *_arguments, **_inputs):
        pass
