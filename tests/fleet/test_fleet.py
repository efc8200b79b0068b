"""View of the fleet that a process builds from status messages."""

import pytest

from ibispitch.fleet.core import Fleet
from ibispitch.fleet.core import FORGET_AFTER_S
from ibispitch.fleet.core import Loss
from ibispitch.fleet.core import LOST_S
from ibispitch.fleet.core import MIN_RESTARTED_HOSTS
from ibispitch.fleet.core import RESTART_TIMEOUT_S
from ibispitch.fleet.core import SUSPECT_INTERVALS
from ibispitch.fleet.messages import AgentState
from ibispitch.fleet.messages import AgentStatus
from ibispitch.fleet.messages import BalancerStatus
from ibispitch.fleet.messages import decode_message
from ibispitch.fleet.messages import encode_message
from ibispitch.fleet.messages import pack_ips
from ibispitch.fleet.probes import MAX_PROBED_AT_ONCE
from ibispitch.fleet.probes import MIN_UNANSWERED_PROBES
from ibispitch.fleet.probes import PROBE_INTERVAL_S
from ibispitch.fleet.rounds import RoundSchedule


def agent(number=1, incarnation=1000, state=AgentState.READY, **changes):
    fields = {
        'datacentre': 'accra', 'service': 'counter', 'started_ms': 1,
        'number': number, 'incarnation': incarnation, 'state': state,
        'slots': 1, 'running': 0, 'work_s': 0.0, 'failing': 0.0,
        'long_flows': 0, 'cold_openings': None, 'cold_left_s': 0.0,
        'revision': 1, 'interval_s': 0.4, 'wants_answer': False,
    }  # fmt: skip
    return AgentStatus(**fields | changes)


def balancer(number=1, **changes):
    fields = {
        'datacentre': 'accra', 'started_ms': 1, 'number': number,
        'revision': 1, 'age_s': 0.0, 'link_mbps': 100.0, 'is_leaving': False,
        'knows_fleet': True, 'balancers': (), 'agents': (), 'interval_s': 0.4,
        'wants_answer': False,
    } | changes  # fmt: skip
    for names in ('balancers', 'agents'):
        fields[names] = pack_ips(fields[names])
    return BalancerStatus(**fields)


@pytest.fixture
def fleet():
    fleet = Fleet('10.0.0.1')
    for number in range(1, 6):
        fleet.record_agent_status(f'10.0.1.{number}', agent(), 0.0)
    return fleet


def record_unanswered_probes(fleet, ip='10.0.1.1'):
    for _ in range(MIN_UNANSWERED_PROBES):
        fleet.record_probe(ip, is_answered=False)


def record_other_agents(fleet, now):
    for number in range(2, 6):
        fleet.record_agent_status(
            f'10.0.1.{number}', agent(number=int(now * 9)), now
        )


def test_messages_survive_the_wire():
    """Guards against fields in a different order."""
    for message in (agent(), balancer(balancers=('10.0.0.9',))):
        assert decode_message(encode_message(message)) == message
    assert decode_message(b'\x93\x01') is None


def test_older_status_is_ignored(fleet):
    """Guards against an older status that arrives later."""
    fleet.record_agent_status(
        '10.0.1.1', agent(5, state=AgentState.DRAINING), 1.0
    )
    fleet.record_agent_status('10.0.1.1', agent(4), 1.1)
    view = fleet.agents_by_ip['10.0.1.1']
    assert view.status.state is AgentState.DRAINING


def test_address_with_another_service(fleet):
    """Guards against flows to an address that now serves something else."""
    fleet.record_agent_status('10.0.1.1', agent(9, service='intake'), 1.0)
    assert '10.0.1.1' not in {v.ip for v in fleet.agents_of('counter')}
    assert [v.ip for v in fleet.agents_of('intake')] == ['10.0.1.1']


def test_agent_with_another_upstream_is_asked(fleet):
    """Guards against resets of flows that the present upstream holds.

    A late heartbeat of a crashed upstream, or flows that a new one opened
    before its first heartbeat: only the agent knows whose flow it is, and it
    may be silent for a while.
    """
    fleet.record_agent_status('10.0.1.1', agent(2, incarnation=2000), 1.0)
    for incarnation in (1000, 2000):
        assert not fleet.find_loss('10.0.1.1', incarnation, 1.0)
    record_unanswered_probes(fleet)
    now = 1.0 + LOST_S - 0.1
    record_other_agents(fleet, now)
    assert not fleet.find_loss('10.0.1.1', 1000, now)
    now = 1.0 + LOST_S + 0.1
    record_other_agents(fleet, now)
    assert fleet.find_loss('10.0.1.1', 1000, now)


