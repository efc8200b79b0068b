"""Flows with two owners, after agents were cut off from each other."""

from collections.abc import Collection
from typing import NamedTuple

from ibispitch.ids import AgentId
from ibispitch.ids import FlowId


class Conflict(NamedTuple):
    """Two agents that reported the same flow."""

    slot: int
    first: AgentId
    second: AgentId

    def other(self, owner: AgentId) -> AgentId | None:
        """Return the rival of an owner."""
        rivals = {self.first: self.second, self.second: self.first}
        return rivals.get(owner)


class Conflicts:
    """Unsettled conflicts by flow, kept by the authority of the slot."""

    def __init__(self):
        self.by_flow: dict[FlowId, Conflict] = {}

    def add(self, flow: FlowId, conflict: Conflict) -> None:
        """Note a conflict."""
        self.by_flow.setdefault(flow, conflict)

    def settle(self, flow: FlowId, loser: AgentId) -> AgentId | None:
        """Note that an owner closed its copy; return the other owner."""
        conflict = self.by_flow.get(flow)
        winner = conflict.other(loser) if conflict else None
        if winner is not None:
            del self.by_flow[flow]
        return winner

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

        :returns: slot, flow and remaining owner of each of them that has
            one.
        """
        settled = []
        for flow, conflict in list(self.by_flow.items()):
            owners = [
                owner
                for owner in (conflict.first, conflict.second)
                if owner not in agents
            ]
            if len(owners) == 2:
                continue
            del self.by_flow[flow]
            settled.extend((conflict.slot, flow, owner) for owner in owners)
        return settled
