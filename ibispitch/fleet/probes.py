"""Probes of the hosts of silent agents.

A silent agent says nothing of its upstream: it may be suspended, or start late
on a busy host. Balancers therefore probe its host. A host that answers, even
by refusing the connection, runs, and its upstream may hold its flows until
their idle time-out. Only if the host does not answer either, they count as
lost earlier.
"""

from collections.abc import Mapping
import math

#: Interval of the probes of a silent host.
PROBE_INTERVAL_S = 0.7
#: Successive probes without an answer after which a host counts as
#: unreachable: one may be lost.
MIN_UNANSWERED_PROBES = 2
#: Maximum number of hosts that are probed at once.
MAX_PROBED_AT_ONCE = 16


class HostProbes:
    """Probes of a host whose agent is silent."""

    __slots__ = ('probed_at', 'unanswered')

    def __init__(self):
        self.probed_at = -math.inf
        #: Successive probes without an answer.
        self.unanswered = 0

    @property
    def is_unreachable(self) -> bool:
        """Whether the host has answered none of the last probes."""
        return self.unanswered >= MIN_UNANSWERED_PROBES

    def record(self, is_answered: bool) -> bool:
        """Record the result of a probe.

        :returns: whether the host became unreachable or reachable.
        """
        was_unreachable = self.is_unreachable
        self.unanswered = 0 if is_answered else self.unanswered + 1
        return self.is_unreachable is not was_unreachable


class UnheardAgent:
    """An agent that is listed but has sent no status."""

    __slots__ = ('is_stored', 'probes', 'since')

    def __init__(self, now: float):
        #: Time of the first mention.
        self.since = now
        #: Whether the store lists it, so that it has run before.
        self.is_stored = False
        self.probes = HostProbes()


def take_due(probes_by_ip: Mapping[str, HostProbes], now: float) -> list[str]:
    """Return the hosts to probe now, and mark them as probed.

    Each is returned once in :data:`PROBE_INTERVAL_S`, those that have waited
    longest first.
    """
    due = [
        ip
        for ip, probes in probes_by_ip.items()
        if now - probes.probed_at >= PROBE_INTERVAL_S
    ]
    due.sort(key=lambda ip: probes_by_ip[ip].probed_at)
    due = due[:MAX_PROBED_AT_ONCE]
    for ip in due:
        probes_by_ip[ip].probed_at = now
    return due
