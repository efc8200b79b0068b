"""Property-based test of the request scheduler in any order of events."""

import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from ibispitch.forwarding.packets import FlowKey
from ibispitch.scheduling.core import Capacity
from ibispitch.scheduling.core import MAX_FLOW_PACKETS
from ibispitch.scheduling.core import MAX_WORK_FACTOR
from ibispitch.scheduling.core import Offer
from ibispitch.scheduling.core import Request
from ibispitch.scheduling.core import RequestScheduler
from ibispitch.scheduling.core import SHARE_WINDOW_S
from ibispitch.settings.overload import SchedulingSettings

FLOWS = [FlowKey(number.to_bytes(12, 'big')) for number in range(30)]
PRIORITIES = [0, 1, 2]
SETTINGS = SchedulingSettings(held_bytes=400, held_requests=12)
EXAMPLES = int(os.environ.get('IBISPITCH_EXAMPLES', '25'))


class SchedulerMachine(RuleBasedStateMachine):
    """A scheduler beside a plain model of what is held and what has passed.

    Each packet is an own text, so that one that is lost, passed twice or out
    of order shows in ``passed_by_flow``.
    """

    @initialize(slots=st.integers(1, 4), work_s=st.floats(0.0, 0.05))
    def start(self, slots, work_s):
        self.scheduler = RequestScheduler(SETTINGS)
        self.capacity = Capacity(slots, work_s)
        self.now = 0.0
        self.number = 0
        self.request_by_flow = {}
        self.held_by_flow = {}
        self.busy_until_by_flow = {}
        self.passed = set()
        #: Priority of each release, and the priorities that could be on time.
        self.releases = []

    def is_on_time(self, request):
        needed_s = SETTINGS.work_margin * self.capacity.work_s
        return self.now + needed_s <= request.due_at

    def busy(self):
        return sum(u > self.now for u in self.busy_until_by_flow.values())

    def next_packet(self, size):
        self.number += 1
        return self.number, f'{self.number:04}'.encode().ljust(size, b'.')

    def record_passed(self, request, packets):
        assert self.passed.isdisjoint(packets)
        self.passed.update(packets)
        busy_s = max(
            MAX_WORK_FACTOR * self.capacity.work_s, request.objective_s
        )
        self.busy_until_by_flow[request.flow] = self.now + busy_s

    @rule(
        flow=st.sampled_from(FLOWS),
        priority=st.sampled_from(PRIORITIES),
        objective_s=st.floats(0.05, 2.0),
        size=st.integers(4, 60),
    )
    def offer(self, flow, priority, objective_s, size):
        key, raw = self.next_packet(size)
        if flow in self.held_by_flow:
            self.offer_next(flow, size)
            return
        request = Request(
            flow, 'safe', priority, objective_s, 2 * objective_s, self.now
        )
        has_room = (
            len(self.held_by_flow) < SETTINGS.held_requests
            and self.held_bytes() + size <= SETTINGS.held_bytes
        )
        has_place = not self.held_by_flow and (
            self.busy() < self.capacity.places
        )
        offer = self.scheduler.offer(
            request, key, raw, self.capacity, self.now
        )
        if has_place or not has_room:
            assert offer is Offer.PASS
            self.record_passed(request, [raw])
        else:
            assert offer is Offer.HOLD
            self.request_by_flow[flow] = request
            self.held_by_flow[flow] = {key: raw}

    @rule(flow=st.sampled_from(FLOWS), size=st.integers(4, 60))
    def offer_next(self, flow, size):
        key, raw = self.next_packet(size)
        offer = self.scheduler.offer_next(flow, key, raw)
        held = self.held_by_flow.get(flow)
        if held is None:
            assert offer is Offer.PASS
        elif (
            len(held) < MAX_FLOW_PACKETS
            and self.held_bytes() + size <= SETTINGS.held_bytes
        ):
            assert offer is Offer.HOLD
            held[key] = raw
        else:
            assert offer is Offer.DROP

    @precondition(lambda self: self.held_by_flow)
    @rule(data=st.data())
    def copy(self, data):
        flow = data.draw(st.sampled_from(sorted(self.held_by_flow)))
        key = data.draw(st.sampled_from(sorted(self.held_by_flow[flow])))
        raw = self.held_by_flow[flow][key]
        assert self.scheduler.offer_next(flow, key, raw) is Offer.DROP

    @precondition(lambda self: self.busy_until_by_flow)
    @rule(data=st.data())
    def answer(self, data):
        flow = data.draw(st.sampled_from(sorted(self.busy_until_by_flow)))
        self.scheduler.record_answer(flow)
        del self.busy_until_by_flow[flow]
        self.take()

    @rule(flow=st.sampled_from(FLOWS))
    def close(self, flow):
        self.scheduler.remove(flow)
        self.held_by_flow.pop(flow, None)
        self.busy_until_by_flow.pop(flow, None)
        self.take()

    @rule(elapsed_s=st.floats(0.0, 0.5))
    def wait(self, elapsed_s):
        self.now += elapsed_s
        self.take()

    @rule()
    def expire(self):
        expired = self.scheduler.take_expired(self.capacity, self.now)
        assert {r.flow for r in expired} == {
            flow
            for flow in self.held_by_flow
            if self.now + self.capacity.work_s
            > self.request_by_flow[flow].expires_at
        }
        for request in expired:
            del self.held_by_flow[request.flow]

    @rule()
    def stop(self):
        released = self.scheduler.take_all(self.capacity, self.now)
        assert [r.request.flow for r in released] == list(self.held_by_flow)
        for one in released:
            self.check_released(one)

    def take(self):
        free = max(0, self.capacity.places - self.busy())
        expected = min(free, len(self.held_by_flow))
        released = self.scheduler.take(self.capacity, self.now)
        assert len(released) == expected
        for one in released:
            self.check_share(one.request)
            self.check_released(one)

    def check_released(self, released):
        request = released.request
        assert request == self.request_by_flow[request.flow]
        assert released.packets == list(
            self.held_by_flow.pop(request.flow).values()
        )
        assert released.is_late is not self.is_on_time(request)
        self.record_passed(request, released.packets)
        self.releases.append((self.now, request.priority))

    def check_share(self, request):
        """Check that a request goes first by class, share and deadline."""
        waiting = [self.request_by_flow[flow] for flow in self.held_by_flow]
        on_time = [other for other in waiting if self.is_on_time(other)]
        if not on_time:
            first = min((r.priority, r.due_at) for r in waiting)
            assert (request.priority, request.due_at) == first
            return
        recent = [
            priority
            for released_at, priority in self.releases
            if self.now - released_at <= SHARE_WINDOW_S
        ]
        priorities = sorted({other.priority for other in on_time})
        starving = [
            priority
            for priority in priorities[1:]
            if recent.count(priority) < SETTINGS.min_share * len(recent)
        ]
        assert request.priority == (starving or priorities)[0]
        assert request.due_at == min(
            other.due_at
            for other in on_time
            if other.priority == request.priority
        )

    def held_bytes(self):
        return sum(
            len(raw)
            for packets in self.held_by_flow.values()
            for raw in packets.values()
        )

    @invariant()
    def counts_are_exact(self):
        assert self.scheduler.held_count == len(self.held_by_flow)
        assert self.scheduler.held_bytes == self.held_bytes()
        assert self.scheduler.passed_count == len(self.busy_until_by_flow)
        assert self.scheduler.held_count <= SETTINGS.held_requests
        assert self.scheduler.held_bytes <= SETTINGS.held_bytes

    def teardown(self):
        if hasattr(self, 'scheduler'):
            self.stop()


TestScheduler = SchedulerMachine.TestCase
TestScheduler.settings = settings(
    max_examples=EXAMPLES, stateful_step_count=80, deadline=None
)
