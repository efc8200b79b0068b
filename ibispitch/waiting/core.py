"""The queue of openings that wait at a balancer.

It is designed for two load patterns: all upstreams were lost and restart
cold, so that a backlog meets a low rate of new flows; and a burst above the
capacity of the upstreams. Openings that can still meet their latency
objective go first, by priority and age, and late ones follow. In a
first-come, first-served queue every request would be late until the backlog
is gone. Openings that cannot be served within the caller's attempt are
refused at once.
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
from ibispitch.retry.attempts import Attempt
from ibispitch.routes.model import Route

#: Time after which a caller gives up an opening that was not answered and
#: starts its next attempt.
ATTEMPT_TIMEOUT_S = 1.4
#: Times after the first copy at which a caller sends the copies of an
#: opening.
COPY_AFTER_S = (0.0, 0.2, 0.6)
#: Maximum number of waiting openings; further ones are refused at once.
MAX_WAITING = 2048
#: Number of attempts of a caller for a request.
MAX_ATTEMPTS = 3
#: Window in which arrivals and placements are counted to get their rates.
RATE_WINDOW_S = 0.5
#: Shortest time from which a rate of arrivals is known.
MIN_OBSERVED_S = 0.1
#: Largest part of the latency objective that an opening may wait before it
#: counts as late.
MAX_WAIT_SHARE = 0.6
#: Multiple of the mean request time that is reserved for the request itself,
#: since request times vary.
WORK_MARGIN = 1.5


class Opening(NamedTuple):
    """An opening that waits.

    :param packet: the latest copy of the opening.
    :param service: its service, ``None`` while there are no routes.
    :param route: its route, ``None`` while there are no routes.
    :param sent_at: time at which the caller sent the first copy.
    :param work_s: mean request time of its service, 0 if not known.
    :param earlier: the caller's attempt for the same request before this one,
        ``None`` if there is none or it is not known.
    """

    packet: Packet
    service: ServiceName | None
    route: Route | None
    sent_at: float
    work_s: float = 0.0
    earlier: Attempt | None = None

    @property
    def priority(self) -> int:
        """Priority of its route, 0 for the most urgent."""
        return self.route.priority if self.route else 0

    @property
    def asked_at(self) -> float:
        """Time of the request's first attempt."""
        return self.earlier.asked_at if self.earlier else self.sent_at

    @property
    def number(self) -> int:
        """Number of this attempt, from 1."""
        return self.earlier.number + 1 if self.earlier else 1

    def ended(self, now: float) -> Attempt:
        """Return this attempt as one that has ended."""
        return Attempt(self.asked_at, self.number, now)

    def has_next_attempt(self, ended_at: float) -> bool:
        """Return whether the caller makes another attempt after this one.

        :param ended_at: time at which the caller ends this attempt.
        """
        if self.number >= MAX_ATTEMPTS:
            return False
        return (
            self.route is None
            or ended_at < self.asked_at + self.route.timeout_s
        )

    def request_time_left_s(self, now: float) -> float:
        """Return the time in which an upstream can still get the request.

        A caller whose attempt is not answered makes another one, so that the
        request can be served until its timeout. The last attempt ends the
        request.
        """
        if self.route is None or self.number >= MAX_ATTEMPTS:
            return self.time_left_s(now)
        return self.route.timeout_s - self.work_s - (now - self.asked_at)

    def time_left_s(self, now: float) -> float:
        """Return the time in which an upstream can still get the opening.

        The caller gives up the opening, or the request if it cannot be
        answered before the timeout of the route.
        """
        left_s = ATTEMPT_TIMEOUT_S - (now - self.sent_at)
        if self.route is None:
            return left_s
        timeout_s = self.route.timeout_s - self.work_s
        return min(left_s, timeout_s - (now - self.asked_at))

    def is_late(self, now: float) -> bool:
        """Return whether the latency objective can no longer be met."""
        if self.route is None:
            return False
        objective_s = self.route.objective_s
        # After this wait, the opening may wait in the upstream's queue, and
        # then the request runs.
        left_s = (
            1 - MAX_QUEUE_SHARE
        ) * objective_s - WORK_MARGIN * self.work_s
        return now - self.asked_at > min(MAX_WAIT_SHARE * objective_s, left_s)


def first_copy_sent_at(packet: Packet, now: float) -> float:
    """Return the time at which the caller sent the first copy.

    :param packet: an opening, which gives the number of its earlier copies.
    :param now: time in seconds at which it was received.
    """
    copies = min(packet.acknowledged, len(COPY_AFTER_S) - 1)
    return now - COPY_AFTER_S[copies]


