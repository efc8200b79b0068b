"""Tests of the order of requests before one upstream."""

from collections import deque
from collections.abc import Iterator
import heapq
import itertools
import math
import random
from typing import NamedTuple

import pytest

from ibispitch.forwarding.packets import FlowKey
from ibispitch.scheduling.core import Capacity
from ibispitch.scheduling.core import MAX_FLOW_PACKETS
from ibispitch.scheduling.core import Offer
from ibispitch.scheduling.core import Request
from ibispitch.scheduling.core import RequestScheduler
from ibispitch.settings.overload import SchedulingSettings

ONE_SLOT = Capacity(slots=1, work_s=0.02)
#: Two requests at once fill the place of ``ONE_SLOT`` and its pipeline.
PLACES = ONE_SLOT.places


def request(number, sent_at=0.0, priority=1, objective_s=0.2, timeout_s=1.0):
    flow = FlowKey(number.to_bytes(12, 'big'))
    return Request(flow, 'safe', priority, objective_s, timeout_s, sent_at)


def offer(scheduler, offered, now=0.0, capacity=ONE_SLOT, key=0, raw=b'GET'):
    return scheduler.offer(offered, key, raw, capacity, now)


def busy_scheduler(**changes) -> RequestScheduler:
    """Return a scheduler whose upstream has no place for a request."""
    scheduler = RequestScheduler(SchedulingSettings(**changes))
    for number in range(PLACES):
        # Its requests occupy the slots for ten seconds.
        blocking = request(1000 + number, objective_s=10.0, timeout_s=10.0)
        assert offer(scheduler, blocking) is Offer.PASS
    return scheduler


def answer(scheduler, number=0):
    scheduler.record_answer(request(1000 + number).flow)


def release_order(scheduler, now):
    """Answer the requests one by one; return the numbers as released."""
    numbers = []
    answer(scheduler)
    while scheduler.held_count:
        [released] = scheduler.take(ONE_SLOT, now)
        scheduler.record_answer(released.request.flow)
        numbers.append(int.from_bytes(released.request.flow, 'big'))
    return numbers


@pytest.mark.parametrize(
    ('slots', 'places'), [(1, 2), (3, 4), (4, 5), (8, 10), (20, 25)]
)
def test_slots_and_pipeline_are_filled(slots, places):
    """Guards against idle slots, and against a queue at the upstream."""
    scheduler = RequestScheduler(SchedulingSettings())
    capacity = Capacity(slots, 0.02)
    offers = [
        offer(scheduler, request(number), capacity=capacity)
        for number in range(places + 2)
    ]
    assert offers == places * [Offer.PASS] + 2 * [Offer.HOLD]
    assert scheduler.passed_count == places


def test_answer_frees_one_place():
    """Guards against requests that wait although a slot is free."""
    scheduler = busy_scheduler()
    for number in range(3):
        offer(scheduler, request(number))
    assert scheduler.take(ONE_SLOT, 0.01) == []
    answer(scheduler)
    [released] = scheduler.take(ONE_SLOT, 0.02)
    assert released.held_s == pytest.approx(0.02)
    assert scheduler.take(ONE_SLOT, 0.02) == []


def test_new_request_does_not_overtake():
    """Guards against a free place for a request that has just arrived."""
    scheduler = busy_scheduler()
    offer(scheduler, request(1))
    answer(scheduler)
    assert offer(scheduler, request(2), now=0.01) is Offer.HOLD
    assert scheduler.take(ONE_SLOT, 0.01)[0].request == request(1)


def test_hanging_requests_do_not_block():
    """Guards against an upstream that is lost to all others by its hangs.

    A request occupies its place for the longer one of its objective and four
    times the mean request time.
    """
    scheduler = RequestScheduler(SchedulingSettings())
    slow = Capacity(1, work_s=0.1)
    for number in range(3):
        offer(scheduler, request(number), capacity=slow)
    assert scheduler.take(slow, 0.39) == []
    assert len(scheduler.take(slow, 0.41)) == 1


