"""Loads of the other agents of the service, from their reports."""

from collections.abc import Iterable
import math
import random
import statistics
from typing import NamedTuple

from ibispitch.admission.messages import LoadReport
from ibispitch.admission.types import Load
from ibispitch.ids import AgentId

REPORT_INTERVAL_S = 0.5
MAX_PEERS_PER_REPORT = 8
#: A load is used until this many reports in a row are missing.
MAX_MISSED_REPORTS = 3
MAX_AGE_S = 6.0
#: What was sent to a peer less than this time before a report of it arrived is
#: taken as not included in the report. The time is twice the longest delay
#: between data centres (1.5 ms) plus some scheduling delay.
IN_TRANSIT_S = 0.01


class PeerLoad(NamedTuple):
    """Estimated load of a peer.

    :param flows: number of its flows as reported.
    :param expected_flows: its flows including those that all agents are
        estimated to have placed there since its report.
    :param flow_room: new flows that this agent may still place there.
    :param free: free slots, less the runs that this agent has sent there.
    :param backlog_s: time in which it finishes the runs beyond its limit.
    :param age_s: time since its load was last reported, in seconds.
    :param is_draining: whether it accepts no new flows.
    """

    flows: int
    expected_flows: float
    flow_room: float
    free: int
    backlog_s: float
    age_s: float
    is_draining: bool


class _Peer:
    """Last report of a peer, and send times of flows and runs since."""

    __slots__ = ('flows_sent', 'report', 'reported_at', 'runs_sent', 'updated')

    def __init__(self):
        self.report: LoadReport | None = None
        self.reported_at = -math.inf
        self.updated = -math.inf
        self.flows_sent: list[float] = []
        self.runs_sent: list[float] = []


def _recently_sent(sent: list[float], now: float) -> list[float]:
    return [at for at in sent if at > now - IN_TRANSIT_S]


def _backlog_s(report: LoadReport, warm_s: float) -> float:
    # During its ramp an upstream soon becomes faster than its recent latency.
    latency_s = min(report.latency_ms / 1000, warm_s)
    beyond = max(0.0, report.in_flight + report.queued - report.limit)
    return latency_s * beyond / max(1.0, report.limit)


class LoadTable:
    """Loads of the peers of an agent.

    The flows and runs that this agent has sent to a peer since the last
    report are added to the reported load. Flows are multiplied by the
    number of agents, as the other agents see the same report and decide in
    the same way. Otherwise all agents would place their flows at the least
    loaded peer at the same time.

    :param self_id: id of the agent that keeps the table.
    :param rng: chooses the peers that the reports are sent to.
    """

    def __init__(self, self_id: AgentId, rng: random.Random):
        self.self_id = self_id
        self._rng = rng
        self._peer_by_id: dict[AgentId, _Peer] = {}
        self._peers_left_in_round: list[AgentId] = []
        self._next_report_at = -math.inf

    @property
    def agents(self) -> int:
        """Number of agents of the service, including this one."""
        return len(self._peer_by_id) + 1

    @property
    def peers(self) -> Iterable[AgentId]:
        """The other agents of the service."""
        return self._peer_by_id.keys()

    @property
    def max_age_s(self) -> float:
        """Age up to which a load is used, in seconds."""
        rounds = max(
            1, math.ceil(len(self._peer_by_id) / MAX_PEERS_PER_REPORT)
        )
        return min(MAX_AGE_S, MAX_MISSED_REPORTS * rounds * REPORT_INTERVAL_S)

    def set_peers(self, agent_ids: Iterable[AgentId]) -> None:
        """Set the agents of the service; loads of other agents are dropped."""
        self._peer_by_id = {
            agent_id: self._peer_by_id.get(agent_id) or _Peer()
            for agent_id in agent_ids
            if agent_id != self.self_id
        }

    def peers_due(self, now: float) -> list[AgentId]:
        """Return the peers to send a report to, empty before the next time.

        Each peer gets one report before any peer gets a second one.
        """
        if now < self._next_report_at:
            return []
        self._next_report_at = now + REPORT_INTERVAL_S * self._rng.uniform(
            0.95, 1.05
        )
        wanted = min(MAX_PEERS_PER_REPORT, len(self._peer_by_id))
        chosen: dict[AgentId, None] = {}
        while len(chosen) < wanted:
            if not self._peers_left_in_round:
                self._peers_left_in_round = list(self._peer_by_id)
                self._rng.shuffle(self._peers_left_in_round)
            agent_id = self._peers_left_in_round.pop()
            if agent_id in self._peer_by_id:
                chosen[agent_id] = None
        return list(chosen)

    def on_report(self, report: LoadReport, now: float) -> None:
        """Store a report; late reports and unknown senders are ignored."""
        peer = self._peer_by_id.get(report.agent_id)
        if peer is None or (
            peer.report is not None and report.sequence <= peer.report.sequence
        ):
            return
        peer.report = report
        peer.reported_at = peer.updated = now
        peer.flows_sent = _recently_sent(peer.flows_sent, now)
        peer.runs_sent = _recently_sent(peer.runs_sent, now)

    def on_load(self, agent_id: AgentId, load: Load, now: float) -> None:
        """Store the load that a peer sent with a reply.

        The number of flows is not updated, since the flows placed there
        since the last report are added to it until the next report.
        """
        peer = self._peer_by_id.get(agent_id)
        if peer is None or peer.report is None:
            return
        taken = load.in_flight + load.queued
        free = 0 if load.limit < 1.0 else math.floor(load.limit) - taken
        peer.report = LoadReport(
            agent_id,
            peer.report.sequence,
            peer.report.flows,
            load.in_flight,
            load.limit,
            load.queued,
            max(0, free),
            peer.report.flow_room,
            peer.report.is_draining,
            peer.report.latency_ms,
        )
        peer.updated = now
        peer.runs_sent = _recently_sent(peer.runs_sent, now)

    def record_flow_sent(self, agent_id: AgentId, now: float) -> None:
        """Record that this agent placed a flow at a peer."""
        if peer := self._peer_by_id.get(agent_id):
            peer.flows_sent.append(now)

    def record_run_sent(self, agent_id: AgentId, now: float) -> None:
        """Record that this agent delegated a request to a peer."""
        if peer := self._peer_by_id.get(agent_id):
            peer.runs_sent.append(now)

    def warm_latency_s(self, now: float) -> float:
        """Return the median latency of the peers whose limit is 1 or more.

        :returns: the latency in seconds, infinite if no such peer is known.
        """
        latencies_s = [
            peer.report.latency_ms / 1000
            for peer in self._peer_by_id.values()
            if peer.report is not None
            and peer.report.latency_ms
            and peer.report.limit >= 1.0
            and now - peer.reported_at <= self.max_age_s
        ]
        return statistics.median(latencies_s) if latencies_s else math.inf

    def load(self, agent_id: AgentId, now: float) -> PeerLoad | None:
        """Return the estimated load of a peer.

        :returns: the estimate, or ``None`` if there is no recent report.
        """
        peer = self._peer_by_id.get(agent_id)
        if peer is None or peer.report is None:
            return None
        if now - peer.reported_at > self.max_age_s:
            return None
        report = peer.report
        placed = len(peer.flows_sent)
        runs = len(peer.runs_sent)
        return PeerLoad(
            report.flows,
            report.flows + placed * self.agents,
            report.flow_room / self.agents - placed,
            report.free - runs,
            _backlog_s(report, self.warm_latency_s(now)),
            now - peer.updated,
            report.is_draining,
        )
