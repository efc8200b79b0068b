"""Tests of placement by the work of the flows."""

import random

import pytest

from ibispitch.fleet.core import AgentView
from ibispitch.placement.work import choose_agent_by_work
from tests.fleet.test_fleet import agent
from tests.placement.replay import Replay
from tests.placement.replay import SAFE
from tests.placement.replay import WAVE_S

#: Time until the rates of the first flows are measured.
WARM_UP_S = 6.0
#: Largest work of an upstream as a multiple of the mean. At the crest of a
#: wave, 1.55 times the mean demand of 0.44 of the slots, an upstream with
#: 1.47 times the work of the others is saturated.
MAX_SPREAD = 1.3


def view(ip, datacentre='accra', **changes):
    return AgentView(
        ip, agent(work_s=0.019, datacentre=datacentre, **changes), 0.0
    )


def place(views, seed=1):
    rng = random.Random(seed)
    return choose_agent_by_work(views, SAFE, 'accra', True, False, rng)


@pytest.mark.parametrize(('upstreams', 'seed'), [(44, 2), (140, 1)])
def test_work_is_even_in_waves(upstreams, seed):
    """Flows with many requests must not meet on few upstreams.

    Placed by their number, the busiest upstream has 1.49 and 1.45 times the
    mean work.
    """
    replay = Replay(upstreams, seed)
    replay.run(WARM_UP_S)
    before = replay.work_by_ip()
    replay.run(WARM_UP_S + WAVE_S)
    assert replay.spread_of_work(before) <= MAX_SPREAD


def test_flow_load_goes_before_the_number_of_flows():
    """Many idle flows must not divert flows to upstreams with busy ones."""
    views = [
        view('a', long_flows=2, flow_load=0.5),
        view('b', long_flows=12, flow_load=0.1),
    ]
    assert place(views).ip == 'b'


def test_flows_between_two_statuses_are_spread():
    """An upstream with little work must not get all flows until it reports.

    The loads differ by less than one flow causes.
    """
    views = [
        view(str(number), long_flows=10, flow_load=0.4 - 0.01 * number)
        for number in range(4)
    ]
    for _ in range(8):
        place(views).flows_since_status += 1
    assert [view.flows_since_status for view in views] == [2, 2, 2, 2]


def test_number_of_flows_where_no_load_is_reported():
    """Agents of the previous version report no load; their flows count."""
    views = [view('a', long_flows=9), view('b', long_flows=4)]
    assert place(views).ip == 'b'
    views.append(view('c', long_flows=10, flow_load=0.3))
    views.append(view('d', long_flows=10, flow_load=0.06))
    # The mean load of a flow is 0.018, so that 4 flows cause 0.072.
    assert place(views).ip == 'd'
