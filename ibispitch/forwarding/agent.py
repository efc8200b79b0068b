"""Decisions of an agent on the packets of its upstream's flows."""

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
from ibispitch.forwarding.packets import ACK
from ibispitch.forwarding.packets import BOUNCED
from ibispitch.forwarding.packets import FIN
from ibispitch.forwarding.packets import FlowKey
from ibispitch.forwarding.packets import MAX_WINDOW_BYTES
from ibispitch.forwarding.packets import Packet
from ibispitch.forwarding.packets import PacketCodec
from ibispitch.forwarding.packets import RST
from ibispitch.forwarding.packets import sequence_distance
from ibispitch.forwarding.packets import SYN
from ibispitch.gate.core import Gate
from ibispitch.gate.core import Heartbeat
from ibispitch.histograms import LatencyHistograms
from ibispitch.histograms import Series
from ibispitch.outcomes.core import Outcomes
from ibispitch.placement.core import estimated_work_s
from ibispitch.placement.core import MAX_GATE_QUEUE_SHARE
from ibispitch.placement.core import queue_delay_s
from ibispitch.routes.model import RouteIndex

#: Inaccuracy of the time at which an upstream started: its first heartbeat
#: waits at a busy host. A flow that is kept wrongly is handed back by the
#: upstream at its next packet.
BORN_SLACK_S = 0.1
#: Time after which an opening should have been answered. The upstream is on
#: the same host, and copies of openings come after 200 ms.
UNANSWERED_S = 0.1
#: Flows that an upstream turned out not to hold, remembered at most.
MAX_DENIED = 4096
#: Balancers that sent an opening within this time get each change of load.
#: Others get it with the next round: a fleet of 60 agents and 23 balancers
#: otherwise spends a quarter of a balancer's 12 Mbit/s on changes.
USER_S = 0.3


class AgentOutbox(Protocol):
    """Where an agent sends datagrams."""

    def to_balancer(self, ip: str, data: bytes) -> None:
        """Send a frame to a balancer."""

    def to_upstream(self, raw: bytes) -> None:
        """Send a caller's packet to the upstream."""

    def to_caller(self, flow: FlowKey, raw: bytes) -> None:
        """Send an upstream's packet to the caller of a flow."""


