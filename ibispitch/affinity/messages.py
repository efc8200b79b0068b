"""Messages between the agents of a service about slots and flows.

Sets of slots and lists of flows are packed into bytes, so that each message
with its frame fits a datagram of 1,200 bytes.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from itertools import islice
import struct

import msgspec

from ibispitch.ids import Address
from ibispitch.ids import AgentId
from ibispitch.ids import DatacentreName
from ibispitch.ids import FLOW_ID_BYTES
from ibispitch.ids import FlowId
from ibispitch.routing import SLOT_COUNT
from ibispitch.wire import control_message

#: Flows in one message; they take 900 bytes and leave room for the slots.
MAX_MESSAGE_FLOWS = 150

#: :class:`PeerInfo` items in one message; each may take 160 bytes.
MAX_MESSAGE_PEERS = 6

#: Hashes of known agents in one pull; they take 800 bytes. With more known
#: agents a pull asks for no hints, that is, names of further agents.
MAX_KNOWN_AGENTS = 200
KNOWN_HASH_BYTES = 4

BITMAP_BYTES = SLOT_COUNT // 8


class PeerInfo(msgspec.Struct, array_like=True, frozen=True):
    """Identity and address of an agent.

    :param address: UDP address for data-path frames.
    :param incarnation: start time of the process in ns.
    """

    agent_id: AgentId
    address: Address
    datacentre: DatacentreName
    incarnation: int


@control_message('affinity.pull')
class SlotPull(msgspec.Struct, array_like=True, frozen=True):
    """Asks for a promise of slots to the sender.

    :param term: logical time of the request.
    :param slots: packed slots.
    :param known: hashes of the agents that the sender knows, 4 bytes each;
        empty if it asks for no hints.
    :param sender: the agent that asks; the receiver may not know it.
    """

    term: int
    slots: bytes
    known: bytes
    sender: PeerInfo


@control_message('affinity.entries')
class SlotEntries(msgspec.Struct, array_like=True, frozen=True):
    """Promises slots to the puller and lists the sender's flows in them.

    :param term: term of the pull.
    :param slots: packed slots whose flows are all in this message; one slot
        if the answer has several parts, none if it has only hints.
    :param flows: packed flows that the sender owns in these slots.
    :param part: index of this part.
    :param parts: number of parts.
    :param answer: number of the answer; parts are joined only if it is the
        same.
    :param hints: agents that the sender knows and the puller does not.
    """

    term: int
    slots: bytes
    flows: bytes
    part: int = 0
    parts: int = 1
    answer: int = 0
    hints: list[PeerInfo] = []


@control_message('affinity.held')
class SlotHeld(msgspec.Struct, array_like=True, frozen=True):
    """Refuses a pull because the slots are promised under a later term.

    :param holder: the agent to which they are promised, ``None`` if the
        sender no longer knows that agent.
    """

    term: int
    slots: bytes
    holder: PeerInfo | None


@control_message('affinity.offer')
class SlotOffer(msgspec.Struct, array_like=True, frozen=True):
    """Asks the home of slots to pull them.

    It is sent by an authority that is not the home, by an agent that has
    promised the slots to an agent that is no longer reachable, and as the
    answer to a :class:`SlotQuery` about slots for which the sender is not
    the authority.
    """

    term: int
    slots: bytes
    sender: PeerInfo


@control_message('affinity.query')
class SlotQuery(msgspec.Struct, array_like=True, frozen=True):
    """Asks whether the receiver is the authority for slots.

    Without slots it only probes whether the receiver answers.
    """

    slots: bytes
    sender: PeerInfo


@control_message('affinity.claim')
class FlowClaim(msgspec.Struct, array_like=True, frozen=True):
    """Claims that the sender owns a flow, after a conflict.

    :param view_version: version of the sender's view at adoption.
    """

    flow: FlowId
    view_version: int


@control_message('affinity.conflict')
class FlowConflict(msgspec.Struct, array_like=True, frozen=True):
    """Asks an owner of a flow to resolve a conflict with another owner."""

    flow: FlowId
    rival: PeerInfo


@control_message('affinity.released')
class FlowReleased(msgspec.Struct, array_like=True, frozen=True):
    """Reports that the sender's flows ended; repeated until confirmed."""

    flows: bytes


@control_message('affinity.released-ack')
class FlowReleasedAck(msgspec.Struct, array_like=True, frozen=True):
    """Confirms a :class:`FlowReleased`."""

    flows: bytes


@control_message('affinity.move')
class FlowMove(msgspec.Struct, array_like=True, frozen=True):
    """Moves a flow to the receiver; repeated until it is answered.

    :param data: the flow as the gate of the sender exported it.
    :param incarnation: incarnation of the receiver at the first attempt. A
        process that was started later does not know whether the former
        process has adopted the flow and run requests of it.
    """

    flow: FlowId
    data: bytes
    incarnation: int


@control_message('affinity.moved')
class FlowMoved(msgspec.Struct, array_like=True, frozen=True):
    """Answers a :class:`FlowMove`.

    :param accepted: whether the sender owns the flow now.
    """

    flow: FlowId
    accepted: bool


@control_message('affinity.redirect')
class FlowRedirect(msgspec.Struct, array_like=True, frozen=True):
    """Informs the authority that a moved flow has another owner.

    :param former: agent that moved the flow, ``None`` if it is the sender.
    """

    flow: FlowId
    owner: AgentId
    former: AgentId | None = None


@control_message('affinity.redirected')
class FlowRedirected(msgspec.Struct, array_like=True, frozen=True):
    """Confirms a :class:`FlowRedirect`."""

    flow: FlowId


def pack_slots(slots: Collection[int]) -> bytes:
    """Return a set of slots packed into at most 128 bytes.

    >>> pack_slots([1, 1023]).hex()
    '000103ff'
    >>> len(pack_slots(range(1024)))
    128
    """
    if 2 * len(slots) < BITMAP_BYTES:
        return struct.pack(f'!{len(slots)}H', *slots)
    bits = sum(1 << slot for slot in set(slots))
    return bits.to_bytes(BITMAP_BYTES, 'little')


def unpack_slots(packed: bytes) -> list[int]:
    """Return the slots packed by :func:`pack_slots`, without invalid ones.

    >>> unpack_slots(pack_slots([1, 1023]))
    [1, 1023]
    >>> unpack_slots(pack_slots(range(100))) == list(range(100))
    True
    """
    if len(packed) != BITMAP_BYTES:
        pairs = struct.iter_unpack('!H', packed[: len(packed) // 2 * 2])
        return sorted({slot for (slot,) in pairs if slot < SLOT_COUNT})
    bits = int.from_bytes(packed, 'little')
    return [slot for slot in range(SLOT_COUNT) if bits >> slot & 1]


def pack_flows(flows: Iterable[FlowId]) -> bytes:
    """Return the flows joined, 6 bytes each."""
    return b''.join(flows)


def unpack_flows(packed: bytes) -> list[FlowId]:
    """Return the flows packed by :func:`pack_flows`."""
    return [
        FlowId(packed[start : start + FLOW_ID_BYTES])
        for start in range(0, len(packed), FLOW_ID_BYTES)
    ]


def batches(items: Iterable, size: int) -> Iterator[list]:
    """Split items into lists of at most ``size``.

    >>> list(batches([1, 2, 3], 2))
    [[1, 2], [3]]
    """
    iterator = iter(items)
    while batch := list(islice(iterator, size)):
        yield batch
