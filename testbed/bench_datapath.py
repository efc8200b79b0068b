"""Benchmark of the balancer process in comparison with a bare relay.

The same senders load both in turn, so that other load on the machine has
little influence on the ratio.
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
START_MARGIN_S = 0.5
SENDERS = 2
PING_S = 1.0
OPENING_PROCESSES = 4
#: Time in which the sink counts opened flows.
OPENING_S = 25.0
OPEN_FLOWS = 300_000

#: Bounds from section 1.6 of docs/design.md.
MIN_BARE_RELAY_RATIO = 0.6
MIN_NEW_FLOWS_PER_S = 2000


class Relay(NamedTuple):
    """A process under test.

    :param caller_address: address to which callers send.
    :param agent_address: address to which it forwards datagrams.
    :param format: format of the datagrams that it forwards, see
        ``testbed.datapath``.
    """

    name: str
    process: psutil.Process
    caller_address: Address
    agent_address: Address
    format: str


class Rate(NamedTuple):
    """Packets per second and processor time per packet."""

    packets_per_s: float
    cpu_us: float


async def run_role(name: str, **options: object) -> dict:
    """Run a role of ``testbed.datapath`` and return its result.

    :param options: command-line options of the role.
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


async def measure_forward_rate(relay: Relay) -> Rate:
    """Measure the packet rate from callers to the agent."""
    before = _cpu_s(relay.process)
    sink_task = asyncio.ensure_future(
        run_role(
            'sink',
            bind=relay.agent_address,
            seconds=LOAD_S + 3 * START_MARGIN_S,
        )
    )
    await asyncio.sleep(START_MARGIN_S)
    await asyncio.gather(
        *(
            run_role(
                'send',
                target=relay.caller_address,
                ip=f'127.{NETWORK}.7.{index + 1}',
                seconds=LOAD_S,
            )
            for index in range(SENDERS)
        )
    )
    result = await sink_task
    return _datagram_rate(result, _cpu_s(relay.process) - before)


async def run_with_agent_role(
    agent_role: str, seconds: float, relay: Relay, key: bytes, caller_role
) -> dict:
    """Run a caller's role while another role answers as the agent."""
    agent_task = asyncio.ensure_future(
        run_role(
            agent_role,
            format=relay.format,
            key=key.hex(),
            bind=relay.agent_address,
            seconds=seconds,
        )
    )
    await asyncio.sleep(START_MARGIN_S)
    result = await caller_role
    await agent_task
    return result


async def measure_reply_rate(relay: Relay, key: bytes, number: int) -> Rate:
    """Measure the packet rate from the agent to a caller."""
    before = _cpu_s(relay.process)
    seconds = LOAD_S + 2 * START_MARGIN_S
    caller_role = run_role(
        'call',
        target=relay.caller_address,
        bind=f'127.{NETWORK}.7.9:{4000 + number}',
        seconds=seconds,
    )
    result = await run_with_agent_role(
        'flood', seconds, relay, key, caller_role
    )
    return _datagram_rate(result, _cpu_s(relay.process) - before)


def _datagram_rate(result: dict, cpu_s: float) -> Rate:
    received = max(1, result['received'])
    return Rate(
        received / max(1e-9, result['seconds']), cpu_s / received * 1e6
    )


async def measure_round_trips(relay: Relay, key: bytes, number: int) -> dict:
    """Measure round-trip times, one packet at a time."""
    caller_role = run_role(
        'ping',
        target=relay.caller_address,
        bind=f'127.{NETWORK}.7.9:{5000 + number}',
        seconds=PING_S,
    )
    seconds = PING_S + 3 * START_MARGIN_S
    return await run_with_agent_role('echo', seconds, relay, key, caller_role)


async def open_flows(relay: Relay, flows: int) -> tuple[float, int]:
    """Open flows, each from its own caller address.

    :returns: flows per second as received by the agent, or 0 if it received
        less than 95 % of them, and the growth of the relay's resident
        memory in bytes.
    """
    before = relay.process.memory_info().rss
    sink_task = asyncio.ensure_future(
        run_role('sink', bind=relay.agent_address, seconds=OPENING_S)
    )
    await asyncio.sleep(START_MARGIN_S)
    flows_each = flows // OPENING_PROCESSES
    await asyncio.gather(
        *(
            run_role(
                'open',
                target=relay.caller_address,
                flows=flows_each,
                first=index * flows_each,
            )
            for index in range(OPENING_PROCESSES)
        )
    )
    result = await sink_task
    gained_bytes = relay.process.memory_info().rss - before
    if result['received'] < flows * 0.95:
        return 0.0, gained_bytes
    return result['received'] / result['seconds'], gained_bytes


