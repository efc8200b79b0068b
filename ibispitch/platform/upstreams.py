"""Heartbeats of upstreams on this platform."""

from typing import Annotated
from typing import NamedTuple

import msgspec
from msgspec import Meta

from ibispitch.decoding import Count
from ibispitch.decoding import decode_json
from ibispitch.gate.core import Heartbeat
from ibispitch.gate.core import UpstreamState
from ibispitch.ids import Address
from ibispitch.ids import DatacentreName
from ibispitch.ids import parse_address
from ibispitch.ids import ServiceName
from ibispitch.platform.http import Request

_INSTANCES_PATH = '/v1/instances/'
#: Largest number of slots that is taken from a heartbeat, above that of any
#: upstream.
MAX_SLOTS = 1 << 20
#: Longest cold time that is taken from a heartbeat, an hour.
MAX_COLD_MS = 3_600_000


class UpstreamIdentity(NamedTuple):
    """What an agent knows of its upstream from its settings."""

    service: ServiceName
    address: Address
    datacentre: DatacentreName


class _Heartbeat(msgspec.Struct):
    """Body of a heartbeat.

    ``born`` is the start of the upstream's process as Unix time in ms;
    ``sequence`` counts its heartbeats since then.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    state: str
    cold_left_ms: Annotated[float, Meta(ge=0.0, le=MAX_COLD_MS)]
    sequence: Count
    born: Count


def upstream_id(request: Request) -> str | None:
    """Return the upstream id in a request's path, ``None`` without one."""
    path = request.path.split('?')[0]
    if not path.startswith(_INSTANCES_PATH) or path == _INSTANCES_PATH:
        return None
    return path.removeprefix(_INSTANCES_PATH)


def decode_heartbeat(
    name: str, body: bytes, expected: UpstreamIdentity
) -> Heartbeat:
    """Decode a heartbeat.

    :param name: the upstream's id.
    :param expected: the upstream of the agent.
    :raises ValueError: if it is not a whole heartbeat of this upstream, so
        that it says nothing about it. Other writers' documents are
        incomplete, have fields of another type or name another server.
    """
    raw = decode_json(body, _Heartbeat)
    named = UpstreamIdentity(
        ServiceName(raw.service), parse_address(raw.address),
        DatacentreName(raw.zone),
    )  # fmt: skip
    if named != expected:
        raise ValueError(f'heartbeat of another upstream: {named}')
    return Heartbeat(
        upstream_id=name,
        started_ms=raw.born,
        service=expected.service,
        slots=raw.slots,
        state=UpstreamState(raw.state),
        sequence=raw.sequence,
        cold_left_s=raw.cold_left_ms / 1000,
    )
