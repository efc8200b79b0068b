"""Decisions of an agent on requests and new flows."""

from collections.abc import Collection
from collections.abc import Iterable
import itertools
import random

from ibispitch.admission.concurrency import ConcurrencyLimit
from ibispitch.admission.flows import FlowLimit
from ibispitch.admission.loads import LoadTable
from ibispitch.admission.loads import REPORT_INTERVAL_S
from ibispitch.admission.messages import AdmissionState
from ibispitch.admission.messages import LoadReport
from ibispitch.admission.placement import Placement
from ibispitch.admission.types import Decision
from ibispitch.admission.types import Load
from ibispitch.admission.types import Refuse
from ibispitch.admission.types import RequestInfo
from ibispitch.admission.types import RunAt
from ibispitch.admission.types import RunHere
from ibispitch.admission.types import RunId
from ibispitch.admission.types import RunOutcome
from ibispitch.admission.types import Wait
from ibispitch.ids import AgentId

#: A request waits if its slot is expected within this many latencies. The
#: queue bridges the time until the next request and no more.
WAIT_LATENCIES = 2.0
#: Added with one slot, and in proportion with more: a queue of one or two
#: requests often runs empty while callers are refused.
WAIT_LATENCIES_PER_SLOT = 1.0
#: Further parts of an exchange may wait longer, as work was done for it.
EXCHANGE_WAIT_LATENCIES = 4.0
#: Share of the time that is left after the run that may be waited.
WAIT_SHARE = 0.5
#: A wait ends after this many times the allowed wait.
WAIT_MARGIN = 1.6
MIN_WAIT_S = 0.02
#: While the upstream ramps, a request that only this agent can run, such as
#: the registration of a feed, may wait for this long: many feeds open at
#: once when a service starts or a data centre returns, and each takes a few
#: milliseconds.
RAMP_WAIT_S = 0.25
#: Peers that are asked to run a request before it is refused.
MAX_DELEGATIONS = 8
#: A load newer than this is not asked for again before a refusal.
PROBE_AGE_S = 0.01
#: A peer may have run its queue in this share of the expected time, since
#: the lengths of requests vary.
DRAIN_SHARE = 0.3

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0
#: Time over which refusals and completions are averaged.
RATE_WINDOW_S = 5.0
#: Least latency that estimates of the throughput reckon with, since a
#: measured one may be zero on a coarse clock.
MIN_LATENCY_S = 0.001
#: Waiting runs are forgotten this long after their time has passed.
FORGET_S = 1.0


class _Waiting:
    """A waiting run."""

    __slots__ = ('is_exchange', 'until')

    def __init__(self, until: float, is_exchange: bool):
        self.until = until
        self.is_exchange = is_exchange


class _DecayingCount:
    """Count of events in about the last ``RATE_WINDOW_S`` seconds."""

    def __init__(self, now: float):
        self._value = 0.0
        self._at = now

    def read(self, now: float) -> float:
        elapsed = max(0.0, now - self._at)
        self._value *= max(0.0, 1.0 - elapsed / RATE_WINDOW_S)
        self._at = now
        return self._value

    def add(self, now: float) -> None:
        self._value = self.read(now) + 1.0


