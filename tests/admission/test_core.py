"""Decisions of agents that exchange loads."""

import itertools
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from ibispitch.admission.core import AdmissionCore
from ibispitch.admission.core import MAX_DELEGATIONS
from ibispitch.admission.loads import MAX_PEERS_PER_REPORT
from ibispitch.admission.loads import REPORT_INTERVAL_S
from ibispitch.admission.messages import LoadReport
from ibispitch.admission.types import Refuse
from ibispitch.admission.types import RequestInfo
from ibispitch.admission.types import RunAt
from ibispitch.admission.types import RunHere
from ibispitch.admission.types import RunOutcome
from ibispitch.admission.types import Wait
from ibispitch.wire import decode_message
from ibispitch.wire import encode_message

RAMP_S = 10.0
LATENCY_S = 0.1
counter = itertools.count()


def make_core(agent_id='a', slots=5, seed=1, peers=('a', 'b', 'c')):
    core = AdmissionCore(
        agent_id, slots, 2000, RAMP_S, random.Random(seed), 0.0
    )
    core.set_agents(peers)
    return core


def info(now, **options):
    options.setdefault('deadline', now + 10.0)
    run_id = next(counter).to_bytes(16, 'big')
    return RequestInfo(run_id=run_id, flow=b'flow00', **options)


def warm(core, now=0.0):
    """Run requests one after the other until the ramp is over."""
    while core.limit.is_ramping:
        now += core.limit.idle_s(now) + 1e-6
        request = info(now)
        assert core.decide(request, now) == RunHere()
        core.record_start(request.run_id, now)
        now += LATENCY_S
        core.record_end(request.run_id, RunOutcome.COMPLETED, LATENCY_S, now)
    return now


def fill(core, now):
    """Take all slots; return the run ids."""
    taken = []
    while core.limit.may_start(core.in_flight, now):
        request = info(now)
        assert core.decide(request, now) == RunHere()
        core.record_start(request.run_id, now)
        taken.append(request.run_id)
    return taken


def report(agent_id, sequence=1, free=0, flows=0, room=1000, **options):
    return LoadReport(
        agent_id, sequence, flows, 5 - free, 5.0, 0, free, room, **options
    )


def test_reserved_slots_count():
    """Decisions before ``record_start`` must not exceed the limit together."""
    core = make_core()
    now = warm(core)
    decisions = [core.decide(info(now), now) for _ in range(20)]
    assert sum(decision == RunHere() for decision in decisions) == 5


def test_full_agent_delegates_to_a_free_peer():
    """A refusal or wait while a peer is known to be idle wastes it."""
    core = make_core()
    now = warm(core)
    fill(core, now)
    core.loads.on_report(report('b'), now)
    core.loads.on_report(report('c', free=2), now)
    decisions = [core.decide(info(now), now) for _ in range(3)]
    assert decisions[:2] == [RunAt('c')] * 2
    assert decisions[2] != RunAt('c')


def test_pinned_request_is_not_delegated():
    """Parts of a blockwise exchange must stay on one upstream."""
    core = make_core()
    now = warm(core)
    fill(core, now)
    core.loads.on_report(report('b', free=5), now)
    assert isinstance(core.decide(info(now, pinned=True), now), Wait)


def test_delegated_request_is_run_or_refused():
    """A delegate that waits or delegates again would hold up its owner."""
    core = make_core()
    now = warm(core)
    core.loads.on_report(report('b', free=5), now)
    request = info(now, delegated=True)
    assert core.decide(request, now) == RunHere()
    fill(core, now)
    assert isinstance(core.decide(info(now, delegated=True), now), Refuse)


def test_delegated_request_does_not_pass_waiting_ones():
    """Own requests that wait need the next slot."""
    core = make_core()
    now = warm(core)
    taken = fill(core, now)
    waiting = info(now, pinned=True)
    assert isinstance(core.decide(waiting, now), Wait)
    core.record_end(taken[0], RunOutcome.COMPLETED, LATENCY_S, now)
    assert isinstance(core.decide(info(now, delegated=True), now), Refuse)
    assert core.tick(now) == [waiting.run_id]
    assert core.in_flight == 5


