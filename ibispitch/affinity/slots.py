"""Promises of slots to agents, and the slots that this agent claims.

A promise is for a ballot ``(term, agent)``. Terms are Lamport times, so that
ballots are totally ordered over all agents. An agent grants a pull only if
its ballot is at least as great as the one that it has promised the slot to.
So late duplicates do no harm, and of two concurrent pulls one wins.
"""

from collections.abc import Iterable
import enum

from ibispitch.affinity.effects import TERM_MASK
from ibispitch.ids import AgentId
from ibispitch.routing import SLOT_COUNT

Ballot = tuple[int, str]


class SlotState(enum.IntEnum):
    """Role of this agent for a slot.

    OTHER: it has promised the slot to another agent, or to none. PENDING: it
    claims the slot, and some peers have not promised it yet. AUTHORITATIVE:
    all peers have promised it the slot.
    """

    OTHER = 0
    PENDING = 1
    AUTHORITATIVE = 2


class SlotStates:
    """Promises, and the state of each slot.

    :param self_id: this agent.
    """

    def __init__(self, self_id: AgentId):
        self._self_id = self_id
        self.clock = 0
        self.state = [SlotState.OTHER] * SLOT_COUNT
        self.term = [0] * SLOT_COUNT
        self.holder: list[AgentId | None] = [None] * SLOT_COUNT
        #: For each PENDING slot, the peers that have not answered. The value
        #: is true if the peer was asked at the start of the term; its answer
        #: then replaces its flows in the directory.
        self.awaited_peers: dict[int, dict[AgentId, bool]] = {}

    def advance_clock(self, term: int) -> None:
        """Advance the Lamport clock to a term that another agent used."""
        self.clock = max(self.clock, term)

    def ballot(self, slot: int) -> Ballot:
        """Return the ballot to which a slot is promised."""
        return self.term[slot], self.holder[slot] or ''

    def claimed_slots(self) -> list[int]:
        """Return the slots that are PENDING or AUTHORITATIVE."""
        return [
            slot
            for slot, state in enumerate(self.state)
            if state is not SlotState.OTHER
        ]

    def claim(self, slots: Iterable[int], peers: Iterable[AgentId]) -> None:
        """Claim slots under a new term.

        :param slots: the slots.
        :param peers: the peers whose promises are needed.
        """
        self.clock += 1
        peers = list(peers)
        for slot in slots:
            self.term[slot] = self.clock
            self.holder[slot] = self._self_id
            self.state[slot] = SlotState.PENDING
            self.awaited_peers[slot] = dict.fromkeys(peers, True)
            self._finish_if_answered(slot)

    def add_awaited_peer(self, slots: Iterable[int], peer: AgentId) -> None:
        """Wait for the promise of one more peer, under the current terms."""
        for slot in slots:
            if self.state[slot] is not SlotState.OTHER:
                self.state[slot] = SlotState.PENDING
                self.awaited_peers.setdefault(slot, {}).setdefault(peer, False)

    def mark_answer_as_addition(self, slot: int, peer: AgentId) -> None:
        """Let the answer of a peer only add flows to the directory.

        The answer may be older than the adoption of a moved flow.
        """
        awaited_peers = self.awaited_peers.get(slot, {})
        if peer in awaited_peers:
            awaited_peers[peer] = False

    def record_answer(self, slot: int, peer: AgentId) -> None:
        """Record that a peer has answered for a PENDING slot."""
        self.awaited_peers[slot].pop(peer, None)
        self._finish_if_answered(slot)

    def stop_waiting_for(self, peer: AgentId) -> list[int]:
        """Stop waiting for a peer; return the slots that waited for it."""
        slots = [
            slot for slot, peers in self.awaited_peers.items() if peer in peers
        ]
        for slot in slots:
            self.record_answer(slot, peer)
        return slots

    def _finish_if_answered(self, slot: int) -> None:
        if not self.awaited_peers[slot]:
            del self.awaited_peers[slot]
            self.state[slot] = SlotState.AUTHORITATIVE

    def promise(self, slot: int, term: int, holder: AgentId) -> bool:
        """Promise a slot to another agent.

        :returns: false if the slot is promised to a greater ballot.
        """
        if (term, holder) < self.ballot(slot):
            return False
        self.term[slot] = term
        self.holder[slot] = holder
        self.state[slot] = SlotState.OTHER
        self.awaited_peers.pop(slot, None)
        return True

    def drop_promises_to(self, holder: AgentId) -> None:
        """Drop the promises to an agent that restarted without its state."""
        for slot in range(SLOT_COUNT):
            if self.holder[slot] == holder:
                self.holder[slot] = None

    def drop_all_promises(self) -> None:
        """Drop all promises to others, so that they must pull again.

        The terms are raised: renewing the same promises would make
        adoptions valid that were sent before.
        """
        self.clock += 1
        for slot, state in enumerate(self.state):
            if state is SlotState.OTHER:
                self.term[slot] = self.clock
                self.holder[slot] = None

    def give_up_claimed_slots(self) -> None:
        """Give up all claimed slots; keep terms, which must not decrease."""
        for slot in self.claimed_slots():
            self.state[slot] = SlotState.OTHER
            self.holder[slot] = None
        self.awaited_peers.clear()

    def is_valid_adoption(
        self, slot: int, sender: AgentId | None, term: int
    ) -> bool:
        """Return whether an adoption comes from the holder of the promise.

        An adoption that was sent under an earlier term is invalid: the flow
        may have another owner since then.

        :param term: low bits of the term of the adoption.
        """
        return (
            sender is not None
            and self.holder[slot] == sender
            and self.term[slot] & TERM_MASK == term
        )
