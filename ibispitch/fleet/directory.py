"""Lists of balancers and agents that outlive all processes of the fleet.

Load pattern: all processes restart within some tenths of a second while
callers wait. None knows another one, and the seeds in the settings may be the
last to start, or be gone. One balancer therefore keeps a list of addresses in
the store, and a process that gets no answer from its seeds reads it. The list
is only a hint: a wrong address costs a datagram.

The list of agents names the upstream of each. A balancer that starts while
nobody knows the fleet waits for these agents before it concludes that a flow
is lost.
"""

from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Mapping
import heapq
from itertools import chain
from itertools import islice
import math
from typing import Any
from typing import NamedTuple

import msgspec
from xxhash import xxh3_64_intdigest

from ibispitch.decoding import decode_json
from ibispitch.decoding import is_count
from ibispitch.ids import DatacentreName
from ibispitch.ids import is_ip

#: Time for which the balancers must differ from the list before it is
#: written again. Restarts end within this time, so that they cost no calls.
SETTLE_S = 8.0
#: The same if agents are listed whose upstream has ended. They may be gone for
#: good, and lost flows are kept for as long as a listed agent may be back.
ENDED_SETTLE_S = 2.0
#: Maximum number of listed balancers of a data centre. Any one of them leads
#: to the others.
MAX_PER_DATACENTRE = 16
#: Maximum number of balancers or agents that are taken from a stored list.
MAX_STORED = 1024
#: Maximum number of listed agents, 15 KB. More of them are a sample.
MAX_LISTED_AGENTS = 512


#: Sorted agents with the incarnation of their upstream.
ListedAgents = tuple[tuple[str, int], ...]


class KnownBalancer(NamedTuple):
    """A balancer that may be listed."""

    datacentre: DatacentreName
    ip: str


class _Document(msgspec.Struct):
    balancers: tuple[str, ...]


class _StoredDocument(msgspec.Struct):
    balancers: tuple[Any, ...]


def encode_directory(ips: tuple[str, ...]) -> bytes:
    """Return the JSON document that lists balancers.

    >>> encode_directory(('10.1.0.4',))
    b'{"balancers":["10.1.0.4"]}'
    """
    return msgspec.json.encode(_Document(ips))


def decode_directory(data: bytes) -> tuple[str, ...]:
    """Return the balancers that a document lists.

    Entries that are no IPv4 address are left out; the others hold.

    :raises ValueError: if it is not such a document or has only such entries.

    >>> decode_directory(b'{"balancers":["10.1.0.4", "10.1.0.4:99999", [[]]]}')
    ('10.1.0.4',)
    """
    listed = decode_json(data, _StoredDocument).balancers
    ips = tuple(entry for entry in listed[:MAX_STORED] if is_ip(entry))
    if listed and not ips:
        raise ValueError('none of the listed balancers is an IPv4 address')
    return ips


class _AgentDocument(msgspec.Struct):
    agents: dict[str, Any]


def encode_agents(agents: ListedAgents) -> bytes:
    """Return the JSON document that lists agents.

    >>> encode_agents((('10.1.1.4', 7),))
    b'{"agents":{"10.1.1.4":7}}'
    """
    return msgspec.json.encode(_AgentDocument(dict(agents)))


def decode_agents(data: bytes) -> dict[str, int]:
    """Return the agents that a document lists, and their upstreams.

    Entries that are no IPv4 address with an incarnation are left out.

    :raises ValueError: if it is not such a document or has only such entries.

    >>> decode_agents(b'{"agents":{"10.1.1.4":7,"10.1.1.5":"x","a":7}}')
    {'10.1.1.4': 7}
    """
    listed = decode_json(data, _AgentDocument).agents
    agents = {
        ip: incarnation
        for ip, incarnation in islice(listed.items(), MAX_STORED)
        if is_ip(ip) and is_count(incarnation)
    }
    if listed and not agents:
        raise ValueError('none of the listed agents has an IPv4 address')
    return agents


def choose_agents(incarnation_by_ip: Mapping[str, int]) -> ListedAgents:
    """Return the agents to list.

    Those of a large fleet are chosen by a hash of their address, so that they
    are of all data centres and remain the same.
    """
    chosen = heapq.nsmallest(
        MAX_LISTED_AGENTS,
        incarnation_by_ip,
        key=lambda ip: xxh3_64_intdigest(ip.encode()),
    )
    return tuple((ip, incarnation_by_ip[ip]) for ip in sorted(chosen))


def choose_listed(balancers: Iterable[KnownBalancer]) -> tuple[str, ...]:
    """Return the balancers to list, some of each data centre."""
    ips_by_datacentre: dict[DatacentreName, list[str]] = defaultdict(list)
    for balancer in sorted(balancers):
        ips_by_datacentre[balancer.datacentre].append(balancer.ip)
    return tuple(
        chain.from_iterable(
            ips[:MAX_PER_DATACENTRE] for ips in ips_by_datacentre.values()
        )
    )


class DirectoryWriter:
    """Decides when a list is written again.

    :ivar is_missing: whether the store has no list.
    """

    def __init__(self):
        self.is_missing = False
        self._stored: tuple[tuple, int] | None = None
        self._differs_since: float | None = None

    def record_missing(self) -> None:
        """Record that the store has no list; the first is due at once.

        All processes may be killed again before a list has settled, and a
        list of some agents is better than none.
        """
        self.is_missing = True
        self._differs_since = -math.inf

    def record_stored(self, listed: tuple, era: int) -> None:
        """Record the list that the store has.

        :param era: era of the store; the list may be lost when it changes.
        """
        self.is_missing = False
        self._stored = listed, era
        self._differs_since = None

    @property
    def stored(self) -> tuple:
        """The list that the store has, empty if it is not known."""
        return self._stored[0] if self._stored else ()

    def is_due(
        self, listed: tuple, era: int, now: float, settle_s: float = SETTLE_S
    ) -> bool:
        """Return whether a list should be written.

        After a call that returns true the next one does so only after the
        settling time, so that a failing store is not called each time.

        :param settle_s: time in seconds for which it must have differed.
        """
        if not listed:
            return False
        if self._stored == (listed, era):
            self._differs_since = None
            return False
        if self._differs_since is None:
            self._differs_since = now
        if now - self._differs_since < settle_s:
            return False
        self._differs_since = now
        return True
