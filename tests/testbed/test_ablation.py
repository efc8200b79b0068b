"""Tests of the measurement of what each mechanism is worth."""

from dataclasses import replace

from ibispitch.settings.overload import Mode
from ibispitch.settings.overload import OverloadSettings
from testbed import flow_ablation
from testbed.flow_ablation import CHANGE_BY_MECHANISM
from testbed.flow_ablation import generated
from testbed.flow_outage import Asked
from testbed.flow_outage import best_credit
from testbed.flow_outage import DEPLOYED
from testbed.flow_outage import Loss
from testbed.flow_outage import NETWORK_S
from testbed.flow_outage import Outage
from testbed.flow_outage import Outcome


def test_each_section_is_switched_alone():
    """Guards against a mechanism that is left out or switched with others."""
    assert set(CHANGE_BY_MECHANISM) == set(OverloadSettings._fields)
    for name, change in CHANGE_BY_MECHANISM.items():
        changed = change(DEPLOYED)
        assert [
            field
            for field in OverloadSettings._fields
            if getattr(changed, field) != getattr(DEPLOYED, field)
        ] == [name]
        modes = {getattr(s, name).mode for s in (changed, DEPLOYED)}
        assert modes == {Mode.OFF, Mode.AUTO}


def test_deployed_settings_are_those_of_the_file():
    """Guards against an ablation of settings that nobody uses."""
    from ibispitch.settings.overload_file import load_overload_settings

    assert load_overload_settings('deploy/overload.json5') == DEPLOYED


def test_generated_deployments_repeat():
    """Guards against a deployment that can't be played again."""
    assert generated(3) == generated(3)
    assert generated(3) != generated(4)


def test_worth_is_positive_for_what_serves_more(monkeypatch):
    """Guards against a difference with the wrong sign."""
    credit_by_modes = {
        (Mode.AUTO, Mode.AUTO): 0.8,  # deployed
        (Mode.OFF, Mode.AUTO): 0.7,  # without the scheduler
        (Mode.AUTO, Mode.OFF): 0.85,  # without the queue at the gate
    }

    class Executor:
        def __init__(self, _jobs):
            pass

        def __enter__(self):
            return self

        def __exit__(self, *_error):
            return None

        @staticmethod
        def map(_function, plays):
            return [
                credit_by_modes.get(
                    (p.settings.scheduling.mode, p.settings.gate.mode)
                )
                for p in plays
            ]

    monkeypatch.setattr(flow_ablation, 'ProcessPoolExecutor', Executor)
    worth = {
        w.mechanism: round(w.mean, 3)
        for w in flow_ablation.measure({'one': Outage()}, 2, 1)
    }
    assert worth['scheduling'] == 0.1
    assert worth['gate'] == -0.05


def test_bound_of_a_case_solved_by_hand():
    """Guards against a bound that is too low or too high.

    Two places at 1 s. A write and a read were asked just before, so that both
    can be in time; another write was asked 0.5 s before and is late. Best are
    the write in time (2) and the read in time (1).
    """
    outage = replace(Outage(), loss=Loss.POWER)
    read, write = outage.kinds
    before = NETWORK_S
    asked = [
        Asked(1.0 - before, read, Outcome.FAILED),
        Asked(1.0 - before, write, Outcome.FAILED),
        Asked(0.5, write, Outcome.FAILED),
        Asked(1.1, write, Outcome.FAILED),
    ]
    assert best_credit(asked, [1.0, 1.0], outage) == 3.0
    assert best_credit(asked, [1.0], outage) == 2.0
    # A third place serves the late write (0.6).
    assert best_credit(asked, [1.0, 1.0, 1.0], outage) == 3.6
    # A request isn't served before it is asked.
    assert best_credit(asked[3:], [1.0], outage) == 0.0
