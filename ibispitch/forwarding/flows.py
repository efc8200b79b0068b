"""The flows of an upstream and the load that they cause."""

from collections.abc import Callable

from ibispitch.forwarding.packets import Destination
from ibispitch.forwarding.packets import destination_of
from ibispitch.forwarding.packets import FlowKey
from ibispitch.outcomes.core import OVERDUE_AFTER_OBJECTIVES
from ibispitch.reuse.core import FlowReuse
from ibispitch.routes.kinds import kind_named
from ibispitch.routes.model import RouteIndex

#: Time for which an opening counts as load while its upstream has not answered
#: it: the round trip to the caller and one lost packet (200 ms).
MAX_REQUEST_WAIT_S = 0.25
#: Shortest time for which an opening that the upstream has answered counts as
#: load without a request. A caller that has given up sends none: after a mass
#: kill one opening in ten comes from such a caller, and each would hold a
#: slot.
MIN_REQUEST_WAIT_S = 0.025
#: The same before any request was received.
INITIAL_REQUEST_WAIT_S = 0.06
#: Multiple of the usual time from an opening to its request for which an
#: answered opening counts as load.
REQUEST_WAIT_FACTOR = 4.0
#: Weight of a new measurement in the usual time.
REQUEST_WAIT_WEIGHT = 0.1
#: Time for which a request without an answer counts as load. It applies to
#: all routes, even if they say how long the caller waits.
MAX_REQUEST_S = 10.0
#: Time for which a closed flow stays known, so that late and repeated
#: packets are recognised: several of the longest intervals between repeated
#: packets (1.6 s).
CLOSED_FLOW_KEPT_S = 5.0


class FlowState:
    """State of one flow of the upstream."""

    __slots__ = (
        'answered_at',
        'asked_at',
        'balancer',
        'caller_next_sequence',
        'closed_at',
        'first_sequence',
        'held_s',
        'is_held',
        'is_long',
        'is_overdue',
        'is_running',
        'is_unconfirmed',
        'kind',
        'last_packet_at',
        'objective_s',
        'opened_at',
        'queue_position',
        'request_id',
        'request_received_at',
        'requests',
        'tried',
        'upstream_next_sequence',
    )  # fmt: skip

    def __init__(self, balancer: str | None, now: float):
        #: The balancer that forwarded the last packet of the flow.
        self.balancer = balancer
        self.opened_at = now
        #: Time at which the caller asked for the request of the opening.
        self.asked_at = now
        self.last_packet_at = now
        self.closed_at: float | None = None
        #: Next sequence number of the caller, ``None`` if not known.
        self.caller_next_sequence: int | None = None
        #: First sequence number of the caller's data, ``None`` if the opening
        #: was not seen.
        self.first_sequence: int | None = None
        #: Next sequence number of the upstream, ``None`` if not known.
        self.upstream_next_sequence: int | None = None
        #: Time of the first packet from the upstream, ``None`` if none came.
        self.answered_at: float | None = None
        #: Whether the upstream may not hold the flow, and has not answered
        #: since. Either the agent forwarded a packet of an unknown flow, or
        #: another incarnation may have held it.
        self.is_unconfirmed = False
        #: Whether the flow may carry several requests.
        self.is_long = False
        #: Kind of the flow's requests, a label of the latency histograms.
        self.kind = 'unknown'
        #: Latency objective of its requests, 0 if it is not known.
        self.objective_s = 0.0
        #: Whether the flow counts as load: a request is expected or waits for
        #: its answer.
        self.is_running = False
        #: Time of the last packet of the unanswered request, if any; of its
        #: release if it was held.
        self.request_received_at: float | None = None
        #: Time for which the last request was held at the agent.
        self.held_s = 0.0
        #: Whether the request is held at the agent.
        self.is_held = False
        self.request_id: str | None = None
        #: Number of requests that have arrived on the flow.
        self.requests = 0
        #: Whether the request has been recorded as failed for lack of an
        #: answer.
        self.is_overdue = False
        #: Position of the request among those of the upstream, from 1.
        self.queue_position = 1
        #: Agents that handed the opening back, as IPv4 numbers.
        self.tried: tuple[int, ...] = ()

    @property
    def is_answered(self) -> bool:
        """Whether the upstream has sent a packet on the flow."""
        return self.answered_at is not None

    @property
    def is_only_tried(self) -> bool:
        """Whether the upstream is not known to have ever held the flow."""
        return self.is_unconfirmed and not self.is_answered

    @property
    def is_awaiting_answer(self) -> bool:
        """Whether a request waits for its answer and is not yet overdue."""
        return (
            self.request_received_at is not None
            and not self.is_unconfirmed
            and not self.is_held
            and not self.is_overdue
        )

    def has_become_overdue(self, now: float) -> bool:
        """Return whether the request is overdue and not yet marked so."""
        return (
            self.is_awaiting_answer
            and self.closed_at is None
            and self.objective_s > 0.0
            and now - self.request_received_at
            > OVERDUE_AFTER_OBJECTIVES * self.objective_s
        )


