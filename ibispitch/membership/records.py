"""Records of balancers and agents, and the view that an agent receives."""

import enum

import msgspec

from ibispitch.catalogue.documents import Entry
from ibispitch.ids import Address
from ibispitch.ids import AgentId
from ibispitch.ids import BalancerId
from ibispitch.ids import DatacentreName
from ibispitch.ids import ServiceName
from ibispitch.wire.messages import control_message


class MemberState(enum.Enum):
    """State of a balancer or an agent.

    A member that is DRAINING or LEAVING finishes its current work and
    accepts no new work. An agent is LOST when its lease has lapsed, a
    balancer when it has not answered probes.
    """

    ACTIVE = 'active'
    DRAINING = 'draining'
    LEAVING = 'leaving'
    LOST = 'lost'
    LEFT = 'left'

    @property
    def rank(self) -> int:
        """Rank among states with the same incarnation and sequence."""
        return STATE_ORDER.index(self)

    @property
    def is_present(self) -> bool:
        """Whether the member still handles flows."""
        return self not in (MemberState.LOST, MemberState.LEFT)


STATE_ORDER = tuple(MemberState)


class Version(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Version of a record; the record with the greater one is kept.

    :param incarnation: start time of the process in ns, never reused.
    :param sequence: grows with each change by the process or its parent.
    :param rank: rank of the state, so that LOST replaces ACTIVE at the same
        sequence.
    """

    incarnation: int
    sequence: int
    rank: int


@control_message('membership.agent')
class AgentRecord(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Record of an agent and its upstream.

    :param address: UDP address for data-path frames.
    :param slots: number of requests that the upstream runs at the same time.
    :param connections: number of flows that the upstream can keep open.
    :param parent: balancer that granted the agent's lease.
    :param admin_address: TCP address that serves state and metrics.
    """

    agent_id: AgentId
    service: ServiceName
    datacentre: DatacentreName
    address: Address
    incarnation: int
    sequence: int
    state: MemberState
    slots: int
    connections: int
    parent: BalancerId
    admin_address: Address | None = None

    @property
    def version(self) -> Version:
        """Version of the record."""
        return Version(self.incarnation, self.sequence, self.state.rank)


@control_message('membership.balancer')
class BalancerRecord(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True
):
    """Record of a balancer.

    :param address: UDP address that agents send answers to.
    :param control_address: UDP and TCP address for gossip and leases.
    :param admin_address: TCP address of the administration API.
    :param reaches_store: whether its last call to the store succeeded; also
        set if it makes no calls.
    """

    balancer_id: BalancerId
    datacentre: DatacentreName
    address: Address
    control_address: Address
    admin_address: Address
    incarnation: int
    sequence: int
    state: MemberState
    reaches_store: bool = True

    @property
    def version(self) -> Version:
        """Version of the record."""
        return Version(self.incarnation, self.sequence, self.state.rank)


@control_message('membership.view')
class ServiceView(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """State of a service that the parent sends to an agent.

    :param version: grows with each view that the parent sends, also from
        one parent to the next.
    :param entry: catalogue entry of the service, ``None`` if there is none.
    :param agents: the present agents of the service.
    :param datacentres_out: data centres that are out of service.
    :param balancers: present balancers through which to send answers.
    """

    version: int
    entry: Entry | None
    agents: list[AgentRecord]
    datacentres_out: list[DatacentreName]
    balancers: list[BalancerRecord]
