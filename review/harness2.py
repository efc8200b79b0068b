"""Stand-ins for the scripts of the second review, on loopback.

The balancers and agents are the project's own programs, started as separate
processes with the commands of ``deploy/system.toml``. The store, the routers,
the servers and the clients live in the process of the script and follow the
users' ``PROTOCOL.md`` and ``DEPLOY.md``:

- ``Store``: the metadata store. A transaction has one revision, which all of
  its changes carry; this is also what the store of the users' bench does.
- ``Deployment``: routers with ``hash`` = ``mod``, readiness checks twice a
  second, settings files, starts and stops of the processes.
- ``Server`` and ``Client``: both ends of the flows, HTTP/1.1 inside.

All addresses are loopback addresses, the ports are the same on all machines,
and everything is below a temporary folder.
"""

import asyncio
from base64 import b64decode
from base64 import b64encode
from collections import defaultdict
import itertools
import json
import os
from pathlib import Path
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs
from urllib.parse import urlsplit
import zlib

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / 'target' / 'deps')]

from testbed import flow_packets as wire  # noqa: E402
from testbed.flow_packets import ACK  # noqa: E402
from testbed.flow_packets import FIN  # noqa: E402
from testbed.flow_packets import RST  # noqa: E402
from testbed.flow_packets import SYN  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
MSS = 1200
WINDOW_PACKETS = 16
#: Pauses between retransmissions; a server gives up after eight.
RETRANSMIT_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
DELAYED_ACK_S = 0.04
OPENING_COPIES_S = (0.0, 0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
HEARTBEAT_S = 1.2
RESET_WINDOW = 76_800
SPACE = 1 << 32


class CannotRunError(Exception):
    """The case could not be run."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.path = Path(folder) / 'record.txt'
        self.started_at = time.monotonic()
        self.lines = [
            f'trouble: {"yes" if TROUBLE else "no"}',
        ]

    def add(self, text):
        """Add a line with the time since the start."""
        self.lines.append(f'{self.now():8.3f} {text}')

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def write(self):
        """Write the file."""
        self.path.write_text('\n'.join(self.lines) + '\n')


# HTTP.


async def read_request(reader):
    """Return method, path and body of an HTTP request, None at the end."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    method, path, _ = lines[0].split(' ', 2)
    size = 0
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name.lower() == 'content-length':
            size = int(value)
    return method, path, await reader.readexactly(size)


def render(status, body=b''):
    """Return the bytes of an HTTP response."""
    return (
        f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


async def serve_http(ip, port, answer):
    """Serve HTTP; ``answer`` returns status and body, None to say nothing."""

    async def serve(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                response = await answer(*request)
                if response is None:
                    break
                writer.write(render(*response))
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # The script ends.
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, ip, port)


async def call_http(ip, port, method, path, body=b'', timeout_s=1.0):
    """Return the status of a call, None without an answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(
                f'{method} {path} HTTP/1.1\r\nHost: {ip}:{port}\r\n'
                'Content-Type: application/json\r\nConnection: close\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'.encode()
                + body
            )
            head = await reader.readuntil(b'\r\n\r\n')
            size = int(header_of(head, 'Content-Length') or 0)
            await reader.readexactly(size)
            return int(head.split()[1])
    except (OSError, EOFError, TimeoutError, IndexError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


# The store.


class Store:
    """The platform's metadata store; each process has its own port to it."""

    def __init__(self):
        self.revision = 3
        self.items = {}
        self.events = []
        self.calls = 0
        #: Names of the processes that the store rejects with 503.
        self.rejected = set()
        self.changed = asyncio.Event()

    def transact(self, puts=(), deletes=()):
        """All or nothing, under one revision, which is returned."""
        self.revision += 1
        for key, value in puts:
            created = self.items[key]['created'] if key in self.items else 0
            item = {
                'key': key, 'value': b64encode(value).decode(),
                'revision': self.revision,
                'created': created or self.revision, 'lease': 0,
            }  # fmt: skip
            self.items[key] = item
            self.events.append(item)
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.events.append(
                    {'key': key, 'revision': self.revision, 'removed': True}
                )
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def answer_for(self, name):
        """Return the handler of the calls of one process."""

        async def answer(method, path, body):
            self.calls += 1
            await asyncio.sleep(0.004)
            if name in self.rejected:
                return 503, b''
            url = urlsplit(path)
            query = {k: v[0] for k, v in parse_qs(url.query).items()}
            if url.path == '/v1/kv-range':
                return self._range(query)
            if url.path == '/v1/kv-key':
                item = self.items.get(query['key'])
                if item is None:
                    return 404, b''
                return _json(item | {'current_rev': self.revision})
            if url.path == '/v1/kv-watch':
                return await self._watch(name, query)
            if (method, url.path) == ('POST', '/v1/kv-txn'):
                return self._txn(json.loads(body))
            return 404, b''

        return answer

    def _range(self, query):
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query['prefix']) and key > query.get('after', '')
        )
        return _json(
            {
                'items': [self.items[key] for key in keys[:500]],
                'has_more': len(keys) > 500,
                'current_rev': self.revision,
            }
        )

    async def _watch(self, name, query):
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query['wait_ms']) / 1000
        while True:
            events = [
                event
                for event in self.events
                if event['revision'] > int(query['after'])
                and event['key'].startswith(query['prefix'])
            ]
            if name in self.rejected:
                return 503, b''
            if events or loop.time() >= until:
                return _json({'events': events, 'current_rev': self.revision})
            try:
                async with asyncio.timeout(until - loop.time()):
                    await self.changed.wait()
            except TimeoutError:
                pass

    def _txn(self, body):
        for row in body['expected_rev']:
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                return 412, json.dumps({'items': []}).encode()
        if any(put['key'].startswith('op/') for put in body['puts']):
            return 403, b''
        puts = [(p['key'], b64decode(p['value'])) for p in body['puts']]
        return _json({'revision': self.transact(puts, body['deletes'])})