class Capacity(NamedTuple):
    """What the upstreams of a service can take.

    :param warm_in_s: time until the first upstream is warm and can take more;
        infinite if one is warm already or none becomes warm.
    :param openings_per_s: this balancer's share of the openings that warm
        upstreams can take, 0 if it is not known.
    :param cold_openings_per_s: this balancer's share of the new flows a second
        that cold upstreams take, 0 if it is not known.
    """

    warm_in_s: float
    openings_per_s: float
    cold_openings_per_s: float = 0.0

    @property
    def is_cold(self) -> bool:
        """Whether all upstreams are cold and what they take is known."""
        return self.warm_in_s < math.inf and self.cold_openings_per_s > 0.0


class _ServiceRates:
    """Counts the waiting openings of a service and measures its rates."""

    def __init__(self, now: float):
        self.waiting = 0
        self.counting_since = now
        self.placed: deque[float] = deque()
        self.arrived: deque[float] = deque()
        self._is_warming = False

    def restart(self, now: float) -> None:
        """Restart the count of placements, as no opening has waited."""
        self.counting_since = now
        self.placed.clear()

    def is_idle(self, now: float) -> bool:
        """Return whether no opening waits and none arrived recently."""
        return not self.waiting and not self.arrivals_per_s(now)

    def record_warming(self, warm_in_s: float, now: float) -> None:
        """Restart the count of placements when the upstreams become warm.

        The rate that cold upstreams accept does not predict that of warm
        ones.
        """
        was_warming, self._is_warming = self._is_warming, warm_in_s < math.inf
        if was_warming and not self._is_warming:
            self.restart(now)

    def rate(self, capacity: Capacity, now: float) -> float | None:
        """Return the expected placements per second.

        It is the measured rate, or the balancer's share of what upstreams can
        take: after an outage, balancers compete for the same upstreams, and
        one may get nothing for a moment.

        While all upstreams are cold, it follows from their limits.

        :returns: ``None`` if the rate is not yet known.
        """
        if capacity.is_cold:
            return capacity.cold_openings_per_s
        if now - self.counting_since < RATE_WINDOW_S:
            return None
        measured = _per_second(self.placed, now)
        return max(measured, capacity.openings_per_s) or None

    def spare_rate(self, capacity: Capacity, now: float) -> float | None:
        """Return by how much placements per second exceed arrivals.

        :returns: ``None`` if the rate of placements is not yet known.
        """
        rate = self.rate(capacity, now)
        if rate is None:
            return None
        return rate - self.arrivals_per_s(now)

    def arrivals_per_s(self, now: float) -> float:
        """Return the number of openings that arrive per second."""
        return _per_second(self.arrived, now)


def _per_second(times: deque[float], now: float) -> float:
    while times and now - times[0] > RATE_WINDOW_S:
        times.popleft()
    return len(times) / RATE_WINDOW_S


class ArrivalRates:
    """Rates at which new openings arrive, by service and priority.

    They are what the upstreams of a service are asked for, whether the
    openings wait or not. Further attempts of callers don't count.
    """

    def __init__(self):
        self._since: float | None = None
        self._times_by_key: dict[
            tuple[ServiceName | None, int], deque[float]
        ] = {}

    def record(self, opening: Opening, now: float) -> None:
        """Count a new opening."""
        if self._since is None:
            self._since = now
        key = opening.service, opening.priority
        self._times_by_key.setdefault(key, deque()).append(now)
        self._expire(now)

    def per_s_before(self, opening: Opening, now: float) -> float | None:
        """Return the rate of the openings that go before one.

        Before a late one go all, before one in time the more urgent ones.
        Those that arrived before the routes were known count for each
        service.

        :returns: openings per second, ``None`` if too little was seen to
            know it.
        """
        if self._since is None or now - self._since < MIN_OBSERVED_S:
            return None
        self._expire(now)
        is_late = opening.is_late(now)
        count = sum(
            len(times)
            for (service, priority), times in self._times_by_key.items()
            if service in (opening.service, None)
            and (is_late or priority < opening.priority)
        )
        return count / min(RATE_WINDOW_S, now - self._since)

    def _expire(self, now: float) -> None:
        for key, times in list(self._times_by_key.items()):
            while times and now - times[0] > RATE_WINDOW_S:
                times.popleft()
            if not times:
                del self._times_by_key[key]


