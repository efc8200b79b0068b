"""Searches for the owners of open flows that a balancer does not know."""

from collections import defaultdict
from typing import Any
from typing import Protocol

from ibispitch.decisionlog import DecisionLog
from ibispitch.fleet.core import Fleet
from ibispitch.fleet.known import KnownFleet
from ibispitch.forwarding import frames
from ibispitch.forwarding.frames import ip_number
from ibispitch.forwarding.frames import Purpose
from ibispitch.forwarding.frames import Question
from ibispitch.forwarding.packets import FlowKey
from ibispitch.forwarding.packets import Packet
from ibispitch.ids import DatacentreName
from ibispitch.ids import ServiceName
from ibispitch.locating import core as locating
from ibispitch.locating.core import Locator
from ibispitch.locating.table import FlowTable
from ibispitch.locating.table import Owner
from ibispitch.retry.attempts import Attempt
from ibispitch.routes.position import TablePosition


class SearchSink(Protocol):
    """Takes the packets of flows whose search has ended."""

    @property
    def position(self) -> TablePosition:
        """Position of the routes."""

    def service_of(self, flow: FlowKey) -> ServiceName | None:
        """Return the service of a flow's destination."""

    def forward(self, owner: Owner, packet: Packet) -> None:
        """Forward a packet to the owner of its flow."""

    def reset(
        self, packet: Packet, why: str, now: float, **inputs: Any
    ) -> None:
        """Reset the flow of a packet.

        :param inputs: further fields of the log line.
        """

    def record_attempt(self, flow: FlowKey, attempt: Attempt) -> None:
        """Record a caller's attempt that ends with the flow."""


class SearchOutbox(Protocol):
    """Sends the frames of searches."""

    def to_agent(self, ip: str, data: bytes) -> None:
        """Send a frame to an agent, or a question to a balancer."""

    def to_balancer(self, ip: str, data: bytes) -> None:
        """Send a frame to another balancer."""


