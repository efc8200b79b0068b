"""Leases, gossip and readers over real sockets on loopback."""

import asyncio
import contextlib
import itertools
import time

import msgspec
import pytest

from ibispitch.catalogue.documents import Edit
from ibispitch.catalogue.documents import Entry
from ibispitch.catalogue.documents import EntryDocument
from ibispitch.ids import Address
from ibispitch.membership.client import MembershipClient
from ibispitch.membership.reader import CatalogueReader
from ibispitch.membership.reader import cluster_key
from ibispitch.membership.reader import read_peer_addresses
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import BalancerRecord
from ibispitch.membership.records import MemberState
from ibispitch.membership.selection import readers as selected_readers
from ibispitch.membership.server import MembershipServer
from ibispitch.settings.programs import MetricsSettings
from ibispitch.store import StoreClient
from ibispitch.telemetry import Metrics
from ibispitch.wire import Keyring
from testbed.store import Faults
from testbed.store import StoreServer

KEYRING = Keyring([b'k' * 16])
PORTS = itertools.count(21000 + time.time_ns() % 9000)


class Catalogue:
    """Replacement of ``CatalogueState`` that keeps raw values."""

    datacentres_out = frozenset()

    def __init__(self):
        self.by_key = {}

    def apply(self, key, mod_revision, value):
        assert mod_revision > self.by_key.get(key, (0,))[0]
        self.by_key[key] = (mod_revision, value)
        return True

    def entry(self, service):
        return None


class Fleet:
    """Balancers and agents that are stopped at the end of a test."""

    def __init__(self):
        self.metrics = Metrics(MetricsSettings(exporter='none'), 'test')
        self.port = next(PORTS)
        self.seeds = []
        self.servers = []
        self.clients = []

    async def balancer(self, number):
        ip = f'127.0.7.{number}'
        record = BalancerRecord(
            balancer_id=f'b{number}',
            datacentre='accra',
            address=Address(ip, 5000),
            control_address=Address(ip, self.port),
            admin_address=Address(ip, 8000),
            incarnation=time.time_ns(),
            sequence=1,
            state=MemberState.ACTIVE,
        )
        server = MembershipServer(
            record, list(self.seeds), KEYRING, Catalogue(), self.metrics
        )
        await server.start()
        self.seeds.append(record.control_address)
        self.servers.append(server)
        return server

    async def agent(self, name):
        record = AgentRecord(
            agent_id=name,
            service='bench',
            datacentre='accra',
            address=Address('127.0.7.100', 5000),
            incarnation=time.time_ns(),
            sequence=0,
            state=MemberState.ACTIVE,
            slots=1,
            connections=2000,
            parent='',
        )
        client = MembershipClient(record, self.seeds, KEYRING, self.metrics)
        await client.start()
        self.clients.append(client)
        return client

    async def crash(self, server):
        """Stop a balancer without notifying others."""
        server._socket.close()
        server._send = lambda effect: None
        for task in list(server._tasks):
            task.cancel()
        server._server.close()
        self.servers.remove(server)
        await asyncio.sleep(0)

    async def stop(self):
        for client in self.clients:
            await client.stop()
        for server in self.servers:
            await server.stop()


@pytest.fixture
async def fleet():
    fleet = Fleet()
    yield fleet
    await fleet.stop()


async def wait_until(condition, seconds):
    """Wait for a condition and return the seconds that it took."""
    start = time.monotonic()
    while not condition():
        assert time.monotonic() - start < seconds, (
            f'not fulfilled within {seconds} s'
        )
        await asyncio.sleep(0.02)
    return time.monotonic() - start


def _agents_in_view(client):
    return {agent.agent_id for agent in client.view.agents}


def _state(server, agent_id):
    record = server.core.agents.get(agent_id)
    return record and record.state


async def test_agent_changes_parent_and_lapses(fleet):
    """Agents of a lost parent must find another one.

    An agent that has stopped must disappear from the views of the others.
    """
    servers = [await fleet.balancer(number) for number in (1, 2, 3)]
    clients = [await fleet.agent(name) for name in ('a1', 'a2')]
    await wait_until(
        lambda: all(
            client.view and _agents_in_view(client) == {'a1', 'a2'}
            for client in clients
        ),
        5,
    )
    parent = next(
        server
        for server in servers
        if server.core.record.control_address == clients[0].parent
    )
    old_version = clients[0].view.version
    await fleet.crash(parent)
    left = [server for server in servers if server is not parent]
    took = await wait_until(
        lambda: (
            clients[0].parent
            not in (
                None,
                parent.core.record.control_address,
            )
        ),
        4,
    )
    assert took < 3, 'the lease would have lapsed'
    assert clients[0].view.version > old_version
    await wait_until(
        lambda: all(
            parent.core.self_id
            not in {r.balancer_id for r in server.core.present_balancers()}
            for server in left
        ),
        10,
    )
    for server in left:
        assert _state(server, 'a1') is MemberState.ACTIVE
    await clients[0].stop()
    # The parent of a2 may see the lease lapse one tick before the other one.
    await wait_until(
        lambda: (
            _agents_in_view(clients[1]) == {'a2'}
            and all(
                _state(server, 'a1') is MemberState.LOST for server in left
            )
        ),
        6,
    )


