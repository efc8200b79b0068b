"""Decides what an agent does with the packets of its upstream's flows."""

from typing import Protocol

from ibispitch.checkpoint.messages import CheckpointPart
from ibispitch.checkpoint.messages import split_flows
from ibispitch.decisionlog import DecisionLog
from ibispitch.forwarding import frames
from ibispitch.forwarding.flows import FlowState
from ibispitch.forwarding.flows import UpstreamFlows
from ibispitch.forwarding.frames import Answer
from ibispitch.forwarding.frames import Purpose
from ibispitch.forwarding.frames import Reason
from ibispitch.forwarding.frames import Verdict
from ibispitch.forwarding.openings import HeldOpenings
from ibispitch.forwarding.openings import UpstreamLoad
from ibispitch.forwarding.packets import ACK
from ibispitch.forwarding.packets import BOUNCED
from ibispitch.forwarding.packets import FIN
from ibispitch.forwarding.packets import FlowKey
from ibispitch.forwarding.packets import MAX_WINDOW_BYTES
from ibispitch.forwarding.packets import Packet
from ibispitch.forwarding.packets import PacketCodec
from ibispitch.forwarding.packets import RST
from ibispitch.forwarding.packets import sequence_distance
from ibispitch.forwarding.requests import ScheduledRequests
from ibispitch.forwarding.tracking import RequestTracker
from ibispitch.gate.core import COLD_WINDOW_S
from ibispitch.gate.core import Gate
from ibispitch.gate.core import Heartbeat
from ibispitch.gate.queue import GateOpening
from ibispitch.histograms import LatencyHistograms
from ibispitch.outcomes.core import Outcomes
from ibispitch.routes.model import RouteIndex
from ibispitch.routes.position import NO_POSITION
from ibispitch.scheduling.core import Capacity
from ibispitch.scheduling.core import Request
from ibispitch.settings.overload import ALL_OFF
from ibispitch.settings.overload import OverloadSettings
from ibispitch.waiting.core import first_copy_sent_at

#: Time beyond the idle time-out after which a process has seen a packet of
#: each flow that is not idle: packets of a frozen host may be late by seconds.
IDLE_MARGIN_S = 4.0
#: Time within which the upstream should answer an opening. It runs on the
#: same host, and the caller repeats an opening after 200 ms.
OPENING_ANSWER_S = 0.1
#: Maximum number of openings whose age is kept until they arrive.
MAX_EXPECTED_AGES = 1024
#: Maximum number of flows remembered as not held by the upstream.
MAX_DENIED_FLOWS = 4096
#: A balancer that sent an opening within this time is sent every change of
#: load at once. The others get it with the next periodic status message:
#: with 60 agents and 23 balancers, the changes would otherwise use a quarter
#: of a balancer's 12 Mbit/s.
RECENT_OPENING_S = 0.3
#: The same while the upstream is cold: openings wait at the balancers until
#: those of the last window no longer count.
RECENT_COLD_OPENING_S = COLD_WINDOW_S + RECENT_OPENING_S


class AgentOutbox(Protocol):
    """Sends the datagrams of an agent."""

    def to_balancer(self, ip: str, data: bytes) -> None:
        """Send a frame to a balancer."""

    def to_upstream(self, raw: bytes) -> None:
        """Send a caller's packet to the upstream."""

    def to_caller(self, flow: FlowKey, raw: bytes) -> None:
        """Send an upstream's packet to the caller of a flow."""


