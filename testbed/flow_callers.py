"""Simulated callers that use the packets of the platform."""

import asyncio
from collections.abc import Callable
import enum
import itertools
import random

from ibispitch.ids import Address
from testbed import flow_packets as packets
from testbed.flow_packets import ACK
from testbed.flow_packets import FIN
from testbed.flow_packets import RST
from testbed.flow_packets import SYN
from testbed.flow_upstream import REFUSED_PREFIX
from testbed.flow_upstream import RETRANSMIT_DELAYS_S

OPENING_COPY_DELAYS_S = (0.0, 0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
MAX_RETRIES = 2
#: Largest distance of the sequence number of a reset from the one expected.
RESET_WINDOW_BYTES = 76_800

_requests = itertools.count(1)


class Outcome(enum.Enum):
    """How a request ended for its caller."""

    IN_TIME = 'in time'
    LATE = 'late'
    FAILED = 'failed'


class Request:
    """A request with all its attempts; the answer must equal its body."""

    def __init__(self, asked_at: float, objective_s: float, deadline_s: float):
        self.name = f'{next(_requests):016x}'
        self.body = (
            f'POST / HTTP/1.1\r\nX-Ibispitch-Request-Id: {self.name}\r\n\r\n'
        ).encode()
        self.asked_at = asked_at
        self.objective_s = objective_s
        self.deadline = asked_at + deadline_s
        self.attempts = 0
        #: Flow of each attempt.
        self.flows: list[Address] = []
        self.answered_at: float | None = None

    @property
    def outcome(self) -> Outcome:
        """Outcome of the request so far."""
        if self.answered_at is None:
            return Outcome.FAILED
        took_s = self.answered_at - self.asked_at
        in_time = took_s <= self.objective_s
        return Outcome.IN_TIME if in_time else Outcome.LATE


class Flow:
    """The caller's end of one flow.

    :param caller: is notified of answers, and of the end of the flow if it
        was reset or not answered.
    :param port: local port of the flow.
    """

    def __init__(self, caller: 'FlowCaller', port: int):
        self._caller = caller
        self._loop = caller.loop
        self.address = Address(caller.ip, port)
        self.is_open = False
        self.has_ended = False
        self.reset_at: float | None = None
        self.opened_at: float | None = None
        self._sequence = caller.rng.randrange(1 << 32)
        self._upstream_next = 0
        self._request: Request | None = None
        self._timers: list[asyncio.TimerHandle] = []
        for copy, delay_s in enumerate(OPENING_COPY_DELAYS_S):
            self._call_later(delay_s, self._send_opening, copy)
        self._call_later(OPENING_TIMEOUT_S, self._end_unanswered_opening)

    def _call_later(
        self, delay_s: float, action: Callable, *arguments
    ) -> None:
        self._timers.append(self._loop.call_later(delay_s, action, *arguments))

    def _send(self, flags: int, acknowledged: int, data: bytes = b'') -> None:
        self._caller.transmit(
            self,
            packets.build(
                self.address, self._caller.destination, flags,
                self._sequence, acknowledged, data,
            ),
        )  # fmt: skip

    def _send_opening(self, copy: int) -> None:
        if not self.is_open and not self.has_ended:
            self._send(SYN, copy)

    def _end_unanswered_opening(self) -> None:
        if not self.is_open:
            self.end()
            self._caller.on_flow_failed(self, self._request)

    def ask(self, request: Request) -> None:
        """Send a request now, or when the flow is open."""
        self._request = request
        if self.is_open:
            self._send_request(request, 0)

    def _send_request(self, request: Request, count: int) -> None:
        if self._request is not request or self.has_ended:
            return
        if self._loop.time() >= request.deadline:
            self.end()
            self._caller.on_flow_failed(self, None)
            return
        self._send(ACK, self._upstream_next, request.body)
        delay_s = RETRANSMIT_DELAYS_S[min(count, len(RETRANSMIT_DELAYS_S) - 1)]
        self._call_later(delay_s, self._send_request, request, count + 1)

    def receive(self, segment: packets.Segment) -> None:
        """Handle a packet for this flow."""
        if self.has_ended:
            return
        if segment.flags & RST:
            if self.is_open and not self._is_reset_of_open_flow(segment):
                return
            self.reset_at = self._loop.time()
            self.end()
            self._caller.on_flow_failed(self, self._request)
        elif segment.flags & SYN and not self.is_open:
            self.is_open = True
            self.opened_at = self._loop.time()
            self._sequence = (self._sequence + 1) % (1 << 32)
            self._upstream_next = (segment.sequence + 1) % (1 << 32)
            if self._request is not None:
                self._send_request(self._request, 0)
            else:
                self._send(ACK, self._upstream_next)
        elif segment.data:
            self._receive_answer(segment)

    def _is_reset_of_open_flow(self, segment: packets.Segment) -> bool:
        """Return whether a reset concerns the flow that is open.

        It may also be the refusal of a copy of the opening, while another
        copy was accepted by a different upstream.
        """
        distance = (segment.sequence - self._upstream_next) % (1 << 32)
        return min(distance, (1 << 32) - distance) <= RESET_WINDOW_BYTES

    def _receive_answer(self, segment: packets.Segment) -> None:
        if segment.sequence == self._upstream_next:
            end = segment.sequence + len(segment.data)
            self._upstream_next = end % (1 << 32)
            request, self._request = self._request, None
            if request is not None:
                size = len(request.body)
                self._sequence = (self._sequence + size) % (1 << 32)
                self._caller.on_answer(self, request, segment.data)
        if not self.has_ended:
            self._send(ACK, self._upstream_next)

    def close(self) -> None:
        """Close the flow."""
        if self.is_open and not self.has_ended:
            self._send(FIN | ACK, self._upstream_next)
        self.end()

    def end(self) -> None:
        """Mark the flow as ended and stop its timers."""
        self.has_ended = True
        for timer in self._timers:
            timer.cancel()


class FlowCaller:
    """A caller that sends requests to one destination.

    :param send: sends a packet.
    :param is_long: whether a flow serves many requests.
    :param retries_after_opening: whether a request is retried even if its
        flow had opened, which only idempotent requests allow.
    :param objective_s: time within which an answer counts as in time.
    :param deadline_s: time after which an answer counts as failed.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        ip: str,
        destination: Address,
        send: Callable[[bytes], None],
        rng: random.Random,
        is_long: bool,
        retries_after_opening: bool,
        objective_s: float = 0.1,
        deadline_s: float = 1.5,
    ):
        self.loop = loop
        self.ip = ip
        self.destination = destination
        self.rng = rng
        self._send = send
        self._is_long = is_long
        self._retries_after_opening = retries_after_opening
        self._objective_s = objective_s
        self._deadline_s = deadline_s
        self._ports = itertools.cycle(range(1024, 60000))
        self._flow_by_port: dict[int, Flow] = {}
        self._long_flow: Flow | None = None
        self.requests: list[Request] = []
        #: Damaged packets and answers that belong to another request.
        self.bad_answers = 0
        #: Flows that were reset after they had opened.
        self.reset_flows: list[Flow] = []

    def transmit(self, flow: Flow, raw: bytes) -> None:
        """Send a packet of a flow."""
        self._send(raw)

    def receive(self, raw: bytes) -> None:
        """Handle a packet for this caller."""
        segment = packets.parse(raw)
        flow = self._flow_by_port.get(segment.destination.port)
        is_reset = bool(segment.flags & RST) and not segment.data
        if not segment.is_intact and not is_reset:
            self.bad_answers += 1
        elif flow is not None:
            flow.receive(segment)

    def ask(self) -> None:
        """Send a request, unless the long flow has one in progress."""
        if (
            self._long_flow is not None
            and self._long_flow._request is not None
        ):
            return
        request = Request(
            self.loop.time(), self._objective_s, self._deadline_s
        )
        self.requests.append(request)
        self._attempt(request)

    def _attempt(self, request: Request) -> None:
        request.attempts += 1
        flow = self._long_flow
        if flow is None or flow.has_ended:
            port = next(self._ports)
            flow = self._flow_by_port[port] = Flow(self, port)
            if self._is_long:
                self._long_flow = flow
        request.flows.append(flow.address)
        flow.ask(request)

    def on_answer(self, flow: Flow, request: Request, data: bytes) -> None:
        """Handle the answer to a request."""
        if data == REFUSED_PREFIX + request.body:
            flow.close()
            self._retry(request)
            return
        if data != request.body:
            self.bad_answers += 1
        elif self.loop.time() <= request.deadline:
            request.answered_at = self.loop.time()
        if not self._is_long:
            flow.close()

    def ended_at(self, request: Request) -> float:
        """Return when a request without an answer has ended.

        That is when its last attempt was refused, or at its deadline.
        """
        flow = self._flow_by_port[request.flows[-1].port]
        return request.deadline if flow.reset_at is None else flow.reset_at

    def on_flow_failed(self, flow: Flow, request: Request | None) -> None:
        """Handle the failure of a flow and retry its request if allowed."""
        if flow.reset_at is not None and flow.opened_at is not None:
            self.reset_flows.append(flow)
        may_retry = self._retries_after_opening or flow.opened_at is None
        if request is not None and may_retry:
            self._retry(request)

    def _retry(self, request: Request) -> None:
        if (
            request.attempts <= MAX_RETRIES
            and self.loop.time() < request.deadline
        ):
            self._attempt(request)
