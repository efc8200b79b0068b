"""Choice of the balancers that read the store for all others.

The number of readers is fixed, so that the calls to the store do not grow
with the fleet.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ibispitch.ids import DatacentreName

#: Readers of a fleet. Two may be cut off from the store at a time.
MAX_READERS = 3


class PollTiming(NamedTuple):
    """Timing of calls to the store.

    Both values are fractions of the time within which changes must be in
    force.

    :param wait: time that the store may hold a call without changes.
    :param limit: age of the routes at which any process asks the store.
    """

    wait: float
    limit: float


#: Each balancer reads: a change reaches it at once, and the wait only bounds
#: the time until a dead connection is noticed.
ALL_READ = PollTiming(wait=0.8, limit=1.3)
#: Others have to notice within the bound that all readers are cut off. The
#: difference between wait and limit leaves time for a round of status
#: messages between data centres.
FEW_READ = PollTiming(wait=0.4, limit=0.85)


class ReaderCandidate(NamedTuple):
    """A balancer that may read the store.

    :param link_mbps: capacity of its link, over which other processes fetch
        the routes from a reader.
    """

    ip: str
    datacentre: DatacentreName
    link_mbps: float


def poll_timing(balancers: int) -> PollTiming:
    """Return the timing for a fleet with a number of balancers."""
    return ALL_READ if balancers <= 2 * MAX_READERS else FEW_READ


def choose_readers(
    balancers: Iterable[ReaderCandidate],
) -> list[ReaderCandidate]:
    """Return the balancers that read the store, the first choice first.

    In a fleet with at most twice as many balancers as readers each balancer
    reads, so that it does not depend on another one. Otherwise the readers
    are the balancers with the fastest links of some data centres, one of
    each.

    :param balancers: the one that decides, and those with a recent status.
    """
    candidates = sorted(
        set(balancers), key=lambda one: (-one.link_mbps, one.ip)
    )
    if poll_timing(len(candidates)) is ALL_READ:
        return candidates
    best: dict[DatacentreName, ReaderCandidate] = {}
    for candidate in candidates:
        best.setdefault(candidate.datacentre, candidate)
    chosen = list(best.values())[:MAX_READERS]
    rest = [one for one in candidates if one not in chosen]
    return (chosen + rest)[:MAX_READERS]
