"""Selection of the agents of a service that may be homes of its slots."""

from collections.abc import Collection
from collections.abc import Iterable

from ibispitch.ids import DatacentreName
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import MemberState


def eligible_agents(
    records: Iterable[AgentRecord],
    datacentres_out: Collection[DatacentreName],
) -> list[AgentRecord]:
    """Return the agents from which the homes are chosen.

    :param records: agents of one service.
    :param datacentres_out: data centres that are out of service.
    :returns: the ACTIVE agents whose data centre is in service; if there are
        none, the DRAINING and LEAVING agents in service, so that their flows
        stay reachable.
    """
    present = [
        record
        for record in records
        if record.state.is_present and record.datacentre not in datacentres_out
    ]
    active = [
        record for record in present if record.state is MemberState.ACTIVE
    ]
    return active or present