def test_on_time_before_late():
    """Guards against late requests that make the others late as well.

    A request is on time if twice the mean request time remains.
    """
    scheduler = busy_scheduler()
    late, urgent_late, on_time = 1, 2, 3
    offer(scheduler, request(late, sent_at=0.839))
    offer(scheduler, request(urgent_late, sent_at=0.839, priority=0))
    offer(scheduler, request(on_time, sent_at=0.841, priority=2))
    assert release_order(scheduler, now=1.0) == [on_time, urgent_late, late]


def test_late_request_is_marked():
    """Guards against late requests that are reported as on time."""
    scheduler = busy_scheduler()
    for number in (1, 2):
        offer(scheduler, request(number))
    answer(scheduler)
    assert not scheduler.take(ONE_SLOT, 0.159)[0].is_late
    answer(scheduler, 1)
    assert scheduler.take(ONE_SLOT, 0.161)[0].is_late


def test_urgent_first_then_earliest_deadline():
    """Guards against order of arrival, which ignores what callers need."""
    scheduler = busy_scheduler(min_share=0.0)
    offer(scheduler, request(1, priority=2, objective_s=0.1))
    offer(scheduler, request(2, priority=1, objective_s=0.4))
    offer(scheduler, request(3, priority=1, objective_s=0.3))
    offer(scheduler, request(4, priority=2, objective_s=0.2))
    assert release_order(scheduler, now=0.01) == [3, 2, 1, 4]


def test_lower_priority_gets_its_share():
    """Guards against a kind that gets nothing while urgent ones wait."""
    scheduler = busy_scheduler()
    for number in range(100):
        offer(scheduler, request(number, priority=1, objective_s=9.0))
        offer(scheduler, request(100 + number, priority=2, objective_s=9.0))
    first = release_order(scheduler, now=0.01)[:50]
    assert sum(number >= 100 for number in first) == 5


def test_share_counts_the_last_second():
    """Guards against places of long ago that count against a priority."""
    scheduler = busy_scheduler()
    for number in range(20):
        offer(scheduler, request(number, priority=2, objective_s=9.0))
    lower = release_order(scheduler, now=0.0)
    offer(scheduler, request(1000))
    for number, priority in ((99, 1), (100, 1), (101, 2)):
        offer(scheduler, request(number, 0.9, priority, objective_s=9.0))
    assert len(lower) == 20
    assert release_order(scheduler, now=1.1) == [99, 101, 100]


def test_copies_of_held_packets():
    """Guards against packets that reach the upstream twice or reordered."""
    scheduler = busy_scheduler()
    held = request(1)
    offer(scheduler, held, key=0, raw=b'a')
    assert scheduler.offer_next(held.flow, 0, b'a') is Offer.DROP
    assert scheduler.offer_next(held.flow, 1, b'b') is Offer.HOLD
    assert scheduler.offer_next(held.flow, 1, b'b') is Offer.DROP
    answer(scheduler)
    assert scheduler.take(ONE_SLOT, 0.1)[0].packets == [b'a', b'b']
    assert scheduler.offer_next(held.flow, 1, b'b') is Offer.PASS


def test_window_of_a_flow():
    """Guards against large bodies that are held as a whole."""
    scheduler = busy_scheduler()
    held = request(1)
    offer(scheduler, held, key=0)
    offers = [
        scheduler.offer_next(held.flow, key, b'body') for key in range(1, 20)
    ]
    assert offers.count(Offer.HOLD) == MAX_FLOW_PACKETS - 1
    assert offers[MAX_FLOW_PACKETS - 1 :] == 4 * [Offer.DROP]


def test_further_request_of_a_held_flow():
    """Guards against held packets that the next ones replace.

    A request that begins on a flow whose packets are held stays behind them.
    """
    scheduler = busy_scheduler()
    offer(scheduler, request(1), key=0, raw=b'first')
    offer(scheduler, request(1), key=1, raw=b'second')
    assert scheduler.held_bytes == len(b'first' + b'second')
    answer(scheduler)
    assert scheduler.take(ONE_SLOT, 0.1)[0].packets == [b'first', b'second']
    assert scheduler.held_bytes == 0


