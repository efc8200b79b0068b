"""One versioned table of routes, services and data centres out of service.

The decisions of all processes on new flows depend on this table. It is
immutable: a change makes a new table at a later position.
"""

from collections import defaultdict
from typing import Annotated
import zlib

import msgspec
from msgspec import Meta

from ibispitch.decoding import Count
from ibispitch.decoding import decode_msgpack
from ibispitch.decoding import Number
from ibispitch.decoding import Quantity
from ibispitch.decoding import Whole
from ibispitch.forwarding.packets import Destination
from ibispitch.forwarding.packets import DESTINATION_BYTES
from ibispitch.forwarding.packets import destination_of
from ibispitch.forwarding.packets import FlowKey
from ibispitch.ids import DatacentreName
from ibispitch.ids import ServiceName
from ibispitch.routes.kinds import KindName
from ibispitch.routes.position import TablePosition

#: Maximum size of an encoded table, before and after compression. It is far
#: above that of the largest configuration that the store accepts (1 MB).
MAX_TABLE_BYTES = 8 << 20
#: Largest weight of a share.
MAX_WEIGHT = 1 << 20


class Share(msgspec.Struct, frozen=True, array_like=True):
    """Share of a route's new flows that a service gets."""

    service: ServiceName
    weight: Annotated[int, Meta(ge=1, le=MAX_WEIGHT)]


class Route(msgspec.Struct, frozen=True, array_like=True):
    """Services for the new flows to one destination.

    :param destination: address and port that callers send to.
    :param shares: services and their weights.
    :param kind: kind of the requests, see :mod:`ibispitch.routes.kinds`.
    :param objective_s: time within which requests should be answered.
    :param timeout_s: time after which callers no longer use an answer.
    :param priority: 0 for the most urgent requests.
    """

    destination: Annotated[
        bytes,
        Meta(min_length=DESTINATION_BYTES, max_length=DESTINATION_BYTES),
    ]
    shares: Annotated[tuple[Share, ...], Meta(min_length=1)]
    kind: KindName
    objective_s: Quantity
    timeout_s: Quantity
    priority: Whole

    def service_for(self, flow: FlowKey) -> ServiceName:
        """Return the service of a flow; copies of a flow get the same."""
        if len(self.shares) == 1:
            return self.shares[0].service
        point = zlib.crc32(flow) % sum(s.weight for s in self.shares)
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        raise AssertionError(
            f'no service chosen: {point} remains after all weights'
        )


class ServiceLimits(msgspec.Struct, frozen=True, array_like=True):
    """Limits of the upstreams of a service.

    :param cold_start_s: time for which an upstream is cold after its start.
    :param cold_openings_per_s: new flows per second that a cold upstream can
        accept.
    :param health_path: path of the health check.
    """

    name: ServiceName
    cold_start_s: Number
    cold_openings_per_s: Number
    health_path: str


class RouteTable(msgspec.Struct, frozen=True, array_like=True):
    """All routes and services at one revision.

    :param revision: revision of the store up to which all changes are
        included.
    :param version: version of the operator's configuration.
    :param idle_timeout_s: time after which an idle flow may be removed.
    :param out: data centres that are out of service.
    :param era: era of the store, see :class:`TablePosition`.
    :param held_out: data centres that were out of service before the store
        came back from a copy in which they are not.
    """

    revision: Count
    version: Count
    routes: tuple[Route, ...]
    services: tuple[ServiceLimits, ...]
    idle_timeout_s: Number
    out: frozenset[DatacentreName]
    era: Count = 0
    held_out: frozenset[DatacentreName] = frozenset()

    @property
    def position(self) -> TablePosition:
        """Position up to which all changes are included."""
        return TablePosition(self.era, self.revision)

    @property
    def all_out(self) -> frozenset[DatacentreName]:
        """Data centres that get no new flows."""
        return self.out | self.held_out


class RouteIndex:
    """Index of a route table."""

    def __init__(self, table: RouteTable):
        self.table = table
        self.position = table.position
        self.all_out = table.all_out
        self.route_by_destination: dict[Destination, Route] = {
            Destination(route.destination): route for route in table.routes
        }
        self.limits_by_service: dict[ServiceName, ServiceLimits] = {
            service.name: service for service in table.services
        }
        self.priorities_by_service: dict[ServiceName, set[int]] = defaultdict(
            set
        )
        for route in table.routes:
            for share in route.shares:
                self.priorities_by_service[share.service].add(route.priority)

    def route_of(self, flow: FlowKey) -> Route | None:
        """Return the route of a flow's destination, if any."""
        return self.route_by_destination.get(destination_of(flow))

    def top_priority(self, service: ServiceName) -> int:
        """Return the priority of the most urgent route to a service."""
        return min(self.priorities_by_service.get(service, {0}))

    def allows_service(self, flow: FlowKey, service: ServiceName) -> bool:
        """Return whether the route of a flow has a share for a service."""
        route = self.route_of(flow)
        return route is not None and any(
            share.service == service and share.weight > 0
            for share in route.shares
        )


def has_same_content(one: RouteTable | None, other: RouteTable) -> bool:
    """Return whether two tables are equal except for their position."""
    return one is not None and (
        msgspec.structs.replace(one, era=0, revision=0)
        == msgspec.structs.replace(other, era=0, revision=0)
    )


def encode_table(table: RouteTable) -> bytes:
    """Return the compressed form of a table for another process."""
    return zlib.compress(msgspec.msgpack.encode(table), 1)


def decode_table(data: bytes) -> RouteTable:
    """Decode what :func:`encode_table` returned.

    :raises ValueError: if the data is not a table.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, MAX_TABLE_BYTES)
        return decode_msgpack(content, RouteTable)
    except (zlib.error, ValueError) as error:
        raise ValueError(f'not a route table: {error}') from error
