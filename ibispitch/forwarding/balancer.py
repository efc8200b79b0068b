"""Decisions of a balancer on the packets of callers."""

from collections import defaultdict
import math
import random
import socket
from typing import Any
from typing import Protocol

from ibispitch.decisionlog import DecisionLog
from ibispitch.fleet.core import AgentView
from ibispitch.fleet.core import Fleet
from ibispitch.forwarding import frames
from ibispitch.forwarding.frames import MAX_TRIED
from ibispitch.forwarding.frames import Purpose
from ibispitch.forwarding.frames import Question
from ibispitch.forwarding.frames import Reason
from ibispitch.forwarding.packets import FlowKey
from ibispitch.forwarding.packets import Packet
from ibispitch.forwarding.packets import PacketCodec
from ibispitch.gate.core import STATES_ADMITTING_FLOWS
from ibispitch.histograms import LatencyHistograms
from ibispitch.histograms import Series
from ibispitch.ids import DatacentreName
from ibispitch.ids import ServiceName
from ibispitch.locating import core as locating
from ibispitch.locating.core import Locator
from ibispitch.locating.table import FlowTable
from ibispitch.locating.table import Owner
from ibispitch.placement.core import choose_agent
from ibispitch.routes.model import Route
from ibispitch.routes.model import RouteIndex
from ibispitch.waiting.core import ATTEMPT_TIMEOUT_S
from ibispitch.waiting.core import first_copy_sent_at
from ibispitch.waiting.core import Opening
from ibispitch.waiting.core import OpeningQueue

#: Age at which a balancer knows enough of the fleet to say that a flow is
#: nowhere: a round of status messages.
SETTLE_S = 0.4
#: The same for a balancer that was not told the agents by one that knows
#: them: all processes may have been killed, and come back within 2 s, or its
#: seeds are stale, and are corrected within 3 s.
SETTLE_UNTOLD_S = 3.5
#: Time since an agent was first heard after which no more are expected: an
#: agent greets all balancers within milliseconds of its start.
GROWTH_S = 0.25
#: Silence of an agent after an opening that a copy of the opening takes as
#: a sign that the agent is gone.
MUTE_S = 0.15

#: Reasons of agents that mean that a flow is over, as log lines say it.
WHY_OVER = {
    Reason.ENDED: 'flow ended',
    Reason.OTHER_UPSTREAM: 'upstream ended',
}


class BalancerOutbox(Protocol):
    """Where a balancer sends datagrams."""

    def to_agent(
        self, ip: str, data: bytes, packet: Packet | None = None
    ) -> None:
        """Send a frame to an agent.

        :param packet: the caller's packet in the frame, if it may have to
            wait for the link.
        """

    def to_caller(self, flow: FlowKey, data: bytes) -> None:
        """Send a packet to the caller of a flow."""


def ip_number(ip: str) -> int:
    """Return an IPv4 address as a number.

    >>> ip_number('10.1.0.12')
    167837708
    """
    return int.from_bytes(socket.inet_aton(ip), 'big')


