"""Follows the requests on the flows of an upstream by their packets."""

from ibispitch.decisionlog import DecisionLog
from ibispitch.forwarding.flows import FlowState
from ibispitch.forwarding.flows import UpstreamFlows
from ibispitch.forwarding.packets import FIN
from ibispitch.forwarding.packets import FlowKey
from ibispitch.forwarding.packets import Packet
from ibispitch.forwarding.packets import PacketCodec
from ibispitch.forwarding.packets import RST
from ibispitch.forwarding.packets import sequence_distance
from ibispitch.forwarding.packets import SYN
from ibispitch.forwarding.requests import ScheduledRequests
from ibispitch.gate.core import Gate
from ibispitch.histograms import LatencyHistograms
from ibispitch.histograms import Series
from ibispitch.outcomes.core import Outcomes


class RequestTracker:
    """Tells where requests begin and end, and records how they end.

    :param flows: the flows of the upstream.
    :param requests: the requests that wait or run; it learns of answers.
    :param codec: reads the names of requests for the log.
    :param gate: the upstream's service and slots.
    :param log: log of the requests.
    :param histograms: records their latency.
    """

    def __init__(
        self,
        flows: UpstreamFlows,
        requests: ScheduledRequests,
        codec: PacketCodec,
        gate: Gate,
        log: DecisionLog,
        histograms: LatencyHistograms,
    ):
        self._flows = flows
        self._requests = requests
        self._codec = codec
        self._gate = gate
        self._log = log
        self._histograms = histograms
        self.outcomes = Outcomes()

    def track_caller(
        self, state: FlowState, packet: Packet, now: float
    ) -> bool:
        """Record the data of a caller's packet.

        :returns: whether a request begins.
        """
        if not packet.size or not self.track_sequence(state, packet):
            return False
        begins_request = state.request_received_at is None
        if begins_request:
            state.held_s = 0.0
            self._flows.count_request(packet.flow, state, now)
            self._record_request(state, packet, now)
        state.request_received_at = now
        self._flows.start_request(packet.flow, state)
        state.queue_position = self._flows.started_requests
        state.is_overdue = False
        return begins_request

    @staticmethod
    def track_sequence(state: FlowState, packet: Packet) -> bool:
        """Record the end of a caller's data.

        :returns: whether the packet has data that was not seen before.
        """
        end = (packet.sequence + packet.size) & 0xFFFFFFFF
        is_new = (
            state.caller_next_sequence is None
            or sequence_distance(end, state.caller_next_sequence) > 0
        )
        if is_new:
            state.caller_next_sequence = end
        return is_new

    def _record_request(
        self, state: FlowState, packet: Packet, now: float
    ) -> None:
        state.request_id = self._codec.request_id(packet)
        self.log_passed(packet.flow, state, now)

    def log_passed(self, flow: FlowKey, state: FlowState, now: float) -> None:
        """Log that a request was passed to the upstream."""
        self._log.decision(
            'request.passed', flow, now, request=state.request_id,
            running=self._flows.running, balancer=state.balancer,
        )  # fmt: skip

    def track_upstream(
        self, state: FlowState, packet: Packet, now: float
    ) -> None:
        """Record what an upstream's packet says of the request of its flow."""
        length = packet.size + bool(packet.flags & SYN)
        end = (packet.sequence + length) & 0xFFFFFFFF
        # Packets may be reordered: a FIN or RST may arrive before the answer.
        is_reordered = state.upstream_next_sequence is not None and (
            sequence_distance(packet.sequence, state.upstream_next_sequence)
            > 0
        )
        if (
            state.upstream_next_sequence is None
            or sequence_distance(end, state.upstream_next_sequence) > 0
        ):
            state.upstream_next_sequence = end
        # If the request is held, the data belongs to an earlier answer.
        if packet.size and not state.is_held:
            if state.request_received_at is not None:
                took_s = now - state.request_received_at
                self._record_answer(packet.flow, state, took_s, now)
                self._log.decision(
                    'request.answered', packet.flow, now,
                    request=state.request_id,
                    took_ms=round(1000 * took_s, 1),
                )  # fmt: skip
                state.request_received_at = None
            self._flows.end_request(state)
            self._requests.record_answer(packet.flow)
        if packet.flags & (FIN | RST):
            if state.is_awaiting_answer and not is_reordered:
                self._record_failure(packet.flow, state, 'broken off', now)
                state.request_received_at = None
            self._flows.close(packet.flow, state, now)
            self._requests.record_answer(packet.flow)
            if packet.flags & RST:
                self.forget_request(packet.flow, state)

    def _record_answer(
        self, flow: FlowKey, state: FlowState, took_s: float, now: float
    ) -> None:
        """Record the time from a request's last packet to its answer."""
        self._histograms.record(
            Series('request_latency', self._gate.service, state.kind),
            state.held_s + took_s,
        )
        self.outcomes.record_answer(
            took_s, state.queue_position, self._gate.slots, now
        )

    def _record_failure(
        self, flow: FlowKey, state: FlowState, why: str, now: float
    ) -> None:
        self.outcomes.record_failure(now)
        self._log.failure(
            'request.failed', flow, now, why=why, request=state.request_id,
            service=self._gate.service, kind=state.kind,
            running=self._flows.running,
            failing=round(self.outcomes.failure_share(now), 2),
        )  # fmt: skip

    def forget_request(self, flow: FlowKey, state: FlowState) -> None:
        """Forget the request of a flow that was reset."""
        self._requests.remove(flow)
        state.is_held = False

    def record_overdue(self, now: float) -> None:
        """Record requests that the upstream has not answered for long."""
        for flow, state in self._flows.state_by_flow.items():
            if state.has_become_overdue(now):
                state.is_overdue = True
                self._record_failure(flow, state, 'no answer', now)
