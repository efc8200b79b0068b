"""Decides where and when requests run, and limits new flows."""

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

#: A request waits if it is expected to get a slot within this many latencies.
#: The queue only needs to keep a slot busy until the next request arrives.
MAX_WAIT_LATENCIES = 2.0
#: Divided by the number of slots and added to MAX_WAIT_LATENCIES: with few
#: slots the queue holds only one or two requests, and often becomes empty
#: although callers are refused.
EXTRA_WAIT_LATENCIES_AT_ONE_SLOT = 1.0
#: MAX_WAIT_LATENCIES for further parts of a blockwise exchange. They may wait
#: longer, as refusing them wastes the work on the earlier parts.
MAX_EXCHANGE_WAIT_LATENCIES = 4.0
#: Share of the spare time (time until the deadline less the latency) that a
#: request may wait.
MAX_WAIT_SHARE = 0.5
#: A wait is ended after this many times the allowed wait.
WAIT_END_RATIO = 1.6
MIN_WAIT_S = 0.02
#: During the ramp, a request that only this agent can run, such as the
#: registration of a feed, may wait for at least this long: many feeds are
#: registered at once when a service starts or a data centre returns, and each
#: takes a few milliseconds.
MIN_RAMP_WAIT_S = 0.25
#: Number of peers that are asked to run a request before it is refused.
MAX_DELEGATIONS = 8
#: A peer whose reported load is newer than this is not probed.
MIN_PROBE_AGE_S = 0.01
#: A peer may have finished its backlog after this share of the expected time,
#: since run times vary.
MIN_BACKLOG_SHARE = 0.3

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0
#: Time over which refusals and completions are averaged.
RATE_WINDOW_S = 5.0
#: Lower bound of the latency in estimates of the throughput, since the
#: measured latency may be zero on a coarse clock.
MIN_LATENCY_S = 0.001
#: Waiting runs are forgotten this long after their wait has ended.
KEEP_ENDED_WAIT_S = 1.0


class _WaitingRun:
    """A run that waits for a slot."""

    __slots__ = ('continues_exchange', 'until')

    def __init__(self, until: float, continues_exchange: bool):
        self.until = until
        self.continues_exchange = continues_exchange


class _DecayingCount:
    """Approximate count of events in the last ``RATE_WINDOW_S`` seconds."""

    def __init__(self, now: float):
        self._value = 0.0
        self._updated_at = now

    def read(self, now: float) -> float:
        elapsed = max(0.0, now - self._updated_at)
        self._value *= max(0.0, 1.0 - elapsed / RATE_WINDOW_S)
        self._updated_at = now
        return self._value

    def add(self, now: float) -> None:
        self._value = self.read(now) + 1.0


