"""Replicated map of versioned items on every balancer.

Each balancer owns its copy. The greater version of a key wins, so that
copies that exchanged all items are equal whatever the order was.
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
