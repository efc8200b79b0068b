"""Small deployment of the project's programs for the review's scripts.

The programs run as separate processes on loopback, with the commands of
``deploy/system.toml``. Routers, store, servers and clients are the project's
own stand-ins from ``testbed``; here they are given what the platform's pages
say and the stand-ins leave out (all fields of a heartbeat, the command line
of the deploy file, and servers that turn cold while an evacuation lasts).
"""

import asyncio
from collections import Counter
import json
import os
from pathlib import Path
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback

REPOSITORY = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(REPOSITORY / 'target' / 'deps'), str(REPOSITORY)]

from ibispitch.ids import Address  # noqa: E402
from testbed.flow_platform import HEARTBEAT_PORT  # noqa: E402
from testbed.flow_platform import OUTBOUND_PORT  # noqa: E402
from testbed.flow_platform import PACKET_PORT  # noqa: E402
from testbed.flow_platform import PEER_PORT  # noqa: E402
from testbed.flow_platform import READY_PORT  # noqa: E402
from testbed.flow_platform import RequestKind  # noqa: E402
from testbed.flow_platform import UPSTREAM_PORT  # noqa: E402
from testbed.flow_processes import call  # noqa: E402
from testbed.flow_processes import FlowProcesses  # noqa: E402
from testbed.flow_processes import STORE_PORT  # noqa: E402

METRICS_PORT = 9100
HEARTBEAT_S = 0.8
STABILITY_S = 4.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
#: The destination stands only in the packets; nothing is sent to it.
FEED = RequestKind('safe', 'counter', Address('127.198.0.1', 443), 0.5, 4.0, 2)


def has_trouble() -> bool:
    """Return whether the disruption of the case is wanted."""
    return os.environ.get('TROUBLE', '1') != '0'


def free_network(rng: random.Random) -> int:
    """Return a third byte whose loopback addresses have free ports."""
    tcp = (READY_PORT, HEARTBEAT_PORT, UPSTREAM_PORT, METRICS_PORT, PEER_PORT,
           STORE_PORT)  # fmt: skip
    udp = (PACKET_PORT, PEER_PORT, OUTBOUND_PORT, UPSTREAM_PORT)
    for network in rng.sample(range(80, 250), 170):
        try:
            for last in (1, 2, 3, 21, 22, 23, 24, 25, 26, 100, 101, 130):
                for kind, ports in (
                    (socket.SOCK_STREAM, tcp),
                    (socket.SOCK_DGRAM, udp),
                ):
                    for port in ports:
                        with socket.socket(socket.AF_INET, kind) as one:
                            one.bind((f'127.0.{network}.{last}', port))
        except OSError:
            continue
        return network
    raise OSError('no network of loopback addresses is free')


def role_command(role: str) -> list[str]:
    """Return the command of a role in the deploy file."""
    text = (REPOSITORY / 'deploy' / 'system.toml').read_text()
    return tomllib.loads(text)['roles'][role]['run'].split()


class Deployment(FlowProcesses):
    """The project's stand-in deployment, closer to the platform's pages."""

    def __init__(self, folder, balancers, agents, record):
        rng = random.Random()
        super().__init__(folder, free_network(rng), balancers, agents, 1)
        self.record = record

    def settings(self, host, seeds: int = 3) -> str:
        """Return the settings file, with further fields of the pages."""
        on = 'front' if host.role == 'balancer' else 'side'
        serves = 'front,control' if on == 'front' else 'side'
        return super().settings(host, seeds) + (
            f'\nrole={host.role}\nmachine_class={on}\nserves={serves}'
            '\nregion=gh-south\nloss_counts=false\ndiscovery=local'
            '\nentry=announce\nhash=mod\ndeploy_mode=agent'
            '\ncontracts=base,drain,config,cost,recover,flows,places,platform'
            '\nlimits.cores=1\nlimits.memory_mb=168\nlimits.max_fds=4096'
            '\nlimits.link_mbps=1000.0\nlimits.disk_mb=0'
            '\nfault_tolerance.machines=2\nfault_tolerance.zones=1'
            '\nbounds.ack_ms=5000\nbounds.drain_ms=3000'
            '\nbounds.recovery_s=12\nbounds.reorder_ms=2000'
            '\nbounds.flow_ttl_s=60\n'
        )

    async def start_process(self, host) -> None:
        """Start the process of a host with the command of its role."""
        path = self._folder / f'{host.name}.conf'
        path.write_text(self.settings(host))
        host.starts += 1
        libraries = str(REPOSITORY / 'target' / 'deps')
        with host.log_path.open('ab') as log:
            host.process = await asyncio.create_subprocess_exec(
                *role_command(host.role), cwd=REPOSITORY,
                env=os.environ
                | {'IBISPITCH_BOOT': str(path), 'PYTHONPATH': libraries},
                stdout=log, stderr=log,
            )  # fmt: skip

    async def _start(self, host) -> None:
        await self.start_process(host)

    async def _send_heartbeats(self, host, upstream, stack) -> None:
        upstream.born_ms = round(time.time() * 1000)
        while upstream.is_alive:
            body = upstream.heartbeat() | {
                'service': host.service, 'zone': host.datacentre,
                'address': f'{host.ip}:{UPSTREAM_PORT}', 'version': 'v1',
            }  # fmt: skip
            await self.beat(host, upstream.name, body)
            await asyncio.sleep(HEARTBEAT_S)
        await stack.aclose()

    async def beat(self, host, name: str, body: dict) -> int | None:
        """Send a heartbeat to the agent of a host and return the status."""
        control = Address(host.ip, HEARTBEAT_PORT)
        response = await call(
            control, 'PUT', f'/v1/instances/{name}', json.dumps(body).encode()
        )
        status = response.status if response else None
        self.record.write(f'{host.name} heartbeat {name} {body} -> {status}')
        return status


