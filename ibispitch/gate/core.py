"""Admission of new flows to an upstream.

Only the agent on the same host can reach an upstream. The agent's gate
therefore makes the final decision on new flows, even if balancers have
outdated information.
"""

from collections import deque
import enum
from typing import NamedTuple

from ibispitch.fleet.messages import AgentState
from ibispitch.fleet.order import Continuation
from ibispitch.forwarding.frames import Reason
from ibispitch.forwarding.packets import FlowKey
from ibispitch.ids import DatacentreName
from ibispitch.ids import ServiceName
from ibispitch.routes.model import RouteIndex
from ibispitch.routes.position import TablePosition

#: Heartbeat intervals without a heartbeat after which an upstream counts as
#: silent: one heartbeat may be lost and the next one late.
SILENT_AFTER_INTERVALS = 2.6
#: Window in which the new flows of a cold upstream are counted.
COLD_WINDOW_S = 1.0
#: Margin on the window, since packets may wait in the upstream's socket.
COLD_MARGIN_S = 0.03
#: Margin for rounding: heartbeats give the remaining cold time in
#: milliseconds.
COLD_ROUNDING_S = 0.002
#: Time after its start for which a process assumes that its predecessor has
#: admitted new flows: the window, less the shortest restart of a killed
#: process, 0.28 s for the start of the interpreter.
PREDECESSOR_WINDOW_S = COLD_WINDOW_S + COLD_MARGIN_S - 0.28
#: If an upstream has been cold for at most this time when its agent starts,
#: the previous agent has admitted no flows to it since: it would have had to
#: receive a heartbeat, end and be restarted within this time.
MAX_FRESH_COLD_S = 0.4
#: States of an upstream in which it may get new flows.
STATES_ADMITTING_FLOWS = (AgentState.READY, AgentState.PRESUMED)


class UpstreamState(enum.Enum):
    """State that an upstream reports in its heartbeats."""

    READY = 'ready'
    DRAINING = 'draining'


class Heartbeat(NamedTuple):
    """A heartbeat of an upstream.

    An upstream is cold for some time after its start, and may turn cold again
    later. Meanwhile it may get only few new flows.

    :param upstream_id: name of the upstream, which a later process may reuse.
    :param started_ms: start of its process, Unix time; identifies the process
        and is used as its incarnation.
    :param service: the service that it belongs to.
    :param slots: requests that it runs at the same time.
    :param state: its state.
    :param sequence: number of the heartbeat, increasing.
    :param cold_left_s: time for which the upstream stays cold.
    """

    upstream_id: str
    started_ms: int
    service: ServiceName
    slots: int
    state: UpstreamState
    sequence: int
    cold_left_s: float


class ColdLimits(NamedTuple):
    """Limit of the new flows that a cold upstream may get.

    In any second it is ``cold_openings_per_s * factor + slack``, with
    ``cold_openings_per_s`` of the service's limits in the routes.
    """

    factor: float
    slack: float


