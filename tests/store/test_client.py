"""Failures of the store that the client must report or survive."""

import asyncio

import pytest

from ibispitch.store import Compare
from ibispitch.store import Put
from ibispitch.store import Read
from ibispitch.store import StoreClient
from ibispitch.store import StoreError
from ibispitch.store import StoreFault
from ibispitch.store.client import PAGE_KEYS
from testbed.store import Faults
from testbed.store import StoreServer


@pytest.mark.parametrize('is_hanging', [False, True])
async def test_lost_answer_is_not_reported_as_failure(
    server, store, is_hanging
):
    """Guards against reporting a write that took effect as not made."""
    server.set_faults(Faults(lose_answers=1, lose_by_hanging=is_hanging))
    with pytest.raises(StoreError) as raised:
        await store.put('k', b'v')
    assert raised.value.fault is StoreFault.TIMEOUT
    assert raised.value.may_have_taken_effect
    assert (await store.get('k')).value == b'v'


async def test_write_is_not_sent_twice(server):
    """Guards against a failover that repeats a write that was sent."""
    endpoints = [server.address, server.address]
    async with StoreClient(endpoints, timeout_s=0.5) as client:
        server.set_faults(Faults(lose_answers=1))
        with pytest.raises(StoreError):
            await client.put('k', b'v')
    assert server.calls['/v3/kv/put'] == 1


async def test_failover_when_an_endpoint_refuses(server):
    """Guards against calls that fail because one endpoint is down."""
    async with StoreClient(['127.0.0.1:1', server.address]) as client:
        await client.put('k', b'v')
        assert (await client.get('k')).value == b'v'
        assert client.attempt_counts['/v3/kv/put', 'unavailable'] == 1
        assert client.attempt_counts['/v3/kv/range', 'unavailable'] == 0


async def test_read_tries_the_next_endpoint_after_a_timeout(server):
    """Guards against a read that waits only for the first endpoint."""
    async with StoreServer() as silent:
        silent.set_faults(Faults(delay_s=5.0))
        endpoints = [silent.address, server.address]
        async with StoreClient(endpoints, timeout_s=0.6) as client:
            assert await client.get('k') is None


async def test_store_down(server, store):
    """Guards against reporting an outage as a lost answer."""
    await server.stop()
    with pytest.raises(StoreError) as raised:
        await store.put('k', b'v')
    assert raised.value.fault is StoreFault.UNAVAILABLE
    assert not raised.value.may_have_taken_effect


@pytest.mark.parametrize(
    ('faults', 'read', 'write', 'may_have_taken_effect'),
    [
        ({'malformed_answers': 2}, 'malformed', 'malformed', True),
        ({'error_status': 503}, 'unavailable', 'timeout', True),
        ({'error_status': 499}, 'unavailable', 'timeout', True),
        ({'error_status': 429}, 'rejected', 'rejected', False),
    ],
)
async def test_unusable_answer(
    server, store, faults, read, write, may_have_taken_effect
):
    """Guards against reporting a write that was sent as not made."""
    server.set_faults(Faults(**faults))
    with pytest.raises(StoreError) as raised:
        await store.get('k')
    assert raised.value.fault.value == read
    with pytest.raises(StoreError) as raised:
        await store.put('k', b'v')
    assert raised.value.fault.value == write
    assert raised.value.may_have_taken_effect is may_have_taken_effect


async def test_transaction_compares(store):
    """Guards against a write although its condition is not met."""
    first = await store.put('k', b'v')
    stale = Compare.on_mod_revision('k', first - 1)
    result = await store.txn([stale], [Put('k', b'w')], [Read('k')])
    assert not result.succeeded
    assert result.read['k'].value == b'v'
    for key, value, expected in [
        ('k', b'v', True),
        ('k', b'v', False),
        ('absent', b'', False),
    ]:
        compare = Compare.on_value(key, value)
        result = await store.txn([compare], [Put(key, b'w')])
        assert result.succeeded is expected
    absent = Compare.on_mod_revision('new', 0)
    assert (await store.txn([absent], [Put('new', b'1')])).succeeded
    assert not (await store.txn([absent], [Put('new', b'2')])).succeeded


