"""Stand-in upstream: a CoAP server with slots, a ramp and draining.

Run it with ``python -m testbed.upstream --address 127.0.0.1:7000``.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
import hashlib
import json
import logging
import signal
import socket
import time
from typing import TextIO

import aiocoap
from aiocoap import Message
from aiocoap import resource
from aiocoap.numbers.codes import Code
import click

from ibispitch.ids import parse_address
from ibispitch.requests import coap

#: Share of its slots that an upstream can use at its start.
COLD_SHARE = 0.1
#: Ratio of running requests to usable slots from which an upstream sheds
#: requests. Below it, requests over the capacity take longer.
SHED_LOAD_RATIO = 2.0
#: No-Response value that suppresses answers of every class (RFC 7967).
NO_RESPONSE_ALL_CLASSES = 26
DEFAULT_LARGE_BYTES = 5000
#: All observers are notified at once and their acknowledgements arrive at
#: once. The default receive buffer of Linux loses some of 290.
RECEIVE_BUFFER_BYTES = 4 << 20


class Capacity:
    """Slots that an upstream can use, by the time since its cold start.

    :param slots: requests that a warm upstream runs at the same time.
    :param ramp_s: seconds from a cold start until all slots are usable.
    """

    def __init__(self, slots: int, ramp_s: float, now: float):
        self.slots = slots
        self.ramp_s = ramp_s
        self._cold_since = now

    def restart_ramp(self, now: float) -> None:
        """Start the ramp again from the cold share."""
        self._cold_since = now

    def slots_at(self, now: float) -> float:
        """Return the number of requests that it can run at the same time.

        >>> capacity = Capacity(10, 4.0, 0.0)
        >>> [capacity.slots_at(now) for now in (0.0, 2.0, 9.0)]
        [1.0, 5.0, 10.0]
        """
        warm = (now - self._cold_since) / self.ramp_s if self.ramp_s else 1.0
        return self.slots * min(1.0, max(COLD_SHARE, warm))


class Upstream:
    """State and load shedding of the stand-in.

    :param name: name of the upstream in every answer.
    :param service_s: seconds that a request takes without overload.
    :param sheds: whether it refuses requests under overload; otherwise it
        only slows down.
    :param clock: returns the current time in seconds.
    """

    def __init__(
        self,
        name: str,
        capacity: Capacity,
        service_s: float,
        sheds: bool = True,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.name = name
        self.capacity = capacity
        self.service_s = service_s
        self.sheds = sheds
        self.clock = clock
        self.draining = False
        self.audit: TextIO | None = None
        self.counts: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        self.running = 0
        self.max_running = 0
        self._task_by_id: dict[str, asyncio.Task] = {}

    def must_shed(self) -> bool:
        """Tell whether the next request must be refused."""
        if self.draining:
            return True
        limit = max(1.0, self.capacity.slots_at(self.clock()))
        return self.sheds and self.running >= limit * SHED_LOAD_RATIO

    def duration_s(self) -> float:
        """Return how long a request takes at the current load."""
        capacity_slots = self.capacity.slots_at(self.clock())
        return self.service_s * max(1.0, self.running / capacity_slots)

    async def run(
        self, request: Message, body: Callable[[str], dict]
    ) -> Message:
        """Run a request in a slot.

        :param body: returns the fields of the answer for a request id; it
            is called after the run has been counted.
        """
        if self.must_shed():
            self.counts['shed'] += 1
            return Message(code=Code.SERVICE_UNAVAILABLE, max_age=1)
        raw_id = coap.opaque_option(request, coap.REQUEST_ID)
        request_id = raw_id.hex() if raw_id is not None else ''
        if request_id:
            self._record_run(request_id)
        self.counts['run'] += 1
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        task = asyncio.ensure_future(asyncio.sleep(self.duration_s()))
        self._task_by_id[request_id] = task
        try:
            async with asyncio.timeout(_deadline_s(request)):
                await task
        except TimeoutError:
            self.counts['expired'] += 1
            return Message(code=Code.GATEWAY_TIMEOUT)
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            self.counts['cancelled'] += 1
            return Message(
                code=Code.CHANGED, no_response=NO_RESPONSE_ALL_CLASSES
            )
        finally:
            self.running -= 1
            self._task_by_id.pop(request_id, None)
        self.counts['completed'] += 1
        fields = {'upstream': self.name, 'request_id': request_id}
        fields |= body(request_id)
        return Message(payload=json.dumps(fields).encode())

    def _record_run(self, request_id: str) -> None:
        """Count a run and write it to the audit file, if there is one.

        The audit file keeps the runs if the process is killed.
        """
        self.runs[request_id] += 1
        if self.audit is not None:
            self.audit.write(f'{request_id}\n')
            self.audit.flush()

    def cancel(self, request_id: str) -> bool:
        """Cancel a running request.

        :returns: whether it was running.
        """
        task = self._task_by_id.get(request_id)
        return bool(request_id) and task is not None and task.cancel()

    def statistics(self) -> dict:
        """Return counters and state for the control resource."""
        return {
            'name': self.name,
            'capacity': self.capacity.slots_at(self.clock()),
            'running': self.running,
            'max_running': self.max_running,
            'draining': self.draining,
            'ids': len(self.runs),
            'doubled': sorted(i for i, n in self.runs.items() if n > 1),
            **{key: self.counts[key] for key in sorted(self.counts)},
        }

    def command(self, fields: dict) -> bool:
        """Run a command of the control resource.

        :returns: whether the command is known.
        """
        match fields:
            case {'command': 'cold'}:
                self.capacity.restart_ramp(self.clock())
            case {'command': 'drain'}:
                self.draining = True
            case {'command': 'undrain'}:
                self.draining = False
            case {'command': 'slots', 'value': int(value)}:
                self.capacity.slots = value
            case {'command': 'service_ms', 'value': int() | float() as value}:
                self.service_s = value / 1000
            case {'command': 'sheds', 'value': bool(value)}:
                self.sheds = value
            case _:
                return False
        return True


def _deadline_s(request: Message) -> float | None:
    remaining_ms = coap.uint_option(request, coap.DEADLINE_MS)
    return None if remaining_ms is None else remaining_ms / 1000


def large_body(size: int) -> bytes:
    """Return a body in which every eight bytes state their position.

    >>> large_body(20)
    b'00000000000000080000'
    """
    words = (b'%08d' % position for position in range(0, size, 8))
    return b''.join(words)[:size]


class UpstreamResource(resource.Resource):
    """A resource whose requests run in a slot of the upstream."""

    def __init__(self, upstream: Upstream):
        super().__init__()
        self.upstream = upstream


class SubmitResource(UpstreamResource):
    """POST that must run at most once."""

    async def render_post(self, request):
        """Count the run and answer with the hash of the body."""
        return await self.upstream.run(
            request,
            lambda request_id: {
                'runs': self.upstream.runs[request_id],
                'sha256': hashlib.sha256(request.payload).hexdigest(),
            },
        )


class StatusResource(UpstreamResource):
    """GET that may run any number of times."""

    async def render_get(self, request):
        """Answer with the name of the upstream and the query."""
        query = list(request.opt.uri_query)
        return await self.upstream.run(request, lambda _: {'query': query})


class ScanResource(UpstreamResource):
    """POST of a large body."""

    async def render_post(self, request):
        """Answer with size and hash of the whole body."""
        body = request.payload
        return await self.upstream.run(
            request,
            lambda request_id: {
                'runs': self.upstream.runs[request_id],
                'size': len(body),
                'sha256': hashlib.sha256(body).hexdigest(),
            },
        )


class LargeResource(UpstreamResource):
    """GET of a large body; the query ``size=N`` sets its length."""

    async def render_get(self, request):
        """Answer with a body in which parts state their position."""
        fields = dict(q.partition('=')[::2] for q in request.opt.uri_query)
        text = fields.get('size', str(DEFAULT_LARGE_BYTES))
        if not text.isdecimal():
            raise aiocoap.error.BadRequest('size must be a number')
        answer = await self.upstream.run(request, lambda _: {})
        if answer.code is None:
            answer.payload = large_body(int(text))
        return answer


class FeedResource(resource.ObservableResource):
    """Observable state that changes periodically."""

    def __init__(self, upstream: Upstream):
        super().__init__()
        self.upstream = upstream
        self.change_count = 0

    async def render_get(self, request):
        """Answer with the number of the last change."""
        fields = {'upstream': self.upstream.name, 'change': self.change_count}
        return Message(payload=json.dumps(fields).encode())

    def update_observation_count(self, newcount):
        """Record the number of observers in the statistics."""
        self.upstream.counts['observers'] = newcount

    async def change_periodically(self, period_s: float) -> None:
        """Change the state and notify the observers, until cancelled.

        :param period_s: seconds between two changes.
        """
        while True:
            await asyncio.sleep(period_s)
            self.change_count += 1
            self.updated_state()


class CancellationResource(resource.Resource, resource.PathCapable):
    """``/.well-known/requests/<hex id>``: DELETE cancels a request."""

    def __init__(self, upstream: Upstream):
        super().__init__()
        self.upstream = upstream

    async def render_delete(self, request):
        """Cancel the request if it is running."""
        if self.upstream.cancel('/'.join(request.opt.uri_path)):
            return Message(code=Code.DELETED)
        raise aiocoap.error.NotFound()


class ControlResource(resource.Resource):
    """Statistics and commands in JSON."""

    def __init__(self, upstream: Upstream):
        super().__init__()
        self.upstream = upstream

    async def render_get(self, request):
        """Answer with the statistics."""
        return Message(payload=json.dumps(self.upstream.statistics()).encode())

    async def render_post(self, request):
        """Run a command and answer with the statistics."""
        try:
            fields = json.loads(request.payload)
        except ValueError:
            fields = None
        if not isinstance(fields, dict) or not self.upstream.command(fields):
            raise aiocoap.error.BadRequest('unknown command')
        return Message(payload=json.dumps(self.upstream.statistics()).encode())


async def serve(
    upstream: Upstream, bind: tuple[str, int], period_s: float
) -> tuple[aiocoap.Context, asyncio.Task]:
    """Serve the resources of an upstream.

    :param bind: UDP address on which it listens.
    :param period_s: seconds between two changes of the feed.
    :returns: the server context and the task that changes the feed.
    """
    feed = FeedResource(upstream)
    site = resource.Site()
    site.add_resource(['submit'], SubmitResource(upstream))
    site.add_resource(['status'], StatusResource(upstream))
    site.add_resource(['scan'], ScanResource(upstream))
    site.add_resource(['large'], LargeResource(upstream))
    site.add_resource(['feed'], feed)
    site.add_resource(['_control'], ControlResource(upstream))
    site.add_resource(coap.REQUESTS_PATH, CancellationResource(upstream))
    context = await aiocoap.Context.create_server_context(
        site, bind=bind, transports=['udp6']
    )
    for interface in context.request_interfaces:
        transport = interface.token_interface.message_interface.transport
        udp_socket = transport.get_extra_info('socket')
        udp_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
    return context, asyncio.create_task(feed.change_periodically(period_s))


async def _serve_until_signal(upstream, address, period_s) -> None:
    context, changes = await serve(upstream, tuple(address), period_s)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stopped.set)
    print(f'serving on {address}', flush=True)
    await stopped.wait()
    changes.cancel()
    await context.shutdown()
    print(json.dumps(upstream.statistics()), flush=True)


@click.command()
@click.option('--address', required=True, help='UDP address ip:port.')
@click.option('--name', default=None, help='Name in answers.')
@click.option('--slots', default=5, show_default=True)
@click.option('--ramp-s', default=10.0, show_default=True)
@click.option('--service-ms', default=20.0, show_default=True)
@click.option('--feed-period-s', default=1.0, show_default=True)
@click.option(
    '--overload',
    type=click.Choice(['shed', 'slow']),
    default='shed',
    show_default=True,
)
@click.option('--warm', is_flag=True, help='Start at full capacity.')
@click.option('--audit', default=None, help='File that gets each run id.')
def main(
    address,
    name,
    slots,
    ramp_s,
    service_ms,
    feed_period_s,
    overload,
    warm,
    audit,
):
    """Serve as a stand-in upstream until SIGTERM."""
    logging.getLogger('coap-server').setLevel(logging.ERROR)
    bind = parse_address(address)
    now = time.monotonic()
    capacity = Capacity(slots, ramp_s, now - ramp_s if warm else now)
    upstream = Upstream(
        name or address, capacity, service_ms / 1000, overload == 'shed'
    )
    if audit is not None:
        upstream.audit = open(audit, 'a')
    asyncio.run(_serve_until_signal(upstream, bind, feed_period_s))


if __name__ == '__main__':
    main()
