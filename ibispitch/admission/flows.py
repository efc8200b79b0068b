"""Limit on the open flows of an upstream, with a ramp for new flows."""

import math

from ibispitch.admission.concurrency import COLD_SHARE

#: Time in which an upstream after its ramp may get all its connections.
FILL_TIME_S = 2.0
#: Time over which unused permits for new flows accumulate.
BURST_TIME_S = 0.5


class FlowLimit:
    """Number of flows, and of new flows per second, that an upstream may get.

    The ramp follows time and not successful runs, since flows of the
    ``datagram`` protocol have no requests that could succeed.

    :param connections: flows that a warm upstream can serve.
    :param ramp_s: duration of the ramp to all connections, in seconds.
    :param now: start time of the upstream, in seconds.
    """

    def __init__(self, connections: int, ramp_s: float, now: float):
        self.connections = connections
        self.ramp_s = ramp_s
        self.open_flows = 0
        self._restarted_at = now
        self._refilled_at = now
        self._permits = max(1.0, self._flows_per_s(now) * BURST_TIME_S)

    def ramp_share(self, now: float) -> float:
        """Return the share of the connections that the ramp allows."""
        elapsed = max(0.0, now - self._restarted_at)
        return min(1.0, max(COLD_SHARE, elapsed / self.ramp_s))

    def room(self, now: float) -> int:
        """Return how many flows may be opened now."""
        share = self.ramp_share(now)
        room = math.ceil(self.connections * share) - self.open_flows
        if share < 1.0:
            self._refill(now)
            room = min(room, int(self._permits))
        return max(0, room)

    def expected_room(self, ahead_s: float, now: float) -> int:
        """Return how many flows may be opened within ``ahead_s`` seconds."""
        share = self.ramp_share(now)
        room = math.ceil(self.connections * share) - self.open_flows
        if share < 1.0:
            self._refill(now)
            room = min(
                room, int(self._permits + self._flows_per_s(now) * ahead_s)
            )
        return max(0, room)

    def record_opened(self, now: float) -> None:
        """Record a new flow."""
        self.open_flows += 1
        self._refill(now)
        self._permits = max(0.0, self._permits - 1.0)

    def record_closed(self) -> None:
        """Record the end of a flow."""
        self.open_flows = max(0, self.open_flows - 1)

    def resume(self, share: float, flows: int, now: float) -> None:
        """Continue the ramp of a predecessor process.

        :param share: the predecessor's :meth:`ramp_share`.
        :param flows: number of flows that the predecessor owned.
        """
        self.open_flows = flows
        self._restarted_at = now - share * self.ramp_s

    def restart(self, now: float) -> None:
        """Restart the ramp, as the upstream may be cold."""
        self._restarted_at = now
        self._refilled_at = now
        self._permits = 0.0

    def _flows_per_s(self, now: float) -> float:
        return self.connections * self.ramp_share(now) / FILL_TIME_S

    def _refill(self, now: float) -> None:
        rate = self._flows_per_s(now)
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._permits = min(
            max(1.0, rate * BURST_TIME_S), self._permits + rate * elapsed
        )
