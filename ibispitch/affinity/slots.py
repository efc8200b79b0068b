"""Which agent each slot is promised to, and the slots of this agent.

A promise is a ballot ``(term, agent)``. Terms are Lamport times, so that
ballots are totally ordered over all agents. An agent grants a pull only if
its ballot is greater than the one it has promised the slot to. That makes
late duplicates harmless and settles pulls that cross.
"""

from collections.abc import Iterable
import enum

from ibispitch.affinity.effects import TERM_MASK
from ibispitch.ids import AgentId
from ibispitch.routing import SLOT_COUNT

Ballot = tuple[int, str]


class SlotState(enum.IntEnum):
    """Role of this agent for a slot."""

    OTHER = 0
    PENDING = 1
    AUTHORITATIVE = 2


class SlotStates:
    """Promises and own slots.

    :param self_id: this agent.
    """

    def __init__(self, self_id: AgentId):
        self._self_id = self_id
        self.clock = 0
        self.state = [SlotState.OTHER] * SLOT_COUNT
        self.term = [0] * SLOT_COUNT
        self.holder: list[AgentId | None] = [None] * SLOT_COUNT
        #: For each PENDING slot, the peers that have not answered. The
        #: value tells whether the peer was asked at the start of the term,
        #: so that its answer replaces what was known of its flows.
        self.awaited: dict[int, dict[AgentId, bool]] = {}

    def observe(self, term: int) -> None:
        """Advance the clock to a term that another agent has used."""
        self.clock = max(self.clock, term)

    def ballot(self, slot: int) -> Ballot:
        """Return the ballot that a slot is promised to."""
        return self.term[slot], self.holder[slot] or ''

    def own(self) -> list[int]:
        """Return the slots that are PENDING or AUTHORITATIVE."""
        return [
            slot
            for slot, state in enumerate(self.state)
            if state is not SlotState.OTHER
        ]

    def start(self, slots: Iterable[int], peers: Iterable[AgentId]) -> None:
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
            self.awaited[slot] = dict.fromkeys(peers, True)
            self._settle(slot)

    def wait_for(self, slots: Iterable[int], peer: AgentId) -> None:
        """Ask one more peer for its promise, under the present terms."""
        for slot in slots:
            if self.state[slot] is not SlotState.OTHER:
                self.state[slot] = SlotState.PENDING
                self.awaited.setdefault(slot, {}).setdefault(peer, False)

    def keep_entries(self, slot: int, peer: AgentId) -> None:
        """Add the answer of a peer to what is known of its flows.

        An answer may be older than the adoption of a moved flow.
        """
        awaited = self.awaited.get(slot, {})
        if peer in awaited:
            awaited[peer] = False

    def answered(self, slot: int, peer: AgentId) -> None:
        """Note that a peer has answered for a PENDING slot."""
        self.awaited[slot].pop(peer, None)
        self._settle(slot)

    def give_up(self, peer: AgentId) -> list[int]:
        """Stop waiting for a peer; return the slots that waited for it."""
        slots = [slot for slot, peers in self.awaited.items() if peer in peers]
        for slot in slots:
            self.answered(slot, peer)
        return slots

    def _settle(self, slot: int) -> None:
        if not self.awaited[slot]:
            del self.awaited[slot]
            self.state[slot] = SlotState.AUTHORITATIVE

    def promise(self, slot: int, term: int, holder: AgentId) -> bool:
        """Promise a slot to another agent.

        :returns: whether it was promised to that ballot, now or before.
        """
        if (term, holder) < self.ballot(slot):
            return False
        self.term[slot] = term
        self.holder[slot] = holder
        self.state[slot] = SlotState.OTHER
        self.awaited.pop(slot, None)
        return True

    def void(self, holder: AgentId) -> None:
        """Drop the promises to an agent that restarted without them."""
        for slot in range(SLOT_COUNT):
            if self.holder[slot] == holder:
                self.holder[slot] = None

    def void_all(self) -> None:
        """Drop all promises to others, so that they must pull anew.

        The terms are raised, as the same promise again would make
        adoptions valid that were sent before.
        """
        self.clock += 1
        for slot, state in enumerate(self.state):
            if state is SlotState.OTHER:
                self.term[slot] = self.clock
                self.holder[slot] = None

    def abandon(self) -> None:
        """Give up all own slots; terms stay, so that they never decrease."""
        for slot in self.own():
            self.state[slot] = SlotState.OTHER
            self.holder[slot] = None
        self.awaited.clear()

    def admits(self, slot: int, sender: AgentId | None, term: int) -> bool:
        """Tell whether an adoption comes from the agent with the promise.

        An adoption that was sent under an earlier term may be late: the
        flow may have another owner since.

        :param term: low bits of the term of the adoption.
        """
        return (
            sender is not None
            and self.holder[slot] == sender
            and self.term[slot] & TERM_MASK == term
        )