def test_flows_of_ended_upstream_are_lost(fleet):
    """Guards against callers that wait for an upstream that is gone."""
    ended = agent(3, incarnation=2000, state=AgentState.ENDED)
    fleet.record_agent_status('10.0.1.1', ended, 1.1)
    assert fleet.find_loss('10.0.1.1', 2000, 1.1)
    assert not fleet.find_loss('10.0.1.1', 1000, 1.1)


def test_flows_of_unknown_upstream_are_not_lost(fleet):
    """Guards against resets of flows that were found at a restarted agent.

    An agent that had just restarted reported a flow without the incarnation
    of its upstream. The flow was reset when the incarnation became known.
    """
    assert not fleet.find_loss('10.0.1.1', 0, 0.1)
    fleet.record_agent_status('10.0.1.1', agent(3, incarnation=0), 1.0)
    assert not fleet.find_loss('10.0.1.1', 1000, 1.0)


def test_silent_agent_is_lost_only_if_others_are_not(fleet):
    """Guards against resets by a balancer that is itself cut off."""
    now = LOST_S + 0.1
    record_unanswered_probes(fleet)
    assert not fleet.find_loss('10.0.1.1', 1000, now)
    record_other_agents(fleet, now)
    assert fleet.find_loss('10.0.1.1', 1000, now) is Loss.HOST_UNREACHABLE


def test_flows_outlive_a_silent_agent_whose_host_answers(fleet):
    """Guards against resets while an agent is suspended or starts late.

    Its upstream may discard the flows after their idle time-out.
    """
    fleet.idle_timeout_s = 15.0
    record_unanswered_probes(fleet)
    fleet.record_probe('10.0.1.1', is_answered=True)
    for now in (LOST_S + 0.1, RESTART_TIMEOUT_S + 0.1, 14.9):
        record_other_agents(fleet, now)
        assert fleet.find_loss('10.0.1.1', 1000, now) is None
        assert '10.0.1.1' in fleet.recent_agents(now)
        assert [v.ip for v in fleet.absent_agents(now)] == ['10.0.1.1']
    record_other_agents(fleet, 15.1)
    assert fleet.find_loss('10.0.1.1', 1000, 15.1) is Loss.AGENT_SILENT
    assert '10.0.1.1' not in fleet.recent_agents(15.1)


def test_suspension_of_this_process_is_no_silence(fleet):
    """Guards against resets after a balancer was suspended.

    The statuses wait in its socket, and those of most agents may be read
    before that of one.
    """
    fleet.idle_timeout_s = 15.0
    record_unanswered_probes(fleet)
    fleet.record_suspension(20.0)
    record_other_agents(fleet, 20.1)
    assert fleet.find_loss('10.0.1.1', 1000, 20.1) is None
    assert [v.ip for v in fleet.absent_agents(20.1)] == ['10.0.1.1']
    record_unanswered_probes(fleet)
    record_other_agents(fleet, 20.1 + LOST_S)
    assert fleet.find_loss('10.0.1.1', 1000, 20.1 + LOST_S)


def test_one_unanswered_probe_is_not_enough(fleet):
    """Guards against resets after one lost packet."""
    now = LOST_S + 0.1
    fleet.record_probe('10.0.1.1', is_answered=False)
    record_other_agents(fleet, now)
    assert fleet.find_loss('10.0.1.1', 1000, now) is None


def test_a_status_ends_the_unanswered_probes(fleet):
    """Guards against a loss that is remembered after the agent's return."""
    record_unanswered_probes(fleet)
    fleet.record_agent_status('10.0.1.1', agent(5), 5.0)
    record_other_agents(fleet, 9.0)
    assert fleet.find_loss('10.0.1.1', 1000, 9.0) is None


