"""Benchmark of the affinity core in comparison with simpler designs.

Only cores run. The set-up is that of section 1.1 of the design page:
7 agents in 3 data centres, a one-way delay of 1.5 ms, and views that take
up to 1 s to arrive.
"""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from functools import partial
from itertools import cycle
from itertools import islice
import random
import time
from typing import NamedTuple

from ibispitch.affinity import AffinityCore
from ibispitch.affinity import Packet
from ibispitch.ids import AgentId
from ibispitch.ids import FlowId
from ibispitch.routing import RoutingCore
from testbed.affinity_baselines import ChainCore
from testbed.affinity_baselines import TellEverythingCore
from testbed.affinity_baselines import TellNothingCore
from testbed.affinity_network import AffinityNetwork
from testbed.affinity_network import Conditions
from testbed.affinity_network import NUMBER
from testbed.figures import at_most
from testbed.figures import Figure
from testbed.figures import informative
from testbed.figures import Part
from testbed.figures import print_figures
from testbed.figures import run_parts

DEFAULT_FLOWS = 100_000
CONDITIONS = Conditions(delay_s=0.0015, view_delay_s=1.0)
DATACENTRES = ('khomas-1', 'khomas-2', 'khomas-3')
AGENTS = 7
FLOWS_PER_AGENT = 2000
BALANCERS = 4

#: Flows opened and flows closed per second. With 14,000 open flows, a flow
#: lasts 14 s on average.
FLOWS_PER_S = 1000

#: Bounds from section 1.6 of the design page.
MAX_BROKEN = 0
MAX_CONTROL_BYTES_PER_S = 4096
MAX_STEADY_IMBALANCE = 1.10
MAX_CHANGE_IMBALANCE = 1.25

REPORT_INTERVAL_S = 0.5
SAMPLED_PEERS = 8

#: A home keeps a new flow while its load is at most this multiple of the
#: mean.
MAX_HOME_LOAD_RATIO = 1.02

DESIGNS: dict[str, Callable] = {
    'chosen': AffinityCore,
    'tell_nothing': TellNothingCore,
    'chain': ChainCore,
    'tell_everything': TellEverythingCore,
}


class LoadAwarePlacement:
    """Places a flow at the home or at the least loaded sampled peer.

    The loads of peers are those of their last report. As all homes place
    about the same number of flows, the estimate of the mean load grows by
    the number of flows that this home has placed since that report.
    """

    def __init__(self, reports: 'FlowCountReports'):
        self._reports = reports
        self._placed: Counter[AgentId] = Counter()
        self._reported_at = -1.0

    def choose_owner(
        self, self_id: AgentId, candidates: Sequence[AgentId], now: float
    ) -> AgentId | None:
        """Return the home unless it is above its bound, else a peer."""
        if self._reports.reported_at != self._reported_at:
            self._reported_at = self._reports.reported_at
            self._placed.clear()
        if len(candidates) > SAMPLED_PEERS:
            candidates = self._reports.rng.sample(candidates, SAMPLED_PEERS)
        loads = {
            agent: self._reports.flows_by_agent[agent] + self._placed[agent]
            for agent in candidates
        }
        reported_total = sum(
            self._reports.flows_by_agent[agent] for agent in candidates
        )
        mean = reported_total / len(candidates) + self._placed.total()
        if (
            self_id in loads
            and self._reports.flow_count(self_id) <= mean * MAX_HOME_LOAD_RATIO
        ):
            owner = self_id
        else:
            owner = min(loads, key=loads.get)
        self._placed[owner] += 1
        return owner


class FlowCountReports:
    """Number of flows of each agent as last reported."""

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.net: AffinityNetwork | None = None
        self.flows_by_agent: Counter[AgentId] = Counter()
        self.reported_at = 0.0

    def flow_count(self, agent: AgentId) -> int:
        """Return the current number of flows of an agent."""
        return self.net.agents[agent].core.flow_count

    def report(self) -> None:
        """Report the current flow counts of all agents."""
        self.reported_at = self.net.now
        for agent in self.net.agents:
            self.flows_by_agent[agent] = self.flow_count(agent)

    def run(self, seconds: float) -> None:
        """Advance simulated time, with a report in each interval."""
        end = self.net.now + seconds
        while self.net.now < end - 1e-9:
            step = min(REPORT_INTERVAL_S, end - self.net.now)
            self.net.run(step)
            self.report()


def new_network(
    make_core: Callable, seed: int = 1
) -> tuple[AffinityNetwork, FlowCountReports]:
    """Return a network after all agents have joined one by one."""
    reports = FlowCountReports(random.Random(seed))
    net = AffinityNetwork(
        seed,
        CONDITIONS,
        BALANCERS,
        lambda agent: LoadAwarePlacement(reports),
        make_core,
    )
    reports.net = net
    for number, datacentre in zip(
        range(AGENTS), cycle(DATACENTRES), strict=False
    ):
        net.join(f'a{number}', datacentre)
        net.publish_now()
        reports.run(0.5)
    return net, reports


