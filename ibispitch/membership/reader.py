"""Readers: the balancers that read the store for their data centre.

A reader watches the catalogue and spreads its documents by gossip. The first
reader of a data centre also writes the snapshot: the list of the present
balancers of the data centre, from which starting processes learn peers.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import math
import random
import time
from typing import Any

import msgspec

from ibispitch.catalogue.documents import DocumentError
from ibispitch.catalogue.documents import parse_document
from ibispitch.decoding import decode_json
from ibispitch.ids import Address
from ibispitch.ids import parse_address
from ibispitch.membership.keys import DATACENTRE_PREFIX
from ibispitch.membership.keys import ENTRY_PREFIX
from ibispitch.membership.records import BalancerRecord
from ibispitch.membership.selection import readers
from ibispitch.membership.server import MembershipServer
from ibispitch.store import Compare
from ibispitch.store import Put
from ibispitch.store import StoreClient
from ibispitch.store import StoreError
from ibispitch.store import StoreFault
from ibispitch.telemetry import log
from ibispitch.telemetry import Metrics
from ibispitch.telemetry import Severity

SNAPSHOT_LEASE_S = 30
#: The lease does not lapse if two renewals are lost.
KEEPALIVE_INTERVAL_S = 9.0
SNAPSHOT_INTERVAL_S = 5.0
SELECTION_INTERVAL_S = 1.0
#: A starting balancer waits this long for peers before it reads the store
#: itself, so that not every process reads it when the fleet restarts.
PEER_WAIT_S = 2.0
#: A reader calls the store at this interval, since a watch reports no error
#: when the network drops its packets.
STORE_PROBE_INTERVAL_S = 4.0
#: Interval at which a balancer without peers reads the snapshots.
READ_PEERS_INTERVAL_S = 5.0
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0


class Backoff:
    """Growing, jittered delays between attempts.

    :param rng: source of the jitter.

    >>> backoff = Backoff(random.Random(1))
    >>> all(0.1 <= backoff.next_delay_s() <= 5 for _ in range(20))
    True
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._max_delay_s = FIRST_BACKOFF_S

    def reset(self) -> None:
        """Return to the shortest delay."""
        self._max_delay_s = FIRST_BACKOFF_S

    def next_delay_s(self) -> float:
        """Return the seconds to wait before the next attempt."""
        delay = self._rng.uniform(0.5, 1) * self._max_delay_s
        self._max_delay_s = min(MAX_BACKOFF_S, 2 * self._max_delay_s)
        return delay


def cluster_key(cluster: str, key: str) -> str:
    """Return the key in the store, with the cluster prefix.

    >>> cluster_key('default', 'entries/bench')
    'ibispitch/default/entries/bench'
    """
    return f'ibispitch/{cluster}/{key}'


async def read_peer_addresses(
    store: StoreClient, cluster: str
) -> list[Address]:
    """Return the control addresses in the snapshots of all data centres.

    :param store: the store.
    :param cluster: name of the installation.
    :returns: no addresses if the store does not answer.
    """
    try:
        result = await store.range(cluster_key(cluster, 'members/'))
    except StoreError:
        return []
    return [
        address
        for item in result.items
        for address in snapshot_addresses(item.value)
    ]


def snapshot_addresses(value: bytes) -> Iterator[Address]:
    """Return the control addresses in a snapshot.

    Records that can't be read are left out: they are from another release,
    whose balancers are found by gossip, or from another writer.
    """
    try:
        records = decode_json(value, list[Any])
    except ValueError:
        return
    for raw in records:
        try:
            record = msgspec.convert(raw, BalancerRecord)
            yield parse_address(str(record.control_address))
        except (ValueError, RecursionError):
            continue


