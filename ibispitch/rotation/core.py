"""Which balancers of a data centre the fabric should use.

The fabric spreads flows evenly. A balancer whose link bears a fraction of
what others bear loses packets of every upload that crosses it, while the
others are nearly idle. Such balancers stay out of the rotation as standbys.
The fabric uses all of them if fewer than half are in the rotation. So weak
ones stand by only where the others are half of the balancers; else all take
part, since a few weak ones would bear more than many.
"""

from collections.abc import Iterable
from typing import NamedTuple

#: A link that bears less than this part of the strongest one is weak.
WEAK_SHARE = 0.25


class BalancerLink(NamedTuple):
    """A balancer of the data centre.

    :param link_mbps: what its link bears, in Mbit/s.
    """

    ip: str
    link_mbps: float


def is_standby(own: BalancerLink, others: Iterable[BalancerLink]) -> bool:
    """Return whether a balancer should stay out of the rotation.

    All balancers that hear the same ones decide the same.

    :param own: the balancer that decides.
    :param others: the other balancers of its data centre that are heard.

    >>> strong = BalancerLink('10.0.0.1', 200.0)
    >>> weak = BalancerLink('10.0.0.2', 12.0)
    >>> is_standby(weak, [strong]), is_standby(strong, [weak])
    (True, False)
    >>> is_standby(weak, [])
    False
    """
    members = {own, *others}
    most = max(member.link_mbps for member in members)
    strong = sum(m.link_mbps >= WEAK_SHARE * most for m in members)
    is_weak = own.link_mbps < WEAK_SHARE * most
    return is_weak and 2 * strong >= len(members)
