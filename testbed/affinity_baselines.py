"""Simpler designs for finding the owner of a flow, as baselines.

They implement the part of the affinity core's interface that the simulated
network uses. Each of them breaks flows or costs too much.
"""

from typing import Any

import msgspec

from ibispitch.affinity import Deliver
from ibispitch.affinity import Drop
from ibispitch.affinity import DropReason
from ibispitch.affinity import Effect
from ibispitch.affinity import Packet
from ibispitch.affinity import PeerInfo
from ibispitch.affinity import Placement
from ibispitch.affinity import Relay
from ibispitch.affinity import SendMessage
from ibispitch.affinity.messages import batches
from ibispitch.affinity.messages import MAX_MESSAGE_FLOWS
from ibispitch.affinity.messages import pack_flows
from ibispitch.affinity.messages import unpack_flows
from ibispitch.ids import Address
from ibispitch.ids import AgentId
from ibispitch.ids import FlowId
from ibispitch.ids import ServiceNumber
from ibispitch.membership.records import ServiceView
from ibispitch.routing import eligible_agents
from ibispitch.routing import SLOT_COUNT
from ibispitch.routing import slot_of
from ibispitch.routing import SlotTable
from ibispitch.wire import control_message
from ibispitch.wire.frames import MAX_HOPS


@control_message('testbed.flows-owned')
class FlowsOwned(msgspec.Struct, array_like=True, frozen=True):
    """Flows that an agent has adopted or closed.

    The message contains the owner's id because a receiver that has just
    started may not know the sender's address yet.
    """

    owner: AgentId
    flows: bytes
    is_owned: bool


class BaselineCore:
    """Common part of the baselines: owned flows and the slot table."""

    def __init__(
        self, own_info: PeerInfo, number: ServiceNumber, placement: Placement
    ):
        self._self_id = own_info.agent_id
        self._number = number
        self._placement = placement
        self._table = SlotTable()
        self._owned: set[FlowId] = set()
        self._address_by_id: dict[AgentId, Address] = {}
        self._is_draining = False
        self.exception_count = 0

    @property
    def flow_count(self) -> int:
        """Number of owned flows."""
        return len(self._owned)

    def owns(self, flow: FlowId) -> bool:
        """Tell whether this agent owns a flow."""
        return flow in self._owned

    def flows(self) -> list[FlowId]:
        """Return the owned flows."""
        return list(self._owned)

    def address_of(self, agent: AgentId) -> Address | None:
        """Return the address of an agent, or ``None`` if it is unknown."""
        return self._address_by_id.get(agent)

    def agent_at(self, address: Address) -> AgentId | None:
        """Return the agent that sends from an address."""
        for agent, agent_address in self._address_by_id.items():
            if agent_address == address:
                return agent
        return None

    def set_draining(self) -> None:
        """Mark this agent as draining."""
        self._is_draining = True

    def on_view(self, view: ServiceView, now: float) -> list[Effect]:
        """Update addresses and the slot table from a view."""
        self._address_by_id = {
            record.agent_id: record.address for record in view.agents
        }
        self._table.update(
            record.agent_id
            for record in eligible_agents(view.agents, view.datacentres_out)
        )
        return []

    def _home(self, flow: FlowId) -> AgentId | None:
        return self._table.home(slot_of(self._number, flow))

    def _adopt(self, packet: Packet) -> list[Effect]:
        self._owned.add(packet.flow)
        return [Deliver(packet, True)]

    def _relay(
        self, to: AgentId, packet: Packet, refused: bool = False
    ) -> list[Effect]:
        if packet.hops >= MAX_HOPS:
            return [Drop(packet, DropReason.HOP_LIMIT)]
        relayed = packet._replace(hops=packet.hops + 1, is_refusal=refused)
        return [Relay(to, relayed, False)]

    def on_packet(self, packet: Packet, now: float) -> list[Effect]:
        """Deliver a packet of an owned flow; handle others by the design."""
        if packet.flow in self._owned:
            return [Deliver(packet, False)]
        return self._on_unknown(packet, now)

    def _on_unknown(self, packet: Packet, now: float) -> list[Effect]:
        raise NotImplementedError

    def on_message(
        self, sender: AgentId, message: Any, now: float
    ) -> list[Effect]:
        """Handle a message of another agent."""
        return []

    def tick(self, now: float) -> list[Effect]:
        """Return the effects that are due."""
        return []

    def close_flow(self, flow: FlowId, now: float) -> list[Effect]:
        """Close an owned flow."""
        self._owned.discard(flow)
        return []


