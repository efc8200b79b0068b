"""Flow affinity: all packets of a flow reach the agent that owns it.

Flows are hashed to slots. For each slot one agent is the authority: it
chooses the owner of every unknown flow in the slot and keeps a directory of
the flows that other agents own. The authority is normally the slot's home,
the agent to which balancers forward packets of the slot. An agent becomes
the authority when all other agents have promised it the slot. An owner
adopts a flow with the first packet that the authority relays to it.

Each agent has its own state: the flows that it owns, its promises, and the
directory of the slots for which it is the authority.
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
