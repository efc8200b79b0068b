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


class HeldKey(msgspec.Struct, array_like=True):
    """Key of one flow that its former owner handed over.

    :param key: key of the flow.
    :param issued_before_ms: only values issued before this time, on the
        clock of the issuer, are accepted here; the issuer accepts the rest.
    :param offset_s: clock of this agent minus clock of the issuer.
    :param until: time until which a value can be alive.
    """

    key: bytes
    issued_before_ms: int
    offset_s: float
    until: float


class EchoState(msgspec.Struct):
    """What is handed to a successor.

    :param keys: key by incarnation; the values of each are accepted.
    :param held_keys: keys that other agents handed over, by flow and
        incarnation.
    :param moved_ms: time at which a flow was handed over, by flow.
    """

    keys: dict[int, bytes]
    held_keys: dict[bytes, dict[int, HeldKey]] = {}
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
        held = self.state.held_keys.get(flow, {}).get(incarnation)
        own = incarnation in self.state.keys
        if not own and held is None:
            return EchoCheck(EchoFault.OTHER_INCARNATION, incarnation)
        key = self._flow_key(incarnation, flow) if own else held.key
        if not hmac.compare_digest(_mac(key, value[:16]), value[16:]):
            return EchoCheck(EchoFault.FORGED, incarnation)
        if own:
            moved = issued_ms < self.state.moved_ms.get(flow, 0)
            offset_s = 0.0
        else:
            moved = issued_ms >= held.issued_before_ms
            offset_s = held.offset_s
        expires = issued_ms / 1000 + offset_s + ECHO_LIFETIME_S
        if moved:
            return EchoCheck(EchoFault.MOVED, incarnation, expires)
        if not now < expires <= now + ECHO_LIFETIME_S:
            return EchoCheck(EchoFault.EXPIRED, incarnation, expires)
        return EchoCheck(None, incarnation, expires)

    def hand_over(self, flow: FlowId, now: float) -> dict[int, HeldKey]:
        """Give up the values of a flow that were issued until now.

        :returns: the keys for :meth:`take_over`, by incarnation; their
            offsets are relative to the clock of this agent.
        """
        moved_ms = int(now * 1000) + 1
        until = now + ECHO_LIFETIME_S
        keys = {
            incarnation: HeldKey(
                self._flow_key(incarnation, flow), moved_ms, 0.0, until
            )
            for incarnation in self.state.keys
        }
        self.state.moved_ms[flow] = moved_ms
        return self.state.held_keys.pop(flow, {}) | keys

    def take_over(
        self, flow: FlowId, keys: dict[int, HeldKey], offset_s: float
    ) -> None:
        """Accept the values of a flow that another agent gave up.

        :param offset_s: clock of this agent minus clock of the other one.
        """
        held = self.state.held_keys.setdefault(flow, {})
        for incarnation, key in keys.items():
            if incarnation in self.state.keys:
                self.state.moved_ms.pop(flow, None)
            else:
                held[incarnation] = HeldKey(
                    key.key,
                    key.issued_before_ms,
                    key.offset_s + offset_s,
                    key.until + offset_s,
                )

    def expire(self, now: float) -> None:
        """Forget keys and moves when no value issued before them lives."""
        alive_ms = (now - ECHO_LIFETIME_S) * 1000
        moved = self.state.moved_ms
        for flow in [f for f, ms in moved.items() if ms < alive_ms]:
            del moved[flow]
        held = self.state.held_keys
        for flow, keys in list(held.items()):
            kept = {i: key for i, key in keys.items() if key.until > now}
            if kept:
                held[flow] = kept
            else:
                del held[flow]

    def _flow_key(self, incarnation: int, flow: FlowId) -> bytes:
        key = self.state.keys[incarnation]
        return blake2s(flow, key=key, digest_size=32).digest()


def _mac(key: bytes, head: bytes) -> bytes:
    return blake2s(head, key=key, digest_size=8).digest()
