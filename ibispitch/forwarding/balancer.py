"""Decides what a balancer does with the packets of callers."""

from collections import Counter
from collections import defaultdict
import random
from typing import Any
from typing import Protocol

from ibispitch.decisionlog import DecisionLog
from ibispitch.fleet.core import AgentView
from ibispitch.fleet.core import Fleet
from ibispitch.fleet.known import KnownFleet
from ibispitch.fleet.summary import ServiceSummaries
from ibispitch.forwarding import frames
from ibispitch.forwarding.frames import ip_number
from ibispitch.forwarding.frames import MAX_TRIED
from ibispitch.forwarding.frames import Purpose
from ibispitch.forwarding.frames import Reason
from ibispitch.forwarding.packets import Destination
from ibispitch.forwarding.packets import destination_of
from ibispitch.forwarding.packets import FlowKey
from ibispitch.forwarding.packets import Packet
from ibispitch.forwarding.packets import PacketCodec
from ibispitch.forwarding.searches import OwnerSearches
from ibispitch.gate.core import COLD_WINDOW_S
from ibispitch.gate.core import STATES_ADMITTING_FLOWS
from ibispitch.histograms import LatencyHistograms
from ibispitch.histograms import Series
from ibispitch.ids import DatacentreName
from ibispitch.ids import ServiceName
from ibispitch.locating.table import FlowTable
from ibispitch.locating.table import Owner
from ibispitch.placement.core import choose_agent
from ibispitch.placement.smoothing import SmoothedLoad
from ibispitch.retry.attempts import Attempt
from ibispitch.retry.attempts import caller_key
from ibispitch.retry.attempts import EndedAttempts
from ibispitch.routes.kinds import kind_named
from ibispitch.routes.model import Route
from ibispitch.routes.model import RouteIndex
from ibispitch.routes.position import NO_POSITION
from ibispitch.routes.position import TablePosition
from ibispitch.settings.overload import ALL_OFF
from ibispitch.settings.overload import Mode
from ibispitch.settings.overload import OverloadSettings
from ibispitch.waiting.core import ATTEMPT_TIMEOUT_S
from ibispitch.waiting.core import Capacity
from ibispitch.waiting.core import first_copy_sent_at
from ibispitch.waiting.core import Opening
from ibispitch.waiting.core import OpeningQueue

#: If an agent has sent nothing for this time after an opening was forwarded
#: to it, a copy of the opening goes to another agent.
AGENT_RESPONSE_S = 0.15

#: Time without a timer or a packet from which this process was suspended, or
#: its event loop was held up; its timers are due every 20 ms.
MIN_SUSPENSION_S = 0.5

#: Age of a request from which the agent is told it before the opening.
MIN_TOLD_AGE_S = 0.02

#: Log text for each reason that means that a flow has ended.
LOG_TEXT_BY_END_REASON = {
    Reason.ENDED: 'flow ended',
    Reason.OTHER_UPSTREAM: 'upstream ended',
}


class BalancerOutbox(Protocol):
    """Sends the datagrams of a balancer."""

    def to_agent(
        self, ip: str, data: bytes, packet: Packet | None = None
    ) -> None:
        """Send a frame to an agent, or a question to a balancer.

        :param packet: the caller's packet in the frame, if the frame may be
            queued while the link is busy.
        """

    def to_balancer(self, ip: str, data: bytes) -> None:
        """Send a frame to another balancer."""

    def to_caller(self, flow: FlowKey, data: bytes) -> None:
        """Send a packet to the caller of a flow."""

    def to_balancers(self, data: bytes) -> None:
        """Send a frame to the other balancers of the callers here."""


