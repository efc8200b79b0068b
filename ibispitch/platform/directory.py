"""The list of balancers in the platform's store."""

import asyncio
from typing import NamedTuple

from ibispitch.fleet.directory import choose_listed
from ibispitch.fleet.directory import decode_directory
from ibispitch.fleet.directory import DirectoryWriter
from ibispitch.fleet.directory import encode_directory
from ibispitch.fleet.directory import KnownBalancer
from ibispitch.platform.node import Node
from ibispitch.platform.store import MetadataStore
from ibispitch.platform.store import StoreCallError

KEY = 'fleet/balancers'
#: Time for which a process waits for its seeds before it reads the list.
#: Seeds that are up answer within milliseconds.
SEED_ANSWER_S = 0.05
#: Time after which a failed read is repeated while no balancer is known to
#: be up.
READ_AGAIN_S = 0.3
#: Interval of the checks whether the list is up to date.
CHECK_INTERVAL_S = 1.0


class StoredDirectory(NamedTuple):
    """A list of balancers, and the era of the store that has it."""

    ips: tuple[str, ...]
    era: int


async def add_stored_balancers(node: Node) -> StoredDirectory | None:
    """Add the listed balancers to the fleet if the seeds are silent.

    The fleet of a first start has no list yet.

    :returns: the list, ``None`` if it was not needed or is not usable.
    """
    if node.settings.is_first_start:
        return None
    await asyncio.sleep(SEED_ANSWER_S)
    store = node.transport.store(node.settings.store_address)
    try:
        while not node.fleet.heard_balancers(node.clock()):
            try:
                stored = await _read(store)
            except StoreCallError as error:
                node.log.change(
                    'directory.not_read', node.clock(), error=str(error)
                )
                await asyncio.sleep(READ_AGAIN_S)
                continue
            now = node.clock()
            for ip in stored.ips:
                node.fleet.add_balancer(ip, now)
            node.log.change('directory.read', now, balancers=len(stored.ips))
            return stored
    except ValueError as error:
        node.log.change('directory.unusable', node.clock(), error=str(error))
    finally:
        store.close()
    return None


async def _read(store: MetadataStore) -> StoredDirectory:
    """Return the stored list; it may be seconds old.

    :raises StoreCallError: if the store did not answer.
    :raises ValueError: if there is no readable list.
    """
    listing = await store.list(KEY, may_be_stale=True)
    for item in listing.items:
        if item.key == KEY and item.value is not None:
            return StoredDirectory(decode_directory(item.value), listing.era)
    raise ValueError(f'the store has no {KEY}; a balancer writes it')


class DirectoryKeeper:
    """Keeps the stored list up to date.

    :param node: the process; only one balancer of a fleet writes.
    """

    def __init__(self, node: Node):
        self._node = node
        self._writer = DirectoryWriter()

    def record_stored(self, stored: StoredDirectory) -> None:
        """Record the list that the store has."""
        self._writer.record_stored(stored.ips, stored.era)

    def check(self, writer_ip: str) -> None:
        """Write the list if it is outdated and this process's to write.

        :param writer_ip: the balancer that should write.
        """
        node = self._node
        if writer_ip != node.settings.ip:
            return
        listed = choose_listed(
            (
                KnownBalancer(node.settings.datacentre, writer_ip),
                *(
                    KnownBalancer(view.status.datacentre, view.ip)
                    for view in node.fleet.balancers_by_ip.values()
                    if view.status is not None
                ),
            )
        )
        era = node.routes.position.era
        if self._writer.is_due(listed, era, node.clock()):
            node.start(self._write(StoredDirectory(listed, era)))

    async def _write(self, stored: StoredDirectory) -> None:
        """Store a list without a condition.

        It is only a hint, so that two writers, or a write whose answer is
        lost, do no harm.
        """
        node = self._node
        store = node.transport.store(node.settings.store_address)
        try:
            await store.put(KEY, encode_directory(stored.ips))
        except StoreCallError as error:
            node.log.change(
                'directory.not_written', node.clock(), error=str(error)
            )
        else:
            self.record_stored(stored)
            node.log.change(
                'directory.written', node.clock(), balancers=len(stored.ips)
            )
        finally:
            store.close()
