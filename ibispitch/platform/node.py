"""The common part of the balancer and agent programs on this platform.

It has the sockets, timers, status messages, transfer of routes and the stop.
The cores in the other packages make the decisions.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from itertools import chain
from itertools import islice
from itertools import repeat
import math
import signal
import sys

from ibispitch.datagrams import OnDatagram
from ibispitch.decisionlog import DecisionLog
from ibispitch.decisionlog import standard_output
from ibispitch.fleet.core import Fleet
from ibispitch.fleet.messages import BalancerStatus
from ibispitch.fleet.messages import decode_message
from ibispitch.fleet.messages import encode_message
from ibispitch.fleet.messages import Message
from ibispitch.fleet.messages import Status
from ibispitch.fleet.reports import START_S
from ibispitch.fleet.rounds import RoundReceivers
from ibispitch.fleet.rounds import RoundSchedule
from ibispitch.fleet.rounds import START_ROUND_INTERVALS_S
from ibispitch.fleet.rounds import STATUS_INTERVAL_S
from ibispitch.forwarding.frames import decode_frame
from ibispitch.forwarding.frames import Frame
from ibispitch.forwarding.packets import caller_ip
from ibispitch.forwarding.packets import FlowKey
from ibispitch.histograms import LatencyHistograms
from ibispitch.ids import Address
from ibispitch.platform.http import Handler
from ibispitch.platform.link import Link
from ibispitch.platform.metrics import Counters
from ibispitch.platform.metrics import Counts
from ibispitch.platform.metrics import Gauges
from ibispitch.platform.metrics import METRICS_PORT
from ibispitch.platform.metrics import MetricsPage
from ibispitch.platform.metrics import no_counters
from ibispitch.platform.routes import PlatformRoutes
from ibispitch.platform.settings import EXIT_SETTINGS
from ibispitch.platform.settings import load_settings
from ibispitch.platform.settings import NodeSettings
from ibispitch.platform.settings import SettingsError
from ibispitch.platform.traffic import FIRST_STATUS_BYTE
from ibispitch.platform.traffic import SentBytes
from ibispitch.platform.transport import BoundSocket
from ibispitch.platform.transport import Closable
from ibispitch.platform.transport import HostTransport
from ibispitch.platform.transport import Transport
from ibispitch.routes.core import RoutesCore
from ibispitch.routes.fetching import RouteFetches
from ibispitch.routes.fetching import RouteOffer
from ibispitch.routes.position import TablePosition
from ibispitch.routes.reader import RouteReader
from ibispitch.routes.reader_choice import poll_timing
from ibispitch.routes.reader_choice import PollTiming
from ibispitch.routes.source import RoutesOrigin
from ibispitch.settings.overload import ALL_OFF
from ibispitch.settings.overload import OverloadSettings

#: Interval of the cores' timers. Searches for flows and waiting openings are
#: checked again after this time.
TICK_INTERVAL_S = 0.02
#: Interval at which log lines are written.
LOG_FLUSH_INTERVAL_S = 0.1
#: Intervals at which the settings file is read again, normally and while no
#: balancer has a recent status. The platform corrects stale seeds within 3 s.
RELOAD_INTERVAL_S = 5.0
ALONE_RELOAD_INTERVAL_S = 1.0
#: Time for which a process of a fleet that starts for the first time waits for
#: the routes of other processes before it reads the store. Traffic starts 12 s
#: after the hosts, and hundreds of processes would read at the same time.
FIRST_START_WAIT_S = 3.0
#: Capacity of a link below which a restarted process asks others for the
#: routes before it reads the store. On 5 Mbit/s the store's uncompressed copy
#: of 1,700 routes takes 0.35 s, the compressed table of another process a
#: tenth of it.
SLOW_LINK_MBPS = 50.0
#: Time for which such a process waits for the routes of others.
PEER_ROUTES_WAIT_S = 0.3
#: Part of the time within which changes must be in force for which a balancer
#: waits for newer routes from its own data centre. Agents wait longer, so that
#: one balancer fetches the table for its data centre.
BALANCER_FAR_WAIT_SHARE = 0.05
AGENT_FAR_WAIT_SHARE = 0.2
#: Tolerance of the timer for this wait; a timer may fire slightly early.
FAR_WAIT_MARGIN_S = 0.005


class Node:
    """A process of the fleet.

    :param settings: its settings.
    :param transport: the host's sockets and clocks.
    :param log: log of decisions and changes.
    :param load: reads the settings again.
    :param overload: settings of the decisions under overload.
    """

    def __init__(
        self,
        settings: NodeSettings,
        transport: Transport,
        log: DecisionLog,
        load: Callable[[], NodeSettings] = load_settings,
        overload: OverloadSettings = ALL_OFF,
    ):
        self.settings = settings
        self.overload = overload
        self.log = log
        self.transport = transport
        self.clock = transport.clock
        self.fleet = Fleet(settings.ip)
        self.routes = RoutesCore()
        self._store_era = 0
        self.histograms = LatencyHistograms()
        self.started_ms = transport.unix_ms()
        self.started_at = transport.clock()
        self.is_stopping = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._load_settings = load
        self._settings_read_at = transport.clock()
        self._message_number = 0
        self.sent_bytes = SentBytes()
        self._rounds = RoundSchedule()
        self._random = transport.rng()
        self._is_halted = False
        self._caller_port = settings.packet_address.port
        self._peer_port = settings.peer_address.port
        self._far_wait_s = self._choose_far_wait_s()
        self._fetches = RouteFetches(self._far_wait_s)
        self._far_fetch: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task] = set()
        self._servers: list[Closable] = []
        self._packet_socket: BoundSocket | None = None
        self._peer_socket: BoundSocket | None = None
        self.link = Link(
            settings.link_mbps, self._send_datagram, self.clock, log,
            self.histograms,
        )  # fmt: skip
        self.on_message: Callable[[str, Message], None] | None = None
        self.on_frame: Callable[[str, Frame], None] | None = None
        self.on_routes: Callable[[RoutesOrigin], None] | None = None

    # Start and stop.

    def open(self, on_packet: OnDatagram) -> None:
        """Bind the datagram sockets.

        :raises OSError: if an address cannot be bound.
        """
        self._packet_socket = self.bind(
            on_packet, self.settings.packet_address
        )
        self._peer_socket = self.bind(
            self._receive_peer, self.settings.peer_address
        )

    def bind(self, on_datagram: OnDatagram, address: Address) -> BoundSocket:
        """Open a datagram socket."""
        return self.transport.bind(on_datagram, address)

    async def serve(self, address: Address, handler: Handler) -> None:
        """Serve HTTP requests at an address."""
        server = await self.transport.serve(
            address, handler, self._on_connection_error(address)
        )
        self._servers.append(server)

    def _on_connection_error(
        self, address: Address
    ) -> Callable[[Exception], None]:
        def log_error(error: Exception) -> None:
            self.log.change(
                'connection.failed', self.clock(), at_port=address.port,
                error=repr(error),
            )  # fmt: skip

        return log_error

    async def serve_routes(self) -> None:
        """Serve the route table to other processes."""
        self._servers.append(
            await self.transport.serve_table(
                self.settings.peer_address,
                lambda: self.routes.index and self.routes.index.table,
                self._on_connection_error(self.settings.peer_address),
            )
        )

    def start(self, work: Awaitable, is_essential: bool = False) -> None:
        """Run a coroutine in the background; a failure is logged.

        :param is_essential: whether the process stops after a failure, so
            that the platform starts it again.
        """
        task = asyncio.ensure_future(work)
        self._tasks.add(task)

        def finish(task: asyncio.Task) -> None:
            self._tasks.discard(task)
            if task.cancelled() or task.exception() is None:
                return
            self._loop.call_exception_handler(
                {'message': 'task failed', 'exception': task.exception()}
            )
            if is_essential:
                self.is_stopping.set()

        task.add_done_callback(finish)

    def every(self, interval_s: float, action: Callable[[], None]) -> None:
        """Call an action at intervals; a failure is logged, not fatal."""

        def run():
            if not self._is_halted:
                self._loop.call_later(interval_s, run)
                action()

        run()

    def every_round(self, action: Callable[[], None]) -> None:
        """Call an action at each round of status messages."""
        intervals_s = chain(START_ROUND_INTERVALS_S, repeat(STATUS_INTERVAL_S))

        def run():
            if not self._is_halted:
                self._loop.call_later(next(intervals_s), run)
                action()

        run()

    def handle_signals(self, on_reload: Callable[[], None]) -> None:
        """Stop on SIGTERM and SIGINT, read the settings on SIGHUP."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self.is_stopping.set)
        self._loop.add_signal_handler(signal.SIGHUP, on_reload)
        self._loop.set_exception_handler(self._log_exception)

    def _log_exception(self, _loop, context: dict) -> None:
        error = context.get('exception')
        self.log.change(
            'process.error', self.clock(), error=repr(error),
            message=context.get('message'),
            where=_raised_at(error),
        )  # fmt: skip

    def reload(self) -> None:
        """Read the settings file and apply what may change.

        The overload settings are read only at the start.
        """
        now = self.clock()
        try:
            settings = self._load_settings()
        except SettingsError as error:
            self.log.change('settings.refused', now, error=str(error))
            return
        # A process keeps its addresses until it exits.
        changed = self.settings._replace(
            seed_ips=settings.seed_ips, bounds=settings.bounds
        )
        if changed != self.settings:
            self.settings = changed
            self.log.change('settings.read', now, seeds=settings.seed_ips)

    def watch_settings(self) -> None:
        """Read the settings file again if its interval has passed.

        The file may change without a signal. A process whose seeds are all
        gone can learn of other processes only from the file.
        """
        now = self.clock()
        is_alone = not self.fleet.heard_balancers(now)
        interval_s = ALONE_RELOAD_INTERVAL_S if is_alone else RELOAD_INTERVAL_S
        if now - self._settings_read_at >= interval_s:
            self._settings_read_at = now
            self.reload()

    def halt(self) -> None:
        """Cancel all work of this process in the event loop.

        Other processes see the same as if the process had exited.
        """
        self._is_halted = True
        self.link.close()
        for task in self._tasks:
            task.cancel()

    def close(self) -> None:
        """Close sockets and servers."""
        self.halt()
        for server in self._servers:
            server.close()
        self.log.flush()

    async def serve_metrics(
        self, gauges: Gauges, counters: Counters = no_counters
    ) -> None:
        """Serve counters, histograms and gauges.

        :param gauges: returns the current values of the program by name.
        :param counters: returns its counts with labels.
        """

        def read_gauges() -> dict[str, float]:
            now = self.clock()
            return gauges() | {
                'routes_revision': self.routes.position.revision,
                'store_era': self.routes.position.era,
                'routes_age_seconds': self.routes.age_s(now),
                'balancers_heard': len(self.fleet.heard_balancers(now)),
                'series_left_out': self.histograms.left_out,
            }

        page = MetricsPage(
            self.log, self.histograms, read_gauges,
            lambda: chain(counters(), self._count_sent_bytes()),
        )  # fmt: skip
        address = Address(self.settings.ip, METRICS_PORT)
        await self.serve(address, page.answer)

    def _count_sent_bytes(self) -> Iterator[Counts]:
        yield Counts(
            'sent_bytes',
            'Bytes sent to other processes, by content and data centre',
            ('content', 'reach'),
            self.sent_bytes.count_by_name_and_reach,
        )

    # Peers.

    def add_seeds(self) -> None:
        """Add the hosts that the settings name as seeds to the fleet."""
        for ip in self.settings.seed_ips:
            self.fleet.add_balancer(ip, self.clock())

    def begin_round(self) -> RoundReceivers:
        """Begin a round of status messages.

        Silent processes are forgotten and seeds added again.

        :returns: the balancers that get a status in this round.
        """
        now = self.clock()
        for ip in self.fleet.forget(now):
            self.log.change('fleet.forgotten', now, peer=ip)
        self.watch_settings()
        self.add_seeds()
        near, far = self.fleet.split_balancers(self.settings.datacentre)
        return self._rounds.next(near, self._direct_only(far, now))

    def direct_receivers(self) -> list[str]:
        """Return the balancers to which this process sends its own status.

        Those of other data centres get it in a report, if there are any.
        """
        near, far = self.fleet.split_balancers(self.settings.datacentre)
        return [*near, *self._direct_only(far, self.clock())]

    def _direct_only(self, far: list[str], now: float) -> list[str]:
        """Return those balancers of other data centres without reports."""
        datacentre = self.settings.datacentre
        is_reported = bool(self.fleet.near_balancers(datacentre, now))
        if self._is_balancer and now - self.started_at >= START_S:
            # The last balancer of a data centre is its reporter.
            is_reported = True
        if not is_reported:
            return far
        return [ip for ip in far if not self.fleet.passes_on(ip)]

    def choose_to_ask(self, known: list[str], count: int) -> list[str]:
        """Return processes to ask for their status in a round.

        Those of which only the address is known come first.

        :param known: processes to choose from.
        :param count: number to choose of those without a status, and of
            ``known``.
        """
        chosen = (
            *islice(self.fleet.balancers_without_status(), count),
            *self._random.sample(known, min(count, len(known))),
        )
        return list(dict.fromkeys(chosen))

    def check_position(self, ip: str, status: BalancerStatus) -> None:
        """Fetch or confirm routes, by those that a balancer has.

        :param status: status of the balancer.
        """
        confirmed_at = self.clock() - status.age_s
        self.fetch_if_newer(ip, status.position, status.version, confirmed_at)
        if self.routes.record_confirmation(status.position, confirmed_at):
            self._on_routes_changed(RoutesOrigin.NEAR)

    def next_message_number(self) -> int:
        """Return the number of the next status message."""
        self._message_number += 1
        return self._message_number

    def send(self, message: Message, ips: list[str]) -> None:
        """Send a message to processes."""
        data = encode_message(message)
        for ip in ips:
            self.to_peer(ip, data)

    def send_status(
        self, ips: Iterable[str], make_status: Callable[[int], Status]
    ) -> None:
        """Send a status to processes in this and other data centres.

        :param make_status: returns the status for receivers that get the
            next one after the given number of rounds.
        """
        by_rounds: dict[int, list[str]] = {}
        for ip in ips:
            is_far = self.fleet.is_far(ip, self.settings.datacentre)
            rounds = (
                self._rounds.far_rounds
                if is_far
                else (self._rounds.near_rounds)
            )
            by_rounds.setdefault(rounds, []).append(ip)
        for rounds, receivers in by_rounds.items():
            self.send(make_status(rounds), receivers)

    def to_peer(self, ip: str, data: bytes) -> None:
        """Send a frame to another process of the fleet."""
        self.link.send_frame(ip, data)

    def _send_datagram(self, ip: str, data: bytes) -> None:
        is_far = self.fleet.is_far(ip, self.settings.datacentre)
        self.sent_bytes.record(data, is_far)
        self._peer_socket.send(data, (ip, self._peer_port))

    def to_caller(self, flow: FlowKey, data: bytes) -> None:
        """Send a packet to the caller of a flow."""
        self._packet_socket.send(data, (caller_ip(flow), self._caller_port))
        self.link.record_sent(len(data))

    def _receive_peer(self, data: bytes, sender: tuple[str, int]) -> None:
        if not data:
            return
        if data[0] >= FIRST_STATUS_BYTE:
            handle, decoded = self.on_message, decode_message(data)
        else:
            handle, decoded = self.on_frame, decode_frame(data)
        if decoded is None:
            self.log.change('peer.unreadable', self.clock(), peer=sender[0])
        else:
            handle(sender[0], decoded)

    # Routes.

    def make_route_reader(self) -> RouteReader:
        """Return a reader of the routes in the store."""
        store = self.transport.store(self.settings.store_address)
        bound_s = self.settings.bounds.configuration_s
        return RouteReader(
            self.routes, PlatformRoutes(store, self._log_unreadable),
            self.clock, self.log, self._on_routes_changed, bound_s,
            self._poll_timing, self.started_at + self._first_wait_s,
        )  # fmt: skip

    def _choose_far_wait_s(self) -> float:
        """Return how long routes of other data centres wait for near ones.

        Balancers of a data centre wait for different times, so that the
        others can fetch from the first one.
        """
        bound_s = self.settings.bounds.configuration_s
        if self._is_balancer:
            return (
                BALANCER_FAR_WAIT_SHARE
                * bound_s
                * self._random.uniform(0.5, 1.5)
            )
        return AGENT_FAR_WAIT_SHARE * bound_s

    @property
    def _is_balancer(self) -> bool:
        return self.settings.upstream_reply_address is None

    @property
    def _first_wait_s(self) -> float:
        """Time for which a process without routes waits for other processes.

        After a restart there is traffic, so it asks the store at once unless
        its link is slow.
        """
        if self.settings.is_first_start:
            return FIRST_START_WAIT_S
        is_slow = 0.0 < self.settings.link_mbps < SLOW_LINK_MBPS
        return PEER_ROUTES_WAIT_S if is_slow else 0.0

    def may_read_first(self) -> bool:
        """Return whether this process may read the store for others.

        When a whole fleet starts for the first time, all balancers are alone
        for a moment; only the seeds read the store then.
        """
        is_starting = self.clock() - self.started_at < self._first_wait_s
        return not is_starting or self.settings.ip in self.settings.seed_ips

    def _log_unreadable(self, name: str, problem: str, count: int) -> None:
        self.log.change(
            'routes.unreadable', self.clock(), name=name, problem=problem,
            count=count,
        )  # fmt: skip

    def _poll_timing(self) -> PollTiming:
        balancers = len(self.fleet.balancers_by_ip) + self._is_balancer
        return poll_timing(balancers)

    def fetch_if_newer(
        self,
        ip: str,
        position: TablePosition,
        version: int = 0,
        confirmed_at: float = -math.inf,
    ) -> None:
        """Fetch the routes of a process if they are newer.

        :param position: position of the routes of that process.
        :param version: version of its configuration, 0 if not known.
        :param confirmed_at: time at which the store confirmed its routes.
        """
        if not self.routes.is_newer(position, version):
            return
        offer = RouteOffer(
            ip, position, version, confirmed_at,
            self.fleet.is_far(ip, self.settings.datacentre),
        )  # fmt: skip
        is_urgent = (
            self.routes.index is None and not self.settings.is_first_start
        )
        if self._fetches.offer(offer, self.clock(), is_urgent) is not None:
            self.start(self._fetch(offer))
        elif offer.is_far and self._far_fetch is None:
            self._far_fetch = self._loop.call_later(
                self._far_wait_s + FAR_WAIT_MARGIN_S, self._fetch_from_far
            )

    def _fetch_from_far(self) -> None:
        """Fetch routes of another data centre if none here has them."""
        self._far_fetch = None
        if self._is_halted:
            return
        offer = self._fetches.due(self.clock())
        if offer is None:
            return
        if self.routes.is_newer(offer.position, offer.version):
            self.start(self._fetch(offer))
        else:
            self._fetches.end(offer)

    async def _fetch(self, offer: RouteOffer) -> None:
        try:
            table = await self.transport.fetch_table(
                Address(offer.ip, self._peer_port)
            )
        except (OSError, TimeoutError, ValueError) as error:
            self.log.change(
                'routes.fetch_failed', self.clock(), peer=offer.ip,
                error=repr(error),
            )  # fmt: skip
            return
        finally:
            self._fetches.end(offer)
        is_changed = self.routes.merge(table, self.clock())
        is_confirmed = self.routes.record_confirmation(
            offer.position, offer.confirmed_at
        )
        if is_changed or is_confirmed:
            self._on_routes_changed(
                RoutesOrigin.FAR if offer.is_far else RoutesOrigin.NEAR
            )

    def _on_routes_changed(
        self, origin: RoutesOrigin = RoutesOrigin.STORE
    ) -> None:
        table = self.routes.index.table
        now = self.clock()
        if self._store_era not in (0, table.era):
            self.log.change(
                'store.restored', now, era=table.era,
                former_era=self._store_era, revision=table.revision,
                held_out=sorted(table.held_out),
            )  # fmt: skip
        self._store_era = table.era
        self.log.change(
            'routes.changed', now, era=table.era, revision=table.revision,
            version=table.version, routes=len(table.routes),
            out=sorted(table.all_out), origin=origin.value,
        )  # fmt: skip
        self.on_routes(origin)


