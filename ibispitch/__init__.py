"""A layer-4 load balancer for UDP services.

Each sub-package is one duty with its own state, messages and decisions.
``docs/design.md`` describes how they work together.
"""

__version__ = '0.1.0'
