"""Membership client of an agent: keeps its lease and receives views."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import math
import random
import time
from typing import Any

from reactivex import Observable
from reactivex.subject import ReplaySubject
from reactivex.subject import Subject

from ibispitch.ids import Address
from ibispitch.membership.leases import LeaseHolder
from ibispitch.membership.leases import RENEW_INTERVAL_S
from ibispitch.membership.messages import LeaseGranted
from ibispitch.membership.messages import LeaseRefused
from ibispitch.membership.parents import ParentChooser
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import MemberState
from ibispitch.membership.records import ServiceView
from ibispitch.telemetry import log
from ibispitch.telemetry import Metrics
from ibispitch.telemetry import Severity
from ibispitch.wire import Keyring
from ibispitch.wire import WireError
from ibispitch.wire.streams import MessageStream
from ibispitch.wire.streams import open_stream

TICK_S = 0.2
#: The agent leaves a parent that has not answered for this time. The lease
#: lasts 3 s, so 1 s is left to get a lease from another parent.
ANSWER_TIMEOUT_S = 2.0
LEAVE_TIMEOUT_S = 1.0
#: Limits reads from the store, since all agents read it when all balancers
#: are lost.
FIND_PEERS_INTERVAL_S = 10.0

FindPeers = Callable[[], Awaitable[list[Address]]]


class MembershipClient:
    """Keeps a lease at a parent and receives views.

    :param record: own record, with the incarnation of this process.
    :param seeds: control addresses of balancers.
    :param keyring: the shared keys.
    :param metrics: the counters.
    :param find_peers: returns more control addresses; called when no known
        balancer grants a lease.
    :param rng: source of random choices.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        record: AgentRecord,
        seeds: list[Address],
        keyring: Keyring,
        metrics: Metrics,
        find_peers: FindPeers | None = None,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.lease = LeaseHolder(record)
        #: Control address of the parent, ``None`` without one.
        self.parent: Address | None = None
        self._chooser = ParentChooser(record, seeds, rng or random.Random())
        self._keyring = keyring
        self._metrics = metrics
        self._bytes_sent = metrics.counts('membership.bytes_sent')
        self._find_peers = find_peers
        self._clock = clock
        self._views: ReplaySubject = ReplaySubject(1)
        self._pauses: Subject = Subject()
        self._stream: MessageStream | None = None
        self._tasks: list[asyncio.Task] = []
        self._answered_at = 0.0
        self._find_peers_due = -math.inf
        self._is_stopped = False

    @property
    def views(self) -> Observable:
        """Emit each :class:`ServiceView`, and the last one on subscription."""
        return self._views

    @property
    def pauses(self) -> Observable:
        """Emit the length in seconds of each pause longer than the lease."""
        return self._pauses

    @property
    def view(self) -> ServiceView | None:
        """The newest view."""
        return self.lease.view

    def may_act(self) -> bool:
        """Return whether the agent may adopt flows and run requests.

        Checks for a pause first, so that the agent does not act between the
        end of a pause and the next tick.
        """
        self._check_pause()
        return self.lease.may_act

    async def start(self) -> None:
        """Start the tasks that find a parent and renew the lease."""
        self._tasks = [
            asyncio.ensure_future(self._connect_forever()),
            asyncio.ensure_future(self._tick_forever()),
        ]

    async def stop(self) -> None:
        """Stop without ending the lease, which then lapses."""
        self._is_stopped = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._abort_stream()

    async def leave(self) -> None:
        """Report to the parent that the agent has LEFT, and stop."""
        self._is_stopped = True
        stream = self._stream
        if stream is not None:
            try:
                async with asyncio.timeout(LEAVE_TIMEOUT_S):
                    await stream.send(self.lease.leave())
            except (OSError, TimeoutError):
                self._metrics.count('membership.leaves_failed')
            # Closing still sends queued data; an abort would discard it.
            stream.close()
            self._stream = None
        await self.stop()

    def set_state(self, state: MemberState) -> None:
        """Change the state, for example to DRAINING, and announce it."""
        self.lease.set_state(state)
        self._announce()

    def _announce(self) -> None:
        if self._stream is not None:
            self._write(self.lease.announce(self._clock()))

    def _write(self, message: Any) -> None:
        before = self._stream.bytes_sent
        self._stream.write(message)
        sent = self._stream.bytes_sent - before
        self._bytes_sent[(('path', 'lease'),)] += sent

    def _check_pause(self) -> None:
        pause_s = self.lease.check_pause(self._clock())
        if pause_s:
            log(Severity.WARNING, 'membership.paused', pause_s=pause_s)
            self._answered_at = self._clock()
            self._announce()
            self._pauses.on_next(pause_s)

    async def _tick_forever(self) -> None:
        renew_due = 0.0
        while True:
            await asyncio.sleep(TICK_S)
            self._check_pause()
            now = self._clock()
            if self._stream is None:
                continue
            if now - self._answered_at >= ANSWER_TIMEOUT_S:
                self._abort_stream()
            elif now >= renew_due:
                renew_due = now + RENEW_INTERVAL_S
                self._write(self.lease.renew(now))

    def _abort_stream(self) -> None:
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.abort()

    async def _connect_forever(self) -> None:
        while not self._is_stopped and not self.lease.is_superseded:
            address, delay_s = self._chooser.next_candidate()
            if self._chooser.has_failed:
                await self._ask_for_peers()
            await asyncio.sleep(delay_s)
            if address is None:
                continue
            if await self._hold_lease_at(address):
                log(
                    Severity.WARNING,
                    'membership.parent_lost',
                    parent=str(address),
                )
                await asyncio.sleep(self._chooser.on_parent_lost(address))

    async def _ask_for_peers(self) -> None:
        now = self._clock()
        if self._find_peers is not None and now >= self._find_peers_due:
            self._find_peers_due = now + FIND_PEERS_INTERVAL_S
            self._chooser.add_seeds(await self._find_peers())

    async def _hold_lease_at(self, address: Address) -> bool:
        """Connect to one balancer and keep a lease until the stream ends.

        :returns: whether the balancer granted a lease.
        """
        own_ip = self.lease.record.address.ip
        try:
            stream = await open_stream(
                *address, self._keyring, local_ip=own_ip
            )
        except (OSError, WireError, TimeoutError):
            self._metrics.count('membership.connects_failed')
            return False
        self.lease.on_connected()
        self._answered_at = self._clock()
        self._stream = stream
        self._announce()
        try:
            while (message := await stream.receive()) is not None:
                self._on_message(message, address)
                if self._stream is not stream:
                    break
        except (OSError, WireError):
            self._metrics.count('membership.streams_broken')
        finally:
            stream.close()
            if self._stream is stream:
                self._stream = None
            was_granted = self.parent is not None
            self.parent = None
        return was_granted

    def _on_message(self, message, address: Address) -> None:
        self._check_pause()
        now = self._clock()
        if isinstance(message, LeaseGranted):
            self._answered_at = now
            self.lease.on_granted(message)
            if self.parent is None:
                self.parent = address
                self._chooser.on_granted()
        elif isinstance(message, LeaseRefused):
            self._answered_at = now
            self.lease.on_refused(message)
            self._metrics.count('membership.leases_refused')
            if self.lease.is_superseded:
                log(Severity.ERROR, 'membership.superseded')
                self._abort_stream()
            else:
                self._announce()
        elif isinstance(message, ServiceView):
            self._on_view(message, address, now)

    def _on_view(
        self, view: ServiceView, address: Address, now: float
    ) -> None:
        if not self.lease.on_view(view, now):
            return
        self._chooser.on_view(view)
        self._views.on_next(view)
        if self._chooser.should_move(address):
            self._abort_stream()