async def test_range_reads_all_pages(store):
    """Guards against missing keys after the first page."""
    keys = [f'p/{number:04}' for number in range(PAGE_KEYS + 1)]
    for key in [*keys, 'q']:
        await store.put(key, b'')
    result = await store.range('p/')
    assert [item.key for item in result.items] == keys


async def test_lease_lapses_by_the_clock():
    """Guards against keys that stay after their lease has lapsed.

    A lease that has lapsed must not be renewed.
    """
    now = 0.0
    async with (
        StoreServer(clock=lambda: now) as server,
        StoreClient([server.address]) as client,
    ):
        lease = await client.lease_grant(10)
        await client.put('k', b'v', lease)
        now = 9.0
        assert await client.lease_keepalive(lease) == 10
        now = 18.0
        server.expire_leases()
        assert (await client.get('k')).lease == lease
        now = 19.0
        server.expire_leases()
        assert await client.get('k') is None
        assert await client.lease_keepalive(lease) == 0
        with pytest.raises(StoreError) as raised:
            await client.lease_revoke(lease)
        assert raised.value.fault is StoreFault.REJECTED


async def test_watch_reports_each_change_once(server, store):
    """Guards against lost or repeated changes when a watch fails."""
    first = await store.put('w/a', b'1')
    await store.put('x', b'outside')
    seen = []
    start = first
    for change in (b'2', b'3'):
        with pytest.raises(StoreError) as raised:
            async for batch in store.watch('w/', start):
                start = batch.revision + 1 if batch.events else start
                seen.extend(event.value for event in batch.events)
                if batch.events and seen[-1] != change:
                    await store.put('w/a', change)
                elif batch.events:
                    server.break_watches()
                elif seen:
                    await store.put('w/a', change)
        assert raised.value.fault is StoreFault.UNAVAILABLE
    assert seen == [b'1', b'2', b'3']


async def test_watch_reports_lapsed_lease_as_deletion(store):
    """Guards against a watch that does not report lapsed leases."""
    lease = await store.lease_grant(10)
    await store.put('w/a', b'1', lease)
    watch = store.watch('w/', 0)
    assert not (await anext(watch)).events
    await store.lease_revoke(lease)
    batch = await anext(watch)
    assert [(e.key, e.value) for e in batch.events] == [('w/a', None)]
    await watch.aclose()


async def test_watch_reports_compaction(server, store):
    """Guards against missing changes after the history was compacted."""
    first = await store.put('w/a', b'1')
    for value in (b'2', b'3'):
        await store.put('w/a', value)
    server.core.compact()
    with pytest.raises(StoreError) as raised:
        async for _ in store.watch('w/', first + 1):
            pass
    assert raised.value.fault is StoreFault.COMPACTED
    assert raised.value.compact_revision == server.core.revision


@pytest.mark.parametrize(
    ('delay_s', 'fault'),
    [(0, StoreFault.TIMEOUT), (5, StoreFault.UNAVAILABLE)],
)
async def test_silent_watch_is_reported(server, store, delay_s, fault):
    """Guards against a watch that waits for ever on a dead connection."""
    server.set_faults(Faults(delay_s=delay_s))
    idle_timeout_s = 2 * delay_s or 0.1
    with pytest.raises(StoreError) as raised:
        async with asyncio.timeout(1):
            async for _ in store.watch('w/', 0, idle_timeout_s):
                pass
    assert raised.value.fault is fault


async def test_watch_ends_when_it_is_cancelled(store):
    """Guards against losing a cancellation while a watch is set up."""

    async def watch():
        async for _ in store.watch('w/', 0):
            pass

    for steps in range(200):
        task = asyncio.create_task(watch())
        for _ in range(steps):
            await asyncio.sleep(0)
        task.cancel()
        done, _ = await asyncio.wait([task], timeout=1)
        assert done, f'still running after cancellation at step {steps}'
