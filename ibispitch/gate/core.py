"""Gate in front of an upstream.

Only the agent beside an upstream can reach it. What an upstream may receive
is therefore decided here, whatever the balancers believe.
"""

from collections import deque
import enum
from typing import NamedTuple

from ibispitch.fleet.messages import AgentState
from ibispitch.forwarding.frames import Reason
from ibispitch.forwarding.packets import FlowKey
from ibispitch.ids import DatacentreName
from ibispitch.ids import ServiceName
from ibispitch.routes.model import RouteIndex

#: Heartbeats that may be missed before an upstream counts as silent: one
#: lost, one late.
MISSED_HEARTBEATS = 2.6
#: Window over which new flows to a cold upstream are counted.
COLD_WINDOW_S = 1.0
#: Margin on the window, for packets that wait in the upstream's socket.
COLD_MARGIN_S = 0.03
#: Heartbeats give the time that an upstream stays cold in milliseconds.
ROUNDING_S = 0.002
#: Time after its start for which a process reckons with new flows that the
#: process before it let in: the window, less the time that a killed process
#: takes at least to come back, by the start of the interpreter.
PREDECESSOR_WINDOW_S = COLD_WINDOW_S + COLD_MARGIN_S - 0.28
#: Age of an upstream at the start of its agent up to which the agent knows
#: that it holds no flows: an earlier agent would have had to hear its first
#: heartbeat, to pass flows, to end and to be started again.
FRESH_S = 0.4
#: States in which an upstream may get new flows.
STATES_ADMITTING_FLOWS = (AgentState.READY, AgentState.PRESUMED)


