"""The agent program: membership, packet path, administration, stop."""

import asyncio
import random
import time

from aiohttp import web
import click
import msgspec
import reactivex
from reactivex.scheduler.eventloop import AsyncIOScheduler

from ibispitch.agent.datapath import DataPath
from ibispitch.agent.handover import HandoverServer
from ibispitch.agent.handover import LateDatagram
from ibispitch.agent.handover import take_over
from ibispitch.ids import Address
from ibispitch.ids import parse_address
from ibispitch.membership.client import MembershipClient
from ibispitch.membership.reader import read_peer_addresses
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import MemberState
from ibispitch.program import EXIT_FAILED
from ibispitch.program import make_command
from ibispitch.program import StopRequest
from ibispitch.program import wait_for_first
from ibispitch.program import wait_until
from ibispitch.settings.programs import AgentSettings
from ibispitch.store import StoreClient
from ibispitch.telemetry import log
from ibispitch.telemetry import Metrics
from ibispitch.telemetry import setup_logs
from ibispitch.telemetry import Severity
from ibispitch.wire import Keyring
from ibispitch.wire import WireError

TICK_INTERVAL_S = 0.02
#: Interval at which a draining agent moves flows.
DRAIN_CHECK_INTERVAL_S = 0.1
#: Time in which the other agents learn that an agent is draining. It moves
#: no flows until this time has passed.
VIEW_PROPAGATION_S = 1.5
#: Bounds the registrations that other upstreams receive at the same time.
MOVES_PER_CHECK = 20


def own_record(settings: AgentSettings, incarnation: int) -> AgentRecord:
    """Return the initial record of this process."""
    return AgentRecord(
        agent_id=settings.agent_id,
        service=settings.service,
        datacentre=settings.datacentre,
        address=settings.parsed_data_address,
        incarnation=incarnation,
        sequence=0,
        state=MemberState.ACTIVE,
        slots=settings.slots,
        connections=settings.connections,
        parent='',
        admin_address=parse_address(settings.admin_address),
    )


class AgentState(msgspec.Struct):
    """Answer to ``/v1/state`` of an agent.

    :param limit: current concurrency limit.
    :param view_version: version of the newest view.
    :param parent: control address of the parent, empty without one.
    """

    agent_id: str
    service: str
    datacentre: str
    flows: int
    exceptions: int
    in_flight: int
    queued: int
    limit: float
    is_draining: bool
    view_version: int
    parent: str
    counters: dict[str, int]


