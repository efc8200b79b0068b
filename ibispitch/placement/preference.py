"""Order of preference of the agents for a flow.

Load pattern: all processes were killed while thousands of long flows are
open, and nobody knows at which upstream. The order follows from the addresses
of the flow alone, by rendezvous hashing. Placement gives a long flow to the
first of the agents with almost the same load, so that the search for its
owner finds it with few trials at any size of the fleet. An agent that joins
or leaves changes nothing between the others.
"""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from ibispitch.forwarding.packets import FlowKey


def by_preference(flow: FlowKey, ips: Iterable[str]) -> list[str]:
    """Return agents in their order of preference for a flow.

    >>> flow = FlowKey(bytes(12))
    >>> order = by_preference(flow, ['10.1.0.4', '10.1.0.5', '10.1.0.6'])
    >>> by_preference(flow, reversed(order[:2])) == order[:2]
    True
    """
    seed = xxh3_64_intdigest(flow)
    return sorted(ips, key=lambda ip: xxh3_64_intdigest(ip.encode(), seed))
