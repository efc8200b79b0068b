"""Where long flows are placed, and where a search looks for them first."""

import random

import pytest

from ibispitch.fleet.core import AgentView
from ibispitch.forwarding.packets import FlowKey
from ibispitch.locating.core import MAX_TRIAL_BATCH
from ibispitch.placement.core import choose_agent
from ibispitch.placement.preference import by_preference
from ibispitch.routes.model import Route
from ibispitch.routes.model import Share
from tests.fleet.test_fleet import agent

ROUTE = Route(b'place1', (Share('counter', 1),), 'safe', 0.25, 2.0, 2)
#: Share of the slots that are busy in ordinary load.
BUSY = 0.44
FLOWS_PER_AGENT = 40


def open_flows(agents: int, seed: int) -> dict[str, list[FlowKey]]:
    """Open long flows at agents with one slot; return them by agent."""
    rng = random.Random(seed)
    flows_by_ip = {f'10.1.{n // 250}.{n % 250}': [] for n in range(agents)}
    for number in range(agents * FLOWS_PER_AGENT):
        flow = FlowKey(number.to_bytes(12, 'big'))
        views = [
            AgentView(
                ip,
                agent(
                    running=int(rng.random() < BUSY), work_s=0.03,
                    datacentre='accra', long_flows=len(flows),
                ),
                0.0,
            )
            for ip, flows in flows_by_ip.items()
        ]  # fmt: skip
        view = choose_agent(
            views, ROUTE, 'accra', True, False, rng, 0.0, flow=flow
        )
        flows_by_ip[view.ip].append(flow)
    return flows_by_ip


@pytest.mark.parametrize('agents', [17, 60])
def test_first_trials_find_most_long_flows(agents):
    """Guards against searches whose trials grow with the fleet.

    After all processes were killed each flow was tried at 13 agents on
    average, in an order that said nothing of where it is
    (osa-returns-now-grown, trouble-3).
    """
    flows_by_ip = open_flows(agents, seed=1)
    ranks = sorted(
        by_preference(flow, flows_by_ip).index(ip)
        for ip, flows in flows_by_ip.items()
        for flow in flows
    )
    assert ranks[len(ranks) // 2] < 2
    found = sum(rank < MAX_TRIAL_BATCH for rank in ranks)
    assert found > 0.9 * len(ranks)


@pytest.mark.parametrize('agents', [17, 60])
def test_preference_keeps_the_balance(agents):
    """Guards against upstreams with more long flows than others.

    The busiest may have at most 1.15 times the mean.
    """
    counts = [len(flows) for flows in open_flows(agents, seed=2).values()]
    assert max(counts) <= 1.15 * FLOWS_PER_AGENT
