"""Tests of the requests that an agent holds before its upstream."""

import msgspec
import pytest

from ibispitch.decisionlog import DecisionLog
from ibispitch.forwarding.agent import AgentCore
from ibispitch.forwarding.frames import OpeningAge
from ibispitch.forwarding.frames import Purpose
from ibispitch.gate.core import ColdLimits
from ibispitch.gate.core import Gate
from ibispitch.histograms import LatencyHistograms
from ibispitch.routes.model import RouteIndex
from ibispitch.settings.overload import GateSettings
from ibispitch.settings.overload import Mode
from ibispitch.settings.overload import OverloadSettings
from ibispitch.settings.overload import SchedulingSettings
from testbed import flow_packets
from testbed.flow_packets import ACK
from testbed.flow_packets import FIN
from testbed.flow_packets import RST
from testbed.flow_packets import SYN
from tests.forwarding.test_agent_core import answer
from tests.forwarding.test_agent_core import BALANCER
from tests.forwarding.test_agent_core import CALLER
from tests.forwarding.test_agent_core import CODEC
from tests.forwarding.test_agent_core import data
from tests.forwarding.test_agent_core import DESTINATION
from tests.forwarding.test_agent_core import forward
from tests.forwarding.test_agent_core import heartbeat
from tests.forwarding.test_agent_core import open_flow
from tests.forwarding.test_agent_core import opening
from tests.forwarding.test_agent_core import Outbox
from tests.forwarding.test_agent_core import TABLE

ROUTE = TABLE.routes[0]
#: Another destination with more urgent requests.
URGENT_ROUTE = msgspec.structs.replace(
    ROUTE, destination=ROUTE.destination[:4] + b'\x01\x02', priority=0
)
ONE_PRIORITY = RouteIndex(TABLE)
TWO_PRIORITIES = RouteIndex(
    msgspec.structs.replace(TABLE, routes=(ROUTE, URGENT_ROUTE))
)
#: With one slot, two requests are passed on and the others are held.
CALLERS = [CALLER._replace(port=3000 + number) for number in range(6)]
FIRST, SECOND, THIRD, FOURTH = CALLERS[:4]
GATE_OFF = GateSettings()
#: Time at which all flows are open and none of them counts as load.
START = 1.0


def make_core(
    mode=Mode.AUTO, routes=TWO_PRIORITIES, gate=GATE_OFF
) -> AgentCore:
    """Return an agent with open flows of all callers."""
    core = AgentCore(
        Gate('counter', 'accra', 1.2, ColdLimits(1.5, 5.0)), CODEC, Outbox(),
        DecisionLog('test', lambda: 0.0, len), LatencyHistograms(), True,
        3.0, 0.0, OverloadSettings(SchedulingSettings(mode), gate),
    )  # fmt: skip
    core.receive_heartbeat(heartbeat(), 0.0)
    core.set_routes(routes, 0.0)
    for number, caller in enumerate(CALLERS):
        core.check_cold_openings(0.1 * number)
        open_flow(core, 0.1 * number, caller)
    core.check_cold_openings(START)
    core.receive_heartbeat(heartbeat(sequence=2), START)
    for state in core.flows.state_by_flow.values():
        # The requests that follow are not older than the tests' times.
        state.asked_at = START
    core._outbox.to_upstreams.clear()
    return core


@pytest.fixture
def core():
    return make_core()


def send(core, raw, now=START):
    """Send a caller's packet; return what reaches the upstream."""
    sent = core._outbox.to_upstreams
    before = len(sent)
    core.receive(BALANCER, forward(raw, Purpose.OWNED), now)
    return sent[before:]


def respond(core, caller, now=START + 0.01, flags=ACK, body=b'answer'):
    """Send an upstream's packet; return what reaches the upstream then."""
    sent = core._outbox.to_upstreams
    before = len(sent)
    core.receive_upstream(answer(flags, body=body, caller=caller), now)
    return sent[before:]


def request(caller):
    return data(caller=caller)


def packet(caller, flags=ACK, sequence=101, body=b''):
    return flow_packets.build(caller, DESTINATION, flags, sequence, 501, body)


def fill(core, callers=CALLERS[:3], now=START):
    """Send the requests of callers; all but the first two are held."""
    for caller in callers:
        send(core, request(caller), now)
    assert core.requests.held_count == len(callers) - 2


def flow_of(caller):
    return CODEC.from_caller(request(caller)).flow


def state_of(core, caller):
    return core.flows.state_by_flow[flow_of(caller)]