def _raised_at(error: BaseException | None) -> str:
    """Return the file and line where an exception was raised."""
    trace = error.__traceback__ if error is not None else None
    if trace is None:
        return ''
    while trace.tb_next is not None:
        trace = trace.tb_next
    return f'{trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}'


def run_node(
    work: Callable[[Node], Awaitable[None]],
    overload: OverloadSettings = ALL_OFF,
) -> None:
    """Run a process until it is stopped.

    Exits with 2 if the settings are missing or malformed.

    :param work: runs the program of a node.
    :param overload: settings of the decisions under overload.
    """
    try:
        settings = load_settings()
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        raise SystemExit(EXIT_SETTINGS) from None

    async def run():
        transport = HostTransport()
        log = DecisionLog(
            settings.name,
            lambda: transport.unix_ms() / 1000,
            standard_output(),
        )
        node = Node(settings, transport, log, overload=overload)
        node.log.change(
            'process.started', node.clock(), ip=settings.ip,
            datacentre=settings.datacentre, service=settings.service,
            first_start=settings.is_first_start,
        )  # fmt: skip
        modes = {
            name: section.mode.value
            for name, section in overload._asdict().items()
        }
        node.log.change('overload.settings', node.clock(), **modes)
        node.every(LOG_FLUSH_INTERVAL_S, node.log.flush)
        node.handle_signals(node.reload)
        await work(node)
        node.log.change('process.stopped', node.clock())
        node.close()

    asyncio.run(run())
