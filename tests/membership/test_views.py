"""Changes after which a parent builds the views of its agents again."""

import msgspec
import pytest

from ibispitch.catalogue.core import CatalogueState
from ibispitch.ids import Address
from ibispitch.membership.core import AgentChanged
from ibispitch.membership.core import BalancerChanged
from ibispitch.membership.core import CatalogueChanged
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import MemberState
from ibispitch.membership.server import MembershipServer
from ibispitch.membership.sessions import AgentSession
from ibispitch.membership.view import build_view
from ibispitch.settings.programs import MetricsSettings
from ibispitch.spread import Item
from ibispitch.telemetry import Metrics
from ibispitch.wire import Keyring
from testbed.gossip import balancer_record

OUT = b"""{"edit": {"edit_id": "1", "operator": "o", "time": ""},
"edit_ids": ["1"], "datacentre": {"name": "accra", "state": "out"}}"""
REMOVED = b"""{"edit": {"edit_id": "1", "operator": "o", "time": ""},
"edit_ids": ["1"], "entry": null}"""


def _agent(name, service):
    return AgentRecord(
        agent_id=name,
        service=service,
        datacentre='accra',
        address=Address('10.9.0.1', 5000),
        incarnation=1,
        sequence=1,
        state=MemberState.ACTIVE,
        slots=1,
        connections=2000,
        parent='b0',
    )


def _document(key, value):
    return CatalogueChanged(Item(key, (1,), value))


@pytest.fixture
def server():
    """A parent of one agent, whose view lists that agent and a peer."""
    server = MembershipServer(
        balancer_record(0),
        [],
        Keyring([b'k' * 16]),
        CatalogueState(),
        Metrics(MetricsSettings(exporter='none'), 'test'),
    )
    session = AgentSession(None, server.core)
    session.record = _agent('a0', 'bench')
    agents = [session.record, _agent('a1', 'bench')]
    content = build_view(session.record, agents, [], None, [])
    session.views.next_view(content, 1)
    server._session_by_agent['a0'] = session
    return server


@pytest.mark.parametrize(
    ('change', 'is_affected'),
    [
        (AgentChanged(_agent('a2', 'bench')), True),
        # The peer has moved to another service.
        (AgentChanged(_agent('a1', 'returns')), True),
        (AgentChanged(_agent('a3', 'returns')), False),
        (BalancerChanged(balancer_record(1)), True),
        (_document('entries/bench', REMOVED), True),
        (_document('entries/returns', REMOVED), False),
        (_document('datacentres/accra', OUT), True),
    ],
)
async def test_views_are_built_only_after_relevant_changes(
    server, change, is_affected
):
    """A change of a service must reach the agents of the service.

    A change of another service must not make the parent build views again.
    """
    server._on_change(change)
    assert (server._view_timer is not None) == is_affected
    if server._view_timer is not None:
        server._view_timer.cancel()


def test_lost_peer_affects_the_view(server):
    """The loss of a peer must cause a new view, as a new peer does."""
    lost = msgspec.structs.replace(
        _agent('a1', 'bench'), state=MemberState.LOST
    )
    assert server._affects_a_view(AgentChanged(lost))
