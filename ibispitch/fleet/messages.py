"""Status messages of balancers and agents.

Each is a msgpack array in a datagram. It begins with the number of its type:
1, 2 and 5 here, 3, 4 and 6 in ``ibispitch.checkpoint.messages``.
"""

from collections.abc import Iterable
import enum
import socket
from typing import Annotated
import zlib

import msgspec
from msgspec import Meta

from ibispitch.checkpoint.messages import CheckpointPart
from ibispitch.checkpoint.messages import CheckpointRequest
from ibispitch.checkpoint.messages import PartialCheckpointPart
from ibispitch.decoding import Count
from ibispitch.decoding import decode_with
from ibispitch.decoding import Number
from ibispitch.decoding import Quantity
from ibispitch.decoding import Whole
from ibispitch.ids import DatacentreName
from ibispitch.ids import ServiceName
from ibispitch.routes.position import TablePosition

IP_BYTES = 4
#: Maximum number of balancers and of agents that a status lists, so that it
#: fits into a datagram. In a larger fleet a list is a sample.
MAX_LISTED_PROCESSES = 128


class AgentState(enum.IntEnum):
    """State of an upstream, as its agent reports it."""

    #: The agent has got no heartbeat from its upstream since it started.
    UNKNOWN = 0
    READY = 1
    #: The upstream gets no new flows, finishes its flows and leaves.
    DRAINING = 2
    #: The upstream sends no heartbeats; its flows may still be served.
    SILENT = 3
    #: The upstream has ended, and its flows are lost.
    ENDED = 4
    #: The agent's process restarts; the flows of its upstream continue.
    RESTARTING = 5
    #: The agent has got no heartbeat from its upstream since it started, but
    #: the upstream answered a health check. It gets as few flows as a cold
    #: one.
    PRESUMED = 6