def _json(document):
    return 200, json.dumps(document).encode()


# Both ends of a flow.


class End:
    """One end of an open flow: windows, acknowledgements, retransmissions.

    :param transmit: sends a packet: flags, sequence, acknowledged, data.
    :param on_data: gets the bytes that arrive, in order.
    """

    def __init__(self, loop, transmit, sequence, expected, on_data, on_fin):
        self.loop = loop
        self.transmit = transmit
        self.next = self.una = sequence
        self.expected = expected
        self.on_data, self.on_fin = on_data, on_fin
        self.pending = bytearray()
        self.in_flight = {}
        self.wants_fin = self.sent_fin = self.got_fin = False
        self.fin_acknowledged = False
        self.early = {}
        self.unacknowledged = 0
        self.ack_timer = self.timer = None
        self.tries = 0
        self.is_dead = False

    def write(self, data, fin=False):
        """Queue data for the other end, and a FIN behind it."""
        self.pending += data
        self.wants_fin |= fin
        self.pump()

    def pump(self):
        """Send what the window allows."""
        if self.is_dead:
            return
        while self.pending and len(self.in_flight) < WINDOW_PACKETS:
            data = bytes(self.pending[:MSS])
            del self.pending[:MSS]
            self._send_new(ACK, data, len(data))
        if self.wants_fin and not self.pending and not self.sent_fin:
            self.sent_fin = True
            self._send_new(FIN | ACK, b'', 1)

    def _send_new(self, flags, data, length):
        self.in_flight[self.next] = flags, data, length
        self.transmit(flags, self.next, self.expected, data)
        self.next = (self.next + length) % SPACE
        self._stop_ack()
        if self.timer is None:
            self._start_timer()

    def _start_timer(self):
        delay = RETRANSMIT_S[min(self.tries, len(RETRANSMIT_S) - 1)]
        self.timer = self.loop.call_later(delay, self._retransmit)

    def _retransmit(self):
        self.timer = None
        if self.is_dead or not self.in_flight:
            return
        if self.tries >= len(RETRANSMIT_S):
            self.kill()
            return
        self.tries += 1
        sequence, (flags, data, _) = next(iter(self.in_flight.items()))
        self.transmit(flags, sequence, self.expected, data)
        self._start_timer()

    def receive(self, segment):
        """Take a packet of the other end."""
        if self.is_dead:
            return
        if segment.flags & ACK:
            self._acknowledge(segment.acknowledged)
        length = len(segment.data) + bool(segment.flags & FIN)
        if not length:
            return
        if segment.sequence == self.expected:
            self._take(segment.flags, segment.data)
            while self.expected in self.early:
                self._take(*self.early.pop(self.expected))
            self.unacknowledged += 1
            if self.unacknowledged >= 2 or segment.flags & FIN:
                self._send_ack()
            elif self.ack_timer is None:
                self.ack_timer = self.loop.call_later(
                    DELAYED_ACK_S, self._send_ack
                )
        else:
            if (segment.sequence - self.expected) % SPACE < SPACE // 2:
                self.early[segment.sequence] = segment.flags, segment.data
            self._send_ack()

    def _take(self, flags, data):
        self.expected = (self.expected + len(data)) % SPACE
        if data:
            self.on_data(data)
        if flags & FIN:
            self.expected = (self.expected + 1) % SPACE
            self.got_fin = True
            self.on_fin()

    def _acknowledge(self, acknowledged):
        done = [
            sequence
            for sequence, (_, _, length) in self.in_flight.items()
            if (acknowledged - sequence - length) % SPACE < SPACE // 2
        ]
        for sequence in done:
            flags, _, _ = self.in_flight.pop(sequence)
            self.fin_acknowledged |= bool(flags & FIN)
        if done:
            self.tries = 0
            if self.timer is not None:
                self.timer.cancel()
                self.timer = None
            if self.in_flight:
                self._start_timer()
        self.pump()

    def _send_ack(self):
        if not self.is_dead:
            self._stop_ack()
            self.transmit(ACK, self.next, self.expected, b'')

    def _stop_ack(self):
        self.unacknowledged = 0
        if self.ack_timer is not None:
            self.ack_timer.cancel()
            self.ack_timer = None

    def kill(self):
        """Stop all timers; the flow is over."""
        self.is_dead = True
        for timer in (self.timer, self.ack_timer):
            if timer is not None:
                timer.cancel()