def test_only_silent_hosts_are_probed_and_at_intervals():
    """Guards against probes that grow with the fleet."""
    fleet = Fleet('10.0.0.1')
    ips = [f'10.0.1.{n}' for n in range(1, 2 * MAX_PROBED_AT_ONCE + 1)]
    for ip in ips:
        fleet.record_agent_status(ip, agent(), 0.0)
    ended = agent(2, state=AgentState.ENDED)
    fleet.record_agent_status(ips[0], ended, 0.0)
    assert fleet.hosts_to_probe(0.5) == []
    first = fleet.hosts_to_probe(1.0)
    second = fleet.hosts_to_probe(1.1)
    assert len(first) == MAX_PROBED_AT_ONCE
    assert sorted(first + second) == sorted(ips[1:])
    assert fleet.hosts_to_probe(1.2) == []
    assert fleet.hosts_to_probe(1.0 + PROBE_INTERVAL_S) == first


def test_restarting_agent_is_waited_for(fleet):
    """Guards against resets during a planned restart."""
    fleet.record_agent_status(
        '10.0.1.1', agent(2, state=AgentState.RESTARTING), 0.0
    )
    record_unanswered_probes(fleet)
    record_other_agents(fleet, LOST_S + 1.0)
    assert not fleet.find_loss('10.0.1.1', 1000, LOST_S + 1.0)
    record_other_agents(fleet, RESTART_TIMEOUT_S + 0.1)
    assert fleet.find_loss('10.0.1.1', 1000, RESTART_TIMEOUT_S + 0.1)


def test_agents_that_others_list_are_unheard(fleet):
    """Guards against resets of flows whose agent is not known yet.

    A new balancer may have got no status from the agent of a flow.
    """
    fleet.record_balancer_status(
        '10.0.0.2', balancer(agents=('10.0.1.9',)), 1.0
    )
    assert fleet.has_unheard_agents(1.5)
    fleet.record_agent_status('10.0.1.9', agent(), 1.6)
    assert not fleet.has_unheard_agents(1.7)


def test_leaving_balancer(fleet):
    """Guards against messages to balancers that have stopped."""
    fleet.record_balancer_status('10.0.0.2', balancer(), 1.0)
    fleet.record_balancer_status('10.0.0.2', balancer(2, is_leaving=True), 1.1)
    assert '10.0.0.2' not in fleet.balancers_by_ip


def test_agents_without_a_recent_status(fleet):
    """Guards against placing new flows for ever at agents that are gone."""
    view = fleet.agents_by_ip['10.0.1.1']
    assert fleet.has_recent_status(view, SUSPECT_INTERVALS * 0.4 - 0.01)
    assert not fleet.has_recent_status(view, SUSPECT_INTERVALS * 0.4 + 0.01)
    far = agent(2, interval_s=1.2)
    fleet.record_agent_status('10.0.1.1', far, 1.0)
    assert fleet.has_recent_status(view, 1.0 + SUSPECT_INTERVALS * 1.2 - 0.01)
    assert len(fleet.forget(1.0 + FORGET_AFTER_S + 0.1)) == 5
    assert list(fleet.agents_of('counter')) == []


def test_rounds_of_a_large_fleet_are_bounded():
    """Guards against status messages that grow with the fleet.

    With 83 hosts in three data centres, status messages were half of the
    traffic between data centres.
    """
    rounds = RoundSchedule()
    near = [f'10.0.{n // 250}.{n % 250}' for n in range(93)]
    far = [f'10.1.{n // 250}.{n % 250}' for n in range(1300)]
    first = rounds.next(near, far)
    sent = [first, *(rounds.next(near, far) for _ in range(500))]
    assert max(len(one.near) + len(one.far) for one in sent) <= 23
    # All get a status within the rounds that the status announces.
    assert set().union(*(o.far for o in sent[: rounds.far_rounds])) == set(far)
    heard = set().union(*(o.near for o in sent[: rounds.near_rounds]))
    assert heard == set(near)
    quiet = [one for one in sent[: rounds.far_rounds] if not one.far]
    assert 3 * len(quiet) == 2 * rounds.far_rounds


def test_agents_of_a_large_fleet_are_not_lost_between_rounds():
    """Guards against flows that count as lost if status intervals are long."""
    fleet = Fleet('10.0.0.1')
    for number in range(1, 6):
        fleet.record_agent_status(
            f'10.0.1.{number}', agent(interval_s=30.0), 0.0
        )
    for number in range(2, 6):
        fleet.record_agent_status(
            f'10.0.1.{number}', agent(number=2, interval_s=30.0), 80.0
        )
    assert fleet.forget(80.0) == []
    assert not fleet.find_loss('10.0.1.1', 1000, 80.0)
    assert fleet.find_loss('10.0.1.1', 1000, 91.0)


