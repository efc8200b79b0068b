"""Client of the key-value store.

The client uses the JSON gateway of the etcd v3 API over HTTP. It keeps no
state except its connections.
"""

from ibispitch.store.client import StoreClient
from ibispitch.store.errors import StoreError
from ibispitch.store.errors import StoreFault
from ibispitch.store.messages import Compare
from ibispitch.store.messages import KeyValue
from ibispitch.store.messages import Put
from ibispitch.store.messages import RangeResult
from ibispitch.store.messages import Read
from ibispitch.store.messages import TxnResult
from ibispitch.store.messages import WatchBatch
from ibispitch.store.messages import WatchEvent

__all__ = [
    'Compare',
    'KeyValue',
    'Put',
    'RangeResult',
    'Read',
    'StoreClient',
    'StoreError',
    'StoreFault',
    'TxnResult',
    'WatchBatch',
    'WatchEvent',
]
