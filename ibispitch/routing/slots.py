"""Slots of a service, and their homes by rendezvous hashing."""

from array import array
from collections.abc import Iterable

import numpy as np
from xxhash import xxh3_64_intdigest

from ibispitch.ids import AgentId
from ibispitch.ids import FlowId
from ibispitch.ids import ServiceNumber

SLOT_COUNT = 1024
SLOT_MASK = SLOT_COUNT - 1

#: Increment and multipliers of splitmix64.
SPLITMIX_INCREMENT = np.uint64(0x9E3779B97F4A7C15)
SPLITMIX_MULTIPLIER_1 = np.uint64(0xBF58476D1CE4E5B9)
SPLITMIX_MULTIPLIER_2 = np.uint64(0x94D049BB133111EB)

SLOT_INCREMENTS = (
    np.arange(1, SLOT_COUNT + 1, dtype=np.uint64) * SPLITMIX_INCREMENT
)
ALL_SLOTS = np.arange(SLOT_COUNT)

#: Index in the table for slots without a home.
NO_HOME = 0


def slot_of(service_number: ServiceNumber, flow: FlowId) -> int:
    """Return the slot of a flow.

    >>> slot_of(ServiceNumber(7), FlowId(bytes([127, 0, 0, 1, 22, 51])))
    561
    """
    return xxh3_64_intdigest(flow, service_number) & SLOT_MASK


def agent_hash(agent: AgentId) -> int:
    """Return the hash of an agent from which its scores are computed."""
    return xxh3_64_intdigest(agent.encode())


def scores(agent_hashes, slots) -> np.ndarray:
    """Return the rendezvous scores of agents for slots.

    For each slot splitmix64 is a bijection of the agent hash, so two agents
    have the same score only if their hashes are equal.

    :param agent_hashes: one hash, or one for each slot.
    :param slots: indices of slots.
    :returns: 64-bit scores; the agent with the greatest one is the home.
    """
    mixed = np.asarray(agent_hashes, dtype=np.uint64) + SLOT_INCREMENTS[slots]
    mixed = (mixed ^ (mixed >> np.uint64(30))) * SPLITMIX_MULTIPLIER_1
    mixed = (mixed ^ (mixed >> np.uint64(27))) * SPLITMIX_MULTIPLIER_2
    return mixed ^ (mixed >> np.uint64(31))


class SlotTable:
    """The home of each slot of one service.

    The table depends only on the set of agents, not on the order of updates.
    It stores a 16-bit index for each slot and no scores, so that the tables
    of 1,100 services take only a few MB.

    >>> table = SlotTable()
    >>> table.home(0) is None
    True
    >>> len(table.update([AgentId('a')]))
    1024
    >>> moved = table.update([AgentId('a'), AgentId('b')])
    >>> {table.home(slot) for slot in moved}
    {'b'}
    >>> table.update([AgentId('b'), AgentId('a')])
    set()
    """

    def __init__(self):
        #: For each slot the index of its home in :attr:`agents`.
        self.homes = array('H', bytes(2 * SLOT_COUNT))
        #: Agents by index; ``None`` at unused indices.
        self.agents: list[AgentId | None] = [None]
        self._home_indices = np.frombuffer(self.homes, dtype=np.uint16)
        self._hash_by_index: list[int] = [0]
        self._index_by_agent: dict[AgentId, int] = {}

    def home(self, slot: int) -> AgentId | None:
        """Return the home of a slot, ``None`` if there are no agents."""
        return self.agents[self.homes[slot]]

    def index_of(self, agent: AgentId) -> int | None:
        """Return the index that :attr:`homes` has for an agent."""
        return self._index_by_agent.get(agent)

    def update(self, agents: Iterable[AgentId]) -> set[int]:
        """Set the agents of the service.

        :param agents: the eligible agents, in any order.
        :returns: the slots whose home changed.
        """
        wanted = set(agents)
        known = self._index_by_agent.keys()
        lost = known - wanted
        joined = wanted - known
        if not lost and not joined:
            return set()
        kept = sorted(known & wanted)
        before = self._home_indices.copy()
        slots_of_lost = np.flatnonzero(
            np.isin(before, [self._index_by_agent[a] for a in lost])
        )
        # Indices of lost agents are freed last. So no new agent reuses one,
        # and a changed index always means a changed home.
        for agent in sorted(joined):
            self._assign_index(agent)
        for agent in kept:
            self._assign_won_slots(
                agent, slots_of_lost, is_first=agent == kept[0]
            )
        for agent in sorted(joined):
            self._assign_won_slots(agent, ALL_SLOTS, is_first=not kept)
            kept.append(agent)
        if not kept:
            self._home_indices[:] = NO_HOME
        for agent in lost:
            self.agents[self._index_by_agent.pop(agent)] = None
        return set(np.flatnonzero(before != self._home_indices).tolist())

    def _assign_index(self, agent: AgentId) -> None:
        """Give an agent an unused index."""
        try:
            index = self.agents.index(None, 1)
        except ValueError:
            index = len(self.agents)
            self.agents.append(None)
            self._hash_by_index.append(0)
        self.agents[index] = agent
        self._hash_by_index[index] = agent_hash(agent)
        self._index_by_agent[agent] = index

    def _assign_won_slots(self, agent: AgentId, slots, is_first: bool) -> None:
        """Make an agent the home of the slots where its score is greatest.

        :param is_first: whether the slots have no valid home, so that the
            agent gets all of them.
        """
        index = self._index_by_agent[agent]
        if is_first:
            self._home_indices[slots] = index
            return
        homes = self._home_indices[slots]
        current = scores(
            np.array(self._hash_by_index, dtype=np.uint64)[homes], slots
        )
        own = scores(self._hash_by_index[index], slots)
        wins = own > current
        for position in np.flatnonzero(own == current):
            # Hashes are equal. The smaller id wins, so that all hosts agree.
            wins[position] = agent < self.agents[homes[position]]
        self._home_indices[slots[wins]] = index
