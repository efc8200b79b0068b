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
from testbed.slopes_cores import copy_with_changes
from testbed.slopes_cores import flow_ids
from testbed.slopes_fit import measure_cpu_s
from testbed.slopes_fit import measure_memory
from testbed.slopes_fit import Recorder
from testbed.slopes_fit import Series
from testbed.slopes_fleet import agent_record

SEED = 1
CONDITIONS = Conditions(delay_s=0.0015, view_delay_s=0.2)
FLOW_COUNTS = (500, 2000, 8000, 20000)
AGENT_COUNTS = (3, 8, 16, 32, 64)
FLOWS_PER_AGENT = 100
NEW_FLOWS_PER_S = 7
NEW_FLOW_RATES_PER_S = (5, 10, 20, 40)
SERVICE_AGENTS = 13
MEASUREMENT_S = 5.0
STEP_S = 0.1
LOCAL_SHARES = (0.8, 0.6, 0.4, 0.2)


class CountingNetwork(AffinityNetwork):
    """A network that also counts control messages by type."""

    def __init__(self, local_share: float = 0.5):
        rng = random.Random(SEED)
        super().__init__(
            SEED,
            CONDITIONS,
            1,
            lambda agent: RandomPlacement(rng, local_share),
        )
        self.messages: Counter[str] = Counter()

    def _apply(self, agent, effects) -> None:
        for effect in effects:
            if isinstance(effect, SendMessage):
                self.messages[type(effect.message).__name__] += 1
        super()._apply(agent, effects)


def _settled_network(agents: int, local_share: float = 0.5) -> CountingNetwork:
    network = CountingNetwork(local_share)
    for number in range(agents):
        network.join(f'a{number}', f'dc{number % 3}')
    network.publish_now()
    network.run(2.0)
    return network


def _open_and_close_flows(
    network: CountingNetwork, rate: float, first: int
) -> float:
    """Open and close flows at a rate.

    :param first: number of the first flow that is opened.
    :returns: processor time in seconds.
    """
    start = time.thread_time()
    opened = first
    for step in range(round(MEASUREMENT_S / STEP_S)):
        due = first + round((step + 1) * rate * STEP_S)
        while opened < due:
            network.send_packet(FlowId(opened.to_bytes(6, 'big')))
            known = network.rng.choice(list(network.owner_by_flow))
            network.close_flow(known, network.owner_by_flow[known])
            opened += 1
        network.run(STEP_S)
    return time.thread_time() - start


def _open_flows(network: CountingNetwork, count: int) -> None:
    for flow in flow_ids(count):
        network.send_packet(flow)
    network.run(1.0)


def _control_totals(network: CountingNetwork) -> tuple[int, int]:
    return network.control_bytes(), network.messages.total()


def measure_churn() -> Iterator[Series]:
    """Measure control traffic between the agents of a service."""
    recorder = Recorder()

    def add(key, size, unit, x, y):
        recorder.add(key, size, unit, 'AffinityCore', x, y)

    def add_costs(network, agents, rate, prefix, size, x) -> None:
        flows = agents * FLOWS_PER_AGENT
        _open_flows(network, flows)
        sent, messages = _control_totals(network)
        cpu_s = _open_and_close_flows(network, agents * rate, flows)
        sent_after, messages_after = _control_totals(network)
        node_seconds = agents * MEASUREMENT_S
        rate = (sent_after - sent) / node_seconds
        add(f'{prefix}.bytes_per_s', size, 'B/s', x, rate)
        rate = (messages_after - messages) / node_seconds
        add(f'{prefix}.messages_per_s', size, '1/s', x, rate)
        add(f'{prefix}.cpu_share', size, 's/s', x, cpu_s / node_seconds)

    for agents in AGENT_COUNTS:
        network = _settled_network(agents)
        name = 'agents of a service'
        prefix = 'service_agent.agent'
        add_costs(network, agents, NEW_FLOWS_PER_S, prefix, name, agents)
        sent, messages = _control_totals(network)
        start = time.thread_time()
        network.join('joiner', 'dc0')
        network.run(3.0)
        cpu_s = time.thread_time() - start
        sent_after, messages_after = _control_totals(network)
        add('service_agent.join.bytes', name, 'B', agents, sent_after - sent)
        count = messages_after - messages
        add('service_agent.join.messages', name, '1', agents, count)
        add('service_agent.join.cpu', name, 's', agents, cpu_s)
    for rate in NEW_FLOW_RATES_PER_S:
        network = _settled_network(SERVICE_AGENTS)
        prefix = 'new_flow.agent'
        add_costs(network, SERVICE_AGENTS, rate, prefix, 'new flows/s', rate)
    return iter(recorder)


