"""Speed of the balancer process beside a bare relay, in one run.

Both are loaded alternately by the same senders, so that the ratio does not
depend on what else the machine does in one of the phases.
"""

import asyncio
import json
from pathlib import Path
import random
from statistics import median
import subprocess
import sys
import tempfile
import time
from typing import NamedTuple

import psutil

from ibispitch.ids import Address
from ibispitch.ids import parse_address
from ibispitch.membership.client import MembershipClient
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import MemberState
from ibispitch.settings.programs import MetricsSettings
from ibispitch.telemetry import Metrics
from ibispitch.wire import Keyring
from testbed.deployment import CONTROL_PORT
from testbed.deployment import DATA_PORT
from testbed.deployment import Deployment
from testbed.deployment import OMAHEKE
from testbed.figures import at_least
from testbed.figures import Figure
from testbed.figures import informative
from testbed.scenario import Scenario
from testbed.supervisor import ROOT

NETWORK = 90
ROUNDS = 3
LOAD_S = 1.5
MARGIN_S = 0.5
SENDERS = 2
PING_S = 1.0
OPENERS = 4
#: Time in which the flows are opened and counted.
OPEN_S = 25.0
FLOWS_HELD = 300_000

#: The targets of section 1.6 of docs/design.md.
MIN_RATIO = 0.6
MIN_NEW_FLOWS_PER_S = 2000


class Relay(NamedTuple):
    """A process under test.

    :param front: address that callers send to.
    :param agent: address that it forwards to.
    :param format: format of its frames, see ``testbed.datapath``.
    """

    name: str
    process: psutil.Process
    front: Address
    agent: Address
    format: str


class Rate(NamedTuple):
    """Packets a second and processor time a packet."""

    packets_per_s: float
    cpu_us: float


async def role(name: str, **options: object) -> dict:
    """Run a role of ``testbed.datapath`` and return what it printed.

    :param options: its command-line options.
    """
    arguments = [
        text
        for option, value in options.items()
        for text in (f'--{option}', str(value))
    ]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'testbed.datapath',
        name,
        *arguments,
        cwd=ROOT,
        stdout=subprocess.PIPE,
    )
    output, _ = await process.communicate()
    return json.loads(output)


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


async def forward_rate(relay: Relay) -> Rate:
    """Measure the direction from callers to the agent."""
    before = _cpu_s(relay.process)
    sink = asyncio.ensure_future(
        role('sink', bind=relay.agent, seconds=LOAD_S + 3 * MARGIN_S)
    )
    await asyncio.sleep(MARGIN_S)
    await asyncio.gather(
        *(
            role(
                'send',
                target=relay.front,
                ip=f'127.{NETWORK}.7.{index + 1}',
                seconds=LOAD_S,
            )
            for index in range(SENDERS)
        )
    )
    result = await sink
    return _rate(result, _cpu_s(relay.process) - before)


async def beside_agent(
    agent_role: str, seconds: float, relay: Relay, key: bytes, call
) -> dict:
    """Run a caller's role beside a role that answers at the agent."""
    answering = asyncio.ensure_future(
        role(
            agent_role,
            format=relay.format,
            key=key.hex(),
            bind=relay.agent,
            seconds=seconds,
        )
    )
    await asyncio.sleep(MARGIN_S)
    result = await call
    await answering
    return result


async def reply_rate(relay: Relay, key: bytes, number: int) -> Rate:
    """Measure the direction from the agent to a caller."""
    before = _cpu_s(relay.process)
    seconds = LOAD_S + 2 * MARGIN_S
    call = role(
        'call',
        target=relay.front,
        bind=f'127.{NETWORK}.7.9:{4000 + number}',
        seconds=seconds,
    )
    result = await beside_agent('flood', seconds, relay, key, call)
    return _rate(result, _cpu_s(relay.process) - before)


def _rate(result: dict, cpu_s: float) -> Rate:
    received = max(1, result['received'])
    return Rate(
        received / max(1e-9, result['seconds']), cpu_s / received * 1e6
    )


async def round_trip(relay: Relay, key: bytes, number: int) -> dict:
    """Measure round trips, one at a time."""
    call = role(
        'ping',
        target=relay.front,
        bind=f'127.{NETWORK}.7.9:{5000 + number}',
        seconds=PING_S,
    )
    seconds = PING_S + 3 * MARGIN_S
    return await beside_agent('echo', seconds, relay, key, call)


async def open_many(relay: Relay, flows: int) -> tuple[float, int]:
    """Open flows from caller addresses of their own.

    :returns: flows a second as the agent saw them, and resident bytes that
        the process gained.
    """
    before = relay.process.memory_info().rss
    sink = asyncio.ensure_future(
        role('sink', bind=relay.agent, seconds=OPEN_S)
    )
    await asyncio.sleep(MARGIN_S)
    share = flows // OPENERS
    await asyncio.gather(
        *(
            role(
                'open',
                target=relay.front,
                flows=share,
                first=index * share,
            )
            for index in range(OPENERS)
        )
    )
    result = await sink
    gained = relay.process.memory_info().rss - before
    if result['received'] < flows * 0.95:
        return 0.0, gained
    return result['received'] / result['seconds'], gained


