"""Documents of the catalogue as they are kept in the store."""

import enum
from typing import Annotated

import msgspec

#: How many edit ids a document remembers, to settle lost answers.
EDIT_HISTORY = 16

Name = Annotated[
    str, msgspec.Meta(min_length=1, max_length=64, pattern=r'^[a-z0-9.-]+$')
]
Rate = Annotated[float, msgspec.Meta(gt=0)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86400)]


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of a service over all its upstreams.

    :param flows: most open flows, ``None`` for no limit.
    :param requests_per_s: most requests a second of the owner.
    :param class_requests_per_s: most requests a second of the class.
    :param deadline_max_ms: longest deadline that a request may carry.
    """

    flows: Annotated[int, msgspec.Meta(ge=1)] | None = None
    requests_per_s: Rate | None = None
    class_requests_per_s: Rate | None = None
    deadline_max_ms: Annotated[int, msgspec.Meta(ge=1, le=3600000)] = 60000


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service in the catalogue.

    :param service: unique name.
    :param owner: who owns the entry.
    :param class_name: class of the service, a label of its metrics.
    :param addresses: UDP addresses ``ip:port`` that callers send to.
    :param protocol: gate of the agents, ``coap`` or ``datagram``.
    :param limits: see :class:`Limits`.
    :param ramp_s: seconds in which a cold upstream comes to its full load.
    :param idle_timeout_s: seconds without packets after which a flow ends.
    """

    service: Name
    owner: Name
    class_name: Name = msgspec.field(name='class')
    addresses: list[str]
    protocol: Name = 'coap'
    limits: Limits = Limits()
    ramp_s: Seconds = 10.0
    idle_timeout_s: Seconds = 600.0


class DatacentreState(enum.Enum):
    """Whether a data centre is in service."""

    IN = 'in'
    OUT = 'out'


class Datacentre(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """State of a data centre as set by operators."""

    name: Name
    state: DatacentreState