class SparePlacements:
    """Openings placed on cold upstreams although others go before them.

    They take from the places that are left for them in a window. Without
    this count, a balancer that sees a little room places all its late
    openings at once, since the statuses that show the places as taken come
    from the agents later.
    """

    def __init__(self):
        self._placed_by_flow: dict[
            FlowKey, tuple[ServiceName | None, float]
        ] = {}

    def record(self, opening: Opening, now: float) -> None:
        """Count a placement."""
        self._expire(now)
        flow = opening.packet.flow
        # Another placement of the same flow becomes the newest entry.
        self._placed_by_flow.pop(flow, None)
        self._placed_by_flow[flow] = opening.service, now

    def remove(self, flow: FlowKey) -> None:
        """Count a placement no longer, since the agent handed it back."""
        self._placed_by_flow.pop(flow, None)

    def count(self, service: ServiceName | None, now: float) -> int:
        """Return the placements of a service in the last window."""
        self._expire(now)
        return sum(
            placed_service == service
            for placed_service, _ in self._placed_by_flow.values()
        )

    def _expire(self, now: float) -> None:
        while self._placed_by_flow:
            flow, (_, placed_at) = next(iter(self._placed_by_flow.items()))
            if now - placed_at <= COLD_WINDOW_S:
                return
            del self._placed_by_flow[flow]


