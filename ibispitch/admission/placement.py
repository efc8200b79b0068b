"""Choice of the owner of a new flow, made by the home of the flow.

The home is the agent that the flow id is mapped to; the owner serves it.
"""

from collections.abc import Collection
from collections.abc import Sequence
import random

from ibispitch.admission.flows import FlowLimit
from ibispitch.admission.loads import LoadTable
from ibispitch.ids import AgentId

#: The home keeps a new flow if its number of flows is at most this ratio of
#: the mean. The target is 1.10; the difference allows for the age of reports.
KEEP_MEAN_RATIO = 1.02
#: Added to that limit, since with few flows a single one exceeds that ratio.
KEEP_EXTRA_FLOWS = 1.0
#: The weight of a peer in the random choice falls to zero when its flows
#: exceed the mean by this share of the mean, and grows at the same rate below
#: the mean.
ZERO_WEIGHT_EXCESS_SHARE = 0.04


class Placement:
    """Chooses owners by load, within the ramps and connection limits.

    :param loads: loads of the peers.
    :param flows: limit on the flows of this agent.
    :param rng: makes the random choice between peers.
    """

    def __init__(self, loads: LoadTable, flows: FlowLimit, rng: random.Random):
        self._loads = loads
        self._flows = flows
        self._rng = rng
        self.is_draining = False

    def choose_owner(
        self,
        self_id: AgentId,
        candidates: Sequence[AgentId],
        now: float,
        exclude: Collection[AgentId] = (),
    ) -> AgentId | None:
        """Return the agent that is to own a new flow.

        This agent keeps the flow if its load is near the mean. Otherwise a
        peer is chosen at random, with a weight that falls with its load.
        Always choosing the least loaded peer would overload it, since all
        homes see the same reports.

        :param self_id: the home of the flow.
        :param candidates: agents that may own the flow.
        :param now: time in seconds.
        :param exclude: agents that have declined the flow.
        :returns: the owner, or ``None`` if no candidate has room.
        """
        own = float(self._flows.open_flows)
        flows_by_id: dict[AgentId, float] = {}
        expected_flows_by_id: dict[AgentId, float] = {}
        for agent_id in candidates:
            if agent_id == self_id or agent_id in exclude:
                continue
            load = self._loads.load(agent_id, now)
            if load is None or load.is_draining:
                continue
            flows_by_id[agent_id] = load.flows
            if self._has_room(load.flow_room):
                expected_flows_by_id[agent_id] = load.expected_flows
        mean = (own + sum(flows_by_id.values())) / (len(flows_by_id) + 1)
        can_keep = (
            self_id in candidates
            and self_id not in exclude
            and not self.is_draining
            and self._flows.room(now) > 0
        )
        if can_keep and own <= mean * KEEP_MEAN_RATIO + KEEP_EXTRA_FLOWS:
            return self_id
        if not expected_flows_by_id:
            return self_id if can_keep else None
        chosen = self._choose_by_weight(expected_flows_by_id)
        self._loads.record_flow_sent(chosen, now)
        return chosen

    def _has_room(self, room: float) -> bool:
        # Less than one flow for each home: a random one of them gets it.
        return room >= 1.0 or self._rng.random() < room

    def _choose_by_weight(self, flows_by_id: dict[AgentId, float]) -> AgentId:
        mean = sum(flows_by_id.values()) / len(flows_by_id)
        scale = max(1.0, ZERO_WEIGHT_EXCESS_SHARE * mean)
        weights = [
            max(0.0, 1.0 + (mean - flows) / scale)
            for flows in flows_by_id.values()
        ]
        return self._rng.choices(list(flows_by_id), weights)[0]
