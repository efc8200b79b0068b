"""The balancer program: forwards packets and serves the control plane.

It keeps no state of flows. Routing tables are in the package ``routing``, and
records of the members in the package ``membership``.
"""

from ibispitch.balancer.program import main

__all__ = ['main']
