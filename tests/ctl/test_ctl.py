"""Tests of ``ibispitchctl``: output, messages, remedies and exit codes."""

import asyncio
from contextlib import AsyncExitStack
import json
from pathlib import Path
import re
import threading
import time

from aiohttp import web
import click
from click.testing import CliRunner
import pytest

from ibispitch.admin import make_app
from ibispitch.admin.client import ClientFault
from ibispitch.admin.errors import STATUS_BY_FAULT
from ibispitch.catalogue.editor import read_catalogue
from ibispitch.ctl import main
from ibispitch.ctl.exits import Exit
from ibispitch.ctl.exits import EXIT_BY_FAULT
from ibispitch.store import StoreClient
from testbed.store import Faults
from testbed.store import StoreServer
from tests.admin.conftest import agent_record
from tests.admin.conftest import balancer_record
from tests.admin.conftest import FakeProvider
from tests.admin.conftest import follow
from tests.admin.conftest import OMAHEKE
from tests.admin.conftest import OPERATOR
from tests.admin.conftest import quick_fleet_query
from tests.admin.conftest import serve
from tests.admin.conftest import TOKENS

ENTRY_FILE = """{
  // the upload service
  service: 'returns', owner: 'omaheke', class: 'interactive',
  addresses: ['127.0.0.1:5683'],
  limits: {flows: 100, requests_per_s: 50},
}
"""
KEY = b'ibispitch/test/entries/returns'


class Installation:
    """A store and a balancer's API on an event loop in another thread."""

    def __init__(self):
        self.server = StoreServer()
        self.provider = FakeProvider()
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)

    def run(self, awaitable):
        return asyncio.run_coroutine_threadsafe(awaitable, self.loop).result(9)

    async def start(self):
        self.stack = AsyncExitStack()
        await self.stack.enter_async_context(self.server)
        store = await self.stack.enter_async_context(
            StoreClient([self.server.address], timeout_s=0.4)
        )
        app = make_app(
            self.provider, store, 'test', TOKENS, None, quick_fleet_query
        )
        self.runner, self.admin_address = await serve(app)
        self.stack.push_async_callback(self.runner.cleanup)
        self.follower = asyncio.create_task(follow(store, self.provider))

    async def stop(self):
        self.follower.cancel()
        await asyncio.gather(self.follower, return_exceptions=True)
        await self.stack.aclose()

    async def load_catalogue(self):
        async with StoreClient([self.server.address]) as store:
            return (await read_catalogue(store, 'test')).ok

    def writes(self):
        history = self.server.core.history
        return [item for item in history if item.key == KEY]


@pytest.fixture
def installation():
    installation = Installation()
    installation.thread.start()
    installation.run(installation.start())
    yield installation
    installation.run(installation.stop())
    installation.loop.call_soon_threadsafe(installation.loop.stop)
    installation.thread.join(9)
    installation.loop.close()


@pytest.fixture
def ctl(installation, tmp_path):
    def ctl(*arguments, code=Exit.OK, token='', endpoints=None, text=None):
        store = {'endpoints': [installation.server.address], 'timeout_s': 0.4}
        settings = {
            'store': store | {'cluster': 'test'},
            'admin_endpoints': endpoints or [installation.admin_address],
            'token': token,
            'operator': 'bob',
        }
        path = tmp_path / 'ctl.json'
        path.write_text(json.dumps(settings))
        command = ['--config', str(path), *arguments]
        result = CliRunner().invoke(main, command, input=text)
        assert result.exit_code == code, result.output
        return result

    return ctl


def set_entry(ctl, *arguments, **options):
    command = ['entries', 'set', '--file', '-', *arguments]
    return ctl(*command, text=ENTRY_FILE, **options)


def test_documented_exit_codes():
    """Each kind of error must have a documented exit code."""
    text = (Path(__file__).parents[2] / 'docs' / 'ctl.md').read_text()
    rows = re.findall(r'^\| (\d+) \| `(\w+)` \|', text, re.MULTILINE)
    codes = {name: int(code) for code, name in rows}
    assert codes == dict(Exit.__members__)
    client_faults = {fault.value for fault in ClientFault}
    assert EXIT_BY_FAULT.keys() == STATUS_BY_FAULT.keys() | client_faults


