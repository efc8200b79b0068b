"""Tests of the gate, which limits what an upstream receives."""

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from ibispitch.fleet.messages import AgentState
from ibispitch.forwarding.frames import Reason
from ibispitch.gate.core import ColdLimits
from ibispitch.gate.core import Gate
from ibispitch.gate.core import Heartbeat
from ibispitch.gate.core import UpstreamState
from ibispitch.routes.model import Route
from ibispitch.routes.model import RouteIndex
from ibispitch.routes.model import RouteTable
from ibispitch.routes.model import ServiceLimits
from ibispitch.routes.model import Share
from ibispitch.routes.position import TablePosition

FLOW = b'caller' + b'place1'
COLD_LIMITS = ColdLimits(1.5, 5.0)
TABLE = RouteTable(
    revision=10, version=1,
    routes=(
        Route(
            b'place1', (Share('counter', 1),), 'safe', 0.1, 1.5, 1
        ),
    ),
    services=(ServiceLimits('counter', 2.0, 4.0, '/healthz'),),
    idle_timeout_s=15.0, out=frozenset(),
)  # fmt: skip
HEARTBEAT = Heartbeat('i-1', 1000, 'counter', 2, UpstreamState.READY, 1, 0.0)


def index(**changes) -> RouteIndex:
    return RouteIndex(msgspec.structs.replace(TABLE, **changes))


def at(revision) -> TablePosition:
    return TablePosition(0, revision)


@pytest.fixture
def gate():
    return Gate('counter', 'accra', 1.2, COLD_LIMITS)


def test_unknown_upstream_gets_nothing(gate):
    """An unknown upstream must not get new flows."""
    assert gate.state(0.0) is AgentState.UNKNOWN
    assert gate.admit(FLOW, index(), at(10), 0.0) is Reason.CLOSED


def test_draining_is_final_for_its_start(gate):
    """A late heartbeat must not let new flows into a draining upstream."""
    gate.receive_heartbeat(HEARTBEAT, 0.0)
    assert gate.admit(FLOW, index(), at(10), 0.1) is None
    draining = HEARTBEAT._replace(state=UpstreamState.DRAINING, sequence=3)
    gate.receive_heartbeat(draining, 0.2)
    assert not gate.receive_heartbeat(HEARTBEAT._replace(sequence=2), 0.3)
    assert gate.admit(FLOW, index(), at(10), 0.4) is Reason.CLOSED


def test_heartbeat_of_a_dead_predecessor(gate):
    """A delayed heartbeat of an earlier process must be ignored."""
    gate.receive_heartbeat(
        HEARTBEAT._replace(started_ms=2000, sequence=1), 0.0
    )
    late = HEARTBEAT._replace(
        started_ms=1000, sequence=99, state=UpstreamState.DRAINING
    )
    assert not gate.receive_heartbeat(late, 0.1)
    assert gate.state(0.2) is AgentState.READY


def test_upstream_whose_clock_stepped_back(gate):
    """Guards against a live upstream that counts as silent for ever.

    Its clock had stepped back before its start, so that its predecessor
    seemed to be the later one.
    """
    gate.receive_heartbeat(HEARTBEAT._replace(started_ms=9000), 0.0)
    results = [
        gate.receive_heartbeat(
            HEARTBEAT._replace(started_ms=5000, sequence=number),
            1.2 * number,
        )
        for number in range(1, 5)
    ]
    assert results == [False, True, True, True]
    assert gate.incarnation == 5000
    assert gate.state(4.8) is AgentState.READY


def test_cold_upstream_whose_clock_stepped_back(gate):
    """Guards against too many flows for an upstream that seems to be former.

    Until its second heartbeat it was taken for its warm predecessor
    (testbed.flow_days with identity faults, seeds 13, 14 and 31).
    """
    gate.receive_heartbeat(HEARTBEAT._replace(started_ms=9000), 0.0)
    assert gate.cold_openings(index(), 0.1) is None
    cold = HEARTBEAT._replace(started_ms=5000, cold_left_s=1.9)
    assert not gate.receive_heartbeat(cold, 0.2)
    assert gate.cold_openings(index(), 0.3) == gate.cold_limit(index())
    # The next heartbeat of the live upstream ends the doubt.
    gate.receive_heartbeat(
        HEARTBEAT._replace(started_ms=9000, sequence=2), 1.2
    )
    assert gate.cold_openings(index(), 1.3) is None


def test_warm_upstream_in_the_place_of_another(gate):
    """Guards against a late heartbeat that hides that the upstream is cold."""
    cold = HEARTBEAT._replace(started_ms=5000, cold_left_s=1.9)
    gate.receive_heartbeat(cold, 0.0)
    late = HEARTBEAT._replace(started_ms=9000)
    assert gate.receive_heartbeat(late, 0.5)
    assert gate.cold_openings(index(), 0.6) == gate.cold_limit(index())
    assert gate.receive_heartbeat(late._replace(sequence=2), 1.7)
    assert gate.cold_openings(index(), 1.8) is None


