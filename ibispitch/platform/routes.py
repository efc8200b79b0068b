"""Reads routes from the keys that the operator writes to the store."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import msgspec

from ibispitch.forwarding.packets import Destination
from ibispitch.ids import DatacentreName
from ibispitch.ids import ServiceName
from ibispitch.platform.store import Item
from ibispitch.platform.store import MetadataStore
from ibispitch.platform.store import StoreCallError
from ibispitch.routes.model import RequestKind
from ibispitch.routes.model import Route
from ibispitch.routes.model import RouteTable
from ibispitch.routes.model import ServiceLimits
from ibispitch.routes.model import Share
from ibispitch.routes.source import Change
from ibispitch.routes.source import Changes
from ibispitch.routes.source import DatacentreChange
from ibispitch.routes.source import HistoryLostError
from ibispitch.routes.source import RoutesChange
from ibispitch.routes.source import SourceError

PREFIX = 'op/'
CONFIGURATION_KEY = 'op/config'
OUT_PREFIX = 'op/evacuate/'
HISTORY_LOST_STATUS = 410
#: Idle time after which a flow may be removed if the configuration sets no
#: limit: the maximum age of flows on this platform.
DEFAULT_IDLE_TIMEOUT_S = 60.0


class PlatformRoutes:
    """Reads the routes of the platform's operator, see :class:`RouteSource`.

    :param store: a client without other users, since a call may wait.
    :param on_unreadable: called with the key of an entry, or the name of a
        route or service, that cannot be decoded and is left out.
    """

    def __init__(
        self, store: MetadataStore, on_unreadable: Callable[[str], None]
    ):
        self._store = store
        self._on_unreadable = on_unreadable

    async def read(self) -> RouteTable:
        """Return the whole table, see :class:`RouteSource`."""
        try:
            listing = await self._store.list(PREFIX)
        except StoreCallError as error:
            raise SourceError(str(error)) from error
        table = None
        out = set()
        for change in self._changes(listing.items):
            if isinstance(change, RoutesChange):
                table = change.table
            else:
                out.add(change.datacentre)
        if table is None:
            raise SourceError(
                'no readable routes in the store; write them to op/config'
            )
        return msgspec.structs.replace(
            table, revision=listing.revision, out=frozenset(out)
        )

    async def wait(self, after: int, wait_s: float) -> Changes:
        """Return the changes after a revision, see :class:`RouteSource`."""
        try:
            listing = await self._store.watch(PREFIX, after, wait_s)
        except StoreCallError as error:
            if error.status == HISTORY_LOST_STATUS:
                raise HistoryLostError(str(error)) from error
            raise SourceError(str(error)) from error
        return Changes(listing.revision, tuple(self._changes(listing.items)))

    def _changes(self, items: tuple[Item, ...]) -> Iterator[Change]:
        for item in items:
            if item.key.startswith(OUT_PREFIX):
                name = DatacentreName(item.key.removeprefix(OUT_PREFIX))
                is_out = item.value is not None
                yield DatacentreChange(item.revision, name, is_out)
            elif item.key == CONFIGURATION_KEY and item.value is not None:
                table = decode_configuration(item.value, self._on_unreadable)
                if table is None:
                    self._on_unreadable(item.key)
                else:
                    yield RoutesChange(item.revision, table)


def decode_configuration(
    data: bytes, on_unreadable: Callable[[str], None]
) -> RouteTable | None:
    """Decode the operator's configuration.

    :param data: the value of its key.
    :param on_unreadable: called for each route or service left out.
    :returns: the table without revision and data centres, ``None`` if the
        data is not a configuration. Routes and services that cannot be
        decoded are left out.
    """
    try:
        raw = msgspec.json.decode(data)
        return RouteTable(
            revision=0,
            version=int(raw['version']),
            routes=_decode_all(raw['routes'], _decode_route, on_unreadable),
            services=_decode_all(
                raw['services'], _decode_service, on_unreadable
            ),
            idle_timeout_s=_decode_idle_timeout_s(raw.get('limits')),
            out=frozenset(),
        )
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
        return None


def _decode_all(
    entries: list, decode: Callable[[Any], Any], on_unreadable: Callable
) -> tuple:
    decoded = [(entry, decode(entry)) for entry in entries]
    for entry, value in decoded:
        if value is None:
            named = entry.get('name') if isinstance(entry, dict) else entry
            on_unreadable(str(named))
    return tuple(value for _, value in decoded if value is not None)


def _decode_idle_timeout_s(limits: Any) -> float:
    if not isinstance(limits, dict):
        return DEFAULT_IDLE_TIMEOUT_S
    return (
        float(limits.get('idle_timeout_ms', DEFAULT_IDLE_TIMEOUT_S * 1000))
        / 1000
    )


def _decode_route(raw: dict) -> Route | None:
    try:
        # The host name of a route is an IPv4 address and its prefix a port
        # between slashes. They are the destination of callers' packets.
        address = bytes(int(part) for part in raw['hostname'].split('.'))
        port = int(raw['prefix'].strip('/'))
        if len(address) != 4:
            return None
        return Route(
            destination=Destination(
                address[::-1] + port.to_bytes(2, 'little')
            ),
            shares=_decode_shares(raw),
            kind=RequestKind(raw['type']),
            objective_s=float(raw['aim_ms']) / 1000,
            timeout_s=float(raw['timeout_ms']) / 1000,
            priority=int(raw.get('priority', 0)),
        )
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError):
        return None


def _decode_shares(raw: dict) -> tuple[Share, ...]:
    """Decode the services of a route: one, or several with weights."""
    if raw.get('service'):
        return (Share(ServiceName(str(raw['service'])), 1),)
    shares = tuple(
        Share(ServiceName(str(part['service'])), int(part['weight']))
        for part in raw['backends']
        if int(part['weight']) > 0
    )
    if not shares:
        raise ValueError('route has no service with a weight above 0')
    return shares


def _decode_service(raw: dict) -> ServiceLimits | None:
    try:
        return ServiceLimits(
            name=ServiceName(str(raw['name'])),
            cold_start_s=float(raw.get('cold_start_s', 0.0)),
            cold_openings_per_s=float(raw.get('cold_per_s', 0.0)),
            health_path=str(raw.get('health_path', '')),
        )
    except (AttributeError, KeyError, TypeError, ValueError):
        return None
