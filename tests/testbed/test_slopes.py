"""Tests of the fits from which the capacity page is calculated."""

import math

import pytest

from testbed.slopes_fit import Series


def _result(points, size='balancers'):
    return Series('key', size, 'B', 'code', points).result()


def test_orders_of_growth_are_distinguished():
    """A cost that grows with the square of the fleet must not be reported
    as linear.
    """
    sizes = (8, 32, 128, 512)
    assert _result([(n, 5 * n) for n in sizes])['order'] == 1.0
    assert _result([(n, 5 * n * n) for n in sizes])['order'] == 2.0


def test_the_better_fit_extrapolates():
    """A logarithmic cost must not be extrapolated linearly."""
    points = [(n, 10 + 3 * math.log2(n)) for n in (8, 32, 128, 512)]
    result = _result(points)
    assert result['fit'] == 'log'
    assert result['at_target'] == pytest.approx(
        10 + 3 * math.log2(1400), rel=1e-3
    )
    linear = _result([(n, 2 * n + 1) for n in (8, 32, 128, 512)])
    assert linear['fit'] == 'linear'
    assert linear['at_target'] == 2801


def test_few_sizes_are_refused():
    """A line fits any two points without a residual."""
    with pytest.raises(ValueError, match='4 sizes'):
        _result([(1, 1), (2, 2)])
