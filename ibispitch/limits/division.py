"""Division of a total by weight, with bounds of the parts."""

from collections.abc import Iterable
import math
from typing import NamedTuple


class Claim(NamedTuple):
    """A claim to a part of a total.

    :param weight: the part grows in proportion to it, at least 0.
    :param bound: upper or lower bound of the part.
    """

    weight: float
    bound: float


def level_below_caps(total: float, claims: Iterable[Claim]) -> float:
    """Return the part per weight if no part exceeds its bound.

    The parts ``min(bound, level * weight)`` are the weighted max-min fair
    division of the total.

    :param claims: claims with weights above 0.
    :returns: infinity if the total covers all bounds.

    >>> level_below_caps(10.0, [Claim(1, 2), Claim(1, 50), Claim(3, 50)])
    2.0
    >>> level_below_caps(10.0, [Claim(1, 2), Claim(1, 3)])
    inf
    """
    by_ratio = sorted(claims, key=lambda claim: claim.bound / claim.weight)
    left = total
    weight_left = math.fsum(claim.weight for claim in by_ratio)
    for weight, bound in by_ratio:
        if left * weight < bound * weight_left:
            return max(0.0, left / weight_left)
        left -= bound
        weight_left -= weight
    return math.inf


def level_above_floors(total: float, claims: Iterable[Claim]) -> float:
    """Return the part per weight if each part is at least its bound.

    The parts ``max(bound, level * weight)`` add up to the total.

    :param claims: claims with equal bounds, which the total covers.

    >>> level_above_floors(
    ...     4.0, [Claim(3, 0.25), Claim(1, 0.25), Claim(0, 0.25)]
    ... )
    0.9375
    """
    by_weight = sorted(claims, key=lambda claim: claim.weight)
    left = total
    weight_left = math.fsum(claim.weight for claim in by_weight)
    for weight, bound in by_weight:
        if left * weight >= bound * weight_left:
            return left / weight_left if weight_left > 0.0 else 0.0
        left -= bound
        weight_left -= weight
    return 0.0
