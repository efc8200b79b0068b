"""A gate between a UDP socket for callers and an upstream on loopback."""

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
    """Sockets and loop around one gate."""

    def __init__(self, gate, upstream_address, callers=None):
        self.gate = gate
        self.upstream_address = upstream_address
        self.loop = asyncio.get_running_loop()
        self.fates = itertools.repeat((0.0,))
        self.counts = []
        self.sockets = {}
        self.callers = callers or self._open(('127.0.0.1', 0))
        self.address = self.callers.getsockname()
        self.loop.add_reader(self.callers, self._on_callers)
        self.ticker = asyncio.create_task(self._tick())

    def _open(self, bind):
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.setblocking(False)
        opened.bind(bind)
        return opened

    def disturb(self, rng, loss=0.0):
        """Lose, copy and reorder what passes between gate and callers."""

        def fates():
            while True:
                copies = 0 if rng.random() < loss else rng.choice((1, 1, 2))
                yield [rng.choice((0.0, 0.01, 0.03)) for _ in range(copies)]

        self.fates = fates()

    def _on_callers(self):
        with contextlib.suppress(BlockingIOError, ConnectionRefusedError):
            datagram, address = self.callers.recvfrom(65536)
            for delay_s in next(self.fates):
                self.loop.call_later(delay_s, self._take, address, datagram)

    def _take(self, address, datagram):
        now = self.loop.time()
        self.do(self.gate.on_caller_datagram(flow_id(address), datagram, now))

    def _give(self, flow, datagram):
        if self.callers.fileno() >= 0:
            self.callers.sendto(datagram, tuple(flow_address(flow)))

    def _on_upstream(self, flow):
        with contextlib.suppress(ConnectionRefusedError):
            datagram = self.sockets[flow].recv(65536)
            self.do(
                self.gate.on_upstream_datagram(
                    flow, datagram, self.loop.time()
                )
            )

    async def _tick(self):
        while True:
            self.do(self.gate.tick(self.loop.time()))
            await asyncio.sleep(TICK_S)

    def do(self, effects):
        for effect in effects:
            match effect:
                case SendToCaller(flow, datagram):
                    for delay_s in next(self.fates):
                        self.loop.call_later(
                            delay_s, self._give, flow, datagram
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
                    self._send_upstream(flow, datagram)
                case _:
                    self.counts.append(effect)

    def _send_upstream(self, flow, datagram):
        opened = self.sockets[flow]
        with contextlib.suppress(ConnectionRefusedError):
            opened.send(datagram)
        # On loopback the refusal of this datagram is reported at once.
        if opened.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            now = self.loop.time()
            self.do(self.gate.on_upstream_refused(flow, datagram, now))

    def _close(self, opened):
        if opened.fileno() >= 0:
            self.loop.remove_reader(opened)
            opened.close()

    def stop(self):
        self.ticker.cancel()
        for opened in [self.callers, *self.sockets.values()]:
            self._close(opened)


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