class UpstreamState(enum.Enum):
    """What an upstream says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


class Heartbeat(NamedTuple):
    """A heartbeat of an upstream.

    :param upstream_id: name of this start, may be used again.
    :param started_ms: start of its process, Unix time; identifies it.
    :param sequence: counts its heartbeats.
    :param cold_left_s: time for which it stays cold.
    """

    upstream_id: str
    started_ms: int
    service: ServiceName
    slots: int
    state: UpstreamState
    sequence: int
    cold_left_s: float


class ColdLimits(NamedTuple):
    """Bound on the new flows of a cold upstream.

    It is ``openings_per_s * factor + slack`` in any second.
    """

    factor: float
    slack: float


class Gate:
    """Decides which new flows an upstream gets.

    :param service: the service of the agent.
    :param datacentre: the data centre of the agent.
    :param heartbeat_s: interval of the upstream's heartbeats.
    :param cold: bound on the new flows of a cold upstream.
    """

    def __init__(
        self,
        service: ServiceName,
        datacentre: DatacentreName,
        heartbeat_s: float,
        cold: ColdLimits,
    ):
        self.service = service
        self._datacentre = datacentre
        self._silent_after_s = MISSED_HEARTBEATS * heartbeat_s
        self._cold = cold
        self.heartbeat: Heartbeat | None = None
        self._heard_at = 0.0
        self._cold_until = 0.0
        self._has_ended = False
        self._is_out = False
        self._is_closed = False
        self._presumed_until = 0.0
        self._is_suspect = False
        self._predecessor_until = 0.0
        self._openings: deque[float] = deque()

    @property
    def incarnation(self) -> int:
        """The upstream's incarnation, 0 if none is known."""
        return self.heartbeat.started_ms if self.heartbeat else 0

    def receive_heartbeat(self, report: Heartbeat, now: float) -> bool:
        """Take in a heartbeat.

        :returns: whether it is newer than what was known; a heartbeat of an
            earlier start or with a smaller sequence is ignored.
        """
        former = self.heartbeat
        if former is not None and (
            (report.started_ms, report.sequence)
            <= (former.started_ms, former.sequence)
        ):
            return False
        self.heartbeat = report
        self._heard_at = now
        self._has_ended = False
        self._is_suspect = False
        if report.cold_left_s > 0.0:
            self._cold_until = now + report.cold_left_s + ROUNDING_S
        else:
            self._cold_until = now
        return True

    def record_upstream_end(self, upstream_id: str) -> bool:
        """Note that the upstream said that it ends.

        :returns: whether it is the upstream that the gate knows.
        """
        if self.heartbeat is None or self.heartbeat.upstream_id != upstream_id:
            return False
        self._has_ended = True
        return True

    def record_health_answer(self, now: float) -> None:
        """Note that an upstream answered a health check after a restart.

        Until its heartbeat it counts as cold, since it may be.
        """
        self._presumed_until = now + self._silent_after_s

    def assume_predecessor(self, now: float) -> None:
        """Note that a process before this one may have let in new flows.

        A cold upstream gets none until these no longer count.
        """
        self._predecessor_until = now + PREDECESSOR_WINDOW_S

    def rule_out_predecessor(self) -> None:
        """Note that the upstream is younger than this process."""
        self._predecessor_until = 0.0

    def mark_suspect(self) -> None:
        """Note that the upstream has not answered an opening.

        It may have ended, and another one may have started in its place. Until
        the next heartbeat it counts as cold.
        """
        self._is_suspect = True

    def close(self) -> None:
        """Admit no flows from now on, since this process stops."""
        self._is_closed = True

    def set_routes(self, routes: RouteIndex, now: float) -> None:
        """Take in new routes.

        The upstreams of a data centre that returns may have turned cold
        since their last heartbeat.
        """
        is_out = self._datacentre in routes.table.out
        if self._is_out and not is_out:
            limits = routes.limits_by_service.get(self.service)
            if limits is not None:
                self._cold_until = max(
                    self._cold_until, now + limits.cold_start_s
                )
        self._is_out = is_out

    def state(self, now: float) -> AgentState:
        """Return the state that the balancers are told."""
        if self.heartbeat is None:
            # Also when closed: nothing is known that is worth a longer wait
            # than for a crash.
            is_presumed = now < self._presumed_until and not self._is_closed
            return AgentState.PRESUMED if is_presumed else AgentState.UNKNOWN
        if self._has_ended:
            return AgentState.ENDED
        if self._is_closed:
            return AgentState.RESTARTING
        if self.heartbeat.state is UpstreamState.DRAINING:
            return AgentState.DRAINING
        if now - self._heard_at > self._silent_after_s:
            return AgentState.SILENT
        return AgentState.READY

    def cold_openings(
        self, routes: RouteIndex | None, now: float
    ) -> int | None:
        """Return the new flows that the upstream bears now, if it is cold."""
        is_warm = now >= self._cold_until and not self._is_suspect
        if is_warm and self.heartbeat is not None:
            return None
        if now < self._predecessor_until:
            return 0
        limits = routes.limits_by_service.get(self.service) if routes else None
        per_s = limits.cold_openings_per_s if limits else 0.0
        most = per_s * self._cold.factor + self._cold.slack
        self._expire(now)
        return max(0, int(most) - len(self._openings))

    def cold_left_s(self, now: float) -> float:
        """Return the time until the upstream is warm."""
        return max(0.0, self._cold_until - now)

    def upstream_started_at(self, routes: RouteIndex | None) -> float | None:
        """Return when the upstream started, ``None`` if it does not show.

        The time that it stays cold tells its age; its clock might jump.

        :returns: seconds of the clock that heartbeats were heard by.
        """
        limits = routes.limits_by_service.get(self.service) if routes else None
        if self.heartbeat is None or limits is None:
            return None
        if self.heartbeat.cold_left_s <= 0.0:
            return None
        age_s = limits.cold_start_s - self.heartbeat.cold_left_s
        return self._heard_at - age_s

    def did_upstream_start_after(
        self, time: float, routes: RouteIndex | None
    ) -> bool:
        """Return whether the upstream started after a time, or just before.

        :param time: time in seconds, such as the start of this process.
        """
        born_at = self.upstream_started_at(routes)
        return born_at is not None and born_at > time - FRESH_S

    def admit(
        self,
        flow: FlowKey,
        routes: RouteIndex | None,
        revision: int,
        now: float,
    ) -> Reason | None:
        """Decide on the opening packet of a flow.

        :param flow: the flow.
        :param routes: the agent's routes.
        :param revision: revision of the balancer that routed the flow.
        :param now: time in seconds.
        :returns: why the upstream must not get it, ``None`` if it may.
        """
        if self.state(now) not in STATES_ADMITTING_FLOWS:
            return Reason.CLOSED
        if routes is not None and routes.revision >= revision:
            if self._is_out:
                return Reason.CLOSED
            if not routes.allows_service(flow, self.service):
                return Reason.NO_ROUTE
        if self.cold_openings(routes, now) == 0:
            return Reason.CLOSED
        self._openings.append(now)
        self._expire(now)
        return None

    def _expire(self, now: float) -> None:
        openings = self._openings
        oldest = now - COLD_WINDOW_S - COLD_MARGIN_S
        while openings and openings[0] < oldest:
            openings.popleft()
