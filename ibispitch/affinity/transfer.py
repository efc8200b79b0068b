"""Transfer of the authority over slots between agents.

An agent that becomes the home of slots claims them under a new term and
sends pulls to all agents that it knows. It may place unknown flows only when
each of these agents has promised it the slots and listed its flows in them.
"""

from collections import Counter
from collections import defaultdict
from collections.abc import Collection
from collections.abc import Iterable
from typing import Any

from ibispitch.affinity.conflicts import Conflicts
from ibispitch.affinity.directory import Directory
from ibispitch.affinity.effects import SendMessage
from ibispitch.affinity.flows import OwnedFlows
from ibispitch.affinity.messages import batches
from ibispitch.affinity.messages import MAX_MESSAGE_FLOWS
from ibispitch.affinity.messages import MAX_MESSAGE_PEERS
from ibispitch.affinity.messages import pack_flows
from ibispitch.affinity.messages import pack_slots
from ibispitch.affinity.messages import PeerInfo
from ibispitch.affinity.messages import SlotEntries
from ibispitch.affinity.messages import SlotHeld
from ibispitch.affinity.messages import SlotOffer
from ibispitch.affinity.messages import SlotPull
from ibispitch.affinity.messages import SlotQuery
from ibispitch.affinity.messages import unpack_flows
from ibispitch.affinity.messages import unpack_slots
from ibispitch.affinity.peers import PeerSet
from ibispitch.affinity.slots import SlotState
from ibispitch.affinity.slots import SlotStates
from ibispitch.ids import AgentId
from ibispitch.ids import FlowId
from ibispitch.ids import ServiceNumber
from ibispitch.membership.records import ServiceView
from ibispitch.routing import eligible_agents
from ibispitch.routing import slot_of
from ibispitch.routing import SlotTable

#: Pulls are repeated at this interval until they are answered, since
#: messages may be lost.
PULL_INTERVAL_S = 0.2

#: Interval of the probes of peers outside the view.
PROBE_INTERVAL_S = 0.2

#: Interval of the probes of peers that are cut off.
CUT_OFF_PROBE_INTERVAL_S = 1.0

#: Interval at which slots are offered to their homes.
OFFER_INTERVAL_S = 0.5

#: Interval at which a home that has promised its slots to another agent
#: checks that this agent is still the authority.
QUERY_INTERVAL_S = 1.0

#: When a peer has promised a slot under a later term, the puller waits this
#: long for a pull of the holder. After that it considers the promise stale
#: and claims the slot again.
CONTEST_TIMEOUT_S = 0.6


class Timer:
    """Shows when a periodic action is due.

    :param interval_s: time between two actions, in seconds.
    """

    def __init__(self, interval_s: float):
        self._interval_s = interval_s
        self._next = 0.0

    def is_due(self, now: float) -> bool:
        """Return whether the action is due; start the next interval if so."""
        if now < self._next:
            return False
        self._next = now + self._interval_s
        return True


