"""The lists of balancers and agents in the platform's store."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from ibispitch.fleet.directory import choose_agents
from ibispitch.fleet.directory import choose_listed
from ibispitch.fleet.directory import decode_agents
from ibispitch.fleet.directory import decode_directory
from ibispitch.fleet.directory import DirectoryWriter
from ibispitch.fleet.directory import encode_agents
from ibispitch.fleet.directory import encode_directory
from ibispitch.fleet.directory import ENDED_SETTLE_S
from ibispitch.fleet.directory import KnownBalancer
from ibispitch.fleet.directory import ListedAgents
from ibispitch.fleet.directory import SETTLE_S
from ibispitch.fleet.known import FIRST_START_S
from ibispitch.platform.node import Node
from ibispitch.platform.store import MetadataStore
from ibispitch.platform.store import StoreCallError

KEY = 'fleet/balancers'
AGENTS_KEY = 'fleet/agents'
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
    value, era = await _read_value(store, KEY)
    return StoredDirectory(decode_directory(value), era)


async def _read_value(store: MetadataStore, key: str) -> tuple[bytes, int]:
    """Return a stored value, which may be seconds old, and the store's era.

    :raises StoreCallError: if the store did not answer.
    :raises ValueError: if it has no such key.
    """
    listing = await store.list(key, may_be_stale=True)
    for item in listing.items:
        if item.key == key and item.value is not None:
            return item.value, listing.era
    raise ValueError(f'the store has no {key}; a balancer writes it')


async def read_stored_agents(node: Node) -> dict[str, int] | None:
    """Record the agents that the store lists, if they are needed.

    They are not needed if a balancer that knows the fleet has listed its
    agents, unless all of these seem to have restarted. A fleet that has just
    started has no list, nor one of the version before.

    :returns: the upstream of each listed agent, empty if there is no readable
        list, and ``None`` if it was not needed.
    """
    if node.settings.is_first_start:
        return None
    started_at = node.clock()
    fleet = node.fleet
    await asyncio.sleep(SEED_ANSWER_S)
    while True:
        if fleet.needs_stored_agents or not fleet.has_agent_list:
            agents = await _read_agents(node)
            if agents is not None:
                fleet.record_stored_agents(agents, node.clock())
                return agents
        elif node.clock() - started_at >= FIRST_START_S:
            return None
        await asyncio.sleep(READ_AGAIN_S)


async def _read_agents(node: Node) -> dict[str, int] | None:
    """Return the stored agents, ``None`` if the store did not answer.

    :returns: empty if there is no readable list.
    """
    store = node.transport.store(node.settings.store_address)
    agents: dict[str, int] = {}
    try:
        value, _ = await _read_value(store, AGENTS_KEY)
        agents = decode_agents(value)
    except StoreCallError as error:
        node.log.change('agents.not_read', node.clock(), error=str(error))
        return None
    except ValueError as error:
        node.log.change('agents.unusable', node.clock(), error=str(error))
    else:
        node.log.change('agents.read', node.clock(), agents=len(agents))
    finally:
        store.close()
    return agents


class DirectoryKeeper:
    """Keeps the stored lists up to date.

    :param node: the process; only one balancer of a fleet writes.
    :param knows_fleet: whether the process knows all agents.
    :param knows_most_agents: whether it knows most of them, which suffices if
        the store has no list.
    """

    def __init__(
        self,
        node: Node,
        knows_fleet: Callable[[float], bool],
        knows_most_agents: Callable[[float], bool],
    ):
        self._node = node
        self._knows_fleet = knows_fleet
        self._knows_most_agents = knows_most_agents
        self._writer = DirectoryWriter()
        self._agents_writer = DirectoryWriter()
        if node.settings.is_first_start:
            self.record_missing_agents()

    def record_stored(self, stored: StoredDirectory) -> None:
        """Record the list of balancers that the store has."""
        self._writer.record_stored(stored.ips, stored.era)

    def record_missing_agents(self) -> None:
        """Record that the store has no list of agents."""
        self._agents_writer.record_missing()

    def check(self, writer_ip: str) -> None:
        """Write the lists that are outdated if this process is to write.

        :param writer_ip: the balancer that should write.
        """
        node = self._node
        if writer_ip != node.settings.ip:
            return
        now = node.clock()
        era = node.routes.position.era
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
        if self._writer.is_due(listed, era, now):
            node.start(self._write_balancers(listed, era))
        is_known = (
            self._knows_most_agents
            if self._agents_writer.is_missing
            else self._knows_fleet
        )
        if not is_known(now):
            return
        agents = choose_agents(node.fleet.agents_to_store())
        lists_ended = any(
            node.fleet.has_ended(ip) for ip, _ in self._agents_writer.stored
        )
        settle_s = ENDED_SETTLE_S if lists_ended else SETTLE_S
        if self._agents_writer.is_due(agents, era, now, settle_s):
            node.start(self._write_agents(agents, era))

    async def _write_balancers(
        self, listed: tuple[str, ...], era: int
    ) -> None:
        if await self._put(KEY, encode_directory(listed)):
            self._writer.record_stored(listed, era)
            self._node.log.change(
                'directory.written', self._node.clock(), balancers=len(listed)
            )

    async def _write_agents(self, agents: ListedAgents, era: int) -> None:
        if await self._put(AGENTS_KEY, encode_agents(agents)):
            self._agents_writer.record_stored(agents, era)
            self._node.log.change(
                'agents.written', self._node.clock(), agents=len(agents)
            )

    async def _put(self, key: str, value: bytes) -> bool:
        """Store a list without a condition, and return whether it is stored.

        It is only a hint, so that two writers, or a write whose answer is
        lost, do no harm.
        """
        node = self._node
        store = node.transport.store(node.settings.store_address)
        try:
            await store.put(key, value)
        except StoreCallError as error:
            node.log.change(
                'directory.not_written', node.clock(), error=str(error)
            )
            return False
        finally:
            store.close()
        return True
