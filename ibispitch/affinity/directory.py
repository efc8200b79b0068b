"""Directory of flows whose owner is not the authority of their slot."""

from collections.abc import Collection
from collections.abc import Iterator

from ibispitch.ids import AgentId
from ibispitch.ids import FlowId


class Directory:
    """Owners by slot and flow, for the slots of this agent only."""

    def __init__(self):
        self._by_slot: dict[int, dict[FlowId, AgentId]] = {}

    def __len__(self) -> int:
        return sum(len(owners) for owners in self._by_slot.values())

    def __iter__(self) -> Iterator[tuple[int, FlowId, AgentId]]:
        for slot, owners in self._by_slot.items():
            for flow, owner in owners.items():
                yield slot, flow, owner

    def get(self, slot: int, flow: FlowId) -> AgentId | None:
        """Return the owner of a flow, ``None`` if it is not listed."""
        owners = self._by_slot.get(slot)
        return owners.get(flow) if owners else None

    def set(self, slot: int, flow: FlowId, owner: AgentId) -> None:
        """Set the owner of a flow."""
        self._by_slot.setdefault(slot, {})[flow] = owner

    def remove(self, slot: int, flow: FlowId) -> None:
        """Remove a flow."""
        owners = self._by_slot.get(slot)
        if owners is not None:
            owners.pop(flow, None)
            if not owners:
                del self._by_slot[slot]

    def retain(
        self, slot: int, owner: AgentId, flows: Collection[FlowId]
    ) -> None:
        """Remove all flows of an owner in a slot except the given ones."""
        for flow, known in list(self._by_slot.get(slot, {}).items()):
            if known == owner and flow not in flows:
                self.remove(slot, flow)

    def clear(self, slot: int) -> None:
        """Remove a slot that has another authority now."""
        self._by_slot.pop(slot, None)

    def remove_agents(self, owners: Collection[AgentId]) -> None:
        """Remove the flows of departed agents."""
        for slot, flow, owner in list(self):
            if owner in owners:
                self.remove(slot, flow)

    def clear_all(self) -> None:
        """Remove all slots."""
        self._by_slot.clear()
