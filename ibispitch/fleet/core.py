"""What a process knows of the balancers and agents of the fleet.

Everything rests on status messages that the processes send each other;
nothing is kept in the store but the addresses of balancers. A process that
falls silent is not used for new flows after :data:`SUSPECT_ROUNDS` and is
forgotten after :data:`FORGET_S`.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from itertools import islice
import math
from typing import NamedTuple

from ibispitch.fleet.messages import AgentState
from ibispitch.fleet.messages import AgentStatus
from ibispitch.fleet.messages import BalancerStatus
from ibispitch.fleet.messages import unpack_ips
from ibispitch.ids import DatacentreName
from ibispitch.ids import ServiceName

#: Interval of status messages within a data centre: new flows find out
#: within a second that a process is gone.
STATUS_INTERVAL_S = 0.4
#: Rounds after which data centres hear from each other. Bytes between them
#: cost money, and new flows go there only if the own upstreams are busy.
FAR_ROUNDS = 3
#: Rounds without a status after which a process gets no new flows: two lost
#: messages and the time of a busy event loop.
SUSPECT_ROUNDS = 2.5
#: Rounds without a status after which an agent is asked for it, so that
#: several questions come before it counts as lost.
ASK_ROUNDS = 1.5
#: Age of what others have said of a process that was not heard itself.
SUSPECT_S = SUSPECT_ROUNDS * STATUS_INTERVAL_S * FAR_ROUNDS
#: Silence after which flows of an agent are given up, unless it said that
#: it restarts: longer than a killed process takes to come back (about 1.5 s
#: with the start of the interpreter), and than the time after which
#: far processes are no longer heard (3 s), so that a process that nobody
#: writes to does not take a part of the others for lost.
LOST_S = 3.6
#: How long a restarting agent's flows are kept: the longest grace time of a
#: stop (6 s) and the start.
RESTART_S = 8.0
#: Silence after which a process is forgotten; a partition that heals before
#: needs no new introduction.
FORGET_S = 30.0
#: Rounds without a status after which an agent counts as lost, in fleets so
#: large that rounds take long: one more than :data:`SUSPECT_ROUNDS`.
LOST_ROUNDS = 3
#: Most processes of the own data centre that one round of status messages
#: addresses, and of others that one far round does. With 90 bytes each, and
#: the headers, they are 3.4 KB/s of the 4 KB/s that a host has for control.
MAX_NEAR = 8
MAX_FAR = 15
#: Processes that are greeted at once.
MAX_GREETED = 64


class AgentView:
    """An agent as this process sees it.

    :param ip: IP number of the agent.
    """

    __slots__ = (
        'flows_since_status',
        'heard_at',
        'ip',
        'is_unresponsive',
        'status',
    )

    def __init__(self, ip: str, status: AgentStatus, now: float):
        self.ip = ip
        self.status = status
        self.heard_at = now
        #: New flows forwarded since the last status.
        self.flows_since_status = 0
        #: Whether a copy of an opening showed that the agent is silent.
        self.is_unresponsive = False

    @property
    def load(self) -> float:
        """Requests in progress for each slot, as far as is known."""
        return (self.status.running + self.flows_since_status) / max(
            1, self.status.slots
        )


class BalancerView:
    """A balancer as this process sees it."""

    __slots__ = ('heard_at', 'ip', 'known_at', 'status')

    def __init__(self, ip: str, status: BalancerStatus | None, now: float):
        self.ip = ip
        self.status = status
        self.heard_at = now
        #: Time at which it was heard, or named by another balancer.
        self.known_at = now


def _is_older(new, old) -> bool:
    return (new.started_ms, new.number) <= (old.started_ms, old.number)


class Fleet:
    """Balancers and agents that are known, by their IP numbers."""

    def __init__(self, own_ip: str):
        self._own_ip = own_ip
        self.agents_by_ip: dict[str, AgentView] = {}
        self.balancers_by_ip: dict[str, BalancerView] = {}
        #: In the order in which they were heard; the values say nothing.
        self._ips_by_service: dict[ServiceName, dict[str, None]] = {}
        #: Agents that balancers named and that were not heard, with the
        #: time of the latest mention.
        self._expected: dict[str, float] = {}
        self._introduced: list[str] = []
        #: Time at which an agent was last heard for the first time.
        self.last_new_agent_at = -math.inf
        #: Time at which a balancer was last heard for the first time.
        self._met_at = -math.inf
        #: Whether a balancer that knows the fleet has named the agents.
        self.has_agent_list = False

    def record_agent_status(
        self, ip: str, status: AgentStatus, now: float
    ) -> AgentStatus | None:
        """Take in the status of an agent.

        :returns: the status that was known before; the new one itself if it
            is older than that and was ignored; ``None`` for a new agent.
        """
        self._expected.pop(ip, None)
        view = self.agents_by_ip.get(ip)
        if view is None:
            self.agents_by_ip[ip] = AgentView(ip, status, now)
            self._ips_by_service.setdefault(status.service, {})[ip] = None
            self.last_new_agent_at = now
            return None
        former = view.status
        if _is_older(status, former):
            return status
        if former.service != status.service:
            self._ips_by_service[former.service].pop(ip, None)
            self._ips_by_service.setdefault(status.service, {})[ip] = None
        view.status = status
        view.heard_at = now
        view.flows_since_status = 0
        view.is_unresponsive = False
        return former

    def record_balancer_status(
        self, ip: str, status: BalancerStatus, now: float
    ) -> bool:
        """Take in the status of a balancer.

        :returns: whether it was not known, or is a new process.
        """
        for known in unpack_ips(status.balancers):
            self.add_balancer(known, now)
        if status.knows_fleet and status.agents:
            self.has_agent_list = True
        for agent in unpack_ips(status.agents):
            if agent not in self.agents_by_ip:
                self._expected[agent] = now
        view = self.balancers_by_ip.get(ip)
        if status.is_leaving:
            self.balancers_by_ip.pop(ip, None)
            return False
        if view is None:
            view = self.balancers_by_ip[ip] = BalancerView(ip, None, now)
        former = view.status
        if former is not None and _is_older(status, former):
            return False
        view.status = status
        view.heard_at = view.known_at = now
        is_new = former is None or former.started_ms != status.started_ms
        if is_new:
            self._met_at = now
        return is_new

    def add_balancer(self, ip: str, now: float) -> None:
        """Add a balancer of which only the address is known."""
        if ip == self._own_ip:
            return
        view = self.balancers_by_ip.get(ip)
        if view is None:
            view = self.balancers_by_ip[ip] = BalancerView(ip, None, now)
            self._introduced.append(ip)
        view.known_at = now

    def take_added_balancers(self) -> list[str]:
        """Return the balancers introduced since the last call, once.

        At most :data:`MAX_GREETED`; the others come with the next rounds.
        """
        introduced, self._introduced = self._introduced, []
        return introduced[:MAX_GREETED]

    def has_unheard_agents(self, now: float) -> bool:
        """Return whether others know agents that this process has not heard.

        The flows of such an agent cannot be told from flows that are lost.
        """
        self._expected = {
            ip: at for ip, at in self._expected.items() if now - at < SUSPECT_S
        }
        return bool(self._expected)

    def has_only_cold_upstreams(self) -> bool:
        """Return whether all upstreams that are known have just started."""
        return bool(self.agents_by_ip) and all(
            view.status.cold_left_s > 0.0
            for view in self.agents_by_ip.values()
        )

    def is_changing(self, now: float) -> bool:
        """Return whether others may not know what this process knows.

        An agent is silent and may be back soon, or a balancer has started.
        """
        return now - self._met_at < SUSPECT_S or any(
            not self.has_recent_status(self.agents_by_ip[ip], now)
            for ip in self.recent_agents(now)
        )

    def silent_agents(self, now: float) -> list[str]:
        """Return agents whose status is overdue, to be asked for it."""
        silent = (
            view.ip
            for view in self.agents_by_ip.values()
            if now - view.heard_at > ASK_ROUNDS * view.status.interval_s
        )
        return list(islice(silent, MAX_GREETED))

    def recent_agents(self, now: float) -> list[str]:
        """Return the agents that are alive or expected back."""
        return [
            view.ip
            for view in self.agents_by_ip.values()
            if self._is_recent(view, now)
        ]

    def split_balancers(
        self, datacentre: DatacentreName
    ) -> tuple[list[str], list[str]]:
        """Return the balancers of a data centre, and all others.

        One whose data centre is not known yet counts as near.
        """
        near, far = [], []
        for ip in self.balancers_by_ip:
            (far if self.is_far(ip, datacentre) else near).append(ip)
        return near, far

    def balancers_without_status(self) -> Iterator[str]:
        """Return the balancers of which only the address is known."""
        return (
            view.ip
            for view in self.balancers_by_ip.values()
            if view.status is None
        )

    def is_far(self, ip: str, datacentre: DatacentreName) -> bool:
        """Return whether a process is known to be in another data centre."""
        view = self.balancers_by_ip.get(ip) or self.agents_by_ip.get(ip)
        return (
            view is not None
            and view.status is not None
            and view.status.datacentre != datacentre
        )

    def agents_of(self, service: ServiceName) -> Iterator[AgentView]:
        """Return the agents of a service that are not forgotten."""
        by_ip = self.agents_by_ip
        return (by_ip[ip] for ip in self._ips_by_service.get(service, ()))

    def has_recent_status(
        self, view: AgentView | BalancerView, now: float
    ) -> bool:
        """Return whether a process was heard a short time ago."""
        if view.status is None:
            return False
        limit = SUSPECT_ROUNDS * view.status.interval_s
        return now - view.heard_at < limit

    def heard_balancers(self, now: float) -> list[BalancerView]:
        """Return the balancers that were heard a short time ago."""
        return [
            view
            for view in self.balancers_by_ip.values()
            if self.has_recent_status(view, now)
        ]

    def has_lost_flows(self, ip: str, incarnation: int, now: float) -> bool:
        """Return whether the flows of an upstream are certainly lost.

        :param incarnation: the upstream, 0 if it is not known which one of
            the agent's upstreams it was.

        True if its agent says that the upstream has ended or is another
        one, or if the agent has been silent for long while most others are
        heard: then it is not this process that is cut off.
        """
        view = self.agents_by_ip.get(ip)
        if view is None:
            return False
        status = view.status
        if incarnation and status.incarnation not in (0, incarnation):
            return True
        if incarnation and status.state is AgentState.ENDED:
            return True
        silence = now - view.heard_at
        return silence > self.lost_after_s(view) and self._hears_most(now)

    @staticmethod
    def lost_after_s(view: AgentView) -> float:
        """Return the silence after which an agent counts as lost."""
        is_back_soon = view.status.state is AgentState.RESTARTING
        limit_s = RESTART_S if is_back_soon else LOST_S
        return max(limit_s, LOST_ROUNDS * view.status.interval_s)

    def _is_recent(self, view: AgentView, now: float) -> bool:
        """Return whether an agent is alive or expected back."""
        silence = now - view.heard_at
        return silence < max(RESTART_S, self.lost_after_s(view))

    def has_other_upstream(
        self, ip: str, incarnation: int, now: float
    ) -> bool:
        """Return whether an agent that is heard has another upstream now.

        Flows that opened between the start of the new upstream and its
        first heartbeat belong to the new one. Only the agent can tell.

        :param incarnation: the upstream that a flow was given to.
        """
        view = self.agents_by_ip.get(ip)
        return (
            view is not None
            and view.status.incarnation not in (0, incarnation)
            and view.status.state is not AgentState.ENDED
            and self.has_recent_status(view, now)
        )

    def _hears_most(self, now: float) -> bool:
        views = self.agents_by_ip.values()
        recent = [view for view in views if self._is_recent(view, now)]
        heard = sum(self.has_recent_status(view, now) for view in recent)
        return 2 * heard > len(recent)

    def forget(self, now: float) -> list[str]:
        """Drop processes that have been silent for long.

        :returns: their IP numbers.
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
        for view in silent:
            if isinstance(view, AgentView):
                del self.agents_by_ip[view.ip]
                self._ips_by_service[view.status.service].pop(view.ip, None)
            else:
                del self.balancers_by_ip[view.ip]
        return [view.ip for view in silent]

    @staticmethod
    def _forget_after_s(view: AgentView | BalancerView) -> float:
        interval_s = view.status.interval_s if view.status else 0.0
        return max(FORGET_S, (LOST_ROUNDS + 1) * interval_s)


