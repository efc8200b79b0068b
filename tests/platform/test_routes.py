"""Decoding of the operator's keys; unreadable parts are left out."""

import json

import pytest

from ibispitch.ids import Address
from ibispitch.platform.packets import PlatformPacketCodec
from ibispitch.platform.routes import decode_configuration
from ibispitch.platform.routes import PlatformRoutes
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


def fail_on_unreadable(name: str, problem: str, count: int) -> None:
    raise AssertionError(f'{name}: {problem}')


def flow_to(port: int, caller_port: int = 40000):
    raw = flow_packets.build(
        Address('100.64.0.7', caller_port), Address('198.18.0.1', port),
        flow_packets.SYN, 1, 0,
    )  # fmt: skip
    return PlatformPacketCodec().from_caller(raw).flow


def test_configuration():
    """Guards against packets that do not match their route."""
    index = RouteIndex(
        decode_configuration(document(ROUTE, SPLIT), fail_on_unreadable)
    )
    route = index.route_by_destination[flow_to(8080)[6:]]
    assert route.kind == 'unsafe'
    assert route.objective_s == 0.12
    assert index.allows_service(flow_to(8080), 'huvo11a')
    assert not index.allows_service(flow_to(8080), 'wuno96b')
    assert index.limits_by_service['huvo11a'].cold_openings_per_s == 3.0
    assert index.table.idle_timeout_s == 15.0


def test_weights_split_flows():
    """Guards against shares that are ignored or differ between copies."""
    index = RouteIndex(
        decode_configuration(document(SPLIT), fail_on_unreadable)
    )
    route = index.route_by_destination[flow_to(8443)[6:]]
    assert route.shares == (Share('huvo11a', 90), Share('wuno96b', 10))
    services = [
        route.service_for(flow_to(8443, port)) for port in range(1024, 5024)
    ]
    assert 0.07 < services.count('wuno96b') / len(services) < 0.13
    assert route.service_for(flow_to(8443)) == route.service_for(flow_to(8443))


def test_unreadable_routes_are_left_out():
    """Guards against one unreadable route that removes all others.

    Each is reported, so that its operator can find it.
    """
    bad = [
        {}, 'text', ROUTE | {'hostname': 'host'},
        ROUTE | {'prefix': '/99999/'}, ROUTE | {'service': None},
    ]  # fmt: skip
    problems = []
    table = decode_configuration(
        document(*bad, ROUTE), lambda *problem: problems.append(problem)
    )
    assert len(table.routes) == 1
    assert [name for name, _, _ in problems] == [
        'None', 'text', 'r-1', 'r-1', 'r-1',
    ]  # fmt: skip
    assert all(problem.startswith('left out') for _, problem, _ in problems)
    for data in (b'\xff', b'[]', b'{"version": 1}'):
        assert decode_configuration(data, fail_on_unreadable) is None


@pytest.mark.parametrize(
    'changes',
    [
        {'type': 'batch'}, {'type': None}, {'aim_ms': 'soon'},
        {'timeout_ms': None}, {'priority': 'high'}, {'aim_ms': 0},
        {'backends': [{'service': 'huvo11a', 'weight': 'all'}, {}, 7,
                      {'service': 'huvo11a', 'weight': 1}],
         'service': None},
    ],
)  # fmt: skip
def test_unknown_values_cost_no_traffic(changes):
    """Guards against a route left out for a value that it can do without.

    Its callers would be refused. Each value is reported once for all routes.
    """
    problems = []
    table = decode_configuration(
        document(ROUTE | changes, ROUTE | changes | {'prefix': '/81/'}),
        lambda *problem: problems.append(problem),
    )
    index = RouteIndex(table)
    assert index.allows_service(flow_to(8080), 'huvo11a')
    assert index.allows_service(flow_to(81), 'huvo11a')
    assert table.routes[0].objective_s > 0.0
    assert problems
    assert {count % 2 for _, _, count in problems} == {0}


def test_unknown_options_cost_no_service():
    """Guards against a configuration lost for an option of one service."""
    service = SERVICE | {'cold_start_s': 'long', 'balance': {'by': 'name'}}
    table = decode_configuration(
        document(
            ROUTE, services=[7, service, {}], limits={'idle_timeout_ms': 'x'},
            surprise=[1],
        ),
        lambda *_: None,
    )  # fmt: skip
    assert [one.name for one in table.services] == ['huvo11a']
    assert table.services[0].cold_openings_per_s == 3.0
    assert table.idle_timeout_s == 60.0
    assert len(table.routes) == 1


async def test_read_and_wait():
    """Guards against changes that are lost between read and watch."""
    store = MemoryStore()
    routes = PlatformRoutes(
        MemoryStoreClient(store, 'test'), fail_on_unreadable
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
    raise AssertionError('no HistoryLostError after the history was lost')
