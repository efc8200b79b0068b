"""Reports on the processes of a data centre for the other data centres.

Load pattern: hundreds of hosts without load. If each sends its status to
balancers of other data centres, most of the traffic between data centres is
control traffic, at a price, and grows with the product of hosts and balancers.

One balancer of each data centre therefore reports for all of its processes.
It sends the report to one balancer of each other data centre, which passes it
on to the balancers there. The reporter is the balancer with the fastest link
that responds; if it fails, the next one takes over after
:data:`~ibispitch.fleet.core.SUSPECT_INTERVALS` status intervals. A process
that gets no reports asks the agents directly, as it does when statuses are
late.

Between two reports a process whose state has changed is reported with the
next round of status messages. A balancer that starts gets from those near it
what they know of the other data centres, instead of asking each process there.

In a fleet of more than :data:`MAX_PROCESSES_IN_TURN` processes a report has a
part of them, in rotation. Each report names the agents that are silent, so
that their loss is known as soon as in a small fleet.
"""

from collections import defaultdict
import math
import socket
from typing import NamedTuple

from msgspec.structs import replace

from ibispitch.fleet.core import AgentView
from ibispitch.fleet.core import BalancerView
from ibispitch.fleet.core import Fleet
from ibispitch.fleet.messages import AgentState
from ibispitch.fleet.messages import BalancerStatus
from ibispitch.fleet.messages import DatacentreReport
from ibispitch.fleet.messages import pack_entries
from ibispitch.fleet.messages import pack_ips
from ibispitch.fleet.messages import ReportEntry
from ibispitch.fleet.messages import Status
from ibispitch.fleet.rounds import FAR_ROUNDS
from ibispitch.fleet.rounds import STATUS_INTERVAL_S
from ibispitch.ids import DatacentreName

#: Number of processes of the fleet up to which each report has all processes
#: of its data centre. A status takes 25 bytes of a report, so that a balancer
#: gets at most 4 KB/s.
MAX_PROCESSES_IN_TURN = 192
#: Maximum number of entries of a datagram, for at most 1,200 bytes.
MAX_ENTRIES = 40
#: Maximum number of silent agents that a report names.
MAX_SILENT = 64
#: Time after its start in which a balancer reports in each round of status
#: messages. All processes of a data centre may start together.
START_S = 3.0


class AddressedReport(NamedTuple):
    """A report and the balancer that gets it."""

    ip: str
    report: DatacentreReport


