"""Measures affinity with cores only, against simpler designs.

The shape is that of section 1.1 of the design page: 7 agents in 3 data
centres, a one-way delay of 1.5 ms, views that take up to 1 s.
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

FLOWS = 100_000
SHAPE = Conditions(delay_s=0.0015, view_delay_s=1.0)
DATACENTRES = ('khomas-1', 'khomas-2', 'khomas-3')
AGENTS = 7
CONNECTIONS = 2000
BALANCERS = 4

#: Flows that start, and end, in a second. With 14,000 open flows a flow
#: lasts 14 s on average.
FLOWS_PER_S = 1000

#: Bounds of section 1.6 of the design page.
MAX_BROKEN = 0
MAX_CONTROL_BYTES_PER_S = 4096
MAX_STEADY_IMBALANCE = 1.10
MAX_CHANGE_IMBALANCE = 1.25

REPORT_INTERVAL_S = 0.5
SAMPLED_PEERS = 8

#: A home keeps a new flow while its load is below this share of the mean.
KEEP_BELOW = 1.02

DESIGNS: dict[str, Callable] = {
    'chosen': AffinityCore,
    'tell_nothing': TellNothingCore,
    'chain': ChainCore,
    'tell_everything': TellEverythingCore,
}


class LoadAwarePlacement:
    """Places a flow at the home or at the least loaded sampled peer.

    Loads of peers are as old as their last report. All homes place about
    as many flows, so that the mean is taken to have grown by the number of
    flows that this home placed since.
    """

    def __init__(self, board: 'LoadBoard'):
        self._board = board
        self._placed: Counter[AgentId] = Counter()
        self._reported_at = -1.0

    def choose_owner(
        self, self_id: AgentId, candidates: Sequence[AgentId], now: float
    ) -> AgentId | None:
        """Return the home if its load is near the mean, else a peer."""
        if self._board.reported_at != self._reported_at:
            self._reported_at = self._board.reported_at
            self._placed.clear()
        if len(candidates) > SAMPLED_PEERS:
            candidates = self._board.rng.sample(candidates, SAMPLED_PEERS)
        loads = {
            agent: self._board.reported[agent] + self._placed[agent]
            for agent in candidates
        }
        reported = sum(self._board.reported[agent] for agent in candidates)
        mean = reported / len(candidates) + self._placed.total()
        if (
            self_id in loads
            and self._board.current(self_id) <= mean * KEEP_BELOW
        ):
            owner = self_id
        else:
            owner = min(loads, key=loads.get)
        self._placed[owner] += 1
        return owner


class LoadBoard:
    """Flow counts as all agents last reported them."""

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.net: AffinityNetwork | None = None
        self.reported: Counter[AgentId] = Counter()
        self.reported_at = 0.0

    def current(self, agent: AgentId) -> int:
        """Return the flows of an agent now."""
        return self.net.agents[agent].core.flow_count

    def report(self) -> None:
        """Take the present counts as reported."""
        self.reported_at = self.net.now
        for agent in self.net.agents:
            self.reported[agent] = self.current(agent)

    def run(self, seconds: float) -> None:
        """Let time pass, with a report in each interval."""
        end = self.net.now + seconds
        while self.net.now < end - 1e-9:
            step = min(REPORT_INTERVAL_S, end - self.net.now)
            self.net.run(step)
            self.report()


def new_network(
    make_core: Callable, seed: int = 1
) -> tuple[AffinityNetwork, LoadBoard]:
    """Return a network with all agents started one after the other."""
    board = LoadBoard(random.Random(seed))
    net = AffinityNetwork(
        seed,
        SHAPE,
        BALANCERS,
        lambda agent: LoadAwarePlacement(board),
        make_core,
    )
    board.net = net
    for number, datacentre in zip(
        range(AGENTS), cycle(DATACENTRES), strict=False
    ):
        net.join(f'a{number}', datacentre)
        net.settle()
        board.run(0.5)
    return net, board


def flow_ids(count: int, first: int = 0) -> list[FlowId]:
    """Return distinct flows."""
    return [
        FlowId(number.to_bytes(6, 'big'))
        for number in range(first, first + count)
    ]


def spread_packets(
    net: AffinityNetwork,
    board: LoadBoard,
    flows: Iterable[FlowId],
    seconds: float,
) -> None:
    """Send one packet of each flow, evenly over some time."""
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
            board.report()


class Change(NamedTuple):
    """A planned change.

    :param apply: makes the change.
    :param gone: agents whose flows are given up.
    """

    name: str
    apply: Callable[[AffinityNetwork], None]
    gone: Callable[[AffinityNetwork], set[AgentId]] = lambda net: set()


def _members(net: AffinityNetwork, datacentre: str) -> set[AgentId]:
    return {
        agent
        for agent, member in net.agents.items()
        if member.record.datacentre == datacentre
    }


def _change_balancers(net: AffinityNetwork) -> None:
    """Replace half of the balancers while the tables change."""
    stale = net.view()
    net.join('late', DATACENTRES[0])
    net.settle()
    for index in range(BALANCERS // 2):
        net.restart_balancer(index, stale)
        net.stale_balancers.add(index)


CHANGES = (
    Change('upstream_joins', lambda net: net.join('new', DATACENTRES[1])),
    Change('upstream_drains', lambda net: net.drain(AgentId('a0'))),
    Change(
        'datacentre_out',
        lambda net: net.set_datacentre(DATACENTRES[2], True),
        lambda net: _members(net, DATACENTRES[2]),
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
    board: LoadBoard,
    change: Change,
    flows: list[FlowId],
) -> int:
    """Return how many flows a change moves to another owner.

    A packet of each flow is sent while the change spreads and another one
    afterwards. A flow is broken if any of its packets is delivered by
    another agent than before, or if the last one is not delivered.
    """
    before = dict(net.owner_by_flow)
    gone = change.gone(net)
    net.violations.clear()
    net.disputed.clear()
    change.apply(net)
    spread_packets(net, board, flows, 2.0)
    board.run(3.0)
    net.stale_balancers.clear()
    moved = {FlowId(bytes.fromhex(v.flow)) for v in net.violations}
    net.delivered_last.clear()
    spread_packets(net, board, flows, 2.0)
    board.run(1.0)
    net.settle()
    board.run(0.5)
    return sum(
        owner not in gone
        and (flow in moved or net.delivered_last.get(flow) != owner)
        for flow, owner in before.items()
    )


def broken_figures(name: str, count: int) -> Iterator[Figure]:
    """Yield the broken flows of a design for each planned change."""
    net, board = new_network(DESIGNS[name])
    flows = flow_ids(count)
    spread_packets(net, board, flows, count / 10_000)
    board.run(0.5)
    # Flows that the buffer of a PENDING slot dropped are opened now.
    spread_packets(net, board, flows, 2.0)
    board.run(0.5)
    yield informative(
        f'affinity.{name}.exceptions',
        sum(m.core.exception_count for m in net.agents.values())
        / max(1, len(net.owner_by_flow)),
        'share',
    )
    for change in CHANGES:
        broken = broken_flows(net, board, change, flows)
        figure = f'affinity.{name}.broken.{change.name}'
        unit = f'of {count} flows'.replace(' ', '_')
        if name == 'chosen':
            yield at_most(figure, broken, unit, MAX_BROKEN)
        else:
            yield informative(figure, broken, unit)


class Churn:
    """Flows that start and end at a steady rate."""

    def __init__(self, net: AffinityNetwork, board: LoadBoard):
        self._net = net
        self._board = board
        self._next = 0

    def open(self, count: int) -> None:
        """Open flows at ten times the steady rate."""
        flows = flow_ids(count, self._next)
        self._next += count
        spread_packets(
            self._net, self._board, flows, count / (10 * FLOWS_PER_S)
        )

    def run(self, seconds: float) -> None:
        """Let time pass with random flows starting and ending."""
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
                self._board.report()

    def imbalance(self) -> float:
        """Return maximum over mean of flows of the agents in service."""
        counts = [
            member.core.flow_count
            for member in self._net.agents.values()
            if not member.is_drained
            and member.record.datacentre not in self._net.datacentres_out
        ]
        return max(counts) / (sum(counts) / len(counts))


def churn_figures(name: str) -> Iterator[Figure]:
    """Yield control traffic and imbalance of a design under churn."""
    net, board = new_network(DESIGNS[name])
    churn = Churn(net, board)
    churn.open(AGENTS * CONNECTIONS)
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
    """Return the mean time of a call in microseconds."""
    start = time.perf_counter()
    for item in items:
        action(item)
    return (time.perf_counter() - start) / len(items) * 1e6


def time_figures() -> Iterator[Figure]:
    """Yield the time per packet of the cores."""
    net, board = new_network(AffinityCore)
    flows = flow_ids(AGENTS * CONNECTIONS)
    spread_packets(net, board, flows, 2.0)
    board.run(0.5)
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
    board.report()
    new = [
        flow
        for flow in flow_ids(AGENTS * 3000, 1 << 30)
        if router.route(NUMBER, flow) == net.records[AgentId('a0')].address
    ]
    yield informative('affinity.time.new', on_packets(new), 'us')


def parts(flows: int = FLOWS) -> list[Part]:
    """Return the measurements, which do not depend on each other.

    :param flows: open flows for the count of broken ones.
    """
    broken = [partial(broken_figures, name, flows) for name in DESIGNS]
    churn = [
        partial(churn_figures, name) for name in ('chosen', 'tell_everything')
    ]
    return [*broken, *churn]


def run(flows: int = FLOWS) -> Iterator[Figure]:
    """Measure all designs; the times come last, on an idle machine.

    :param flows: open flows for the count of broken ones.
    """
    yield from run_parts(parts(flows))
    yield from time_figures()


if __name__ == '__main__':
    raise SystemExit(0 if print_figures(run()) else 1)
