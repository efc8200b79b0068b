"""Order of the requests that wait for one upstream.

It is designed for a burst of requests on open flows, which no process can
refuse: more requests arrive than the upstream can run. An upstream runs its
queue in order of arrival, so that in a long queue every request ends late,
and it rejects what its queue cannot hold. The agent therefore holds back the
requests beyond the slots of its upstream. Requests that can still be on time
go first, by priority and deadline; late ones follow when none of these waits.

The state is lost with the process. Held packets have not reached the
upstream, and their callers repeat them.
"""

from bisect import bisect_left
from bisect import insort
from collections import Counter
from collections import deque
from collections.abc import Hashable
import enum
import math
from typing import NamedTuple

from ibispitch.forwarding.packets import FlowKey
from ibispitch.settings.overload import SchedulingSettings

#: Requests passed on beyond the slots, as a part of the slots (at least one
#: request), so that a slot does not idle between an answer and the next
#: request.
PIPELINE_SHARE = 0.25
#: A request that has run for this multiple of the mean request time does not
#: occupy a slot any more. Otherwise an upstream that hangs on some requests
#: would block the others.
MAX_WORK_FACTOR = 4.0
#: Maximum number of held packets of a flow, the window of a sender. Packets
#: beyond it follow when the request is passed on.
MAX_FLOW_PACKETS = 16
#: Window in which the places of each priority are counted.
SHARE_WINDOW_S = 1.0


class Offer(enum.Enum):
    """What to do with a caller's packet."""

    PASS = enum.auto()
    HOLD = enum.auto()
    #: It is dropped: the same packet is held already, or the window is full.
    DROP = enum.auto()


class Request(NamedTuple):
    """A request that begins on a flow.

    :param flow: its flow.
    :param kind: kind of the request.
    :param priority: 0 for the most urgent requests.
    :param objective_s: time within which it should be answered.
    :param timeout_s: time after which its caller no longer uses an answer.
    :param sent_at: time at which the caller sent it.
    """

    flow: FlowKey
    kind: str
    priority: int
    objective_s: float
    timeout_s: float
    sent_at: float

    @property
    def due_at(self) -> float:
        """Time until which it should be answered."""
        return self.sent_at + self.objective_s

    @property
    def expires_at(self) -> float:
        """Time after which its caller no longer uses an answer."""
        return self.sent_at + self.timeout_s


class Capacity(NamedTuple):
    """What the upstream can run.

    :param slots: requests that it runs at the same time.
    :param work_s: mean request time, 0 if it is not known.
    """

    slots: int
    work_s: float

    @property
    def places(self) -> int:
        """Number of requests that are passed on at the same time."""
        return self.slots + max(1, int(self.slots * PIPELINE_SHARE))


class Released(NamedTuple):
    """A request that is passed on now.

    :param packets: its held packets in order.
    :param held_s: time for which it was held.
    :param is_late: whether it misses its objective.
    """

    request: Request
    packets: list[bytes]
    held_s: float
    is_late: bool


class _Held:
    """Packets of a request that is held."""

    __slots__ = ('packet_by_key', 'request', 'since', 'size')

    def __init__(self, request: Request, now: float):
        self.request = request
        self.since = now
        self.packet_by_key: dict[Hashable, bytes] = {}
        self.size = 0


