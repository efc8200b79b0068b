"""Order of the unanswered requests at one upstream.

Load pattern: an upstream becomes slow or hangs, so that it gives few answers
from which its slowness could be measured; or its queue is full, so that it
rejects requests at once and these answers look like quick ones.

Upstreams run requests in order of arrival.
"""

from itertools import islice
from itertools import takewhile

from ibispitch.forwarding.packets import FlowKey


class _Arrival:
    """An unanswered request.

    :param at: time at which its last packet went to the upstream.
    """

    __slots__ = ('at', 'started_at')

    def __init__(self, at: float):
        self.at = at
        #: Earliest time at which it may have begun to run.
        self.started_at = at


class Arrivals:
    """The unanswered requests of an upstream in order of arrival.

    >>> arrivals = Arrivals()
    >>> arrivals.record(FlowKey(b'a'), at=0.0)
    >>> arrivals.record(FlowKey(b'b'), at=0.1)
    >>> arrivals.has_overtaken(FlowKey(b'b'), slots=1)
    True
    >>> arrivals.running_s(now=0.3)
    0.3
    >>> arrivals.remove(FlowKey(b'a'), slots=1, now=0.3)
    >>> arrivals.running_s(now=0.5)
    0.2
    """

    def __init__(self):
        self._arrival_by_flow: dict[FlowKey, _Arrival] = {}

    def record(self, flow: FlowKey, at: float) -> None:
        """Record a request.

        A request that continues is complete, and can run, with its last
        packet. A packet that was recorded before changes nothing.
        """
        arrival = self._arrival_by_flow.get(flow)
        if arrival is None or arrival.at != at:
            self._arrival_by_flow.pop(flow, None)
            self._arrival_by_flow[flow] = _Arrival(at)

    def remove(self, flow: FlowKey, slots: int, now: float) -> None:
        """Remove a request that was answered or is no longer waited for.

        If it ran, the first one behind the slots may begin to run.
        """
        if flow not in self._arrival_by_flow:
            return
        if not self.has_overtaken(flow, slots):
            first_queued = next(
                islice(self._arrival_by_flow.values(), slots, None), None
            )
            if first_queued is not None:
                first_queued.started_at = now
        del self._arrival_by_flow[flow]

    def expire(self, before: float, slots: int, now: float) -> None:
        """Remove the requests that arrived before a time."""
        for flow in list(
            takewhile(
                lambda flow: self._arrival_by_flow[flow].at < before,
                self._arrival_by_flow,
            )
        ):
            self.remove(flow, slots, now)

    def clear(self) -> None:
        """Remove all requests, because the upstream has ended."""
        self._arrival_by_flow.clear()

    def has_overtaken(self, flow: FlowKey, slots: int) -> bool:
        """Return whether an answer to a request shows that it did not run.

        That is the case if at least as many earlier requests as there are
        slots are unanswered.
        """
        by_flow = self._arrival_by_flow
        return flow in by_flow and flow not in islice(by_flow, slots)

    def first(self, count: int) -> list[FlowKey]:
        """Return the flows of the first requests."""
        return list(islice(self._arrival_by_flow, count))

    def running_s(self, now: float) -> float:
        """Return the time for which the first request has run at least.

        The time in the upstream's queue is excluded. 0 without requests.
        """
        first = next(iter(self._arrival_by_flow.values()), None)
        return max(0.0, now - first.started_at) if first else 0.0