def test_limits_leave_the_decision_to_the_upstream():
    """Guards against memory that grows with the overload."""
    scheduler = busy_scheduler(held_requests=2)
    offers = [offer(scheduler, request(number)) for number in range(3)]
    assert offers == [Offer.HOLD, Offer.HOLD, Offer.PASS]
    scheduler = busy_scheduler(held_bytes=5)
    assert offer(scheduler, request(1)) is Offer.HOLD
    assert offer(scheduler, request(2)) is Offer.PASS
    assert scheduler.offer_next(request(1).flow, 1, b'body') is Offer.DROP
    assert scheduler.held_bytes == 3


def test_expired_requests_are_returned_once():
    """Guards against requests that run for callers that have given up."""
    scheduler = busy_scheduler()
    offer(scheduler, request(1, timeout_s=0.5))
    offer(scheduler, request(2, timeout_s=2.0))
    unknown = Capacity(slots=1, work_s=0.0)
    assert scheduler.take_expired(unknown, 0.5) == []
    expired = scheduler.take_expired(unknown, 0.51)
    assert expired == [request(1, timeout_s=0.5)]
    assert scheduler.take_expired(unknown, 0.51) == []
    assert scheduler.held_count == 1


def test_requests_whose_callers_leave_before_an_answer_do_not_start():
    """Guards against work for callers that leave while it runs.

    After a loss of power 178 requests were broken off by their callers while
    an upstream ran them (osa-returns-now-grown, trouble-1).
    """
    scheduler = busy_scheduler()
    offer(scheduler, request(1, timeout_s=0.5))
    left_at = 0.5 - ONE_SLOT.work_s
    assert scheduler.take_expired(ONE_SLOT, left_at - 0.001) == []
    expired = scheduler.take_expired(ONE_SLOT, left_at + 0.001)
    assert expired == [request(1, timeout_s=0.5)]


@pytest.mark.parametrize('held', [10, 100, 1000, 10_000])
def test_late_requests_are_counted_without_a_scan(held):
    """Guards against a cost of each packet that grows with the backlog."""
    settings = SchedulingSettings(held_requests=held)
    scheduler = RequestScheduler(settings)
    for number in range(held + PLACES):
        offer(scheduler, request(number, sent_at=number / held))
    assert scheduler.held_count == held
    lookups = _CountedLookups(scheduler._held_by_flow)
    scheduler._held_by_flow = lookups
    assert 0 < scheduler.late_count(ONE_SLOT, 0.6) < held
    assert scheduler.take_expired(ONE_SLOT, 0.6) == []
    assert lookups.scans == 0


class _CountedLookups(dict):
    """Counts how often all held requests are gone through."""

    scans = 0

    def values(self):
        self.scans += 1
        return super().values()


def test_removed_flow():
    """Guards against packets of closed flows that reach the upstream."""
    scheduler = busy_scheduler()
    for number in (1, 2):
        offer(scheduler, request(number))
    scheduler.remove(request(1).flow)
    scheduler.remove(request(1000).flow)
    [released] = scheduler.take(ONE_SLOT, 0.1)
    assert released.request == request(2)
    assert scheduler.held_bytes == 0


def test_stop_releases_everything_in_order():
    """Guards against requests that are lost with a planned stop."""
    scheduler = busy_scheduler()
    for number in range(5):
        offer(scheduler, request(number), key=0, raw=b'head')
        scheduler.offer_next(request(number).flow, 1, b'body')
    released = scheduler.take_all(ONE_SLOT, 0.1)
    assert [r.request for r in released] == [request(n) for n in range(5)]
    assert all(r.packets == [b'head', b'body'] for r in released)
    assert (scheduler.held_count, scheduler.held_bytes) == (0, 0)


