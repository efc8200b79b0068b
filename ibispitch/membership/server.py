"""Membership server of a balancer: gossip and leases over sockets."""

import asyncio
from collections.abc import Callable
import random
import time
from typing import Any
from typing import Protocol

from reactivex import Observable
from reactivex.subject import Subject

from ibispitch.catalogue.documents import Entry
from ibispitch.datagrams import DatagramSocket
from ibispitch.ids import Address
from ibispitch.ids import DatacentreName
from ibispitch.ids import FlowId
from ibispitch.ids import ServiceName
from ibispitch.ids import ServiceNumber
from ibispitch.membership.core import AgentChanged
from ibispitch.membership.core import BalancerChanged
from ibispitch.membership.core import CatalogueChanged
from ibispitch.membership.core import LeaseLapsed
from ibispitch.membership.core import MembershipCore
from ibispitch.membership.core import Resumed
from ibispitch.membership.keys import ENTRY_PREFIX
from ibispitch.membership.messages import Join
from ibispitch.membership.messages import PeerHello
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import BalancerRecord
from ibispitch.membership.records import MemberState
from ibispitch.membership.sessions import AgentSession
from ibispitch.membership.view import build_view
from ibispitch.spread import SendDatagram
from ibispitch.spread import SendStream
from ibispitch.spread import SPREAD_MESSAGES
from ibispitch.telemetry import log
from ibispitch.telemetry import Metrics
from ibispitch.telemetry import Severity
from ibispitch.wire import decode_frame
from ibispitch.wire import decode_message
from ibispitch.wire import encode_frame
from ibispitch.wire import encode_message
from ibispitch.wire import Frame
from ibispitch.wire import FrameKind
from ibispitch.wire import Keyring
from ibispitch.wire import NO_ADDRESS
from ibispitch.wire import WireError
from ibispitch.wire.streams import accept_stream
from ibispitch.wire.streams import MessageStream
from ibispitch.wire.streams import open_stream

TICK_S = 0.2
#: Changes within this time are sent to agents in one view.
VIEW_DELAY_S = 0.05
#: A longer transfer is cancelled; a later digest starts another one.
TRANSFER_TIMEOUT_S = 10.0
MAX_TRANSFERS = 8


class Catalogue(Protocol):
    """The methods of ``CatalogueState`` that the server uses."""

    def apply(self, key: str, mod_revision: int, value: bytes) -> bool:
        """Accept a document if it is newer; return whether it was."""

    def entry(self, service: ServiceName) -> Entry | None:
        """Return the entry in force."""

    @property
    def datacentres_out(self) -> frozenset[DatacentreName]:
        """Data centres that are out of service."""


