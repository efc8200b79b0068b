"""Routing of packets: slots, and the agent that is the home of each slot.

A flow is hashed to one of 1,024 slots of its service. The home of a slot is
chosen from the agents by rendezvous hashing. Each process computes its tables
from the agents that it knows; there is no shared state.
"""

from ibispitch.routing.core import RoutingCore
from ibispitch.routing.eligibility import eligible_agents
from ibispitch.routing.slots import SLOT_COUNT
from ibispitch.routing.slots import slot_of
from ibispitch.routing.slots import SlotTable

__all__ = [
    'SLOT_COUNT',
    'RoutingCore',
    'SlotTable',
    'eligible_agents',
    'slot_of',
]
