"""Heartbeats of upstreams on this platform."""

import msgspec

from ibispitch.gate.core import Heartbeat
from ibispitch.gate.core import UpstreamState
from ibispitch.ids import ServiceName
from ibispitch.platform.http import Request

_INSTANCES_PATH = '/v1/instances/'


class _Heartbeat(msgspec.Struct):
    """Body of a heartbeat.

    ``born`` is the start of the upstream's process as Unix time in ms;
    ``sequence`` counts its heartbeats since then.
    """

    service: str
    slots: int
    state: str
    sequence: int
    born: int
    cold_left_ms: float = 0.0


def upstream_id(request: Request) -> str | None:
    """Return the upstream id in a request's path, ``None`` without one."""
    path = request.path.split('?')[0]
    if not path.startswith(_INSTANCES_PATH) or path == _INSTANCES_PATH:
        return None
    return path.removeprefix(_INSTANCES_PATH)


def decode_heartbeat(name: str, body: bytes) -> Heartbeat:
    """Decode a heartbeat.

    :param name: the upstream's id.
    :raises ValueError: if a field is missing or has a wrong type, or the
        state is unknown.
    """
    try:
        raw = msgspec.json.decode(body, type=_Heartbeat)
    except msgspec.MsgspecError as error:
        raise ValueError(f'not a heartbeat: {error}') from error
    return Heartbeat(
        upstream_id=name,
        started_ms=raw.born,
        service=ServiceName(raw.service),
        slots=raw.slots,
        state=UpstreamState(raw.state),
        sequence=raw.sequence,
        cold_left_s=raw.cold_left_ms / 1000,
    )
