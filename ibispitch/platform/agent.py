"""The agent program for this platform."""

import asyncio
from collections.abc import Iterable

from ibispitch.checkpoint.core import CheckpointCollector
from ibispitch.checkpoint.messages import CheckpointPart
from ibispitch.checkpoint.messages import CheckpointRequest
from ibispitch.fleet.messages import AgentStatus
from ibispitch.fleet.messages import BalancerStatus
from ibispitch.fleet.messages import Message
from ibispitch.fleet.rounds import STATUS_INTERVAL_S
from ibispitch.forwarding.agent import AgentCore
from ibispitch.forwarding.frames import Forward
from ibispitch.forwarding.frames import Frame
from ibispitch.forwarding.frames import OpeningAge
from ibispitch.forwarding.frames import OwnershipQuestions
from ibispitch.forwarding.packets import FlowKey
from ibispitch.gate.core import Gate
from ibispitch.platform.directory import add_stored_balancers
from ibispitch.platform.http import Request
from ibispitch.platform.http import Response
from ibispitch.platform.metrics import Counts
from ibispitch.platform.node import Node
from ibispitch.platform.packets import PlatformPacketCodec
from ibispitch.platform.transport import ProbeResult
from ibispitch.platform.upstreams import decode_heartbeat
from ibispitch.platform.upstreams import upstream_id
from ibispitch.platform.upstreams import UpstreamIdentity
from ibispitch.routes.source import RoutesOrigin

#: Delay of a status message after a change of load, so that changes in quick
#: succession cost one message. It is shorter than a request takes.
NOTIFY_DELAY_S = 0.008
#: Number of balancers that an agent asks for their status in each round.
BALANCERS_ASKED_PER_ROUND = 1
#: Interval at which closed and idle flows are removed.
SWEEP_INTERVAL_S = 0.5
#: Interval at which the gate of a cold upstream is checked.
GATE_CHECK_INTERVAL_S = 0.05
#: Part of the time that the platform allows a killed process for its return.
#: A restarted agent counts as recently killed for this part.
RECENT_START_SHARE = 0.85
#: Number of balancers that keep the flows of a stopping agent: one may stop
#: as well, another may be cut off.
CHECKPOINT_COPIES = 3
#: Time after its start in which an agent asks balancers for its saved flows.
RESTORE_WINDOW_S = 5.0
#: Time-out of the health check after a restart. The upstream is on the same
#: host, and a later answer would not arrive before the next heartbeat.
HEALTH_TIMEOUT_S = 0.4
HEALTHY_STATUS = 200
#: Time that a stopping agent waits for its last messages to be sent.
LAST_SEND_S = 0.02
#: Times after the announced end of an upstream at which it is checked whether
#: it still runs. Most exit within milliseconds.
EXIT_CHECKS_S = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
#: Time-out of an attempt to connect to the upstream, on the same host.
CONNECT_TIMEOUT_S = 0.2


