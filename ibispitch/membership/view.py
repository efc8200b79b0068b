"""The view that a parent sends to an agent."""

from collections.abc import Iterable

import msgspec

from ibispitch.catalogue.documents import Entry
from ibispitch.ids import AgentId
from ibispitch.ids import DatacentreName
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import BalancerRecord
from ibispitch.membership.records import ServiceView
from ibispitch.membership.selection import parent_order

#: Limits the size of a view in a large fleet: 64 records are about 8 KB.
MAX_VIEW_BALANCERS = 64


def build_view(
    agent: AgentRecord,
    agents: Iterable[AgentRecord],
    balancers: Iterable[BalancerRecord],
    entry: Entry | None,
    datacentres_out: Iterable[DatacentreName],
) -> ServiceView:
    """Return the view of an agent, with version 0.

    :param agent: the agent that receives the view.
    :param agents: known agents of any service, with effective states.
    :param balancers: known balancers.
    :param entry: catalogue entry of the agent's service.
    :param datacentres_out: data centres that are out of service.
    """
    balancers = [record for record in balancers if record.state.is_present]
    if len(balancers) > MAX_VIEW_BALANCERS:
        balancers = parent_order(agent, balancers)[:MAX_VIEW_BALANCERS]
    return ServiceView(
        version=0,
        entry=entry,
        agents=sorted(
            (
                record
                for record in agents
                if record.service == agent.service and record.state.is_present
            ),
            key=lambda record: record.agent_id,
        ),
        datacentres_out=sorted(datacentres_out),
        balancers=sorted(balancers, key=lambda record: record.balancer_id),
    )


class ViewSequence:
    """Versions of the views that a parent sends to one agent.

    Versions of members are pairs of incarnation and sequence, and parents
    learn of changes in different orders, so no number that is computed from
    the content alone grows with each change. The version is therefore a
    hybrid logical clock: the wall clock in milliseconds, but greater than
    the version of every view that the agent received from any parent. Thus
    views of different agents are ordered by age up to the clock difference
    of their parents.

    :param seen_version: version of the newest view that the agent has.
    """

    def __init__(self, seen_version: int):
        self._version = seen_version
        self._content: ServiceView | None = None

    def next_view(
        self, content: ServiceView, wall_ms: int, force: bool = False
    ) -> ServiceView | None:
        """Return the view to send.

        :param content: a view with version 0.
        :param wall_ms: wall-clock time in milliseconds.
        :param force: whether to send it even if nothing has changed.
        :returns: the view with its version, ``None`` if the agent has this
            content already.
        """
        if content == self._content and not force:
            return None
        self._content = content
        self._version = max(wall_ms, self._version + 1)
        return msgspec.structs.replace(content, version=self._version)

    def lists_agent(self, agent_id: AgentId) -> bool:
        """Return whether the last view lists an agent."""
        return self._content is not None and any(
            record.agent_id == agent_id for record in self._content.agents
        )

    def record_seen(self, version: int) -> None:
        """Record the version of a view that the agent got from any parent."""
        self._version = max(self._version, version)
