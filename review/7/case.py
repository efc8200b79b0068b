"""Flows that one end has closed and the other has not.

Part 1: forty clients open a flow each, send a request and then a FIN, and read
the answer, which the server writes as it arises: 2,400 bytes every 37.5 ms,
480 KB in 7.5 s. No process, server or link is disturbed. Part 2: a server is
drained as planned and closes each flow after its next response; the clients
close theirs when their pause of 6.5 s is over, while the server still runs.
With TROUBLE=0 the clients of part 1 send their FIN after the answer, and no
server is drained in part 2.
"""

import asyncio
from pathlib import Path
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness2 as h

ZONE = 'east'
SERVICE = 'menubook'
MAIN = h.wire.Address('127.19.0.1', 8080)
PARTS = 200
PART = bytes(2400)
PAUSE_S = 0.0375
FLOWS = 40
PAUSE_OF_CLIENTS_S = 6.5


async def write_parts(_server, flow, request_id):
    """Write an answer: a download in parts, others at once."""
    if not request_id.startswith('download'):
        flow.end.write(h.answer_of(request_id, b'ok'))
        return
    body = len(PART) * PARTS
    flow.end.write(
        f'HTTP/1.1 200 OK\r\nX-Ibispitch-Response-Stamp: {request_id}\r\n'
        f'Content-Length: {body}\r\n\r\n'.encode()
    )
    for _ in range(PARTS):
        await asyncio.sleep(PAUSE_S)
        flow.end.write(PART)


async def case(record):
    """Start the deployment, play the case and end all processes."""
    d = h.Deployment({ZONE: 2}, [(ZONE, SERVICE)] * 3)
    try:
        return await play(d, record)
    finally:
        await d.stop()


async def play(d, record):
    """Play both parts and return the exit code."""
    routes = [
        {
            'name': 'r-main', 'ip': MAIN.ip, 'port': MAIN.port,
            'service': SERVICE, 'type': 'download', 'timeout_ms': 8000,
            'aim_ms': 8000,
        }
    ]  # fmt: skip
    await d.start(
        d.configuration(1, routes, [SERVICE]), slots=40, queue=40,
        write_answer=write_parts,
    )  # fmt: skip
    client = d.add_client(ZONE)
    results, took = [], []

    async def download(number):
        await asyncio.sleep(0.05 * number)
        name = f'download-{number}'
        flow = client.open(MAIN)
        asked_at = time.monotonic()
        answer = await flow.ask(name, fin=h.TROUBLE, timeout_s=12.0)
        answered_at = time.monotonic()
        flow.close()
        results.append((name, flow, asked_at, answer))
        took.append(answered_at - asked_at)

    await asyncio.gather(*map(download, range(FLOWS)))
    await asyncio.sleep(1.0)
    broken = 0
    for name, flow, asked_at, _ in results:
        if flow.reset_at is not None and flow.was_open_at_reset:
            broken += 1
            record.add(
                f'{name}: reset after {flow.reset_at - asked_at:.3f} s with '
                f'{len(flow.buffer)} bytes of its answer'
            )
    whole = sum(
        answer is not None and len(answer) == PARTS * len(PART)
        for _, _, _, answer in results
    )
    resets = sum(
        event['event'] == 'flow.reset'
        for machine in d.balancers
        for event in d.log_events(machine)
    )
    sent = sum(m.server.resets for m in d.agents)
    record.add(
        f'flows {FLOWS}, whole answers {whole}, opened and reset '
        f'{broken}, resets logged by the balancers {resets}, resets '
        f'sent by servers {sent}'
    )
    record.add(f'longest answer {max(took):.3f} s')
    kept = await drain(d, record, client)
    record.add(f'FLOW broken: part 1 {bool(broken)}, part 2 {bool(kept)}')
    if not broken and whole < FLOWS:
        return 2
    return 1 if broken or kept else 0


async def drain(d, record, client):
    """Play part 2; return the number of flows that the system reset."""
    flows = []

    async def use(number):
        flow = client.open(MAIN)
        flows.append(flow)
        await flow.ask(f'first-{number}')
        await asyncio.sleep(2.0)
        await flow.ask(f'second-{number}')
        await asyncio.sleep(PAUSE_OF_CLIENTS_S)
        flow.close()

    uses = [asyncio.ensure_future(use(number)) for number in range(FLOWS)]
    await asyncio.sleep(1.0)
    server = d.agents[0].server
    if h.TROUBLE:
        server.state = 'draining'
        acknowledged = await server.beat()
        record.add(f'{server.name} drains, acknowledged: {acknowledged}')
    await asyncio.gather(*uses)
    await asyncio.sleep(1.0)
    reset = sum(
        flow.reset_at is not None and flow.was_open_at_reset for flow in flows
    )
    closed = sum(flow.end.got_fin for flow in flows)
    record.add(
        f'part 2: flows {len(flows)}, closed by their server '
        f'{closed}, reset at the FIN of the client {reset}; the server '
        f'runs: {server.is_alive}'
    )
    return reset


h.main(Path(__file__).resolve().parent, case)
