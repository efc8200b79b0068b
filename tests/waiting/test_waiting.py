"""Tests of the queue of waiting openings under overload and after outages."""

import math

import pytest

from ibispitch.forwarding.packets import FlowKey
from ibispitch.forwarding.packets import Packet
from ibispitch.forwarding.packets import SYN
from ibispitch.retry.attempts import Attempt
from ibispitch.routes.model import Route
from ibispitch.routes.model import Share
from ibispitch.waiting.core import ATTEMPT_TIMEOUT_S
from ibispitch.waiting.core import Capacity
from ibispitch.waiting.core import first_copy_sent_at
from ibispitch.waiting.core import Opening
from ibispitch.waiting.core import OpeningQueue

#: No upstream is cold, and the request time is not known.
UNKNOWN = Capacity(warm_in_s=math.inf, openings_per_s=0.0)


def opening(number: int, since: float, priority: int = 1) -> Opening:
    flow = FlowKey(number.to_bytes(12, 'big'))
    route = Route(
        flow[6:], (Share('counter', 1),), 'unsafe', 0.1, 2.0,
        priority,
    )  # fmt: skip
    packet = Packet(b'', flow, SYN, number, 0, 0)
    return Opening(packet, 'counter', route, since)


def test_time_is_reserved_for_the_request():
    """An opening that leaves no time for its request counts as late.

    With an objective of three times the request time, 60 % of it spent in
    this queue and 35 % in the upstream's queue left no time for the request;
    a burst replayed with ``testbed.flow_load`` at an objective of 0.2 s
    reached 44 % of the goodput that the slots allow.
    """
    short = opening(1, since=0.0)
    long = short._replace(work_s=0.03)
    # Of 100 ms, 35 are for the upstream's queue, 45 for the request and 20
    # for this queue.
    assert not long.is_late(0.019)
    assert long.is_late(0.021)
    assert not short.is_late(0.059)
    assert short.is_late(0.061)


def test_in_time_before_late_and_urgent_first():
    """Late openings that were placed first would make all others late too."""
    queue = OpeningQueue()
    late = opening(1, since=0.0, priority=0)
    normal = opening(2, since=0.95, priority=2)
    urgent = opening(3, since=0.97, priority=1)
    for waiting in (late, normal, urgent):
        queue.add(waiting, UNKNOWN, 1.0)
    assert queue.by_precedence(1.0) == [urgent, normal, late]


def test_copy_keeps_its_place():
    """A copy must not restart the waiting time of its opening."""
    queue = OpeningQueue()
    first = opening(1, since=0.0)
    queue.add(first, UNKNOWN, 0.0)
    copy = first._replace(
        packet=first.packet._replace(acknowledged=1), sent_at=0.3
    )
    queue.add(copy, UNKNOWN, 0.3)
    assert len(queue) == 1
    assert queue.by_precedence(0.3)[0].sent_at == 0.0


def test_copy_after_the_routes_have_arrived():
    """An opening stays removable if its service is known only later."""
    queue = OpeningQueue()
    first = opening(1, since=0.0)
    queue.add(first._replace(service=None, route=None), UNKNOWN, 0.0)
    queue.add(first, UNKNOWN, 0.2)
    assert queue.remove(first.packet.flow) is not None
    assert len(queue) == 0


def test_callers_that_have_given_up():
    """Openings whose callers have given up must leave the queue."""
    queue = OpeningQueue()
    queue.add(opening(1, since=0.0), UNKNOWN, 0.0)
    queue.add(opening(2, since=1.0), UNKNOWN, 1.0)
    assert [
        o.packet.sequence
        for o in queue.remove_expired(ATTEMPT_TIMEOUT_S + 0.1)
    ] == [1]
    assert len(queue) == 1


def serve(
    queue: OpeningQueue, per_s: float, offered_per_s: float, for_s: float
):
    """Add openings at one rate and place them at another.

    :returns: the refused openings, the placed ones with their waits, and the
        expired ones.
    """
    refused, placed, expired = [], [], []
    offered = served = 0.0
    now, number = 0.0, 0
    while now < for_s:
        now += 0.01
        offered += offered_per_s * 0.01
        served += per_s * 0.01
        while offered >= 1:
            offered -= 1
            number += 1
            waiting = opening(number, now)
            if not queue.add(waiting, UNKNOWN, now):
                refused.append(waiting)
        expired += queue.remove_expired(now)
        refused += queue.remove_unservable(lambda service: UNKNOWN, now)
        for waiting in queue.by_precedence(now)[: int(served)]:
            queue.remove_placed(waiting.packet.flow, now)
            placed.append((now - waiting.sent_at, waiting))
        served -= int(served)
    return refused, placed, expired


