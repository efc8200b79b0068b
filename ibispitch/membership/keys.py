"""Keys of items in spread, and the encoding of member records.

Records of members have the prefixes ``balancer/`` and ``agent/``. Documents
of the catalogue have the same key as in the store, without the cluster
prefix.
"""

import msgspec

from ibispitch.decoding import decode_msgpack
from ibispitch.ids import AgentId
from ibispitch.ids import BalancerId
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import BalancerRecord
from ibispitch.spread import Item

BALANCER_PREFIX = 'balancer/'
AGENT_PREFIX = 'agent/'
ENTRY_PREFIX = 'entries/'
DATACENTRE_PREFIX = 'datacentres/'

MemberRecord = AgentRecord | BalancerRecord


def balancer_key(balancer_id: BalancerId) -> str:
    """Return the key of a balancer's record."""
    return BALANCER_PREFIX + balancer_id


def agent_key(agent_id: AgentId) -> str:
    """Return the key of an agent's record."""
    return AGENT_PREFIX + agent_id


def encode_record(record: MemberRecord) -> Item:
    """Return the spread item for a record.

    Records of members that are LOST or LEFT become tombstones.
    """
    key = (
        agent_key(record.agent_id)
        if isinstance(record, AgentRecord)
        else balancer_key(record.balancer_id)
    )
    return Item(
        key,
        msgspec.structs.astuple(record.version),
        msgspec.msgpack.encode(record),
        not record.state.is_present,
    )


def decode_record(item: Item) -> MemberRecord | None:
    """Return the record in a spread item.

    :returns: ``None`` if the item is not a record or cannot be decoded, for
        example because a newer release wrote it.
    """
    try:
        if item.key.startswith(BALANCER_PREFIX):
            return decode_msgpack(item.value, BalancerRecord)
        if item.key.startswith(AGENT_PREFIX):
            return decode_msgpack(item.value, AgentRecord)
    except ValueError:
        pass
    return None
