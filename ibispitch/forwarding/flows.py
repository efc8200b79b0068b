"""The flows of an upstream, and the load that they make."""

from ibispitch.forwarding.packets import FlowKey
from ibispitch.outcomes.core import OVERDUE_AFTER_OBJECTIVES
from ibispitch.routes.model import RequestKind
from ibispitch.routes.model import RouteIndex

#: Time after which an opening that led to no request is no longer counted
#: as load: the round trip to the caller and one lost packet (200 ms). Callers
#: that have given up open no flow.
OPENING_S = 0.25
#: Time after which a request without an answer is no longer counted, if the
#: routes do not say how long its caller waits.
REQUEST_S = 10.0
#: Time for which a closed flow is known, for late and repeated packets: some
#: rounds of the longest interval between repeated packets (1.6 s).
LINGER_S = 5.0


class FlowState:
    """A flow of the upstream."""

    __slots__ = (
        'answered_at',
        'balancer',
        'caller_next',
        'closed_at',
        'first',
        'is_long',
        'is_on_trial',
        'is_overdue',
        'is_running',
        'kind',
        'objective_s',
        'opened_at',
        'place',
        'request_at',
        'request_id',
        'seen_at',
        'tried',
        'upstream_next',
    )  # fmt: skip

    def __init__(self, balancer: str | None, now: float):
        #: The balancer that forwarded its last packet.
        self.balancer = balancer
        self.opened_at = now
        self.seen_at = now
        self.closed_at: float | None = None
        #: Next sequence numbers of both ends, ``None`` if not known.
        self.caller_next: int | None = None
        #: First sequence number of the caller's data, if it was seen.
        self.first: int | None = None
        self.upstream_next: int | None = None
        #: Time of the first packet from the upstream, ``None`` before.
        self.answered_at: float | None = None
        #: Whether it is not certain that the upstream holds the flow.
        self.is_on_trial = False
        self.is_long = False
        #: Kind of its requests, for the measures.
        self.kind = 'unknown'
        #: Objective of its requests, 0 if it is not known.
        self.objective_s = 0.0
        #: Whether a request waits for its answer.
        self.is_running = False
        #: Time of the last packet of the request that runs.
        self.request_at: float | None = None
        self.request_id: str | None = None
        #: Whether it should have been answered long ago.
        self.is_overdue = False
        #: Its place among the requests of the upstream, from 1.
        self.place = 1
        #: Agents that handed the opening back before.
        self.tried: tuple[int, ...] = ()

    @property
    def is_answered(self) -> bool:
        """Whether the upstream has sent a packet of the flow."""
        return self.answered_at is not None

    @property
    def is_unanswered(self) -> bool:
        """Whether a request waits that does not count as failed yet."""
        return self.request_at is not None and not self.is_overdue

    def turns_overdue(self, now: float) -> bool:
        """Return whether its request is overdue, and was not before."""
        return (
            self.is_unanswered
            and self.closed_at is None
            and self.objective_s > 0.0
            and now - self.request_at
            > OVERDUE_AFTER_OBJECTIVES * self.objective_s
        )


class UpstreamFlows:
    """The flows of one upstream, by flow, and the load that they make."""

    def __init__(self):
        self.state_by_flow: dict[FlowKey, FlowState] = {}
        #: Flows that count as load because a request is expected, and the
        #: time until when.
        self._expected: dict[FlowKey, float] = {}
        #: Requests that run or wait at the upstream.
        self.running = 0
        #: Open flows on which more requests may come.
        self.long_flows = 0
        #: Whether the load has changed since this was last cleared.
        self.is_changed = False

    def add(
        self,
        flow: FlowKey,
        balancer: str | None,
        routes: RouteIndex | None,
        now: float,
    ) -> FlowState:
        """Note a flow.

        :param balancer: the balancer of its packet, if it came from one.
        :param routes: say what kind of requests it carries.
        """
        state = FlowState(balancer, now)
        route = routes.route_of(flow) if routes else None
        if route is not None:
            state.kind = route.kind.value
            state.objective_s = route.objective_s
            state.is_long = route.kind is RequestKind.SAFE
        self.long_flows += state.is_long
        self.state_by_flow[flow] = state
        return state

    def drop(self, flow: FlowKey) -> None:
        """Forget a flow."""
        state = self.state_by_flow.pop(flow, None)
        if state is not None:
            self._expected.pop(flow, None)
            self._set_running(state, False)
            if state.closed_at is None:
                self.long_flows -= state.is_long

    def clear(self) -> None:
        """Forget all flows."""
        self.state_by_flow.clear()
        self._expected.clear()
        self.running = 0
        self.long_flows = 0

    @property
    def requests(self) -> int:
        """Requests that run or wait, without those that are expected."""
        return self.running - len(self._expected)

    def expect_request(
        self, flow: FlowKey, state: FlowState, now: float
    ) -> None:
        """Count an opening as load until its request should have come."""
        if not state.is_running:
            self._set_running(state, True)
            self._expected[flow] = now + OPENING_S

    def start_request(self, flow: FlowKey, state: FlowState) -> None:
        """Note that data of a request has come."""
        self._expected.pop(flow, None)
        self._set_running(state, True)

    def end_request(self, state: FlowState) -> None:
        """Note that the upstream has answered."""
        self._set_running(state, False)

    def close(self, state: FlowState, now: float) -> None:
        """Note that one end has closed a flow."""
        if state.closed_at is None:
            state.closed_at = now
            self.long_flows -= state.is_long
            self._set_running(state, False)

    def _set_running(self, state: FlowState, is_running: bool) -> None:
        if state.is_running != is_running:
            state.is_running = is_running
            self.running += 1 if is_running else -1
            self.is_changed = True

    def drop_overdue_openings(self, now: float) -> None:
        """Stop counting openings that led to no request."""
        overdue = [f for f, until in self._expected.items() if now > until]
        for flow in overdue:
            del self._expected[flow]
            state = self.state_by_flow.get(flow)
            if state is not None:
                self._set_running(state, False)

    def sweep(self, idle_s: float, now: float) -> None:
        """Forget flows that are closed, or idle for a time in seconds."""
        over = [
            flow
            for flow, state in self.state_by_flow.items()
            if now - state.seen_at > idle_s
            or (
                state.closed_at is not None
                and now - state.closed_at > LINGER_S
            )
        ]
        for state in self.state_by_flow.values():
            request_at = state.request_at
            if request_at is not None and now - request_at > REQUEST_S:
                state.request_at = None
                self._set_running(state, False)
        for flow in over:
            self.drop(flow)
