"""Processes of the last release and of this one side by side.

Hosts are replaced one after the other, so that both exchange messages, saved
flows, tables and the stored list for minutes.
"""

import asyncio
import json
from pathlib import Path
import subprocess
import sys

import pytest

from ibispitch.checkpoint.messages import split_flows
from ibispitch.fleet.messages import encode_message
from testbed.flow_platform import FEED
from testbed.flow_platform import QUOTE
from testbed.flow_processes import FlowProcesses
from testbed.former_version import unpack_packages
from testbed.version_samples import FLOW

ROOT = Path(__file__).resolve().parents[2]
#: The landing before this version.
LAST_RELEASE = '71be66c1'
#: Fields with their defaults that this version appends to messages.
APPENDED_FIELDS = (', agent_count=0',)
NETWORK = 47
KINDS = [
    FEED._replace(objective_s=0.5, deadline_s=4.0),
    QUOTE._replace(objective_s=0.5, deadline_s=4.0),
]


@pytest.fixture(scope='module')
def last_release(tmp_path_factory) -> Path:
    """Return a folder with the packages of the last release."""
    folder = tmp_path_factory.mktemp('release')
    unpack_packages(LAST_RELEASE, folder)
    (folder / 'testbed').mkdir()
    (folder / 'testbed/__init__.py').touch()
    samples = (ROOT / 'testbed/version_samples.py').read_text(encoding='utf-8')
    (folder / 'testbed/version_samples.py').write_text(
        samples, encoding='utf-8'
    )
    return folder


def run(folder: Path, verb: str, samples=None) -> dict:
    """Run the samples with the packages of a folder."""
    result = subprocess.run(
        [sys.executable, '-m', 'testbed.version_samples', verb],
        cwd=folder, env={'PYTHONPATH': str(folder)}, check=True,
        input=json.dumps(samples), capture_output=True, text=True, timeout=30,
    )  # fmt: skip
    return json.loads(result.stdout)


def test_each_version_reads_the_other(last_release):
    """Guards against a message that one of two versions can't read."""
    new, old = run(ROOT, 'write'), run(last_release, 'write')
    assert new.keys() == old.keys()
    expected = run(ROOT, 'read', new)
    assert None not in expected.values()
    assert 'None' not in expected.values()
    # What this version appends has its default in messages of the last
    # release, which skips it.
    assert run(ROOT, 'read', old) == expected
    text = json.dumps(expected)
    for field in APPENDED_FIELDS:
        assert field in text
        text = text.replace(field, '')
    assert run(last_release, 'read', new) == json.loads(text)


def test_last_release_skips_partial_lists(last_release):
    """Guards against flows denied by the last release for a partial list."""
    parts = split_flows(1, 2, [FLOW], are_all=False)
    samples = {'message.partial': encode_message(parts[0]).hex()}
    assert run(last_release, 'read', samples) == {'message.partial': 'None'}
    assert 'Partial' in run(ROOT, 'read', samples)['message.partial']


@pytest.mark.process
@pytest.mark.parametrize('is_return', [False, True])
async def test_hosts_are_replaced_one_after_the_other(
    tmp_path, last_release, is_return
):
    """Guards against flows that are reset while two versions run together.

    Each process is stopped and started with the other version, which also
    has to read the flows that the former one saved. One is killed half-way.

    :param is_return: whether the hosts go back to the last release.
    """
    deployment = FlowProcesses(
        tmp_path, NETWORK + is_return, ['accra', 'accra', 'kumasi'],
        [('accra', 'counter'), ('accra', 'counter'), ('kumasi', 'counter')],
        seed=5,
    )  # fmt: skip
    before, after = (None, last_release)[:: 1 if is_return else -1]
    for host in deployment.hosts:
        host.packages = before
    try:
        await deployment.start(KINDS)
        callers = [
            deployment.add_caller('accra', kind, is_long)
            for kind, is_long in zip(KINDS, (True, False), strict=True)
            for _ in range(8)
        ]
        asking = asyncio.create_task(_ask(callers))
        await asyncio.sleep(1.5)
        for number, host in enumerate(deployment.hosts):
            host.packages = after
            replace = deployment.kill if number == 4 else deployment.restart
            await replace(host)
            await asyncio.sleep(1.5)
        await asyncio.sleep(3.0)
        asking.cancel()
    finally:
        await deployment.stop()
    requests = [request for caller in callers for request in caller.requests]
    answered = [r for r in requests if r.answered_at is not None]
    assert [flow for caller in callers for flow in caller.reset_flows] == []
    assert len(answered) > 0.95 * len(requests) > 100
    for host in deployment.hosts:
        events = {line['event'] for line in host.log_lines()}
        assert host.starts == 2
        assert host.exits == []
        assert not events & {'process.error', 'peer.unreadable'}
    runs = [
        run for _, upstream in deployment.upstreams for run in upstream.runs
    ]
    quotes = {r.body for c in callers[8:] for r in c.requests}
    assert sum(run in quotes for run in runs) <= len(quotes)


async def _ask(callers) -> None:
    """Let callers ask steadily."""
    while True:
        for caller in callers:
            caller.ask()
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)
