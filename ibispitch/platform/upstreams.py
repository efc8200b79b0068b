"""Heartbeats of upstreams on this platform."""

import msgspec

from ibispitch.gate.core import Heartbeat
from ibispitch.gate.core import UpstreamState
from ibispitch.ids import ServiceName
from ibispitch.platform.http import Request

_PATH = '/v1/instances/'


class _Heartbeat(msgspec.Struct):
    """Body of a heartbeat; ``sequence`` counts the calls of one start."""

    service: str
    slots: int
    state: str
    sequence: int
    born: int
    cold_left_ms: float = 0.0


def upstream_id(request: Request) -> str | None:
    """Return the upstream that a call is about, ``None`` for other calls."""
    path = request.path.split('?')[0]
    if not path.startswith(_PATH) or path == _PATH:
        return None
    return path.removeprefix(_PATH)


def decode_heartbeat(name: str, body: bytes) -> Heartbeat:
    """Decode a heartbeat.

    :param name: the upstream's id.
    :raises ValueError: if fields are missing, of another type or unknown.
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
