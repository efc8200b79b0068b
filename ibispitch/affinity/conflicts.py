"""Flows with several owners, after a network partition between agents."""

from collections.abc import Collection
from typing import NamedTuple

from ibispitch.ids import AgentId
from ibispitch.ids import FlowId


class Conflict(NamedTuple):
    """Agents that own the same flow, in the order in which they were found.

    :param slot: slot of the flow.
    :param owners: at least two agents.
    """

    slot: int
    owners: tuple[AgentId, ...]


class Conflicts:
    """Unresolved conflicts by flow, kept by the authority of the slot."""

    def __init__(self):
        self.by_flow: dict[FlowId, Conflict] = {}

    def add(self, slot: int, flow: FlowId, *owners: AgentId) -> None:
        """Add owners of a flow."""
        known = self.by_flow.get(flow)
        all_owners = dict.fromkeys((*(known.owners if known else ()), *owners))
        self.by_flow[flow] = Conflict(slot, tuple(all_owners))

    def remove_owner(self, flow: FlowId, former: AgentId) -> AgentId | None:
        """Remove an agent that no longer owns a flow.

        :returns: a remaining owner, ``None`` if there was no conflict with
            this agent.
        """
        conflict = self.by_flow.get(flow)
        if conflict is None or former not in conflict.owners:
            return None
        owners = tuple(o for o in conflict.owners if o != former)
        if len(owners) > 1:
            self.by_flow[flow] = Conflict(conflict.slot, owners)
        else:
            del self.by_flow[flow]
        return owners[0]

    def remove_slot(self, slot: int) -> None:
        """Remove the conflicts in a slot that has another authority now."""
        if self.by_flow:
            self.by_flow = {
                flow: conflict
                for flow, conflict in self.by_flow.items()
                if conflict.slot != slot
            }

    def remove_agents(
        self, agents: Collection[AgentId]
    ) -> list[tuple[int, FlowId, AgentId]]:
        """Remove departed agents from all conflicts.

        :returns: slot, flow and remaining owner of each conflict that had
            one of these agents and has another owner.
        """
        remaining = {}
        for flow, conflict in list(self.by_flow.items()):
            for owner in conflict.owners:
                if owner in agents:
                    remaining_owner = self.remove_owner(flow, owner)
                    remaining[flow] = conflict.slot, flow, remaining_owner
        return [
            item
            for item in remaining.values()
            if item[2] not in (None, *agents)
        ]
