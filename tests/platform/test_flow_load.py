"""A burst of load while the upstreams of a data centre are lost."""

from testbed.flow_callers import Outcome
from testbed.flow_load import LoadShape
from testbed.flow_load import plot_outcomes
from testbed.flow_load import run_load

#: Required share of the capacity of the remaining slots, 95 %.
MIN_GOODPUT_SHARE = 0.95


def test_goodput_in_a_burst(tmp_path):
    """Guards against work on requests that miss their deadline anyway."""
    shape = LoadShape(upstreams=2, phases_s=(3.0, 10.0, 0.0))
    report = run_load(shape)
    goodput_per_s = report.goodput_per_s(*shape.window)
    assert goodput_per_s >= MIN_GOODPUT_SHARE * shape.remaining_per_s
    runs = [run for _, up in report.network.upstreams for run in up.runs]
    assert all(
        runs.count(request.body) <= 1
        for _, kind, _, request in report.requests()
        if kind.kind == 'unsafe'
    )
    rows = report.rows()
    counts = [sum(row[index] for row in rows) for index in (2, 3, 4)]
    assert len(rows) == 6
    assert sum(counts) == sum(1 for _ in report.requests())
    assert counts[list(Outcome).index(Outcome.FAILED)] > 0
    plot = tmp_path / 'load.png'
    plot_outcomes(report, plot)
    assert plot.stat().st_size > 10_000


def test_load_below_the_capacity():
    """Checks the measurement: without a burst all requests are in time."""
    shape = LoadShape(
        upstreams=2,
        slot_utilisation=0.5,
        burst=1.0,
        lost_datacentre=None,
        phases_s=(2.0, 6.0, 0.0),
    )
    report = run_load(shape)
    outcomes = [request.outcome for _, _, _, request in report.requests()]
    assert outcomes.count(Outcome.IN_TIME) >= 0.99 * len(outcomes)
