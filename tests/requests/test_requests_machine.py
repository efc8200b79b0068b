"""At most one run, and correct answers, under any order of events."""

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
from ibispitch.requests.echo import EchoIssuer
from ibispitch.requests.guard import Guard
from ibispitch.requests.records import DelegatedRunTable
from ibispitch.requests.records import NO_PART
from ibispitch.requests.runs import RequestGate
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
    """Loss, copies, crashes and moved flows must not run a request twice."""
    run_state_machine_as_test(Machine, settings=CHECKED)


def test_checks_find_faults_of_the_naive_gate():
    """The checks must find the faults of a gate without records."""
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            NaiveMachine, settings=settings(CHECKED, phases=[Phase.generate])
        )


@pytest.mark.parametrize('seed', range(60))
def test_long_walk(seed):
    """Only long histories contain many moved flows and restarts."""
    world = run_history(seed, HISTORY_STEPS)
    assert not world.find_violations()
    assert world.runs
    for gate in world.gates.values():
        jobs = gate._jobs.by_run.values()
        assert all(job.deadline >= world.now - 10 for job in jobs)
        waiters = {key for job in jobs for key in job.waiters}
        assert gate._callers.state.pending.keys() <= waiters


def test_long_walks_find_faults_of_the_naive_gate():
    """Every long history must reveal a fault of a gate without records."""
    for seed in range(5):
        assert run_history(seed, HISTORY_STEPS, NaiveGate).find_violations()


def _ignore_fault(fault):
    """Return a patch that makes the check of Echo values ignore a fault."""
    check = EchoIssuer.check

    def check_ignoring_fault(self, flow, value, now):
        found = check(self, flow, value, now)
        if found.fault is fault:
            return EchoCheck(None, found.incarnation, now + 200)
        return found

    return EchoIssuer, 'check', check_ignoring_fault


def _export_and_keep_running(self, now):
    data = ORIGINAL_EXPORT(self, now)
    self._handed_over = False
    return data


def _clear_record(self, key):
    record = self.records.state.by_request.get(key)
    if record is not None:
        record.parts.clear()
        record.final_part = NO_PART


ORIGINAL_EXPORT = CoapGate.export
PATCH_BY_FAULT = {
    'moved Echo': _ignore_fault(EchoFault.MOVED),
    'expired Echo': _ignore_fault(EchoFault.EXPIRED),
    'Echo of another agent': _ignore_fault(EchoFault.OTHER_INCARNATION),
    'no record of refusals': (Guard, 'refuse', _clear_record),
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
    'predecessor keeps running': (
        CoapGate,
        'export',
        _export_and_keep_running,
    ),
    'lost run counts as not run': (
        RequestGate,
        '_on_unknown_outcome',
        lambda self, job, reason, now: self._refuse(job, 1.0, reason, now),
    ),
}


@pytest.mark.parametrize('fault', PATCH_BY_FAULT)
def test_each_rule_is_needed(fault, monkeypatch):
    """The checks must find a fault if one rule of the gate is disabled."""
    monkeypatch.setattr(*PATCH_BY_FAULT[fault])
    assert any(
        run_history(seed, HISTORY_STEPS).find_violations()
        for seed in range(60)
    )
