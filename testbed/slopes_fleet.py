"""Cost of control between balancers, with cores in an in-memory network.

Every datagram is signed, encoded, decoded and checked as on the wire.
"""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import heapq
import itertools
import random
import time
from typing import NamedTuple

import msgspec

from ibispitch.catalogue.documents import Edit
from ibispitch.catalogue.documents import Entry
from ibispitch.catalogue.documents import entry_key
from ibispitch.catalogue.documents import EntryDocument
from ibispitch.ids import Address
from ibispitch.ids import FlowId
from ibispitch.ids import ServiceNumber
from ibispitch.membership.core import MembershipCore
from ibispitch.membership.keys import encode_record
from ibispitch.membership.messages import Announce
from ibispitch.membership.messages import Renew
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import BalancerRecord
from ibispitch.membership.records import MemberState
from ibispitch.spread import Item
from ibispitch.spread import SendDatagram
from ibispitch.spread import SendStream
from ibispitch.spread.messages import SpreadBuckets
from ibispitch.spread.messages import SpreadItems
from ibispitch.wire import decode_frame
from ibispitch.wire import decode_message
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

SEED = 1
TICK_S = 0.2
RENEW_S = 1.0
IP_UDP_BYTES = 28
#: Array, MAC and headers of a message in a stream, and per stream the
#: handshake with the packets that open and close the connection.
STREAM_MESSAGE_BYTES = 20
STREAM_BYTES = 500
SERVICES = 1100
DATACENTRES = 15
#: Rumours of the start end within this time, 3 * ceil(log2(n + 1)) sends to 3
#: peers a second.
WARM_S = 13.0
IDLE_S = 10.0
EDITS = 3
#: Rumours of an edit and the repair by digests end within this time.
EDIT_S = 12.0
CHECK_S = 0.2

MEMBERS = (8, 32, 128, 512)
AGENTS = (500, 1000, 2000, 4000, 8000, 14000)
EDIT_RATES = (0.1, 0.2, 0.4, 0.8)
ITEM_FLEET = 16
BURST_FLEET = 64
OUTAGE_FLEET = 120
BURSTS = (10, 50, 200, 930)
OUTAGES = (4, 8, 16, 32)
MAX_BURST_S = 180.0
#: Highest rates are taken over this time.
PEAK_S = 5.0
#: Items in a message of a long repair, about 256 KB.
JOIN_ITEMS = 1500
EDIT_FLEET = 32


def balancer_record(number: int) -> BalancerRecord:
    """Return the record of a balancer."""
    host, port = divmod(number, 250)
    return BalancerRecord(
        balancer_id=f'balancer-{number:04}',
        datacentre=f'dc-{number % DATACENTRES}',
        address=Address(f'10.1.{host}.{port}', 7000),
        control_address=Address(f'10.1.{host}.{port}', 7001),
        admin_address=Address(f'10.1.{host}.{port}', 7002),
        incarnation=1_700_000_000_000_000_000 + number,
        sequence=1,
        state=MemberState.ACTIVE,
    )


def agent_record(number: int, parents: int) -> AgentRecord:
    """Return the record of an agent."""
    host, port = divmod(number, 250)
    return AgentRecord(
        agent_id=f'agent-{number:05}',
        service=f'service-{number % SERVICES:04}',
        datacentre=f'dc-{number % DATACENTRES}',
        address=Address(f'10.2.{host}.{port}', 7000),
        incarnation=1_700_000_000_000_000_000 + number,
        sequence=1,
        state=MemberState.ACTIVE,
        slots=5,
        connections=2000,
        parent=f'balancer-{number % parents:04}',
        admin_address=Address(f'10.2.{host}.{port}', 7002),
    )


def entry_document(number: int, revision: int = 1) -> bytes:
    """Return a document with a full edit history."""
    edit_ids = [f'{revision:08}-{n:023}' for n in range(16)]
    entry = Entry(
        service=f'service-{number:04}',
        owner=f'owner-{number % 50}',
        class_name='interactive',
        addresses=[f'10.3.{number // 250}.{number % 250}:5683'],
    )
    edit = Edit(edit_ids[-1], 'operator', '2026-01-01T00:00:00Z')
    return msgspec.json.encode(EntryDocument(edit, edit_ids, entry))


