"""HTTP administration API that every balancer serves.

The API keeps no state: entries are read from the catalogue in force, edits
are made in the store, and the state of other processes is queried on demand.
``docs/admin.md`` lists the paths and errors.
"""

from ibispitch.admin.app import make_app
from ibispitch.admin.client import AdminClient
from ibispitch.admin.client import HttpEditor
from ibispitch.admin.errors import ApiError
from ibispitch.admin.state import AgentLoad
from ibispitch.admin.state import AgentView
from ibispitch.admin.state import BalancerView
from ibispitch.admin.state import FleetState
from ibispitch.admin.state import Health
from ibispitch.admin.state import LocalState
from ibispitch.admin.state import StateProvider

__all__ = [
    'AdminClient',
    'AgentLoad',
    'AgentView',
    'ApiError',
    'BalancerView',
    'FleetState',
    'Health',
    'HttpEditor',
    'LocalState',
    'StateProvider',
    'make_app',
]
