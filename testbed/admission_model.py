"""Discrete-event model of one service for ``bench_admission``.

It runs the admission, limits and retry cores of the agents of a service
against modelled upstreams and callers. Messages are delayed as in section
1.1 of the design. It is no simulator of a cluster: views, leases and
sockets are left out.
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

#: Share of its slots that a cold upstream bears, and the ratio above which
#: it sheds, as in ``testbed.upstream``.
COLD_SHARE = 0.1
SHED_RATIO = 2.0

SERVICE_S = 0.1
SERVICE_SIGMA = 0.5
DEADLINE_S = 2.0
RAMP_S = 10.0
CONNECTIONS = 2000
FLOWS = 1400
FLOW_LIFE_S = 20.0
CALLER_RETRIES = 2
TICK_S = 0.01
#: An upstream counts as idle at a refusal when it had a free slot for this
#: time: it takes an agent up to five round trips of 3 ms to ask its peers.
KNOWN_IDLE_S = 0.02
#: Within a data centre.
LOCAL_DELAY_S = 0.0002


class Shape(NamedTuple):
    """Size of a service."""

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
    """What is measured: the cores, or one of them made naive.

    :param ramps: whether the concurrency limit follows what is observed.
    :param trusts_health: whether loads come from the health endpoint of the
        upstream, which always reports all slots as free.
    :param places: whether flows are placed and requests delegated by load.
    :param has_budget: whether a budget bounds retries.
    """

    name: str = 'chosen'
    ramps: bool = True
    trusts_health: bool = False
    places: bool = True
    has_budget: bool = True


CHOSEN = Policy()
NO_RAMP = Policy('no_ramp', ramps=False)
TRUST_HEALTH = Policy('trust_health', ramps=False, trusts_health=True)
PURE_HASH = Policy('pure_hash', places=False)
#: Without a ramp, so that the limit does not hold back the retries.
BUDGET_ONLY = Policy('budget_only', ramps=False)
NO_BUDGET = Policy('no_budget', ramps=False, has_budget=False)


class Upstream:
    """Upstream that slows down, and sheds, above what it bears."""

    def __init__(self, slots: int, since: float):
        self.slots = slots
        self.cold_since = since
        self.hangs_until = -math.inf
        self.sheds = True
        self.shed_share = 0.0
        self.running = 0
        #: ``(time, running)`` of each change, and work by start time.
        self.changes: list[tuple[float, int]] = []
        self.started: list[tuple[float, float]] = []
        self.excess = 0.0

    def bears(self, now: float) -> float:
        """Return the requests that it bears at the same time."""
        warm = (now - self.cold_since) / RAMP_S
        return self.slots * min(1.0, max(COLD_SHARE, warm))

    def change(self, step: int, now: float) -> None:
        """Note that a request started or ended."""
        self.running += step
        self.changes.append((now, self.running))

    def busy_s(self, start: float, end: float) -> float:
        """Return slot-seconds that were busy between two times."""
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


def _rate(work, start, end):
    return sum(work_s for at, work_s in work if start <= at < end) / (
        end - start
    )


class Flow:
    """A caller's flow."""

    __slots__ = ('home', 'owner')

    def __init__(self, home, owner):
        self.home = home
        self.owner = owner


class Request:
    """A request of a caller with its attempts."""

    __slots__ = ('attempts', 'attempts_here', 'deadline', 'flow', 'work_s')

    def __init__(self, flow, work_s, deadline):
        self.flow = flow
        self.work_s = work_s
        self.deadline = deadline
        self.attempts = 0
        self.attempts_here = 0