def entry_items(count: int) -> list[Item]:
    """Return the items of the entries of some services."""
    return [
        Item(entry_key(f'service-{number:04}'), (1,), entry_document(number))
        for number in range(count)
    ]


class Fleet:
    """Balancers that know each other, agents and entries.

    :param count: number of balancers.
    :param agents: number of agents, spread evenly over them.
    :param entries: number of entries in the catalogue.
    """

    def __init__(self, count: int, agents: int = 0, entries: int = 0):
        self.now = 0.0
        self.rng = random.Random(SEED)
        self.keyring = Keyring([bytes(16)])
        self.sent: Counter[Address] = Counter()
        self.messages = 0
        self.stream_bytes = 0
        self.count_by_type: Counter[type] = Counter()
        self._events: list[tuple] = []
        self._sequence = itertools.count()
        self.agent_records = [agent_record(n, count) for n in range(agents)]
        records = [balancer_record(n) for n in range(count)]
        items = [
            encode_record(record) for record in (*records, *self.agent_records)
        ] + entry_items(entries)
        self.core_by_address = {
            record.control_address: MembershipCore(
                record, [], random.Random(SEED + number)
            )
            for number, record in enumerate(records)
        }
        self._renews: dict[Address, list[Renew]] = {}
        for number, (address, core) in enumerate(self.core_by_address.items()):
            core.start(0.0)
            core.on_message(
                records[number - 1].control_address,
                SpreadItems(items, is_bulk=True),
                0.0,
            )
            self._renews[address] = [
                Renew(agent.agent_id, agent.incarnation, agent.sequence)
                for agent in self.agent_records[number::count]
            ]
            self._at(self.rng.random() * TICK_S, self._tick, address)
            self._at(self.rng.random() * RENEW_S, self._renew, address)

    @property
    def cores(self) -> list[MembershipCore]:
        """The cores of all balancers."""
        return list(self.core_by_address.values())

    def _at(self, delay: float, action, *arguments) -> None:
        heapq.heappush(
            self._events,
            (self.now + delay, next(self._sequence), action, arguments),
        )

    def _tick(self, address: Address) -> None:
        core = self.core_by_address.get(address)
        if core is None:
            return
        self.run(address, core.tick(self.now))
        self._at(TICK_S, self._tick, address)

    def _renew(self, address: Address) -> None:
        core = self.core_by_address.get(address)
        if core is None:
            return
        for message in self._renews[address]:
            _, effects = core.on_agent_message(message, self.now)
            self.run(address, effects)
        self._at(RENEW_S, self._renew, address)

    def run(self, address: Address, effects: Iterable) -> None:
        """Carry out the effects of a core."""
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self._send(address, effect.to, effect.message)
            elif isinstance(effect, SendStream):
                size = STREAM_BYTES
                for message in effect.messages:
                    data = encode_message(message)
                    size += len(data) + STREAM_MESSAGE_BYTES
                    self._at(0.05, self._receive, address, effect.to, data)
                self.sent[address] += size
                self.stream_bytes += size
                self.messages += len(effect.messages)

    def _send(self, sender: Address, to: Address, message) -> None:
        frame = Frame(
            FrameKind.CONTROL,
            0,
            0,
            ServiceNumber(0),
            FlowId(NO_ADDRESS),
            NO_ADDRESS,
            encode_message(message),
        )
        data = encode_frame(self.keyring, frame)
        self.sent[sender] += len(data) + IP_UDP_BYTES
        self.messages += 1
        self.count_by_type[type(message)] += 1
        delay = self.rng.uniform(0.001, 0.02)
        self._at(delay, self._receive_frame, sender, to, data)

    def _receive_frame(self, sender: Address, to: Address, data) -> None:
        payload = decode_frame(self.keyring, data).payload
        self._receive(sender, to, payload)

    def _receive(self, sender: Address, to: Address, data: bytes) -> None:
        message = decode_message(data)
        core = self.core_by_address.get(to)
        if core is not None:
            self.run(to, core.on_message(sender, message, self.now))

    def advance(self, seconds: float) -> float:
        """Let time pass.

        :returns: the processor time that it took.
        """
        start = time.thread_time()
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = until
        return time.thread_time() - start

    def edit(self, revision: int) -> None:
        """Let a balancer read an edit from the store."""
        address = self.rng.choice(list(self.core_by_address))
        number = revision % SERVICES
        effects = self.core_by_address[address].publish_document(
            entry_key(f'service-{number:04}'),
            revision,
            entry_document(number, revision),
            self.now,
        )
        self.run(address, effects)

    def is_everywhere(self, revision: int) -> bool:
        """Tell whether all balancers have an edit."""
        key = entry_key(f'service-{revision % SERVICES:04}')
        return all(key in core.catalogue for core in self.cores)

    def reset_counts(self) -> None:
        """Count bytes and messages from now on."""
        self.sent.clear()
        self.count_by_type.clear()
        self.messages = self.stream_bytes = 0

    def kill(self, count: int) -> set[str]:
        """End some balancers without notice.

        :returns: their identifiers.
        """
        killed = set()
        for address in list(self.core_by_address)[:count]:
            killed.add(self.core_by_address.pop(address).self_id)
        return killed

    def announce(self, records: Iterable[AgentRecord]) -> None:
        """Let agents get a lease from random balancers."""
        for record in records:
            address = self.rng.choice(list(self.core_by_address))
            _, effects = self.core_by_address[address].on_agent_message(
                Announce(record, 0), self.now
            )
            self.run(address, effects)
            self._renews[address].append(
                Renew(record.agent_id, record.incarnation, record.sequence)
            )

    @property
    def mean_sent(self) -> float:
        """Bytes sent by a balancer on average."""
        return sum(self.sent.values()) / len(self.core_by_address)


