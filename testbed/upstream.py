"""Stand-in upstream: a CoAP server with slots, a cold start and drain.

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

#: Share of the slots that an upstream bears at its start.
COLD_SHARE = 0.1
#: Running requests over capacity at which it sheds instead of slowing down.
SHED_RATIO = 2.0
#: Suppresses every class of answer (RFC 7967).
NO_ANSWER = 26
DEFAULT_LARGE_BYTES = 5000
#: All observers are notified at once, so that as many acknowledgements arrive
#: at once. The default buffer of Linux loses some of 290.
BUFFER_BYTES = 4 << 20


class Capacity:
    """How many requests an upstream bears since its last cold start.

    :param slots: requests that a warm upstream runs at the same time.
    :param ramp_s: seconds from a cold start until it is warm.
    """

    def __init__(self, slots: int, ramp_s: float, now: float):
        self.slots = slots
        self.ramp_s = ramp_s
        self._cold_since = now

    def turn_cold(self, now: float) -> None:
        """Start again from the cold share."""
        self._cold_since = now

    def at(self, now: float) -> float:
        """Return the requests that it bears at the same time.

        >>> capacity = Capacity(10, 4.0, 0.0)
        >>> capacity.at(0.0), capacity.at(2.0), capacity.at(9.0)
        (1.0, 5.0, 10.0)
        """
        warm = (now - self._cold_since) / self.ramp_s if self.ramp_s else 1.0
        return self.slots * min(1.0, max(COLD_SHARE, warm))


class Upstream:
    """State and rules of the stand-in.

    :param name: appears in every answer.
    :param service_s: seconds that a request takes without overload.
    :param sheds: whether it sheds under overload; otherwise it slows down.
    :param clock: returns the present time in seconds.
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
        """Tell whether a new request is refused."""
        if self.draining:
            return True
        limit = max(1.0, self.capacity.at(self.clock()))
        return self.sheds and self.running >= limit * SHED_RATIO

    def duration_s(self) -> float:
        """Return how long a request takes at the present load."""
        bearable = self.capacity.at(self.clock())
        return self.service_s * max(1.0, self.running / bearable)

    async def run(
        self, request: Message, body: Callable[[str], dict]
    ) -> Message:
        """Run a request in a slot.

        :param body: returns the fields of the answer; called once the run
            counts.
        """
        if self.must_shed():
            self.counts['shed'] += 1
            return Message(code=Code.SERVICE_UNAVAILABLE, max_age=1)
        raw_id = coap.opaque_option(request, coap.REQUEST_ID)
        request_id = raw_id.hex() if raw_id is not None else ''
        if request_id:
            self._note_run(request_id)
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
            return Message(code=Code.CHANGED, no_response=NO_ANSWER)
        finally:
            self.running -= 1
            self._task_by_id.pop(request_id, None)
        self.counts['completed'] += 1
        fields = {'upstream': self.name, 'request_id': request_id}
        fields |= body(request_id)
        return Message(payload=json.dumps(fields).encode())

    def _note_run(self, request_id: str) -> None:
        """Count a run, also in the audit file, which outlives a kill."""
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
            'capacity': self.capacity.at(self.clock()),
            'running': self.running,
            'max_running': self.max_running,
            'draining': self.draining,
            'ids': len(self.runs),
            'doubled': sorted(i for i, n in self.runs.items() if n > 1),
            **{key: self.counts[key] for key in sorted(self.counts)},
        }

    def command(self, fields: dict) -> bool:
        """Carry out a command of the control resource.

        :returns: whether the command is known.
        """
        match fields:
            case {'command': 'cold'}:
                self.capacity.turn_cold(self.clock())
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
    """Return the body of ``/large``, in which every position differs.

    >>> large_body(20)
    b'00000000000000080000'
    """
    words = (b'%08d' % at for at in range(0, size, 8))
    return b''.join(words)[:size]


class UpstreamResource(resource.Resource):
    """A resource that runs in a slot of the upstream."""

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
        """Answer with a body in which every position differs."""
        fields = dict(q.partition('=')[::2] for q in request.opt.uri_query)
        text = fields.get('size', str(DEFAULT_LARGE_BYTES))
        if not text.isdecimal():
            raise aiocoap.error.BadRequest('size must be a number')
        answer = await self.upstream.run(request, lambda _: {})
        if answer.code is None:
            answer.payload = large_body(int(text))
        return answer


class FeedResource(resource.ObservableResource):
    """State that changes with each period."""

    def __init__(self, upstream: Upstream):
        super().__init__()
        self.upstream = upstream
        self.change = 0

    async def render_get(self, request):
        """Answer with the number of the last change."""
        fields = {'upstream': self.upstream.name, 'change': self.change}
        return Message(payload=json.dumps(fields).encode())

    def update_observation_count(self, newcount):
        """Keep the number of observers for the statistics."""
        self.upstream.counts['observers'] = newcount

    async def change_each(self, period_s: float) -> None:
        """Change the state and notify the observers until cancelled."""
        while True:
            await asyncio.sleep(period_s)
            self.change += 1
            self.updated_state()


class CancellationSite(resource.Resource, resource.PathCapable):
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
        """Carry out a command."""
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

    :param bind: UDP address.
    :param period_s: seconds between two changes of the feed.
    :returns: the context and the task that changes the feed.
    """
    feed = FeedResource(upstream)
    site = resource.Site()
    site.add_resource(['submit'], SubmitResource(upstream))
    site.add_resource(['status'], StatusResource(upstream))
    site.add_resource(['scan'], ScanResource(upstream))
    site.add_resource(['large'], LargeResource(upstream))
    site.add_resource(['feed'], feed)
    site.add_resource(['_control'], ControlResource(upstream))
    site.add_resource(coap.REQUESTS_PATH, CancellationSite(upstream))
    context = await aiocoap.Context.create_server_context(
        site, bind=bind, transports=['udp6']
    )
    for interface in context.request_interfaces:
        transport = interface.token_interface.message_interface.transport
        opened = transport.get_extra_info('socket')
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    return context, asyncio.create_task(feed.change_each(period_s))


async def _serve_until_signal(upstream, address, period_s) -> None:
    context, changes = await serve(upstream, tuple(address), period_s)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
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
