"""The admission core compared with naive variants on a simulated service.

Each test also shows that its criterion can fail: the naive variant misses
it.
"""

import pytest

from testbed.admission_model import BUDGET_ONLY
from testbed.admission_model import CHOSEN
from testbed.admission_model import Model
from testbed.admission_model import NO_BUDGET
from testbed.admission_model import NO_RAMP
from testbed.admission_model import PURE_HASH
from testbed.admission_model import SHAPES
from testbed.admission_model import TRUST_HEALTH
from testbed.bench_admission import imbalance

RETURNS, BENCH = SHAPES
WARM_S = 15.0


def warm_model(shape, policy, load=0.8):
    model = Model(shape, policy, load, seed=5)
    model.run_until(WARM_S)
    return model


@pytest.mark.parametrize('shape', SHAPES)
def test_cold_start_is_within_the_ramp(shape):
    """A new upstream that gets its full slots at once is overloaded."""
    model = Model(shape, CHOSEN, 2.0, seed=6)
    model.run_until(WARM_S)
    assert max(agent.upstream.peak_load_ratio for agent in model.agents) <= 1.0


def test_cold_start_without_a_ramp_is_overloaded():
    """The criterion for the ramp must be able to fail."""
    model = Model(RETURNS, NO_RAMP, 2.0, seed=6)
    model.run_until(5.0)
    assert max(agent.upstream.peak_load_ratio for agent in model.agents) > 1.5


def cold_excess(policy):
    model = warm_model(RETURNS, policy)
    upstream = model.agents[0].upstream
    upstream.cold_since = WARM_S
    upstream.sheds = False
    model.run_until(WARM_S + 3.0)
    upstream.peak_load_ratio = 0.0
    model.run_until(WARM_S + 8.0)
    return upstream.peak_load_ratio


def test_upstream_that_turns_cold_is_not_overloaded():
    """A restarted upstream is cold, but still reports all slots as usable."""
    assert cold_excess(CHOSEN) <= 1.0
    assert cold_excess(TRUST_HEALTH) > 1.5


def timeouts_of_stalled_upstream(policy):
    model = warm_model(RETURNS, policy)
    before = model.counts['timed_out']
    model.agents[0].upstream.hangs_until = WARM_S + 10.0
    model.run_until(WARM_S + 10.0)
    return model.counts['timed_out'] - before


def test_stalled_upstream_is_avoided():
    """Requests sent to a stalled upstream wait until their deadline."""
    # One run per slot, and afterwards one trial run per duty cycle.
    assert timeouts_of_stalled_upstream(CHOSEN) <= 8
    assert timeouts_of_stalled_upstream(TRUST_HEALTH) > 12


def test_placement_by_load_is_even():
    """Placement by hash alone gives some upstreams far more flows."""

    def flows(policy):
        model = warm_model(RETURNS, policy)
        return imbalance(agent.core.flows.open_flows for agent in model.agents)

    assert flows(CHOSEN) <= 1.10
    assert flows(PURE_HASH) > 1.15


def test_retries_stay_within_the_budget():
    """Unlimited retries multiply the load while all upstreams shed."""

    def amplification(policy):
        model = warm_model(RETURNS, policy)
        before = model.counts.copy()
        for agent in model.agents:
            agent.upstream.shed_share = 0.5
        model.run_until(WARM_S + 5.0)
        model.counts.subtract(before)
        return model.counts['runs'] / model.counts['run_requests']

    assert amplification(BUDGET_ONLY) <= 1.1
    assert amplification(NO_BUDGET) > 1.5


@pytest.mark.parametrize('shape', SHAPES)
def test_overload_keeps_the_goodput(shape):
    """Queues, refusals and returning callers must not reduce throughput."""
    model = Model(shape, CHOSEN, 2.0, seed=7)
    model.run_until(25.0)
    capacity = shape.upstreams * shape.slots
    assert model.goodput(15.0, 25.0) >= 0.95 * capacity
    assert sum(at >= 15.0 for at in model.idle_refusal_times) == 0