def test_mentioned_balancers_are_not_forgotten(fleet):
    """Guards against agents that forget a balancer without messages to them.

    Also guards against balancers that are never forgotten.
    """
    fleet.record_balancer_status(
        '10.0.0.2', balancer(balancers=('10.0.0.3',)), 1.0
    )
    late = 1.0 + FORGET_AFTER_S
    fleet.record_balancer_status(
        '10.0.0.2', balancer(2, balancers=('10.0.0.3',)), late
    )
    fleet.forget(late + 1.0)
    assert '10.0.0.3' in fleet.balancers_by_ip
    fleet.forget(late + FORGET_AFTER_S + 1.0)
    assert '10.0.0.3' not in fleet.balancers_by_ip


def test_upstream_turns_warm_between_two_statuses(fleet):
    """Guards against waiting for a status after the end of the cold time.

    Status messages of another data centre come in intervals of a second.
    """
    cold = agent(number=9, cold_openings=0, cold_left_s=0.5)
    fleet.record_agent_status('10.0.1.1', cold, 1.0)
    view = fleet.agents_by_ip['10.0.1.1']
    assert view.cold_openings(1.4) == 0
    assert view.cold_openings(1.6) is None


def test_upstream_of_unknown_age_stays_cold(fleet):
    """Guards against a presumed upstream that counts as warm.

    Its agent has had no heartbeat, so that its cold time is not known.
    """
    presumed = agent(
        number=9, state=AgentState.PRESUMED, cold_openings=5, cold_left_s=0.0
    )
    fleet.record_agent_status('10.0.1.1', presumed, 1.0)
    assert fleet.agents_by_ip['10.0.1.1'].cold_openings(3.0) == 5


def test_balancers_that_were_only_named_share_the_upstreams(fleet):
    """Guards against a share that is too large right after a start.

    A balancer that had the status of a few others took a multiple of its
    share of the places of cold upstreams.
    """
    fleet.record_balancer_status(
        '10.0.0.2', balancer(balancers=('10.0.0.3', '10.0.0.4')), 1.0
    )
    assert fleet.count_sharing(1.0) == 4
    # Those that have sent nothing and are named no more don't count.
    fleet.record_balancer_status('10.0.0.2', balancer(2), 5.0)
    assert fleet.count_sharing(5.0) == 2


def test_loss_of_all_power():
    """Guards against trials of each lost flow at all agents.

    After a loss of all power at 88 hosts they delayed the resets and crossed
    data centres (shifted/osa-returns-now-grown, trouble-1: worth 0.711 instead
    of 0.769). Agents that went on running, or a warm upstream, are no such
    loss.
    """
    fleet = Fleet('10.0.0.1')
    for number in range(1, 5):
        cold = agent(number, cold_left_s=1.5)
        fleet.record_agent_status(f'10.0.1.{number}', cold, 0.0)
    starting = agent(1, incarnation=0, state=AgentState.PRESUMED)
    fleet.record_agent_status('10.0.1.5', starting, 0.0)
    assert not fleet.has_lost_power('10.0.1.1', 0.0)
    fleet.record_stored_agents({}, 0.0)
    assert fleet.has_lost_power('10.0.1.1', 0.0)
    assert not fleet.has_lost_power('10.0.1.5', 0.0)
    assert not fleet.has_lost_power('10.0.1.9', 0.0)
    old = agent(500, cold_left_s=1.5)
    fleet.record_agent_status('10.0.1.6', old, 0.1)
    assert not fleet.has_lost_power('10.0.1.1', 0.1)


def cold_fleet(stored: dict[str, int]) -> Fleet:
    """Return what a balancer knows whose hosts all seem to have restarted."""
    fleet = Fleet('10.0.0.1')
    cold = agent(incarnation=7, cold_left_s=1.5, cold_openings=5)
    for number in range(1, MIN_RESTARTED_HOSTS + 1):
        fleet.record_agent_status(f'10.0.1.{number}', cold, 0.0)
    assert not fleet.has_only_restarted_hosts(0.0)
    fleet.record_stored_agents(stored, 0.0)
    return fleet


