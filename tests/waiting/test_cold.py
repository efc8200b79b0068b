"""Tests of the places of cold upstreams after a loss of power."""

import math
import random

import pytest

from ibispitch.forwarding.packets import FlowKey
from ibispitch.forwarding.packets import Packet
from ibispitch.forwarding.packets import SYN
from ibispitch.routes.model import Route
from ibispitch.routes.model import Share
from ibispitch.settings.overload import ColdStartSettings
from ibispitch.waiting.cold import ColdPlaces
from ibispitch.waiting.cold import ColdReservation
from ibispitch.waiting.cold import PLACE_WINDOW_S
from ibispitch.waiting.core import Opening

URGENT, OTHER = 1, 2
#: A balancer's share of 35 upstreams with 5 new flows each, of 4 balancers.
PLACES = 44
#: Time from the start of the balancer until upstreams are warm.
COLD_S = 1.7


def opening(priority: int, asked_at: float) -> Opening:
    route = Route(
        bytes(6), (Share('counter', 1),), 'unsafe', 0.4, 3.0, priority
    )
    packet = Packet(b'', FlowKey(bytes(12)), SYN, 1, 0, 0)
    return Opening(packet, 'counter', route, asked_at)


class Upstreams:
    """Cold upstreams that get ``PLACES`` openings in any window."""

    def __init__(self):
        self._taken: list[float] = []

    def try_take(self, now: float) -> bool:
        recent = [at for at in self._taken if now - at < PLACE_WINDOW_S]
        if len(recent) >= PLACES:
            return False
        self._taken = [*recent, now]
        return True


def replay(
    urgent_per_s: float,
    other_per_s: float,
    late: int,
    is_reserving: bool,
    learn_s: float = 0.2,
) -> dict[int, list[bool]]:
    """Play the cold time of one balancer.

    :param late: openings that wait at the start; their callers asked before
        the power was back.
    :returns: whether each opening that could be in time got a place, by its
        priority.
    """
    rng = random.Random(7)
    arrivals = [
        (rng.uniform(0.0, COLD_S), priority, 0.0)
        for priority, per_s in ((URGENT, urgent_per_s), (OTHER, other_per_s))
        for _ in range(round(per_s * COLD_S))
    ] + [(0.02, OTHER, -1.0) for _ in range(late)]
    reservation = ColdReservation(ColdStartSettings(learn_s=learn_s))
    upstreams = Upstreams()
    served = {URGENT: [], OTHER: []}
    for now, priority, asked_after_s in sorted(arrivals):
        asked = opening(priority, now + asked_after_s)
        is_late = asked.is_late(now)
        if not is_late:
            reservation.record_arrival('counter', priority, now)
        cold = ColdPlaces(PLACES, COLD_S - now)
        gets_place = not (
            is_reserving and reservation.is_reserved(asked, URGENT, cold, now)
        ) and upstreams.try_take(now)
        if gets_place:
            reservation.record_taken('counter', now)
        if not is_late:
            served[priority].append(gets_place)
    return served


def share(outcomes: list[bool]) -> float:
    return sum(outcomes) / len(outcomes)


@pytest.mark.parametrize('urgent_per_s', [20, 36])
def test_urgent_openings_find_places(urgent_per_s):
    """Guards against late and less urgent openings that take all places.

    The 44 places of a second suffice for the urgent openings.
    """
    first_come = replay(urgent_per_s, 140, 100, is_reserving=False)
    reserved = replay(urgent_per_s, 140, 100, is_reserving=True)
    assert share(first_come[URGENT]) < 0.6
    assert share(reserved[URGENT]) >= 0.95


def test_spare_places_are_used():
    """Guards against places that are kept although nobody needs them."""
    served = replay(20, 140, 0, is_reserving=True)
    # In 1.7 s, 44 to 88 places; the urgent openings need 34 of them.
    assert sum(served[URGENT]) + sum(served[OTHER]) >= 0.9 * PLACES * (
        COLD_S / PLACE_WINDOW_S
    )


def test_alone_without_urgent_openings():
    """Guards against a reservation for openings that don't come."""
    served = replay(0, 20, 0, is_reserving=True, learn_s=0.0)
    assert share(served[OTHER]) == 1.0


def test_unknown_arrivals_after_a_start():
    """A balancer that has just started keeps the places for urgent ones."""
    reservation = ColdReservation(ColdStartSettings(learn_s=0.2))
    cold = ColdPlaces(PLACES, COLD_S)
    reservation.record_arrival('counter', OTHER, 0.0)
    assert reservation.is_reserved(opening(OTHER, 0.1), URGENT, cold, 0.1)
    assert not reservation.is_reserved(opening(URGENT, 0.1), URGENT, cold, 0.1)
    assert not reservation.is_reserved(opening(OTHER, 0.3), URGENT, cold, 0.3)


def test_services_that_are_gone_are_forgotten():
    """Guards against memory that grows with each change of the services."""
    reservation = ColdReservation(ColdStartSettings(learn_s=0.0))
    reservation.record_arrival('counter', URGENT, 0.0)
    reservation.forget_services({'intake'})
    cold = ColdPlaces(0, math.inf)
    assert reservation.is_reserved(opening(OTHER, 1.0), URGENT, cold, 1.0)