def flow_ids(count: int, first: int = 0) -> list[FlowId]:
    """Return the ids of distinct flows."""
    return [
        FlowId(number.to_bytes(6, 'big'))
        for number in range(first, first + count)
    ]


def spread_packets(
    net: AffinityNetwork,
    reports: FlowCountReports,
    flows: Iterable[FlowId],
    seconds: float,
) -> None:
    """Send one packet of each flow, evenly spread over a period."""
    remaining = iter(flows)
    intervals = max(1, round(seconds / 0.01))
    flows = list(remaining)
    per_interval = -(-len(flows) // intervals)
    remaining = iter(flows)
    for number in range(intervals):
        for flow in islice(remaining, per_interval):
            net.send_packet(flow)
        net.run(0.01)
        if number % 50 == 49:
            reports.report()


class Change(NamedTuple):
    """A planned change to the service.

    :param apply: makes the change.
    :param removed_agents: returns the agents whose flows the change ends.
    """

    name: str
    apply: Callable[[AffinityNetwork], None]
    removed_agents: Callable[[AffinityNetwork], set[AgentId]] = lambda net: (
        set()
    )


def _agents_in(net: AffinityNetwork, datacentre: str) -> set[AgentId]:
    return {
        agent
        for agent, member in net.agents.items()
        if member.record.datacentre == datacentre
    }


def _change_balancers(net: AffinityNetwork) -> None:
    """Restart half of the balancers with an outdated view.

    They keep it while the other balancers get a view with a new agent.
    """
    stale = net.view()
    net.join('late', DATACENTRES[0])
    net.publish_now()
    for index in range(BALANCERS // 2):
        net.restart_balancer(index, stale)
        net.stale_balancers.add(index)


CHANGES = (
    Change('upstream_joins', lambda net: net.join('new', DATACENTRES[1])),
    Change('upstream_drains', lambda net: net.drain(AgentId('a0'))),
    Change(
        'datacentre_out',
        lambda net: net.set_datacentre(DATACENTRES[2], True),
        lambda net: _agents_in(net, DATACENTRES[2]),
    ),
    Change(
        'datacentre_back',
        lambda net: net.set_datacentre(DATACENTRES[2], False),
    ),
    Change('balancers_change', _change_balancers),
    Change('agent_replaced', lambda net: net.replace(AgentId('a1'))),
)


def broken_flows(
    net: AffinityNetwork,
    reports: FlowCountReports,
    change: Change,
    flows: list[FlowId],
) -> int:
    """Return the number of flows that a change breaks.

    A packet of each flow is sent while the hosts receive the changed view,
    and another one afterwards. A flow is broken if any of its packets is
    delivered by another agent than before, or if the last one is not
    delivered.
    """
    before = dict(net.owner_by_flow)
    removed_agents = change.removed_agents(net)
    net.violations.clear()
    net.disputed_flows.clear()
    change.apply(net)
    spread_packets(net, reports, flows, 2.0)
    reports.run(3.0)
    net.stale_balancers.clear()
    moved = {FlowId(bytes.fromhex(v.flow)) for v in net.violations}
    net.last_receiver_by_flow.clear()
    spread_packets(net, reports, flows, 2.0)
    reports.run(1.0)
    net.publish_now()
    reports.run(0.5)
    return sum(
        owner not in removed_agents
        and (flow in moved or net.last_receiver_by_flow.get(flow) != owner)
        for flow, owner in before.items()
    )


def broken_figures(name: str, count: int) -> Iterator[Figure]:
    """Yield the broken flows of a design for each planned change."""
    net, reports = new_network(DESIGNS[name])
    flows = flow_ids(count)
    spread_packets(net, reports, flows, count / 10_000)
    reports.run(0.5)
    # Opens the flows whose packets a full buffer of a PENDING slot dropped.
    spread_packets(net, reports, flows, 2.0)
    reports.run(0.5)
    yield informative(
        f'affinity.{name}.exceptions',
        sum(m.core.exception_count for m in net.agents.values())
        / max(1, len(net.owner_by_flow)),
        'share',
    )
    for change in CHANGES:
        broken = broken_flows(net, reports, change, flows)
        figure = f'affinity.{name}.broken.{change.name}'
        unit = f'of {count} flows'.replace(' ', '_')
        if name == 'chosen':
            yield at_most(figure, broken, unit, MAX_BROKEN)
        else:
            yield informative(figure, broken, unit)


class Churn:
    """Opens and closes flows at a steady rate."""

    def __init__(self, net: AffinityNetwork, reports: FlowCountReports):
        self._net = net
        self._reports = reports
        self._next = 0

    def open(self, count: int) -> None:
        """Open flows at ten times the steady rate."""
        flows = flow_ids(count, self._next)
        self._next += count
        spread_packets(
            self._net, self._reports, flows, count / (10 * FLOWS_PER_S)
        )

    def run(self, seconds: float) -> None:
        """Advance simulated time; open new flows and close random ones."""
        net = self._net
        for _ in range(round(seconds / 0.1)):
            for flow in flow_ids(FLOWS_PER_S // 10, self._next):
                net.send_packet(flow)
            self._next += FLOWS_PER_S // 10
            ending = net.rng.sample(list(net.owner_by_flow), FLOWS_PER_S // 10)
            for flow in ending:
                net.close_flow(flow, net.owner_by_flow[flow])
            net.run(0.1)
            if round(net.now * 10) % 5 == 0:
                self._reports.report()

    def imbalance(self) -> float:
        """Return the maximum over the mean flow count of agents in service."""
        counts = [
            member.core.flow_count
            for member in self._net.agents.values()
            if not member.is_drained
            and member.record.datacentre not in self._net.datacentres_out
        ]
        return max(counts) / (sum(counts) / len(counts))


def churn_figures(name: str) -> Iterator[Figure]:
    """Yield control traffic and imbalance while flows open and close."""
    net, reports = new_network(DESIGNS[name])
    churn = Churn(net, reports)
    churn.open(AGENTS * FLOWS_PER_AGENT)
    churn.run(5.0)
    before = net.control_bytes()
    samples = []
    for _ in range(20):
        churn.run(0.5)
        samples.append(churn.imbalance())
    rate = (net.control_bytes() - before) / 10.0 / AGENTS
    prefix = f'affinity.{name}'
    is_chosen = name == 'chosen'
    yield (
        at_most(f'{prefix}.control', rate, 'B/s', MAX_CONTROL_BYTES_PER_S)
        if is_chosen
        else informative(f'{prefix}.control', rate, 'B/s')
    )
    if not is_chosen:
        return
    yield at_most(
        f'{prefix}.imbalance.steady',
        max(samples),
        'max/mean',
        MAX_STEADY_IMBALANCE,
    )
    open_flows = len(net.owner_by_flow)
    exceptions = sum(m.core.exception_count for m in net.agents.values())
    yield informative(
        f'{prefix}.exceptions.steady', exceptions / open_flows, 'share'
    )
    changes = (
        ('join', lambda: net.join('new', DATACENTRES[1])),
        ('drain', lambda: net.drain(AgentId('a0'))),
        ('out', lambda: net.set_datacentre(DATACENTRES[2], True)),
        ('back', lambda: net.set_datacentre(DATACENTRES[2], False)),
    )
    for change, apply in changes:
        before = net.control_bytes()
        apply()
        churn.run(10.0)
        yield at_most(
            f'{prefix}.imbalance.10s_after_{change}',
            churn.imbalance(),
            'max/mean',
            MAX_CHANGE_IMBALANCE,
        )
        rate = (net.control_bytes() - before) / 10.0 / AGENTS
        yield at_most(
            f'{prefix}.control.10s_after_{change}',
            rate,
            'B/s',
            MAX_CONTROL_BYTES_PER_S,
        )


def _time_each(action: Callable, items: Sequence) -> float:
    """Return the mean duration of a call in microseconds."""
    start = time.perf_counter()
    for item in items:
        action(item)
    return (time.perf_counter() - start) / len(items) * 1e6


def time_figures() -> Iterator[Figure]:
    """Yield the time that the cores take per packet."""
    net, reports = new_network(AffinityCore)
    flows = flow_ids(AGENTS * FLOWS_PER_AGENT)
    spread_packets(net, reports, flows, 2.0)
    reports.run(0.5)
    router: RoutingCore = net.balancers[0]
    yield informative(
        'affinity.time.route',
        _time_each(lambda flow: router.route(NUMBER, flow), flows),
        'us',
    )
    core = net.agents[AgentId('a0')].core
    now = net.now

    def on_packets(flows):
        packets = [
            Packet(flow, 0, False, None, bytes(6), b'') for flow in flows
        ]
        return _time_each(lambda p: core.on_packet(p, now), packets)

    yield informative('affinity.time.owned', on_packets(core.flows()), 'us')
    others = [flow for flow in flows if not core.owns(flow)]
    yield informative('affinity.time.relayed', on_packets(others), 'us')
    reports.report()
    new = [
        flow
        for flow in flow_ids(AGENTS * 3000, 1 << 30)
        if router.route(NUMBER, flow) == net.records[AgentId('a0')].address
    ]
    yield informative('affinity.time.new', on_packets(new), 'us')


def parts(flows: int = DEFAULT_FLOWS) -> list[Part]:
    """Return the measurements that can run in parallel.

    :param flows: number of open flows when broken ones are counted.
    """
    broken = [partial(broken_figures, name, flows) for name in DESIGNS]
    churn = [
        partial(churn_figures, name) for name in ('chosen', 'tell_everything')
    ]
    return [*broken, *churn]


def run(flows: int = DEFAULT_FLOWS) -> Iterator[Figure]:
    """Measure all designs; timings come last, when no other part runs.

    :param flows: number of open flows when broken ones are counted.
    """
    yield from run_parts(parts(flows))
    yield from time_figures()


if __name__ == '__main__':
    raise SystemExit(0 if print_figures(run()) else 1)