class BalancerCore:
    """Places new flows and forwards the packets of open ones.

    :param datacentre: the data centre of the balancer.
    :param fleet: agents and balancers that are known.
    :param codec: reads the packets.
    :param outbox: where datagrams go.
    :param log: lines on decisions.
    :param histograms: gets the time that openings wait.
    :param rng: breaks ties.
    :param now: time of the start, in seconds.
    """

    def __init__(
        self,
        datacentre: DatacentreName,
        fleet: Fleet,
        codec: PacketCodec,
        outbox: BalancerOutbox,
        log: DecisionLog,
        histograms: LatencyHistograms,
        rng: random.Random,
        now: float,
    ):
        self._datacentre = datacentre
        self._fleet = fleet
        self._codec = codec
        self._outbox = outbox
        self._log = log
        self._measures = histograms
        self._rng = rng
        self._started_at = now
        self._table = FlowTable()
        self._locator = Locator(fleet, datacentre)
        self._line = OpeningQueue()
        self.routes: RouteIndex | None = None

    def set_routes(self, routes: RouteIndex) -> None:
        """Use new routes for new flows; open flows stay where they are."""
        self.routes = routes

    def receive(self, packet: Packet, now: float) -> None:
        """Handle a packet of a caller."""
        if packet.is_opening:
            self._locator.forget(packet.flow)
            self._open(packet, (), now)
            return
        owner = self._table.get(packet.flow)
        if owner is None:
            self._search(packet, now)
        elif self._fleet.has_lost_flows(
            owner.ip, owner.incarnation, now
        ) and not self._fleet.has_other_upstream(
            owner.ip, owner.incarnation, now
        ):
            self._end(owner, packet, 'upstream ended', now)
        else:
            self._forward(owner, packet)

    def receive_returned_packet(
        self, ip: str, returned: frames.Return, now: float
    ) -> None:
        """Handle a packet that an agent handed back."""
        packet = self._codec.from_caller(returned.raw)
        if packet is None:
            return
        reason = returned.reason
        if packet.is_opening:
            tried = (*returned.tried, ip_number(ip))
            self._log.decision(
                'flow.handed_back', packet.flow, now,
                agent=ip, reason=reason.name,
            )  # fmt: skip
            self._open(packet, tried[-MAX_TRIED:], now)
        elif reason in WHY_OVER:
            owner = self._table.get(packet.flow)
            if owner is not None and owner.ip != ip:
                return
            if reason is Reason.ENDED:
                # Its agent has seen that the flow was at this upstream.
                self._reset(packet, WHY_OVER[reason], now, agent=ip)
            else:
                self._end(owner, packet, WHY_OVER[reason], now)
        else:
            owner = self._table.get(packet.flow)
            if owner is None:
                service = self._service(packet.flow)
                self._take(
                    self._locator.receive_denial(ip, packet, service, now), now
                )
            elif owner.ip == ip:
                self._table.pop(packet.flow)
                self._search(packet, now)

    def receive_answers(
        self, ip: str, tell: frames.OwnershipAnswers, now: float
    ) -> None:
        """Handle an agent's answers on flows."""
        self._take(self._locator.receive_answers(ip, tell, now), now)

    def tick(self, now: float) -> None:
        """Handle what is due."""
        self._take(self._locator.expire(now), now)
        if self._line:
            self._place_waiting(now)
        if self.routes is not None:
            self._table.expire(self.routes.table.idle_timeout_s, now)

    @property
    def flow_count(self) -> int:
        """Flows that are remembered."""
        return len(self._table)

    @property
    def waiting_count(self) -> int:
        """Openings that wait for an upstream."""
        return len(self._line)

    # New flows.

    def _open(
        self, packet: Packet, tried: tuple[int, ...], now: float
    ) -> None:
        flow = packet.flow
        if self.routes is None:
            self._wait(packet, now)
            return
        route = self._route(flow)
        if route is None:
            self._reset(packet, 'no route', now)
            return
        view = None
        owner = self._table.get(flow)
        if owner is not None and packet.acknowledged and not tried:
            view = self._view_for_copy(owner, packet, now)
        if view is None:
            view = self._place(route, flow, tried, now)
        if view is not None and self._yields(view, packet, now):
            view = None
        if view is None:
            self._wait(packet, now)
            return
        status = view.status
        opening = self._line.remove_placed(flow, now)
        waited_s = now - opening.sent_at if opening else 0.0
        self._measures.record(
            Series('opening_wait', status.service, route.kind.value), waited_s
        )
        view.flows_since_status += 1
        is_sole = self._is_sole(owner, view.ip, packet, tried, now)
        self._table.put(flow, Owner(view.ip, status.incarnation, now, is_sole))
        self._outbox.to_agent(
            view.ip,
            frames.encode_forward(
                Purpose.OPENING, self.routes.revision, status.incarnation,
                packet.raw, tried,
            ),
        )  # fmt: skip
        self._log.decision(
            'flow.placed', flow, now,
            agent=view.ip, load=round(view.load, 2),
            age_ms=round(1000 * (now - view.heard_at)),
            waited_ms=round(1000 * waited_s),
            copy=packet.acknowledged, revision=self.routes.revision,
        )  # fmt: skip

    def _view_for_copy(
        self, owner: Owner, packet: Packet, now: float
    ) -> AgentView | None:
        """Return the agent that got the first copy, unless it is silent."""
        view = self._fleet.agents_by_ip.get(owner.ip)
        if view is None or not self._takes_openings(view, now):
            return None
        if view.heard_at < owner.placed_at and (
            now - owner.placed_at > MUTE_S
        ):
            view.is_unresponsive = True
            return None
        return view

    @staticmethod
    def _is_sole(
        former: Owner | None,
        ip: str,
        packet: Packet,
        tried: tuple[int, ...],
        now: float,
    ) -> bool:
        """Return whether only this agent can have got the opening.

        :param former: the owner that the flow had, if it had one.
        :param ip: the agent that gets the opening now.
        """
        if former is None or now - former.placed_at > ATTEMPT_TIMEOUT_S:
            return not packet.acknowledged and not tried
        if former.ip == ip:
            return former.is_only_recipient
        # The first copy may be at the agent that hands back a later one.
        is_handed_back = not packet.acknowledged and (
            bool(tried) and tried[-1] == ip_number(former.ip)
        )
        return former.is_only_recipient and is_handed_back

    def _place(
        self, route: Route, flow: FlowKey, tried: tuple[int, ...], now: float
    ) -> AgentView | None:
        views = (
            view
            for view in self._fleet.agents_of(route.service_for(flow))
            if self._takes_openings(view, now)
            and not (tried and ip_number(view.ip) in tried)
        )
        return choose_agent(views, route, self._datacentre, self._rng)

    def _takes_openings(self, view: AgentView, now: float) -> bool:
        status = view.status
        return (
            status.state in STATES_ADMITTING_FLOWS
            and not view.is_unresponsive
            and status.datacentre not in self.routes.table.out
            and self._fleet.has_recent_status(view, now)
        )

    def _yields(self, view: AgentView, packet: Packet, now: float) -> bool:
        """Return whether an opening leaves a cold upstream to others."""
        if view.status.cold_openings is None:
            return False
        opening = self._line.get(packet.flow) or self._opening(packet, now)
        left = sum(
            max(
                0, (other.status.cold_openings or 0) - other.flows_since_status
            )
            for other in self._fleet.agents_of(opening.service)
        )
        balancers = 1 + len(self._fleet.heard_balancers(now))
        relief_s = self._relief_s(opening.service)
        return self._line.should_defer(
            opening, left / balancers, relief_s, now
        )

    def _opening(self, packet: Packet, now: float) -> Opening:
        service = self._service(packet.flow)
        return Opening(
            packet,
            service,
            self._route(packet.flow),
            first_copy_sent_at(packet, now),
            self._work_s(service),
        )

    def _wait(self, packet: Packet, now: float) -> None:
        """Keep an opening until an upstream can take it."""
        opening = self._opening(packet, now)
        relief_s = self._relief_s(opening.service)
        if not self._line.add(opening, relief_s, now):
            self._refuse(opening, now)

    def _refuse(self, opening: Opening, now: float) -> None:
        self._reset(
            opening.packet, 'cannot be served in time', now,
            waited_ms=round(1000 * (now - opening.sent_at)),
            waiting=len(self._line),
        )  # fmt: skip

    def _work_s(self, service: ServiceName | None) -> float:
        """Return the mean time of a request, 0 if no agent has measured it."""
        known = [
            view.status.work_s
            for view in self._fleet.agents_of(service)
            if view.status.work_s > 0.0
        ]
        return sum(known) / len(known) if known else 0.0

    def _relief_s(self, service: ServiceName | None) -> float:
        """Return the time until upstreams that are cold are warm."""
        return min(
            (
                view.status.cold_left_s
                for view in self._fleet.agents_of(service)
                if view.status.cold_left_s > 0.0
            ),
            default=math.inf,
        )

    def _place_waiting(self, now: float) -> None:
        for opening in self._line.remove_unservable(self._relief_s, now):
            self._refuse(opening, now)
        for opening in self._line.remove_expired(now):
            self._log.failure(
                'flow.not_placed', opening.packet.flow, now,
                waited_ms=round(1000 * (now - opening.sent_at)),
            )  # fmt: skip
        for opening in self._line.by_precedence(now):
            self._open(opening.packet, (), now)

    def _route(self, flow: FlowKey) -> Route | None:
        return self.routes.route_of(flow) if self.routes else None

    @property
    def _revision(self) -> int:
        return self.routes.revision if self.routes else 0

    # Open flows.

    def _forward(self, owner: Owner, packet: Packet) -> None:
        self._outbox.to_agent(
            owner.ip,
            frames.encode_forward(
                Purpose.OWNED, self._revision, owner.incarnation, packet.raw
            ),
            packet,
        )

    def _end(
        self, owner: Owner | None, packet: Packet, why: str, now: float
    ) -> None:
        """Reset a flow whose upstream has ended, unless it is elsewhere.

        A copy of its opening may have gone to that upstream while the flow
        opened at another one.
        """
        if owner is not None and owner.is_only_recipient:
            self._reset(packet, why, now, agent=owner.ip)
            return
        self._table.pop(packet.flow)
        self._search(packet, now)

    def _search(self, packet: Packet, now: float) -> None:
        service = self._service(packet.flow)
        if self._is_settled(now):
            self._take(self._locator.search(packet, service, now), now)
        else:
            # After a start all flows are unknown, and few agents are known:
            # the questions of one tick go together.
            until = now + locating.RETRY_PERIOD_S
            self._locator.search_later([packet], service, now, until)

    def _service(self, flow: FlowKey) -> ServiceName | None:
        route = self._route(flow)
        return route.service_for(flow) if route else None

    def _take(self, steps: list[locating.Step], now: float) -> None:
        questions_by_ip: dict[str, list[Question]] = defaultdict(list)
        for step in steps:
            match step:
                case locating.AskAgents(flow, acknowledged, ips):
                    for ip in ips:
                        questions_by_ip[ip].append(
                            Question(flow, acknowledged)
                        )
                case locating.Found(ip, incarnation, packets):
                    owner = Owner(ip, incarnation, 0.0)
                    self._table.put(packets[0].flow, owner)
                    self._log.decision(
                        'flow.found', packets[0].flow, now, agent=ip
                    )
                    for packet in packets:
                        self._forward(owner, packet)
                case locating.TryAgent(ip, packet):
                    self._try(ip, packet, now)
                case locating.NotFound(packet):
                    self._give_up(packet, now)
                case locating.Unanswered(flow, missing):
                    self._log.failure(
                        'flow.not_found', flow, now, missing=list(missing)
                    )
        for ip, questions in questions_by_ip.items():
            for data in frames.encode_questions(questions):
                self._outbox.to_agent(ip, data)

    def _try(self, ip: str, packet: Packet, now: float) -> None:
        view = self._fleet.agents_by_ip.get(ip)
        if view is None:
            return
        self._outbox.to_agent(
            ip,
            frames.encode_forward(
                Purpose.TRIAL,
                self._revision,
                view.status.incarnation,
                packet.raw,
            ),
        )
        self._log.decision('flow.tried', packet.flow, now, agent=ip)

    def _give_up(self, packet: Packet, now: float) -> None:
        if self._is_settled(now) and not self._fleet.has_unheard_agents(now):
            self._reset(packet, 'no agent has the flow', now)
            return
        self._locator.search_later(
            [packet],
            self._service(packet.flow),
            now + locating.RETRY_INTERVAL_S,
            now + locating.RETRY_PERIOD_S,
        )

    def knows_fleet(self, now: float) -> bool:
        """Return whether this process has run long enough to know all agents.

        Processes that were killed together come back one after the other. If
        all upstreams have just started as well, no flow can be at an agent
        that is not back yet, so that there is nothing to wait for.
        """
        since_start = now - self._started_at
        if self._fleet.has_agent_list or self._fleet.has_only_cold_upstreams():
            return since_start >= SETTLE_S
        return since_start >= SETTLE_UNTOLD_S

    def _is_settled(self, now: float) -> bool:
        is_growing = now - self._fleet.last_new_agent_at < GROWTH_S
        return self.knows_fleet(now) and not is_growing

    def _reset(
        self, packet: Packet, why: str, now: float, **inputs: Any
    ) -> None:
        flow = packet.flow
        self._table.pop(flow)
        self._line.remove(flow)
        self._outbox.to_caller(
            flow, self._codec.reset(flow, packet.acknowledged)
        )
        self._log.failure(
            'flow.reset', flow, now, why=why, revision=self._revision, **inputs
        )
