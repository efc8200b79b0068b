"""Processing of requests: admission, runs, retries and final answers."""

from collections.abc import Sequence
import functools
import random

from aiocoap import Message
from aiocoap.numbers.codes import Code

from ibispitch.admission.types import Admission
from ibispitch.admission.types import Refuse
from ibispitch.admission.types import RequestInfo
from ibispitch.admission.types import Retries
from ibispitch.admission.types import RunAt
from ibispitch.admission.types import RunHere
from ibispitch.admission.types import RunId
from ibispitch.admission.types import RunOutcome
from ibispitch.admission.types import Wait
from ibispitch.ids import AgentId
from ibispitch.ids import FlowId
from ibispitch.requests import coap
from ibispitch.requests import outcomes
from ibispitch.requests.callers import CallerMessageLayer
from ibispitch.requests.echo import EchoIssuer
from ibispitch.requests.effects import Count
from ibispitch.requests.effects import Effect
from ibispitch.requests.effects import Measure
from ibispitch.requests.feeds import FeedTable
from ibispitch.requests.feeds import Observation
from ibispitch.requests.guard import Guard
from ibispitch.requests.jobs import Job
from ibispitch.requests.jobs import JobState
from ibispitch.requests.jobs import JobTable
from ibispitch.requests.jobs import Site
from ibispitch.requests.jobs import SITE_LIFETIME_S
from ibispitch.requests.records import RecordTable
from ibispitch.requests.registry import GateSettings
from ibispitch.requests.timers import Timers
from ibispitch.requests.upstreams import UpstreamMessageLayer

MAX_RETRIES = 2
#: Retry time in seconds in refusals for which admission or the upstream has
#: given none.
DEFAULT_RETRY_AFTER_S = 1.0
#: Time in seconds for which the result of a cancelled run is waited for.
CANCEL_TIMEOUT_S = 0.5
#: Time in seconds without packets after which the socket of a delegated run is
#: closed.
DELEGATED_IDLE_TIMEOUT_S = 120.0


def unless_handed_over(method):
    """Make a method do nothing after the state was handed over.

    The successor uses the records from then on, so this process must not run
    the requests in them again.
    """

    @functools.wraps(method)
    def call(self, *args, **kwargs):
        if self._handed_over:
            return []
        return method(self, *args, **kwargs)

    return call


