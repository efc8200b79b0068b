"""Reserves the new flows of cold upstreams for the most valuable openings.

It is designed for a loss of all power: every upstream returns cold and may
get a few new flows per second until it is warm, seconds later. Openings that
have waited during the outage, which are late, and openings of less urgent
requests are many and arrive first. Whatever they take is missing for the
urgent openings of the next second, which can still be in time.

An opening therefore leaves the places of cold upstreams to openings that are
in time and more urgent, if these are expected to need all places that are
free, or become free again, until the upstreams are warm. A balancer that has
just started does not know how many to expect; it reserves all places for the
most urgent ones until it has observed the arrivals for a moment.
"""

from collections import defaultdict
from collections import deque
import math
from typing import NamedTuple

from ibispitch.gate.core import COLD_MARGIN_S
from ibispitch.gate.core import COLD_WINDOW_S
from ibispitch.ids import ServiceName
from ibispitch.settings.overload import ColdStartSettings
from ibispitch.waiting.core import Opening

#: Window in which arrivals are counted.
ARRIVAL_WINDOW_S = 0.5
#: Time after which an agent counts a new flow no more.
PLACE_WINDOW_S = COLD_WINDOW_S + COLD_MARGIN_S


def _expire(times: deque[float], window_s: float, now: float) -> None:
    while times and now - times[0] > window_s:
        times.popleft()


class ColdPlaces(NamedTuple):
    """New flows that the cold upstreams of a service may get.

    :param per_window: this balancer's share of those in any time window of
        :data:`ibispitch.gate.core.COLD_WINDOW_S`.
    :param warm_in_s: time until the first upstream is warm.
    """

    per_window: float
    warm_in_s: float


class _Arrivals:
    """Times of the recent openings of a service, by priority."""

    def __init__(self, now: float):
        self._since = now
        self._times_by_priority: dict[int, deque[float]] = defaultdict(deque)

    def record(self, priority: int, now: float) -> None:
        times = self._times_by_priority[priority]
        times.append(now)
        _expire(times, ARRIVAL_WINDOW_S, now)

    def observed_s(self, now: float) -> float:
        """Return for how long arrivals have been counted."""
        return now - self._since

    def per_s(self, priorities: range | None, now: float) -> float:
        """Return an upper estimate of the arrivals per second.

        One standard deviation is added to the count, since few arrivals are
        seen in the window.

        :param priorities: the priorities to count, ``None`` for all.
        """
        count = 0
        for priority, times in self._times_by_priority.items():
            _expire(times, ARRIVAL_WINDOW_S, now)
            if priorities is None or priority in priorities:
                count += len(times)
        observed_s = min(ARRIVAL_WINDOW_S, max(1e-3, self.observed_s(now)))
        return (count + math.sqrt(count)) / observed_s


class ColdReservation:
    """Decides which openings leave the places of cold upstreams to others.

    :param settings: settings of the part.
    """

    def __init__(self, settings: ColdStartSettings):
        self._learn_s = settings.learn_s
        self._arrivals_by_service: dict[ServiceName, _Arrivals] = {}
        #: Times at which this balancer took places, by service.
        self._taken_by_service: dict[ServiceName, deque[float]] = {}

    def record_taken(self, service: ServiceName, now: float) -> None:
        """Record an opening that a cold upstream gets."""
        taken = self._taken_by_service.setdefault(service, deque())
        taken.append(now)
        _expire(taken, PLACE_WINDOW_S, now)

    def record_arrival(
        self, service: ServiceName, priority: int, now: float
    ) -> None:
        """Record an opening that begins a request."""
        arrivals = self._arrivals_by_service.get(service)
        if arrivals is None:
            arrivals = self._arrivals_by_service[service] = _Arrivals(now)
        arrivals.record(priority, now)

    def is_reserved(
        self,
        opening: Opening,
        most_urgent: int,
        cold: ColdPlaces,
        now: float,
    ) -> bool:
        """Return whether an opening leaves its place to more valuable ones.

        :param opening: an opening with a route.
        :param most_urgent: lowest number of the priorities of the service.
        :param cold: what the cold upstreams of the service may get.
        :param now: time in seconds.
        """
        priority = opening.route.priority
        is_late = opening.is_late(now)
        if not is_late and priority <= most_urgent:
            return False
        arrivals = self._arrivals_by_service.get(opening.service)
        if arrivals is None or arrivals.observed_s(now) < self._learn_s:
            return True
        valued_more = None if is_late else range(priority)
        per_s = arrivals.per_s(valued_more, now)
        return not self._has_spare_place(opening.service, per_s, cold, now)

    def _has_spare_place(
        self, service: ServiceName, per_s: float, cold: ColdPlaces, now: float
    ) -> bool:
        """Return whether one place more can be taken now.

        :param per_s: more valuable openings per second. They must find a
            place at any time until the upstreams are warm.
        """
        taken = self._taken_by_service.get(service, deque())
        _expire(taken, PLACE_WINDOW_S, now)
        spare = cold.per_window - len(taken) - 1
        free_again_s = [at + PLACE_WINDOW_S - now for at in taken]
        horizon_s = min(cold.warm_in_s, PLACE_WINDOW_S)
        return all(
            spare + freed >= per_s * min(after_s, horizon_s)
            for freed, after_s in enumerate([*free_again_s, horizon_s])
            if freed == 0 or free_again_s[freed - 1] < horizon_s
        )

    def forget_services(self, known: set[ServiceName]) -> None:
        """Forget services that are no longer in the routes."""
        for by_service in (self._arrivals_by_service, self._taken_by_service):
            for service in by_service.keys() - known:
                del by_service[service]
