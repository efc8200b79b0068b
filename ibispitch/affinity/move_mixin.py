"""The part of the affinity core that moves flows between agents.

See :mod:`ibispitch.affinity.moves` for the state of the moves.
"""

from ibispitch.affinity.effects import AdoptMovedFlow
from ibispitch.affinity.effects import CloseFlow
from ibispitch.affinity.effects import Effect
from ibispitch.affinity.effects import ForgetMovedFlow
from ibispitch.affinity.messages import FlowMove
from ibispitch.affinity.messages import FlowMoved
from ibispitch.affinity.messages import FlowRedirect
from ibispitch.affinity.messages import FlowRedirected
from ibispitch.affinity.moves import RETRY_INTERVAL_S
from ibispitch.affinity.slots import SlotState
from ibispitch.ids import AgentId
from ibispitch.ids import FlowId
from ibispitch.routing import slot_of


class FlowMoveMixin:
    """Moves flows to other agents and adopts flows that they move here.

    The affinity core provides the attributes and the methods that raise
    :exc:`NotImplementedError` here.
    """

    def _authority_to_notify(self, slot: int) -> AgentId | None:
        raise NotImplementedError

    def _can_adopt_flow(self, now: float) -> bool:
        raise NotImplementedError

    def _end_flow(self, flow: FlowId, now: float) -> None:
        raise NotImplementedError

    def _exclude_agent(self, flow: FlowId, agent: AgentId, now: float) -> None:
        raise NotImplementedError

    def _take_effects(self, now: float) -> list[Effect]:
        raise NotImplementedError

    def _owns_unmoved(self, flow: FlowId) -> bool:
        """Return whether a flow is owned and not being moved away."""
        return flow in self._flows and flow not in self._moves.targets

    def is_moving(self, flow: FlowId) -> bool:
        """Return whether a flow was or is being moved to another agent."""
        return flow in self._moves.targets

    @property
    def unfinished_moves(self) -> int:
        """Number of moves that the receiver or authority must confirm."""
        return len(self._moves)

    def move_target(
        self, now: float, flow: FlowId | None = None
    ) -> AgentId | None:
        """Return an agent that has capacity for one more flow.

        :param flow: the flow to move, if agents have refused it before;
            they are excluded.
        """
        excluded, _ = self._excluded_by_flow.get(flow, (set(), 0.0))
        candidates = [
            agent
            for agent in self._active
            if agent != self._self_id
            and agent not in excluded
            and self._peers.is_reachable(agent)
        ]
        if not candidates:
            return None
        return self._placement.choose_owner(self._self_id, candidates, now)

    def move_flow(
        self, flow: FlowId, to: AgentId, data: bytes, now: float
    ) -> list[Effect]:
        """Move an owned flow to another agent.

        :param data: the flow as the gate exported it; the gate must no
            longer act for it.
        """
        incarnation = self._peers.incarnation_of(to)
        self._moves.start(flow, to, incarnation, data, now)
        self._send_moves(now)
        return self._take_effects(now)

    def _send_moves(self, now: float) -> None:
        for flow, move in self._moves.due_moves(now):
            if move.is_refused:
                self._choose_receiver(flow, move.data, now)
            elif move.data:
                self._transfer.send(
                    move.to, FlowMove(flow, move.data, move.incarnation)
                )
            else:
                self._redirect(flow, move.to, self._self_id)
        for flow, former in self._moves.due_adoptions(now):
            # The former owner cannot inform the authority if the answer to
            # its move was lost.
            if self._owns_unmoved(flow):
                self._redirect(flow, self._self_id, former)
        for flow in self._moves.expire(now):
            # The receiver may own the flow, so this agent must close it.
            self.counts['moves_lost'] += 1
            if flow in self._flows:
                self._end_flow(flow, now)
                self._effects.append(CloseFlow(flow))

    def _choose_receiver(self, flow: FlowId, data: bytes, now: float) -> None:
        """Send a refused flow to an agent that has not refused it."""
        target = self.move_target(now, flow)
        if target is not None:
            incarnation = self._peers.incarnation_of(target)
            self._moves.start(
                flow, target, incarnation, data, now + RETRY_INTERVAL_S
            )
            self._transfer.send(target, FlowMove(flow, data, incarnation))

    def _redirect(self, flow: FlowId, owner: AgentId, former: AgentId) -> None:
        """Inform the authority about the owner of a moved flow."""
        slot = slot_of(self._number, flow)
        if self._slots.state[slot] is not SlotState.OTHER:
            self._transfer.record_move(slot, flow, owner, former)
            self._moves.record_authority_informed(flow)
            return
        authority = self._authority_to_notify(slot)
        if authority == owner:
            self._moves.record_authority_informed(flow)
        elif authority is not None:
            message = FlowRedirect(flow, owner, former)
            self._transfer.send(authority, message)

    def _on_move(self, sender: AgentId, message: FlowMove, now: float) -> None:
        """Adopt or refuse a flow that its owner moves to this agent."""
        if message.incarnation != self._own_info.incarnation:
            # Requests must not run twice, so the flow is lost instead.
            self.counts['moves_to_former_process'] += 1
            return
        flow = message.flow
        slot = slot_of(self._number, flow)
        # A copy is confirmed even if the flow has ended or was moved again:
        # after a refusal the sender would move the export to a third agent.
        if self._owns_unmoved(flow) or self._moves.is_adopted_copy(
            flow, sender, message.data, now
        ):
            self._transfer.send(sender, FlowMoved(flow, True))
            return
        can_adopt = (
            self._view is not None
            and not self._is_out
            and not self._is_paused
            and not self._flows.is_refused(flow, now)
            and self._can_adopt_flow(now)
        )
        if not can_adopt:
            # A late copy must not be adopted after the owner has moved the
            # flow to another agent.
            self._flows.refuse(flow, now)
            self._transfer.send(sender, FlowMoved(flow, False))
            return
        self._moves.record_adopted(flow, sender, message.data, now)
        self._flows.add(flow, slot, self._view.version, now)
        self._releases.cancel(flow)
        self._directory.remove(slot, flow)
        self._effects.append(AdoptMovedFlow(flow, message.data))
        self._transfer.send(sender, FlowMoved(flow, True))

    def _on_moved(
        self, sender: AgentId, message: FlowMoved, now: float
    ) -> None:
        flow = message.flow
        if not message.accepted:
            if self._moves.record_refused(flow, sender, now):
                self._exclude_agent(flow, sender, now)
                self._send_moves(now)
            return
        if (
            self._moves.record_confirmed(flow, sender, now)
            and flow in self._flows
        ):
            self._flows.remove(flow, slot_of(self._number, flow))
            self._effects.append(ForgetMovedFlow(flow))
            self._send_moves(now)

    def _on_redirect(
        self, sender: AgentId, message: FlowRedirect, now: float
    ) -> None:
        slot = slot_of(self._number, message.flow)
        if self._slots.state[slot] is SlotState.OTHER:
            # The sender repeats the redirect, and sends it to the new
            # authority as soon as it knows that agent.
            return
        former = message.former or sender
        self._transfer.record_move(slot, message.flow, message.owner, former)
        self._transfer.send(sender, FlowRedirected(message.flow))

    def _on_redirected(
        self, _: AgentId, message: FlowRedirected, now: float
    ) -> None:
        self._moves.record_authority_informed(message.flow)
