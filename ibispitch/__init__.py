"""A layer-4 load balancer for UDP services.

Each sub-package covers one task, with its own state, messages and decision
code. ``docs/design.md`` describes how they work together.
"""

__version__ = '0.1.0'
