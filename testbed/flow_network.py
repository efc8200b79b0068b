"""A deployment on a simulated platform, in simulated time.

The real programs of balancers and agents run on simulated hosts. The routers,
which pick a balancer by hash modulo, links with delay and cuts, upstreams,
callers, the store and an operator are simulated as well. Faults are injected
from outside the programs, as with real processes.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
import json
import random

from ibispitch.decisionlog import DecisionLog
from ibispitch.ids import Address
from ibispitch.pacing.core import HEADER_BYTES
from ibispitch.platform.agent import Agent
from ibispitch.platform.balancer import Balancer
from ibispitch.platform.http import Request
from ibispitch.platform.http import Response
from ibispitch.platform.node import Node
from ibispitch.platform.settings import parse_settings
from ibispitch.platform.transport import ProbeResult
from ibispitch.settings.overload import OverloadSettings
from testbed.flow_callers import FlowCaller
from testbed.flow_callers import Outcome
from testbed.flow_platform import HEARTBEAT_INTERVAL_S
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
from testbed.memory_store import MemoryStoreClient

DELAY_IN_DATACENTRE_S = 0.0002
DELAY_BETWEEN_DATACENTRES_S = 0.001
DELAY_TO_CALLERS_S = 0.002
#: Data that a link queues, as time; a usual setting for slow links.
MAX_LINK_QUEUE_S = 0.02


class _Socket:
    def __init__(self, host: 'Host', address: Address):
        self._host = host
        self._address = address

    def send(self, data: bytes, address) -> None:
        self._host.network.deliver(self._host, Address(*address), data,
                                   self._address)  # fmt: skip

    def close(self) -> None:
        self._host.sockets.pop(self._address, None)


class _Server:
    def __init__(self, close: Callable[[], None]):
        self.close = close


class _HttpClient:
    def __init__(self, host: 'Host', address: Address):
        self._host = host
        self._address = address

    async def call(self, method, path, body, timeout_s) -> Response:
        upstream = self._host.upstream
        if self._address.port != UPSTREAM_PORT or upstream is None:
            raise ConnectionRefusedError('nothing listens')
        if not upstream.is_alive:
            raise ConnectionRefusedError('nothing listens')
        return Response(503 if upstream.is_draining else 200)

    def close(self) -> None:
        pass


class Host:
    """A simulated host with one process.

    It is also the transport of that process.
    """

    def __init__(
        self, network: 'FlowNetwork', name: str, ip: str, datacentre: str,
        service: str | None,
    ):  # fmt: skip
        self.network = network
        self.name = name
        self.ip = ip
        self.datacentre = datacentre
        self.service = service
        self.sockets: dict[Address, Callable] = {}
        self.handlers: dict[int, Callable] = {}
        self.tables: dict[int, Callable] = {}
        self.node: Node | None = None
        self.task: asyncio.Task | None = None
        self.upstream: FlowUpstream | None = None
        self.is_ready = False
        self.starts = 0
        #: Milliseconds by which its time of day differs from the true one.
        self.clock_step_ms = 0
        #: Time at which the link has sent everything in its queue.
        self.link_free_at = 0.0
        self.log_lines: list[dict] = []

    # Transport, see :class:`ibispitch.platform.transport.Transport`.

    def clock(self) -> float:
        """Return the time since the host's start."""
        return self.network.loop.now + 1000.0

    def unix_ms(self) -> int:
        """Return the time of day."""
        now_ms = round(self.network.loop.now * 1000) + 1_700_000_000_000
        return now_ms + self.clock_step_ms

    def rng(self) -> random.Random:
        """Return a random generator that is seeded from the network's."""
        return random.Random(self.network.rng.random())

    def bind(self, on_datagram, address: Address) -> _Socket:
        """Open a datagram socket."""
        self.sockets[address] = on_datagram
        return _Socket(self, address)

    async def serve(self, address: Address, handler, on_error) -> _Server:
        """Answer HTTP calls at an address."""
        self.handlers[address.port] = handler
        return _Server(lambda: self.handlers.pop(address.port, None))

    async def serve_table(self, address: Address, read, on_error) -> _Server:
        """Serve the route table to other processes."""
        self.tables[address.port] = read
        return _Server(lambda: self.tables.pop(address.port, None))

    async def fetch_table(self, address: Address):
        """Fetch the route table of another process."""
        other = self.network.host_by_ip[address.ip]
        await asyncio.sleep(2 * self.network.delay_s(self, other))
        read = other.tables.get(address.port)
        table = read() if read and self.network.reaches(self, other) else None
        if table is None:
            raise ConnectionResetError('no table')
        is_crossing = other.datacentre != self.datacentre
        self.network.fetched_tables[is_crossing] += 1
        return table

    def store(self, _address: Address) -> MemoryStoreClient:
        """Return a client of the store."""
        return MemoryStoreClient(self.network.store, self.name)

    async def probe(self, address: Address, timeout_s: float) -> ProbeResult:
        """Try to connect to an address."""
        if address.ip == self.ip and address.port == UPSTREAM_PORT:
            if self.upstream is not None and self.upstream.is_alive:
                return ProbeResult.ACCEPTED
            return ProbeResult.REFUSED
        other = self.network.host_by_ip.get(address.ip)
        if (
            other is None
            or not other.has_power
            or not self.network.reaches(self, other)
        ):
            await asyncio.sleep(timeout_s)
            return ProbeResult.NO_ANSWER
        await asyncio.sleep(2 * self.network.delay_s(self, other))
        return ProbeResult.REFUSED

    @property
    def has_power(self) -> bool:
        """Whether its process or its upstream runs."""
        is_upstream_alive = self.upstream is not None and (
            self.upstream.is_alive
        )
        return bool(self.sockets) or is_upstream_alive

    def http_client(self, address: Address) -> _HttpClient:
        """Return an HTTP client for health checks of the local upstream."""
        return _HttpClient(self, address)


