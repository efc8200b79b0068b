"""Paces and orders the data that a host with a slow link sends.

Callers send a window of packets at once, much faster than a slow link can
transmit them. Packets that the link cannot queue are lost, and their sender
notices only after its retransmission time-out, which is many times the
queueing delay. Data is therefore queued here. The flows take turns, so that
a request of one packet does not wait behind a large upload, and copies of
packets that still wait are dropped.

Frames between processes and packets without data are sent first. They are
small, and a delay of them would cost more than their share of the link. They
wait only for each other, in bursts that the link could not queue either, such
as questions to all agents about many flows. Packets of a flow whose data
waits are queued behind it, so that the flow stays in order.
"""

from collections import deque
from collections.abc import Hashable
import enum
from typing import NamedTuple

from ibispitch.forwarding.packets import FlowKey

#: Share of the link's capacity that is used. The rest is for headers that are
#: not counted here (Ethernet: about 3 % of a full packet).
LINK_SHARE = 0.95
#: Size of the IPv4 and UDP headers of a datagram.
HEADER_BYTES = 28
#: Time without traffic that a burst may make up for: some iterations of the
#: event loop on a busy processor, and less than links can queue.
BURST_S = 0.01
#: Maximum length of the queue, as its time on the link. Senders repeat a
#: packet after 0.2 s to 1.6 s, so data that waits for longer would be
#: followed by its own copies.
MAX_WAIT_S = 0.5


class SendDecision(enum.Enum):
    """What to do with a datagram that is to be sent."""

    #: The caller of the method sends it now.
    SEND = enum.auto()
    WAIT = enum.auto()
    #: It is dropped: the same packet waits already.
    COPY = enum.auto()
    #: It is dropped: the queue is full. The link would lose it as well.
    FULL = enum.auto()


class Datagram(NamedTuple):
    """Data to send to another host of the fleet."""

    ip: str
    data: bytes


class LinkQueue:
    """Queue of datagrams that wait for the link of this host.

    :param link_mbps: capacity of the link in Mbit/s.
    :param now: current time in seconds.

    >>> queue = LinkQueue(link_mbps=5.0, now=0.0)
    >>> decisions = [
    ...     queue.offer_packet(b'a', n, Datagram('10.0.0.1', bytes(1250)), 0.0)
    ...     for n in range(16)
    ... ]
    >>> [decisions.count(decision) for decision in SendDecision]
    [5, 11, 0, 0]
    >>> len(queue.take_sendable(now=0.01))
    5
    """

    def __init__(self, link_mbps: float, now: float):
        self._bytes_per_s = LINK_SHARE * link_mbps * 1e6 / 8
        self._burst_bytes = BURST_S * self._bytes_per_s
        #: Bytes that may be sent at once (token bucket); below 0 after a full
        #: packet.
        self._credit_bytes = self._burst_bytes
        self._refilled_at = now
        self._waiting_by_flow: dict[
            FlowKey, dict[Hashable, tuple[float, Datagram]]
        ] = {}
        self._frames: deque[tuple[float, Datagram]] = deque()
        self._frame_bytes = 0
        self._data_bytes = 0

    def record_sent(self, size: int, now: float) -> None:
        """Record a datagram that was sent without the queue.

        :param size: size of the datagram in bytes.
        """
        self._refill(now)
        self._credit_bytes -= size + HEADER_BYTES

    def offer_frame(self, datagram: Datagram, now: float) -> SendDecision:
        """Decide on sending a frame now; it is queued only behind frames."""
        size = len(datagram.data) + HEADER_BYTES
        self._refill(now)
        if not self._frames and self._credit_bytes > 0:
            self._credit_bytes -= size
            return SendDecision.SEND
        if self._frame_bytes + size > MAX_WAIT_S * self._bytes_per_s:
            return SendDecision.FULL
        self._frames.append((now, datagram))
        self._frame_bytes += size
        return SendDecision.WAIT

    def has_waiting_packets(self, flow: FlowKey) -> bool:
        """Return whether packets of a flow wait."""
        return flow in self._waiting_by_flow

    def offer_packet(
        self,
        flow: FlowKey,
        packet_key: Hashable,
        datagram: Datagram,
        now: float,
    ) -> SendDecision:
        """Decide on sending a packet now; queue it if it has to wait.

        :param packet_key: identifies the packet within its flow; copies of a
            packet have the same key.
        """
        size = len(datagram.data) + HEADER_BYTES
        self._refill(now)
        if not self._has_waiting and self._credit_bytes > 0:
            self._credit_bytes -= size
            return SendDecision.SEND
        waiting = self._waiting_by_flow.get(flow)
        if waiting is not None and packet_key in waiting:
            return SendDecision.COPY
        if self._data_bytes + size > MAX_WAIT_S * self._bytes_per_s:
            return SendDecision.FULL
        if waiting is None:
            waiting = self._waiting_by_flow[flow] = {}
        waiting[packet_key] = now, datagram
        self._data_bytes += size
        return SendDecision.WAIT

    def take_sendable(self, now: float) -> list[tuple[float, Datagram]]:
        """Remove and return the datagrams that may be sent now.

        :returns: the time that each datagram waited, and the datagram.
        """
        self._refill(now)
        taken = []
        while self._has_waiting and self._credit_bytes > 0:
            since, datagram = self._remove_next()
            self._credit_bytes -= len(datagram.data) + HEADER_BYTES
            taken.append((now - since, datagram))
        return taken

    @property
    def waiting_bytes(self) -> int:
        """Size of the queued frames and data in bytes."""
        return self._frame_bytes + self._data_bytes

    @property
    def _has_waiting(self) -> bool:
        return bool(self._frames or self._waiting_by_flow)

    def _remove_next(self) -> tuple[float, Datagram]:
        if self._frames:
            since, datagram = self._frames.popleft()
            self._frame_bytes -= len(datagram.data) + HEADER_BYTES
            return since, datagram
        waiting_by_flow = self._waiting_by_flow
        flow = next(iter(waiting_by_flow))
        # Flows take turns: the rest of this flow is queued behind the others.
        waiting = waiting_by_flow.pop(flow)
        since, datagram = waiting.pop(next(iter(waiting)))
        if waiting:
            waiting_by_flow[flow] = waiting
        self._data_bytes -= len(datagram.data) + HEADER_BYTES
        return since, datagram

    def due_s(self) -> float | None:
        """Return when to call :meth:`take_sendable` next.

        :returns: seconds after the last call of any method, ``None`` if
            nothing waits.
        """
        if not self._has_waiting:
            return None
        return max(0.0, -self._credit_bytes / self._bytes_per_s)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._credit_bytes = min(
            self._burst_bytes, self._credit_bytes + elapsed * self._bytes_per_s
        )
