"""Discrete-event model of one service for ``bench_admission``.

It runs the admission and retry cores of the agents of a service against
modelled upstreams and callers. Message delays are those of section 1.1 of
the design. Views, leases and sockets are not modelled.
"""

from collections import Counter
from collections.abc import Callable
import heapq
import itertools
import math
import random
from typing import NamedTuple

import msgspec

from ibispitch.admission.core import AdmissionCore
from ibispitch.admission.types import Refuse
from ibispitch.admission.types import RequestInfo
from ibispitch.admission.types import RunAt
from ibispitch.admission.types import RunHere
from ibispitch.admission.types import RunOutcome
from ibispitch.admission.types import Wait
from ibispitch.retry import backoff_s
from ibispitch.retry import RetryBudget

#: Capacity of a cold upstream as a share of its slots, and the multiple of
#: its capacity at which an upstream sheds, as in ``testbed.upstream``.
COLD_CAPACITY_SHARE = 0.1
SHED_RATIO = 2.0

MEAN_SERVICE_S = 0.1
SERVICE_TIME_SIGMA = 0.5
CALLER_DEADLINE_S = 2.0
RAMP_S = 10.0
CONNECTIONS = 2000
OPEN_FLOWS = 1400
MEAN_FLOW_LIFETIME_S = 20.0
CALLER_RETRIES = 2
TICK_S = 0.01
#: An upstream counts as idle at a refusal if it had a free slot for at
#: least this time. An agent needs up to five round trips of 3 ms to ask its
#: peers.
MIN_IDLE_S = 0.02
#: One-way delay within a data centre.
LOCAL_DELAY_S = 0.0002


class Shape(NamedTuple):
    """Size and delays of a service."""

    name: str
    upstreams: int
    slots: int
    datacentres: int
    delay_s: float
    caller_delay_s: float


SHAPES = (
    Shape('returns', 7, 5, 3, 0.0015, 0.001),
    Shape('bench', 7, 1, 4, 0.001, 0.003),
)


class Policy(NamedTuple):
    """Configuration under test: the chosen cores, or a simplified one.

    :param has_ramp: whether the concurrency limit ramps up with observed
        outcomes; otherwise it is all slots from the start.
    :param trusts_health: whether loads come from the health endpoint of the
        upstream, which always reports all slots as free.
    :param places_by_load: whether flows are placed and requests delegated
        by load.
    :param has_budget: whether a budget bounds retries.
    """

    name: str = 'chosen'
    has_ramp: bool = True
    trusts_health: bool = False
    places_by_load: bool = True
    has_budget: bool = True


CHOSEN = Policy()
NO_RAMP = Policy('no_ramp', has_ramp=False)
TRUST_HEALTH = Policy('trust_health', has_ramp=False, trusts_health=True)
PURE_HASH = Policy('pure_hash', places_by_load=False)
#: Without a ramp, so that the concurrency limit does not bound retries too.
BUDGET_ONLY = Policy('budget_only', has_ramp=False)
NO_BUDGET = Policy('no_budget', has_ramp=False, has_budget=False)


class Upstream:
    """Upstream that slows down and then sheds above its capacity."""

    def __init__(self, slots: int, cold_since: float):
        self.slots = slots
        self.cold_since = cold_since
        self.hangs_until = -math.inf
        self.sheds = True
        self.shed_share = 0.0
        self.running = 0
        #: ``(time, running)`` after each change.
        self.changes: list[tuple[float, int]] = []
        #: ``(start time, work in s)`` of each request.
        self.started: list[tuple[float, float]] = []
        self.peak_load_ratio = 0.0

    def capacity(self, now: float) -> float:
        """Return how many concurrent requests run without slowing down."""
        warm = (now - self.cold_since) / RAMP_S
        return self.slots * min(1.0, max(COLD_CAPACITY_SHARE, warm))

    def record_change(self, change: int, now: float) -> None:
        """Record that a request started (1) or ended (-1)."""
        self.running += change
        self.changes.append((now, self.running))

    def busy_s(self, start: float, end: float) -> float:
        """Return the busy time of all slots between two times."""
        busy_s = 0.0
        at, running = start, 0
        for time_s, count in self.changes:
            if time_s >= end:
                break
            if time_s > at:
                busy_s += running * (time_s - at)
                at = time_s
            running = count
        return busy_s + running * (end - at)


