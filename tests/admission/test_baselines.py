"""The chosen cores compared with naive ones on the model of one service.

Each test also shows that its check can fail: a naive core fails it.
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
    """Guards against overload of a cold upstream by all its slots."""
    model = Model(shape, CHOSEN, 2.0, seed=6)
    model.run_until(WARM_S)
    assert max(agent.upstream.peak_load_ratio for agent in model.agents) <= 1.0


def test_cold_start_without_a_ramp_is_overrun():
    """Shows that the check of the ramp can fail."""
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


def test_upstream_that_turns_cold_is_spared():
    """Its health endpoint still reports that all slots are free."""
    assert cold_excess(CHOSEN) <= 1.0
    assert cold_excess(TRUST_HEALTH) > 1.5


def hang_timeouts(policy):
    model = warm_model(RETURNS, policy)
    before = model.counts['timed_out']
    model.agents[0].upstream.hangs_until = WARM_S + 10.0
    model.run_until(WARM_S + 10.0)
    return model.counts['timed_out'] - before


def test_hung_upstream_is_avoided():
    """Requests sent to a hung upstream wait until their deadline."""
    # One run per slot, then one probe per duty cycle.
    assert hang_timeouts(CHOSEN) <= 8
    assert hang_timeouts(TRUST_HEALTH) > 12


def test_placement_by_load_is_even():
    """Hashing alone leaves some upstreams with far more flows."""

    def flows(policy):
        model = warm_model(RETURNS, policy)
        return imbalance(agent.core.flows.open_flows for agent in model.agents)

    assert flows(CHOSEN) <= 1.10
    assert flows(PURE_HASH) > 1.15


def test_retries_stay_within_the_budget():
    """While all upstreams shed, unlimited retries multiply the load."""

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
    """Queues, refusals and returning callers must not cost capacity."""
    model = Model(shape, CHOSEN, 2.0, seed=7)
    model.run_until(25.0)
    capacity = shape.upstreams * shape.slots
    assert model.goodput(15.0, 25.0) >= 0.95 * capacity
    assert sum(at >= 15.0 for at in model.idle_refusal_times) == 0
