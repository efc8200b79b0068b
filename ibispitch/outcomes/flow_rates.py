"""Request rates of the long flows of one upstream.

Load pattern: callers send requests at different rates on their long flows,
so that upstreams with as many flows have different amounts of work.
"""

import math

from ibispitch.forwarding.packets import FlowKey

#: Time constant of the moving average. Shorter ones follow the random gaps
#: between the requests of a flow.
RATE_TIME_CONSTANT_S = 5.0
#: Requests per second of a flow while no other flow was measured.
INITIAL_REQUESTS_PER_S = 1.0


class _Rate:
    """Moving average of one flow.

    :param per_s: requests per second at the time ``at``.
    """

    __slots__ = ('at', 'per_s')

    def __init__(self, per_s: float, at: float):
        self.per_s = per_s
        self.at = at

    def decay(self, now: float) -> None:
        if now > self.at:
            self.per_s *= math.exp((self.at - now) / RATE_TIME_CONSTANT_S)
            self.at = now


class FlowRates:
    """Moving averages of the requests per second, by flow.

    A new flow begins with the mean of the others. Its average approaches its
    own rate, and an ended flow no longer counts.

    >>> rates = FlowRates()
    >>> rates.add(FlowKey(b'a'), now=0.0)
    >>> rates.record_request(FlowKey(b'a'), now=0.0)
    >>> rates.requests_per_s(now=0.0)
    1.2
    """

    def __init__(self):
        self._rate_by_flow: dict[FlowKey, _Rate] = {}
        self._total = _Rate(0.0, -math.inf)

    def add(self, flow: FlowKey, now: float) -> None:
        """Add a long flow."""
        if flow in self._rate_by_flow:
            return
        count = len(self._rate_by_flow)
        total_per_s = self.requests_per_s(now)
        per_s = total_per_s / count if count else INITIAL_REQUESTS_PER_S
        self._rate_by_flow[flow] = _Rate(per_s, now)
        self._total.per_s += per_s

    def record_request(self, flow: FlowKey, now: float) -> None:
        """Record a request; flows that were not added are ignored."""
        rate = self._rate_by_flow.get(flow)
        if rate is not None:
            for average in (rate, self._total):
                average.decay(now)
                average.per_s += 1.0 / RATE_TIME_CONSTANT_S

    def remove(self, flow: FlowKey) -> None:
        """Remove a flow that has ended."""
        rate = self._rate_by_flow.pop(flow, None)
        if rate is None:
            return
        rate.decay(self._total.at)
        self._total.per_s = max(0.0, self._total.per_s - rate.per_s)
        if not self._rate_by_flow:
            self._total.per_s = 0.0

    def clear(self) -> None:
        """Remove all flows."""
        self._rate_by_flow.clear()
        self._total.per_s = 0.0

    def requests_per_s(self, now: float) -> float:
        """Return the requests per second of all flows."""
        self._total.decay(now)
        return self._total.per_s

    def flow_load(self, work_s: float, now: float) -> float | None:
        """Return the expected number of slots that the flows keep busy.

        :param work_s: mean request time, 0 if it is not known.
        :returns: ``None`` if it is not known.
        """
        if not self._rate_by_flow:
            return 0.0
        return self.requests_per_s(now) * work_s if work_s else None
