"""Flows that a draining owner moves to another agent.

The owner exports a flow, sends it until the receiver confirms it, and then
informs the authority of its slot. Until the owner leaves, it relays packets
of the flow. An export is sent to a second agent only if the first one has
refused it: two agents with the same records could run a request twice.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
import math

from xxhash import xxh3_64_intdigest

from ibispitch.affinity.flows import REFUSAL_PERIOD_S
from ibispitch.ids import AgentId
from ibispitch.ids import FlowId

#: Interval at which unanswered messages of a move are repeated.
RETRY_INTERVAL_S = 0.2

#: After this time without an answer the move has failed. The receiver may
#: have adopted the flow, so the former owner must close it.
MOVE_TIMEOUT_S = 5.0

#: Copies of an export are sent for MOVE_TIMEOUT_S, and each may be in the
#: network for REFUSAL_PERIOD_S.
COPY_LIFETIME_S = MOVE_TIMEOUT_S + REFUSAL_PERIOD_S


@dataclass
class Move:
    """A move that its receiver or the authority has not confirmed.

    :param to: the receiver.
    :param incarnation: incarnation of the receiver.
    :param data: exported flow, empty once the receiver has confirmed it.
    :param deadline: time at which the move fails, in seconds.
    :param due: time of the next message, in seconds.
    :param is_refused: whether the receiver refused the flow and another one
        must be chosen.
    """

    to: AgentId
    incarnation: int
    data: bytes
    deadline: float
    due: float
    is_refused: bool = False


@dataclass
class Adoption:
    """An export that this agent adopted.

    :param former: agent that moved the flow here.
    :param digest: hash of the exported flow.
    :param deadline: time until which copies may arrive, in seconds.
    :param due: time of the next message to the authority, in seconds;
        infinite once the authority has confirmed one.
    """

    former: AgentId
    digest: int
    deadline: float
    due: float


class Moves:
    """Flows that this agent moves away, and those that were moved here."""

    def __init__(self):
        self._move_by_flow: dict[FlowId, Move] = {}
        self._target_by_flow: dict[FlowId, AgentId] = {}
        self._adoption_by_flow: dict[FlowId, Adoption] = {}

    def __len__(self) -> int:
        """Return the number of unfinished moves."""
        return len(self._move_by_flow)

    @property
    def targets(self) -> Mapping[FlowId, AgentId]:
        """Receivers of the flows that were or are being moved away."""
        return self._target_by_flow

    def is_sending(self, flow: FlowId) -> bool:
        """Return whether a flow is being sent and is not confirmed yet."""
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
        """Start to send a flow to an agent.

        :param incarnation: the current incarnation of the agent.
        """
        self._target_by_flow[flow] = to
        self._move_by_flow[flow] = Move(
            to, incarnation, data, now + MOVE_TIMEOUT_S, now
        )

    def record_confirmed(self, flow: FlowId, by: AgentId, now: float) -> bool:
        """Record that the receiver has adopted a flow.

        :returns: false if the move had ended or was confirmed before.
        """
        move = self._move_by_flow.get(flow)
        if move is None or move.to != by or not move.data:
            return False
        move.data = b''
        move.deadline = now + MOVE_TIMEOUT_S
        move.due = now
        return True

    def record_authority_informed(self, flow: FlowId) -> None:
        """Record that the authority knows the new owner of a flow."""
        adoption = self._adoption_by_flow.get(flow)
        if adoption is not None:
            adoption.due = math.inf
        move = self._move_by_flow.get(flow)
        if move is not None and not move.data:
            del self._move_by_flow[flow]

    def record_refused(self, flow: FlowId, by: AgentId, now: float) -> bool:
        """Record that the receiver refused a flow.

        Only this agent has the export now, so the move does not time out.

        :returns: false if the move had ended or was refused before.
        """
        move = self._move_by_flow.get(flow)
        if move is None or move.to != by or not move.data or move.is_refused:
            return False
        move.is_refused = True
        move.deadline = math.inf
        move.due = now
        return True

    def record_adopted(
        self, flow: FlowId, former: AgentId, data: bytes, now: float
    ) -> None:
        """Record that this agent adopted a moved flow."""
        self._move_by_flow.pop(flow, None)
        self._target_by_flow.pop(flow, None)
        self._adoption_by_flow[flow] = Adoption(
            former, xxh3_64_intdigest(data), now + COPY_LIFETIME_S, now
        )

    def resend_redirect(self, flow: FlowId, now: float) -> None:
        """Inform the authority again about the owner of a moved flow."""
        if flow not in self._move_by_flow:
            target = self._target_by_flow[flow]
            self._move_by_flow[flow] = Move(
                target, 0, b'', now + MOVE_TIMEOUT_S, now
            )

    def forget(self, flow: FlowId) -> None:
        """Remove a moved flow whose receiver is no longer reachable."""
        self._move_by_flow.pop(flow, None)
        del self._target_by_flow[flow]

    def is_adopted_copy(
        self, flow: FlowId, former: AgentId, data: bytes, now: float
    ) -> bool:
        """Return whether this agent has adopted an export already."""
        adoption = self._adoption_by_flow.get(flow)
        return (
            adoption is not None
            and adoption.deadline > now
            and adoption.former == former
            and adoption.digest == xxh3_64_intdigest(data)
        )

    def due_adoptions(self, now: float) -> Iterator[tuple[FlowId, AgentId]]:
        """Return the adopted flows to report to the authority now.

        :returns: flows and their former owners.
        """
        for flow, adoption in list(self._adoption_by_flow.items()):
            if adoption.deadline <= now:
                del self._adoption_by_flow[flow]
            elif adoption.due <= now:
                adoption.due = now + RETRY_INTERVAL_S
                yield flow, adoption.former

    def due_moves(self, now: float) -> Iterator[tuple[FlowId, Move]]:
        """Return the moves whose next message is due now."""
        for flow, move in list(self._move_by_flow.items()):
            if move.due <= now < move.deadline:
                move.due = now + RETRY_INTERVAL_S
                yield flow, move

    def expire(self, now: float) -> list[FlowId]:
        """Remove the moves whose deadline has passed.

        :returns: the flows that no receiver has confirmed.
        """
        expired = {
            flow: move
            for flow, move in self._move_by_flow.items()
            if move.deadline <= now
        }
        for flow in expired:
            del self._move_by_flow[flow]
        return [flow for flow, move in expired.items() if move.data]