class AgentCore:
    """Forwards packets between balancers, one upstream and callers.

    :param gate: decides whether the upstream may get a new flow.
    :param codec: decodes the packets.
    :param outbox: sends the datagrams.
    :param log: log of the decisions.
    :param histograms: records the latency of requests.
    :param knows_all_flows: whether this process knows all flows of the
        upstream, because none of them opened before this process started.
    :param recent_start_s: seconds after its start for which the process
        reports unknown flows as ``RESTARTED``.
    :param now: start time of the process, in seconds.
    :param overload: settings of the decisions under overload.
    """

    def __init__(
        self,
        gate: Gate,
        codec: PacketCodec,
        outbox: AgentOutbox,
        log: DecisionLog,
        histograms: LatencyHistograms,
        knows_all_flows: bool,
        recent_start_s: float,
        now: float,
        overload: OverloadSettings = ALL_OFF,
    ):
        self.gate = gate
        self._codec = codec
        self._outbox = outbox
        self._log = log
        self._histograms = histograms
        self._knows_all_flows = knows_all_flows
        if not knows_all_flows:
            gate.assume_predecessor(now)
        self._recent_start_s = recent_start_s
        self._started_at = now
        #: Upstream whose flows were restored before its first heartbeat
        #: arrived, else 0.
        self._restored_incarnation = 0
        self._reported_cold_openings: int | None = None
        self.flows = UpstreamFlows()
        self._denied_flows: dict[FlowKey, None] = {}
        self._asked_at_by_flow: dict[FlowKey, float] = {}
        self._last_opening_at_by_balancer: dict[str, float] = {}
        self.routes: RouteIndex | None = None
        self.requests = ScheduledRequests(
            overload.scheduling, gate.service, self.flows, outbox.to_upstream,
            log, histograms,
        )  # fmt: skip
        self.flows.on_end = self.requests.remove
        self._tracker = RequestTracker(
            self.flows, self.requests, codec, gate, log, histograms
        )
        #: Openings that wait for a place at the upstream.
        self.openings = HeldOpenings(
            overload.gate, gate, self._upstream_load, self, log
        )

    def set_routes(self, routes: RouteIndex, now: float) -> None:
        """Use these routes for new flows."""
        self.routes = routes
        self.requests.set_routes(routes, self._capacity(now), now)
        self.gate.set_routes(routes, now)
        self._check_predecessor()
        self.flows.is_changed = True

    def receive_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Process a heartbeat of the upstream.

        :returns: whether the state of the upstream has changed.
        """
        former = self.gate.incarnation
        state = self.gate.state(now)
        if not self.gate.receive_heartbeat(heartbeat, now):
            return False
        if former not in (0, heartbeat.started_ms):
            self._unconfirm_flows(now)
            self._tracker.outcomes = Outcomes()
        if self._restored_incarnation not in (0, heartbeat.started_ms):
            # This may be a late heartbeat of a former upstream, or the
            # restored flows are those of one.
            self._unconfirm_flows(now)
        self._restored_incarnation = 0
        self._check_predecessor()
        is_changed = (
            state is not self.gate.state(now) or former != heartbeat.started_ms
        )
        if is_changed:
            self._log.change(
                'upstream.state', now, state=self.gate.state(now).name,
                service=self.gate.service, datacentre=self.gate.datacentre,
                incarnation=heartbeat.started_ms, sequence=heartbeat.sequence,
                cold_left_s=heartbeat.cold_left_s,
                cold_openings=self.gate.cold_openings(self.routes, now),
            )  # fmt: skip
            self.flows.is_changed = True
        return is_changed

    def _check_predecessor(self) -> None:
        if self.gate.did_turn_cold_after(self._started_at, self.routes):
            self.gate.rule_out_predecessor()

    def record_leaving(self, upstream_id: str, now: float) -> bool:
        """Record that the upstream has announced its end.

        It runs until it refuses connections, see :meth:`record_no_upstream`.

        :returns: whether it is the current upstream of this agent.
        """
        if not self.gate.record_leaving(upstream_id):
            return False
        self._log.change('upstream.left', now, upstream=upstream_id)
        self.flows.is_changed = True
        return True

    def record_no_upstream(self, incarnation: int, now: float) -> bool:
        """Record that nothing listens at the upstream's address.

        An upstream that starts later holds no flow that this process has not
        seen, so that searches need not wait for it.

        :param incarnation: the upstream when the connection was attempted, 0
            for none. A later one may have started since.
        :returns: whether it is still the current upstream.
        """
        if self.gate.incarnation != incarnation:
            return False
        self.gate.record_no_upstream()
        self._restored_incarnation = 0
        self._forget_all_flows(now)
        self.flows.is_changed = True
        return True

    def _unconfirm_flows(self, now: float) -> None:
        """Let the upstream decide on each flow whether it holds it.

        The first heartbeat of a new incarnation may come after flows that it
        has accepted, and a late one of a former incarnation may come at any
        time, so neither shows which flows have ended. The upstream hands back
        the next packet of a flow that it does not hold.
        """
        state_by_flow = self.flows.state_by_flow
        unanswered = [
            flow
            for flow, state in state_by_flow.items()
            if not state.is_answered and state.first_sequence is not None
        ]
        for flow in unanswered:
            self.flows.drop(flow)
        for flow, state in state_by_flow.items():
            self.flows.mark_unconfirmed(flow, state)
        self._log.change(
            'upstream.flows_unconfirmed', now, flows=len(state_by_flow),
            openings_dropped=len(unanswered),
        )  # fmt: skip
        self._denied_flows.clear()

    def _forget_all_flows(self, now: float) -> None:
        self._log.change('upstream.flows_ended', now, flows=self.flow_count)
        self.flows.clear()
        self.requests.clear()
        self._denied_flows.clear()
        self._knows_all_flows = True

    def stop(self, started_ms: int, now: float) -> list[CheckpointPart]:
        """Accept no more new flows.

        :param started_ms: start of this process, Unix time.
        :param now: time in seconds.
        :returns: the open flows, for the next process of this agent.
        """
        self.requests.pass_all(self._capacity(now), now)
        self.gate.close()
        self.openings.return_all(Reason.CLOSED)
        if not self.gate.incarnation:
            return []
        state_by_flow = self.flows.state_by_flow
        flows = [
            flow
            for flow, state in state_by_flow.items()
            if not state.is_only_tried
        ]
        # A flow that was only tried may be one of the upstream as well.
        are_all = self._knows_all_flows and len(flows) == len(state_by_flow)
        return split_flows(started_ms, self.gate.incarnation, flows, are_all)

    def restore(
        self, incarnation: int, flows: list[bytes], now: float
    ) -> None:
        """Restore the flows that an earlier process saved.

        Another process may have run in between, so that they need not be all
        flows.

        :param incarnation: the upstream that held them.
        """
        if self._knows_all_flows or self.gate.incarnation not in (
            0,
            incarnation,
        ):
            return
        for flow in flows:
            state = self.flows.state_by_flow.get(FlowKey(flow))
            if state is None:
                self.flows.add(FlowKey(flow), None, self.routes, now)
            elif state.is_unconfirmed:
                self._confirm_flow(FlowKey(flow), state, now)
        self._restored_incarnation = incarnation
        self._log.change(
            'flows.restored', now, incarnation=incarnation, flows=len(flows)
        )

    def recent_balancers(self, now: float) -> list[str]:
        """Return the balancers that sent an opening recently.

        While the upstream is cold the time is longer, since openings wait
        for its next places.
        """
        is_cold = self.gate.cold_openings(self.routes, now) is not None
        within_s = RECENT_COLD_OPENING_S if is_cold else RECENT_OPENING_S
        return [
            ip
            for ip, opening_at in self._last_opening_at_by_balancer.items()
            if now - opening_at < within_s
        ]

    # Packets and questions from balancers.

    def receive(self, ip: str, forward: frames.Forward, now: float) -> None:
        """Handle a packet that a balancer forwarded."""
        packet = self._codec.from_caller(forward.raw)
        if packet is None:
            return
        current = self.gate.incarnation
        is_for_former_upstream = current and forward.incarnation not in (
            0,
            current,
        )
        # A process that does not know all flows can't tell that this one has
        # ended: the present upstream may have accepted it as well.
        may_deny = packet.is_opening or self._knows_all_flows
        if (
            is_for_former_upstream
            and may_deny
            and packet.flow not in self.flows.state_by_flow
        ):
            self._return_packet(
                ip, Reason.OTHER_UPSTREAM, forward.raw, forward.tried
            )
        elif forward.purpose is Purpose.OPENING:
            self._handle_opening(ip, forward, packet, now)
        else:
            self._handle_flow_packet(ip, forward, packet, now)

    def _handle_opening(
        self, ip: str, forward: frames.Forward, packet: Packet, now: float
    ) -> None:
        flow = packet.flow
        self._last_opening_at_by_balancer[ip] = now
        state = self.flows.state_by_flow.get(flow)
        if state is not None and self._opens_new_flow(state, packet):
            self.flows.drop(flow)
            state = None
        if (
            state is not None
            and state.caller_next_sequence != state.first_sequence
        ):
            # A late copy: the caller has already sent data.
            return
        # An earlier copy may have been sent to an upstream that has ended.
        is_opening_unanswered = (
            state is not None
            and not state.is_answered
            and now - state.opened_at > OPENING_ANSWER_S
        )
        if is_opening_unanswered:
            self.gate.mark_suspect()
            state.opened_at = now
        route = self.routes.route_of(flow) if self.routes else None
        if state is None and route is not None:
            asked_at = self._asked_at_by_flow.pop(
                flow, first_copy_sent_at(packet, now)
            )
            self.openings.offer(
                GateOpening(ip, forward, packet, route, asked_at),
                self.routes, now,
            )  # fmt: skip
            return
        reason = None
        if state is None or is_opening_unanswered:
            reason = self.gate.admit(flow, self.routes, forward.position, now)
        if reason is not None:
            if state is not None:
                self.flows.drop(flow)
            self._return_packet(ip, reason, forward.raw, forward.tried)
            self.flows.is_changed = True
            return
        if state is None:
            state = self.flows.add(flow, ip, self.routes, now)
            state.asked_at = first_copy_sent_at(packet, now)
        self._send_opening(ip, forward, packet, state, now)

    def _send_opening(
        self,
        ip: str,
        forward: frames.Forward,
        packet: Packet,
        state: FlowState,
        now: float,
    ) -> None:
        """Send an admitted opening to the upstream."""
        self.flows.expect_request(packet.flow, state, now)
        state.balancer = ip
        state.tried = forward.tried
        state.first_sequence = (packet.sequence + 1) & 0xFFFFFFFF
        state.caller_next_sequence = state.first_sequence
        self._outbox.to_upstream(packet.raw)

    def receive_age(self, age: frames.OpeningAge, now: float) -> None:
        """Record the age of an opening that is about to arrive."""
        self._asked_at_by_flow[age.flow] = now - age.age_s
        if len(self._asked_at_by_flow) > MAX_EXPECTED_AGES:
            del self._asked_at_by_flow[next(iter(self._asked_at_by_flow))]

    # Sink of the openings at the gate.

    def pass_opening(self, opening: GateOpening, now: float) -> None:
        """Send an admitted opening to the upstream."""
        flow = opening.flow
        self.flows.drop(flow)
        state = self.flows.add(flow, opening.balancer, self.routes, now)
        state.asked_at = opening.asked_at
        self._send_opening(
            opening.balancer, opening.forward, opening.packet, state, now
        )

    def return_opening(self, opening: GateOpening, reason: Reason) -> None:
        """Hand an opening back to its balancer."""
        self._return_packet(
            opening.balancer, reason, opening.packet.raw,
            opening.forward.tried,
        )  # fmt: skip
        self.flows.is_changed = True

    def _pass_next(self, now: float) -> None:
        """Pass on the requests and openings for which there is room."""
        self.requests.pass_next(self._capacity(now), now)
        self.openings.pass_next(self.routes, now)

    @staticmethod
    def _opens_new_flow(state: FlowState, packet: Packet) -> bool:
        """Return whether an opening starts a new flow on a reused port."""
        first = (packet.sequence + 1) & 0xFFFFFFFF
        return state.closed_at is not None or state.first_sequence != first

    def _handle_flow_packet(
        self, ip: str, forward: frames.Forward, packet: Packet, now: float
    ) -> None:
        flow = packet.flow
        state = self.flows.state_by_flow.get(flow)
        if state is None:
            if self._knows_all_flows or flow in self._denied_flows:
                self._return_packet(
                    ip, Reason.NOT_OWNED, forward.raw, forward.tried
                )
                return
            state = self.flows.add(flow, ip, self.routes, now)
            state.is_unconfirmed = True
        elif packet.flags & ACK and not _acknowledges_upstream(
            state, packet.acknowledged
        ):
            self._return_packet(
                ip, Reason.NOT_OWNED, forward.raw, forward.tried
            )
            return
        state.balancer = ip
        state.last_packet_at = now
        if state.is_unconfirmed:
            self._try_upstream(state, packet, now)
        elif self._may_pass(state, packet, now):
            self._outbox.to_upstream(packet.raw)
        self._pass_next(now)

    def _try_upstream(
        self, state: FlowState, packet: Packet, now: float
    ) -> None:
        """Send a packet to the upstream, which may not hold its flow.

        After all processes were killed, most such packets are handed back.
        They neither count as load nor wait behind requests that do.
        """
        if packet.size:
            self._tracker.track_sequence(state, packet)
            state.request_received_at = now
            state.request_id = self._codec.request_id(packet)
        if packet.flags & (FIN | RST):
            self.flows.close(packet.flow, state, now)
        self._outbox.to_upstream(packet.raw)

    def _confirm_flow(
        self, flow: FlowKey, state: FlowState, now: float
    ) -> None:
        """Record that the upstream holds a flow, and count its request."""
        state.is_unconfirmed = False
        if state.request_received_at is None or state.closed_at is not None:
            return
        self.flows.count_request(flow, state, now)
        self._tracker.log_passed(flow, state, now)
        self.flows.start_request(flow, state)
        state.queue_position = self.flows.started_requests
        request = self._request_of(flow, state.request_received_at)
        if request is not None:
            self.requests.record_passed(request, self._capacity(now), now)

    def _request_of(self, flow: FlowKey, sent_at: float) -> Request | None:
        """Return the request of a flow, ``None`` if it has no route."""
        route = self.routes.route_of(flow) if self.routes else None
        if route is None:
            return None
        return Request(
            flow, route.kind, route.priority, route.objective_s,
            route.timeout_s, sent_at,
        )  # fmt: skip

    def _may_pass(self, state: FlowState, packet: Packet, now: float) -> bool:
        """Return whether a packet may pass; if not, it is held or dropped."""
        request = None
        if self._tracker.track_caller(state, packet, now):
            sent_at = self._request_sent_at(state, now)
            request = self._request_of(packet.flow, sent_at)
        if request is None:
            may_pass = self.requests.offer_packet(packet)
        else:
            may_pass = self.requests.offer_request(
                request, packet, self._capacity(now), now
            )
        if packet.flags & (FIN | RST):
            self.flows.close(packet.flow, state, now)
        if packet.flags & RST:
            # After a FIN, the upstream still runs the request before it.
            self._tracker.forget_request(packet.flow, state)
        return may_pass

    @staticmethod
    def _request_sent_at(state: FlowState, now: float) -> float:
        """Return when the caller asked for the request that begins now."""
        return state.asked_at if state.requests == 1 else now

    def answer_questions(
        self, ip: str, message: frames.OwnershipQuestions, now: float
    ) -> None:
        """Answer a balancer's questions about flows of the upstream."""
        self._send_answers(
            ip,
            *(
                Answer(question.flow, self._verdict(question, now))
                for question in message.questions
            ),
        )

    def _verdict(self, question: frames.Question, now: float) -> Verdict:
        state = self.flows.state_by_flow.get(question.flow)
        if state is not None and not state.is_only_tried:
            is_owned = _acknowledges_upstream(state, question.acknowledged)
            return Verdict.OWNED if is_owned else Verdict.NOT_OWNED
        is_unknown = state is None and self._knows_all_flows
        if is_unknown or question.flow in self._denied_flows:
            return Verdict.NOT_OWNED
        if now - self._started_at < self._recent_start_s:
            return Verdict.RESTARTED
        return Verdict.UNKNOWN

    def _send_answers(self, ip: str, *answers: Answer) -> None:
        self._outbox.to_balancer(
            ip, frames.encode_answers(self.gate.incarnation, answers)
        )

    def _return_packet(
        self, ip: str, reason: Reason, raw: bytes, tried: tuple[int, ...]
    ) -> None:
        position = self.routes.position if self.routes else NO_POSITION
        self._outbox.to_balancer(
            ip,
            frames.encode_return(
                reason, position, self.gate.incarnation, raw, tried
            ),
        )

    # Packets from the upstream.

    def receive_upstream(self, packet: Packet, now: float) -> None:
        """Handle a packet that the upstream sent or handed back."""
        if packet.flags & BOUNCED:
            self._handle_bounced(packet, now)
            return
        flow = packet.flow
        state = self.flows.state_by_flow.get(flow)
        if state is None:
            state = self.flows.add(flow, None, self.routes, now)
        elif state.is_unconfirmed:
            self._confirm_flow(flow, state, now)
            if state.balancer is not None:
                self._send_answers(state.balancer, Answer(flow, Verdict.OWNED))
        state.last_packet_at = now
        if state.answered_at is None:
            state.answered_at = now
            self.flows.record_opening_answer(flow, now)
        self._tracker.track_upstream(state, packet, now)
        self._pass_next(now)
        self._outbox.to_caller(flow, packet.raw)

    def load(self, now: float) -> int:
        """Return the requests that go before a new one that is on time.

        They run, wait or are expected. Held requests that are late wait
        behind it, see :meth:`late_load`. Counted here, they would keep
        openings on time away from an upstream that then runs the late ones.
        """
        load = self._upstream_load(now)
        return load.running + self.openings.in_time_count(load.work_s, now)

    def late_load(self, now: float) -> int:
        """Return the late requests that go before a new late one.

        They are held, or wait at the gate. Without this number an agent that
        holds late requests looks emptier than the others to a backlog of
        late openings, and gets all of it.
        """
        load = self._upstream_load(now)
        return load.late + self.openings.late_count(load.work_s, now)

    def _upstream_load(self, now: float) -> UpstreamLoad:
        """Return the load without the openings that wait at the gate."""
        capacity = self._capacity(now)
        late = self.requests.late_count(capacity, now)
        running = max(0, self.flows.running - late)
        return UpstreamLoad(running, capacity.slots, capacity.work_s, late)

    def _capacity(self, now: float) -> Capacity:
        return Capacity(self.gate.slots, self.outcomes.work_s(now))

    @property
    def outcomes(self) -> Outcomes:
        """How the requests of the upstream end."""
        return self._tracker.outcomes

    def _handle_bounced(self, packet: Packet, now: float) -> None:
        """Handle a packet that the upstream handed back."""
        flow = packet.flow
        state = self.flows.state_by_flow.get(flow)
        if state is None or state.balancer is None:
            return
        if packet.is_opening:
            if state.is_answered:
                return
            reason = Reason.FULL
        elif state.is_answered and _acknowledges_upstream(
            state, packet.acknowledged
        ):
            # An unconfirmed flow ended with a former incarnation.
            has_other = state.is_unconfirmed
            reason = Reason.OTHER_UPSTREAM if has_other else Reason.ENDED
        else:
            reason = Reason.NOT_OWNED
            self._record_denial(flow)
        self.flows.is_changed |= not state.is_unconfirmed
        self.flows.drop(flow)
        self._log.decision(
            'upstream.handed_back', flow, now, reason=reason.name
        )
        self._return_packet(state.balancer, reason, packet.raw, state.tried)
        self._pass_next(now)

    def _record_denial(self, flow: FlowKey) -> None:
        self._denied_flows[flow] = None
        if len(self._denied_flows) > MAX_DENIED_FLOWS:
            del self._denied_flows[next(iter(self._denied_flows))]

    def check_cold_openings(self, now: float) -> None:
        """Check how many openings a cold upstream can take now.

        The load is marked as changed if that number has changed. Openings
        that led to no request stop counting as load.
        """
        left = self.gate.cold_openings(self.routes, now)
        if left != self._reported_cold_openings:
            self._reported_cold_openings = left
            self.flows.is_changed = True
        self.flows.drop_overdue_openings(now)
        self._pass_next(now)

    def sweep(self, now: float) -> None:
        """Record overdue requests; forget flows that are closed or idle."""
        self._tracker.record_overdue(now)
        idle_s = self.routes.table.idle_timeout_s if self.routes else 60.0
        self.flows.sweep(idle_s, now)
        if (
            not self._knows_all_flows
            and self.routes is not None
            and now - self._started_at > idle_s + IDLE_MARGIN_S
        ):
            # Each flow that is not idle has had a packet since the start.
            self._knows_all_flows = True
            self._log.change('flows.all_known', now, flows=self.flow_count)

    @property
    def flow_count(self) -> int:
        """Number of known flows."""
        return len(self.flows.state_by_flow)


def _acknowledges_upstream(state: FlowState, acknowledged: int) -> bool:
    """Return whether an acknowledgement refers to data of this upstream.

    If an opening reached two upstreams, the caller continues with the one
    that answered first. An upstream that has not answered the opening is
    therefore not the one that the caller acknowledges.
    """
    if state.upstream_next_sequence is None:
        return state.first_sequence is None
    distance = sequence_distance(acknowledged, state.upstream_next_sequence)
    return abs(distance) <= MAX_WINDOW_BYTES