class UpstreamFlows:
    """The flows of one upstream and the load that they cause."""

    def __init__(self):
        self.state_by_flow: dict[FlowKey, FlowState] = {}
        self.reuse = FlowReuse()
        #: Flows that count as load because a request is expected, with the
        #: time at which they stop counting.
        self._expected: dict[FlowKey, float] = {}
        self._usual_request_delay_s: float | None = None
        self._request_wait_s = INITIAL_REQUEST_WAIT_S
        #: Requests that run, wait or are expected at the upstream.
        self.running = 0
        #: Open flows on which further requests may arrive.
        self.long_flows = 0
        #: Whether the load has changed since this flag was last cleared.
        self.is_changed = False
        #: Called with each flow that is forgotten.
        self.on_end: Callable[[FlowKey], None] = lambda flow: None

    def add(
        self,
        flow: FlowKey,
        balancer: str | None,
        routes: RouteIndex | None,
        now: float,
    ) -> FlowState:
        """Add a flow.

        :param balancer: the balancer that forwarded its packet, ``None`` if
            the packet came from the upstream.
        :param routes: give the kind of the flow's requests.
        :returns: the state of the new flow.
        """
        state = FlowState(balancer, now)
        route = routes.route_of(flow) if routes else None
        if route is not None:
            state.kind = route.kind
            state.objective_s = route.objective_s
            is_long = self.reuse.is_long(Destination(route.destination))
            if is_long is None:
                is_long = kind_named(route.kind).expects_long_flows
            state.is_long = is_long
        if state.is_long:
            self.long_flows += 1
        self.state_by_flow[flow] = state
        return state

    def drop(self, flow: FlowKey) -> None:
        """Forget a flow."""
        state = self.state_by_flow.pop(flow, None)
        if state is not None:
            self.on_end(flow)
            self._expected.pop(flow, None)
            self._set_running(state, False)
            if state.closed_at is None:
                self.long_flows -= state.is_long

    def mark_unconfirmed(self, flow: FlowKey, state: FlowState) -> None:
        """Record that a flow may have ended with a former incarnation.

        The flow is no load until the present one answers on it.
        """
        self.on_end(flow)
        self._expected.pop(flow, None)
        self._set_running(state, False)
        state.is_unconfirmed = True
        state.is_held = False
        state.request_received_at = None
        if state.closed_at is None:
            self.long_flows -= state.is_long
        # A second request after this shows again that the flow is long.
        state.is_long = False
        state.requests = min(1, state.requests)

    def clear(self) -> None:
        """Forget all flows."""
        self.state_by_flow.clear()
        self._expected.clear()
        self.running = 0
        self.long_flows = 0

    @property
    def started_requests(self) -> int:
        """Number of requests that run or wait, without expected ones."""
        return self.running - len(self._expected)

    def expect_request(
        self, flow: FlowKey, state: FlowState, now: float
    ) -> None:
        """Count an opening as load until its request should have arrived."""
        if not state.is_running:
            self._set_running(state, True)
            self._expected[flow] = now + MAX_REQUEST_WAIT_S

    def record_opening_answer(self, flow: FlowKey, now: float) -> None:
        """Record that the upstream has answered an opening.

        Its request should arrive soon. An upstream that does not answer may
        have ended, so that its openings count longer.
        """
        until = self._expected.get(flow)
        if until is not None:
            self._expected[flow] = min(until, now + self._request_wait_s)

    def start_request(self, flow: FlowKey, state: FlowState) -> None:
        """Record that data of a request has arrived."""
        self._expected.pop(flow, None)
        self._set_running(state, True)

    def _record_request_delay(self, delay_s: float) -> None:
        """Update the time for which openings count as load."""
        usual_s = self._usual_request_delay_s
        if usual_s is None:
            usual_s = delay_s
        usual_s += REQUEST_WAIT_WEIGHT * (delay_s - usual_s)
        self._usual_request_delay_s = usual_s
        self._request_wait_s = min(
            MAX_REQUEST_WAIT_S,
            max(MIN_REQUEST_WAIT_S, REQUEST_WAIT_FACTOR * usual_s),
        )

    def count_request(
        self, flow: FlowKey, state: FlowState, now: float
    ) -> None:
        """Count a request that begins on a flow.

        The second one shows that the flow is long.
        """
        state.requests += 1
        if state.requests == 1 and state.first_sequence is not None:
            self._record_request_delay(now - state.opened_at)
        elif state.requests == 2:
            self.reuse.record_flow(destination_of(flow), is_reused=True)
            if not state.is_long and state.closed_at is None:
                state.is_long = True
                self.long_flows += 1

    def end_request(self, state: FlowState) -> None:
        """Record that the upstream has answered."""
        self._set_running(state, False)

    def close(self, flow: FlowKey, state: FlowState, now: float) -> None:
        """Record that one end has closed a flow."""
        if state.closed_at is None:
            state.closed_at = now
            if state.requests == 1:
                self.reuse.record_flow(destination_of(flow), is_reused=False)
            self.long_flows -= state.is_long
            self._set_running(state, False)

    def _set_running(self, state: FlowState, is_running: bool) -> None:
        if state.is_running != is_running:
            state.is_running = is_running
            self.running += 1 if is_running else -1
            self.is_changed = True

    def drop_overdue_openings(self, now: float) -> None:
        """Stop counting openings whose request did not arrive in time."""
        overdue = [f for f, until in self._expected.items() if now > until]
        for flow in overdue:
            del self._expected[flow]
            state = self.state_by_flow.get(flow)
            if state is not None:
                self._set_running(state, False)

    def sweep(self, idle_s: float, now: float) -> None:
        """Forget flows that are closed or idle.

        :param idle_s: seconds without a packet after which a flow is idle.
        :param now: time in seconds.
        """
        expired_flows = [
            flow
            for flow, state in self.state_by_flow.items()
            if now - state.last_packet_at > idle_s
            or (
                state.closed_at is not None
                and now - state.closed_at > CLOSED_FLOW_KEPT_S
            )
        ]
        for state in self.state_by_flow.values():
            request_received_at = state.request_received_at
            if (
                request_received_at is not None
                and now - request_received_at > MAX_REQUEST_S
            ):
                state.request_received_at = None
                self._set_running(state, False)
        for flow in expired_flows:
            self.drop(flow)
