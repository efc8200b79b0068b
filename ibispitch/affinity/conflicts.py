"""Flows with several owners, after agents were cut off from each other."""

from collections.abc import Collection
from typing import NamedTuple

from ibispitch.ids import AgentId
from ibispitch.ids import FlowId


class Conflict(NamedTuple):
    """Agents that own the same flow, in the order in which they were met."""

    slot: int
    owners: tuple[AgentId, ...]


class Conflicts:
    """Unsettled conflicts by flow, kept by the authority of the slot."""

    def __init__(self):
        self.by_flow: dict[FlowId, Conflict] = {}

    def add(self, slot: int, flow: FlowId, *owners: AgentId) -> None:
        """Note that all these agents own a flow."""
        known = self.by_flow.get(flow)
        all_owners = dict.fromkeys((*(known.owners if known else ()), *owners))
        self.by_flow[flow] = Conflict(slot, tuple(all_owners))

    def settle(self, flow: FlowId, loser: AgentId) -> AgentId | None:
        """Note that an agent does not own a flow any more.

        :returns: a remaining owner, ``None`` if there was no conflict with
            this agent.
        """
        conflict = self.by_flow.get(flow)
        if conflict is None or loser not in conflict.owners:
            return None
        owners = tuple(o for o in conflict.owners if o != loser)
        if len(owners) > 1:
            self.by_flow[flow] = Conflict(conflict.slot, owners)
        else:
            del self.by_flow[flow]
        return owners[0]

    def drop_slot(self, slot: int) -> None:
        """Forget the conflicts in a slot of another authority."""
        if self.by_flow:
            self.by_flow = {
                flow: conflict
                for flow, conflict in self.by_flow.items()
                if conflict.slot != slot
            }

    def forget(
        self, agents: Collection[AgentId]
    ) -> list[tuple[int, FlowId, AgentId]]:
        """Settle the conflicts with agents that left.

        :returns: slot, flow and a remaining owner of each.
        """
        remaining = {}
        for flow, conflict in list(self.by_flow.items()):
            for owner in conflict.owners:
                if owner in agents:
                    winner = self.settle(flow, owner)
                    remaining[flow] = conflict.slot, flow, winner
        return [
            item
            for item in remaining.values()
            if item[2] not in (None, *agents)
        ]