def test_wait_is_short_and_within_the_deadline():
    """A request must not be held until near its deadline."""
    core = make_core()
    now = warm(core)
    fill(core, now)
    for deadline_s in (0.05, 0.2, 1.0, 60.0):
        request = info(now, pinned=True, deadline=now + deadline_s)
        decision = core.decide(request, now)
        if isinstance(decision, Wait):
            left_s = now + deadline_s - decision.until
            assert left_s >= LATENCY_S - 1e-6
            assert decision.until - now <= 5 * LATENCY_S
            core.record_end(request.run_id, RunOutcome.CANCELLED, 0.0, now)
        else:
            assert deadline_s < 0.2
    decisions = [core.decide(info(now, pinned=True), now) for _ in range(50)]
    assert isinstance(decisions[-1], Refuse)
    assert core.queued <= 11


def test_exchange_goes_first():
    """Refusing a late part of an exchange wastes the parts before it."""
    core = make_core()
    now = warm(core)
    taken = fill(core, now)
    first = info(now, pinned=True)
    exchange = info(now, pinned=True, exchange=True)
    for request in (first, exchange):
        assert isinstance(core.decide(request, now), Wait)
    core.record_end(taken[0], RunOutcome.COMPLETED, LATENCY_S, now)
    assert core.tick(now) == [exchange.run_id]


def test_expired_wait_is_not_started():
    """A request that the gate has refused must not run afterwards."""
    core = make_core()
    now = warm(core)
    taken = fill(core, now)
    decision = core.decide(info(now, pinned=True), now)
    later = decision.until + 0.001
    core.record_end(taken[0], RunOutcome.COMPLETED, 1.0, later)
    assert core.tick(later) == []
    core.tick(later + 5.0)
    assert core.queued == 0


def test_probe_before_refusal():
    """Reports are up to 500 ms old; a peer may be idle by now."""
    core = make_core()
    now = warm(core)
    fill(core, now)
    core.loads.on_report(report('b'), now - 0.4)
    core.loads.on_report(report('c'), now - 0.1)
    while isinstance(decision := core.decide(info(now), now), Wait):
        pass
    assert decision == RunAt('b')
    request = info(now, pinned=True)
    assert isinstance(core.decide(request, now), Refuse)


def test_hung_upstream_gets_no_queue():
    """Requests that wait behind a hang are answered near the deadline."""
    core = make_core(peers=('a',))
    now = warm(core)
    fill(core, now)
    now += 2.0
    core.tick(now)
    assert isinstance(core.decide(info(now), now), Refuse)
    assert core.load_report(now).free == 0


def test_retry_times_are_spread_and_grow_with_overload():
    """Callers that were refused together must not return together."""
    core = make_core(peers=('a',))
    now = warm(core)
    fill(core, now)
    times = [
        decision.retry_after_s
        for _ in range(1000)
        if isinstance(decision := core.decide(info(now), now), Refuse)
    ]
    assert all(0.5 <= time_s <= 30.0 for time_s in times)
    assert max(times[:20]) - min(times[:20]) > 0.3
    assert sum(times[-50:]) > 3 * sum(times[:50])


def test_late_request_is_refused():
    """A request past its deadline must not take a slot."""
    core = make_core()
    decision = core.decide(info(1.0, deadline=0.5), 1.0)
    assert isinstance(decision, Refuse)
    assert core.in_flight == 0