class RequestScheduler:
    """Requests at an upstream, and those held before it.

    :param settings: settings of the scheduler.

    >>> settings = SchedulingSettings()
    >>> scheduler = RequestScheduler(settings)
    >>> one_slot = Capacity(slots=1, work_s=0.02)
    >>> requests = [
    ...     Request(FlowKey(bytes([n] * 12)), 'safe', 1, 0.2, 1.0, sent_at=0.0)
    ...     for n in range(3)
    ... ]
    >>> [
    ...     scheduler.offer(request, 1, b'GET', one_slot, now=0.0).name
    ...     for request in requests
    ... ]
    ['PASS', 'PASS', 'HOLD']
    >>> scheduler.record_answer(requests[0].flow)
    >>> [r.packets for r in scheduler.take(one_slot, now=0.02)]
    [[b'GET']]
    """

    def __init__(
        self,
        settings: SchedulingSettings,
    ):
        self._settings = settings
        self._held_by_flow: dict[FlowKey, _Held] = {}
        self._held_bytes = 0
        #: Due times of the held requests, sorted. Each packet at the agent
        #: asks how many of them are late.
        self._due_times: list[float] = []
        #: No held request expires before this time.
        self._next_expiry_at = math.inf
        #: Requests at the upstream, with the time after which they no longer
        #: occupy a slot.
        self._busy_until_by_flow: dict[FlowKey, float] = {}
        self._taken: deque[tuple[float, int]] = deque()
        self._taken_by_priority: Counter[int] = Counter()

    @property
    def held_count(self) -> int:
        """Number of held requests."""
        return len(self._held_by_flow)

    def late_count(self, capacity: Capacity, now: float) -> int:
        """Return the number of held requests that miss their objective."""
        return bisect_left(self._due_times, now + self._needed_s(capacity))

    @property
    def held_bytes(self) -> int:
        """Size of the held packets."""
        return self._held_bytes

    @property
    def passed_count(self) -> int:
        """Number of requests at the upstream."""
        return len(self._busy_until_by_flow)

    def is_held(self, flow: FlowKey) -> bool:
        """Return whether packets of a flow are held."""
        return flow in self._held_by_flow

    def offer(
        self,
        request: Request,
        packet_key: Hashable,
        raw: bytes,
        capacity: Capacity,
        now: float,
    ) -> Offer:
        """Decide on the first packet of a request.

        :param request: the request.
        :param packet_key: identifies the packet within its flow; copies of a
            packet have the same key.
        :param raw: the packet.
        :param capacity: what the upstream can run.
        :param now: time in seconds.
        """
        if request.flow in self._held_by_flow:
            return self.offer_next(request.flow, packet_key, raw)
        is_idle = not self._held_by_flow
        if is_idle and self._busy(now) < capacity.places:
            self._pass(request, capacity, now)
            return Offer.PASS
        settings = self._settings
        if (
            len(self._held_by_flow) >= settings.held_requests
            or self._held_bytes + len(raw) > settings.held_bytes
        ):
            # Without room to hold it, the upstream decides.
            self._pass(request, capacity, now)
            return Offer.PASS
        held = self._held_by_flow[request.flow] = _Held(request, now)
        insort(self._due_times, request.due_at)
        self._next_expiry_at = min(self._next_expiry_at, request.expires_at)
        self._keep(held, packet_key, raw)
        return Offer.HOLD

    def offer_next(
        self, flow: FlowKey, packet_key: Hashable, raw: bytes
    ) -> Offer:
        """Decide on a packet that begins no request."""
        held = self._held_by_flow.get(flow)
        if held is None:
            return Offer.PASS
        if (
            packet_key in held.packet_by_key
            or len(held.packet_by_key) >= MAX_FLOW_PACKETS
            or self._held_bytes + len(raw) > self._settings.held_bytes
        ):
            return Offer.DROP
        self._keep(held, packet_key, raw)
        return Offer.HOLD

    def _keep(self, held: _Held, packet_key: Hashable, raw: bytes) -> None:
        held.packet_by_key[packet_key] = raw
        held.size += len(raw)
        self._held_bytes += len(raw)

    def record_passed(
        self, request: Request, capacity: Capacity, now: float
    ) -> None:
        """Record a request that has reached the upstream by another way."""
        self._pass(request, capacity, now)

    def record_answer(self, flow: FlowKey) -> None:
        """Record that the upstream has answered the request of a flow."""
        self._busy_until_by_flow.pop(flow, None)

    def remove(self, flow: FlowKey) -> None:
        """Forget a flow that was closed or lost."""
        self._busy_until_by_flow.pop(flow, None)
        self._drop(flow)

    def clear(self) -> None:
        """Forget all flows, because the upstream has ended."""
        self._busy_until_by_flow.clear()
        self._held_by_flow.clear()
        self._held_bytes = 0
        self._due_times.clear()
        self._next_expiry_at = math.inf

    def _drop(self, flow: FlowKey) -> _Held | None:
        held = self._held_by_flow.pop(flow, None)
        if held is not None:
            self._held_bytes -= held.size
            due_at = held.request.due_at
            del self._due_times[bisect_left(self._due_times, due_at)]
        return held

    def take(self, capacity: Capacity, now: float) -> list[Released]:
        """Remove and return the requests that are passed on now."""
        if not self._held_by_flow:
            return []
        free = capacity.places - self._busy(now)
        return [
            self._release(self._next(capacity, now), capacity, now)
            for _ in range(min(free, len(self._held_by_flow)))
        ]

    def take_all(self, capacity: Capacity, now: float) -> list[Released]:
        """Remove and return all held requests, because the process stops."""
        return [
            self._release(held.request, capacity, now)
            for held in list(self._held_by_flow.values())
        ]

    def take_expired(self, capacity: Capacity, now: float) -> list[Request]:
        """Remove and return requests that can't be answered any more.

        Their callers will have given up before an answer. They have not run.
        """
        answered_at = now + capacity.work_s
        if answered_at <= self._next_expiry_at:
            return []
        expired = [
            held.request
            for held in self._held_by_flow.values()
            if answered_at > held.request.expires_at
        ]
        for request in expired:
            self._drop(request.flow)
        self._next_expiry_at = min(
            (held.request.expires_at for held in self._held_by_flow.values()),
            default=math.inf,
        )
        return expired

    def _release(
        self, request: Request, capacity: Capacity, now: float
    ) -> Released:
        held = self._drop(request.flow)
        self._pass(request, capacity, now)
        self._count(request.priority, now)
        return Released(
            request,
            list(held.packet_by_key.values()),
            now - held.since,
            self._is_late(request, capacity, now),
        )

    def _pass(
        self,
        request: Request,
        capacity: Capacity,
        now: float,
    ) -> None:
        busy_s = max(MAX_WORK_FACTOR * capacity.work_s, request.objective_s)
        self._busy_until_by_flow[request.flow] = now + busy_s

    def _busy(self, now: float) -> int:
        return sum(until > now for until in self._busy_until_by_flow.values())

    def _is_late(
        self, request: Request, capacity: Capacity, now: float
    ) -> bool:
        return now + self._needed_s(capacity) > request.due_at

    def _needed_s(self, capacity: Capacity) -> float:
        """Return the time that a request needs to be on time."""
        return self._settings.work_margin * capacity.work_s

    def _next(self, capacity: Capacity, now: float) -> Request:
        """Return the held request that goes first."""
        on_time = [
            held.request
            for held in self._held_by_flow.values()
            if not self._is_late(held.request, capacity, now)
        ]
        if not on_time:
            return min(
                (held.request for held in self._held_by_flow.values()),
                key=lambda request: (request.priority, request.due_at),
            )
        priority = self._due_priority({r.priority for r in on_time}, now)
        return min(
            (request for request in on_time if request.priority == priority),
            key=lambda request: request.due_at,
        )

    def _due_priority(self, priorities: set[int], now: float) -> int:
        """Return the priority that gets the next place.

        It is the most urgent one, unless another one that waits has received
        less than its smallest share.
        """
        most_urgent = min(priorities)
        self._expire_counts(now)
        enough = self._settings.min_share * len(self._taken)
        starving = [
            priority
            for priority in priorities - {most_urgent}
            if self._taken_by_priority[priority] < enough
        ]
        return min(starving, default=most_urgent)

    def _count(self, priority: int, now: float) -> None:
        self._taken.append((now, priority))
        self._taken_by_priority[priority] += 1
        self._expire_counts(now)

    def _expire_counts(self, now: float) -> None:
        while self._taken and now - self._taken[0][0] > SHARE_WINDOW_S:
            _, priority = self._taken.popleft()
            self._taken_by_priority[priority] -= 1
