"""Retry times of an agent when many feeds are registered at once."""

import heapq
import itertools
import random

import pytest

from ibispitch.admission.core import AdmissionCore
from ibispitch.admission.types import Refuse
from ibispitch.admission.types import RequestInfo
from ibispitch.admission.types import RunHere
from ibispitch.admission.types import RunOutcome

#: Time after which a caller of the testbed gives up a registration of a feed;
#: see ``testbed.callers.Caller.observe``.
CALLER_TIMEOUT_S = 10.0
#: Time that an upstream takes to accept the registration of a feed.
REGISTRATION_S = 0.005
TICK_S = 0.01
SEEDS = range(300)


def open_feeds(count, slots, seed):
    """Register feeds at a cold agent at the same time; return the end times.

    Callers that are refused try again after the retry time, until the
    timeout of the caller.
    """
    core = AdmissionCore('a', slots, 2000, 10.0, random.Random(seed), 0.0)
    core.set_agents(['a'])
    order = itertools.count()
    events = [(0.0, next(order), 'ask', None) for _ in range(count)]
    events += [
        (TICK_S * tick, next(order), 'tick', None)
        for tick in range(int(CALLER_TIMEOUT_S / TICK_S))
    ]
    heapq.heapify(events)
    started_at_by_run = {}
    ended = []

    def start(run_id, now):
        core.record_start(run_id, now)
        started_at_by_run[run_id] = now
        heapq.heappush(
            events, (now + REGISTRATION_S, next(order), 'end', run_id)
        )

    while events:
        now, number, event, run_id = heapq.heappop(events)
        if event == 'end':
            core.record_end(
                run_id,
                RunOutcome.COMPLETED,
                now - started_at_by_run[run_id],
                now,
            )
            ended.append(now)
        if event == 'ask':
            run_id = number.to_bytes(16, 'big')
            request = RequestInfo(
                run_id=run_id, flow=run_id, deadline=now + 10.0, pinned=True
            )
            decision = core.decide(request, now)
            if decision == RunHere():
                start(run_id, now)
            elif isinstance(decision, Refuse):
                again = now + decision.retry_after_s
                if again < CALLER_TIMEOUT_S:
                    heapq.heappush(events, (again, next(order), 'ask', None))
        else:
            for ready in core.tick(now):
                start(ready, now)
    return ended


@pytest.mark.parametrize(('count', 'slots'), [(8, 5), (20, 5), (8, 1)])
def test_burst_at_a_cold_agent_is_no_overload(count, slots):
    """A burst at an agent without completed runs must not count as overload.

    Guards against a fault where the retry times were up to 10 s, as no run
    had ended by then, so that the callers gave up.
    """
    given_up = {
        seed: count - len(ended)
        for seed in SEEDS
        if len(ended := open_feeds(count, slots, seed)) < count
    }
    assert given_up == {}
