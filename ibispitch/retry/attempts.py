"""Recognition of a caller's next attempt for the same request.

After a refusal or a time-out, a caller opens a new flow from another port at
once. Taken for a new request, the attempt counts as in time and as another
arrival: after a loss of power on a fleet of 35 upstreams, refusals led to
3,500 openings per second from 1,700 callers, and each caller used up its
attempts within half a second. An opening that follows the end of an attempt
of the same caller and destination therefore inherits the age of the request.

The next attempt may reach another balancer, so that balancers tell each other
of the attempts that end. Their state is lost with the process. An attempt
that is not recognised counts as a new request.
"""

from collections import deque
from typing import NamedTuple
from typing import NewType

from ibispitch.forwarding.packets import destination_of
from ibispitch.forwarding.packets import FlowKey

#: Caller's IP address, then destination address and port: 10 bytes.
CallerKey = NewType('CallerKey', bytes)
CALLER_KEY_BYTES = 10

#: Time after the end of an attempt in which the next one arrives: a round
#: trip to the caller with some delay at both ends.
NEXT_ATTEMPT_S = 0.1
#: Maximum number of ended attempts that are remembered, about 1 MB.
MAX_ENDED_ATTEMPTS = 4096


class Attempt(NamedTuple):
    """An attempt that has ended without an answer.

    :param asked_at: time of the request's first attempt.
    :param number: number of this attempt, from 1.
    :param ended_at: time at which the caller noticed the end.
    """

    asked_at: float
    number: int
    ended_at: float


def caller_key(flow: FlowKey) -> CallerKey:
    """Return what the attempts of a request have in common."""
    return CallerKey(flow[:4] + destination_of(flow))


class EndedAttempts:
    """Attempts that ended a moment ago, by caller and destination.

    >>> flow = FlowKey(bytes(12))
    >>> attempts = EndedAttempts()
    >>> attempts.record(flow, Attempt(asked_at=0.0, number=1, ended_at=1.4))
    >>> attempts.take(flow, now=1.41).number
    1
    >>> attempts.take(flow, now=1.42) is None
    True
    """

    def __init__(self):
        self._attempts_by_caller: dict[CallerKey, deque[Attempt]] = {}
        self._count = 0

    def record(self, flow: FlowKey, attempt: Attempt) -> None:
        """Record that an attempt has ended."""
        self.record_of_caller(caller_key(flow), attempt)

    def record_of_caller(self, key: CallerKey, attempt: Attempt) -> None:
        """Record an attempt that ended at another balancer."""
        self._attempts_by_caller.setdefault(key, deque()).append(attempt)
        self._count += 1
        if self._count > MAX_ENDED_ATTEMPTS:
            oldest = next(iter(self._attempts_by_caller))
            self._count -= len(self._attempts_by_caller.pop(oldest))

    def take(self, flow: FlowKey, now: float) -> Attempt | None:
        """Return the attempt that an opening repeats, and forget it.

        :param flow: flow of the opening.
        :param now: time in seconds.
        :returns: ``None`` if the opening begins a request.
        """
        key = caller_key(flow)
        attempts = self._attempts_by_caller.get(key)
        while attempts:
            attempt = attempts.popleft()
            self._count -= 1
            if not attempts:
                del self._attempts_by_caller[key]
            if now - attempt.ended_at <= NEXT_ATTEMPT_S:
                return attempt
        return None

    def expire(self, now: float) -> None:
        """Forget attempts that no opening can follow any more."""
        for key, attempts in list(self._attempts_by_caller.items()):
            while attempts and now - attempts[0].ended_at > NEXT_ATTEMPT_S:
                attempts.popleft()
                self._count -= 1
            if not attempts:
                del self._attempts_by_caller[key]