class Gate:
    """Decides which new flows an upstream gets.

    :param service: the service of the agent.
    :param datacentre: the data centre of the agent.
    :param heartbeat_s: interval of the upstream's heartbeats.
    :param cold: limit of the new flows of a cold upstream.
    """

    def __init__(
        self,
        service: ServiceName,
        datacentre: DatacentreName,
        heartbeat_s: float,
        cold: ColdLimits,
    ):
        self.service = service
        self.datacentre = datacentre
        self._silent_after_s = SILENT_AFTER_INTERVALS * heartbeat_s
        self._cold_limits = cold
        self.heartbeat: Heartbeat | None = None
        self._heartbeat_at = 0.0
        self._continuation = Continuation()
        self._cold_until = 0.0
        self._has_ended = False
        self._is_leaving = False
        self._is_datacentre_out = False
        self._is_stopping = False
        self._presumed_until = 0.0
        self._is_suspect = False
        self._predecessor_until = 0.0
        self._admitted_at: deque[float] = deque()

    @property
    def incarnation(self) -> int:
        """The upstream's incarnation, 0 if none is known."""
        return self.heartbeat.started_ms if self.heartbeat else 0

    @property
    def slots(self) -> int:
        """Requests that the upstream runs at a time, 1 if it is not known."""
        return self.heartbeat.slots if self.heartbeat else 1

    def receive_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Process a heartbeat.

        :returns: whether it is newer than the last one. A heartbeat that
            seems to be older is late, unless those of its process go on while
            there are no others: the clock of the upstream may have stepped
            back between two starts.
        """
        former = self.heartbeat
        if (
            former is not None
            and (heartbeat.started_ms, heartbeat.sequence)
            <= (former.started_ms, former.sequence)
            and not self._continuation.record(
                heartbeat.started_ms, heartbeat.sequence, now
            )
        ):
            if heartbeat.started_ms != former.started_ms:
                # If this upstream is the present one after all, it is cold.
                self._is_suspect |= heartbeat.cold_left_s > 0.0
            return False
        self._continuation.end()
        self.heartbeat = heartbeat
        self._heartbeat_at = now
        self._has_ended = self._is_leaving = False
        # An upstream that has just started is cold. A warm one in the place
        # of another may be a late heartbeat while the present one is cold.
        self._is_suspect = (
            former is not None
            and former.started_ms != heartbeat.started_ms
            and heartbeat.cold_left_s <= 0.0
        )
        if heartbeat.cold_left_s > 0.0:
            self._cold_until = now + heartbeat.cold_left_s + COLD_ROUNDING_S
        else:
            self._cold_until = now
        return True

    def record_leaving(self, upstream_id: str) -> bool:
        """Record that an upstream has announced its end.

        It gets no new flows, and serves its open ones until it ends.

        :returns: whether it is the current upstream.
        """
        if self.heartbeat is None or self.heartbeat.upstream_id != upstream_id:
            return False
        self._is_leaving = True
        return True

    def record_no_upstream(self) -> None:
        """Record that no upstream runs; the next heartbeat shows a new one."""
        self._has_ended = True

    def record_health_answer(self, now: float) -> None:
        """Record that an upstream answered a health check after a restart.

        Until its first heartbeat it counts as cold, because it may be.
        """
        self._presumed_until = now + self._silent_after_s

    def assume_predecessor(self, now: float) -> None:
        """Record that the previous process may have admitted new flows.

        A cold upstream gets no new flows until those no longer count.
        """
        self._predecessor_until = now + PREDECESSOR_WINDOW_S

    def rule_out_predecessor(self) -> None:
        """Record that the upstream turned cold after this process started."""
        self._predecessor_until = 0.0

    def mark_suspect(self) -> None:
        """Record that the upstream has not answered an opening.

        It may have been replaced by another one, so it counts as cold until
        its next heartbeat.
        """
        self._is_suspect = True

    def close(self) -> None:
        """Admit no more flows, because this process stops."""
        self._is_stopping = True

    def set_routes(self, routes: RouteIndex, now: float) -> None:
        """Use new routes.

        When the data centre of the agent returns to service, its upstream
        counts as cold until the next heartbeat, because it may have become
        cold meanwhile.
        """
        is_datacentre_out = self.datacentre in routes.all_out
        if self._is_datacentre_out and not is_datacentre_out:
            limits = routes.limits_by_service.get(self.service)
            if limits is not None:
                self._cold_until = max(
                    self._cold_until, now + limits.cold_start_s
                )
        self._is_datacentre_out = is_datacentre_out

    def state(self, now: float) -> AgentState:
        """Return the state that is reported to the balancers."""
        if self.heartbeat is None:
            if self._has_ended:
                return AgentState.ENDED
            # UNKNOWN also when closed: the agent knows no flows, so balancers
            # need not wait longer for its successor than after a crash.
            is_presumed = now < self._presumed_until and not self._is_stopping
            return AgentState.PRESUMED if is_presumed else AgentState.UNKNOWN
        if self._has_ended:
            return AgentState.ENDED
        if self._is_stopping:
            return AgentState.RESTARTING
        if self._is_leaving or (
            self.heartbeat.state is UpstreamState.DRAINING
        ):
            return AgentState.DRAINING
        if now - self._heartbeat_at > self._silent_after_s:
            return AgentState.SILENT
        return AgentState.READY

    def cold_openings(
        self, routes: RouteIndex | None, now: float
    ) -> int | None:
        """Return the number of new flows that a cold upstream may get now.

        :returns: ``None`` if the upstream is warm.
        """
        is_warm = now >= self._cold_until and not self._is_suspect
        if is_warm and self.heartbeat is not None:
            return None
        if now < self._predecessor_until:
            return 0
        self._expire_openings(now)
        return max(0, self.cold_limit(routes) - len(self._admitted_at))

    def cold_limit(self, routes: RouteIndex | None) -> int:
        """Return the new flows that a cold upstream may get in a window."""
        limits = routes.limits_by_service.get(self.service) if routes else None
        per_s = limits.cold_openings_per_s if limits else 0.0
        return int(per_s * self._cold_limits.factor + self._cold_limits.slack)

    def cold_left_s(self, now: float) -> float:
        """Return the time until the upstream is warm."""
        return max(0.0, self._cold_until - now)

    def _turned_cold_at(self, routes: RouteIndex | None) -> float | None:
        """Return when the upstream turned cold.

        It may have done so long after its start, so that this says nothing
        of the flows that it holds.

        :returns: seconds of the clock of :meth:`receive_heartbeat`, ``None``
            if the upstream is unknown, is warm or has no limits in the routes.
        """
        limits = routes.limits_by_service.get(self.service) if routes else None
        if self.heartbeat is None or limits is None:
            return None
        if self.heartbeat.cold_left_s <= 0.0:
            return None
        cold_s = limits.cold_start_s - self.heartbeat.cold_left_s
        return self._heartbeat_at - cold_s

    def did_turn_cold_after(
        self, time: float, routes: RouteIndex | None
    ) -> bool:
        """Return whether the upstream turned cold after a time.

        :param time: time in seconds, such as the start of this process. The
            upstream may have turned cold :data:`MAX_FRESH_COLD_S` before it.
        :param routes: the agent's routes.
        :returns: ``False`` if it is not known.
        """
        cold_at = self._turned_cold_at(routes)
        return cold_at is not None and cold_at > time - MAX_FRESH_COLD_S

    def admit(
        self,
        flow: FlowKey,
        routes: RouteIndex | None,
        position: TablePosition,
        now: float,
    ) -> Reason | None:
        """Decide whether the upstream may get an opening, and count it if so.

        The parameters are those of :meth:`refusal`.

        :returns: why the upstream must not get it, ``None`` if it may.
        """
        reason = self.refusal(flow, routes, position, now)
        if reason is None:
            self._admitted_at.append(now)
            self._expire_openings(now)
        return reason

    def refusal(
        self,
        flow: FlowKey,
        routes: RouteIndex | None,
        position: TablePosition,
        now: float,
    ) -> Reason | None:
        """Return why the upstream must not get an opening now.

        :param flow: the flow.
        :param routes: the agent's routes.
        :param position: position of the routes by which the balancer routed
            the flow.
        :param now: time in seconds.
        :returns: ``None`` if the upstream may get it.
        """
        if self.state(now) not in STATES_ADMITTING_FLOWS:
            return Reason.CLOSED
        if routes is not None and routes.position >= position:
            if self._is_datacentre_out:
                return Reason.CLOSED
            if not routes.allows_service(flow, self.service):
                return Reason.NO_ROUTE
        if self.cold_openings(routes, now) == 0:
            return Reason.CLOSED
        return None

    def _expire_openings(self, now: float) -> None:
        admitted_at = self._admitted_at
        oldest = now - COLD_WINDOW_S - COLD_MARGIN_S
        while admitted_at and admitted_at[0] < oldest:
            admitted_at.popleft()
