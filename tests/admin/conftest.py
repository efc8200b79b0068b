import asyncio

import aiohttp
from aiohttp import web
import pytest

from ibispitch.admin import Health
from ibispitch.admin import make_app
from ibispitch.admin.state import FleetQuery
from ibispitch.catalogue.core import CatalogueState
from ibispitch.ids import parse_address
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import BalancerRecord
from ibispitch.membership.records import MemberState
from ibispitch.settings.programs import TokenSettings

OPERATOR = 'operator-token-0001'
OMAHEKE = 'omaheke-token-00001'
TOKENS = [
    TokenSettings(OPERATOR, operator=True, name='alice'),
    TokenSettings(OMAHEKE, owners=['omaheke']),
]
ENTRY = {
    'owner': 'omaheke',
    'class': 'interactive',
    'addresses': ['127.0.0.1:5683'],
}


def balancer_record(name, admin_address, state=MemberState.ACTIVE):
    address = parse_address('127.0.0.1:7000')
    return BalancerRecord(
        balancer_id=name,
        datacentre='accra',
        address=address,
        control_address=address,
        admin_address=parse_address(admin_address),
        incarnation=1,
        sequence=1,
        state=state,
    )


def agent_record(name, admin_address, service='returns'):
    return AgentRecord(
        agent_id=name,
        service=service,
        datacentre='accra',
        address=parse_address('127.0.0.1:7001'),
        incarnation=1,
        sequence=1,
        state=MemberState.ACTIVE,
        slots=5,
        connections=2000,
        parent='b1',
        admin_address=parse_address(admin_address),
    )


class FakeProvider:
    """State provider whose state is set by tests."""

    def __init__(self, balancer_id='b1'):
        self.balancer_id = balancer_id
        self.catalogue = CatalogueState()
        self.health_now = Health(True)
        self.balancer_records = []
        self.agent_records = []

    def health(self):
        return self.health_now

    def balancers(self):
        return self.balancer_records

    def agents(self):
        return self.agent_records

    def counters(self):
        return {'balancer.packets': 7}


async def serve(app):
    """Start an application and return its runner and address."""
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    return runner, '{}:{}'.format(*runner.addresses[0])


async def follow(store, provider):
    """Update the catalogue of a provider from the store until cancelled."""
    async for batch in store.watch('ibispitch/test/', 1):
        for event in batch.events:
            provider.catalogue.apply(
                event.key, event.mod_revision, event.value
            )


def quick_fleet_query(session):
    return FleetQuery(session, timeout_s=0.3, deadline_s=1.0)


@pytest.fixture
def provider():
    return FakeProvider()


@pytest.fixture
async def admin_address(store, provider):
    app = make_app(
        provider, store, 'test', TOKENS, fleet_query=quick_fleet_query
    )
    runner, address = await serve(app)
    provider.balancer_records.append(balancer_record('b1', address))
    follower = asyncio.create_task(follow(store, provider))
    yield address
    follower.cancel()
    await asyncio.gather(follower, return_exceptions=True)
    await runner.cleanup()


@pytest.fixture
async def call(admin_address):
    async with aiohttp.ClientSession(f'http://{admin_address}') as session:

        async def call(method, path, body=None, token=None, **headers):
            if token:
                headers['Authorization'] = f'Bearer {token}'
            kind = 'json' if isinstance(body, dict) else 'data'
            options = {'headers': headers, kind: body}
            async with session.request(method, path, **options) as response:
                return response.status, await response.json()

        yield call