class Reporter:
    """Makes the reports of a balancer on its data centre.

    :param fleet: the processes that the balancer knows.
    :param ip: IP address of the balancer.
    :param datacentre: its data centre.
    :param link_mbps: capacity of its link in Mbit/s.
    :param now: start time of the balancer, in seconds.
    """

    def __init__(
        self,
        fleet: Fleet,
        ip: str,
        datacentre: DatacentreName,
        link_mbps: float,
        now: float,
    ):
        self._fleet = fleet
        self._ip = ip
        self._datacentre = datacentre
        self._link_mbps = link_mbps
        self._started_at = now
        self._rounds_left = 0
        self._count = 0
        self._reported_by_ip: dict[str, _State | None] = {}

    def is_chosen(self, now: float) -> bool:
        """Return whether this balancer reports for its data centre."""
        near = self._fleet.near_balancers(self._datacentre, now)
        others = [_rank(view) for view in near]
        return not others or (-self._link_mbps, self._ip) < min(others)

    def next(self, own: BalancerStatus, now: float) -> list[AddressedReport]:
        """Return the reports of this round of status messages.

        :param own: status of this balancer.
        :param now: time in seconds.
        """
        if not self.is_chosen(now):
            self._rounds_left = 0
            self._reported_by_ip.clear()
            return []
        is_full = self._is_full_due(now)
        self._count += is_full
        receivers = self._receivers(now)
        entries = self._entries(own, is_full, now)
        if not receivers or not entries:
            return []
        silent = self._silent(now, self._datacentre)
        return [
            AddressedReport(
                ip, DatacentreReport(self._datacentre, True, silent, packed)
            )
            for packed in _pack(entries)
            for ip in receivers
        ]

    def _is_full_due(self, now: float) -> bool:
        if now - self._started_at < START_S:
            self._rounds_left = 0
            return True
        if self._rounds_left:
            self._rounds_left -= 1
            return False
        self._rounds_left = FAR_ROUNDS - 1
        return True

    def known_reports(self, now: float) -> list[DatacentreReport]:
        """Return what is known of other data centres, for a near balancer.

        It has at most :data:`MAX_ENTRIES` processes of each data centre.
        """
        views_by_datacentre: dict[
            DatacentreName, list[AgentView | BalancerView]
        ] = defaultdict(list)
        for view in (
            *self._fleet.heard_balancers(now),
            *self._fleet.agents_by_ip.values(),
        ):
            datacentre = view.status.datacentre
            if (
                datacentre != self._datacentre
                and self._fleet.has_recent_status(view, now)
                and len(views_by_datacentre[datacentre]) < MAX_ENTRIES
            ):
                views_by_datacentre[datacentre].append(view)
        return [
            DatacentreReport(
                datacentre,
                False,
                self._silent(now, datacentre),
                pack_entries(
                    _entry(view.ip, view.status, 0.0, now - view.heard_at)
                    for view in views
                ),
            )
            for datacentre, views in views_by_datacentre.items()
        ]

    def _near_balancers(self, now: float) -> list[BalancerView]:
        return [
            view
            for view in self._fleet.heard_balancers(now)
            if view.status.datacentre == self._datacentre
        ]

    def _agents_of(self, datacentre: DatacentreName) -> list[AgentView]:
        return [
            view
            for view in self._fleet.agents_by_ip.values()
            if view.status.datacentre == datacentre
        ]

    def _receivers(self, now: float) -> list[str]:
        """Return a balancer of each other data centre, in rotation.

        Those with a recent status go first, since a lost report is late by a
        whole interval. The reporter of the data centre is left out if there
        are others: its own reports are enough traffic for one host.
        """
        views_by_datacentre: dict[DatacentreName, list[BalancerView]] = (
            defaultdict(list)
        )
        for view in self._fleet.balancers_by_ip.values():
            status = view.status
            if (
                status is not None
                and status.passes_on
                and status.datacentre != self._datacentre
            ):
                views_by_datacentre[status.datacentre].append(view)
        receivers = []
        for views in views_by_datacentre.values():
            recent = [
                view
                for view in views
                if self._fleet.has_recent_status(view, now)
            ]
            ips = [view.ip for view in sorted(recent or views, key=_rank)]
            ips = ips[1:] or ips
            receivers.append(ips[self._count % len(ips)])
        return receivers

    def _entries(
        self, own: BalancerStatus, is_full: bool, now: float
    ) -> list[ReportEntry]:
        """Return the entries of a report.

        :param is_full: whether a report is due. Otherwise it has the
            processes whose state has changed since they were reported.
        """
        known = len(self._fleet.agents_by_ip) + len(
            self._fleet.balancers_by_ip
        )
        turns = max(1, math.ceil(known / MAX_PROCESSES_IN_TURN))
        interval_s = turns * FAR_ROUNDS * STATUS_INTERVAL_S
        views = [
            view
            for view in (
                *self._near_balancers(now),
                *self._agents_of(self._datacentre),
            )
            if self._fleet.has_recent_status(view, now)
        ]
        views.sort(key=lambda view: view.ip)
        in_turn = views[self._count % turns :: turns] if is_full else []
        due = {view.ip: view for view in (*in_turn, *self._changed(views))}
        entries = [
            _entry(view.ip, view.status, interval_s, now - view.heard_at)
            for view in due.values()
        ]
        if is_full:
            entries.append(_entry(self._ip, own, interval_s, age_s=0.0))
        return entries

    def _changed(
        self, views: list[AgentView | BalancerView]
    ) -> list[AgentView | BalancerView]:
        """Return processes whose state has changed since it was reported.

        A balancer that has just become the reporter knows no earlier states;
        the next reports have all processes.
        """
        state_by_ip = {view.ip: _state_of(view.status) for view in views}
        former = self._reported_by_ip or state_by_ip
        changed = [
            view
            for view in views
            if state_by_ip[view.ip] != former.get(view.ip)
        ]
        for view in changed[MAX_ENTRIES:]:
            state_by_ip[view.ip] = former.get(view.ip)
        self._reported_by_ip = state_by_ip
        return changed[:MAX_ENTRIES]

    def _silent(self, now: float, datacentre: DatacentreName) -> bytes:
        """Return the agents without a recent status, packed.

        A process that was frozen knows no recent status of any agent. It
        names none until it has those of most agents again.
        """
        agents = self._agents_of(datacentre)
        silent = [
            view
            for view in agents
            if not self._fleet.has_recent_status(view, now)
        ]
        if 2 * len(silent) > len(agents):
            return b''
        silent.sort(key=lambda view: view.heard_at, reverse=True)
        return pack_ips(view.ip for view in silent[:MAX_SILENT])


class _State(NamedTuple):
    """What others should know of a process at once when it changes.

    :param incarnation: the upstream of an agent, 0 for a balancer.
    :param state: the state of this upstream.
    """

    started_ms: int
    incarnation: int = 0
    state: AgentState | None = None


def _state_of(status: Status) -> _State:
    if isinstance(status, BalancerStatus):
        return _State(status.started_ms)
    return _State(status.started_ms, status.incarnation, status.state)


def _pack(entries: list[ReportEntry]) -> list[bytes]:
    """Return entries in compressed parts that fit into a datagram each."""
    return [
        pack_entries(entries[start : start + MAX_ENTRIES])
        for start in range(0, len(entries), MAX_ENTRIES)
    ]


def _rank(view: BalancerView) -> tuple[float, str]:
    """Return the order in which balancers report, the first choice first."""
    return -view.status.link_mbps, view.ip


def _entry(
    ip: str, status: Status, interval_s: float, age_s: float
) -> ReportEntry:
    """Return the entry of a process in reports with an interval.

    The next report may have to wait for its next status, so that both
    intervals count.
    """
    changed = replace(
        status, interval_s=status.interval_s + interval_s, wants_answer=False
    )
    if isinstance(changed, BalancerStatus):
        changed = replace(changed, balancers=b'', agents=b'')
    age_ms = max(0, round(1000 * age_s))
    return ReportEntry(socket.inet_aton(ip), age_ms, changed)
