"""Sends frames and callers' packets in turn over the link of a host."""

import asyncio
from collections.abc import Callable

from ibispitch.decisionlog import DecisionLog
from ibispitch.forwarding.packets import Packet
from ibispitch.histograms import LatencyHistograms
from ibispitch.histograms import Series
from ibispitch.pacing.core import Datagram
from ibispitch.pacing.core import LinkQueue
from ibispitch.pacing.core import MAX_WAIT_S
from ibispitch.pacing.core import SendDecision

#: Minimum time between two checks of the queue, to save processor time: a
#: fifth of ``BURST_S``, the idle time that a burst may make up for.
MIN_TURN_S = 0.002
LINK_WAIT = Series('link_wait', '', 'data')
#: Maximum time until the queue is empty: first the frames, then the data.
DRAIN_TIMEOUT_S = 2 * MAX_WAIT_S


class Link:
    """Sends datagrams to other processes when the link has capacity.

    :param link_mbps: capacity of the link in Mbit/s, 0 if it is not known.
        Nothing is queued then.
    :param send: sends a datagram to a process at once.
    :param clock: returns the time in seconds.
    :param log: gets an event for each datagram that is dropped.
    :param histograms: records how long datagrams wait.
    """

    def __init__(
        self,
        link_mbps: float,
        send: Callable[[str, bytes], None],
        clock: Callable[[], float],
        log: DecisionLog,
        histograms: LatencyHistograms,
    ):
        self._send = send
        self._clock = clock
        self._log = log
        self._histograms = histograms
        self._queue: LinkQueue | None = None
        if link_mbps > 0:
            self._queue = LinkQueue(link_mbps, clock())
        self._timer: asyncio.TimerHandle | None = None

    @property
    def waiting_bytes(self) -> int:
        """Size of the queued frames and data in bytes."""
        return self._queue.waiting_bytes if self._queue is not None else 0

    def record_sent(self, size: int) -> None:
        """Record a datagram that was sent without this queue.

        :param size: size of the datagram in bytes.
        """
        if self._queue is not None:
            self._queue.record_sent(size, self._clock())

    def send_frame(self, ip: str, data: bytes) -> None:
        """Send a frame; it is queued only behind other frames."""
        if self._queue is None:
            self._send(ip, data)
            return
        now = self._clock()
        match self._queue.offer_frame(Datagram(ip, data), now):
            case SendDecision.SEND:
                self._send(ip, data)
            case SendDecision.WAIT:
                self._schedule_turn()
            case SendDecision.FULL:
                self._log.change(
                    'link.frame_dropped', now, peer=ip,
                    waiting_bytes=self.waiting_bytes,
                )  # fmt: skip

    def send_packet(self, ip: str, data: bytes, packet: Packet) -> None:
        """Send a frame with a caller's packet when it is its turn.

        :param packet: the packet in the frame.
        """
        queue = self._queue
        if queue is None or not (
            packet.size or queue.has_waiting_packets(packet.flow)
        ):
            self.send_frame(ip, data)
            return
        now = self._clock()
        packet_key = (
            packet.sequence,
            packet.size,
            packet.flags,
            packet.acknowledged,
        )
        match queue.offer_packet(
            packet.flow, packet_key, Datagram(ip, data), now
        ):
            case SendDecision.SEND:
                self._send(ip, data)
            case SendDecision.WAIT:
                self._schedule_turn()
            case SendDecision.COPY:
                self._log.decision('link.copy_dropped', packet.flow, now)
            case SendDecision.FULL:
                self._log.failure(
                    'link.full', packet.flow, now,
                    waiting_bytes=self.waiting_bytes,
                )  # fmt: skip

    async def drain(self, limit_s: float = DRAIN_TIMEOUT_S) -> None:
        """Wait until the queue is empty, before the process exits.

        :param limit_s: time limit in seconds.
        """
        until = self._clock() + limit_s
        while self.waiting_bytes and self._clock() < until:
            await asyncio.sleep(MIN_TURN_S)

    def close(self) -> None:
        """Send nothing more from the queue."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule_turn(self) -> None:
        due_s = self._queue.due_s()
        if self._timer is None and due_s is not None:
            self._timer = asyncio.get_running_loop().call_later(
                max(MIN_TURN_S, due_s), self._send_waiting
            )

    def _send_waiting(self) -> None:
        self._timer = None
        for waited_s, datagram in self._queue.take_sendable(self._clock()):
            self._histograms.record(LINK_WAIT, waited_s)
            self._send(datagram.ip, datagram.data)
        self._schedule_turn()
