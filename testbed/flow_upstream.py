"""A simulated upstream that uses the packets of the platform.

A request is one segment of data, and its answer is the same data. The
upstream runs a limited number of requests at a time, queues a limited number
of others and refuses the rest.
"""

import asyncio
from collections import deque
from collections.abc import Callable
import itertools
import random
from typing import NamedTuple

from ibispitch.ids import Address
from testbed import flow_packets as packets
from testbed.flow_packets import ACK
from testbed.flow_packets import FIN
from testbed.flow_packets import RST
from testbed.flow_packets import SYN

RETRANSMIT_DELAYS_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
REFUSED_PREFIX = b'shed'

_start_numbers = itertools.count(1)


class Opened(NamedTuple):
    """An opening that an upstream accepted."""

    at: float
    caller: Address
    destination: Address


class HeldFlow:
    """When an upstream held a flow, and when its packets arrived there."""

    def __init__(self, since: float):
        self.since = since
        self.until: float | None = None
        self.received_at: list[float] = []


class _Flow:
    def __init__(self, sequence: int, caller_next_sequence: int):
        self.next_sequence = sequence
        self.caller_next_sequence = caller_next_sequence
        self.is_open = False
        self.unacknowledged: bytes | None = None
        self.timer: asyncio.TimerHandle | None = None


