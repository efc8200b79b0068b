"""Messages between the agents of a service about slots and flows.

Sets of slots and lists of flows are packed into bytes, so that each message
fits a datagram of 1,200 bytes with its frame.
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

#: Flows in one message; 900 bytes, which leaves room for a set of slots.
MAX_MESSAGE_FLOWS = 150

#: Descriptions of agents in one message; each may take 160 bytes.
MAX_MESSAGE_PEERS = 6

#: Hashes of known agents in one pull; 800 bytes. With more agents a pull
#: asks for no hints.
MAX_KNOWN = 200
KNOWN_BYTES = 4

BITMAP_BYTES = SLOT_COUNT // 8


class PeerInfo(msgspec.Struct, array_like=True, frozen=True):
    """How to reach an agent.

    :param address: UDP address for data-path frames.
    :param incarnation: start time of the process in ns.
    """

    agent_id: AgentId
    address: Address
    datacentre: DatacentreName
    incarnation: int


@control_message('affinity.pull')
class SlotPull(msgspec.Struct, array_like=True, frozen=True):
    """Asks for the authority over slots.

    :param term: logical time of the request.
    :param slots: packed slots.
    :param known: hashes of the agents that the sender knows, 4 bytes each;
        empty if it wants no hints.
    :param sender: the agent that asks, which the receiver may not know.
    """

    term: int
    slots: bytes
    known: bytes
    sender: PeerInfo


@control_message('affinity.entries')
class SlotEntries(msgspec.Struct, array_like=True, frozen=True):
    """Grants slots to the puller and lists the sender's flows in them.

    :param term: term of the pull.
    :param slots: packed slots that this message is the full answer for; one
        slot if the answer has several parts, none if it has only hints.
    :param flows: packed flows that the sender owns in these slots.
    :param part: index of this part.
    :param parts: number of parts.
    :param answer: number of the answer; only parts of the same answer
        belong together.
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
    """Refuses a pull, since the slots are promised under a later term.

    :param holder: the agent to which they are promised, ``None`` if the
        sender no longer knows it.
    """

    term: int
    slots: bytes
    holder: PeerInfo | None


@control_message('affinity.offer')
class SlotOffer(msgspec.Struct, array_like=True, frozen=True):
    """Asks the home of slots to pull them.

    Sent by an authority that is not the home, by an agent that promised
    the slots to an agent that is gone, and in answer to a
    :class:`SlotQuery` for the slots that the sender has no authority over.
    """

    term: int
    slots: bytes
    sender: PeerInfo


@control_message('affinity.query')
class SlotQuery(msgspec.Struct, array_like=True, frozen=True):
    """Asks whether the receiver has the authority over slots.

    With no slots it only asks for a sign of life.
    """

    slots: bytes
    sender: PeerInfo


@control_message('affinity.claim')
class FlowClaim(msgspec.Struct, array_like=True, frozen=True):
    """States that the sender owns a flow.

    :param view_version: version of the sender's view at adoption.
    """

    flow: FlowId
    view_version: int


@control_message('affinity.conflict')
class FlowConflict(msgspec.Struct, array_like=True, frozen=True):
    """Asks an owner of a flow to settle it with another owner."""

    flow: FlowId
    rival: PeerInfo


@control_message('affinity.released')
class FlowReleased(msgspec.Struct, array_like=True, frozen=True):
    """States that the sender's flows ended; repeated until confirmed."""

    flows: bytes


@control_message('affinity.released-ack')
class FlowReleasedAck(msgspec.Struct, array_like=True, frozen=True):
    """Confirms a :class:`FlowReleased`."""

    flows: bytes


@control_message('affinity.move')
class FlowMove(msgspec.Struct, array_like=True, frozen=True):
    """Gives a flow to the receiver; repeated until it is answered.

    :param data: the flow as the sender's agent exported it.
    :param incarnation: incarnation of the receiver that is meant. A process
        that was started since then does not know whether the former one
        has adopted the export and run requests of it.
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
    """Tells the authority that a moved flow has another owner.

    :param former: agent that gave the flow away, ``None`` if it is the
        sender.
    """

    flow: FlowId
    owner: AgentId
    former: AgentId | None = None


@control_message('affinity.redirected')
class FlowRedirected(msgspec.Struct, array_like=True, frozen=True):
    """Confirms a :class:`FlowRedirect`."""

    flow: FlowId


def pack_slots(slots: Collection[int]) -> bytes:
    """Pack a set of slots into at most 128 bytes.

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
    """Return the slots of :func:`pack_slots`; invalid ones are left out.

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
    """Join flows, 6 bytes each."""
    return b''.join(flows)


def unpack_flows(packed: bytes) -> list[FlowId]:
    """Return the flows of :func:`pack_flows`."""
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