class AdmissionCore:
    """Admits requests to the upstream of this agent.

    Every run that was decided ``RunHere``, or that ``tick`` returned, holds
    a slot until ``record_end``. A run is reserved when it is decided, so
    that two decisions between ``record_start`` calls cannot exceed the limit.

    :param self_id: this agent.
    :param slots: requests that the upstream runs at once.
    :param connections: flows that the upstream bears.
    :param ramp_s: seconds from cold to full load.
    :param rng: spreads retry times and choices.
    :param now: start of the upstream in seconds.
    :param incarnation: start time of the process in ns.
    """

    def __init__(
        self,
        self_id: AgentId,
        slots: int,
        connections: int,
        ramp_s: float,
        rng: random.Random,
        now: float,
        incarnation: int = 0,
    ):
        self.self_id = self_id
        self.limit = ConcurrencyLimit(slots, ramp_s, now)
        self.flows = FlowLimit(connections, ramp_s, now)
        self.loads = LoadTable(self_id, rng)
        self.placement = Placement(self.loads, self.flows, rng)
        self._rng = rng
        self._sequence = itertools.count(incarnation // 1_000_000 + 1)
        self._holding: set[RunId] = set()
        self._waiting: dict[RunId, _Waiting] = {}
        self._refused = _DecayingCount(now)
        self._completed = _DecayingCount(now)

    @property
    def in_flight(self) -> int:
        """Runs that hold a slot."""
        return len(self._holding)

    @property
    def queued(self) -> int:
        """Runs that wait for a slot."""
        return len(self._waiting)

    def set_agents(self, agent_ids: Iterable[AgentId]) -> None:
        """Take over the agents of the service from a new view."""
        self.loads.set_peers(agent_ids)

    def start_draining(self) -> None:
        """Take no new flows from now on; open ones are served."""
        self.placement.is_draining = True

    def decide(self, request: RequestInfo, now: float) -> Decision:
        """Decide on a run.

        The order is: a free slot here, a peer that is known to have one, a
        short wait, a peer that may have one, refusal.

        After ``MAX_DELEGATIONS`` peers have declined the request, it is
        decided here. A request whose wait has ended does not wait again.

        :param request: what is known of the request.
        :param now: time in seconds.
        :returns: the decision; ``RunHere`` and ``Wait`` reserve it.
        """
        has_waited = self._waiting.pop(request.run_id, None) is not None
        decision = self._decide(request, has_waited, now)
        if isinstance(decision, RunAt):
            self.loads.run_sent(decision.agent_id, now)
        return decision

    def _decide(
        self, request: RequestInfo, has_waited: bool, now: float
    ) -> Decision:
        declined = request.declined
        may_delegate = not request.pinned and len(declined) < MAX_DELEGATIONS
        if request.deadline <= now:
            return self._refuse(now)
        if not self._waiting and self.limit.may_start(self.in_flight, now):
            self._holding.add(request.run_id)
            return RunHere()
        if request.delegated:
            return self._refuse(now)
        if may_delegate and (peer := self._free_peer(declined, now)):
            return RunAt(peer)
        if not has_waited and (wait := self._wait(request, now)):
            return wait
        if may_delegate and (peer := self._probe(declined, now)):
            return RunAt(peer)
        return self._refuse(now)

    def record_start(self, run_id: RunId, now: float) -> None:
        """Note that the run was sent to the upstream."""
        self._holding.add(run_id)
        self.limit.started(run_id, now)

    def record_end(
        self, run_id: RunId, outcome: RunOutcome, latency_s: float, now: float
    ) -> None:
        """Note the end of a run, or that a waiting one was given up.

        :param run_id: the run.
        :param outcome: how it ended.
        :param latency_s: seconds since it was sent to the upstream.
        :param now: time in seconds.
        """
        self._waiting.pop(run_id, None)
        if run_id not in self._holding:
            return
        self._holding.remove(run_id)
        restarts = self.limit.restarts
        self.limit.finished(run_id, outcome, latency_s, now)
        if outcome is RunOutcome.COMPLETED:
            self._completed.add(now)
        self._follow_restart(restarts, now)

    def tick(self, now: float) -> list[RunId]:
        """Return waiting runs that may start now; each has a slot.

        Call it after each ``record_end`` and every 10 ms while runs wait, as
        a duty cycle also frees the slot by time.
        """
        restarts = self.limit.restarts
        self.limit.tick(now)
        self._follow_restart(restarts, now)
        for run_id in [
            run_id
            for run_id, waiting in self._waiting.items()
            if now > waiting.until + FORGET_S
        ]:
            del self._waiting[run_id]
        ready: list[RunId] = []
        while self.limit.may_start(self.in_flight, now):
            run_id = self._next_waiting(now)
            if run_id is None:
                break
            del self._waiting[run_id]
            self._holding.add(run_id)
            ready.append(run_id)
        return ready

    def is_flow_allowed(self, now: float) -> bool:
        """Tell whether this agent may take a new flow."""
        return not self.placement.is_draining and self.flows.room(now) > 0

    def record_flow_opened(self, now: float) -> None:
        """Note that this agent adopted a flow."""
        self.flows.opened(now)

    def record_flow_closed(self) -> None:
        """Note that a flow of this agent ended."""
        self.flows.closed()

    def load(self) -> Load:
        """Return the load to send along with a reply."""
        return Load(
            self.flows.open_flows,
            self.in_flight,
            self.limit.value,
            self.queued,
        )

    def load_report(self, now: float) -> LoadReport:
        """Return the report to send to the peers that are due."""
        free = self.limit.max_in_flight - self.in_flight - self.queued
        is_idle = self.limit.idle_s(now) > 0.0 or self.limit.is_stalled(now)
        return LoadReport(
            self.self_id,
            next(self._sequence),
            self.flows.open_flows,
            self.in_flight,
            round(self.limit.value, 3),
            self.queued,
            0 if is_idle else max(0, free),
            self.flows.expected_room(REPORT_INTERVAL_S, now),
            self.placement.is_draining,
            round(self.limit.latency.recent_s * 1000),
        )

    def set_ramp(self, ramp_s: float) -> None:
        """Use another duration of the ramp from now on, in seconds."""
        self.limit.ramp_s = self.flows.ramp_s = ramp_s

    def restart_ramp(self, now: float) -> None:
        """Start the ramp again, as when the data centre returns."""
        restarts = self.limit.restarts
        self.limit.restart(now)
        self._follow_restart(restarts, now)

    def export(self, now: float) -> AdmissionState:
        """Return the state for a successor process."""
        return AdmissionState(
            self.limit.progress,
            self.flows.ramp_share(now),
            self.flows.open_flows,
        )

    def restore(self, state: AdmissionState, now: float) -> None:
        """Go on where a predecessor process was.

        Runs in progress are told by :meth:`record_start` before or after.
        """
        self.limit.resume(state.progress, now)
        self.flows.resume(state.share, state.flows, now)

    def _follow_restart(self, restarts: int, now: float) -> None:
        if self.limit.restarts != restarts:
            self.flows.restart(now)
        if self.limit.value < 1.0:
            self.limit.warm_latency_s = min(
                self.limit.warm_latency_s, self.loads.warm_latency_s(now)
            )

    def _next_waiting(self, now: float) -> RunId | None:
        alive = [
            (not waiting.is_exchange, position, run_id)
            for position, (run_id, waiting) in enumerate(self._waiting.items())
            if now <= waiting.until
        ]
        return min(alive)[2] if alive else None

    def _free_peer(
        self, declined: Collection[AgentId], now: float
    ) -> AgentId | None:
        free_by_id = {
            agent_id: load.free
            for agent_id in self.loads.peers
            if agent_id not in declined
            and (load := self.loads.load(agent_id, now))
            and load.free > 0
        }
        if not free_by_id:
            return None
        return self._rng.choices(list(free_by_id), list(free_by_id.values()))[
            0
        ]

    def _probe(
        self, declined: Collection[AgentId], now: float
    ) -> AgentId | None:
        """Return the peer that most likely has a free slot by now.

        A peer that had a queue is not asked until it may have run that
        queue.
        """
        doubt_by_id = {
            agent_id: load.age_s - DRAIN_SHARE * load.backlog_s
            if load
            else self.loads.max_age_s
            for agent_id in self.loads.peers
            if agent_id not in declined
            for load in [self.loads.load(agent_id, now)]
        }
        chosen = max(
            doubt_by_id, key=lambda key: doubt_by_id[key], default=None
        )
        if chosen is None or doubt_by_id[chosen] < PROBE_AGE_S:
            return None
        return chosen

    def _wait(self, request: RequestInfo, now: float) -> Wait | None:
        if self.limit.is_stalled(now):
            return None
        latency_s = self.limit.latency.recent_s
        latencies = WAIT_LATENCIES + WAIT_LATENCIES_PER_SLOT / self.limit.slots
        if request.exchange:
            latencies = EXCHANGE_WAIT_LATENCIES
        is_burst = request.pinned and self.limit.is_ramping
        least_s = RAMP_WAIT_S if is_burst else MIN_WAIT_S
        allowed_s = min(
            max(least_s, latencies * latency_s),
            WAIT_SHARE * (request.deadline - now - latency_s),
        )
        if self._expected_wait_s(now) > allowed_s:
            return None
        until = now + min(
            WAIT_MARGIN * allowed_s, request.deadline - now - latency_s
        )
        self._waiting[request.run_id] = _Waiting(until, request.exchange)
        return Wait(until)

    def _expected_wait_s(self, now: float) -> float:
        latency_s = self.limit.latency.recent_s
        first_s = 0.5 * latency_s / self.limit.max_in_flight
        if self.limit.value < 1.0:
            first_s = self.limit.idle_s(now)
            if self.in_flight:
                first_s = latency_s * (1.0 / self.limit.value - 0.5)
        return first_s + self.queued * latency_s / self.limit.value

    def _refuse(self, now: float) -> Refuse:
        """Refuse with a time to return that is spread over its mean.

        The mean grows with the overload, so that the callers that return
        are about as many as the upstreams can run. Just after a start
        nothing has completed yet, although there is no overload, so what
        the limit allows counts as completed unless the upstream is stalled.
        """
        self._refused.add(now)
        allowed = 0.0
        if not self.limit.is_stalled(now):
            latency_s = max(self.limit.latency.recent_s, MIN_LATENCY_S)
            allowed = RATE_WINDOW_S * self.limit.value / latency_s
        overload = self._refused.read(now) / max(
            1.0, self._completed.read(now), allowed
        )
        mean_s = 1.0 + overload
        return Refuse(
            min(
                MAX_RETRY_AFTER_S,
                max(MIN_RETRY_AFTER_S, mean_s * self._rng.uniform(0.5, 1.5)),
            )
        )
