"""Decides for each packet at an agent which agent must handle it."""

from collections import Counter
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import Protocol

from ibispitch.affinity.effects import CloseFlow
from ibispitch.affinity.effects import Deliver
from ibispitch.affinity.effects import Drop
from ibispitch.affinity.effects import DropReason
from ibispitch.affinity.effects import Effect
from ibispitch.affinity.effects import Packet
from ibispitch.affinity.effects import Relay
from ibispitch.affinity.effects import TERM_MASK
from ibispitch.affinity.flows import OwnedFlows
from ibispitch.affinity.flows import Releases
from ibispitch.affinity.held_packets import HeldPackets
from ibispitch.affinity.held_packets import HOLD_TIMEOUT_S
from ibispitch.affinity.messages import batches
from ibispitch.affinity.messages import FlowClaim
from ibispitch.affinity.messages import FlowConflict
from ibispitch.affinity.messages import FlowMove
from ibispitch.affinity.messages import FlowMoved
from ibispitch.affinity.messages import FlowRedirect
from ibispitch.affinity.messages import FlowRedirected
from ibispitch.affinity.messages import FlowReleased
from ibispitch.affinity.messages import FlowReleasedAck
from ibispitch.affinity.messages import MAX_MESSAGE_FLOWS
from ibispitch.affinity.messages import pack_flows
from ibispitch.affinity.messages import PeerInfo
from ibispitch.affinity.messages import SlotEntries
from ibispitch.affinity.messages import SlotHeld
from ibispitch.affinity.messages import SlotOffer
from ibispitch.affinity.messages import SlotPull
from ibispitch.affinity.messages import SlotQuery
from ibispitch.affinity.messages import unpack_flows
from ibispitch.affinity.move_mixin import FlowMoveMixin
from ibispitch.affinity.moves import Moves
from ibispitch.affinity.slots import SlotState
from ibispitch.affinity.snapshot import export_state
from ibispitch.affinity.snapshot import restore_state
from ibispitch.affinity.transfer import SlotTransfer
from ibispitch.affinity.transfer import Timer
from ibispitch.ids import Address
from ibispitch.ids import AgentId
from ibispitch.ids import FlowId
from ibispitch.ids import ServiceNumber
from ibispitch.membership.records import MemberState
from ibispitch.membership.records import ServiceView
from ibispitch.routing import eligible_agents
from ibispitch.routing import slot_of
from ibispitch.wire.frames import MAX_HOPS

#: An agent that refused a flow is not chosen for it again for this long.
#: It must be longer than REFUSAL_PERIOD_S, for which the agent itself
#: refuses the flow.
EXCLUSION_PERIOD_S = 10.0

#: Ends of flows and conflicts are collected and reported at this interval.
#: With a few reports a second to each of several peers an agent would use
#: up its 4 KB/s of control traffic for headers.
REPORT_INTERVAL_S = 1.0

#: The last report of an end must be sent some seconds before the agent may
#: adopt the flow again: a later one would remove the new owner from the
#: directory of the authority.
MAX_RELEASE_ATTEMPTS = 4

DEFAULT_IDLE_TIMEOUT_S = 600.0


class Placement(Protocol):
    """Chooses the owner of a new flow by the load of the agents."""

    def choose_owner(
        self, self_id: AgentId, candidates: Sequence[AgentId], now: float
    ) -> AgentId | None:
        """Return the chosen candidate, ``None`` if all are overloaded."""