class Agent:
    """An agent with its upstream."""

    def __init__(self, name, datacentre, shape, rng, now):
        self.name = name
        self.datacentre = datacentre
        self.shape = shape
        self.is_in = True
        self.restart(rng, now)

    def restart(self, rng, now):
        """Start the agent and its upstream anew, both cold."""
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
        self.inbound = 0

    def note_idle(self, now):
        """Follow since when a request could start at once.

        A slot that a request is on its way to is not idle.
        """
        core = self.core
        free = (
            core.limit.max_in_flight
            - core.in_flight
            - core.queued
            - self.inbound
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
        #: ``(time, work in s)`` of first attempts and of completed ones.
        self.offered: list[tuple[float, float]] = []
        self.good: list[tuple[float, float]] = []
        self.returns: list[float] = []
        self.idle_refusals: list[float] = []
        self.refusals: list[float] = []
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._order = itertools.count()
        self._runs = itertools.count()
        # Rendezvous hashing over few agents is uneven; so are these homes.
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
            self._equip(agent)
        self.flows: list[Flow] = []
        self.set_views()
        for agent in self.agents:
            self.after(self.rng.random() * TICK_S, self._tick, agent)
        self.after(0.0, self._arrive)
        self.after(0.0, self._open_flow)

    # Events

    def after(self, delay_s, action, *arguments):
        """Call an action after a delay."""
        heapq.heappush(
            self._events,
            (self.now + delay_s, next(self._order), action, arguments),
        )

    def run_until(self, end):
        """Run the model up to a time."""
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

    def _equip(self, agent):
        if not self.policy.ramps:
            limit = agent.core.limit
            limit._progress = 1.0
            limit.restart = lambda now: None
            agent.core.flows.ramp_share = lambda now: 1.0

    def members(self):
        """Return the agents in service."""
        return [agent for agent in self.agents if agent.is_in]

    def set_views(self):
        """Give all agents the present view."""
        names = [agent.name for agent in self.members()]
        self._by_name = {agent.name: agent for agent in self.agents}
        for agent in self.members():
            agent.core.set_agents(names)

    def take_out(self, datacentre):
        """Take a data centre out; its flows are given up."""
        for agent in self.members():
            if agent.datacentre == datacentre:
                agent.is_in = False
                agent.idle_since = math.inf
                agent.pending.clear()
        self.set_views()
        kept = [flow for flow in self.flows if flow.owner.is_in]
        lost = len(self.flows) - len(kept)
        self.flows = kept
        # Callers notice and open new flows within two seconds.
        for _ in range(lost):
            self.after(self.rng.uniform(0.05, 2.0), self._add_flow)

    def bring_back(self, datacentre):
        """Return the agents at times spread over a part of the ramp."""
        for agent in self.agents:
            if agent.datacentre == datacentre and not agent.is_in:
                self.after(self.rng.uniform(0, 1.0), self._return, agent)

    def _return(self, agent):
        agent.is_in = True
        changes = agent.upstream.changes
        agent.restart(random.Random(self.rng.random()), self.now)
        agent.upstream.changes = [*changes, (self.now, 0)]
        self._equip(agent)
        self.set_views()

    def _tick(self, agent):
        self.after(TICK_S, self._tick, agent)
        if not agent.is_in:
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
                peer = self._by_name[name]
                self.after(
                    self.delay_s(agent, peer),
                    lambda peer=peer, report=report: peer.core.loads.on_report(
                        report, self.now
                    ),
                )
        self._start_ready(agent)
        agent.note_idle(self.now)

    def _start_ready(self, agent):
        for run_id in agent.core.tick(self.now):
            if run := agent.pending.pop(run_id, None):
                self._start(agent, run_id, *run)

    # Flows

    def _open_flow(self):
        """Replace flows at the rate at which they end."""
        self.after(self.rng.expovariate(FLOWS / FLOW_LIFE_S), self._open_flow)
        if len(self.flows) >= FLOWS:
            flow = self.flows.pop(self.rng.randrange(len(self.flows)))
            flow.owner.core.record_flow_closed()
        missing = min(5, FLOWS - len(self.flows))
        for _ in range(max(1, missing)):
            self._add_flow()

    def _add_flow(self):
        members = self.members()
        home = self.rng.choices(
            members, [self._home_weight[agent.name] for agent in members]
        )[0]
        owner = home
        if self.policy.places:
            name = home.core.placement.choose_owner(
                home.name, [agent.name for agent in members], self.now
            )
            if name is None:
                self.counts['flows_refused'] += 1
                return
            owner = self._by_name[name]
        owner.core.record_flow_opened(self.now)
        self.flows.append(Flow(home, owner))

    # Requests

    def _arrive(self):
        rate = self.load * self.shape.upstreams * self.shape.slots / SERVICE_S
        self.after(self.rng.expovariate(rate), self._arrive)
        if not self.flows:
            return
        mean = math.log(SERVICE_S) - SERVICE_SIGMA**2 / 2
        work_s = self.rng.lognormvariate(mean, SERVICE_SIGMA)
        self.offered.append((self.now, work_s))
        self._send(Request(self.rng.choice(self.flows), work_s, 0.0))

    def _send(self, request):
        if not request.flow.owner.is_in:
            request.flow = self.rng.choice(self.flows)
        request.deadline = self.now + DEADLINE_S
        request.attempts += 1
        request.attempts_here = 0
        self.counts['sent'] += 1
        owner = request.flow.owner
        self.after(
            self.shape.caller_delay_s + LOCAL_DELAY_S,
            self._decide,
            owner,
            request,
            (),
        )

    def _info(self, request, **options):
        return RequestInfo(
            run_id=next(self._runs).to_bytes(16, 'big'),
            flow=b'flow00',
            deadline=request.deadline,
            pinned=not self.policy.places,
            **options,
        )

    def _decide(self, owner, request, declined, run_id=None):
        if not owner.is_in:
            return
        info = self._info(request, declined=declined)
        if run_id is not None:
            info = msgspec.structs.replace(info, run_id=run_id)
        match owner.core.decide(info, self.now):
            case RunHere():
                self._start(owner, info.run_id, request, owner)
            case RunAt(name):
                peer = self._by_name[name]
                self.counts['delegated'] += 1
                peer.inbound += 1
                peer.note_idle(self.now)
                self.after(
                    self.delay_s(owner, peer),
                    self._delegate,
                    owner,
                    peer,
                    request,
                    declined,
                )
            case Wait(until):
                owner.pending[info.run_id] = (request, owner)
                self.after(
                    until - self.now,
                    self._wait_ended,
                    owner,
                    info.run_id,
                    request,
                )
            case Refuse(retry_after_s):
                self._refuse(request, retry_after_s)

    def _wait_ended(self, owner, run_id, request):
        if owner.pending.pop(run_id, None):
            self.counts['waited_in_vain'] += 1
            self._decide(owner, request, (), run_id)

    def _delegate(self, owner, peer, request, declined):
        delay_s = self.delay_s(owner, peer)
        peer.inbound = max(0, peer.inbound - 1)
        if not peer.is_in:
            return
        info = self._info(request, delegated=True)
        if peer.core.decide(info, self.now) == RunHere():
            self._start(peer, info.run_id, request, owner)
        else:
            self.counts['declined'] += 1
            self.after(
                delay_s,
                self._declined,
                owner,
                peer,
                request,
                declined,
                peer.core.load(),
            )

    def _declined(self, owner, peer, request, declined, load):
        if owner.is_in:
            self._take_load(owner, peer, load)
            self._decide(owner, request, (*declined, peer.name))

    def _take_load(self, owner, peer, load):
        if not self.policy.trusts_health:
            owner.core.loads.on_load(peer.name, load, self.now)

    def _start(self, agent, run_id, request, owner):
        upstream = agent.upstream
        agent.core.record_start(run_id, self.now)
        agent.note_idle(self.now)
        if request.attempts_here == 0:
            self.counts['run_requests'] += 1
        request.attempts_here += 1
        self.counts['runs'] += 1
        bears = upstream.bears(self.now)
        sheds_at = SHED_RATIO * max(1.0, bears)
        must_shed = upstream.sheds and upstream.running >= sheds_at
        if must_shed or self.rng.random() < upstream.shed_share:
            self.counts['shed'] += 1
            self.after(
                0.001,
                self._end,
                agent,
                agent.core,
                run_id,
                request,
                owner,
                RunOutcome.SHED,
                self.now,
            )
            return
        upstream.change(1, self.now)
        upstream.started.append((self.now, request.work_s))
        over = upstream.running / max(1.0, bears)
        upstream.excess = max(upstream.excess, over)
        length_s = request.work_s * max(1.0, upstream.running / bears)
        outcome = RunOutcome.COMPLETED
        if self.now < upstream.hangs_until:
            length_s = math.inf
        if self.now + length_s > request.deadline:
            length_s = request.deadline - self.now
            outcome = RunOutcome.TIMED_OUT
        self.after(
            length_s,
            self._end,
            agent,
            agent.core,
            run_id,
            request,
            owner,
            outcome,
            self.now,
        )

    def _end(self, agent, core, run_id, request, owner, outcome, started_at):
        if agent.core is not core:
            return
        if outcome is not RunOutcome.SHED:
            agent.upstream.change(-1, self.now)
        if not agent.is_in:
            return
        core.record_end(run_id, outcome, self.now - started_at, self.now)
        self._start_ready(agent)
        agent.note_idle(self.now)
        if owner is not agent:
            self.after(
                self.delay_s(agent, owner),
                self._take_load,
                owner,
                agent,
                core.load(),
            )
        if outcome is RunOutcome.COMPLETED:
            self.good.append((self.now, request.work_s))
            owner.budget.deposit(self.now)
        elif outcome is RunOutcome.SHED:
            self._retry(owner, request)
        else:
            self.counts['timed_out'] += 1

    def _retry(self, owner, request):
        if request.attempts_here <= 2 and (
            not self.policy.has_budget or owner.budget.try_spend(self.now)
        ):
            self.after(
                backoff_s(request.attempts_here, self.rng),
                self._decide,
                owner,
                request,
                (),
            )
        else:
            self._refuse(request, 1.0)

    def _refuse(self, request, retry_after_s):
        self.refusals.append(self.now)
        if any(
            self.now - agent.idle_since >= KNOWN_IDLE_S
            for agent in self.members()
        ):
            self.idle_refusals.append(self.now)
        if request.attempts <= CALLER_RETRIES:
            # Max-Age is in whole seconds.
            delay_s = max(1, math.ceil(retry_after_s))
            self.after(delay_s, self._come_back, request)

    def _come_back(self, request):
        self.returns.append(self.now)
        if self.flows:
            self._send(request)

    # Results

    def goodput(self, start, end):
        """Return completed work a second in the window, in slots."""
        return _rate(self.good, start, end)

    def service(self, start, end, slots):
        """Return the goodput over what load and capacity allow.

        :param slots: slots that are in service.
        """
        allowed = min(slots, _rate(self.offered, start, end))
        return _rate(self.good, start, end) / allowed

    def busy(self, start, end):
        """Return the mean busy slots of each agent in the window."""
        return {
            agent.name: agent.upstream.busy_s(start, end) / (end - start)
            for agent in self.agents
        }
