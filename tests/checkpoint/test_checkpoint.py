"""Flows that a process leaves for the one after it."""

from ibispitch.checkpoint.core import CheckpointCache
from ibispitch.checkpoint.core import CheckpointCollector
from ibispitch.checkpoint.core import KEEP_S
from ibispitch.checkpoint.messages import FLOWS_PER_PART
from ibispitch.checkpoint.messages import split_flows

AGENT = '10.1.1.1'
FLOWS = [b'flow%08d' % number for number in range(FLOWS_PER_PART + 1)]


def saved(saved_by=1, flows=FLOWS):
    return split_flows(saved_by, 1000, flows)


def keeper_with(parts) -> CheckpointCache:
    keeper = CheckpointCache()
    for part in parts:
        keeper.add(AGENT, part, 0.0)
    return keeper


def test_next_process_gets_all():
    """Guards against flows that a planned stop makes unknown."""
    keeper = keeper_with(saved())
    keeper.record_process(AGENT, 1)
    collector = CheckpointCollector()
    results = [collector.add(part) for part in keeper.parts_for(AGENT, 2)]
    assert results == [None, FLOWS]
    assert keeper.parts_for(AGENT, 2) == saved()


def test_later_process_gets_nothing():
    """Guards against live flows that an old checkpoint does not have.

    An agent was stopped and started, took new flows, was killed, and denied
    these flows to balancers by the checkpoint of its stop; they were reset
    (testbed.flow_days, seed 32).
    """
    keeper = keeper_with(saved())
    assert keeper.parts_for(AGENT, 2)
    assert keeper.parts_for(AGENT, 3) == []
    heard = keeper_with(saved())
    heard.record_process(AGENT, 2)
    assert heard.parts_for(AGENT, 3) == []


def test_newer_checkpoint_replaces_the_older_one():
    """Guards against parts of two processes that are put together."""
    keeper = keeper_with([*saved(), *saved(2, FLOWS[:1])])
    assert keeper.parts_for(AGENT, 3) == saved(2, FLOWS[:1])
    collector = CheckpointCollector()
    assert collector.add(saved()[0]) is None
    assert collector.add(saved(2)[1]) is None


def test_checkpoint_expires():
    """Guards against flows that are kept for agents that never return."""
    keeper = keeper_with(saved())
    keeper.expire(KEEP_S + 0.1)
    assert keeper.parts_for(AGENT, 2) == []