def test_sustained_overload():
    """Under overload, callers must not wait in vain until they give up.

    At twice the rate that can be placed, most placed openings are in time,
    and openings that cannot be placed are refused at once.
    """
    refused, placed, expired = serve(OpeningQueue(), 50, 100, 10.0)
    in_time = [wait for wait, _ in placed if wait < 0.06]
    assert len(in_time) > 0.8 * len(placed)
    assert len(expired) < 0.5 * len(refused)


def test_nothing_is_refused_that_fits():
    """Nothing is refused while openings are placed faster than they arrive."""
    refused, placed, expired = serve(OpeningQueue(), 110, 100, 10.0)
    assert refused == []
    assert expired == []
    assert len(placed) > 980


def test_openings_wait_for_cold_upstreams():
    """Openings must not be refused just before cold upstreams are warm."""

    def is_queued(warm_in_s: float) -> bool:
        queue = OpeningQueue()
        for number in range(10):
            queue.add(opening(number, 0.0), UNKNOWN, 0.0)
        for number in range(5):
            queue.remove_placed(opening(number, 0.0).packet.flow, 0.4)
        for number in range(100, 200):
            queue.add(opening(number, 0.499), UNKNOWN, 0.499)
        return queue.add(opening(300, 0.55), Capacity(warm_in_s, 0.0), 0.55)

    assert not is_queued(math.inf)
    assert is_queued(0.5)


def backlog() -> OpeningQueue:
    """Return a queue of 50 openings, two of which are placed a second."""
    queue = OpeningQueue()
    for number in range(50):
        queue.add(opening(number, 0.0), UNKNOWN, 0.0)
    queue.remove_placed(opening(0, 0.0).packet.flow, 0.5)
    return queue


def test_late_openings_wait_for_cold_upstreams():
    """A backlog that can soon be served must not be refused."""
    assert (
        backlog().remove_unservable(lambda service: Capacity(0.3, 0.0), 0.6)
        == []
    )
    assert len(backlog().remove_unservable(lambda service: UNKNOWN, 0.6)) > 40


def test_backlog_meets_upstreams_that_have_turned_warm():
    """The rate of cold upstreams must not cause refusals once they are warm.

    After a power failure, a thousand openings were refused in the half second
    in which the upstreams became warm (osa-returns-grown). If the warm ones
    accept no more, the backlog is refused one rate window later.
    """
    queue = backlog()
    assert (
        queue.remove_unservable(lambda service: Capacity(0.05, 0.0), 0.6) == []
    )
    assert queue.remove_unservable(lambda service: UNKNOWN, 0.66) == []
    assert queue.add(opening(60, 0.66), UNKNOWN, 0.66)
    queue.remove_placed(opening(1, 0.0).packet.flow, 1.1)
    assert len(queue.remove_unservable(lambda service: UNKNOWN, 1.2)) > 40


def test_late_openings_leave_cold_upstreams_to_others():
    """Late openings must not use up the new flows of cold upstreams.

    After a power failure, 100 of the 244 new flows that cold upstreams took
    were late ones from the time of the failure (osa-returns-grown).
    """
    queue = OpeningQueue()
    # The process has run for longer than its rates are counted.
    queue.record_arrival(opening(99, -1.0), -1.0)
    for number in range(20):
        queue.add(opening(number, 0.4), Capacity(1.0, 0.0), 0.4)
    late = opening(0, 0.4)
    assert queue.should_defer(late, cold_openings=10, warm_in_s=0.5, now=0.7)
    # Also if its caller gives up before: one in time would be served instead.
    assert queue.should_defer(late, cold_openings=10, warm_in_s=1.2, now=0.7)
    # Not if fewer openings arrive than cold upstreams may take,
    assert not queue.should_defer(
        late, cold_openings=30, warm_in_s=0.5, now=0.7
    )
    # nor if it is in time.
    assert not queue.should_defer(opening(1, 0.69), 10, 0.5, 0.7)


