"""Reads routes from the keys that the operator writes to the store."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import msgspec

from ibispitch.decoding import decode_json
from ibispitch.decoding import is_count
from ibispitch.decoding import is_number
from ibispitch.forwarding.packets import Destination
from ibispitch.ids import DatacentreName
from ibispitch.ids import ServiceName
from ibispitch.platform.store import Item
from ibispitch.platform.store import MetadataStore
from ibispitch.platform.store import StoreCallError
from ibispitch.routes.kinds import is_known
from ibispitch.routes.kinds import KindName
from ibispitch.routes.model import MAX_WEIGHT
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
#: Latency objective and caller's timeout of a route without readable ones.
DEFAULT_OBJECTIVE_S = 0.5
DEFAULT_TIMEOUT_S = 5.0

#: Called with the name of an entry that could not be decoded as a whole, the
#: problem, and the number of entries with this problem.
OnUnreadable = Callable[[str, str, int], None]


class PlatformRoutes:
    """Reads the routes of the platform's operator, see :class:`RouteSource`.

    :param store: a client without other users, since a call may wait.
    :param on_unreadable: called for each problem of an entry.
    """

    def __init__(self, store: MetadataStore, on_unreadable: OnUnreadable):
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
            table,
            era=listing.era,
            revision=listing.revision,
            out=frozenset(out),
        )

    async def wait(self, after: int, wait_s: float) -> Changes:
        """Return the changes after a revision, see :class:`RouteSource`."""
        try:
            listing = await self._store.watch(PREFIX, after, wait_s)
        except StoreCallError as error:
            if error.status == HISTORY_LOST_STATUS:
                raise HistoryLostError(str(error)) from error
            raise SourceError(str(error)) from error
        return Changes(
            listing.revision,
            tuple(self._changes(listing.items)),
            listing.era,
        )

    def _changes(self, items: tuple[Item, ...]) -> Iterator[Change]:
        for item in items:
            if item.key.startswith(OUT_PREFIX):
                name = DatacentreName(item.key.removeprefix(OUT_PREFIX))
                is_out = item.value is not None
                yield DatacentreChange(item.revision, name, is_out)
            elif item.key == CONFIGURATION_KEY and item.value is not None:
                table = decode_configuration(item.value, self._on_unreadable)
                if table is None:
                    self._on_unreadable(item.key, 'not a configuration', 1)
                else:
                    yield RoutesChange(item.revision, table)


def decode_configuration(
    data: bytes, on_unreadable: OnUnreadable
) -> RouteTable | None:
    """Decode the operator's configuration.

    A part that cannot be decoded costs only what it describes: a route is
    left out without a destination or service, a service without a name. Other
    settings get a default.

    :param data: the value of its key.
    :param on_unreadable: see :class:`PlatformRoutes`.
    :returns: the table without revision and data centres, ``None`` if the
        data is not a configuration.
    """
    try:
        raw = decode_json(data)
        version, raw_routes = int(raw['version']), list(raw['routes'])
    except (KeyError, TypeError, ValueError):
        return None
    if not is_count(version):
        return None
    problems = _Problems()
    raw_services = raw.get('services')
    if not isinstance(raw_services, list):
        problems.add('services', 'services')
        raw_services = []
    table = RouteTable(
        revision=0,
        version=version,
        routes=_decode_all(raw_routes, _decode_route, problems),
        services=_decode_all(raw_services, _decode_service, problems),
        idle_timeout_s=_decode_idle_timeout_s(raw.get('limits'), problems),
        out=frozenset(),
    )
    for problem, names in problems.names_by_problem.items():
        on_unreadable(names[0], problem, len(names))
    return table


class _Problems:
    """Names of the entries with each problem of a configuration."""

    def __init__(self):
        self.names_by_problem: dict[str, list[str]] = {}

    def add(self, problem: str, name: str) -> None:
        self.names_by_problem.setdefault(problem, []).append(name)


class _FieldReader:
    """Reads optional fields of an entry; unreadable ones get a default."""

    def __init__(self, raw: dict, problems: _Problems):
        self.raw = raw
        self._problems = problems
        self.name = _name_of(raw)

    def number(self, field: str, default: float = 0.0) -> float:
        """Return a field that holds a number in range."""
        value = self.raw.get(field, default)
        if is_number(value):
            return value
        self.report(f'{field} is not a number')
        return default

    def text(self, field: str, default: str = '') -> str:
        """Return a field that holds text."""
        value = self.raw.get(field, default)
        if isinstance(value, str):
            return value
        self.report(f'{field} is not text')
        return default

    def report(self, problem: str) -> None:
        """Record a problem of the entry."""
        self._problems.add(problem, self.name)


def _name_of(entry: Any) -> str:
    """Return the name of an entry, for reports of its problems."""
    name = entry.get('name') if isinstance(entry, dict) else entry
    if name is None or isinstance(name, str):
        return str(name)
    return f'a {type(name).__name__}'


def _decode_all(
    entries: list,
    decode: Callable[[_FieldReader], Any],
    problems: _Problems,
) -> tuple:
    decoded = []
    for entry in entries:
        try:
            decoded.append(decode(_FieldReader(entry, problems)))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            reason = f'left out: {type(error).__name__} {error}'
            problems.add(reason, _name_of(entry))
    return tuple(decoded)


def _decode_idle_timeout_s(limits: Any, problems: _Problems) -> float:
    if not isinstance(limits, dict):
        return DEFAULT_IDLE_TIMEOUT_S
    reader = _FieldReader({'name': 'limits'} | limits, problems)
    return _positive(reader, 'idle_timeout_ms', DEFAULT_IDLE_TIMEOUT_S)


def _decode_route(reader: _FieldReader) -> Route:
    """Decode a route.

    :raises KeyError, TypeError, ValueError: if it has no valid destination
        or no service.
    """
    raw = reader.raw
    # The host name of a route is an IPv4 address and its prefix a port
    # between slashes. They are the destination of callers' packets.
    address = bytes(int(part) for part in raw['hostname'].split('.'))
    port = int(raw['prefix'].strip('/'))
    if len(address) != 4 or not 0 < port < 1 << 16:
        raise ValueError('not an IPv4 address and a port')
    kind = KindName(reader.text('type'))
    if not is_known(kind):
        reader.report(f'type {kind!r} is unknown, served without its hints')
    return Route(
        destination=Destination(address[::-1] + port.to_bytes(2, 'little')),
        shares=_decode_shares(reader),
        kind=kind,
        objective_s=_positive(reader, 'aim_ms', DEFAULT_OBJECTIVE_S),
        timeout_s=_positive(reader, 'timeout_ms', DEFAULT_TIMEOUT_S),
        priority=int(reader.number('priority')),
    )


def _positive(reader: _FieldReader, field: str, default_s: float) -> float:
    """Return a field in milliseconds as seconds."""
    seconds = reader.number(field, default_s * 1000) / 1000
    if seconds > 0.0:
        return seconds
    reader.report(f'{field} is not positive')
    return default_s


def _decode_shares(reader: _FieldReader) -> tuple[Share, ...]:
    """Decode the services of a route: one, or several with weights.

    :raises KeyError, TypeError, ValueError: if there is none.
    """
    raw = reader.raw
    if raw.get('service'):
        return (Share(_service_name(raw['service']), 1),)
    shares = []
    for part in raw['backends']:
        try:
            service = _service_name(part['service'])
            weight = int(part['weight'])
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            reader.report(f'part left out: {type(error).__name__} {error}')
            continue
        if 0 < weight <= MAX_WEIGHT:
            shares.append(Share(service, weight))
        elif weight:
            reader.report('part left out: weight out of range')
    if not shares:
        raise ValueError('no service with a weight above 0')
    return tuple(shares)


def _decode_service(reader: _FieldReader) -> ServiceLimits:
    """Decode a service.

    :raises KeyError: if it has no name.
    """
    return ServiceLimits(
        name=_service_name(reader.raw['name']),
        cold_start_s=reader.number('cold_start_s'),
        cold_openings_per_s=reader.number('cold_per_s'),
        health_path=reader.text('health_path'),
    )


def _service_name(value: Any) -> ServiceName:
    """Return the name of a service.

    :raises TypeError: if it is not text.
    """
    if not isinstance(value, str):
        raise TypeError(f'a service is named by a {type(value).__name__}')
    return ServiceName(value)
