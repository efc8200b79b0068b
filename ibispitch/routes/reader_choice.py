"""Which balancers read the store for all others.

The number of readers is fixed, so that the calls to the store do not grow
with the fleet.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ibispitch.ids import DatacentreName

#: Readers of a fleet. Two may be cut off from the store at a time.
READERS = 3


class PollTiming(NamedTuple):
    """How a process follows the store, in parts of the bound on changes.

    :param wait: time that the store may hold a call without changes.
    :param limit: age of the routes at which any process asks the store.
    """

    wait: float
    limit: float


#: Each balancer reads: a change reaches it at once, and the wait only bounds
#: how long a connection that went silent is not noticed.
ALL_READ = PollTiming(wait=0.8, limit=1.3)
#: Others have to notice within the bound that all readers are cut off. The
#: difference leaves time for a round between data centres.
FEW_READ = PollTiming(wait=0.4, limit=0.85)


class ReaderCandidate(NamedTuple):
    """A balancer that may read the store.

    :param link_mbps: what its link bears; all others fetch from readers.
    """

    ip: str
    datacentre: DatacentreName
    link_mbps: float


def poll_timing(balancers: int) -> PollTiming:
    """Return how a fleet with a number of balancers follows the store."""
    return ALL_READ if balancers <= 2 * READERS else FEW_READ


def is_reader(own: ReaderCandidate, others: Iterable[ReaderCandidate]) -> bool:
    """Return whether a balancer reads the store.

    In a fleet of twice the readers or fewer, each balancer does: no other
    one stands between it and the store. Else it is the best one of each data
    centre, of some data centres.

    :param own: the balancer that decides.
    :param others: the other balancers that are heard.
    """
    candidates = sorted(
        {own, *others}, key=lambda one: (-one.link_mbps, one.ip)
    )
    if poll_timing(len(candidates)) is ALL_READ:
        return True
    best: dict[DatacentreName, ReaderCandidate] = {}
    for candidate in candidates:
        best.setdefault(candidate.datacentre, candidate)
    chosen = list(best.values())[:READERS]
    rest = [one for one in candidates if one not in chosen]
    return own in (chosen + rest)[:READERS]