def test_openings_end_with_the_timeout_of_their_route():
    """Openings of callers that are gone must not reach an upstream.

    Callers of the delivery association give up after a second. After a loss
    of power, openings placed later held the slots for requests that never
    came (further/kpdd-ibis, trouble-1).
    """
    queue = OpeningQueue()
    short = opening(1, 0.0)
    route = short.route
    route = Route(
        route.destination, route.shares, route.kind, 0.1, 1.0, route.priority
    )
    queue.add(short._replace(route=route, work_s=0.1), UNKNOWN, 0.0)
    assert queue.remove_expired(0.89) == []
    assert len(queue.remove_expired(0.91)) == 1


def test_balancer_that_got_no_turn():
    """A backlog is kept if its share of the upstreams serves it in time.

    After a loss of power, balancers compete for the first warm upstreams. The
    ones that got nothing for half a second refused all that waited; callers
    came again at once and delayed requests that were still in time.
    """
    capacity = Capacity(math.inf, openings_per_s=200.0)
    assert backlog().remove_unservable(lambda service: capacity, 0.6) == []
    little = Capacity(math.inf, openings_per_s=10.0)
    assert len(backlog().remove_unservable(lambda service: little, 0.6)) > 35


def test_age_of_a_copy():
    """The third copy of an opening must not be taken for the first one."""
    copy = opening(1, 0.0).packet._replace(acknowledged=2)
    assert first_copy_sent_at(copy, 10.0) == 9.4


def next_attempt(number: int, now: float, earlier: Attempt) -> Opening:
    """Return a caller's opening after the end of an earlier attempt."""
    return opening(number, now)._replace(earlier=earlier)


def test_further_attempt_inherits_the_age_of_its_request():
    """Guards against late requests that go before those in time.

    After a loss of power, each refused caller came back as if it had just
    asked.
    """
    queue = OpeningQueue(recognises_attempts=True)
    first = opening(1, since=0.0)
    second = next_attempt(2, 0.5, first.ended(0.5))
    third = next_attempt(3, 0.9, second.ended(0.9))
    assert (third.asked_at, third.number) == (0.0, 3)
    fresh = opening(4, since=0.9)
    for waiting in (third, fresh):
        queue.add(waiting, UNKNOWN, 0.9)
    assert third.is_late(0.9)
    assert queue.by_precedence(0.9) == [fresh, third]


def test_copy_of_a_further_attempt_keeps_its_age():
    """Guards against a copy that makes a late request look new."""
    queue = OpeningQueue(recognises_attempts=True)
    second = next_attempt(1, 0.5, opening(9, 0.0).ended(0.5))
    queue.add(second, UNKNOWN, 0.5)
    queue.add(second._replace(earlier=None), UNKNOWN, 0.7)
    assert queue.get(second.packet.flow).asked_at == 0.0


def test_further_attempts_are_no_arrivals():
    """Guards against refusals that raise the rate of arrivals.

    They led to more refusals: 3,500 openings per second of 1,700 callers.
    """

    def refused(earlier: Attempt | None) -> int:
        queue = OpeningQueue(recognises_attempts=True)
        queue.add(opening(1000, 0.0), UNKNOWN, 0.0)
        for number in range(100):
            at_s = 0.2 + number / 500
            queue.add(next_attempt(number, at_s, earlier), UNKNOWN, at_s)
        for number in range(50):
            queue.remove_placed(opening(number, 0.0).packet.flow, 0.45)
        return len(queue.remove_unservable(lambda service: UNKNOWN, 0.6))

    assert refused(Attempt(0.0, 1, 0.2)) == 0
    assert refused(None) > 40


#: 40 openings are placed per second.
SLOW = Capacity(math.inf, openings_per_s=40.0)


def queue_of_urgent_openings(recognises_attempts: bool) -> OpeningQueue:
    """Return a queue at 0.6 s whose openings are placed within 1.5 s."""
    queue = OpeningQueue(recognises_attempts)
    queue.add(opening(0, 0.0, priority=0), SLOW, 0.0)
    for number in range(1, 61):
        queue.add(opening(number, 0.59, priority=0), SLOW, 0.59)
    return queue