class RoundReceivers(NamedTuple):
    """Receivers of one round of status messages.

    :param near: those of the own data centre.
    :param far: those of others.
    """

    near: list[str]
    far: list[str]


class RoundSchedule:
    """Deals the receivers of status messages out to rounds."""

    def __init__(self):
        self._number = 0
        self._near_at = 0
        self._far_at = 0
        #: Rounds after which a near and a far process hear again.
        self.near_rounds = 1
        self.far_rounds = FAR_ROUNDS

    def next(self, near: Iterable[str], far: Iterable[str]) -> RoundReceivers:
        """Return the receivers of the next round.

        All of a small fleet; of a large one a part, in rotation.
        """
        self._number += 1
        near, far = sorted(near), sorted(far)
        self.near_rounds = max(1, math.ceil(len(near) / MAX_NEAR))
        self.far_rounds = FAR_ROUNDS * max(1, math.ceil(len(far) / MAX_FAR))
        near, self._near_at = _part(near, self._near_at, MAX_NEAR)
        if self._number % FAR_ROUNDS:
            return RoundReceivers(near, [])
        far, self._far_at = _part(far, self._far_at, MAX_FAR)
        return RoundReceivers(near, far)


def _part(ordered: list[str], start: int, most: int) -> tuple[list[str], int]:
    if len(ordered) <= most:
        return ordered, 0
    start %= len(ordered)
    chosen = islice(ordered + ordered, start, start + most)
    return list(chosen), start + most
