"""Affinity: the owner of each flow, and who may adopt unknown flows.

Each agent owns its flows, its promises of slots, and the directory of its
own slots.
"""

from ibispitch.affinity.core import AffinityCore
from ibispitch.affinity.core import Placement
from ibispitch.affinity.effects import AdoptMovedFlow
from ibispitch.affinity.effects import CloseFlow
from ibispitch.affinity.effects import Deliver
from ibispitch.affinity.effects import Drop
from ibispitch.affinity.effects import DropReason
from ibispitch.affinity.effects import Effect
from ibispitch.affinity.effects import ForgetMovedFlow
from ibispitch.affinity.effects import Packet
from ibispitch.affinity.effects import Relay
from ibispitch.affinity.effects import SendMessage
from ibispitch.affinity.messages import PeerInfo

__all__ = [
    'AdoptMovedFlow',
    'AffinityCore',
    'CloseFlow',
    'Deliver',
    'Drop',
    'DropReason',
    'Effect',
    'ForgetMovedFlow',
    'Packet',
    'PeerInfo',
    'Placement',
    'Relay',
    'SendMessage',
]