@pytest.mark.parametrize('token', ['', OMAHEKE])
def test_entry_from_file_and_options(installation, ctl, token):
    """Fields of the file and of the options must all reach the entry."""
    set_entry(ctl, '--flows', '7', '--ramp-s', '3', token=token)
    edit = ['entries', 'edit', 'returns']
    unset = ['--unset', 'limits.flows']
    ctl(*edit, *unset, '--flows', '9', token=token, code=Exit.USAGE)
    ctl(*edit, '--unset', 'limits.requests_per_s', token=token)
    ctl(*edit, '--address', '127.0.0.1:7', '--flows', '9', token=token)
    state = installation.run(installation.load_catalogue())
    entry = state.entry('returns')
    assert entry.addresses == ['127.0.0.1:7']
    assert (entry.limits.flows, entry.limits.requests_per_s) == (9, None)
    assert entry.ramp_s == 3
    shown = ctl('entries', 'show', 'returns', '--output', 'json')
    version = state.version('entries/returns')
    assert json.loads(shown.stdout)['version'] == version
    assert 'limits.flows' in ctl('entries', 'show', 'returns').stdout
    assert '127.0.0.1:7' in ctl('entries', 'list').stdout
    ctl('entries', 'remove', 'returns', token=token)
    ctl('entries', 'show', 'returns', code=Exit.NOT_FOUND)
    ctl(*edit, '--ramp-s', '1', code=Exit.NOT_FOUND, token=token)


def test_lost_answer_is_accepted_once(installation, ctl):
    """An edit whose answer was lost must be made only once."""
    installation.server.faults = Faults(lose_answers=1)
    assert 'is at version' in set_entry(ctl).stdout
    assert len(installation.writes()) == 1
    installation.server.faults = Faults(lose_answers=9)
    arguments = ['entries', 'edit', 'returns', '--ramp-s', '4']
    result = ctl(*arguments, code=Exit.OUTCOME_UNKNOWN)
    assert 'Remedy: show it' in result.stderr


def test_conflict_names_the_other_edit(installation, ctl):
    """An edit must not overwrite another operator's edit unnoticed."""
    set_entry(ctl)
    shown = ctl('entries', 'show', 'returns', '--output', 'json')
    version = str(json.loads(shown.stdout)['version'])
    change = ['entries', 'edit', 'returns', '--if-version', version]
    accepted = ctl(*change, '--ramp-s', '5', '--output', 'json')
    result = ctl(*change, '--ramp-s', '6', code=Exit.CONFLICT)
    edit_id = json.loads(accepted.stdout)['edit_id']
    assert f'edit {edit_id} by bob at 20' in result.stderr
    result = ctl(*change, '--ramp-s', '6', '--output', 'json', code=5)
    other = json.loads(result.stderr)['error']['other']
    assert other['edit_id'] == edit_id


def test_store_outage_is_reported_at_once(installation, ctl):
    """A command must not hang while the store is unavailable."""
    installation.server.faults = Faults(delay_s=5)
    begin = time.monotonic()
    result = ctl('datacentre', 'out', 'tema', code=Exit.STORE)
    installation.run(installation.server.stop())
    ctl('entries', 'list', code=Exit.STORE)
    assert time.monotonic() - begin < 2
    assert 'repeat the edit when the store answers' in result.stderr


def test_tokens(installation, ctl):
    """An owner must be able to edit only their own entries."""
    set_entry(ctl)
    edit = ['entries', 'edit', 'returns', '--owner', 'asante']
    ctl(*edit, token=OMAHEKE, code=Exit.FORBIDDEN)
    ctl(*edit, token='unknown-token-01', code=Exit.FORBIDDEN)
    ctl('datacentre', 'out', 'tema', token=OMAHEKE, code=Exit.FORBIDDEN)
    assert len(installation.writes()) == 1
    ctl('datacentre', 'out', 'tema', token=OPERATOR)
    assert 'out' in ctl('datacentre', 'list').stdout
    assert 'so already' in ctl('datacentre', 'out', 'tema').stdout
    ctl('datacentre', 'in', 'tema')


def test_impossible_entry(ctl):
    """An invalid entry must be refused with a message, not a traceback."""
    result = ctl('entries', 'set', 'returns', code=Exit.INVALID)
    assert 'Remedy:' in result.stderr
    for text in ('{service', '[1]'):
        ctl('entries', 'set', '--file', '-', text=text, code=Exit.USAGE)
    ctl('entries', 'edit', 'returns', code=Exit.USAGE)


