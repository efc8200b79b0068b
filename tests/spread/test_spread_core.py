"""Agreement, versions and traffic of copies of the replicated map."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from ibispitch.spread import ItemChanged
from ibispitch.spread import ItemDropped
from ibispitch.spread import SendDatagram
from ibispitch.spread import SpreadCore
from ibispitch.spread.core import TOMBSTONE_LIFETIME_S
from ibispitch.spread.messages import SpreadBuckets
from ibispitch.spread.messages import SpreadItems
from testbed.gossip import Network

EDITS = st.lists(
    st.tuples(
        st.integers(0, 4),
        st.sampled_from(['entries/a', 'entries/b', 'datacentres/tema']),
        st.integers(1, 6),
        st.sampled_from([b'', b'x', b'y' * 3000]),
        st.booleans(),
        st.floats(0, 2),
    ),
    max_size=12,
)


class LastReceived(SpreadCore):
    """Baseline that keeps the item that arrived last."""

    def _on_items(self, sender, message):
        for item in message.items:
            if item.key in self._item_map.by_key:
                self._item_map.drop(item.key)
        return super()._on_items(sender, message)


def _run(core_type, edits, seed, loss=0.2):
    """Return the copies after a time without edits, and reverted items."""
    network = Network(seed, loss=loss, duplication=0.2, delay=(0.001, 1.5))
    reverted = []
    greatest_version = {}

    def record_reverted(node, effect):
        if isinstance(effect, ItemChanged):
            item = effect.item
            if item.version < greatest_version.get(
                (node.address, item.key), ()
            ):
                reverted.append(item)
            greatest_version[node.address, item.key] = item.version

    network.on_effect = record_reverted
    nodes = []
    for address in range(5):
        core = core_type(address, random.Random(address))
        core.set_peers(range(5))
        nodes.append(network.add(address, core))
    for number, key, version, value, retired, pause in edits:
        node = nodes[number]
        effects = node.core.publish(key, (version,), value, retired=retired)
        network.run(node, effects)
        network.partition_by_address[number] = version % 2
        network.advance(pause)
    network.partition_by_address.clear()
    network.loss = 0.0
    network.advance(30)
    return [node.core for node in nodes], reverted


def _live(core):
    return {k: i for k, i in core.items.items() if not i.retired}


@settings(max_examples=60, deadline=None)
@given(EDITS, st.integers(0, 1000))
def test_copies_agree_and_never_revert(edits, seed):
    """Copies must agree and versions must not decrease.

    The network loses, duplicates and delays datagrams and is partitioned.
    """
    cores, reverted = _run(SpreadCore, edits, seed)
    assert not reverted
    assert all(_live(core) == _live(cores[0]) for core in cores)
    greatest = {}
    for _, key, version, *_ in edits:
        greatest[key] = max(version, greatest.get(key, 0))
    for core in cores:
        for key, item in _live(core).items():
            assert item.version == (greatest[key],)


def test_baseline_reverts():
    """Without versions, late datagrams must bring back old values.

    Otherwise the test above could not fail.
    """
    edits = [
        (n % 5, 'entries/a', n + 1, b'x' * n, False, 0.3) for n in range(12)
    ]
    _, reverted = _run(LastReceived, edits, 1)
    assert reverted
    assert not _run(SpreadCore, edits, 1)[1]


def test_rumour_is_sent_a_bounded_number_of_times():
    """A rumour that is repeated for ever would exhaust the traffic limit."""
    core = SpreadCore(0, random.Random(1))
    core.set_peers(range(32))
    core.publish('entries/a', (1,), b'x')
    sends = sum(
        isinstance(effect.message, SpreadItems)
        for second in range(100)
        for effect in core.tick(float(second))
    )
    assert 12 < sends <= 3 * 6


def test_tombstone_expires_and_reaches_a_late_copy():
    """Removed members must not return and must not be kept for ever.

    They could return from a copy that missed the removal.
    """
    core = SpreadCore(0, random.Random(1))
    core.set_peers([1])
    core.tick(0.0)
    core.publish('agent/a', (1, 2), b'', retired=True)
    late = SpreadCore(1, random.Random(2))
    late.publish('agent/a', (1, 1), b'x')
    answer = core.on_message(1, SpreadItems([late.items['agent/a']]), 1.0)
    assert [type(effect) for effect in answer] == [SendDatagram]
    late.on_message(0, answer[0].message, 1.0)
    assert late.items['agent/a'].retired
    assert any(
        isinstance(effect, ItemDropped)
        for effect in core.tick(TOMBSTONE_LIFETIME_S + 2)
    )
    assert not core.items


@pytest.mark.parametrize('hashes', [b'', b'\0' * 511, b'\0' * 513])
def test_malformed_digest_is_ignored(hashes):
    """A digest of another release must not raise an error."""
    core = SpreadCore(0, random.Random(1))
    assert core.on_message(1, SpreadBuckets(hashes), 0.0) == []