class CatalogueReader:
    """Reads the catalogue and writes the snapshot while it is selected.

    :param server: provides the members and publishes documents.
    :param store: the store.
    :param cluster: name of the installation.
    :param metrics: the counters.
    :param rng: source of jitter.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        server: MembershipServer,
        store: StoreClient,
        cluster: str,
        metrics: Metrics,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._server = server
        self._store = store
        self._cluster = cluster
        self._metrics = metrics
        self._rng = rng or random.Random()
        self._clock = clock
        self._task: asyncio.Task | None = None
        self._watches: list[asyncio.Task] = []
        self._snapshot = SnapshotWriter(
            store,
            cluster_key(cluster, f'members/{server.core.record.datacentre}'),
        )
        #: Whether the last call to the store succeeded. ``None`` before the
        #: first call and while this balancer is not a reader.
        self.is_store_reachable: bool | None = None

    async def start(self) -> None:
        """Start the task that checks whether this balancer is a reader."""
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Stop all tasks; the snapshot is deleted when its lease lapses."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._end_watches()

    @property
    def rank(self) -> int | None:
        """Position among the readers of the data centre.

        The reader at position 0 writes the snapshot. ``None`` if this
        balancer is not a reader.
        """
        core = self._server.core
        chosen = readers(core.record.datacentre, core.balancers.values())
        return chosen.index(core.self_id) if core.self_id in chosen else None

    async def _run(self) -> None:
        await self._wait_for_seeds()
        snapshot_backoff = Backoff(self._rng)
        peers_due = snapshot_due = -math.inf
        while True:
            now = self._clock()
            if self._is_alone and now >= peers_due:
                peers_due = (
                    now + self._rng.uniform(1, 2) * READ_PEERS_INTERVAL_S
                )
                peers = await read_peer_addresses(self._store, self._cluster)
                self._server.core.add_seeds(peers)
            rank = self.rank
            await self._update_watches(rank)
            if rank == 0 and now >= snapshot_due:
                try:
                    await self._snapshot.update(self._members(), now)
                    snapshot_backoff.reset()
                except StoreError as error:
                    self._count_error(error)
                    snapshot_due = now + snapshot_backoff.next_delay_s()
            await asyncio.sleep(SELECTION_INTERVAL_S)

    @property
    def _is_alone(self) -> bool:
        return len(self._server.core.present_balancers()) < 2

    async def _wait_for_seeds(self) -> None:
        until = self._clock() + PEER_WAIT_S
        while self._is_alone and self._clock() < until:
            await asyncio.sleep(0.1)

    async def _update_watches(self, rank: int | None) -> None:
        """Start the watches if this balancer is a reader, else stop them."""
        if rank is None and self._watches:
            await self._end_watches()
            self.is_store_reachable = None
            self._server.set_reaches_store(True)
        elif rank is not None and not self._watches:
            log(Severity.INFO, 'membership.reader', rank=rank)
            self._watches = [
                asyncio.ensure_future(self._watch_forever(prefix))
                for prefix in (ENTRY_PREFIX, DATACENTRE_PREFIX)
            ]
            self._watches.append(asyncio.ensure_future(self._probe_forever()))

    def _members(self) -> list[BalancerRecord]:
        core = self._server.core
        return sorted(
            (
                record
                for record in core.present_balancers()
                if record.datacentre == core.record.datacentre
            ),
            key=lambda record: record.balancer_id,
        )

    async def _end_watches(self) -> None:
        watches, self._watches = self._watches, []
        for task in watches:
            task.cancel()
        await asyncio.gather(*watches, return_exceptions=True)

    def _count_error(self, error: StoreError) -> None:
        self._metrics.count('membership.store_errors', fault=error.fault.value)

    async def _watch_forever(self, prefix: str) -> None:
        full_prefix = cluster_key(self._cluster, prefix)
        backoff = Backoff(self._rng)
        revision = 0
        while True:
            try:
                if not revision:
                    result = await self._store.range(full_prefix)
                    for item in result.items:
                        self._publish(item.key, item.mod_revision, item.value)
                    revision = result.revision
                async for batch in self._store.watch(
                    full_prefix, revision + 1
                ):
                    backoff.reset()
                    for event in batch.events:
                        self._publish(
                            event.key, event.mod_revision, event.value
                        )
                        revision = max(revision, event.mod_revision)
            except StoreError as error:
                self._count_error(error)
                if error.fault is StoreFault.COMPACTED:
                    revision = 0
                await asyncio.sleep(backoff.next_delay_s())

    async def _probe_forever(self) -> None:
        """Call the store regularly and publish whether it answers.

        Standby readers are selected while it does not.
        """
        key = cluster_key(self._cluster, 'probe')
        while True:
            try:
                await self._store.get(key)
                self._set_reachable(True)
            except StoreError as error:
                self._count_error(error)
                self._set_reachable(False)
            await asyncio.sleep(
                self._rng.uniform(0.8, 1) * STORE_PROBE_INTERVAL_S
            )

    def _set_reachable(self, is_reachable: bool) -> None:
        self._server.set_reaches_store(is_reachable)
        if is_reachable != self.is_store_reachable:
            self.is_store_reachable = is_reachable
            log(
                Severity.INFO if is_reachable else Severity.WARNING,
                'membership.store',
                reachable=is_reachable,
            )

    def _publish(
        self, key: str, mod_revision: int, value: bytes | None
    ) -> None:
        # A removed entry is a document too. If a key was deleted by other
        # means, the last document stays in force, since the version is lost
        # with the key.
        if value is None:
            return
        relative_key = key.removeprefix(cluster_key(self._cluster, ''))
        try:
            parse_document(relative_key, value)
        except DocumentError as error:
            # Spread keeps only one version of a key, so a balancer that
            # joins later would get this one and not the last valid one.
            self._metrics.count('membership.malformed_documents')
            log(
                Severity.WARNING,
                'membership.malformed_document',
                key=relative_key,
                reason=str(error),
                remedy='set the entry again with ibispitchctl',
            )
            return
        self._server.publish_document(relative_key, mod_revision, value)


class SnapshotWriter:
    """Writes the snapshot of a data centre under a lease of the store.

    :param store: the store.
    :param key: key of the snapshot.
    """

    def __init__(self, store: StoreClient, key: str):
        self._store = store
        self._key = key
        self._lease_id = 0
        self._keepalive_due = 0.0
        self._write_due = 0.0
        self._written_value: bytes | None = None

    async def update(self, members: list[BalancerRecord], now: float) -> None:
        """Renew the lease, and write the members if they have changed.

        :param members: the present balancers.
        :param now: monotonic time in seconds.
        :raises StoreError: if the store does not answer.
        """
        if self._lease_id and now >= self._keepalive_due:
            await self._keep_alive(now)
        value = msgspec.json.encode(members)
        if value == self._written_value or now < self._write_due:
            return
        self._write_due = now + SNAPSHOT_INTERVAL_S
        if not self._lease_id:
            self._lease_id = await self._store.lease_grant(SNAPSHOT_LEASE_S)
            self._keepalive_due = now + KEEPALIVE_INTERVAL_S
        current = await self._store.get(self._key)
        revision = current.mod_revision if current else 0
        result = await self._store.txn(
            [Compare.on_mod_revision(self._key, revision)],
            [Put(self._key, value, self._lease_id)],
        )
        # If another writer was faster, the next update reads its revision.
        self._written_value = value if result.succeeded else None

    async def _keep_alive(self, now: float) -> None:
        """Renew the lease and check that the key is still attached to it."""
        if not await self._store.lease_keepalive(self._lease_id):
            self._lease_id = 0
        current = await self._store.get(self._key)
        if current is None or current.lease != self._lease_id:
            self._written_value = None
        self._keepalive_due = now + KEEPALIVE_INTERVAL_S