def test_state_views(installation, ctl):
    """Balancers with old versions or without an answer must be shown."""
    set_entry(ctl)
    while not installation.provider.catalogue.entries():
        time.sleep(0.005)
    lagging = FakeProvider('b2')
    store = StoreClient(['127.0.0.1:1'])
    runner, address = installation.run(serve(make_app(lagging, store, 'test')))
    installation.provider.balancer_records += [
        balancer_record('b1', installation.admin_address),
        balancer_record('b2', address),
        balancer_record('b3', '127.0.0.1:1'),
    ]
    installation.provider.agent_records += [
        agent_record('a1', '127.0.0.1:1'),
        agent_record('a2', '127.0.0.1:1', 'bench'),
    ]
    # The first endpoint is out of service.
    endpoints = ['127.0.0.1:1', installation.admin_address]
    versions = ctl('versions', endpoints=endpoints).stdout
    assert re.search(r'^entries/returns +\d+ +b2=0$', versions, re.MULTILINE)
    assert 'unknown at: b3 (unreachable)' in versions
    table = ctl('balancers').stdout
    assert re.search(r'^b3 .*unreachable', table, re.MULTILINE)
    table = ctl('upstreams', '--service', 'returns').stdout
    assert 'a1' in table and 'a2' not in table
    fleet = json.loads(ctl('--output', 'json', 'state').stdout)
    assert [a['agent_id'] for a in fleet['agents']] == ['a1', 'a2']
    assert 'balancers with other versions  1' in ctl('state').stdout
    installation.run(runner.cleanup())


def test_no_balancer(installation, ctl):
    """``top`` must survive outages, and other servers must be detected."""
    ctl('state', endpoints=['127.0.0.1:1'], code=Exit.UNREACHABLE)
    top = ['top', '--interval', '0.2', '--count', '2']
    result = ctl(*top, endpoints=['127.0.0.1:1'])
    assert result.stderr.count('no balancer answered') == 2
    assert ctl(*top).stdout.count('asked balancer') == 2
    runner, address = installation.run(serve(web.Application()))
    ctl('state', endpoints=[address], code=Exit.UNREACHABLE)
    installation.run(runner.cleanup())


def test_edit_lost_between_balancer_and_operator(installation, ctl):
    """An edit of unknown outcome must not be sent to a second balancer."""

    async def drop(reader, writer):
        await reader.read(100)
        writer.close()

    server = installation.run(asyncio.start_server(drop, '127.0.0.1', 0))
    address = '{}:{}'.format(*server.sockets[0].getsockname())
    endpoints = [address, installation.admin_address]
    set_entry(
        ctl, token=OPERATOR, endpoints=endpoints, code=Exit.OUTCOME_UNKNOWN
    )
    assert not installation.writes()
    ctl('state', endpoints=endpoints)
    installation.loop.call_soon_threadsafe(server.close)


def test_settings_faults(ctl, tmp_path, monkeypatch):
    """Invalid settings must neither cause a traceback nor show a secret."""
    assert 'cluster test' in ctl('check-config').stdout
    monkeypatch.delenv('IBISPITCHCTL_CONFIG', raising=False)
    result = CliRunner().invoke(main, ['state'])
    assert result.exit_code == Exit.USAGE
    assert '--config FILE' in result.stderr
    bad = tmp_path / 'bad.json'
    bad.write_text('{store: {endpoints: ["127.0.0.1:1"]}, token: 12345}')
    monkeypatch.setenv('IBISPITCHCTL_CONFIG', str(bad))
    result = CliRunner().invoke(main, ['check-config'])
    assert result.exit_code == Exit.USAGE
    assert '12345' not in result.output


def commands(command, path=()):
    yield path
    if isinstance(command, click.Group):
        for name, child in command.commands.items():
            yield from commands(child, (*path, name))


def test_help_and_completion():
    """Help and completion must work for all commands and shells."""
    for path in commands(main):
        result = CliRunner().invoke(main, [*path, '--help'])
        assert result.exit_code == Exit.OK
    for shell in ('bash', 'zsh', 'fish'):
        result = CliRunner().invoke(main, ['completion', shell])
        assert '_IBISPITCHCTL_COMPLETE' in result.stdout
