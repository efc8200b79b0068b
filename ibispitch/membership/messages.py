"""Messages of the failure detector and of the leases of agents."""

import msgspec

from ibispitch.ids import Address
from ibispitch.ids import AgentId
from ibispitch.ids import BalancerId
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import BalancerRecord
from ibispitch.wire.messages import control_message


@control_message('membership.ping')
class Ping(msgspec.Struct, array_like=True, frozen=True):
    """Requests an :class:`Ack` with the same nonce."""

    nonce: int


@control_message('membership.ack')
class Ack(msgspec.Struct, array_like=True, frozen=True):
    """Answers a :class:`Ping` or a :class:`PingRequest`."""

    nonce: int


@control_message('membership.ping_request')
class PingRequest(msgspec.Struct, array_like=True, frozen=True):
    """Requests that the receiver probe another balancer."""

    nonce: int
    target: BalancerId


@control_message('membership.suspicion')
class Suspicion(msgspec.Struct, array_like=True, frozen=True):
    """Warns that a balancer does not answer and will be declared LOST.

    :param relayed: whether a third balancer forwarded the message.
    """

    balancer_id: BalancerId
    incarnation: int
    sequence: int
    relayed: bool = False


@control_message('membership.join')
class Join(msgspec.Struct, array_like=True, frozen=True):
    """Introduces the sender to a seed or to a balancer that seems LOST."""

    record: BalancerRecord


@control_message('membership.announce')
class Announce(msgspec.Struct, array_like=True, frozen=True):
    """Requests a lease, or changes the record of a lease.

    :param view_version: version of the newest view that the agent has.
    """

    record: AgentRecord
    view_version: int


@control_message('membership.renew')
class Renew(msgspec.Struct, array_like=True, frozen=True):
    """Renews a lease."""

    agent_id: AgentId
    incarnation: int
    sequence: int


@control_message('membership.leave')
class Leave(msgspec.Struct, array_like=True, frozen=True):
    """Ends a lease; the agent has LEFT."""

    record: AgentRecord


@control_message('membership.granted')
class LeaseGranted(msgspec.Struct, array_like=True, frozen=True):
    """Grants a lease for ``lease_s`` seconds from the request.

    :param sequence: greatest known sequence of the agent; its next change
        uses a greater one.
    """

    sequence: int
    lease_s: float


@control_message('membership.refused')
class LeaseRefused(msgspec.Struct, array_like=True, frozen=True):
    """Refuses a lease.

    :param sequence: greatest known sequence of the agent.
    :param superseded: whether a later process has replaced the agent.
    """

    sequence: int
    superseded: bool


@control_message('membership.peer')
class PeerHello(msgspec.Struct, array_like=True, frozen=True):
    """First message of a stream between balancers.

    :param control_address: identifies the sender; its IP address must be
        that of the connection.
    """

    control_address: Address


SWIM_MESSAGES = (Ping, Ack, PingRequest, Suspicion, Join)
