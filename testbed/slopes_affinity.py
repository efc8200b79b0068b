"""Cost of flow affinity between the agents of a service."""

from collections import Counter
from collections.abc import Iterator
import random
import time

from ibispitch.affinity import AffinityCore
from ibispitch.affinity import Packet
from ibispitch.affinity import PeerInfo
from ibispitch.affinity import SendMessage
from ibispitch.ids import Address
from ibispitch.ids import DatacentreName
from ibispitch.ids import FlowId
from ibispitch.membership.records import ServiceView
from testbed.affinity_network import AffinityNetwork
from testbed.affinity_network import Conditions
from testbed.affinity_network import NUMBER
from testbed.affinity_network import RandomPlacement
from testbed.slopes_cores import flow_ids
from testbed.slopes_cores import replaced
from testbed.slopes_fit import cpu_of
from testbed.slopes_fit import memory_of
from testbed.slopes_fit import Recorder
from testbed.slopes_fit import Series
from testbed.slopes_fleet import agent_record

SEED = 1
SHAPE = Conditions(delay_s=0.0015, view_delay_s=0.2)
FLOW_COUNTS = (500, 2000, 8000, 20000)
AGENT_COUNTS = (3, 8, 16, 32, 64)
FLOWS_PER_AGENT = 100
NEW_FLOWS_PER_S = 7
NEW_FLOW_RATES = (5, 10, 20, 40)
SERVICE_AGENTS = 13
WINDOW_S = 5.0
STEP_S = 0.1
LOCAL_SHARES = (0.8, 0.6, 0.4, 0.2)


class CountingNetwork(AffinityNetwork):
    """Counts control messages too."""

    def __init__(self, local_share: float = 0.5):
        rng = random.Random(SEED)
        super().__init__(
            SEED,
            SHAPE,
            1,
            lambda agent: RandomPlacement(rng, local_share),
        )
        self.messages: Counter[str] = Counter()

    def _apply(self, agent, effects) -> None:
        for effect in effects:
            if isinstance(effect, SendMessage):
                self.messages[type(effect.message).__name__] += 1
        super()._apply(agent, effects)


def _network(agents: int, local_share: float = 0.5) -> CountingNetwork:
    net = CountingNetwork(local_share)
    for number in range(agents):
        net.join(f'a{number}', f'dc{number % 3}')
    net.publish_now()
    net.run(2.0)
    return net


def _churn(net: CountingNetwork, rate: float, first: int) -> float:
    """Open and close flows; return the processor time."""
    start = time.thread_time()
    opened = first
    for step in range(round(WINDOW_S / STEP_S)):
        due = first + round((step + 1) * rate * STEP_S)
        while opened < due:
            net.send_packet(FlowId(opened.to_bytes(6, 'big')))
            known = net.rng.choice(list(net.owner_by_flow))
            net.close_flow(known, net.owner_by_flow[known])
            opened += 1
        net.run(STEP_S)
    return time.thread_time() - start


def _open(net: CountingNetwork, count: int) -> None:
    for flow in flow_ids(count):
        net.send_packet(flow)
    net.run(1.0)


def _control(net: CountingNetwork) -> tuple[int, int]:
    return net.control_bytes(), net.messages.total()


