"""Placement under the loads that it answers."""

import random

from ibispitch.fleet.core import AgentView
from ibispitch.fleet.messages import AgentState
from ibispitch.placement.core import choose_agent
from ibispitch.routes.model import RequestKind
from ibispitch.routes.model import Route
from ibispitch.routes.model import Share
from tests.fleet.test_fleet import agent


def route(kind=RequestKind.UNSAFE) -> Route:
    return Route(b'place1', (Share('counter', 1),), kind, 0.1, 2.0, 1)


def views(*loads, datacentre='accra', **changes):
    return [
        AgentView(
            f'{datacentre}-{number}',
            agent(
                running=load, work_s=0.015, datacentre=datacentre, **changes
            ),
            0.0,
        )
        for number, load in enumerate(loads)
    ]


def place(candidates, kind=RequestKind.UNSAFE, seed=1):
    return choose_agent(candidates, route(kind), 'accra', random.Random(seed))


def test_idle_upstream_first():
    """Guards against a queue of two beside an idle upstream."""
    assert place(views(1, 0, 2)).ip == 'accra-1'


def test_own_datacentre_unless_busy():
    """Guards against bytes between data centres that save nothing."""
    near, far = views(0, 1), views(0, datacentre='tema')
    assert place(near + far).ip == 'accra-0'
    assert place(views(1, 2) + far).ip == 'tema-0'


def test_uploads_stay_near():
    """Guards against large bodies between data centres."""
    far = views(0, datacentre='tema')
    near = views(1, slots=2)
    assert place(near + far, RequestKind.UPLOAD).ip == 'accra-0'


def test_full_queues_let_the_opening_wait():
    """Guards against a queue that makes requests late where no other one
    can go ahead of them.
    """
    assert place(views(4, 4)) is None
    assert place(views(4, 2)).ip == 'accra-1'


def test_flows_sent_since_the_last_status_count():
    """Guards against a burst that goes to one upstream between statuses."""
    candidates = views(0, 0, 0)
    for _ in range(6):
        place(candidates, seed=3).flows_since_status += 1
    assert [view.flows_since_status for view in candidates] == [2, 2, 2]


def test_long_flows_are_spread():
    """Guards against feeds that pin their requests to a few upstreams."""
    candidates = views(0, 0, 0)
    candidates[0].status = agent(long_flows=30, work_s=0.015)
    candidates[1].status = agent(long_flows=10, work_s=0.015)
    candidates[2].status = agent(long_flows=20, work_s=0.015)
    assert place(candidates, RequestKind.SAFE).ip == 'accra-1'


def test_slow_upstream_is_a_busy_one():
    """Guards against new flows for an upstream that takes five times longer.

    It is idle more often than the others when it is avoided, and takes a
    request only if the others would end it later.
    """
    candidates = views(1, 1, 0, slots=2)
    slow = candidates[2]
    slow.status = agent(work_s=0.075, slots=2)
    assert place(candidates).ip != slow.ip
    assert place(views(5, 5, 5, slots=2)[:2] + [slow]) is slow


def test_usual_differences_are_no_slowness():
    """Guards against idle upstreams that are avoided for a few requests."""
    candidates = views(1, 1, 0)
    candidates[2].status = agent(work_s=0.02)
    assert place(candidates).ip == 'accra-2'


def test_failing_upstream_is_avoided():
    """Guards against new flows for an upstream that resets half of them.

    Its heartbeat and its health check say that it is well (srv_grey of the
    grown sites).
    """
    candidates = views(2, 1, 0)
    candidates[2].status = agent(work_s=0.015, failing=0.4)
    assert place(candidates).ip == 'accra-1'
    assert place(candidates[2:]).ip == 'accra-2'


def test_cold_budget():
    """Guards against openings that a cold upstream has to hand back."""
    cold = views(0, cold_openings=1)
    assert place(cold).ip == 'accra-0'
    cold[0].flows_since_status = 1
    assert place(cold) is None


def test_presumed_upstream_is_second_choice():
    """Guards against flows to an upstream that may be gone."""
    presumed = views(0, state=AgentState.PRESUMED)
    known = views(0, datacentre='tema')
    assert place(presumed + known).ip == 'tema-0'