class OpeningQueue:
    """Queue of waiting openings, at most one for each flow.

    :param recognises_attempts: whether openings know the caller's earlier
        attempts. Then a refusal is needed only if no further attempt of the
        caller can be served either.
    """

    def __init__(self, recognises_attempts: bool = False):
        self._recognises_attempts = recognises_attempts
        self._arrivals = ArrivalRates()
        self._spare_placements = SparePlacements()
        self._opening_by_flow: dict[FlowKey, Opening] = {}
        self._rates_by_service: dict[ServiceName | None, _ServiceRates] = {}

    def __len__(self) -> int:
        return len(self._opening_by_flow)

    def __contains__(self, flow: FlowKey) -> bool:
        return flow in self._opening_by_flow

    def add(
        self,
        opening: Opening,
        capacity: Capacity,
        now: float,
        is_returned: bool = False,
    ) -> bool:
        """Add an opening.

        :param opening: the opening, or a later copy of it.
        :param capacity: what the upstreams of its service can take.
        :param is_returned: whether an agent has handed it back. It counts
            neither as placed nor as another arrival.
        :param now: time in seconds.
        :returns: whether the opening waits now; ``False`` if the queue is
            full or the opening cannot be served within the caller's attempt.
        """
        flow = opening.packet.flow
        earlier_copy = self.remove(flow)
        if earlier_copy is not None:
            since = min(earlier_copy.sent_at, opening.sent_at)
            opening = opening._replace(
                sent_at=since, earlier=earlier_copy.earlier
            )
        rates = self._start_counting(opening.service, now)
        rates.record_warming(capacity.warm_in_s, now)
        if is_returned:
            if rates.placed:
                rates.placed.pop()
        elif earlier_copy is None and opening.earlier is None:
            rates.arrived.append(now)
            self.record_arrival(opening, now)
        if earlier_copy is None and (
            len(self) >= MAX_WAITING
            or not self._is_servable(opening, rates, capacity, now)
        ):
            return False
        rates.waiting += 1
        self._opening_by_flow[flow] = opening
        return True

    def record_arrival(self, opening: Opening, now: float) -> None:
        """Count a new opening; :meth:`add` counts those that wait."""
        self._arrivals.record(opening, now)

    def _is_servable(
        self,
        opening: Opening,
        rates: _ServiceRates,
        capacity: Capacity,
        now: float,
    ) -> bool:
        rate = rates.rate(capacity, now)
        left_s = self._time_left_s(opening, now)
        if rate is None or capacity.warm_in_s < left_s:
            return True
        is_late = opening.is_late(now)
        openings_ahead = sum(
            other.service == opening.service
            and self._precedence(other, now) < self._precedence(opening, now)
            for other in self._opening_by_flow.values()
            if not is_late or other.is_late(now)
        )
        if is_late:
            # Those that arrive in time go first.
            rate -= rates.arrivals_per_s(now)
        return openings_ahead < rate * left_s

    def _time_left_s(self, opening: Opening, now: float) -> float:
        if self._recognises_attempts:
            return opening.request_time_left_s(now)
        return opening.time_left_s(now)

    def remove_placed(self, flow: FlowKey, now: float) -> Opening | None:
        """Remove an opening that was placed, and count the placement.

        :returns: the opening, ``None`` if it did not wait.
        """
        opening = self.remove(flow)
        if opening is not None:
            rates = self._rates_by_service.get(opening.service)
            if rates is not None:
                rates.placed.append(now)
        return opening

    def remove(self, flow: FlowKey) -> Opening | None:
        """Remove an opening.

        :returns: the opening, ``None`` if it did not wait.
        """
        opening = self._opening_by_flow.pop(flow, None)
        if opening is not None:
            self._rates_by_service[opening.service].waiting -= 1
        return opening

    def _start_counting(
        self, service: ServiceName | None, now: float
    ) -> _ServiceRates:
        """Return the rates of a service; drop those of idle services."""
        self._rates_by_service = {
            name: rates
            for name, rates in self._rates_by_service.items()
            if not rates.is_idle(now)
        }
        rates = self._rates_by_service.get(service)
        if rates is None:
            rates = self._rates_by_service[service] = _ServiceRates(now)
        elif not rates.waiting:
            rates.restart(now)
        return rates

    def get(self, flow: FlowKey) -> Opening | None:
        """Return the waiting opening of a flow, ``None`` if there is none."""
        return self._opening_by_flow.get(flow)

    def should_defer(
        self,
        opening: Opening,
        cold_openings: float,
        warm_in_s: float,
        now: float,
        top_priority: int = 0,
    ) -> bool:
        """Return whether an opening should leave cold upstreams to others.

        It should if openings that go before it, because they can be in time
        or are more urgent, are expected to need all new flows that the cold
        upstreams may take until they are warm, beside those that went to
        others like it. Right after the start of the
        process nothing is known of the arrivals. All flows are left to the
        most urgent openings then, since a late one has the least to lose.

        :param opening: an opening.
        :param cold_openings: this balancer's share of the new flows that cold
            upstreams may take in :data:`COLD_WINDOW_S`.
        :param warm_in_s: see :class:`Capacity`.
        :param now: time in seconds.
        :param top_priority: priority of the most urgent route of the service.
        """
        per_s = self._arrivals.per_s_before(opening, now)
        if per_s is None:
            return opening.is_late(now) or opening.priority > top_priority
        if per_s == 0.0:
            return False
        expected = per_s * min(warm_in_s, COLD_WINDOW_S)
        placed = self._spare_placements.count(opening.service, now)
        return expected + placed >= cold_openings

    def record_cold_placement(self, opening: Opening, now: float) -> None:
        """Record that an opening was placed on a cold upstream."""
        if self._arrivals.per_s_before(opening, now):
            self._spare_placements.record(opening, now)

    def record_return(self, flow: FlowKey) -> None:
        """Record that an agent handed an opening back."""
        self._spare_placements.remove(flow)

    def remove_expired(self, now: float) -> list[Opening]:
        """Remove the openings whose callers have given up.

        :returns: the removed openings.
        """
        removed = [
            opening
            for opening in self._opening_by_flow.values()
            if opening.time_left_s(now) < 0.0
        ]
        for opening in removed:
            self.remove(opening.packet.flow)
        return removed

    def remove_unservable(
        self, capacity_of: Callable[[ServiceName | None], Capacity], now: float
    ) -> list[Opening]:
        """Remove late openings that can no longer be served.

        Openings that are in time go first, so late ones are served only
        while more openings are placed than arrive.

        :param capacity_of: returns what the upstreams of a service can take.
        :param now: time in seconds.
        :returns: the removed openings, to be refused.
        """
        removed = []
        late = (o for o in self.by_precedence(now) if o.is_late(now))
        for service, openings in groupby(
            sorted(late, key=lambda o: o.service or ''),
            key=lambda o: o.service,
        ):
            rates = self._rates_by_service[service]
            capacity = capacity_of(service)
            rates.record_warming(capacity.warm_in_s, now)
            spare = rates.spare_rate(capacity, now)
            if spare is None:
                continue
            for position, opening in enumerate(openings, 1):
                left_s = self._time_left_s(opening, now)
                if capacity.warm_in_s >= left_s and position > spare * left_s:
                    removed.append(opening)
        for opening in removed:
            self.remove(opening.packet.flow)
        return removed

    def by_precedence(self, now: float) -> list[Opening]:
        """Return the openings in the order in which they are placed."""
        return sorted(
            self._opening_by_flow.values(),
            key=lambda opening: self._precedence(opening, now),
        )

    @staticmethod
    def _precedence(opening: Opening, now: float) -> tuple[bool, int, float]:
        return (
            opening.is_late(now),
            opening.priority,
            opening.asked_at,
        )
