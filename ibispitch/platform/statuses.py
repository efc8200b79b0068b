"""Status messages and reports of a balancer on this platform."""

from collections.abc import Callable
from collections.abc import Iterable
from itertools import islice
import random
import socket

from msgspec.structs import replace

from ibispitch.fleet.messages import AgentStatus
from ibispitch.fleet.messages import BalancerStatus
from ibispitch.fleet.messages import DatacentreReport
from ibispitch.fleet.messages import MAX_LISTED_PROCESSES
from ibispitch.fleet.messages import pack_ips
from ibispitch.fleet.messages import Status
from ibispitch.fleet.messages import unpack_entries
from ibispitch.fleet.messages import unpack_ips
from ibispitch.fleet.reports import Reporter
from ibispitch.fleet.rounds import STATUS_INTERVAL_S
from ibispitch.platform.node import Node
from ibispitch.rotation.core import BalancerLink

#: Number of balancers that get a full status in a round while processes start
#: or are silent. A full status lists the addresses of the known processes;
#: the others get a status without them. Each balancer gets about two full
#: ones in a round, and the addresses in them are valid for 3 s.
FULL_STATUSES_PER_ROUND = 2
#: Otherwise one balancer gets a full status in every third round.
FULL_STATUS_ROUNDS = 3
#: While nothing changes, one in sixteen answers to known processes is a full
#: status.
FULL_STATUS_ANSWERS = 16
#: Maximum number of full statuses that a balancer sends between two rounds to
#: new processes and in answers. Each is up to 1 kB, and at the start of a
#: large fleet all processes are new to each other.
MAX_FULL_STATUSES = 24