class Sock:
    """A UDP socket on the event loop."""

    def __init__(self, ip, port, on_datagram):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        self.socket.bind((ip, port))
        self.on_datagram = on_datagram
        self.loop = asyncio.get_running_loop()
        self.loop.add_reader(self.socket.fileno(), self._read)

    def _read(self):
        try:
            for _ in range(64):
                self.on_datagram(self.socket.recvfrom(65535)[0])
        except (BlockingIOError, ConnectionError):
            return

    def send(self, raw, ip, port):
        """Send a datagram; it may be lost."""
        try:
            self.socket.sendto(raw, (ip, port))
        except OSError:
            pass

    def close(self):
        """Close the socket."""
        if self.socket.fileno() >= 0:
            self.loop.remove_reader(self.socket.fileno())
            self.socket.close()


def header_of(data, name):
    """Return the value of an HTTP header, None if it is missing."""
    for line in data.split(b'\r\n'):
        key, _, value = line.partition(b':')
        if key.lower() == name.lower().encode():
            return value.strip().decode()
    return None


class ServerFlow:
    """A flow at a server."""

    def __init__(self, server, segment):
        self.server = server
        self.client = segment.source
        self.route = segment.destination
        self.client_sequence = (segment.sequence + 1) % SPACE
        self.sequence = server.rng.randrange(SPACE)
        self.is_open = False
        self.opened_at = None
        self.buffer = b''
        self.end = None

    def transmit(self, flags, sequence, acknowledged, data=b''):
        """Send a packet to the client."""
        self.server.send(
            wire.build(
                self.route, self.client, flags, sequence, acknowledged, data
            )
        )

    def answer_opening(self):
        """Answer a SYN."""
        self.transmit(SYN | ACK, self.sequence, self.client_sequence)

    def receive(self, segment):
        """Return whether the packet belongs to this flow."""
        if not self.is_open:
            first = (self.sequence + 1) % SPACE
            if not segment.flags & ACK or segment.acknowledged != first:
                return False
            self.is_open = True
            self.opened_at = time.monotonic()
            self.end = End(
                self.server.loop, self.transmit, first, self.client_sequence,
                self._on_data, self._on_fin,
            )  # fmt: skip
        if segment.flags & RST:
            self.end.kill()
            self.server.forget(self)
            return True
        self.end.receive(segment)
        if self.end.got_fin and self.end.fin_acknowledged:
            self.server.finish(self)
        return True

    def _on_data(self, data):
        self.buffer += data
        while b'\r\n\r\n' in self.buffer:
            head, _, rest = self.buffer.partition(b'\r\n\r\n')
            size = int(header_of(head, 'Content-Length') or 0)
            if len(rest) < size:
                return
            self.buffer = rest[size:]
            self.server.offer(self, header_of(head, 'X-Ibispitch-Request-Id'))

    def _on_fin(self):
        if not self.server.runs_of(self):
            self.end.write(b'', fin=True)


