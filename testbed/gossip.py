"""In-memory network of balancers, with simulated time and faults.

Runs the deterministic cores of spread and membership, in tests and where
the control traffic of a large fleet is measured.
"""

import heapq
import itertools
import random

from ibispitch.ids import Address
from ibispitch.membership.core import MembershipCore
from ibispitch.membership.records import BalancerRecord
from ibispitch.membership.records import MemberState
from ibispitch.spread import SendDatagram
from ibispitch.spread import SendStream
from ibispitch.spread.messages import SpreadItems
from ibispitch.wire.frames import FRAME_OVERHEAD_BYTES
from ibispitch.wire.messages import decode_message
from ibispitch.wire.messages import encode_message

TICK_S = 0.2
IP_UDP_BYTES = 28


class Node:
    """A core with its address and its faults.

    :param address: what datagrams to it are addressed to.
    :param core: has ``tick(now)`` and ``on_message(sender, message, now)``.
    """

    def __init__(self, address, core):
        self.address = address
        self.core = core
        self.is_paused = False
        self.is_crashed = False
        self.backlog = []
        self.sent = 0
        self.stream_sent = 0

    @property
    def is_running(self):
        """Whether it is neither paused nor crashed."""
        return not self.is_paused and not self.is_crashed


class Network:
    """Delivers messages between nodes.

    :param seed: determines all delays and losses.
    :param loss: share of datagrams that are lost.
    :param duplication: share of datagrams that arrive twice.
    :param delay: bounds of the one-way delay in seconds; differing delays
        reorder datagrams.
    """

    def __init__(self, seed, loss=0.0, duplication=0.0, delay=(0.001, 0.02)):
        self.rng = random.Random(seed)
        self.loss, self.duplication, self.delay = loss, duplication, delay
        self.now = 0.0
        self.node_by_address = {}
        #: Nodes on different sides of a partition cannot reach each other.
        self.side_by_address = {}
        self.events = []
        self.counter = itertools.count()
        self.on_effect = lambda node, effect: None
        self.after_step = lambda node: None

    def add(self, address, core):
        """Add a node whose ticks start at a random phase."""
        node = Node(address, core)
        self.node_by_address[address] = node
        self._push(self.rng.random() * TICK_S, self._tick, node)
        return node

    def _push(self, delay, action, *arguments):
        at = self.now + delay
        heapq.heappush(
            self.events, (at, next(self.counter), action, arguments)
        )

    def _tick(self, node):
        if self.node_by_address.get(node.address) is not node:
            return
        if node.is_running:
            self.run(node, node.core.tick(self.now))
        if not node.is_crashed:
            self._push(TICK_S, self._tick, node)

    def run(self, node, effects):
        """Carry out effects; those that send nothing go to ``on_effect``."""
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self._datagram(node, effect.to, effect.message)
            elif isinstance(effect, SendStream):
                for message in effect.messages:
                    data = encode_message(message)
                    node.stream_sent += len(data) + 20
                    self._push(0.05, self._arrive, node, effect.to, data)
            else:
                self.on_effect(node, effect)
        self.after_step(node)

    def _datagram(self, node, to, message):
        data = encode_message(message)
        size = len(data) + FRAME_OVERHEAD_BYTES
        assert size <= 1200, message
        node.sent += size + IP_UDP_BYTES
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                delay = self.rng.uniform(*self.delay)
                self._push(delay, self._arrive, node, to, data)

    def _arrive(self, sender, to, data):
        node = self.node_by_address.get(to)
        if node is not None and self.is_reachable(sender, node):
            self.deliver(node, self._receive, node, sender, data)

    def _receive(self, node, sender, data):
        message = decode_message(data)
        self.run(node, node.core.on_message(sender.address, message, self.now))

    def is_reachable(self, sender, node):
        """Tell whether a message of ``sender`` reaches ``node``."""
        side = self.side_by_address
        return not node.is_crashed and (
            side.get(sender.address) == side.get(node.address)
        )

    def deliver(self, node, action, *arguments):
        """Act now, or after the pause of the receiver."""
        if node.is_paused:
            node.backlog.append((action, arguments))
        elif not node.is_crashed:
            action(*arguments)

    def post(self, delay, node, action, *arguments):
        """Act after ``delay`` seconds unless the node has crashed."""
        self._push(delay, self.deliver, node, action, *arguments)

    def resume(self, node):
        """End a pause; what its socket buffers held is received now."""
        node.is_paused = False
        backlog, node.backlog = node.backlog[-200:], []
        for action, arguments in backlog:
            action(*arguments)

    def advance(self, seconds):
        """Let simulated time pass."""
        until = self.now + seconds
        while self.events and self.events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now = until


def balancer_record(number, incarnation=1, datacentre='accra'):
    """Return the record of a balancer with a unique address."""
    return BalancerRecord(
        balancer_id=f'b{number}',
        datacentre=datacentre,
        address=Address(f'10.1.{number // 250}.{number % 250}', 5000),
        control_address=Address(f'10.0.{number // 250}.{number % 250}', 4000),
        admin_address=Address(f'10.2.{number // 250}.{number % 250}', 8000),
        incarnation=incarnation,
        sequence=1,
        state=MemberState.ACTIVE,
    )


def start_balancer(network, number, seeds, incarnation=1):
    """Start a balancer and return its node."""
    record = balancer_record(number, incarnation)
    rng = random.Random(network.rng.getrandbits(32))
    core = MembershipCore(record, seeds, rng)
    node = network.add(record.control_address, core)
    network.run(node, core.start(network.now))
    return node


def start_fleet(network, count):
    """Start balancers that know nothing but up to three seeds."""
    seeds = [balancer_record(n).control_address for n in range(min(3, count))]
    return [start_balancer(network, n, seeds) for n in range(count)]


def start_warm_fleet(network, count):
    """Start a fleet whose members know each other already."""
    nodes = start_fleet(network, count)
    items = [
        node.core.spread.items[f'balancer/{node.core.self_id}']
        for node in nodes
    ]
    for node, other in zip(nodes, nodes[1:] + nodes[:1], strict=True):
        message = SpreadItems(items, is_bulk=True)
        node.core.on_message(other.address, message, network.now)
    network.advance(10)
    return nodes
