"""The balancer program for this platform."""

import asyncio
from collections.abc import Iterable
from itertools import islice
import math
import socket

from msgspec.structs import replace

from ibispitch.checkpoint.core import CheckpointCache
from ibispitch.checkpoint.messages import CheckpointPart
from ibispitch.checkpoint.messages import CheckpointRequest
from ibispitch.fleet.messages import AgentStatus
from ibispitch.fleet.messages import BalancerStatus
from ibispitch.fleet.messages import DatacentreReport
from ibispitch.fleet.messages import Message
from ibispitch.fleet.messages import pack_ips
from ibispitch.fleet.messages import Status
from ibispitch.fleet.messages import unpack_entries
from ibispitch.fleet.messages import unpack_ips
from ibispitch.fleet.reports import Reporter
from ibispitch.fleet.rounds import STATUS_INTERVAL_S
from ibispitch.forwarding.balancer import BalancerCore
from ibispitch.forwarding.frames import EndedAttempt
from ibispitch.forwarding.frames import Frame
from ibispitch.forwarding.frames import KnownOwners
from ibispitch.forwarding.frames import OwnershipAnswers
from ibispitch.forwarding.frames import OwnershipQuestions
from ibispitch.forwarding.frames import Return
from ibispitch.forwarding.packets import FlowKey
from ibispitch.forwarding.packets import Packet
from ibispitch.platform.directory import add_stored_balancers
from ibispitch.platform.directory import CHECK_INTERVAL_S
from ibispitch.platform.directory import DirectoryKeeper
from ibispitch.platform.http import Request
from ibispitch.platform.http import Response
from ibispitch.platform.metrics import Counts
from ibispitch.platform.node import Node
from ibispitch.platform.node import TICK_INTERVAL_S
from ibispitch.platform.packets import PlatformPacketCodec
from ibispitch.rotation.core import BalancerLink
from ibispitch.rotation.core import is_standby
from ibispitch.routes.reader_choice import choose_readers
from ibispitch.routes.reader_choice import ReaderCandidate
from ibispitch.routes.source import RoutesOrigin

READINESS_PATH = '/v1/readyz'
#: Time after its start at which a balancer reports that it is ready although
#: it knows no agent.
READY_WITHOUT_AGENTS_S = 2.0
#: Number of balancers that get a full status in a round while processes start
#: or are silent. A full status lists the addresses of the known processes;
#: the others get a status without them. Each balancer gets about two full
#: ones in a round, and the addresses in them are valid for 3 s.
FULL_STATUSES_PER_ROUND = 2
#: Otherwise one balancer gets a full status in every third round.
FULL_STATUS_ROUNDS = 3
#: While nothing changes, one in sixteen answers to known processes is a full
#: status.
FULL_STATUS_ANSWERS = 16
#: Maximum number of full statuses that a balancer sends between two rounds to
#: new processes and in answers. Each is up to 1 kB, and at the start of a
#: large fleet all processes are new to each other.
MAX_FULL_STATUSES = 24
#: Maximum number of balancers and of agents that a status lists, so that it
#: fits into a datagram.
MAX_LISTED_PROCESSES = 128
#: Delay of the placement of waiting openings after a status of an agent, so
#: that the statuses of several agents cost one placement.
PLACEMENT_DELAY_S = 0.003
#: Maximum number of balancers that are told of an ended attempt. Further ones
#: of a large data centre take the caller's next attempt for a new request.
MAX_ATTEMPT_RECEIVERS = 8
#: Time for which the list of these balancers is kept.
NEAR_BALANCERS_KEPT_S = 0.2
#: Time until a host that is not ready is out of rotation: the platform checks
#: readiness twice a second and removes a host after two failed checks. A
#: stopping balancer waits for this.
ROTATION_EXIT_S = 1.3
#: A stopping balancer exits after this time without a packet from a caller.
CALLER_SILENCE_S = 0.3
#: Maximum part of the platform's grace time that a stopping balancer uses.
MAX_STOP_SHARE = 0.8