class TellNothingCore(BaselineCore):
    """Each agent adopts all flows that balancers send to it by hash."""

    def _on_unknown(self, packet: Packet, now: float) -> list[Effect]:
        return self._adopt(packet)


class ChainCore(BaselineCore):
    """The home asks the previous home about flows that it does not know.

    This is the chain of the current and the previous candidate as in
    Beamer. A UDP packet does not show whether it opens a flow, so that the
    previous home returns packets of flows that it does not know either.
    An agent that has just started takes as the previous home the one that
    the slot table gives without this agent, as a balancer would tell it.
    """

    def __init__(self, own_info, number, placement):
        super().__init__(own_info, number, placement)
        self._previous_home_by_slot: dict[int, AgentId | None] = {}

    def on_view(self, view: ServiceView, now: float) -> list[Effect]:
        """Record the previous home of each slot whose home changes."""
        is_first = not self._address_by_id
        if is_first:
            self._table.update(
                record.agent_id
                for record in eligible_agents(
                    view.agents, view.datacentres_out
                )
                if record.agent_id != self._self_id
            )
        before = [self._table.home(slot) for slot in range(SLOT_COUNT)]
        super().on_view(view, now)
        for slot, home in enumerate(before):
            if self._table.home(slot) != home:
                self._previous_home_by_slot[slot] = home
        return []

    def _on_unknown(self, packet: Packet, now: float) -> list[Effect]:
        home = self._home(packet.flow)
        if packet.is_refusal:
            return self._adopt(packet)
        if packet.sender is not None:
            return self._relay(packet.sender, packet, refused=True)
        if home != self._self_id and home in self._address_by_id:
            return self._relay(home, packet._replace(sender=None))
        previous = self._previous_home_by_slot.get(
            slot_of(self._number, packet.flow)
        )
        if previous in self._address_by_id and previous != self._self_id:
            return self._relay(previous, packet)
        return self._adopt(packet)


class TellEverythingCore(BaselineCore):
    """Each agent announces each flow that it adopts to all others."""

    def __init__(self, own_info, number, placement):
        super().__init__(own_info, number, placement)
        self._owner_by_flow: dict[FlowId, AgentId] = {}
        self._unsent_changes: dict[bool, list[FlowId]] = {True: [], False: []}

    def on_view(self, view: ServiceView, now: float) -> list[Effect]:
        """Send the list of owned flows to agents that joined."""
        before = set(self._address_by_id)
        super().on_view(view, now)
        joined = self._address_by_id.keys() - before - {self._self_id}
        for agent in before - self._address_by_id.keys():
            self._remove_owner(agent)
        return [
            effect
            for agent in sorted(joined)
            for effect in self._ownership_messages(
                [agent], list(self._owned), True
            )
        ]

    def _remove_owner(self, agent: AgentId) -> None:
        self._owner_by_flow = {
            flow: owner
            for flow, owner in self._owner_by_flow.items()
            if owner != agent
        }

    def _ownership_messages(self, agents, flows, is_owned) -> list[Effect]:
        return [
            SendMessage(
                agent, FlowsOwned(self._self_id, pack_flows(batch), is_owned)
            )
            for batch in batches(flows, MAX_MESSAGE_FLOWS)
            for agent in agents
        ]

    def _on_unknown(self, packet: Packet, now: float) -> list[Effect]:
        owner = self._owner_by_flow.get(packet.flow)
        if owner is not None and owner != packet.sender:
            return self._relay(owner, packet)
        self._unsent_changes[True].append(packet.flow)
        return self._adopt(packet)

    def on_message(
        self, sender: AgentId, message: Any, now: float
    ) -> list[Effect]:
        """Record the flows that another agent has adopted or closed."""
        for flow in unpack_flows(message.flows):
            if message.is_owned:
                self._owner_by_flow[flow] = message.owner
            elif self._owner_by_flow.get(flow) == message.owner:
                del self._owner_by_flow[flow]
        return []

    def tick(self, now: float) -> list[Effect]:
        """Send flows adopted and closed since the last tick to the others."""
        others = [a for a in self._address_by_id if a != self._self_id]
        effects = [
            effect
            for is_owned, flows in self._unsent_changes.items()
            for effect in self._ownership_messages(others, flows, is_owned)
        ]
        self._unsent_changes = {True: [], False: []}
        return effects

    def close_flow(self, flow: FlowId, now: float) -> list[Effect]:
        """Close an owned flow and announce it in the next tick."""
        if flow in self._owned:
            self._unsent_changes[False].append(flow)
        return super().close_flow(flow, now)
