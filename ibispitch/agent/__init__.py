"""The agent program: owns the flows and requests of one upstream.

The decisions are in the slices ``affinity``, ``requests``, ``admission``,
``limits`` and ``retry``; this package owns the sockets.
"""

from ibispitch.agent.program import main

__all__ = ['main']
