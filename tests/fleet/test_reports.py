"""Reports on the processes of a data centre for the other data centres."""

import os
import zlib

import pytest

from ibispitch.fleet.core import Fleet
from ibispitch.fleet.core import FORGET_AFTER_S
from ibispitch.fleet.core import LOST_S
from ibispitch.fleet.core import SUSPECT_INTERVALS
from ibispitch.fleet.messages import AgentState
from ibispitch.fleet.messages import encode_message
from ibispitch.fleet.messages import MAX_ENTRIES_BYTES
from ibispitch.fleet.messages import unpack_entries
from ibispitch.fleet.messages import unpack_ips
from ibispitch.fleet.probes import MIN_UNANSWERED_PROBES
from ibispitch.fleet.reports import MAX_ENTRIES
from ibispitch.fleet.reports import MAX_PROCESSES_IN_TURN
from ibispitch.fleet.reports import Reporter
from ibispitch.fleet.reports import START_S
from ibispitch.fleet.rounds import FAR_ROUNDS
from ibispitch.fleet.rounds import STATUS_INTERVAL_S
from tests.fleet.test_fleet import agent
from tests.fleet.test_fleet import balancer

OWN_IP = '10.1.0.1'
#: Largest payload of a datagram that isn't fragmented on common networks.
MAX_PAYLOAD_BYTES = 1472


class DataCentre:
    """The fleet as a balancer in accra knows it.

    :param far: balancers in kumasi.
    """

    def __init__(self, balancers=3, agents=4, far=3, link_mbps=100.0):
        self.fleet = Fleet(OWN_IP)
        self.near_ips = [f'10.1.0.{n + 2}' for n in range(balancers - 1)]
        self.agent_ips = [
            f'10.1.{1 + n // 250}.{n % 250 + 1}' for n in range(agents)
        ]
        self.far_ips = [f'10.2.0.{n + 1}' for n in range(far)]
        self.number = 0
        self.reporter = Reporter(
            self.fleet, OWN_IP, 'accra', link_mbps, -START_S
        )

    def hear_all(self, now, silent=(), **changes):
        self.number += 1
        for ip in self.near_ips:
            if ip not in silent:
                status = balancer(self.number, passes_on=True, **changes)
                self.fleet.record_balancer_status(ip, status, now)
        for ip in self.far_ips:
            status = balancer(
                self.number, datacentre='kumasi', passes_on=True,
                interval_s=1.6, **changes
            )  # fmt: skip
            self.fleet.record_balancer_status(ip, status, now)
        for ip in self.agent_ips:
            if ip not in silent:
                self.fleet.record_agent_status(ip, agent(self.number), now)

    def report(self, now):
        own = balancer(self.number, passes_on=True)
        return self.reporter.next(own, now)


def addresses(report):
    return {unpack_ips(e.ip)[0] for e in unpack_entries(report.entries)}


def receive(fleet, report, now):
    """Record a report as a balancer of another data centre does."""
    fleet.record_report(report.datacentre, unpack_ips(report.silent), now)
    for entry in unpack_entries(report.entries):
        (ip,) = unpack_ips(entry.ip)
        if hasattr(entry.status, 'service'):
            fleet.record_agent_status(
                ip, entry.status, now - entry.age_ms / 1000, True
            )


def test_one_report_has_all_processes_of_the_data_centre():
    """Guards against processes that other data centres don't learn of."""
    centre = DataCentre()
    centre.hear_all(1.0)
    ((ip, report),) = centre.report(1.0)
    # The first balancer of kumasi reports itself and is spared.
    assert ip in centre.far_ips[1:]
    assert addresses(report) == {OWN_IP, *centre.near_ips, *centre.agent_ips}
    # Its own interval passes before the next status gets into a report.
    assert {e.status.interval_s for e in unpack_entries(report.entries)} == {
        STATUS_INTERVAL_S + FAR_ROUNDS * STATUS_INTERVAL_S
    }
    assert [centre.report(1.4), centre.report(1.8)] == [[], []]
    assert len(centre.report(2.2)) == 1


def test_changed_state_is_in_the_next_round():
    """Guards against other data centres that learn late of a new upstream."""
    centre = DataCentre()
    changed = centre.agent_ips[1]
    centre.hear_all(0.0)
    centre.report(0.0)
    centre.hear_all(0.4)
    status = agent(3, incarnation=2000, state=AgentState.DRAINING)
    centre.fleet.record_agent_status(changed, status, 0.4)
    ((_, report),) = centre.report(0.4)
    assert addresses(report) == {changed}
    assert centre.report(0.8) == []


