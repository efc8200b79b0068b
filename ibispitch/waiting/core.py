"""The line of openings that wait at a balancer.

Answers these load patterns: all upstreams were lost and come back cold, so
that a backlog meets a small rate of new flows; and a burst above what the
upstreams can do. Openings whose objective is still in reach go first, by
priority and age; those that are late already follow. In a first-come line
every request would be late until the backlog is gone. What cannot be served
within the caller's attempt is refused at once.
"""

from collections import deque
from collections.abc import Callable
from itertools import groupby
import math
from typing import NamedTuple

from ibispitch.forwarding.packets import FlowKey
from ibispitch.forwarding.packets import Packet
from ibispitch.gate.core import COLD_WINDOW_S
from ibispitch.ids import ServiceName
from ibispitch.placement.core import MAX_QUEUE_SHARE
from ibispitch.routes.model import Route

#: Time after which a caller gives up an opening that nobody answers, and
#: starts the next attempt itself.
ATTEMPT_TIMEOUT_S = 1.4
#: Times at which a caller sends copies of an opening, by their number.
COPY_AFTER_S = (0.0, 0.2, 0.6)
#: Openings that wait at a time; more are refused at once.
MAX_WAITING = 2048
#: Time over which the rate of placements is counted.
RATE_WINDOW_S = 0.5
#: Part of the objective within which an opening has to be placed, at most.
LATE_SHARE = 0.6
#: Multiple of the mean time of a request that is left for the request
#: itself, as requests vary.
WORK_MARGIN = 1.5


class Opening(NamedTuple):
    """An opening that waits.

    :param route: its route, ``None`` while there are no routes.
    :param since: time at which the caller sent the first copy.
    :param work_s: mean time of a request of its service, 0 if not known.
    """

    packet: Packet
    service: ServiceName | None
    route: Route | None
    sent_at: float
    work_s: float = 0.0

    def is_late(self, now: float) -> bool:
        """Return whether the objective is out of reach."""
        if self.route is None:
            return False
        objective_s = self.route.objective_s
        # The queue of the upstream and the request come after the wait here.
        left_s = (
            1 - MAX_QUEUE_SHARE
        ) * objective_s - WORK_MARGIN * self.work_s
        return now - self.sent_at > min(LATE_SHARE * objective_s, left_s)


def first_copy_sent_at(packet: Packet, now: float) -> float:
    """Return when the caller sent the first copy of an opening."""
    copies = min(packet.acknowledged, len(COPY_AFTER_S) - 1)
    return now - COPY_AFTER_S[copies]


class _Line:
    """Counts the openings and the placements of one service."""

    def __init__(self, now: float):
        self.waiting = 0
        self.busy_since = now
        self.placed: deque[float] = deque()
        self.arrived: deque[float] = deque()
        self._has_relief = False

    def note_relief(self, relief_s: float, now: float) -> None:
        """Count anew once the upstreams have turned warm.

        What cold upstreams could take says nothing of what warm ones can.
        """
        had_relief, self._has_relief = self._has_relief, relief_s < math.inf
        if had_relief and not self._has_relief:
            self.busy_since = now
            self.placed.clear()

    def rate(self, now: float) -> float | None:
        """Return placements a second, ``None`` if that is not known yet."""
        if now - self.busy_since < RATE_WINDOW_S:
            return None
        return _per_second(self.placed, now) or None

    def spare_rate(self, now: float) -> float | None:
        """Return how many more a second are placed than arrive."""
        rate = self.rate(now)
        if rate is None:
            return None
        return rate - self.arrivals_per_s(now)

    def arrivals_per_s(self, now: float) -> float:
        """Return how many openings a second have come."""
        return _per_second(self.arrived, now)


def _per_second(times: deque[float], now: float) -> float:
    while times and now - times[0] > RATE_WINDOW_S:
        times.popleft()
    return len(times) / RATE_WINDOW_S


