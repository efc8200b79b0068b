"""Client library for callers of a balanced service.

A session keeps the Echo value that an agent issued to it. It owns nothing
else.
"""

from ibispitch.caller.outcomes import NotRun
from ibispitch.caller.outcomes import Outcome
from ibispitch.caller.outcomes import Result
from ibispitch.caller.outcomes import Unknown
from ibispitch.caller.session import CallerSession

__all__ = ['CallerSession', 'NotRun', 'Outcome', 'Result', 'Unknown']
