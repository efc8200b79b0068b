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

from ibispitch.ids import AgentId
from ibispitch.ids import FlowId

RETRY_S = 0.2
#: A receiver that does not answer within this time may have adopted the
#: flow or not; it is lost for this agent then.
GIVE_UP_S = 5.0


@dataclass
class Move:
    """A flow that its receiver or the authority has not confirmed.

    :param to: the receiver.
    :param data: exported flow, empty once the receiver has it.
    :param until: time at which it is given up, in seconds.
    :param due: time of the next message, in seconds.
    """

    to: AgentId
    data: bytes
    until: float
    due: float


class Moves:
    """Flows that leave this agent."""

    def __init__(self):
        self._move_by_flow: dict[FlowId, Move] = {}
        self._target_by_flow: dict[FlowId, AgentId] = {}

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
        self, flow: FlowId, to: AgentId, data: bytes, now: float
    ) -> None:
        """Send a flow to an agent."""
        self._target_by_flow[flow] = to
        self._move_by_flow[flow] = Move(to, data, now + GIVE_UP_S, now)

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
        move = self._move_by_flow.get(flow)
        if move is not None and not move.data:
            del self._move_by_flow[flow]

    def take_refused(self, flow: FlowId, by: AgentId) -> bytes | None:
        """Remove a move that its receiver has refused; return the export."""
        move = self._move_by_flow.get(flow)
        if move is None or move.to != by or not move.data:
            return None
        del self._move_by_flow[flow]
        del self._target_by_flow[flow]
        return move.data

    def returned(self, flow: FlowId) -> None:
        """Forget a flow that came back to this agent."""
        self._move_by_flow.pop(flow, None)
        self._target_by_flow.pop(flow, None)

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
