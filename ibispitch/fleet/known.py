"""Whether a balancer knows all agents.

Only then may it conclude from the answers of the agents that none has a flow,
and reset the flow.
"""

import enum

from ibispitch.fleet.core import Fleet

#: Time after its start from which a balancer knows all agents and may
#: conclude that no agent has a flow: one round of status messages.
FLEET_KNOWN_S = 0.4
#: The same if no other balancer has sent the list of agents, at the first
#: start of the fleet: the seeds in the settings may be outdated and are
#: corrected within 3 s. Later it is the idle time-out of flows, because an
#: agent may start late while its upstream holds flows from before.
FIRST_START_S = 3.5
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
    #: The flows of agents that are not known are idle or do not exist.
    TIME = 'time'


class KnownFleet:
    """What a process knows of the fleet since its start.

    :param fleet: the agents and balancers that it knows.
    :param started_at: start of the process, in seconds.
    :param is_first_start: whether the whole fleet starts for the first time.
    """

    def __init__(self, fleet: Fleet, started_at: float, is_first_start: bool):
        self._fleet = fleet
        self._started_at = started_at
        self._is_first_start = is_first_start

    def evidence(self, now: float) -> Evidence | None:
        """Return what shows that all agents are known.

        Processes that were killed together restart at different times. If
        all known hosts have just restarted, all have lost power: an agent
        that has not restarted yet is not likely to have a flow.

        :returns: ``None`` if there may be others.
        """
        since_start = now - self._started_at
        if since_start < FLEET_KNOWN_S:
            return None
        limit_s = self._fleet.idle_timeout_s
        if self._is_first_start:
            limit_s = FIRST_START_S
        # First, because the others look at all agents.
        if since_start >= limit_s:
            return Evidence.TIME
        if self._fleet.has_agent_list:
            return Evidence.LIST
        if self._fleet.has_only_restarted_hosts(now):
            return Evidence.RESTARTED_HOSTS
        return None

    def is_complete(self, now: float) -> bool:
        """Return whether all agents are known and no new ones appear."""
        return self.evidence(now) is not None and not self._has_new(now)

    def is_settled(self, now: float) -> bool:
        """Return whether most agents are known and no new ones appear.

        An agent that starts late may be unknown.
        """
        has_run_long_enough = now - self._started_at >= FIRST_START_S
        return not self._has_new(now) and (
            has_run_long_enough or self.evidence(now) is not None
        )

    def is_gathering(self, now: float) -> bool:
        """Return whether agents are becoming known after the start.

        Until then a search that has asked all known agents nearby may have
        missed the owner there.
        """
        return now - self._started_at < FIRST_START_S and self._has_new(now)

    def _has_new(self, now: float) -> bool:
        return now - self._fleet.last_new_agent_at < NEW_AGENTS_S