def test_stored_agent_that_is_not_back_prevents_a_loss_of_power():
    """Guards against resets of flows of an agent that starts late.

    All processes were killed, the agents that were back had upstreams that
    had just been replaced, and a balancer took them for all.
    """
    fleet = cold_fleet({'10.0.1.1': 3, '10.0.1.9': 4})
    assert not fleet.has_only_restarted_hosts(0.0)
    assert not fleet.has_lost_power('10.0.1.1', 0.0)
    assert '10.0.1.9' in fleet.hosts_to_probe(0.2)
    assert '10.0.1.9' in fleet.listed_agents(0.2, is_complete=True)
    cold = agent(incarnation=5, cold_left_s=1.5, cold_openings=5)
    fleet.record_agent_status('10.0.1.9', cold, 0.3)
    assert fleet.has_only_restarted_hosts(0.3)
    assert fleet.has_lost_power('10.0.1.1', 0.3)


def test_stored_agent_is_listed_by_who_knows_the_fleet():
    """Guards against agents that are asked for their status too early.

    A balancer that gets a list asks each agent once in a while. All processes
    had been killed, the store's list was passed on before the agents were
    back, and they were not asked again when they were.
    """
    fleet = cold_fleet({'10.0.1.9': 4})
    assert '10.0.1.9' not in fleet.listed_agents(0.2, is_complete=False)
    assert '10.0.1.9' in fleet.listed_agents(0.2, is_complete=True)


def test_stored_agent_without_upstream_is_asked_for_its_status():
    """Guards against lost flows that are kept for an agent that holds none.

    Its upstream had ended after the list was stored. No balancer lists such
    an agent, so that it did not know all balancers, and those that it did not
    know searched for each lost flow again and again.
    """
    fleet = cold_fleet({'10.0.1.9': 4})
    assert fleet.silent_agents(0.05) == []
    assert fleet.silent_agents(0.2) == ['10.0.1.9']
    ended = agent(incarnation=0, state=AgentState.ENDED)
    fleet.record_agent_status('10.0.1.9', ended, 0.3)
    assert fleet.silent_agents(0.4) == []
    assert fleet.has_only_restarted_hosts(0.4)


def test_list_of_agents_stays_complete_when_an_upstream_ends(fleet):
    """Guards against balancers that no longer know the fleet.

    After a restart of all balancers in turn and the end of an upstream none
    counted its list as complete, and the stored list was not updated.
    """
    fleet.record_agent_status('10.0.1.1', agent(number=1), 1.0)
    listed = balancer(agents=('10.0.1.1', '10.0.1.2'), knows_fleet=True)
    fleet.record_balancer_status('10.0.0.2', listed, 1.0)
    fleet.record_agent_status('10.0.1.2', agent(number=1), 1.1)
    assert fleet.has_agent_list
    ended = agent(number=2, state=AgentState.ENDED)
    fleet.record_agent_status('10.0.1.2', ended, 1.2)
    assert fleet.has_agent_list


def test_stored_agent_whose_host_is_down_delays_no_conclusion():
    """Guards against lost flows that are kept for a host that is gone."""
    fleet = cold_fleet({'10.0.1.9': 4})
    for _ in range(MIN_UNANSWERED_PROBES):
        assert not fleet.has_only_restarted_hosts(0.3)
        fleet.record_probe('10.0.1.9', is_answered=False)
    assert fleet.has_only_restarted_hosts(0.3)
    assert fleet.has_lost_power('10.0.1.1', 0.3)


def test_upstream_that_the_store_lists_has_lost_no_power():
    """Guards against resets if upstreams turn cold without a restart."""
    fleet = cold_fleet({'10.0.1.2': 7})
    assert not fleet.has_only_restarted_hosts(0.0)
    assert not fleet.has_lost_power('10.0.1.1', 0.0)


def test_few_cold_hosts_are_no_loss_of_power():
    """Guards against resets after a kill of all processes.

    The first agent that was back had an upstream that had been replaced. The
    balancers took it for all agents, and told each other so.
    """
    fleet = Fleet('10.0.0.1')
    fleet.record_stored_agents({}, 0.0)
    cold = agent(cold_left_s=1.5, cold_openings=5)
    for number in range(1, MIN_RESTARTED_HOSTS + 1):
        assert not fleet.has_only_restarted_hosts(0.1)
        fleet.record_agent_status(f'10.0.1.{number}', cold, 0.0)
    assert fleet.has_only_restarted_hosts(0.1)
    fleet.record_agent_status('10.0.1.9', agent(), 0.1)
    assert not fleet.has_only_restarted_hosts(0.1)
