"""Store calls, processor time and memory of processes, by fleet size."""

import asyncio
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import aiohttp
import msgspec
import psutil

from ibispitch.catalogue.documents import Entry
from ibispitch.catalogue.editor import Actor
from ibispitch.catalogue.editor import CatalogueEditor
from ibispitch.store import StoreClient
from ibispitch.store import StoreError
from testbed.deployment import Deployment
from testbed.deployment import ServiceShape
from testbed.deployment import Shape
from testbed.scenario import Scenario
from testbed.slopes_fit import Recorder
from testbed.slopes_fit import Series

DATACENTRES = ('accra', 'kumasi', 'tema')
SERVICE = ServiceShape('bench', 'asante', 'interactive', 5683, 3, 1)
#: Together with the deployment for agents these are 45 balancers and 5
#: stores, 2 balancers, 3 agents and 3 upstreams.
BALANCER_COUNTS = (3, 6, 12, 24)
FIRST_NETWORK = 111
AGENT_NETWORK = 110
START_UP_S = 12.0
MEASUREMENT_S = 27.0
#: Parts of the paths of writes; the other calls are reads, or watches, which
#: count once.
WRITE_PATH_PARTS = ('put', 'txn', 'lease')


async def _store_calls(
    session: aiohttp.ClientSession, address
) -> Counter[str]:
    url = f'http://{address}/testbed/calls'
    async with session.get(url) as response:
        return Counter(await response.json())


async def _write_entries(deployment: Deployment) -> None:
    store = StoreClient([str(deployment.store_address)])
    editor = CatalogueEditor(store, 'default', Actor('testbed'))
    try:
        for raw in deployment.entries():
            for _ in range(50):
                try:
                    result = await editor.set(msgspec.convert(raw, Entry))
                except StoreError:
                    result = None
                if result is not None and result.is_ok():
                    break
                await asyncio.sleep(0.2)
    finally:
        await store.close()


def _processes(deployment: Deployment, prefix: str) -> list[psutil.Process]:
    return [
        psutil.Process(process.pid)
        for name, process in deployment.supervisor.process_by_name.items()
        if name.startswith(prefix)
    ]


def _mean_cpu_s(processes: list[psutil.Process]) -> float:
    return sum(sum(p.cpu_times()[:2]) for p in processes) / len(processes)


def _mean_rss_bytes(processes: list[psutil.Process]) -> float:
    return sum(p.memory_info().rss for p in processes) / len(processes)


async def _measure(add, deployment: Deployment, session) -> None:
    count = len(deployment.balancer_ips)
    processes = _processes(deployment, 'balancer')
    before = await _store_calls(session, deployment.store_address)
    cpu = _mean_cpu_s(processes)
    await asyncio.sleep(MEASUREMENT_S)
    after = await _store_calls(session, deployment.store_address)
    cpu = (_mean_cpu_s(processes) - cpu) / MEASUREMENT_S
    calls = after - before
    writes = sum(
        number
        for path, number in calls.items()
        if any(part in path for part in WRITE_PATH_PARTS)
    )
    total = calls.total()
    add('store.calls_per_s', '1/s', count, total / MEASUREMENT_S)
    add('store.writes_per_s', '1/s', count, writes / MEASUREMENT_S)
    add('store.start_calls', '1', count, before.total())
    add('balancer.process_cpu_share', 's/s', count, cpu)
    add('balancer.process_memory', 'B', count, _mean_rss_bytes(processes))


async def _measure_edit(add, deployment: Deployment, session) -> None:
    """Record the number of store calls for one edit of an entry."""
    before = await _store_calls(session, deployment.store_address)
    deployment.ramp_s += 1.0
    await _write_entries(deployment)
    await asyncio.sleep(1.0)
    after = await _store_calls(session, deployment.store_address)
    count = len(deployment.balancer_ips)
    add('store.edit_calls', '1/edit', count, (after - before).total())


async def _run(folder: Path, recorder: Recorder) -> dict[str, float]:
    def add(key, unit, x, y):
        recorder.add(
            f'process.{key}',
            'balancers',
            unit,
            'CatalogueReader, SnapshotWriter',
            x,
            y,
        )

    deployments = [
        Deployment(
            Shape(DATACENTRES, (SERVICE,)),
            folder / str(count),
            FIRST_NETWORK + index,
            count,
        )
        for index, count in enumerate(BALANCER_COUNTS)
    ]
    agent_deployment = Deployment(
        Shape(DATACENTRES, (SERVICE,)), folder / 'agents', AGENT_NETWORK, 2
    )
    scenario = Scenario(agent_deployment, 1)
    try:
        for deployment in deployments:
            deployment.start_store()
        for deployment in deployments:
            for name in deployment.balancer_ips:
                deployment.start_balancer(name)
        await scenario.start()
        async with aiohttp.ClientSession() as session:
            await asyncio.gather(*map(_write_entries, deployments))
            await asyncio.sleep(START_UP_S)
            agents = _processes(agent_deployment, 'agent')
            cpu = _mean_cpu_s(agents)
            await asyncio.gather(
                *(_measure(add, d, session) for d in deployments)
            )
            figures = {
                'process.agent.memory': _mean_rss_bytes(agents),
                'process.agent.cpu_share': (_mean_cpu_s(agents) - cpu)
                / MEASUREMENT_S,
            }
            await asyncio.gather(
                *(_measure_edit(add, d, session) for d in deployments)
            )
        dead = [
            name
            for d in deployments
            for name in d.supervisor.unexpected_exits()
        ]
        if dead:
            raise RuntimeError(f'processes ended: {dead}')
        return figures
    finally:
        await scenario.stop()
        await asyncio.gather(*(asyncio.to_thread(d.stop) for d in deployments))


def measure_processes(
    folder: Path,
) -> tuple[Iterator[Series], dict[str, float]]:
    """Run fleets of several sizes at the same time.

    :param folder: folder for settings files and logs.
    :returns: the series, and figures of agents without load.
    """
    recorder = Recorder()
    figures = asyncio.run(_run(folder, recorder))
    return iter(recorder), figures