def _work_rate(work_by_time, start, end):
    return sum(work_s for at, work_s in work_by_time if start <= at < end) / (
        end - start
    )


class Flow:
    """A caller's flow with the agents that are its home and owner."""

    __slots__ = ('home', 'owner')

    def __init__(self, home, owner):
        self.home = home
        self.owner = owner


class Request:
    """A caller's request and its number of attempts."""

    __slots__ = ('attempts', 'attempts_at_owner', 'deadline', 'flow', 'work_s')

    def __init__(self, flow, work_s, deadline):
        self.flow = flow
        self.work_s = work_s
        self.deadline = deadline
        self.attempts = 0
        self.attempts_at_owner = 0


class Agent:
    """An agent with its upstream."""

    def __init__(self, name, datacentre, shape, rng, now):
        self.name = name
        self.datacentre = datacentre
        self.shape = shape
        self.is_in_service = True
        self.restart(rng, now)

    def restart(self, rng, now):
        """Restart the agent and its upstream, both cold."""
        self.core = AdmissionCore(
            self.name,
            self.shape.slots,
            CONNECTIONS,
            RAMP_S,
            rng,
            now,
            int(now * 1e9),
        )
        self.upstream = Upstream(self.shape.slots, now)
        self.budget = RetryBudget(now=now)
        self.pending = {}
        self.idle_since = math.inf
        self.delegations_on_way = 0

    def update_idle_since(self, now):
        """Update the time since which a slot has been idle.

        A slot for a delegated request that is still on its way is not idle.
        """
        core = self.core
        free = (
            core.limit.max_in_flight
            - core.in_flight
            - core.queued
            - self.delegations_on_way
        )
        if free <= 0 or core.limit.idle_s(now) > 0.0:
            self.idle_since = math.inf
        elif self.idle_since == math.inf:
            self.idle_since = now


