"""In-memory network of balancers with simulated time and faults.

It runs the deterministic cores of spread and membership. Tests use it, also
those that measure the control traffic of a large fleet.
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
    """A core with its address and simulated faults.

    :param address: address at which it receives datagrams.
    :param core: has ``tick(now)`` and ``on_message(sender, message, now)``.
    """

    def __init__(self, address, core):
        self.address = address
        self.core = core
        self.is_paused = False
        self.is_crashed = False
        self.backlog = []
        self.datagram_bytes_sent = 0
        self.stream_bytes_sent = 0

    @property
    def is_running(self):
        """Whether the node is neither paused nor crashed."""
        return not self.is_paused and not self.is_crashed


class Network:
    """Delivers messages between nodes, with losses and delays.

    :param seed: seed of all delays, losses and duplications.
    :param loss: share of datagrams that are lost.
    :param duplication: share of datagrams that arrive twice.
    :param delay: bounds of the one-way delay in seconds; as delays vary,
        datagrams may be reordered.
    """

    def __init__(self, seed, loss=0.0, duplication=0.0, delay=(0.001, 0.02)):
        self.rng = random.Random(seed)
        self.loss, self.duplication, self.delay = loss, duplication, delay
        self.now = 0.0
        self.node_by_address = {}
        #: Nodes in different partitions cannot reach each other.
        self.partition_by_address = {}
        self._events = []
        self._event_numbers = itertools.count()
        self.on_effect = lambda node, effect: None
        self.after_step = lambda node: None

    def add(self, address, core):
        """Add a node with its first tick at a random time in ``TICK_S``."""
        node = Node(address, core)
        self.node_by_address[address] = node
        self._schedule(self.rng.random() * TICK_S, self._tick, node)
        return node

    def _schedule(self, delay, action, *arguments):
        at = self.now + delay
        heapq.heappush(
            self._events, (at, next(self._event_numbers), action, arguments)
        )

    def _tick(self, node):
        if self.node_by_address.get(node.address) is not node:
            return
        if node.is_running:
            self.run(node, node.core.tick(self.now))
        if not node.is_crashed:
            self._schedule(TICK_S, self._tick, node)

    def run(self, node, effects):
        """Send messages of effects; pass other effects to ``on_effect``."""
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self._send_datagram(node, effect.to, effect.message)
            elif isinstance(effect, SendStream):
                for message in effect.messages:
                    data = encode_message(message)
                    node.stream_bytes_sent += len(data) + 20
                    self._schedule(0.05, self._arrive, node, effect.to, data)
            else:
                self.on_effect(node, effect)
        self.after_step(node)

    def _send_datagram(self, node, to, message):
        data = encode_message(message)
        size = len(data) + FRAME_OVERHEAD_BYTES
        assert size <= 1200, message
        node.datagram_bytes_sent += size + IP_UDP_BYTES
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                delay = self.rng.uniform(*self.delay)
                self._schedule(delay, self._arrive, node, to, data)

    def _arrive(self, sender, to, data):
        node = self.node_by_address.get(to)
        if node is not None and self.is_reachable(sender, node):
            self.deliver(node, self._receive, node, sender, data)

    def _receive(self, node, sender, data):
        message = decode_message(data)
        self.run(node, node.core.on_message(sender.address, message, self.now))

    def is_reachable(self, sender, node):
        """Tell whether a message of ``sender`` reaches ``node``."""
        partitions = self.partition_by_address
        return not node.is_crashed and (
            partitions.get(sender.address) == partitions.get(node.address)
        )

    def deliver(self, node, action, *arguments):
        """Call an action now, or at the end of a pause of the receiver.

        Nothing is called if the receiver has crashed.
        """
        if node.is_paused:
            node.backlog.append((action, arguments))
        elif not node.is_crashed:
            action(*arguments)

    def schedule_delivery(self, delay, node, action, *arguments):
        """Call :meth:`deliver` after ``delay`` seconds."""
        self._schedule(delay, self.deliver, node, action, *arguments)

    def resume(self, node):
        """End a pause; the node receives what its socket buffers hold."""
        node.is_paused = False
        backlog, node.backlog = node.backlog[-200:], []
        for action, arguments in backlog:
            action(*arguments)

    def advance(self, seconds):
        """Advance simulated time."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = end


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
    """Start balancers that know only up to three seeds."""
    seeds = [balancer_record(n).control_address for n in range(min(3, count))]
    return [start_balancer(network, n, seeds) for n in range(count)]


def start_joined_fleet(network, count):
    """Start a fleet whose balancers know each other already."""
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
