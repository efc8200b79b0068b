"""Replicated map of versioned items on every balancer.

Each balancer has its own copy. Of two versions of an item the greater one is
kept, so copies that have exchanged all items are equal, in whatever order
the items arrived. New items are sent to random peers as rumours; digests of
all items find and repair differences between copies.
"""

from ibispitch.spread.core import Effect
from ibispitch.spread.core import ItemChanged
from ibispitch.spread.core import ItemDropped
from ibispitch.spread.core import SendDatagram
from ibispitch.spread.core import SendStream
from ibispitch.spread.core import SpreadCore
from ibispitch.spread.messages import Item
from ibispitch.spread.messages import SPREAD_MESSAGES

__all__ = [
    'SPREAD_MESSAGES',
    'Effect',
    'Item',
    'ItemChanged',
    'ItemDropped',
    'SendDatagram',
    'SendStream',
    'SpreadCore',
]
