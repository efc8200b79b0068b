"""The real programs as processes: a request from one end to the other."""

import asyncio
from contextlib import asynccontextmanager
import json
import os
import random
import signal
import sys

import pytest

from ibispitch.datagrams import DatagramSocket
from ibispitch.ids import Address
from ibispitch.platform.http import HttpClient
from testbed.flow_callers import FlowCaller
from testbed.flow_callers import Outcome
from testbed.flow_network import FEED
from testbed.flow_upstream import FlowUpstream
from testbed.memory_store import MemoryStore
from testbed.store_server import StoreServer

pytestmark = pytest.mark.process

BALANCER, AGENT, CALLER = '127.0.32.1', '127.0.32.2', '127.0.32.9'
STORE = Address('127.0.32.5', 18169)
PACKETS, READY, CONTROL, OUTBOUND, UPSTREAM = 18172, 18167, 18166, 18162, 18165
START_S = 10.0


def settings(name: str, ip: str, **extra) -> str:
    lines = extra | {
        'node_name': name, 'ip': ip, 'zone': 'accra',
        'listen.datagram_addr': f'{ip}:{PACKETS}',
        'listen.ready': f'{ip}:{READY}', 'listen.control': f'{ip}:{CONTROL}',
        'internal_ports': '17720,17735', 'seeds': f'{BALANCER}:{CONTROL}',
        'bootstrap': 'true', 'heartbeat_ms': 300,
        'platform.address': str(STORE), 'bounds.config_ms': 3000,
        'bounds.grace_s': 6, 'bounds.stability_ms': 4000,
    }  # fmt: skip
    return '\n'.join(f'{key}={value}' for key, value in lines.items())


@asynccontextmanager
async def process(role: str, text: str, path):
    file = path / f'{role}.conf'
    file.write_text(text)
    running = await asyncio.create_subprocess_exec(
        sys.executable, '-m', 'ibispitch.platform', role,
        env=os.environ | {'IBISPITCH_BOOT': str(file)},
        stdout=asyncio.subprocess.PIPE,
    )  # fmt: skip
    output = asyncio.ensure_future(running.stdout.read())
    try:
        yield running, output
    finally:
        if running.returncode is None:
            running.kill()
        await running.wait()
        await output


async def call(port, ip, method, path, body=b'') -> int:
    client = HttpClient(Address(ip, port))
    try:
        return (await client.call(method, path, body, 1.0)).status
    except (OSError, TimeoutError):
        return 0
    finally:
        client.close()


async def beat(upstream: FlowUpstream) -> None:
    while True:
        body = upstream.heartbeat() | {'service': 'counter'}
        path = f'/v1/instances/{upstream.name}'
        await call(CONTROL, AGENT, 'PUT', path, json.dumps(body).encode())
        await asyncio.sleep(0.3)


async def ready() -> None:
    async with asyncio.timeout(START_S):
        while await call(READY, BALANCER, 'GET', '/v1/readyz') != 200:
            await asyncio.sleep(0.05)


async def test_request_through_real_processes(tmp_path):
    """Guards against programs that only work in simulated time."""
    loop = asyncio.get_running_loop()
    rng = random.Random(3)
    store = MemoryStore()
    store.write('op/config', json.dumps({
        'version': 1,
        'routes': [{
            'name': 'r', 'hostname': FEED.destination.ip,
            'prefix': f'/{FEED.destination.port}/', 'service': 'counter',
            'type': 'safe', 'aim_ms': 500, 'timeout_ms': 3000, 'priority': 1,
        }],
        'services': [{'name': 'counter', 'health_path': '/healthz'}],
        'limits': {'idle_timeout_ms': 15000},
    }).encode())  # fmt: skip
    upstream = caller = None
    from_upstream = DatagramSocket(
        lambda raw, _: upstream.receive(raw), Address(AGENT, UPSTREAM)
    )
    at_caller = DatagramSocket(
        lambda raw, _: caller.receive(raw), Address(CALLER, PACKETS)
    )
    upstream = FlowUpstream(
        loop,
        lambda raw: from_upstream.send(raw, Address(AGENT, OUTBOUND)), rng,
    )  # fmt: skip
    caller = FlowCaller(
        loop, CALLER, FEED.destination,
        lambda raw: at_caller.send(raw, Address(BALANCER, PACKETS)), rng,
        is_long=True, retries_opened=True, objective_s=0.5, deadline_s=3.0,
    )  # fmt: skip
    agent_settings = settings(
        'agent-1', AGENT, service='counter', app=f'{AGENT}:{UPSTREAM}',
        **{'listen.outbound': f'{AGENT}:{OUTBOUND}'},
    )  # fmt: skip
    beats = loop.create_task(beat(upstream))
    async with (
        StoreServer(store, STORE),
        process('balancer', settings('balancer-1', BALANCER), tmp_path) as (
            balancer,
            output,
        ),
        process('agent', agent_settings, tmp_path),
    ):
        await ready()
        for _ in range(5):
            caller.ask()
            await asyncio.sleep(0.3)
        assert await call(9100, AGENT, 'GET', '/metrics') == 200
        balancer.send_signal(signal.SIGTERM)
        async with asyncio.timeout(8.0):
            assert await balancer.wait() == 0
        lines = [json.loads(line) for line in (await output).splitlines()]
    beats.cancel()
    from_upstream.close()
    at_caller.close()
    assert len(caller.requests) == 5
    assert {r.outcome for r in caller.requests} == {Outcome.IN_TIME}
    assert len(set(upstream.runs)) == len(upstream.runs) == 5
    assert upstream.damaged == caller.mixed == 0
    events = [line['event'] for line in lines]
    assert events[0] == 'process.started'
    assert events[-1] == 'process.stopped'
    assert events.count('flow.placed') == 1
