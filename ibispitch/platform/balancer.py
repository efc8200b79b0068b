"""The balancer as a process of this platform."""

import asyncio
from collections.abc import Iterable
from itertools import islice

from ibispitch.checkpoint.core import CheckpointCache
from ibispitch.checkpoint.messages import CheckpointPart
from ibispitch.checkpoint.messages import CheckpointRequest
from ibispitch.fleet.core import STATUS_INTERVAL_S
from ibispitch.fleet.messages import AgentStatus
from ibispitch.fleet.messages import BalancerStatus
from ibispitch.fleet.messages import Message
from ibispitch.fleet.messages import pack_ips
from ibispitch.fleet.messages import Status
from ibispitch.fleet.messages import unpack_ips
from ibispitch.forwarding.balancer import BalancerCore
from ibispitch.forwarding.frames import Frame
from ibispitch.forwarding.frames import OwnershipAnswers
from ibispitch.forwarding.frames import Return
from ibispitch.forwarding.packets import FlowKey
from ibispitch.forwarding.packets import Packet
from ibispitch.platform.http import Request
from ibispitch.platform.http import Response
from ibispitch.platform.node import Node
from ibispitch.platform.node import TICK_S
from ibispitch.platform.packets import PlatformPacketCodec
from ibispitch.rotation.core import BalancerLink
from ibispitch.rotation.core import is_standby
from ibispitch.routes.reader_choice import is_reader
from ibispitch.routes.reader_choice import ReaderCandidate

READINESS_PATH = '/v1/readyz'
#: Time after the start at which a balancer calls itself ready even if it
#: knows no agent.
PATIENCE_S = 2.0
#: Balancers that get the names of known processes in a round while processes
#: start or are silent; the others get a short status. Each balancer hears
#: names from two others in a round then, and they count for 3 s.
TOLD = 2
#: Rounds in which one balancer gets them otherwise, one in three.
NAMES_ROUNDS = 3
#: Answers to known processes that have the names while nothing changes, one
#: in sixteen.
NAMES_ANSWERS = 16
#: Names of each kind in a status, so that it fits into a datagram.
MAX_NAMES = 128
#: The platform asks for readiness twice a second and takes a host out of
#: rotation after two misses. A balancer that stops waits for that.
ROTATION_S = 1.3
#: Silence of callers after which a stopping balancer ends.
QUIET_S = 0.3
#: Part of the time to stop that the balancer uses at most.
STOP_SHARE = 0.8