class Cluster:
    """Cores in lock step; each request ends after some steps."""

    def __init__(self, rng, agents, slots):
        self.rng = rng
        self.now = 0.0
        ids = [f'a{index}' for index in range(agents)]
        self.core_by_id = {
            agent_id: make_core(agent_id, slots, rng.random(), ids)
            for agent_id in ids
        }
        self.running = []
        for core in self.core_by_id.values():
            self.now = max(self.now, warm(core))

    def exchange(self):
        reports = [
            core.load_report(self.now) for core in self.core_by_id.values()
        ]
        for core, message in itertools.product(
            self.core_by_id.values(), reports
        ):
            core.loads.on_report(message, self.now)

    def start(self, core, run_id, length_s):
        core.record_start(run_id, self.now)
        self.running.append((self.now + length_s, core, run_id, length_s))
        assert core.in_flight <= core.limit.max_in_flight

    def request(self, agent_id):
        core = self.core_by_id[agent_id]
        request = info(self.now, deadline=self.now + self.rng.uniform(0, 5))
        asked = []
        while isinstance(decision := core.decide(request, self.now), RunAt):
            assert decision.agent_id not in asked
            asked.append(decision.agent_id)
            request = msgspec.structs.replace(request, declined=tuple(asked))
            peer = self.core_by_id[decision.agent_id]
            options = {'run_id': request.run_id, 'flow': request.flow}
            options['deadline'] = request.deadline
            answer = peer.decide(
                RequestInfo(delegated=True, **options), self.now
            )
            core.loads.on_load(decision.agent_id, peer.load(), self.now)
            if answer == RunHere():
                self.start(peer, request.run_id, self.length_s())
                return
        if decision == RunHere():
            self.start(core, request.run_id, self.length_s())
        elif isinstance(decision, Refuse):
            self.check_refusal(core, request, asked)

    def length_s(self):
        return LATENCY_S * self.rng.uniform(0.5, 1.5)

    def check_refusal(self, core, request, asked):
        if request.deadline <= self.now or len(asked) == MAX_DELEGATIONS:
            return
        known = [
            core.loads.load(peer, self.now)
            for peer in core.loads.peers
            if peer not in asked
        ]
        assert not any(load and load.free > 0 for load in known)

    def step(self):
        self.now += 0.01
        ended = [item for item in self.running if item[0] <= self.now]
        self.running = [item for item in self.running if item[0] > self.now]
        for _, core, run_id, length_s in ended:
            core.record_end(run_id, RunOutcome.COMPLETED, length_s, self.now)
        for core in self.core_by_id.values():
            for run_id in core.tick(self.now):
                self.start(core, run_id, self.length_s())


@settings(deadline=None, max_examples=25)
@given(
    seed=st.integers(0, 2**32),
    slots=st.sampled_from((1, 5)),
    overload=st.sampled_from((0.8, 2.0, 5.0)),
)
def test_limit_and_known_idle_peers(seed, slots, overload):
    """Never above the limit; no refusal while idle capacity is known."""
    rng = random.Random(seed)
    cluster = Cluster(rng, 7, slots)
    rate = overload * 7 * slots / LATENCY_S
    for step in range(200):
        if step % 50 == 0:
            cluster.exchange()
        cluster.step()
        for _ in range(int(rng.uniform(0, 2 * rate * 0.01) + 0.5)):
            cluster.request(f'a{rng.randrange(7)}')


def place(cores, rounds, rng, choose):
    """Place flows whose homes are uneven; return flows by agent."""
    now = 100.0
    ids = list(cores)
    flows = []
    for index in range(rounds):
        now += 0.002
        if index % 250 == 0:
            reports = [core.load_report(now) for core in cores.values()]
            for core, message in itertools.product(cores.values(), reports):
                core.loads.on_report(message, now)
        # The first agent is the home of three times as many flows.
        home = rng.choices(ids, [3] + [1] * (len(ids) - 1))[0]
        owner = choose(cores[home], home, ids, now)
        if owner is None:
            continue
        cores[owner].record_flow_opened(now)
        flows.append(owner)
        if len(flows) > 1400:
            gone = flows.pop(rng.randrange(len(flows)))
            cores[gone].record_flow_closed()
    return {agent_id: cores[agent_id].flows.open_flows for agent_id in ids}


def imbalance(flows_by_id):
    return (
        max(flows_by_id.values())
        * len(flows_by_id)
        / sum(flows_by_id.values())
    )


def by_load(core, home, ids, now):
    return core.placement.choose_owner(home, ids, now)


def by_hash(core, home, ids, now):
    return home


