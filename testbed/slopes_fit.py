"""Series of measurements and their linear and logarithmic fits."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import gc
import time
import tracemalloc
from typing import Any
from typing import NamedTuple

import numpy as np

MIN_SIZE_COUNT = 4
#: Sizes of the target installation, from section 1.5 of the design page, by
#: the kind of size. An agent has 26 million / 14,000 flows and 96,000 / 14,000
#: new ones a second.
TARGET_BY_SIZE = {
    'balancers': 1400,
    'agents': 14000,
    'services': 1100,
    'flows': 1857,
    'new flows/s': 6.9,
    'exceptions': 1857,
    'agents of a service': 13,
    'leases': 10,
    'edits/s': 5200 / 86400,
    'records at once': 930,
    'balancers lost': 93,
}
TIMED_RUNS = 3
#: Smaller costs are clock noise and are left out of the order of growth.
MIN_LOG_VALUE = 1e-9


class Series(NamedTuple):
    """Costs measured at several sizes.

    :param key: dotted name, ``<size>.<role>.<cost>``.
    :param size: name of the size on which the cost depends.
    :param unit: unit of the cost.
    :param mechanism: code that causes the cost.
    :param points: pairs of size and cost.
    """

    key: str
    size: str
    unit: str
    mechanism: str
    points: list[tuple[float, float]]

    def result(self) -> dict[str, Any]:
        """Return the points with their two fits.

        ``slope`` and ``intercept`` are those of the least squares line,
        ``residual`` its root mean square error over the mean cost.
        ``order`` is the slope on logarithmic axes, 1 for linear growth.
        ``per_doubling`` is the slope against the binary logarithm of the
        size. ``at_target`` is the cost at the target size by the better of
        the two fits, which ``fit`` names.

        :raises ValueError: if there are fewer than four sizes.

        >>> points = [(x, 3 * x + 2) for x in (1, 2, 3, 4)]
        >>> result = Series('a', 'flow', 's', 'b', points).result()
        >>> result['slope'], result['intercept'], result['residual']
        (3.0, 2.0, 0.0)
        """
        if len(self.points) < MIN_SIZE_COUNT:
            raise ValueError(f'{self.key}: measure at {MIN_SIZE_COUNT} sizes')
        slope, intercept, residual = _fit_line(self.points)
        logs = [
            (np.log(x), np.log(y))
            for x, y in self.points
            if x > 0 and y > MIN_LOG_VALUE
        ]
        has_order = len(logs) >= MIN_SIZE_COUNT
        order, _, order_error = _fit_line(logs) if has_order else (None,) * 3
        doublings = [(np.log2(x), y) for x, y in self.points if x > 0]
        per_doubling, at_one, doubling_residual = _fit_line(doublings)
        target = TARGET_BY_SIZE.get(self.size)
        at_target = None
        if target is not None and doubling_residual < residual:
            at_target = at_one + per_doubling * np.log2(target)
        elif target is not None:
            at_target = intercept + slope * target
        return {
            'size': self.size,
            'unit': self.unit,
            'mechanism': self.mechanism,
            'points': [[_round(x), _round(y)] for x, y in self.points],
            'slope': _round(slope),
            'intercept': _round(intercept),
            'residual': _round(residual),
            'order': _round(order),
            'order_residual': _round(order_error),
            'per_doubling': _round(per_doubling),
            'doubling_residual': _round(doubling_residual),
            'fit': 'log' if doubling_residual < residual else 'linear',
            'target': target,
            'at_target': _round(at_target),
        }


def _round(value: float | None) -> float | None:
    return None if value is None else float(f'{value:.4g}')


def _fit_line(points: list[tuple[float, float]]) -> tuple[float, float, float]:
    xs, ys = np.array(points, dtype=float).T
    slope, intercept = np.polyfit(xs, ys, 1)
    error = np.sqrt(np.mean((slope * xs + intercept - ys) ** 2))
    mean = abs(np.mean(ys)) or 1.0
    slope, intercept, error = (
        round(float(v), 15) for v in (slope, intercept, error)
    )
    return float(f'{slope:.6g}'), float(f'{intercept:.6g}'), error / mean


def measure_memory(make: Callable[[], Any]) -> tuple[int, Any]:
    """Create Python objects and measure their memory.

    :returns: size in bytes, and the objects.
    """
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size, made


def measure_cpu_s(action: Callable[[], Any], runs: int = TIMED_RUNS) -> float:
    """Return the shortest processor time of several runs, in seconds."""
    times = []
    for _ in range(runs):
        start = time.thread_time()
        action()
        times.append(time.thread_time() - start)
    return min(times)


class Recorder:
    """Collects the points of several series."""

    def __init__(self):
        self._series: dict[str, Series] = {}

    def add(
        self,
        key: str,
        size: str,
        unit: str,
        mechanism: str,
        x: float,
        y: float,
    ) -> None:
        """Add a point to a series.

        :param x: size.
        :param y: cost.
        """
        series = self._series.setdefault(
            key, Series(key, size, unit, mechanism, [])
        )
        series.points.append((x, y))

    def __iter__(self) -> Iterator[Series]:
        for series in self._series.values():
            yield series._replace(points=sorted(series.points))


Measurement = Callable[[], Iterable[Series]]
