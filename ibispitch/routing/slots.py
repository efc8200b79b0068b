"""Slots of a service and their homes by rendezvous hashing."""

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
GAMMA = np.uint64(0x9E3779B97F4A7C15)
MIX_1 = np.uint64(0xBF58476D1CE4E5B9)
MIX_2 = np.uint64(0x94D049BB133111EB)

SLOT_STEPS = np.arange(1, SLOT_COUNT + 1, dtype=np.uint64) * GAMMA
ALL_SLOTS = np.arange(SLOT_COUNT)

#: Index of slots without a home.
NO_HOME = 0


def slot_of(service_number: ServiceNumber, flow: FlowId) -> int:
    """Return the slot of a flow.

    >>> slot_of(ServiceNumber(7), FlowId(bytes([127, 0, 0, 1, 22, 51])))
    561
    """
    return xxh3_64_intdigest(flow, service_number) & SLOT_MASK


def agent_hash(agent: AgentId) -> int:
    """Return the hash of an agent that its scores derive from."""
    return xxh3_64_intdigest(agent.encode())


def scores(agent_hashes, slots) -> np.ndarray:
    """Return the rendezvous scores of agents for slots.

    For one slot splitmix64 is a bijection of the agent hash, so that two
    agents have the same score only if their hashes are the same.

    :param agent_hashes: one hash, or one for each slot.
    :param slots: indices of slots.
    :returns: 64-bit scores; the greatest one of a slot wins.
    """
    mixed = np.asarray(agent_hashes, dtype=np.uint64) + SLOT_STEPS[slots]
    mixed = (mixed ^ (mixed >> np.uint64(30))) * MIX_1
    mixed = (mixed ^ (mixed >> np.uint64(27))) * MIX_2
    return mixed ^ (mixed >> np.uint64(31))


class SlotTable:
    """The home of each slot of one service.

    The table depends only on the set of agents, not on the order of
    updates. It stores a 16-bit index for each slot and no scores, which
    keeps the tables of 1,100 services within a few MB.

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
        #: Index of the home of each slot, for :attr:`agents`.
        self.homes = array('H', bytes(2 * SLOT_COUNT))
        #: Agents by index; ``None`` at unused indices.
        self.agents: list[AgentId | None] = [None]
        self._homes = np.frombuffer(self.homes, dtype=np.uint16)
        self._hashes: list[int] = [0]
        self._index_by_agent: dict[AgentId, int] = {}

    def home(self, slot: int) -> AgentId | None:
        """Return the home of a slot, ``None`` if there are no agents."""
        return self.agents[self.homes[slot]]

    def index_of(self, agent: AgentId) -> int | None:
        """Return the index of an agent in :attr:`homes`."""
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
        before = self._homes.copy()
        orphans = np.flatnonzero(
            np.isin(before, [self._index_by_agent[a] for a in lost])
        )
        # Indices of lost agents are freed last, so that a changed index
        # always means a changed home.
        for agent in sorted(joined):
            self._add(agent)
        for agent in kept:
            self._challenge(agent, orphans, is_first=agent == kept[0])
        for agent in sorted(joined):
            self._challenge(agent, ALL_SLOTS, is_first=not kept)
            kept.append(agent)
        if not kept:
            self._homes[:] = NO_HOME
        for agent in lost:
            self.agents[self._index_by_agent.pop(agent)] = None
        return set(np.flatnonzero(before != self._homes).tolist())

    def _add(self, agent: AgentId) -> None:
        """Give an agent an unused index."""
        try:
            index = self.agents.index(None, 1)
        except ValueError:
            index = len(self.agents)
            self.agents.append(None)
            self._hashes.append(0)
        self.agents[index] = agent
        self._hashes[index] = agent_hash(agent)
        self._index_by_agent[agent] = index

    def _challenge(self, agent: AgentId, slots, is_first: bool) -> None:
        """Let an agent take those of the slots where its score is greatest.

        :param is_first: whether the present homes of the slots are void.
        """
        index = self._index_by_agent[agent]
        if is_first:
            self._homes[slots] = index
            return
        homes = self._homes[slots]
        present = scores(np.array(self._hashes, dtype=np.uint64)[homes], slots)
        own = scores(self._hashes[index], slots)
        wins = own > present
        for position in np.flatnonzero(own == present):
            # Equal hashes; the smaller id wins, so that hosts agree.
            wins[position] = agent < self.agents[homes[position]]
        self._homes[slots[wins]] = index
