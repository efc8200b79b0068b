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
from ibispitch.affinity.moves import RETRY_S
from ibispitch.affinity.slots import SlotState
from ibispitch.ids import AgentId
from ibispitch.ids import FlowId
from ibispitch.routing import slot_of


class MovingSide:
    """Gives flows to other agents and takes theirs.

    The attributes and the methods without a body here are those of the
    affinity core.
    """

    def _authority(self, slot: int) -> AgentId | None:
        raise NotImplementedError

    def _bears_new_flow(self, now: float) -> bool:
        raise NotImplementedError

    def _end(self, flow: FlowId, now: float) -> None:
        raise NotImplementedError

    def _exclude(self, flow: FlowId, agent: AgentId, now: float) -> None:
        raise NotImplementedError

    def _finish(self, now: float) -> list[Effect]:
        raise NotImplementedError

    def _keeps(self, flow: FlowId) -> bool:
        """Tell whether a flow is owned and not on its way elsewhere."""
        return flow in self._flows and flow not in self._moves.targets

    def is_moving(self, flow: FlowId) -> bool:
        """Tell whether a flow is on its way to another agent."""
        return flow in self._moves.targets

    @property
    def unfinished_moves(self) -> int:
        """Flows that left and are not known to their new owner or home."""
        return len(self._moves)

    def move_target(
        self, now: float, flow: FlowId | None = None
    ) -> AgentId | None:
        """Return an agent that bears one more flow.

        :param flow: a flow that some agents have refused.
        """
        excluded, _ = self._excluded.get(flow, (set(), 0.0))
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
        """Give an owned flow to another agent.

        :param data: the flow as the gate exported it; the gate must not act
            for it any more.
        """
        incarnation = self._peers.incarnation_of(to)
        self._moves.start(flow, to, incarnation, data, now)
        self._send_moves(now)
        return self._finish(now)

    def _send_moves(self, now: float) -> None:
        for flow, move in self._moves.due(now):
            if move.is_refused:
                self._choose_receiver(flow, move.data, now)
            elif move.data:
                self._transfer.send(
                    move.to, FlowMove(flow, move.data, move.incarnation)
                )
            else:
                self._redirect(flow, move.to, self._self_id)
        for flow, former in self._moves.due_adoptions(now):
            # The former owner may be unable to tell it, since the answer
            # to the move was lost.
            if self._keeps(flow):
                self._redirect(flow, self._self_id, former)
        for flow in self._moves.expire(now):
            # Its receiver may own it; this agent must not act for it again.
            self.counts['moves_lost'] += 1
            if flow in self._flows:
                self._end(flow, now)
                self._effects.append(CloseFlow(flow))

    def _choose_receiver(self, flow: FlowId, data: bytes, now: float) -> None:
        """Send a refused flow to an agent that has not refused it."""
        target = self.move_target(now, flow)
        if target is not None:
            incarnation = self._peers.incarnation_of(target)
            self._moves.start(flow, target, incarnation, data, now + RETRY_S)
            self._transfer.send(target, FlowMove(flow, data, incarnation))

    def _redirect(self, flow: FlowId, owner: AgentId, former: AgentId) -> None:
        """Tell the authority who owns a flow now."""
        slot = slot_of(self._number, flow)
        if self._slots.state[slot] is not SlotState.OTHER:
            self._transfer.learn_moved(slot, flow, owner, former)
            self._moves.finished(flow)
            return
        authority = self._authority(slot)
        if authority == owner:
            self._moves.finished(flow)
        elif authority is not None:
            message = FlowRedirect(flow, owner, former)
            self._transfer.send(authority, message)

    def _on_move(self, sender: AgentId, message: FlowMove, now: float) -> None:
        """Adopt a flow that its owner gives to this agent."""
        if message.incarnation != self._own.incarnation:
            # The flow is lost rather than run requests twice.
            self.counts['moves_to_former_process'] += 1
            return
        flow = message.flow
        slot = slot_of(self._number, flow)
        # A copy is confirmed even if the flow has ended or moved on: after
        # a refusal the sender would give the same export to a third agent.
        if self._keeps(flow) or self._moves.is_copy(
            flow, sender, message.data, now
        ):
            self._transfer.send(sender, FlowMoved(flow, True))
            return
        is_borne = (
            self._view is not None
            and not self._is_out
            and not self._is_paused
            and not self._flows.is_refused(flow, now)
            and self._bears_new_flow(now)
        )
        if not is_borne:
            # A late copy must not be adopted after the owner has given the
            # flow to another agent.
            self._flows.refuse(flow, now)
            self._transfer.send(sender, FlowMoved(flow, False))
            return
        self._moves.adopted(flow, sender, message.data, now)
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
            if self._moves.refused(flow, sender, now):
                self._exclude(flow, sender, now)
                self._send_moves(now)
            return
        if self._moves.confirmed(flow, sender, now) and flow in self._flows:
            self._flows.remove(flow, slot_of(self._number, flow))
            self._effects.append(ForgetMovedFlow(flow))
            self._send_moves(now)

    def _on_redirect(
        self, sender: AgentId, message: FlowRedirect, now: float
    ) -> None:
        slot = slot_of(self._number, message.flow)
        if self._slots.state[slot] is SlotState.OTHER:
            # The sender asks the next authority when its view has it.
            return
        former = message.former or sender
        self._transfer.learn_moved(slot, message.flow, message.owner, former)
        self._transfer.send(sender, FlowRedirected(message.flow))

    def _on_redirected(
        self, _: AgentId, message: FlowRedirected, now: float
    ) -> None:
        self._moves.finished(message.flow)