async def test_clean_stops_are_seen_at_once(fleet):
    """A planned stop must be known before a lease lapses or a probe fails."""
    first = await fleet.balancer(1)
    second = await fleet.balancer(2)
    client = await fleet.agent('a1')
    await wait_until(lambda: _state(second, 'a1') is MemberState.ACTIVE, 5)
    await wait_until(lambda: _state(first, 'a1') is MemberState.ACTIVE, 5)
    client.set_state(MemberState.DRAINING)
    await wait_until(lambda: _state(first, 'a1') is MemberState.DRAINING, 1)
    await wait_until(lambda: _state(second, 'a1') is MemberState.DRAINING, 1)
    await client.leave()
    await wait_until(lambda: _state(first, 'a1') is MemberState.LEFT, 1)
    await wait_until(lambda: _state(second, 'a1') is MemberState.LEFT, 1)
    fleet.servers.remove(second)
    await second.stop()
    await wait_until(
        lambda: first.core.balancers['b2'].state is MemberState.LEFT, 1
    )


MALFORMED = 'membership.malformed_documents'


def entry_value(owner):
    """Return the value of an entry in the store."""
    entry = Entry('bench', owner, 'interactive', ['127.0.0.1:5683'])
    edit = Edit(edit_id=owner, operator='test', time='')
    return msgspec.json.encode(EntryDocument(edit, [owner], entry))


async def test_reader_survives_an_outage(fleet):
    """An edit must reach balancers that do not read the store.

    This includes edits after an outage of the store. A starting process must
    find peers. A value that does not parse must not replace the last valid
    one.
    """
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(StoreServer())
        client = await stack.enter_async_context(
            StoreClient([store.address], timeout_s=0.5)
        )
        key = cluster_key('default', 'entries/bench')
        one, two = entry_value('one'), entry_value('two')
        await client.put(key, one)
        servers = [await fleet.balancer(number) for number in (1, 2, 3)]
        await wait_until(
            lambda: all(len(s.core.present_balancers()) == 3 for s in servers),
            5,
        )
        readers = [
            CatalogueReader(server, client, 'default', fleet.metrics)
            for server in servers
        ]
        for reader in readers:
            await reader.start()
            stack.push_async_callback(reader.stop)
        assert [reader.rank for reader in readers].count(None) == 1

        def has(value):
            return lambda: all(
                server.catalogue.by_key.get('entries/bench', (0, b''))[1]
                == value
                for server in servers
            )

        await wait_until(has(one), 3)
        await wait_until(lambda: store.calls['/v3/kv/txn'], 3)
        peers = await read_peer_addresses(client, 'default')
        assert sorted(peers) == sorted(fleet.seeds)
        store.set_faults(Faults(down=True))
        store.break_watches()
        await asyncio.sleep(1)
        assert has(one)()
        store.set_faults(Faults())
        await client.put(key, two)
        await wait_until(has(two), 6)
        await client.put(key, b'no document')
        await wait_until(
            lambda: fleet.metrics.totals().get(MALFORMED, 0) == 2, 3
        )
        assert has(two)()


async def test_standby_reads_when_readers_are_cut_off(fleet):
    """An edit must be in force within 16 s if no reader reaches the store."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(StoreServer())
        clients = [
            await stack.enter_async_context(
                StoreClient([address], timeout_s=0.5)
            )
            for address in (store.address, '127.0.7.99:1')
        ]
        servers = [await fleet.balancer(number) for number in (1, 2, 3, 4)]
        await wait_until(
            lambda: all(len(s.core.present_balancers()) == 4 for s in servers),
            5,
        )
        chosen = selected_readers('accra', servers[0].core.balancers.values())
        for server in servers:
            is_cut_off = server.core.self_id in chosen
            reader = CatalogueReader(
                server, clients[is_cut_off], 'default', fleet.metrics
            )
            await reader.start()
            stack.push_async_callback(reader.stop)
        key = cluster_key('default', 'entries/bench')
        await clients[0].put(key, entry_value('one'))
        await wait_until(
            lambda: all(s.catalogue.by_key for s in servers),
            16,
        )
