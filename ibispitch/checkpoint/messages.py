"""Messages that carry the flows of a restarting agent."""

from typing import Annotated

import msgspec
from msgspec import Meta

from ibispitch.decoding import Count
from ibispitch.forwarding.packets import FLOW_KEY_BYTES
from ibispitch.forwarding.packets import FlowKey

#: Maximum number of flows in one message, so that it fits into a datagram of
#: 1,200 bytes.
FLOWS_PER_PART = 80


class CheckpointPart(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """One part of the saved flows of an upstream.

    The sender knew all flows. The version before relies on that, and denies
    flows that are not listed.

    :param saved_by: start of the process that saved them, Unix time.
    :param incarnation: the upstream that holds them.
    :param part: number of this message, from 0.
    :param parts: total number of messages.
    :param flows: the flow keys.
    """

    saved_by: Count
    incarnation: Count
    part: Count
    parts: Count
    flows: tuple[
        Annotated[
            bytes, Meta(min_length=FLOW_KEY_BYTES, max_length=FLOW_KEY_BYTES)
        ],
        ...,
    ]


class PartialCheckpointPart(CheckpointPart, frozen=True, tag=6):
    """One part of flows that need not be all flows of the upstream.

    The version before does not read it.
    """


class CheckpointRequest(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Request of a restarted agent for its saved flows.

    :param started_ms: start of the requesting process, Unix time.
    """

    started_ms: Count


def split_flows(
    saved_by: int,
    incarnation: int,
    flows: list[FlowKey],
    are_all: bool = True,
) -> list[CheckpointPart]:
    """Return the messages that carry the flows of an upstream.

    :param saved_by: start of this process, Unix time.
    :param incarnation: the upstream that holds the flows.
    :param flows: its flows.
    :param are_all: whether these are all flows of the upstream.

    >>> [len(part.flows) for part in split_flows(7, 1, [FlowKey(b'f')] * 81)]
    [80, 1]
    >>> len(split_flows(7, 1, []))
    1
    """
    chunks = [
        tuple(flows[start : start + FLOWS_PER_PART])
        for start in range(0, max(1, len(flows)), FLOWS_PER_PART)
    ]
    part_type = CheckpointPart if are_all else PartialCheckpointPart
    return [
        part_type(saved_by, incarnation, number, len(chunks), chunk)
        for number, chunk in enumerate(chunks)
    ]
