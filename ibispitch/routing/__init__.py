"""Slots and their homes.

Each process derives its tables from its own view; there is no shared state.
"""

from ibispitch.routing.core import RoutingCore
from ibispitch.routing.slots import SLOT_COUNT
from ibispitch.routing.slots import slot_of
from ibispitch.routing.slots import SlotTable
from ibispitch.routing.views import eligible_agents

__all__ = [
    'SLOT_COUNT',
    'RoutingCore',
    'SlotTable',
    'eligible_agents',
    'slot_of',
]