class Balancer:
    """Connects the core of a balancer to the platform."""

    def __init__(self, node: Node):
        self._node = node
        self._codec = PlatformPacketCodec()
        self._checkpoints = CheckpointCache()
        self._packet_at = 0.0
        self._answers = 0
        self._rounds = 0
        self._random = node.transport.rng()
        #: Whether the process ends now; until then others write to it.
        self._is_leaving = False
        self._started_at = node.clock()
        self._core = BalancerCore(
            node.settings.datacentre, node.fleet, self._codec, self,
            node.log, node.measures, self._random, node.clock(),
        )  # fmt: skip
        node.on_message = self._on_message
        node.on_frame = self._on_frame
        node.on_routes = self._on_routes

    async def run(self) -> None:
        """Serve until the process is asked to stop."""
        node = self._node
        settings = node.settings
        node.open(self._on_packet)
        await node.serve(settings.readiness, self._answer_readiness)
        if settings.heartbeats is not None:
            await node.serve(settings.heartbeats, self._refuse_heartbeat)
        await node.serve_routes()
        await node.serve_metrics(self._gauges)
        node.introduce_seeds()
        reading = node.route_reader().follow(self._is_reader)
        node.start(reading, is_essential=True)
        node.every(STATUS_INTERVAL_S, self._send_round)
        node.every(TICK_S, lambda: self._core.tick(node.clock()))
        await node.is_stopping.wait()
        await self._stop()

    async def _stop(self) -> None:
        """Leave the rotation, then pass on what still arrives."""
        node = self._node
        node.log.change('process.stopping', node.clock())
        asked_at = node.clock()
        limit_s = STOP_SHARE * node.settings.bounds.stop_s
        while True:
            await asyncio.sleep(TICK_S)
            now = node.clock()
            is_out = now - asked_at > ROTATION_S
            is_quiet = (
                now - self._packet_at > QUIET_S and not node.link.waiting_bytes
            )
            if (is_out and is_quiet) or now - asked_at > limit_s:
                break
        self._is_leaving = True
        self._tell(self._known_ips(), names_all=False)
        await node.link.drain(limit_s - (node.clock() - asked_at))

    # The outbox of the core.

    def to_agent(
        self, ip: str, data: bytes, packet: Packet | None = None
    ) -> None:
        """Send a frame to an agent, one with a caller's packet in turn."""
        if packet is None:
            self._node.to_peer(ip, data)
        else:
            self._node.link.send_packet(ip, data, packet)

    def to_caller(self, flow: FlowKey, data: bytes) -> None:
        """Send a packet to the caller of a flow."""
        self._node.to_caller(flow, data)

    # Input.

    def _on_packet(self, raw: bytes, sender: tuple[str, int]) -> None:
        packet = self._codec.from_caller(raw)
        self._packet_at = now = self._node.clock()
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

    def _on_message(self, ip: str, message: Message) -> None:
        if isinstance(message, CheckpointPart):
            self._checkpoints.add(ip, message, self._node.clock())
        elif isinstance(message, CheckpointRequest):
            for part in self._checkpoints.parts_for(ip, message.started_ms):
                self._node.send(part, [ip])
        else:
            self._on_status(ip, message)

    def _on_status(self, ip: str, status: Status) -> None:
        node = self._node
        now = node.clock()
        if isinstance(status, AgentStatus):
            self._checkpoints.record_process(ip, status.started_ms)
            former = node.fleet.record_agent_status(ip, status, now)
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
                # Its answer has the names that it knows.
                self._tell([ip], wants_answer=True)
            greeted = [
                agent
                for agent in unpack_ips(status.agents)
                if is_new or agent not in node.fleet.agents_by_ip
            ]
            self._tell(greeted, wants_answer=True)
            self._tell(
                node.fleet.take_added_balancers(), wants_answer=True,
                names_all=False,
            )  # fmt: skip
            node.heed_revision(ip, status)
        if status.wants_answer:
            self._answers += 1
            is_turn = self._answers % NAMES_ANSWERS == 0
            names_all = is_new or is_turn or node.fleet.is_changing(now)
            self._tell([ip], names_all=names_all)

    def _on_routes(self, is_from_store: bool) -> None:
        self._core.set_routes(self._node.routes.index)
        if is_from_store:
            self._tell(self._known_ips(), names_all=False)

    def _gauges(self) -> dict[str, float]:
        now = self._node.clock()
        return {
            'flows': self._core.flow_count,
            'openings_waiting': self._core.waiting_count,
            'link_waiting_bytes': self._node.link.waiting_bytes,
            'agents_heard': len(self._node.fleet.recent_agents(now)),
        }

    # Status.

    def _status(
        self, wants_answer: bool, rounds: int, names_all: bool
    ) -> BalancerStatus:
        node = self._node
        now = node.clock()
        return BalancerStatus(
            datacentre=node.settings.datacentre,
            started_ms=node.started_ms,
            number=node.next_number(),
            revision=node.routes.revision,
            age_s=min(1e6, node.routes.age_s(now)),
            link_mbps=node.settings.link_mbps,
            is_leaving=self._is_leaving,
            knows_fleet=self._core.knows_fleet(now),
            balancers=self._names(
                view.ip
                for view in node.fleet.heard_balancers(now)
                if names_all
            ),
            agents=self._names(
                node.fleet.recent_agents(now) if names_all else ()
            ),
            interval_s=rounds * STATUS_INTERVAL_S,
            wants_answer=wants_answer,
        )

    def _names(self, ips: Iterable[str]) -> bytes:
        ips = list(ips)
        if len(ips) > MAX_NAMES:
            ips = self._random.sample(ips, MAX_NAMES)
        return pack_ips(ips)

    def _known_ips(self) -> list[str]:
        fleet = self._node.fleet
        return [*fleet.balancers_by_ip, *fleet.agents_by_ip]

    def _send_round(self) -> None:
        node = self._node
        receivers = node.begin_round()
        self._checkpoints.expire(node.clock())
        known = [*receivers.near, *receivers.far]
        self._rounds += 1
        if node.fleet.is_changing(node.clock()):
            told = node.choose_asked(known, TOLD)
        elif self._rounds % NAMES_ROUNDS == 0:
            told = node.choose_asked(known, 1)
        else:
            told = list(islice(node.fleet.balancers_without_status(), 1))
        self._tell(told, wants_answer=True)
        self._tell([ip for ip in known if ip not in told], names_all=False)
        # An agent may have forgotten this balancer; it lives if it answers.
        silent = node.fleet.silent_agents(node.clock())
        self._tell(silent, wants_answer=True, names_all=False)

    def _tell(
        self,
        ips: Iterable[str],
        wants_answer: bool = False,
        names_all: bool = True,
    ) -> None:
        self._node.tell(
            ips,
            lambda rounds: self._status(wants_answer, rounds, names_all),
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
        return node.clock() - self._started_at > PATIENCE_S

    def _is_reader(self) -> bool:
        settings = self._node.settings
        heard = self._node.fleet.heard_balancers(self._node.clock())
        return is_reader(
            ReaderCandidate(
                settings.ip, settings.datacentre, settings.link_mbps
            ),
            [
                ReaderCandidate(
                    view.ip, view.status.datacentre, view.status.link_mbps
                )
                for view in heard
            ],
        )

    def _is_standby(self) -> bool:
        settings = self._node.settings
        heard = self._node.fleet.heard_balancers(self._node.clock())
        return is_standby(
            BalancerLink(settings.ip, settings.link_mbps),
            [
                BalancerLink(view.ip, view.status.link_mbps)
                for view in heard
                if view.status.datacentre == settings.datacentre
            ],
        )

    async def _refuse_heartbeat(self, _request: Request) -> Response:
        # Only the agent beside an upstream can pass packets to it, so that
        # a heartbeat that arrives here must not be acknowledged.
        return Response(503)