@pytest.mark.parametrize(
    ('attempt', 'is_refused'), [(1, False), (2, False), (3, True)]
)
def test_refusal_only_if_no_further_attempt_can_be_served(attempt, is_refused):
    """Guards against callers that use up their attempts in half a second.

    The openings ahead take longer than an attempt and less than the timeout
    of the request. A caller makes no attempt after its third one.
    """
    queue = queue_of_urgent_openings(recognises_attempts=True)
    earlier = Attempt(0.6, attempt - 1, 0.6) if attempt > 1 else None
    waiting = next_attempt(99, 0.6, earlier)
    assert queue.add(waiting, SLOW, 0.6) is not is_refused


def test_request_that_no_attempt_can_serve():
    """Guards against callers that wait in vain for the end of their timeout.

    The openings ahead take 1.5 s, and the request has 1.4 s left.
    """
    queue = queue_of_urgent_openings(recognises_attempts=True)
    waiting = next_attempt(99, 0.6, Attempt(0.0, 1, 0.6))
    assert not queue.add(waiting, SLOW, 0.6)
    assert queue.add(waiting._replace(earlier=None), SLOW, 0.6)


def test_attempts_that_are_not_recognised():
    """Guards against a change for deployments that don't ask for it.

    Without the setting, an opening is refused if its attempt is too short.
    """
    queue = queue_of_urgent_openings(recognises_attempts=False)
    assert not queue.add(opening(99, 0.6), SLOW, 0.6)


def cold(warm_in_s: float) -> Capacity:
    """Return upstreams that take four new flows a second until then."""
    return Capacity(warm_in_s, 0.0, cold_openings_per_s=4.0)


def test_late_openings_before_cold_upstreams_are_refused():
    """Guards against callers that wait for a place that can't exist.

    After a loss of power, openings waited until their timeout (median
    0.98 s) although the cold upstreams took fewer new flows than arrived in
    time (further/kpdd-ibis, trouble-1).
    """
    queue = OpeningQueue(recognises_attempts=True)
    for number in range(20):
        queue.add(opening(number, 0.02 * number), cold(3.0), 0.02 * number)
    now = 0.4
    refused = queue.remove_unservable(lambda service: cold(2.6), now)
    # Those that can be in time wait for the places.
    assert [o.packet.sequence for o in refused] == list(range(17))
    # Those that live until the upstreams are warm are kept.
    late = opening(100, now - 0.1)
    assert queue.add(late, cold(1.0), now)
    assert queue.remove_unservable(lambda service: cold(1.0), now) == []


def test_attempt_after_a_refusal_is_refused_at_once():
    """Guards against a refused caller that waits again.

    The queue was empty meanwhile, and the arrivals before were forgotten.
    """
    queue = OpeningQueue(recognises_attempts=True)
    for number in range(10):
        queue.add(opening(number, 0.01 * number), cold(3.0), 0.01 * number)
    for waiting in queue.by_precedence(0.1):
        queue.remove(waiting.packet.flow)
    attempt = opening(100, 0.2)._replace(earlier=Attempt(0.1, 1, 0.2))
    assert not queue.add(attempt, cold(2.8), 0.2)
    assert queue.add(opening(101, 0.2), cold(2.8), 0.2)


def test_places_that_late_openings_can_have():
    """Guards against refusals while few openings arrive."""
    queue = OpeningQueue(recognises_attempts=True)
    for number in range(10):
        queue.add(opening(number, 0.0), cold(3.0), 0.0)
    # In 1.3 s cold upstreams take 5 of them, and none arrives.
    refused = queue.remove_unservable(lambda service: cold(2.3), 0.7)
    assert len(refused) == 5


def test_late_openings_leave_cold_upstreams_right_after_the_start():
    """Guards against a backlog that takes the first places of cold upstreams.

    A process that has just started knows no arrivals. It took their rate for
    0, so that the backlog of the outage got 180 of the first 250 places that
    50 cold upstreams had (osa-returns-now-grown, trouble-1).
    """
    queue = OpeningQueue()
    late, in_time = opening(1, 9.0), opening(2, 10.0)
    assert queue.should_defer(late, cold_openings=50, warm_in_s=1.5, now=10.0)
    assert not queue.should_defer(
        in_time, cold_openings=1, warm_in_s=1.5, now=10.0, top_priority=1
    )
    # Until something is known, the most urgent route goes first.
    assert queue.should_defer(
        in_time, cold_openings=50, warm_in_s=1.5, now=10.0, top_priority=0
    )
    queue.record_arrival(in_time, 10.0)
    # Ten openings per second arrive: there is room for late ones.
    assert not queue.should_defer(
        late, cold_openings=50, warm_in_s=1.5, now=10.11
    )