class AgentCore:
    """Passes packets between balancers, one upstream and callers.

    :param gate: decides on new flows.
    :param codec: reads the packets.
    :param outbox: where datagrams go.
    :param log: lines on decisions.
    :param histograms: gets the latency of requests.
    :param knows_all_flows: whether the upstream cannot hold a flow that began
        before this process.
    :param recent_start_s: time after the start for which it counts as recent.
    :param now: time of the start, in seconds.
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
    ):
        self.gate = gate
        self._codec = codec
        self._outbox = outbox
        self._log = log
        self._measures = histograms
        self._knows_all = knows_all_flows
        if not knows_all_flows:
            gate.assume_predecessor(now)
        self._recent_s = recent_start_s
        self._started_at = now
        #: Upstream whose flows were restored before it was heard, or 0.
        self._restored = 0
        self._told_openings: int | None = None
        self.flows = UpstreamFlows()
        self._denied: dict[FlowKey, None] = {}
        self._used_at_by_balancer: dict[str, float] = {}
        self.routes: RouteIndex | None = None
        self.outcomes = Outcomes()

    def set_routes(self, routes: RouteIndex, now: float) -> None:
        """Use new routes for new flows."""
        self.routes = routes
        self.gate.set_routes(routes, now)
        self._check_age(now)
        self.flows.is_changed = True

    def receive_heartbeat(self, report: Heartbeat, now: float) -> bool:
        """Take in a heartbeat of the upstream.

        :returns: whether the state of the upstream has changed.
        """
        former = self.gate.incarnation
        state = self.gate.state(now)
        if not self.gate.receive_heartbeat(report, now):
            return False
        if former not in (0, report.started_ms):
            self._forget_former(now)
            self.outcomes = Outcomes()
        if self._restored == report.started_ms:
            self._knows_all = True
        elif self._restored:
            # The flows belong to an upstream that has ended meanwhile.
            self._forget_all(now)
        self._restored = 0
        self._check_age(now)
        is_changed = (
            state is not self.gate.state(now) or former != report.started_ms
        )
        if is_changed:
            self._log.change(
                'upstream.state', now, state=self.gate.state(now).name,
                incarnation=report.started_ms, sequence=report.sequence,
                cold_left_s=report.cold_left_s,
                cold_openings=self.gate.cold_openings(self.routes, now),
            )  # fmt: skip
            self.flows.is_changed = True
        return is_changed

    def _check_age(self, now: float) -> None:
        if not self._knows_all and self.gate.did_upstream_start_after(
            self._started_at, self.routes
        ):
            self._knows_all = True
            self.gate.rule_out_predecessor()
            self._log.change('upstream.holds_no_earlier_flows', now)

    def record_upstream_end(self, upstream_id: str, now: float) -> bool:
        """Note that the upstream said that it ends."""
        if not self.gate.record_upstream_end(upstream_id):
            return False
        self._log.change('upstream.left', now, upstream=upstream_id)
        self._forget_all(now)
        self.flows.is_changed = True
        return True

    def _forget_former(self, now: float) -> None:
        """Forget the flows of the upstream before the present one.

        The present one may have taken flows before its first heartbeat.
        """
        born_at = self.gate.upstream_started_at(self.routes)
        if born_at is None:
            self._forget_all(now)
            return
        ended = [
            flow
            for flow, state in self.flows.state_by_flow.items()
            if state.answered_at is None
            or state.answered_at < born_at - BORN_SLACK_S
        ]
        self._log.change(
            'upstream.flows_ended', now, flows=len(ended),
            kept=self.flow_count - len(ended),
        )  # fmt: skip
        for flow in ended:
            self.flows.drop(flow)
        self._denied.clear()
        self._knows_all = True

    def _forget_all(self, now: float) -> None:
        self._log.change('upstream.flows_ended', now, flows=self.flow_count)
        self.flows.clear()
        self._denied.clear()
        self._knows_all = True

    def stop(self, started_ms: int) -> list[CheckpointPart]:
        """Take no new flows from now on.

        :param started_ms: start of this process, Unix time.
        :returns: the open flows, for the process that follows this one.
        """
        self.gate.close()
        flows = [
            flow
            for flow, state in self.flows.state_by_flow.items()
            if not state.is_on_trial
        ]
        if not self._knows_all or not self.gate.incarnation:
            return []
        return split_flows(started_ms, self.gate.incarnation, flows)

    def restore(
        self, incarnation: int, flows: list[bytes], now: float
    ) -> None:
        """Take in the flows that the former process has left.

        :param incarnation: the upstream that held them.
        """
        if self._knows_all or self.gate.incarnation not in (0, incarnation):
            return
        for flow in flows:
            state = self.flows.state_by_flow.get(FlowKey(flow))
            if state is None:
                self.flows.add(FlowKey(flow), None, self.routes, now)
            else:
                state.is_on_trial = False
        self._restored = incarnation
        self._knows_all = self.gate.incarnation == incarnation
        self._log.change(
            'flows.restored', now, incarnation=incarnation, flows=len(flows)
        )

    def recent_balancers(self, now: float) -> list[str]:
        """Return the balancers that sent openings a short time ago."""
        return [
            ip
            for ip, used_at in self._used_at_by_balancer.items()
            if now - used_at < USER_S
        ]

    # From balancers.

    def receive(self, ip: str, forward: frames.Forward, now: float) -> None:
        """Handle a packet that a balancer forwarded."""
        packet = self._codec.from_caller(forward.raw)
        if packet is None:
            return
        own = self.gate.incarnation
        is_former = own and forward.incarnation not in (0, own)
        if is_former and packet.flow not in self.flows.state_by_flow:
            self._return(ip, Reason.OTHER_UPSTREAM, forward.raw, forward.tried)
        elif forward.purpose is Purpose.OPENING:
            self._open(ip, forward, packet, now)
        else:
            self._pass(ip, forward, packet, now)

    def _open(
        self, ip: str, forward: frames.Forward, packet: Packet, now: float
    ) -> None:
        flow = packet.flow
        self._used_at_by_balancer[ip] = now
        state = self.flows.state_by_flow.get(flow)
        if state is not None and self._is_other(state, packet):
            self.flows.drop(flow)
            state = None
        if state is not None and state.caller_next != state.first:
            # A late copy: the caller has gone on with the flow.
            return
        # An earlier copy may have been lost at an upstream that has ended.
        is_lost = (
            state is not None
            and not state.is_answered
            and now - state.opened_at > UNANSWERED_S
        )
        if is_lost:
            self.gate.mark_suspect()
            state.opened_at = now
        reason = self._reason_to_wait(flow, now) if state is None else None
        if reason is None and (state is None or is_lost):
            reason = self.gate.admit(flow, self.routes, forward.revision, now)
        if reason is not None:
            if state is not None:
                self.flows.drop(flow)
            self._return(ip, reason, forward.raw, forward.tried)
            self.flows.is_changed = True
            return
        if state is None:
            state = self.flows.add(flow, ip, self.routes, now)
        self.flows.expect_request(flow, state, now)
        state.balancer = ip
        state.tried = forward.tried
        state.first = (packet.sequence + 1) & 0xFFFFFFFF
        state.caller_next = state.first
        self._outbox.to_upstream(packet.raw)

    def _reason_to_wait(self, flow: FlowKey, now: float) -> Reason | None:
        """Return why the upstream should not get an opening now."""
        route = self.routes.route_of(flow) if self.routes else None
        if route is None:
            return None
        work_s = estimated_work_s(self.outcomes.work_s(now), route.objective_s)
        delay_s = queue_delay_s(self.flows.running, self._slots, work_s)
        if delay_s > MAX_GATE_QUEUE_SHARE * route.objective_s:
            return Reason.FULL
        return None

    @staticmethod
    def _is_other(state: FlowState, packet: Packet) -> bool:
        """Return whether an opening is not a copy but uses a port again."""
        first = (packet.sequence + 1) & 0xFFFFFFFF
        return state.closed_at is not None or state.first != first

    def _pass(
        self, ip: str, forward: frames.Forward, packet: Packet, now: float
    ) -> None:
        flow = packet.flow
        state = self.flows.state_by_flow.get(flow)
        if state is None:
            if self._knows_all or flow in self._denied:
                self._return(ip, Reason.NOT_OWNED, forward.raw, forward.tried)
                return
            state = self.flows.add(flow, ip, self.routes, now)
            state.is_on_trial = True
        elif packet.flags & ACK and not _fits(state, packet.acknowledged):
            self._return(ip, Reason.NOT_OWNED, forward.raw, forward.tried)
            return
        state.balancer = ip
        state.seen_at = now
        self._follow_caller(state, packet, now)
        self._outbox.to_upstream(packet.raw)

    def _follow_caller(
        self, state: FlowState, packet: Packet, now: float
    ) -> None:
        if packet.size:
            end = (packet.sequence + packet.size) & 0xFFFFFFFF
            if (
                state.caller_next is None
                or sequence_distance(end, state.caller_next) > 0
            ):
                state.caller_next = end
                if state.request_at is None:
                    self._note_request(state, packet, now)
                state.request_at = now
                self.flows.start_request(packet.flow, state)
                state.place = self.flows.requests
                state.is_overdue = False
        if packet.flags & (FIN | RST):
            self.flows.close(state, now)

    def _note_request(
        self, state: FlowState, packet: Packet, now: float
    ) -> None:
        state.request_id = self._codec.request_id(packet)
        self._log.decision(
            'request.passed', packet.flow, now, request=state.request_id,
            running=self.flows.running, balancer=state.balancer,
        )  # fmt: skip

    def answer_questions(
        self, ip: str, ask: frames.OwnershipQuestions, now: float
    ) -> None:
        """Answer whether the upstream holds some flows."""
        self._tell(
            ip,
            *(
                Answer(question.flow, self._verdict(question, now))
                for question in ask.questions
            ),
        )

    def _verdict(self, question: frames.Question, now: float) -> Verdict:
        state = self.flows.state_by_flow.get(question.flow)
        if state is not None and not state.is_on_trial:
            fits = _fits(state, question.acknowledged)
            return Verdict.OWNED if fits else Verdict.NOT_OWNED
        if self._knows_all or question.flow in self._denied:
            return Verdict.NOT_OWNED
        if now - self._started_at < self._recent_s:
            return Verdict.RESTARTED
        return Verdict.UNKNOWN

    def _tell(self, ip: str, *answers: Answer) -> None:
        self._outbox.to_balancer(
            ip, frames.encode_answers(self.gate.incarnation, answers)
        )

    def _return(
        self, ip: str, reason: Reason, raw: bytes, tried: tuple[int, ...]
    ) -> None:
        revision = self.routes.revision if self.routes else 0
        self._outbox.to_balancer(
            ip,
            frames.encode_return(
                reason, revision, self.gate.incarnation, raw, tried
            ),
        )

    # From the upstream.

    def receive_upstream(self, packet: Packet, now: float) -> None:
        """Handle a packet that the upstream sent or handed back."""
        if packet.flags & BOUNCED:
            self._take_back(packet, now)
            return
        flow = packet.flow
        state = self.flows.state_by_flow.get(flow)
        if state is None:
            state = self.flows.add(flow, None, self.routes, now)
        elif state.is_on_trial:
            state.is_on_trial = False
            if state.balancer is not None:
                self._tell(state.balancer, Answer(flow, Verdict.OWNED))
        state.seen_at = now
        if state.answered_at is None:
            state.answered_at = now
        self._follow_upstream(state, packet, now)
        self._outbox.to_caller(flow, packet.raw)

    def _follow_upstream(
        self, state: FlowState, packet: Packet, now: float
    ) -> None:
        length = packet.size + bool(packet.flags & SYN)
        end = (packet.sequence + length) & 0xFFFFFFFF
        # Packets may overtake each other: the end may come before the answer.
        is_early = state.upstream_next is not None and (
            sequence_distance(packet.sequence, state.upstream_next) > 0
        )
        if (
            state.upstream_next is None
            or sequence_distance(end, state.upstream_next) > 0
        ):
            state.upstream_next = end
        if packet.size:
            if state.request_at is not None:
                took_s = now - state.request_at
                self._measure(state, took_s, now)
                self._log.decision(
                    'request.answered', packet.flow, now,
                    request=state.request_id,
                    took_ms=round(1000 * took_s, 1),
                )  # fmt: skip
                state.request_at = None
            self.flows.end_request(state)
        if packet.flags & (FIN | RST):
            if state.is_unanswered and not is_early:
                self._note_failure(packet.flow, state, 'broken off', now)
                state.request_at = None
            self.flows.close(state, now)

    def _measure(self, state: FlowState, took_s: float, now: float) -> None:
        """Take in the time from a request's last byte to its answer."""
        self._measures.record(
            Series('request_latency', self.gate.service, state.kind), took_s
        )
        self.outcomes.record_answer(took_s, state.place, self._slots, now)

    def _note_failure(
        self, flow: FlowKey, state: FlowState, why: str, now: float
    ) -> None:
        self.outcomes.record_failure(now)
        self._log.failure(
            'request.failed', flow, now, why=why, request=state.request_id,
            running=self.flows.running,
            failing=round(self.outcomes.failure_share(now), 2),
        )  # fmt: skip

    @property
    def _slots(self) -> int:
        return self.gate.heartbeat.slots if self.gate.heartbeat else 1

    def _take_back(self, packet: Packet, now: float) -> None:
        """Handle a packet that the upstream does not take."""
        flow = packet.flow
        state = self.flows.state_by_flow.get(flow)
        if state is None or state.balancer is None:
            return
        if packet.is_opening:
            if state.is_answered:
                return
            reason = Reason.FULL
        elif state.is_answered and _fits(state, packet.acknowledged):
            reason = Reason.ENDED
        else:
            reason = Reason.NOT_OWNED
            self._deny(flow)
        self.flows.drop(flow)
        self.flows.is_changed = True
        self._log.decision(
            'upstream.handed_back', flow, now, reason=reason.name
        )
        self._return(state.balancer, reason, packet.raw, state.tried)

    def _deny(self, flow: FlowKey) -> None:
        self._denied[flow] = None
        if len(self._denied) > MAX_DENIED:
            del self._denied[next(iter(self._denied))]

    def check_cold_openings(self, now: float) -> None:
        """Notice when a cold upstream bears more new flows than before.

        Openings that led to no request stop counting as load.
        """
        left = self.gate.cold_openings(self.routes, now)
        if left != self._told_openings:
            self._told_openings = left
            self.flows.is_changed = True
        self.flows.drop_overdue_openings(now)

    def sweep(self, now: float) -> None:
        """Notice overdue requests; forget flows that are closed or idle."""
        for flow, state in self.flows.state_by_flow.items():
            if state.turns_overdue(now):
                state.is_overdue = True
                self._note_failure(flow, state, 'no answer', now)
        idle_s = self.routes.table.idle_timeout_s if self.routes else 60.0
        self.flows.sweep(idle_s, now)

    @property
    def flow_count(self) -> int:
        """Flows that are known."""
        return len(self.flows.state_by_flow)


def _fits(state: FlowState, acknowledged: int) -> bool:
    """Return whether an acknowledgement is one of this upstream's bytes.

    A caller whose opening reached two upstreams goes on with one of them. As
    long as the upstream has not answered the opening, it is the other one.
    """
    if state.upstream_next is None:
        return state.first is None
    distance = sequence_distance(acknowledged, state.upstream_next)
    return abs(distance) <= MAX_WINDOW_BYTES
