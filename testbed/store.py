"""In-memory stand-in for the store, for tests and the demonstration.

It implements the part of the etcd v3 JSON API over HTTP that
:mod:`ibispitch.store` uses, and can inject failures.

Run it with ``python -m testbed.store --address 127.0.0.1:2379``. The paths
under ``/testbed/`` control it: ``POST /testbed/faults`` with the fields of
:class:`Faults`, ``POST /testbed/compact``, ``POST /testbed/break-watches``
and ``GET /testbed/calls``.
"""

import asyncio
from base64 import b64decode
from base64 import b64encode
from collections import Counter
from collections.abc import Callable
import json
import time
from typing import Any
from typing import NamedTuple

from aiohttp import web
import click
import msgspec

from ibispitch.ids import parse_address

#: Interval of the check for expired leases.
LEASE_CHECK_INTERVAL_S = 0.1
#: Longest time for which an answer is withheld by ``lose_by_hanging``.
MAX_HANG_S = 30.0
MAX_REQUEST_BYTES = 4 << 20


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Failures that the stand-in injects.

    :param down: whether every connection is dropped, including watches.
    :param delay_s: seconds before each call is handled.
    :param lose_answers: number of the next writes that take effect without an
        answer.
    :param lose_requests: number of the next writes that are dropped before
        they take effect.
    :param lose_by_hanging: whether a lost answer leaves the connection open
        without an answer, instead of dropping the connection.
    :param stale_by: number of revisions by which reads without a revision lag.
    :param malformed_answers: number of the next calls that are answered by
        text that is not JSON.
    :param error_status: HTTP status of the answers to all calls, 0 to answer
        normally.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    lose_requests: int = 0
    lose_by_hanging: bool = False
    stale_by: int = 0
    malformed_answers: int = 0
    error_status: int = 0


class KeyVersion(NamedTuple):
    """A version of a key; ``value`` is ``None`` after its deletion."""

    key: bytes
    value: bytes | None
    mod_revision: int
    create_revision: int
    version: int
    lease: int


class RefusedError(Exception):
    """A call that the store refuses, with a gRPC status code."""

    def __init__(self, code: int, message: str):
        super().__init__(message)
        self.code = code


