"""What a gate asks its agent to do."""

import msgspec

from ibispitch.ids import AgentId
from ibispitch.ids import FlowId
from ibispitch.requests.messages import RunCancel
from ibispitch.requests.messages import RunReply
from ibispitch.requests.messages import RunRequest


class SendToCaller(msgspec.Struct, frozen=True):
    """Send a datagram to the caller of a flow.

    :param tries: how often the caller has not acknowledged it, or the
        notification that it replaces; another way back may work better.
    """

    flow: FlowId
    datagram: bytes
    tries: int = 0


class SendToUpstream(msgspec.Struct, frozen=True):
    """Send a datagram to the upstream from the socket of a flow."""

    flow: FlowId
    datagram: bytes


class SendRun(msgspec.Struct, frozen=True):
    """Send a delegated run, or its cancellation, to another agent."""

    to: AgentId
    message: RunRequest | RunCancel


class SendRunReply(msgspec.Struct, frozen=True):
    """Send the end of a delegated run to the agent that asked for it."""

    to: AgentId
    message: RunReply


class RelayToIssuer(msgspec.Struct, frozen=True):
    """Relay a caller's datagram to the agent that issued its Echo value."""

    to: AgentId
    flow: FlowId
    datagram: bytes


class OpenSocket(msgspec.Struct, frozen=True):
    """Open the socket of a flow towards the upstream."""

    flow: FlowId


class CloseSocket(msgspec.Struct, frozen=True):
    """Close the socket of a flow towards the upstream."""

    flow: FlowId


class Count(msgspec.Struct, frozen=True):
    """Add 1 to a counter.

    :param labels: pairs of label and value.
    """

    name: str
    labels: tuple[tuple[str, str], ...] = ()


class Measure(msgspec.Struct, frozen=True):
    """Record a value in a histogram."""

    name: str
    value: float
    labels: tuple[tuple[str, str], ...] = ()


Effect = (
    SendToCaller
    | SendToUpstream
    | SendRun
    | SendRunReply
    | RelayToIssuer
    | OpenSocket
    | CloseSocket
    | Count
    | Measure
)