def _edit_cost(fleet: Fleet, idle_rate: float) -> dict[str, float]:
    """Return what one edit costs a balancer on average."""
    fleet.reset_counts()
    cpu = delay = 0.0
    for revision in range(2, 2 + EDITS):
        fleet.edit(revision)
        start = fleet.now
        while fleet.now < start + EDIT_S:
            cpu += fleet.advance(CHECK_S)
            if fleet.now - start > delay and not fleet.is_everywhere(revision):
                delay = fleet.now - start
    nodes = len(fleet.core_by_address)
    return {
        'bytes': fleet.mean_sent / EDITS - idle_rate * EDIT_S,
        'stream_bytes': fleet.stream_bytes / nodes / EDITS,
        'mismatches': fleet.count_by_type[SpreadBuckets] / nodes / EDITS,
        'delay': delay + CHECK_S,
        'max_rate': max(fleet.sent.values()) / EDITS / EDIT_S,
        'cpu': cpu / nodes / EDITS,
    }


def _idle_rates(fleet: Fleet, seconds: float) -> tuple[float, float, float]:
    """Return bytes, messages and processor time per balancer and second."""
    fleet.reset_counts()
    cpu = fleet.advance(seconds)
    node_seconds = len(fleet.core_by_address) * seconds
    return (
        fleet.mean_sent / seconds,
        fleet.messages / node_seconds,
        cpu / node_seconds,
    )