class FlowNetwork(PlatformStandIn):
    """A simulated deployment.

    :param loop: the simulated event loop in which everything runs.
    :param datacentres: number of balancers by name of the data centre.
    :param agents: data centre and service of each agent.
    :param seed: seed of all random choices.
    :param slots: requests that each upstream runs at a time.
    :param work_s: mean time that an upstream works on a request.
    :param work_spread: see :class:`FlowUpstream`.
    """

    def __init__(
        self,
        loop,
        datacentres: dict[str, int],
        agents: Iterable[tuple[str, str]],
        seed: int = 1,
        slots: int = 1,
        work_s: float = 0.015,
        work_spread: float = 0.0,
    ):
        super().__init__()
        self.loop = loop
        self.rng = random.Random(seed)
        self.slots = slots
        self.work_s = work_s
        self.work_spread = work_spread
        self.host_by_ip: dict[str, Host] = {}
        self.agents: list[Host] = []
        self.caller_by_ip: dict[str, FlowCaller] = {}
        self.upstreams: list[tuple[Host, FlowUpstream]] = []
        self.cut_pairs: set[frozenset[str]] = set()
        self.loss = 0.0
        self.overload = OverloadSettings()
        #: Capacity of the link of each host, 0 for no limit.
        self.link_mbps = 0.0
        #: Bytes of datagrams sent, with headers, by host name.
        self.sent_bytes: Counter[str] = Counter()
        #: Bytes of datagrams between processes of different data centres.
        self.crossing_bytes = 0
        #: Route tables that processes fetched from others, by whether they
        #: came from another data centre.
        self.fetched_tables: Counter[bool] = Counter()
        #: Datagrams dropped because the queue of a link was full.
        self.link_queue_drops = 0
        #: Seed addresses in the settings; empty for the first balancers.
        self.seeds: list[str] = []
        self.is_first_start = True
        #: Longest delay of the first heartbeat of an upstream.
        self.first_heartbeat_s = 0.2
        numbers = {name: number for number, name in enumerate(datacentres, 1)}
        for name, count in datacentres.items():
            for index in range(count):
                ip = f'10.{numbers[name]}.0.{index + 1}'
                self.balancers.append(
                    self._add_host(f'balancer-{name}-{index}', ip, name, None)
                )
        for index, (name, service) in enumerate(agents):
            ip = f'10.{numbers[name]}.1.{index + 1}'
            self.agents.append(
                self._add_host(f'agent-{name}-{index}', ip, name, service)
            )

    def _add_host(self, name, ip, datacentre, service) -> Host:
        host = Host(self, name, ip, datacentre, service)
        self.host_by_ip[ip] = host
        return host

    # Start and stop of processes.

    async def start(self) -> None:
        """Start all parts and leave the balancers time to become ready."""
        for host in self.agents:
            self.start_upstream(host)
        for host in (*self.balancers, *self.agents):
            self.start_process(host)
        self.loop.create_task(self._probe_balancers())
        await asyncio.sleep(3.0)
        self.is_first_start = False

    def start_process(self, host: Host) -> None:
        """Start the process of a host."""
        host.starts += 1

        def load():
            return parse_settings(self._settings(host))

        log = DecisionLog(
            host.name,
            lambda: host.unix_ms() / 1000,
            lambda data: self._log(host, data),
        )
        host.node = Node(load(), host, log, load, self.overload)
        program = Balancer if host in self.balancers else Agent
        node = host.node
        host.node.every(0.1, lambda: log.flush())
        host.task = self.loop.create_task(self._run(host, program(node)))

    @staticmethod
    def _log(host: Host, data: bytes) -> int:
        host.log_lines.extend(json.loads(line) for line in data.splitlines())
        return len(data)

    async def _run(self, host: Host, program) -> None:
        await program.run()
        self._close_sockets(host)

    def kill(self, host: Host, down_s: float | None = RESTART_DELAY_S) -> None:
        """Kill a process and schedule its restart.

        :param down_s: delay of the restart, ``None`` for no restart.
        """
        host.node.halt()
        host.task.cancel()
        self._close_sockets(host)
        if down_s is not None:
            self.loop.call_later(down_s, self.start_process, host)

    def _close_sockets(self, host: Host) -> None:
        host.node.halt()
        host.sockets.clear()
        host.handlers.clear()
        host.tables.clear()

    async def stop(self, host: Host) -> None:
        """Stop a process as planned, wait for its end and start it again."""
        host.node.is_stopping.set()
        await host.task
        await asyncio.sleep(RESTART_DELAY_S)
        self.start_process(host)

    # Upstreams.

    def start_upstream(self, host: Host, cold_s: float = 0.0) -> FlowUpstream:
        """Start an upstream on the host of an agent."""
        upstream = FlowUpstream(
            self.loop, lambda raw: self._from_upstream(host, raw), self.rng,
            self.slots, work_s=self.work_s, cold_s=cold_s,
            work_spread=self.work_spread,
        )  # fmt: skip
        host.upstream = upstream
        self.upstreams.append((host, upstream))
        self.loop.create_task(self._send_heartbeats(host, upstream))
        return upstream

    async def _send_heartbeats(
        self, host: Host, upstream: FlowUpstream
    ) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, self.first_heartbeat_s))
        while upstream.is_alive:
            if upstream.is_frozen:
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)
                continue
            await self.send_heartbeat(
                host, upstream.name, heartbeat_of(host, upstream)
            )
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def send_heartbeat(
        self, host: Host, name: str, body: dict
    ) -> Response | None:
        """Send a heartbeat to the agent of a host."""
        path = f'/v1/instances/{name}'
        data = json.dumps(body).encode()
        return await self.call(host, HEARTBEAT_PORT, 'PUT', path, data)

    async def leave(self, host: Host, drain_s: float = 3.0) -> None:
        """Drain the upstream of a host, deregister it and end it."""
        upstream = host.upstream
        upstream.is_draining = True
        await asyncio.sleep(drain_s)
        path = f'/v1/instances/{upstream.name}'
        await self.call(host, HEARTBEAT_PORT, 'DELETE', path, b'')
        upstream.crash()

    async def call(self, host, port, method, path, body) -> Response | None:
        """Make an HTTP call to a process from its own host."""
        handler = host.handlers.get(port)
        if handler is None:
            return None
        return await handler(Request(method, path, body))

    def _from_upstream(self, host: Host, raw: bytes) -> None:
        address = Address(host.ip, OUTBOUND_PORT)
        self.loop.call_soon(self._receive, host, address, raw, address)

    # Datagrams.

    def reaches(self, one: Host, other: Host) -> bool:
        """Return whether two hosts can reach each other."""
        return frozenset((one.name, other.name)) not in self.cut_pairs

    def delay_s(self, one: Host, other: Host) -> float:
        """Return the delay of a datagram between two hosts."""
        is_near = one.datacentre == other.datacentre
        return (
            DELAY_IN_DATACENTRE_S if is_near else DELAY_BETWEEN_DATACENTRES_S
        )

    def deliver(self, host, address: Address, data: bytes, sender) -> None:
        """Deliver a datagram that a process has sent."""
        if address.port == UPSTREAM_PORT and address.ip == host.ip:
            upstream = host.upstream
            if upstream is not None:
                self.loop.call_soon(upstream.receive, data)
            return
        self.sent_bytes[host.name] += len(data) + HEADER_BYTES
        queue_s = self._queue_on_link(host, len(data))
        if queue_s is None or self.rng.random() < self.loss:
            return
        caller = self.caller_by_ip.get(address.ip)
        if caller is not None:
            self.loop.call_later(
                queue_s + DELAY_TO_CALLERS_S, caller.receive, data
            )
            return
        other = self.host_by_ip.get(address.ip)
        if other is not None and other.datacentre != host.datacentre:
            self.crossing_bytes += len(data) + HEADER_BYTES
        if other is not None and self.reaches(host, other):
            delay_s = queue_s + self.delay_s(host, other)
            self.loop.call_later(
                delay_s, self._receive, other, address, data, sender
            )

    def _queue_on_link(self, host: Host, size: int) -> float | None:
        """Return how long a datagram is queued and sent on a host's link.

        :returns: time in seconds, ``None`` if the queue is full.
        """
        if not self.link_mbps:
            return 0.0
        begin = max(self.loop.now, host.link_free_at)
        if begin - self.loop.now > MAX_LINK_QUEUE_S:
            self.link_queue_drops += 1
            return None
        took_s = 8 * (size + HEADER_BYTES) / (self.link_mbps * 1e6)
        host.link_free_at = begin + took_s
        return host.link_free_at - self.loop.now

    @staticmethod
    def _receive(host: Host, address: Address, data: bytes, sender) -> None:
        receive = host.sockets.get(address)
        if receive is not None:
            receive(data, sender)

    # Routers and callers.

    async def _probe_balancers(self) -> None:
        while True:
            for host in self.balancers:
                response = await self.call(
                    host, READY_PORT, 'GET', '/v1/readyz', b''
                )
                self.record_probe(host, response)
            await asyncio.sleep(PROBE_INTERVAL_S)

    def add_caller(
        self, datacentre: str, kind: RequestKind, is_long: bool = False
    ) -> FlowCaller:
        """Add a caller of a data centre.

        :param is_long: whether a flow serves many requests.
        """
        ip = f'100.64.{len(self.caller_by_ip) // 250}.' + str(
            len(self.caller_by_ip) % 250 + 1
        )
        caller = FlowCaller(
            self.loop, ip, kind.destination,
            lambda raw: self._from_caller(datacentre, raw), self.rng,
            is_long, kind.kind == 'safe', kind.objective_s, kind.deadline_s,
        )  # fmt: skip
        self.caller_by_ip[ip] = caller
        return caller

    def _from_caller(self, datacentre: str, raw: bytes) -> None:
        if self.rng.random() < self.loss:
            return
        host = self.choose_balancer(datacentre, raw)
        address = Address(host.ip, PACKET_PORT)
        self.loop.call_later(
            DELAY_TO_CALLERS_S, self._receive, host, address, raw, address
        )

    async def send_requests(
        self, callers: list[FlowCaller], per_s: float, for_s: float
    ) -> None:
        """Let random callers send requests at a mean rate."""
        until = self.loop.now + for_s
        while self.loop.now < until:
            self.rng.choice(callers).ask()
            await asyncio.sleep(self.rng.expovariate(per_s))

    def _settings(self, host: Host) -> str:
        return settings_text(
            host.name, host.ip, host.datacentre,
            self.seeds or [h.ip for h in self.balancers[:3]],
            service=host.service, is_first_start=self.is_first_start,
            link_mbps=self.link_mbps,
        )  # fmt: skip

    # Checks.

    def outcomes(
        self, since: float = 0.0, until: float = float('inf')
    ) -> dict[Outcome, int]:
        """Return the number of requests sent in a period, by outcome."""
        requests = [
            request
            for caller in self.caller_by_ip.values()
            for request in caller.requests
            if since <= request.asked_at < until
        ]
        return {
            outcome: sum(r.outcome is outcome for r in requests)
            for outcome in Outcome
        }

    def wrongly_reset_flows(self) -> list[Address]:
        """Return flows that were reset although an upstream has them open."""
        return [
            flow.address
            for caller in self.caller_by_ip.values()
            for flow in caller.reset_flows
            if any(up.holds(flow.address) for _, up in self.upstreams)
        ]

    def repeated_runs(self) -> int:
        """Return the number of runs of requests that had run before."""
        runs = [run for _, up in self.upstreams for run in up.runs]
        return len(runs) - len(set(runs))

    def max_openings(self, upstream: FlowUpstream, window_s: float) -> int:
        """Return the highest number of openings in any time window."""
        times = [opened.at for opened in upstream.openings]
        return max(
            (
                sum(start <= time < start + window_s for time in times)
                for start in times
            ),
            default=0,
        )

    def errors(self) -> list[dict]:
        """Return the log lines of unexpected errors in processes."""
        return [
            line
            for host in self.host_by_ip.values()
            for line in host.log_lines
            if line['event'] == 'process.error'
        ]