class AffinityCore(FlowMoveMixin):
    """Owns flows, and is the authority for the slots whose home it is.

    Call :meth:`tick` at least every 100 ms. Relayed packets and messages are
    to be sent to :meth:`address_of` their receiver, which may be missing from
    the view.

    :param own_info: address and identity of this agent for other agents.
    :param number: number of the service.
    :param placement: chooses the owners of new flows.
    :param accepts_flow: returns whether this agent has capacity for a new
        flow at a time.
    :param opens_flow: returns whether a packet with this payload can open a
        flow. Other packets of unknown flows are dropped: an acknowledgement
        for an agent that is wrongly considered lost must not give its flow
        another owner.
    """

    def __init__(
        self,
        own_info: PeerInfo,
        number: ServiceNumber,
        placement: Placement,
        accepts_flow: Callable[[float], bool] = lambda now: True,
        opens_flow: Callable[[Any], bool] = lambda payload: True,
    ):
        self._self_id = own_info.agent_id
        self._own_info = own_info
        self._number = number
        self._placement = placement
        self._accepts_flow = accepts_flow
        self._opens_flow = opens_flow
        self._flows = OwnedFlows()
        self._releases = Releases()
        self._transfer = SlotTransfer(own_info, number, self._flows)
        self._slots = self._transfer.slots
        self._directory = self._transfer.directory
        self._peers = self._transfer.peers
        self._held_packets = HeldPackets()
        self._moves = Moves()
        self._excluded_by_flow: dict[FlowId, tuple[set[AgentId], float]] = {}
        self._view: ServiceView | None = None
        self._active: list[AgentId] = []
        self._is_draining = False
        self._is_out = False
        self._is_paused = False
        self._is_exported = False
        self._effects: list[Effect] = []
        self._report_timer = Timer(REPORT_INTERVAL_S)
        self._handlers: dict[type, Callable] = {
            SlotPull: self._transfer.on_pull,
            SlotEntries: self._transfer.on_entries,
            SlotHeld: self._transfer.on_held,
            SlotOffer: self._transfer.on_offer,
            SlotQuery: self._transfer.on_query,
            FlowReleased: self._on_released,
            FlowReleasedAck: self._on_released_ack,
            FlowClaim: self._on_claim,
            FlowConflict: self._on_conflict,
            FlowMove: self._on_move,
            FlowMoved: self._on_moved,
            FlowRedirect: self._on_redirect,
            FlowRedirected: self._on_redirected,
        }

    @property
    def counts(self) -> Counter[str]:
        """Counters of rare events, such as conflicts and unreachable peers."""
        return self._transfer.counts

    @property
    def flow_count(self) -> int:
        """Number of owned flows."""
        return len(self._flows)

    @property
    def exception_count(self) -> int:
        """Number of exceptions: flows in the directory.

        They are in slots of this agent and are owned by other agents.
        """
        return len(self._directory)

    @property
    def is_draining(self) -> bool:
        """Whether this agent adopts no new flows."""
        return self._is_draining

    def owns(self, flow: FlowId) -> bool:
        """Return whether this agent owns a flow."""
        return flow in self._flows

    def flows(self) -> list[FlowId]:
        """Return the owned flows."""
        return list(self._flows.last_activity_by_flow)

    def address_of(self, agent: AgentId) -> Address | None:
        """Return the address of an agent, ``None`` if it is unknown."""
        return self._peers.address_of(agent)

    def agent_at(self, address: Address) -> AgentId | None:
        """Return the agent that sends from an address."""
        return self._peers.agent_at(address)

    def on_view(self, view: ServiceView, now: float) -> list[Effect]:
        """Apply a view from the parent; older views are ignored."""
        if self._is_exported or (
            self._view is not None and view.version <= self._view.version
        ):
            return []
        self._apply_view(view, now)
        return self._take_effects(now)

    def _apply_view(self, view: ServiceView, now: float) -> None:
        is_resumed = self._is_paused
        self._view = view
        self._is_paused = False
        self._is_out = self._own_info.datacentre in view.datacentres_out
        own = {record.agent_id: record for record in view.agents}.get(
            self._self_id
        )
        if own is not None and own.state is not MemberState.ACTIVE:
            self._is_draining = True
        self._active = [
            record.agent_id
            for record in eligible_agents(view.agents, view.datacentres_out)
            if record.state is MemberState.ACTIVE
        ]
        self._transfer.set_view(view, is_resumed, now)
        if self._is_out:
            self._close_all_flows()
        self._transfer.changed_slots.update(self._held_packets.slots())

    def _close_all_flows(self) -> None:
        """Close all flows and give up all slots.

        Called when the data centre of this agent is out of service.
        """
        self._slots.give_up_claimed_slots()
        self._directory.clear_all()
        self._transfer.conflicts.by_flow.clear()
        self._effects.extend(map(CloseFlow, self._flows.clear()))

    def set_draining(self) -> None:
        """Adopt no new flows from now on; keep owned flows."""
        self._is_draining = True

    def on_paused(self, now: float) -> None:
        """Hold all packets until the next view.

        :param now: time in seconds at which the agent noticed that the
            process had been paused for longer than its lease.
        """
        self._is_paused = True

    def export(self, now: float) -> list[Any]:
        """Return the state for a successor process, and stop acting on it.

        Packets that arrive later are held; see :meth:`take_held_packets`.

        :returns: control messages for :meth:`restore`.
        """
        self._is_exported = True
        state = list(
            export_state(self._flows, self._releases, self._transfer, now)
        )
        return [*state, self._view] if self._view else state

    def restore(self, messages: list[Any], now: float) -> list[Effect]:
        """Restore the state of a predecessor with the same agent id."""
        unsettled = restore_state(
            messages,
            self._number,
            self._flows,
            self._releases,
            self._transfer,
            now,
        )
        for message in messages:
            if isinstance(message, ServiceView):
                self._apply_view(message, now)
        self._transfer.claim_slots(unsettled, now)
        return self._take_effects(now)

    def take_held_packets(self) -> list[Packet]:
        """Remove and return the held packets, which must be resent."""
        return [
            held.packet
            for slot in self._held_packets.slots()
            for held in self._held_packets.take(slot)
        ]

    def on_packet(self, packet: Packet, now: float) -> list[Effect]:
        """Deliver, relay, hold or drop a packet from a balancer or agent."""
        last_activity_by_flow = self._flows.last_activity_by_flow
        is_own = (
            packet.flow in last_activity_by_flow
            and packet.flow not in self._moves.targets
        )
        if is_own and not self._is_paused:
            last_activity_by_flow[packet.flow] = now
            return [Deliver(packet, False)]
        self._route_packet(packet, now, now + HOLD_TIMEOUT_S)
        return self._take_effects(now)

    def record_activity(self, flow: FlowId, now: float) -> None:
        """Record a datagram from the upstream; the flow is not idle."""
        if flow in self._flows.last_activity_by_flow:
            self._flows.last_activity_by_flow[flow] = now

    def _take_effects(self, now: float) -> list[Effect]:
        """Route held packets of changed slots again; return all effects."""
        changed = self._transfer.changed_slots
        while changed:
            for packet, deadline in self._held_packets.take(changed.pop()):
                self._route_packet(packet, now, deadline)
        effects = self._effects + self._transfer.outbox
        self._effects = []
        self._transfer.outbox.clear()
        return effects

    def _drop_packet(self, packet: Packet, reason: DropReason) -> None:
        self._effects.append(Drop(packet, reason))

    def _hold_packet(self, packet: Packet, slot: int, deadline: float) -> None:
        if not self._held_packets.add(slot, packet, deadline):
            self._drop_packet(packet, DropReason.BUFFER_FULL)

    def _relay_packet(
        self,
        to: AgentId,
        packet: Packet,
        is_adoption: bool = False,
        is_refusal: bool = False,
        term: int = 0,
    ) -> None:
        if packet.hops >= MAX_HOPS:
            self._drop_packet(packet, DropReason.HOP_LIMIT)
            return
        relayed = packet._replace(
            hops=packet.hops + 1,
            is_adoption=is_adoption,
            is_refusal=is_refusal,
            term=term & TERM_MASK,
        )
        self._effects.append(Relay(to, relayed, is_adoption))

    def _route_packet(
        self, packet: Packet, now: float, deadline: float
    ) -> None:
        """Route a packet that cannot be delivered at once.

        :param deadline: time until which the packet may be held, in seconds.
        """
        slot = slot_of(self._number, packet.flow)
        if self._is_out:
            self._drop_packet(packet, DropReason.DATACENTRE_OUT)
        elif self._is_paused or self._is_exported:
            # During the pause the authority may have placed the flow at
            # another agent, so the adoption is no longer valid.
            self._hold_packet(
                packet._replace(is_adoption=False), slot, deadline
            )
        elif self._has_moved(packet.flow):
            if packet.is_adoption:
                # The authority has recorded this agent as the owner, for
                # example after a late redirect.
                self._moves.resend_redirect(packet.flow, now)
            self._relay_packet(self._moves.targets[packet.flow], packet)
        elif packet.flow in self._flows:
            self._flows.last_activity_by_flow[packet.flow] = now
            self._effects.append(Deliver(packet, False))
        elif self._view is None:
            self._hold_packet(packet, slot, deadline)
        elif packet.is_adoption and self._on_adoption(packet, slot, now):
            pass
        elif self._slots.state[slot] is SlotState.AUTHORITATIVE:
            self._route_as_authority(packet, slot, now)
        elif self._slots.state[slot] is SlotState.PENDING:
            owner = self._directory.get(slot, packet.flow)
            if owner is None or owner == packet.sender:
                self._hold_packet(packet, slot, deadline)
            else:
                self._relay_packet(owner, packet)
        else:
            self._relay_to_authority(packet, slot, now, deadline)

    def _has_moved(self, flow: FlowId) -> bool:
        """Return whether a flow was moved to an agent that is reachable.

        It is also true while this agent still owns a flow that it is moving.
        """
        target = self._moves.targets.get(flow)
        if target is None:
            return False
        if flow in self._flows or self._peers.is_reachable(target):
            return True
        # The receiver is lost; the authority must choose another owner.
        self._moves.forget(flow)
        return False

    def _on_adoption(self, packet: Packet, slot: int, now: float) -> bool:
        """Adopt or refuse a flow that the authority placed at this agent.

        :returns: false if the sender is not the agent to which this agent
            has promised the slot; the packet is then routed as any other.
        """
        if not self._slots.is_valid_adoption(slot, packet.sender, packet.term):
            return False
        if (
            self._is_draining
            or self._flows.is_refused(packet.flow, now)
            or not self._accepts_flow(now)
        ):
            # Later copies are refused too: the authority chooses another
            # owner when it receives the first refusal.
            self._flows.refuse(packet.flow, now)
            self._relay_packet(
                packet.sender, packet, is_refusal=True, term=packet.term
            )
            return True
        self._adopt_flow(packet, slot, now)
        return True

    def _adopt_flow(self, packet: Packet, slot: int, now: float) -> None:
        self._flows.add(packet.flow, slot, self._view.version, now)
        self._releases.cancel(packet.flow)
        self._directory.remove(slot, packet.flow)
        self._effects.append(Deliver(packet, True))

    def _route_as_authority(
        self, packet: Packet, slot: int, now: float
    ) -> None:
        owner = self._directory.get(slot, packet.flow)
        term = self._slots.term[slot]
        if owner is not None and owner != packet.sender:
            # The owner adopts the flow with this packet if the first packet
            # with the adoption flag was lost.
            self._relay_packet(owner, packet, is_adoption=True, term=term)
            return
        if owner is not None:
            if not packet.is_refusal or packet.term != term & TERM_MASK:
                self._drop_packet(packet, DropReason.BOUNCED)
                return
            self._directory.remove(slot, packet.flow)
            self._exclude_agent(packet.flow, owner, now)
            remaining_owner = self._transfer.conflicts.remove_owner(
                packet.flow, owner
            )
            if remaining_owner is not None:
                self._directory.set(slot, packet.flow, remaining_owner)
                self._relay_packet(
                    remaining_owner, packet, is_adoption=True, term=term
                )
                return
        self._place_flow(packet, slot, now)

    def _exclude_agent(self, flow: FlowId, agent: AgentId, now: float) -> None:
        agents, _ = self._excluded_by_flow.get(flow, (set(), 0.0))
        self._excluded_by_flow[flow] = (
            agents | {agent},
            now + EXCLUSION_PERIOD_S,
        )

    def _place_flow(self, packet: Packet, slot: int, now: float) -> None:
        """Choose the owner of an unknown flow, and give it the packet."""
        if not self._opens_flow(packet.payload):
            self._drop_packet(packet, DropReason.NO_FLOW)
            return
        excluded, _ = self._excluded_by_flow.get(packet.flow, (set(), 0.0))
        candidates = [
            agent
            for agent in self._active
            if agent not in excluded
            and (
                self._can_adopt_flow(now)
                if agent == self._self_id
                else self._peers.is_reachable(agent)
            )
        ]
        owner = (
            self._placement.choose_owner(self._self_id, candidates, now)
            if candidates
            else None
        )
        if owner is None:
            self._drop_packet(packet, DropReason.NO_CANDIDATE)
        elif owner == self._self_id:
            self._adopt_flow(packet, slot, now)
        else:
            self._directory.set(slot, packet.flow, owner)
            self._relay_packet(
                owner, packet, is_adoption=True, term=self._slots.term[slot]
            )

    def _can_adopt_flow(self, now: float) -> bool:
        return not self._is_draining and self._accepts_flow(now)

    def _relay_to_authority(
        self, packet: Packet, slot: int, now: float, deadline: float
    ) -> None:
        """Relay a packet of an unknown flow towards the authority."""
        holder = self._slots.holder[slot]
        home = self._transfer.table.home(slot)
        for target in (holder, home):
            # An invalid adoption is sent back: its sender knows the owner.
            is_back = target == packet.sender and not packet.is_adoption
            if not is_back and self._peers.is_reachable(target):
                self._relay_packet(target, packet)
                return
        if home == self._self_id:
            # The holder of the promise sent this unknown flow back, so it
            # is not the authority, and neither is any other agent.
            self._transfer.claim_slots([slot], now)
            self._hold_packet(packet, slot, deadline)
        else:
            self._drop_packet(packet, DropReason.NO_HOME)

    def close_flow(self, flow: FlowId, now: float) -> list[Effect]:
        """End an owned flow at the request of its gate."""
        if flow in self._flows:
            self._end_flow(flow, now)
        return self._take_effects(now)

    def _end_flow(self, flow: FlowId, now: float) -> None:
        slot = slot_of(self._number, flow)
        self._flows.remove(flow, slot)
        self._flows.refuse(flow, now)
        authority = self._authority_to_notify(slot)
        if authority is not None:
            self._releases.add(authority, flow)

    def _authority_to_notify(self, slot: int) -> AgentId | None:
        """Return the agent to inform about owners in a slot.

        :returns: ``None`` if this agent itself claims the slot, or if no
            holder of the slot is reachable.
        """
        if self._slots.state[slot] is not SlotState.OTHER:
            return None
        for agent in (
            self._slots.holder[slot],
            self._transfer.table.home(slot),
        ):
            if self._peers.is_reachable(agent):
                return agent
        return None

    def on_message(
        self, sender: AgentId | None, message: Any, now: float
    ) -> list[Effect]:
        """Handle a message of another agent.

        :param sender: the agent, ``None`` if the source address belongs to
            no known agent; the message must then name its sender.
        :param message: a message of this package; others are ignored.
        :param now: time in seconds.
        """
        handler = self._handlers.get(type(message))
        info = getattr(message, 'sender', None)
        if sender is None and info is not None:
            sender = info.agent_id
        if handler is None or sender is None or self._is_exported:
            self.counts['ignored_messages'] += 1
            return []
        if self._peers.record_message(sender, info):
            self._transfer.on_peer_appeared(sender, now)
        handler(sender, message, now)
        return self._take_effects(now)

    def _on_released(
        self, sender: AgentId, message: FlowReleased, now: float
    ) -> None:
        for flow in unpack_flows(message.flows):
            slot = slot_of(self._number, flow)
            remaining_owner = self._transfer.conflicts.remove_owner(
                flow, sender
            )
            if remaining_owner is not None:
                self._transfer.record_owner(
                    slot, flow, remaining_owner, former=sender
                )
            elif self._directory.get(slot, flow) == sender:
                self._directory.remove(slot, flow)
        self._transfer.send(sender, FlowReleasedAck(message.flows))

    def _on_released_ack(
        self, sender: AgentId, message: FlowReleasedAck, now: float
    ) -> None:
        self._releases.record_confirmation(sender, unpack_flows(message.flows))

    def _on_conflict(
        self, sender: AgentId, message: FlowConflict, now: float
    ) -> None:
        """Send a claim of a flow to another owner, as the authority asked."""
        if not self._owns_unmoved(message.flow):
            self._transfer.send(sender, FlowReleased(message.flow))
            return
        rival = message.rival
        if self._peers.add_hinted(rival):
            self._transfer.on_peer_appeared(rival.agent_id, now)
        self._claim(message.flow, rival.agent_id)

    def _claim(self, flow: FlowId, rival: AgentId) -> None:
        version = self._flows.view_version_by_flow[flow]
        self._transfer.send(rival, FlowClaim(flow, version))

    def _on_claim(
        self, sender: AgentId, message: FlowClaim, now: float
    ) -> None:
        """Close the flow here, or send a claim, if both agents own it.

        The agent that adopted the flow at the later view keeps it; at the
        same view the greater agent id decides.
        """
        flow = message.flow
        if not self._owns_unmoved(flow):
            self._transfer.send(sender, FlowReleased(flow))
            # The sender may not be the authority, which would otherwise
            # repeat the conflict for ever.
            authority = self._authority_to_notify(slot_of(self._number, flow))
            if authority not in (None, sender):
                self._transfer.send(authority, FlowReleased(flow))
            return
        own = self._flows.view_version_by_flow[flow], self._self_id
        if own > (message.view_version, sender):
            self._claim(flow, sender)
            return
        slot = slot_of(self._number, flow)
        self._end_flow(flow, now)
        self._effects.append(CloseFlow(flow))
        if self._slots.state[slot] is not SlotState.OTHER:
            self._transfer.conflicts.remove_owner(flow, self._self_id)
            self._directory.set(slot, flow, sender)

    def tick(self, now: float) -> list[Effect]:
        """Send due messages, drop expired packets and close idle flows.

        It must be called at least every 100 ms.
        """
        for packet in self._held_packets.expire(now):
            self._drop_packet(packet, DropReason.HELD_TOO_LONG)
        if not self._is_exported:
            self._transfer.tick(now)
            self._send_moves(now)
            if self._report_timer.is_due(now):
                self._send_reports(now)
            self._close_idle(now)
        return self._take_effects(now)

    def _send_reports(self, now: float) -> None:
        """Report ended flows and conflicts until they are resolved."""
        self._flows.expire_refusals(now)
        self._excluded_by_flow = {
            flow: (agents, until)
            for flow, (agents, until) in self._excluded_by_flow.items()
            if until > now
        }
        for agent, flows in self._releases.next_attempts(MAX_RELEASE_ATTEMPTS):
            for batch in batches(flows, MAX_MESSAGE_FLOWS):
                self._transfer.send(agent, FlowReleased(pack_flows(batch)))
        conflicts = self._transfer.conflicts
        for flow, conflict in list(conflicts.by_flow.items()):
            first, *rivals = conflict.owners
            if self._self_id in conflict.owners and flow not in self._flows:
                conflicts.remove_owner(flow, self._self_id)
                continue
            for rival in rivals:
                self._report_conflict(flow, first, rival)

    def _report_conflict(
        self, flow: FlowId, first: AgentId, rival: AgentId
    ) -> None:
        """Let two owners of a flow agree which one closes it."""
        if first == self._self_id:
            self._claim(flow, rival)
        elif rival == self._self_id:
            self._claim(flow, first)
        elif self._peers.is_reachable(rival):
            info = self._peers.by_id[rival].info
            self._transfer.send(first, FlowConflict(flow, info))

    def _close_idle(self, now: float) -> None:
        if self._view is None or self._is_paused:
            return
        entry = self._view.entry
        timeout_s = entry.idle_timeout_s if entry else DEFAULT_IDLE_TIMEOUT_S
        for flow in self._flows.idle_flows(timeout_s, now):
            self._end_flow(flow, now)
            self._effects.append(CloseFlow(flow))