class RequestGate:
    """Processes jobs from admission to their final answer.

    :param settings: settings of the gate.
    :param admission: decides where and when requests run.
    :param retries: budget for retries.
    :param rng: chooses the first message ids and tokens.
    """

    def __init__(
        self,
        settings: GateSettings,
        admission: Admission,
        retries: Retries,
        rng: random.Random,
    ):
        self._settings = settings
        self._admission = admission
        self._retries = retries
        self._effects: list[Effect] = []
        self._echo = EchoIssuer(settings.incarnation, settings.echo_key)
        self._records = RecordTable()
        self._guard = Guard(self._echo, self._records)
        self._callers = CallerMessageLayer(self._emit, rng)
        self._upstreams = UpstreamMessageLayer(
            self._emit, rng, settings.max_flows
        )
        self._feeds = FeedTable(self._callers)
        self._jobs = JobTable()
        self._timers = Timers()
        self._run_by_token: dict[bytes, RunId] = {}
        self._run_count = 0
        self._handed_over = False
        self._may_have_free_slot = False

    def set_settings(self, settings: GateSettings) -> None:
        """Replace the settings, for example the deadlines and timeouts."""
        self._settings = settings

    def _emit(self, effect: Effect) -> None:
        self._effects.append(effect)

    def _take_effects(self, now: float) -> Sequence[Effect]:
        while self._may_have_free_slot:
            self._may_have_free_slot = False
            for run_id in self._admission.tick(now):
                self._on_slot_assigned(run_id, now)
        effects, self._effects = self._effects, []
        return effects

    def _count(self, name: str, **labels: str) -> None:
        self._emit(Count(name, tuple(labels.items())))

    def _new_run_id(self) -> RunId:
        self._run_count += 1
        return RunId(
            self._settings.incarnation.to_bytes(8, 'big')
            + self._run_count.to_bytes(8, 'big')
        )

    # Start

    def _start(self, job: Job, now: float) -> None:
        """Store a new job and ask admission for a decision on it."""
        if len(self._jobs.by_run) >= self._settings.max_runs:
            self._jobs.add(job)
            self._refuse(job, DEFAULT_RETRY_AFTER_S, 'full', now)
            return
        self._jobs.add(job)
        self._timers.set(job.deadline, 'deadline', job.run_id)
        if now >= job.deadline:
            self._refuse(job, DEFAULT_RETRY_AFTER_S, 'expired', now)
            return
        self._decide(job, now)

    def _decide(self, job: Job, now: float) -> None:
        decision = self._admission.decide(self._request_info(job), now)
        job.decided = True
        match decision:
            case RunHere():
                self._run_here(job, now)
            case RunAt(agent_id) if not job.pinned and job.origin is None:
                self._run_at_peer(job, agent_id, now)
            case Wait(until) if job.origin is None:
                self._enqueue(job, until, now)
            case Refuse(retry_after_s):
                self._refuse(job, retry_after_s, 'admission', now)
            case _:
                if isinstance(decision, Wait):
                    self._record_run_end(job, RunOutcome.CANCELLED, now)
                self._refuse(job, DEFAULT_RETRY_AFTER_S, 'admission', now)

    def _request_info(self, job: Job) -> RequestInfo:
        return RequestInfo(
            run_id=job.run_id,
            flow=job.flow,
            deadline=job.deadline,
            idempotent=not job.guarded,
            pinned=job.pinned,
            delegated=job.origin is not None,
            exchange=not job.starts_exchange,
            declined=tuple(job.declined),
            counted=job.decided,
        )

    def _enqueue(self, job: Job, until: float, now: float) -> None:
        job.state = JobState.QUEUED
        job.started = now
        self._timers.set(min(until, job.deadline), 'queue', job.run_id)
        self._acknowledge(job)

    def _acknowledge(self, job: Job) -> None:
        for waiter in job.waiters:
            self._callers.acknowledge(waiter)

    def _run_here(self, job: Job, now: float) -> None:
        idle_s = self._settings.idle_timeout_s
        if job.origin is not None:
            idle_s = min(idle_s, DELEGATED_IDLE_TIMEOUT_S)
        if not self._upstreams.open_socket(job.flow, idle_s, now):
            self._record_run_end(job, RunOutcome.CANCELLED, now)
            self._refuse(job, DEFAULT_RETRY_AFTER_S, 'flows', now)
            return
        message = coap.decode(job.datagram)
        message.opt.echo = None
        # The end of a run is recognised by its answer, so the upstream must
        # send one even if the caller wants none.
        message.opt.no_response = None
        job.deadline_ms = self._deadline_ms(job, now)
        coap.set_uint_option(message, coap.DEADLINE_MS, job.deadline_ms)
        observation = self._feeds.of_flow(job.flow).get(job.observe)
        token = observation.upstream_token if observation else None
        job.state, job.started = JobState.RUNNING, now
        job.token = self._upstreams.send(
            job.flow, message, not job.guarded, now, token or None
        )
        self._run_by_token[job.token] = job.run_id
        self._admission.record_start(job.run_id, now)

    def _deadline_ms(self, job: Job, now: float) -> int:
        if not job.starts_exchange:
            site = self._jobs.find_site(job.site, now)
            if site is not None:
                return site.deadline_ms
        return max(1, int((job.deadline - now) * 1000))

    def _run_at_peer(self, job: Job, agent_id: AgentId, now: float) -> None:
        raise NotImplementedError

    # End of a run

    def _on_answer(self, job: Job, message: Message, now: float) -> None:
        if message.code is Code.SERVICE_UNAVAILABLE:
            # With this answer the upstream states that it has not run the
            # request.
            self._record_run_end(job, RunOutcome.SHED, now)
            self._release_token(job, 'duplicated')
            if job.cancelled:
                # The upstream may also answer a cancelled run in this way.
                self._on_unknown_outcome(job, 'cancelled', now)
                return
            retry_after_s = message.opt.max_age
            if retry_after_s is None:
                retry_after_s = DEFAULT_RETRY_AFTER_S
            self._on_not_run(job, retry_after_s, 'upstream', now)
            return
        if message.code is Code.GATEWAY_TIMEOUT:
            # The upstream gave up the request while it ran.
            self._record_run_end(job, RunOutcome.TIMED_OUT, now)
            self._release_token(job, 'duplicated')
            self._on_unknown_outcome(job, 'upstream', now)
            return
        self._record_run_end(job, RunOutcome.COMPLETED, now)
        self._retries.deposit(now)
        if job.observe is not None and coap.is_notification(message):
            self._open_feed(job, message, now)
        else:
            self._release_token(job, 'duplicated')
            if job.replay:
                self._feeds.remove(job.flow, job.observe)
        self._deliver_result(job, message, now)

    def _open_feed(self, job: Job, message: Message, now: float) -> None:
        self._run_by_token.pop(job.token, None)
        observation = self._feeds.of_flow(job.flow).get(job.observe)
        if observation is None:
            observation = Observation(job.observe, job.datagram, mids=[])
        observation.registration = job.datagram
        observation.upstream_token = job.token
        observation.upstream_sequence = message.opt.observe
        self._feeds.add(job.flow, observation)
        if not job.replay:
            message.opt.observe = self._feeds.next_sequence(observation)

    def _deliver_result(self, job: Job, message: Message, now: float) -> None:
        """Deliver the result of a run to the caller or the owner."""
        message.opt.delete_option(coap.OUTCOME)
        message.opt.echo = None
        self._store_site(job, message, now)
        if job.origin is not None:
            self._reply_result(job, message, now)
        elif job.replay:
            self._notify_replayed(job, message, now)
        else:
            self._record_and_send_answer(job, message, 'result', now)
        self._remove_job(job)

    def _reply_result(self, job: Job, message: Message, now: float) -> None:
        raise NotImplementedError

    def _reply_failure(
        self, job: Job, retry_after_s: float | None, now: float
    ) -> None:
        raise NotImplementedError

    def _notify_replayed(self, job: Job, message: Message, now: float) -> None:
        raise NotImplementedError

    def _schedule_replay(self, job: Job, after_s: float, now: float) -> None:
        raise NotImplementedError

    def _store_site(self, job: Job, message: Message, now: float) -> None:
        block1, block2 = message.opt.block1, message.opt.block2
        if (block1 and block1.more) or (block2 and block2.more):
            site = Site(job.delegate, job.deadline_ms, now + SITE_LIFETIME_S)
            self._jobs.set_site(job.site, site, now)

    def _on_not_run(
        self, job: Job, retry_after_s: float, reason: str, now: float
    ) -> None:
        """Retry or refuse a job whose attempt was certainly not run."""
        if self._try_take_retry(job, now):
            self._retry(job, now)
        else:
            self._refuse(job, retry_after_s, reason, now)

    def _on_unknown_outcome(self, job: Job, reason: str, now: float) -> None:
        """Retry or give up a job whose attempt may have run."""
        job.may_have_run = True
        if not job.guarded and self._try_take_retry(job, now):
            self._retry(job, now)
        else:
            self._answer_unknown(job, reason, now)

    def _try_take_retry(self, job: Job, now: float) -> bool:
        return (
            job.origin is None
            and not job.cancelled
            and not job.replay
            and job.starts_exchange
            and job.retries < MAX_RETRIES
            and now < job.deadline
            and self._retries.try_spend(now)
        )

    def _retry(self, job: Job, now: float) -> None:
        self._count('gate_retries')
        job.retries += 1
        self._assign_new_run_id(job)
        self._timers.set(job.deadline, 'deadline', job.run_id)
        self._decide(job, now)

    def _assign_new_run_id(self, job: Job) -> None:
        """Give a job a new run id for its next attempt."""
        self._forget_delegation(job)
        self._jobs.remove(job)
        job.run_id = self._new_run_id()
        job.state, job.delegate, job.asked = JobState.NEW, None, 0
        self._jobs.add(job)
        part = self._guard.part(job.record, job.part)
        if part is not None:
            part.run_id = job.run_id

    # Final answers without a result

    def _refuse(
        self, job: Job, retry_after_s: float, reason: str, now: float
    ) -> None:
        """Answer that the request was not run, or that its outcome is unknown.

        The latter is the case if an earlier attempt may have run.
        """
        if job.may_have_run:
            self._answer_unknown(job, reason, now)
            return
        if job.origin is not None:
            self._reply_failure(job, retry_after_s, now)
        elif job.replay:
            self._schedule_replay(job, retry_after_s, now)
        elif job.guarded and not job.record:
            self._record_and_send_answer(
                job, outcomes.busy(retry_after_s), 'busy', now
            )
        else:
            self._guard.refuse(job.record)
            message = outcomes.not_run(retry_after_s)
            self._count('gate_refusals', reason=reason)
            self._record_and_send_answer(job, message, 'not_run', now)
        self._remove_job(job)

    def _answer_unknown(self, job: Job, reason: str, now: float) -> None:
        """Answer that the outcome is unknown."""
        if (
            job.guarded
            and job.origin is None
            and not self._guard.may_have_run(job.record)
        ):
            # The upstream runs an upload only after the last block.
            job.may_have_run = False
            self._refuse(job, DEFAULT_RETRY_AFTER_S, reason, now)
            return
        if job.origin is not None:
            self._reply_failure(job, None, now)
        elif job.replay:
            self._schedule_replay(job, DEFAULT_RETRY_AFTER_S, now)
        else:
            self._count('gate_unknown_outcomes', reason=reason)
            message = outcomes.unknown(self._echo.issue(job.flow, now))
            self._record_and_send_answer(job, message, 'unknown', now)
        self._remove_job(job)

    def _record_and_send_answer(
        self, job: Job, message: Message, outcome: str, now: float
    ) -> None:
        """Record an answer and send it to each waiting exchange."""
        part = self._guard.part(job.record, job.part)
        detached = coap.encode_detached(message)
        if part is not None:
            self._records.set_answer(part, detached)
        for waiter in job.waiters:
            self._callers.send_answer(waiter, coap.decode(detached), now)
        labels = (('outcome', outcome),)
        self._emit(Measure('gate.request.latency', now - job.received, labels))
        self._emit(Measure('gate.request.size', len(job.datagram), labels))
        self._emit(Measure('gate.answer.size', len(detached), labels))

    def _record_run_end(
        self, job: Job, outcome: RunOutcome, now: float
    ) -> None:
        self._may_have_free_slot = True
        self._admission.record_end(job.run_id, outcome, now - job.started, now)

    def _release_token(self, job: Job, reason: str) -> None:
        """Release the token, and the observation that uses it."""
        self._run_by_token.pop(job.token, None)
        found = self._feeds.find(job.token)
        if found is not None:
            self._feeds.remove(job.flow, found[1].token)
        self._upstreams.end_request(job.token, reason)
        job.token = b''

    def _remove_job(self, job: Job) -> None:
        self._forget_delegation(job)
        self._jobs.remove(job)
        socket = self._upstreams.state.sockets.get(job.flow)
        if socket is not None and socket.closing:
            self._close_flow_if_unused(job.flow)

    def _close_flow_if_unused(self, flow: FlowId) -> None:
        if not self._jobs.of_flow(flow) and not self._feeds.of_flow(flow):
            self._upstreams.close_socket(flow)
            self._callers.forget_flow(flow)

    # Deadlines and cancellation

    def _on_deadline(self, job: Job, now: float) -> None:
        if job.state is JobState.QUEUED:
            self._record_run_end(job, RunOutcome.CANCELLED, now)
            self._refuse(job, DEFAULT_RETRY_AFTER_S, 'expired', now)
            return
        self._stop_run(job, RunOutcome.TIMED_OUT, now)
        job.may_have_run = True
        self._answer_unknown(job, 'expired', now)

    def _on_slot_assigned(self, run_id: RunId, now: float) -> None:
        job = self._jobs.by_run.get(run_id)
        if job is None or job.state is not JobState.QUEUED:
            self._admission.record_end(run_id, RunOutcome.CANCELLED, 0.0, now)
        elif now >= job.deadline:
            self._on_deadline(job, now)
        else:
            self._run_here(job, now)

    def _on_wait_end(self, job: Job, now: float) -> None:
        """Ask admission again, as a peer may have a free slot by now."""
        if job.state is JobState.QUEUED:
            job.state = JobState.NEW
            self._decide(job, now)

    def _stop_run(self, job: Job, outcome: RunOutcome, now: float) -> None:
        """Stop waiting for a run and cancel it at the upstream or delegate."""
        if job.state is JobState.RUNNING:
            self._cancel_upstream(job, now)
            self._record_run_end(job, outcome, now)
            self._release_token(job, 'late')
        elif job.state is JobState.DELEGATED:
            self._cancel_delegate(job)

    def _cancel_delegate(self, job: Job) -> None:
        raise NotImplementedError

    def _forget_delegation(self, job: Job) -> None:
        raise NotImplementedError

    def _cancel_upstream(self, job: Job, now: float) -> None:
        message = coap.decode(job.datagram)
        request_id = coap.opaque_option(message, coap.REQUEST_ID)
        if request_id is None or job.cancelled:
            return
        cancel = Message(code=Code.DELETE)
        cancel.opt.uri_path = (*coap.REQUESTS_PATH, request_id.hex())
        token = self._upstreams.send(job.flow, cancel, False, now)
        # The answer to the cancellation is not needed.
        self._upstreams.end_request(token, 'cancellation')

    def _cancel(self, job: Job, now: float) -> None:
        """Cancel a job at the request of its caller or owner."""
        if job.state is JobState.QUEUED:
            self._record_run_end(job, RunOutcome.CANCELLED, now)
            self._refuse(job, DEFAULT_RETRY_AFTER_S, 'cancelled', now)
            return
        if job.state is JobState.RUNNING:
            self._cancel_upstream(job, now)
        else:
            self._cancel_delegate(job)
        job.cancelled = True
        self._timers.set(now + CANCEL_TIMEOUT_S, 'cancelled', job.run_id)

    def _on_cancel_timeout(self, job: Job, now: float) -> None:
        if job.state is JobState.RUNNING:
            self._record_run_end(job, RunOutcome.CANCELLED, now)
            self._release_token(job, 'late')
        job.may_have_run = True
        self._answer_unknown(job, 'cancelled', now)