class OpeningQueue:
    """Openings that wait, by their flow."""

    def __init__(self):
        self._opening_by_flow: dict[FlowKey, Opening] = {}
        self._line_by_service: dict[ServiceName | None, _Line] = {}

    def __len__(self) -> int:
        return len(self._opening_by_flow)

    def __contains__(self, flow: FlowKey) -> bool:
        return flow in self._opening_by_flow

    def add(self, opening: Opening, warm_in_s: float, now: float) -> bool:
        """Let an opening wait.

        :param opening: the opening, or a later copy of it.
        :param warm_in_s: time until upstreams that bear little now bear
            more, infinite if that is not expected.
        :param now: time in seconds.
        :returns: whether it waits; ``False`` if it cannot be served within
            the caller's attempt.
        """
        flow = opening.packet.flow
        former = self.remove(flow)
        if former is not None:
            since = min(former.sent_at, opening.sent_at)
            opening = opening._replace(sent_at=since)
        line = self._line_by_service.get(opening.service)
        if line is None:
            line = self._line_by_service[opening.service] = _Line(now)
        line.note_relief(warm_in_s, now)
        if former is None:
            line.arrived.append(now)
        if former is None and (
            len(self) >= MAX_WAITING
            or not self._is_in_time(opening, line, warm_in_s, now)
        ):
            self._tidy(opening.service)
            return False
        line.waiting += 1
        self._opening_by_flow[flow] = opening
        return True

    def _is_in_time(
        self, opening: Opening, line: _Line, relief_s: float, now: float
    ) -> bool:
        rate = line.rate(now)
        left_s = ATTEMPT_TIMEOUT_S - (now - opening.sent_at)
        if rate is None or relief_s < left_s:
            return True
        ahead = sum(
            other.service == opening.service
            and self._key(other, now) < self._key(opening, now)
            for other in self._opening_by_flow.values()
        )
        return ahead / rate < left_s

    def remove_placed(self, flow: FlowKey, now: float) -> Opening | None:
        """Note that an opening was placed.

        :returns: the opening if it waited.
        """
        opening = self.remove(flow)
        if opening is not None:
            line = self._line_by_service.get(opening.service)
            if line is not None:
                line.placed.append(now)
        return opening

    def remove(self, flow: FlowKey) -> Opening | None:
        """Take an opening out of the line."""
        opening = self._opening_by_flow.pop(flow, None)
        if opening is not None:
            self._line_by_service[opening.service].waiting -= 1
            self._tidy(opening.service)
        return opening

    def _tidy(self, service: ServiceName | None) -> None:
        if not self._line_by_service[service].waiting:
            del self._line_by_service[service]

    def get(self, flow: FlowKey) -> Opening | None:
        """Return an opening that waits, ``None`` if it does not."""
        return self._opening_by_flow.get(flow)

    def should_defer(
        self,
        opening: Opening,
        cold_openings: float,
        warm_in_s: float,
        now: float,
    ) -> bool:
        """Return whether a late opening leaves a cold upstream to others.

        Until the upstreams are warm, all that they bear is needed by
        openings that can still be in time.

        :param cold_openings: new flows that cold upstreams bear now, the
            part of this balancer.
        :param warm_in_s: see :meth:`add`.
        """
        left_s = ATTEMPT_TIMEOUT_S - (now - opening.sent_at)
        line = self._line_by_service.get(opening.service)
        if line is None or warm_in_s >= left_s or not opening.is_late(now):
            return False
        expected = line.arrivals_per_s(now) * min(warm_in_s, COLD_WINDOW_S)
        return expected >= cold_openings

    def remove_expired(self, now: float) -> list[Opening]:
        """Remove the openings whose callers have given up.

        :returns: these openings.
        """
        over = [
            opening
            for opening in self._opening_by_flow.values()
            if now - opening.sent_at > ATTEMPT_TIMEOUT_S
        ]
        for opening in over:
            self.remove(opening.packet.flow)
        return over

    def remove_unservable(
        self, warm_in_s: Callable[[ServiceName | None], float], now: float
    ) -> list[Opening]:
        """Remove late openings that cannot be served any more.

        What is in time goes first, so that a late opening is served only if
        more is placed than arrives.

        :param warm_in_s: see :meth:`add`, for a service.
        :returns: these openings, to be refused.
        """
        over = []
        late = (o for o in self.by_precedence(now) if o.is_late(now))
        for service, openings in groupby(
            sorted(late, key=lambda o: o.service or ''),
            key=lambda o: o.service,
        ):
            line = self._line_by_service[service]
            relief = warm_in_s(service)
            line.note_relief(relief, now)
            spare = line.spare_rate(now)
            if spare is None:
                continue
            for place, opening in enumerate(openings, 1):
                left_s = ATTEMPT_TIMEOUT_S - (now - opening.sent_at)
                if relief >= left_s and place > spare * left_s:
                    over.append(opening)
        for opening in over:
            self.remove(opening.packet.flow)
        return over

    def by_precedence(self, now: float) -> list[Opening]:
        """Return the openings in the order in which to place them."""
        return sorted(
            self._opening_by_flow.values(),
            key=lambda opening: self._key(opening, now),
        )

    @staticmethod
    def _key(opening: Opening, now: float) -> tuple[bool, int, float]:
        priority = opening.route.priority if opening.route else 0
        return opening.is_late(now), priority, opening.sent_at