@pytest.mark.parametrize('seed', range(5))
def test_placement_is_even(seed):
    """Homes are uneven; placement by hash alone exceeds the target."""
    ids = [f'a{index}' for index in range(7)]

    def cores():
        return {key: make_core(key, seed=seed, peers=ids) for key in ids}

    rng = random.Random(seed)
    assert imbalance(place(cores(), 8000, rng, by_load)) <= 1.10
    assert imbalance(place(cores(), 8000, rng, by_hash)) > 1.25


def test_placement_respects_room_and_draining():
    """Peers that ramp, drain or are full must not get new flows."""
    core = make_core()
    now = 60.0
    for _ in range(100):
        core.record_flow_opened(now)
    core.loads.on_report(report('b', flows=0, room=0), now)
    core.loads.on_report(report('c', flows=1, is_draining=True), now)
    choose = core.placement.choose_owner
    assert choose('a', ['a', 'b', 'c'], now) == 'a'
    assert choose('a', ['a', 'b', 'c'], now, exclude=['a']) is None
    core.loads.on_report(report('b', 2, flows=0, room=300), now)
    assert choose('a', ['a', 'b', 'c'], now) == 'b'
    core.start_draining()
    assert not core.is_flow_allowed(now)
    assert choose('a', ['a'], now) is None
    # Reports that are too old are no ground to place a flow.
    assert choose('a', ['b', 'c'], now + 60.0) is None


def test_homes_do_not_overrun_a_cold_peer():
    """All homes see the same idle peer; together they keep to its room."""
    ids = [f'a{index}' for index in range(7)]
    chosen = 0
    for agent_id in ids[:-1]:
        core = make_core(agent_id, seed=hash(agent_id), peers=ids)
        for _ in range(500):
            core.record_flow_opened(60.0)
        core.loads.on_report(report('a6', flows=0, room=70), 60.0)
        for _ in range(200):
            owner = core.placement.choose_owner(agent_id, ids, 60.0)
            chosen += owner == 'a6'
    assert 0 < chosen <= 70


def test_late_report_is_ignored():
    """A reordered report must not bring back an old load."""
    core = make_core()
    core.loads.on_report(report('b', 5, free=0), 1.0)
    core.loads.on_report(report('b', 4, free=5), 1.1)
    assert core.loads.load('b', 1.1).free == 0
    core.loads.on_report(report('stranger', free=5), 1.1)
    assert core.loads.load('stranger', 1.1) is None


def test_reports_reach_all_peers_in_turn():
    """A peer that is never sampled would know nothing of this agent."""
    ids = [f'a{index}' for index in range(40)]
    core = make_core('a0', peers=ids)
    now = 0.0
    reached = set()
    for _ in range(5):
        due = core.loads.peers_due(now)
        assert len(set(due)) == MAX_PEERS_PER_REPORT
        reached |= set(due)
        assert core.loads.peers_due(now + REPORT_INTERVAL_S / 2) == []
        now += REPORT_INTERVAL_S * 1.05
    assert reached == set(ids) - {'a0'}


def test_report_is_compact():
    """Eight reports in 500 ms must leave room within 4 KB/s."""
    core = make_core('khomas-1-agent-12', peers=['khomas-1-agent-12'])
    message = core.load_report(60.0)
    data = encode_message(message)
    assert decode_message(data) == message
    assert len(data) <= 80


def test_request_does_not_wait_twice():
    """At the end of a wait another one would hold it to its deadline."""
    core = make_core()
    now = warm(core)
    fill(core, now)
    request = info(now, pinned=True)
    decision = core.decide(request, now)
    assert isinstance(decision, Wait)
    assert isinstance(core.decide(request, decision.until), Refuse)
    assert core.queued == 0


def test_request_goes_to_a_free_peer_when_its_wait_ends():
    """A refusal after a wait while a peer is idle wastes the peer."""
    core = make_core()
    now = warm(core)
    fill(core, now)
    request = info(now)
    decision = core.decide(request, now)
    core.loads.on_report(report('c', free=2), decision.until)
    assert core.decide(request, decision.until) == RunAt('c')