class AgentStatus(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """State and load of an agent and its upstream.

    :param started_ms: start of the agent's process, Unix time.
    :param number: counts the messages of this process.
    :param incarnation: identifies the start of the upstream, 0 for none.
    :param slots: requests that the upstream runs at a time.
    :param running: requests that the upstream runs or has queued, and
        openings whose request is still expected; without late requests that
        the agent holds.
    :param work_s: mean time of a request, 0 if not known.
    :param failing: share of its requests that fail, 0 to 1.
    :param long_flows: open flows on which more requests may come.
    :param cold_openings: new flows that it can accept now, ``None`` if it is
        warm.
    :param cold_left_s: time until it is warm.
    :param revision: revision of the agent's routes.
    :param interval_s: time to the sender's next status for this receiver.
    :param wants_answer: whether the receiver is asked for its own status.
    :param reuse: destinations of its recent flows, and whether these carry
        several requests.
    :param unused_load: not used any more; it keeps the positions of the
        fields behind it for processes of other versions.
    :param unused_senders: the same.
    :param cold_limit: new flows that the upstream may get in any second while
        it is cold, 0 if it is not known.
    :param late: late requests that the agent holds, and late openings that
        wait there; they go before a new late request, and not before one in
        time.
    """

    datacentre: DatacentreName
    service: ServiceName
    started_ms: Count
    number: Count
    incarnation: Count
    state: AgentState
    slots: Count
    running: Whole
    work_s: Number
    failing: Number
    long_flows: Whole
    cold_openings: Whole | None
    cold_left_s: Number
    revision: Count
    interval_s: Quantity
    wants_answer: bool
    reuse: tuple[tuple[bytes, bool], ...] = ()
    unused_load: Number | None = None
    unused_senders: tuple[DatacentreName, ...] = ()
    cold_limit: Whole = 0
    late: Whole = 0


class BalancerStatus(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """State of a balancer and the processes that it knows.

    :param started_ms: start of the process, Unix time.
    :param number: counts the messages of this process.
    :param revision: revision of its routes, 0 for none.
    :param age_s: time since the store confirmed these routes.
    :param link_mbps: capacity of its link in Mbit/s.
    :param is_leaving: whether the process stops.
    :param knows_fleet: whether it has run long enough to know all agents.
    :param balancers: IP addresses of balancers with a recent status, see
        :func:`pack_ips`.
    :param agents: IP addresses of agents that are alive or may return.
    :param interval_s: time to the sender's next status for this receiver.
    :param wants_answer: whether the receiver is asked for its own status.
    :param era: era of its routes, see :class:`TablePosition`.
    :param version: version of the operator's configuration in its routes.
    :param passes_on: whether it takes part in the reports between data
        centres, see :mod:`ibispitch.fleet.reports`, and answers other
        balancers' questions about owners of flows.
    :param agent_count: number of agents that are alive or may return, if
        ``agents`` lists them or a sample of them.
    """

    datacentre: DatacentreName
    started_ms: Count
    number: Count
    revision: Count
    age_s: Number
    link_mbps: Number
    is_leaving: bool
    knows_fleet: bool
    balancers: bytes
    agents: bytes
    interval_s: Quantity
    wants_answer: bool
    era: Count = 0
    version: Count = 0
    passes_on: bool = False
    agent_count: Count = 0

    @property
    def position(self) -> TablePosition:
        """Position of its routes."""
        return TablePosition(self.era, self.revision)


Status = AgentStatus | BalancerStatus


class ReportEntry(msgspec.Struct, frozen=True, array_like=True):
    """Status of one process in a report.

    :param ip: IP address of the process, in 4 bytes.
    :param age_ms: time since the reporting balancer got the status.
    """

    ip: Annotated[bytes, Meta(min_length=IP_BYTES, max_length=IP_BYTES)]
    age_ms: Count
    status: Status


class DatacentreReport(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Status of the processes of a data centre, for another data centre.

    :param is_to_pass_on: whether the receiver passes the report on to the
        other balancers of its data centre.
    :param silent: IP addresses of agents that are known and have sent no
        recent status, see :func:`pack_ips`.
    :param entries: compressed entries, see :func:`pack_entries`.
    """

    datacentre: DatacentreName
    is_to_pass_on: bool
    silent: bytes
    entries: bytes


Message = (
    Status
    | CheckpointPart
    | PartialCheckpointPart
    | CheckpointRequest
    | DatacentreReport
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)
_entries_decoder = msgspec.msgpack.Decoder(tuple[ReportEntry, ...])

#: First byte of a msgpack array of 16 elements or more.
_LONG_ARRAY = 0xDC
#: Names for metrics.
_NAME_BY_TAG = {
    1: 'agent_status',
    2: 'balancer_status',
    3: 'checkpoint_part',
    4: 'checkpoint_request',
    5: 'datacentre_report',
    6: 'checkpoint_part',
}

#: Maximum size of the entries of a report after decompression. A hundred
#: entries have 12 kB.
MAX_ENTRIES_BYTES = 65_536


def pack_ips(ips: Iterable[str]) -> bytes:
    """Return IP addresses in 4 bytes each.

    >>> unpack_ips(pack_ips(['10.1.0.12', '10.2.0.4']))
    ['10.1.0.12', '10.2.0.4']
    """
    return b''.join(map(socket.inet_aton, ips))


def unpack_ips(packed: bytes) -> list[str]:
    """Return the IP addresses that :func:`pack_ips` packed."""
    return [
        socket.inet_ntoa(packed[start : start + IP_BYTES])
        for start in range(0, len(packed) - IP_BYTES + 1, IP_BYTES)
    ]


def pack_entries(entries: Iterable[ReportEntry]) -> bytes:
    """Return entries in compressed form."""
    return zlib.compress(_encoder.encode(tuple(entries)))


def unpack_entries(packed: bytes) -> tuple[ReportEntry, ...]:
    """Return the entries that :func:`pack_entries` packed.

    :raises ValueError: if they are not valid or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(packed, MAX_ENTRIES_BYTES)
    except zlib.error as error:
        raise ValueError(
            f'the entries cannot be decompressed: {error}'
        ) from None
    return decode_with(_entries_decoder, data)


def message_name(data: bytes) -> str:
    """Return the name of the type of an encoded message, for metrics.

    >>> message_name(encode_message(CheckpointRequest(1)))
    'checkpoint_request'
    """
    # The length of a long array is in two further bytes.
    tag = data[3] if data[0] == _LONG_ARRAY else data[1]
    return _NAME_BY_TAG.get(tag, 'unknown')


def encode_message(message: Message) -> bytes:
    """Return the datagram of a message."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message | None:
    """Decode a message, ``None`` if it is not valid."""
    try:
        return decode_with(_decoder, data)
    except ValueError:
        return None
