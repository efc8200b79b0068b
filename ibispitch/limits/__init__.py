"""Limits of owners, classes and open flows, shared over the agents.

Each agent holds a share of each limit. Shares move between agents by
demand; together they never exceed the limit.
"""

from ibispitch.limits.core import LimitCore
from ibispitch.limits.core import LimitKind
from ibispitch.limits.messages import ShareReport

__all__ = ['LimitCore', 'LimitKind', 'ShareReport']
