"""Request gates: at-most-once execution, and answers that stay valid.

A gate is the part of an agent that handles the datagrams between callers and
the upstream. It keeps records of the requests that its upstream has run. The
protocol of the catalogue entry determines which gate is used.
"""

from ibispitch.requests.core import CoapGate
from ibispitch.requests.datagram import DatagramGate
from ibispitch.requests.registry import Gate
from ibispitch.requests.registry import GateSettings
from ibispitch.requests.registry import make_gate
from ibispitch.requests.registry import register_gate

__all__ = [
    'CoapGate',
    'DatagramGate',
    'Gate',
    'GateSettings',
    'make_gate',
    'register_gate',
]
