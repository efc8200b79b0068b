"""The link of a host, on which frames and callers' packets take turns."""

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

#: Least time between two looks at what waits: a fifth of what the link may
#: catch up on (``BURST_S``), to spare the processor.
TURN_S = 0.002
WAIT = Series('link_wait', '', 'data')
#: Longest time until all that waits has left: frames, then data.
DRAIN_S = 2 * MAX_WAIT_S


class Link:
    """Sends datagrams to other processes when the link can take them.

    :param link_mbps: what the link bears in Mbit/s, 0 if that is not known:
        nothing waits then.
    :param send: sends a datagram to a process at once.
    :param clock: returns the time in seconds.
    :param log: lines on what is dropped.
    :param measures: gets the times that datagrams wait.
    """

    def __init__(
        self,
        link_mbps: float,
        send: Callable[[str, bytes], None],
        clock: Callable[[], float],
        log: DecisionLog,
        measures: LatencyHistograms,
    ):
        self._send = send
        self._clock = clock
        self._log = log
        self._measures = measures
        self._queue: LinkQueue | None = None
        if link_mbps > 0:
            self._queue = LinkQueue(link_mbps, clock())
        self._timer: asyncio.TimerHandle | None = None

    @property
    def waiting_bytes(self) -> int:
        """Frames and data that wait."""
        return self._queue.waiting_bytes if self._queue is not None else 0

    def count(self, size: int) -> None:
        """Count a datagram of some bytes that goes elsewhere at once."""
        if self._queue is not None:
            self._queue.record_sent(size, self._clock())

    def send_frame(self, ip: str, data: bytes) -> None:
        """Send a frame; it waits only for other frames."""
        if self._queue is None:
            self._send(ip, data)
            return
        now = self._clock()
        match self._queue.offer_frame(Datagram(ip, data), now):
            case SendDecision.SEND:
                self._send(ip, data)
            case SendDecision.WAIT:
                self._plan_turn()
            case SendDecision.FULL:
                self._log.change(
                    'link.frame_dropped', now, peer=ip,
                    waiting_bytes=self.waiting_bytes,
                )  # fmt: skip

    def send_packet(self, ip: str, data: bytes, packet: Packet) -> None:
        """Send a caller's packet in a frame when it is its turn.

        :param packet: the packet that the frame carries.
        """
        queue = self._queue
        if queue is None or not (
            packet.size or queue.has_waiting_packets(packet.flow)
        ):
            self.send_frame(ip, data)
            return
        now = self._clock()
        mark = packet.sequence, packet.size, packet.flags, packet.acknowledged
        match queue.offer_packet(packet.flow, mark, Datagram(ip, data), now):
            case SendDecision.SEND:
                self._send(ip, data)
            case SendDecision.WAIT:
                self._plan_turn()
            case SendDecision.COPY:
                self._log.decision('link.copy_dropped', packet.flow, now)
            case SendDecision.FULL:
                self._log.failure(
                    'link.full', packet.flow, now,
                    waiting_bytes=self.waiting_bytes,
                )  # fmt: skip

    async def drain(self, limit_s: float = DRAIN_S) -> None:
        """Wait until what waits has left, before the process ends.

        :param limit_s: longest wait in seconds.
        """
        until = self._clock() + limit_s
        while self.waiting_bytes and self._clock() < until:
            await asyncio.sleep(TURN_S)

    def close(self) -> None:
        """Send nothing more of what waits."""
        if self._timer is not None:
            self._timer.cancel()

    def _plan_turn(self) -> None:
        due_s = self._queue.due_s()
        if self._timer is None and due_s is not None:
            self._timer = asyncio.get_running_loop().call_later(
                max(TURN_S, due_s), self._take_turn
            )

    def _take_turn(self) -> None:
        self._timer = None
        for waited_s, datagram in self._queue.take_sendable(self._clock()):
            self._measures.record(WAIT, waited_s)
            self._send(datagram.ip, datagram.data)
        self._plan_turn()
