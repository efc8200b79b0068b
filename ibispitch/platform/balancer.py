"""The balancer program for this platform."""

import asyncio
from collections.abc import Iterable
import math

from ibispitch.checkpoint.core import CheckpointCache
from ibispitch.checkpoint.messages import CheckpointPart
from ibispitch.checkpoint.messages import CheckpointRequest
from ibispitch.fleet.messages import AgentStatus
from ibispitch.fleet.messages import DatacentreReport
from ibispitch.fleet.messages import Message
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
from ibispitch.platform.directory import read_stored_agents
from ibispitch.platform.http import Request
from ibispitch.platform.http import Response
from ibispitch.platform.metrics import Counts
from ibispitch.platform.node import Node
from ibispitch.platform.node import TICK_INTERVAL_S
from ibispitch.platform.packets import PlatformPacketCodec
from ibispitch.platform.probes import HostProber
from ibispitch.platform.statuses import BalancerStatuses
from ibispitch.rotation.core import BalancerLink
from ibispitch.rotation.core import is_standby
from ibispitch.routes.reader_choice import choose_readers
from ibispitch.routes.reader_choice import ReaderCandidate
from ibispitch.routes.source import RoutesOrigin

READINESS_PATH = '/v1/readyz'
#: Time after its start at which a balancer reports that it is ready although
#: it knows no agent.
READY_WITHOUT_AGENTS_S = 2.0
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
        self._placement: asyncio.TimerHandle | None = None
        self._random = node.transport.rng()
        self._started_at = node.clock()
        self._near_ips: list[str] = []
        self._near_counted_at = -math.inf
        self._core = BalancerCore(
            node.settings.datacentre, node.fleet, self._codec, self,
            node.log, node.histograms, self._random, node.clock(),
            node.overload, node.settings.is_first_start,
        )  # fmt: skip
        self._directory = DirectoryKeeper(
            node, self._core.knows_fleet, self._core.knows_most_agents
        )
        self._statuses = BalancerStatuses(
            node, self._core.knows_fleet, self._on_agent_status, self._random
        )
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
        await node.exchange.serve_routes()
        await node.serve_metrics(self._gauges, self._counters)
        node.add_seeds()
        following = node.exchange.make_route_reader().follow(self._is_reader)
        node.start(following, is_essential=True)
        node.every_round(self._send_round)
        node.start(self._add_stored_balancers())
        node.start(self._read_stored_agents())
        node.every(
            CHECK_INTERVAL_S,
            lambda: self._directory.check(self._readers()[0].ip),
        )
        HostProber(node).start()
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
        self._statuses.is_leaving = True
        self._statuses.announce()
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
            links = self._statuses.near_links()
            in_rotation = [
                link.ip for link in links if not is_standby(link, links)
            ]
            count = min(MAX_ATTEMPT_RECEIVERS, len(in_rotation))
            self._near_ips = self._random.sample(in_rotation, count)
        return self._near_ips

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
            self._core.searches.receive_answers(ip, frame, now)
        elif isinstance(frame, OwnershipQuestions):
            self._core.searches.answer_questions(ip, frame)
        elif isinstance(frame, KnownOwners):
            self._core.searches.receive_owners(ip, frame, now)
        elif isinstance(frame, EndedAttempt):
            self._core.receive_ended_attempt(frame, now)

    def _on_message(self, ip: str, message: Message) -> None:
        if isinstance(message, CheckpointPart):
            self._checkpoints.add(ip, message, self._node.clock())
        elif isinstance(message, CheckpointRequest):
            for part in self._checkpoints.parts_for(ip, message.started_ms):
                self._node.send(part, [ip])
        elif isinstance(message, DatacentreReport):
            self._statuses.receive_report(ip, message)
        else:
            self._statuses.receive(ip, message)

    def _on_agent_status(self, ip: str, status: AgentStatus) -> None:
        self._schedule_placement()
        self._checkpoints.record_process(ip, status.started_ms)

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
            self._statuses.announce()
        elif origin is RoutesOrigin.FAR:
            # The others here wait for a process of their data centre.
            self._statuses.announce_near()

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
            'is_reporter': self._statuses.reporter.is_chosen(now),
        }

    def _counters(self) -> Iterable[Counts]:
        yield Counts(
            'further_attempts',
            'Openings recognised as a further attempt of a caller',
            ('service',),
            {(key,): n for key, n in self._core.further_attempts.items()},
        )
        yield Counts(
            'reset_flows',
            'Resets of flows that may have been open, by reason',
            ('reason',),
            {(key,): n for key, n in self._core.reset_flows.items()},
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
            self._statuses.contact_added()

    async def _read_stored_agents(self) -> None:
        if await read_stored_agents(self._node) == {}:
            self._directory.record_missing_agents()

    def _send_round(self) -> None:
        self._checkpoints.expire(self._node.clock())
        self._statuses.send_round()

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
        if not self._node.exchange.may_read_first():
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
            BalancerLink(settings.ip, settings.link_mbps),
            self._statuses.near_links(),
        )

    async def _refuse_heartbeat(self, _request: Request) -> Response:
        # Only the agent on the host of an upstream can forward packets to
        # it, so a balancer must not acknowledge a heartbeat.
        return Response(503)
