"""Agents whose parent is lost.

The parent of an agent publishes its record. If the parent is lost too, no
process publishes the loss of the agent, so each balancer derives it from the
records. The result is called the effective state. It is not published: after
a partition it would otherwise replace the records of agents that were never
lost on the other side.
"""

from collections import defaultdict
from collections.abc import Iterable

import msgspec

from ibispitch.ids import AgentId
from ibispitch.ids import BalancerId
from ibispitch.membership.leases import PARENT_LOSS_GRACE_S
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import BalancerRecord
from ibispitch.membership.records import MemberState

#: Records of lost agents become tombstones after this time. After a longer
#: partition the agents have to announce themselves once more.
RETIRE_DELAY_S = 3600.0


class OrphanTable:
    """Records of agents with their effective states."""

    def __init__(self):
        #: Records with effective states.
        self.effective_by_id: dict[AgentId, AgentRecord] = {}
        self._record_by_id: dict[AgentId, AgentRecord] = {}
        self._received_at: dict[AgentId, float] = {}
        self._ids_by_parent: dict[BalancerId, set] = defaultdict(set)
        self._present_parents: set[BalancerId] = set()
        self._parent_lost_at: dict[BalancerId, float] = {}
        #: Agents whose effective state may have to change.
        self._pending: set[AgentId] = set()

    def on_record(self, record: AgentRecord, now: float) -> None:
        """Store a newer record of an agent."""
        agent_id = record.agent_id
        previous = self._record_by_id.get(agent_id)
        if previous is not None:
            self._ids_by_parent[previous.parent].discard(agent_id)
        self._record_by_id[agent_id] = record
        self._received_at[agent_id] = now
        self._ids_by_parent[record.parent].add(agent_id)
        self._pending.add(agent_id)

    def forget(self, agent_id: AgentId) -> None:
        """Remove an agent whose tombstone has expired."""
        record = self._record_by_id.pop(agent_id, None)
        if record is not None:
            self._ids_by_parent[record.parent].discard(agent_id)
        self.effective_by_id.pop(agent_id, None)
        self._received_at.pop(agent_id, None)
        self._pending.discard(agent_id)

    def on_balancer(self, record: BalancerRecord, now: float) -> None:
        """Record whether a balancer, a possible parent, is present."""
        balancer_id = record.balancer_id
        if record.state.is_present:
            self._present_parents.add(balancer_id)
            self._parent_lost_at.pop(balancer_id, None)
        elif balancer_id not in self._parent_lost_at:
            self._present_parents.discard(balancer_id)
            self._parent_lost_at[balancer_id] = now
        self._pending |= self._ids_by_parent[balancer_id]

    def changed_records(self, now: float) -> list[AgentRecord]:
        """Return the records whose effective state has changed."""
        changed = []
        for agent_id in sorted(self._pending):
            record = self._record_by_id[agent_id]
            due = self._loss_due(record)
            if due is None or due <= now:
                self._pending.discard(agent_id)
            if due is not None and due <= now:
                record = msgspec.structs.replace(
                    record, state=MemberState.LOST
                )
            if self.effective_by_id.get(agent_id) != record:
                self.effective_by_id[agent_id] = record
                changed.append(record)
        return changed

    def records_to_retire(self, now: float) -> Iterable[AgentRecord]:
        """Return LOST records of agents whose parent was lost long ago."""
        return [
            self.effective_by_id[agent_id]
            for parent, at in self._parent_lost_at.items()
            if now - at > RETIRE_DELAY_S
            for agent_id in sorted(self._ids_by_parent[parent])
            if self._record_by_id[agent_id].state.is_present
            and not self.effective_by_id[agent_id].state.is_present
        ]

    def _loss_due(self, record: AgentRecord) -> float | None:
        """Return when the agent becomes LOST, ``None`` if it does not."""
        if record.parent in self._present_parents:
            return None
        if not record.state.is_present:
            return None
        received_at = self._received_at[record.agent_id]
        lost_at = self._parent_lost_at.get(record.parent, received_at)
        return max(lost_at, received_at) + PARENT_LOSS_GRACE_S