class Balancer:
    """Connects a :class:`BalancerCore` to the platform."""

    def __init__(self, node: Node):
        self._node = node
        self._codec = PlatformPacketCodec()
        self._checkpoints = CheckpointCache()
        self._last_packet_at = 0.0
        self._answer_count = 0
        self._round_count = 0
        self._full_statuses_left = MAX_FULL_STATUSES
        self._placement: asyncio.TimerHandle | None = None
        self._random = node.transport.rng()
        #: Whether the process is about to exit. Before that other processes
        #: still send messages to it.
        self._is_leaving = False
        self._started_at = node.clock()
        self._near_ips: list[str] = []
        self._near_counted_at = -math.inf
        self._directory = DirectoryKeeper(node)
        self._reporter = Reporter(
            node.fleet, node.settings.ip, node.settings.datacentre,
            node.settings.link_mbps, self._started_at,
        )  # fmt: skip
        self._core = BalancerCore(
            node.settings.datacentre, node.fleet, self._codec, self,
            node.log, node.histograms, self._random, node.clock(),
            node.overload,
        )  # fmt: skip
        node.on_message = self._on_message
        node.on_frame = self._on_frame
        node.on_routes = self._on_routes

    async def run(self) -> None:
        """Serve until the process receives a signal to stop."""
        node = self._node
        settings = node.settings
        node.open(self._on_packet)
        await node.serve(settings.readiness_address, self._answer_readiness)
        if settings.heartbeat_address is not None:
            await node.serve(
                settings.heartbeat_address, self._refuse_heartbeat
            )
        await node.serve_routes()
        await node.serve_metrics(self._gauges, self._counters)
        node.add_seeds()
        following = node.make_route_reader().follow(self._is_reader)
        node.start(following, is_essential=True)
        node.every_round(self._send_round)
        node.start(self._add_stored_balancers())
        node.every(
            CHECK_INTERVAL_S,
            lambda: self._directory.check(self._readers()[0].ip),
        )
        node.every(TICK_INTERVAL_S, lambda: self._core.tick(node.clock()))
        await node.is_stopping.wait()
        await self._stop()

    async def _stop(self) -> None:
        """Leave the rotation and forward the packets that still arrive."""
        node = self._node
        node.log.change('process.stopping', node.clock())
        stop_requested_at = node.clock()
        limit_s = MAX_STOP_SHARE * node.settings.bounds.stop_s
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = node.clock()
            is_out = now - stop_requested_at > ROTATION_EXIT_S
            is_quiet = (
                now - self._last_packet_at > CALLER_SILENCE_S
                and not node.link.waiting_bytes
            )
            if (is_out and is_quiet) or now - stop_requested_at > limit_s:
                break
        self._is_leaving = True
        self._send_status(
            [*self._near_ips_of_fleet(), *self._far_balancers()],
            lists_fleet=False,
        )
        await node.link.drain(limit_s - (node.clock() - stop_requested_at))

    # Outbox of the core.

    def to_agent(
        self, ip: str, data: bytes, packet: Packet | None = None
    ) -> None:
        """Send a frame to an agent.

        A frame with a caller's packet waits for its turn on the link.
        """
        if packet is None:
            self._node.to_peer(ip, data)
        else:
            self._node.link.send_packet(ip, data, packet)

    def to_balancer(self, ip: str, data: bytes) -> None:
        """Send a frame to another balancer."""
        self._node.to_peer(ip, data)

    def to_caller(self, flow: FlowKey, data: bytes) -> None:
        """Send a packet to the caller of a flow."""
        self._node.to_caller(flow, data)

    def to_balancers(self, data: bytes) -> None:
        """Send a frame to the other balancers that callers here use.

        In a large data centre only some of them get it.
        """
        for ip in self._near_in_rotation():
            self._node.to_peer(ip, data)

    def _near_in_rotation(self) -> list[str]:
        """Return other balancers of this data centre in the rotation."""
        now = self._node.clock()
        if now - self._near_counted_at >= NEAR_BALANCERS_KEPT_S:
            self._near_counted_at = now
            links = self._near_links()
            in_rotation = [
                link.ip for link in links if not is_standby(link, links)
            ]
            count = min(MAX_ATTEMPT_RECEIVERS, len(in_rotation))
            self._near_ips = self._random.sample(in_rotation, count)
        return self._near_ips

    def _near_links(self) -> list[BalancerLink]:
        """Return the other balancers of this data centre that respond."""
        heard = self._node.fleet.heard_balancers(self._node.clock())
        return [
            BalancerLink(view.ip, view.status.link_mbps)
            for view in heard
            if view.status.datacentre == self._node.settings.datacentre
        ]

    # Input.

    def _on_packet(self, raw: bytes, sender: tuple[str, int]) -> None:
        packet = self._codec.from_caller(raw)
        self._last_packet_at = now = self._node.clock()
        if packet is None:
            self._node.log.change('packet.unreadable', now, sender=sender[0])
        else:
            self._core.receive(packet, now)

    def _on_frame(self, ip: str, frame: Frame) -> None:
        now = self._node.clock()
        if isinstance(frame, Return):
            self._core.receive_returned_packet(ip, frame, now)
        elif isinstance(frame, OwnershipAnswers):
            self._core.receive_answers(ip, frame, now)
        elif isinstance(frame, OwnershipQuestions):
            self._core.answer_questions(ip, frame)
        elif isinstance(frame, KnownOwners):
            self._core.receive_owners(ip, frame, now)
        elif isinstance(frame, EndedAttempt):
            self._core.receive_ended_attempt(frame, now)

    def _on_message(self, ip: str, message: Message) -> None:
        if isinstance(message, CheckpointPart):
            self._checkpoints.add(ip, message, self._node.clock())
        elif isinstance(message, CheckpointRequest):
            for part in self._checkpoints.parts_for(ip, message.started_ms):
                self._node.send(part, [ip])
        elif isinstance(message, DatacentreReport):
            self._on_report(ip, message)
        else:
            self._on_status(ip, message)

    def _on_report(self, ip: str, report: DatacentreReport) -> None:
        node = self._node
        now = node.clock()
        try:
            entries = unpack_entries(report.entries)
        except ValueError as error:
            node.log.change('peer.unreadable', now, peer=ip, error=str(error))
            return
        if report.is_to_pass_on:
            near = (link.ip for link in self._near_links())
            node.send(replace(report, is_to_pass_on=False), list(near))
        node.fleet.record_report(
            report.datacentre, unpack_ips(report.silent), now
        )
        for entry in entries:
            age_s = entry.age_ms / 1000
            status = entry.status
            if isinstance(status, BalancerStatus):
                status = replace(status, age_s=status.age_s + age_s)
            self._record_status(
                socket.inet_ntoa(entry.ip), status, now - age_s, True
            )

    def _on_status(self, ip: str, status: Status) -> None:
        node = self._node
        now = node.clock()
        is_new = self._record_status(ip, status, now)
        if status.wants_answer:
            self._answer_count += 1
            is_turn = self._answer_count % FULL_STATUS_ANSWERS == 0
            is_due = is_new or node.fleet.is_changing(now)
            lists_fleet = is_turn or (is_due and self._full_statuses_left > 0)
            self._full_statuses_left -= lists_fleet
            self._send_status([ip], lists_fleet=lists_fleet)

    def _record_status(
        self, ip: str, status: Status, now: float, is_reported: bool = False
    ) -> bool:
        """Record the status of a process and contact those that it names.

        :param now: time of the status.
        :param is_reported: whether it came in a report of its data centre.
        :returns: whether the process is new or has restarted.
        """
        node = self._node
        if ip == node.settings.ip:
            return False
        if isinstance(status, AgentStatus):
            self._schedule_placement()
            self._checkpoints.record_process(ip, status.started_ms)
            former = node.fleet.record_agent_status(
                ip, status, now, is_reported
            )
            is_new = former is None or former.started_ms != status.started_ms
            if former is None or former.state is not status.state:
                node.log.change(
                    'fleet.agent', now, agent=ip, state=status.state.name,
                    service=status.service, incarnation=status.incarnation,
                )  # fmt: skip
        else:
            is_new = node.fleet.record_balancer_status(ip, status, now)
            if is_new:
                node.log.change('fleet.balancer', now, balancer=ip)
                # Its answer lists the processes that it knows. A few lists
                # are enough, and hundreds of balancers may start together.
                is_near = not node.fleet.is_far(ip, node.settings.datacentre)
                lists_fleet = is_near and self._full_statuses_left > 0
                self._full_statuses_left -= lists_fleet
                if lists_fleet:
                    # Before the list, so that it need not ask these agents.
                    for report in self._reporter.known_reports(now):
                        node.send(report, [ip])
                self._send_status(
                    [ip], wants_answer=True, lists_fleet=lists_fleet
                )
            self._send_status(
                node.fleet.unknown_agents(unpack_ips(status.agents), now),
                wants_answer=True, lists_fleet=False,
            )  # fmt: skip
            self._send_status(
                node.fleet.take_added_balancers(), wants_answer=True,
                lists_fleet=False,
            )  # fmt: skip
            node.check_position(ip, status)
        return is_new

    def _schedule_placement(self) -> None:
        """Place waiting openings soon, because an agent's state arrived."""
        if self._core.waiting_count and self._placement is None:
            self._placement = asyncio.get_running_loop().call_later(
                PLACEMENT_DELAY_S, self._place_waiting
            )

    def _place_waiting(self) -> None:
        self._placement = None
        self._core.place_waiting(self._node.clock())

    def _on_routes(self, origin: RoutesOrigin) -> None:
        self._core.set_routes(self._node.routes.index)
        if origin is RoutesOrigin.STORE:
            self._send_status(
                [*self._near_ips_of_fleet(), *self._far_balancers()],
                lists_fleet=False,
            )
        elif origin is RoutesOrigin.FAR:
            # The others here wait for a process of their data centre.
            self._send_status(self._near_ips_of_fleet(), lists_fleet=False)

    def _gauges(self) -> dict[str, float]:
        now = self._node.clock()
        return {
            'flows': self._core.flow_count,
            'openings_waiting': self._core.waiting_count,
            'link_waiting_bytes': self._node.link.waiting_bytes,
            'agents_heard': len(self._node.fleet.recent_agents(now)),
            'datacentres_reporting': len(
                self._node.fleet.reporting_datacentres(now)
            ),
            'is_reporter': self._reporter.is_chosen(now),
        }

    def _counters(self) -> Iterable[Counts]:
        yield Counts(
            'further_attempts',
            'Openings recognised as a further attempt of a caller',
            ('service',),
            {(key,): n for key, n in self._core.further_attempts.items()},
        )
        yield Counts(
            'refused_openings',
            'Openings that were refused or not placed, by reason',
            ('service', 'kind', 'reason'),
            self._core.refused,
        )

    async def _add_stored_balancers(self) -> None:
        """Contact the balancers that the store lists, if it is needed."""
        stored = await add_stored_balancers(self._node)
        if stored is not None:
            self._directory.record_stored(stored)
            self._send_status(
                self._node.fleet.take_added_balancers(), wants_answer=True,
                lists_fleet=False,
            )  # fmt: skip

    # Status.

    def _make_status(
        self, wants_answer: bool, rounds: int, lists_fleet: bool
    ) -> BalancerStatus:
        node = self._node
        now = node.clock()
        return BalancerStatus(
            datacentre=node.settings.datacentre,
            started_ms=node.started_ms,
            number=node.next_message_number(),
            revision=node.routes.position.revision,
            age_s=min(1e6, node.routes.age_s(now)),
            link_mbps=node.settings.link_mbps,
            is_leaving=self._is_leaving,
            knows_fleet=self._core.knows_fleet(now),
            balancers=self._pack_sample(
                view.ip
                for view in node.fleet.heard_balancers(now)
                if lists_fleet
            ),
            agents=self._pack_sample(
                node.fleet.recent_agents(now) if lists_fleet else ()
            ),
            interval_s=rounds * STATUS_INTERVAL_S,
            wants_answer=wants_answer,
            era=node.routes.position.era,
            version=node.routes.version,
            passes_on=True,
        )

    def _pack_sample(self, ips: Iterable[str]) -> bytes:
        ips = list(ips)
        if len(ips) > MAX_LISTED_PROCESSES:
            ips = self._random.sample(ips, MAX_LISTED_PROCESSES)
        return pack_ips(ips)

    def _near_ips_of_fleet(self) -> list[str]:
        """Return the known processes of this data centre."""
        node = self._node
        return [
            ip
            for ip in self._known_ips()
            if not node.fleet.is_far(ip, node.settings.datacentre)
        ]

    def _far_balancers(self) -> list[str]:
        fleet = self._node.fleet
        _near, far = fleet.split_balancers(self._node.settings.datacentre)
        return far

    def _known_ips(self) -> list[str]:
        fleet = self._node.fleet
        return [*fleet.balancers_by_ip, *fleet.agents_by_ip]

    def _send_round(self) -> None:
        node = self._node
        receivers = node.begin_round()
        self._checkpoints.expire(node.clock())
        known = [*receivers.near, *receivers.far]
        self._round_count += 1
        self._full_statuses_left = MAX_FULL_STATUSES
        if node.fleet.is_changing(node.clock()):
            full_receivers = node.choose_to_ask(known, FULL_STATUSES_PER_ROUND)
        elif self._round_count % FULL_STATUS_ROUNDS == 0:
            full_receivers = node.choose_to_ask(known, 1)
        else:
            full_receivers = list(
                islice(node.fleet.balancers_without_status(), 1)
            )
        self._send_status(full_receivers, wants_answer=True)
        self._send_status(
            [ip for ip in known if ip not in full_receivers], lists_fleet=False
        )
        own = self._make_status(False, 1, lists_fleet=False)
        for ip, report in self._reporter.next(own, node.clock()):
            node.send(report, [ip])
        # An agent may have forgotten this balancer. An answer shows that
        # the agent is alive.
        silent = node.fleet.silent_agents(node.clock())
        self._send_status(silent, wants_answer=True, lists_fleet=False)

    def _send_status(
        self,
        ips: Iterable[str],
        wants_answer: bool = False,
        lists_fleet: bool = True,
    ) -> None:
        self._node.send_status(
            ips,
            lambda rounds: self._make_status(
                wants_answer, rounds, lists_fleet
            ),
        )

    # HTTP.

    async def _answer_readiness(self, request: Request) -> Response:
        if request.path.split('?')[0] != READINESS_PATH:
            return Response(404)
        return Response(200 if self._is_ready() else 503)

    def _is_ready(self) -> bool:
        node = self._node
        if node.is_stopping.is_set() or node.routes.index is None:
            return False
        if self._is_standby():
            return False
        if node.fleet.agents_by_ip:
            return True
        return node.clock() - self._started_at > READY_WITHOUT_AGENTS_S

    def _is_reader(self) -> bool:
        if not self._node.may_read_first():
            return False
        return self._node.settings.ip in (one.ip for one in self._readers())

    def _readers(self) -> list[ReaderCandidate]:
        """Return the balancers that read the store for all processes."""
        settings = self._node.settings
        heard = self._node.fleet.heard_balancers(self._node.clock())
        return choose_readers(
            [
                ReaderCandidate(
                    settings.ip, settings.datacentre, settings.link_mbps
                ),
                *(
                    ReaderCandidate(
                        view.ip, view.status.datacentre, view.status.link_mbps
                    )
                    for view in heard
                ),
            ]
        )

    def _is_standby(self) -> bool:
        settings = self._node.settings
        return is_standby(
            BalancerLink(settings.ip, settings.link_mbps), self._near_links()
        )

    async def _refuse_heartbeat(self, _request: Request) -> Response:
        # Only the agent on the host of an upstream can forward packets to
        # it, so a balancer must not acknowledge a heartbeat.
        return Response(503)