def test_new_balancer_gets_what_is_known_elsewhere():
    """Guards against a question to each process of all data centres.

    Restarts of balancers cost most of the control traffic between data
    centres on a day with 30 of them (osa-returns-now-grown, scale-1).
    """
    centre = DataCentre()
    centre.hear_all(0.0)
    centre.fleet.record_report('kumasi', (), 0.0)
    for number in range(60):
        status = agent(1, datacentre='kumasi', interval_s=1.6)
        centre.fleet.record_agent_status(f'10.2.1.{number}', status, 0.0, True)
    (report,) = centre.reporter.known_reports(0.5)
    assert not report.is_to_pass_on
    assert report.datacentre == 'kumasi'
    entries = unpack_entries(report.entries)
    assert len(entries) == MAX_ENTRIES
    assert {e.age_ms for e in entries} == {500}
    assert {e.status.interval_s for e in entries} == {1.6}


def test_starting_reporter_reports_in_each_round():
    """Guards against data centres that meet late when all processes start."""
    centre = DataCentre()
    centre.reporter = Reporter(centre.fleet, OWN_IP, 'accra', 100.0, 0.0)
    for n in range(4):
        centre.hear_all(n * 0.1)
        assert len(centre.report(n * 0.1)) == 1


def test_receivers_take_turns():
    """Guards against reports that are all sent to a balancer that is gone."""
    centre = DataCentre(far=4)
    centre.hear_all(0.0)
    receivers = [
        report.ip for n in range(9) for report in centre.report(n * 0.4)
    ]
    assert sorted(receivers) == centre.far_ips[1:]


def test_next_balancer_takes_over():
    """Guards against a data centre without reports after a failure."""
    centre = DataCentre(link_mbps=10.0)
    centre.hear_all(0.0)
    assert centre.report(0.0) == []
    # The two with faster links are silent.
    centre.hear_all(0.4, silent=centre.near_ips)
    assert centre.report(0.9) == []
    took_over_at = SUSPECT_INTERVALS * STATUS_INTERVAL_S
    assert len(centre.report(took_over_at)) == 1


def test_balancers_without_reports_take_no_part():
    """Guards against reports by or to processes of the version before."""
    centre = DataCentre(link_mbps=10.0)
    centre.hear_all(0.0)
    for ip in (*centre.near_ips, *centre.far_ips[:-1]):
        far = ip in centre.far_ips
        former = balancer(9, datacentre='kumasi' if far else 'accra')
        centre.fleet.record_balancer_status(ip, former, 0.0)
    assert [report.ip for report in centre.report(0.0)] == [centre.far_ips[2]]


