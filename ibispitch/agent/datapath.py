"""The packet path of the agent: connects the cores to the sockets."""

from collections.abc import Callable
from collections.abc import Iterable
import random
import time
from typing import Any

import msgspec

from ibispitch.admission.messages import LoadReport
from ibispitch.affinity import AdoptMovedFlow
from ibispitch.affinity import CloseFlow
from ibispitch.affinity import Deliver
from ibispitch.affinity import Drop
from ibispitch.affinity import ForgetMovedFlow
from ibispitch.affinity import Packet
from ibispitch.affinity import Relay
from ibispitch.affinity import SendMessage
from ibispitch.agent.handover import AgentSnapshot
from ibispitch.agent.handover import FlowPath
from ibispitch.agent.handover import FlowSocket
from ibispitch.agent.handover import LateDatagram
from ibispitch.agent.messages import IssuedRequest
from ibispitch.agent.messages import MovedFlow
from ibispitch.agent.paths import ReturnPaths
from ibispitch.agent.peers import Peers
from ibispitch.agent.service import ServiceCores
from ibispitch.agent.upstream import UpstreamSockets
from ibispitch.catalogue.documents import Entry
from ibispitch.datagrams import DatagramSocket
from ibispitch.decoding import decode_msgpack
from ibispitch.ids import Address
from ibispitch.ids import AgentId
from ibispitch.ids import FlowId
from ibispitch.ids import service_number
from ibispitch.limits.messages import ShareReport
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import ServiceView
from ibispitch.requests import effects as gate_effects
from ibispitch.requests.delegation import DelegatingGate
from ibispitch.requests.messages import RunCancel
from ibispitch.requests.messages import RunReply
from ibispitch.requests.messages import RunRequest
from ibispitch.requests.registry import gate_type_by_protocol
from ibispitch.telemetry import log
from ibispitch.telemetry import Metrics
from ibispitch.telemetry import Severity
from ibispitch.wire import decode_frame
from ibispitch.wire import decode_message
from ibispitch.wire import encode_frame
from ibispitch.wire import Frame
from ibispitch.wire import FrameKind
from ibispitch.wire import Keyring
from ibispitch.wire import NO_ADDRESS
from ibispitch.wire import WireError

#: Messages that only a gate that delegates runs can handle.
DELEGATION_MESSAGES = (RunRequest, RunReply, RunCancel, IssuedRequest)


