"""The agent program, which runs beside one upstream.

It receives the packets of callers from the balancers, owns flows and their
requests, and passes them to the upstream. The decisions are made in the
packages ``affinity``, ``requests``, ``admission``, ``limits`` and ``retry``;
this package has the sockets and the process.
"""

from ibispitch.agent.program import main

__all__ = ['main']