class MembershipServer:
    """Gossip between balancers and the leases of agents.

    :param record: own record; its control address is bound for UDP and TCP.
    :param seeds: control addresses of other balancers.
    :param keyring: the shared keys.
    :param catalogue: state to which documents from spread are applied.
    :param metrics: the counters.
    :param rng: source of random choices.
    :param clock: monotonic time in seconds.
    :param wall_clock: wall-clock time in seconds.
    """

    def __init__(
        self,
        record: BalancerRecord,
        seeds: list[Address],
        keyring: Keyring,
        catalogue: Catalogue,
        metrics: Metrics,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ):
        self.core = MembershipCore(record, seeds, rng or random.Random())
        self.catalogue = catalogue
        self._keyring = keyring
        self._metrics = metrics
        self._clock = clock
        self._wall_clock = wall_clock
        self._changes: Subject = Subject()
        self._session_by_agent: dict[str, AgentSession] = {}
        self._view_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task] = set()
        self._transfer_peers: set[Address] = set()
        self._socket: DatagramSocket | None = None
        self._server: asyncio.Server | None = None
        self._rejected = metrics.counts('membership.rejected')
        self._bytes_sent = metrics.counts('membership.bytes_sent')

    @property
    def changes(self) -> Observable:
        """Emit ``BalancerChanged``, ``AgentChanged`` and ``CatalogueChanged``.

        ``CatalogueChanged`` is emitted after the catalogue has accepted the
        document. ``Resumed`` is emitted too, before all other changes that
        follow a pause.
        """
        return self._changes

    async def start(self) -> None:
        """Bind the control address and join the others.

        :raises OSError: if the control address cannot be bound.
        """
        address = self.core.record.control_address
        self._socket = DatagramSocket(self._on_datagram, address)
        try:
            self._server = await asyncio.start_server(
                self._on_connection, address.ip, address.port
            )
        except OSError:
            self._socket.close()
            raise
        self._carry_out(self.core.start(self._clock()))
        self._spawn(self._tick_forever())

    async def stop(self) -> None:
        """Publish that this balancer has LEFT, and close all sockets."""
        self.set_state(MemberState.LEFT)
        # This tick sends the new rumour; later ticks would only repeat it.
        self._carry_out(self.core.tick(self._clock()))
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._view_timer is not None:
            self._view_timer.cancel()
        if self._server is not None:
            self._server.close()
        if self._socket is not None:
            self._socket.close()

    def set_state(self, state: MemberState) -> None:
        """Publish another state of this balancer, for example LEAVING."""
        self._carry_out(self.core.set_state(state, self._clock()))

    def set_reaches_store(self, reaches_store: bool) -> None:
        """Publish whether this balancer reaches the store."""
        self._carry_out(
            self.core.set_reaches_store(reaches_store, self._clock())
        )

    def publish_document(
        self, key: str, mod_revision: int, value: bytes
    ) -> None:
        """Publish a document that was read from the store."""
        self._carry_out(
            self.core.publish_document(key, mod_revision, value, self._clock())
        )

    def _spawn(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._carry_out(self.core.tick(self._clock()))

    def _carry_out(self, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self._send(effect)
            elif isinstance(effect, SendStream):
                self._start_transfer(effect)
            else:
                self._on_change(effect)

    def _send(self, effect: SendDatagram) -> None:
        frame = Frame(
            FrameKind.CONTROL,
            0,
            0,
            ServiceNumber(0),
            FlowId(NO_ADDRESS),
            NO_ADDRESS,
            encode_message(effect.message),
        )
        data = encode_frame(self._keyring, frame)
        self._bytes_sent[(('path', 'gossip'),)] += len(data)
        self._socket.send(data, effect.to)

    def _on_change(self, change: Any) -> None:
        if isinstance(change, CatalogueChanged):
            item = change.item
            if not self.catalogue.apply(item.key, item.version[0], item.value):
                return
        elif isinstance(change, LeaseLapsed):
            self._on_lease_lapsed(change.record)
            return
        elif isinstance(change, BalancerChanged):
            self._log_balancer(change.record)
        elif isinstance(change, Resumed):
            log(Severity.WARNING, 'membership.paused', pause_s=change.pause_s)
        self._changes.on_next(change)
        if self._view_timer is None and self._affects_a_view(change):
            loop = asyncio.get_running_loop()
            self._view_timer = loop.call_later(VIEW_DELAY_S, self._push_views)

    def _affects_a_view(self, change: Any) -> bool:
        """Return whether a change may alter the view of an agent served here.

        A parent has about 10 of 14,000 agents, so most records of agents
        and most entries concern services that none of its agents has.
        """
        sessions = self._session_by_agent.values()
        if isinstance(change, AgentChanged):
            return any(
                session.record.service == change.record.service
                or session.views.lists_agent(change.record.agent_id)
                for session in sessions
            )
        if isinstance(change, CatalogueChanged):
            key = change.item.key
            return not key.startswith(ENTRY_PREFIX) or any(
                session.record.service == key.removeprefix(ENTRY_PREFIX)
                for session in sessions
            )
        return True

    def _on_lease_lapsed(self, record: AgentRecord) -> None:
        agent_id = record.agent_id
        log(Severity.WARNING, 'membership.lease_lapsed', agent=agent_id)
        session = self._session_by_agent.pop(agent_id, None)
        if session is not None:
            session.stream.abort()

    def _log_balancer(self, record: BalancerRecord) -> None:
        log(
            Severity.INFO,
            'membership.balancer',
            balancer=record.balancer_id,
            state=record.state.value,
        )

    def _count_rejected(self, reason: str) -> None:
        self._rejected[(('reason', reason),)] += 1

    def _on_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        try:
            frame = decode_frame(self._keyring, data)
            if frame.kind != FrameKind.CONTROL:
                self._count_rejected('bad_kind')
                return
            message = decode_message(frame.payload)
        except WireError as error:
            self._count_rejected(error.fault.value)
            return
        address = Address(*sender)
        if self._is_accepted(address, message):
            now = self._clock()
            self._carry_out(self.core.on_message(address, message, now))

    def _is_accepted(self, sender: Address, message: Any) -> bool:
        if not isinstance(message, MembershipCore.MESSAGES):
            self._count_rejected('wrong_message')
            return False
        is_introduction = (
            isinstance(message, Join)
            and message.record.control_address == sender
        )
        if not is_introduction and not self.core.knows(sender):
            self._count_rejected('unknown_sender')
            return False
        return True

    def _start_transfer(self, effect: SendStream) -> None:
        """Start a transfer unless the peer has one or the limit is reached.

        A transfer that is not started is requested again after a later
        digest.
        """
        if effect.to in self._transfer_peers:
            return
        if len(self._transfer_peers) >= MAX_TRANSFERS:
            return
        self._transfer_peers.add(effect.to)
        self._spawn(self._transfer(effect))

    async def _transfer(self, effect: SendStream) -> None:
        own = self.core.record.control_address
        try:
            async with asyncio.timeout(TRANSFER_TIMEOUT_S):
                stream = await open_stream(
                    *effect.to, self._keyring, local_ip=own.ip
                )
                try:
                    for message in (PeerHello(own), *effect.messages):
                        await stream.send(message)
                finally:
                    stream.close()
            self._bytes_sent[(('path', 'transfer'),)] += stream.bytes_sent
        except (OSError, WireError, TimeoutError):
            self._metrics.count('membership.transfers_failed')
        finally:
            self._transfer_peers.discard(effect.to)

    async def _on_connection(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        stream = None
        try:
            stream = await accept_stream(reader, writer, self._keyring)
            first = await stream.receive()
            if isinstance(first, PeerHello):
                await self._receive_transfer(stream, first.control_address)
            elif first is not None:
                await self._serve_agent(stream, first)
        except WireError as error:
            self._count_rejected(error.fault.value)
        except OSError:
            self._metrics.count('membership.streams_broken')
        except asyncio.CancelledError:
            # Only :meth:`stop` cancels this task. The stream server would
            # report the cancellation as an error.
            pass
        finally:
            writer.transport.abort()

    async def _receive_transfer(
        self, stream: MessageStream, sender: Address
    ) -> None:
        if stream.peer_ip != sender.ip or not self.core.knows(sender):
            self._count_rejected('unknown_sender')
            return
        async with asyncio.timeout(TRANSFER_TIMEOUT_S):
            while (message := await stream.receive()) is not None:
                if not isinstance(message, SPREAD_MESSAGES):
                    self._count_rejected('wrong_message')
                    return
                now = self._clock()
                self._carry_out(self.core.on_message(sender, message, now))

    async def _serve_agent(self, stream: MessageStream, first: Any) -> None:
        session = AgentSession(stream, self.core)
        message = first
        try:
            while message is not None:
                before = stream.bytes_sent
                effects = session.on_message(message, self._clock())
                self._bytes_sent[(('path', 'lease'),)] += (
                    stream.bytes_sent - before
                )
                self._carry_out(effects)
                if session.is_view_due:
                    self._register_session(session)
                message = await stream.receive()
        finally:
            agent_id = session.agent_id
            if self._session_by_agent.get(agent_id) is session:
                del self._session_by_agent[agent_id]

    def _register_session(self, session: AgentSession) -> None:
        """Register the session of an agent with a new lease; send a view."""
        previous = self._session_by_agent.get(session.agent_id)
        if previous is not None and previous is not session:
            previous.stream.abort()
        self._session_by_agent[session.agent_id] = session
        session.is_view_due = False
        self._push_view(session, force=True)

    def _push_views(self) -> None:
        self._view_timer = None
        for session in self._session_by_agent.values():
            self._push_view(session)

    def _push_view(self, session: AgentSession, force: bool = False) -> None:
        content = build_view(
            session.record,
            self.core.agents.values(),
            self.core.balancers.values(),
            self.catalogue.entry(session.record.service),
            self.catalogue.datacentres_out,
        )
        wall_ms = int(self._wall_clock() * 1000)
        view = session.views.next_view(content, wall_ms, force)
        if view is not None:
            before = session.stream.bytes_sent
            session.stream.write(view)
            self._bytes_sent[(('path', 'view'),)] += (
                session.stream.bytes_sent - before
            )
