"""Which balancers of a data centre the fabric should use.

The fabric spreads flows evenly over the balancers in the rotation. A balancer
whose link has a fraction of the capacity of the others loses packets of every
upload that it forwards, while the other links are nearly idle. Such balancers
stay out of the rotation as standbys.

If fewer than half of the balancers are in the rotation, the fabric uses all
of them. Weak ones are therefore standbys only if the others are at least half
of the balancers. Otherwise all are in the rotation, because a few weak links
would have to carry more than many.
"""

from collections.abc import Iterable
from typing import NamedTuple

#: A link is weak if its capacity is below this part of the largest one.
WEAK_SHARE = 0.25


class BalancerLink(NamedTuple):
    """A balancer of the data centre.

    :param ip: address of the balancer.
    :param link_mbps: capacity of its link, in Mbit/s.
    """

    ip: str
    link_mbps: float


def is_standby(own: BalancerLink, others: Iterable[BalancerLink]) -> bool:
    """Return whether a balancer should stay out of the rotation.

    Balancers that know the same members decide consistently.

    :param own: the balancer that decides.
    :param others: the other balancers of its data centre that respond.

    >>> strong = BalancerLink('10.0.0.1', 200.0)
    >>> weak = BalancerLink('10.0.0.2', 12.0)
    >>> is_standby(weak, [strong]), is_standby(strong, [weak])
    (True, False)
    >>> is_standby(weak, [])
    False
    """
    members = {own, *others}
    largest_mbps = max(member.link_mbps for member in members)
    strong = sum(m.link_mbps >= WEAK_SHARE * largest_mbps for m in members)
    is_weak = own.link_mbps < WEAK_SHARE * largest_mbps
    return is_weak and 2 * strong >= len(members)
