"""Echo values (RFC 9175) that bind a request to one agent incarnation.

A value is incarnation, issue time in ms and keyed BLAKE2s, 8 bytes each.
The key of a flow is derived from the key of the incarnation, so that a flow
can be handed over without the power to issue values for other flows.
"""

import enum
from hashlib import blake2s
import hmac
import struct
from typing import NamedTuple

import msgspec

from ibispitch.ids import FlowId

ECHO_BYTES = 24
#: Time in seconds for which a value admits requests.
ECHO_LIFETIME_S = 300.0

_HEAD = struct.Struct('!QQ')


class EchoFault(enum.Enum):
    """Why a value does not admit a request; used as metric label."""

    MALFORMED = 'malformed'
    OTHER_INCARNATION = 'other_incarnation'
    FORGED = 'forged'
    EXPIRED = 'expired'
    MOVED = 'moved'


class EchoCheck(NamedTuple):
    """Result of a check.

    :param fault: ``None`` if the value admits the request.
    :param incarnation: incarnation that the value names.
    :param expires: time at which the value stops to admit, in seconds.
    """

    fault: EchoFault | None
    incarnation: int = 0
    expires: float = 0.0


class HeldValues(msgspec.Struct, array_like=True):
    """Values of one flow that their issuer or a later owner handed over.

    Two exports of one flow may overlap in time when a flow had two owners,
    so each names the span of values whose records go with it.

    :param incarnation: incarnation that issued them.
    :param key: key of the flow.
    :param from_ms: time of the first value, on the clock of the issuer.
    :param before_ms: time before which the last value was issued.
    :param offset_s: clock of this agent minus clock of the issuer.
    """

    incarnation: int
    key: bytes
    from_ms: int
    before_ms: int
    offset_s: float

    def holds(self, incarnation: int, issued_ms: int) -> bool:
        """Tell whether a value is among them."""
        return (
            self.incarnation == incarnation
            and self.from_ms <= issued_ms < self.before_ms
        )

    @property
    def until(self) -> float:
        """Time at which the last value expires, in seconds."""
        return self.before_ms / 1000 + self.offset_s + ECHO_LIFETIME_S


class EchoState(msgspec.Struct):
    """What is handed to a successor.

    :param keys: key by incarnation; the values of each are accepted.
    :param held: values that other agents handed over, by flow.
    :param moved_ms: time at which a flow was handed over, by flow; values
        of this agent issued before are accepted elsewhere.
    """

    keys: dict[int, bytes]
    held: dict[bytes, list[HeldValues]] = {}
    moved_ms: dict[bytes, int] = {}


class EchoKeeper:
    """Issues and checks Echo values.

    :param incarnation: incarnation of this process, below 2**64.
    :param key: random key of this process, 16 to 32 bytes. It is not shared
        between agents, so no agent accepts the value of another one.
    """

    def __init__(self, incarnation: int, key: bytes):
        self.incarnation = incarnation
        self.state = EchoState({incarnation: key}, {}, {})

    def issue(self, flow: FlowId, now: float) -> bytes:
        """Return a new value for a flow."""
        head = _HEAD.pack(self.incarnation, int(now * 1000))
        return head + _mac(self._flow_key(self.incarnation, flow), head)

    def check(self, flow: FlowId, value: bytes, now: float) -> EchoCheck:
        """Check a value that came with a request.

        :param flow: flow of the request.
        :param value: the value as received.
        :param now: present time in seconds.
        :returns: the fault, if any, and what the value names.
        """
        if len(value) != ECHO_BYTES:
            return EchoCheck(EchoFault.MALFORMED)
        incarnation, issued_ms = _HEAD.unpack_from(value)
        held = [
            values
            for values in self.state.held.get(flow, [])
            if values.incarnation == incarnation
        ]
        own = incarnation in self.state.keys
        if not own and not held:
            return EchoCheck(EchoFault.OTHER_INCARNATION, incarnation)
        key = self._flow_key(incarnation, flow) if own else held[0].key
        if not hmac.compare_digest(_mac(key, value[:16]), value[16:]):
            return EchoCheck(EchoFault.FORGED, incarnation)
        offsets_s = [
            values.offset_s
            for values in held
            if values.holds(incarnation, issued_ms)
        ]
        if own and issued_ms >= self.state.moved_ms.get(flow, 0):
            offsets_s.append(0.0)
        if not offsets_s:
            return EchoCheck(EchoFault.MOVED, incarnation)
        expires = issued_ms / 1000 + offsets_s[0] + ECHO_LIFETIME_S
        if not now < expires <= now + ECHO_LIFETIME_S:
            return EchoCheck(EchoFault.EXPIRED, incarnation, expires)
        return EchoCheck(None, incarnation, expires)

    def hand_over(self, flow: FlowId, now: float) -> list[HeldValues]:
        """Give up the values of a flow that were issued until now.

        :returns: the values for :meth:`take_over`; their offsets are
            relative to the clock of this agent.
        """
        from_ms = self.state.moved_ms.get(flow, 0)
        # A value issued later in the same millisecond belongs to the new
        # owner as well.
        before_ms = int(now * 1000) + 1
        self.state.moved_ms[flow] = before_ms
        own = [
            HeldValues(
                incarnation,
                self._flow_key(incarnation, flow),
                from_ms,
                before_ms,
                0.0,
            )
            for incarnation in self.state.keys
        ]
        return self.state.held.pop(flow, []) + own

    def take_over(
        self, flow: FlowId, handed: list[HeldValues], offset_s: float
    ) -> None:
        """Accept the values of a flow that another agent gave up.

        :param offset_s: clock of this agent minus clock of the other one.
        """
        for values in handed:
            values.offset_s += offset_s
        self.state.held[flow] = self.state.held.get(flow, []) + handed

    def expire(self, now: float) -> None:
        """Forget values and moves when no value issued before them lives."""
        alive_ms = (now - ECHO_LIFETIME_S) * 1000
        moved = self.state.moved_ms
        for flow in [f for f, ms in moved.items() if ms < alive_ms]:
            del moved[flow]
        for flow, held in list(self.state.held.items()):
            kept = [values for values in held if values.until > now]
            if kept:
                self.state.held[flow] = kept
            else:
                del self.state.held[flow]

    def _flow_key(self, incarnation: int, flow: FlowId) -> bytes:
        key = self.state.keys[incarnation]
        return blake2s(flow, key=key, digest_size=32).digest()


def _mac(key: bytes, head: bytes) -> bytes:
    return blake2s(head, key=key, digest_size=8).digest()