def measure_members() -> Iterator[Series]:
    """Measure what other balancers cost a balancer."""
    recorder = Recorder()
    swim = 'FailureDetector, SpreadCore.tick'

    def add(key, unit, mechanism, x, y):
        recorder.add(f'member.{key}', 'balancers', unit, mechanism, x, y)

    for count in MEMBERS:
        fleet = Fleet(count, entries=1)
        fleet.advance(WARM_S)
        sent, messages, cpu = _idle_rates(fleet, IDLE_S)
        add('balancer.bytes_per_s', 'B/s', swim, count, sent)
        add('balancer.messages_per_s', '1/s', swim, count, messages)
        add('balancer.cpu_share', 's/s', 'MembershipCore', count, cpu)
        cost = _edit_cost(fleet, sent)
        rumours = 'SpreadCore rumours'
        add('edit.bytes', 'B/edit', rumours, count, cost['bytes'])
        add('edit.cpu', 's/edit', rumours, count, cost['cpu'])
        add('edit.delay', 's', rumours, count, cost['delay'])
        digests = 'SpreadDigest'
        add('edit.mismatches', '1/edit', digests, count, cost['mismatches'])
        add('edit.max_bytes_per_s', 'B/s', rumours, count, cost['max_rate'])
        fleet.reset_counts()
        for number in range(EDITS):
            fleet.announce([agent_record(number, count)])
            fleet.advance(EDIT_S)
        per_record = fleet.mean_sent / EDITS - sent * EDIT_S
        add('record.bytes', 'B/record', rumours, count, per_record)
    return iter(recorder)


def measure_edits() -> Iterator[Series]:
    """Measure what more edits a second cost a balancer."""
    recorder = Recorder()
    for rate in EDIT_RATES:
        fleet = Fleet(EDIT_FLEET, entries=1)
        fleet.advance(WARM_S)
        fleet.reset_counts()
        cpu = 0.0
        seconds = 20.0
        for revision in range(2, 2 + round(rate * seconds)):
            fleet.edit(revision)
            cpu += fleet.advance(1 / rate)
        node_seconds = EDIT_FLEET * seconds
        for cost, unit, value in (
            ('bytes_per_s', 'B/s', fleet.mean_sent / seconds),
            ('messages_per_s', '1/s', fleet.messages / node_seconds),
            ('cpu_share', 's/s', cpu / node_seconds),
        ):
            recorder.add(
                f'edit_rate.balancer.{cost}',
                'edits/s',
                unit,
                'SpreadCore rumours and digests',
                rate,
                value,
            )
    return iter(recorder)


def measure_agents() -> Iterator[Series]:
    """Measure what the agents of the fleet cost each balancer."""
    recorder = Recorder()

    def add(key, unit, mechanism, x, y):
        recorder.add(f'agent.{key}', 'agents', unit, mechanism, x, y)

    for agents in AGENTS:
        fleet = Fleet(ITEM_FLEET, agents, 1)
        fleet.advance(WARM_S)
        sent, _, cpu = _idle_rates(fleet, WARM_S)
        add('balancer.idle_bytes_per_s', 'B/s', 'SpreadCore', agents, sent)
        add('balancer.idle_cpu_share', 's/s', 'LeaseTable', agents, cpu)
        cost = _edit_cost(fleet, sent)
        versions = 'SpreadVersions of differing buckets'
        add('change.bytes', 'B/change', versions, agents, cost['bytes'])
        add(
            'change.stream_bytes',
            'B/change',
            versions,
            agents,
            cost['stream_bytes'],
        )
        add(
            'change.mismatches',
            '1/change',
            'SpreadDigest',
            agents,
            cost['mismatches'],
        )
        add('change.cpu', 's/change', versions, agents, cost['cpu'])
        add(
            'change.bytes_per_mismatch',
            'B',
            versions,
            agents,
            cost['stream_bytes'] / max(cost['mismatches'], 1e-3),
        )
        del fleet
        _measure_join(add, agents)
    return iter(recorder)


def _measure_join(add, agents: int) -> None:
    """Measure how a balancer takes in the state of the fleet."""
    items = [encode_record(agent_record(n, 1400)) for n in range(agents)]
    stream = [
        encode_message(SpreadItems(items[start : start + JOIN_ITEMS], True))
        for start in range(0, agents, JOIN_ITEMS)
    ]
    sender = balancer_record(1).control_address

    def join() -> MembershipCore:
        core = MembershipCore(balancer_record(0), [], random.Random(SEED))
        core.start(0.0)
        for data in stream:
            core.on_message(sender, decode_message(data), 0.1)
        return core

    size = sum(map(len, stream))
    add('join.bytes', 'B', 'SpreadItems in a stream', agents, size)
    add('join.cpu', 's', 'MembershipCore.on_message', agents, cpu_of(join, 1))
    size, _ = memory_of(join)
    add('balancer.memory', 'B', 'ItemMap, OrphanTable', agents, size)