def measure_churn() -> Iterator[Series]:
    """Measure control between the agents of a service."""
    recorder = Recorder()

    def add(key, size, unit, x, y):
        recorder.add(key, size, unit, 'AffinityCore', x, y)

    def churn(net, agents, rate, prefix, size, x) -> None:
        flows = agents * FLOWS_PER_AGENT
        _open(net, flows)
        sent, messages = _control(net)
        cpu = _churn(net, agents * rate, flows)
        sent_after, messages_after = _control(net)
        node_seconds = agents * WINDOW_S
        rate = (sent_after - sent) / node_seconds
        add(f'{prefix}.bytes_per_s', size, 'B/s', x, rate)
        rate = (messages_after - messages) / node_seconds
        add(f'{prefix}.messages_per_s', size, '1/s', x, rate)
        add(f'{prefix}.cpu_share', size, 's/s', x, cpu / node_seconds)

    for agents in AGENT_COUNTS:
        net = _network(agents)
        name = 'agents of a service'
        prefix = 'service_agent.agent'
        churn(net, agents, NEW_FLOWS_PER_S, prefix, name, agents)
        sent, messages = _control(net)
        start = time.thread_time()
        net.join('joiner', 'dc0')
        net.run(3.0)
        cpu = time.thread_time() - start
        sent_after, messages_after = _control(net)
        add('service_agent.join.bytes', name, 'B', agents, sent_after - sent)
        count = messages_after - messages
        add('service_agent.join.messages', name, '1', agents, count)
        add('service_agent.join.cpu', name, 's', agents, cpu)
    for rate in NEW_FLOW_RATES:
        net = _network(SERVICE_AGENTS)
        prefix = 'new_flow.agent'
        churn(net, SERVICE_AGENTS, rate, prefix, 'new flows/s', rate)
    return iter(recorder)


def measure_exceptions() -> Iterator[Series]:
    """Measure flows that are owned by another agent than their home."""
    recorder = Recorder()

    def add(key, unit, x, y):
        recorder.add(key, 'exceptions', unit, 'AffinityCore', x, y)

    for share in LOCAL_SHARES:
        net = _network(SERVICE_AGENTS, share)
        flows = SERVICE_AGENTS * FLOWS_PER_AGENT
        _open(net, flows)
        exceptions = sum(m.core.exception_count for m in net.agents.values())
        sent, _ = _control(net)
        for flow, owner in list(net.owner_by_flow.items()):
            net.close_flow(flow, owner)
        net.run(6.0)
        sent_after, _ = _control(net)
        add('exception.release.bytes', 'B', exceptions, sent_after - sent)
        net = _network(SERVICE_AGENTS, share)
        _open(net, flows)
        start = time.thread_time()
        for flow in flow_ids(flows):
            net.send_packet(flow)
        net.run(0.05)
        cost = time.thread_time() - start
        add('exception.packets.cpu', 's', exceptions, cost)
    return iter(recorder)


def _single() -> AffinityCore:
    record = agent_record(0, 1)
    address = Address('10.2.0.1', 7000)
    own = PeerInfo(
        record.agent_id, address, DatacentreName('dc-0'), record.incarnation
    )
    core = AffinityCore(own, NUMBER, RandomPlacement(random.Random(SEED)))
    view = ServiceView(
        version=1,
        entry=None,
        agents=[replaced(record, address=address)],
        datacentres_out=[],
        balancers=[],
    )
    core.on_view(view, 0.0)
    core.tick(0.1)
    return core


def measure_flows() -> Iterator[Series]:
    """Measure the flows that an agent owns."""
    recorder = Recorder()

    def add(key, unit, x, y):
        recorder.add(key, 'flows', unit, 'AffinityCore', x, y)

    for count in FLOW_COUNTS:
        packets = [
            Packet(flow, 0, False, None, bytes(6), b'')
            for flow in flow_ids(count)
        ]

        def adopt(packets=packets) -> AffinityCore:
            core = _single()
            for packet in packets:
                core.on_packet(packet, 1.0)
            return core

        add('new_flow.affinity.cpu', 's', count, cpu_of(adopt))
        size, core = memory_of(adopt)
        if core.flow_count != count:
            raise RuntimeError(f'{core.flow_count} of {count} flows adopted')
        add('flow.affinity.memory', 'B', count, size)

        def deliver(core=core, packets=packets) -> None:
            for packet in packets:
                core.on_packet(packet, 1.5)

        add('packet.affinity.cpu', 's', count, cpu_of(deliver))
        start = time.thread_time()
        for tick in range(50):
            core.tick(2.0 + tick * 0.1)
        cost = (time.thread_time() - start) / 5.0
        add('flow.affinity.cpu_share', 's/s', count, cost)
    return iter(recorder)