def test_late_heartbeats_while_the_upstream_lives(gate):
    """Guards against late heartbeats that replace the live upstream."""
    for number in range(1, 9):
        at = 1.2 * number
        live = HEARTBEAT._replace(started_ms=9000, sequence=number)
        assert gate.receive_heartbeat(live, at)
        late = HEARTBEAT._replace(started_ms=5000, sequence=number)
        assert not gate.receive_heartbeat(late, at + 0.5)
        assert not gate.receive_heartbeat(live, at + 0.6)
    assert gate.incarnation == 9000


def test_same_name_after_a_restart(gate):
    """A restarted upstream of the same name is a new incarnation."""
    gate.receive_heartbeat(HEARTBEAT._replace(sequence=50), 0.0)
    assert gate.record_leaving('i-1')
    assert gate.state(0.1) is AgentState.DRAINING
    gate.record_no_upstream()
    assert gate.state(0.1) is AgentState.ENDED
    assert gate.receive_heartbeat(
        HEARTBEAT._replace(started_ms=5000, sequence=1), 0.2
    )
    assert gate.state(0.3) is AgentState.READY
    assert gate.incarnation == 5000


def test_silent_upstream(gate):
    """An upstream that sends no more heartbeats must not get new flows."""
    gate.receive_heartbeat(HEARTBEAT, 0.0)
    assert gate.state(3.0) is AgentState.READY
    assert gate.state(3.2) is AgentState.SILENT


def test_routes(gate):
    """A flow that only older routes allow must be refused."""
    gate.receive_heartbeat(HEARTBEAT, 0.0)
    other = b'caller' + b'place2'
    assert gate.admit(other, index(), at(10), 0.1) is Reason.NO_ROUTE
    # The routes of the balancer are newer than those of this agent.
    assert gate.admit(other, index(), at(11), 0.1) is None


def test_datacentre_out(gate):
    """A data centre that is out must not get new flows."""
    gate.receive_heartbeat(HEARTBEAT, 0.0)
    out = index(revision=11, out=frozenset({'accra'}))
    gate.set_routes(out, 0.0)
    assert gate.admit(FLOW, out, at(10), 0.1) is Reason.CLOSED
    back = index(revision=12)
    gate.set_routes(back, 5.0)
    assert gate.cold_openings(back, 5.0) == 11
    gate.receive_heartbeat(HEARTBEAT._replace(sequence=2), 5.1)
    assert gate.cold_openings(back, 5.1) is None


def test_presumed_upstream_counts_as_cold(gate):
    """An upstream that may have restarted must not be overloaded."""
    gate.record_health_answer(0.0)
    assert gate.state(0.1) is AgentState.PRESUMED
    reasons = [gate.admit(FLOW, index(), at(10), 0.1) for _ in range(20)]
    assert reasons.count(None) == 11
    assert gate.state(4.0) is AgentState.UNKNOWN


def test_stopping_process(gate):
    """A stopping agent must admit no flows unknown to its successor."""
    gate.receive_heartbeat(HEARTBEAT, 0.0)
    gate.close()
    assert gate.state(0.1) is AgentState.RESTARTING
    assert gate.admit(FLOW, index(), at(10), 0.1) is Reason.CLOSED


@given(
    st.lists(st.floats(0.0, 0.2), max_size=200),
    st.floats(0.0, 20.0),
    st.floats(0.0, 9.0),
)
def test_cold_upstream_in_any_second(gaps, per_s, slack):
    """A cold upstream must not get more new flows than its limit."""
    gate = Gate('counter', 'accra', 1.2, ColdLimits(1.5, slack))
    limits = (ServiceLimits('counter', 2.0, per_s, '/healthz'),)
    routes = index(services=limits)
    gate.receive_heartbeat(HEARTBEAT._replace(cold_left_s=1000.0), 0.0)
    now = 0.0
    admitted = []
    for gap in gaps:
        now += gap
        if gate.state(now) is AgentState.SILENT:
            break
        if gate.admit(FLOW, routes, at(10), now) is None:
            admitted.append(now)
    bound = per_s * 1.5 + slack
    for start in admitted:
        assert sum(start <= at < start + 1.0 for at in admitted) <= bound


@pytest.mark.parametrize(
    ('cold_left_s', 'started_at', 'expected'),
    [(1.9, 9.8, True), (1.9, 11.0, False), (0.0, 9.0, False)],
)
def test_time_since_an_upstream_is_cold(
    gate, cold_left_s, started_at, expected
):
    """Guards against too many openings after those of a former agent."""
    gate.receive_heartbeat(HEARTBEAT._replace(cold_left_s=cold_left_s), 10.0)
    assert gate.did_turn_cold_after(started_at, index()) is expected


def test_agent_that_stops_without_having_heard_its_upstream(gate):
    """Searches must not wait 8 s for an agent that knew no flows."""
    gate.close()
    assert gate.state(0.0) is AgentState.UNKNOWN
    gate.receive_heartbeat(HEARTBEAT, 0.1)
    assert gate.state(0.2) is AgentState.RESTARTING
