"""Tests of requests that must fail, and of the state of the fleet."""

import asyncio
import contextlib
from pathlib import Path
import re

import aiohttp
from aiohttp import web
import pytest

from ibispitch.admin import Health
from ibispitch.admin import make_app
from ibispitch.admin.errors import ApiFault
from ibispitch.admin.errors import STATUS_BY_FAULT
from ibispitch.admin.state import FAN_OUT
from ibispitch.admin.state import FleetQuery
from ibispitch.admin.state import Reply
from ibispitch.catalogue.errors import EditFault
from ibispitch.membership.records import MemberState
from testbed.store import Faults
from tests.admin.conftest import agent_record
from tests.admin.conftest import balancer_record
from tests.admin.conftest import ENTRY
from tests.admin.conftest import FakeProvider
from tests.admin.conftest import OMAHEKE
from tests.admin.conftest import OPERATOR
from tests.admin.conftest import serve

PATH = '/v1/entries/returns'
LOAD = '{"flows": 3, "in_flight": 1, "queued": 0, "limit": 5.0}'


async def wait_until_in_force(call, version):
    while (await call('GET', PATH))[1].get('version', 0) < version:
        await asyncio.sleep(0.005)


def test_documented_status():
    """Each kind of error must have a documented status."""
    text = (Path(__file__).parents[2] / 'docs' / 'admin.md').read_text()
    rows = re.findall(r'^\| `(\w+)` \| (\d+) \|', text, re.MULTILINE)
    documented = {fault: int(status) for fault, status in rows}
    assert documented == STATUS_BY_FAULT
    faults = {fault.value for kind in (ApiFault, EditFault) for fault in kind}
    assert documented.keys() == faults


@pytest.mark.parametrize(
    ('method', 'path'),
    [
        ('PUT', PATH),
        ('PATCH', PATH),
        ('DELETE', PATH),
        ('POST', '/v1/datacentres/tema/out'),
        ('POST', '/v1/datacentres/tema/in'),
    ],
)
@pytest.mark.parametrize(
    'authorization',
    ['', f'Bearer {OPERATOR}x', OPERATOR, f'Basic {OPERATOR}', 'Bearer \xff'],
)
async def test_edit_without_valid_token(
    call, server, method, path, authorization
):
    """An edit without a valid token must be refused."""
    status, body = await call(method, path, ENTRY, Authorization=authorization)
    assert (status, body['error']['fault']) == (401, 'unauthenticated')
    assert not server.core.history


async def test_no_token_configured_means_no_edits(store, provider, server):
    """Without configured tokens, an empty token must not be valid."""
    runner, address = await serve(make_app(provider, store, 'test'))
    async with aiohttp.request(
        'DELETE',
        f'http://{address}{PATH}',
        headers={'Authorization': 'Bearer '},
    ) as response:
        body = await response.json()
    assert response.status == 403
    assert body['error']['fault'] == 'writes_disabled'
    assert not server.core.history
    await runner.cleanup()


async def test_owner_token_on_another_owners_entry(call, server):
    """An owner must not be able to edit another owner's service."""
    asante = ENTRY | {'owner': 'asante'}
    status, _ = await call('PUT', PATH, asante, OPERATOR)
    assert status == 200
    attempts = [
        ('PUT', PATH, ENTRY),
        ('PATCH', PATH, {'owner': 'omaheke'}),
        ('DELETE', PATH, None),
        ('POST', '/v1/datacentres/tema/out', None),
    ]
    for method, path, body in attempts:
        status, answer = await call(method, path, body, OMAHEKE)
        assert (status, answer['error']['fault']) == (403, 'forbidden')
    assert len(server.core.history) == 2  # the entry and the address guard


async def test_edits_with_versions(call):
    """An edit must be refused if its version is not the latest one."""
    status, first = await call('PUT', PATH, ENTRY, OMAHEKE)
    assert status == 200
    version = str(first['version'])
    status, second = await call(
        'PATCH', PATH, {'ramp_s': 3}, OMAHEKE, **{'If-Match': version}
    )
    assert status == 200
    status, answer = await call(
        'PATCH', PATH, {'ramp_s': 4}, OPERATOR, **{'If-Match': f'"{version}"'}
    )
    assert (status, answer['error']['fault']) == (409, 'conflict')
    assert answer['error']['other']['operator'] == 'omaheke'
    assert answer['error']['other']['edit_id'] == second['edit_id']
    await wait_until_in_force(call, second['version'])
    _, entry = await call('GET', PATH)
    assert entry['entry']['ramp_s'] == 3
    assert entry['edit_ids'] == [first['edit_id'], second['edit_id']]
    await call('POST', '/v1/datacentres/tema/out', None, OPERATOR)
    assert (await call('DELETE', PATH, None, OMAHEKE))[0] == 200
    status, answer = await call('DELETE', PATH, None, OMAHEKE)
    assert (status, answer['error']['fault']) == (404, 'not_found')


