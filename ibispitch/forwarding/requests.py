"""Connects the scheduler of requests to the flows of an upstream."""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable

from ibispitch.decisionlog import DecisionLog
from ibispitch.forwarding.flows import FlowState
from ibispitch.forwarding.flows import UpstreamFlows
from ibispitch.forwarding.packets import ACK
from ibispitch.forwarding.packets import FlowKey
from ibispitch.forwarding.packets import Packet
from ibispitch.forwarding.packets import RST
from ibispitch.histograms import LatencyHistograms
from ibispitch.histograms import Series
from ibispitch.ids import ServiceName
from ibispitch.routes.model import RouteIndex
from ibispitch.scheduling.core import Capacity
from ibispitch.scheduling.core import Offer
from ibispitch.scheduling.core import Released
from ibispitch.scheduling.core import Request
from ibispitch.scheduling.core import RequestScheduler
from ibispitch.settings.overload import Mode
from ibispitch.settings.overload import SchedulingSettings


class ScheduledRequests:
    """Holds requests of the flows and passes them on in order.

    :param settings: settings of the scheduler.
    :param service: the service of the upstream.
    :param flows: the flows of the upstream.
    :param send: sends a packet to the upstream.
    :param log: log of the decisions.
    :param histograms: records the time that requests are held.
    """

    def __init__(
        self,
        settings: SchedulingSettings,
        service: ServiceName,
        flows: UpstreamFlows,
        send: Callable[[bytes], None],
        log: DecisionLog,
        histograms: LatencyHistograms,
    ):
        self._settings = settings
        self._service = service
        self._flows = flows
        self._send = send
        self._log = log
        self._histograms = histograms
        self._scheduler = RequestScheduler(settings)
        self._is_active = settings.mode is Mode.ON
        #: Requests by kind and outcome: held, passed on time, passed late,
        #: expired.
        self.count_by_kind_and_outcome: Counter[tuple[str, str]] = Counter()

    @property
    def count_by_outcome(self) -> Counter[str]:
        """Requests of all kinds by outcome."""
        counts: Counter[str] = Counter()
        for (_, outcome), count in self.count_by_kind_and_outcome.items():
            counts[outcome] += count
        return counts

    @property
    def held_count(self) -> int:
        """Number of held requests."""
        return self._scheduler.held_count

    def late_count(self, capacity: Capacity, now: float) -> int:
        """Return the number of held requests that miss their objective."""
        return self._scheduler.late_count(capacity, now)

    @property
    def held_bytes(self) -> int:
        """Size of the held packets."""
        return self._scheduler.held_bytes

    @property
    def passed_count(self) -> int:
        """Number of requests at the upstream."""
        return self._scheduler.passed_count

    @property
    def is_active(self) -> bool:
        """Whether requests are held."""
        return self._is_active

    def set_routes(
        self, routes: RouteIndex, capacity: Capacity, now: float
    ) -> None:
        """Hold requests if the routes call for it.

        In the mode ``AUTO`` the service must have routes of more than one
        priority, so that some requests go before others.
        """
        is_active = self._settings.mode is Mode.ON or (
            self._settings.mode is Mode.AUTO
            and len(routes.priorities_by_service.get(self._service, ())) > 1
        )
        if is_active != self._is_active:
            self._log.change('requests.scheduled', now, is_active=is_active)
            self._is_active = is_active
            self.pass_all(capacity, now)

    def offer_request(
        self, request: Request, packet: Packet, capacity: Capacity, now: float
    ) -> bool:
        """Return whether the first packet of a request may pass now.

        If not, it is held, and :meth:`pass_next` passes it on.
        """
        if not self._is_active:
            return True
        was_held = self._scheduler.is_held(packet.flow)
        offer = self._scheduler.offer(
            request, _packet_key(packet), packet.raw, capacity, now
        )
        state = self._flows.state_by_flow[packet.flow]
        state.is_held = self._scheduler.is_held(packet.flow)
        if state.is_held and not was_held:
            self.count_by_kind_and_outcome[request.kind, 'held'] += 1
            self._log.decision(
                'request.held', packet.flow, now, request=state.request_id,
                service=self._service, kind=request.kind,
                held=self._scheduler.held_count, slots=capacity.slots,
                passed=self._scheduler.passed_count,
                work_ms=round(1000 * capacity.work_s),
            )  # fmt: skip
        return offer is Offer.PASS

    def offer_packet(self, packet: Packet) -> bool:
        """Return whether a packet that begins no request may pass now."""
        if not self._scheduler.is_held(packet.flow):
            return True
        if packet.flags & RST:
            self._scheduler.remove(packet.flow)
            return True
        if packet.flags == ACK and not packet.size:
            return True
        offer = self._scheduler.offer_next(
            packet.flow, _packet_key(packet), packet.raw
        )
        return offer is Offer.PASS

    def record_passed(
        self, request: Request, capacity: Capacity, now: float
    ) -> None:
        """Record a request that has reached the upstream by another way."""
        if self._is_active:
            self._scheduler.record_passed(request, capacity, now)

    def record_answer(self, flow: FlowKey) -> None:
        """Record that the upstream has answered the request of a flow."""
        self._scheduler.record_answer(flow)

    def remove(self, flow: FlowKey) -> None:
        """Forget a flow that was closed or lost."""
        self._scheduler.remove(flow)

    def clear(self) -> None:
        """Forget all flows, because the upstream has ended."""
        self._scheduler.clear()

    def pass_next(self, capacity: Capacity, now: float) -> None:
        """Pass on the requests for which there is room.

        Those that can't be answered before their callers give up are dropped
        first. After a suspension of the process, they would otherwise take
        all places.
        """
        if self._scheduler.held_count:
            self._drop_expired(capacity, now)
            self._pass(self._scheduler.take(capacity, now), now)

    def pass_all(self, capacity: Capacity, now: float) -> None:
        """Pass on all held requests."""
        self._pass(self._scheduler.take_all(capacity, now), now)

    def _pass(self, released: Iterable[Released], now: float) -> None:
        for request, packets, held_s, is_late in released:
            state = self._flows.state_by_flow.get(request.flow)
            if state is None:
                self._scheduler.remove(request.flow)
                continue
            state.is_held = False
            state.held_s = held_s
            state.request_received_at = now
            state.queue_position = self._scheduler.passed_count
            for raw in packets:
                self._send(raw)
            outcome = 'passed_late' if is_late else 'passed_on_time'
            self.count_by_kind_and_outcome[state.kind, outcome] += 1
            self._histograms.record(
                Series('request_held', self._service, state.kind), held_s
            )
            self._log.decision(
                'request.released', request.flow, now,
                request=state.request_id, service=self._service,
                kind=state.kind, held_ms=round(1000 * held_s),
                is_late=is_late, held=self._scheduler.held_count,
            )  # fmt: skip

    def _drop_expired(self, capacity: Capacity, now: float) -> None:
        for request in self._scheduler.take_expired(capacity, now):
            self.count_by_kind_and_outcome[request.kind, 'expired'] += 1
            state = self._flows.state_by_flow.get(request.flow)
            if state is not None:
                self._end_expired(state, now)
            self._log.failure(
                'request.expired', request.flow, now,
                request=state.request_id if state else None,
                service=self._service, kind=request.kind,
                waited_ms=round(1000 * (now - request.sent_at)),
                held=self._scheduler.held_count,
            )  # fmt: skip

    def _end_expired(self, state: FlowState, now: float) -> None:
        state.is_held = False
        state.request_received_at = None
        self._flows.end_request(state)


def _packet_key(packet: Packet) -> tuple[int, int, int]:
    return packet.sequence, packet.size, packet.flags
