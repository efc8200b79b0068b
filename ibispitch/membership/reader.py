"""Readers: the balancers that watch the store for their data centre."""

import asyncio
from collections.abc import Callable
import math
import random
import time

import msgspec

from ibispitch.catalogue.documents import DocumentError
from ibispitch.catalogue.documents import parse_document
from ibispitch.ids import Address
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
#: The lease survives the loss of two renewals.
KEEPALIVE_INTERVAL_S = 9.0
SNAPSHOT_INTERVAL_S = 5.0
CHECK_INTERVAL_S = 1.0
#: A starting balancer waits this long for others before it reads the store
#: itself, so that a restart of the fleet does not read it once a process.
JOIN_WAIT_S = 2.0
#: A reader calls the store this often, since a watch is silent when the
#: network drops its packets.
PROBE_INTERVAL_S = 4.0
#: A balancer that knows no other reads the snapshots this often.
PEERS_INTERVAL_S = 5.0
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0


class Backoff:
    """Growing, jittered delays between attempts.

    :param rng: source of the jitter.

    >>> backoff = Backoff(random.Random(1))
    >>> all(0.1 <= backoff.next() <= 5 for _ in range(20))
    True
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._limit = FIRST_BACKOFF_S

    def reset(self) -> None:
        """Start again with the shortest delay."""
        self._limit = FIRST_BACKOFF_S

    def next(self) -> float:
        """Return the seconds to wait before the next attempt."""
        delay = self._rng.uniform(0.5, 1) * self._limit
        self._limit = min(MAX_BACKOFF_S, 2 * self._limit)
        return delay


def cluster_key(cluster: str, key: str) -> str:
    """Return the key in the store.

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
    addresses = []
    for item in result.items:
        try:
            records = msgspec.json.decode(
                item.value, type=list[BalancerRecord]
            )
        except msgspec.MsgspecError:
            # A snapshot of another release; its peers are found by gossip.
            continue
        addresses += [record.control_address for record in records]
    return addresses


class CatalogueReader:
    """Reads the catalogue and writes the snapshot while selected.

    :param server: gives the members and publishes documents.
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
        #: Whether the last call to the store succeeded; ``None`` before the
        #: first one, and while this balancer is no reader.
        self.is_store_reachable: bool | None = None

    async def start(self) -> None:
        """Start to check whether this balancer is selected."""
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """End the watches; the snapshot lapses with its lease."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._end_watches()

    @property
    def rank(self) -> int | None:
        """Place among the readers of the data centre, 0 writes snapshots."""
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
                peers_due = now + self._rng.uniform(1, 2) * PEERS_INTERVAL_S
                peers = await read_peer_addresses(self._store, self._cluster)
                self._server.core.add_seeds(peers)
            rank = self.rank
            await self._select(rank)
            if rank == 0 and now >= snapshot_due:
                try:
                    await self._snapshot.update(self._members(), now)
                    snapshot_backoff.reset()
                except StoreError as error:
                    self._count(error)
                    snapshot_due = now + snapshot_backoff.next()
            await asyncio.sleep(CHECK_INTERVAL_S)

    @property
    def _is_alone(self) -> bool:
        return len(self._server.core.present_balancers()) < 2

    async def _wait_for_seeds(self) -> None:
        until = self._clock() + JOIN_WAIT_S
        while self._is_alone and self._clock() < until:
            await asyncio.sleep(0.1)

    async def _select(self, rank: int | None) -> None:
        """Start or end the watches."""
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

    def _count(self, error: StoreError) -> None:
        self._metrics.count('membership.store_errors', fault=error.fault.value)

    async def _watch_forever(self, prefix: str) -> None:
        full = cluster_key(self._cluster, prefix)
        backoff = Backoff(self._rng)
        revision = 0
        while True:
            try:
                if not revision:
                    result = await self._store.range(full)
                    for item in result.items:
                        self._publish(item.key, item.mod_revision, item.value)
                    revision = result.revision
                async for batch in self._store.watch(full, revision + 1):
                    backoff.reset()
                    for event in batch.events:
                        self._publish(
                            event.key, event.mod_revision, event.value
                        )
                        revision = max(revision, event.mod_revision)
            except StoreError as error:
                self._count(error)
                if error.fault is StoreFault.COMPACTED:
                    revision = 0
                await asyncio.sleep(backoff.next())

    async def _probe_forever(self) -> None:
        """Hand over to standbys while the store does not answer."""
        key = cluster_key(self._cluster, 'probe')
        while True:
            try:
                await self._store.get(key)
                self._set_reachable(True)
            except StoreError as error:
                self._count(error)
                self._set_reachable(False)
            await asyncio.sleep(self._rng.uniform(0.8, 1) * PROBE_INTERVAL_S)

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
        # Removals are documents too. A key that was deleted by other means
        # stays in force, since its version would be lost with it.
        if value is None:
            return
        short = key.removeprefix(cluster_key(self._cluster, ''))
        try:
            parse_document(short, value)
        except DocumentError as error:
            # Spread keeps one version of a key. A balancer that joins later
            # would get this one and never the last good one.
            self._metrics.count('membership.malformed_documents')
            log(
                Severity.WARNING,
                'membership.malformed_document',
                key=short,
                reason=str(error),
                remedy='set the entry again with ibispitchctl',
            )
            return
        self._server.publish_document(short, mod_revision, value)


class SnapshotWriter:
    """Writes the balancers of a data centre under a lease.

    :param store: the store.
    :param key: key of the snapshot.
    """

    def __init__(self, store: StoreClient, key: str):
        self._store = store
        self._key = key
        self._lease = 0
        self._keepalive_due = 0.0
        self._write_due = 0.0
        self._written: bytes | None = None

    async def update(self, members: list[BalancerRecord], now: float) -> None:
        """Renew the lease and write the members if they have changed.

        :param members: the present balancers.
        :param now: monotonic time in seconds.
        :raises StoreError: if the store does not answer.
        """
        if self._lease and now >= self._keepalive_due:
            await self._keep_alive(now)
        value = msgspec.json.encode(members)
        if value == self._written or now < self._write_due:
            return
        self._write_due = now + SNAPSHOT_INTERVAL_S
        if not self._lease:
            self._lease = await self._store.lease_grant(SNAPSHOT_LEASE_S)
            self._keepalive_due = now + KEEPALIVE_INTERVAL_S
        current = await self._store.get(self._key)
        revision = current.mod_revision if current else 0
        result = await self._store.txn(
            [Compare.on_mod_revision(self._key, revision)],
            [Put(self._key, value, self._lease)],
        )
        # Another writer was faster; the next update reads its revision.
        self._written = value if result.succeeded else None

    async def _keep_alive(self, now: float) -> None:
        """Renew the lease and check that the key is still attached to it."""
        if not await self._store.lease_keepalive(self._lease):
            self._lease = 0
        current = await self._store.get(self._key)
        if current is None or current.lease != self._lease:
            self._written = None
        self._keepalive_due = now + KEEPALIVE_INTERVAL_S