async def test_store_failures(call, server):
    """The reported outcome must be right if answers of the store are lost."""
    server.set_faults(Faults(lose_answers=1))
    assert (await call('PUT', PATH, ENTRY, OPERATOR))[0] == 200
    server.set_faults(Faults(lose_answers=9))
    status, answer = await call('PATCH', PATH, {'ramp_s': 2}, OPERATOR)
    assert (status, answer['error']['fault']) == (504, 'outcome_unknown')
    assert answer['error']['edit_id'] in answer['error']['remedy']
    await server.stop()
    status, answer = await call('PATCH', PATH, {'ramp_s': 5}, OPERATOR)
    assert (status, answer['error']['fault']) == (503, 'store_unavailable')
    assert (await call('GET', '/v1/entries'))[0] == 200


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'headers', 'expected'),
    [
        ('PUT', PATH, b'[' * 60000, {}, (400, 'bad_request')),
        ('PUT', PATH, b'x' * 200_000, {}, (413, 'too_large')),
        ('PUT', PATH, ENTRY, {'If-Match': '*'}, (400, 'bad_request')),
        ('PUT', PATH, {'owner': 'x'}, {}, (400, 'invalid')),
        ('PUT', PATH, ENTRY | {'service': 'b'}, {}, (400, 'invalid')),
        ('PUT', '/v1/entries/a%2Fb', ENTRY, {}, (400, 'invalid')),
        ('POST', '/v1/datacentres/A/out', None, {}, (400, 'invalid')),
        ('POST', PATH, ENTRY, {}, (405, 'method_not_allowed')),
        ('GET', '/v2/entries', None, {}, (404, 'no_such_path')),
        ('GET', PATH, None, {}, (404, 'not_found')),
    ],
)
async def test_bad_requests(call, method, path, body, headers, expected):
    """Malformed and oversized requests must get typed errors."""
    status, answer = await call(method, path, body, OPERATOR, **headers)
    assert (status, answer['error']['fault']) == expected
    assert answer['error']['remedy']


async def test_health(call, provider):
    """A leaving balancer must fail its health check."""
    assert (await call('GET', '/healthz'))[0] == 200
    provider.health_now = Health(False, 'leaving')
    status, answer = await call('GET', '/healthz')
    assert (status, answer['reason']) == (503, 'leaving')


def state_app(text, delay_s=0):
    async def state(_):
        await asyncio.sleep(delay_s)
        return web.Response(text=text)

    app = web.Application()
    app.router.add_get('/v1/state', state)
    return app


async def test_state_of_a_partly_broken_fleet(call, provider, store):
    """A process without an answer must not hide the state of the others."""
    apps = [
        await serve(state_app(*arguments))
        for arguments in ((LOAD, 5), (LOAD,), ('{"flows": "many"}',))
    ]
    other = FakeProvider('b2')
    other_runner, other_address = await serve(make_app(other, store, 'test'))
    silent_address, load_address, garbage_address = (a for _, a in apps)
    provider.balancer_records += [
        balancer_record('b2', other_address),
        balancer_record('b3', '127.0.0.1:1'),
        balancer_record('b4', '127.0.0.1:1', MemberState.LOST),
    ]
    provider.agent_records += [
        agent_record('a1', silent_address),
        agent_record('a2', load_address),
        agent_record('a3', garbage_address),
        agent_record('a4', load_address, 'bench'),
    ]
    _, accepted = await call('PUT', PATH, ENTRY, OPERATOR)
    await wait_until_in_force(call, accepted['version'])
    _, answer = await call('GET', '/v1/state?service=returns')
    assert {b['balancer_id']: b['reply'] for b in answer['balancers']} == {
        'b1': 'ok',
        'b2': 'ok',
        'b3': 'unreachable',
        'b4': 'not_asked',
    }
    assert answer['balancers'][0]['differs'] == {}
    assert answer['balancers'][1]['differs'] == {'entries/returns': 0}
    replies = [(a['agent_id'], a['reply']) for a in answer['agents']]
    assert replies == [('a1', 'silent'), ('a2', 'ok'), ('a3', 'malformed')]
    assert answer['agents'][1]['load']['flows'] == 3
    for runner, _ in [*apps, (other_runner, '')]:
        await runner.cleanup()


async def test_fan_out_is_bounded(call, provider):
    """Concurrent queries and their total time must be limited."""
    open_now = most = 0
    delay_s = 0.02

    async def slow(_):
        nonlocal open_now, most
        open_now += 1
        most = max(most, open_now)
        await asyncio.sleep(delay_s)
        open_now -= 1
        return web.Response(text=LOAD)

    app = web.Application()
    app.router.add_get('/v1/state', slow)
    runner, address = await serve(app)
    provider.agent_records += [
        agent_record(f'a{number}', address) for number in range(200)
    ]
    _, answer = await call('GET', '/v1/state')
    assert {agent['reply'] for agent in answer['agents']} == {'ok'}
    assert most == FAN_OUT
    delay_s = 5
    async with asyncio.timeout(3):
        _, answer = await call('GET', '/v1/state')
    assert {a['reply'] for a in answer['agents']} == {'silent', 'not_asked'}
    await runner.cleanup()


class LateSession:
    """An HTTP client whose requests time out when they are cancelled."""

    def __init__(self):
        self.requests = 0

    @contextlib.asynccontextmanager
    async def get(self, _, **__):
        self.requests += 1
        try:
            await asyncio.sleep(5)
        except asyncio.CancelledError:
            raise TimeoutError from None
        yield


async def test_time_out_at_the_deadline_starts_no_other_query(provider):
    """Guards against queries that go on after the deadline of all.

    The client reports a time-out instead of the cancellation if both fall in
    the same moment, and the worker went on with the remaining queries.
    """
    session = LateSession()
    query = FleetQuery(session, fan_out=2, deadline_s=0.05)
    provider.agent_records += [
        agent_record(f'a{number}', '127.0.0.1:1') for number in range(20)
    ]
    async with asyncio.timeout(1):
        state = await query.fleet(provider)
    assert session.requests == 2
    replies = [agent.reply for agent in state.agents]
    assert replies == [Reply.SILENT] * 2 + [Reply.NOT_ASKED] * 18