class BalancerStatuses:
    """Sends the status of a balancer, and records those of others.

    :param node: the process.
    :param knows_fleet: returns whether the balancer has run long enough at a
        time to know all agents.
    :param on_agent_status: called before the status of an agent is recorded.
    :param rng: chooses the processes that are listed.
    """

    def __init__(
        self,
        node: Node,
        knows_fleet: Callable[[float], bool],
        on_agent_status: Callable[[str, AgentStatus], None],
        rng: random.Random,
    ):
        self._node = node
        self._knows_fleet = knows_fleet
        self._on_agent_status = on_agent_status
        self._random = rng
        self._answer_count = 0
        self._round_count = 0
        self._full_statuses_left = MAX_FULL_STATUSES
        #: Whether the process is about to exit. Before that other processes
        #: still send messages to it.
        self.is_leaving = False
        self.reporter = Reporter(
            node.fleet, node.settings.ip, node.settings.datacentre,
            node.settings.link_mbps, node.clock(),
        )  # fmt: skip

    def receive_report(self, ip: str, report: DatacentreReport) -> None:
        """Record a report of another data centre, and pass it on if asked."""
        node = self._node
        now = node.clock()
        try:
            entries = unpack_entries(report.entries)
        except ValueError as error:
            node.log.change('peer.unreadable', now, peer=ip, error=str(error))
            return
        if report.is_to_pass_on:
            near = node.fleet.near_balancers(node.settings.datacentre, now)
            node.send(
                replace(report, is_to_pass_on=False),
                [view.ip for view in near],
            )
        node.fleet.record_report(
            report.datacentre, unpack_ips(report.silent), now
        )
        for entry in entries:
            age_s = entry.age_ms / 1000
            status = entry.status
            if isinstance(status, BalancerStatus):
                status = replace(status, age_s=status.age_s + age_s)
            self._record_status(
                socket.inet_ntoa(entry.ip), status, now - age_s, True
            )

    def receive(self, ip: str, status: Status) -> None:
        """Record the status of a process, and answer it if asked."""
        node = self._node
        now = node.clock()
        is_new = self._record_status(ip, status, now)
        if status.wants_answer:
            self._answer_count += 1
            is_turn = self._answer_count % FULL_STATUS_ANSWERS == 0
            is_due = is_new or node.fleet.is_changing(now)
            lists_fleet = is_turn or (is_due and self._full_statuses_left > 0)
            self._full_statuses_left -= lists_fleet
            self._send_status([ip], lists_fleet=lists_fleet)

    def _record_status(
        self, ip: str, status: Status, now: float, is_reported: bool = False
    ) -> bool:
        """Record the status of a process and contact those that it names.

        :param now: time of the status.
        :param is_reported: whether it came in a report of its data centre.
        :returns: whether the process is new or has restarted.
        """
        node = self._node
        if ip == node.settings.ip:
            return False
        if isinstance(status, AgentStatus):
            self._on_agent_status(ip, status)
            former = node.fleet.record_agent_status(
                ip, status, now, is_reported
            )
            is_new = former is None or former.started_ms != status.started_ms
            if former is None or former.state is not status.state:
                node.log.change(
                    'fleet.agent', now, agent=ip, state=status.state.name,
                    service=status.service, incarnation=status.incarnation,
                )  # fmt: skip
        else:
            is_new = node.fleet.record_balancer_status(ip, status, now)
            if is_new:
                node.log.change('fleet.balancer', now, balancer=ip)
                # Its answer lists the processes that it knows. A few lists
                # are enough, and hundreds of balancers may start together.
                is_near = not node.fleet.is_far(ip, node.settings.datacentre)
                lists_fleet = is_near and self._full_statuses_left > 0
                self._full_statuses_left -= lists_fleet
                if lists_fleet:
                    # Before the list, so that it need not ask these agents.
                    for report in self.reporter.known_reports(now):
                        node.send(report, [ip])
                self._send_status(
                    [ip], wants_answer=True, lists_fleet=lists_fleet
                )
            self._send_status(
                node.fleet.unknown_agents(unpack_ips(status.agents), now),
                wants_answer=True, lists_fleet=False,
            )  # fmt: skip
            self.contact_added()
            node.exchange.check_position(ip, status)
        return is_new

    def _make_status(
        self, wants_answer: bool, rounds: int, lists_fleet: bool
    ) -> BalancerStatus:
        node = self._node
        now = node.clock()
        knows_fleet = self._knows_fleet(now)
        agents = (
            node.fleet.listed_agents(now, knows_fleet) if lists_fleet else ()
        )
        return BalancerStatus(
            datacentre=node.settings.datacentre,
            started_ms=node.started_ms,
            number=node.next_message_number(),
            revision=node.routes.position.revision,
            age_s=min(1e6, node.routes.age_s(now)),
            link_mbps=node.settings.link_mbps,
            is_leaving=self.is_leaving,
            knows_fleet=knows_fleet,
            balancers=self._pack_sample(
                view.ip
                for view in node.fleet.heard_balancers(now)
                if lists_fleet
            ),
            agents=self._pack_sample(agents),
            interval_s=rounds * STATUS_INTERVAL_S,
            wants_answer=wants_answer,
            era=node.routes.position.era,
            version=node.routes.version,
            passes_on=True,
            agent_count=len(agents),
        )

    def _pack_sample(self, ips: Iterable[str]) -> bytes:
        ips = list(ips)
        if len(ips) > MAX_LISTED_PROCESSES:
            ips = self._random.sample(ips, MAX_LISTED_PROCESSES)
        return pack_ips(ips)

    def announce(self) -> None:
        """Send a status to near processes and to all balancers at once."""
        self._send_status(
            [*self._near_ips(), *self._far_balancers()], lists_fleet=False
        )

    def announce_near(self) -> None:
        """Send a status to the processes of this data centre at once."""
        self._send_status(self._near_ips(), lists_fleet=False)

    def contact_added(self) -> None:
        """Ask balancers for their status that were added by address."""
        self._send_status(
            self._node.fleet.take_added_balancers(), wants_answer=True,
            lists_fleet=False,
        )  # fmt: skip

    def _near_ips(self) -> list[str]:
        """Return the known processes of this data centre."""
        fleet = self._node.fleet
        datacentre = self._node.settings.datacentre
        return [
            ip
            for ip in (*fleet.balancers_by_ip, *fleet.agents_by_ip)
            if not fleet.is_far(ip, datacentre)
        ]

    def _far_balancers(self) -> list[str]:
        fleet = self._node.fleet
        _near, far = fleet.split_balancers(self._node.settings.datacentre)
        return far

    def send_round(self) -> None:
        """Send a round of status messages, and the reports that are due."""
        node = self._node
        receivers = node.begin_round()
        known = [*receivers.near, *receivers.far]
        self._round_count += 1
        self._full_statuses_left = MAX_FULL_STATUSES
        if node.fleet.is_changing(node.clock()):
            full_receivers = node.choose_to_ask(known, FULL_STATUSES_PER_ROUND)
        elif self._round_count % FULL_STATUS_ROUNDS == 0:
            full_receivers = node.choose_to_ask(known, 1)
        else:
            full_receivers = list(
                islice(node.fleet.balancers_without_status(), 1)
            )
        self._send_status(full_receivers, wants_answer=True)
        self._send_status(
            [ip for ip in known if ip not in full_receivers], lists_fleet=False
        )
        own = self._make_status(False, 1, lists_fleet=False)
        for ip, report in self.reporter.next(own, node.clock()):
            node.send(report, [ip])
        # An agent may have forgotten this balancer. An answer shows that
        # the agent is alive.
        silent = node.fleet.silent_agents(node.clock())
        self._send_status(silent, wants_answer=True, lists_fleet=False)

    def _send_status(
        self,
        ips: Iterable[str],
        wants_answer: bool = False,
        lists_fleet: bool = True,
    ) -> None:
        self._node.send_status(
            ips,
            lambda rounds: self._make_status(
                wants_answer, rounds, lists_fleet
            ),
        )

    def near_links(self) -> list[BalancerLink]:
        """Return the other balancers of this data centre that respond."""
        heard = self._node.fleet.heard_balancers(self._node.clock())
        return [
            BalancerLink(view.ip, view.status.link_mbps)
            for view in heard
            if view.status.datacentre == self._node.settings.datacentre
        ]
