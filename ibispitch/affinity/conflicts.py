"""Flows with two owners, after agents were cut off from each other."""

from collections.abc import Collection
from typing import NamedTuple

from ibispitch.ids import AgentId
from ibispitch.ids import FlowId

#: The owners are asked to settle a conflict for this long.
SETTLE_S = 5.0


class Conflict(NamedTuple):
    """Two agents that reported the same flow.

    :param until: time at which it is given up, in seconds.
    """

    slot: int
    first: AgentId
    second: AgentId
    until: float

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

    def drop_slots(self, slots: Collection[int]) -> None:
        """Forget the conflicts in slots of another authority."""
        self._drop(lambda conflict: conflict.slot in slots)

    def forget(self, agents: Collection[AgentId]) -> None:
        """Forget the conflicts with agents that left."""
        self._drop(
            lambda conflict: (
                conflict.first in agents or conflict.second in agents
            )
        )

    def expire(self, now: float) -> int:
        """Give up old conflicts; return how many."""
        before = len(self.by_flow)
        self._drop(lambda conflict: conflict.until <= now)
        return before - len(self.by_flow)

    def _drop(self, is_over) -> None:
        if not self.by_flow:
            return
        self.by_flow = {
            flow: conflict
            for flow, conflict in self.by_flow.items()
            if not is_over(conflict)
        }
