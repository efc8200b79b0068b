"""Openings that wait at the gate of a busy upstream.

It is designed for a backlog that meets upstreams with few free slots: all
balancers act on the same status, so that several openings arrive for one
slot. Admitted in order of arrival, those of the nearest balancer win, and
openings that could be in time are handed back until they are late. The agent
is where all of them meet. It keeps a few openings and admits first those that
can be in time, by priority and age.

The state is lost with the process. A waiting opening has not reached the
upstream, and its caller repeats it.
"""

from typing import NamedTuple

from ibispitch.forwarding.frames import Forward
from ibispitch.forwarding.packets import FlowKey
from ibispitch.forwarding.packets import Packet
from ibispitch.routes.model import Route
from ibispitch.waiting.core import WORK_MARGIN


class GateOpening(NamedTuple):
    """An opening that waits at a gate.

    :param balancer: IP address of the balancer that sent it.
    :param forward: the frame in which it came.
    :param packet: its latest copy.
    :param route: its route.
    :param asked_at: time at which the caller asked for its request.
    """

    balancer: str
    forward: Forward
    packet: Packet
    route: Route
    asked_at: float

    @property
    def flow(self) -> FlowKey:
        """The flow that it opens."""
        return self.packet.flow

    def is_late(self, work_s: float, now: float) -> bool:
        """Return whether its request can no longer be in time."""
        due_at = self.asked_at + self.route.objective_s
        return now + WORK_MARGIN * work_s > due_at

    def has_expired(self, work_s: float, now: float) -> bool:
        """Return whether its caller will have given up before an answer."""
        return now + work_s > self.asked_at + self.route.timeout_s

    def precedence(self, work_s: float, now: float) -> tuple:
        """Return the sort key; the smallest is admitted first."""
        return (
            self.is_late(work_s, now), self.route.priority, self.asked_at,
        )  # fmt: skip


class GateQueue:
    """Openings that wait at one gate, at most one for each flow."""

    def __init__(self):
        self._opening_by_flow: dict[FlowKey, GateOpening] = {}

    def __len__(self) -> int:
        return len(self._opening_by_flow)

    def add(
        self, opening: GateOpening, room: int, work_s: float, now: float
    ) -> GateOpening | None:
        """Add an opening, or a later copy of one that waits.

        :param room: number of openings that may wait.
        :param work_s: mean request time of the upstream.
        :param now: time in seconds.
        :returns: the opening that has no room and is handed back, which may
            be the added one; ``None`` if there is room.
        """
        earlier = self._opening_by_flow.get(opening.flow)
        if earlier is not None:
            asked_at = min(earlier.asked_at, opening.asked_at)
            opening = opening._replace(asked_at=asked_at)
        self._opening_by_flow[opening.flow] = opening
        if len(self) <= room:
            return None
        last = max(
            self._opening_by_flow.values(),
            key=lambda other: other.precedence(work_s, now),
        )
        return self.remove(last.flow)

    def remove(self, flow: FlowKey) -> GateOpening | None:
        """Remove an opening.

        :returns: the opening, ``None`` if it did not wait.
        """
        return self._opening_by_flow.pop(flow, None)

    def first(self, work_s: float, now: float) -> GateOpening | None:
        """Return the opening that is admitted next, ``None`` if none waits."""
        return min(
            self._opening_by_flow.values(),
            key=lambda opening: opening.precedence(work_s, now),
            default=None,
        )

    def late_count(self, work_s: float, now: float) -> int:
        """Return the number of openings that can no longer be in time."""
        return sum(
            opening.is_late(work_s, now)
            for opening in self._opening_by_flow.values()
        )

    def take_expired(self, work_s: float, now: float) -> list[GateOpening]:
        """Remove and return the openings that can't be served any more."""
        expired = [
            opening
            for opening in self._opening_by_flow.values()
            if opening.has_expired(work_s, now)
        ]
        for opening in expired:
            self.remove(opening.flow)
        return expired

    def take_all(self) -> list[GateOpening]:
        """Remove and return all openings, because the process stops."""
        openings = list(self._opening_by_flow.values())
        self._opening_by_flow.clear()
        return openings