class DataPath:
    """Handles the datagrams of balancers, agents and the upstream.

    :param record: own record.
    :param upstream: address of the upstream.
    :param keyring: the shared keys.
    :param metrics: counters and histograms.
    :param may_act: returns whether the process may act; it also notices that
        the process was paused.
    :param is_superseded: returns whether a later process has the agent id.
    :param rng: source of random choices.
    :param clock: monotonic time in seconds.
    :param is_takeover: whether a predecessor still has the data address;
        nothing is read before :meth:`restore`.
    """

    def __init__(
        self,
        record: AgentRecord,
        upstream: Address,
        keyring: Keyring,
        metrics: Metrics,
        may_act: Callable[[], bool],
        is_superseded: Callable[[], bool],
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
        is_takeover: bool = False,
    ):
        self._late_datagrams: list[LateDatagram] | None = None
        self._record = record
        self._number = service_number(record.service)
        self._keyring = keyring
        self._metrics = metrics
        self._may_act = may_act
        self._is_superseded = is_superseded
        self._rng = rng
        self._clock = clock
        self._datagram_counts = metrics.counts('agent.datagrams')
        self._rejection_counts = metrics.counts('wire.rejected')
        self.cores: ServiceCores | None = None
        self.return_paths = ReturnPaths()
        self.peers = Peers(
            record.agent_id, self._number, keyring, record.address
        )
        self.upstream_sockets = UpstreamSockets(
            record.address.ip,
            upstream,
            self._on_upstream_datagram,
            self._on_upstream_refused,
        )
        self._socket = DatagramSocket(
            self._on_datagram, record.address, is_takeover=is_takeover
        )
        self._handle_by_message: dict[type, Callable] = {
            LoadReport: self._on_load_report,
            ShareReport: self._on_share_report,
            RunRequest: self._on_run_request,
            RunReply: self._on_run_reply,
            RunCancel: self._on_run_cancel,
            IssuedRequest: self._on_issued_request,
        }
        self._apply_by_effect: dict[type, Callable] = {
            Deliver: self._deliver,
            Relay: self._relay,
            SendMessage: self._send_message,
            AdoptMovedFlow: self._adopt_moved,
            ForgetMovedFlow: self._forget_flow,
            CloseFlow: self._close_flow,
            Drop: self._count_drop,
            gate_effects.SendToCaller: self._send_to_caller,
            gate_effects.SendToUpstream: self._send_to_upstream,
            gate_effects.SendRun: self._send_message,
            gate_effects.SendRunReply: self._send_message,
            gate_effects.RelayToIssuer: self._relay_to_issuer,
            gate_effects.OpenSocket: self._open_socket,
            gate_effects.CloseSocket: self._close_socket,
            gate_effects.Count: self._count_event,
            gate_effects.Measure: self._record_measurement,
        }

    def on_view(self, view: ServiceView) -> None:
        """Apply a view of the service."""
        if self._late_datagrams is not None:
            return
        now = self._clock()
        self.peers.set_agents(view.agents)
        self.return_paths.set_balancers([b.address for b in view.balancers])
        if self.cores is None and not self._start_serving(view.entry, now):
            return
        self.cores.on_view(view, self._record.agent_id, now)
        incarnation_by_agent = {
            record.agent_id: record.incarnation
            for record in view.agents
            if record.agent_id != self._record.agent_id
        }
        if self._delegating_gate is not None:
            effects = self._delegating_gate.on_agents(
                incarnation_by_agent, now
            )
            self._apply_effects(effects, now)
        self._apply_effects(self.cores.affinity.on_view(view, now), now)

    def _start_serving(self, entry: Entry | None, now: float) -> bool:
        """Create the cores; return whether the entry can be served."""
        if entry is None:
            return False
        if entry.protocol not in gate_type_by_protocol:
            log(
                Severity.ERROR,
                'agent.unknown_protocol',
                service=entry.service,
                protocol=entry.protocol,
                remedy=f'use one of {sorted(gate_type_by_protocol)}',
            )
            return False
        self.cores = ServiceCores(self._record, entry, self._rng, now)
        log(
            Severity.INFO,
            'agent.serving',
            service=entry.service,
            protocol=entry.protocol,
        )
        return True

    @property
    def _delegating_gate(self) -> DelegatingGate | None:
        """The gate if it delegates runs to other agents, else ``None``."""
        gate = self.cores.gate
        return gate if isinstance(gate, DelegatingGate) else None

    def on_paused(self) -> None:
        """Hold packets until the next view, after a pause of the process."""
        if self.cores is not None:
            self.cores.affinity.on_paused(self._clock())

    def tick(self) -> None:
        """Run the timers of the cores; it is called every 20 ms."""
        if self.cores is None or self._late_datagrams is not None:
            return
        now = self._clock()
        if not self._may_act():
            return
        self._apply_effects(self.cores.affinity.tick(now), now)
        self._apply_effects(self.cores.gate.tick(now), now)
        self._report_load(now)

    def drain(self) -> None:
        """Adopt no new flows from now on."""
        if self.cores is not None:
            self.cores.affinity.set_draining()
            self.cores.admission.start_draining()

    def export(self) -> AgentSnapshot | None:
        """Stop acting and return the whole state.

        Datagrams that arrive from now on are kept for :meth:`release`.

        :returns: the state, ``None`` if no service is served yet.
        """
        if self.cores is None:
            return None
        now = self._clock()
        cores = self.cores
        snapshot = AgentSnapshot(
            affinity=cores.affinity.export(now),
            gate=cores.gate.export(now),
            sockets=[
                FlowSocket(flow, port)
                for flow, port in self.upstream_sockets.port_by_flow().items()
            ],
            paths=[
                FlowPath(flow, *path)
                for flow, path in self.return_paths.export().items()
            ],
            admission=cores.admission.export(now),
        )
        self._late_datagrams = []
        self._socket.allow_takeover()
        self.upstream_sockets.allow_takeover()
        return snapshot

    def release(self) -> list[LateDatagram]:
        """Close all sockets; return the datagrams since the export."""
        if self._late_datagrams is not None:
            self._socket.receive_pending()
            self.upstream_sockets.receive_pending()
        self.close()
        return self._late_datagrams or []

    def resume(self, snapshot: AgentSnapshot) -> None:
        """Act again after a handover that failed."""
        late, self._late_datagrams = self._late_datagrams or [], None
        self._restore_cores(snapshot)
        self._replay(late)

    def bind(self, snapshot: AgentSnapshot) -> None:
        """Open the sockets that the predecessor still has open."""
        for socket in snapshot.sockets:
            self.upstream_sockets.open(
                socket.flow, socket.port, is_takeover=True
            )

    def restore(
        self, snapshot: AgentSnapshot, late: Iterable[LateDatagram]
    ) -> None:
        """Start to act with the state of a predecessor.

        :param snapshot: the state.
        :param late: datagrams that the predecessor received after its
            export.
        """
        self._restore_cores(snapshot)
        self._replay(late)
        self._socket.start()
        self.upstream_sockets.start()

    def _restore_cores(self, snapshot: AgentSnapshot) -> None:
        now = self._clock()
        view = next(
            message
            for message in snapshot.affinity
            if isinstance(message, ServiceView)
        )
        self.cores = cores = ServiceCores(
            self._record, view.entry, self._rng, now
        )
        self.peers.set_agents(view.agents)
        self.return_paths.set_balancers([b.address for b in view.balancers])
        cores.on_view(view, self._record.agent_id, now)
        cores.admission.restore(snapshot.admission, now)
        for path in snapshot.paths:
            self.return_paths.record_packet(
                path.flow, path.balancer, path.destination, now
            )
        self._apply_effects(
            cores.affinity.restore(snapshot.affinity, now), now
        )
        self._apply_effects(cores.gate.restore(snapshot.gate, now), now)

    def _replay(self, late: Iterable[LateDatagram]) -> None:
        for datagram in late:
            if datagram.flow:
                self._on_upstream_datagram(datagram.flow, datagram.data)
            else:
                self._on_datagram(datagram.data, tuple(datagram.sender))

    def _report_load(self, now: float) -> None:
        admission = self.cores.admission
        due = admission.loads.peers_due(now)
        if not due:
            return
        self.cores.rebalance(now)
        report = admission.load_report(now)
        for agent_id in due:
            self._send_to_agent(agent_id, report)
            shares = self.cores.limits.share_report(agent_id)
            if shares is not None:
                self._send_to_agent(agent_id, shares)

    def _send_to_agent(self, to: AgentId, message: Any) -> None:
        address = None
        if self.cores is not None:
            address = self.cores.affinity.address_of(to)
        self.peers.send_message(self._socket, to, message, address)

    def _reject(self, fault: str) -> None:
        self._rejection_counts[(('fault', fault),)] += 1

    def _on_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        if self._late_datagrams is not None:
            self._late_datagrams.append(
                LateDatagram(FlowId(b''), Address(*sender), data)
            )
            return
        try:
            frame = decode_frame(self._keyring, data)
        except WireError as error:
            self._reject(error.fault.value)
            return
        if frame.service != self._number:
            self._reject('wrong_service')
        elif self.cores is None:
            self._reject('not_serving')
        elif frame.kind in (FrameKind.FORWARD, FrameKind.RELAY):
            self._on_packet(frame, Address(*sender))
        elif frame.kind == FrameKind.CONTROL:
            self._on_control(frame, Address(*sender))
        else:
            self._reject('bad_kind')

    def _agent_at(self, sender: Address) -> AgentId | None:
        known = self.cores.affinity.agent_at(sender)
        return known or self.peers.agent_at(sender)

    def _on_packet(self, frame: Frame, sender: Address) -> None:
        now = self._clock()
        relayed_by = None
        if frame.kind == FrameKind.RELAY:
            relayed_by = self._agent_at(sender)
        packet = Packet(
            frame.flow,
            frame.hops,
            False,
            relayed_by,
            frame.balancer,
            frame,
        ).with_flags(frame.flags)
        self._may_act()
        if self._is_superseded():
            return
        self._datagram_counts[(('path', 'in'),)] += 1
        self._apply_effects(self.cores.affinity.on_packet(packet, now), now)

    def _on_control(self, frame: Frame, sender: Address) -> None:
        try:
            message = decode_message(frame.payload)
        except WireError as error:
            self._reject(error.fault.value)
            return
        now = self._clock()
        self._may_act()
        handle = self._handle_by_message.get(type(message))
        known = self._agent_at(sender)
        if (
            isinstance(message, DELEGATION_MESSAGES)
            and self._delegating_gate is None
        ):
            self._reject('no_delegation')
            return
        if handle is not None and known is not None:
            handle(known, message, now)
        elif handle is not None:
            self._reject('unknown_sender')
        else:
            effects = self.cores.affinity.on_message(known, message, now)
            self._apply_effects(effects, now)

    def _on_load_report(self, _: AgentId, report: LoadReport, now) -> None:
        self.cores.admission.loads.on_report(report, now)

    def _on_share_report(self, _: AgentId, report: ShareReport, __) -> None:
        self.cores.share_reports.append(report)

    def _on_run_request(self, sender, request: RunRequest, now) -> None:
        self._apply_effects(
            self._delegating_gate.on_run_request(sender, request, now), now
        )

    def _on_run_reply(self, sender, reply: RunReply, now) -> None:
        if reply.load is not None:
            loads = self.cores.admission.loads
            loads.on_load(sender, reply.load, now)
        self._apply_effects(
            self._delegating_gate.on_run_reply(sender, reply, now), now
        )

    def _on_run_cancel(self, sender, cancel: RunCancel, now) -> None:
        self._apply_effects(
            self._delegating_gate.on_run_cancel(sender, cancel, now), now
        )

    def _on_issued_request(
        self, _: AgentId, message: IssuedRequest, now
    ) -> None:
        self.return_paths.record_packet(
            message.flow, message.balancer, message.destination, now
        )
        self._apply_effects(
            self.cores.gate.on_caller_datagram(
                message.flow, message.datagram, now, relayed=True
            ),
            now,
        )

    def _on_upstream_datagram(self, flow: FlowId, datagram: bytes) -> None:
        if self._late_datagrams is not None:
            self._late_datagrams.append(
                LateDatagram(flow, self._record.address, datagram)
            )
            return
        now = self._clock()
        self._may_act()
        self._datagram_counts[(('path', 'upstream'),)] += 1
        self.cores.affinity.record_activity(flow, now)
        self._apply_effects(
            self.cores.gate.on_upstream_datagram(flow, datagram, now), now
        )

    def _on_upstream_refused(self, flow: FlowId, datagram: bytes) -> None:
        now = self._clock()
        self._metrics.count('agent.upstream_refused')
        self._apply_effects(
            self.cores.gate.on_upstream_refused(flow, datagram, now), now
        )

    def _apply_effects(self, effects: Iterable[Any], now: float) -> None:
        for effect in effects:
            self._apply_by_effect[type(effect)](effect, now)

    def _deliver(self, effect: Deliver, now: float) -> None:
        frame = effect.packet.payload
        self.return_paths.record_packet(
            frame.flow, frame.balancer, frame.destination, now
        )
        if effect.is_new:
            self._metrics.count('affinity.adopted')
            self.cores.admission.record_flow_opened(now)
        self._apply_effects(
            self.cores.gate.on_caller_datagram(frame.flow, frame.payload, now),
            now,
        )

    def _relay(self, effect: Relay, now: float) -> None:
        packet = effect.packet
        self._metrics.count('affinity.relayed')
        self.peers.relay(
            self._socket,
            effect.to,
            packet.payload._replace(hops=packet.hops, flags=packet.flags),
            self.cores.affinity.address_of(effect.to),
        )

    def _send_message(self, effect: Any, now: float) -> None:
        self._send_to_agent(effect.to, effect.message)

    def _close_flow(self, effect: CloseFlow, now: float) -> None:
        self._metrics.count('affinity.closed')
        self.cores.admission.record_flow_closed()
        self._apply_effects(self.cores.gate.close_flow(effect.flow, now), now)
        self.return_paths.forget(effect.flow)

    def move_flows(self, limit: int) -> int:
        """Move flows without running requests to other agents.

        :param limit: greatest number of flows to move in this call.
        :returns: number of flows that this agent owns or is still moving.
        """
        if self.cores is None:
            return 0
        now = self._clock()
        affinity = self.cores.affinity
        left = limit
        # The state of an opaque flow is in its upstream, so the flow cannot
        # be moved and stays until the deadline.
        flows = affinity.flows() if self._delegating_gate is not None else []
        for flow in flows:
            if not left:
                break
            left -= self._move_flow(flow, now)
        return affinity.flow_count + affinity.unfinished_moves

    def _move_flow(self, flow: FlowId, now: float) -> bool:
        affinity = self.cores.affinity
        target = affinity.move_target(now)
        if target is None or affinity.is_moving(flow):
            return False
        data, effects = self.cores.gate.export_flow(flow, now)
        self._apply_effects(effects, now)
        if data is None:
            return False
        moved = MovedFlow(*self.return_paths.last_path(flow), data)
        payload = msgspec.msgpack.encode(moved)
        self._apply_effects(
            affinity.move_flow(flow, target, payload, now), now
        )
        return True

    def _adopt_moved(self, effect: AdoptMovedFlow, now: float) -> None:
        try:
            moved = decode_msgpack(effect.data, MovedFlow)
            self.return_paths.record_packet(
                effect.flow, moved.balancer, moved.destination, now
            )
            self._apply_effects(
                self.cores.gate.adopt_flow(moved.data, now), now
            )
        except ValueError:
            self._reject('bad_message')
            return
        self._metrics.count('affinity.moved_here')
        self.cores.admission.record_flow_opened(now)

    def _forget_flow(self, effect: ForgetMovedFlow, now: float) -> None:
        self._metrics.count('affinity.moved_away')
        self.cores.admission.record_flow_closed()
        self.return_paths.forget(effect.flow)

    def _count_drop(self, effect: Drop, now: float) -> None:
        self._metrics.count('affinity.dropped', reason=effect.reason.value)

    def _send_to_caller(
        self, effect: gate_effects.SendToCaller, now: float
    ) -> None:
        chosen = self.return_paths.choose(effect.flow, now, effect.tries)
        if chosen is None:
            self._metrics.count('agent.no_return_path')
            return
        balancer, destination = chosen
        frame = Frame(
            FrameKind.REPLY,
            0,
            0,
            self._number,
            effect.flow,
            NO_ADDRESS,
            effect.datagram,
            destination,
        )
        self._datagram_counts[(('path', 'out'),)] += 1
        self._socket.send(encode_frame(self._keyring, frame), balancer)

    def _send_to_upstream(
        self, effect: gate_effects.SendToUpstream, now: float
    ) -> None:
        try:
            self.upstream_sockets.send(effect.flow, effect.datagram)
        except OSError:
            self._metrics.count('agent.no_socket')

    def _relay_to_issuer(
        self, effect: gate_effects.RelayToIssuer, now: float
    ) -> None:
        balancer, destination = self.return_paths.last_path(effect.flow)
        self._metrics.count('requests.relayed_to_issuer')
        self._send_to_agent(
            effect.to,
            IssuedRequest(effect.flow, balancer, destination, effect.datagram),
        )

    def _open_socket(
        self, effect: gate_effects.OpenSocket, now: float
    ) -> None:
        try:
            self.upstream_sockets.open(effect.flow)
        except OSError:
            self._metrics.count('agent.no_socket')

    def _close_socket(
        self, effect: gate_effects.CloseSocket, now: float
    ) -> None:
        self.upstream_sockets.close(effect.flow)

    def _count_event(self, effect: gate_effects.Count, now: float) -> None:
        self._metrics.counts(effect.name)[effect.labels] += 1

    def _record_measurement(
        self, effect: gate_effects.Measure, now: float
    ) -> None:
        self._metrics.record(
            effect.name,
            effect.value,
            owner=self.cores.entry.owner,
            class_name=self.cores.entry.class_name,
            **dict(effect.labels),
        )

    def close(self) -> None:
        """Close all sockets."""
        self._socket.close()
        self.upstream_sockets.close_all()
