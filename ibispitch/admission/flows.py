"""Limit of the open flows of an upstream and ramp of its new flows."""

import math

from ibispitch.admission.concurrency import COLD_SHARE

#: At full share the upstream may take all its connections in this time.
FILL_S = 2.0
#: Time over which unused new flows may be saved up.
BURST_S = 0.5


class FlowLimit:
    """How many flows, and new flows a second, an upstream may take.

    The ramp follows time and not successes, since flows of the
    ``datagram`` protocol have no requests that could succeed.

    :param connections: flows that the warm upstream bears.
    :param ramp_s: seconds from the cold share to all connections.
    :param now: start of the upstream, in seconds.
    """

    def __init__(self, connections: int, ramp_s: float, now: float):
        self.connections = connections
        self.ramp_s = ramp_s
        self.open_flows = 0
        self._restarted_at = now
        self._filled_at = now
        self._tokens = max(1.0, self._rate(now) * BURST_S)

    def ramp_share(self, now: float) -> float:
        """Return the share of the connections that the ramp allows."""
        elapsed = max(0.0, now - self._restarted_at)
        return min(1.0, max(COLD_SHARE, elapsed / self.ramp_s))

    def room(self, now: float) -> int:
        """Return how many flows may be opened now."""
        share = self.ramp_share(now)
        room = math.ceil(self.connections * share) - self.open_flows
        if share < 1.0:
            self._fill(now)
            room = min(room, int(self._tokens))
        return max(0, room)

    def expected_room(self, ahead_s: float, now: float) -> int:
        """Return how many flows may be opened in the next seconds."""
        share = self.ramp_share(now)
        room = math.ceil(self.connections * share) - self.open_flows
        if share < 1.0:
            self._fill(now)
            room = min(room, int(self._tokens + self._rate(now) * ahead_s))
        return max(0, room)

    def opened(self, now: float) -> None:
        """Note a new flow."""
        self.open_flows += 1
        self._fill(now)
        self._tokens = max(0.0, self._tokens - 1.0)

    def closed(self) -> None:
        """Note the end of a flow."""
        self.open_flows = max(0, self.open_flows - 1)

    def resume(self, share: float, flows: int, now: float) -> None:
        """Go on where a predecessor process was.

        :param share: its :meth:`ramp_share`.
        :param flows: flows that it owned.
        """
        self.open_flows = flows
        self._restarted_at = now - share * self.ramp_s

    def restart(self, now: float) -> None:
        """Take the upstream as cold."""
        self._restarted_at = now
        self._filled_at = now
        self._tokens = 0.0

    def _rate(self, now: float) -> float:
        return self.connections * self.ramp_share(now) / FILL_S

    def _fill(self, now: float) -> None:
        rate = self._rate(now)
        elapsed = max(0.0, now - self._filled_at)
        self._filled_at = now
        self._tokens = min(
            max(1.0, rate * BURST_S), self._tokens + rate * elapsed
        )
