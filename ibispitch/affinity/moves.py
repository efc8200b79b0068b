"""Flows on their way from a draining owner to another agent.

The owner exports a flow, sends it until the receiver has confirmed it, and
then tells the authority of its slot. Until the owner leaves it relays
packets of the flow. An export is sent to a second agent only if the first
one has refused it: two agents with the same records could run a request
twice.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
import math

from xxhash import xxh3_64_intdigest

from ibispitch.affinity.flows import REFUSAL_S
from ibispitch.ids import AgentId
from ibispitch.ids import FlowId

RETRY_S = 0.2
#: A receiver that does not answer within this time may have adopted the
#: flow or not; it is lost for this agent then.
GIVE_UP_S = 5.0

#: A copy may be sent for the first time and be late for the second one.
COPY_S = GIVE_UP_S + REFUSAL_S


@dataclass
class Move:
    """A flow that its receiver or the authority has not confirmed.

    :param to: the receiver.
    :param incarnation: incarnation of the receiver.
    :param data: exported flow, empty once the receiver has it.
    :param until: time at which it is given up, in seconds.
    :param due: time of the next message, in seconds.
    :param is_refused: whether the receiver refused the flow, so that
        another one is to be chosen.
    """

    to: AgentId
    incarnation: int
    data: bytes
    until: float
    due: float
    is_refused: bool = False


@dataclass
class Adoption:
    """An export that this agent adopted.

    :param former: agent that gave the flow.
    :param digest: hash of the exported flow.
    :param until: time until which copies may come, in seconds.
    :param due: time of the next message to the authority, in seconds;
        infinite once it has confirmed one.
    """

    former: AgentId
    digest: int
    until: float
    due: float


class Moves:
    """Flows that leave this agent, and those that came to it."""

    def __init__(self):
        self._move_by_flow: dict[FlowId, Move] = {}
        self._target_by_flow: dict[FlowId, AgentId] = {}
        self._adoption_by_flow: dict[FlowId, Adoption] = {}

    def __len__(self) -> int:
        """Return the number of unfinished moves."""
        return len(self._move_by_flow)

    @property
    def targets(self) -> Mapping[FlowId, AgentId]:
        """Receivers of the flows that left or are leaving."""
        return self._target_by_flow

    def is_sending(self, flow: FlowId) -> bool:
        """Tell whether the receiver has not confirmed a flow yet."""
        move = self._move_by_flow.get(flow)
        return move is not None and bool(move.data)

    def start(
        self,
        flow: FlowId,
        to: AgentId,
        incarnation: int,
        data: bytes,
        now: float,
    ) -> None:
        """Send a flow to an agent.

        :param incarnation: the present incarnation of the agent.
        """
        self._target_by_flow[flow] = to
        self._move_by_flow[flow] = Move(
            to, incarnation, data, now + GIVE_UP_S, now
        )

    def confirmed(self, flow: FlowId, by: AgentId, now: float) -> bool:
        """Note that the receiver has a flow; false if it was known."""
        move = self._move_by_flow.get(flow)
        if move is None or move.to != by or not move.data:
            return False
        move.data = b''
        move.until = now + GIVE_UP_S
        move.due = now
        return True

    def finished(self, flow: FlowId) -> None:
        """Note that the authority knows the new owner."""
        adoption = self._adoption_by_flow.get(flow)
        if adoption is not None:
            adoption.due = math.inf
        move = self._move_by_flow.get(flow)
        if move is not None and not move.data:
            del self._move_by_flow[flow]

    def refused(self, flow: FlowId, by: AgentId, now: float) -> bool:
        """Note that the receiver refused a flow; false if it was known.

        The export is with this agent only, so that it is not given up.
        """
        move = self._move_by_flow.get(flow)
        if move is None or move.to != by or not move.data or move.is_refused:
            return False
        move.is_refused = True
        move.until = math.inf
        move.due = now
        return True

    def adopted(
        self, flow: FlowId, former: AgentId, data: bytes, now: float
    ) -> None:
        """Note that this agent took over a flow."""
        self._move_by_flow.pop(flow, None)
        self._target_by_flow.pop(flow, None)
        self._adoption_by_flow[flow] = Adoption(
            former, xxh3_64_intdigest(data), now + COPY_S, now
        )

    def redirect_again(self, flow: FlowId, now: float) -> None:
        """Tell the authority once more who owns a flow that left."""
        if flow not in self._move_by_flow:
            target = self._target_by_flow[flow]
            self._move_by_flow[flow] = Move(
                target, 0, b'', now + GIVE_UP_S, now
            )

    def forget(self, flow: FlowId) -> None:
        """Forget a flow whose receiver is gone."""
        self._move_by_flow.pop(flow, None)
        del self._target_by_flow[flow]

    def is_copy(
        self, flow: FlowId, former: AgentId, data: bytes, now: float
    ) -> bool:
        """Tell whether this agent has adopted an export already."""
        adoption = self._adoption_by_flow.get(flow)
        return (
            adoption is not None
            and adoption.until > now
            and adoption.former == former
            and adoption.digest == xxh3_64_intdigest(data)
        )

    def due_adoptions(self, now: float) -> Iterator[tuple[FlowId, AgentId]]:
        """Return the adopted flows that the authority has to learn now.

        :returns: flows and their former owners.
        """
        for flow, adoption in list(self._adoption_by_flow.items()):
            if adoption.until <= now:
                del self._adoption_by_flow[flow]
            elif adoption.due <= now:
                adoption.due = now + RETRY_S
                yield flow, adoption.former

    def due(self, now: float) -> Iterator[tuple[FlowId, Move]]:
        """Return the moves whose next message is to be sent now."""
        for flow, move in list(self._move_by_flow.items()):
            if move.due <= now < move.until:
                move.due = now + RETRY_S
                yield flow, move

    def expire(self, now: float) -> list[FlowId]:
        """Give up old moves.

        :returns: the flows that may have no owner.
        """
        over = {
            flow: move
            for flow, move in self._move_by_flow.items()
            if move.until <= now
        }
        for flow in over:
            del self._move_by_flow[flow]
        return [flow for flow, move in over.items() if move.data]