class OwnerSearches:
    """Searches for owners, and answers the questions of other balancers.

    :param fleet: the known agents and balancers.
    :param known_fleet: tells whether all agents are known.
    :param table: the owners that are known; found ones are added.
    :param datacentre: the data centre of the balancer.
    :param outbox: sends the frames.
    :param sink: takes the packets of flows that were found or are lost.
    :param log: log of the decisions.
    :param recognises_attempts: whether the ends of lost requests are recorded
        for the caller's next attempt.
    """

    def __init__(
        self,
        fleet: Fleet,
        known_fleet: KnownFleet,
        table: FlowTable,
        datacentre: DatacentreName,
        outbox: SearchOutbox,
        sink: SearchSink,
        log: DecisionLog,
        recognises_attempts: bool,
    ):
        self._fleet = fleet
        self._known_fleet = known_fleet
        self._table = table
        self._outbox = outbox
        self._sink = sink
        self._log = log
        self._recognises_attempts = recognises_attempts
        self._locator = Locator(fleet, known_fleet, datacentre)
        #: Time of the first packet of flows whose owner is not yet searched,
        #: because few agents are known.
        self._unknown_since_by_flow: dict[FlowKey, float] = {}

    def forget(self, flow: FlowKey) -> None:
        """Forget all about a flow, because a new one opens with its key."""
        self._locator.forget(flow)

    def tick(self, now: float) -> None:
        """Continue overdue searches."""
        self._execute_steps(self._locator.expire(now), now)
        if self._unknown_since_by_flow and self._known_fleet.is_settled(now):
            self._expire_unknown_flows(now)

    def receive_denial(self, ip: str, packet: Packet, now: float) -> None:
        """Handle a packet that an agent handed back after a trial."""
        service = self._sink.service_of(packet.flow)
        self._execute_steps(
            self._locator.receive_denial(ip, packet, service, now), now
        )

    def search(self, packet: Packet, now: float) -> None:
        """Search for the owner of a packet's flow."""
        service = self._sink.service_of(packet.flow)
        if self._known_fleet.is_settled(now):
            self._execute_steps(
                self._locator.search(packet, service, now), now
            )
        else:
            # After a start all flows are unknown and few agents are known.
            # Delaying the search lets the questions of one tick share
            # datagrams.
            until = now + locating.RETRY_PERIOD_S
            self._locator.search_later([packet], service, now, until)
            if self._recognises_attempts:
                self._unknown_since_by_flow.setdefault(packet.flow, now)

    def answer_questions(
        self, ip: str, message: frames.OwnershipQuestions
    ) -> None:
        """Tell another balancer the owners of flows that are known here."""
        owners = [
            self._table.peek(question.flow) for question in message.questions
        ]
        self._outbox.to_balancer(
            ip,
            frames.encode_owners(
                frames.KnownOwner(
                    question.flow, ip_number(owner.ip) if owner else 0
                )
                for question, owner in zip(
                    message.questions, owners, strict=True
                )
            ),
        )

    def receive_owners(
        self, ip: str, message: frames.KnownOwners, now: float
    ) -> None:
        """Handle another balancer's answers to questions about flows."""
        self._execute_steps(
            self._locator.receive_owners(ip, message, now), now
        )

    def receive_answers(
        self, ip: str, message: frames.OwnershipAnswers, now: float
    ) -> None:
        """Handle an agent's answers to questions about flows."""
        self._execute_steps(
            self._locator.receive_answers(ip, message, now), now
        )

    def _execute_steps(self, steps: list[locating.Step], now: float) -> None:
        questions_by_ip: dict[str, list[Question]] = defaultdict(list)
        for step in steps:
            match step:
                case locating.AskOwner(flow, acknowledged, ips):
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
                        self._sink.forward(owner, packet)
                case locating.TryAgent(ip, packet):
                    self._try_agent(ip, packet, now)
                case locating.NotFound(packet, denied):
                    self._handle_not_found(packet, denied, now)
                case locating.Unanswered(flow, missing):
                    self._log.failure(
                        'flow.not_found', flow, now, missing=list(missing)
                    )
        for ip, questions in questions_by_ip.items():
            for data in frames.encode_questions(questions):
                self._outbox.to_agent(ip, data)

    def _try_agent(self, ip: str, packet: Packet, now: float) -> None:
        view = self._fleet.agents_by_ip.get(ip)
        if view is None:
            return
        self._outbox.to_agent(
            ip,
            frames.encode_forward(
                Purpose.TRIAL,
                self._sink.position,
                view.status.incarnation,
                packet.raw,
            ),
        )
        self._log.decision('flow.tried', packet.flow, now, agent=ip)

    def _handle_not_found(
        self, packet: Packet, denied: int, now: float
    ) -> None:
        if self._known_fleet.is_complete(
            now
        ) and not self._fleet.has_unheard_agents(now):
            self._record_lost_request(packet, now)
            self._sink.reset(
                packet, 'no agent has the flow', now, agents=denied,
                known_by=self._known_fleet.evidence(now).value,
            )  # fmt: skip
            return
        self._locator.search_later(
            [packet],
            self._sink.service_of(packet.flow),
            now + locating.RETRY_INTERVAL_S,
            now + locating.RETRY_PERIOD_S,
        )

    def _record_lost_request(self, packet: Packet, now: float) -> None:
        """Record the end of a request whose flow is lost.

        The caller repeats it on a new flow. The request may be older than the
        first packet that this process has seen.
        """
        since = self._unknown_since_by_flow.pop(packet.flow, now)
        if self._recognises_attempts and packet.size:
            self._sink.record_attempt(packet.flow, Attempt(since, 1, now))

    def _expire_unknown_flows(self, now: float) -> None:
        """Forget flows whose search has had time to end."""
        self._unknown_since_by_flow = {
            flow: since
            for flow, since in self._unknown_since_by_flow.items()
            if now - since <= locating.RETRY_PERIOD_S
        }
