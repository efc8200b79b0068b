"""Traffic and delay of spread at different fleet sizes."""

import logging
from statistics import mean

import pytest

from testbed.gossip import Network
from testbed.gossip import start_joined_fleet

#: Limit of control traffic per node in the design.
MAX_BYTES_PER_S = 4000
#: A day has 5,200 edits, and 850 hosts are lost and return.
CHANGE_INTERVAL_S = 86_400 / (5_200 + 2 * 850)
CHANGES = 3

LOG = logging.getLogger(__name__)


def _edit(network, node, revision):
    effects = node.core.publish_document(
        'entries/bench', revision, b'x' * 400, network.now
    )
    network.run(node, effects)


@pytest.mark.parametrize('count', [8, 32, 128, 512])
def test_control_traffic_per_node(count):
    """Control traffic must stay within the limit at every fleet size.

    The rate of changes is that of the target size in all cases.
    """
    network = Network(1)
    nodes = start_joined_fleet(network, count)
    for node in nodes:
        node.datagram_bytes_sent = node.stream_bytes_sent = 0
    start = network.now
    for revision in range(1, CHANGES + 1):
        _edit(network, network.rng.choice(nodes), revision)
        network.advance(CHANGE_INTERVAL_S)
    elapsed = network.now - start
    sent = [
        (node.datagram_bytes_sent + node.stream_bytes_sent) / elapsed
        for node in nodes
    ]
    LOG.info('%d nodes: %.0f B/s, max %.0f', count, mean(sent), max(sent))
    assert max(sent) < MAX_BYTES_PER_S


@pytest.mark.parametrize('loss', [0.0, 0.1])
def test_edit_is_everywhere_in_time(loss):
    """An edit must reach every balancer within 3 s after a reader.

    This includes a network that loses datagrams.
    """
    network = Network(1, loss=loss)
    nodes = start_joined_fleet(network, 128)
    for revision in range(1, 6):
        _edit(network, nodes[revision], revision)
        network.advance(3)
        assert all(
            node.core.catalogue['entries/bench'].version == (revision,)
            for node in nodes
        )


def test_partition_heals_in_a_large_fleet():
    """The halves of a fleet must find each other after a partition."""
    network = Network(1)
    nodes = start_joined_fleet(network, 64)
    for index, node in enumerate(nodes):
        network.partition_by_address[node.address] = index % 2
    network.advance(20)
    assert len(nodes[0].core.present_balancers()) == 32
    _edit(network, nodes[0], 1)
    network.partition_by_address.clear()
    network.advance(16)
    for node in nodes:
        assert len(node.core.present_balancers()) == 64
        assert 'entries/bench' in node.core.catalogue
