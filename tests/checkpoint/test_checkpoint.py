"""Tests of the flows that an agent saves for its next process."""

from ibispitch.checkpoint.core import CHECKPOINT_KEPT_S
from ibispitch.checkpoint.core import CheckpointCache
from ibispitch.checkpoint.core import CheckpointCollector
from ibispitch.checkpoint.messages import FLOWS_PER_PART
from ibispitch.checkpoint.messages import split_flows

AGENT = '10.1.1.1'
FLOWS = [b'flow%08d' % number for number in range(FLOWS_PER_PART + 1)]


def saved(saved_by=1, flows=FLOWS):
    return split_flows(saved_by, 1000, flows)


def cache_with(parts) -> CheckpointCache:
    cache = CheckpointCache()
    for part in parts:
        cache.add(AGENT, part, 0.0)
    return cache


def test_next_process_gets_all():
    """Flows must stay known across a planned restart."""
    cache = cache_with(saved())
    cache.record_process(AGENT, 1)
    collector = CheckpointCollector()
    results = [collector.add(part) for part in cache.parts_for(AGENT, 2)]
    assert results == [None, FLOWS]
    assert cache.parts_for(AGENT, 2) == saved()


def test_later_process_gets_nothing():
    """An outdated checkpoint must not be used, as it lacks newer flows.

    An agent was restarted, got new flows and was killed. Its next process
    used the checkpoint from before the restart and denied the newer flows,
    which were reset (testbed.flow_days, seed 32).
    """
    cache = cache_with(saved())
    assert cache.parts_for(AGENT, 2)
    assert cache.parts_for(AGENT, 3) == []
    heard = cache_with(saved())
    heard.record_process(AGENT, 2)
    assert heard.parts_for(AGENT, 3) == []


def test_newer_checkpoint_replaces_the_older_one():
    """Parts of the checkpoints of two processes must not be combined."""
    cache = cache_with([*saved(), *saved(2, FLOWS[:1])])
    assert cache.parts_for(AGENT, 3) == saved(2, FLOWS[:1])
    collector = CheckpointCollector()
    assert collector.add(saved()[0]) is None
    assert collector.add(saved(2)[1]) is None


def test_checkpoint_expires():
    """Flows of agents that never return must not be kept."""
    cache = cache_with(saved())
    cache.expire(CHECKPOINT_KEPT_S + 0.1)
    assert cache.parts_for(AGENT, 2) == []