def test_upstream_that_ended():
    """Guards against places that stay taken by an upstream that is gone."""
    scheduler = busy_scheduler()
    offer(scheduler, request(1))
    scheduler.clear()
    assert (scheduler.held_count, scheduler.held_bytes) == (0, 0)
    assert offer(scheduler, request(2)) is Offer.PASS


# Replays of loads at a model of the upstreams.

UPSTREAMS = 40
SLOTS = 3
QUEUE = 12
#: Time of a packet between an agent and its upstream on the same host.
HOP_S = 0.0002
#: Spread of the request times, as the sigma of a log-normal distribution.
SIGMA = 0.5
BURST_S = 4.0


class Kind(NamedTuple):
    """Requests of one kind; those of long flows are pinned to an upstream."""

    priority: int
    work_s: float
    objective_s: float
    timeout_s: float
    is_pinned: bool


LONG = Kind(2, 0.066, 0.362, 3.239, is_pinned=True)
SHORT = Kind(1, 0.0864, 0.474, 3.188, is_pinned=False)


class Caller(NamedTuple):
    """A caller with one request; its retries keep ``asked_at``."""

    number: int
    kind: Kind
    asked_at: float
    retries: int

    def request(self, attempt: int) -> Request:
        flow = FlowKey((8 * self.number + attempt).to_bytes(12, 'big'))
        return Request(
            flow, 'safe', self.kind.priority, self.kind.objective_s,
            self.kind.timeout_s, self.asked_at,
        )  # fmt: skip


class Result(NamedTuple):
    """What a replay counted until the burst ended.

    :param answered: answers, also late ones, but not rejections.
    :param on_time: answers within the objective.
    :param work_s: slot time that was used.
    """

    answered: int
    on_time: int
    work_s: float

    @property
    def on_time_share(self) -> float:
        """Part of the capacity that was used for answers on time."""
        return self.on_time / self.answered


class Upstream:
    """Slots and a queue in order of arrival, behind its agent."""

    def __init__(self, work_s: float, is_scheduled: bool):
        self.capacity = Capacity(SLOTS, work_s)
        self.scheduler = (
            RequestScheduler(SchedulingSettings()) if is_scheduled else None
        )
        self.callers_by_flow = {}
        self.queue = deque()
        self.running = 0

    @property
    def load(self) -> int:
        held = self.scheduler.held_count if self.scheduler else 0
        return held + len(self.queue) + self.running


class Replay:
    """Replays a load; each event is a time and a call without arguments."""

    def __init__(self, callers: list[Caller], is_scheduled: bool):
        self._rng = random.Random(7)
        work_s = sum(c.kind.work_s for c in callers) / len(callers)
        self._upstreams = [
            Upstream(work_s, is_scheduled) for _ in range(UPSTREAMS)
        ]
        self._numbers = itertools.count()
        self._events = []
        self._answered = self._on_time = 0
        self._work_s = 0.0
        for caller in callers:
            self._at(caller.asked_at, self._ask, caller, 0)

    def _at(self, when: float, *call) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), call))

    def run(self) -> Result:
        while self._events and self._events[0][0] < BURST_S:
            now, _, (function, *arguments) = heapq.heappop(self._events)
            function(now, *arguments)
        return Result(self._answered, self._on_time, self._work_s)

    def _ask(self, now: float, caller: Caller, attempt: int) -> None:
        upstream = (
            self._upstreams[caller.number % UPSTREAMS]
            if caller.kind.is_pinned
            else min(self._upstreams, key=lambda u: u.load)
        )
        asked = caller.request(attempt)
        upstream.callers_by_flow[asked.flow] = caller, attempt
        scheduler = upstream.scheduler
        if scheduler is None or (
            scheduler.offer(asked, 0, b'GET', upstream.capacity, now)
            is Offer.PASS
        ):
            self._at(now + HOP_S, self._arrive, upstream, asked)

    def _arrive(self, now: float, upstream: Upstream, asked: Request) -> None:
        if upstream.running < SLOTS:
            self._start(now, upstream, asked)
        elif len(upstream.queue) < QUEUE:
            upstream.queue.append(asked)
        else:
            self._at(now + HOP_S, self._answer, upstream, asked)
            caller, attempt = upstream.callers_by_flow[asked.flow]
            if attempt < caller.retries:
                self._at(now + HOP_S, self._ask, caller, attempt + 1)

    def _start(self, now: float, upstream: Upstream, asked: Request) -> None:
        upstream.running += 1
        kind = upstream.callers_by_flow[asked.flow][0].kind
        mu = math.log(kind.work_s) - SIGMA**2 / 2
        took_s = self._rng.lognormvariate(mu, SIGMA)
        self._work_s += min(took_s, BURST_S - now)
        self._at(now + took_s, self._end, upstream, asked)

    def _end(self, now: float, upstream: Upstream, asked: Request) -> None:
        upstream.running -= 1
        self._answered += 1
        self._on_time += now <= asked.due_at
        self._at(now + HOP_S, self._answer, upstream, asked)
        if upstream.queue:
            self._start(now, upstream, upstream.queue.popleft())

    def _answer(self, now: float, upstream: Upstream, asked: Request) -> None:
        scheduler = upstream.scheduler
        if scheduler is None:
            return
        scheduler.record_answer(asked.flow)
        scheduler.take_expired(upstream.capacity, now)
        for released in scheduler.take(upstream.capacity, now):
            self._at(now + HOP_S, self._arrive, upstream, released.request)


