"""Connects the queue at the gate to the flows of an upstream."""

from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

from ibispitch.decisionlog import DecisionLog
from ibispitch.forwarding.frames import Reason
from ibispitch.gate.core import Gate
from ibispitch.gate.queue import GateOpening
from ibispitch.gate.queue import GateQueue
from ibispitch.placement.core import estimated_work_s
from ibispitch.placement.core import MAX_GATE_QUEUE_SHARE
from ibispitch.placement.core import MAX_LATE_QUEUE_SHARE
from ibispitch.placement.core import queue_delay_s
from ibispitch.routes.model import RouteIndex
from ibispitch.settings.overload import GateSettings


class UpstreamLoad(NamedTuple):
    """Load of an upstream.

    :param running: requests that go before a new one in time, without the
        openings that wait at the gate.
    :param slots: requests that it runs at the same time.
    :param work_s: mean request time, 0 if it is not known.
    :param late: held requests that are late, which go before a new late one.
    """

    running: int
    slots: int
    work_s: float
    late: int = 0


class OpeningSink(Protocol):
    """Takes the openings on which the gate has decided."""

    def pass_opening(self, opening: GateOpening, now: float) -> None:
        """Send an admitted opening to the upstream."""

    def return_opening(self, opening: GateOpening, reason: Reason) -> None:
        """Hand an opening back to its balancer."""


class HeldOpenings:
    """Decides on openings of new flows, and keeps some while none can pass.

    :param settings: settings of the queue; if it is off, openings that can't
        pass are handed back in order of arrival.
    :param gate: decides whether the upstream may get a new flow.
    :param load_at: returns the load of the upstream at a time.
    :param sink: takes the openings that pass or are handed back.
    :param log: log of the decisions.
    """

    def __init__(
        self,
        settings: GateSettings,
        gate: Gate,
        load_at: Callable[[float], UpstreamLoad],
        sink: OpeningSink,
        log: DecisionLog,
    ):
        self._settings = settings
        self._gate = gate
        self._load_at = load_at
        self._sink = sink
        self._log = log
        self._queue = GateQueue()

    def __len__(self) -> int:
        return len(self._queue)

    def late_count(self, work_s: float, now: float) -> int:
        """Return the number of waiting openings that are late."""
        return self._queue.late_count(work_s, now)

    def in_time_count(self, work_s: float, now: float) -> int:
        """Return the number of waiting openings that can be in time."""
        return len(self._queue) - self._queue.late_count(work_s, now)

    def offer(
        self, opening: GateOpening, routes: RouteIndex, now: float
    ) -> None:
        """Pass an opening on, keep it, or hand it or another one back."""
        reason = self._gate.refusal(
            opening.flow, routes, opening.forward.position, now
        )
        if reason is not None:
            self._sink.return_opening(opening, reason)
            return
        load = self._load_at(now)
        work_s = estimated_work_s(load.work_s, opening.route.objective_s)
        room = self._settings.room_of(load.slots)
        is_free = not self._queue and not self._is_full(opening, load, now)
        if is_free:
            room = max(1, room)
        left = self._queue.add(opening, room, work_s, now)
        if left is not None:
            self._sink.return_opening(left, Reason.FULL)
        if left is not opening and not is_free:
            self._log.decision(
                'opening.held', opening.flow, now, service=self._gate.service,
                kind=opening.route.kind, waiting=len(self._queue),
                load=load.running, slots=load.slots,
                age_ms=round(1000 * (now - opening.asked_at)),
            )  # fmt: skip
        self.pass_next(routes, now)

    def pass_next(self, routes: RouteIndex | None, now: float) -> None:
        """Pass on the openings for which the upstream has room.

        Those that can't be served any more, or that the gate refuses, are
        handed back.
        """
        if not self._queue:
            return
        work_s = self._load_at(now).work_s
        for opening in self._queue.take_expired(work_s, now):
            self._sink.return_opening(opening, Reason.FULL)
        while (opening := self._queue.first(work_s, now)) is not None:
            flow, position = opening.flow, opening.forward.position
            reason = self._gate.refusal(flow, routes, position, now)
            if reason is not None:
                self._queue.remove(flow)
                self._sink.return_opening(opening, reason)
                continue
            if self._is_full(opening, self._load_at(now), now):
                return
            self._queue.remove(flow)
            self._gate.admit(flow, routes, position, now)
            self._sink.pass_opening(opening, now)

    def return_all(self, reason: Reason) -> None:
        """Hand all openings back, because the process stops."""
        for opening in self._queue.take_all():
            self._sink.return_opening(opening, reason)

    def _is_full(
        self, opening: GateOpening, load: UpstreamLoad, now: float
    ) -> bool:
        """Return whether the queue of the upstream is too long."""
        objective_s = opening.route.objective_s
        work_s = estimated_work_s(load.work_s, objective_s)
        # Without a queue at the gate, openings go in order of arrival.
        is_deferred = self._settings.room_of(
            load.slots
        ) > 0 and opening.is_late(work_s, now)
        ahead, share = load.running, MAX_GATE_QUEUE_SHARE
        if is_deferred:
            ahead, share = load.running + load.late, MAX_LATE_QUEUE_SHARE
        return queue_delay_s(ahead, load.slots, work_s) > share * objective_s
