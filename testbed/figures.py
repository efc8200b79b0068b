"""Figures that benchmarks print, with their bounds."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from itertools import chain
import os
from typing import NamedTuple


class Figure(NamedTuple):
    """A measured figure.

    :param name: name with dots between its parts.
    :param value: measured value.
    :param unit: unit of the value.
    :param bound: bound as text, or ``-`` for a figure without one.
    :param is_ok: whether the value is within the bound.
    """

    name: str
    value: float
    unit: str
    bound: str
    is_ok: bool

    def __str__(self):
        verdict = 'ok' if self.is_ok else 'over'
        return (
            f'{self.name} {self.value:.6g} {self.unit} {self.bound} {verdict}'
        )


def at_most(name: str, value: float, unit: str, bound: float) -> Figure:
    """Return a figure that must not be above its bound."""
    return Figure(name, value, unit, f'<={bound:g}', value <= bound)


def at_least(name: str, value: float, unit: str, bound: float) -> Figure:
    """Return a figure that must not be below its bound."""
    return Figure(name, value, unit, f'>={bound:g}', value >= bound)


def informative(name: str, value: float, unit: str) -> Figure:
    """Return a figure without a bound."""
    return Figure(name, value, unit, '-', True)


#: Part of a benchmark that can run on its own.
Part = Callable[[], Iterable[Figure]]


def _run_part(part: Part) -> list[Figure]:
    return list(part())


def run_parts(parts: Sequence[Part]) -> Iterator[Figure]:
    """Run parts of a benchmark in several processes.

    Parts that measure time would disturb each other and must not be run so.

    :param parts: functions that can be pickled; their figures are yielded
        in this order.
    """
    workers = max(1, min(len(parts), (os.cpu_count() or 2) // 2))
    with ProcessPoolExecutor(workers) as pool:
        yield from chain.from_iterable(pool.map(_run_part, parts))


def print_figures(figures: Iterable[Figure]) -> bool:
    """Print one line per figure and tell whether all bounds are met."""
    results = []
    for figure in figures:
        print(figure, flush=True)
        results.append(figure.is_ok)
    return all(results)
