"""Choice of parents and readers by rendezvous hashing.

Processes that know the same balancers choose the same ones without an
election, and the loss of a balancer changes only the choices of that one.
"""

from collections.abc import Iterable

import xxhash

from ibispitch.ids import BalancerId
from ibispitch.ids import DatacentreName
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import BalancerRecord
from ibispitch.membership.records import MemberState

READERS_PER_DATACENTRE = 2
#: Balancers that read too while a reader cannot reach the store. The number
#: is fixed, so that the whole fleet does not call the store in an outage.
STANDBY_READERS = 4


def _score(subject: str, balancer_id: BalancerId) -> int:
    return xxhash.xxh3_64_intdigest(f'{subject}\0{balancer_id}'.encode())


def _sorted_by_score(
    subject: str, balancers: Iterable[BalancerRecord]
) -> list[BalancerRecord]:
    return sorted(
        balancers,
        key=lambda record: (
            _score(subject, record.balancer_id),
            record.balancer_id,
        ),
        reverse=True,
    )


def parent_order(
    agent: AgentRecord, balancers: Iterable[BalancerRecord]
) -> list[BalancerRecord]:
    """Return the balancers in the order in which an agent tries them.

    :param agent: the agent.
    :param balancers: the balancers that are known.
    :returns: the ACTIVE balancers of its data centre, then the ACTIVE ones
        of other data centres.
    """
    ordered = _sorted_by_score(
        agent.agent_id,
        (record for record in balancers if record.state is MemberState.ACTIVE),
    )
    return sorted(
        ordered, key=lambda record: record.datacentre != agent.datacentre
    )


def readers(
    datacentre: DatacentreName, balancers: Iterable[BalancerRecord]
) -> list[BalancerId]:
    """Return the balancers that read the catalogue for a data centre.

    :param datacentre: name of the data centre.
    :param balancers: the balancers that are known.
    :returns: at most two identifiers, or with standbys at most six if one
        of the two does not reach the store. Balancers that reach the store
        come first, and the first one writes the snapshot.
    """
    chosen = _sorted_by_score(
        f'reader\0{datacentre}',
        (
            record
            for record in balancers
            if record.datacentre == datacentre
            and record.state is MemberState.ACTIVE
        ),
    )
    selected = chosen[:READERS_PER_DATACENTRE]
    if not all(record.reaches_store for record in selected):
        selected = chosen[: READERS_PER_DATACENTRE + STANDBY_READERS]
    return [
        record.balancer_id
        for record in sorted(selected, key=lambda r: not r.reaches_store)
    ]
