"""Transfer of the authority over slots between agents.

An agent that becomes the home of slots claims them under a new term and
pulls them from every agent it knows of. It may adopt unknown flows only
when each of them has promised the slots and listed its own flows in them.
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

#: Messages may be lost, so that pulls are repeated until they are answered.
PULL_INTERVAL_S = 0.2

#: Peers outside the view are asked for a sign of life this often.
PROBE_INTERVAL_S = 0.2

#: Peers that are cut off are asked this often whether they are back.
CUT_OFF_PROBE_INTERVAL_S = 1.0

#: Slots are offered to their homes this often.
OFFER_INTERVAL_S = 0.5

#: A home that has promised its slots to another agent checks this often
#: that this agent still has the authority.
QUERY_INTERVAL_S = 1.0

#: A puller that meets a later promise leaves the holder this long to pull
#: from it. After that the promise is taken for a stale one.
CONTEST_S = 0.6


class Timer:
    """Tells when something periodic is due.

    :param interval_s: time between two occasions, in seconds.
    """

    def __init__(self, interval_s: float):
        self._interval_s = interval_s
        self._next = 0.0

    def is_due(self, now: float) -> bool:
        """Tell whether the interval is over, and start the next one."""
        if now < self._next:
            return False
        self._next = now + self._interval_s
        return True


class SlotTransfer:
    """Claims, grants and offers slots.

    :param own: how to reach this agent.
    :param number: number of the service.
    :param flows: the flows that this agent owns.
    """

    def __init__(
        self, own: PeerInfo, number: ServiceNumber, flows: OwnedFlows
    ):
        self._own = own
        self._self_id = own.agent_id
        self._number = number
        self._flows = flows
        self.peers = PeerSet(own.agent_id)
        self.slots = SlotStates(own.agent_id)
        self.table = SlotTable()
        self.directory = Directory()
        self.conflicts = Conflicts()
        #: Slots whose state or directory changed since it was last cleared.
        self.changed: set[int] = set()
        self.outbox: list[SendMessage] = []
        self.counts: Counter[str] = Counter()
        self._is_out = False
        self._contested: dict[int, float] = {}
        self._parts: dict[tuple, dict[int, list[FlowId]]] = {}
        self._answers = 0
        self._pull_timer = Timer(PULL_INTERVAL_S)
        self._probe_timer = Timer(PROBE_INTERVAL_S)
        self._cut_off_timer = Timer(CUT_OFF_PROBE_INTERVAL_S)
        self._offer_timer = Timer(OFFER_INTERVAL_S)
        self._query_timer = Timer(QUERY_INTERVAL_S)

    def send(self, to: AgentId, message: Any) -> None:
        """Queue a message."""
        self.outbox.append(SendMessage(to, message))

    def set_view(self, view: ServiceView, is_resumed: bool, now: float):
        """Take over a new view.

        :param view: the view.
        :param is_resumed: whether this agent was paused, so that others may
            have claimed its slots.
        :param now: time in seconds.
        """
        self._is_out = self._own.datacentre in view.datacentres_out
        change = self.peers.set_view(view, now)
        moved = self.table.update(
            record.agent_id
            for record in eligible_agents(view.agents, view.datacentres_out)
        )
        self._forget(change.removed)
        if is_resumed:
            self.slots.void_all()
            self.start(self.slots.own(), now)
        for peer in change.appeared:
            self.appeared(peer, now)
        self.start(
            [
                slot
                for slot in self._homeless()
                if slot in moved
                or not self.peers.is_reachable(self.slots.holder[slot])
            ],
            now,
        )

    def _homeless(self) -> list[int]:
        """Return the slots whose home is this agent without authority."""
        index = self.table.index_of(self._self_id)
        if index is None:
            return []
        states = self.slots.state
        return [
            slot
            for slot, home in enumerate(self.table.homes)
            if home == index and states[slot] is SlotState.OTHER
        ]

    def start(self, slots: Collection[int], now: float) -> None:
        """Claim slots under a new term and pull them."""
        if not slots:
            return
        self.slots.start(slots, self.peers.reachable())
        self.changed.update(slots)
        for slot in slots:
            self._contested.pop(slot, None)
        self._pull(slots, now)

    def appeared(self, peer: AgentId, now: float) -> None:
        """Ask a new or returned peer for its flows in the own slots."""
        if peer in self.peers.restarted:
            self.peers.restarted.discard(peer)
            self.slots.void(peer)
        slots = self.slots.own()
        self.slots.wait_for(slots, peer)
        self._pull(slots, now, only=peer)

    def _pull(
        self, slots: Iterable[int], now: float, only: AgentId | None = None
    ) -> None:
        """Send pulls for the PENDING ones of some slots."""
        wanted: dict[tuple[AgentId, int], list[int]] = defaultdict(list)
        for slot in slots:
            for peer in self.slots.awaited.get(slot, ()):
                if only is None or peer == only:
                    wanted[peer, self.slots.term[slot]].append(slot)
        if not wanted:
            return
        known = self.peers.known()
        for (peer, term), peer_slots in wanted.items():
            pull = SlotPull(term, pack_slots(peer_slots), known, self._own)
            self.send(peer, pull)
            self.peers.asked(peer, now)

    def _forget(self, agents: Collection[AgentId]) -> None:
        """Forget agents that left or whose data centre is out."""
        if not agents:
            return
        self.directory.forget(agents)
        for slot, flow, owner in self.conflicts.forget(agents):
            if owner != self._self_id:
                self.directory.set(slot, flow, owner)
        for agent in agents:
            self.changed.update(self.slots.give_up(agent))

    def on_pull(self, sender: AgentId, pull: SlotPull, now: float) -> None:
        """Grant slots to a puller, or tell it of later promises."""
        self.slots.observe(pull.term)
        if self.peers.is_out(sender):
            # The puller has not learnt that its data centre is out. It is
            # kept waiting, since it would not act on a grant for long.
            self.send(sender, self._offer([]))
            return
        granted, refused = [], []
        for slot in unpack_slots(pull.slots):
            was_own = self.slots.state[slot] is not SlotState.OTHER
            if not self.slots.promise(slot, pull.term, sender):
                refused.append(slot)
                continue
            granted.append(slot)
            if was_own:
                self._yielded(slot)
        self._answer(sender, pull, granted)
        self._refuse(sender, refused, now)

    def _yielded(self, slot: int) -> None:
        # The directory need not be handed over: each owner lists its own
        # flows to the puller, and the hints name all owners to it.
        self.directory.clear(slot)
        self.conflicts.drop_slot(slot)
        self._contested.pop(slot, None)
        self.changed.add(slot)

    def _answer(
        self, puller: AgentId, pull: SlotPull, granted: list[int]
    ) -> None:
        """List the own flows in granted slots, in pages."""
        hints = self.peers.unknown_to(pull.known)
        if hints:
            # The puller must know these agents before it counts this
            # answer, so that it gets the flows with its next pull.
            for batch in batches(hints, MAX_MESSAGE_PEERS):
                self.send(
                    puller, SlotEntries(pull.term, b'', b'', hints=batch)
                )
            return
        self._answers += 1
        slots: list[int] = []
        flows: list[FlowId] = []
        for slot in granted:
            in_slot = self._flows.in_slot(slot)
            if len(in_slot) > MAX_MESSAGE_FLOWS:
                self._answer_in_parts(puller, pull.term, slot, in_slot)
                continue
            if len(flows) + len(in_slot) > MAX_MESSAGE_FLOWS:
                self._send_page(puller, pull.term, slots, flows)
                slots, flows = [], []
            slots.append(slot)
            flows.extend(in_slot)
        if slots:
            self._send_page(puller, pull.term, slots, flows)

    def _send_page(self, puller, term, slots, flows) -> None:
        self.send(
            puller, SlotEntries(term, pack_slots(slots), pack_flows(flows))
        )

    def _answer_in_parts(self, puller, term, slot, flows) -> None:
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
                    self._answers,
                ),
            )

    def _refuse(self, puller: AgentId, slots: list[int], now: float) -> None:
        own = [s for s in slots if self.slots.state[s] is not SlotState.OTHER]
        if own and self.peers.is_reachable(puller):
            # The puller has not promised these slots to this agent.
            self.slots.wait_for(own, puller)
            self._pull(own, now, only=puller)
        by_ballot: dict[tuple, list[int]] = defaultdict(list)
        for slot in set(slots).difference(own):
            by_ballot[self.slots.term[slot], self.slots.holder[slot]].append(
                slot
            )
        for (term, holder), held in by_ballot.items():
            peer = self.peers.by_id.get(holder)
            info = peer.info if peer else None
            self.send(puller, SlotHeld(term, pack_slots(held), info))

    def on_entries(
        self, sender: AgentId, entries: SlotEntries, now: float
    ) -> None:
        """Take over the flows that a peer owns in slots of this agent."""
        for info in entries.hints:
            if self.peers.hint(info):
                self.appeared(info.agent_id, now)
        if entries.hints:
            self._pull(list(self.slots.awaited), now, only=sender)
            return
        slots = [
            slot
            for slot in unpack_slots(entries.slots)
            if self.slots.term[slot] == entries.term
            and sender in self.slots.awaited.get(slot, ())
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
            self._learn(sender, slot, by_slot[slot])
            self.slots.answered(slot, sender)
            self.changed.add(slot)

    def _join_parts(self, sender, slot, entries, flows) -> list[FlowId] | None:
        """Collect the parts of an answer; ``None`` until it is whole."""
        key = sender, slot
        answer = entries.term, entries.answer
        seen_answer, parts = self._parts.get(key, (answer, {}))
        if answer < seen_answer:
            return None
        if answer > seen_answer:
            parts = {}
        parts[entries.part] = flows
        self._parts[key] = answer, parts
        if len(parts) < entries.parts:
            return None
        del self._parts[key]
        return [flow for part in parts.values() for flow in part]

    def _learn(self, owner: AgentId, slot: int, flows: list[FlowId]) -> None:
        """Note the complete list of a peer's flows in a slot."""
        awaited = self.slots.awaited[slot]
        if awaited[owner]:
            self.directory.retain(slot, owner, set(flows))
        for flow in flows:
            known = self._owner_of(slot, flow)
            self.learn(
                slot, flow, owner, loser=known if known in awaited else None
            )

    def _owner_of(self, slot: int, flow: FlowId) -> AgentId | None:
        if flow in self._flows:
            return self._self_id
        return self.directory.get(slot, flow)

    def learn(
        self,
        slot: int,
        flow: FlowId,
        owner: AgentId,
        loser: AgentId | None = None,
    ) -> None:
        """Note the owner of a flow in an own slot.

        :param owner: an agent that owns the flow.
        :param loser: an agent that is not known to own it any more.
        """
        known = self._owner_of(slot, flow)
        if known is None or known in (owner, loser):
            if owner != self._self_id:
                self.directory.set(slot, flow, owner)
            return
        self.counts['conflicts'] += 1
        self.conflicts.add(slot, flow, known, owner)

    def learn_moved(
        self, slot: int, flow: FlowId, owner: AgentId, former: AgentId
    ) -> None:
        """Note the new owner of a moved flow in an own slot."""
        self.conflicts.settle(flow, former)
        self.learn(slot, flow, owner, loser=former)
        self.slots.keep_entries(slot, owner)

    def on_held(self, _: AgentId, held: SlotHeld, now: float) -> None:
        """Learn that a peer has promised slots under a later term."""
        self.slots.observe(held.term)
        holder = held.holder
        if holder is not None and self.peers.hint(holder):
            self.appeared(holder.agent_id, now)
        is_live = holder is not None and self.peers.is_reachable(
            holder.agent_id
        )
        restart = []
        for slot in unpack_slots(held.slots):
            if (
                self.slots.state[slot] is not SlotState.PENDING
                or self.slots.term[slot] > held.term
            ):
                continue
            if is_live:
                self._contested.setdefault(slot, now)
            else:
                restart.append(slot)
        self.start(restart, now)

    def _offer(self, slots: Collection[int]) -> SlotOffer:
        return SlotOffer(self.slots.clock, pack_slots(slots), self._own)

    def on_offer(self, sender: AgentId, offer: SlotOffer, now: float) -> None:
        """Claim offered slots whose home is this agent."""
        self.slots.observe(offer.term)
        if self.peers.is_out(sender):
            return
        slots = [
            slot
            for slot in unpack_slots(offer.slots)
            if self.table.home(slot) == self._self_id
            and self.slots.state[slot] is not SlotState.PENDING
        ]
        # The claim of a later term than the sender has seen is valid for
        # all others, and only the sender must still promise the slot.
        valid = [
            slot
            for slot in slots
            if self.slots.state[slot] is SlotState.AUTHORITATIVE
            and self.slots.term[slot] > offer.term
            and self.peers.is_reachable(sender)
        ]
        self.slots.wait_for(valid, sender)
        self._pull(valid, now, only=sender)
        self.start(sorted(set(slots).difference(valid)), now)

    def on_query(self, sender: AgentId, query: SlotQuery, _: float) -> None:
        """Tell which of some slots this agent has no authority over."""
        self.send(
            sender,
            self._offer(
                [
                    slot
                    for slot in unpack_slots(query.slots)
                    if self.slots.state[slot] is SlotState.OTHER
                ]
            ),
        )

    def tick(self, now: float) -> None:
        """Repeat what is unanswered and give up on silent peers."""
        cut_off, removed = self.peers.expire(now)
        self.counts['cut_off'] += len(cut_off)
        for peer in cut_off:
            self.changed.update(self.slots.give_up(peer))
        self._forget(removed)
        self._settle_contests(now)
        if self._pull_timer.is_due(now):
            self._pull(list(self.slots.awaited), now)
        self._probe(now)
        if self._offer_timer.is_due(now) and not self._is_out:
            self._send_offers()
        if self._query_timer.is_due(now) or removed:
            self._check_holders(now)

    def _settle_contests(self, now: float) -> None:
        over = [
            slot
            for slot, since in self._contested.items()
            if now - since >= CONTEST_S
        ]
        for slot in over:
            del self._contested[slot]
        self.start(
            [s for s in over if self.slots.state[s] is SlotState.PENDING], now
        )

    def _probe(self, now: float) -> None:
        probe_unlisted = self._probe_timer.is_due(now)
        probe_cut_off = self._cut_off_timer.is_due(now)
        for agent, peer in self.peers.by_id.items():
            if peer.is_cut_off:
                is_due = probe_cut_off
            else:
                is_due = probe_unlisted and not peer.in_view
            if is_due:
                self.send(agent, SlotQuery(b'', self._own))
                self.peers.asked(agent, now)

    def _send_offers(self) -> None:
        """Offer slots to their homes.

        These are slots of this agent whose home is another one, and slots
        that are promised to an agent that is gone. The home may have the
        authority since before that promise, and not know the flows that
        this agent adopted under it.
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
                self.send(home, self._offer(slots))

    def _check_holders(self, now: float) -> None:
        by_holder: dict[AgentId, list[int]] = defaultdict(list)
        orphans = []
        for slot in self._homeless():
            holder = self.slots.holder[slot]
            if self.peers.is_reachable(holder):
                by_holder[holder].append(slot)
            else:
                orphans.append(slot)
        self.start(orphans, now)
        for holder, slots in by_holder.items():
            self.send(holder, SlotQuery(pack_slots(slots), self._own))
            self.peers.asked(holder, now)