class Server:
    """One incarnation of a server beside an agent.

    :param machine: the machine of its agent.
    :param work_s: time of a request.
    :param write_answer: coroutine function that writes the answer to a
        request on a flow; by default the whole answer at once.
    """

    _ids = itertools.count(1)

    def __init__(
        self,
        deployment,
        machine,
        slots=2,
        queue=8,
        work_s=0.02,
        write_answer=None,
    ):
        self.deployment = deployment
        self.machine = machine
        self.loop = asyncio.get_running_loop()
        self.rng = deployment.rng
        self.name = f'i-{next(self._ids):08x}'
        self.born = round(time.time() * 1000)
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.write_answer = write_answer or self._write_whole
        self.state = 'ready'
        self.cold_until = 0.0
        self.sequence = 0
        self.is_alive = True
        self.flows = {}
        self.ended = {}
        self.waiting = []
        self.running = defaultdict(int)
        #: Time and client of each opening that it accepted.
        self.openings = []
        #: Time and id of each run.
        self.runs = []
        self.bounced = self.resets = 0
        self.beats = []
        self.sock = self.http = self.task = None
        #: Drops packets to the client: returns whether one is lost.
        self.loses = lambda raw: False

    async def start(self, beats_at_once=True):
        """Listen, and begin to send heartbeats."""
        machine = self.machine
        self.sock = Sock(machine.ip, self.deployment.ports['app'], self._read)
        self.http = await serve_http(
            machine.ip, self.deployment.ports['app'], self._answer_check
        )
        machine.server = self
        self.task = asyncio.ensure_future(self._beat(beats_at_once))

    async def _answer_check(self, _method, path, _body):
        return (200 if self.state == 'ready' else 503), b'{}'

    async def _beat(self, at_once):
        if not at_once:
            await asyncio.sleep(HEARTBEAT_S)
        while self.is_alive:
            self.loop.create_task(self.beat())
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self):
        """Send a heartbeat; return whether it was acknowledged."""
        self.sequence += 1
        left_s = max(0.0, self.cold_until - time.monotonic())
        self.beats.append((time.monotonic(), left_s))
        body = {
            'service': self.machine.service, 'zone': self.machine.zone,
            'address': f'{self.machine.ip}:{self.deployment.ports["app"]}',
            'version': 'v1', 'slots': self.slots, 'state': self.state,
            'cold_left_ms': round(1000 * left_s), 'sequence': self.sequence,
            'born': self.born,
        }  # fmt: skip
        status = await call_http(
            self.machine.ip, self.deployment.ports['control'], 'PUT',
            f'/v1/instances/{self.name}', json.dumps(body).encode(),
        )  # fmt: skip
        return status == 200

    async def leave(self):
        """Say that it is gone; return whether that was acknowledged."""
        status = await call_http(
            self.machine.ip, self.deployment.ports['control'], 'DELETE',
            f'/v1/instances/{self.name}',
        )  # fmt: skip
        return status == 200

    def exit(self):
        """End; flows that are left are discarded."""
        self.is_alive = False
        for flow in list(self.flows.values()):
            if flow.end is not None:
                flow.end.kill()
        self.flows.clear()
        if self.task is not None:
            self.task.cancel()
        self.http.close()
        self.sock.close()

    def send(self, raw):
        """Send a packet to the outbound address of the machine."""
        if self.is_alive and not self.loses(raw):
            self.sock.send(
                raw, self.machine.ip, self.deployment.ports['outbound']
            )

    def _read(self, raw):
        if not self.is_alive:
            return
        segment = wire.parse(raw)
        if not segment.is_intact:
            self.deployment.damaged += 1
            return
        key = segment.source, segment.destination
        flow = self.flows.get(key)
        if segment.flags & SYN:
            first = (segment.sequence + 1) % SPACE
            if flow is None or flow.client_sequence != first:
                flow = self.flows[key] = ServerFlow(self, segment)
                self.openings.append((time.monotonic(), segment.source))
            if not flow.is_open:
                flow.answer_opening()
            return
        if flow is not None and flow.receive(segment):
            return
        if key in self.ended and flow is None:
            sequence, acknowledged = self.ended[key]
            flags = RST if segment.data else ACK
            self.resets += flags == RST
            if segment.data or segment.flags & FIN:
                self.send(
                    wire.build(
                        segment.destination, segment.source, flags, sequence,
                        acknowledged,
                    )
                )  # fmt: skip
            return
        self.bounced += 1
        self.sock.send(
            wire.bounced(raw), self.machine.ip,
            self.deployment.ports['outbound'],
        )  # fmt: skip

    def forget(self, flow):
        """Discard a flow."""
        self.flows.pop((flow.client, flow.route), None)

    def finish(self, flow):
        """Record that a flow has been closed by both ends."""
        self.ended[flow.client, flow.route] = flow.end.next, flow.end.expected
        flow.end.kill()
        self.forget(flow)

    def runs_of(self, flow):
        """Return the requests of a flow that run or wait."""
        return self.running[flow] + sum(f is flow for f, _ in self.waiting)

    def offer(self, flow, request_id):
        """Run a request, queue it, or reject it as not executed."""
        if sum(self.running.values()) < self.slots:
            self.loop.create_task(self._run(flow, request_id))
            self.running[flow] += 1
        elif len(self.waiting) < self.queue:
            self.waiting.append((flow, request_id))
        else:
            flow.end.write(
                b'HTTP/1.1 503 X\r\nX-Ibispitch-Not-Executed: 1\r\n'
                b'Content-Length: 0\r\n\r\n'
            )

    async def _run(self, flow, request_id):
        self.runs.append((time.monotonic(), request_id))
        try:
            await asyncio.sleep(self.work_s)
            await self.write_answer(self, flow, request_id)
        finally:
            self.running[flow] -= 1
        closes = self.state == 'draining' or flow.end.got_fin
        if closes and not self.runs_of(flow):
            flow.end.write(b'', fin=True)
        if self.waiting and self.is_alive:
            following = self.waiting.pop(0)
            self.running[following[0]] += 1
            self.loop.create_task(self._run(*following))

    @staticmethod
    async def _write_whole(_server, flow, request_id):
        flow.end.write(answer_of(request_id, request_id.encode()))


