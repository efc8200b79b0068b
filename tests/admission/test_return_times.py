"""Times to return that an agent tells when feeds are opened in a burst."""

import heapq
import itertools
import random

import pytest

from ibispitch.admission.core import AdmissionCore
from ibispitch.admission.types import Refuse
from ibispitch.admission.types import RequestInfo
from ibispitch.admission.types import RunHere
from ibispitch.admission.types import RunOutcome

#: Time in which a caller of the testbed opens a feed, see
#: ``testbed.callers.Caller.observe``.
CALLER_PATIENCE_S = 10.0
#: Time that an upstream takes to accept the registration of a feed.
REGISTRATION_S = 0.005
TICK_S = 0.01
SEEDS = range(300)


def open_feeds(count, slots, seed):
    """Register feeds at one cold agent at once; return the end of each.

    Callers that are refused come back at the time that they were told, as
    long as their patience lasts.
    """
    core = AdmissionCore('a', slots, 2000, 10.0, random.Random(seed), 0.0)
    core.set_agents(['a'])
    order = itertools.count()
    events = [(0.0, next(order), 'ask', None) for _ in range(count)]
    events += [
        (TICK_S * tick, next(order), 'tick', None)
        for tick in range(int(CALLER_PATIENCE_S / TICK_S))
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
                if again < CALLER_PATIENCE_S:
                    heapq.heappush(events, (again, next(order), 'ask', None))
        else:
            for ready in core.tick(now):
                start(ready, now)
    return ended


@pytest.mark.parametrize(('count', 'slots'), [(8, 5), (20, 5), (8, 1)])
def test_burst_at_a_cold_agent(count, slots):
    """An agent that has run nothing yet must not tell callers to stay away.

    It took the burst for an overload, as no run had ended by then: feeds
    were told to return after up to 10 s, and their callers gave up.
    """
    given_up = {
        seed: count - len(ended)
        for seed in SEEDS
        if len(ended := open_feeds(count, slots, seed)) < count
    }
    assert given_up == {}
