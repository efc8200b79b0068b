"""At most one run and truthful answers under any order of events."""

import random

from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import run_state_machine_as_test
import pytest

from ibispitch.requests import CoapGate
from ibispitch.requests.echo import EchoCheck
from ibispitch.requests.echo import EchoFault
from ibispitch.requests.echo import EchoKeeper
from ibispitch.requests.guard import Guard
from ibispitch.requests.records import DelegatedRunTable
from ibispitch.requests.runs import RunSide
from tests.requests.naive import NaiveGate
from tests.requests.world import AGENTS
from tests.requests.world import World

agents = st.sampled_from(AGENTS)
numbers = st.integers(0, 10_000)


class Machine(RuleBasedStateMachine):
    make = CoapGate

    def __init__(self):
        super().__init__()
        self.world = World(1, self.make)

    @rule(number=numbers, is_upload=st.booleans())
    def new_request(self, number, is_upload):
        callers = self.world.callers
        callers[number % len(callers)].new(is_upload)

    @rule(number=numbers, agent=agents)
    def deliver(self, number, agent):
        if self.world.packets:
            self.world.deliver(number % len(self.world.packets), agent)

    @rule(agent=agents, count=st.integers(1, 12))
    def deliver_in_order(self, agent, count):
        for _ in range(min(count, len(self.world.packets))):
            self.world.deliver(0, agent)
            for name in AGENTS:
                self.world.upstream_answers(name)

    @rule(number=numbers)
    def drop(self, number):
        if self.world.packets:
            self.world.packets.pop(number % len(self.world.packets))

    @rule(number=numbers)
    def duplicate(self, number):
        packets = self.world.packets
        if packets:
            packets.append(packets[number % len(packets)])

    @rule(number=numbers, agent=agents)
    def repeat_datagram(self, number, agent):
        """Repeat a datagram of a caller, however old it is."""
        caller = self.world.callers[number % len(self.world.callers)]
        if caller.datagrams:
            at = number // 2 % len(caller.datagrams)
            datagram = caller.datagrams[at]
            self.world.send('caller', caller.flow, datagram)
            self.world.deliver(len(self.world.packets) - 1, agent)

    @rule(number=numbers)
    def repeat_request(self, number):
        """Ask again under the same request id and Echo value."""
        caller = self.world.callers[number % len(self.world.callers)]
        sent = list(caller.echo_by_id.items())
        if sent:
            caller.send(*sent[number // 2 % len(sent)])

    @rule(number=numbers)
    def cancel(self, number):
        caller = self.world.callers[number % len(self.world.callers)]
        if caller.answers:
            ids = list(caller.answers)
            caller.cancel(ids[number // 2 % len(ids)])

    @rule(seed=numbers)
    def walk(self, seed):
        """Take some steps in the usual order of events."""
        rng = random.Random(seed)
        for _ in range(10):
            self.world.step(rng)
            self.world.check()

    @rule(agent=agents)
    def upstream_answers(self, agent):
        self.world.upstream_answers(agent)

    @rule(seconds=st.sampled_from([0.1, 0.6, 2.0, 6.0, 100.0, 301.0]))
    def advance(self, seconds):
        self.world.advance(seconds)

    @rule(agent=agents)
    def crash(self, agent):
        self.world.start(agent)

    @rule(agent=agents)
    def succeed(self, agent):
        self.world.succeed(agent)

    @rule(agent=agents)
    def restart_upstream(self, agent):
        self.world.restart_upstream(agent)

    @rule(source=agents, other=agents, number=numbers)
    def move_flow(self, source, other, number):
        if source != other:
            caller = self.world.callers[number % len(self.world.callers)]
            self.world.move(source, other, caller.flow)

    @invariant()
    def holds(self):
        self.world.check()


class NaiveMachine(Machine):
    make = NaiveGate


CHECKED = settings(
    deadline=None,
    max_examples=150,
    stateful_step_count=50,
    report_multiple_bugs=False,
)
WALK_STEPS = 400


def test_gate_runs_at_most_once():
    """Loss, copies, crashes and moves must not run a request twice."""
    run_state_machine_as_test(Machine, settings=CHECKED)


def test_naive_gate_is_caught():
    """The checks must find the faults of a gate without records."""
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            NaiveMachine, settings=settings(CHECKED, phases=[Phase.generate])
        )


def walk(make, seed):
    world, rng = World(seed, make), random.Random(seed)
    for _ in range(WALK_STEPS):
        world.step(rng)
        world.check()
    return world


@pytest.mark.parametrize('seed', range(60))
def test_long_walk(seed):
    """Long histories reach moves and restarts that short ones do not."""
    world = walk(CoapGate, seed)
    assert world.runs
    for gate in world.gates.values():
        assert all(
            job.deadline >= world.now - 10
            for job in gate._jobs.by_run.values()
        )


def test_long_walks_catch_the_naive_gate():
    """Every long history must show a fault of a gate without records."""
    for seed in range(5):
        with pytest.raises(AssertionError):
            walk(NaiveGate, seed)


def _accept(fault):
    """Return a check of Echo values that overlooks a fault."""
    check = EchoKeeper.check

    def overlook(self, flow, value, now):
        found = check(self, flow, value, now)
        if found.fault is fault:
            return EchoCheck(None, found.incarnation, now + 200)
        return found

    return EchoKeeper, 'check', overlook


def _keep_running(self, now):
    data = EXPORT(self, now)
    self._handed_over = False
    return data


EXPORT = CoapGate.export
FAULTS = {
    'moved Echo': _accept(EchoFault.MOVED),
    'expired Echo': _accept(EchoFault.EXPIRED),
    'Echo of another agent': _accept(EchoFault.OTHER_INCARNATION),
    'no record of refusals': (
        Guard,
        'refuse',
        lambda self, key: self.records.state.by_request.pop(key, None),
    ),
    'no record of delegated runs': (
        DelegatedRunTable,
        'find',
        lambda self, run_id: None,
    ),
    'delegate forgets old runs': (
        DelegatedRunTable,
        'may_add',
        lambda self, run_id: True,
    ),
    'predecessor goes on': (CoapGate, 'export', _keep_running),
    'lost run counts as not run': (
        RunSide,
        '_failed',
        lambda self, job, reason, now: self._refuse(job, 1.0, reason, now),
    ),
}


@pytest.mark.parametrize('fault', FAULTS)
def test_each_rule_is_needed(fault, monkeypatch):
    """The checks must notice when one rule of the gate is left out."""
    monkeypatch.setattr(*FAULTS[fault])
    with pytest.raises(AssertionError):
        for seed in range(60):
            walk(CoapGate, seed)
