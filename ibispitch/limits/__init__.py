"""Limits of owners, classes and open flows, divided among the agents.

Each agent may use a share of each limit. Shares move between agents
according to demand; their sum never exceeds the limit.
"""

from ibispitch.limits.core import LimitCore
from ibispitch.limits.core import LimitKind
from ibispitch.limits.messages import ShareReport

__all__ = ['LimitCore', 'LimitKind', 'ShareReport']
