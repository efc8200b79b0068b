"""Cost of routing, leases, views, catalogue, admission and the gate."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import random

from aiocoap import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type
import msgspec

from ibispitch.admission.core import AdmissionCore
from ibispitch.admission.loads import MAX_PEERS_PER_REPORT
from ibispitch.admission.loads import REPORT_INTERVAL_S
from ibispitch.admission.messages import LoadReport
from ibispitch.admission.types import RequestInfo
from ibispitch.admission.types import RunId
from ibispitch.admission.types import RunOutcome
from ibispitch.affinity.directory import Directory
from ibispitch.catalogue.core import CatalogueState
from ibispitch.catalogue.documents import Entry
from ibispitch.catalogue.documents import entry_key
from ibispitch.catalogue.documents import Limits
from ibispitch.ids import AgentId
from ibispitch.ids import FlowId
from ibispitch.ids import service_number
from ibispitch.ids import ServiceName
from ibispitch.ids import ServiceNumber
from ibispitch.limits.core import LimitCore
from ibispitch.membership.leases import LeaseTable
from ibispitch.membership.messages import LeaseGranted
from ibispitch.membership.messages import Renew
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import MemberState
from ibispitch.membership.view import build_view
from ibispitch.requests import coap
from ibispitch.requests import CoapGate
from ibispitch.requests import GateSettings
from ibispitch.requests.effects import SendToCaller
from ibispitch.requests.effects import SendToUpstream
from ibispitch.retry.budget import RetryBudget
from ibispitch.routing import RoutingCore
from ibispitch.routing import slot_of
from ibispitch.wire import encode_frame
from ibispitch.wire import encode_message
from ibispitch.wire import Frame
from ibispitch.wire import FrameKind
from ibispitch.wire import Keyring
from ibispitch.wire import NO_ADDRESS
from testbed.slopes_fit import cpu_of
from testbed.slopes_fit import memory_of
from testbed.slopes_fit import Recorder
from testbed.slopes_fit import Series
from testbed.slopes_fleet import agent_record
from testbed.slopes_fleet import balancer_record
from testbed.slopes_fleet import entry_document
from testbed.slopes_fleet import IP_UDP_BYTES
from testbed.slopes_fleet import SERVICES
from testbed.slopes_fleet import STREAM_MESSAGE_BYTES

SEED = 1
AGENTS_PER_SERVICE = 13
PACKETS = (1000, 2000, 4000, 8000)
SERVICE_COUNTS = (10, 100, 400, 1100)
AGENT_COUNTS = (1400, 2800, 5600, 14000)
PEERS = (3, 8, 16, 32, 64)
GATE_FLOWS = (500, 1000, 2000, 4000)
REPEATS = 200
NUMBER = service_number(ServiceName('service-0000'))
TCP_IP_BYTES = 52
NO_FLOW = FlowId(bytes(6))


def flow_ids(count: int) -> list[FlowId]:
    """Return distinct flows."""
    return [FlowId(number.to_bytes(6, 'big')) for number in range(count)]


def _mean_cpu(action: Callable) -> float:
    return cpu_of(lambda: [action() for _ in range(REPEATS)]) / REPEATS


def _records(services: int, agents: int) -> list[AgentRecord]:
    return [
        replaced(
            agent_record(number, 1400),
            service=f'service-{number % services:04}',
        )
        for number in range(agents)
    ]


def _routes(services: int, records: Iterable[AgentRecord]) -> RoutingCore:
    core = RoutingCore()
    for number in range(services):
        core.set_entry(ServiceName(f'service-{number:04}'), True)
    for record in records:
        core.set_agent(record)
    for number in range(services):
        name = ServiceName(f'service-{number:04}')
        core.route(service_number(name), NO_FLOW)
    return core


def replaced(record, **changes):
    """Return a record with some fields changed."""
    return msgspec.structs.replace(record, **changes)


def measure_routing() -> Iterator[Series]:
    """Measure the tables of a balancer and the cost of a packet."""
    recorder = Recorder()

    def add(key, size, unit, x, y, mechanism='RoutingCore'):
        recorder.add(key, size, unit, mechanism, x, y)

    # The records are shared with membership, so they are made before.
    for services in SERVICE_COUNTS:
        records = _records(services, 2 * services)
        size, _ = memory_of(
            lambda n=services, records=records: _routes(n, records)
        )
        add('service.routes.memory', 'services', 'B', services, size)
    for agents in (200, 400, 800, 1600):
        records = _records(100, agents)
        size, _ = memory_of(lambda records=records: _routes(100, records))
        add('agent.routes.memory', 'agents', 'B', agents, size)
    for agents in AGENT_COUNTS:
        records = _records(SERVICES, agents)
        cost = cpu_of(lambda records=records: _routes(SERVICES, records), 1)
        add('agent.routes.load_cpu', 'agents', 's', agents, cost)
    for agents in (4, 13, 64, 256):
        core = _routes(1, _records(1, agents))
        joiner = replaced(
            agent_record(SERVICES * 20, 1400), service='service-0000'
        )

        def join(core=core, joiner=joiner) -> None:
            core.set_agent(joiner)
            core.route(NUMBER, NO_FLOW)
            core.set_agent(replaced(joiner, state=MemberState.LOST))
            core.route(NUMBER, NO_FLOW)

        add(
            'service_agent.routes.change_cpu',
            'agents of a service',
            's/change',
            agents,
            _mean_cpu(join) / 2,
            'SlotTable.update',
        )
    _packet_costs(add)
    return iter(recorder)


def _packet_costs(add) -> None:
    core = _routes(1, _records(1, AGENTS_PER_SERVICE))
    keyring = Keyring([bytes(16)])

    def forward(flows) -> None:
        for flow in flows:
            core.route(NUMBER, flow)
            frame = Frame(
                FrameKind.FORWARD, 0, 0, NUMBER, flow, NO_ADDRESS, bytes(100)
            )
            encode_frame(keyring, frame)

    for packets in PACKETS:
        flows = flow_ids(packets)
        add(
            'packet.balancer.cpu',
            'packets',
            's',
            packets,
            cpu_of(lambda flows=flows: forward(flows)),
            'RoutingCore.route, encode_frame',
        )


def measure_leases() -> Iterator[Series]:
    """Measure the leases of a parent."""
    recorder = Recorder()

    def add(key, unit, x, y):
        recorder.add(f'lease.{key}', 'leases', unit, 'LeaseTable', x, y)

    for count in (10, 100, 1000, 10000):
        records = [agent_record(n, 1) for n in range(count)]

        def grant(records=records) -> LeaseTable:
            table = LeaseTable('balancer-0000')
            for record in records:
                table.announce(record, None, 0.0)
            return table

        size, table = memory_of(grant)
        renewals = [
            Renew(record.agent_id, record.incarnation, record.sequence)
            for record in records
        ]

        def renew(table=table, renewals=renewals) -> None:
            for message in renewals:
                encode_message(table.renew(message, 0.5).message)

        table.tick(0.0)
        add('balancer.memory', 'B', count, size)
        add('balancer.renew_cpu', 's/round', count, cpu_of(renew))
        add(
            'balancer.tick_cpu',
            's/tick',
            count,
            cpu_of(lambda table=table: table.tick(0.5)),
        )
        per_message = STREAM_MESSAGE_BYTES + TCP_IP_BYTES
        asked = sum(len(encode_message(m)) + per_message for m in renewals)
        granted = len(encode_message(LeaseGranted(1, 3.0))) + per_message
        add('agent.bytes_per_s', 'B/s', count, asked)
        add('balancer.bytes_per_s', 'B/s', count, granted * count)
    return iter(recorder)


def measure_views() -> Iterator[Series]:
    """Measure the views that a parent builds for its agents."""
    recorder = Recorder()
    balancers = [balancer_record(n) for n in range(1400)]
    agents = [agent_record(n, 1400) for n in range(max(AGENT_COUNTS))]

    def build(agents, balancers):
        return build_view(agent_record(0, 1), agents, balancers, None, [])

    def add(key, size, unit, x, y):
        recorder.add(key, size, unit, 'build_view', x, y)

    for count in AGENT_COUNTS:
        cost = cpu_of(lambda n=count: build(agents[:n], balancers[:64]))
        add('agent.view.cpu', 'agents', 's/view', count, cost)
    for count in (100, 350, 700, 1400):
        cost = cpu_of(lambda n=count: build(agents[:1400], balancers[:n]))
        add('member.view.cpu', 'balancers', 's/view', count, cost)
        size = len(encode_message(build(agents[:1400], balancers[:count])))
        add('member.view.bytes', 'balancers', 'B/view', count, size)
    for count in (4, 13, 64, 256):
        same = [
            replaced(record, service='service-0000')
            for record in agents[:count]
        ]
        size = len(encode_message(build(same, balancers[:64])))
        name = 'agents of a service'
        add('service_agent.view.bytes', name, 'B/view', count, size)
    return iter(recorder)


def measure_catalogue() -> Iterator[Series]:
    """Measure the documents that each balancer keeps."""
    recorder = Recorder()

    def add(key, unit, x, y):
        recorder.add(
            f'service.catalogue.{key}',
            'services',
            unit,
            'CatalogueState',
            x,
            y,
        )

    for services in SERVICE_COUNTS:
        documents = [entry_document(number) for number in range(services)]

        def load(documents=documents) -> CatalogueState:
            state = CatalogueState()
            for number, value in enumerate(documents):
                state.apply(entry_key(f'service-{number:04}'), 1, value)
            return state

        size, state = memory_of(load)
        add('memory', 'B', services, size)
        add('document_bytes', 'B', services, sum(map(len, documents)))
        add('load_cpu', 's', services, cpu_of(load))

        def read(state=state) -> None:
            _ = state.datacentres_out

        add('datacentres_out_cpu', 's/view', services, cpu_of(read))
    return iter(recorder)


def _admission(peers: int) -> AdmissionCore:
    core = AdmissionCore(AgentId('a0'), 5, 2000, 1.0, random.Random(SEED), 0.0)
    core.set_agents(AgentId(f'a{n}') for n in range(peers))
    for number in range(1, peers):
        report = LoadReport(AgentId(f'a{number}'), 1, 1857, 2, 5.0, 0, 3, 100)
        core.loads.on_report(report, 10.0)
    return core


def _limits(peers: int) -> LimitCore:
    """Return limits of owner, class and flows, which all are reported."""
    core = LimitCore(AgentId('a0'), 1_700_000_000_000_000_000, 0.0)
    entry = Entry(
        service='service-0000',
        owner='owner-0',
        class_name='interactive',
        addresses=['10.3.0.0:5683'],
        limits=Limits(
            flows=20000, requests_per_s=1000.0, class_requests_per_s=2000.0
        ),
    )
    core.on_entry(entry, 0.0)
    core.set_agents([AgentId(f'a{n}') for n in range(peers)], 0.0)
    return core


def measure_admission() -> Iterator[Series]:
    """Measure decisions on requests and the exchange of loads."""
    recorder = Recorder()

    def add(key, size, unit, x, y, mechanism='AdmissionCore'):
        recorder.add(key, size, unit, mechanism, x, y)

    for peers in PEERS:
        core = _admission(peers)
        agents = [AgentId(f'a{n}') for n in range(peers)]
        name = 'agents of a service'
        add(
            'service_agent.placement.cpu',
            name,
            's/flow',
            peers,
            _mean_cpu(
                lambda core=core, agents=agents: core.placement.choose_owner(
                    AgentId('a0'), agents, 10.5
                )
            ),
            'Placement.choose_owner',
        )
        sent = now = 0.0
        while now < 20.0:
            receivers = len(core.loads.peers_due(now))
            size = (
                len(encode_message(core.load_report(now))) + 44 + IP_UDP_BYTES
            )
            sent += receivers * size
            now += 0.1
        add(
            'service_agent.loads.bytes_per_s',
            name,
            'B/s',
            peers,
            sent / 20.0,
            'LoadTable.due',
        )
        limits = _limits(peers)
        sent = sum(
            len(encode_message(limits.share_report(agent))) + 44 + IP_UDP_BYTES
            for agent in agents[1:][:MAX_PEERS_PER_REPORT]
        )
        add(
            'service_agent.shares.bytes_per_s',
            name,
            'B/s',
            peers,
            sent / REPORT_INTERVAL_S,
            'LimitCore.report_for',
        )
    for count in PACKETS:
        core = _admission(13)
        requests = [
            RequestInfo(
                run_id=RunId(number.to_bytes(16, 'big')),
                flow=flow,
                deadline=30.0,
            )
            for number, flow in enumerate(flow_ids(count))
        ]

        def serve(core=core, requests=requests) -> None:
            for request in requests:
                core.decide(request, 10.0)
                core.record_start(request.run_id, 10.0)
                core.record_end(
                    request.run_id, RunOutcome.COMPLETED, 0.02, 10.02
                )

        add('request.admission.cpu', 'requests', 's', count, cpu_of(serve))
    return iter(recorder)


def measure_directory() -> Iterator[Series]:
    """Measure the memory of flows whose owner is not their home."""
    recorder = Recorder()
    for count in (500, 2000, 8000, 20000):

        def fill(count=count) -> Directory:
            directory = Directory()
            for flow in flow_ids(count):
                slot = slot_of(ServiceNumber(NUMBER), flow)
                directory.set(slot, flow, AgentId('a1'))
            return directory

        size, _ = memory_of(fill)
        recorder.add(
            'exception.agent.memory',
            'exceptions',
            'B',
            'Directory',
            count,
            size,
        )
    return iter(recorder)


class _GateLoad:
    """Requests of many flows to one gate."""

    def __init__(self):
        admission = _admission(1)
        self.gate = CoapGate(
            GateSettings(incarnation=1, echo_key=bytes(16)),
            admission,
            RetryBudget(now=0.0),
            random.Random(SEED),
        )

    @staticmethod
    def _request(flow: FlowId, mid: int, echo: bytes | None) -> bytes:
        message = Message(code=Code.POST, payload=bytes(50))
        message.opt.uri_path = ('submit',)
        message.opt.echo = echo
        coap.set_opaque_option(message, coap.REQUEST_ID, flow + bytes(4))
        return coap.encode(message, Type.CON, mid, b'\1')

    def serve(self, flows: list[FlowId], now: float) -> None:
        """Run one guarded request of each flow."""
        for flow in flows:
            data = self._request(flow, 1, None)
            (answer,) = self._on_caller(flow, data, now, SendToCaller)
            echo = coap.decode(answer).opt.echo
            data = self._request(flow, 2, echo)
            for sent in self._on_caller(flow, data, now, SendToUpstream):
                asked = coap.decode(sent)
                reply = Message(code=Code.CHANGED, payload=b'done')
                data = coap.encode(reply, Type.ACK, asked.mid, asked.token)
                self.gate.on_upstream_datagram(flow, data, now)

    def _on_caller(self, flow, data, now, kind) -> list[bytes]:
        effects = self.gate.on_caller_datagram(flow, data, now)
        return [e.datagram for e in effects if isinstance(e, kind)]


def measure_gate() -> Iterator[Series]:
    """Measure guarded requests and the records that they leave."""
    recorder = Recorder()

    def add(key, size, unit, x, y):
        recorder.add(key, size, unit, 'CoapGate', x, y)

    for count in GATE_FLOWS:
        flows = flow_ids(count)

        def serve(flows=flows) -> _GateLoad:
            load = _GateLoad()
            load.serve(flows, 10.0)
            return load

        add('request.gate.cpu', 'requests', 's', count, cpu_of(serve, 1))
        size, load = memory_of(serve)
        add('flow.gate.memory', 'flows', 'B', count, size)
        cost = cpu_of(lambda load=load: load.gate.tick(10.05))
        add('flow.gate.tick_cpu', 'flows', 's/tick', count, cost)
    return iter(recorder)