def test_placed_openings_count_as_arrivals():
    """Guards against a rate that counts only the openings that wait.

    While cold upstreams still had places, openings in time were placed at
    once and late ones got the rest of the places.
    """
    queue = OpeningQueue()
    queue.record_arrival(opening(99, 0.0), 0.0)
    for number in range(20):
        queue.record_arrival(opening(number, 9.9), 9.9)
    late = opening(50, 9.0)
    assert queue.should_defer(late, cold_openings=30, warm_in_s=1.5, now=10.0)
    assert not queue.should_defer(
        late, cold_openings=50, warm_in_s=1.5, now=10.0
    )


def test_less_urgent_openings_leave_cold_upstreams_to_urgent_ones():
    """Guards against places that go by order of arrival.

    Cold upstreams take fewer flows than arrive in time; the most urgent ones
    of the next second go first.
    """
    queue = OpeningQueue()
    queue.record_arrival(opening(99, 0.0), 0.0)
    for number in range(20):
        queue.record_arrival(opening(number, 9.9, priority=1), 9.9)
        queue.record_arrival(opening(100 + number, 9.9, priority=2), 9.9)
    urgent, other = (
        opening(50, 9.99, priority=1),
        opening(51, 9.99, priority=2),
    )
    assert queue.should_defer(other, cold_openings=30, warm_in_s=1.5, now=10.0)
    assert not queue.should_defer(
        other, cold_openings=50, warm_in_s=1.5, now=10.0
    )
    assert not queue.should_defer(
        urgent, cold_openings=1, warm_in_s=1.5, now=10.0
    )


def place_late(queue: OpeningQueue, count: int, now: float) -> list[Opening]:
    """Place late openings on cold upstreams until they should wait."""
    placed = []
    for number in range(1000, 1000 + count):
        late = opening(number, now - 1.0)
        if not queue.should_defer(
            late, cold_openings=10, warm_in_s=1.5, now=now
        ):
            queue.record_cold_placement(late, now)
            placed.append(late)
    return placed


def test_late_openings_share_the_room_that_is_left():
    """Guards against a backlog that is placed at once in a little room.

    After a loss of power a balancer expected 8 openings in time and had 10
    places: it placed all 15 late openings that waited, and those in time of
    the next second found no place (osa-returns-now-grown, trouble-1).
    """
    queue = OpeningQueue()
    queue.record_arrival(opening(99, 0.0), 0.0)
    for number in range(4):
        queue.record_arrival(opening(number, 9.9), 9.9)
    assert len(place_late(queue, 15, now=10.0)) == 2
    # The window has passed, and as many openings as before arrived in it.
    for number in range(4):
        queue.record_arrival(opening(number, 11.0), 11.0)
    assert len(place_late(queue, 15, now=11.1)) == 2


def test_a_returned_opening_leaves_its_room_to_others():
    """Guards against places that count as taken though nothing runs there."""
    queue = OpeningQueue()
    queue.record_arrival(opening(99, 0.0), 0.0)
    for number in range(4):
        queue.record_arrival(opening(number, 9.9), 9.9)
    placed = place_late(queue, 15, now=10.0)
    queue.record_return(placed[0].packet.flow)
    assert len(place_late(queue, 15, now=10.0)) == 1


def test_arrivals_before_the_routes_count():
    """Guards against late openings that take the places of those in time.

    A balancer on a slow link got its routes 0.35 s after its start. It knew
    no arrivals of the service then, and placed all late openings at once.
    """
    queue = OpeningQueue()
    for number in range(20):
        unknown = opening(number, 9.0)._replace(service=None, route=None)
        queue.add(unknown, UNKNOWN, 9.7)
    late = opening(50, 9.0)
    assert queue.should_defer(late, cold_openings=30, warm_in_s=1.5, now=10.0)