def load(
    per_s_by_kind: dict[Kind, float], retrying_share: float = 0.0
) -> Iterator[Caller]:
    """Return callers that arrive at random, at a mean rate for each kind."""
    rng = random.Random(3)
    numbers = itertools.count()
    for kind, per_s in per_s_by_kind.items():
        now = rng.expovariate(per_s)
        while now < BURST_S:
            retries = 2 if rng.random() < retrying_share else 0
            yield Caller(next(numbers), kind, now, retries)
            now += rng.expovariate(per_s)


def capacity_per_s(share_long: float) -> float:
    """Return the requests per second that the slots can run."""
    work_s = share_long * LONG.work_s + (1 - share_long) * SHORT.work_s
    return UPSTREAMS * SLOTS / work_s


def compare(callers: Iterator[Caller]) -> tuple[Result, Result]:
    """Return the results of passing on at once and of the scheduler."""
    callers = list(callers)
    return Replay(callers, False).run(), Replay(callers, True).run()


#: Smallest part of the capacity that must go to answers on time. Callers
#: retry twice and give up when too many requests are late or refused.
MIN_ON_TIME_SHARE = 0.9
#: Largest part of the throughput that holding requests may cost.
MAX_LOST_SHARE = 0.005


def check_gain(callers: Iterator[Caller]) -> None:
    at_once, scheduled = compare(callers)
    assert at_once.on_time_share < MIN_ON_TIME_SHARE
    assert scheduled.on_time_share >= MIN_ON_TIME_SHARE
    assert scheduled.on_time > at_once.on_time
    assert scheduled.work_s >= (1 - MAX_LOST_SHARE) * at_once.work_s


@pytest.mark.parametrize('retrying_share', [0.0, 0.5])
def test_burst_above_the_capacity(retrying_share):
    """Guards against a burst that makes the requests of all callers late.

    Requests arrive at 2.4 times the capacity, 70 % of them on long flows. If
    callers retry, half of them do so as soon as they are rejected.
    """
    per_s = 2.4 * capacity_per_s(0.7)
    check_gain(load({LONG: 0.7 * per_s, SHORT: 0.3 * per_s}, retrying_share))


@pytest.mark.parametrize('kind', [LONG, SHORT], ids=['long', 'short'])
def test_burst_of_one_kind(kind):
    """Guards against one kind that makes the others late with it.

    The upstreams run at 0.8 of their capacity until one kind sends four times
    as many requests.
    """
    per_s = 0.8 * capacity_per_s(0.7)
    per_s_by_kind = {LONG: 0.7 * per_s, SHORT: 0.3 * per_s}
    per_s_by_kind[kind] *= 4
    check_gain(load(per_s_by_kind))
