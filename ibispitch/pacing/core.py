"""In which order and when data leaves a host with a small link.

Callers send a window of packets at once, much faster than a small link
passes them on. What the link cannot queue is lost, and its sender notices
only after its retransmission time, many times what the wait would have been.
Data therefore waits here, where the flows take turns, so that a request of
one packet does not wait behind a large upload, and where a copy of a packet
that still waits is recognised.

Frames between processes and packets without data go first: they are small,
and their delay would cost more than what they take from the data. They wait
only for each other, in a burst that the link could not queue either, such as
questions to all agents for many flows. Packets of a flow whose data waits go
behind it, so that a flow stays in order.
"""

from collections import deque
from collections.abc import Hashable
import enum
from typing import NamedTuple

from ibispitch.forwarding.packets import FlowKey

#: Part of the link that is used, as a link counts headers that are not
#: known here (Ethernet: about 3 % of a full packet).
LINK_SHARE = 0.95
#: IPv4 and UDP headers of a datagram.
HEADER_BYTES = 28
#: Time of unused link that may be caught up on at once: some turns of the
#: event loop on a busy processor, and less than what links queue.
BURST_S = 0.01
#: Time that waiting data may take on the link; more is not accepted.
#: Senders repeat a packet after 0.2 s to 1.6 s; data that waits for longer
#: than this crosses the link behind its own copies.
MAX_WAIT_S = 0.5


class SendDecision(enum.Enum):
    """What becomes of data that was offered."""

    #: It is to be sent now.
    SEND = enum.auto()
    WAIT = enum.auto()
    #: The same packet waits already.
    COPY = enum.auto()
    #: Too much waits; the data is lost, as it would be on the link.
    FULL = enum.auto()


class Datagram(NamedTuple):
    """Data for another host of the fleet."""

    ip: str
    data: bytes


class LinkQueue:
    """Data that waits for the link of this host.

    :param link_mbps: what the link bears, in Mbit/s.
    :param now: present time in seconds.

    >>> queue = LinkQueue(link_mbps=5.0, now=0.0)
    >>> offers = [
    ...     queue.offer_packet(b'a', n, Datagram('10.0.0.1', bytes(1250)), 0.0)
    ...     for n in range(16)
    ... ]
    >>> [offers.count(offer) for offer in SendDecision]
    [5, 11, 0, 0]
    >>> len(queue.take_sendable(now=0.01))
    5
    """

    def __init__(self, link_mbps: float, now: float):
        self._bytes_per_s = LINK_SHARE * link_mbps * 1e6 / 8
        self._burst = BURST_S * self._bytes_per_s
        #: Bytes that may be sent at once; below 0 after a full packet.
        self._credit = self._burst
        self._at = now
        self._waiting_by_flow: dict[
            FlowKey, dict[Hashable, tuple[float, Datagram]]
        ] = {}
        self._frames: deque[tuple[float, Datagram]] = deque()
        self._frame_bytes = 0
        self._data_bytes = 0

    def record_sent(self, size: int, now: float) -> None:
        """Count a datagram of some bytes that was sent without waiting."""
        self._refill(now)
        self._credit -= size + HEADER_BYTES

    def offer_frame(self, datagram: Datagram, now: float) -> SendDecision:
        """Ask whether a frame may be sent now; it waits for frames only."""
        size = len(datagram.data) + HEADER_BYTES
        self._refill(now)
        if not self._frames and self._credit > 0:
            self._credit -= size
            return SendDecision.SEND
        if self._frame_bytes + size > MAX_WAIT_S * self._bytes_per_s:
            return SendDecision.FULL
        self._frames.append((now, datagram))
        self._frame_bytes += size
        return SendDecision.WAIT

    def has_waiting_packets(self, flow: FlowKey) -> bool:
        """Tell whether packets of a flow wait."""
        return flow in self._waiting_by_flow

    def offer_packet(
        self,
        flow: FlowKey,
        packet_key: Hashable,
        datagram: Datagram,
        now: float,
    ) -> SendDecision:
        """Ask whether data may be sent now; keep it if it has to wait.

        :param packet_key: tells the packets of a flow apart; equal for copies.
        """
        size = len(datagram.data) + HEADER_BYTES
        self._refill(now)
        if not self._has_waiting and self._credit > 0:
            self._credit -= size
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
        """Return what may be sent now, each with the time that it waited."""
        self._refill(now)
        taken = []
        while self._has_waiting and self._credit > 0:
            since, datagram = self._next()
            self._credit -= len(datagram.data) + HEADER_BYTES
            taken.append((now - since, datagram))
        return taken

    @property
    def waiting_bytes(self) -> int:
        """Frames and data that wait."""
        return self._frame_bytes + self._data_bytes

    @property
    def _has_waiting(self) -> bool:
        return bool(self._frames or self._waiting_by_flow)

    def _next(self) -> tuple[float, Datagram]:
        if self._frames:
            since, datagram = self._frames.popleft()
            self._frame_bytes -= len(datagram.data) + HEADER_BYTES
            return since, datagram
        waiting_by_flow = self._waiting_by_flow
        flow = next(iter(waiting_by_flow))
        # Flows take turns: the rest of this one goes behind the others.
        waiting = waiting_by_flow.pop(flow)
        since, datagram = waiting.pop(next(iter(waiting)))
        if waiting:
            waiting_by_flow[flow] = waiting
        self._data_bytes -= len(datagram.data) + HEADER_BYTES
        return since, datagram

    def due_s(self) -> float | None:
        """Return when to call :meth:`take_sendable` next.

        ``None`` if nothing waits.

        :returns: seconds after the last call of any method.
        """
        if not self._has_waiting:
            return None
        return max(0.0, -self._credit / self._bytes_per_s)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._at)
        self._at = now
        self._credit = min(
            self._burst, self._credit + elapsed * self._bytes_per_s
        )
