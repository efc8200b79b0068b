"""A deployment of real processes on loopback on a simulated platform.

Balancers and agents are real processes; the routers, the store, upstreams and
callers are simulated in this process. See also
:class:`testbed.flow_network.FlowNetwork`, which runs the same programs in
simulated time.
"""

import asyncio
from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterable
from contextlib import AsyncExitStack
import json
import os
from pathlib import Path
import random
import signal
import sys
from typing import Any

from ibispitch.datagrams import DatagramSocket
from ibispitch.ids import Address
from ibispitch.platform.http import HttpClient
from ibispitch.platform.http import Request
from ibispitch.platform.http import Response
from ibispitch.platform.http import serve
from testbed import flow_packets as packets
from testbed.flow_callers import FlowCaller
from testbed.flow_platform import heartbeat_of
from testbed.flow_platform import HEARTBEAT_PORT
from testbed.flow_platform import OUTBOUND_PORT
from testbed.flow_platform import PACKET_PORT
from testbed.flow_platform import PlatformStandIn
from testbed.flow_platform import PROBE_INTERVAL_S
from testbed.flow_platform import READY_PORT
from testbed.flow_platform import RequestKind
from testbed.flow_platform import RESTART_DELAY_S
from testbed.flow_platform import settings_text
from testbed.flow_platform import UPSTREAM_PORT
from testbed.flow_upstream import FlowUpstream
from testbed.relay import TcpRelay
from testbed.store_server import StoreServer

#: Shorter than in the settings, so that short runs include more heartbeats.
HEARTBEAT_INTERVAL_S = 0.4
CALL_TIMEOUT_S = 1.0
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
STORE_PORT = 18169


class ProcessHost:
    """A host with one process of the product.

    :param role: ``balancer`` or ``agent``.
    :param service: service of the upstream, for agents.
    """

    def __init__(self, role, name, ip, datacentre, service=None):
        self.role = role
        self.name = name
        self.ip = ip
        self.datacentre = datacentre
        self.service = service
        self.process: asyncio.subprocess.Process | None = None
        self.is_ready = False
        self.upstream: FlowUpstream | None = None
        #: Sockets of the upstream, closed when it ends.
        self.upstream_stack: AsyncExitStack | None = None
        #: Relay between this process and the store.
        self.relay: TcpRelay | None = None
        #: Folder with the packages that the process runs, ``None`` for those
        #: of this version.
        self.packages: Path | None = None
        self.log_path: Path | None = None
        #: Number of starts, without those that were stopped before the program
        #: ran.
        self.starts = 0
        #: Exit codes of unexpected exits and of planned stops that failed.
        self.exits: list[int] = []

    def log_lines(self) -> list[dict]:
        """Return the records in the log of the process so far."""
        text = self.log_path.read_text(errors='replace')
        return [
            json.loads(line)
            for line in text.splitlines()
            if line.startswith('{') and line.endswith('}')
        ]


async def call(address: Address, method, path, body=b'') -> Response | None:
    """Return the response to an HTTP call, ``None`` without one."""
    client = HttpClient(address)
    try:
        return await client.call(method, path, body, CALL_TIMEOUT_S)
    except (OSError, TimeoutError):
        return None
    finally:
        client.close()


