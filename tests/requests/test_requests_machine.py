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
from ibispitch.requests.records import UNSET
from ibispitch.requests.runs import RunSide
from testbed.request_histories import run_history
from testbed.request_histories import WEIGHT_BY_EVENT
from testbed.request_histories import World
from tests.requests.naive import NaiveGate

seeds = st.integers(0, 10_000)


class Machine(RuleBasedStateMachine):
    make = CoapGate

    def __init__(self):
        super().__init__()
        self.world = World(1, self.make)

    @rule(event=st.sampled_from(list(WEIGHT_BY_EVENT)), seed=seeds)
    def one_event(self, event, seed):
        rng = random.Random(seed)
        event(self.world, rng.choice(self.world.callers), rng)

    @rule(seed=seeds)
    def usual_events(self, seed):
        rng = random.Random(seed)
        for _ in range(10):
            self.world.run_random_event(rng)

    @invariant()
    def holds(self):
        assert not self.world.find_violations()


class NaiveMachine(Machine):
    make = NaiveGate


CHECKED = settings(
    deadline=None,
    max_examples=150,
    stateful_step_count=50,
    report_multiple_bugs=False,
)
HISTORY_STEPS = 400


def test_gate_runs_at_most_once():
    """Loss, copies, crashes and moves must not run a request twice."""
    run_state_machine_as_test(Machine, settings=CHECKED)


def test_naive_gate_is_caught():
    """The checks must find the faults of a gate without records."""
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            NaiveMachine, settings=settings(CHECKED, phases=[Phase.generate])
        )


@pytest.mark.parametrize('seed', range(60))
def test_long_walk(seed):
    """Long histories reach moves and restarts that short ones miss."""
    world = run_history(seed, HISTORY_STEPS)
    assert not world.find_violations()
    assert world.runs
    for gate in world.gates.values():
        jobs = gate._jobs.by_run.values()
        assert all(job.deadline >= world.now - 10 for job in jobs)
        waiters = {key for job in jobs for key in job.waiters}
        assert gate._callers.state.pending.keys() <= waiters


def test_long_walks_catch_the_naive_gate():
    """Every long history must show a fault of a gate without records."""
    for seed in range(5):
        assert run_history(seed, HISTORY_STEPS, NaiveGate).find_violations()


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


def _forget(self, key):
    record = self.records.state.by_request.get(key)
    if record is not None:
        record.parts.clear()
        record.final_part = UNSET


EXPORT = CoapGate.export
FAULTS = {
    'moved Echo': _accept(EchoFault.MOVED),
    'expired Echo': _accept(EchoFault.EXPIRED),
    'Echo of another agent': _accept(EchoFault.OTHER_INCARNATION),
    'no record of refusals': (Guard, 'refuse', _forget),
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
    assert any(
        run_history(seed, HISTORY_STEPS).find_violations()
        for seed in range(60)
    )
