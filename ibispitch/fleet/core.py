"""View that a process has of the balancers and agents of the fleet.

It depends only on status messages that the processes send each other; the
store has no more than lists of balancers and agents, see
:mod:`ibispitch.fleet.directory`. A process without a recent status gets no new
flows after :data:`SUSPECT_INTERVALS` and is forgotten after
:data:`FORGET_AFTER_S`.

The flows of a silent agent count as lost early only if its host answers no
probe either, see :mod:`ibispitch.fleet.probes`.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import enum
from itertools import islice
import math

from msgspec.structs import replace

from ibispitch.fleet.messages import AgentState
from ibispitch.fleet.messages import AgentStatus
from ibispitch.fleet.messages import BalancerStatus
from ibispitch.fleet.messages import IP_BYTES
from ibispitch.fleet.messages import MAX_LISTED_PROCESSES
from ibispitch.fleet.messages import unpack_ips
from ibispitch.fleet.order import ProcessOrder
from ibispitch.fleet.probes import HostProbes
from ibispitch.fleet.probes import take_due
from ibispitch.fleet.probes import UnheardAgent
from ibispitch.fleet.rounds import FAR_ROUNDS
from ibispitch.fleet.rounds import STATUS_INTERVAL_S
from ibispitch.forwarding.packets import Destination
from ibispitch.ids import DatacentreName
from ibispitch.ids import ServiceName

#: Status intervals of a process without a status after which it gets no new
#: flows: two lost messages and the delay of a busy event loop.
SUSPECT_INTERVALS = 2.5
#: Status intervals of an agent without a status after which it is asked for
#: one, so that it is asked several times before it counts as lost.
ASK_INTERVALS = 1.5
#: Time after which an unknown agent is asked again: its answer takes some
#: milliseconds, and a lost one costs this time.
ASK_AGAIN_S = 0.1
#: Time in which an agent that runs answers one of two requests.
MAX_ANSWER_S = 0.25
#: Time for which a mention of a balancer in a status of another one is valid,
#: and for which a new balancer may be unknown to some processes.
MENTION_VALID_S = SUSPECT_INTERVALS * STATUS_INTERVAL_S * FAR_ROUNDS
#: Time without a status after which the flows of an agent whose host does not
#: answer count as lost, unless it announced a restart. It is longer than the
#: time after which processes in other data centres have no recent status
#: (3 s), so that a process that gets no messages does not take some of the
#: others for lost.
LOST_S = 3.6
#: Time for which the flows of a restarting agent are kept: the longest grace
#: time of a stop (6 s) and the start.
RESTART_TIMEOUT_S = 8.0
#: Time without a status after which a process is forgotten. Processes still
#: know each other after a network partition that is shorter than this.
FORGET_AFTER_S = 30.0
#: Status intervals of an agent without a status after which it counts as lost
#: in a fleet so large that this takes longer than the times above. It is more
#: than :data:`SUSPECT_INTERVALS`.
LOST_INTERVALS = 3
#: Number of statuses up to which an agent has started lately: it sends one in
#: each status interval at least, so that it reaches the number in 26 s.
MAX_YOUNG_NUMBER = 64
#: More agents than any fleet has.
MAX_FLEET_AGENTS = 1 << 32
#: Known hosts of upstreams from which on a loss of all power is assumed if
#: all seem to have restarted. Fewer may be those whose upstream was replaced
#: when all processes were killed.
MIN_RESTARTED_HOSTS = 3
#: Maximum number of destinations whose flow length is remembered.
MAX_DESTINATIONS = 4096
#: Maximum number of new or silent processes that get a message at once.
MAX_ADDRESSED_AT_ONCE = 64
#: Multiple of the idle time-out for which an agent that only others know is
#: remembered. They forget it after one time-out, but learn of it from each
#: other at different times.
UNHEARD_KEPT_TIMES = 4
#: Idle time-out of flows while no routes are known.
DEFAULT_IDLE_TIMEOUT_S = FORGET_AFTER_S


class Loss(enum.Enum):
    """Why the flows of an upstream count as lost; the text is logged."""

    #: Its agent has reported that it has ended.
    UPSTREAM_ENDED = 'upstream ended'
    #: Its agent has sent no status for a long time, and its host answers no
    #: probe.
    HOST_UNREACHABLE = 'host unreachable'
    #: Its agent has sent no status for the idle time-out.
    AGENT_SILENT = 'agent silent'


class AgentView:
    """State of an agent, from its last status.

    :param ip: IP address of the agent.
    """

    __slots__ = (
        'first_number',
        'flows_since_status',
        'has_restarted',
        'heard_at',
        'ip',
        'is_reported',
        'is_unresponsive',
        'order',
        'probes',
        'report_interval_s',
        'silent_since',
        'status',
        'unobserved_s',
    )

    def __init__(self, ip: str, status: AgentStatus, now: float):
        self.ip = ip
        self.status = status
        self.order = ProcessOrder(status.started_ms, status.number, now)
        #: Number of the first status of its present process here.
        self.first_number = status.number
        self.heard_at = now
        #: New flows that were forwarded to it since its last status.
        self.flows_since_status = 0
        #: Whether it sent no status after it got an opening, and a copy of the
        #: opening arrived here.
        self.is_unresponsive = False
        #: Whether the last status came in a report of its data centre.
        self.is_reported = False
        #: Interval of its statuses in reports, 0 if there was none.
        self.report_interval_s = 0.0
        #: Time of the first report that names it as silent since its last
        #: status.
        self.silent_since: float | None = None
        #: Whether a status has shown that its host may have lost power.
        self.has_restarted = False
        #: Probes of its host since its last status.
        self.probes = HostProbes()
        #: Time since its last status in which this process was suspended.
        self.unobserved_s = 0.0

    @property
    def load(self) -> float:
        """Estimated number of requests in progress per slot."""
        return self.requests_before(is_late=False) / max(1, self.status.slots)

    def requests_before(self, is_late: bool) -> int:
        """Return the estimated number of requests that go before a new one.

        :param is_late: whether the new one is late.
        """
        ahead = self.status.running + self.flows_since_status
        return ahead + self.status.late if is_late else ahead

    def cold_openings(self, now: float) -> int | None:
        """Return the new flows that its upstream may get.

        The cold time may have ended since the last status.

        :returns: ``None`` if the upstream is warm.
        """
        status = self.status
        cold_left_s = status.cold_left_s
        if 0.0 < cold_left_s <= now - self.heard_at:
            return None
        return status.cold_openings


class BalancerView:
    """State of a balancer, from its last status."""

    __slots__ = ('heard_at', 'ip', 'known_at', 'order', 'status')

    def __init__(self, ip: str, now: float):
        self.ip = ip
        self.status: BalancerStatus | None = None
        #: ``None`` until its first status.
        self.order: ProcessOrder | None = None
        self.heard_at = now
        #: Time of its last status or its last mention by another balancer.
        self.known_at = now


def _min_silence_s(view: AgentView) -> float:
    """Return the shortest silence after which an agent may count as lost."""
    is_back_soon = view.status.state is AgentState.RESTARTING
    return RESTART_TIMEOUT_S if is_back_soon else LOST_S


def _count_listed(status: BalancerStatus) -> int:
    """Return the number of agents of the fleet that a balancer lists.

    The version before does not send it with a sample.
    """
    if status.agent_count:
        return status.agent_count
    count = len(status.agents) // IP_BYTES
    return count if count < MAX_LISTED_PROCESSES else MAX_FLEET_AGENTS


class Fleet:
    """Known balancers and agents, by their IP addresses."""

    def __init__(self, own_ip: str):
        self._own_ip = own_ip
        self.agents_by_ip: dict[str, AgentView] = {}
        self.balancers_by_ip: dict[str, BalancerView] = {}
        #: A dictionary as an ordered set, in the order of the first status.
        self._ips_by_service: dict[ServiceName, dict[str, None]] = {}
        #: Agents that balancers list but that have sent no status.
        self._unheard_agents: dict[str, UnheardAgent] = {}
        #: Incarnation of the upstream of each agent that the store lists,
        #: ``None`` if the list has not been read.
        self._stored_incarnation_by_ip: Mapping[str, int] | None = None
        #: Time at which unknown agents were asked for their status.
        self._asked_at_by_agent: dict[str, float] = {}
        self._added_balancers: list[str] = []
        #: Whether flows of a destination carry several requests, as the last
        #: agent with flows of this destination reported.
        self._is_long_by_destination: dict[Destination, bool] = {}
        #: Time of the last status from an agent that was not known.
        self.last_new_agent_at = -math.inf
        #: Time of the last status from a balancer that was not known.
        self._last_new_balancer_at = -math.inf
        #: Number of agents that a balancer which knows the whole fleet has
        #: listed last, ``None`` if there was no such list.
        self._listed_agents: int | None = None
        #: Whether as many were known at some time.
        self._has_agent_list = False
        #: Idle time-out of flows, from the routes.
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        #: Time of the last report of each other data centre.
        self._reported_at_by_datacentre: dict[DatacentreName, float] = {}

    def record_agent_status(
        self,
        ip: str,
        status: AgentStatus,
        now: float,
        is_reported: bool = False,
    ) -> AgentStatus | None:
        """Record the status of an agent.

        :param now: time at which the agent's last sign of life arrived in
            this data centre, or in its own if it was reported.
        :param is_reported: whether it came in a report of its data centre.
        :returns: the previous status, or ``None`` for a new agent. The new
            status itself if it is older than the last one and was ignored.
        """
        self._unheard_agents.pop(ip, None)
        self._asked_at_by_agent.pop(ip, None)
        self._record_reuse(status)
        view = self.agents_by_ip.get(ip)
        if view is None:
            view = self.agents_by_ip[ip] = AgentView(ip, status, now)
            self._mark_reported(view, is_reported)
            self._ips_by_service.setdefault(status.service, {})[ip] = None
            self.last_new_agent_at = now
            view.has_restarted = self._seems_restarted(view)
            return None
        former = view.status
        if not view.order.accept(status.started_ms, status.number, now):
            return status
        if former.service != status.service:
            self._ips_by_service[former.service].pop(ip, None)
            self._ips_by_service.setdefault(status.service, {})[ip] = None
        if former.started_ms != status.started_ms:
            view.first_number = status.number
        view.status = status
        view.has_restarted |= self._seems_restarted(view)
        view.heard_at = now
        view.flows_since_status = 0
        view.is_unresponsive = False
        view.silent_since = None
        view.probes.unanswered = 0
        view.unobserved_s = 0.0
        self._mark_reported(view, is_reported)
        if not is_reported and (
            status.interval_s < view.report_interval_s
            and self._has_recent_report(status.datacentre, now)
        ):
            # The next status comes in a report.
            view.status = replace(status, interval_s=view.report_interval_s)
        return former

    @staticmethod
    def _mark_reported(view: AgentView, is_reported: bool) -> None:
        view.is_reported = is_reported
        if is_reported:
            view.report_interval_s = view.status.interval_s

    def record_report(
        self, datacentre: DatacentreName, silent: Iterable[str], now: float
    ) -> None:
        """Record a report of another data centre.

        :param silent: agents of which that data centre has no recent status.
            One that has sent a status here since is not silent.
        """
        former_at = self._reported_at_by_datacentre.get(datacentre, -math.inf)
        self._reported_at_by_datacentre[datacentre] = now
        if now - former_at >= FORGET_AFTER_S:
            # What was silent meanwhile may be forgotten there.
            silent = (
                view.ip
                for view in self.agents_by_ip.values()
                if view.is_reported and view.status.datacentre == datacentre
            )
        limit_s = SUSPECT_INTERVALS * STATUS_INTERVAL_S
        for ip in silent:
            view = self.agents_by_ip.get(ip)
            if (
                view is not None
                and view.silent_since is None
                and now - view.heard_at >= limit_s
            ):
                view.silent_since = now

    def reporting_datacentres(self, now: float) -> list[DatacentreName]:
        """Return the other data centres that have sent a recent report."""
        return [
            datacentre
            for datacentre in self._reported_at_by_datacentre
            if self._has_recent_report(datacentre, now)
        ]

    def _has_recent_report(
        self, datacentre: DatacentreName, now: float
    ) -> bool:
        reported_at = self._reported_at_by_datacentre.get(datacentre)
        limit_s = SUSPECT_INTERVALS * STATUS_INTERVAL_S * FAR_ROUNDS
        return reported_at is not None and now - reported_at < limit_s

    def _record_reuse(self, status: AgentStatus) -> None:
        is_long_by_destination = self._is_long_by_destination
        for destination, is_long in status.reuse:
            is_long_by_destination[Destination(destination)] = is_long
        while len(is_long_by_destination) > MAX_DESTINATIONS:
            del is_long_by_destination[next(iter(is_long_by_destination))]

    def has_long_flows(self, destination: Destination) -> bool | None:
        """Return whether flows of a destination carry several requests.

        :returns: ``None`` if no agent has reported it.
        """
        return self._is_long_by_destination.get(destination)

    def record_balancer_status(
        self, ip: str, status: BalancerStatus, now: float
    ) -> bool:
        """Record the status of a balancer.

        :returns: whether the balancer was not known or has restarted.
        """
        for known in unpack_ips(status.balancers):
            self.add_balancer(known, now)
        if status.knows_fleet and status.agents:
            self._listed_agents = _count_listed(status)
        for agent in unpack_ips(status.agents):
            if agent not in self.agents_by_ip:
                self._unheard_agents.setdefault(agent, UnheardAgent(now))
        view = self.balancers_by_ip.get(ip)
        if status.is_leaving:
            # A former process of the host may have left long ago.
            order = view.order if view else None
            if order is None or order.is_present(status.started_ms):
                self.balancers_by_ip.pop(ip, None)
            return False
        if view is None:
            view = self.balancers_by_ip[ip] = BalancerView(ip, now)
        former = view.status
        if view.order is None:
            view.order = ProcessOrder(status.started_ms, status.number, now)
        elif not view.order.accept(status.started_ms, status.number, now):
            return False
        view.status = status
        view.heard_at = view.known_at = now
        is_new = former is None or former.started_ms != status.started_ms
        if is_new:
            self._last_new_balancer_at = now
        return is_new

    def record_stored_agents(
        self, incarnation_by_ip: Mapping[str, int], now: float
    ) -> None:
        """Record the agents that the store lists, see :mod:`.directory`.

        The list may be old. An agent on it counts as one that others list,
        so that it only ever delays conclusions.

        :param incarnation_by_ip: the upstream of each agent; empty if the
            store has no list.
        """
        self._stored_incarnation_by_ip = incarnation_by_ip
        for ip in incarnation_by_ip:
            if ip not in self.agents_by_ip:
                unheard = self._unheard_agents.setdefault(
                    ip, UnheardAgent(now)
                )
                unheard.is_stored = True

    def agents_to_store(self) -> dict[str, int]:
        """Return the upstream of each agent that has one."""
        return {
            view.ip: view.status.incarnation
            for view in self._views_with_upstream()
            if view.status.incarnation
        }

    def has_ended(self, ip: str) -> bool:
        """Return whether the upstream of an agent is known to have ended."""
        view = self.agents_by_ip.get(ip)
        return view is not None and view.status.state is AgentState.ENDED

    def add_balancer(self, ip: str, now: float) -> None:
        """Add a balancer by its address, without a status."""
        if ip == self._own_ip:
            return
        view = self.balancers_by_ip.get(ip)
        if view is None:
            view = self.balancers_by_ip[ip] = BalancerView(ip, now)
            self._added_balancers.append(ip)
        view.known_at = now

    def take_added_balancers(self) -> list[str]:
        """Return the balancers added since the last call, and clear them.

        At most :data:`MAX_ADDRESSED_AT_ONCE`; the others get a status in the
        next rounds.
        """
        added, self._added_balancers = self._added_balancers, []
        return added[:MAX_ADDRESSED_AT_ONCE]

    def unknown_agents(self, listed: Iterable[str], now: float) -> list[str]:
        """Return agents to be asked for their status.

        :param listed: agents that another balancer knows.
        :returns: those that have sent no status here and were not asked
            within :data:`ASK_AGAIN_S`.
        """
        unknown = [
            ip
            for ip in listed
            if ip not in self.agents_by_ip
            and now - self._asked_at_by_agent.get(ip, -math.inf) >= ASK_AGAIN_S
        ]
        self._asked_at_by_agent.update(dict.fromkeys(unknown, now))
        return unknown

    @property
    def has_agent_list(self) -> bool:
        """Whether a balancer that knows the whole fleet has listed the agents.

        The lists of a large fleet are samples, so that several may be needed.
        An agent that ends later does not make the list incomplete.
        """
        if not self._has_agent_list and self._listed_agents is not None:
            known = len(self._unheard_agents) + len(
                self._views_with_upstream()
            )
            self._has_agent_list = self._listed_agents <= known
        return self._has_agent_list

    def has_unheard_agents(self, now: float) -> bool:
        """Return whether agents are listed that have sent no status here.

        The flows of such an agent cannot be distinguished from lost flows.
        It counts until the idle time-out, unless its host is unreachable.
        """
        return any(self._open_unheard(now))

    def has_absent_listed_agents(self, now: float) -> bool:
        """Return whether a listed agent is away rather than new.

        The store lists it, so that it has run before, or it has not answered
        requests for its status.
        """
        return any(
            unheard.is_stored or now - unheard.since >= MAX_ANSWER_S
            for _, unheard in self._open_unheard(now)
        )

    def _open_unheard(self, now: float) -> Iterator[tuple[str, UnheardAgent]]:
        """Return unheard agents whose upstream may hold flows."""
        return (
            (ip, unheard)
            for ip, unheard in self._unheard_agents.items()
            if now - unheard.since < self.idle_timeout_s
            and not unheard.probes.is_unreachable
        )

    def _late_unheard(self, now: float) -> Iterator[str]:
        """Return unheard agents that have not sent a status on their own."""
        return (
            ip
            for ip, unheard in self._open_unheard(now)
            if now - unheard.since > ASK_AGAIN_S
        )

    def listed_agents(self, now: float, is_complete: bool) -> list[str]:
        """Return the agents that a list for other processes contains.

        Who gets the list asks each unknown agent once in
        :data:`ASK_AGAIN_S`. The stored agents have not started yet when all
        processes have just been killed, so that they would be asked too
        early.

        :param is_complete: whether this process knows all agents, so that the
            list has the stored ones as well.
        """
        unheard = (
            ip
            for ip, agent in self._open_unheard(now)
            if is_complete or not agent.is_stored
        )
        return [*self.recent_agents(now), *unheard]

    def has_only_restarted_hosts(self, now: float) -> bool:
        """Return whether all hosts of upstreams seem to have restarted.

        Their upstreams were cold, and their agents had sent few statuses when
        the first one arrived here. Cold upstreams alone don't show it, since
        an upstream turns cold without a restart as well. Agents without an
        upstream, or whose upstream has ended, don't count. An agent that the
        store lists must have another upstream now, or its host must be down.
        """
        return self.needs_stored_agents and not self._may_run_since_before(now)

    @property
    def needs_stored_agents(self) -> bool:
        """Whether the list in the store may show a loss of all power.

        It can if all known hosts of upstreams seem to have restarted.
        """
        views = self._views_with_upstream()
        return len(views) >= MIN_RESTARTED_HOSTS and all(
            view.has_restarted for view in views
        )

    def _may_run_since_before(self, now: float) -> bool:
        """Return whether an upstream may run since before this start.

        That is so while the list in the store has not been read, an agent on
        it may be back later, or has the upstream that it had.
        """
        stored = self._stored_incarnation_by_ip
        return (
            stored is None
            or self.has_unheard_agents(now)
            or any(
                stored.get(ip) == incarnation
                for ip, incarnation in self.agents_to_store().items()
            )
        )

    def _views_with_upstream(self) -> list[AgentView]:
        return [
            view
            for view in self.agents_by_ip.values()
            if view.status.state is not AgentState.ENDED
        ]

    @staticmethod
    def _seems_restarted(view: AgentView) -> bool:
        return (
            view.status.cold_left_s > 0.0
            and view.first_number <= MAX_YOUNG_NUMBER
        )

    def has_lost_power(self, ip: str, now: float) -> bool:
        """Return whether the host of an agent seems to have lost power.

        All hosts must seem so whose upstream is known, and most must have a
        known one. A data centre alone may just have turned cold.
        """
        view = self.agents_by_ip.get(ip)
        if view is None or not view.status.incarnation:
            return False
        views = self._views_with_upstream()
        known = [other for other in views if other.status.incarnation]
        return (
            len(known) >= MIN_RESTARTED_HOSTS
            and 2 * len(known) > len(views)
            and all(map(self._seems_restarted, known))
            and not self._may_run_since_before(now)
        )

    def is_changing(self, now: float) -> bool:
        """Return whether others may know less of the fleet than this process.

        An agent has no recent status and may be back soon, or a balancer has
        started.
        """
        return now - self._last_new_balancer_at < MENTION_VALID_S or any(
            not self.has_recent_status(self.agents_by_ip[ip], now)
            for ip in self.recent_agents(now)
        )

    def silent_agents(self, now: float) -> list[str]:
        """Return agents whose status is overdue, to ask them for it.

        Also those that are only listed: an agent without an upstream is in no
        list of a balancer, so that it may not know this one.
        """
        silent = (
            view.ip
            for view in self.agents_by_ip.values()
            if now - view.heard_at > ASK_INTERVALS * view.status.interval_s
        )
        return [
            *islice(silent, MAX_ADDRESSED_AT_ONCE),
            *islice(self._late_unheard(now), MAX_ADDRESSED_AT_ONCE),
        ]

    def hosts_to_probe(self, now: float) -> list[str]:
        """Return silent agents whose host is to be probed now.

        Each is returned once in :data:`PROBE_INTERVAL_S`.
        """
        probes_by_ip = {
            view.ip: view.probes
            for view in self.agents_by_ip.values()
            if (
                view.silent_since is not None
                or now - view.heard_at > ASK_INTERVALS * view.status.interval_s
            )
            and view.status.state is not AgentState.ENDED
        } | {
            ip: self._unheard_agents[ip].probes
            for ip in self._late_unheard(now)
        }
        return take_due(probes_by_ip, now)

    def record_probe(self, ip: str, is_answered: bool) -> bool:
        """Record the result of a probe of an agent's host.

        :returns: whether it changes what is known of the host.
        """
        known = self.agents_by_ip.get(ip) or self._unheard_agents.get(ip)
        if known is None:
            return False
        return known.probes.record(is_answered)

    def record_suspension(self, for_s: float) -> None:
        """Record that this process did nothing for some time.

        Meanwhile it got no statuses, so that no agent was silent. Those that
        wait in its socket may be read one after the other.
        """
        for view in self.agents_by_ip.values():
            view.unobserved_s += for_s
            view.probes.unanswered = 0

    def recent_agents(self, now: float) -> list[str]:
        """Return the agents that are alive or may return.

        Agents without an upstream are left out: they hold no flows.
        """
        return [
            view.ip
            for view in self.agents_by_ip.values()
            if self._may_hold_flows(view, now)
        ]

    def absent_agents(self, now: float) -> list[AgentView]:
        """Return the agents that need not be asked but may hold flows.

        They have sent no status for so long that an answer is not expected.
        """
        return [
            view
            for view in self.agents_by_ip.values()
            if now - view.heard_at >= self.lost_after_s(view)
            and self._may_hold_flows(view, now)
        ]

    def _may_hold_flows(self, view: AgentView, now: float) -> bool:
        return (
            view.status.state is not AgentState.ENDED
            and self._silent_loss(view, now) is None
        )

    def split_balancers(
        self, datacentre: DatacentreName
    ) -> tuple[list[str], list[str]]:
        """Return the balancers of a data centre, and all others.

        A balancer whose data centre is not known yet counts as near.
        """
        near, far = [], []
        for ip in self.balancers_by_ip:
            (far if self.is_far(ip, datacentre) else near).append(ip)
        return near, far

    def balancers_without_status(self) -> Iterator[str]:
        """Return the balancers that have sent no status yet."""
        return (
            view.ip
            for view in self.balancers_by_ip.values()
            if view.status is None
        )

    def passes_on(self, ip: str) -> bool:
        """Return whether a balancer is known to take part in reports."""
        view = self.balancers_by_ip.get(ip)
        return (
            view is not None
            and view.status is not None
            and view.status.passes_on
        )

    def near_balancers(
        self, datacentre: DatacentreName, now: float
    ) -> list[BalancerView]:
        """Return balancers of a data centre that take part in reports.

        Those without a recent status, and those of the version before, are
        left out.
        """
        return [
            view
            for view in self.heard_balancers(now)
            if view.status.passes_on and view.status.datacentre == datacentre
        ]

    def is_far(self, ip: str, datacentre: DatacentreName) -> bool:
        """Return whether a process is known to be in another data centre."""
        view = self.balancers_by_ip.get(ip) or self.agents_by_ip.get(ip)
        return (
            view is not None
            and view.status is not None
            and view.status.datacentre != datacentre
        )

    def agents_of(self, service: ServiceName) -> Iterator[AgentView]:
        """Return the known agents of a service."""
        by_ip = self.agents_by_ip
        return (by_ip[ip] for ip in self._ips_by_service.get(service, ()))

    def has_recent_status(
        self, view: AgentView | BalancerView, now: float
    ) -> bool:
        """Return whether the last status of a process is recent.

        The limit is :data:`SUSPECT_INTERVALS` of its status intervals. An
        agent whose data centre reports must not be named as silent either.
        """
        if view.status is None:
            return False
        if isinstance(view, AgentView) and (
            view.silent_since is not None
            or (
                view.is_reported
                and not self._has_recent_report(view.status.datacentre, now)
            )
        ):
            return False
        limit = SUSPECT_INTERVALS * view.status.interval_s
        return now - view.heard_at < limit

    def heard_balancers(self, now: float) -> list[BalancerView]:
        """Return the balancers with a recent status."""
        return [
            view
            for view in self.balancers_by_ip.values()
            if self.has_recent_status(view, now)
        ]

    def count_sharing(self, now: float) -> int:
        """Return the number of balancers that share the upstreams.

        They are this one, those with a recent status, and those that were
        named recently and are expected to answer.
        """
        return 1 + sum(
            now - view.known_at < MENTION_VALID_S
            if view.status is None
            else self.has_recent_status(view, now)
            for view in self.balancers_by_ip.values()
        )

    def find_loss(self, ip: str, incarnation: int, now: float) -> Loss | None:
        """Return why the flows of an upstream count as lost.

        They are lost if the agent reports that the upstream has ended. They
        also count as lost if the agent has sent no status for a long time
        and its host answers no probe, or none for the idle time-out, while
        most other agents have a recent status: then this process is not
        the one that is cut off. If the agent reports another incarnation,
        only the agent can tell whose flow it is.

        :param incarnation: the upstream, 0 if it is not known which one of
            the agent's upstreams it was.
        :returns: ``None`` if they may be open.
        """
        view = self.agents_by_ip.get(ip)
        if view is None:
            return None
        status = view.status
        has_ended = status.state is AgentState.ENDED
        if (
            incarnation
            and has_ended
            and status.incarnation in (0, incarnation)
        ):
            return Loss.UPSTREAM_ENDED
        loss = self._silent_loss(view, now)
        return loss if loss and self._has_most_statuses(now) else None

    def _silent_loss(self, view: AgentView, now: float) -> Loss | None:
        """Return why the flows of a silent agent count as lost."""
        if now <= self._lost_at(view):
            return None
        if view.probes.is_unreachable:
            return Loss.HOST_UNREACHABLE
        silence_s = now - view.heard_at - view.unobserved_s
        if silence_s > self.idle_timeout_s:
            return Loss.AGENT_SILENT
        return None

    @staticmethod
    def lost_after_s(view: AgentView) -> float:
        """Return the time without a status after which none is expected."""
        return max(
            _min_silence_s(view), LOST_INTERVALS * view.status.interval_s
        )

    def _lost_at(self, view: AgentView) -> float:
        """Return the time from which an agent may count as lost.

        An agent that its data centre reports as silent may be lost soon
        afterwards, however long the interval of its statuses.
        """
        lost_at = view.heard_at + view.unobserved_s + self.lost_after_s(view)
        if view.silent_since is None:
            return lost_at
        return min(lost_at, view.silent_since + _min_silence_s(view))

    def _is_recent(self, view: AgentView, now: float) -> bool:
        """Return whether an agent is alive or may return."""
        silence = now - view.heard_at
        return silence < max(RESTART_TIMEOUT_S, self.lost_after_s(view))

    def _has_most_statuses(self, now: float) -> bool:
        views = self.agents_by_ip.values()
        recent = [view for view in views if self._is_recent(view, now)]
        heard = sum(self.has_recent_status(view, now) for view in recent)
        return 2 * heard > len(recent)

    def forget(self, now: float) -> list[str]:
        """Remove processes that have sent no status for a long time.

        :returns: their IP addresses.
        """
        silent: list[AgentView | BalancerView] = [
            view
            for view in self.agents_by_ip.values()
            if now - view.heard_at > self._forget_after_s(view)
        ]
        silent += [
            view
            for view in self.balancers_by_ip.values()
            if now - view.known_at > self._forget_after_s(view)
        ]
        self._asked_at_by_agent = {
            ip: at
            for ip, at in self._asked_at_by_agent.items()
            if now - at < MENTION_VALID_S
        }
        # Others may list an agent for as long as it is remembered here, so
        # that it must not count as a new one each time.
        self._unheard_agents = {
            ip: unheard
            for ip, unheard in self._unheard_agents.items()
            if now - unheard.since < UNHEARD_KEPT_TIMES * self.idle_timeout_s
        }
        for view in silent:
            if isinstance(view, AgentView):
                del self.agents_by_ip[view.ip]
                self._ips_by_service[view.status.service].pop(view.ip, None)
            else:
                del self.balancers_by_ip[view.ip]
        return [view.ip for view in silent]

    def _forget_after_s(self, view: AgentView | BalancerView) -> float:
        interval_s = view.status.interval_s if view.status else 0.0
        return max(
            FORGET_AFTER_S,
            self.idle_timeout_s,
            (LOST_INTERVALS + 1) * interval_s,
        )
