"""The line of waiting openings under the loads that it answers."""

import math

from ibispitch.forwarding.packets import FlowKey
from ibispitch.forwarding.packets import Packet
from ibispitch.forwarding.packets import SYN
from ibispitch.routes.model import RequestKind
from ibispitch.routes.model import Route
from ibispitch.routes.model import Share
from ibispitch.waiting.core import ATTEMPT_TIMEOUT_S
from ibispitch.waiting.core import first_copy_sent_at
from ibispitch.waiting.core import Opening
from ibispitch.waiting.core import OpeningQueue


def opening(number: int, since: float, priority: int = 1) -> Opening:
    flow = FlowKey(number.to_bytes(12, 'big'))
    route = Route(
        flow[6:], (Share('counter', 1),), RequestKind.UNSAFE, 0.1, 2.0,
        priority,
    )  # fmt: skip
    packet = Packet(b'', flow, SYN, number, 0, 0)
    return Opening(packet, 'counter', route, since)


def test_time_for_the_request_itself_is_left():
    """Guards against openings that are placed when they must become late.

    With an objective of three times the work, 60 % of it spent in the line
    and 35 % in the upstream's queue left nothing for the request; a burst
    replayed with ``testbed.flow_load`` at an objective of 0.2 s had 44 % of
    the goodput that the slots allow.
    """
    short = opening(1, since=0.0)
    long = short._replace(work_s=0.03)
    # 100 ms: 35 for the queue, 45 for the request, 20 for the line.
    assert not long.is_late(0.019)
    assert long.is_late(0.021)
    assert not short.is_late(0.059)
    assert short.is_late(0.061)


def test_in_time_before_late_and_urgent_first():
    """Guards against a line in which everyone is late."""
    line = OpeningQueue()
    late = opening(1, since=0.0, priority=0)
    normal = opening(2, since=0.95, priority=2)
    urgent = opening(3, since=0.97, priority=1)
    for each in (late, normal, urgent):
        line.add(each, math.inf, 1.0)
    assert line.by_precedence(1.0) == [urgent, normal, late]


def test_copy_keeps_its_place():
    """Guards against a copy that starts the wait anew."""
    line = OpeningQueue()
    first = opening(1, since=0.0)
    line.add(first, math.inf, 0.0)
    copy = first._replace(
        packet=first.packet._replace(acknowledged=1), sent_at=0.3
    )
    line.add(copy, math.inf, 0.3)
    assert len(line) == 1
    assert line.by_precedence(0.3)[0].sent_at == 0.0


def test_copy_after_the_routes_have_arrived():
    """Guards against bookkeeping by a service that was not known yet."""
    line = OpeningQueue()
    first = opening(1, since=0.0)
    line.add(first._replace(service=None, route=None), math.inf, 0.0)
    line.add(first, math.inf, 0.2)
    assert line.remove(first.packet.flow) is not None
    assert len(line) == 0


def test_callers_that_have_given_up():
    """Guards against places in the line for nobody."""
    line = OpeningQueue()
    line.add(opening(1, since=0.0), math.inf, 0.0)
    line.add(opening(2, since=1.0), math.inf, 1.0)
    assert [
        o.packet.sequence for o in line.remove_expired(ATTEMPT_TIMEOUT_S + 0.1)
    ] == [1]
    assert len(line) == 1


def serve(
    line: OpeningQueue, per_s: float, offered_per_s: float, for_s: float
):
    """Offer openings at one rate and place them at another."""
    refused, placed, over = [], [], []
    offered = served = 0.0
    now, number = 0.0, 0
    while now < for_s:
        now += 0.01
        offered += offered_per_s * 0.01
        served += per_s * 0.01
        while offered >= 1:
            offered -= 1
            number += 1
            each = opening(number, now)
            if not line.add(each, math.inf, now):
                refused.append(each)
        over += line.remove_expired(now)
        refused += line.remove_unservable(lambda service: math.inf, now)
        for each in line.by_precedence(now)[: int(served)]:
            line.remove_placed(each.packet.flow, now)
            placed.append((now - each.sent_at, each))
        served -= int(served)
    return refused, placed, over


