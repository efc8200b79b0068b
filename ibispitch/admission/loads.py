"""Loads of the other agents of the service, as last reported."""

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
#: A load is used until this many reports in a row were missed.
MISSED_REPORTS = 3
MAX_AGE_S = 6.0
#: A report that arrives is taken not to include what was sent to the peer
#: in this time before: twice the longest delay between data centres (1.5
#: ms) and some scheduling.
IN_TRANSIT_S = 0.01


class PeerLoad(NamedTuple):
    """Estimated load of a peer.

    :param flows: its flows as reported.
    :param expected_flows: its flows with those that all agents placed
        there since its report.
    :param flow_room: new flows that are left for this agent to place.
    :param free: free slots after what this agent sent there.
    :param backlog_s: time in which it runs what is beyond its limit.
    :param age_s: seconds since the report.
    :param is_draining: whether it takes no new flows.
    """

    flows: int
    expected_flows: float
    flow_room: float
    free: int
    backlog_s: float
    age_s: float
    is_draining: bool


class _Peer:
    """Last report of a peer and what was sent there since."""

    __slots__ = ('flows_sent', 'report', 'reported_at', 'runs_sent', 'updated')

    def __init__(self):
        self.report: LoadReport | None = None
        self.reported_at = -math.inf
        self.updated = -math.inf
        self.flows_sent: list[float] = []
        self.runs_sent: list[float] = []


def _in_transit(sent: list[float], now: float) -> list[float]:
    return [at for at in sent if at > now - IN_TRANSIT_S]


def _backlog_s(report: LoadReport, warm_s: float) -> float:
    # An upstream in its ramp soon becomes faster than its recent latency.
    latency_s = min(report.latency_ms / 1000, warm_s)
    beyond = max(0.0, report.in_flight + report.queued - report.limit)
    return latency_s * beyond / max(1.0, report.limit)


class LoadTable:
    """Loads of the peers of an agent.

    What this agent has sent to a peer since its report is added to the
    report. Flows are added once for each agent, as the others see the same
    report and decide alike; otherwise all of them would fill the least
    loaded peer at the same time.

    :param self_id: the agent that keeps the table.
    :param rng: chooses the peers that get the reports.
    """

    def __init__(self, self_id: AgentId, rng: random.Random):
        self.self_id = self_id
        self._rng = rng
        self._peer_by_id: dict[AgentId, _Peer] = {}
        self._round: list[AgentId] = []
        self._due_at = -math.inf

    @property
    def agents(self) -> int:
        """Number of agents of the service with this one."""
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
        return min(MAX_AGE_S, MISSED_REPORTS * rounds * REPORT_INTERVAL_S)

    def set_peers(self, agent_ids: Iterable[AgentId]) -> None:
        """Keep the agents of the view and forget all others."""
        self._peer_by_id = {
            agent_id: self._peer_by_id.get(agent_id) or _Peer()
            for agent_id in agent_ids
            if agent_id != self.self_id
        }

    def peers_due(self, now: float) -> list[AgentId]:
        """Return the peers to send a report to, none if it is not time.

        Each peer gets its turn before any gets a second one.
        """
        if now < self._due_at:
            return []
        self._due_at = now + REPORT_INTERVAL_S * self._rng.uniform(0.95, 1.05)
        wanted = min(MAX_PEERS_PER_REPORT, len(self._peer_by_id))
        chosen: dict[AgentId, None] = {}
        while len(chosen) < wanted:
            if not self._round:
                self._round = list(self._peer_by_id)
                self._rng.shuffle(self._round)
            agent_id = self._round.pop()
            if agent_id in self._peer_by_id:
                chosen[agent_id] = None
        return list(chosen)

    def on_report(self, report: LoadReport, now: float) -> None:
        """Take in the report of a peer; late and foreign ones are ignored."""
        peer = self._peer_by_id.get(report.agent_id)
        if peer is None or (
            peer.report is not None and report.sequence <= peer.report.sequence
        ):
            return
        peer.report = report
        peer.reported_at = peer.updated = now
        peer.flows_sent = _in_transit(peer.flows_sent, now)
        peer.runs_sent = _in_transit(peer.runs_sent, now)

    def on_load(self, agent_id: AgentId, load: Load, now: float) -> None:
        """Take in the load that came with a reply of a peer.

        The flows stay as reported, since those placed there since then are
        counted on top until the next report.
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
        peer.runs_sent = _in_transit(peer.runs_sent, now)

    def flow_sent(self, agent_id: AgentId, now: float) -> None:
        """Note that this agent placed a flow at a peer."""
        if peer := self._peer_by_id.get(agent_id):
            peer.flows_sent.append(now)

    def run_sent(self, agent_id: AgentId, now: float) -> None:
        """Note that this agent delegated a request to a peer."""
        if peer := self._peer_by_id.get(agent_id):
            peer.runs_sent.append(now)

    def warm_latency_s(self, now: float) -> float:
        """Return the median of the latencies of peers at their slots.

        :returns: seconds, infinite if no peer has reported one.
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