def answer_of(request_id, body):
    """Return an answer with the stamp of the server."""
    return (
        f'HTTP/1.1 200 OK\r\nX-Ibispitch-Response-Stamp: {request_id}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


class ClientFlow:
    """The client's end of a flow."""

    def __init__(self, client, port, route):
        self.client = client
        self.loop = client.loop
        self.address = wire.Address(client.ip, port)
        self.route = route
        self.sequence = client.rng.randrange(SPACE)
        self.end = None
        self.is_open = False
        self.has_failed = False
        self.reset_at = None
        self.was_open_at_reset = False
        self.opened = self.loop.create_future()
        self.buffer = b''
        self.arrived = asyncio.Event()
        self.timers = [
            self.loop.call_later(delay, self._send_opening, copy)
            for copy, delay in enumerate(OPENING_COPIES_S)
        ]
        self.timers.append(
            self.loop.call_later(OPENING_TIMEOUT_S, self._give_up)
        )

    def _send_opening(self, copy):
        if not self.is_open and not self.has_failed:
            self.transmit(SYN, self.sequence, copy)

    def _give_up(self):
        if not self.is_open:
            self.fail()

    def fail(self):
        """End the flow at this end."""
        self.has_failed = True
        for timer in self.timers:
            timer.cancel()
        if self.end is not None:
            self.end.kill()
        if not self.opened.done():
            self.opened.set_result(False)
        self.arrived.set()

    def transmit(self, flags, sequence, acknowledged, data=b''):
        """Send a packet through the routers."""
        self.client.transmit(
            self,
            wire.build(
                self.address, self.route, flags, sequence, acknowledged, data
            ),
        )

    def receive(self, segment):
        """Take a packet for this flow."""
        if self.has_failed:
            return
        if segment.flags & RST:
            if self.is_open:
                distance = (segment.sequence - self.end.expected) % SPACE
                if min(distance, SPACE - distance) > RESET_WINDOW:
                    return
            self.reset_at = time.monotonic()
            self.was_open_at_reset = self.is_open
            self.fail()
        elif segment.flags & SYN:
            if not self.is_open:
                self.is_open = True
                first = (self.sequence + 1) % SPACE
                self.end = End(
                    self.loop, self.transmit, first,
                    (segment.sequence + 1) % SPACE, self._on_data,
                    self.arrived.set,
                )  # fmt: skip
                self.opened.set_result(True)
                self.transmit(ACK, first, self.end.expected)
        elif self.is_open:
            self.end.receive(segment)

    def _on_data(self, data):
        self.buffer += data
        self.arrived.set()

    async def ask(self, request_id, body=b'', fin=False, timeout_s=3.0):
        """Send a request and return its answer's body, None without one."""
        try:
            async with asyncio.timeout(timeout_s):
                if not await asyncio.shield(self.opened):
                    return None
                self.end.write(
                    f'POST / HTTP/1.1\r\nX-Ibispitch-Request-Id: {request_id}'
                    f'\r\nContent-Length: {len(body)}\r\n\r\n'.encode()
                    + body,
                    fin,
                )
                return await self._answer(request_id)
        except TimeoutError:
            return None

    async def _answer(self, request_id):
        while not self.has_failed:
            head, found, rest = self.buffer.partition(b'\r\n\r\n')
            if found:
                size = int(header_of(head, 'Content-Length') or 0)
                if len(rest) >= size:
                    self.buffer = rest[size:]
                    stamp = header_of(head, 'X-Ibispitch-Response-Stamp')
                    if not head.startswith(b'HTTP/1.1 200'):
                        return None
                    if stamp != request_id:
                        self.client.deployment.mixed += 1
                        return None
                    return rest[:size]
            self.arrived.clear()
            await self.arrived.wait()
        return None

    def close(self):
        """Send a FIN."""
        if self.is_open and not self.has_failed:
            self.end.write(b'', fin=True)


class Client:
    """A client machine with an address of its own."""

    def __init__(self, deployment, ip, zone):
        self.deployment = deployment
        self.ip, self.zone = ip, zone
        self.loop = asyncio.get_running_loop()
        self.rng = deployment.rng
        self.ports = itertools.count(20_000)
        self.flows = {}
        #: Drops packets to the system: returns whether one is lost.
        self.loses = lambda raw: False
        self.sock = Sock(ip, deployment.ports['datagram'], self._read)

    def open(self, route):
        """Open a flow from a new port."""
        port = next(self.ports)
        flow = self.flows[port] = ClientFlow(self, port, route)
        return flow

    def transmit(self, flow, raw):
        """Send a packet to the machine that the routers choose."""
        machine = self.deployment.choose(self.zone, raw)
        if machine is not None and not self.loses(raw):
            self.loop.call_later(
                self.deployment.client_delay_s, self.sock.send, raw,
                machine.ip, self.deployment.ports['datagram'],
            )  # fmt: skip

    def _read(self, raw):
        self.loop.call_later(
            self.deployment.client_delay_s, self._receive, raw
        )

    def _receive(self, raw):
        segment = wire.parse(raw)
        flow = self.flows.get(segment.destination.port)
        is_reset = segment.flags & RST and not segment.data
        if not segment.is_intact and not is_reset:
            self.deployment.damaged += 1
        elif flow is not None:
            flow.receive(segment)


# Machines.


class Machine:
    """A machine with one process of the system."""

    def __init__(self, role, name, ip, zone, service=None):
        self.role, self.name, self.ip = role, name, ip
        self.zone, self.service = zone, service
        self.process = None
        self.misses = 2
        self.server = None
        self.store_port = None
        #: Times of starts, signals and ends, for the rule's "in touch".
        self.touched_at = time.monotonic()


def free_ports(ips, count):
    """Return ports that are free for TCP and UDP on all addresses."""
    found = []
    candidates = random.sample(range(21_000, 31_000), 400)
    for port in candidates:
        if port == 9100:
            continue
        opened = []
        try:
            for ip in ips:
                for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                    one = socket.socket(socket.AF_INET, kind)
                    opened.append(one)
                    one.bind((ip, port))
        except OSError:
            continue
        finally:
            for one in opened:
                one.close()
        found.append(port)
        if len(found) == count:
            return found
    raise CannotRunError('no free ports')


class Deployment:
    """A small deployment.

    :param zones: number of balancers by zone.
    :param servers: zone and service of each server.
    """

    def __init__(self, zones, servers, seed=1, bounds=None):
        self.rng = random.Random(seed)
        self.damaged = self.mixed = 0
        #: One way, between clients and machines.
        self.client_delay_s = 0.003
        self.folder = Path(tempfile.mkdtemp(prefix='ibispitch-review-'))
        self.prefix = (
            f'127.{random.randrange(20, 250)}.{random.randrange(250)}'
        )
        self.store = Store()
        self.clients = []
        self.is_first_start = True
        self.bounds = {
            'config_ms': 3000, 'stability_ms': 4000, 'grace_s': 6,
            'evacuate_ms': 5000, 'drain_ms': 3000, 'ack_ms': 5000,
            'cold_factor': 1.5, 'cold_slack': 5, 'reorder_ms': 2000,
            'flow_ttl_s': 60,
        } | (bounds or {})  # fmt: skip
        numbers = itertools.count(1)
        self.balancers = [
            Machine(
                'balancer', f'front-{zone}-{n + 1}', self._ip(numbers), zone
            )
            for zone, count in zones.items()
            for n in range(count)
        ]
        self.agents = [
            Machine(
                'agent',
                f'side-{zone}-{n + 1}',
                self._ip(numbers),
                zone,
                service,
            )
            for n, (zone, service) in enumerate(servers)
        ]
        self.numbers = numbers
        self.tasks = []
        self.https = []
        with (ROOT / 'deploy' / 'system.toml').open('rb') as file:
            self.roles = tomllib.load(file)['roles']
        names = (
            'datagram', 'ready', 'control', 'outbound', 'app', 'peer', 'store',
        )  # fmt: skip
        # A port of its own to the store for each process.
        ips = [m.ip for m in self.machines]
        self.ports = dict(zip(names, free_ports(ips, len(names)), strict=True))

    def _ip(self, numbers):
        return f'{self.prefix}.{next(numbers)}'

    @property
    def machines(self):
        """All machines of the system."""
        return [*self.balancers, *self.agents]

    def configuration(self, version, routes, services, idle_ms=15_000):
        """Return op/config; routes are dicts with name, ip, port, service."""
        return json.dumps(
            {
                'version': version,
                'routes': [
                    {
                        'name': route['name'], 'hostname': route['ip'],
                        'prefix': f'/{route["port"]}/',
                        'type': route.get('type', 'unsafe'),
                        'timeout_ms': route.get('timeout_ms', 3000),
                        'aim_ms': route.get('aim_ms', 326), 'priority': 1,
                        'service': route['service'], 'max_attempts': 2,
                    }
                    for route in routes
                ],
                'services': [
                    {
                        'name': name, 'health_path': '/healthz',
                        'max_flows': 2000, 'protocol': 'h1', 'tls': False,
                        'cold_start_s': 2.0, 'cold_per_s': 0.0,
                    }
                    for name in services
                ],
                'limits': {
                    'max_header_bytes': 16384, 'max_body_bytes': 262144,
                    'header_timeout_ms': 3000, 'idle_timeout_ms': idle_ms,
                },
            }
        ).encode()  # fmt: skip

    def operate(self, puts=(), deletes=()):
        """A transaction of the operator; return the time of its answer."""
        self.store.transact(puts, deletes)
        return time.monotonic()

    async def start(self, first_configuration, **server_options):
        """Start everything and wait until the balancers are in rotation."""
        self.operate([('op/config', first_configuration)])
        for machine in self.machines:
            self.https.append(
                await serve_http(
                    machine.ip, self.ports['store'],
                    self.store.answer_for(machine.name),
                )
            )  # fmt: skip
        for machine in self.agents:
            await Server(self, machine, **server_options).start()
        for machine in self.machines:
            await self.spawn(machine)
        self.tasks.append(asyncio.ensure_future(self._probe()))
        until = time.monotonic() + 30.0
        while not all(m.misses == 0 for m in self.balancers):
            if time.monotonic() > until:
                raise CannotRunError('the balancers are not ready')
            await asyncio.sleep(0.05)
        self.is_first_start = False
        # Traffic starts 12 s after the machines.
        await asyncio.sleep(12.0)

    def settings(self, machine):
        """Return the text of the settings file of a machine."""
        ports, ip = self.ports, machine.ip
        role = self.roles[machine.role]
        seeds = ','.join(
            f'{m.ip}:{ports["control"]}' for m in self.balancers[:3]
        )
        lines = {
            'node_name': machine.name,
            'role': machine.role,
            'machine_class': role['on'],
            'serves': ','.join(role['serves']),
            'ip': ip,
            'zone': machine.zone,
            'region': 'r',
            'listen.datagram_addr': f'{ip}:{ports["datagram"]}',
            'listen.ready': f'{ip}:{ports["ready"]}',
            'listen.control': f'{ip}:{ports["control"]}',
            'internal_ports': f'{ports["peer"]},{ports["peer"]}',
            'seeds': seeds,
            'bootstrap': 'true' if self.is_first_start else 'false',
            'loss_counts': 'false',
            'limits.cpu_share': 0.537,
            'limits.cores': 2,
            'limits.memory_mb': 300,
            'limits.max_fds': 4100,
            'limits.link_mbps': 1000.0,
            'discovery': 'local',
            'entry': 'announce',
            'heartbeat_ms': round(1000 * HEARTBEAT_S),
            'contracts': 'base,drain,config,cost,recover,flows,places,'
            'platform',
            'hash': 'mod',
            'deploy_mode': 'agent',
            'platform.address': f'{ip}:{ports["store"]}',
            'platform.deploy_mode': 'kv',
            'platform.writes_per_s': 400,
            'platform.reads_per_s': 2000,
            'platform.history_s': 20,
            'platform.value_bytes': 1048576,
            'platform.ttl_min_ms': 1000,
        } | {f'bounds.{key}': value for key, value in self.bounds.items()}
        if machine.role == 'agent':
            lines |= {
                'listen.outbound': f'{ip}:{ports["outbound"]}',
                'app': f'{ip}:{ports["app"]}', 'service': machine.service,
            }  # fmt: skip
        return ''.join(f'{key}={value}\n' for key, value in lines.items())

    async def spawn(self, machine):
        """Start the process of a machine with the command of its role."""
        path = self.folder / f'{machine.name}.conf'
        path.write_text(self.settings(machine))
        words = self.roles[machine.role]['run'].split()
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        } | {
            'IBISPITCH_BOOT': str(path),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
        }
        with (self.folder / f'{machine.name}.log').open('ab') as log:
            machine.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )  # fmt: skip
        machine.touched_at = time.monotonic()

    async def restart(self, machine, down_s=0.5):
        """Stop a process as planned and start it again."""
        machine.touched_at = time.monotonic()
        machine.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(self.bounds['grace_s']):
                await machine.process.wait()
        except TimeoutError:
            machine.process.kill()
            await machine.process.wait()
        await asyncio.sleep(down_s)
        await self.spawn(machine)

    async def _probe(self):
        async def probe(machine):
            status = await call_http(
                machine.ip, self.ports['ready'], 'GET', '/v1/readyz',
                timeout_s=0.45,
            )  # fmt: skip
            machine.misses = 0 if status == 200 else machine.misses + 1

        while True:
            await asyncio.gather(*map(probe, self.balancers))
            await asyncio.sleep(0.5)

    def choose(self, zone, raw):
        """The routers: hash over the machines in rotation, by mod."""
        near = [m for m in self.balancers if m.zone == zone]
        ready = [m for m in near if m.misses < 2]
        if 2 * len(ready) < len(near):
            ready = near
        if not ready:
            return None
        return ready[zlib.crc32(raw[14:26]) % len(ready)]

    def add_client(self, zone):
        """Add a client machine in a zone."""
        ip = f'{self.prefix}.{100 + len(self.clients)}'
        client = Client(self, ip, zone)
        self.clients.append(client)
        return client

    def log_events(self, machine):
        """Return the lines of the log of a machine, decoded."""
        text = (self.folder / f'{machine.name}.log').read_text()
        events = []
        for line in text.splitlines():
            try:
                events.append(json.loads(line))
            except ValueError:
                continue
        return events

    async def stop(self):
        """End all processes and stand-ins, and remove the folder."""
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            if machine.server is not None and machine.server.is_alive:
                machine.server.exit()
        for machine in self.machines:
            process = machine.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        for server in self.https:
            server.close()
        for client in self.clients:
            client.sock.close()
        keep = os.environ.get('REVIEW_KEEP_LOGS')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, case):
    """Run a case: 1 if the rule was broken, 0 if it held, 2 if not run."""
    record = Record(folder)

    async def run():
        try:
            async with asyncio.timeout(112.0):
                return await case(record)
        except (CannotRunError, TimeoutError, OSError) as error:
            record.add(f'could not run: {error!r}')
            return 2

    code = asyncio.run(run())
    record.add(f'exit code {code}')
    record.write()
    sys.stdout.write('\n'.join(record.lines[-12:]) + '\n')
    sys.exit(code)