class DatapathBench:
    """Processes of the benchmark.

    :param folder: folder for settings and logs.
    """

    def __init__(self, folder: Path):
        self._scenario = Scenario(
            Deployment(OMAHEKE, folder, NETWORK, balancers=1), seed=1
        )
        self._supervisor = self._scenario.deployment.supervisor
        self._client: MembershipClient | None = None
        self.key = b''

    async def start(self) -> tuple[Relay, Relay]:
        """Start the bare relay, and a balancer with one agent record."""
        deployment = self._scenario.deployment
        deployment.hosts.clear()
        await self._scenario.start()
        self.key = bytes.fromhex(deployment.shared_key)
        service = OMAHEKE.services[0]
        name, ip = next(iter(deployment.balancer_ips.items()))
        agent_address = Address(f'127.{NETWORK}.5.1', DATA_PORT)
        await self._announce_sink(service.name, agent_address, ip)
        bare = self._start_bare_relay()
        await asyncio.sleep(2 * START_MARGIN_S)
        balancer = Relay(
            'balancer',
            psutil.Process(self._supervisor.process_by_name[name].pid),
            Address(ip, service.port),
            agent_address,
            'frame',
        )
        return bare, balancer

    def _start_bare_relay(self) -> Relay:
        agent_address = Address(f'127.{NETWORK}.5.2', DATA_PORT)
        caller_address = Address(f'127.{NETWORK}.6.1', 5683)
        process = self._supervisor.start(
            'bare',
            'testbed.datapath',
            'relay',
            '--bind',
            str(caller_address),
            '--data',
            f'{caller_address.ip}:{DATA_PORT}',
            '--target',
            str(agent_address),
        )
        return Relay(
            'bare',
            psutil.Process(process.pid),
            caller_address,
            agent_address,
            'plain',
        )

    async def _announce_sink(
        self, service: str, agent_address: Address, ip: str
    ) -> None:
        """Announce an agent whose address is that of the sinks."""
        record = AgentRecord(
            agent_id='sink',
            service=service,
            datacentre=OMAHEKE.datacentres[0],
            address=agent_address,
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
    """Run all measurements and return their figures."""
    bench = DatapathBench(folder)
    try:
        relays = await bench.start()
        rates: dict[str, list[Rate]] = {}
        round_trips: dict[str, list[dict]] = {}
        for number in range(ROUNDS):
            for relay in relays:
                rates.setdefault(f'{relay.name}.forward', []).append(
                    await measure_forward_rate(relay)
                )
                rates.setdefault(f'{relay.name}.reply', []).append(
                    await measure_reply_rate(relay, bench.key, number)
                )
                round_trips.setdefault(relay.name, []).append(
                    await measure_round_trips(relay, bench.key, number)
                )
        new_flows_per_s, gained_bytes = await open_flows(relays[1], OPEN_FLOWS)
    finally:
        await bench.stop()
    return [
        *_rate_figures(rates),
        *_round_trip_figures(round_trips),
        at_least(
            'datapath.new_flows',
            new_flows_per_s,
            'flows/s',
            MIN_NEW_FLOWS_PER_S,
        ),
        informative(
            'datapath.memory_per_100000_flows',
            gained_bytes / OPEN_FLOWS * 100_000 / 1024,
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
                f'datapath.{direction}_ratio',
                balancer / bare,
                '1',
                MIN_BARE_RELAY_RATIO,
            ),
            informative(
                f'datapath.{direction}_cpu',
                median(rate.cpu_us for rate in rates[f'balancer.{direction}']),
                'us/packet',
            ),
        ]
    return figures


def _round_trip_figures(round_trips: dict[str, list[dict]]) -> list[Figure]:
    return [
        informative(
            f'datapath.added_{quantile[:-2]}',
            (
                median(
                    round_trip[quantile]
                    for round_trip in round_trips['balancer']
                )
                - median(
                    round_trip[quantile] for round_trip in round_trips['bare']
                )
            )
            * 1e6,
            'us',
        )
        for quantile in ('p50_s', 'p99_s')
    ]


def run() -> list[Figure]:
    """Run the benchmark and return its figures."""
    with tempfile.TemporaryDirectory(prefix='ibispitch-bench-') as folder:
        return asyncio.run(measure(Path(folder)))


if __name__ == '__main__':
    for figure in run():
        print(figure)