class SlotTransfer:
    """Claims, grants and offers slots.

    :param own_info: identity and address of this agent.
    :param number: number of the service.
    :param flows: the flows that this agent owns.
    """

    def __init__(
        self, own_info: PeerInfo, number: ServiceNumber, flows: OwnedFlows
    ):
        self._own_info = own_info
        self._self_id = own_info.agent_id
        self._number = number
        self._flows = flows
        self.peers = PeerSet(own_info.agent_id)
        self.slots = SlotStates(own_info.agent_id)
        self.table = SlotTable()
        self.directory = Directory()
        self.conflicts = Conflicts()
        #: Slots whose state or directory changed since the core took them.
        self.changed_slots: set[int] = set()
        self.outbox: list[SendMessage] = []
        self.counts: Counter[str] = Counter()
        self._is_out = False
        self._contested_since: dict[int, float] = {}
        self._parts_by_sender_slot: dict[tuple, dict[int, list[FlowId]]] = {}
        self._answer_number = 0
        self._pull_timer = Timer(PULL_INTERVAL_S)
        self._probe_timer = Timer(PROBE_INTERVAL_S)
        self._cut_off_timer = Timer(CUT_OFF_PROBE_INTERVAL_S)
        self._offer_timer = Timer(OFFER_INTERVAL_S)
        self._query_timer = Timer(QUERY_INTERVAL_S)

    def send(self, to: AgentId, message: Any) -> None:
        """Queue a message."""
        self.outbox.append(SendMessage(to, message))

    def set_view(self, view: ServiceView, is_resumed: bool, now: float):
        """Apply a new view.

        :param view: the view.
        :param is_resumed: whether this agent was paused; other agents may
            have claimed its slots in the meantime.
        :param now: time in seconds.
        """
        self._is_out = self._own_info.datacentre in view.datacentres_out
        change = self.peers.set_view(view, now)
        moved = self.table.update(
            record.agent_id
            for record in eligible_agents(view.agents, view.datacentres_out)
        )
        self._forget_agents(change.removed)
        if is_resumed:
            self.slots.drop_all_promises()
            self.claim_slots(self.slots.claimed_slots(), now)
        for peer in change.appeared:
            self.on_peer_appeared(peer, now)
        self.claim_slots(
            [
                slot
                for slot in self._unclaimed_home_slots()
                if slot in moved
                or not self.peers.is_reachable(self.slots.holder[slot])
            ],
            now,
        )

    def _unclaimed_home_slots(self) -> list[int]:
        """Return the slots with this agent as home that it does not claim."""
        index = self.table.index_of(self._self_id)
        if index is None:
            return []
        states = self.slots.state
        return [
            slot
            for slot, home in enumerate(self.table.homes)
            if home == index and states[slot] is SlotState.OTHER
        ]

    def claim_slots(self, slots: Collection[int], now: float) -> None:
        """Claim slots under a new term and send pulls for them."""
        if not slots:
            return
        self.slots.claim(slots, self.peers.reachable())
        self.changed_slots.update(slots)
        for slot in slots:
            self._contested_since.pop(slot, None)
        self._send_pulls(slots, now)

    def on_peer_appeared(self, peer: AgentId, now: float) -> None:
        """Send pulls for all claimed slots to a new or returned peer."""
        if peer in self.peers.restarted:
            self.peers.restarted.discard(peer)
            self.slots.drop_promises_to(peer)
        slots = self.slots.claimed_slots()
        self.slots.add_awaited_peer(slots, peer)
        self._send_pulls(slots, now, only=peer)

    def _send_pulls(
        self, slots: Iterable[int], now: float, only: AgentId | None = None
    ) -> None:
        """Send pulls for those of the slots that are PENDING.

        :param slots: the slots.
        :param now: time in seconds.
        :param only: the only peer to ask, ``None`` for all awaited peers.
        """
        slots_by_request: dict[tuple[AgentId, int], list[int]] = defaultdict(
            list
        )
        for slot in slots:
            for peer in self.slots.awaited_peers.get(slot, ()):
                if only is None or peer == only:
                    slots_by_request[peer, self.slots.term[slot]].append(slot)
        if not slots_by_request:
            return
        known_hashes = self.peers.known_hashes()
        for (peer, term), peer_slots in slots_by_request.items():
            pull = SlotPull(
                term, pack_slots(peer_slots), known_hashes, self._own_info
            )
            self.send(peer, pull)
            self.peers.mark_asked(peer, now)

    def _forget_agents(self, agents: Collection[AgentId]) -> None:
        """Remove agents that left or whose data centre is out of service."""
        if not agents:
            return
        self.directory.remove_agents(agents)
        for slot, flow, owner in self.conflicts.remove_agents(agents):
            if owner != self._self_id:
                self.directory.set(slot, flow, owner)
        for agent in agents:
            self.changed_slots.update(self.slots.stop_waiting_for(agent))

    def on_pull(self, sender: AgentId, pull: SlotPull, now: float) -> None:
        """Promise slots to a puller, or inform it about later promises."""
        self.slots.advance_clock(pull.term)
        if self.peers.is_out(sender):
            # The puller does not know yet that its data centre is out of
            # service. It gets an empty offer and has to wait, since it would
            # have to give up a promise soon.
            self.send(sender, self._make_offer([]))
            return
        granted, refused = [], []
        for slot in unpack_slots(pull.slots):
            was_own = self.slots.state[slot] is not SlotState.OTHER
            if not self.slots.promise(slot, pull.term, sender):
                refused.append(slot)
                continue
            granted.append(slot)
            if was_own:
                self._clear_granted_slot(slot)
        self._send_entries(sender, pull, granted)
        self._send_refusals(sender, refused, now)

    def _clear_granted_slot(self, slot: int) -> None:
        # The directory need not be transferred: each owner lists its flows
        # to the puller, and the hints name all owners.
        self.directory.clear(slot)
        self.conflicts.remove_slot(slot)
        self._contested_since.pop(slot, None)
        self.changed_slots.add(slot)

    def _send_entries(
        self, puller: AgentId, pull: SlotPull, granted: list[int]
    ) -> None:
        """Send the flows of this agent in granted slots, or only hints."""
        hints = self.peers.reachable_unknown_to(pull.known)
        if hints:
            # The puller must know these agents before it has all promises.
            # It gets the flows in answer to its next pull.
            for batch in batches(hints, MAX_MESSAGE_PEERS):
                self.send(
                    puller, SlotEntries(pull.term, b'', b'', hints=batch)
                )
            return
        self._answer_number += 1
        slots: list[int] = []
        flows: list[FlowId] = []
        for slot in granted:
            slot_flows = self._flows.flows_in_slot(slot)
            if len(slot_flows) > MAX_MESSAGE_FLOWS:
                self._send_entries_in_parts(
                    puller, pull.term, slot, slot_flows
                )
                continue
            if len(flows) + len(slot_flows) > MAX_MESSAGE_FLOWS:
                self._send_entries_page(puller, pull.term, slots, flows)
                slots, flows = [], []
            slots.append(slot)
            flows.extend(slot_flows)
        if slots:
            self._send_entries_page(puller, pull.term, slots, flows)

    def _send_entries_page(self, puller, term, slots, flows) -> None:
        self.send(
            puller, SlotEntries(term, pack_slots(slots), pack_flows(flows))
        )

    def _send_entries_in_parts(self, puller, term, slot, flows) -> None:
        pages = list(batches(flows, MAX_MESSAGE_FLOWS))
        for part, page in enumerate(pages):
            self.send(
                puller,
                SlotEntries(
                    term,
                    pack_slots([slot]),
                    pack_flows(page),
                    part,
                    len(pages),
                    self._answer_number,
                ),
            )

    def _send_refusals(
        self, puller: AgentId, slots: list[int], now: float
    ) -> None:
        claimed = [
            s for s in slots if self.slots.state[s] is not SlotState.OTHER
        ]
        if claimed and self.peers.is_reachable(puller):
            # This agent needs the puller's promise of these slots.
            self.slots.add_awaited_peer(claimed, puller)
            self._send_pulls(claimed, now, only=puller)
        by_ballot: dict[tuple, list[int]] = defaultdict(list)
        for slot in set(slots).difference(claimed):
            by_ballot[self.slots.term[slot], self.slots.holder[slot]].append(
                slot
            )
        for (term, holder), held_slots in by_ballot.items():
            peer = self.peers.by_id.get(holder)
            info = peer.info if peer else None
            self.send(puller, SlotHeld(term, pack_slots(held_slots), info))

    def on_entries(
        self, sender: AgentId, entries: SlotEntries, now: float
    ) -> None:
        """Record the flows that a peer owns in slots of this agent."""
        for info in entries.hints:
            if self.peers.add_hinted(info):
                self.on_peer_appeared(info.agent_id, now)
        if entries.hints:
            self._send_pulls(list(self.slots.awaited_peers), now, only=sender)
            return
        slots = [
            slot
            for slot in unpack_slots(entries.slots)
            if self.slots.term[slot] == entries.term
            and sender in self.slots.awaited_peers.get(slot, ())
        ]
        if not slots:
            return
        flows = unpack_flows(entries.flows)
        if entries.parts > 1:
            flows = self._join_parts(sender, slots[0], entries, flows)
            if flows is None:
                return
        by_slot: dict[int, list[FlowId]] = defaultdict(list)
        for flow in flows:
            by_slot[slot_of(self._number, flow)].append(flow)
        for slot in slots:
            self._record_flows(sender, slot, by_slot[slot])
            self.slots.record_answer(slot, sender)
            self.changed_slots.add(slot)

    def _join_parts(self, sender, slot, entries, flows) -> list[FlowId] | None:
        """Add a part of an answer.

        :returns: all flows of the answer, ``None`` while parts are missing.
        """
        key = sender, slot
        answer = entries.term, entries.answer
        seen_answer, parts = self._parts_by_sender_slot.get(key, (answer, {}))
        if answer < seen_answer:
            return None
        if answer > seen_answer:
            parts = {}
        parts[entries.part] = flows
        self._parts_by_sender_slot[key] = answer, parts
        if len(parts) < entries.parts:
            return None
        del self._parts_by_sender_slot[key]
        return [flow for part in parts.values() for flow in part]

    def _record_flows(
        self, owner: AgentId, slot: int, flows: list[FlowId]
    ) -> None:
        """Record all flows of a peer in a slot."""
        awaited_peers = self.slots.awaited_peers[slot]
        if awaited_peers[owner]:
            self.directory.retain(slot, owner, set(flows))
        for flow in flows:
            known = self._known_owner(slot, flow)
            self.record_owner(
                slot,
                flow,
                owner,
                former=known if known in awaited_peers else None,
            )

    def _known_owner(self, slot: int, flow: FlowId) -> AgentId | None:
        if flow in self._flows:
            return self._self_id
        return self.directory.get(slot, flow)

    def record_owner(
        self,
        slot: int,
        flow: FlowId,
        owner: AgentId,
        former: AgentId | None = None,
    ) -> None:
        """Record the owner of a flow in a slot of this agent.

        If the directory has another owner, a conflict is recorded.

        :param owner: an agent that owns the flow.
        :param former: an agent that may no longer own it; replacing it is no
            conflict.
        """
        known = self._known_owner(slot, flow)
        if known is None or known in (owner, former):
            if owner != self._self_id:
                self.directory.set(slot, flow, owner)
            return
        self.counts['conflicts'] += 1
        self.conflicts.add(slot, flow, known, owner)

    def record_move(
        self, slot: int, flow: FlowId, owner: AgentId, former: AgentId
    ) -> None:
        """Record the new owner of a moved flow in a slot of this agent."""
        self.conflicts.remove_owner(flow, former)
        self.record_owner(slot, flow, owner, former=former)
        self.slots.mark_answer_as_addition(slot, owner)

    def on_held(self, _: AgentId, held: SlotHeld, now: float) -> None:
        """Handle a refusal: a peer promised slots under a later term."""
        self.slots.advance_clock(held.term)
        holder = held.holder
        if holder is not None and self.peers.add_hinted(holder):
            self.on_peer_appeared(holder.agent_id, now)
        is_live = holder is not None and self.peers.is_reachable(
            holder.agent_id
        )
        slots_without_holder = []
        for slot in unpack_slots(held.slots):
            if (
                self.slots.state[slot] is not SlotState.PENDING
                or self.slots.term[slot] > held.term
            ):
                continue
            if is_live:
                self._contested_since.setdefault(slot, now)
            else:
                slots_without_holder.append(slot)
        self.claim_slots(slots_without_holder, now)

    def _make_offer(self, slots: Collection[int]) -> SlotOffer:
        return SlotOffer(self.slots.clock, pack_slots(slots), self._own_info)

    def on_offer(self, sender: AgentId, offer: SlotOffer, now: float) -> None:
        """Claim offered slots whose home is this agent."""
        self.slots.advance_clock(offer.term)
        if self.peers.is_out(sender):
            return
        slots = [
            slot
            for slot in unpack_slots(offer.slots)
            if self.table.home(slot) == self._self_id
            and self.slots.state[slot] is not SlotState.PENDING
        ]
        # All other agents have promised these slots under a term that the
        # sender has not seen; only the sender must still promise them.
        valid = [
            slot
            for slot in slots
            if self.slots.state[slot] is SlotState.AUTHORITATIVE
            and self.slots.term[slot] > offer.term
            and self.peers.is_reachable(sender)
        ]
        self.slots.add_awaited_peer(valid, sender)
        self._send_pulls(valid, now, only=sender)
        self.claim_slots(sorted(set(slots).difference(valid)), now)

    def on_query(self, sender: AgentId, query: SlotQuery, _: float) -> None:
        """Offer the queried slots that this agent does not claim."""
        self.send(
            sender,
            self._make_offer(
                [
                    slot
                    for slot in unpack_slots(query.slots)
                    if self.slots.state[slot] is SlotState.OTHER
                ]
            ),
        )

    def tick(self, now: float) -> None:
        """Repeat messages; cut off or remove peers that do not answer."""
        cut_off, removed = self.peers.expire(now)
        self.counts['cut_off'] += len(cut_off)
        for peer in cut_off:
            self.changed_slots.update(self.slots.stop_waiting_for(peer))
        self._forget_agents(removed)
        self._reclaim_contested_slots(now)
        if self._pull_timer.is_due(now):
            self._send_pulls(list(self.slots.awaited_peers), now)
        self._probe_peers(now)
        if self._offer_timer.is_due(now) and not self._is_out:
            self._send_offers()
        if self._query_timer.is_due(now) or removed:
            self._check_holders(now)

    def _reclaim_contested_slots(self, now: float) -> None:
        expired = [
            slot
            for slot, since in self._contested_since.items()
            if now - since >= CONTEST_TIMEOUT_S
        ]
        for slot in expired:
            del self._contested_since[slot]
        self.claim_slots(
            [s for s in expired if self.slots.state[s] is SlotState.PENDING],
            now,
        )

    def _probe_peers(self, now: float) -> None:
        probe_unlisted = self._probe_timer.is_due(now)
        probe_cut_off = self._cut_off_timer.is_due(now)
        for agent, peer in self.peers.by_id.items():
            if peer.is_cut_off:
                is_due = probe_cut_off
            else:
                is_due = probe_unlisted and not peer.is_in_view
            if is_due:
                self.send(agent, SlotQuery(b'', self._own_info))
                self.peers.mark_asked(agent, now)

    def _send_offers(self) -> None:
        """Offer slots to their homes.

        These are slots of this agent whose home is another agent, and slots
        that are promised to an agent that is not reachable. The home may be
        the authority since before that promise, and so not know the flows
        that this agent adopted under it.
        """
        by_home: dict[AgentId, list[int]] = defaultdict(list)
        for slot, state in enumerate(self.slots.state):
            is_offered = (
                state is SlotState.AUTHORITATIVE
                if state is not SlotState.OTHER
                else self.slots.term[slot]
                and not self.peers.is_reachable(self.slots.holder[slot])
            )
            if is_offered:
                by_home[self.table.home(slot)].append(slot)
        for home, slots in by_home.items():
            if home != self._self_id and self.peers.is_reachable(home):
                self.send(home, self._make_offer(slots))

    def _check_holders(self, now: float) -> None:
        by_holder: dict[AgentId, list[int]] = defaultdict(list)
        slots_without_holder = []
        for slot in self._unclaimed_home_slots():
            holder = self.slots.holder[slot]
            if self.peers.is_reachable(holder):
                by_holder[holder].append(slot)
            else:
                slots_without_holder.append(slot)
        self.claim_slots(slots_without_holder, now)
        for holder, slots in by_holder.items():
            self.send(holder, SlotQuery(pack_slots(slots), self._own_info))
            self.peers.mark_asked(holder, now)
