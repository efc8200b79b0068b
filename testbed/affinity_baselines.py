"""Simpler ways to find the owner of a flow, to compare with.

They have the interface of the affinity core as far as the simulated network
uses it. They are baselines only; each breaks flows or costs too much.
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
    """Flows that the owner has, or had until now.

    It names the owner, since a receiver that has just started may not know
    the address that it comes from.
    """

    owner: AgentId
    flows: bytes
    is_owned: bool


class BaselineCore:
    """What the baselines have in common: owned flows and a table."""

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
        """Return where an agent is reached."""
        return self._address_by_id.get(agent)

    def agent_at(self, address: Address) -> AgentId | None:
        """Return the agent that sends from an address."""
        for agent, known in self._address_by_id.items():
            if known == address:
                return agent
        return None

    def set_draining(self) -> None:
        """Note that this agent drains."""
        self._is_draining = True

    def on_view(self, view: ServiceView, now: float) -> list[Effect]:
        """Take over the agents of a view."""
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
        """Decide on a packet."""
        if packet.flow in self._owned:
            return [Deliver(packet, False)]
        return self._on_unknown(packet, now)

    def _on_unknown(self, packet: Packet, now: float) -> list[Effect]:
        raise NotImplementedError

    def on_message(
        self, sender: AgentId, message: Any, now: float
    ) -> list[Effect]:
        """Handle a message."""
        return []

    def tick(self, now: float) -> list[Effect]:
        """Do what is due."""
        return []

    def close_flow(self, flow: FlowId, now: float) -> list[Effect]:
        """End an owned flow."""
        self._owned.discard(flow)
        return []


class TellNothingCore(BaselineCore):
    """Each agent owns what the hash sends to it."""

    def _on_unknown(self, packet: Packet, now: float) -> list[Effect]:
        return self._adopt(packet)


class ChainCore(BaselineCore):
    """The home asks the previous home about flows that it does not know.

    This is the chain of the current and the previous candidate (Beamer).
    UDP has no mark of a first packet, so that the home learns from the
    packet's return that the previous home does not know the flow either.
    An agent that has just started takes the home without it for the
    previous one, as a balancer would tell it.
    """

    def __init__(self, own, number, placement):
        super().__init__(own, number, placement)
        self._previous: dict[int, AgentId | None] = {}

    def on_view(self, view: ServiceView, now: float) -> list[Effect]:
        """Remember the home that each moved slot had before."""
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
                self._previous[slot] = home
        return []

    def _on_unknown(self, packet: Packet, now: float) -> list[Effect]:
        home = self._home(packet.flow)
        if packet.is_refusal:
            return self._adopt(packet)
        if packet.sender is not None:
            return self._relay(packet.sender, packet, refused=True)
        if home != self._self_id and home in self._address_by_id:
            return self._relay(home, packet._replace(sender=None))
        previous = self._previous.get(slot_of(self._number, packet.flow))
        if previous in self._address_by_id and previous != self._self_id:
            return self._relay(previous, packet)
        return self._adopt(packet)


class TellEverythingCore(BaselineCore):
    """Each agent tells all others of each flow that it adopts."""

    def __init__(self, own, number, placement):
        super().__init__(own, number, placement)
        self._owner_by_flow: dict[FlowId, AgentId] = {}
        self._news: dict[bool, list[FlowId]] = {True: [], False: []}

    def on_view(self, view: ServiceView, now: float) -> list[Effect]:
        """Send all owned flows to agents that joined."""
        before = set(self._address_by_id)
        super().on_view(view, now)
        joined = self._address_by_id.keys() - before - {self._self_id}
        for agent in before - self._address_by_id.keys():
            self._forget(agent)
        return [
            effect
            for agent in sorted(joined)
            for effect in self._tell([agent], list(self._owned), True)
        ]

    def _forget(self, agent: AgentId) -> None:
        self._owner_by_flow = {
            flow: owner
            for flow, owner in self._owner_by_flow.items()
            if owner != agent
        }

    def _tell(self, agents, flows, is_owned) -> list[Effect]:
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
        self._news[True].append(packet.flow)
        return self._adopt(packet)

    def on_message(
        self, sender: AgentId, message: Any, now: float
    ) -> list[Effect]:
        """Learn the flows of another agent."""
        for flow in unpack_flows(message.flows):
            if message.is_owned:
                self._owner_by_flow[flow] = message.owner
            elif self._owner_by_flow.get(flow) == message.owner:
                del self._owner_by_flow[flow]
        return []

    def tick(self, now: float) -> list[Effect]:
        """Tell the others what changed."""
        others = [a for a in self._address_by_id if a != self._self_id]
        effects = [
            effect
            for is_owned, flows in self._news.items()
            for effect in self._tell(others, flows, is_owned)
        ]
        self._news = {True: [], False: []}
        return effects

    def close_flow(self, flow: FlowId, now: float) -> list[Effect]:
        """Tell the others that a flow ended."""
        if flow in self._owned:
            self._news[False].append(flow)
        return super().close_flow(flow, now)