def test_held_request_follows_an_answer(core):
    """Guards against requests that are held and never passed on."""
    fill(core)
    assert core._outbox.to_upstreams == [request(FIRST), request(SECOND)]
    assert respond(core, FIRST) == [request(THIRD)]
    assert core.requests.held_count == 0
    assert not state_of(core, THIRD).is_held


def test_held_request_counts_as_load(core):
    """Guards against new flows for an upstream whose requests are held."""
    fill(core, CALLERS[:5])
    assert core.flows.running == 5


def test_time_at_the_upstream_excludes_holding(core):
    """Guards against an upstream that looks slow because requests wait."""
    fill(core)
    respond(core, FIRST, START + 0.05)
    respond(core, SECOND, START + 0.05)
    respond(core, THIRD, START + 0.07)
    assert core.outcomes.work_s(START + 0.07) < 0.05


def test_retransmissions(core):
    """Guards against requests that run twice or that a loss leaves hanging.

    A copy of a held packet is dropped; a copy of a passed packet may replace
    one that was lost on its way to the upstream.
    """
    fill(core)
    assert send(core, request(THIRD), START + 0.05) == []
    assert respond(core, FIRST, START + 0.06) == [request(THIRD)]
    assert send(core, request(THIRD), START + 0.2) == [request(THIRD)]


def test_body_follows_its_request(core):
    """Guards against a body that overtakes the held head of its request."""
    fill(core)
    body = packet(THIRD, sequence=108, body=b'body')
    assert send(core, body) == []
    assert respond(core, FIRST) == [request(THIRD), body]
    rest = packet(THIRD, sequence=112, body=b'rest')
    assert send(core, rest, START + 0.02) == [rest]


def test_acknowledgements_pass(core):
    """Guards against upstreams that repeat answers that have arrived."""
    fill(core)
    acknowledgement = packet(THIRD, sequence=108)
    assert send(core, acknowledgement) == [acknowledgement]
    assert core.requests.held_count == 1


def test_reset_by_the_caller(core):
    """Guards against requests that run for callers that have given up."""
    fill(core)
    reset = packet(THIRD, RST, 108)
    assert send(core, reset) == [reset]
    assert (core.requests.held_count, core.requests.held_bytes) == (0, 0)
    assert respond(core, FIRST) == []


def test_end_behind_a_held_request(core):
    """Guards against a FIN that overtakes the request before it."""
    fill(core)
    end = packet(THIRD, FIN | ACK, 108)
    assert send(core, end) == []
    assert respond(core, FIRST) == [request(THIRD), end]


def test_end_behind_a_passed_request(core):
    """Guards against a place that is given away while its request runs.

    A caller that sends nothing else may close its side behind the request.
    """
    fill(core)
    end = packet(FIRST, FIN | ACK, 108)
    assert send(core, end) == [end]
    assert respond(core, FIRST) == [request(THIRD)]


@pytest.mark.parametrize('flags', [FIN | ACK, RST])
def test_upstream_that_breaks_off(core, flags):
    """Guards against a place that an aborted request keeps."""
    fill(core)
    send(core, packet(FIRST, FIN | ACK, 108))
    assert respond(core, FIRST, flags=flags, body=b'') == [request(THIRD)]


def test_request_that_the_upstream_hands_back(core):
    """Guards against a free place that stays unused until the next packet."""
    fill(core)
    core._outbox.to_upstreams.clear()
    bounced = flow_packets.bounced(request(FIRST))
    core.receive_upstream(CODEC.from_upstream(bounced), START + 0.01)
    assert core._outbox.to_upstreams == [request(THIRD)]


def test_rest_of_an_earlier_answer(core):
    """Guards against a held request that counts as answered.

    The upstream repeats an answer whose acknowledgement was lost; its caller
    has sent the next request meanwhile.
    """
    send(core, request(THIRD))
    respond(core, THIRD)
    fill(core, CALLERS[:2])
    following = packet(THIRD, sequence=108, body=b'next')
    send(core, following, START + 0.02)
    assert respond(core, THIRD, START + 0.03) == []
    assert core.flows.running == 3
    assert state_of(core, THIRD).request_received_at is not None
    assert respond(core, FIRST, START + 0.04) == [following]


def test_stop_passes_on_everything(core):
    """Guards against requests that a planned restart delays."""
    fill(core, CALLERS)
    core.stop(1, START + 0.01)
    assert core._outbox.to_upstreams == [request(c) for c in CALLERS]
    assert core.requests.held_count == 0


def test_upstream_restart(core):
    """Guards against requests for a former upstream at its successor."""
    fill(core)
    core._outbox.to_upstreams.clear()
    core.receive_heartbeat(heartbeat(started_ms=2000), START + 0.1)
    core.check_cold_openings(START + 0.2)
    assert (core.requests.held_count, core.requests.held_bytes) == (0, 0)
    assert core.requests.passed_count == 0
    assert core._outbox.to_upstreams == []


