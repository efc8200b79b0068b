"""The operator's keys become routes; what cannot be read is left out."""

import json

from ibispitch.ids import Address
from ibispitch.platform.packets import PlatformPacketCodec
from ibispitch.platform.routes import decode_configuration
from ibispitch.platform.routes import PlatformRoutes
from ibispitch.routes.model import RequestKind
from ibispitch.routes.model import RouteIndex
from ibispitch.routes.model import Share
from ibispitch.routes.source import DatacentreChange
from ibispitch.routes.source import HistoryLostError
from testbed import flow_packets
from testbed.memory_store import MemoryStore
from testbed.memory_store import MemoryStoreClient

ROUTE = {
    'name': 'r-1', 'hostname': '198.18.0.1', 'prefix': '/8080/',
    'type': 'unsafe', 'timeout_ms': 2000, 'aim_ms': 120, 'priority': 1,
    'service': 'huvo11a', 'max_attempts': 2,
}  # fmt: skip
SPLIT = {
    **{k: v for k, v in ROUTE.items() if k != 'service'},
    'prefix': '/8443/', 'type': 'safe',
    'backends': [
        {'service': 'huvo11a', 'weight': 90},
        {'service': 'wuno96b', 'weight': 10},
    ],
}  # fmt: skip
SERVICE = {
    'name': 'huvo11a', 'health_path': '/healthz', 'cold_start_s': 2.0,
    'cold_per_s': 3.0,
}  # fmt: skip


def document(*routes, **fields) -> bytes:
    return json.dumps(
        {
            'version': 7, 'routes': routes, 'services': [SERVICE],
            'limits': {'idle_timeout_ms': 15000},
        }
        | fields
    ).encode()  # fmt: skip


def fail(name: str) -> None:
    raise AssertionError(f'{name} was left out')


def flow_to(port: int, caller_port: int = 40000):
    raw = flow_packets.build(
        Address('100.64.0.7', caller_port), Address('198.18.0.1', port),
        flow_packets.SYN, 1, 0,
    )  # fmt: skip
    return PlatformPacketCodec().from_caller(raw).flow


def test_configuration():
    """Guards against packets that miss their route."""
    index = RouteIndex(decode_configuration(document(ROUTE, SPLIT), fail))
    route = index.route_by_destination[flow_to(8080)[6:]]
    assert route.kind is RequestKind.UNSAFE
    assert route.objective_s == 0.12
    assert index.allows_service(flow_to(8080), 'huvo11a')
    assert not index.allows_service(flow_to(8080), 'wuno96b')
    assert index.limits_by_service['huvo11a'].cold_openings_per_s == 3.0
    assert index.table.idle_timeout_s == 15.0


def test_weights_split_flows():
    """Guards against shares that are ignored, or change between copies."""
    index = RouteIndex(decode_configuration(document(SPLIT), fail))
    route = index.route_by_destination[flow_to(8443)[6:]]
    assert route.shares == (Share('huvo11a', 90), Share('wuno96b', 10))
    services = [
        route.service_for(flow_to(8443, port)) for port in range(1024, 5024)
    ]
    assert 0.07 < services.count('wuno96b') / len(services) < 0.13
    assert route.service_for(flow_to(8443)) == route.service_for(flow_to(8443))


def test_unreadable_parts_are_left_out():
    """Guards against one bad route that takes all others away."""
    bad = [
        {}, 'text', ROUTE | {'hostname': 'host'}, ROUTE | {'type': 'new'},
        ROUTE | {'prefix': '/99999/'}, ROUTE | {'service': None},
    ]  # fmt: skip
    left_out = []
    table = decode_configuration(document(*bad, ROUTE), left_out.append)
    assert len(table.routes) == 1
    assert left_out == ['None', 'text', 'r-1', 'r-1', 'r-1', 'r-1']
    for data in (b'\xff', b'[]', b'{"version": 1}'):
        assert decode_configuration(data, fail) is None


async def test_read_and_wait():
    """Guards against changes that are missed between read and watch."""
    store = MemoryStore()
    unreadable = []
    routes = PlatformRoutes(
        MemoryStoreClient(store, 'test'), unreadable.append
    )
    store.write('op/config', document(ROUTE))
    store.write('op/evacuate/accra', b'{}')
    table = await routes.read()
    assert table.out == {'accra'}
    assert table.revision == store.revision
    revision = store.write('op/evacuate/accra', None)
    changes = await routes.wait(table.revision, 1.0)
    assert changes.changes == (DatacentreChange(revision, 'accra', False),)
    store.compact()
    try:
        await routes.wait(table.revision, 1.0)
    except HistoryLostError:
        return
    raise AssertionError('the lost history was not noticed')