class AdmissionCore:
    """Admits requests to the upstream of this agent.

    A run occupies a slot from the decision ``RunHere``, or from the time at
    which ``tick`` returned it, until ``record_end``. The slot is taken with
    the decision and not with ``record_start``, so that several decisions in
    between cannot exceed the limit.

    :param self_id: id of this agent.
    :param slots: requests that the upstream can run at the same time.
    :param connections: flows that the upstream can serve.
    :param ramp_s: duration of the ramp from cold to full load, in seconds.
    :param rng: spreads retry times and chooses between peers.
    :param now: start time of the upstream, in seconds.
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
        self._runs_in_slots: set[RunId] = set()
        self._waiting: dict[RunId, _WaitingRun] = {}
        self._recent_refusals = _DecayingCount(now)
        self._recent_completions = _DecayingCount(now)

    @property
    def in_flight(self) -> int:
        """Number of runs that occupy a slot."""
        return len(self._runs_in_slots)

    @property
    def queued(self) -> int:
        """Number of runs that wait for a slot."""
        return len(self._waiting)

    def set_agents(self, agent_ids: Iterable[AgentId]) -> None:
        """Set the agents of the service, as listed in a new view."""
        self.loads.set_peers(agent_ids)

    def start_draining(self) -> None:
        """Accept no new flows from now on; open flows are still served."""
        self.placement.is_draining = True

    def decide(self, request: RequestInfo, now: float) -> Decision:
        """Decide where and when a request runs.

        The options, in this order, are: a free slot of this agent, a peer
        that is known to have a free slot, a short wait, a peer that may
        have a free slot, refusal.

        A request that ``MAX_DELEGATIONS`` peers have declined is not
        delegated again. A request whose wait has ended does not wait again.

        :param request: the request.
        :param now: time in seconds.
        :returns: the decision; the core keeps count of runs for which it is
            ``RunHere`` or ``Wait``.
        """
        has_waited = self._waiting.pop(request.run_id, None) is not None
        decision = self._decide(request, has_waited, now)
        if isinstance(decision, RunAt):
            self.loads.record_run_sent(decision.agent_id, now)
        return decision

    def _decide(
        self, request: RequestInfo, has_waited: bool, now: float
    ) -> Decision:
        declined = request.declined
        may_delegate = not request.pinned and len(declined) < MAX_DELEGATIONS
        if request.deadline <= now:
            return self._refusal(now)
        if not self._waiting and self.limit.may_start(self.in_flight, now):
            self._runs_in_slots.add(request.run_id)
            return RunHere()
        if request.delegated:
            return self._refusal(now)
        if may_delegate and (peer := self._free_peer(declined, now)):
            return RunAt(peer)
        if not has_waited and (wait := self._try_to_queue(request, now)):
            return wait
        if may_delegate and (peer := self._peer_to_probe(declined, now)):
            return RunAt(peer)
        return self._refusal(now)

    def record_start(self, run_id: RunId, now: float) -> None:
        """Record that a run was sent to the upstream."""
        self._runs_in_slots.add(run_id)
        self.limit.record_start(run_id, now)

    def record_end(
        self, run_id: RunId, outcome: RunOutcome, latency_s: float, now: float
    ) -> None:
        """Record that a run has ended, or that a waiting one was given up.

        :param run_id: id of the run.
        :param outcome: how it ended.
        :param latency_s: seconds since it was sent to the upstream.
        :param now: time in seconds.
        """
        self._waiting.pop(run_id, None)
        if run_id not in self._runs_in_slots:
            return
        self._runs_in_slots.remove(run_id)
        restarts = self.limit.restarts
        self.limit.record_end(run_id, outcome, latency_s, now)
        if outcome is RunOutcome.COMPLETED:
            self._recent_completions.add(now)
        self._apply_ramp_restart(restarts, now)

    def tick(self, now: float) -> list[RunId]:
        """Return the waiting runs that may start now; each occupies a slot.

        Call it after each ``record_end`` and every 10 ms while runs wait: in
        a duty cycle, a slot also becomes free without the end of a run.
        """
        restarts = self.limit.restarts
        self.limit.tick(now)
        self._apply_ramp_restart(restarts, now)
        for run_id in [
            run_id
            for run_id, waiting in self._waiting.items()
            if now > waiting.until + KEEP_ENDED_WAIT_S
        ]:
            del self._waiting[run_id]
        ready: list[RunId] = []
        while self.limit.may_start(self.in_flight, now):
            run_id = self._next_waiting(now)
            if run_id is None:
                break
            del self._waiting[run_id]
            self._runs_in_slots.add(run_id)
            ready.append(run_id)
        return ready

    def is_flow_allowed(self, now: float) -> bool:
        """Return whether this agent may accept a new flow."""
        return not self.placement.is_draining and self.flows.room(now) > 0

    def record_flow_opened(self, now: float) -> None:
        """Record that this agent adopted a flow."""
        self.flows.record_opened(now)

    def record_flow_closed(self) -> None:
        """Record that a flow of this agent ended."""
        self.flows.record_closed()

    def load(self) -> Load:
        """Return the load to send with a reply to a delegated run."""
        return Load(
            self.flows.open_flows,
            self.in_flight,
            self.limit.value,
            self.queued,
        )

    def load_report(self, now: float) -> LoadReport:
        """Return the load report to send to peers."""
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
            round(self.limit.latency.recent_average_s * 1000),
        )

    def set_ramp(self, ramp_s: float) -> None:
        """Change the duration of the ramp, in seconds."""
        self.limit.ramp_s = self.flows.ramp_s = ramp_s

    def restart_ramp(self, now: float) -> None:
        """Restart the ramp, for example when the data centre returns."""
        restarts = self.limit.restarts
        self.limit.restart(now)
        self._apply_ramp_restart(restarts, now)

    def export(self, now: float) -> AdmissionState:
        """Return the state for a successor process."""
        return AdmissionState(
            self.limit.progress,
            self.flows.ramp_share(now),
            self.flows.open_flows,
        )

    def restore(self, state: AdmissionState, now: float) -> None:
        """Continue from the state of a predecessor process.

        The runs in progress are not part of the state; call
        :meth:`record_start` for each of them, before or after.
        """
        self.limit.resume(state.progress, now)
        self.flows.resume(state.share, state.flows, now)

    def _apply_ramp_restart(self, restarts: int, now: float) -> None:
        if self.limit.restarts != restarts:
            self.flows.restart(now)
        if self.limit.value < 1.0:
            self.limit.warm_latency_s = min(
                self.limit.warm_latency_s, self.loads.warm_latency_s(now)
            )

    def _next_waiting(self, now: float) -> RunId | None:
        unexpired = [
            (not waiting.continues_exchange, position, run_id)
            for position, (run_id, waiting) in enumerate(self._waiting.items())
            if now <= waiting.until
        ]
        return min(unexpired)[2] if unexpired else None

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

    def _peer_to_probe(
        self, declined: Collection[AgentId], now: float
    ) -> AgentId | None:
        """Return the peer that most likely has a free slot by now.

        A peer that had a backlog is not asked before it may have finished
        that backlog.
        """
        idle_estimate_s_by_id = {
            agent_id: load.age_s - MIN_BACKLOG_SHARE * load.backlog_s
            if load
            else self.loads.max_age_s
            for agent_id in self.loads.peers
            if agent_id not in declined
            for load in [self.loads.load(agent_id, now)]
        }
        chosen = max(
            idle_estimate_s_by_id,
            key=lambda key: idle_estimate_s_by_id[key],
            default=None,
        )
        if chosen is None or idle_estimate_s_by_id[chosen] < MIN_PROBE_AGE_S:
            return None
        return chosen

    def _try_to_queue(self, request: RequestInfo, now: float) -> Wait | None:
        if self.limit.is_stalled(now):
            return None
        latency_s = self.limit.latency.recent_average_s
        latencies = (
            MAX_WAIT_LATENCIES
            + EXTRA_WAIT_LATENCIES_AT_ONE_SLOT / self.limit.slots
        )
        if request.exchange:
            latencies = MAX_EXCHANGE_WAIT_LATENCIES
        may_be_in_burst = request.pinned and self.limit.is_ramping
        min_wait_s = MIN_RAMP_WAIT_S if may_be_in_burst else MIN_WAIT_S
        allowed_s = min(
            max(min_wait_s, latencies * latency_s),
            MAX_WAIT_SHARE * (request.deadline - now - latency_s),
        )
        if self._expected_wait_s(now) > allowed_s:
            return None
        until = now + min(
            WAIT_END_RATIO * allowed_s, request.deadline - now - latency_s
        )
        self._waiting[request.run_id] = _WaitingRun(until, request.exchange)
        return Wait(until)

    def _expected_wait_s(self, now: float) -> float:
        latency_s = self.limit.latency.recent_average_s
        first_slot_s = 0.5 * latency_s / self.limit.max_in_flight
        if self.limit.value < 1.0:
            first_slot_s = self.limit.idle_s(now)
            if self.in_flight:
                first_slot_s = latency_s * (1.0 / self.limit.value - 0.5)
        return first_slot_s + self.queued * latency_s / self.limit.value

    def _refusal(self, now: float) -> Refuse:
        """Return a refusal with a random retry time.

        The mean retry time grows with the overload, so that about as many
        callers return as the upstreams can serve. Just after a start no run
        has completed yet, although there is no overload. Therefore the
        completions are taken to be at least what the limit allows, unless
        the upstream is stalled.
        """
        self._recent_refusals.add(now)
        allowed_completions = 0.0
        if not self.limit.is_stalled(now):
            latency_s = max(self.limit.latency.recent_average_s, MIN_LATENCY_S)
            allowed_completions = RATE_WINDOW_S * self.limit.value / latency_s
        overload = self._recent_refusals.read(now) / max(
            1.0, self._recent_completions.read(now), allowed_completions
        )
        mean_s = 1.0 + overload
        return Refuse(
            min(
                MAX_RETRY_AFTER_S,
                max(MIN_RETRY_AFTER_S, mean_s * self._rng.uniform(0.5, 1.5)),
            )
        )
