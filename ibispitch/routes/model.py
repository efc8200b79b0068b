"""Routes, services and data centres taken out, as one versioned table.

All processes derive their decisions on new flows from this table. It is a
value: a change makes a new table with a greater revision.
"""

import enum
import zlib

import msgspec

from ibispitch.forwarding.packets import Destination
from ibispitch.forwarding.packets import FlowKey
from ibispitch.ids import DatacentreName
from ibispitch.ids import ServiceName


class RequestKind(enum.Enum):
    """What the requests of a route are like."""

    #: Idempotent, many requests on a long flow.
    SAFE = 'safe'
    #: Not idempotent, a flow for each request.
    UNSAFE = 'unsafe'
    #: A large body from the caller, a flow for each request.
    UPLOAD = 'upload'


class Share(msgspec.Struct, frozen=True, array_like=True):
    """Part of a route's new flows that a service gets."""

    service: ServiceName
    weight: int


class Route(msgspec.Struct, frozen=True, array_like=True):
    """Where the new flows to one destination go.

    :param destination: address and port that callers send to.
    :param shares: services and their weights.
    :param objective_s: time within which callers want their answers.
    :param timeout_s: time after which an answer is worthless.
    :param priority: 0 is the most urgent.
    """

    destination: bytes
    shares: tuple[Share, ...]
    kind: RequestKind
    objective_s: float
    timeout_s: float
    priority: int

    def service_for(self, flow: FlowKey) -> ServiceName:
        """Return the service of a flow; copies of a flow get the same."""
        if len(self.shares) == 1:
            return self.shares[0].service
        point = zlib.crc32(flow) % sum(s.weight for s in self.shares)
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        raise AssertionError('weights sum up to more than the point')


class ServiceLimits(msgspec.Struct, frozen=True, array_like=True):
    """Limits of the upstreams of a service.

    :param cold_start_s: time for which an upstream is cold after its start.
    :param cold_openings_per_s: new flows a second that a cold one bears.
    :param health_path: path of their health check.
    """

    name: ServiceName
    cold_start_s: float
    cold_openings_per_s: float
    health_path: str


class RouteTable(msgspec.Struct, frozen=True, array_like=True):
    """All routes and services at one revision.

    :param revision: the store's revision up to which changes are included.
    :param version: version of the operator's configuration.
    :param idle_timeout_s: time after which an idle flow may be forgotten.
    :param out: data centres that are taken out of service.
    """

    revision: int
    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceLimits, ...]
    idle_timeout_s: float
    out: frozenset[DatacentreName]


class RouteIndex:
    """A route table indexed for look-ups."""

    def __init__(self, table: RouteTable):
        self.table = table
        self.revision = table.revision
        self.route_by_destination: dict[Destination, Route] = {
            Destination(route.destination): route for route in table.routes
        }
        self.limits_by_service: dict[ServiceName, ServiceLimits] = {
            service.name: service for service in table.services
        }

    def route_of(self, flow: FlowKey) -> Route | None:
        """Return the route of a flow's destination, if there is one."""
        return self.route_by_destination.get(Destination(flow[6:]))

    def allows_service(self, flow: FlowKey, service: ServiceName) -> bool:
        """Return whether new flows of this kind may go to a service."""
        route = self.route_of(flow)
        return route is not None and any(
            share.service == service and share.weight > 0
            for share in route.shares
        )


def same_content(one: RouteTable | None, other: RouteTable) -> bool:
    """Return whether two tables differ in their revision at most."""
    return one is not None and (
        msgspec.structs.replace(one, revision=0)
        == msgspec.structs.replace(other, revision=0)
    )


def encode_table(table: RouteTable) -> bytes:
    """Return the compressed form of a table for another process."""
    return zlib.compress(msgspec.msgpack.encode(table), 1)


def decode_table(data: bytes) -> RouteTable:
    """Decode what :func:`encode_table` returned.

    :raises ValueError: if the data is not a table.
    """
    try:
        return msgspec.msgpack.decode(zlib.decompress(data), type=RouteTable)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise ValueError(f'not a route table: {error}') from error