class Record:
    """The file ``record.txt`` of a case."""

    def __init__(self, folder: Path):
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._since = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the record began."""
        return time.monotonic() - self._since

    def write(self, text: str) -> None:
        """Write a line with the time."""
        self._file.write(f'{self.now:8.3f} {text}\n')
        self._file.flush()


class Case:
    """One run: long flows of clients, a disruption, and the check of FLOW.

    :param record: the record of the case.
    :param folder: temporary folder for settings and logs.
    :param balancers: zone of each balancer.
    :param agents: zone and service of each agent.
    """

    def __init__(self, record: Record, folder: Path, balancers, agents):
        self.record = record
        self.deployment = Deployment(folder, balancers, agents, record)
        self.loop = asyncio.get_running_loop()
        self._to_record = record.now - self.loop.time()
        self._started_at = 0.0
        #: Resets before this time are excused.
        self.judged_from = 0.0
        self.broken: list[str] = []
        #: Events that are copied from the logs of the processes.
        self.events = {
            'process.started', 'flow.reset', 'flows.saved', 'flows.restored',
            'upstream.state', 'upstream.flows_ended',
            'upstream.holds_no_earlier_flows',
        }  # fmt: skip

    async def at(self, second: float) -> None:
        """Wait until a time after the start of the processes."""
        until = self._started_at + second
        await asyncio.sleep(max(0.0, until - self.loop.time()))

    def add_clients(self, zone: str, count: int) -> list:
        """Add clients with one long flow each."""
        return [
            self.deployment.add_caller(zone, FEED, is_long=True)
            for _ in range(count)
        ]

    async def ask_steadily(self, callers: list) -> None:
        """Let clients send a request every 0.8 s."""
        while True:
            for caller in callers:
                caller.ask()
            await asyncio.sleep(0.8)

    async def run(self, play) -> list[str]:
        """Run the case and return the broken rules.

        :param play: coroutine function with the clients and the disruption.
        """
        try:
            await self.deployment.start((FEED,))
            self._started_at = self.loop.time()
            await play(self)
            self._check_flows()
            self._record_traffic()
            self._record_logs()
        finally:
            await self.deployment.stop()
            for host in self.deployment.hosts:
                end(host.process)
        return self.broken

    def _check_flows(self) -> None:
        """Check that no open flow of a live server was reset.

        The servers of these stand-ins send no resets.
        """
        for caller in self.deployment.callers:
            for flow in caller.reset_flows:
                host = self._owner_of(flow)
                text = (
                    f'flow {flow.address} was reset at'
                    f' {flow.reset_at + self._to_record:.3f}; its live server'
                    f' is on {host and host.name}'
                )
                self.record.write(text)
                if host is not None and flow.reset_at > self.judged_from:
                    self.broken.append(f'FLOW: {text}')

    def _owner_of(self, flow):
        """Return the host whose live server holds an open flow, if any."""
        for host, upstream in self.deployment.upstreams:
            if upstream.holds(flow.address):
                return host
        return None

    def _record_traffic(self) -> None:
        """Record what clients sent and got, and what servers ran."""
        upstreams = [upstream for _, upstream in self.deployment.upstreams]
        runs = Counter(run for upstream in upstreams for run in upstream.runs)
        for caller in self.deployment.callers:
            for request in caller.requests:
                at = 'never'
                if request.answered_at is not None:
                    at = f'{request.answered_at + self._to_record:.3f}'
                self.record.write(
                    f'request {request.name} of {caller.ip} sent at'
                    f' {request.asked_at + self._to_record:.3f}, from ports'
                    f' {[flow.port for flow in request.flows]}, answered at'
                    f' {at}, run {runs[request.body]} times'
                )

    def _record_logs(self) -> None:
        for host in self.deployment.hosts:
            for line in host.log_lines():
                if line['event'] in self.events:
                    self.record.write(f'log of {host.name}: {line}')


def run_case(folder: Path, balancers, agents, play) -> None:
    """Run a case and exit with its result.

    :param folder: folder of the case.
    :param play: see :meth:`Case.run`.
    """
    record = Record(folder)
    temporary = Path(tempfile.mkdtemp(prefix='review-'))

    async def run() -> list[str]:
        return await Case(record, temporary, balancers, agents).run(play)

    try:
        broken = asyncio.run(run())
    except Exception:  # noqa: BLE001 - any failure means that it did not run
        record.write(f'could not run: {traceback.format_exc()}')
        traceback.print_exc()
        code = COULD_NOT_RUN
    else:
        for line in broken:
            record.write(f'BROKEN {line}')
            sys.stdout.write(f'{line}\n')
        code = BROKEN if broken else HELD
        record.write(f'exit {code}')
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(code)


def end(process) -> None:
    """Kill a process that still runs."""
    if process is not None and process.returncode is None:
        process.send_signal(signal.SIGKILL)
