"""The request gate of an agent: truthful outcomes and at-most-once runs.

The agent owns the records of what its upstream has run. A gate is chosen by
the protocol of the catalogue entry.
"""

from ibispitch.requests.core import CoapGate
from ibispitch.requests.datagram import DatagramGate
from ibispitch.requests.registry import Gate
from ibispitch.requests.registry import gate
from ibispitch.requests.registry import GateSettings
from ibispitch.requests.registry import make_gate

__all__ = [
    'CoapGate',
    'DatagramGate',
    'Gate',
    'GateSettings',
    'gate',
    'make_gate',
]