class Agent:
    """Connects an :class:`AgentCore` to the platform."""

    def __init__(self, node: Node):
        settings = node.settings
        self._node = node
        self._codec = PlatformPacketCodec()
        self._upstream_address = settings.upstream_address
        self._identity = UpstreamIdentity(
            settings.service, settings.upstream_address, settings.datacentre
        )
        self._upstream_socket = None
        self._has_checked_health = False
        self._started_at = node.clock()
        self._collector = CheckpointCollector()
        self._notification: asyncio.TimerHandle | None = None
        gate = Gate(
            settings.service, settings.datacentre, settings.heartbeat_s,
            settings.bounds.cold,
        )  # fmt: skip
        self._core = AgentCore(
            gate,
            self._codec,
            self,
            node.log,
            node.histograms,
            settings.is_first_start,
            RECENT_START_SHARE * settings.bounds.stability_s,
            node.clock(),
            node.overload,
        )
        node.on_message = self._on_message
        node.on_frame = self._on_frame
        node.on_routes = self._on_routes

    async def run(self) -> None:
        """Serve until the process receives a signal to stop."""
        node = self._node
        settings = node.settings
        node.open(self._ignore_packet)
        self._upstream_socket = node.bind(
            self._on_upstream, settings.upstream_reply_address
        )
        await node.serve(settings.heartbeat_address, self._answer_heartbeat)
        await node.serve(settings.readiness_address, self._answer_readiness)
        await node.serve_metrics(self._gauges, self._counters)
        node.add_seeds()
        following = node.exchange.make_route_reader().follow(lambda: False)
        node.start(following, is_essential=True)
        node.every_round(self._send_round)
        node.start(self._add_stored_balancers())
        node.every(SWEEP_INTERVAL_S, lambda: self._core.sweep(node.clock()))
        node.every(GATE_CHECK_INTERVAL_S, self._check_gate)
        await node.is_stopping.wait()
        # The process is also stopped after its upstream has ended for good.
        await self._check_exit()
        self._save_flows()
        await asyncio.sleep(LAST_SEND_S)
        await node.link.drain()

    def _save_flows(self) -> None:
        """Close the gate and send the flows to some balancers."""
        node = self._node
        now = node.clock()
        parts = self._core.stop(node.started_ms, now)
        self._send_status_to_all()
        datacentre = node.settings.datacentre
        balancers = sorted(
            node.fleet.balancers_by_ip.values(),
            key=lambda view: (
                not node.fleet.has_recent_status(view, now),
                node.fleet.is_far(view.ip, datacentre),
            ),
        )
        ips = [view.ip for view in balancers[:CHECKPOINT_COPIES]]
        for part in parts:
            node.send(part, ips)
        node.log.change(
            'flows.saved', now, balancers=ips, flows=self._core.flow_count
        )

    async def _add_stored_balancers(self) -> None:
        """Contact the balancers that the store lists, if it is needed."""
        if await add_stored_balancers(self._node) is not None:
            self._send_status(self._node.fleet.take_added_balancers())

    # Outbox of the core.

    def to_balancer(self, ip: str, data: bytes) -> None:
        """Send a frame to a balancer."""
        self._node.to_peer(ip, data)

    def to_upstream(self, raw: bytes) -> None:
        """Send a caller's packet to the upstream."""
        self._upstream_socket.send(raw, self._upstream_address)

    def to_caller(self, flow: FlowKey, raw: bytes) -> None:
        """Send an upstream's packet to the caller of a flow."""
        self._node.to_caller(flow, raw)

    # Input.

    def _ignore_packet(self, _raw: bytes, _sender: tuple[str, int]) -> None:
        """Drop packets at the packet port; balancers use the peer port."""

    def _on_upstream(self, raw: bytes, sender: tuple[str, int]) -> None:
        packet = self._codec.from_upstream(raw)
        now = self._node.clock()
        if packet is None:
            self._node.log.change('packet.unreadable', now, sender=sender[0])
            return
        self._core.receive_upstream(packet, now)
        self._schedule_notification()

    def _on_frame(self, ip: str, frame: Frame) -> None:
        node = self._node
        now = node.clock()
        if isinstance(frame, Forward):
            self._core.receive(ip, frame, now)
            if frame.position > node.routes.position:
                node.exchange.fetch_if_newer(ip, frame.position)
            self._schedule_notification()
        elif isinstance(frame, OwnershipQuestions):
            self._core.answer_questions(ip, frame, now)
        elif isinstance(frame, OpeningAge):
            self._core.receive_age(frame, now)

    def _on_message(self, ip: str, message: Message) -> None:
        if isinstance(message, BalancerStatus):
            self._on_status(ip, message)
        elif isinstance(message, CheckpointPart):
            flows = self._collector.add(message)
            if flows is not None:
                now = self._node.clock()
                self._core.restore(message.incarnation, flows, now)

    def _on_status(self, ip: str, status: BalancerStatus) -> None:
        node = self._node
        now = node.clock()
        if node.fleet.record_balancer_status(ip, status, now):
            node.log.change('fleet.balancer', now, balancer=ip)
            self._send_status([ip])
            # A first start has no predecessor that saved flows.
            is_restart = not node.settings.is_first_start
            if is_restart and now - self._started_at < RESTORE_WINDOW_S:
                node.send(CheckpointRequest(node.started_ms), [ip])
        elif status.wants_answer:
            self._send_status([ip])
        self._send_status(node.fleet.take_added_balancers())
        node.exchange.check_position(ip, status)

    def _on_routes(self, _origin: RoutesOrigin) -> None:
        node = self._node
        self._core.set_routes(node.routes.index, node.clock())
        self._schedule_notification()
        if not self._has_checked_health and not node.settings.is_first_start:
            self._has_checked_health = True
            node.start(self._check_health())

    async def _check_health(self) -> None:
        """Check the upstream's health once after a restart of the agent.

        The next heartbeat may arrive more than a second later.
        """
        node = self._node
        gate = self._core.gate
        limits = node.routes.index.limits_by_service.get(node.settings.service)
        if gate.heartbeat is not None or limits is None:
            return
        client = node.transport.http_client(self._upstream_address)
        try:
            response = await client.call(
                'GET', limits.health_path, b'', HEALTH_TIMEOUT_S
            )
        except ConnectionRefusedError as error:
            # Nothing listens at the upstream's address.
            result = repr(error)
            self._core.record_no_upstream(0, node.clock())
            self._send_status_to_all()
        except (OSError, TimeoutError) as error:
            result = repr(error)
        else:
            result = response.status
        client.close()
        now = node.clock()
        if result == HEALTHY_STATUS and gate.heartbeat is None:
            gate.record_health_answer(now)
            self._send_status_to_all()
        node.log.change('upstream.checked', now, result=result)

    async def _await_exit(self) -> None:
        """Wait until the upstream that has announced its end has exited."""
        incarnation = self._core.gate.incarnation
        waited_s = 0.0
        for at_s in EXIT_CHECKS_S:
            await asyncio.sleep(at_s - waited_s)
            waited_s = at_s
            if (
                self._core.gate.incarnation != incarnation
                or await self._check_exit()
            ):
                return

    async def _check_exit(self) -> bool:
        """Check whether the upstream has exited.

        :returns: whether nothing listens at its address.
        """
        node = self._node
        incarnation = self._core.gate.incarnation
        try:
            result = await node.transport.probe(
                self._upstream_address, CONNECT_TIMEOUT_S
            )
        except OSError as error:
            node.log.change(
                'upstream.not_probed', node.clock(), error=repr(error)
            )
            return False
        if result is not ProbeResult.REFUSED:
            return False
        if self._core.record_no_upstream(incarnation, node.clock()):
            self._send_status_to_all()
        return True

    def _gauges(self) -> dict[str, float]:
        core = self._core
        return {
            'flows': core.flow_count,
            'long_flows': core.flows.long_flows,
            'requests_running': core.flows.running,
            'openings_held': len(core.openings),
            'requests_held': core.requests.held_count,
            'requests_held_bytes': core.requests.held_bytes,
            'work_seconds': core.outcomes.work_s(self._node.clock()),
            'requests_failing': core.outcomes.failure_share(
                self._node.clock()
            ),
        }

    def _counters(self) -> Iterable[Counts]:
        service = self._node.settings.service
        counts = self._core.requests.count_by_kind_and_outcome
        yield Counts(
            'scheduled_requests',
            'Requests at the scheduler; each held one also has an end',
            ('service', 'kind', 'outcome'),
            {(service, *key): count for key, count in counts.items()},
        )

    # Status.

    def _make_status(self, wants_answer: bool, rounds: int) -> AgentStatus:
        node = self._node
        core = self._core
        gate = core.gate
        now = node.clock()
        state = gate.state(now)
        return AgentStatus(
            datacentre=node.settings.datacentre,
            service=node.settings.service,
            started_ms=node.started_ms,
            number=node.next_message_number(),
            incarnation=gate.incarnation,
            state=state,
            slots=gate.slots,
            running=core.load(now),
            work_s=core.outcomes.work_s(now),
            failing=round(core.outcomes.failure_share(now), 2),
            long_flows=core.flows.long_flows,
            cold_openings=gate.cold_openings(node.routes.index, now),
            cold_left_s=gate.cold_left_s(now),
            revision=node.routes.position.revision,
            interval_s=rounds * STATUS_INTERVAL_S,
            wants_answer=wants_answer,
            reuse=core.flows.reuse.report(),
            cold_limit=gate.cold_limit(node.routes.index),
            late=core.late_load(now),
        )

    def _send_round(self) -> None:
        receivers = self._node.begin_round()
        # A few answers in each round are enough to learn of new routes and
        # hosts.
        known = receivers.near or receivers.far
        asked = self._node.choose_to_ask(known, BALANCERS_ASKED_PER_ROUND)
        self._send_status(asked, wants_answer=True)
        self._send_status(
            ip for ip in (*receivers.near, *receivers.far) if ip not in asked
        )

    def _check_gate(self) -> None:
        self._core.check_cold_openings(self._node.clock())
        self._schedule_notification()

    def _schedule_notification(self) -> None:
        """Schedule a status for the balancers that use this agent.

        Does nothing if the load has not changed.
        """
        if self._core.flows.is_changed and self._notification is None:
            self._notification = asyncio.get_running_loop().call_later(
                NOTIFY_DELAY_S, self._send_notification
            )

    def _send_notification(self) -> None:
        self._notification = None
        self._core.flows.is_changed = False
        now = self._node.clock()
        self._send_status(self._core.recent_balancers(now))

    # HTTP.

    async def _answer_heartbeat(self, request: Request) -> Response:
        node = self._node
        name = upstream_id(request)
        if name is None:
            return Response(404)
        now = node.clock()
        if request.method == 'DELETE':
            if self._core.record_leaving(name, now):
                self._send_status_to_all()
                node.start(self._await_exit())
            return Response(200, b'{}')
        if request.method != 'PUT':
            return Response(405)
        try:
            heartbeat = decode_heartbeat(name, request.body, self._identity)
        except ValueError as error:
            node.log.change('upstream.unreadable', now, error=str(error))
            return Response(400)
        if self._core.receive_heartbeat(heartbeat, now):
            self._send_status_to_all()
        return Response(200, b'{}')

    def _send_status_to_all(self) -> None:
        """Send a changed state to all balancers at once.

        Those of other data centres get it with the next report.
        """
        self._send_status(self._node.direct_receivers())

    def _send_status(
        self, ips: Iterable[str], wants_answer: bool = False
    ) -> None:
        self._node.send_status(
            ips, lambda rounds: self._make_status(wants_answer, rounds)
        )

    async def _answer_readiness(self, _request: Request) -> Response:
        return Response(200)
