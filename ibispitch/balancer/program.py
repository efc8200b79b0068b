"""The balancer program: membership, packet path, administration, stop."""

import asyncio
import random
import time
from typing import Any

from aiohttp import web
import reactivex
from reactivex.abc import DisposableBase
from reactivex.scheduler.eventloop import AsyncIOScheduler

from ibispitch.admin import Health
from ibispitch.admin import make_app
from ibispitch.balancer.forwarder import Forwarder
from ibispitch.catalogue.core import CatalogueState
from ibispitch.ids import parse_address
from ibispitch.membership.core import AgentChanged
from ibispitch.membership.core import CatalogueChanged
from ibispitch.membership.reader import CatalogueReader
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import BalancerRecord
from ibispitch.membership.records import MemberState
from ibispitch.membership.server import MembershipServer
from ibispitch.program import EXIT_FAILED
from ibispitch.program import make_command
from ibispitch.program import StopRequest
from ibispitch.program import wait_for_first
from ibispitch.program import wait_until
from ibispitch.routing import RoutingCore
from ibispitch.settings.programs import BalancerSettings
from ibispitch.store import StoreClient
from ibispitch.telemetry import log
from ibispitch.telemetry import Metrics
from ibispitch.telemetry import setup_logs
from ibispitch.telemetry import Severity
from ibispitch.wire import Keyring

#: A leaving balancer goes on until no packet came for this long.
QUIET_S = 1.0
QUIET_CHECK_S = 0.1
#: An address that could not be bound is tried again this often.
BIND_INTERVAL_S = 5.0


def own_record(settings: BalancerSettings, incarnation: int):
    """Return the first record of this process."""
    return BalancerRecord(
        balancer_id=settings.balancer_id,
        datacentre=settings.datacentre,
        address=settings.parsed_data_address,
        control_address=parse_address(settings.control_address),
        admin_address=parse_address(settings.admin_address),
        incarnation=incarnation,
        sequence=0,
        state=MemberState.ACTIVE,
    )


class Balancer:
    """One balancer process; it gives its state to the administration API.

    :param settings: its settings.
    """

    def __init__(self, settings: BalancerSettings):
        self.settings = settings
        self.metrics = Metrics(settings.metrics, settings.balancer_id)
        keyring = Keyring(settings.decoded_shared_keys)
        self.catalogue = CatalogueState()
        self.routing = RoutingCore()
        self.store = StoreClient(
            settings.store.endpoints, settings.store.timeout_s
        )
        self.server = MembershipServer(
            own_record(settings, time.time_ns()),
            [parse_address(seed) for seed in settings.seeds],
            keyring,
            self.catalogue,
            self.metrics,
            random.Random(),
        )
        self.reader = CatalogueReader(
            self.server, self.store, settings.store.cluster, self.metrics
        )
        for read in ('taken_in', 'sent_back'):
            self.metrics.gauge(
                f'balancer.{read}',
                lambda read=read: getattr(self.forwarder, read),
            )
        self.forwarder = Forwarder(
            keyring,
            settings.parsed_data_address,
            self.routing.route,
            self.metrics,
            settings.service_bind == 'host',
        )
        self.balancer_id = settings.balancer_id
        self.is_leaving = False
        self._services: set[str] = set()
        self._runner: web.AppRunner | None = None
        self._binding: DisposableBase | None = None

    async def start(self) -> None:
        """Join the other balancers and forward packets."""
        self.server.changes.subscribe(self._on_change)
        await self._start_admin()
        await self.server.start()
        await self.reader.start()
        scheduler = AsyncIOScheduler(asyncio.get_running_loop())
        self._binding = reactivex.interval(
            BIND_INTERVAL_S, scheduler=scheduler
        ).subscribe(
            lambda _: self.forwarder.set_entries(
                self.catalogue.entries().values()
            )
        )
        log(
            Severity.INFO,
            'balancer.started',
            balancer=self.settings.balancer_id,
        )

    async def _start_admin(self) -> None:
        app = make_app(
            self,
            self.store,
            self.settings.store.cluster,
            self.settings.tokens,
            self.metrics.scrape,
        )
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        ip, port = parse_address(self.settings.admin_address)
        await web.TCPSite(self._runner, ip, port).start()

    def health(self) -> Health:
        """Return whether this balancer wants packets."""
        if self.is_leaving:
            return Health(False, 'leaving; send packets to others')
        if self.catalogue.entries():
            return Health(True)
        if self.reader.is_store_reachable or not self.reader.rank == 0:
            return Health(False, 'no entry is known; create one')
        return Health(
            False,
            'no entry is known and the store does not answer; '
            'bring the store back or start a balancer that knows entries',
        )

    def balancers(self) -> list[BalancerRecord]:
        """Return the known balancers, this one included."""
        return list(self.server.core.balancers.values())

    def agents(self) -> list[AgentRecord]:
        """Return the known agents."""
        return list(self.server.core.agents.values())

    def counters(self) -> dict[str, int]:
        """Return the counters of this process by name."""
        counters = self.metrics.labelled_totals()
        counters['balancer.taken_in'] = self.forwarder.taken_in
        counters['balancer.sent_back'] = self.forwarder.sent_back
        return counters

    def _on_change(self, change: Any) -> None:
        if isinstance(change, AgentChanged):
            self.routing.set_agent(change.record)
        elif isinstance(change, CatalogueChanged):
            self._on_catalogue()

    def _on_catalogue(self) -> None:
        entries = self.catalogue.entries()
        for service in self._services - entries.keys():
            self.routing.set_entry(service, False)
        for service in entries.keys() - self._services:
            self.routing.set_entry(service, True)
        self._services = set(entries)
        states = self.catalogue.datacentres()
        out = self.catalogue.datacentres_out
        for name in states:
            self.routing.set_datacentre(name, name in out)
        self.forwarder.set_entries(entries.values())

    async def leave(self) -> None:
        """Publish LEAVING and forward until packets stop to come."""
        self.is_leaving = True
        self.server.set_state(MemberState.LEAVING)
        log(Severity.INFO, 'balancer.leaving')
        end = time.monotonic() + self.settings.stop_deadline_s
        packets, changed = -1, time.monotonic()
        while time.monotonic() < min(end, changed + QUIET_S):
            if self.forwarder.taken_in != packets:
                packets, changed = self.forwarder.taken_in, time.monotonic()
            await asyncio.sleep(QUIET_CHECK_S)

    async def stop(self) -> None:
        """Close everything."""
        if self._binding is not None:
            self._binding.dispose()
        await self.reader.stop()
        await self.server.stop()
        if self._runner is not None:
            await self._runner.cleanup()
        self.forwarder.close()
        await self.store.close()
        self.metrics.shutdown()
        log(
            Severity.INFO,
            'balancer.stopped',
            balancer=self.settings.balancer_id,
        )


async def run(settings: BalancerSettings) -> None:
    """Run a balancer until it is asked to stop."""
    setup_logs(settings.log, settings.balancer_id)
    stop = StopRequest()
    stop.install()
    balancer = Balancer(settings)
    await balancer.start()
    await wait_for_first(
        stop.wait(), wait_until(lambda: balancer.server.core.is_superseded)
    )
    if balancer.server.core.is_superseded:
        log(
            Severity.ERROR,
            'balancer.superseded',
            balancer=settings.balancer_id,
            remedy='give each process a balancer_id of its own',
        )
        raise SystemExit(EXIT_FAILED)
    await balancer.leave()
    await balancer.stop()


main = make_command(
    'ibispitch-balancer',
    'Forwards the packets of callers to the agents of their service.',
    BalancerSettings,
    run,
)