class BalancerCore:
    """Places new flows and forwards the packets of open flows.

    :param datacentre: the data centre of the balancer.
    :param fleet: the known agents and balancers.
    :param codec: decodes the packets.
    :param outbox: sends the datagrams.
    :param log: log of the decisions.
    :param histograms: records the time that openings wait.
    :param rng: breaks ties between agents.
    :param now: start time of the process, in seconds.
    :param overload: settings of the decisions under overload.
    :param is_first_start: whether the whole fleet starts for the first time.
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
        overload: OverloadSettings = ALL_OFF,
        is_first_start: bool = False,
    ):
        self._datacentre = datacentre
        self._fleet = fleet
        self._codec = codec
        self._outbox = outbox
        self._log = log
        self._histograms = histograms
        self._rng = rng
        self._known_fleet = KnownFleet(fleet, now, is_first_start)
        self._table = FlowTable()
        self._recognises_attempts = overload.retries.mode is not Mode.OFF
        #: Searches for the owners of flows that this process doesn't know.
        self.searches = OwnerSearches(
            fleet, self._known_fleet, self._table, datacentre, outbox, self,
            log, self._recognises_attempts,
        )  # fmt: skip
        self._ran_at = now
        self._queue = OpeningQueue(self._recognises_attempts)
        self._ended_attempts = EndedAttempts()
        #: Openings recognised as a further attempt, by service.
        self.further_attempts: Counter[ServiceName] = Counter()
        #: Resets of flows that may be open, by reason.
        self.reset_flows: Counter[str] = Counter()
        #: Refused openings by service, kind and reason.
        self.refused: Counter[tuple[str, str, str]] = Counter()
        self._summaries = ServiceSummaries(fleet)
        #: Load of the upstreams in this data centre.
        self._near_load_by_service: dict[ServiceName, SmoothedLoad] = (
            defaultdict(SmoothedLoad)
        )
        self.routes: RouteIndex | None = None

    def set_routes(self, routes: RouteIndex) -> None:
        """Use these routes for new flows; open flows keep their upstream."""
        self.routes = routes
        self._fleet.idle_timeout_s = routes.table.idle_timeout_s
        self._summaries.clear()
        self._near_load_by_service.clear()

    def receive(self, packet: Packet, now: float) -> None:
        """Handle a packet from a caller."""
        self._check_suspension(now)
        if packet.is_opening:
            self.searches.forget(packet.flow)
            self._handle_opening(packet, (), now)
            return
        owner = self._table.get(packet.flow)
        if owner is None:
            self.searches.search(packet, now)
            return
        loss = self._fleet.find_loss(owner.ip, owner.incarnation, now)
        if loss is None:
            self.forward(owner, packet)
        else:
            self._handle_ended(owner, packet, loss.value, now)

    def receive_returned_packet(
        self, ip: str, returned: frames.Return, now: float
    ) -> None:
        """Handle a packet that an agent handed back."""
        self._check_suspension(now)
        packet = self._codec.from_caller(returned.raw)
        if packet is None:
            return
        reason = returned.reason
        if packet.is_opening:
            tried = (*returned.tried, ip_number(ip))
            self._table.record_return(packet.flow, ip)
            self._queue.record_return(packet.flow)
            self._log.decision(
                'flow.handed_back', packet.flow, now,
                agent=ip, reason=reason.name,
                service=self.service_of(packet.flow),
            )  # fmt: skip
            self._handle_opening(packet, tried[-MAX_TRIED:], now)
        elif reason in LOG_TEXT_BY_END_REASON:
            owner = self._table.get(packet.flow)
            if owner is not None and owner.ip != ip:
                return
            if reason is Reason.ENDED:
                # The agent knows that its upstream held the flow.
                self.reset(
                    packet, LOG_TEXT_BY_END_REASON[reason], now, agent=ip
                )
            else:
                self._handle_ended(
                    owner, packet, LOG_TEXT_BY_END_REASON[reason], now
                )
        else:
            owner = self._table.get(packet.flow)
            if owner is None:
                self.searches.receive_denial(ip, packet, now)
            elif owner.ip == ip:
                self._table.pop(packet.flow)
                self.searches.search(packet, now)

    def tick(self, now: float) -> None:
        """Continue overdue searches, place waiting openings, expire flows."""
        self._check_suspension(now)
        self.searches.tick(now)
        self._ended_attempts.expire(now)
        if self._queue:
            self._place_waiting(now)
        if self.routes is not None:
            self._table.expire(self.routes.table.idle_timeout_s, now)

    def _check_suspension(self, now: float) -> None:
        """Check whether this process has run lately."""
        paused_s = now - self._ran_at
        self._ran_at = now
        if paused_s >= MIN_SUSPENSION_S:
            self._fleet.record_suspension(paused_s)
            self._log.change(
                'process.suspended', now, for_ms=round(1000 * paused_s)
            )

    def place_waiting(self, now: float) -> None:
        """Place waiting openings, because the state of agents has changed."""
        if self._queue:
            self._place_waiting(now)

    @property
    def flow_count(self) -> int:
        """Number of flows whose owner is remembered."""
        return len(self._table)

    @property
    def waiting_count(self) -> int:
        """Number of openings that wait for an upstream."""
        return len(self._queue)

    # New flows.

    def _handle_opening(
        self, packet: Packet, tried: tuple[int, ...], now: float
    ) -> None:
        flow = packet.flow
        if self.routes is None:
            self._enqueue(self._make_opening(packet, now), now)
            return
        route = self._route_of(flow)
        if route is None:
            self.reset(packet, 'no route', now)
            return
        view = None
        owner = self._table.get(flow)
        is_copy = packet.acknowledged and not tried
        if owner is not None and is_copy and not owner.is_returned:
            view = self._view_for_copy(owner, packet, now)
        opening = self._opening_of(packet, now)
        if view is None:
            view = self._choose_agent(route, flow, tried, opening, now)
        if view is not None and self._should_defer(view, opening, now):
            # A cold upstream has few flows and looks best, but a warm one
            # serves the opening now.
            view = self._choose_agent(
                route, flow, tried, opening, now, is_warm=True
            )
        if view is None:
            self._enqueue(opening, now, is_returned=bool(tried))
            return
        status = view.status
        waited = self._queue.remove_placed(flow, now)
        waited_s = now - waited.sent_at if waited else 0.0
        is_new = waited is None and owner is None and opening.earlier is None
        if is_new:
            self._queue.record_arrival(opening, now)
        self._histograms.record(
            Series('opening_wait', status.service, route.kind), waited_s
        )
        if view.cold_openings(now) is not None:
            self._queue.record_cold_placement(opening, now)
        view.flows_since_status += 1
        is_only_recipient = self._is_only_recipient(
            owner, view.ip, packet, tried, now
        )
        self._table.put(
            flow,
            Owner(
                view.ip, status.incarnation, now, is_only_recipient,
                earlier=opening.earlier, sent_at=opening.sent_at,
            ),
        )  # fmt: skip
        age_s = now - opening.asked_at
        if self._recognises_attempts and age_s > MIN_TOLD_AGE_S:
            self._outbox.to_agent(view.ip, frames.encode_age(flow, age_s))
        self._outbox.to_agent(
            view.ip,
            frames.encode_forward(
                Purpose.OPENING, self.routes.position, status.incarnation,
                packet.raw, tried,
            ),
        )  # fmt: skip
        self._log.decision(
            'flow.placed', flow, now,
            agent=view.ip, load=round(view.load, 2),
            age_ms=round(1000 * (now - view.heard_at)),
            waited_ms=round(1000 * waited_s),
            copy=packet.acknowledged, revision=self.routes.position.revision,
            service=status.service, kind=route.kind,
            datacentre=status.datacentre,
        )  # fmt: skip

    def _view_for_copy(
        self, owner: Owner, packet: Packet, now: float
    ) -> AgentView | None:
        """Return the agent that got an earlier copy, if it responds."""
        view = self._fleet.agents_by_ip.get(owner.ip)
        if view is None or not self._can_take_openings(view, now):
            return None
        if view.heard_at < owner.placed_at and (
            now - owner.placed_at > AGENT_RESPONSE_S
        ):
            view.is_unresponsive = True
            return None
        return view

    @staticmethod
    def _is_only_recipient(
        former: Owner | None,
        ip: str,
        packet: Packet,
        tried: tuple[int, ...],
        now: float,
    ) -> bool:
        """Return whether only this agent can have received the opening.

        :param former: the owner recorded for an earlier copy, if any.
        :param ip: the agent that gets the opening now.
        """
        if former is None or now - former.placed_at > ATTEMPT_TIMEOUT_S:
            return not packet.acknowledged and not tried
        if former.ip == ip:
            return former.is_only_recipient
        # If a later copy is handed back, the agent may still have the first.
        is_handed_back = not packet.acknowledged and (
            bool(tried) and tried[-1] == ip_number(former.ip)
        )
        return former.is_only_recipient and is_handed_back

    def _choose_agent(
        self,
        route: Route,
        flow: FlowKey,
        tried: tuple[int, ...],
        opening: Opening,
        now: float,
        is_warm: bool = False,
    ) -> AgentView | None:
        """Return the agent for an opening.

        :param is_warm: whether only warm upstreams come into question.
        """
        service = route.service_for(flow)
        views = (
            view
            for view in self._fleet.agents_of(service)
            if self._can_take_openings(view, now)
            and not (tried and ip_number(view.ip) in tried)
            and not (is_warm and view.cold_openings(now) is not None)
        )
        is_long = self._fleet.has_long_flows(Destination(route.destination))
        if is_long is None:
            is_long = kind_named(route.kind).expects_long_flows
        return choose_agent(
            views, route, self._datacentre, is_long, opening.is_late(now),
            self._rng, now, self._near_load_by_service[service], flow,
        )  # fmt: skip

    def _can_take_openings(self, view: AgentView, now: float) -> bool:
        status = view.status
        return (
            status.state in STATES_ADMITTING_FLOWS
            and not view.is_unresponsive
            and status.datacentre not in self.routes.all_out
            and self._fleet.has_recent_status(view, now)
        )

    def _should_defer(
        self, view: AgentView, opening: Opening, now: float
    ) -> bool:
        """Return whether an opening should wait so that others go first.

        That applies while the upstream is cold, see
        :meth:`OpeningQueue.should_defer`.
        """
        if view.cold_openings(now) is None:
            return False
        summary = self._summaries.get(opening.service, now)
        openings = summary.cold_openings_per_s * COLD_WINDOW_S
        # Agents of the version before don't report their limit.
        openings = openings or summary.cold_openings
        return self._queue.should_defer(
            opening, openings / self._fleet.count_sharing(now),
            summary.warm_in_s, now,
            self.routes.top_priority(opening.service),
        )  # fmt: skip

    def _opening_of(self, packet: Packet, now: float) -> Opening:
        """Return the opening of a packet, the waiting one if it waits."""
        waiting = self._queue.get(packet.flow)
        if waiting is None or waiting.route is None:
            return self._make_opening(packet, now)
        return waiting._replace(
            packet=packet,
            work_s=self._summaries.get(waiting.service, now).work_s,
        )

    def _make_opening(self, packet: Packet, now: float) -> Opening:
        service = self.service_of(packet.flow)
        owner = self._table.get(packet.flow)
        earlier = owner.earlier if owner else None
        is_first_copy = owner is None and not packet.acknowledged
        if self._recognises_attempts and is_first_copy:
            earlier = self._ended_attempts.take(packet.flow, now)
            if earlier is not None:
                self.further_attempts[service or ''] += 1
        sent_at = first_copy_sent_at(packet, now)
        if (
            owner is not None
            and owner.is_returned
            and owner.sent_at is not None
        ):
            # An opening that an agent handed back keeps its age.
            sent_at = min(sent_at, owner.sent_at)
        return Opening(
            packet,
            service,
            self._route_of(packet.flow),
            sent_at,
            self._summaries.get(service, now).work_s,
            earlier,
        )

    def _enqueue(
        self, opening: Opening, now: float, is_returned: bool = False
    ) -> None:
        """Queue an opening, or refuse it if it cannot be served in time."""
        capacity = self._capacity_of(opening.service, now)
        if not self._queue.add(opening, capacity, now, is_returned):
            self._refuse(opening, now)

    def _refuse(self, opening: Opening, now: float) -> None:
        self._record_end(opening, now)
        self.reset(
            opening.packet, 'cannot be served in time', now,
            waited_ms=round(1000 * (now - opening.sent_at)),
            waiting=len(self._queue),
        )  # fmt: skip

    def _record_end(self, opening: Opening, ended_at: float) -> None:
        """Record that an attempt has ended if the caller makes another.

        Otherwise the caller's next request would inherit the age.

        :param ended_at: time at which the caller ends the attempt.
        """
        if self._recognises_attempts and opening.has_next_attempt(ended_at):
            self.record_attempt(opening.packet.flow, opening.ended(ended_at))

    def record_attempt(self, flow: FlowKey, attempt: Attempt) -> None:
        """Record an attempt that has ended, here and at other balancers."""
        self._ended_attempts.record(flow, attempt)
        self._outbox.to_balancers(
            frames.encode_attempt(
                frames.EndedAttempt(
                    caller_key(flow),
                    attempt.number,
                    attempt.ended_at - attempt.asked_at,
                )
            )
        )

    def receive_ended_attempt(
        self, ended: frames.EndedAttempt, now: float
    ) -> None:
        """Record an attempt that has ended at another balancer."""
        if self._recognises_attempts:
            self._ended_attempts.record_of_caller(
                ended.caller, Attempt(now - ended.age_s, ended.number, now)
            )

    def _capacity_of(
        self, service: ServiceName | None, now: float
    ) -> Capacity:
        """Return what the upstreams of a service can take from here."""
        summary = self._summaries.get(service, now)
        balancers = self._fleet.count_sharing(now)
        return Capacity(
            summary.warm_in_s,
            summary.requests_per_s / balancers,
            summary.cold_openings_per_s / balancers,
        )

    def _place_waiting(self, now: float) -> None:
        for opening in self._queue.remove_unservable(
            lambda service: self._capacity_of(service, now), now
        ):
            self._refuse(opening, now)
        for opening in self._queue.remove_expired(now):
            self._record_end(opening, opening.sent_at + ATTEMPT_TIMEOUT_S)
            self._log.failure(
                'flow.not_placed', opening.packet.flow, now,
                waited_ms=round(1000 * (now - opening.sent_at)),
                **self._count_refusal(opening.packet.flow, 'not placed'),
            )  # fmt: skip
        # If no upstream can take one opening of a route, the following ones
        # of this route wait as well.
        full_destinations: set[Destination] = set()
        for opening in self._queue.by_precedence(now):
            flow = opening.packet.flow
            destination = destination_of(flow)
            if destination not in full_destinations:
                self._handle_opening(opening.packet, (), now)
                if flow in self._queue:
                    full_destinations.add(destination)

    def _route_of(self, flow: FlowKey) -> Route | None:
        return self.routes.route_of(flow) if self.routes else None

    @property
    def position(self) -> TablePosition:
        """Position of the routes."""
        return self.routes.position if self.routes else NO_POSITION

    # Open flows.

    def forward(self, owner: Owner, packet: Packet) -> None:
        """Forward a packet to the owner of its flow."""
        self._outbox.to_agent(
            owner.ip,
            frames.encode_forward(
                Purpose.OWNED, self.position, owner.incarnation, packet.raw
            ),
            packet,
        )

    def _handle_ended(
        self, owner: Owner | None, packet: Packet, why: str, now: float
    ) -> None:
        """Reset a flow whose upstream has ended, or search for its owner.

        If several agents received copies of the opening, the flow may be
        open at another upstream.
        """
        if owner is not None and owner.is_only_recipient:
            view = self._fleet.agents_by_ip.get(owner.ip)
            self.reset(
                packet, why, now, agent=owner.ip,
                incarnation=owner.incarnation,
                state=view.status.state.name if view else None,
                age_ms=round(1000 * (now - view.heard_at)) if view else None,
            )  # fmt: skip
            return
        self._table.pop(packet.flow)
        self.searches.search(packet, now)

    def service_of(self, flow: FlowKey) -> ServiceName | None:
        """Return the service of a flow, ``None`` if it has no route."""
        route = self._route_of(flow)
        return route.service_for(flow) if route else None

    def knows_fleet(self, now: float) -> bool:
        """Return whether this process knows all agents.

        See :class:`KnownFleet`.
        """
        return self._known_fleet.evidence(now) is not None

    def knows_most_agents(self, now: float) -> bool:
        """Return whether an agent that starts late may be the only unknown.

        See :meth:`KnownFleet.is_settled`.
        """
        return self._known_fleet.is_settled(now)

    def _count_refusal(self, flow: FlowKey, reason: str) -> dict[str, str]:
        """Count a refused opening.

        :returns: service, kind and data centre for the log line.
        """
        route = self._route_of(flow)
        service = (route.service_for(flow) if route else None) or ''
        kind = route.kind if route else ''
        self.refused[service, kind, reason] += 1
        return {
            'service': service,
            'kind': kind,
            'datacentre': self._datacentre,
        }

    def reset(
        self, packet: Packet, why: str, now: float, **inputs: Any
    ) -> None:
        """Reset the flow of a packet.

        :param why: reason for the log line.
        :param inputs: further fields of the log line.
        """
        flow = packet.flow
        if packet.is_opening:
            inputs |= self._count_refusal(flow, why)
        else:
            self.reset_flows[why] += 1
        self._table.pop(flow)
        self._queue.remove(flow)
        self._outbox.to_caller(
            flow, self._codec.reset(flow, packet.acknowledged)
        )
        self._log.failure(
            'flow.reset',
            flow,
            now,
            why=why,
            revision=self.position.revision,
            **inputs,
        )
