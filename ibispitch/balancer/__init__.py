"""The balancer program: forwards packets and serves the control plane.

It holds no state per flow; tables and records are owned by the ``routing``
and ``membership`` slices.
"""

from ibispitch.balancer.program import main

__all__ = ['main']