class FlowUpstream:
    """One incarnation of an upstream, from its start to its end.

    :param send: sends a packet to the agent.
    :param slots: requests that it runs at a time.
    :param queue: length of the queue of waiting requests.
    :param work_s: mean run time of a request.
    :param cold_s: time for which it is cold (slower), 0 if it starts warm.
    :param work_spread: standard deviation of the logarithm of the run times;
        0 for run times spread evenly from half to one and a half of the mean.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        send: Callable[[bytes], None],
        rng: random.Random,
        slots: int = 2,
        queue: int = 8,
        work_s: float = 0.02,
        cold_s: float = 0.0,
        work_spread: float = 0.0,
    ):
        self._loop = loop
        self._send = send
        self._rng = rng
        self.slots = slots
        self._queue = queue
        self.work_s = work_s
        self._work_spread = work_spread
        self.number = next(_start_numbers)
        self.born_ms = 1_700_000_000_000 + 1000 * self.number
        self._sequence = 0
        self.started_at = loop.time()
        self._cold_until = loop.time() + cold_s
        self._flow_by_caller: dict[Address, _Flow] = {}
        self._running = 0
        self._waiting: deque = deque()
        self.is_draining = False
        #: Whether it has announced its end and sends no more heartbeats.
        self.has_left = False
        self.is_alive = True
        #: Whether it neither receives nor answers.
        self.is_frozen = False
        #: Accepted openings and bodies of requests that ran, for checks.
        self.openings: list[Opened] = []
        self.runs: list[bytes] = []
        self.damaged_packets = 0
        self.bounced_by_caller: dict[Address, list[float]] = {}
        self.held_by_caller: dict[Address, HeldFlow] = {}

    # Heartbeats.

    def heartbeat(self) -> dict:
        """Return the body of the next heartbeat."""
        self._sequence += 1
        cold_s = max(0.0, self._cold_until - self._loop.time())
        return {
            'slots': self.slots, 'sequence': self._sequence,
            'state': 'draining' if self.is_draining else 'ready',
            'cold_left_ms': round(cold_s * 1000), 'born': self.born_ms,
        }  # fmt: skip

    @property
    def name(self) -> str:
        """Identifier of this incarnation."""
        return f'i-{self.number}'

    def turn_cold(self, for_s: float) -> None:
        """Slow down for some time, as after a start."""
        self._cold_until = self._loop.time() + for_s

    def crash(self) -> None:
        """End without notice; flows and requests are lost."""
        self.is_alive = False
        for caller in list(self._flow_by_caller):
            self._drop(caller)

    # Packets.

    def receive(self, raw: bytes) -> None:
        """Handle a packet of a caller."""
        if not self.is_alive or self.is_frozen:
            return
        segment = packets.parse(raw)
        if not segment.is_intact:
            self.damaged_packets += 1
            return
        caller = segment.source
        flow = self._flow_by_caller.get(caller)
        if segment.flags & SYN:
            self._open(raw, segment, flow)
        elif flow is None or not (
            flow.is_open or segment.acknowledged == flow.next_sequence
        ):
            self.bounced_by_caller.setdefault(caller, []).append(
                self._loop.time()
            )
            self._send(packets.bounced(raw))
        else:
            self._receive_in_flow(segment, flow)

    def _open(self, raw, segment, flow) -> None:
        caller = segment.source
        if flow is None or flow.caller_next_sequence != segment.sequence + 1:
            sequence = self._rng.randrange(1 << 32)
            flow = _Flow((sequence + 1) % (1 << 32), segment.sequence + 1)
            self._flow_by_caller[caller] = flow
            self.openings.append(
                Opened(self._loop.time(), caller, segment.destination)
            )
        self._reply(
            segment, SYN | ACK, (flow.next_sequence - 1) % (1 << 32), flow
        )

    def _receive_in_flow(self, segment, flow: _Flow) -> None:
        if segment.flags & RST:
            self._drop(segment.source)
            return
        if segment.flags & ACK and segment.acknowledged == flow.next_sequence:
            flow.is_open = True
            self._stop_retransmitting(flow)
        now = self._loop.time()
        held = self.held_by_caller.setdefault(segment.source, HeldFlow(now))
        held.received_at.append(now)
        if segment.data and segment.sequence == flow.caller_next_sequence:
            flow.caller_next_sequence += len(segment.data)
            self._run_or_queue(segment, flow)
        elif segment.data:
            self._reply(segment, ACK, flow.next_sequence, flow)
        if segment.flags & FIN:
            self._reply(segment, FIN | ACK, flow.next_sequence, flow)
            self._drop(segment.source)

    def _run_or_queue(self, segment, flow: _Flow) -> None:
        if self._running < self.slots:
            self._run(segment, flow)
        elif len(self._waiting) < self._queue:
            self._waiting.append((segment, flow))
        else:
            self._answer(segment, flow, REFUSED_PREFIX + segment.data)

    def _run(self, segment, flow: _Flow) -> None:
        self._running += 1
        self.runs.append(segment.data)
        is_cold = self._loop.time() < self._cold_until
        self._loop.call_later(
            self._run_time_s() * (1.6 if is_cold else 1.0),
            self._finish,
            segment,
            flow,
        )

    def _run_time_s(self) -> float:
        spread = self._work_spread
        if not spread:
            return self.work_s * self._rng.uniform(0.5, 1.5)
        return self.work_s * self._rng.lognormvariate(-(spread**2) / 2, spread)

    def _finish(self, segment, flow: _Flow) -> None:
        self._running -= 1
        if not self.is_alive or self.is_frozen:
            return
        self._answer(segment, flow, segment.data)
        if self._waiting:
            self._run(*self._waiting.popleft())

    def _answer(self, segment, flow: _Flow, data: bytes) -> None:
        reply = packets.build(
            segment.destination, segment.source, ACK, flow.next_sequence,
            flow.caller_next_sequence, data,
        )  # fmt: skip
        flow.next_sequence = (flow.next_sequence + len(data)) % (1 << 32)
        self._stop_retransmitting(flow)
        self._retransmit(reply, flow, 0)

    def _retransmit(self, reply: bytes, flow: _Flow, count: int) -> None:
        if self.is_alive and count < len(RETRANSMIT_DELAYS_S):
            self._send(reply)
            flow.timer = self._loop.call_later(
                RETRANSMIT_DELAYS_S[count],
                self._retransmit,
                reply,
                flow,
                count + 1,
            )

    def _reply(self, segment, flags: int, sequence: int, flow) -> None:
        self._send(
            packets.build(
                segment.destination, segment.source, flags, sequence,
                flow.caller_next_sequence,
            )
        )  # fmt: skip

    @staticmethod
    def _stop_retransmitting(flow: _Flow) -> None:
        if flow.timer is not None:
            flow.timer.cancel()
            flow.timer = None

    def _drop(self, caller: Address) -> None:
        flow = self._flow_by_caller.pop(caller, None)
        if flow is not None:
            self._stop_retransmitting(flow)
        if caller in self.held_by_caller:
            self.held_by_caller[caller].until = self._loop.time()

    def holds(self, caller: Address) -> bool:
        """Return whether this upstream has an open flow of a caller."""
        flow = self._flow_by_caller.get(caller)
        return self.is_alive and flow is not None and flow.is_open