def measure_member_memory() -> Iterator[Series]:
    """Measure the memory of the records of balancers."""
    recorder = Recorder()
    sender = balancer_record(1).control_address
    for count in (100, 200, 400, 800, 1400):
        data = encode_message(
            SpreadItems(
                [encode_record(balancer_record(n)) for n in range(count)]
            )
        )

        def join(data=data) -> MembershipCore:
            core = MembershipCore(balancer_record(0), [], random.Random(SEED))
            core.start(0.0)
            core.on_message(sender, decode_message(data), 0.1)
            core.tick(0.2)
            return core

        size, core = memory_of(join)
        recorder.add(
            'member.balancer.memory',
            'balancers',
            'B',
            'ItemMap, MembershipCore.balancers',
            count,
            size,
        )

        def refresh(core=core) -> None:
            core._refresh_peers()

        recorder.add(
            'member.change.cpu',
            'balancers',
            's/change',
            'MembershipCore._refresh_peers',
            count,
            cpu_of(refresh),
        )
    return iter(recorder)


class _Burst(NamedTuple):
    """What followed a burst of changes, on average over the balancers.

    :param delay: time until all balancers know all of them, in seconds.
    :param peak: highest rate of bytes of a balancer.
    """

    delay: float
    peak: float
    sent: float
    cpu: float


def _follow(fleet: Fleet, is_known: Callable[[], bool]) -> _Burst:
    start = fleet.now
    delay = peak = cpu = sent = 0.0
    nodes = len(fleet.core_by_address)
    while not delay and fleet.now - start < MAX_BURST_S:
        fleet.reset_counts()
        end = fleet.now + PEAK_S
        while fleet.now < end - 1e-9:
            cpu += fleet.advance(CHECK_S)
            if not delay and is_known():
                delay = fleet.now - start
        peak = max(peak, max(fleet.sent.values()) / PEAK_S)
        sent += fleet.mean_sent
    if not delay:
        raise RuntimeError(f'changes not known after {MAX_BURST_S:g} s')
    return _Burst(delay, peak, sent, cpu / nodes)


def measure_bursts() -> Iterator[Series]:
    """Measure many records at once, and balancers lost at once."""
    recorder = Recorder()

    def add(prefix, size, x, burst) -> None:
        for cost, unit, value in (
            ('delay', 's', burst.delay),
            ('peak_bytes_per_s', 'B/s', burst.peak),
            ('bytes', 'B', burst.sent),
            ('cpu', 's', burst.cpu),
        ):
            recorder.add(
                f'{prefix}.{cost}', size, unit, 'SpreadCore rumours', x, value
            )

    for count in BURSTS:
        fleet = Fleet(BURST_FLEET)
        fleet.advance(WARM_S)
        records = [agent_record(n, BURST_FLEET) for n in range(count)]
        fleet.announce(records)
        cores = fleet.cores
        burst = _follow(
            fleet,
            lambda n=count, cores=cores: all(
                len(c.agents) == n for c in cores
            ),
        )
        add('burst.balancer', 'records at once', count, burst)
    for count in OUTAGES:
        fleet = Fleet(OUTAGE_FLEET)
        fleet.advance(WARM_S)
        killed = fleet.kill(count)
        cores = fleet.cores
        burst = _follow(
            fleet,
            lambda killed=killed, cores=cores: (
                not any(
                    core.balancers[name].state.is_present
                    for core in cores
                    for name in killed
                )
            ),
        )
        add('outage.balancer', 'balancers lost', count, burst)
    return iter(recorder)
