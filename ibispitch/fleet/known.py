"""Whether a balancer knows all agents.

Only then may it conclude from the answers of the agents that none has a flow,
and reset the flow.
"""

import enum

from ibispitch.fleet.core import Fleet

#: Time after its start from which a balancer knows all agents and may
#: conclude that no agent has a flow: one round of status messages.
FLEET_KNOWN_S = 0.4
#: The same if no other balancer has sent the list of agents. Either all
#: processes were killed and restart within 2 s, or the seeds in the settings
#: are outdated and are corrected within 3 s.
FLEET_KNOWN_WITHOUT_LIST_S = 3.5
#: Time after the first message of a new agent in which more new agents are
#: expected. An agent contacts all balancers within milliseconds of its
#: start.
NEW_AGENTS_S = 0.25


class Evidence(enum.Enum):
    """From what a balancer concludes that it knows all agents."""

    #: A balancer that knows the fleet has listed them.
    LIST = 'list'
    #: All known hosts seem to have lost power, so no other agent has a flow.
    RESTARTED_HOSTS = 'restarted hosts'
    #: The others have had the time to send a status.
    TIME = 'time'


class KnownFleet:
    """What a process knows of the fleet since its start.

    :param fleet: the agents and balancers that it knows.
    :param started_at: start of the process, in seconds.
    """

    def __init__(self, fleet: Fleet, started_at: float):
        self._fleet = fleet
        self._started_at = started_at

    def has_run_long_enough(self, now: float) -> bool:
        """Return whether this process has run long enough to know all agents.

        Processes that were killed together restart at different times. If
        all known hosts have just restarted, all have lost power: an agent
        that has not restarted yet is not likely to have a flow, so the
        shorter time is enough.
        """
        since_start = now - self._started_at
        if self.evidence is Evidence.TIME:
            return since_start >= FLEET_KNOWN_WITHOUT_LIST_S
        return since_start >= FLEET_KNOWN_S

    @property
    def evidence(self) -> Evidence:
        """What shows that all agents are known, once the time has passed."""
        if self._fleet.has_agent_list:
            return Evidence.LIST
        if self._fleet.has_only_restarted_hosts():
            return Evidence.RESTARTED_HOSTS
        return Evidence.TIME

    def is_complete(self, now: float) -> bool:
        """Return whether all agents are known and no new ones appear."""
        are_agents_starting = (
            now - self._fleet.last_new_agent_at < NEW_AGENTS_S
        )
        return self.has_run_long_enough(now) and not are_agents_starting
