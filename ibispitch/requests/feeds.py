"""Observations (RFC 7641) that callers have registered.

A feed is the sequence of notifications of one observation.
"""

from aiocoap import Message
from aiocoap.numbers.types import Type
import msgspec

from ibispitch.ids import FlowId
from ibispitch.requests.callers import CallerMessageLayer

MAX_FEEDS_PER_FLOW = 64
SEQUENCE_RANGE = 1 << 24
#: Number of notifications per observation whose message ids are remembered,
#: to match a reset.
RECENT_MIDS = 8


class Observation(msgspec.Struct, array_like=True):
    """An observation that a caller has registered.

    :param token: token of the caller.
    :param registration: datagram in which the caller registered it.
    :param upstream_token: token towards the upstream, empty until the
        observation is registered at the upstream of a new owner.
    :param sequence: last Observe number sent to the caller.
    :param upstream_sequence: last Observe number from the upstream.
    :param mids: message ids of the last notifications to the caller.
    """

    token: bytes
    registration: bytes
    upstream_token: bytes = b''
    sequence: int = 0
    upstream_sequence: int = 0
    mids: list[int] = []


def is_newer(number: int, last: int) -> bool:
    """Return whether an Observe number is newer (RFC 7641, 3.4).

    Observe numbers wrap around.

    >>> is_newer(1, 2**24 - 1), is_newer(5, 5)
    (True, False)
    """
    return 0 < (number - last) % SEQUENCE_RANGE < SEQUENCE_RANGE // 2


class FeedState(msgspec.Struct):
    """State that is handed over to a successor process.

    :param by_flow: observations by flow and token of the caller.
    :param by_upstream_token: flow and token of the caller, by token towards
        the upstream.
    """

    by_flow: dict[bytes, dict[bytes, Observation]] = {}
    by_upstream_token: dict[bytes, tuple[bytes, bytes]] = {}


class FeedTable:
    """Observations, by flow and by token towards the upstream."""

    def __init__(self, callers: CallerMessageLayer):
        self.state = FeedState({}, {})
        self._callers = callers

    def of_flow(self, flow: FlowId) -> dict[bytes, Observation]:
        """Return the observations of a flow, by token of the caller."""
        return self.state.by_flow.get(flow, {})

    def find(self, upstream_token: bytes) -> tuple[FlowId, Observation] | None:
        """Return the observation with a token towards the upstream."""
        flow_and_token = self.state.by_upstream_token.get(upstream_token)
        if flow_and_token is None:
            return None
        flow, token = flow_and_token
        return FlowId(flow), self.state.by_flow[flow][token]

    def has_room(self, flow: FlowId, token: bytes) -> bool:
        """Return whether a flow may register or renew an observation."""
        feeds = self.of_flow(flow)
        return token in feeds or len(feeds) < MAX_FEEDS_PER_FLOW

    def add(self, flow: FlowId, observation: Observation) -> None:
        """Add an observation, or update its token towards the upstream."""
        feeds = self.state.by_flow.setdefault(flow, {})
        earlier = feeds.get(observation.token)
        if earlier is not None:
            self.state.by_upstream_token.pop(earlier.upstream_token, None)
        feeds[observation.token] = observation
        if observation.upstream_token:
            self.state.by_upstream_token[observation.upstream_token] = (
                flow,
                observation.token,
            )

    def remove(self, flow: FlowId, token: bytes) -> Observation | None:
        """Remove an observation."""
        feeds = self.state.by_flow.get(flow, {})
        observation = feeds.pop(token, None)
        if observation is not None:
            self.state.by_upstream_token.pop(observation.upstream_token, None)
            if not feeds:
                del self.state.by_flow[flow]
        return observation

    def find_by_mid(self, flow: FlowId, mid: int) -> Observation | None:
        """Return the observation that a recent notification belongs to."""
        for observation in self.of_flow(flow).values():
            if mid in observation.mids:
                return observation
        return None

    def send_notification(
        self,
        flow: FlowId,
        observation: Observation,
        message: Message,
        now: float,
    ) -> None:
        """Send a notification with the next Observe number.

        The numbers are those of the gate, so they keep increasing when the
        upstream changes. A confirmable notification replaces an
        unacknowledged one and continues its retransmissions. Otherwise a
        resource that changes often would hide that the caller no longer
        exists.
        """
        message.opt.observe = self.next_sequence(observation)
        if message.mtype is not Type.CON:
            mid = self._callers.send_unconfirmed(
                flow, message, observation.token
            )
        else:
            unacknowledged = [
                outgoing
                for mid in observation.mids
                if (outgoing := self._callers.stop_repeating(flow, mid))
            ]
            _, mid = self._callers.send_confirmable(
                flow,
                message,
                observation.token,
                now,
                observation.token,
                next(iter(unacknowledged), None),
            )
        observation.mids = [*observation.mids[1 - RECENT_MIDS :], mid]

    def next_sequence(self, observation: Observation) -> int:
        """Return the next Observe number for the caller."""
        observation.sequence = (observation.sequence + 1) % SEQUENCE_RANGE
        return observation.sequence
