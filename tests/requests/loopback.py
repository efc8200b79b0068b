"""A gate between a UDP socket for callers and an upstream, on loopback."""

import asyncio
import contextlib
import itertools
import socket

from ibispitch.ids import flow_address
from ibispitch.ids import flow_id
from ibispitch.requests.effects import CloseSocket
from ibispitch.requests.effects import OpenSocket
from ibispitch.requests.effects import SendToCaller
from ibispitch.requests.effects import SendToUpstream
from testbed.upstream import Capacity
from testbed.upstream import serve
from testbed.upstream import Upstream

TICK_S = 0.02


def free_address(ip='127.0.0.1'):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((ip, 0))
        return probe.getsockname()


class LoopbackAgent:
    """The sockets and the timer of one gate."""

    def __init__(self, gate, upstream_address, callers=None):
        self.gate = gate
        self.upstream_address = upstream_address
        self.loop = asyncio.get_running_loop()
        self.copy_delays = itertools.repeat((0.0,))
        self.counts = []
        self.sockets = {}
        self.callers = callers or self._open(('127.0.0.1', 0))
        self.address = self.callers.getsockname()
        self.loop.add_reader(self.callers, self._on_callers)
        self.tick_task = asyncio.create_task(self._tick())

    def _open(self, bind):
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        bound.setblocking(False)
        bound.bind(bind)
        return bound

    def disturb(self, rng, loss=0.0):
        """Lose, duplicate and reorder datagrams between gate and callers."""

        def copy_delays():
            while True:
                copies = 0 if rng.random() < loss else rng.choice((1, 1, 2))
                yield [rng.choice((0.0, 0.01, 0.03)) for _ in range(copies)]

        self.copy_delays = copy_delays()

    def _on_callers(self):
        with contextlib.suppress(BlockingIOError, ConnectionRefusedError):
            datagram, address = self.callers.recvfrom(65536)
            for delay_s in next(self.copy_delays):
                self.loop.call_later(
                    delay_s, self._receive_from_caller, address, datagram
                )

    def _receive_from_caller(self, address, datagram):
        now = self.loop.time()
        self.apply_effects(
            self.gate.on_caller_datagram(flow_id(address), datagram, now)
        )

    def _send_to_caller(self, flow, datagram):
        if self.callers.fileno() >= 0:
            self.callers.sendto(datagram, tuple(flow_address(flow)))

    def _on_upstream(self, flow):
        with contextlib.suppress(ConnectionRefusedError):
            datagram = self.sockets[flow].recv(65536)
            self.apply_effects(
                self.gate.on_upstream_datagram(
                    flow, datagram, self.loop.time()
                )
            )

    async def _tick(self):
        while True:
            self.apply_effects(self.gate.tick(self.loop.time()))
            await asyncio.sleep(TICK_S)

    def apply_effects(self, effects):
        for effect in effects:
            match effect:
                case SendToCaller(flow, datagram):
                    for delay_s in next(self.copy_delays):
                        self.loop.call_later(
                            delay_s, self._send_to_caller, flow, datagram
                        )
                case OpenSocket(flow):
                    self.sockets[flow] = self._open(('127.0.0.1', 0))
                    self.sockets[flow].connect(self.upstream_address)
                    self.loop.add_reader(
                        self.sockets[flow], self._on_upstream, flow
                    )
                case CloseSocket(flow):
                    self._close(self.sockets.pop(flow))
                case SendToUpstream(flow, datagram):
                    self._send_to_upstream(flow, datagram)
                case _:
                    self.counts.append(effect)

    def _send_to_upstream(self, flow, datagram):
        bound = self.sockets[flow]
        with contextlib.suppress(ConnectionRefusedError):
            bound.send(datagram)
        # On loopback, the kernel reports a refused datagram at once.
        if bound.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            now = self.loop.time()
            self.apply_effects(
                self.gate.on_upstream_refused(flow, datagram, now)
            )

    def _close(self, bound):
        if bound.fileno() >= 0:
            self.loop.remove_reader(bound)
            bound.close()

    def stop(self):
        self.tick_task.cancel()
        for bound in [self.callers, *self.sockets.values()]:
            self._close(bound)


@contextlib.asynccontextmanager
async def running_upstream(name='u1', service_s=0.01, sheds=True, slots=20):
    address = free_address()
    upstream = Upstream(name, Capacity(slots, 0.0, 0.0), service_s, sheds)
    context, changes = await serve(upstream, address, 0.05)
    upstream.address = address
    try:
        yield upstream
    finally:
        changes.cancel()
        await context.shutdown()


@contextlib.asynccontextmanager
async def running_agent(gate, upstream):
    agent = LoopbackAgent(gate, upstream.address)
    try:
        yield agent
    finally:
        agent.stop()