class Model:
    """One service under load.

    :param load: offered load over the capacity of all warm upstreams.
    """

    def __init__(self, shape: Shape, policy: Policy, load: float, seed: int):
        self.shape = shape
        self.policy = policy
        self.load = load
        self.rng = random.Random(seed)
        self.now = 0.0
        self.counts: Counter[str] = Counter()
        #: ``(time, work in s)`` of new requests and of completed ones.
        self.offered: list[tuple[float, float]] = []
        self.completed: list[tuple[float, float]] = []
        self.caller_return_times: list[float] = []
        self.idle_refusal_times: list[float] = []
        self.refusal_times: list[float] = []
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._event_numbers = itertools.count()
        self._run_numbers = itertools.count()
        # Rendezvous hashing over few agents gives some of them more flows; the
        # weights model that.
        self._home_weight = {}
        self.agents = [
            Agent(
                f'a{index}',
                index % shape.datacentres,
                shape,
                random.Random(self.rng.random()),
                0.0,
            )
            for index in range(shape.upstreams)
        ]
        for agent in self.agents:
            self._home_weight[agent.name] = self.rng.uniform(0.7, 1.3)
            self._apply_policy(agent)
        self.flows: list[Flow] = []
        self.set_views()
        for agent in self.agents:
            self.schedule(self.rng.random() * TICK_S, self._tick, agent)
        self.schedule(0.0, self._start_request)
        self.schedule(0.0, self._replace_flows)

    # Events

    def schedule(self, delay_s, action, *arguments):
        """Schedule a call after a delay."""
        heapq.heappush(
            self._events,
            (self.now + delay_s, next(self._event_numbers), action, arguments),
        )

    def run_until(self, end):
        """Advance simulated time to ``end``."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = end

    def delay_s(self, sender, receiver):
        """Return the one-way delay between two agents."""
        if sender.datacentre == receiver.datacentre:
            return LOCAL_DELAY_S
        return self.shape.delay_s

    # Agents

    def _apply_policy(self, agent):
        if not self.policy.has_ramp:
            limit = agent.core.limit
            limit._progress = 1.0
            limit.restart = lambda now: None
            agent.core.flows.ramp_share = lambda now: 1.0

    def agents_in_service(self):
        """Return the agents in service."""
        return [agent for agent in self.agents if agent.is_in_service]

    def set_views(self):
        """Set the agents in service as the view of each of them."""
        names = [agent.name for agent in self.agents_in_service()]
        self._agent_by_name = {agent.name: agent for agent in self.agents}
        for agent in self.agents_in_service():
            agent.core.set_agents(names)

    def take_out_of_service(self, datacentre):
        """Take a data centre out of service and end its flows."""
        for agent in self.agents_in_service():
            if agent.datacentre == datacentre:
                agent.is_in_service = False
                agent.idle_since = math.inf
                agent.pending.clear()
        self.set_views()
        kept = [flow for flow in self.flows if flow.owner.is_in_service]
        closed = len(self.flows) - len(kept)
        self.flows = kept
        # Callers notice and open new flows within two seconds.
        for _ in range(closed):
            self.schedule(self.rng.uniform(0.05, 2.0), self._add_flow)

    def return_to_service(self, datacentre):
        """Return a data centre to service, its agents spread over 1 s."""
        for agent in self.agents:
            if agent.datacentre == datacentre and not agent.is_in_service:
                self.schedule(
                    self.rng.uniform(0, 1.0), self._return_agent, agent
                )

    def _return_agent(self, agent):
        agent.is_in_service = True
        changes = agent.upstream.changes
        agent.restart(random.Random(self.rng.random()), self.now)
        agent.upstream.changes = [*changes, (self.now, 0)]
        self._apply_policy(agent)
        self.set_views()

    def _tick(self, agent):
        self.schedule(TICK_S, self._tick, agent)
        if not agent.is_in_service:
            return
        core = agent.core
        peers = core.loads.peers_due(self.now)
        if peers:
            report = core.load_report(self.now)
            if self.policy.trusts_health:
                report = msgspec.structs.replace(
                    report, free=self.shape.slots, in_flight=0, queued=0
                )
            for name in peers:
                peer = self._agent_by_name[name]
                self.schedule(
                    self.delay_s(agent, peer),
                    lambda peer=peer, report=report: peer.core.loads.on_report(
                        report, self.now
                    ),
                )
        self._start_ready(agent)
        agent.update_idle_since(self.now)

    def _start_ready(self, agent):
        for run_id in agent.core.tick(self.now):
            if run := agent.pending.pop(run_id, None):
                self._start_attempt(agent, run_id, *run)

    # Flows

    def _replace_flows(self):
        """Close a random flow and open new ones up to ``OPEN_FLOWS``.

        Schedules itself again at the rate at which flows end.
        """
        self.schedule(
            self.rng.expovariate(OPEN_FLOWS / MEAN_FLOW_LIFETIME_S),
            self._replace_flows,
        )
        if len(self.flows) >= OPEN_FLOWS:
            flow = self.flows.pop(self.rng.randrange(len(self.flows)))
            flow.owner.core.record_flow_closed()
        missing = min(5, OPEN_FLOWS - len(self.flows))
        for _ in range(max(1, missing)):
            self._add_flow()

    def _add_flow(self):
        candidates = self.agents_in_service()
        home = self.rng.choices(
            candidates, [self._home_weight[agent.name] for agent in candidates]
        )[0]
        owner = home
        if self.policy.places_by_load:
            name = home.core.placement.choose_owner(
                home.name, [agent.name for agent in candidates], self.now
            )
            if name is None:
                self.counts['flows_refused'] += 1
                return
            owner = self._agent_by_name[name]
        owner.core.record_flow_opened(self.now)
        self.flows.append(Flow(home, owner))

    # Requests

    def _start_request(self):
        rate = (
            self.load
            * self.shape.upstreams
            * self.shape.slots
            / MEAN_SERVICE_S
        )
        self.schedule(self.rng.expovariate(rate), self._start_request)
        if not self.flows:
            return
        mean = math.log(MEAN_SERVICE_S) - SERVICE_TIME_SIGMA**2 / 2
        work_s = self.rng.lognormvariate(mean, SERVICE_TIME_SIGMA)
        self.offered.append((self.now, work_s))
        self._send(Request(self.rng.choice(self.flows), work_s, 0.0))

    def _send(self, request):
        if not request.flow.owner.is_in_service:
            request.flow = self.rng.choice(self.flows)
        request.deadline = self.now + CALLER_DEADLINE_S
        request.attempts += 1
        request.attempts_at_owner = 0
        self.counts['sent'] += 1
        owner = request.flow.owner
        self.schedule(
            self.shape.caller_delay_s + LOCAL_DELAY_S,
            self._decide,
            owner,
            request,
            (),
        )

    def _request_info(self, request, **options):
        return RequestInfo(
            run_id=next(self._run_numbers).to_bytes(16, 'big'),
            flow=b'flow00',
            deadline=request.deadline,
            pinned=not self.policy.places_by_load,
            **options,
        )

    def _decide(self, owner, request, declined, run_id=None):
        if not owner.is_in_service:
            return
        info = self._request_info(request, declined=declined)
        if run_id is not None:
            info = msgspec.structs.replace(info, run_id=run_id)
        match owner.core.decide(info, self.now):
            case RunHere():
                self._start_attempt(owner, info.run_id, request, owner)
            case RunAt(name):
                peer = self._agent_by_name[name]
                self.counts['delegated'] += 1
                peer.delegations_on_way += 1
                peer.update_idle_since(self.now)
                self.schedule(
                    self.delay_s(owner, peer),
                    self._receive_delegation,
                    owner,
                    peer,
                    request,
                    declined,
                )
            case Wait(until):
                owner.pending[info.run_id] = (request, owner)
                self.schedule(
                    until - self.now,
                    self._wait_ended,
                    owner,
                    info.run_id,
                    request,
                )
            case Refuse(retry_after_s):
                self._refuse_request(request, retry_after_s)

    def _wait_ended(self, owner, run_id, request):
        if owner.pending.pop(run_id, None):
            self.counts['expired_waits'] += 1
            self._decide(owner, request, (), run_id)

    def _receive_delegation(self, owner, peer, request, declined):
        delay_s = self.delay_s(owner, peer)
        peer.delegations_on_way = max(0, peer.delegations_on_way - 1)
        if not peer.is_in_service:
            return
        info = self._request_info(request, delegated=True)
        if peer.core.decide(info, self.now) == RunHere():
            self._start_attempt(peer, info.run_id, request, owner)
        else:
            self.counts['declined'] += 1
            self.schedule(
                delay_s,
                self._receive_refusal,
                owner,
                peer,
                request,
                declined,
                peer.core.load(),
            )

    def _receive_refusal(self, owner, peer, request, declined, load):
        if owner.is_in_service:
            self._record_load(owner, peer, load)
            self._decide(owner, request, (*declined, peer.name))

    def _record_load(self, owner, peer, load):
        if not self.policy.trusts_health:
            owner.core.loads.on_load(peer.name, load, self.now)

    def _start_attempt(self, agent, run_id, request, owner):
        upstream = agent.upstream
        agent.core.record_start(run_id, self.now)
        agent.update_idle_since(self.now)
        if request.attempts_at_owner == 0:
            self.counts['run_requests'] += 1
        request.attempts_at_owner += 1
        self.counts['runs'] += 1
        capacity = upstream.capacity(self.now)
        shedding_load = SHED_RATIO * max(1.0, capacity)
        must_shed = upstream.sheds and upstream.running >= shedding_load
        if must_shed or self.rng.random() < upstream.shed_share:
            self.counts['shed'] += 1
            self.schedule(
                0.001,
                self._end_attempt,
                agent,
                agent.core,
                run_id,
                request,
                owner,
                RunOutcome.SHED,
                self.now,
            )
            return
        upstream.record_change(1, self.now)
        upstream.started.append((self.now, request.work_s))
        load_ratio = upstream.running / max(1.0, capacity)
        upstream.peak_load_ratio = max(upstream.peak_load_ratio, load_ratio)
        duration_s = request.work_s * max(1.0, upstream.running / capacity)
        outcome = RunOutcome.COMPLETED
        if self.now < upstream.hangs_until:
            duration_s = math.inf
        if self.now + duration_s > request.deadline:
            duration_s = request.deadline - self.now
            outcome = RunOutcome.TIMED_OUT
        self.schedule(
            duration_s,
            self._end_attempt,
            agent,
            agent.core,
            run_id,
            request,
            owner,
            outcome,
            self.now,
        )

    def _end_attempt(
        self, agent, core, run_id, request, owner, outcome, started_at
    ):
        if agent.core is not core:
            return
        if outcome is not RunOutcome.SHED:
            agent.upstream.record_change(-1, self.now)
        if not agent.is_in_service:
            return
        core.record_end(run_id, outcome, self.now - started_at, self.now)
        self._start_ready(agent)
        agent.update_idle_since(self.now)
        if owner is not agent:
            self.schedule(
                self.delay_s(agent, owner),
                self._record_load,
                owner,
                agent,
                core.load(),
            )
        if outcome is RunOutcome.COMPLETED:
            self.completed.append((self.now, request.work_s))
            owner.budget.deposit(self.now)
        elif outcome is RunOutcome.SHED:
            self._retry(owner, request)
        else:
            self.counts['timed_out'] += 1

    def _retry(self, owner, request):
        if request.attempts_at_owner <= 2 and (
            not self.policy.has_budget or owner.budget.try_spend(self.now)
        ):
            self.schedule(
                backoff_s(request.attempts_at_owner, self.rng),
                self._decide,
                owner,
                request,
                (),
            )
        else:
            self._refuse_request(request, 1.0)

    def _refuse_request(self, request, retry_after_s):
        self.refusal_times.append(self.now)
        if any(
            self.now - agent.idle_since >= MIN_IDLE_S
            for agent in self.agents_in_service()
        ):
            self.idle_refusal_times.append(self.now)
        if request.attempts <= CALLER_RETRIES:
            # Max-Age is in whole seconds.
            delay_s = max(1, math.ceil(retry_after_s))
            self.schedule(delay_s, self._return_caller, request)

    def _return_caller(self, request):
        self.caller_return_times.append(self.now)
        if self.flows:
            self._send(request)

    # Results

    def goodput(self, start, end):
        """Return the completed work per second in the window, in slots."""
        return _work_rate(self.completed, start, end)

    def relative_goodput(self, start, end, slots):
        """Return the goodput over the offered load or capacity.

        The lesser of the two is used.

        :param slots: number of slots in service.
        """
        allowed = min(slots, _work_rate(self.offered, start, end))
        return _work_rate(self.completed, start, end) / allowed

    def busy(self, start, end):
        """Return the mean number of busy slots of each agent."""
        return {
            agent.name: agent.upstream.busy_s(start, end) / (end - start)
            for agent in self.agents
        }
