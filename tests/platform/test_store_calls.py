"""Calls of the store over real connections, with faults."""

import asyncio

import pytest

from ibispitch.ids import Address
from ibispitch.platform.http import HttpClient
from ibispitch.platform.http import Response
from ibispitch.platform.http import serve
from ibispitch.platform.store import MetadataStore
from ibispitch.platform.store import StoreCallError
from testbed.memory_store import Fault
from testbed.memory_store import MemoryStore
from testbed.store_server import StoreServer

ADDRESS = Address('127.0.31.1', 18169)


@pytest.fixture
async def server():
    async with StoreServer(MemoryStore(), ADDRESS) as server:
        yield server


@pytest.fixture
def client():
    client = MetadataStore(ADDRESS)
    yield client
    client.close()


async def test_pages(server, client):
    """Guards against a listing that ends after the first page."""
    server.page_items = 3
    for number in range(8):
        server.store.write(f'op/evacuate/d{number}', b'{}')
    server.store.write('other', b'')
    listing = await client.list('op/')
    assert [item.key[-1] for item in listing.items] == list('01234567')
    assert listing.revision == server.store.revision


async def test_watch(server, client):
    """Guards against missed changes and removals."""
    revision = server.store.write('op/config', b'\x00\xff')
    waiting = asyncio.ensure_future(client.watch('op/', revision, 2.0))
    await asyncio.sleep(0.05)
    server.store.write('op/config', None)
    (event,) = (await waiting).items
    assert event.value is None
    server.store.compact()
    server.store.write('op/config', b'x')
    with pytest.raises(StoreCallError) as caught:
        await client.watch('op/', revision, 0.1)
    assert caught.value.status == 410


async def test_watch_without_changes(server, client):
    """Guards against a watch that fails if nothing changes."""
    listing = await client.watch('op/', server.store.revision, 0.05)
    assert listing.items == ()
    assert listing.revision == server.store.revision


@pytest.mark.parametrize(
    ('fault', 'status'), [(Fault.BUSY, 503), (Fault.RESET, 0)]
)
async def test_faults(server, client, fault, status):
    """Guards against a client that does not recover from a fault."""
    server.store.fault = fault
    with pytest.raises(StoreCallError) as caught:
        await client.list('op/')
    assert caught.value.status == status
    server.store.fault = Fault.NONE
    assert (await client.list('op/')).items == ()


async def test_silent_store(server, client, monkeypatch):
    """Guards against a call that waits for ever for an answer."""
    monkeypatch.setattr('ibispitch.platform.store.CALL_TIMEOUT_S', 0.1)
    server.store.fault = Fault.SILENT
    with pytest.raises(StoreCallError, match='no answer'):
        await client._read('/v1/kv-range?prefix=op/', 0.1)
    server.store.fault = Fault.NONE
    assert (await client.list('op/')).items == ()


async def test_late_answer_is_not_the_next_one():
    """Guards against a late answer that is taken for that of a later call."""
    address = Address('127.0.31.1', 18170)

    async def answer(request):
        await asyncio.sleep(0.2 if request.path == '/slow' else 0.0)
        return Response(200, request.path.encode())

    errors = []
    server = await serve(address, answer, errors.append)
    client = HttpClient(address)
    with pytest.raises(TimeoutError):
        await client.call('GET', '/slow', b'', 0.05)
    assert (await client.call('GET', '/fast', b'', 1.0)).body == b'/fast'
    assert (await client.call('PUT', '/next', b'x', 1.0)).body == b'/next'
    client.close()
    server.close()


async def test_refused_connection():
    """Guards against an error of another type than callers expect."""
    client = MetadataStore(Address('127.0.31.1', 18171))
    with pytest.raises(StoreCallError, match='no answer'):
        await client.list('op/')


async def test_closed_connections_are_reported():
    """Guards against connections that are closed without an error report."""
    address = Address('127.0.31.1', 18172)
    errors = []

    async def answer(_request):
        return Response(200)

    server = await serve(address, answer, errors.append)
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b'this is not HTTP\r\n\r\n')
    assert await reader.read() == b''
    writer.close()
    server.close()
    assert len(errors) == 1


async def test_era(server, client):
    """Guards against a return of the store from a copy that is missed."""
    copy = server.store.copy()
    first = (await client.list('op/')).era
    revision = server.store.write('op/config', b'x')
    server.store.restore(copy)
    listing = await client.list('op/')
    assert listing.era == first + 1
    assert listing.revision < revision
    with pytest.raises(StoreCallError) as caught:
        await client.watch('op/', revision, 0.1)
    assert caught.value.status == 410


@pytest.mark.parametrize('header', [(), (('Store-Era', 'x-1'),)])
async def test_answers_without_an_era(header):
    """Guards against a store without eras that cannot be used."""

    async def answer(_request):
        body = b'{"items": [], "has_more": false, "current_rev": 7}'
        return Response(200, body, headers=header)

    other = Address('127.0.31.1', 18170)
    running = await serve(other, answer, print)
    client = MetadataStore(other)
    assert (await client.list('op/')).era == 0
    client.close()
    running.close()


async def test_put(server, client):
    """Guards against values that the store gets in another encoding."""
    await client.put('fleet/balancers', b'\x00\xff')
    listing = await client.list('fleet/', may_be_stale=True)
    assert [item.value for item in listing.items] == [b'\x00\xff']


async def test_failed_put(server, client):
    """Guards against a write that counts as made though it was refused."""
    server.store.fault = Fault.BUSY
    with pytest.raises(StoreCallError):
        await client.put('fleet/balancers', b'')
    server.store.fault = Fault.NONE
    assert (await client.list('fleet/')).items == ()
