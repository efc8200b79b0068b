"""What the processes of a fleet send each other without any load."""

import asyncio
from collections import Counter

from ibispitch.fleet.core import LOST_S
from testbed.flow_network import FlowNetwork
from testbed.flow_platform import FEED
from testbed.simulated_loop import simulate

#: What a host may send for control, from the users' letter on the size that
#: they expect.
MOST_BYTES_PER_S = 4000
#: The grown fleet of Omaheke.
DATACENTRES = {'khomas-a': 8, 'khomas-b': 8, 'khomas-c': 7}
AGENTS_EACH = 20
CALM_S = 10


async def start_grown_fleet(loop) -> FlowNetwork:
    agents = [
        (name, 'counter') for name in DATACENTRES for _ in range(AGENTS_EACH)
    ]
    network = FlowNetwork(loop, DATACENTRES, agents)
    network.configure(1, (FEED,))
    await network.start()
    return network


def test_control_bytes_of_a_grown_fleet():
    """Guards against status messages that cost more than the letter allows.

    Balancers sent up to 34 KB/s at this size: each answer to an agent had the
    names of all processes.
    """

    async def day(loop):
        network = await start_grown_fleet(loop)
        await asyncio.sleep(3.0)
        before = Counter(network.sent_bytes)
        await asyncio.sleep(CALM_S)
        return network.sent_bytes - before

    sent = simulate(day)
    per_s = {name: count / CALM_S for name, count in sent.items()}
    assert len(per_s) == sum(DATACENTRES.values()) + 3 * AGENTS_EACH
    worst = max(per_s, key=per_s.get)
    assert per_s[worst] <= MOST_BYTES_PER_S, (worst, per_s[worst])


def test_balancers_keep_hearing_all_agents():
    """Guards against live flows that are reset for a silence by mistake.

    Agents heard names seldom and forgot balancers after 30 s, which took them
    for lost 3.6 s later (hunt fb0a89e9 on osa-returns-grown, a calm day).
    """

    async def day(loop):
        network = await start_grown_fleet(loop)
        worst = 0.0
        for _ in range(90):
            await asyncio.sleep(0.5)
            for host in network.balancers:
                views = host.node.fleet.agents_by_ip.values()
                assert len(views) == 3 * AGENTS_EACH
                now = host.clock()
                worst = max(worst, *(now - v.heard_at for v in views))
        return worst

    assert simulate(day) < LOST_S
