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
import signal
import sys

from ibispitch.datagrams import OnDatagram
from ibispitch.decisionlog import DecisionLog
from ibispitch.decisionlog import standard_output
from ibispitch.fleet.core import Fleet
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
from ibispitch.platform.exchange import RouteExchange
from ibispitch.platform.http import Handler
from ibispitch.platform.link import Link
from ibispitch.platform.metrics import Counters
from ibispitch.platform.metrics import Counts
from ibispitch.platform.metrics import Gauges
from ibispitch.platform.metrics import METRICS_PORT
from ibispitch.platform.metrics import MetricsPage
from ibispitch.platform.metrics import no_counters
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
        self.histograms = LatencyHistograms()
        self.started_ms = transport.unix_ms()
        self.started_at = transport.clock()
        self.is_stopping = asyncio.Event()
        self.loop = asyncio.get_running_loop()
        self._load_settings = load
        self._settings_read_at = transport.clock()
        self._message_number = 0
        self.sent_bytes = SentBytes()
        self._rounds = RoundSchedule()
        self.random = transport.rng()
        #: Whether this process does nothing any more.
        self.is_halted = False
        self._caller_port = settings.packet_address.port
        self.peer_port = settings.peer_address.port
        #: Gets routes from the store and from other processes.
        self.exchange = RouteExchange(self)
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
            address, handler, self.on_connection_error(address)
        )
        self.add_server(server)

    def add_server(self, server: Closable) -> None:
        """Close a server with this process."""
        self._servers.append(server)

    def on_connection_error(
        self, address: Address
    ) -> Callable[[Exception], None]:
        """Return a function that logs the failure of a connection."""

        def log_error(error: Exception) -> None:
            self.log.change(
                'connection.failed', self.clock(), at_port=address.port,
                error=repr(error),
            )  # fmt: skip

        return log_error

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
            self.loop.call_exception_handler(
                {'message': 'task failed', 'exception': task.exception()}
            )
            if is_essential:
                self.is_stopping.set()

        task.add_done_callback(finish)

    def every(self, interval_s: float, action: Callable[[], None]) -> None:
        """Call an action at intervals; a failure is logged, not fatal."""

        def run():
            if not self.is_halted:
                self.loop.call_later(interval_s, run)
                action()

        run()

    def every_round(self, action: Callable[[], None]) -> None:
        """Call an action at each round of status messages."""
        intervals_s = chain(START_ROUND_INTERVALS_S, repeat(STATUS_INTERVAL_S))

        def run():
            if not self.is_halted:
                self.loop.call_later(next(intervals_s), run)
                action()

        run()

    def handle_signals(self, on_reload: Callable[[], None]) -> None:
        """Stop on SIGTERM and SIGINT, read the settings on SIGHUP."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.is_stopping.set)
        self.loop.add_signal_handler(signal.SIGHUP, on_reload)
        self.loop.set_exception_handler(self._log_exception)

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
        self.is_halted = True
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

    @property
    def is_balancer(self) -> bool:
        """Whether this is the process of a balancer."""
        return self.settings.upstream_reply_address is None

    def _direct_only(self, far: list[str], now: float) -> list[str]:
        """Return those balancers of other data centres without reports."""
        datacentre = self.settings.datacentre
        is_reported = bool(self.fleet.near_balancers(datacentre, now))
        if self.is_balancer and now - self.started_at >= START_S:
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
            *self.random.sample(known, min(count, len(known))),
        )
        return list(dict.fromkeys(chosen))

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
        self._peer_socket.send(data, (ip, self.peer_port))

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
