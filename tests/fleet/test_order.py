"""Order of the processes of a host without the time of day."""

import itertools

from hypothesis import given
from hypothesis import strategies as st
import pytest

from ibispitch.fleet.core import Fleet
from ibispitch.fleet.core import LOST_S
from ibispitch.fleet.order import CONTINUES_S
from ibispitch.fleet.order import MAX_FORMER
from ibispitch.fleet.order import ProcessOrder
from tests.fleet.test_fleet import agent
from tests.fleet.test_fleet import balancer

AGENT, BALANCER = '10.0.1.1', '10.0.0.2'


@pytest.mark.parametrize('starts', [*itertools.permutations([1, 2400, 5000])])
def test_processes_that_start_at_any_time_of_day(starts):
    """Guards against a restarted process that is ignored for ever.

    A process started at an earlier time of day than its predecessor, because
    the clock had stepped between them. It counted as lost and its flows were
    reset.
    """
    fleet = Fleet('10.0.0.1')
    now = 0.0
    for started_ms in starts:
        for number in (1, 2):
            now += 0.4
            status = agent(number, started_ms=started_ms)
            fleet.record_agent_status(AGENT, status, now)
            assert fleet.agents_by_ip[AGENT].status is status
            other = balancer(number, started_ms=started_ms)
            fleet.record_balancer_status(BALANCER, other, now)
            assert fleet.balancers_by_ip[BALANCER].status is other


def test_late_messages_of_former_processes():
    """Guards against a state of a process that has been replaced."""
    order = ProcessOrder(70, 1, 0.0)
    assert order.accept(70, 9, 1.0)
    assert order.accept(50, 1, 2.0)
    # Late, repeated and reordered, also with numbers not seen before.
    for number in (9, 12, 9, 11, 10):
        assert not order.accept(70, number, 2.5)
    assert order.accept(50, 2, 2.6)
    assert not order.accept(50, 1, 2.7)
    assert order.accept(90, 1, 3.0)
    assert not order.accept(70, 13, 3.1)
    assert not order.accept(50, 3, 3.2)


def test_process_that_continues_counts_again():
    """Guards against a process that stays ignored by mistake.

    A message of a former process that was not known came late, or a message
    had a number that was too large.
    """
    order = ProcessOrder(70, 1, 0.0)
    assert order.accept(50, 400, 0.1)
    results = [order.accept(70, 2 + n, 0.4 * (1 + n)) for n in range(6)]
    assert results == [False, False, False, True, True, True]
    assert order.accept(70, 1 << 50, 3.0)
    results = [order.accept(70, 9 + n, 3.4 + 0.4 * n) for n in range(5)]
    assert results == [False, False, False, True, True]
    assert 4 * 0.4 < LOST_S


def test_report_that_is_older_than_the_process():
    """Guards against a former process of which another data centre reports."""
    order = ProcessOrder(70, 1, 5.0)
    assert not order.accept(50, 8, 4.8)
    assert order.accept(70, 2, 5.1)


def test_late_end_of_a_former_balancer():
    """Guards against a restarted balancer that is dropped for a moment."""
    fleet = Fleet('10.0.0.1')
    fleet.record_balancer_status(BALANCER, balancer(1, started_ms=7), 0.0)
    fleet.record_balancer_status(BALANCER, balancer(1, started_ms=5), 1.0)
    leaving = balancer(9, started_ms=7, is_leaving=True)
    fleet.record_balancer_status(BALANCER, leaving, 1.1)
    assert BALANCER in fleet.balancers_by_ip
    leaving = balancer(9, started_ms=5, is_leaving=True)
    fleet.record_balancer_status(BALANCER, leaving, 1.2)
    assert BALANCER not in fleet.balancers_by_ip


@given(
    st.lists(
        st.tuples(st.integers(0, 5_000), st.lists(st.floats(0, 10))),
        min_size=1, max_size=MAX_FORMER,
    ),
)  # fmt: skip
def test_present_process_wins(processes):
    """Guards against any order of start times that hides a live process.

    Each process sends a status every 0.4 s; some messages are delivered once
    more, up to 10 s later. Once the last process has sent for long enough,
    its statuses count.
    """
    messages = []
    now = 0.0
    for position, (started_ms, delays) in enumerate(processes):
        for number in range(1, 6):
            now += 0.4
            key = 10_000 * started_ms + position
            messages.append((now, key, number))
            messages += [(now + d, key, number) for d in delays[:1]]
    last = key
    ends_at = now + 10.4
    while now < ends_at:
        now += 0.4
        number += 1
        messages.append((now, last, number))
    order = None
    accepted = False
    for at, process, sent in sorted(messages):
        if order is None:
            order = ProcessOrder(process, sent, at)
        else:
            accepted = order.accept(process, sent, at)
    assert accepted
    assert CONTINUES_S < LOST_S