class Bench:
    """Processes of the measurement.

    :param folder: where settings and logs go.
    """

    def __init__(self, folder: Path):
        self._scenario = Scenario(
            Deployment(OMAHEKE, folder, NETWORK, balancers=1), seed=1
        )
        self._supervisor = self._scenario.deployment.supervisor
        self._client: MembershipClient | None = None
        self.key = b''

    async def start(self) -> tuple[Relay, Relay]:
        """Start the bare relay and a balancer with one agent record."""
        deployment = self._scenario.deployment
        deployment.hosts.clear()
        await self._scenario.start()
        self.key = bytes.fromhex(deployment.shared_key)
        service = OMAHEKE.services[0]
        name, ip = next(iter(deployment.balancer_ips.items()))
        agent = Address(f'127.{NETWORK}.5.1', DATA_PORT)
        await self._announce(service.name, agent, ip)
        bare = self._start_bare()
        await asyncio.sleep(2 * MARGIN_S)
        balancer = Relay(
            'balancer',
            psutil.Process(self._supervisor.process_by_name[name].pid),
            Address(ip, service.port),
            agent,
            'frame',
        )
        return bare, balancer

    def _start_bare(self) -> Relay:
        agent = Address(f'127.{NETWORK}.5.2', DATA_PORT)
        front = Address(f'127.{NETWORK}.6.1', 5683)
        process = self._supervisor.start(
            'bare',
            'testbed.datapath',
            'relay',
            '--bind',
            str(front),
            '--data',
            f'{front.ip}:{DATA_PORT}',
            '--target',
            str(agent),
        )
        return Relay(
            'bare', psutil.Process(process.pid), front, agent, 'plain'
        )

    async def _announce(self, service: str, agent: Address, ip: str) -> None:
        """Lease a record whose address is that of the sinks."""
        record = AgentRecord(
            agent_id='sink',
            service=service,
            datacentre=OMAHEKE.datacentres[0],
            address=agent,
            incarnation=time.time_ns(),
            sequence=0,
            state=MemberState.ACTIVE,
            slots=1,
            connections=1,
            parent='',
        )
        self._client = MembershipClient(
            record,
            [parse_address(f'{ip}:{CONTROL_PORT}')],
            Keyring([self.key]),
            Metrics(MetricsSettings('none'), 'bench'),
            rng=random.Random(1),
        )
        await self._client.start()
        while self._client.view is None or self._client.view.entry is None:
            await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Stop all processes."""
        if self._client is not None:
            await self._client.stop()
        await self._scenario.stop()


async def measure(folder: Path) -> list[Figure]:
    """Measure all figures of the packet path."""
    bench = Bench(folder)
    try:
        relays = await bench.start()
        rates: dict[str, list[Rate]] = {}
        trips: dict[str, list[dict]] = {}
        for number in range(ROUNDS):
            for relay in relays:
                rates.setdefault(f'{relay.name}.forward', []).append(
                    await forward_rate(relay)
                )
                rates.setdefault(f'{relay.name}.reply', []).append(
                    await reply_rate(relay, bench.key, number)
                )
                trips.setdefault(relay.name, []).append(
                    await round_trip(relay, bench.key, number)
                )
        new_flows_per_s, gained = await open_many(relays[1], FLOWS_HELD)
    finally:
        await bench.stop()
    return [
        *_rate_figures(rates),
        *_trip_figures(trips),
        at_least(
            'datapath.new_flows',
            new_flows_per_s,
            'flows/s',
            MIN_NEW_FLOWS_PER_S,
        ),
        informative(
            'datapath.memory_per_100000_flows',
            gained / FLOWS_HELD * 100_000 / 1024,
            'KiB',
        ),
    ]


def _rate_figures(rates: dict[str, list[Rate]]) -> list[Figure]:
    figures = []
    for direction in ('forward', 'reply'):
        bare, balancer = (
            median(rate.packets_per_s for rate in rates[f'{name}.{direction}'])
            for name in ('bare', 'balancer')
        )
        figures += [
            informative(f'datapath.bare.{direction}', bare, 'packets/s'),
            informative(f'datapath.{direction}', balancer, 'packets/s'),
            at_least(
                f'datapath.{direction}_ratio', balancer / bare, '1', MIN_RATIO
            ),
            informative(
                f'datapath.{direction}_cpu',
                median(rate.cpu_us for rate in rates[f'balancer.{direction}']),
                'us/packet',
            ),
        ]
    return figures


def _trip_figures(trips: dict[str, list[dict]]) -> list[Figure]:
    return [
        informative(
            f'datapath.added_{quantile[:-2]}',
            (
                median(trip[quantile] for trip in trips['balancer'])
                - median(trip[quantile] for trip in trips['bare'])
            )
            * 1e6,
            'us',
        )
        for quantile in ('p50_s', 'p99_s')
    ]


def run() -> list[Figure]:
    """Run the measurement."""
    with tempfile.TemporaryDirectory(prefix='ibispitch-bench-') as folder:
        return asyncio.run(measure(Path(folder)))


if __name__ == '__main__':
    for line in run():
        print(line)
