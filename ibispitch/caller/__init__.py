"""Client library for callers of a balanced service.

The only state of a session is the Echo values that agents issued to it.
"""

from ibispitch.caller.outcomes import NotRun
from ibispitch.caller.outcomes import Outcome
from ibispitch.caller.outcomes import Result
from ibispitch.caller.outcomes import Unknown
from ibispitch.caller.session import CallerSession

__all__ = ['CallerSession', 'NotRun', 'Outcome', 'Result', 'Unknown']
