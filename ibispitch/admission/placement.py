"""Choice of the owner of a new flow by its home."""

from collections.abc import Collection
from collections.abc import Sequence
import random

from ibispitch.admission.flows import FlowLimit
from ibispitch.admission.loads import LoadTable
from ibispitch.ids import AgentId

#: The home keeps a new flow while it has at most this many means of flows.
#: It leaves room below the target of 1.10 for what reports lag behind.
NEAR_MEAN = 1.02
#: With few flows a single one is more than a share of the mean.
NEAR_MEAN_FLOWS = 1.0
#: The chance of a peer to get a flow falls to nothing at this share of the
#: mean above the mean, and grows at the same rate below it.
EXCESS_SHARE = 0.04


class Placement:
    """Chooses owners by load, within ramps and connections.

    :param loads: loads of the peers.
    :param flows: limit of the flows of this agent.
    :param rng: spreads flows over the peers that are below the mean.
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
        """Return the agent that a new flow is placed at.

        This agent keeps the flow if its load is near the mean. Otherwise
        a peer is drawn, with a chance that falls with its load. It is not
        always the least loaded one, since the other homes see the same
        reports.

        :param self_id: the home of the flow.
        :param candidates: agents that may own the flow.
        :param now: time in seconds.
        :param exclude: agents that already declined the flow.
        :returns: the owner, or ``None`` if no candidate has room.
        """
        own = float(self._flows.open_flows)
        flows_by_id: dict[AgentId, float] = {}
        open_by_id: dict[AgentId, float] = {}
        for agent_id in candidates:
            if agent_id == self_id or agent_id in exclude:
                continue
            load = self._loads.load(agent_id, now)
            if load is None or load.is_draining:
                continue
            flows_by_id[agent_id] = load.flows
            if self._has_room(load.flow_room):
                open_by_id[agent_id] = load.expected_flows
        mean = (own + sum(flows_by_id.values())) / (len(flows_by_id) + 1)
        can_keep = (
            self_id in candidates
            and self_id not in exclude
            and not self.is_draining
            and self._flows.room(now) > 0
        )
        if can_keep and own <= mean * NEAR_MEAN + NEAR_MEAN_FLOWS:
            return self_id
        if not open_by_id:
            return self_id if can_keep else None
        chosen = self._draw(open_by_id)
        self._loads.flow_sent(chosen, now)
        return chosen

    def _has_room(self, room: float) -> bool:
        # Room for less than one flow is shared by chance among the homes.
        return room >= 1.0 or self._rng.random() < room

    def _draw(self, flows_by_id: dict[AgentId, float]) -> AgentId:
        mean = sum(flows_by_id.values()) / len(flows_by_id)
        scale = max(1.0, EXCESS_SHARE * mean)
        weights = [
            max(0.0, 1.0 + (mean - flows) / scale)
            for flows in flows_by_id.values()
        ]
        return self._rng.choices(list(flows_by_id), weights)[0]
