"""Settings of the decisions under overload and uneven demand.

Each part can be switched off. In the mode ``AUTO`` it takes effect only for
services whose routes call for it, as the docstring of its section says.
"""

import enum
from typing import Annotated
from typing import NamedTuple

from msgspec import Meta

#: A part of a whole, from 0 to 1.
Share = Annotated[float, Meta(ge=0, le=1)]


class Mode(enum.Enum):
    """When a part takes effect."""

    OFF = 'off'
    AUTO = 'auto'
    ON = 'on'


class SchedulingSettings(NamedTuple):
    """Order of the requests at an agent, see :mod:`ibispitch.scheduling`.

    ``AUTO``: for services whose routes name more than one priority.

    :param work_margin: multiple of the mean request time that a request needs
        to be on time.
    :param min_share: smallest share of the places for requests of a lower
        priority while such requests wait.
    :param held_bytes: maximum size of the held packets.
    :param held_requests: maximum number of the held requests.
    """

    mode: Mode = Mode.OFF
    work_margin: Annotated[float, Meta(ge=1, le=10)] = 2.0
    min_share: Share = 0.1
    held_bytes: Annotated[int, Meta(ge=0, le=1 << 28)] = 4 * 1024 * 1024
    held_requests: Annotated[int, Meta(ge=0, le=100_000)] = 2048


class GateSettings(NamedTuple):
    """Openings that wait at an agent, see :mod:`ibispitch.gate.queue`.

    ``AUTO``: the same as ``ON``; only openings for a busy upstream wait.

    :param room_per_slot: openings that may wait for each slot. More of them
        would wait at one agent while another upstream has a free slot.
    """

    mode: Mode = Mode.OFF
    room_per_slot: Annotated[int, Meta(ge=1, le=100)] = 2

    def room_of(self, slots: int) -> int:
        """Return the number of openings that may wait at an upstream."""
        if self.mode is Mode.OFF:
            return 0
        return self.room_per_slot * max(1, slots)


class RetrySettings(NamedTuple):
    """Recognition of callers' attempts, see :mod:`ibispitch.retry.attempts`.

    ``AUTO``: the same as ``ON``; only openings that wait are affected.
    """

    mode: Mode = Mode.OFF


class OverloadSettings(NamedTuple):
    """All sections; every part is off by default."""

    scheduling: SchedulingSettings = SchedulingSettings()
    gate: GateSettings = GateSettings()
    retries: RetrySettings = RetrySettings()


#: Settings of a deployment that asks for none of the parts.
ALL_OFF = OverloadSettings()
