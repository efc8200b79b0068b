"""The platform's metadata store over HTTP, for tests with real sockets."""

import asyncio
from base64 import b64decode
from base64 import b64encode
from contextlib import suppress
import json
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from ibispitch.ids import Address
from ibispitch.platform.http import Request
from ibispitch.platform.http import Response
from ibispitch.platform.http import serve
from ibispitch.platform.store import ERA_HEADER
from ibispitch.platform.store import Item
from testbed.memory_store import Fault
from testbed.memory_store import MemoryStore

#: Items in a page; the platform returns about 500.
PAGE_ITEMS = 500
#: Time for calls in progress to end: several latencies of the store.
CLOSE_GRACE_S = 0.05
MAX_SILENCE_S = 60.0


class StoreServer:
    """Answers the calls of :class:`MetadataStore` from a memory store.

    :param store: holds the items and the fault.
    :param address: address to listen at.
    """

    def __init__(self, store: MemoryStore, address: Address):
        self.store = store
        self.address = address
        self.page_items = PAGE_ITEMS
        #: Errors that closed connections.
        self.errors: list[Exception] = []
        self._server: asyncio.Server | None = None
        self._closing = asyncio.Event()

    async def __aenter__(self) -> 'StoreServer':
        self._server = await serve(
            self.address, self._answer, self.errors.append
        )
        return self

    async def __aexit__(self, *exception) -> None:
        self._server.close()
        self._closing.set()
        await asyncio.sleep(CLOSE_GRACE_S)

    async def _answer(self, request: Request) -> Response:
        response = await self._answer_call(request)
        era = (ERA_HEADER, str(self.store.era))
        return response._replace(headers=(era,))

    async def _answer_call(self, request: Request) -> Response:
        store = self.store
        store.calls += 1
        if store.fault is Fault.SILENT:
            with suppress(TimeoutError):
                async with asyncio.timeout(MAX_SILENCE_S):
                    await self._closing.wait()
        if store.fault is Fault.RESET:
            raise ConnectionResetError('injected connection reset')
        if store.fault is Fault.BUSY:
            return Response(503)
        if store.fault is Fault.LIMITED:
            return Response(429)
        await asyncio.sleep(store.latency_s)
        url = urlsplit(request.path)
        query = {key: one[0] for key, one in parse_qs(url.query).items()}
        if url.path == '/v1/kv-range':
            return self._list(query)
        if url.path == '/v1/kv-watch':
            return await self._watch(query)
        if (request.method, url.path) == ('POST', '/v1/kv-txn'):
            return self._put(json.loads(request.body))
        return Response(404)

    def _list(self, query: dict[str, str]) -> Response:
        items = [
            item
            for item in self.store.items(query['prefix'])
            if item.key > query.get('after', '')
        ]
        page = items[: self.page_items]
        return _response(
            {
                'items': [_encoded(item) for item in page],
                'has_more': len(items) > len(page),
                'current_rev': self.store.revision,
            }
        )

    def _put(self, body: dict) -> Response:
        """Write keys; only calls without conditions are known here."""
        if body['expected_rev'] or body['deletes']:
            return Response(400)
        for put in body['puts']:
            self.store.write(put['key'], b64decode(put['value']))
        return _response({'revision': self.store.revision})

    async def _watch(self, query: dict[str, str]) -> Response:
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query['wait_ms']) / 1000
        while True:
            events = self.store.events(query['prefix'], int(query['after']))
            if events is None:
                return Response(410)
            if events or loop.time() >= until:
                return _response(
                    {
                        'events': [_encoded(event) for event in events],
                        'current_rev': self.store.revision,
                    }
                )
            await self.store.wait_for_change(until - loop.time())


def _encoded(item: Item) -> dict:
    if item.value is None:
        return {'key': item.key, 'revision': item.revision, 'removed': True}
    return {
        'key': item.key, 'value': b64encode(item.value).decode(),
        'revision': item.revision, 'created': item.revision, 'lease': 0,
    }  # fmt: skip


def _response(body: dict) -> Response:
    return Response(200, json.dumps(body).encode())
