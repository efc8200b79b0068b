"""Decides for each packet at an agent which agent owns its flow."""

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
from ibispitch.affinity.held import HeldPackets
from ibispitch.affinity.held import HOLD_S
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
from ibispitch.affinity.moves import Moves
from ibispitch.affinity.moving import MovingSide
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

#: An agent that refused a flow is not chosen for it again for this long;
#: longer than the agent itself remembers the refusal.
EXCLUSION_S = 10.0

#: Ends of flows and conflicts are reported together this often; an agent
#: with some peers would spend its 4 KB/s on headers at a few reports a
#: second. The last attempt must be some seconds before the agent may adopt
#: the flow again, since it would make the authority forget the new owner.
REPORT_INTERVAL_S = 1.0
RELEASE_ATTEMPTS = 4

DEFAULT_IDLE_TIMEOUT_S = 600.0


class Placement(Protocol):
    """Chooses the owner of a new flow by load."""

    def choose_owner(
        self, self_id: AgentId, candidates: Sequence[AgentId], now: float
    ) -> AgentId | None:
        """Return one of the candidates, ``None`` if none can bear it."""


class AffinityCore(MovingSide):
    """Owner of flows, and authority for the slots whose home it is.

    Call :meth:`tick` at least every 100 ms. Relays and messages go to
    :meth:`address_of` their receiver, which need not be in the view.

    :param own_info: how other agents reach this one.
    :param number: number of the service.
    :param placement: chooses the owners of new flows.
    :param accepts_flow: returns whether this agent has capacity for a new
        flow at a time.
    :param opens_flow: tells whether the payload of a packet can open a flow.
        Others are dropped instead of adopted: an acknowledgement for an agent
        that is thought lost must not give its flow another owner.
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
        self._own = own_info
        self._number = number
        self._placement = placement
        self._accepts = accepts_flow
        self._opens_flow = opens_flow
        self._flows = OwnedFlows()
        self._releases = Releases()
        self._transfer = SlotTransfer(own_info, number, self._flows)
        self._slots = self._transfer.slots
        self._directory = self._transfer.directory
        self._peers = self._transfer.peers
        self._held = HeldPackets()
        self._moves = Moves()
        self._excluded: dict[FlowId, tuple[set[AgentId], float]] = {}
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
        """Peers that were cut off, conflicts, and the like."""
        return self._transfer.counts

    @property
    def flow_count(self) -> int:
        """Number of owned flows."""
        return len(self._flows)

    @property
    def exception_count(self) -> int:
        """Number of flows in the directory."""
        return len(self._directory)

    @property
    def is_draining(self) -> bool:
        """Whether this agent adopts no new flows."""
        return self._is_draining

    def owns(self, flow: FlowId) -> bool:
        """Tell whether this agent owns a flow."""
        return flow in self._flows

    def flows(self) -> list[FlowId]:
        """Return the owned flows."""
        return list(self._flows.heard)

    def address_of(self, agent: AgentId) -> Address | None:
        """Return where an agent is reached, ``None`` if it is unknown."""
        return self._peers.address_of(agent)

    def agent_at(self, address: Address) -> AgentId | None:
        """Return the agent that sends from an address."""
        return self._peers.agent_at(address)

    def on_view(self, view: ServiceView, now: float) -> list[Effect]:
        """Take over a view from the parent; older ones are ignored."""
        if self._is_exported or (
            self._view is not None and view.version <= self._view.version
        ):
            return []
        self._take_view(view, now)
        return self._finish(now)

    def _take_view(self, view: ServiceView, now: float) -> None:
        is_resumed = self._is_paused
        self._view = view
        self._is_paused = False
        self._is_out = self._own.datacentre in view.datacentres_out
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
            self._close_all()
        self._transfer.changed.update(self._held.slots())

    def _close_all(self) -> None:
        """Give up all flows and slots, as the data centre is out."""
        self._slots.abandon()
        self._directory.clear_all()
        self._transfer.conflicts.by_flow.clear()
        self._effects.extend(map(CloseFlow, self._flows.clear()))

    def set_draining(self) -> None:
        """Adopt no new flows from now on; owned flows stay."""
        self._is_draining = True

    def on_paused(self, now: float) -> None:
        """Hold all packets until a new view.

        :param now: time in seconds at which the agent found that it was
            paused for longer than its lease.
        """
        self._is_paused = True

    def export(self, now: float) -> list[Any]:
        """Return the state for a successor process, and stop acting.

        :returns: control messages for :meth:`restore`. Packets that come
            later are held; see :meth:`take_held_packets`.
        """
        self._is_exported = True
        state = list(
            export_state(self._flows, self._releases, self._transfer, now)
        )
        return [*state, self._view] if self._view else state

    def restore(self, messages: list[Any], now: float) -> list[Effect]:
        """Take over the state of a predecessor with the same agent id."""
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
                self._take_view(message, now)
        self._transfer.start(unsettled, now)
        return self._finish(now)

    def take_held_packets(self) -> list[Packet]:
        """Remove and return the held packets, to send them again."""
        return [
            held.packet
            for slot in self._held.slots()
            for held in self._held.take(slot)
        ]

    def on_packet(self, packet: Packet, now: float) -> list[Effect]:
        """Decide on a packet from a balancer or another agent."""
        heard = self._flows.heard
        is_own = (
            packet.flow in heard and packet.flow not in self._moves.targets
        )
        if is_own and not self._is_paused:
            heard[packet.flow] = now
            return [Deliver(packet, False)]
        self._route(packet, now, now + HOLD_S)
        return self._finish(now)

    def record_activity(self, flow: FlowId, now: float) -> None:
        """Note a datagram from the upstream, so that the flow stays."""
        if flow in self._flows.heard:
            self._flows.heard[flow] = now

    def _finish(self, now: float) -> list[Effect]:
        """Route held packets again where it may help; return the effects."""
        changed = self._transfer.changed
        while changed:
            for packet, until in self._held.take(changed.pop()):
                self._route(packet, now, until)
        effects = self._effects + self._transfer.outbox
        self._effects = []
        self._transfer.outbox.clear()
        return effects

    def _drop(self, packet: Packet, reason: DropReason) -> None:
        self._effects.append(Drop(packet, reason))

    def _hold(self, packet: Packet, slot: int, until: float) -> None:
        if not self._held.add(slot, packet, until):
            self._drop(packet, DropReason.BUFFER_FULL)

    def _relay(
        self,
        to: AgentId,
        packet: Packet,
        adopt: bool = False,
        refused: bool = False,
        term: int = 0,
    ) -> None:
        if packet.hops >= MAX_HOPS:
            self._drop(packet, DropReason.HOP_LIMIT)
            return
        relayed = packet._replace(
            hops=packet.hops + 1,
            adopt=adopt,
            is_refusal=refused,
            term=term & TERM_MASK,
        )
        self._effects.append(Relay(to, relayed, adopt))

    def _route(self, packet: Packet, now: float, until: float) -> None:
        """Decide on a packet whose flow is not known to be owned here.

        :param until: time until which it may be held, in seconds.
        """
        slot = slot_of(self._number, packet.flow)
        if self._is_out:
            self._drop(packet, DropReason.DATACENTRE_OUT)
        elif self._is_paused or self._is_exported:
            # During the pause the authority may have placed the flow
            # elsewhere, so that the adoption is void.
            self._hold(packet._replace(adopt=False), slot, until)
        elif self._has_moved(packet.flow):
            if packet.adopt:
                # The authority takes this agent for the owner, as after a
                # redirect that came late.
                self._moves.redirect_again(packet.flow, now)
            self._relay(self._moves.targets[packet.flow], packet)
        elif packet.flow in self._flows:
            self._flows.heard[packet.flow] = now
            self._effects.append(Deliver(packet, False))
        elif self._view is None:
            self._hold(packet, slot, until)
        elif packet.adopt and self._on_adoption(packet, slot, now):
            pass
        elif self._slots.state[slot] is SlotState.AUTHORITATIVE:
            self._route_as_authority(packet, slot, now)
        elif self._slots.state[slot] is SlotState.PENDING:
            owner = self._directory.get(slot, packet.flow)
            if owner is None or owner == packet.sender:
                self._hold(packet, slot, until)
            else:
                self._relay(owner, packet)
        else:
            self._forward(packet, slot, now, until)

    def _has_moved(self, flow: FlowId) -> bool:
        """Tell whether packets of a flow go to the receiver of its move."""
        target = self._moves.targets.get(flow)
        if target is None:
            return False
        if flow in self._flows or self._peers.is_reachable(target):
            return True
        # The receiver is gone, so that the authority places the flow anew.
        self._moves.forget(flow)
        return False

    def _on_adoption(self, packet: Packet, slot: int, now: float) -> bool:
        """Adopt or refuse a flow that an authority placed here.

        :returns: false if the packet does not come from the agent that the
            slot is promised to; it is then like any other packet.
        """
        if not self._slots.admits(slot, packet.sender, packet.term):
            return False
        if (
            self._is_draining
            or self._flows.is_refused(packet.flow, now)
            or not self._accepts(now)
        ):
            # Later copies are refused too: the authority places the flow
            # elsewhere when the first refusal reaches it.
            self._flows.refuse(packet.flow, now)
            self._relay(packet.sender, packet, refused=True, term=packet.term)
            return True
        self._adopt(packet, slot, now)
        return True

    def _adopt(self, packet: Packet, slot: int, now: float) -> None:
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
            # The flag lets the owner adopt the flow if the packet that
            # placed it was lost.
            self._relay(owner, packet, adopt=True, term=term)
            return
        if owner is not None:
            if not packet.is_refusal or packet.term != term & TERM_MASK:
                self._drop(packet, DropReason.BOUNCED)
                return
            self._directory.remove(slot, packet.flow)
            self._exclude(packet.flow, owner, now)
            winner = self._transfer.conflicts.settle(packet.flow, owner)
            if winner is not None:
                self._directory.set(slot, packet.flow, winner)
                self._relay(winner, packet, adopt=True, term=term)
                return
        self._place(packet, slot, now)

    def _exclude(self, flow: FlowId, agent: AgentId, now: float) -> None:
        agents, _ = self._excluded.get(flow, (set(), 0.0))
        self._excluded[flow] = agents | {agent}, now + EXCLUSION_S

    def _place(self, packet: Packet, slot: int, now: float) -> None:
        """Choose the owner of an unknown flow."""
        if not self._opens_flow(packet.payload):
            self._drop(packet, DropReason.NO_FLOW)
            return
        excluded, _ = self._excluded.get(packet.flow, (set(), 0.0))
        candidates = [
            agent
            for agent in self._active
            if agent not in excluded
            and (
                self._bears_new_flow(now)
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
            self._drop(packet, DropReason.NO_CANDIDATE)
        elif owner == self._self_id:
            self._adopt(packet, slot, now)
        else:
            self._directory.set(slot, packet.flow, owner)
            self._relay(owner, packet, adopt=True, term=self._slots.term[slot])

    def _bears_new_flow(self, now: float) -> bool:
        return not self._is_draining and self._accepts(now)

    def _forward(
        self, packet: Packet, slot: int, now: float, until: float
    ) -> None:
        """Relay a packet of an unknown flow towards the authority."""
        holder = self._slots.holder[slot]
        home = self._transfer.table.home(slot)
        for target in (holder, home):
            # A void adoption goes back, since its sender knows the owner.
            is_back = target == packet.sender and not packet.adopt
            if not is_back and self._peers.is_reachable(target):
                self._relay(target, packet)
                return
        if home == self._self_id:
            # The holder of the promise relays unknown flows back, so that
            # no agent has the authority.
            self._transfer.start([slot], now)
            self._hold(packet, slot, until)
        else:
            self._drop(packet, DropReason.NO_HOME)

    def close_flow(self, flow: FlowId, now: float) -> list[Effect]:
        """End an owned flow, as its gate asks."""
        if flow in self._flows:
            self._end(flow, now)
        return self._finish(now)

    def _end(self, flow: FlowId, now: float) -> None:
        slot = slot_of(self._number, flow)
        self._flows.remove(flow, slot)
        self._flows.refuse(flow, now)
        authority = self._authority(slot)
        if authority is not None:
            self._releases.add(authority, flow)

    def _authority(self, slot: int) -> AgentId | None:
        """Return the agent that is to learn of owners in a slot of others."""
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

        :param sender: the agent, ``None`` if the source address is of no
            known agent; the message must then name its sender.
        :param message: a message of this slice; others are ignored.
        :param now: time in seconds.
        """
        handler = self._handlers.get(type(message))
        info = getattr(message, 'sender', None)
        if sender is None and info is not None:
            sender = info.agent_id
        if handler is None or sender is None or self._is_exported:
            self.counts['ignored_messages'] += 1
            return []
        if self._peers.heard(sender, info):
            self._transfer.appeared(sender, now)
        handler(sender, message, now)
        return self._finish(now)

    def _on_released(
        self, sender: AgentId, message: FlowReleased, now: float
    ) -> None:
        for flow in unpack_flows(message.flows):
            slot = slot_of(self._number, flow)
            winner = self._transfer.conflicts.settle(flow, sender)
            if winner is not None:
                self._transfer.learn(slot, flow, winner, loser=sender)
            elif self._directory.get(slot, flow) == sender:
                self._directory.remove(slot, flow)
        self._transfer.send(sender, FlowReleasedAck(message.flows))

    def _on_released_ack(
        self, sender: AgentId, message: FlowReleasedAck, now: float
    ) -> None:
        self._releases.confirmed(sender, unpack_flows(message.flows))

    def _on_conflict(
        self, sender: AgentId, message: FlowConflict, now: float
    ) -> None:
        """Claim a flow towards another owner, as the authority asks."""
        if not self._keeps(message.flow):
            self._transfer.send(sender, FlowReleased(message.flow))
            return
        rival = message.rival
        if self._peers.hint(rival):
            self._transfer.appeared(rival.agent_id, now)
        self._claim(message.flow, rival.agent_id)

    def _claim(self, flow: FlowId, rival: AgentId) -> None:
        version = self._flows.version[flow]
        self._transfer.send(rival, FlowClaim(flow, version))

    def _on_claim(
        self, sender: AgentId, message: FlowClaim, now: float
    ) -> None:
        """Close the own copy of a flow if the other one survives."""
        flow = message.flow
        if not self._keeps(flow):
            self._transfer.send(sender, FlowReleased(flow))
            # The sender need not be the authority, which would repeat the
            # conflict for ever.
            authority = self._authority(slot_of(self._number, flow))
            if authority not in (None, sender):
                self._transfer.send(authority, FlowReleased(flow))
            return
        own = self._flows.version[flow], self._self_id
        if own > (message.view_version, sender):
            self._claim(flow, sender)
            return
        slot = slot_of(self._number, flow)
        self._end(flow, now)
        self._effects.append(CloseFlow(flow))
        if self._slots.state[slot] is not SlotState.OTHER:
            self._transfer.conflicts.settle(flow, self._self_id)
            self._directory.set(slot, flow, sender)

    def tick(self, now: float) -> list[Effect]:
        """Do what is due; call it at least every 100 ms."""
        for packet in self._held.expire(now):
            self._drop(packet, DropReason.HELD_TOO_LONG)
        if not self._is_exported:
            self._transfer.tick(now)
            self._send_moves(now)
            if self._report_timer.is_due(now):
                self._report(now)
            self._close_idle(now)
        return self._finish(now)

    def _report(self, now: float) -> None:
        """Report ended flows and conflicts until they are settled."""
        self._flows.expire_refusals(now)
        self._excluded = {
            flow: (agents, until)
            for flow, (agents, until) in self._excluded.items()
            if until > now
        }
        for agent, flows in self._releases.due(RELEASE_ATTEMPTS):
            for batch in batches(flows, MAX_MESSAGE_FLOWS):
                self._transfer.send(agent, FlowReleased(pack_flows(batch)))
        conflicts = self._transfer.conflicts
        for flow, conflict in list(conflicts.by_flow.items()):
            first, *rivals = conflict.owners
            if self._self_id in conflict.owners and flow not in self._flows:
                conflicts.settle(flow, self._self_id)
                continue
            for rival in rivals:
                self._report_conflict(flow, first, rival)

    def _report_conflict(
        self, flow: FlowId, first: AgentId, rival: AgentId
    ) -> None:
        """Make two owners of a flow settle which one closes it."""
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
        for flow in self._flows.idle(timeout_s, now):
            self._end(flow, now)
            self._effects.append(CloseFlow(flow))
