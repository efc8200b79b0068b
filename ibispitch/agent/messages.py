"""Messages between agent programs that belong to no other package."""

import msgspec

from ibispitch.ids import FlowId
from ibispitch.wire.messages import control_message


@control_message('agent.issued')
class IssuedRequest(msgspec.Struct, array_like=True, frozen=True):
    """Passes a caller's datagram to the agent that issued its Echo value.

    :param balancer: balancer that received it from the caller, 6 bytes.
    :param destination: address of the service, 6 bytes.
    """

    flow: FlowId
    balancer: bytes
    destination: bytes
    datagram: bytes


class MovedFlow(msgspec.Struct, array_like=True, frozen=True):
    """A flow that is moved to another agent.

    :param balancer: balancer of its last packet, 6 bytes.
    :param destination: address of the service, 6 bytes.
    :param data: the flow as the gate exported it.
    """

    balancer: bytes
    destination: bytes
    data: bytes