class StoreCore:
    """Keys with all their versions, and leases, without I/O.

    :param clock: returns the time in seconds, for the expiry of leases.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self.revision = 1
        self.compact_revision = 0
        self.history: list[KeyVersion] = []
        self._latest: dict[bytes, KeyVersion] = {}
        self._leases: dict[int, tuple[int, float]] = {}
        self._next_lease = 1

    def compact(self) -> None:
        """Remove the versions that newer ones replaced, and deletions."""
        self.compact_revision = self.revision
        self.history = [
            item for item in self._latest.values() if item.value is not None
        ]
        self.history.sort(key=lambda item: item.mod_revision)

    def select(
        self, key: bytes, end: bytes | None, revision: int = 0
    ) -> list[KeyVersion]:
        """Return the keys in ``[key, end)`` at a revision, sorted by key.

        :param end: end of the range, ``None`` for the single key.
        :param revision: revision of the read, 0 for the latest one.
        :raises RefusedError: if the revision is in the future or compacted.
        """
        if revision > self.revision:
            raise RefusedError(11, 'required revision is a future revision')
        if revision and revision < self.compact_revision:
            raise RefusedError(11, 'required revision has been compacted')
        if revision:
            latest = {
                item.key: item
                for item in self.history
                if item.mod_revision <= revision
            }
        else:
            latest = self._latest
        found = [
            item
            for item in latest.values()
            if item.value is not None and _is_in_range(item.key, key, end)
        ]
        return sorted(found)

    def put(self, key: bytes, value: bytes, lease: int = 0) -> None:
        """Write a key at the current revision."""
        if lease and lease not in self._leases:
            raise RefusedError(5, 'requested lease not found')
        old = self._latest.get(key)
        is_new = old is None or old.value is None
        self._record(
            KeyVersion(
                key,
                value,
                self.revision,
                self.revision if is_new else old.create_revision,
                1 if is_new else old.version + 1,
                lease,
            )
        )

    def is_condition_met(self, compare: dict) -> bool:
        """Tell whether a condition of a transaction is met.

        :raises RefusedError: if the stand-in does not support it.
        """
        if compare.get('result', 'EQUAL') != 'EQUAL':
            raise RefusedError(
                3, 'the stand-in supports EQUAL comparisons only'
            )
        old = self._latest.get(b64decode(compare['key']))
        exists = old is not None and old.value is not None
        match compare.get('target'):
            case 'MOD':
                actual = old.mod_revision if exists else 0
                return actual == int(compare.get('mod_revision', 0))
            case 'VALUE':
                expected = b64decode(compare.get('value', ''))
                return exists and old.value == expected
        raise RefusedError(
            3, 'the stand-in supports the targets MOD and VALUE only'
        )

    def grant(self, ttl_s: int) -> int:
        """Create a lease and return it."""
        if ttl_s < 1:
            raise RefusedError(3, 'the TTL must be at least 1 s')
        lease = self._next_lease
        self._next_lease += 1
        self._leases[lease] = (ttl_s, self._clock() + ttl_s)
        return lease

    def keepalive(self, lease: int) -> int:
        """Renew a lease and return its TTL, 0 if it does not exist."""
        if lease not in self._leases:
            return 0
        ttl_s, _ = self._leases[lease]
        self._leases[lease] = (ttl_s, self._clock() + ttl_s)
        return ttl_s

    def revoke(self, lease: int) -> list[KeyVersion]:
        """Revoke a lease and return the deletions of its keys."""
        if self._leases.pop(lease, None) is None:
            raise RefusedError(5, 'requested lease not found')
        held = [
            item
            for item in self._latest.values()
            if item.lease == lease and item.value is not None
        ]
        if not held:
            return []
        self.revision += 1
        deletions = [
            KeyVersion(item.key, None, self.revision, 0, 0, 0) for item in held
        ]
        for deletion in deletions:
            self._record(deletion)
        return deletions

    def expire_leases(self) -> list[KeyVersion]:
        """Revoke expired leases and return the deletions of their keys."""
        now = self._clock()
        lapsed = [
            lease for lease, (_, end) in self._leases.items() if end <= now
        ]
        return [item for lease in lapsed for item in self.revoke(lease)]

    def _record(self, item: KeyVersion) -> None:
        self._latest[item.key] = item
        self.history.append(item)


class StoreServer:
    """HTTP server of the stand-in.

    :param clock: returns the time in seconds, for the expiry of leases.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self.core = StoreCore(clock)
        self.faults = Faults()
        #: Number of calls by path; a watch counts once.
        self.calls: Counter[str] = Counter()
        self.address = ''
        self._watchers: set[asyncio.Queue] = set()
        self._runner: web.AppRunner | None = None
        self._expiry_task: asyncio.Task | None = None

    async def __aenter__(self) -> 'StoreServer':
        await self.start()
        return self

    async def __aexit__(self, *exception) -> None:
        await self.stop()

    async def start(self, address: str = '') -> None:
        """Listen on an address; after a stop, on the same one by default.

        :param address: ``ip:port``; by default the earlier address, at
            first a free port of 127.0.0.1.
        """
        ip, _, port = (address or self.address or '127.0.0.1:0').partition(':')
        self._runner = web.AppRunner(self._make_app(), shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(
            self._runner, ip, int(port), reuse_address=True, backlog=1024
        )
        await site.start()
        bound = self._runner.addresses[0]
        self.address = f'{bound[0]}:{bound[1]}'
        self._expiry_task = asyncio.create_task(self._expire_leases_forever())

    async def stop(self) -> None:
        """Stop listening and drop all connections; the keys are kept."""
        if self._runner is None:
            return
        self._expiry_task.cancel()
        self.break_watches()
        await self._runner.cleanup()
        self._runner = None

    def break_watches(self) -> None:
        """Drop the connections of all watches."""
        for queue in self._watchers:
            queue.put_nowait(None)

    def set_faults(self, faults: Faults) -> None:
        """Replace the injected failures."""
        self.faults = faults
        if faults.down:
            self.break_watches()

    def expire_leases(self) -> None:
        """Revoke the leases that have expired by the clock."""
        self._publish(self.core.expire_leases())

    async def _expire_leases_forever(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            self.expire_leases()

    def _make_app(self) -> web.Application:
        app = web.Application(client_max_size=MAX_REQUEST_BYTES)
        reads = {
            '/v3/kv/range': self._range,
            '/v3/lease/keepalive': self._keepalive,
        }
        writes = {
            '/v3/kv/put': self._put,
            '/v3/kv/txn': self._transaction,
            '/v3/lease/grant': self._grant,
            '/v3/lease/revoke': self._revoke,
        }
        for path, handler in reads.items():
            app.router.add_post(path, self._endpoint(path, handler, False))
        for path, handler in writes.items():
            app.router.add_post(path, self._endpoint(path, handler, True))
        app.router.add_post('/v3/watch', self._watch)
        app.router.add_post('/testbed/faults', self._control_faults)
        app.router.add_post('/testbed/compact', self._control_compact)
        app.router.add_post(
            '/testbed/break-watches', self._control_break_watches
        )
        app.router.add_get('/testbed/calls', self._control_calls)
        return app

    def _endpoint(self, path: str, handler: Callable, is_write: bool):
        async def respond(request: web.Request) -> web.Response:
            self.calls[path] += 1
            if self.faults.down:
                return _drop_connection(request)
            body = await request.json()
            if self.faults.error_status:
                return web.Response(status=self.faults.error_status)
            if self.faults.delay_s:
                await asyncio.sleep(self.faults.delay_s)
            if is_write and self.faults.lose_requests > 0:
                self.faults.lose_requests -= 1
                return await self._lose_answer(request)
            try:
                answer = handler(body)
            except RefusedError as refusal:
                return web.json_response(
                    {
                        'error': str(refusal),
                        'message': str(refusal),
                        'code': refusal.code,
                    },
                    status=404 if refusal.code == 5 else 400,
                )
            if is_write and self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                return await self._lose_answer(request)
            if self.faults.malformed_answers > 0:
                self.faults.malformed_answers -= 1
                return web.Response(text='<html>no store here</html>')
            return web.json_response(answer)

        return respond

    async def _lose_answer(self, request: web.Request) -> web.Response:
        if self.faults.lose_by_hanging:
            await asyncio.sleep(MAX_HANG_S)
        return _drop_connection(request)

    def _header(self) -> dict[str, Any]:
        return {'header': {'revision': str(self.core.revision)}}

    def _range(self, body: dict) -> dict:
        revision = int(body.get('revision', 0))
        if not revision and self.faults.stale_by:
            revision = max(
                self.core.revision - self.faults.stale_by,
                self.core.compact_revision,
                1,
            )
        end = b64decode(body['range_end']) if 'range_end' in body else None
        found = self.core.select(b64decode(body['key']), end, revision)
        limit = int(body.get('limit', 0)) or len(found)
        answer = self._header()
        if self.faults.stale_by:
            answer = {'header': {'revision': str(revision)}}
        if found:
            answer['kvs'] = [_kv_json(item) for item in found[:limit]]
            answer['count'] = str(len(found))
        return answer | ({'more': True} if len(found) > limit else {})

    def _put(self, body: dict) -> dict:
        self._run_operations([{'request_put': body}])
        return self._header()

    def _transaction(self, body: dict) -> dict:
        succeeded = all(
            map(self.core.is_condition_met, body.get('compare', ()))
        )
        branch = body.get('success' if succeeded else 'failure', ())
        responses = self._run_operations(branch)
        answer = self._header() | ({'succeeded': True} if succeeded else {})
        return answer | ({'responses': responses} if responses else {})

    def _run_operations(self, operations: list[dict]) -> list[dict]:
        """Run the operations of one revision and notify the watches.

        :returns: responses to the operations.
        """
        before = len(self.core.history)
        puts = [op['request_put'] for op in operations if 'request_put' in op]
        if puts:
            self.core.revision += 1
        responses = []
        for operation in operations:
            if 'request_put' in operation:
                put = operation['request_put']
                self.core.put(
                    b64decode(put['key']),
                    b64decode(put.get('value', '')),
                    int(put.get('lease', 0)),
                )
                responses.append({'response_put': self._header()})
            else:
                key = b64decode(operation['request_range']['key'])
                kvs = [_kv_json(item) for item in self.core.select(key, None)]
                found = {'kvs': kvs} if kvs else {}
                responses.append({'response_range': self._header() | found})
        self._publish(self.core.history[before:])
        return responses

    def _grant(self, body: dict) -> dict:
        ttl = int(body.get('TTL', 0))
        lease = self.core.grant(ttl)
        return self._header() | {'ID': str(lease), 'TTL': str(ttl)}

    def _keepalive(self, body: dict) -> dict:
        ttl = self.core.keepalive(int(body['ID']))
        result = self._header() | {'ID': str(body['ID'])}
        return {'result': result | ({'TTL': str(ttl)} if ttl else {})}

    def _revoke(self, body: dict) -> dict:
        self._publish(self.core.revoke(int(body['ID'])))
        return self._header()

    def _publish(self, items: list[KeyVersion]) -> None:
        if items:
            for queue in self._watchers:
                queue.put_nowait(items)

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        self.calls['/v3/watch'] += 1
        if self.faults.down:
            return _drop_connection(request)
        create = (await request.json())['create_request']
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        key = b64decode(create['key'])
        end = b64decode(create['range_end']) if 'range_end' in create else None
        start = int(create.get('start_revision', 0)) or self.core.revision + 1
        queue: asyncio.Queue = asyncio.Queue()
        response = web.StreamResponse()
        response.content_type = 'application/json'
        await response.prepare(request)
        await _write_result(response, self._header() | {'created': True})
        if start < self.core.compact_revision:
            result = self._header() | {
                'canceled': True,
                'compact_revision': str(self.core.compact_revision),
            }
            await _write_result(response, result)
            return response
        queue.put_nowait(self.core.history[:])
        self._watchers.add(queue)
        try:
            while (items := await queue.get()) is not None:
                events = [
                    _event_json(item)
                    for item in items
                    if item.mod_revision >= start
                    and _is_in_range(item.key, key, end)
                ]
                if events:
                    await _write_result(
                        response, self._header() | {'events': events}
                    )
        except ConnectionError:
            pass
        finally:
            self._watchers.discard(queue)
        if request.transport is not None:
            request.transport.abort()
        return response

    async def _control_faults(self, request: web.Request) -> web.Response:
        try:
            faults = msgspec.json.decode(await request.read(), type=Faults)
        except msgspec.ValidationError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        self.set_faults(faults)
        return web.json_response(msgspec.to_builtins(faults))

    async def _control_compact(self, request: web.Request) -> web.Response:
        self.core.compact()
        return web.json_response({'revision': self.core.compact_revision})

    async def _control_break_watches(
        self, request: web.Request
    ) -> web.Response:
        self.break_watches()
        return web.json_response({})

    async def _control_calls(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self.calls))


def _is_in_range(candidate: bytes, key: bytes, end: bytes | None) -> bool:
    return candidate == key if end is None else key <= candidate < end


def _drop_connection(request: web.Request) -> web.Response:
    """Close the connection of a request without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


def _kv_json(item: KeyVersion) -> dict[str, str]:
    numbers = {
        'create_revision': item.create_revision,
        'mod_revision': item.mod_revision,
        'version': item.version,
        'lease': item.lease,
    }
    encoded = {'key': b64encode(item.key).decode()}
    if item.value:
        encoded['value'] = b64encode(item.value).decode()
    return encoded | {name: str(n) for name, n in numbers.items() if n}


def _event_json(item: KeyVersion) -> dict[str, Any]:
    kind = {'type': 'DELETE'} if item.value is None else {}
    return kind | {'kv': _kv_json(item)}


async def _write_result(response: web.StreamResponse, result: dict) -> None:
    await response.write(json.dumps({'result': result}).encode() + b'\n')


@click.command()
@click.option('--address', default='127.0.0.1:2379', show_default=True)
def main(address: str) -> None:
    """Serve the stand-in store until it is interrupted."""
    parse_address(address)

    async def serve() -> None:
        server = StoreServer()
        await server.start(address)
        print(f'listening on {server.address}', flush=True)
        await asyncio.Event().wait()

    try:
        asyncio.run(serve())
    except KeyboardInterrupt:
        pass


if __name__ == '__main__':
    main()
