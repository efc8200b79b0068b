"""Figures that the measurements print, with their bounds."""

from collections.abc import Iterable
from typing import NamedTuple


class Figure(NamedTuple):
    """A measured figure.

    :param name: dotted name.
    :param value: what was measured.
    :param unit: unit of the value.
    :param bound: the target as text, or ``-`` for a figure without one.
    :param is_ok: whether the target is met.
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


def print_figures(figures: Iterable[Figure]) -> bool:
    """Print one line a figure and tell whether all bounds are met."""
    verdicts = []
    for figure in figures:
        print(figure, flush=True)
        verdicts.append(figure.is_ok)
    return all(verdicts)