def test_sustained_overload():
    """Guards against callers who wait to the end of their attempt in vain.

    With twice the load that can be placed, most of what is placed is in
    time, and what cannot be placed is refused at once.
    """
    refused, placed, over = serve(OpeningQueue(), 50, 100, 10.0)
    in_time = [wait for wait, _ in placed if wait < 0.06]
    assert len(in_time) > 0.8 * len(placed)
    assert len(over) < 0.5 * len(refused)


def test_nothing_is_refused_that_fits():
    """Guards against refusals in a line that moves fast enough."""
    refused, placed, over = serve(OpeningQueue(), 110, 100, 10.0)
    assert refused == []
    assert over == []
    assert len(placed) > 980


def test_relief_is_worth_waiting_for():
    """Guards against refusals just before cold upstreams turn warm."""

    def is_taken(relief_s: float) -> bool:
        line = OpeningQueue()
        for number in range(10):
            line.add(opening(number, 0.0), math.inf, 0.0)
        for number in range(5):
            line.remove_placed(opening(number, 0.0).packet.flow, 0.4)
        for number in range(100, 200):
            line.add(opening(number, 0.499), math.inf, 0.499)
        return line.add(opening(300, 0.55), relief_s, 0.55)

    assert not is_taken(math.inf)
    assert is_taken(0.5)


def backlog() -> OpeningQueue:
    """Return a line of 50 openings that places two a second."""
    line = OpeningQueue()
    for number in range(50):
        line.add(opening(number, 0.0), math.inf, 0.0)
    line.remove_placed(opening(0, 0.0).packet.flow, 0.5)
    return line


def test_late_openings_with_relief_stay():
    """Guards against a backlog that is shed when it could soon be served."""
    assert backlog().remove_unservable(lambda service: 0.3, 0.6) == []
    assert len(backlog().remove_unservable(lambda service: math.inf, 0.6)) > 40


def test_backlog_meets_upstreams_that_have_turned_warm():
    """Guards against refusals by the rate of the cold time.

    After a loss of power a thousand openings were refused in the half second
    in which the upstreams turned warm (osa-returns-grown). If the warm ones
    place as little, the line is shed after the time of one count.
    """
    line = backlog()
    assert line.remove_unservable(lambda service: 0.05, 0.6) == []
    assert line.remove_unservable(lambda service: math.inf, 0.66) == []
    assert line.add(opening(60, 0.66), math.inf, 0.66)
    line.remove_placed(opening(1, 0.0).packet.flow, 1.1)
    assert len(line.remove_unservable(lambda service: math.inf, 1.2)) > 40


def test_late_openings_leave_cold_upstreams_to_others():
    """Guards against cold upstreams that run only what is late already.

    After a loss of power 100 of 244 new flows that cold upstreams bore were
    late ones from the time without power (osa-returns-grown).
    """
    line = OpeningQueue()
    for number in range(20):
        line.add(opening(number, 0.4), 1.0, 0.4)
    late = opening(0, 0.4)
    assert line.should_defer(late, cold_openings=10, warm_in_s=0.5, now=0.7)
    # Not if the caller has given up before the upstreams are warm,
    assert not line.should_defer(
        late, cold_openings=10, warm_in_s=1.2, now=0.7
    )
    # nor if fewer come than cold upstreams bear,
    assert not line.should_defer(
        late, cold_openings=30, warm_in_s=0.5, now=0.7
    )
    # nor if it is in time.
    assert not line.should_defer(opening(1, 0.69), 10, 0.5, 0.7)


def test_age_of_a_copy():
    """Guards against a balancer that takes the third copy for the first."""
    copy = opening(1, 0.0).packet._replace(acknowledged=2)
    assert first_copy_sent_at(copy, 10.0) == 9.4
