"""Concurrency limit: ramp, cold restarts, stalled upstreams."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from ibispitch.admission.concurrency import COLD_SHARE
from ibispitch.admission.concurrency import ConcurrencyLimit
from ibispitch.admission.flows import FlowLimit
from ibispitch.admission.types import RunOutcome

RAMP_S = 10.0


class Runs:
    """Runs requests one by one, as fast as the limit allows."""

    def __init__(self, slots, now=0.0):
        self.limit = ConcurrencyLimit(slots, RAMP_S, now)
        self.now = now
        self.count = 0

    def run(self, latency_s, outcome=RunOutcome.COMPLETED):
        """Run one request alone, as soon as it may start."""
        self.now += self.limit.idle_s(self.now) + 1e-9
        assert self.limit.may_start(0, self.now)
        self.count += 1
        run_id = self.count.to_bytes(16, 'big')
        self.limit.record_start(run_id, self.now)
        self.now += latency_s
        self.limit.record_end(run_id, outcome, latency_s, self.now)

    def warm_up(self, latency_s=0.1):
        while self.limit.is_ramping:
            self.run(latency_s)
        for _ in range(50):
            self.run(latency_s)


@pytest.mark.parametrize('slots', [1, 5])
@pytest.mark.parametrize('latency_s', [0.01, 0.3, 1.0])
def test_ramp_reaches_full_share(slots, latency_s):
    """A ramp that only counted runs would take too long with slow requests."""
    runs = Runs(slots)
    while runs.limit.is_ramping:
        before = runs.now
        runs.run(latency_s)
        ceiling = min(1.0, max(COLD_SHARE, runs.now / RAMP_S))
        assert runs.limit.value <= slots * ceiling + 1e-6
        assert runs.now > before
    assert runs.now <= RAMP_S + 5.0


def test_fraction_is_a_duty_cycle():
    """A limit below 1 that was rounded up would overload a cold upstream."""
    runs = Runs(1)
    busy_s = 0.0
    while runs.now < RAMP_S / 2:
        runs.run(0.05)
        busy_s += 0.05
    # Area below the ramp: the cold share for 1 s, then time divided by
    # RAMP_S.
    area_s = COLD_SHARE + (runs.now**2 - 1.0) / (2 * RAMP_S)
    assert busy_s <= area_s + 0.05


def test_idle_time_does_not_count_as_warm_up():
    """An upstream without requests must not count as warm."""
    runs = Runs(5)
    runs.run(0.1)
    runs.now += 1000.0
    runs.run(0.1)
    assert runs.limit.value <= 5 * 0.4


@pytest.mark.parametrize(
    ('outcome', 'runs_until_restart'),
    [
        (RunOutcome.UNREACHABLE, 1),
        (RunOutcome.SHED, 2),
        (RunOutcome.TIMED_OUT, 2),
    ],
)
def test_fault_restarts_the_ramp(outcome, runs_until_restart):
    """A cold upstream fails requests at the limit of a warm one."""
    runs = Runs(5)
    runs.warm_up()
    for _ in range(runs_until_restart - 1):
        runs.run(0.1, outcome)
        assert runs.limit.restarts == 0
    runs.run(0.1, outcome)
    assert runs.limit.restarts == 1
    assert runs.limit.value == 5 * COLD_SHARE


@pytest.mark.parametrize('ratio', [3.0, 5.0, 20.0])
def test_slow_requests_restart_the_ramp(ratio):
    """A cold upstream may be recognisable only by its latency."""
    runs = Runs(5)
    runs.warm_up()
    for _ in range(5):
        runs.run(0.1 * ratio)
    assert runs.limit.restarts == 1


@given(seed=st.integers(0, 2**32), ratio=st.floats(3, 1000))
@settings(deadline=None, max_examples=30)
def test_single_slow_requests_do_not_restart(seed, ratio):
    """One slow request in ten must not count as a cold restart."""
    rng = random.Random(seed)
    runs = Runs(5)
    runs.warm_up()
    for _ in range(50):
        for _ in range(rng.randint(9, 12)):
            runs.run(0.1 * rng.uniform(0.6, 1.4))
        runs.run(0.1 * ratio)
    assert runs.limit.restarts == 0


def test_single_faults_do_not_restart():
    """One 5.03 or timeout in fifty must not keep the upstream cold."""
    runs = Runs(5)
    runs.warm_up()
    for index in range(2000):
        is_fault = index % 50 == 0
        outcome = RunOutcome.SHED if is_fault else RunOutcome.COMPLETED
        runs.run(0.1, outcome)
    assert runs.limit.restarts == 0


def test_varying_service_times_rarely_restart():
    """Exponential service times give several slow requests in a row."""
    restarts = 0
    for seed in range(10):
        rng = random.Random(seed)
        runs = Runs(5)
        runs.warm_up()
        for _ in range(5000):
            runs.run(rng.expovariate(10.0))
        restarts += runs.limit.restarts
    assert restarts <= 10


def test_lasting_latency_becomes_the_average():
    """A service that became slower for good must not stay limited as cold."""
    runs = Runs(5)
    runs.warm_up()
    while runs.now < 200.0:
        runs.run(0.5)
    assert runs.limit.restarts == 1
    assert not runs.limit.is_ramping


def test_second_restart_within_the_ramp_lowers_the_cold_value():
    """An upstream that cannot serve the cold value would never warm up."""
    runs = Runs(5)
    runs.warm_up()
    for _ in range(2):
        runs.run(0.1, RunOutcome.UNREACHABLE)
    assert runs.limit.value == 5 * COLD_SHARE / 2


def test_stall_restarts_the_ramp():
    """If no run ends, a stall can only be recognised by time."""
    runs = Runs(5)
    runs.warm_up()
    for index in range(5):
        runs.limit.record_start(b'%d' % index, runs.now)
    runs.limit.tick(runs.now + 0.9)
    assert runs.limit.restarts == 0
    runs.limit.tick(runs.now + 1.1)
    assert runs.limit.restarts == 1
    runs.limit.tick(runs.now + 60.0)
    assert runs.limit.restarts == 1


def test_runs_from_before_the_restart_do_not_count():
    """Late failures of the former upstream must not restart the new ramp."""
    runs = Runs(5)
    runs.warm_up()
    for index in range(5):
        runs.limit.record_start(b'%d' % index, runs.now)
    for index in range(5):
        runs.limit.record_end(
            b'%d' % index, RunOutcome.UNREACHABLE, 0.1, runs.now + 0.1
        )
    assert runs.limit.restarts == 1


def test_new_flows_ramp():
    """A new upstream that gets all new flows at once is overloaded."""
    flows = FlowLimit(2000, RAMP_S, 0.0)
    now = 0.0
    while now < RAMP_S:
        while flows.room(now):
            flows.record_opened(now)
        share = max(COLD_SHARE, now / RAMP_S)
        assert flows.open_flows <= 2000 * share + 1
        now += 0.01
    assert flows.open_flows >= 1900
    while flows.room(now):
        flows.record_opened(now)
    assert flows.open_flows == 2000


def test_restart_applies_the_ramp_to_new_flows():
    """The ramp must limit new flows after a cold restart as after a start."""
    flows = FlowLimit(2000, RAMP_S, 0.0)
    assert flows.room(60.0) == 2000
    flows.restart(60.0)
    assert flows.room(60.0) == 0
    assert 0 < flows.room(60.5) <= 200
