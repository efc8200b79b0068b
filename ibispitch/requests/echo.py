"""Echo values (RFC 9175), which bind a request to one agent incarnation.

A value consists of the incarnation, the issue time in ms and a keyed BLAKE2s
hash, 8 bytes each. The key of a flow is derived from the key of the
incarnation, so that an agent that adopts the flow cannot issue values for
other flows.
"""

import enum
from hashlib import blake2s
import hmac
import struct
from typing import NamedTuple

import msgspec

from ibispitch.ids import FlowId

ECHO_BYTES = 24
#: Time in seconds for which a value is accepted.
ECHO_LIFETIME_S = 300.0

_HEADER = struct.Struct('!QQ')


class EchoFault(enum.Enum):
    """Reason why a value is not accepted; used as metric label."""

    MALFORMED = 'malformed'
    OTHER_INCARNATION = 'other_incarnation'
    FORGED = 'forged'
    EXPIRED = 'expired'
    MOVED = 'moved'


class EchoCheck(NamedTuple):
    """Result of the check of a value.

    :param fault: reason why it is not accepted, ``None`` if it is.
    :param incarnation: incarnation in the value.
    :param expires: time at which the value expires, in seconds.
    """

    fault: EchoFault | None
    incarnation: int = 0
    expires: float = 0.0


class EchoRange(msgspec.Struct, array_like=True):
    """Values of one flow that were issued in a range of time and handed over.

    Two exports of a flow may overlap in time if the flow had two owners.
    Each therefore has the range of the values whose records it contains.

    :param incarnation: incarnation that issued the values.
    :param key: key of the flow.
    :param from_ms: start of the range, on the clock of the issuer.
    :param before_ms: end of the range, not part of it, on the same clock.
    :param offset_s: clock of this agent minus clock of the issuer.
    """

    incarnation: int
    key: bytes
    from_ms: int
    before_ms: int
    offset_s: float

    def contains(self, incarnation: int, issued_ms: int) -> bool:
        """Return whether a value is in the range."""
        return (
            self.incarnation == incarnation
            and self.from_ms <= issued_ms < self.before_ms
        )

    @property
    def until(self) -> float:
        """Time at which the last value of the range expires, in seconds."""
        return self.before_ms / 1000 + self.offset_s + ECHO_LIFETIME_S


class EchoState(msgspec.Struct):
    """State that is handed over to a successor process.

    :param keys: keys by incarnation, of this process and its predecessors.
    :param held: values that other agents have handed over, by flow.
    :param moved_ms: time at which a flow was last handed over, by flow. The
        values that were issued here before are accepted by another agent.
    """

    keys: dict[int, bytes]
    held: dict[bytes, list[EchoRange]] = {}
    moved_ms: dict[bytes, int] = {}


class EchoIssuer:
    """Issues and checks Echo values.

    :param incarnation: incarnation of this process, below 2**64.
    :param key: random key of this process, 16 to 32 bytes. Agents do not
        share keys, so no agent accepts the values of another one.
    """

    def __init__(self, incarnation: int, key: bytes):
        self.incarnation = incarnation
        self.state = EchoState({incarnation: key}, {}, {})

    def issue(self, flow: FlowId, now: float) -> bytes:
        """Return a new value for a flow."""
        header = _HEADER.pack(self.incarnation, int(now * 1000))
        return header + _mac(self._flow_key(self.incarnation, flow), header)

    def check(self, flow: FlowId, value: bytes, now: float) -> EchoCheck:
        """Check the value in a request.

        :param flow: flow of the request.
        :param value: the value as received.
        :param now: current time in seconds.
        :returns: the fault, if any, and the contents of the value.
        """
        if len(value) != ECHO_BYTES:
            return EchoCheck(EchoFault.MALFORMED)
        incarnation, issued_ms = _HEADER.unpack_from(value)
        ranges = [
            values
            for values in self.state.held.get(flow, [])
            if values.incarnation == incarnation
        ]
        is_own = incarnation in self.state.keys
        if not is_own and not ranges:
            return EchoCheck(EchoFault.OTHER_INCARNATION, incarnation)
        key = self._flow_key(incarnation, flow) if is_own else ranges[0].key
        if not hmac.compare_digest(_mac(key, value[:16]), value[16:]):
            return EchoCheck(EchoFault.FORGED, incarnation)
        offsets_s = [
            values.offset_s
            for values in ranges
            if values.contains(incarnation, issued_ms)
        ]
        if is_own and issued_ms >= self.state.moved_ms.get(flow, 0):
            offsets_s.append(0.0)
        if not offsets_s:
            return EchoCheck(EchoFault.MOVED, incarnation)
        expires = issued_ms / 1000 + offsets_s[0] + ECHO_LIFETIME_S
        if not now < expires <= now + ECHO_LIFETIME_S:
            return EchoCheck(EchoFault.EXPIRED, incarnation, expires)
        return EchoCheck(None, incarnation, expires)

    def hand_over(self, flow: FlowId, now: float) -> list[EchoRange]:
        """Reject the values that were issued for a flow until now.

        :returns: the ranges of these values, for :meth:`take_over` of the
            new owner. Their offsets refer to the clock of this agent.
        """
        from_ms = self.state.moved_ms.get(flow, 0)
        # A value issued later in the same millisecond is accepted by the new
        # owner as well.
        before_ms = int(now * 1000) + 1
        self.state.moved_ms[flow] = before_ms
        own_ranges = [
            EchoRange(
                incarnation,
                self._flow_key(incarnation, flow),
                from_ms,
                before_ms,
                0.0,
            )
            for incarnation in self.state.keys
        ]
        return self.state.held.pop(flow, []) + own_ranges

    def take_over(
        self, flow: FlowId, handed: list[EchoRange], offset_s: float
    ) -> None:
        """Accept the values of a flow that another agent has handed over.

        :param handed: ranges of values, as :meth:`hand_over` returned them.
        :param offset_s: clock of this agent minus clock of the other one.
        """
        for values in handed:
            values.offset_s += offset_s
        self.state.held[flow] = self.state.held.get(flow, []) + handed

    def expire(self, now: float) -> None:
        """Remove ranges and handovers whose values have all expired."""
        oldest_valid_ms = (now - ECHO_LIFETIME_S) * 1000
        moved = self.state.moved_ms
        for flow in [f for f, ms in moved.items() if ms < oldest_valid_ms]:
            del moved[flow]
        for flow, ranges in list(self.state.held.items()):
            unexpired = [values for values in ranges if values.until > now]
            if unexpired:
                self.state.held[flow] = unexpired
            else:
                del self.state.held[flow]

    def _flow_key(self, incarnation: int, flow: FlowId) -> bytes:
        key = self.state.keys[incarnation]
        return blake2s(flow, key=key, digest_size=32).digest()


def _mac(key: bytes, header: bytes) -> bytes:
    return blake2s(header, key=key, digest_size=8).digest()
