"""Packets that the affinity core receives, and the effects it returns."""

import enum
from typing import Any
from typing import NamedTuple

from ibispitch.ids import AgentId
from ibispitch.ids import FlowId
from ibispitch.wire.frames import FrameFlag

#: Flag of a packet that is sent back because the receiver refused its flow.
REFUSED_FLAG = 2

#: The upper six bits of the flags hold the low bits of a term.
TERM_SHIFT = 2
TERM_MASK = 0x3F


class Packet(NamedTuple):
    """A caller's packet.

    :param flow: flow of the packet.
    :param hops: number of times that agents have relayed it.
    :param is_adoption: whether the sender, as the authority of the slot,
        asks the receiver to adopt the flow.
    :param sender: the agent that relayed it, ``None`` if it came from a
        balancer or from the address of no known agent.
    :param balancer: balancer that received it from the caller.
    :param payload: the content, which this package does not interpret.
    :param is_refusal: whether the sender refused to adopt the flow.
    :param term: low bits of the term of an adoption or a refusal.
    """

    flow: FlowId
    hops: int
    is_adoption: bool
    sender: AgentId | None
    balancer: bytes
    payload: Any
    is_refusal: bool = False
    term: int = 0

    @property
    def flags(self) -> int:
        """Flags of the frame that carries the packet.

        >>> packet = Packet(FlowId(b''), 0, True, None, b'', b'', False, 5)
        >>> packet.flags
        21
        >>> packet.with_flags(22)[-2:], packet.with_flags(22).is_adoption
        ((True, 5), False)
        """
        return (
            (int(FrameFlag.ADOPT) if self.is_adoption else 0)
            | (REFUSED_FLAG if self.is_refusal else 0)
            | self.term << TERM_SHIFT
        )

    def with_flags(self, flags: int) -> 'Packet':
        """Return the packet with the flags of a frame."""
        return self._replace(
            is_adoption=bool(flags & FrameFlag.ADOPT),
            is_refusal=bool(flags & REFUSED_FLAG),
            term=flags >> TERM_SHIFT,
        )


class DropReason(enum.Enum):
    """Reason for which a packet was dropped; used as a metric label."""

    DATACENTRE_OUT = 'datacentre_out'
    HOP_LIMIT = 'hop_limit'
    NO_HOME = 'no_home'
    NO_CANDIDATE = 'no_candidate'
    NO_FLOW = 'no_flow'
    BUFFER_FULL = 'buffer_full'
    HELD_TOO_LONG = 'held_too_long'
    BOUNCED = 'bounced'


class Deliver(NamedTuple):
    """Pass a packet to the gate.

    :param is_new: whether the flow was adopted with this packet.
    """

    packet: Packet
    is_new: bool


class Relay(NamedTuple):
    """Send a packet to another agent.

    :param packet: the packet, with the hops and flags for its frame.
    :param is_adoption: the same as ``packet.is_adoption``.
    """

    to: AgentId
    packet: Packet
    is_adoption: bool


class SendMessage(NamedTuple):
    """Send a control message to another agent."""

    to: AgentId
    message: Any


class AdoptMovedFlow(NamedTuple):
    """Import a flow that another agent exported.

    :param data: the exported flow.
    """

    flow: FlowId
    data: bytes


class ForgetMovedFlow(NamedTuple):
    """Remove a flow that another agent owns now."""

    flow: FlowId


class CloseFlow(NamedTuple):
    """Close a flow that this agent no longer owns."""

    flow: FlowId


class Drop(NamedTuple):
    """Count a dropped packet."""

    packet: Packet
    reason: DropReason


Effect = (
    Deliver
    | Relay
    | SendMessage
    | AdoptMovedFlow
    | ForgetMovedFlow
    | CloseFlow
    | Drop
)