class Agent:
    """An agent process.

    :param settings: settings of the process.
    """

    def __init__(self, settings: AgentSettings):
        self._settings = settings
        self._metrics = Metrics(settings.metrics, settings.agent_id)
        self._keyring = Keyring(settings.decoded_shared_keys)
        self._store = StoreClient(
            settings.store.endpoints, settings.store.timeout_s
        )
        record = own_record(settings, time.time_ns())
        self._client = MembershipClient(
            record,
            [parse_address(seed) for seed in settings.seeds],
            self._keyring,
            self._metrics,
            find_peers=self._find_peers,
        )
        self._record = record
        self.data_path: DataPath | None = None
        control = parse_address(settings.control_address)
        self._control = control
        self.handover = HandoverServer(
            record.agent_id,
            control,
            self._keyring,
            lambda: self.data_path.export(),
            lambda snapshot: self.data_path.resume(snapshot),
            self._release,
        )
        self._metrics.gauge(
            'agent.control_bytes_sent', lambda: self.data_path.peers.bytes_sent
        )
        self._subscriptions: list = []
        self._runner: web.AppRunner | None = None

    async def _find_peers(self) -> list[Address]:
        return await read_peer_addresses(
            self._store, self._settings.store.cluster
        )

    async def start(self) -> None:
        """Take over from a running agent, or start without state.

        :raises OSError: if an address cannot be bound.
        :raises EOFError: if the other end closed the stream during a
            handover.
        :raises TimeoutError: if a handover took too long.
        :raises WireError: if the stream failed during a handover.
        """
        takeover = await take_over(
            self._record.agent_id, self._control, self._keyring
        )
        self.data_path = DataPath(
            self._record,
            parse_address(self._settings.upstream_address),
            self._keyring,
            self._metrics,
            self._client.may_act,
            lambda: self._client.lease.is_superseded,
            random.Random(),
            is_takeover=takeover is not None,
        )
        if takeover is not None:
            self.data_path.bind(takeover.snapshot)
            late = await takeover.confirm()
            self.data_path.restore(takeover.snapshot, late)
        await self.handover.start()
        await self._start_admin()
        scheduler = AsyncIOScheduler(asyncio.get_running_loop())
        self._subscriptions = [
            self._client.views.subscribe(self.data_path.on_view),
            self._client.pauses.subscribe(
                lambda _: self.data_path.on_paused()
            ),
            reactivex.interval(TICK_INTERVAL_S, scheduler=scheduler).subscribe(
                lambda _: self.data_path.tick()
            ),
        ]
        await self._client.start()
        log(
            Severity.INFO,
            'agent.started',
            agent=self._settings.agent_id,
            service=self._settings.service,
        )

    async def _start_admin(self) -> None:
        app = web.Application()
        app.add_routes(
            [
                web.get('/v1/state', self._handle_state),
                web.get('/metrics', self._handle_metrics),
                web.get('/healthz', self._handle_health),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        ip, port = parse_address(self._settings.admin_address)
        await web.TCPSite(self._runner, ip, port).start()

    @property
    def is_superseded(self) -> bool:
        """Whether a later process, not a successor, has the agent id."""
        return (
            self._client.lease.is_superseded
            and not self.handover.done.is_set()
        )

    async def _release(self) -> list[LateDatagram]:
        """Close all addresses that a successor binds, without leaving.

        :returns: the datagrams that arrived since the export.
        """
        for subscription in self._subscriptions:
            subscription.dispose()
        runner, self._runner = self._runner, None
        if runner is not None:
            await runner.cleanup()
        return self.data_path.release()

    def state(self) -> AgentState:
        """Return the current state."""
        cores = self.data_path.cores
        view = self._client.view
        return AgentState(
            agent_id=self._settings.agent_id,
            service=self._settings.service,
            datacentre=self._settings.datacentre,
            flows=cores.affinity.flow_count if cores else 0,
            exceptions=cores.affinity.exception_count if cores else 0,
            in_flight=cores.admission.in_flight if cores else 0,
            queued=cores.admission.queued if cores else 0,
            limit=cores.admission.limit.value if cores else 0.0,
            is_draining=cores.affinity.is_draining if cores else False,
            view_version=view.version if view else 0,
            parent=str(self._client.parent or ''),
            counters=self._metrics.labelled_totals()
            | {'agent.control_bytes_sent': self.data_path.peers.bytes_sent},
        )

    async def _handle_state(self, _: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(self.state()),
            content_type='application/json',
        )

    async def _handle_metrics(self, _: web.Request) -> web.Response:
        return web.Response(
            body=self._metrics.scrape(), content_type='text/plain'
        )

    async def _handle_health(self, _: web.Request) -> web.Response:
        is_serving = self.data_path.cores is not None
        return web.Response(status=200 if is_serving else 503)

    async def drain(self) -> None:
        """Adopt no new flows, and move owned flows to other agents.

        Flows with running requests, and flows of a protocol that does not
        support moves, are served until the deadline.
        """
        log(Severity.INFO, 'agent.draining', flows=self.state().flows)
        self.data_path.drain()
        self._client.set_state(MemberState.DRAINING)
        end = time.monotonic() + self._settings.stop_deadline_s
        await asyncio.sleep(VIEW_PROPAGATION_S)
        while time.monotonic() < end:
            if not self.data_path.move_flows(MOVES_PER_CHECK):
                break
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        log(Severity.INFO, 'agent.drained', flows=self.state().flows)

    async def stop(self) -> None:
        """Leave, unless a successor took over, and close all resources."""
        if self.handover.done.is_set():
            await self._client.stop()
        else:
            await self._client.leave()
        self.handover.close()
        await self._release()
        await self._store.close()
        self._metrics.shutdown()
        log(Severity.INFO, 'agent.stopped', agent=self._settings.agent_id)


async def run(settings: AgentSettings) -> None:
    """Run an agent until it is stopped, replaced or superseded."""
    setup_logs(settings.log, settings.agent_id)
    stop = StopRequest()
    stop.install()
    agent = Agent(settings)
    try:
        await agent.start()
    except (OSError, WireError, EOFError, TimeoutError) as error:
        click.echo(
            f'{settings.agent_id}: cannot start the agent: {error!r}; stop '
            'the process that holds the addresses, or try again',
            err=True,
        )
        raise SystemExit(EXIT_FAILED) from error
    await wait_for_first(
        stop.wait(),
        agent.handover.done.wait(),
        wait_until(lambda: agent.is_superseded),
    )
    if agent.is_superseded:
        # Another process has this agent id; it owns the flows now.
        log(
            Severity.ERROR,
            'agent.superseded',
            agent=settings.agent_id,
            remedy='give each process an agent_id of its own',
        )
        raise SystemExit(EXIT_FAILED)
    if not agent.handover.done.is_set():
        await agent.drain()
    await agent.stop()


main = make_command(
    'ibispitch-agent',
    'Owns the flows and requests of the upstream on this host.',
    AgentSettings,
    run,
)