class FlowProcesses(PlatformStandIn):
    """A deployment of real processes.

    :param folder: folder for settings files and logs.
    :param network: third byte of all addresses, unique to a deployment.
    :param balancers: data centre of each balancer.
    :param agents: data centre and service of each agent.
    """

    def __init__(
        self,
        folder: Path,
        network: int,
        balancers: Iterable[str],
        agents: Iterable[tuple[str, str]],
        seed: int,
        work_s: float = 0.02,
    ):
        super().__init__()
        self.rng = random.Random(seed)
        self.upstreams: list[tuple[ProcessHost, FlowUpstream]] = []
        self.callers: list[FlowCaller] = []
        #: Balancer and time of each packet, by the caller's end of its flow.
        self.taken_by_caller: dict[Address, list[tuple[Any, float]]] = (
            defaultdict(list)
        )
        #: Share of the callers' packets that are lost or duplicated.
        self.loss = 0.0
        self.duplication = 0.0
        self.delay_s = 0.0
        self._folder = folder
        self._prefix = f'127.0.{network}'
        self._work_s = work_s
        self._stack = AsyncExitStack()
        self._tasks: list[asyncio.Task] = []
        self._loop = asyncio.get_running_loop()
        self.is_first_start = True
        self.balancers = [
            ProcessHost(
                'balancer', f'balancer-{name}-{index}',
                f'{self._prefix}.{index + 1}', name,
            )
            for index, name in enumerate(balancers)
        ]  # fmt: skip
        self.agents = [
            ProcessHost(
                'agent', f'agent-{name}-{index}',
                f'{self._prefix}.{index + 21}', name, service,
            )
            for index, (name, service) in enumerate(agents)
        ]  # fmt: skip

    @property
    def hosts(self) -> list[ProcessHost]:
        """All hosts."""
        return [*self.balancers, *self.agents]

    # Start and stop of processes.

    async def start(self, kinds: Iterable[RequestKind]) -> None:
        """Start all parts and wait until all balancers are ready.

        :raises TimeoutError: if they are not ready in time.
        """
        self.configure(1, kinds)
        store = Address(f'{self._prefix}.100', STORE_PORT)
        await self._stack.enter_async_context(StoreServer(self.store, store))
        for index, host in enumerate(self.hosts):
            listen = Address(f'{self._prefix}.{101 + index}', STORE_PORT)
            host.relay = TcpRelay(listen, store)
            await host.relay.start()
            self._stack.callback(host.relay.stop)
            host.log_path = self._folder / f'{host.name}.log'
            host.log_path.touch()
        for host in self.agents:
            await self.start_upstream(host)
        await asyncio.gather(*(self._start(host) for host in self.hosts))
        self._tasks.append(self._loop.create_task(self._probe_balancers()))
        async with asyncio.timeout(START_TIMEOUT_S):
            while not all(host.is_ready for host in self.balancers):
                await asyncio.sleep(0.05)
        self.is_first_start = False

    async def _start(self, host: ProcessHost) -> None:
        path = self._folder / f'{host.name}.conf'
        path.write_text(self.settings(host))
        host.starts += 1
        with host.log_path.open('ab') as log:
            host.process = await asyncio.create_subprocess_exec(
                sys.executable, '-m', 'ibispitch.platform', host.role,
                env=os.environ
                | {'IBISPITCH_BOOT': str(path), 'PYTHONFAULTHANDLER': '1'},
                cwd=host.packages, stdout=log, stderr=log,
            )  # fmt: skip

    def settings(self, host: ProcessHost, seeds: int = 3) -> str:
        """Return the text of a host's settings file."""
        return settings_text(
            host.name, host.ip, host.datacentre,
            [balancer.ip for balancer in self.balancers[:seeds]],
            service=host.service,
            is_first_start=self.is_first_start,
            store=host.relay.listen,
        )  # fmt: skip

    async def kill(
        self, host: ProcessHost, down_s: float = RESTART_DELAY_S
    ) -> None:
        """Kill a process and start it again after a delay."""
        host.process.kill()
        await host.process.wait()
        host.is_ready = False
        await asyncio.sleep(down_s)
        await self._start(host)

    async def restart(
        self, host: ProcessHost, down_s: float = RESTART_DELAY_S
    ) -> None:
        """Stop a process as planned and start it again after a delay.

        :raises TimeoutError: if it does not end in time.
        """
        host.process.terminate()
        async with asyncio.timeout(STOP_TIMEOUT_S):
            code = await host.process.wait()
        # A SIGTERM that arrives before the program runs ends the interpreter.
        is_early = code == -signal.SIGTERM and self._starts_logged(host) < (
            host.starts
        )
        if is_early:
            host.starts -= 1
        elif code:
            host.exits.append(code)
        await asyncio.sleep(down_s)
        await self._start(host)

    @staticmethod
    def _starts_logged(host: ProcessHost) -> int:
        lines = host.log_lines()
        return sum(line['event'] == 'process.started' for line in lines)

    async def pause(self, host: ProcessHost, for_s: float) -> None:
        """Suspend a process for some time."""
        host.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        host.process.send_signal(signal.SIGCONT)

    async def reload(self, host: ProcessHost) -> None:
        """Change the settings file of a process and signal it to reload."""
        path = self._folder / f'{host.name}.conf'
        path.write_text(self.settings(host, self.rng.randrange(1, 4)))
        host.process.send_signal(signal.SIGHUP)

    async def stop(self) -> None:
        """End all processes and all simulated parts."""
        for task in self._tasks:
            task.cancel()
        for host in self.hosts:
            if host.process is None:
                continue
            if host.process.returncode is not None:
                host.exits.append(host.process.returncode)
                continue
            host.process.kill()
            await host.process.wait()
        for _, upstream in self.upstreams:
            upstream.crash()
        # Wakes pending watch calls, so that they end before the loop does.
        self.store.write('op/end', None)
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        await self._stack.aclose()

    # Upstreams.

    async def start_upstream(self, host: ProcessHost, cold_s: float = 0.0):
        """Start an upstream on the host of an agent.

        An earlier upstream of the host must have ended.
        """
        stack = await self._stack.enter_async_context(AsyncExitStack())
        host.upstream_stack = stack
        upstream: FlowUpstream | None = None
        address = Address(host.ip, UPSTREAM_PORT)
        socket = DatagramSocket(lambda raw, _: upstream.receive(raw), address)
        outbound = Address(host.ip, OUTBOUND_PORT)
        upstream = host.upstream = FlowUpstream(
            self._loop, lambda raw: socket.send(raw, outbound), self.rng,
            work_s=self._work_s, cold_s=cold_s,
        )  # fmt: skip

        async def answer_check(_request: Request) -> Response:
            return Response(503 if upstream.is_draining else 200)

        errors: list[Exception] = []
        server = await serve(address, answer_check, errors.append)
        stack.callback(server.close)
        stack.callback(socket.close)
        self.upstreams.append((host, upstream))
        beats = self._send_heartbeats(host, upstream, stack)
        self._tasks.append(self._loop.create_task(beats))

    async def _send_heartbeats(self, host, upstream, stack) -> None:
        while upstream.is_alive:
            if not (upstream.is_frozen or upstream.has_left):
                body = heartbeat_of(host, upstream)
                path = f'/v1/instances/{upstream.name}'
                control = Address(host.ip, HEARTBEAT_PORT)
                await call(control, 'PUT', path, json.dumps(body).encode())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        await stack.aclose()

    async def replace_upstream(self, host, cold_s: float) -> None:
        """Crash the upstream of a host and start another one there."""
        host.upstream.crash()
        await host.upstream_stack.aclose()
        await asyncio.sleep(2 * HEARTBEAT_INTERVAL_S + CALL_TIMEOUT_S)
        await self.start_upstream(host, cold_s)

    async def drain_upstream(
        self, host, drain_s: float, exit_s: float = 0.0
    ) -> None:
        """Drain and deregister an upstream, then start another one there.

        :param exit_s: time from its deregistration to its end.
        """
        upstream = host.upstream
        upstream.is_draining = True
        await asyncio.sleep(drain_s)
        path = f'/v1/instances/{upstream.name}'
        upstream.has_left = True
        await call(Address(host.ip, HEARTBEAT_PORT), 'DELETE', path)
        await asyncio.sleep(exit_s)
        await self.replace_upstream(host, 0.0)

    # Routers and callers.

    async def _probe_balancers(self) -> None:
        async def probe(host: ProcessHost) -> None:
            address = Address(host.ip, READY_PORT)
            response = await call(address, 'GET', '/v1/readyz')
            self.record_probe(host, response)

        while True:
            await asyncio.gather(*map(probe, self.balancers))
            await asyncio.sleep(PROBE_INTERVAL_S)

    def add_caller(
        self, datacentre: str, kind: RequestKind, is_long: bool = False
    ) -> FlowCaller:
        """Add a caller of a data centre, with its own address."""
        ip = f'{self._prefix}.{130 + len(self.callers)}'
        caller: FlowCaller | None = None
        socket = DatagramSocket(
            lambda raw, _: caller.receive(raw), Address(ip, PACKET_PORT)
        )
        self._stack.callback(socket.close)
        caller = FlowCaller(
            self._loop, ip, kind.destination,
            lambda raw: self._from_caller(socket, datacentre, raw), self.rng,
            is_long, kind.kind == 'safe', kind.objective_s, kind.deadline_s,
        )  # fmt: skip
        self.callers.append(caller)
        return caller

    def _from_caller(self, socket, datacentre: str, raw: bytes) -> None:
        if self.rng.random() < self.loss:
            return
        host = self.choose_balancer(datacentre, raw)
        source = packets.parse(raw).source
        self.taken_by_caller[source].append((host, self._loop.time()))
        send: Callable = socket.send
        for _ in range(2 if self.rng.random() < self.duplication else 1):
            if self.delay_s:
                self._loop.call_later(
                    self.rng.uniform(0.0, self.delay_s),
                    send, raw, Address(host.ip, PACKET_PORT),
                )  # fmt: skip
            else:
                send(raw, Address(host.ip, PACKET_PORT))