def test_expired_request(core):
    """Guards against requests that run for callers that have given up."""
    fill(core)
    late = START + ROUTE.timeout_s + 0.01
    core.check_cold_openings(late)
    assert core.requests.count_by_outcome['expired'] == 1
    assert core._outbox.to_upstreams == [request(FIRST), request(SECOND)]
    assert not state_of(core, THIRD).is_running


def test_agent_that_was_suspended(core):
    """Guards against expired requests that run before the first tick.

    The first packet after a suspension finds all places free.
    """
    fill(core)
    late = START + ROUTE.timeout_s + 0.01
    state_of(core, FOURTH).asked_at = late
    assert send(core, request(FOURTH), late) == [request(FOURTH)]
    assert core.requests.count_by_outcome['expired'] == 1


def test_hanging_requests_do_not_block_others(core):
    """Guards against an upstream that is lost by hanging on two requests."""
    fill(core)
    core._outbox.to_upstreams.clear()
    core.check_cold_openings(START + ROUTE.objective_s - 0.01)
    assert core._outbox.to_upstreams == []
    core.check_cold_openings(START + ROUTE.objective_s + 0.01)
    assert core._outbox.to_upstreams == [request(THIRD)]


@pytest.mark.parametrize(
    ('mode', 'routes', 'is_active'),
    [
        (Mode.OFF, TWO_PRIORITIES, False),
        (Mode.AUTO, ONE_PRIORITY, False),
        (Mode.AUTO, TWO_PRIORITIES, True),
        (Mode.ON, ONE_PRIORITY, True),
    ],
)
def test_modes(mode, routes, is_active):
    """Guards against deployments that are served differently than before."""
    core = make_core(mode, routes)
    for caller in CALLERS:
        send(core, request(caller))
    assert core.requests.held_count == (4 if is_active else 0)
    assert core.requests.is_active == is_active
    assert (len(core._outbox.to_upstreams) == 6) == (not is_active)


def test_routes_that_no_longer_call_for_it(core):
    """Guards against requests that stay held after a change of routes."""
    fill(core)
    core.set_routes(ONE_PRIORITY, START + 0.01)
    assert core._outbox.to_upstreams[-1] == request(THIRD)
    assert core.requests.held_count == 0


def test_large_body_is_streamed(core):
    """Guards against a large body that is held as a whole, or lost.

    The caller repeats what was dropped beyond the window.
    """
    fill(core)
    body = [
        packet(THIRD, sequence=108 + 4 * n, body=b'body') for n in range(20)
    ]
    for raw in body:
        assert send(core, raw) == []
    assert respond(core, FIRST) == [request(THIRD), *body[:15]]
    assert send(core, body[15], START + 0.2) == [body[15]]


def test_new_flow_on_a_reused_port(core):
    """Guards against held packets of an earlier flow on the same port."""
    fill(core)
    again = flow_packets.build(THIRD, DESTINATION, SYN, 9000, 0)
    core.receive(BALANCER, forward(again), START + 0.1)
    assert core.requests.held_count == 0


def test_late_held_requests_are_no_load(core):
    """Guards against idle room for new flows behind late held requests.

    Balancers then kept openings that could be on time, while the upstream ran
    the late requests: in a burst of 2.2 times the capacity, every eighth
    answer was late.
    """
    for caller in CALLERS[:4]:
        send(core, request(caller))
    assert core.load(START) == 4
    assert core.load(START + ROUTE.objective_s + 0.01) == 2


def test_late_held_requests_go_before_late_openings():
    """Guards against a backlog of late openings at one agent.

    Held requests that are late were no load for late openings either, so
    that the agent admitted one after the other and ran none of them in time.
    """
    core = make_core(gate=GateSettings(Mode.ON))
    fill(core, CALLERS[:5])
    late_at = START + ROUTE.objective_s + 0.01
    assert core.load(late_at) == 2
    assert core.late_load(late_at) == 3
    for caller in CALLERS[:2]:
        respond(core, caller, late_at)
    # Two of the late ones run now, and one is held.
    assert core.load(late_at) == 2
    assert core.late_load(late_at) == 1
    core._outbox.frames.clear()
    late = CALLER._replace(port=4000)
    core.receive_age(OpeningAge(flow_of(late), ROUTE.objective_s), late_at)
    core.receive(BALANCER, forward(opening(late)), late_at)
    assert opening(late) not in core._outbox.to_upstreams