def test_reports_of_a_large_fleet_take_turns():
    """Guards against reports that grow with the fleet.

    At 300 hosts a balancer would get 8 KB/s.
    """
    centre = DataCentre(balancers=93, agents=930)
    centre.hear_all(0.0, age_s=0.123456789)
    turns = -(-(92 + 930 + 3) // MAX_PROCESSES_IN_TURN)
    reports = []
    for n in range(FAR_ROUNDS * turns):
        centre.hear_all(n * 0.4, age_s=0.123456789)
        reports += [sent.report for sent in centre.report(n * 0.4)]
    assert set().union(*map(addresses, reports)) == {
        OWN_IP, *centre.near_ips, *centre.agent_ips
    }  # fmt: skip
    assert max(len(encode_message(r)) for r in reports) <= MAX_PAYLOAD_BYTES
    by_turn = len(reports) / turns
    assert by_turn * max(len(addresses(r)) for r in reports) <= (
        1.5 * MAX_PROCESSES_IN_TURN
    )


@pytest.fixture
def far_fleet():
    """Return the fleet as a balancer in kumasi knows it."""
    return Fleet('10.2.0.1')


def test_silent_agent_is_known_in_other_data_centres(far_fleet):
    """Guards against a loss that a large fleet notices after minutes.

    A status of an agent comes only every 30 s there.
    """
    centre = DataCentre()
    gone = centre.agent_ips[0]
    centre.hear_all(0.0)
    ((_, report),) = centre.report(0.0)
    receive(far_fleet, report, 0.0)
    for ip in centre.agent_ips:
        slow = agent(2, interval_s=30.0)
        far_fleet.record_agent_status(ip, slow, 0.0, is_reported=True)
    view = far_fleet.agents_by_ip[gone]
    # Without reports for 3 s, all agents of the data centre are suspect.
    assert not far_fleet.has_recent_status(view, 3.1)
    for n in range(1, 25):
        centre.hear_all(n * 0.4, silent=[gone])
        for _, report in centre.report(n * 0.4):
            far_fleet.record_report(
                'accra', unpack_ips(report.silent), n * 0.4
            )
    assert view.silent_since == pytest.approx(1.2)
    assert not far_fleet.has_recent_status(view, 9.7)
    others = [far_fleet.agents_by_ip[ip] for ip in centre.agent_ips[1:]]
    assert all(far_fleet.has_recent_status(other, 9.7) for other in others)
    for _ in range(MIN_UNANSWERED_PROBES):
        far_fleet.record_probe(gone, is_answered=False)
    assert not far_fleet.find_loss(gone, 1000, 1.2 + LOST_S - 0.1)
    assert far_fleet.find_loss(gone, 1000, 1.2 + LOST_S + 0.1)
    far_fleet.record_agent_status(gone, agent(9, interval_s=30.0), 9.8)
    assert far_fleet.has_recent_status(view, 9.8)
    assert not far_fleet.find_loss(gone, 1000, 9.8)


def test_restarting_agent_is_not_lost_early(far_fleet):
    """Guards against resets of flows during a planned restart."""
    status = agent(1, state=AgentState.RESTARTING)
    far_fleet.record_agent_status('10.1.1.1', status, 0.0, is_reported=True)
    for number in (2, 3):
        far_fleet.record_agent_status(f'10.1.1.{number}', agent(9), 7.0)
    far_fleet.record_report('accra', ['10.1.1.1'], 1.5)
    assert not far_fleet.find_loss('10.1.1.1', 1000, 7.0)


def test_agent_that_answers_here_is_not_silent(far_fleet):
    """Guards against an agent that only its own data centre can't reach."""
    far_fleet.record_agent_status('10.1.1.1', agent(1), 5.0)
    far_fleet.record_report('accra', ['10.1.1.1'], 5.1)
    view = far_fleet.agents_by_ip['10.1.1.1']
    assert far_fleet.has_recent_status(view, 5.2)


def test_direct_status_lasts_until_the_next_report(far_fleet):
    """Guards against agents that are suspect after a change of their load.

    The change is sent directly, and announces an early next status.
    """
    reported = agent(1, interval_s=12.0)
    far_fleet.record_report('accra', (), 0.0)
    far_fleet.record_agent_status('10.1.1.1', reported, 0.0, is_reported=True)
    far_fleet.record_agent_status('10.1.1.1', agent(2, interval_s=1.2), 1.0)
    view = far_fleet.agents_by_ip['10.1.1.1']
    assert far_fleet.has_recent_status(view, 12.0)


def test_forgotten_agent_does_not_return_with_the_reports(far_fleet):
    """Guards against flows to an agent that was lost during a cut.

    Its own data centre has forgotten it when the cut ends, and names it no
    more.
    """
    far_fleet.record_report('accra', (), 0.0)
    for number in (1, 2, 3):
        status = agent(1, interval_s=60.0)
        far_fleet.record_agent_status(
            f'10.1.1.{number}', status, 0.0, is_reported=True
        )
    back_at = FORGET_AFTER_S + 1.0
    far_fleet.record_report('accra', (), back_at)
    view = far_fleet.agents_by_ip['10.1.1.1']
    assert not far_fleet.has_recent_status(view, back_at + 0.1)


def test_thawed_reporter_names_no_agent_as_silent():
    """Guards against a data centre that seems lost after a short freeze."""
    centre = DataCentre()
    centre.hear_all(0.0)
    for _, report in centre.report(5.0):
        assert report.silent == b''


@pytest.mark.parametrize(
    'data',
    [
        b'',
        os.urandom(40),
        zlib.compress(b'\x91\x92\x01\x02'),
        zlib.compress(bytes(100 * MAX_ENTRIES_BYTES)),
    ],
)
def test_unreadable_entries_are_refused(data):
    """Guards against a crash or a full memory by a damaged report."""
    with pytest.raises(ValueError):
        unpack_entries(data)
