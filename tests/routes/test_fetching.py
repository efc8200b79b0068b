"""Choice of the process from which newer routes are fetched."""

from ibispitch.routes.fetching import RouteFetches
from ibispitch.routes.fetching import RouteOffer
from ibispitch.routes.fetching import SLOW_FETCH_S
from ibispitch.routes.position import TablePosition

FAR_WAIT_S = 0.3


def offer(ip: str, revision: int = 7, is_far: bool = False) -> RouteOffer:
    return RouteOffer(ip, TablePosition(1, revision), 3, 0.0, is_far)


def test_the_same_routes_are_fetched_once():
    """Guards against a transfer for each announcement of one change."""
    fetches = RouteFetches(FAR_WAIT_S)
    assert fetches.offer(offer('10.1.0.1'), 0.0)
    assert fetches.offer(offer('10.1.0.2'), 0.01) is None
    assert fetches.offer(offer('10.1.0.1'), 0.02) is None


def test_newer_routes_are_fetched_at_once():
    """Guards against a change that waits for the transfer of an older one."""
    fetches = RouteFetches(FAR_WAIT_S)
    assert fetches.offer(offer('10.1.0.1'), 0.0)
    assert fetches.offer(offer('10.1.0.2', revision=8), 0.01)
    assert fetches.offer(offer('10.1.0.3', revision=9), 0.02) is None


def test_a_slow_transfer_is_begun_elsewhere():
    """Guards against waiting for a connection that has stopped silently."""
    fetches = RouteFetches(FAR_WAIT_S)
    assert fetches.offer(offer('10.1.0.1'), 0.0)
    assert fetches.offer(offer('10.1.0.2'), SLOW_FETCH_S + 0.01)


def test_routes_of_another_datacentre_wait():
    """Guards against tables that cross data centres without need."""
    fetches = RouteFetches(FAR_WAIT_S)
    far = offer('10.2.0.1', is_far=True)
    assert fetches.offer(far, 0.0) is None
    assert fetches.due(FAR_WAIT_S - 0.01) is None
    assert fetches.due(FAR_WAIT_S) == far
    assert fetches.due(FAR_WAIT_S + 1.0) is None


def test_the_newest_far_routes_are_fetched():
    """Guards against fetching a table that is outdated by then."""
    fetches = RouteFetches(FAR_WAIT_S)
    newest = offer('10.3.0.1', revision=8, is_far=True)
    fetches.offer(offer('10.2.0.1', is_far=True), 0.0)
    fetches.offer(newest, 0.1)
    fetches.offer(offer('10.2.0.2', is_far=True), 0.2)
    assert fetches.due(FAR_WAIT_S) == newest


def test_a_process_without_routes_does_not_wait():
    """Guards against a restarted process that can't place flows for longer."""
    fetches = RouteFetches(FAR_WAIT_S)
    far = offer('10.2.0.1', is_far=True)
    assert fetches.offer(far, 0.0, is_urgent=True) == far


def test_a_failed_transfer_is_begun_again():
    """Guards against routes that are never fetched after a failure."""
    fetches = RouteFetches(FAR_WAIT_S)
    near = offer('10.1.0.1')
    fetches.offer(near, 0.0)
    fetches.end(near)
    assert fetches.offer(near, 0.01) == near
