"""List of balancers that outlives all processes of the fleet.

Load pattern: all processes restart within some tenths of a second while
callers wait. None knows another one, and the seeds in the settings may be the
last to start, or be gone. One balancer therefore keeps a list of addresses in
the store, and a process that gets no answer from its seeds reads it. The list
is only a hint: a wrong address costs a datagram.
"""

from collections import defaultdict
from collections.abc import Iterable
from itertools import chain
from typing import Any
from typing import NamedTuple

import msgspec

from ibispitch.decoding import decode_json
from ibispitch.ids import DatacentreName
from ibispitch.ids import is_ip

#: Time for which the balancers must differ from the list before it is
#: written again. Restarts end within this time, so that they cost no calls.
SETTLE_S = 8.0
#: Maximum number of listed balancers of a data centre. Any one of them leads
#: to the others.
MAX_PER_DATACENTRE = 16
#: Maximum number of balancers that are taken from a stored list.
MAX_STORED = 1024


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
    """Decides when the list is written again."""

    def __init__(self):
        self._stored: tuple[tuple[str, ...], int] | None = None
        self._differs_since: float | None = None

    def record_stored(self, listed: tuple[str, ...], era: int) -> None:
        """Record the list that the store has.

        :param era: era of the store; the list may be lost when it changes.
        """
        self._stored = listed, era
        self._differs_since = None

    def is_due(self, listed: tuple[str, ...], era: int, now: float) -> bool:
        """Return whether a list should be written.

        After a call that returns true the next one does so only after
        :data:`SETTLE_S`, so that a failing store is not called each time.
        """
        if not listed or self._stored == (listed, era):
            self._differs_since = None
            return False
        if self._differs_since is None:
            self._differs_since = now
        if now - self._differs_since < SETTLE_S:
            return False
        self._differs_since = now
        return True