def measure_exceptions() -> Iterator[Series]:
    """Measure flows whose owner is not their home."""
    recorder = Recorder()

    def add(key, unit, x, y):
        recorder.add(key, 'exceptions', unit, 'AffinityCore', x, y)

    for share in LOCAL_SHARES:
        network = _settled_network(SERVICE_AGENTS, share)
        flows = SERVICE_AGENTS * FLOWS_PER_AGENT
        _open_flows(network, flows)
        exceptions = sum(
            m.core.exception_count for m in network.agents.values()
        )
        sent, _ = _control_totals(network)
        for flow, owner in list(network.owner_by_flow.items()):
            network.close_flow(flow, owner)
        network.run(6.0)
        sent_after, _ = _control_totals(network)
        add('exception.release.bytes', 'B', exceptions, sent_after - sent)
        network = _settled_network(SERVICE_AGENTS, share)
        _open_flows(network, flows)
        start = time.thread_time()
        for flow in flow_ids(flows):
            network.send_packet(flow)
        network.run(0.05)
        cpu_s = time.thread_time() - start
        add('exception.packets.cpu', 's', exceptions, cpu_s)
    return iter(recorder)


def _single_agent_core() -> AffinityCore:
    record = agent_record(0, 1)
    address = Address('10.2.0.1', 7000)
    own = PeerInfo(
        record.agent_id, address, DatacentreName('dc-0'), record.incarnation
    )
    core = AffinityCore(own, NUMBER, RandomPlacement(random.Random(SEED)))
    view = ServiceView(
        version=1,
        entry=None,
        agents=[copy_with_changes(record, address=address)],
        datacentres_out=[],
        balancers=[],
    )
    core.on_view(view, 0.0)
    core.tick(0.1)
    return core


def measure_flows() -> Iterator[Series]:
    """Measure the cost of the flows that an agent owns."""
    recorder = Recorder()

    def add(key, unit, x, y):
        recorder.add(key, 'flows', unit, 'AffinityCore', x, y)

    for count in FLOW_COUNTS:
        packets = [
            Packet(flow, 0, False, None, bytes(6), b'')
            for flow in flow_ids(count)
        ]

        def adopt(packets=packets) -> AffinityCore:
            core = _single_agent_core()
            for packet in packets:
                core.on_packet(packet, 1.0)
            return core

        add('new_flow.affinity.cpu', 's', count, measure_cpu_s(adopt))
        size, core = measure_memory(adopt)
        if core.flow_count != count:
            raise RuntimeError(f'{core.flow_count} of {count} flows adopted')
        add('flow.affinity.memory', 'B', count, size)

        def deliver(core=core, packets=packets) -> None:
            for packet in packets:
                core.on_packet(packet, 1.5)

        add('packet.affinity.cpu', 's', count, measure_cpu_s(deliver))
        start = time.thread_time()
        for tick in range(50):
            core.tick(2.0 + tick * 0.1)
        cpu_s = (time.thread_time() - start) / 5.0
        add('flow.affinity.cpu_share', 's/s', count, cpu_s)
    return iter(recorder)
